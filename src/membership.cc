#include "trefoilwick/membership.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace trefoilwick {

namespace {

// Encoded bytes of a record without its strings, rounded up.
constexpr size_t kMemberOverheadBytes = 24;
constexpr size_t kItemOverheadBytes = 10;
// Changes younger than this are passed on before older ones. Otherwise the
// records that all members learn when a large system starts delay later
// updates: at 350 members a leave took 57 s to reach all.
constexpr Duration kRecentChangeAge = std::chrono::seconds(60);

size_t EncodedSizeBound(const Member& member) {
  return kMemberOverheadBytes + member.id.size() + member.data_center.size() +
         member.address.size() + member.peer_address.size();
}

size_t EncodedSizeBound(const GossipItem& item) {
  return kItemOverheadBytes + item.origin.size() + item.topic.size() +
         item.payload.size();
}

// Order of the updates about one member: a higher one replaces a lower one.
auto UpdateOrder(const Member& member) {
  return std::make_tuple(member.incarnation, member.refutation, member.state);
}

struct KnownMember {
  Member member;
  // Number of times that this record was sent since it last changed.
  int send_count = 0;
  TimePoint changed_at{};
  // Time at which a suspected member becomes gone; unset when it is not
  // suspected.
  std::optional<TimePoint> suspicion_deadline;
  // Time from which the record of a gone member may be removed; unset for other
  // members.
  std::optional<TimePoint> tombstone_deadline;
  // Whether the member was on the platform's list when it was last read, and
  // whether it ever was.
  bool listed = false;
  bool was_listed = false;
};

struct KnownItem {
  GossipItem item;
  int send_count = 0;
};

// A probe in progress: first direct, then over a new connection, then through
// other members.
struct PendingProbe {
  std::string target;
  bool fresh_connection = false;
  bool indirect = false;
  int open_call_count = 1;
};

}  // namespace

struct Membership::Impl {
  Member self;
  MembershipOptions options;
  Random random;
  std::map<std::string, KnownMember> others;
  std::map<std::pair<std::string, std::string>, KnownItem> items;
  std::vector<std::string> probe_order;
  // Members of the platform's list that have not answered yet. They are probed
  // before all others, so that a new instance is usable at once.
  std::vector<std::string> unanswered_members;
  std::map<uint64_t, PendingProbe> pending_probes;
  // Probe id of an indirect call to the id of its PendingProbe, which all calls
  // of one indirect round share.
  std::map<uint64_t, uint64_t> indirect_rounds;
  uint64_t next_probe_id = 1;
  int64_t next_sequence = 1;
  TimePoint next_probe_at{};
  TimePoint now{};
  size_t rotation_index = 0;
  std::vector<MembershipAction> actions;

  Impl(Member with_self, MembershipOptions with_options, uint64_t seed)
      : self(std::move(with_self)), options(with_options), random(seed) {}

  // Number of times that a change is passed on: enough to reach every member
  // with high probability.
  int Retransmissions() const {
    return 3 * static_cast<int>(std::ceil(
                   std::log2(static_cast<double>(others.size()) + 2)));
  }

  void RecordChange(KnownMember& known) {
    known.send_count = 0;
    known.changed_at = now;
    actions.push_back(MemberChanged{known.member});
  }

  void ApplyMember(TimePoint now, const Member& update, bool from_itself);
  void ApplySelf(const Member& update);
  void ApplyItem(const GossipItem& item);
  void MergeMessage(TimePoint now, const GossipMessage& message);
  GossipMessage ComposeMessage(const std::string& receiver);
  void AppendChanges(GossipMessage& message, size_t& bytes_left);
  void AppendItems(GossipMessage& message, size_t& bytes_left);
  void AppendRotation(GossipMessage& message, size_t& bytes_left);
  // A member that is gone here but still on the platform's list is probed too:
  // otherwise two sides that each consider the other gone would never meet
  // again.
  static bool MayProbe(const KnownMember& known) {
    return known.member.state != MemberState::kGone || known.listed;
  }
  void StartProbe();
  bool ProbeTarget(const std::string& target);
  void ProbeUnansweredMembers();
  void SuspectMember(TimePoint now, const std::string& id);
  bool MaySuspect(const KnownMember& known) const;
  void SetGone(TimePoint now, KnownMember& known);
  void ExpireSuspicions(TimePoint now);
};

