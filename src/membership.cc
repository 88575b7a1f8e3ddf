#include "trefoilwick/membership.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace trefoilwick {

namespace {

// Encoded size of a record beyond its strings, rounded up.
constexpr size_t kMemberOverhead = 24;
constexpr size_t kItemOverhead = 10;
// Changes younger than this are passed on before older ones. Without it, the
// records that all members learn when a large system starts hold up later news:
// at 350 members a leave took 57 s to reach all.
constexpr Duration kRecent = std::chrono::seconds(60);

size_t SizeOf(const Member& member) {
  return kMemberOverhead + member.id.size() + member.data_center.size() +
         member.address.size() + member.peer_address.size();
}

size_t SizeOf(const GossipItem& item) {
  return kItemOverhead + item.origin.size() + item.topic.size() +
         item.payload.size();
}

// Order of the news about one member: a later one replaces an earlier one.
auto Order(const Member& member) {
  return std::make_tuple(member.incarnation, member.refutation, member.state);
}

struct Known {
  Member member;
  // Times this record was sent since it last changed.
  int sent = 0;
  TimePoint changed{};
  // Set while this instance waits before it declares the member gone.
  std::optional<TimePoint> gone_at;
  // Set for gone members: when the record may be forgotten.
  std::optional<TimePoint> forget_at;
  // The platform's list named the member when it was last read, or ever.
  bool listed = false;
  bool was_listed = false;
};

struct SentItem {
  GossipItem item;
  int sent = 0;
};

// A probe in progress: direct, then over a fresh connection, then through
// other members.
struct Pending {
  std::string target;
  bool fresh = false;
  bool indirect = false;
  int open_calls = 1;
};

}  // namespace

struct Membership::Impl {
  Member self;
  MembershipOptions options;
  Random random;
  std::map<std::string, Known> others;
  std::map<std::pair<std::string, std::string>, SentItem> items;
  std::vector<std::string> probe_order;
  // Members that were named and have not answered yet; probed ahead of turn,
  // so that a new instance is usable at once.
  std::vector<std::string> unheard;
  std::map<uint64_t, Pending> pending;
  // Probe ids of the calls of one indirect round share a Pending.
  std::map<uint64_t, uint64_t> indirect_of;
  uint64_t next_probe = 1;
  int64_t next_sequence = 1;
  TimePoint next_probe_at{};
  TimePoint now{};
  size_t rotate = 0;
  std::vector<MembershipAction> actions;

  Impl(Member with_self, MembershipOptions with_options, uint64_t seed)
      : self(std::move(with_self)), options(with_options), random(seed) {}

  // Times a change is passed on: enough for every member to hear of it with
  // high probability.
  int Retransmissions() const {
    return 3 * static_cast<int>(std::ceil(
                   std::log2(static_cast<double>(others.size()) + 2)));
  }

  void Changed(Known& known) {
    known.sent = 0;
    known.changed = now;
    actions.push_back(MemberChanged{known.member});
  }

  void Apply(TimePoint now, const Member& news, bool from_itself);
  void ApplySelf(const Member& news);
  void ApplyItem(const GossipItem& item);
  void Merge(TimePoint now, const GossipMessage& message);
  GossipMessage Compose(const std::string& to);
  void AppendChanges(GossipMessage& message, size_t& left);
  void AppendItems(GossipMessage& message, size_t& left);
  void AppendRotation(GossipMessage& message, size_t& left);
  // A member that is gone here but still on the platform's list is probed too:
  // two sides that held each other for gone would else never meet again.
  static bool MayProbe(const Known& known) {
    return known.member.state != MemberState::kGone || known.listed;
  }
  void StartProbe();
  bool ProbeTarget(const std::string& target);
  void ProbeUnheard();
  void Suspect(TimePoint now, const std::string& id);
  bool MaySuspect(const Known& known) const;
  void SetGone(TimePoint now, Known& known);
  void ExpireSuspicions(TimePoint now);
};

void Membership::Impl::ApplySelf(const Member& news) {
  // Someone holds this instance for suspect or gone: refute with a higher
  // number. News of an earlier incarnation is not about this process.
  if (news.incarnation != self.incarnation || news.refutation < self.refutation)
    return;
  if (news.state != MemberState::kSuspect && news.state != MemberState::kGone)
    return;
  self.refutation = news.refutation + 1;
}

