#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "layer_fleet.h"
#include "trefoilwick/layer_path.h"

namespace trefoilwick {
namespace {

constexpr int kRandomFleets = 200;
// Room that a data center needs for its share of a burst.
constexpr double kBurstTokens = 35'000;

LayoutHealth Health(const ServerMap& servers,
                    const std::string& data_center,
                    const std::set<std::string>& down = {}) {
  return AssessLayout(Engine(), servers, kServiceName, down).at(data_center);
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
  CPPUNIT_TEST(EmptyDataCenterKeepsRoomAndSecondCopies);
  CPPUNIT_TEST(ScarcestServerKeepsItsRoom);
  CPPUNIT_TEST(LargeDataCenterHoldsSeveralCopies);
  CPPUNIT_TEST(LossOfAnyServerClosesTheGap);
  CPPUNIT_TEST(LossOfACopiedServerLeavesNoGap);
  CPPUNIT_TEST(LossTakesFewOrders);
  CPPUNIT_TEST(TwoLossesLeaveRoom);
  CPPUNIT_TEST(NoLayerIsGivenUpBeforeAnotherHoldsIt);
  CPPUNIT_TEST(ReturnedServerTakesLayersAgain);
  CPPUNIT_TEST(SmallDataCentersShareOneLayout);
  CPPUNIT_TEST(PendingServersGetNoOrder);
  CPPUNIT_TEST(DrainingServersAreReplaced);
  CPPUNIT_TEST(FreshServerWaitsForTheLayersOfALeavingOne);
  CPPUNIT_TEST(CopiesWaitUntilNoGapIsOpen);
  CPPUNIT_TEST(RandomFleetsComeToRest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Memory that no request needs must hold second copies: with one copy every
  // lost server took its data center out of service.
  void EmptyDataCenterKeepsRoomAndSecondCopies() {
    ServerMap servers = EmptyFleet({"brandon"});
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    const LayoutHealth health = Health(servers, "brandon");
    CPPUNIT_ASSERT_EQUAL(0, health.uncovered_layers);
    CPPUNIT_ASSERT_EQUAL(0, health.empty_servers);
    CPPUNIT_ASSERT(health.min_layer_capacity_tokens > 2 * kBurstTokens);
    int copied = 0;
    for (int layer = 0; layer < kLayers; ++layer)
      copied += HoldersOf(servers, layer) >= 2 ? 1 : 0;
    CPPUNIT_ASSERT(copied >= kLayers / 4);
  }

  // Two layers more than fit evenly left the scarcest servers room for 77,000
  // tokens instead of 122,000, which bounded the whole data center.
  void ScarcestServerKeepsItsRoom() {
    ServerMap servers = EmptyFleet({"brandon"});
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    CPPUNIT_ASSERT(Health(servers, "brandon").min_layer_capacity_tokens >
                   120'000);
  }

  // A data center with a gap sends all of its traffic elsewhere until the
  // layers are loaded again.
  void LossOfACopiedServerLeavesNoGap() {
    const ServerMap before = PlacedFleet({"brandon"});
    int without_gap = 0;
    for (const auto& [id, lost] : before) {
      ServerMap servers = before;
      servers.erase(id);
      without_gap += Health(servers, "brandon").uncovered_layers == 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT(without_gap * 2 >= static_cast<int>(before.size()));
  }

  // A shift of all ranges around a gap took up to 13 orders. Each server in it
  // refuses the requests that ask for what it hands on.
  void LossTakesFewOrders() {
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

  // One copy over 35 servers has more parts than a path may have, and all of
  // its requests share the places of one first server.
  void LargeDataCenterHoldsSeveralCopies() {
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

  // A data center that kept a gap sent all of its traffic elsewhere until the
  // end of the day.
  void LossOfAnyServerClosesTheGap() {
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

  // Coarse steps once left a server with room for 9,000 tokens.
  void TwoLossesLeaveRoom() {
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

  // A server accepts nothing new for layers that it gives up, and holds the
  // order until the requests on them have ended.
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

  void ReturnedServerTakesLayersAgain() {
    ServerMap servers = PlacedFleet({"brandon"});
    servers.at("brandon-l4-3").layers.reset();
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    CPPUNIT_ASSERT(servers.at("brandon-l4-3").layers.has_value());
    CPPUNIT_ASSERT_EQUAL(0, Health(servers, "brandon").uncovered_layers);
  }

  // Neither data center holds the model alone, both together do.
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

  // A second order to a busy server is refused and undoes the plan.
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

  // In a release the new server starts first. One that had begun to load a copy
  // was busy when the old server left, and its data center lacked layers for
  // three seconds.
  void FreshServerWaitsForTheLayersOfALeavingOne() {
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
    // Without a gap it takes copies after a while.
    servers.erase(exposed);
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    CPPUNIT_ASSERT(servers.at("new").layers.has_value());
  }

  // More than six loads at a time slow one another down.
  void CopiesWaitUntilNoGapIsOpen() {
    ServerMap servers = PlacedFleet({"brandon", "regina"});
    servers["new"] = EmptyServer("new", "brandon", "t4");
    const std::string lost = "regina-a100s-0";
    servers.erase(lost);
    CPPUNIT_ASSERT(Health(servers, "regina").uncovered_layers > 0);
    for (const PlacementOrder& order :
         PlanPlacement(Engine(), servers, kServiceName, {}, {}))
      CPPUNIT_ASSERT_MESSAGE(order.server, order.server != "new");
  }

  // Orders have a price: planning that never rests moves layers forever.
  void RandomFleetsComeToRest() {
    Random random(7);
    int restless = 0;
    for (int i = 0; i < kRandomFleets; ++i) {
      ServerMap servers = RandomFleet(random);
      restless += RunPlacementUntilStable(servers) < 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0, restless);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayerPathPlacementTest);

}  // namespace
}  // namespace trefoilwick