void Membership::Impl::ApplySelf(const Member& update) {
  // Another member considers this instance suspect or gone: it refutes that
  // with a higher number. An update about an earlier incarnation is not about
  // this process.
  if (update.incarnation != self.incarnation ||
      update.refutation < self.refutation)
    return;
  if (update.state != MemberState::kSuspect &&
      update.state != MemberState::kGone)
    return;
  self.refutation = update.refutation + 1;
}

void Membership::Impl::ApplyMember(TimePoint now,
                                   const Member& update,
                                   bool from_itself) {
  if (update.id == self.id) {
    ApplySelf(update);
    return;
  }
  auto it = others.find(update.id);
  if (it == others.end()) {
    // A gone member that was never seen needs no tombstone.
    if (update.state == MemberState::kGone)
      return;
    it = others
             .emplace(update.id,
                      KnownMember{update, 0, now, {}, {}, false, false})
             .first;
    if (!from_itself)
      it->second.member.table_version = 0;
    if (update.state == MemberState::kSuspect)
      it->second.suspicion_deadline = now + options.suspicion_timeout;
    RecordChange(it->second);
    return;
  }
  KnownMember& known = it->second;
  if (from_itself && update.incarnation == known.member.incarnation)
    known.member.table_version =
        std::max(known.member.table_version, update.table_version);
  if (UpdateOrder(update) <= UpdateOrder(known.member))
    return;
  const bool same_process = update.incarnation == known.member.incarnation;
  const int64_t version = same_process ? known.member.table_version : 0;
  known.member = update;
  if (!from_itself)
    known.member.table_version = version;
  known.tombstone_deadline.reset();
  known.suspicion_deadline.reset();
  if (update.state == MemberState::kSuspect)
    known.suspicion_deadline = now + options.suspicion_timeout;
  if (update.state == MemberState::kGone)
    known.tombstone_deadline = now + options.tombstone_retention;
  RecordChange(known);
}

void Membership::Impl::ApplyItem(const GossipItem& item) {
  if (item.origin == self.id)
    return;
  KnownItem& known = items[{item.origin, item.topic}];
  if (item.sequence <= known.item.sequence)
    return;
  known.item = item;
  known.send_count = 0;
  actions.push_back(ItemReceived{item});
}

void Membership::Impl::MergeMessage(TimePoint now,
                                    const GossipMessage& message) {
  for (const Member& member : message.members)
    ApplyMember(now, member, member.id == message.sender);
  for (const GossipItem& item : message.items)
    ApplyItem(item);
}

void Membership::Impl::AppendChanges(GossipMessage& message,
                                     size_t& bytes_left) {
  std::vector<KnownMember*> to_send;
  for (auto& [id, known] : others)
    if (known.send_count < Retransmissions())
      to_send.push_back(&known);
  std::stable_sort(to_send.begin(), to_send.end(),
                   [this](const KnownMember* a, const KnownMember* b) {
                     const bool a_old = now - a->changed_at >= kRecentChangeAge;
                     const bool b_old = now - b->changed_at >= kRecentChangeAge;
                     return a_old != b_old ? b_old
                                           : a->send_count < b->send_count;
                   });
  for (KnownMember* known : to_send) {
    const size_t size = EncodedSizeBound(known->member);
    if (size > bytes_left)
      break;
    bytes_left -= size;
    ++known->send_count;
    message.members.push_back(known->member);
  }
}

// Uses at most half of `bytes_left`, so that items and changes do not delay
// each other. An item larger than that is sent alone and exceeds the budget.
void Membership::Impl::AppendItems(GossipMessage& message, size_t& bytes_left) {
  const size_t max_bytes = bytes_left / 2;
  size_t used_bytes = 0;
  std::vector<KnownItem*> to_send;
  for (auto& [key, item] : items)
    if (item.send_count < Retransmissions())
      to_send.push_back(&item);
  std::stable_sort(to_send.begin(), to_send.end(),
                   [](const KnownItem* a, const KnownItem* b) {
                     return a->send_count < b->send_count;
                   });
  for (KnownItem* item : to_send) {
    const size_t size = EncodedSizeBound(item->item);
    if (used_bytes + size > max_bytes && (used_bytes > 0 || size <= max_bytes))
      break;
    used_bytes += size;
    ++item->send_count;
    message.items.push_back(item->item);
  }
  bytes_left -= std::min(used_bytes, bytes_left);
}

