#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "layer_fleet.h"
#include "trefoilwick/layer_path.h"

namespace trefoilwick {
namespace {

constexpr int kRandomFleets = 200;
// Token capacity that a data center needs for its share of a burst.
constexpr double kBurstTokens = 35'000;

LayoutHealth Health(const ServerMap& servers,
                    const std::string& data_center,
                    const std::set<std::string>& lost_servers = {}) {
  return AssessLayout(Engine(), servers, kServiceName, lost_servers)
      .at(data_center);
}

std::string HolderOf(const ServerMap& servers, int layer) {
  for (const auto& [id, server] : servers)
    if (server.layers && server.layers->Contains(layer))
      return id;
  return "";
}

int HoldersOf(const ServerMap& servers, int layer) {
  return static_cast<int>(
      std::count_if(servers.begin(), servers.end(), [&](const auto& entry) {
        return entry.second.layers && entry.second.layers->Contains(layer);
      }));
}

class LayerPathPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LayerPathPlacementTest);
  CPPUNIT_TEST(EmptyDataCenterGetsCapacityAndSecondHolders);
  CPPUNIT_TEST(ScarcestServerKeepsItsCapacity);
  CPPUNIT_TEST(LargeDataCenterHoldsSeveralReplicas);
  CPPUNIT_TEST(LossOfAnyServerIsCoveredAgain);
  CPPUNIT_TEST(HalfOfLossesLeaveNoLayerUncovered);
  CPPUNIT_TEST(LossTakesAtMostFourOrders);
  CPPUNIT_TEST(TwoLossesLeaveBurstCapacity);
  CPPUNIT_TEST(NoLayerIsGivenUpBeforeAnotherHoldsIt);
  CPPUNIT_TEST(ReturnedEmptyServerGetsLayers);
  CPPUNIT_TEST(SmallDataCentersShareOneLayout);
  CPPUNIT_TEST(PendingServersGetNoOrder);
  CPPUNIT_TEST(DrainingServersAreReplaced);
  CPPUNIT_TEST(NewServerWaitsForLayersOfDrainingServer);
  CPPUNIT_TEST(SecondHoldersWaitUntilAllLayersAreCovered);
  CPPUNIT_TEST(RandomFleetsReachStableLayout);
  CPPUNIT_TEST(LayersBeyondTheModelAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Memory that no request needs must hold layers a second time: with one
  // holder for each layer, any lost server took its data center out of service.
  void EmptyDataCenterGetsCapacityAndSecondHolders() {
    ServerMap servers = EmptyFleet({"brandon"});
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    const LayoutHealth health = Health(servers, "brandon");
    CPPUNIT_ASSERT_EQUAL(0, health.uncovered_layers);
    CPPUNIT_ASSERT_EQUAL(0, health.empty_servers);
    CPPUNIT_ASSERT(health.min_layer_capacity_tokens > 2 * kBurstTokens);
    int layers_with_second_holder = 0;
    for (int layer = 0; layer < kLayers; ++layer)
      layers_with_second_holder += HoldersOf(servers, layer) >= 2 ? 1 : 0;
    CPPUNIT_ASSERT(layers_with_second_holder >= kLayers / 4);
  }

  // Two layers more than fit evenly left the scarcest servers a capacity of
  // 77,000 instead of 122,000 tokens, which limited the whole data center.
  void ScarcestServerKeepsItsCapacity() {
    ServerMap servers = EmptyFleet({"brandon"});
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    CPPUNIT_ASSERT(Health(servers, "brandon").min_layer_capacity_tokens >
                   120'000);
  }

  // A data center with uncovered layers sends all of its traffic elsewhere
  // until they are loaded again.
  void HalfOfLossesLeaveNoLayerUncovered() {
    const ServerMap before = PlacedFleet({"brandon"});
    int losses_without_uncovered = 0;
    for (const auto& [id, lost] : before) {
      ServerMap servers = before;
      servers.erase(id);
      losses_without_uncovered +=
          Health(servers, "brandon").uncovered_layers == 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT(losses_without_uncovered * 2 >=
                   static_cast<int>(before.size()));
  }

  // Shifting all ranges around the uncovered layers took up to 13 orders, and
  // each of these servers refuses requests for the layers that it gives up.
  void LossTakesAtMostFourOrders() {
    const ServerMap before = PlacedFleet({"brandon"});
    for (const auto& [id, lost] : before) {
      ServerMap servers = before;
      servers.erase(id);
      const auto orders =
          PlanPlacement(Engine(), servers, kServiceName, {}, {});
      CPPUNIT_ASSERT_MESSAGE(id + " " + std::to_string(orders.size()),
                             orders.size() <= 4);
    }
  }

  // A single replica over 35 servers has more stages than a path may have, and
  // all of its requests share the sequence limit of one first server.
  void LargeDataCenterHoldsSeveralReplicas() {
    ServerMap servers;
    AddServers(servers, "brandon", "a100s", 1);
    AddServers(servers, "brandon", "l4", 22);
    AddServers(servers, "brandon", "t4", 12);
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    int first_servers = 0;
    for (const auto& [id, server] : servers)
      first_servers += server.layers && server.layers->from == 0 ? 1 : 0;
    CPPUNIT_ASSERT(first_servers >= 3);
    PathRequest request;
    request.service = kServiceName;
    request.tokens = 900;
    request.data_center = "brandon";
    const auto choice = ChoosePath(Engine(), servers, {}, request, 0.95);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(choice->path.size() <= kMaxPathStages / 2);
  }

  // A data center that kept uncovered layers after a loss sent all of its
  // traffic elsewhere until the end of the day.
  void LossOfAnyServerIsCoveredAgain() {
    const ServerMap before = PlacedFleet({"brandon"});
    for (const auto& [id, lost] : before) {
      ServerMap servers = before;
      servers.erase(id);
      CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
      const LayoutHealth health = Health(servers, "brandon");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 0, health.uncovered_layers);
      CPPUNIT_ASSERT_MESSAGE(id,
                             health.min_layer_capacity_tokens > kBurstTokens);
    }
  }

  // Coarse capacity levels once left a server with a capacity of 9,000 tokens.
  void TwoLossesLeaveBurstCapacity() {
    const ServerMap before = PlacedFleet({"brandon"});
    for (const int first : {0, 20, 40, 60, 79}) {
      for (const int second : {10, 30, 50, 70}) {
        ServerMap servers = before;
        servers.erase(HolderOf(servers, first));
        CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
        servers.erase(HolderOf(servers, second));
        CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
        const LayoutHealth health = Health(servers, "brandon");
        CPPUNIT_ASSERT_EQUAL(0, health.uncovered_layers);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(first) + " " + std::to_string(second) + " " +
                std::to_string(health.min_layer_capacity_tokens),
            health.min_layer_capacity_tokens > kBurstTokens);
      }
    }
  }

  // A server accepts no new requests for layers that it gives up, and carries
  // out the order only when the requests on them have ended.
  void NoLayerIsGivenUpBeforeAnotherHoldsIt() {
    const ServerMap before = PlacedFleet({"brandon"});
    for (const auto& [id, lost] : before) {
      ServerMap servers = before;
      servers.erase(id);
      for (int round = 0; round < 20; ++round) {
        const auto orders =
            PlanPlacement(Engine(), servers, kServiceName, {}, {});
        if (orders.empty())
          break;
        ServerMap during = servers;
        for (const PlacementOrder& order : orders) {
          LayerRange& held = *during.at(order.server).layers;
          held = {std::max(held.from, order.layers.from),
                  std::min(held.to, order.layers.to)};
        }
        CPPUNIT_ASSERT(Health(during, "brandon").uncovered_layers <=
                       Health(servers, "brandon").uncovered_layers);
        ApplyOrders(servers, orders);
      }
    }
  }

  void ReturnedEmptyServerGetsLayers() {
    ServerMap servers = PlacedFleet({"brandon"});
    servers.at("brandon-l4-3").layers.reset();
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    CPPUNIT_ASSERT(servers.at("brandon-l4-3").layers.has_value());
    CPPUNIT_ASSERT_EQUAL(0, Health(servers, "brandon").uncovered_layers);
  }

  // Neither data center can hold the model alone, but both together can.
  void SmallDataCentersShareOneLayout() {
    ServerMap servers;
    AddServers(servers, "regina", "l4", 5);
    AddServers(servers, "brandon", "l4", 5);
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    PathRequest request;
    request.service = kServiceName;
    request.tokens = 900;
    request.data_center = "regina";
    request.allow_cross_data_center = true;
    const auto choice = ChoosePath(Engine(), servers, {}, request, 0.95);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(IsCompletePath(choice->path, kLayers, servers));
  }

  // A server that carries out an order refuses a second one, and the layout is
  // not reached as planned.
  void PendingServersGetNoOrder() {
    ServerMap servers = EmptyFleet({"brandon"});
    std::map<std::string, LayerRange> pending;
    for (const PlacementOrder& order :
         PlanPlacement(Engine(), servers, kServiceName, {}, {}))
      pending[order.server] = order.layers;
    CPPUNIT_ASSERT(
        PlanPlacement(Engine(), servers, kServiceName, {}, pending).empty());
  }

  void DrainingServersAreReplaced() {
    ServerMap servers = PlacedFleet({"brandon"});
    servers.at(HolderOf(servers, 40)).state = ServerState::kDraining;
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    CPPUNIT_ASSERT_EQUAL(0, Health(servers, "brandon").uncovered_layers);
  }

  // In a rolling release the new server starts first. One that had begun to
  // load layers a second time was busy when the old server left, and its data
  // center had uncovered layers for three seconds.
  void NewServerWaitsForLayersOfDrainingServer() {
    ServerMap servers = PlacedFleet({"brandon"});
    servers["new"] = EmptyServer("new", "brandon", "l4");
    CPPUNIT_ASSERT(
        PlanPlacement(Engine(), servers, kServiceName, {}, {}, {"new"})
            .empty());
    std::string exposed;
    for (const auto& [id, server] : servers) {
      ServerMap without = servers;
      without.erase(id);
      if (server.kind == "l4" &&
          Health(without, "brandon").uncovered_layers > 0)
        exposed = id;
    }
    CPPUNIT_ASSERT(!exposed.empty());
    const LayerRange lost = *servers.at(exposed).layers;
    servers.at(exposed).state = ServerState::kDraining;
    for (const PlacementOrder& order :
         PlanPlacement(Engine(), servers, kServiceName, {}, {}, {"new"}))
      if (order.server == "new")
        CPPUNIT_ASSERT(lost.Contains(order.layers.from));
    // A server that is no longer new also takes layers that others hold.
    servers.erase(exposed);
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    CPPUNIT_ASSERT(servers.at("new").layers.has_value());
  }

  // More than six concurrent loads slow each other down.
  void SecondHoldersWaitUntilAllLayersAreCovered() {
    ServerMap servers = PlacedFleet({"brandon", "regina"});
    servers["new"] = EmptyServer("new", "brandon", "t4");
    const std::string lost = "regina-a100s-0";
    servers.erase(lost);
    CPPUNIT_ASSERT(Health(servers, "regina").uncovered_layers > 0);
    for (const PlacementOrder& order :
         PlanPlacement(Engine(), servers, kServiceName, {}, {}))
      CPPUNIT_ASSERT_MESSAGE(order.server, order.server != "new");
  }

  // Every order has a cost: a layout that never becomes stable moves layers
  // forever.
  void RandomFleetsReachStableLayout() {
    Random random(7);
    int unstable_fleets = 0;
    for (int i = 0; i < kRandomFleets; ++i) {
      ServerMap servers = RandomFleet(random);
      unstable_fleets += RunPlacementUntilStable(servers) < 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0, unstable_fleets);
  }

  // An entry with two billion layers stopped its coordinator for seconds: each
  // layer was looked at. Nothing is given up because such an entry holds it.
  void LayersBeyondTheModelAreIgnored() {
    ServerMap servers = EmptyFleet({"brandon"});
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    BackendServer foreign = EmptyServer("foreign", "brandon", "l4");
    foreign.layers = LayerRange{0, 2'000'000'000};
    servers["foreign"] = foreign;
    CPPUNIT_ASSERT(!FitsModel(Engine(), foreign));
    for (int i = 0; i < 10; ++i)
      CPPUNIT_ASSERT(
          PlanPlacement(Engine(), servers, kServiceName, {}, {}, {}).empty());
    CPPUNIT_ASSERT_EQUAL(0, Health(servers, "brandon").uncovered_layers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayerPathPlacementTest);

}  // namespace
}  // namespace trefoilwick
