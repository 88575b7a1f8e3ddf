#include "layer_path_tiling.h"

#include <algorithm>
#include <limits>
#include <set>

namespace trefoilwick::detail {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();

// Lowest cost of running all layers up to the end of a segment, with that
// segment on a server.
struct Cell {
  int server = 0;
  double cost = kInfinity;
  // Position of the previous cell in its segment.
  int previous = -1;
};
// The cells of one segment that can be reached, by server index.
using SegmentCells = std::vector<Cell>;

// Layers at which a path may change servers: the ends of the ranges that the
// servers hold. Between two of them the cost per layer of a server is constant.
std::vector<int> SegmentBoundaries(const TilingProblem& problem) {
  std::set<int> out = {0, problem.layers};
  for (const TilingServer& server : problem.servers)
    out.insert({server.layers.from, server.layers.to});
  if (problem.pinned_layers)
    out.insert({problem.pinned_layers->from, problem.pinned_layers->to});
  out.erase(out.begin(), out.find(0));
  out.erase(out.upper_bound(problem.layers), out.end());
  return {out.begin(), out.end()};
}

// A pinned first stage keeps exactly its layers on its server.
bool MayRunLayer(const TilingProblem& problem,
                 const TilingServer& server,
                 int layer) {
  return !problem.pinned_layers ||
         problem.pinned_layers->Contains(layer) == server.is_pinned;
}

// Indices of the servers that may run each segment, in ascending order.
std::vector<std::vector<int>> HoldersBySegment(const TilingProblem& problem,
                                               const std::vector<int>& bounds) {
  std::vector<std::vector<int>> out(bounds.size() - 1);
  for (size_t i = 0; i < problem.servers.size(); ++i) {
    const TilingServer& server = problem.servers[i];
    const auto first =
        std::lower_bound(bounds.begin(), bounds.end(), server.layers.from);
    for (auto segment = static_cast<size_t>(first - bounds.begin());
         segment < out.size() && bounds[segment] < server.layers.to; ++segment)
      if (MayRunLayer(problem, server, bounds[segment]))
        out[segment].push_back(static_cast<int>(i));
  }
  return out;
}

SegmentCells FirstSegmentCells(const TilingProblem& problem,
                               const std::vector<int>& holders,
                               int size) {
  SegmentCells cells;
  for (const int index : holders) {
    const TilingServer& server = problem.servers[static_cast<size_t>(index)];
    if (server.entry_cost)
      cells.push_back({index, server.layer_cost * size + *server.entry_cost});
  }
  return cells;
}

// The hop into a server costs the same from all servers of a data center, so
// the cheapest previous cell of each data center stands for the others.
std::vector<int> CheapestByDataCenter(const TilingProblem& problem,
                                      const SegmentCells& cells,
                                      size_t data_centers) {
  std::vector<int> out(data_centers, -1);
  for (size_t i = 0; i < cells.size(); ++i) {
    const auto server = static_cast<size_t>(cells[i].server);
    int& best = out[static_cast<size_t>(problem.servers[server].data_center)];
    if (best < 0 || cells[i].cost < cells[static_cast<size_t>(best)].cost)
      best = static_cast<int>(i);
  }
  return out;
}

SegmentCells NextSegmentCells(const TilingProblem& problem,
                              const SegmentCells& before,
                              const std::vector<int>& holders,
                              int size,
                              size_t data_centers) {
  const std::vector<int> cheapest =
      CheapestByDataCenter(problem, before, data_centers);
  SegmentCells cells;
  // Position of the cell of the same server in `before`.
  size_t same = 0;
  for (const int index : holders) {
    const TilingServer& here = problem.servers[static_cast<size_t>(index)];
    Cell cell{index};
    const auto consider = [&](int from, double hop_cost) {
      const double cost = before[static_cast<size_t>(from)].cost +
                          here.layer_cost * size + hop_cost;
      if (cost < cell.cost || (cost == cell.cost && from < cell.previous)) {
        cell.cost = cost;
        cell.previous = from;
      }
    };
    while (same < before.size() && before[same].server < index)
      ++same;
    if (same < before.size() && before[same].server == index)
      consider(static_cast<int>(same), 0);
    for (size_t i = 0; i < cheapest.size(); ++i) {
      if (cheapest[i] < 0 ||
          before[static_cast<size_t>(cheapest[i])].server == index)
        continue;
      consider(cheapest[i],
               here.arrival_cost + (static_cast<int>(i) == here.data_center
                                        ? problem.local_hop_cost
                                        : problem.remote_hop_cost));
    }
    if (cell.cost != kInfinity)
      cells.push_back(cell);
  }
  return cells;
}

}  // namespace

std::optional<Tiling> FindCheapestTiling(const TilingProblem& problem) {
  if (problem.layers <= 0)
    return std::nullopt;
  const std::vector<int> bounds = SegmentBoundaries(problem);
  const auto holders = HoldersBySegment(problem, bounds);
  size_t data_centers = 0;
  for (const TilingServer& server : problem.servers)
    data_centers =
        std::max(data_centers, static_cast<size_t>(server.data_center) + 1);
  std::vector<SegmentCells> table;
  for (size_t i = 0; i < holders.size(); ++i) {
    const int size = bounds[i + 1] - bounds[i];
    table.push_back(i == 0 ? FirstSegmentCells(problem, holders[i], size)
                           : NextSegmentCells(problem, table.back(), holders[i],
                                              size, data_centers));
    if (table.back().empty())
      return std::nullopt;
  }
  const SegmentCells& last = table.back();
  const auto best = std::min_element(
      last.begin(), last.end(),
      [](const Cell& a, const Cell& b) { return a.cost < b.cost; });
  Tiling out{std::vector<int>(static_cast<size_t>(problem.layers)), best->cost};
  auto position = static_cast<size_t>(best - last.begin());
  for (size_t segment = table.size(); segment-- > 0;) {
    const Cell& cell = table[segment][position];
    std::fill(out.server_by_layer.begin() + bounds[segment],
              out.server_by_layer.begin() + bounds[segment + 1], cell.server);
    if (segment > 0)
      position = static_cast<size_t>(cell.previous);
  }
  return out;
}

}  // namespace trefoilwick::detail
