// Times of a choice of path and of a placement plan, by fleet size.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <iostream>

#include "layer_fleet.h"
#include "test_args.h"

namespace trefoilwick {
namespace {

constexpr double kUtilizationLimit = 0.85;

// Equal fleets in three data centers.
ServerMap FleetOf(int count) {
  ServerMap servers;
  for (const char* data_center : {"regina", "brandon", "lethbridge"}) {
    AddServers(servers, data_center, "a100s", count / 39);
    AddServers(servers, data_center, "l4", count * 7 / 39);
    AddServers(servers, data_center, "t4",
               count / 3 - count / 39 - count * 7 / 39);
  }
  return servers;
}

PathRequest Request() {
  PathRequest request;
  request.service = kServiceName;
  request.tokens = 900;
  request.prompt_tokens = 760;
  request.data_center = "regina";
  request.jitter_seed = 3;
  return request;
}

// Mean time of a call in milliseconds.
template <typename Call>
double MeanMs(int calls, Call call) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i)
    call();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
             .count() /
         calls;
}

// Servers hold half of the available token capacity, more or less.
LoadMap RandomLoads(const ServerMap& servers) {
  Random random(5);
  LoadMap loads;
  for (const auto& [id, server] : servers)
    loads[id] = {KvCapacity(Engine(), server) * random.UniformDouble(),
                 static_cast<int>(random.UniformBelow(100))};
  return loads;
}

class LayerPathMeasureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LayerPathMeasureTest);
  CPPUNIT_TEST(LargeFleetIsCovered);
  CPPUNIT_TEST_SUITE_END();

  static void Measure(int count) {
    ServerMap servers = FleetOf(count);
    std::vector<PlacementOrder> orders;
    const auto plan = [&] {
      orders = PlanPlacement(Engine(), servers, kServiceName, {}, {});
    };
    std::cout << count << " servers: first plan " << MeanMs(1, plan) << " ms";
    ApplyOrders(servers, orders);
    std::cout << ", next plan " << MeanMs(3, plan) << " ms";
    servers.begin()->second.layers.reset();
    std::cout << ", with one empty server " << MeanMs(3, plan) << " ms";
    ApplyOrders(servers, orders);
    PathRequest request = Request();
    const auto choose = [&](const LoadMap& loads) {
      return MeanMs(50, [&] {
        ++request.jitter_seed;
        CPPUNIT_ASSERT(
            ChoosePath(Engine(), servers, loads, request, kUtilizationLimit));
      });
    };
    std::cout << ", path without load " << choose({}) << " ms, with load "
              << choose(RandomLoads(servers)) << " ms\n";
  }

 public:
  // Guards against a plan that leaves layers of a large fleet uncovered. Prints
  // times with the argument "measure".
  void LargeFleetIsCovered() {
    ServerMap servers = FleetOf(3'000);
    ApplyOrders(servers,
                PlanPlacement(Engine(), servers, kServiceName, {}, {}));
    for (const auto& [data_center, health] :
         AssessLayout(Engine(), servers, kServiceName, {}))
      CPPUNIT_ASSERT_EQUAL(0, health.uncovered_layers);
    const auto& args = TestArgs();
    if (std::find(args.begin(), args.end(), "measure") == args.end())
      return;
    std::cout << "\n";
    for (const int count : {86, 300, 3'000})
      Measure(count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayerPathMeasureTest);

}  // namespace
}  // namespace trefoilwick
