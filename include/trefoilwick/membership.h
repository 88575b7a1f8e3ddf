// Failure detection and gossip among entry instances (SWIM-style; A. Das,
// I. Gupta, A. Motivala, "SWIM", DSN 2002).
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "trefoilwick/kernel.h"
#include "trefoilwick/platform.h"

namespace trefoilwick {

enum class MemberState : uint8_t { kJoining, kLive, kSuspect, kLeaving, kGone };
inline constexpr auto kMemberStateNames = MakeEnumTable<MemberState>({
    {MemberState::kJoining, "joining"},
    {MemberState::kLive, "live"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kGone, "gone"},
});

struct Member {
  std::string id;
  // Start time of the process, microseconds since the Unix epoch. A restarted
  // instance has a larger one.
  int64_t incarnation = 0;
  // Raised by the member itself to refute a suspicion.
  int64_t refutation = 0;
  MemberState state = MemberState::kJoining;
  std::string data_center;
  // host:port for HTTP and for messages between instances.
  std::string address;
  std::string peer_address;
  // Learned from messages of the member itself only; not passed on by others.
  int64_t table_version = 0;
  bool operator==(const Member&) const = default;
};

// Small per-instance reports that ride on probes: opaque to membership, kept
// for the newest sequence per (origin, topic).
struct GossipItem {
  std::string origin;
  std::string topic;
  int64_t sequence = 0;
  std::string payload;
  bool operator==(const GossipItem&) const = default;
};

struct GossipMessage {
  std::string sender;
  std::vector<Member> members;
  std::vector<GossipItem> items;
};
// Compact binary form; at most `byte_budget` when encoding in Membership.
std::string EncodeGossip(const GossipMessage& message);
absl::StatusOr<GossipMessage> DecodeGossip(const std::string& bytes);

// Actions.
struct SendProbe {
  uint64_t probe_id = 0;
  Member target;
  GossipMessage message;
  // Open a new connection instead of a pooled one.
  bool fresh_connection = false;
};
struct SendIndirectProbe {
  uint64_t probe_id = 0;
  Member via;
  Member target;
  GossipMessage message;
};
// A change of the view, for logs and for the owner of the state.
struct MemberChanged {
  Member member;
};
struct ItemReceived {
  GossipItem item;
};
using MembershipAction =
    std::variant<SendProbe, SendIndirectProbe, MemberChanged, ItemReceived>;

struct MembershipOptions {
  Duration probe_interval{1'000'000};
  Duration probe_timeout{300'000};
  Duration suspicion_timeout{2'000'000};
  // Bytes of one probe or reply. A node sends about one of each a second and
  // receives as many, so 400 bytes keep it under 2 KB/s.
  size_t byte_budget = 400;
  int indirect_probes = 2;
  // Largest part of a data center's members that may be suspect at once.
  double max_suspect_share = 0.5;
  // Gone members are remembered this long, so that late news does not revive
  // them.
  Duration tombstone_retention{600'000'000};
};

// View of the entry instances held by one of them; a state machine. Not
// thread-safe.
class Membership {
 public:
  Membership(Member self, MembershipOptions options, uint64_t seed);
  ~Membership();
  void OnTick(TimePoint now);
  // A probe arrived; returns the reply.
  GossipMessage OnProbe(TimePoint now, const GossipMessage& message);
  void OnProbeReply(TimePoint now,
                    uint64_t probe,
                    const GossipMessage& message);
  void OnProbeFailure(TimePoint now, uint64_t probe);
  // The platform's list: seeds unknown members; an instance that the list
  // calls leaving, or no longer has while it is suspect here, is taken as
  // leaving or gone unless gossip has a fresher incarnation.
  void OnInstanceList(TimePoint now,
                      const std::vector<InstanceRecord>& entries);
  void SetTableVersion(int64_t version);
  // Publishes an item to all members; replaces the previous of that topic.
  void Publish(TimePoint now, const std::string& topic, std::string payload);
  // Starts leaving; never reverts.
  void Leave(TimePoint now);
  std::vector<MembershipAction> TakeActions();
  const Member& self() const;
  // Every known member that is not gone, self included, ordered by id.
  std::vector<Member> View() const;
  // Members that may get new work: live or suspect, not leaving.
  std::vector<Member> UsableMembers() const;
  // True when this incarnation of an instance is certainly no longer running:
  // a later incarnation was seen, or it is gone here and was taken off the
  // platform's list.
  bool CertainlyGone(const std::string& id, int64_t incarnation) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace trefoilwick