// Fills the rest of the message with records in rotation, which makes up for
// lost updates.
void Membership::Impl::AppendRotation(GossipMessage& message,
                                      size_t& bytes_left) {
  std::set<std::string> included_ids;
  for (const Member& member : message.members)
    included_ids.insert(member.id);
  for (size_t tried_count = 0; tried_count < others.size(); ++tried_count) {
    auto it = others.begin();
    std::advance(it, static_cast<int64_t>(rotation_index % others.size()));
    ++rotation_index;
    if (included_ids.count(it->first) > 0)
      continue;
    const size_t size = EncodedSizeBound(it->second.member);
    if (size > bytes_left)
      return;
    bytes_left -= size;
    message.members.push_back(it->second.member);
  }
}

GossipMessage Membership::Impl::ComposeMessage(const std::string& receiver) {
  GossipMessage message;
  message.sender = self.id;
  message.members.push_back(self);
  size_t bytes_left = options.byte_budget;
  bytes_left -= std::min(bytes_left, EncodedSizeBound(self));
  // A receiver that is considered suspect or gone must learn of it to refute
  // it; the change may no longer be passed on by any member.
  const auto it = others.find(receiver);
  if (it != others.end() && (it->second.member.state == MemberState::kSuspect ||
                             it->second.member.state == MemberState::kGone)) {
    bytes_left -= std::min(bytes_left, EncodedSizeBound(it->second.member));
    message.members.push_back(it->second.member);
  }
  AppendItems(message, bytes_left);
  AppendChanges(message, bytes_left);
  AppendRotation(message, bytes_left);
  return message;
}

void Membership::Impl::StartProbe() {
  // Members are probed in random order, each once per round, which bounds the
  // time until a failure is noticed.
  while (true) {
    if (probe_order.empty()) {
      for (const auto& [id, known] : others)
        if (MayProbe(known))
          probe_order.push_back(id);
      if (probe_order.empty())
        return;
      for (size_t i = probe_order.size(); i > 1; --i)
        std::swap(probe_order[i - 1], probe_order[random.UniformBelow(i)]);
    }
    const std::string target = probe_order.back();
    probe_order.pop_back();
    if (ProbeTarget(target))
      return;
  }
}

bool Membership::Impl::ProbeTarget(const std::string& target) {
  auto it = others.find(target);
  if (it == others.end() || !MayProbe(it->second))
    return false;
  const uint64_t probe_id = next_probe_id++;
  pending_probes[probe_id] = PendingProbe{target, false, false, 1};
  actions.push_back(
      SendProbe{probe_id, it->second.member, ComposeMessage(target), false});
  return true;
}

void Membership::Impl::ProbeUnansweredMembers() {
  while (!unanswered_members.empty()) {
    const std::string target = unanswered_members.back();
    unanswered_members.pop_back();
    auto it = others.find(target);
    if (it != others.end() && it->second.member.incarnation == 0 &&
        ProbeTarget(target))
      return;
  }
}

bool Membership::Impl::MaySuspect(const KnownMember& known) const {
  int total = 0;
  int suspect = 0;
  for (const auto& [id, other] : others) {
    if (other.member.data_center != known.member.data_center ||
        other.member.state == MemberState::kGone)
      continue;
    ++total;
    suspect += other.suspicion_deadline ? 1 : 0;
  }
  // The only member of a data center may be suspected.
  return suspect + 1 <=
         std::max(1, static_cast<int>(options.max_suspect_share * total));
}

void Membership::Impl::SuspectMember(TimePoint now, const std::string& id) {
  auto it = others.find(id);
  if (it == others.end())
    return;
  KnownMember& known = it->second;
  // A member that never answered gets no work yet, so it is not suspected.
  if (known.member.state == MemberState::kGone ||
      known.member.state == MemberState::kJoining || known.suspicion_deadline ||
      !MaySuspect(known))
    return;
  known.suspicion_deadline = now + options.suspicion_timeout;
  // A leaving member stays leaving, so that it receives no new work.
  if (known.member.state != MemberState::kLeaving)
    known.member.state = MemberState::kSuspect;
  RecordChange(known);
}

