// Instances whose store comes back from a copy: versions go back and are given
// out again in a new era.
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "../src/cluster_codec.h"
#include "coordination_harness.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 4;

class CoordinationEraTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinationEraTest);
  CPPUNIT_TEST(ListOfNewEraIsUsedByAll);
  CPPUNIT_TEST(ListOfLowerVersionIsFreshOnlyInItsEra);
  CPPUNIT_TEST(LateListOfEarlierEraIsDropped);
  CPPUNIT_TEST(ListMessageOfEarlierEraIsDropped);
  CPPUNIT_TEST(HeartbeatOfEarlierEraMakesNoListFresh);
  CPPUNIT_TEST(FollowerUsesRevivedServerLater);
  CPPUNIT_TEST(FollowerDropsServerWithoutRowLater);
  CPPUNIT_TEST(ConfigurationIsReadInNewEra);
  CPPUNIT_TEST(HolderWritesItsLeaseAgain);
  CPPUNIT_TEST(EarlierHolderDoesNotReturn);
  CPPUNIT_TEST(LostLeaseIsWrittenAgain);
  CPPUNIT_TEST(SuccessorOfKilledHolderHasHigherToken);
  CPPUNIT_TEST(InstanceThatKnowsNothingHasHigherToken);
  CPPUNIT_TEST(WriteThatIsAnsweredInAnotherEraIsReadAgain);
  CPPUNIT_TEST(TokensRiseInEveryOrderOfEvents);
  CPPUNIT_TEST_SUITE_END();

  static Cluster StartCluster() {
    Cluster cluster(kInstances);
    cluster.store().era = 1;
    cluster.store().version = 100;
    cluster.store().servers = {{"a", Server("a")}, {"b", Server("b")}};
    cluster.RunFor(seconds(3));
    return cluster;
  }

  // Makes another instance take the lease over, and returns it.
  static std::string ReplaceHolder(Cluster& cluster) {
    const std::string first = cluster.Coordinator();
    auto& node = cluster.NodeAt(cluster.IndexOf(first));
    node.store_reachable = false;
    cluster.RunFor(seconds(4));
    node.store_reachable = true;
    cluster.RunFor(seconds(1));
    std::string second = cluster.Coordinator();
    CPPUNIT_ASSERT(!second.empty() && second != first);
    return second;
  }

  static ServerState StateAt(Cluster& cluster, int index, const char* id) {
    const auto servers = cluster.NodeAt(index).coordination->usable_servers();
    return servers->at(id).state;
  }

  // Checks that each accepted lease of another holder than the one before has a
  // higher token than all leases before it.
  static void CheckTokensRise(const std::vector<LeaseRow>& leases) {
    int64_t highest = 0;
    std::map<int64_t, std::string> holders;
    for (const LeaseRow& lease : leases) {
      const auto [holder, is_new] =
          holders.emplace(lease.fencing_token, lease.holder_ip);
      CPPUNIT_ASSERT_EQUAL(holder->second, lease.holder_ip);
      if (is_new)
        CPPUNIT_ASSERT(lease.fencing_token > highest);
      highest = std::max(highest, lease.fencing_token);
    }
  }

 public:
  // All instances went on with the list from before, and counted it as fresh,
  // until as many versions had been given out again (review/14).
  void ListOfNewEraIsUsedByAll() {
    Cluster cluster = StartCluster();
    const FakeStore copy = cluster.store();
    cluster.store().version += 500;
    cluster.store().servers["c"] = Server("c");
    cluster.RunFor(seconds(1));
    cluster.store().reachable = false;
    cluster.RunFor(seconds(1));
    cluster.store().reachable = true;
    cluster.RollBack(copy);
    cluster.RunFor(milliseconds(700));
    ++cluster.store().version;
    cluster.store().servers.at("b").state = ServerState::kDraining;
    cluster.RunFor(milliseconds(1500));
    for (int i = 0; i < kInstances; ++i) {
      CPPUNIT_ASSERT(StateAt(cluster, i, "b") == ServerState::kDraining);
      // Its row is not back yet.
      CPPUNIT_ASSERT(StateAt(cluster, i, "c") == ServerState::kReady);
    }
    cluster.RunFor(seconds(3));
    for (int i = 0; i < kInstances; ++i)
      CPPUNIT_ASSERT(
          !cluster.NodeAt(i).coordination->usable_servers()->contains("c"));
  }

  static Coordination OneInstance(TimePoint now) {
    return Coordination::Builder()
        .SetAddress("10.0.0.1", "regina")
        .SetIncarnation(1)
        .Build(now);
  }

  void ListOfLowerVersionIsFreshOnlyInItsEra() {
    TimePoint now{seconds(100)};
    Coordination coordination = OneInstance(now);
    coordination.OnServerList(now, now, {1, 9}, {{"a", Server("a")}});
    now += seconds(1);
    // Of the same era: the list in use is newer than this one.
    coordination.OnServerList(now, now, {1, 8}, {});
    CPPUNIT_ASSERT(coordination.ServerListAge(now) == Duration(0));
    CPPUNIT_ASSERT(coordination.usable_servers()->contains("a"));
    now += seconds(1);
    coordination.OnServerList(now, now, {2, 8}, {{"b", Server("b")}});
    CPPUNIT_ASSERT(coordination.usable_servers()->contains("b"));
    CPPUNIT_ASSERT((coordination.list_position() == StorePosition{2, 8}));
  }

  // A response from before the roll-back that arrives after one of the new era.
  void LateListOfEarlierEraIsDropped() {
    TimePoint now{seconds(100)};
    Coordination coordination = OneInstance(now);
    coordination.OnServerList(now, now, {2, 8}, {{"a", Server("a")}});
    const TimePoint read_at = now;
    now += seconds(1);
    coordination.OnServerList(now, now, {1, 900}, {{"b", Server("b")}});
    CPPUNIT_ASSERT(!coordination.usable_servers()->contains("b"));
    CPPUNIT_ASSERT(coordination.ServerListAge(now) == now - read_at);
  }

  // A coordinator that has not heard of the new era yet still sends its list.
  void ListMessageOfEarlierEraIsDropped() {
    const TimePoint now{seconds(100)};
    Coordination coordination = OneInstance(now);
    coordination.OnServerList(now, now, {2, 8}, {{"a", Server("a")}});
    const auto receive = [&](StorePosition position) {
      coordination.OnDatagram(
          now, detail::EncodeServerList(
                   {7, position, Duration(0), {{"b", Server("b")}}}));
      return coordination.usable_servers()->contains("b");
    };
    CPPUNIT_ASSERT(!receive({1, 900}));
    CPPUNIT_ASSERT(!receive({0, 900}));
    CPPUNIT_ASSERT(!receive({2, 8}));
    CPPUNIT_ASSERT(receive({2, 9}));
  }

  void HeartbeatOfEarlierEraMakesNoListFresh() {
    TimePoint now{seconds(100)};
    Coordination coordination = OneInstance(now);
    coordination.OnServerList(now, now, {2, 8}, {{"a", Server("a")}});
    now += seconds(1);
    const auto age_after = [&](StorePosition position) {
      detail::CoordinatorHeartbeat heartbeat;
      heartbeat.fencing_token = 7;
      heartbeat.ip = "10.0.0.2";
      heartbeat.list_position = position;
      coordination.OnDatagram(now, detail::EncodeHeartbeat(heartbeat, {}));
      return coordination.ServerListAge(now);
    };
    CPPUNIT_ASSERT(age_after({1, 8}) == seconds(1));
    CPPUNIT_ASSERT(age_after({3, 8}) == seconds(1));
    CPPUNIT_ASSERT(age_after({2, 9}) == seconds(1));
    CPPUNIT_ASSERT(age_after({2, 8}) == Duration(0));
  }

  // Servers that an instance gets from the coordinator at `position`.
  static void ReceiveList(Coordination& coordination,
                          TimePoint now,
                          StorePosition position,
                          const std::vector<const char*>& ids) {
    ServerMap servers;
    for (const char* id : ids)
      servers[id] = Server(id);
    coordination.OnDatagram(
        now, detail::EncodeServerList({7, position, Duration(0), servers}));
  }

  // No list follows one that does not change. The instance went on without the
  // servers that it had left out of it, for good.
  void FollowerUsesRevivedServerLater() {
    TimePoint now{seconds(100)};
    Coordination coordination = OneInstance(now);
    ReceiveList(coordination, now, {1, 5}, {"a", "b"});
    ReceiveList(coordination, now, {1, 6}, {"a"});
    ReceiveList(coordination, now, {2, 3}, {"a", "b"});
    coordination.OnTick(now += seconds(7));
    CPPUNIT_ASSERT(!coordination.usable_servers()->contains("b"));
    coordination.OnTick(now += seconds(1));
    CPPUNIT_ASSERT(coordination.usable_servers()->contains("b"));
  }

  void FollowerDropsServerWithoutRowLater() {
    TimePoint now{seconds(100)};
    Coordination coordination = OneInstance(now);
    ReceiveList(coordination, now, {1, 5}, {"a", "b"});
    ReceiveList(coordination, now, {2, 3}, {"a"});
    coordination.OnTick(now += seconds(2));
    CPPUNIT_ASSERT(coordination.usable_servers()->contains("b"));
    coordination.OnTick(now += milliseconds(500));
    CPPUNIT_ASSERT(!coordination.usable_servers()->contains("b"));
  }

  // A change of which a watch from before does not tell.
  void ConfigurationIsReadInNewEra() {
    const TimePoint now{seconds(100)};
    Coordination coordination = OneInstance(now);
    const auto reads_after = [&](StorePosition position) {
      coordination.OnServerList(now, now, position, {});
      int reads = 0;
      for (const auto& action : coordination.TakeActions())
        reads += std::holds_alternative<ReadConfiguration>(action) ? 1 : 0;
      return reads;
    };
    CPPUNIT_ASSERT_EQUAL(0, reads_after({1, 8}));
    CPPUNIT_ASSERT_EQUAL(1, reads_after({2, 5}));
    CPPUNIT_ASSERT_EQUAL(0, reads_after({2, 6}));
  }

  void HolderWritesItsLeaseAgain() {
    Cluster cluster = StartCluster();
    const FakeStore copy = cluster.store();
    const std::string holder = cluster.Coordinator();
    cluster.RunFor(seconds(3));
    cluster.RollBack(copy);
    cluster.RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(holder, cluster.Coordinator());
    CPPUNIT_ASSERT_EQUAL(holder, cluster.store().lease.holder_ip);
    CPPUNIT_ASSERT(cluster.store().lease.position.version > copy.version);
    CheckTokensRise(cluster.accepted_leases);
  }

  // The row named the holder before the present one, which followed it, and
  // nobody coordinated; the next token was one that servers knew.
  void EarlierHolderDoesNotReturn() {
    Cluster cluster = StartCluster();
    const FakeStore copy = cluster.store();
    const std::string second = ReplaceHolder(cluster);
    cluster.RollBack(copy);
    cluster.RunFor(milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(second, cluster.Coordinator());
    CPPUNIT_ASSERT_EQUAL(second, cluster.store().lease.holder_ip);
    CheckTokensRise(cluster.accepted_leases);
  }

  // The copy is older than the first lease.
  void LostLeaseIsWrittenAgain() {
    Cluster cluster = StartCluster();
    FakeStore copy = cluster.store();
    copy.lease = LeaseRow();
    copy.version = 2;
    const std::string holder = cluster.Coordinator();
    cluster.RollBack(copy);
    cluster.RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(holder, cluster.store().lease.holder_ip);
    CheckTokensRise(cluster.accepted_leases);
  }

  void SuccessorOfKilledHolderHasHigherToken() {
    Cluster cluster = StartCluster();
    const FakeStore copy = cluster.store();
    const std::string second = ReplaceHolder(cluster);
    cluster.RollBack(copy);
    cluster.NodeAt(cluster.IndexOf(second)).alive = false;
    cluster.RunFor(seconds(4));
    CPPUNIT_ASSERT(!cluster.Coordinator().empty());
    CheckTokensRise(cluster.accepted_leases);
  }

  // All instances restart just after the roll-back: only backend servers know
  // the token of the last holder.
  void InstanceThatKnowsNothingHasHigherToken() {
    Cluster cluster = StartCluster();
    const FakeStore copy = cluster.store();
    ReplaceHolder(cluster);
    cluster.RollBack(copy);
    for (int i = 0; i < kInstances; ++i)
      cluster.StartNode(i);
    cluster.RunFor(seconds(4));
    CPPUNIT_ASSERT(!cluster.Coordinator().empty());
    CheckTokensRise(cluster.accepted_leases);
  }

  // The version that the write expected named another row by then.
  void WriteThatIsAnsweredInAnotherEraIsReadAgain() {
    TimePoint now{seconds(100)};
    Coordination coordination = OneInstance(now);
    LeaseRow lease;
    lease.holder_ip = "10.0.0.1";
    lease.holder_incarnation = 1;
    lease.fencing_token = 7;
    lease.position = {1, 9};
    coordination.OnLeaseWritten(now, LeaseWriteResult::kWritten, lease);
    lease.position = {2, 0};
    coordination.OnLeaseWritten(now, LeaseWriteResult::kUnknown, lease);
    coordination.TakeActions();
    now += seconds(1);
    coordination.OnTick(now);
    const auto actions = coordination.TakeActions();
    const auto count = [&](auto is_kind) {
      return std::count_if(actions.begin(), actions.end(), is_kind);
    };
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, count([](const auto& action) {
                           return std::holds_alternative<ReadLease>(action);
                         }));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, count([](const auto& action) {
                           return std::holds_alternative<WriteLease>(action);
                         }));
  }

  // Roll-backs, kills, cuts and lost answers at random times.
  void TokensRiseInEveryOrderOfEvents() {
    for (uint64_t seed = 1; seed <= 60; ++seed) {
      Random random(seed);
      Cluster cluster = StartCluster();
      std::vector<FakeStore> copies = {cluster.store()};
      for (int step = 0; step < 25; ++step) {
        cluster.RunFor(milliseconds(random.UniformBelow(1200)));
        auto& node =
            cluster.NodeAt(static_cast<int>(random.UniformBelow(kInstances)));
        switch (random.UniformBelow(6)) {
          case 0:
            cluster.RollBack(copies[random.UniformBelow(copies.size())]);
            copies = {cluster.store()};
            break;
          case 1:
            node.store_reachable = !node.store_reachable;
            break;
          case 2:
            node.lose_answers = !node.lose_answers;
            break;
          case 3:
            cluster.StartNode(
                static_cast<int>(random.UniformBelow(kInstances)));
            break;
          default:
            copies.push_back(cluster.store());
        }
      }
      CheckTokensRise(cluster.accepted_leases);
      for (int i = 0; i < kInstances; ++i) {
        cluster.NodeAt(i).store_reachable = true;
        cluster.NodeAt(i).lose_answers = false;
      }
      cluster.RunFor(seconds(6));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             !cluster.Coordinator().empty());
      CheckTokensRise(cluster.accepted_leases);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationEraTest);

}  // namespace
}  // namespace trefoilwick
