#include <algorithm>
#include <cmath>
#include <limits>
#include <list>
#include <numeric>
#include <set>

#include "trefoilwick/admission.h"

namespace trefoilwick {
namespace detail {

struct QueueKind;

// One account within one kind. `virtual_time` is service per weight, counted
// only while somebody else of the kind waits.
struct QueueFlow {
  QueueKind* kind = nullptr;
  std::string account;
  double weight = 1;
  double virtual_time = 0;
  // Expected cost of popped entries that is not yet charged.
  double expected = 0;
  // Key below which no refund takes the flow: where it began to wait.
  double start = 0;
  int in_service = 0;
  uint64_t sequence = 0;
  std::array<std::list<QueueEntry>, kRankCount> queued;

  double Key() const { return virtual_time + expected / weight; }
  bool waiting() const {
    return std::any_of(queued.begin(), queued.end(),
                       [](const auto& list) { return !list.empty(); });
  }
};

struct FlowOrder {
  bool operator()(const QueueFlow* a, const QueueFlow* b) const {
    const double key_a = a->Key();
    const double key_b = b->Key();
    return key_a != key_b ? key_a < key_b : a->sequence < b->sequence;
  }
};

struct QueueKind {
  std::string name;
  double weight = 1;
  double floor = 0;
  double virtual_time = 0;
  double expected = 0;
  double start = 0;
  int in_service = 0;
  Rank last_rank = Rank::kOrdinary;
  // Highest virtual time popped so far: where a flow that was idle starts when
  // no other flow waits. Expected costs are left out, since what is refunded
  // later must not set back whoever starts here.
  double frontier = 0;
  // Service owed under the floor, and expected cost of entries popped for the
  // floor, which was taken from `credit` in advance.
  double credit = 0;
  double prepaid = 0;
  size_t waiting_flows = 0;
  std::array<std::set<QueueFlow*, FlowOrder>, kRankCount> active;
  std::unordered_map<std::string, std::unique_ptr<QueueFlow>> flows;

  double Key() const { return virtual_time + expected / weight; }
};

}  // namespace detail

namespace {

using detail::QueueFlow;
using detail::QueueKind;

constexpr double kMinWeight = 1e-6;
// Flows that have no entry and no claim are dropped when this many are known.
constexpr size_t kMinSweep = 4096;

size_t Index(Rank rank) {
  return static_cast<size_t>(rank);
}

// Changes what a flow's key depends on while it is out of the ordered sets.
template <typename Change>
void Rekey(QueueFlow& flow, Change change) {
  for (size_t rank = 0; rank < kRankCount; ++rank)
    if (!flow.queued[rank].empty())
      flow.kind->active[rank].erase(&flow);
  change();
  for (size_t rank = 0; rank < kRankCount; ++rank)
    if (!flow.queued[rank].empty())
      flow.kind->active[rank].insert(&flow);
}

// Entries of a kind that are served before a new one of this rank and account:
// those of higher ranks, and, by the time the new entry is served, of every
// other flow its weight's part of as many entries as this account has.
size_t AheadIn(const QueueKind& kind,
               size_t rank,
               const std::string& account,
               bool refilled) {
  size_t ahead = 0;
  for (size_t higher = 0; higher < rank; ++higher)
    for (const QueueFlow* flow : kind.active[higher])
      ahead += flow->queued[higher].size();
  auto own = kind.flows.find(account);
  const QueueFlow* self = own == kind.flows.end() ? nullptr : own->second.get();
  const size_t mine = self ? self->queued[rank].size() : 0;
  const double weight = self ? self->weight : 1;
  for (const QueueFlow* flow : kind.active[rank]) {
    const double turns =
        std::ceil(static_cast<double>(mine + 1) * flow->weight / weight);
    const auto most = static_cast<size_t>(turns);
    if (flow == self)
      ahead += mine;
    else
      ahead += refilled ? most : std::min(flow->queued[rank].size(), most);
  }
  return ahead;
}

}  // namespace

struct FairQueue::Impl {
  struct Place {
    QueueFlow* flow;
    size_t rank;
    std::list<QueueEntry>::iterator entry;
  };

  Duration window;
  std::vector<std::unique_ptr<QueueKind>> kinds;
  std::unordered_map<std::string, QueueKind*> kind_by_name;
  std::unordered_map<std::string, Place> places;
  std::array<size_t, kRankCount> sizes{};
  std::array<double, kRankCount> frontiers{};
  // Service of all kinds in the window, as an exponentially decayed sum.
  double window_service = 0;
  TimePoint window_at{};
  size_t flow_count = 0;
  size_t sweep_at = kMinSweep;
  uint64_t sequence = 0;