void Membership::Impl::Apply(TimePoint now,
                             const Member& news,
                             bool from_itself) {
  if (news.id == self.id) {
    ApplySelf(news);
    return;
  }
  auto it = others.find(news.id);
  if (it == others.end()) {
    // A member that was never seen is not worth a tombstone.
    if (news.state == MemberState::kGone)
      return;
    it = others.emplace(news.id, Known{news, 0, now, {}, {}, false, false})
             .first;
    if (!from_itself)
      it->second.member.table_version = 0;
    if (news.state == MemberState::kSuspect)
      it->second.gone_at = now + options.suspicion_timeout;
    Changed(it->second);
    return;
  }
  Known& known = it->second;
  if (from_itself && news.incarnation == known.member.incarnation)
    known.member.table_version =
        std::max(known.member.table_version, news.table_version);
  if (Order(news) <= Order(known.member))
    return;
  const bool same_process = news.incarnation == known.member.incarnation;
  const int64_t version = same_process ? known.member.table_version : 0;
  known.member = news;
  if (!from_itself)
    known.member.table_version = version;
  known.forget_at.reset();
  known.gone_at.reset();
  if (news.state == MemberState::kSuspect)
    known.gone_at = now + options.suspicion_timeout;
  if (news.state == MemberState::kGone)
    known.forget_at = now + options.tombstone_retention;
  Changed(known);
}

void Membership::Impl::ApplyItem(const GossipItem& item) {
  if (item.origin == self.id)
    return;
  SentItem& known = items[{item.origin, item.topic}];
  if (item.sequence <= known.item.sequence)
    return;
  known.item = item;
  known.sent = 0;
  actions.push_back(ItemReceived{item});
}

void Membership::Impl::Merge(TimePoint now, const GossipMessage& message) {
  for (const Member& member : message.members)
    Apply(now, member, member.id == message.sender);
  for (const GossipItem& item : message.items)
    ApplyItem(item);
}

void Membership::Impl::AppendChanges(GossipMessage& message, size_t& left) {
  std::vector<Known*> fresh;
  for (auto& [id, known] : others)
    if (known.sent < Retransmissions())
      fresh.push_back(&known);
  std::stable_sort(fresh.begin(), fresh.end(),
                   [this](const Known* a, const Known* b) {
                     const bool a_old = now - a->changed >= kRecent;
                     const bool b_old = now - b->changed >= kRecent;
                     return a_old != b_old ? b_old : a->sent < b->sent;
                   });
  for (Known* known : fresh) {
    const size_t size = SizeOf(known->member);
    if (size > left)
      break;
    left -= size;
    ++known->sent;
    message.members.push_back(known->member);
  }
}

// Uses up to half of `left`, so that neither items nor changes hold up the
// other. An item larger than that is sent alone, over the budget.
void Membership::Impl::AppendItems(GossipMessage& message, size_t& left) {
  const size_t share = left / 2;
  size_t used = 0;
  std::vector<SentItem*> fresh;
  for (auto& [key, item] : items)
    if (item.sent < Retransmissions())
      fresh.push_back(&item);
  std::stable_sort(
      fresh.begin(), fresh.end(),
      [](const SentItem* a, const SentItem* b) { return a->sent < b->sent; });
  for (SentItem* item : fresh) {
    const size_t size = SizeOf(item->item);
    if (used + size > share && (used > 0 || size <= share))
      break;
    used += size;
    ++item->sent;
    message.items.push_back(item->item);
  }
  left -= std::min(used, left);
}

// Fills what is left with records in turn, which repairs lost news.
void Membership::Impl::AppendRotation(GossipMessage& message, size_t& left) {
  std::set<std::string> present;
  for (const Member& member : message.members)
    present.insert(member.id);
  for (size_t tried = 0; tried < others.size(); ++tried) {
    auto it = others.begin();
    std::advance(it, static_cast<int64_t>(rotate % others.size()));
    ++rotate;
    if (present.count(it->first) > 0)
      continue;
    const size_t size = SizeOf(it->second.member);
    if (size > left)
      return;
    left -= size;
    message.members.push_back(it->second.member);
  }
}