void Membership::Impl::SetGone(TimePoint now, KnownMember& known) {
  known.member.state = MemberState::kGone;
  known.suspicion_deadline.reset();
  known.tombstone_deadline = now + options.tombstone_retention;
  RecordChange(known);
}

void Membership::Impl::ExpireSuspicions(TimePoint now) {
  for (auto it = others.begin(); it != others.end();) {
    KnownMember& known = it->second;
    if (known.suspicion_deadline && now >= *known.suspicion_deadline)
      SetGone(now, known);
    if (known.tombstone_deadline && now >= *known.tombstone_deadline &&
        !known.listed)
      it = others.erase(it);
    else
      ++it;
  }
}

Membership::Membership(Member self, MembershipOptions options, uint64_t seed)
    : m_impl(std::make_unique<Impl>(std::move(self), options, seed)) {}
Membership::~Membership() = default;

void Membership::OnTick(TimePoint now) {
  m_impl->now = now;
  m_impl->ExpireSuspicions(now);
  m_impl->ProbeUnansweredMembers();
  if (now < m_impl->next_probe_at)
    return;
  // Jitter keeps instances that started together from probing at the same time.
  const auto jitter = static_cast<int64_t>(
      m_impl->random.UniformDouble() * 0.2 *
      static_cast<double>(m_impl->options.probe_interval.count()));
  m_impl->next_probe_at = now + m_impl->options.probe_interval -
                          m_impl->options.probe_interval / 10 +
                          Duration(jitter);
  m_impl->StartProbe();
}

GossipMessage Membership::OnProbe(TimePoint now, const GossipMessage& message) {
  m_impl->now = now;
  m_impl->MergeMessage(now, message);
  return m_impl->ComposeMessage(message.sender);
}

void Membership::OnProbeReply(TimePoint now,
                              uint64_t probe_id,
                              const GossipMessage& message) {
  m_impl->now = now;
  auto indirect = m_impl->indirect_rounds.find(probe_id);
  if (indirect != m_impl->indirect_rounds.end()) {
    const uint64_t round = indirect->second;
    m_impl->indirect_rounds.erase(indirect);
    m_impl->pending_probes.erase(round);
  } else {
    m_impl->pending_probes.erase(probe_id);
  }
  // The reply proves that the member is alive: a local suspicion ends even when
  // the member has not learned of it yet.
  auto it = m_impl->others.find(message.sender);
  if (it != m_impl->others.end() && it->second.suspicion_deadline) {
    it->second.suspicion_deadline.reset();
    if (it->second.member.state == MemberState::kSuspect) {
      it->second.member.state = MemberState::kLive;
      m_impl->RecordChange(it->second);
    }
  }
  m_impl->MergeMessage(now, message);
}

void Membership::OnProbeFailure(TimePoint now, uint64_t probe_id) {
  m_impl->now = now;
  auto indirect = m_impl->indirect_rounds.find(probe_id);
  const uint64_t round =
      indirect == m_impl->indirect_rounds.end() ? probe_id : indirect->second;
  if (indirect != m_impl->indirect_rounds.end())
    m_impl->indirect_rounds.erase(indirect);
  auto it = m_impl->pending_probes.find(round);
  if (it == m_impl->pending_probes.end())
    return;
  PendingProbe& pending = it->second;
  auto target = m_impl->others.find(pending.target);
  if (target == m_impl->others.end()) {
    m_impl->pending_probes.erase(it);
    return;
  }
  const Member member = target->second.member;
  if (!pending.fresh_connection) {
    // The pooled connection may have failed, not the member.
    PendingProbe retry = pending;
    retry.fresh_connection = true;
    m_impl->pending_probes.erase(it);
    const uint64_t id = m_impl->next_probe_id++;
    m_impl->pending_probes[id] = retry;
    m_impl->actions.push_back(
        SendProbe{id, member, m_impl->ComposeMessage(member.id), true});
    return;
  }
  if (!pending.indirect) {
    pending.indirect = true;
    std::vector<const Member*> helpers;
    for (const auto& [id, known] : m_impl->others)
      if (id != pending.target && known.member.state == MemberState::kLive &&
          !known.suspicion_deadline)
        helpers.push_back(&known.member);
    pending.open_call_count = 0;
    for (int i = 0; i < m_impl->options.indirect_probes && !helpers.empty();
         ++i) {
      const size_t index = m_impl->random.UniformBelow(helpers.size());
      const uint64_t id = m_impl->next_probe_id++;
      m_impl->indirect_rounds[id] = round;
      ++pending.open_call_count;
      m_impl->actions.push_back(SendIndirectProbe{
          id, *helpers[index], member, m_impl->ComposeMessage(member.id)});
      helpers.erase(helpers.begin() + static_cast<int64_t>(index));
    }
    if (pending.open_call_count > 0)
      return;
  } else if (--pending.open_call_count > 0) {
    return;
  }
  const std::string id = pending.target;
  m_impl->pending_probes.erase(it);
  m_impl->SuspectMember(now, id);
}