  QueueKind& KindOf(const std::string& name);
  QueueFlow& FlowOf(QueueKind& kind, const std::string& account);
  QueueFlow* FindFlow(const std::string& kind, const std::string& account);
  void Insert(QueueEntry entry, bool front);
  void LiftKind(QueueKind& kind, size_t rank);
  void LiftFlow(QueueFlow& flow);
  QueueKind* MostOwed();
  QueueKind* FirstKind(size_t rank);
  QueueEntry Take(QueueKind& kind, size_t rank, bool by_floor);
  void Remove(const Place& place);
  void Unreserve(QueueFlow& flow, double amount);
  void AccrueCredit(double cost);
  void ChargeCredit(QueueKind& kind, double cost);
  void ChargeKind(QueueKind& kind, double cost);
  void Decay(TimePoint now);
  void Sweep();
};

QueueKind& FairQueue::Impl::KindOf(const std::string& name) {
  QueueKind*& kind = kind_by_name[name];
  if (!kind) {
    kinds.push_back(std::make_unique<QueueKind>());
    kind = kinds.back().get();
    kind->name = name;
  }
  return *kind;
}

QueueFlow& FairQueue::Impl::FlowOf(QueueKind& kind,
                                   const std::string& account) {
  std::unique_ptr<QueueFlow>& flow = kind.flows[account];
  if (!flow) {
    flow = std::make_unique<QueueFlow>();
    flow->kind = &kind;
    flow->account = account;
    flow->virtual_time = kind.frontier;
    ++flow_count;
  }
  return *flow;
}

QueueFlow* FairQueue::Impl::FindFlow(const std::string& kind,
                                     const std::string& account) {
  auto found = kind_by_name.find(kind);
  if (found == kind_by_name.end())
    return nullptr;
  auto flow = found->second->flows.find(account);
  return flow == found->second->flows.end() ? nullptr : flow->second.get();
}

// A kind that begins to wait in a rank gets no credit for the time before.
void FairQueue::Impl::LiftKind(QueueKind& kind, size_t rank) {
  double start = std::numeric_limits<double>::infinity();
  for (const auto& other : kinds)
    if (other.get() != &kind && !other->active[rank].empty())
      start = std::min(start, other->Key());
  if (std::isinf(start))
    start = frontiers[rank];
  kind.start = start;
  kind.virtual_time += std::max(0.0, start - kind.Key());
}

void FairQueue::Impl::LiftFlow(QueueFlow& flow) {
  double start = std::numeric_limits<double>::infinity();
  for (const auto& active : flow.kind->active)
    if (!active.empty())
      start = std::min(start, (*active.begin())->Key());
  if (std::isinf(start))
    start = flow.kind->frontier;
  flow.start = start;
  flow.virtual_time += std::max(0.0, start - flow.Key());
}

void FairQueue::Impl::Insert(QueueEntry entry, bool front) {
  if (places.contains(entry.id))
    return;
  if (flow_count >= sweep_at)
    Sweep();
  const size_t rank = Index(entry.rank);
  QueueKind& kind = KindOf(entry.kind);
  kind.weight = std::max(entry.kind_weight, kMinWeight);
  kind.floor = std::clamp(entry.kind_floor, 0.0, 1.0);
  QueueFlow& flow = FlowOf(kind, entry.account);
  if (kind.active[rank].empty())
    LiftKind(kind, rank);
  kind.last_rank = entry.rank;
  const bool was_waiting = flow.waiting();
  Rekey(flow, [&] {
    flow.weight = std::max(entry.account_weight, kMinWeight);
    if (!was_waiting) {
      LiftFlow(flow);
      flow.sequence = ++sequence;
      ++kind.waiting_flows;
    }
    auto& list = flow.queued[rank];
    auto at = list.insert(front ? list.begin() : list.end(), std::move(entry));
    places.emplace(at->id, Place{&flow, rank, at});
  });
  ++sizes[rank];
}

// The waiting kind that is furthest below its floor, if any is.
QueueKind* FairQueue::Impl::MostOwed() {
  QueueKind* best = nullptr;
  for (const auto& kind : kinds) {
    if (kind->floor <= 0 || kind->credit <= 0 || kind->waiting_flows == 0)
      continue;
    if (!best || kind->credit / kind->floor > best->credit / best->floor)
      best = kind.get();
  }
  return best;
}

QueueKind* FairQueue::Impl::FirstKind(size_t rank) {
  QueueKind* best = nullptr;
  for (const auto& kind : kinds)
    if (!kind->active[rank].empty() && (!best || kind->Key() < best->Key()))
      best = kind.get();
  return best;
}

void FairQueue::Impl::Remove(const Place& place) {
  QueueFlow& flow = *place.flow;
  places.erase(place.entry->id);
  flow.kind->active[place.rank].erase(&flow);
  flow.queued[place.rank].erase(place.entry);
  if (!flow.queued[place.rank].empty())
    flow.kind->active[place.rank].insert(&flow);
  if (!flow.waiting())
    --flow.kind->waiting_flows;
  --sizes[place.rank];
}

QueueEntry FairQueue::Impl::Take(QueueKind& kind, size_t rank, bool by_floor) {
  QueueFlow& flow = **kind.active[rank].begin();
  kind.frontier = std::max(kind.frontier, flow.virtual_time);
  frontiers[rank] = std::max(frontiers[rank], kind.virtual_time);
  auto at = flow.queued[rank].begin();
  QueueEntry entry = *at;
  Remove({&flow, rank, at});
  const double cost = std::max(entry.expected_cost, 0.0);
  Rekey(flow, [&] { flow.expected += cost; });
  kind.expected += cost;
  kind.last_rank = entry.rank;
  ++flow.in_service;
  ++kind.in_service;
  entry.selected_for_floor = by_floor;
  if (by_floor) {
    kind.credit -= cost;
    kind.prepaid += cost;
  }
  return entry;
}

// Takes back the part of an estimate that will not be charged.
void FairQueue::Impl::Unreserve(QueueFlow& flow, double amount) {
  QueueKind& kind = *flow.kind;
  flow.in_service = std::max(0, flow.in_service - 1);
  kind.in_service = std::max(0, kind.in_service - 1);
  // Without entries in service nothing is expected; this also removes what
  // wrong estimates left behind.
  const double left =
      flow.in_service == 0 ? 0 : std::max(0.0, flow.expected - amount);
  const double removed = flow.expected - left;
  Rekey(flow, [&] {
    flow.expected = left;
    flow.virtual_time += std::max(0.0, flow.start - flow.Key());
  });
  kind.expected =
      kind.in_service == 0 ? 0 : std::max(0.0, kind.expected - removed);
  kind.virtual_time += std::max(0.0, kind.start - kind.Key());
  const double refund =
      kind.in_service == 0 ? kind.prepaid : std::min(amount, kind.prepaid);
  kind.prepaid -= refund;
  kind.credit += refund;
}

void FairQueue::Impl::Decay(TimePoint now) {
  if (now <= window_at)
    return;
  const double elapsed = std::chrono::duration<double>(now - window_at).count();
  const double constant = std::chrono::duration<double>(window).count();
  window_service *= std::exp(-elapsed / std::max(constant, 1e-3));
  window_at = now;
}

void FairQueue::Impl::AccrueCredit(double cost) {
  for (const auto& kind : kinds) {
    if (kind->floor <= 0)
      continue;
    const bool waits = kind->waiting_flows > 0;
    const double limit = waits ? kind->floor * window_service : 0;
    const double raised = std::min(kind->credit + kind->floor * cost, limit);
    kind->credit = waits ? raised : std::min(raised, 0.0);
  }
}

// What was not prepaid lowers the credit only a little below zero: service
// that a kind got while nobody else waited must not starve it when a flood
// begins.
void FairQueue::Impl::ChargeCredit(QueueKind& kind, double cost) {
  const double paid = std::min(cost, kind.prepaid);
  kind.prepaid -= paid;
  const double lowest =
      std::min(kind.credit, -(cost + kind.floor * window_service * 0.05));
  kind.credit = std::max(kind.credit - (cost - paid), lowest);
}

void FairQueue::Impl::ChargeKind(QueueKind& kind, double cost) {
  kind.expected -= std::min(kind.expected, cost);
  const size_t rank = Index(kind.last_rank);
  for (const auto& other : kinds) {
    if (other.get() != &kind && !other->active[rank].empty()) {
      kind.virtual_time += cost / kind.weight;
      return;
    }
  }
}

// Drops flows that would start at the frontier anyway when they come back.
void FairQueue::Impl::Sweep() {
  for (const auto& kind : kinds) {
    std::erase_if(kind->flows, [&](const auto& item) {
      const QueueFlow& flow = *item.second;
      const bool drop = !flow.waiting() && flow.in_service == 0 &&
                        flow.virtual_time <= kind->frontier;
      flow_count -= drop ? 1 : 0;
      return drop;
    });
  }
  sweep_at = std::max(kMinSweep, 2 * flow_count);
}

FairQueue::FairQueue(Duration floor_window) : m_impl(std::make_unique<Impl>()) {
  m_impl->window = floor_window;
}
FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue&&) noexcept = default;
FairQueue& FairQueue::operator=(FairQueue&&) noexcept = default;

