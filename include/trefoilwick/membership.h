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
  // Increased by the member itself to refute a suspicion.
  int64_t refutation = 0;
  MemberState state = MemberState::kJoining;
  std::string data_center;
  // host:port for HTTP and for messages between instances.
  std::string address;
  std::string peer_address;
  // Taken only from messages of the member itself; other members do not pass it
  // on.
  int64_t table_version = 0;
  bool operator==(const Member&) const = default;
};

// Small report of an instance that is sent along with probes. Membership does
// not interpret it and keeps the one with the highest sequence per (origin,
// topic).
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
// Encodes a message in a compact binary form. Messages composed by Membership
// keep to MembershipOptions::byte_budget, unless a single item is larger than
// half of it.
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
// The record of a member changed; for logs and for the owner of the Membership.
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
  // Maximum bytes of one probe or reply. A node sends about one of each per
  // second and receives as many, so 400 bytes keep it under 2 KB/s.
  size_t byte_budget = 400;
  int indirect_probes = 2;
  // Maximum share of the members of a data center that may be suspect at once.
  double max_suspect_share = 0.5;
  // Gone members are kept this long, so that late updates do not bring them
  // back.
  Duration tombstone_retention{600'000'000};
};

// State machine that holds one entry instance's view of all of them. Not
// thread-safe.
class Membership {
 public:
  Membership(Member self, MembershipOptions options, uint64_t seed);
  ~Membership();
  void OnTick(TimePoint now);
  // A probe arrived; returns the reply.
  GossipMessage OnProbe(TimePoint now, const GossipMessage& message);
  void OnProbeReply(TimePoint now,
                    uint64_t probe_id,
                    const GossipMessage& message);
  void OnProbeFailure(TimePoint now, uint64_t probe_id);
  // The platform's list of instances. Adds unknown members, as leaving when the
  // list says so; anything that a member says of itself takes precedence. A
  // suspect member that was removed from the list is gone.
  void OnInstanceList(TimePoint now,
                      const std::vector<InstanceRecord>& entries);
  void SetTableVersion(int64_t version);
  // Publishes an item to all members; replaces the previous item of that topic.
  void Publish(TimePoint now, const std::string& topic, std::string payload);
  // Marks this instance as leaving; cannot be reverted.
  void Leave(TimePoint now);
  std::vector<MembershipAction> TakeActions();
  const Member& self() const;
  // Every known member that is not gone, self included, ordered by id.
  std::vector<Member> View() const;
  // Members that may receive new work: live or suspect, not leaving.
  std::vector<Member> UsableMembers() const;
  // True when this incarnation of an instance is certainly no longer running: a
  // later incarnation was seen, or it is gone here and was removed from the
  // platform's list.
  bool CertainlyGone(const std::string& id, int64_t incarnation) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace trefoilwick