void Membership::OnInstanceList(TimePoint now,
                                const std::vector<InstanceRecord>& entries) {
  m_impl->now = now;
  std::set<std::string> listed_ids;
  for (const InstanceRecord& record : entries) {
    listed_ids.insert(record.id);
    if (record.id == m_impl->self.id)
      continue;
    auto it = m_impl->others.find(record.id);
    if (it == m_impl->others.end()) {
      // Incarnation 0: anything that the member says of itself takes
      // precedence.
      Member member;
      member.id = record.id;
      member.state = record.state == InstanceState::kLeaving
                         ? MemberState::kLeaving
                         : MemberState::kJoining;
      member.data_center = record.data_center;
      member.address = record.address;
      member.peer_address = record.peer_address;
      m_impl->ApplyMember(now, member, false);
      m_impl->unanswered_members.push_back(record.id);
      it = m_impl->others.find(record.id);
    }
    it->second.listed = true;
    it->second.was_listed = true;
  }
  for (auto& [id, known] : m_impl->others) {
    if (listed_ids.count(id) > 0)
      continue;
    known.listed = false;
    // The member is off the list and does not answer, so there is no need to
    // wait longer. A member that was never on the list may be newer than it.
    if (known.suspicion_deadline && known.was_listed)
      m_impl->SetGone(now, known);
  }
}

void Membership::SetTableVersion(int64_t version) {
  m_impl->self.table_version = std::max(m_impl->self.table_version, version);
}

void Membership::Publish(TimePoint,
                         const std::string& topic,
                         std::string payload) {
  // Sequences start at the incarnation, so that the items of a restarted
  // instance replace those of the previous process.
  GossipItem item{m_impl->self.id, topic,
                  m_impl->self.incarnation + m_impl->next_sequence++,
                  std::move(payload)};
  m_impl->items[{m_impl->self.id, topic}] = KnownItem{std::move(item), 0};
}

void Membership::Leave(TimePoint) {
  if (m_impl->self.state == MemberState::kLeaving)
    return;
  m_impl->self.state = MemberState::kLeaving;
  ++m_impl->self.refutation;
}

std::vector<MembershipAction> Membership::TakeActions() {
  return std::exchange(m_impl->actions, {});
}

const Member& Membership::self() const {
  return m_impl->self;
}

std::vector<Member> Membership::View() const {
  std::vector<Member> view{m_impl->self};
  for (const auto& [id, known] : m_impl->others)
    if (known.member.state != MemberState::kGone)
      view.push_back(known.member);
  std::sort(view.begin(), view.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  return view;
}

std::vector<Member> Membership::UsableMembers() const {
  std::vector<Member> usable;
  for (Member& member : View())
    if (member.state == MemberState::kLive ||
        member.state == MemberState::kSuspect)
      usable.push_back(std::move(member));
  return usable;
}

bool Membership::CertainlyGone(const std::string& id,
                               int64_t incarnation) const {
  if (id == m_impl->self.id)
    return incarnation < m_impl->self.incarnation;
  auto it = m_impl->others.find(id);
  if (it == m_impl->others.end())
    return false;
  const KnownMember& known = it->second;
  if (known.member.incarnation > incarnation)
    return true;
  return known.member.incarnation == incarnation &&
         known.member.state == MemberState::kGone && known.was_listed &&
         !known.listed;
}

}  // namespace trefoilwick