void FairQueue::Push(QueueEntry entry) {
  m_impl->Insert(std::move(entry), false);
}

void FairQueue::PushFront(QueueEntry entry) {
  if (QueueFlow* flow = m_impl->FindFlow(entry.kind, entry.account))
    m_impl->Unreserve(*flow, entry.expected_cost);
  m_impl->Insert(std::move(entry), true);
}

std::optional<QueueEntry> FairQueue::Pop(TimePoint now) {
  m_impl->Decay(now);
  if (QueueKind* kind = m_impl->MostOwed()) {
    size_t rank = 0;
    while (kind->active[rank].empty())
      ++rank;
    return m_impl->Take(*kind, rank, true);
  }
  for (size_t rank = 0; rank < kRankCount; ++rank)
    if (m_impl->sizes[rank] > 0)
      return m_impl->Take(*m_impl->FirstKind(rank), rank, false);
  return std::nullopt;
}

bool FairQueue::Erase(const std::string& id) {
  auto found = m_impl->places.find(id);
  if (found == m_impl->places.end())
    return false;
  m_impl->Remove(Impl::Place(found->second));
  return true;
}

void FairQueue::Charge(TimePoint now,
                       const std::string& kind_name,
                       const std::string& account,
                       double cost) {
  if (!(cost > 0))
    return;
  m_impl->Decay(now);
  m_impl->window_service += cost;
  QueueKind& kind = m_impl->KindOf(kind_name);
  m_impl->AccrueCredit(cost);
  m_impl->ChargeCredit(kind, cost);
  m_impl->ChargeKind(kind, cost);
  QueueFlow& flow = m_impl->FlowOf(kind, account);
  const size_t others = kind.waiting_flows - (flow.waiting() ? 1 : 0);
  const double paid = std::min(flow.expected, cost);
  if (paid == 0 && others == 0)
    return;
  Rekey(flow, [&] {
    flow.expected -= paid;
    if (others > 0)
      flow.virtual_time += cost / flow.weight;
  });
}

