#include "trefoilwick/membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "membership_network.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

Member SampleMember(const std::string& id) {
  Member member;
  member.id = id;
  member.incarnation = 1'700'000'000'000'000;
  member.refutation = 3;
  member.state = MemberState::kSuspect;
  member.data_center = "regina";
  member.address = "10.0.0.1:80";
  member.peer_address = "10.0.0.1:81";
  member.table_version = 1234;
  return member;
}

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(CodecRoundTrip);
  CPPUNIT_TEST(MalformedBytesAreRejected);
  CPPUNIT_TEST(MessagesStayWithinByteBudget);
  CPPUNIT_TEST(JoinReachesAllMembers);
  CPPUNIT_TEST(LeavingMemberReceivesNoNewWork);
  CPPUNIT_TEST(CrashIsDetectedByAllMembers);
  CPPUNIT_TEST(SuspendedMemberBecomesLiveAgain);
  CPPUNIT_TEST(RestartedProcessReplacesOldOne);
  CPPUNIT_TEST(SilentConnectionDoesNotCauseSuspicion);
  CPPUNIT_TEST(LinkFailureIsBridgedByIndirectProbes);
  CPPUNIT_TEST(IsolatedMemberBecomesLiveAgain);
  CPPUNIT_TEST(SuspectShareIsLimited);
  CPPUNIT_TEST(RunningProcessIsNeverCertainlyGone);
  CPPUNIT_TEST(EndedProcessIsCertainlyGone);
  CPPUNIT_TEST(ItemsReachAllMembers);
  CPPUNIT_TEST(TrafficPerNodeStaysWithinLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields that are lost or swapped by the codec.
  void CodecRoundTrip() {
    GossipMessage message;
    message.sender = "e0";
    message.members = {SampleMember("e0"), Member{}, SampleMember("e2")};
    message.members[2].refutation = -1;
    message.items = {{"e1", "demand", 1'700'000'000'000'001,
                      std::string("\0\xff payload", 10)},
                     {}};
    const auto decoded = DecodeGossip(EncodeGossip(message));
    CPPUNIT_ASSERT(decoded.ok());
    CPPUNIT_ASSERT_EQUAL(message.sender, decoded->sender);
    CPPUNIT_ASSERT(message.members == decoded->members);
    CPPUNIT_ASSERT(message.items == decoded->items);
  }

  // Guards against reading past the end, large allocations and states out of
  // range when a peer sends damaged bytes.
  void MalformedBytesAreRejected() {
    GossipMessage message;
    message.sender = "e0";
    message.members = {SampleMember("e0"), SampleMember("e1")};
    message.items = {{"e1", "demand", 5, "payload"}};
    const std::string encoded = EncodeGossip(message);
    for (size_t size = 0; size < encoded.size(); ++size)
      CPPUNIT_ASSERT(!DecodeGossip(encoded.substr(0, size)).ok());
    CPPUNIT_ASSERT(!DecodeGossip(encoded + "x").ok());
    const std::string huge = "\xff\xff\xff\xff\xff\xff\xff\xff\x7f";
    CPPUNIT_ASSERT(!DecodeGossip(huge).ok());
    CPPUNIT_ASSERT(!DecodeGossip(std::string(1, '\0') + huge).ok());
    CPPUNIT_ASSERT(!DecodeGossip(std::string(20, '\xff')).ok());
    Random random(7);
    for (int i = 0; i < 20'000; ++i) {
      std::string bytes = encoded;
      for (uint64_t n = random.UniformBelow(4) + 1; n > 0; --n)
        bytes[random.UniformBelow(bytes.size())] =
            static_cast<char>(random.Next());
      const auto decoded = DecodeGossip(bytes);
      if (!decoded.ok())
        continue;
      for (const Member& member : decoded->members)
        CPPUNIT_ASSERT(kMemberStateNames.Name(member.state) != "?");
    }
  }

  // Guards against messages whose size grows with the number of members or
  // changes.
  void MessagesStayWithinByteBudget() {
    MembershipNetwork network(60, 3);
    network.RunFor(seconds(20));
    for (int i = 0; i < 20; ++i)
      network.KillNode(MembershipNetwork::NodeId(i), seconds(3));
    network.RunFor(seconds(20));
    for (const auto& [id, node] : network.nodes())
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(node->largest_message_bytes),
          node->largest_message_bytes <= MembershipOptions{}.byte_budget);
  }

  // Guards against an instance that joins but receives no work or does not
  // learn of the others.
  void JoinReachesAllMembers() {
    MembershipNetwork network(13);
    const auto formed = network.TimeUntil(
        [&] { return network.AllNodesSeeAllLive(); }, seconds(20));
    CPPUNIT_ASSERT(formed.has_value());
    network.StartNode("late");
    const auto seen = network.TimeUntil(
        [&] { return network.AllNodesSeeAllLive(); }, seconds(20));
    CPPUNIT_ASSERT(seen.has_value());
    std::cout << "\n13 members: formed in " << Seconds(*formed)
              << " s, one more seen by all in " << Seconds(*seen) << " s\n";
    CPPUNIT_ASSERT(*seen <= seconds(5));
  }

  // Guards invariant 5: no member sends new work to a leaving member for longer
  // than callers keep its address, and the state never reverts.
  void LeavingMemberReceivesNoNewWork() {
    MembershipNetwork network(13);
    network.RunFor(seconds(15));
    const std::string id = MembershipNetwork::NodeId(4);
    network.at(id).membership->Leave(network.now());
    CPPUNIT_ASSERT(network.at(id).membership->self().state ==
                   MemberState::kLeaving);
    const auto seen = network.TimeUntil(
        [&] { return network.AllNodesSee(id, MemberState::kLeaving); },
        seconds(20));
    CPPUNIT_ASSERT(seen.has_value());
    std::cout << "\n13 members: leave seen by all in " << Seconds(*seen)
              << " s\n";
    CPPUNIT_ASSERT(*seen <= seconds(5));
    for (int i = 0; i < 60; ++i) {
      network.RunFor(seconds(1));
      CPPUNIT_ASSERT(network.AllNodesSee(id, MemberState::kLeaving));
      for (const auto& [name, node] : network.nodes())
        for (const Member& member : node->membership->UsableMembers())
          CPPUNIT_ASSERT(member.id != id);
    }
  }

  // Guards the time until the chains of a crashed instance are taken over.
  void CrashIsDetectedByAllMembers() {
    Duration worst{0};
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      MembershipNetwork network(13, 3, seed);
      network.RunFor(seconds(15));
      const std::string id = MembershipNetwork::NodeId(5);
      network.KillNode(id, seconds(60));
      const auto gone = network.TimeUntil(
          [&] { return network.AllNodesSee(id, std::nullopt); }, seconds(60));
      CPPUNIT_ASSERT(gone.has_value());
      worst = std::max(worst, *gone);
      // The member is still on the instance list; that must not bring it back.
      network.RunFor(seconds(20));
      CPPUNIT_ASSERT(network.AllNodesSee(id, std::nullopt));
    }
    std::cout << "\n13 members: crash seen by all, worst of 10: "
              << Seconds(worst) << " s\n";
    // First probe of the member by any other, 1.2 s of retries, 2 s of
    // suspicion, and the time until the change reaches all.
    CPPUNIT_ASSERT(worst <= seconds(10));
  }

  // Guards against a suspended member that stays excluded after it resumed.
  void SuspendedMemberBecomesLiveAgain() {
    for (const Duration pause :
         {Duration(seconds(2)), Duration(seconds(45)), Duration(seconds(90))}) {
      MembershipNetwork network(13);
      network.RunFor(seconds(15));
      const std::string id = MembershipNetwork::NodeId(5);
      network.at(id).suspended_until = network.now() + pause;
      network.RunFor(pause);
      if (pause > seconds(20))
        CPPUNIT_ASSERT(network.AllNodesSee(id, std::nullopt));
      const auto back = network.TimeUntil(
          [&] { return network.AllNodesSeeAllLive(); }, seconds(60));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(pause.count()), back.has_value());
      std::cout << "\npause of " << Seconds(pause) << " s: live again after "
                << Seconds(*back) << " s\n";
      CPPUNIT_ASSERT(*back <= seconds(15));
    }
  }

  // Guards against late updates about the old process that hide the new one.
  void RestartedProcessReplacesOldOne() {
    MembershipNetwork network(13);
    network.RunFor(seconds(15));
    const std::string id = MembershipNetwork::NodeId(5);
    const int64_t old = network.at(id).membership->self().incarnation;
    network.at(id).alive = false;
    network.RunFor(milliseconds(500));
    network.StartNode(id);
    const int64_t fresh = network.at(id).membership->self().incarnation;
    const auto seen = network.TimeUntil(
        [&] {
          return network.AllNodesSeeAllLive() &&
                 network.at(0).membership->CertainlyGone(id, old);
        },
        seconds(30));
    CPPUNIT_ASSERT(seen.has_value());
    network.RunFor(seconds(30));
    CPPUNIT_ASSERT(network.AllNodesSeeAllLive());
    for (const auto& [name, node] : network.nodes()) {
      CPPUNIT_ASSERT(node->membership->CertainlyGone(id, old));
      CPPUNIT_ASSERT(!node->membership->CertainlyGone(id, fresh));
    }
  }

  // Guards against a member declared failed because one connection to it became
  // silent permanently.
  void SilentConnectionDoesNotCauseSuspicion() {
    MembershipNetwork network(5);
    network.RunFor(seconds(15));
    for (auto& [name, node] : network.nodes()) {
      node->changes.clear();
      for (auto& [other, unused] : network.nodes())
        if (other != name)
          network.silent_connections.insert({name, other});
    }
    network.RunFor(seconds(30));
    for (const auto& [name, node] : network.nodes())
      CPPUNIT_ASSERT_MESSAGE(name, node->changes.empty());
  }

  // Guards against members considered failed because one direction of one link
  // is down while others reach them.
  void LinkFailureIsBridgedByIndirectProbes() {
    for (const bool both : {false, true}) {
      MembershipNetwork network(7);
      network.RunFor(seconds(15));
      const std::string a = MembershipNetwork::NodeId(0);
      const std::string b = MembershipNetwork::NodeId(1);
      network.is_link_down = [=](const std::string& from,
                                 const std::string& to) {
        return (from == a && to == b) || (both && from == b && to == a);
      };
      for (int i = 0; i < 60; ++i) {
        network.RunFor(seconds(1));
        CPPUNIT_ASSERT(network.StateAt(a, b).has_value());
        CPPUNIT_ASSERT(network.StateAt(b, a).has_value());
      }
    }
  }

  // Guards against a member that stays excluded after its links recovered, also
  // when the change to gone is no longer passed on.
  void IsolatedMemberBecomesLiveAgain() {
    for (const bool both : {false, true}) {
      MembershipNetwork network(13);
      network.RunFor(seconds(15));
      const std::string id = MembershipNetwork::NodeId(5);
      network.is_link_down = [=](const std::string& from,
                                 const std::string& to) {
        return from == id || (both && to == id);
      };
      network.RunFor(seconds(120));
      network.is_link_down = nullptr;
      const auto back = network.TimeUntil(
          [&] { return network.AllNodesSeeAllLive(); }, seconds(120));
      CPPUNIT_ASSERT_MESSAGE(both ? "both ways" : "one way", back.has_value());
      std::cout << "\n13 members: isolated " << (both ? "both ways" : "one way")
                << " for 120 s, live again after " << Seconds(*back) << " s\n";
      CPPUNIT_ASSERT(*back <= seconds(20));
    }
  }

  // Guards against an instance whose own link is down and that considers all
  // others failed at once. It must keep at least half of each data center in
  // use for the time of a suspicion, and never suspect more than half at a
  // time.
  void SuspectShareIsLimited() {
    MembershipNetwork network(13);
    network.RunFor(seconds(15));
    const std::string id = MembershipNetwork::NodeId(0);
    network.is_link_down = [=](const std::string& from, const std::string& to) {
      return from == id || to == id;
    };
    for (int i = 0; i < 600; ++i) {
      network.RunFor(milliseconds(100));
      int suspects = 0;
      int others = 0;
      for (const Member& member : network.at(id).membership->View()) {
        others += member.id != id ? 1 : 0;
        suspects += member.state == MemberState::kSuspect ? 1 : 0;
      }
      CPPUNIT_ASSERT(suspects <= std::max(1, others / 2));
    }
  }

  // Guards invariant 3 where another instance answers for one that is
  // considered gone: whatever link failures and suspensions occur, and however
  // stale the list is, that must not happen while the process runs.
  void RunningProcessIsNeverCertainlyGone() {
    for (uint64_t seed = 1; seed <= 12; ++seed) {
      MembershipNetwork network(7, 2, seed);
      Random random(seed);
      network.RunFor(seconds(5));
      int joined = 0;
      for (int round = 0; round < 30; ++round) {
        const auto a =
            MembershipNetwork::NodeId(static_cast<int>(random.UniformBelow(7)));
        const bool both = random.UniformBelow(2) == 0;
        const uint64_t choice = random.UniformBelow(4);
        if (choice == 0)
          network.is_link_down = [=](const std::string& from,
                                     const std::string& to) {
            return from == a || (both && to == a);
          };
        if (choice == 1)
          network.is_link_down = nullptr;
        if (choice == 2)
          network.at(a).suspended_until = network.now() + seconds(12);
        network.instance_list_stale = random.UniformBelow(3) == 0;
        // Starts an instance that is not on the list yet.
        if (choice == 3 && joined < 4) {
          const std::string id = "new-" + std::to_string(++joined);
          network.StartNode(id, false);
          network.RunFor(milliseconds(2500));
          network.at(id).suspended_until = network.now() + seconds(12);
        }
        for (int i = 0; i < 8; ++i) {
          network.RunFor(seconds(1));
          CheckNoneCertainlyGone(network, seed);
        }
      }
    }
  }

  // Guards against requests of an ended process whose outcome is never
  // reported.
  void EndedProcessIsCertainlyGone() {
    for (const Duration unlist :
         {Duration(0), Duration(seconds(2)), Duration(seconds(30))}) {
      MembershipNetwork network(13);
      network.RunFor(seconds(15));
      const std::string id = MembershipNetwork::NodeId(5);
      const int64_t incarnation = network.at(id).membership->self().incarnation;
      network.KillNode(id, unlist);
      const auto certain = network.TimeUntil(
          [&] {
            return std::all_of(network.nodes().begin(), network.nodes().end(),
                               [&](const auto& item) {
                                 return !item.second->alive ||
                                        item.second->membership->CertainlyGone(
                                            id, incarnation);
                               });
          },
          seconds(90));
      CPPUNIT_ASSERT(certain.has_value());
      CPPUNIT_ASSERT(*certain <= unlist + seconds(10));
    }
  }

  // Guards against reports that do not reach some members, for instance a
  // quarantined fingerprint.
  void ItemsReachAllMembers();
  // Guards the target of 2 KB/s per node for all control traffic.
  void TrafficPerNodeStaysWithinLimit();

 private:
  static void CheckNoneCertainlyGone(MembershipNetwork& network,
                                     uint64_t seed) {
    for (const auto& [name, node] : network.nodes())
      for (const auto& [other, process] : network.nodes())
        CPPUNIT_ASSERT_MESSAGE(
            std::string("seed ")
                .append(std::to_string(seed))
                .append(": ")
                .append(name)
                .append(" of ")
                .append(other),
            !process->alive ||
                !node->membership->CertainlyGone(
                    other, process->membership->self().incarnation));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

struct Spread {
  const char* name;
  int nodes;
  Duration formed;
  Duration leave;
  Duration crash;
  Duration back;
  double steady_bytes;
  double busy_bytes;
};

double BytesPerSecond(MembershipNetwork& network, Duration time) {
  for (auto& [id, node] : network.nodes())
    node->total_message_bytes = 0;
  network.RunFor(time);
  uint64_t worst = 0;
  for (const auto& [id, node] : network.nodes())
    worst = std::max(worst, node->total_message_bytes);
  return static_cast<double>(worst) / Seconds(time);
}

Duration Required(const std::optional<Duration>& time, const char* what) {
  CPPUNIT_ASSERT_MESSAGE(what, time.has_value());
  return *time;
}

void MembershipTest::ItemsReachAllMembers() {
  for (const int nodes : {13, 350}) {
    MembershipNetwork network(nodes, nodes > 100 ? 18 : 3);
    network.RunFor(seconds(30));
    const std::string id = MembershipNetwork::NodeId(3);
    network.at(id).membership->Publish(network.now(), "quarantine",
                                       std::string(30, 'x'));
    const auto reached = network.TimeUntil(
        [&] { return network.received_item_counts["quarantine"] + 1 >= nodes; },
        seconds(60));
    const Duration time = Required(reached, "item");
    std::cout << "\n"
              << nodes << " members: item reaches all in " << Seconds(time)
              << " s\n";
    CPPUNIT_ASSERT(time <= seconds(15));
  }
}

void MembershipTest::TrafficPerNodeStaysWithinLimit() {
  for (const int nodes : {13, 350}) {
    MembershipNetwork network(nodes, nodes > 100 ? 18 : 3);
    const auto formed = network.TimeUntil(
        [&] {
          return network.AllNodesSee(MembershipNetwork::NodeId(1),
                                     MemberState::kLive);
        },
        seconds(60));
    network.RunFor(seconds(40));
    const double steady = BytesPerSecond(network, seconds(20));
    const std::string leaver = MembershipNetwork::NodeId(2);
    network.at(leaver).membership->Leave(network.now());
    const auto leave = network.TimeUntil(
        [&] { return network.AllNodesSee(leaver, MemberState::kLeaving); },
        seconds(60));
    const std::string crashed = MembershipNetwork::NodeId(3);
    network.KillNode(crashed, seconds(300));
    const auto crash = network.TimeUntil(
        [&] { return network.AllNodesSee(crashed, std::nullopt); },
        seconds(60));
    const std::string isolated = MembershipNetwork::NodeId(4);
    network.is_link_down = [=](const std::string& from, const std::string& to) {
      return from == isolated || to == isolated;
    };
    network.RunFor(seconds(60));
    network.is_link_down = nullptr;
    const auto back = network.TimeUntil(
        [&] { return network.AllNodesSee(isolated, MemberState::kLive); },
        seconds(180));
    // Every tenth member publishes a report of 60 bytes every second.
    for (int i = 0; i < nodes; i += 10)
      if (i != 3)
        network.at(i).membership->Publish(network.now(), "demand",
                                          std::string(60, 'x'));
    const double busy = BytesPerSecond(network, seconds(20));
    std::cout << "\n"
              << nodes << " members: a member seen by all in "
              << Seconds(Required(formed, "formed")) << " s, leave in "
              << Seconds(Required(leave, "leave")) << " s, crash in "
              << Seconds(Required(crash, "crash"))
              << " s, live again after 60 s of isolation in "
              << (back ? Seconds(*back) : -1)
              << " s; bytes/s of the busiest: " << steady << " steady, " << busy
              << " with reports\n";
    CPPUNIT_ASSERT(steady <= 2000);
    CPPUNIT_ASSERT(busy <= 2000);
    CPPUNIT_ASSERT(*leave <= seconds(12));
    CPPUNIT_ASSERT(*crash <= seconds(20));
    // The isolated member considered others gone meanwhile. At 350 members
    // those refutations compete for the byte budget, and the last member may
    // learn of them late.
    CPPUNIT_ASSERT_MESSAGE("back",
                           back && *back <= seconds(nodes > 100 ? 180 : 30));
  }
}

}  // namespace
}  // namespace trefoilwick