GossipMessage Membership::Impl::Compose(const std::string& to) {
  GossipMessage message;
  message.sender = self.id;
  message.members.push_back(self);
  size_t left = options.byte_budget;
  left -= std::min(left, SizeOf(self));
  // A receiver held for failed must hear of it to refute it; the news about it
  // may no longer be passed on by anybody.
  const auto it = others.find(to);
  if (it != others.end() && (it->second.member.state == MemberState::kSuspect ||
                             it->second.member.state == MemberState::kGone)) {
    left -= std::min(left, SizeOf(it->second.member));
    message.members.push_back(it->second.member);
  }
  AppendItems(message, left);
  AppendChanges(message, left);
  AppendRotation(message, left);
  return message;
}

void Membership::Impl::StartProbe() {
  // Members are probed in a random order, each once per round, which bounds
  // the time until a failed one is noticed.
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
  const uint64_t probe = next_probe++;
  pending[probe] = Pending{target, false, false, 1};
  actions.push_back(
      SendProbe{probe, it->second.member, Compose(target), false});
  return true;
}

void Membership::Impl::ProbeUnheard() {
  while (!unheard.empty()) {
    const std::string target = unheard.back();
    unheard.pop_back();
    auto it = others.find(target);
    if (it != others.end() && it->second.member.incarnation == 0 &&
        ProbeTarget(target))
      return;
  }
}

bool Membership::Impl::MaySuspect(const Known& known) const {
  int total = 0;
  int suspect = 0;
  for (const auto& [id, other] : others) {
    if (other.member.data_center != known.member.data_center ||
        other.member.state == MemberState::kGone)
      continue;
    ++total;
    suspect += other.gone_at ? 1 : 0;
  }
  // A lone member of a data center may be suspected.
  return suspect + 1 <=
         std::max(1, static_cast<int>(options.max_suspect_share * total));
}

void Membership::Impl::Suspect(TimePoint now, const std::string& id) {
  auto it = others.find(id);
  if (it == others.end())
    return;
  Known& known = it->second;
  // A member that never answered is of no use yet, so it is not suspected.
  if (known.member.state == MemberState::kGone ||
      known.member.state == MemberState::kJoining || known.gone_at ||
      !MaySuspect(known))
    return;
  known.gone_at = now + options.suspicion_timeout;
  // A leaving member stays leaving, so that it gets no new work.
  if (known.member.state != MemberState::kLeaving)
    known.member.state = MemberState::kSuspect;
  Changed(known);
}

void Membership::Impl::SetGone(TimePoint now, Known& known) {
  known.member.state = MemberState::kGone;
  known.gone_at.reset();
  known.forget_at = now + options.tombstone_retention;
  Changed(known);
}

