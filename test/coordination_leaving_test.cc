// Instances that learn of a server's shutdown from its answers.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "coordination_harness.h"
#include "layer_fleet.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kBorn = 1700;
// Time for a report and a heartbeat.
constexpr Duration kSpreadTime = milliseconds(500);

class CoordinationLeavingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinationLeavingTest);
  CPPUNIT_TEST(AnnouncementHoldsWhileTheStoreIsDown);
  CPPUNIT_TEST(ListsAfterTheAnswerDoNotBringTheServerBack);
  CPPUNIT_TEST(ServerThatWasTakenOutStaysOut);
  CPPUNIT_TEST(RestartedInstanceLearnsFromTheOthers);
  CPPUNIT_TEST(AnnouncementSurvivesLossOfCoordinator);
  CPPUNIT_TEST(OtherServerAtTheAddressIsUsed);
  CPPUNIT_TEST(PathsAvoidLeavingLaterStages);
  CPPUNIT_TEST(LargeDeploymentLearnsOfSeveralServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  static BackendServer Listed(const std::string& id, int64_t born = kBorn) {
    BackendServer server = Server(id);
    server.start_unix_ms = born;
    return server;
  }

  // Starts with the servers i-1 and i-2 and waits for a coordinator.
  struct Fleet {
    explicit Fleet(int count) : cluster(count), size(count) {
      cluster.store().servers = {{"i-1", Listed("i-1")},
                                 {"i-2", Listed("i-2")}};
      cluster.RunFor(seconds(3));
    }

    Coordination& At(int index) { return *cluster.NodeAt(index).coordination; }
    void Announce(int index, const std::string& id = "i-1") {
      At(index).OnServerLeaving(cluster.now(), {id, kBorn});
    }
    // Instances that may send new requests to the server.
    int Users(const std::string& id = "i-1") {
      int users = 0;
      for (int i = 0; i < size; ++i) {
        const ServerMap& servers = *At(i).usable_servers();
        const auto found = servers.find(id);
        users += cluster.NodeAt(i).alive && found != servers.end() &&
                         found->second.state == ServerState::kReady
                     ? 1
                     : 0;
      }
      return users;
    }

    Cluster cluster;
    int size;
  };

  // Until the store was back, every list showed the server as ready.
  void AnnouncementHoldsWhileTheStoreIsDown() {
    Fleet fleet(7);
    fleet.cluster.store().reachable = false;
    fleet.cluster.RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(7, fleet.Users());
    fleet.Announce(3);
    CPPUNIT_ASSERT_EQUAL(6, fleet.Users());
    fleet.cluster.RunFor(kSpreadTime);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Users());
    fleet.cluster.RunFor(seconds(20));
    CPPUNIT_ASSERT_EQUAL(0, fleet.Users());
    CPPUNIT_ASSERT_EQUAL(7, fleet.Users("i-2"));
  }

  // Newer lists that still show the server as ready, read by the instance
  // itself and passed on by others.
  void ListsAfterTheAnswerDoNotBringTheServerBack() {
    Fleet fleet(5);
    fleet.Announce(2);
    for (int i = 0; i < 20; ++i) {
      const std::string other = "i-other-" + std::to_string(i);
      fleet.cluster.store().servers[other] = Server(other);
      ++fleet.cluster.store().version;
      fleet.cluster.RunFor(seconds(2));
      const ServerMap& servers = *fleet.At(2).usable_servers();
      CPPUNIT_ASSERT(servers.contains(other));
      CPPUNIT_ASSERT(servers.at("i-1").state == ServerState::kDraining);
    }
  }

  // A list without the server, then an older list of another instance.
  void ServerThatWasTakenOutStaysOut() {
    Fleet fleet(3);
    fleet.Announce(1);
    ServerMap& listed = fleet.cluster.store().servers;
    listed.erase("i-1");
    ++fleet.cluster.store().version;
    fleet.cluster.RunFor(seconds(60));
    listed["i-1"] = Listed("i-1");
    ++fleet.cluster.store().version;
    fleet.cluster.RunFor(seconds(2));
    CPPUNIT_ASSERT(fleet.At(1).usable_servers()->at("i-1").state ==
                   ServerState::kDraining);
    // A process that started later is used.
    listed["i-1"] = Listed("i-1", kBorn + 1);
    ++fleet.cluster.store().version;
    fleet.cluster.RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(3, fleet.Users());
  }

  void RestartedInstanceLearnsFromTheOthers() {
    Fleet fleet(5);
    const int coordinator = fleet.cluster.IndexOf(fleet.cluster.Coordinator());
    const int told = (coordinator + 1) % 5;
    fleet.Announce(told);
    fleet.cluster.RunFor(kSpreadTime);
    fleet.cluster.NodeAt(told).alive = false;
    fleet.cluster.RunFor(seconds(2));
    fleet.cluster.StartNode(told);
    fleet.cluster.RunFor(seconds(1));
    CPPUNIT_ASSERT(fleet.At(told).has_server_list());
    CPPUNIT_ASSERT_EQUAL(0, fleet.Users());
  }

  // The next coordinator and the instances that it starts with.
  void AnnouncementSurvivesLossOfCoordinator() {
    Fleet fleet(5);
    const int coordinator = fleet.cluster.IndexOf(fleet.cluster.Coordinator());
    fleet.Announce(coordinator);
    fleet.cluster.RunFor(kSpreadTime);
    fleet.cluster.NodeAt(coordinator).alive = false;
    fleet.cluster.RunFor(seconds(4));
    fleet.cluster.StartNode(coordinator);
    fleet.cluster.RunFor(seconds(2));
    CPPUNIT_ASSERT(!fleet.cluster.Coordinator().empty());
    CPPUNIT_ASSERT_EQUAL(0, fleet.Users());
  }

  // Addresses of servers that have ended are used again.
  void OtherServerAtTheAddressIsUsed() {
    Fleet fleet(3);
    fleet.Announce(1);
    fleet.cluster.store().servers["i-3"] = Listed("i-3", kBorn + 5);
    CPPUNIT_ASSERT_EQUAL(fleet.cluster.store().servers.at("i-1").address,
                         fleet.cluster.store().servers.at("i-3").address);
    ++fleet.cluster.store().version;
    fleet.cluster.RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, fleet.Users());
    CPPUNIT_ASSERT_EQUAL(3, fleet.Users("i-3"));
  }

  // The server ran the second stage of the only cheap path.
  void PathsAvoidLeavingLaterStages() {
    Fleet fleet(3);
    ServerMap& listed = fleet.cluster.store().servers;
    listed.clear();
    const auto add = [&](const std::string& id, const std::string& data_center,
                         int from, int to) {
      listed[id] = EmptyServer(id, data_center, "a100s");
      listed[id].layers = LayerRange{from, to};
      listed[id].start_unix_ms = kBorn;
    };
    for (int from = 0; from < kLayers; from += 16)
      add("near-" + std::to_string(from), "regina", from, from + 16);
    add("far-16", "brandon", 16, 32);
    ++fleet.cluster.store().version;
    fleet.cluster.RunFor(seconds(2));
    const auto second_stage = [&] {
      PathRequest request;
      request.service = kServiceName;
      request.tokens = 500;
      request.prompt_tokens = 400;
      request.data_center = "regina";
      request.allow_cross_data_center = true;
      const auto choice = ChoosePath(Engine(), *fleet.At(1).usable_servers(),
                                     {}, request, MaxMemoryUtilization(false));
      CPPUNIT_ASSERT(choice.has_value());
      return choice->path.at(1).server;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("near-16"), second_stage());
    fleet.Announce(1, "near-16");
    CPPUNIT_ASSERT_EQUAL(std::string("far-16"), second_stage());
  }

  // Four servers leave at once, each known to another instance, while the
  // store is down.
  void LargeDeploymentLearnsOfSeveralServers() {
    Fleet fleet(295);
    ServerMap& listed = fleet.cluster.store().servers;
    for (int i = 0; i < 20; ++i)
      listed["j-" + std::to_string(i)] = Listed("j-" + std::to_string(i));
    ++fleet.cluster.store().version;
    fleet.cluster.RunFor(seconds(3));
    CPPUNIT_ASSERT_EQUAL(295, fleet.Users("j-3"));
    fleet.cluster.store().reachable = false;
    for (int i = 0; i < 4; ++i)
      fleet.Announce(50 * i + 7, "j-" + std::to_string(i));
    fleet.cluster.RunFor(seconds(1));
    for (int i = 0; i < 4; ++i)
      CPPUNIT_ASSERT_EQUAL(0, fleet.Users("j-" + std::to_string(i)));
    CPPUNIT_ASSERT_EQUAL(295, fleet.Users("j-4"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationLeavingTest);

}  // namespace
}  // namespace trefoilwick
