#include "layer_path_tiling.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "trefoilwick/kernel.h"

namespace trefoilwick::detail {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr int kLayers = 24;
constexpr int kRandomProblems = 400;

// Few distinct costs, so that different tilings have equal costs.
TilingProblem RandomProblem(Random& random) {
  TilingProblem problem;
  problem.layers = kLayers;
  problem.local_hop_cost = 12;
  problem.remote_hop_cost = 200;
  const uint64_t count = 12 + random.UniformBelow(40);
  for (uint64_t i = 0; i < count; ++i) {
    TilingServer server;
    const int size = 1 + static_cast<int>(random.UniformBelow(kLayers / 2));
    const int from = static_cast<int>(random.UniformBelow(kLayers - size + 1));
    server.layers = {from, from + size};
    server.data_center = static_cast<int>(random.UniformBelow(3));
    server.layer_cost = 8 + static_cast<double>(random.UniformBelow(40)) / 4;
    server.arrival_cost = static_cast<double>(random.UniformBelow(20));
    if (random.UniformBelow(8) != 0)
      server.entry_cost = random.UniformBelow(2) == 0 ? 0 : 600;
    problem.servers.push_back(server);
  }
  if (random.UniformBelow(3) == 0) {
    TilingServer& pinned = problem.servers[random.UniformBelow(count)];
    pinned.is_pinned = true;
    problem.pinned_layers = pinned.layers;
  }
  return problem;
}

// Tries every pair of servers at every layer.
std::optional<Tiling> SearchPlainly(const TilingProblem& problem) {
  const size_t count = problem.servers.size();
  std::vector<std::vector<double>> cost(kLayers,
                                        std::vector<double>(count, kInfinity));
  std::vector<std::vector<int>> previous(kLayers, std::vector<int>(count, -1));
  for (int layer = 0; layer < kLayers; ++layer)
    for (size_t to = 0; to < count; ++to) {
      const TilingServer& here = problem.servers[to];
      if (!here.layers.Contains(layer) ||
          (problem.pinned_layers &&
           problem.pinned_layers->Contains(layer) != here.is_pinned))
        continue;
      if (layer == 0) {
        if (here.entry_cost)
          cost[0][to] = here.layer_cost + *here.entry_cost;
        continue;
      }
      for (size_t from = 0; from < count; ++from) {
        const bool is_local =
            problem.servers[from].data_center == here.data_center;
        const double hop =
            from == to
                ? 0
                : here.arrival_cost + (is_local ? problem.local_hop_cost
                                                : problem.remote_hop_cost);
        const double sum = cost[layer - 1][from] + here.layer_cost + hop;
        if (sum < cost[layer][to]) {
          cost[layer][to] = sum;
          previous[layer][to] = static_cast<int>(from);
        }
      }
    }
  const auto best = std::min_element(cost.back().begin(), cost.back().end());
  if (*best == kInfinity)
    return std::nullopt;
  Tiling out{std::vector<int>(kLayers), *best};
  int at = static_cast<int>(best - cost.back().begin());
  for (int layer = kLayers; layer-- > 0; at = previous[layer][at])
    out.server_by_layer[layer] = at;
  return out;
}

class LayerPathTilingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LayerPathTilingTest);
  CPPUNIT_TEST(MatchesPlainSearch);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a faster search that chooses other paths: the costs are
  // multiples of 1/4, so equal costs are exactly equal.
  void MatchesPlainSearch() {
    Random random(7);
    int found = 0;
    for (int i = 0; i < kRandomProblems; ++i) {
      const TilingProblem problem = RandomProblem(random);
      const auto expected = SearchPlainly(problem);
      const auto tiling = FindCheapestTiling(problem);
      CPPUNIT_ASSERT_EQUAL(expected.has_value(), tiling.has_value());
      if (!expected)
        continue;
      ++found;
      CPPUNIT_ASSERT_EQUAL(expected->cost, tiling->cost);
      CPPUNIT_ASSERT(expected->server_by_layer == tiling->server_by_layer);
    }
    CPPUNIT_ASSERT(found > kRandomProblems / 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayerPathTilingTest);

}  // namespace
}  // namespace trefoilwick::detail