void FairQueue::FinishEntry(const std::string& kind,
                            const std::string& account,
                            double unused) {
  if (QueueFlow* flow = m_impl->FindFlow(kind, account))
    m_impl->Unreserve(*flow, std::max(unused, 0.0));
}

size_t FairQueue::size() const {
  return m_impl->places.size();
}

size_t FairQueue::size(Rank rank) const {
  return m_impl->sizes[Index(rank)];
}

size_t FairQueue::QueuedForAccount(Rank rank,
                                   const std::string& account) const {
  size_t count = 0;
  for (const auto& kind : m_impl->kinds)
    if (auto it = kind->flows.find(account); it != kind->flows.end())
      count += it->second->queued[Index(rank)].size();
  return count;
}

size_t FairQueue::QueuedAccounts(Rank rank) const {
  size_t count = 0;
  for (const auto& kind : m_impl->kinds)
    count += kind->active[Index(rank)].size();
  return count;
}

double FairQueue::LowerRankFloorSum(Rank rank) const {
  double sum = 0;
  for (const auto& kind : m_impl->kinds) {
    const bool waits_above =
        std::any_of(kind->active.begin(),
                    kind->active.begin() + static_cast<ptrdiff_t>(rank) + 1,
                    [](const auto& active) { return !active.empty(); });
    if ((kind->waiting_flows > 0 || kind->in_service > 0) && !waits_above)
      sum += kind->floor;
  }
  return sum;
}

size_t FairQueue::QueuePosition(Rank rank,
                                const std::string& account,
                                bool refilled) const {
  const auto& kinds = m_impl->kinds;
  return std::accumulate(
      kinds.begin(), kinds.end(), size_t{0}, [&](size_t sum, const auto& kind) {
        return sum + AheadIn(*kind, Index(rank), account, refilled);
      });
}

size_t FairQueue::QueuePositionInKind(Rank rank,
                                      const std::string& account,
                                      const std::string& kind) const {
  auto found = m_impl->kind_by_name.find(kind);
  return found == m_impl->kind_by_name.end()
             ? 0
             : AheadIn(*found->second, Index(rank), account, false);
}

std::vector<std::string> FairQueue::OldestIds(Rank rank, size_t limit) const {
  std::vector<const QueueEntry*> all;
  for (const auto& [id, place] : m_impl->places)
    if (place.rank == Index(rank))
      all.push_back(&*place.entry);
  const auto count = std::min(limit, all.size());
  std::partial_sort(all.begin(), all.begin() + static_cast<ptrdiff_t>(count),
                    all.end(), [](const auto* a, const auto* b) {
                      return a->enqueued != b->enqueued
                                 ? a->enqueued < b->enqueued
                                 : a->id < b->id;
                    });
  std::vector<std::string> ids;
  for (size_t i = 0; i < count; ++i)
    ids.push_back(all[i]->id);
  return ids;
}

}  // namespace trefoilwick