void Membership::Impl::ExpireSuspicions(TimePoint now) {
  for (auto it = others.begin(); it != others.end();) {
    Known& known = it->second;
    if (known.gone_at && now >= *known.gone_at)
      SetGone(now, known);
    if (known.forget_at && now >= *known.forget_at && !known.listed)
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
  m_impl->ProbeUnheard();
  if (now < m_impl->next_probe_at)
    return;
  // Jitter keeps instances that started together from probing in step.
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
  m_impl->Merge(now, message);
  return m_impl->Compose(message.sender);
}

void Membership::OnProbeReply(TimePoint now,
                              uint64_t probe,
                              const GossipMessage& message) {
  m_impl->now = now;
  auto indirect = m_impl->indirect_of.find(probe);
  if (indirect != m_impl->indirect_of.end()) {
    const uint64_t round = indirect->second;
    m_impl->indirect_of.erase(indirect);
    m_impl->pending.erase(round);
  } else {
    m_impl->pending.erase(probe);
  }
  // The answer itself is the proof of life: a local suspicion ends even when
  // the member has not heard of it yet.
  auto it = m_impl->others.find(message.sender);
  if (it != m_impl->others.end() && it->second.gone_at) {
    it->second.gone_at.reset();
    if (it->second.member.state == MemberState::kSuspect) {
      it->second.member.state = MemberState::kLive;
      m_impl->Changed(it->second);
    }
  }
  m_impl->Merge(now, message);
}

void Membership::OnProbeFailure(TimePoint now, uint64_t probe) {
  m_impl->now = now;
  auto indirect = m_impl->indirect_of.find(probe);
  const uint64_t round =
      indirect == m_impl->indirect_of.end() ? probe : indirect->second;
  if (indirect != m_impl->indirect_of.end())
    m_impl->indirect_of.erase(indirect);
  auto it = m_impl->pending.find(round);
  if (it == m_impl->pending.end())
    return;
  Pending& pending = it->second;
  auto target = m_impl->others.find(pending.target);
  if (target == m_impl->others.end()) {
    m_impl->pending.erase(it);
    return;
  }
  const Member member = target->second.member;
  if (!pending.fresh) {
    // The old connection may be at fault, not the member.
    Pending again = pending;
    again.fresh = true;
    m_impl->pending.erase(it);
    const uint64_t id = m_impl->next_probe++;
    m_impl->pending[id] = again;
    m_impl->actions.push_back(
        SendProbe{id, member, m_impl->Compose(member.id), true});
    return;
  }
  if (!pending.indirect) {
    pending.indirect = true;
    std::vector<const Member*> helpers;
    for (const auto& [id, known] : m_impl->others)
      if (id != pending.target && known.member.state == MemberState::kLive &&
          !known.gone_at)
        helpers.push_back(&known.member);
    pending.open_calls = 0;
    for (int i = 0; i < m_impl->options.indirect_probes && !helpers.empty();
         ++i) {
      const size_t pick = m_impl->random.UniformBelow(helpers.size());
      const uint64_t id = m_impl->next_probe++;
      m_impl->indirect_of[id] = round;
      ++pending.open_calls;
      m_impl->actions.push_back(SendIndirectProbe{id, *helpers[pick], member,
                                                  m_impl->Compose(member.id)});
      helpers.erase(helpers.begin() + static_cast<int64_t>(pick));
    }
    if (pending.open_calls > 0)
      return;
  } else if (--pending.open_calls > 0) {
    return;
  }
  const std::string id = pending.target;
  m_impl->pending.erase(it);
  m_impl->Suspect(now, id);
}

void Membership::OnInstanceList(TimePoint now,
                                const std::vector<InstanceRecord>& entries) {
  m_impl->now = now;
  std::set<std::string> listed;
  for (const InstanceRecord& record : entries) {
    listed.insert(record.id);
    if (record.id == m_impl->self.id)
      continue;
    auto it = m_impl->others.find(record.id);
    if (it == m_impl->others.end()) {
      // Incarnation 0: anything the member says of itself is fresher.
      Member member;
      member.id = record.id;
      member.state = record.state == InstanceState::kLeaving
                         ? MemberState::kLeaving
                         : MemberState::kJoining;
      member.data_center = record.data_center;
      member.address = record.address;
      member.peer_address = record.peer_address;
      m_impl->Apply(now, member, false);
      m_impl->unheard.push_back(record.id);
      it = m_impl->others.find(record.id);
    }
    it->second.listed = true;
    it->second.was_listed = true;
  }
  for (auto& [id, known] : m_impl->others) {
    if (listed.count(id) > 0)
      continue;
    known.listed = false;
    // Taken off the list and not answering: no need to wait any longer. A
    // member that was never on it may be newer than the list.
    if (known.gone_at && known.was_listed)
      m_impl->SetGone(now, known);
  }
}

void Membership::SetTableVersion(int64_t version) {
  m_impl->self.table_version = std::max(m_impl->self.table_version, version);
}

void Membership::Publish(TimePoint,
                         const std::string& topic,
                         std::string payload) {
  // Sequences start at the incarnation, so that a restarted instance's items
  // replace those of its predecessor.
  GossipItem item{m_impl->self.id, topic,
                  m_impl->self.incarnation + m_impl->next_sequence++,
                  std::move(payload)};
  m_impl->items[{m_impl->self.id, topic}] = SentItem{std::move(item), 0};
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
  const Known& known = it->second;
  if (known.member.incarnation > incarnation)
    return true;
  return known.member.incarnation == incarnation &&
         known.member.state == MemberState::kGone && known.was_listed &&
         !known.listed;
}

}  // namespace trefoilwick
