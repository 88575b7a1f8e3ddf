// Instances that tell each other of unreachable and slow servers.
#include <cppunit/extensions/HelperMacros.h>

#include "coordination_harness.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CoordinationHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinationHealthTest);
  CPPUNIT_TEST(ReportedUnreachableServerIsProbedFirst);
  CPPUNIT_TEST(HeartbeatsRenewUnreachableMarks);
  CPPUNIT_TEST(OwnLinkFailureIsNotBroadcast);
  CPPUNIT_TEST(ServerUnreachableFromOneInstanceIsNotConfirmedLost);
  CPPUNIT_TEST(UnreachableServerIsBroadcastOnce);
  CPPUNIT_TEST(SlowdownIsReadByOneInstanceAndShared);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportedUnreachableServerIsProbedFirst() {
    Cluster cluster(2);
    for (const char* id : {"a", "b", "c"})
      cluster.store().servers[id] = Server(id);
    cluster.RunFor(seconds(3));
    const TimePoint now = cluster.now();
    cluster.NodeAt(0).coordination->MarkUnreachable(now, "a");
    CPPUNIT_ASSERT(
        cluster.NodeAt(0).coordination->LostServers(now).contains("a"));
    Coordination& other = *cluster.NodeAt(1).coordination;
    other.OnDatagram(now, detail::EncodeUnreachableServers({"a"}));
    bool probe = false;
    for (const auto& action : other.TakeActions())
      probe |= std::holds_alternative<ProbeServer>(action);
    CPPUNIT_ASSERT(probe);
    CPPUNIT_ASSERT(other.LostServers(now).empty());
  }

  // In a large deployment not every instance may go on probing each unreachable
  // server.
  void HeartbeatsRenewUnreachableMarks() {
    Cluster cluster(2);
    for (const char* id : {"a", "b", "c"})
      cluster.store().servers[id] = Server(id);
    cluster.RunFor(seconds(3));
    const int first = cluster.IndexOf(cluster.Coordinator());
    Coordination& coordinator = *cluster.NodeAt(first).coordination;
    Coordination& other = *cluster.NodeAt(1 - first).coordination;
    other.MarkUnreachable(cluster.now(), "a");
    for (int second = 0; second < 6; ++second) {
      coordinator.MarkUnreachable(cluster.now(), "a");
      cluster.RunFor(seconds(1));
      CPPUNIT_ASSERT(other.LostServers(cluster.now()).contains("a"));
    }
    coordinator.ClearUnreachable("a");
    cluster.RunFor(seconds(3));
    CPPUNIT_ASSERT(other.LostServers(cluster.now()).empty());
  }

  // An instance whose own link is down cannot reach any server.
  void OwnLinkFailureIsNotBroadcast() {
    Cluster cluster(2);
    for (const char* id : {"a", "b", "c", "d"})
      cluster.store().servers[id] = Server(id);
    cluster.RunFor(seconds(3));
    Coordination& node = *cluster.NodeAt(0).coordination;
    node.TakeActions();
    for (const char* id : {"a", "b"})
      node.MarkUnreachable(cluster.now(), id);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, node.TakeActions().size());
    for (const char* id : {"c", "d"})
      node.MarkUnreachable(cluster.now(), id);
    CPPUNIT_ASSERT(node.TakeActions().empty());
  }

  void ServerUnreachableFromOneInstanceIsNotConfirmedLost() {
    Cluster cluster(5);
    for (const char* id : {"a", "b", "c", "d", "e"})
      cluster.store().servers[id] = Server(id);
    cluster.RunFor(seconds(3));
    const int first = cluster.IndexOf(cluster.Coordinator());
    Coordination& coordinator = *cluster.NodeAt(first).coordination;
    coordinator.MarkUnreachable(cluster.now(), "a");
    coordinator.MarkUnreachable(cluster.now(), "b");
    for (int i = 0; i < 5; ++i)
      if (i != first)
        cluster.NodeAt(i).coordination->MarkUnreachable(cluster.now(), "b");
    cluster.RunFor(milliseconds(400));
    const std::set<std::string> all =
        coordinator.ConfirmedLostServers(cluster.now(), milliseconds(300));
    CPPUNIT_ASSERT(all == std::set<std::string>{"b"});
    CPPUNIT_ASSERT(coordinator.LocallyUnreachableServers(cluster.now()) ==
                   std::set<std::string>{"a"});
    // A follower that is the only one not to reach a server learns from
    // heartbeats that others reach it.
    Coordination& other = *cluster.NodeAt((first + 1) % 5).coordination;
    other.MarkUnreachable(cluster.now(), "c");
    cluster.RunFor(milliseconds(1000));
    CPPUNIT_ASSERT(other.LocallyUnreachableServers(cluster.now()) ==
                   std::set<std::string>{"c"});
  }

  // Each of 117 instances reported each unreachable server to all others:
  // 13,600 datagrams.
  void UnreachableServerIsBroadcastOnce() {
    Cluster cluster(5);
    for (const char* id : {"a", "b", "c", "d", "e"})
      cluster.store().servers[id] = Server(id);
    cluster.RunFor(seconds(3));
    Coordination& node = *cluster.NodeAt(1).coordination;
    node.OnDatagram(cluster.now(), detail::EncodeUnreachableServers({"a"}));
    node.TakeActions();
    node.MarkUnreachable(cluster.now(), "a");
    CPPUNIT_ASSERT(node.TakeActions().empty());
    node.MarkUnreachable(cluster.now(), "b");
    CPPUNIT_ASSERT_EQUAL(size_t{4}, node.TakeActions().size());
  }

  // If every instance reads the slowdown of every slow server, the reads cost
  // those servers more than their work.
  void SlowdownIsReadByOneInstanceAndShared() {
    Cluster cluster(5);
    cluster.RunFor(seconds(3));
    Coordination& first = *cluster.NodeAt(1).coordination;
    Coordination& second = *cluster.NodeAt(2).coordination;
    first.SetSlowdown(cluster.now(), "a", 12);
    cluster.RunFor(milliseconds(200));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        12.0, second.SlowServers(cluster.now()).at("a"), 0.01);
    cluster.RunFor(milliseconds(800));
    CPPUNIT_ASSERT(second.SlowServersToRecheck(cluster.now()).empty());
    CPPUNIT_ASSERT(first.SlowServersToRecheck(cluster.now()).contains("a"));
    // When two instances read the slowdown at the same moment, only one of them
    // goes on.
    first.SetSlowdown(cluster.now(), "a", 12);
    second.SetSlowdown(cluster.now(), "a", 12);
    cluster.RunFor(milliseconds(900));
    CPPUNIT_ASSERT(first.SlowServersToRecheck(cluster.now()).empty());
    CPPUNIT_ASSERT(second.SlowServersToRecheck(cluster.now()).empty());
    // When no instance reads it any more, the others take over one after the
    // other.
    cluster.RunFor(milliseconds(1400));
    CPPUNIT_ASSERT(first.SlowServersToRecheck(cluster.now()).contains("a") ||
                   second.SlowServersToRecheck(cluster.now()).contains("a"));
    CPPUNIT_ASSERT(!second.SlowServers(cluster.now()).empty());
    second.SetSlowdown(cluster.now(), "a", 12);
    second.SetSlowdown(cluster.now(), "a", 1);
    cluster.RunFor(milliseconds(200));
    CPPUNIT_ASSERT(first.SlowServers(cluster.now()).empty());
    CPPUNIT_ASSERT(second.SlowServersToRecheck(cluster.now()).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationHealthTest);

}  // namespace
}  // namespace trefoilwick
