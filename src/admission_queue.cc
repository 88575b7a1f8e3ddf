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

// One account within one kind. `virtual_time` is the service divided by the
// weight, counted only while another account of the kind waits.
struct QueueFlow {
  QueueKind* kind = nullptr;
  std::string account;
  double weight = 1;
  double virtual_time = 0;
  // Expected cost of popped entries that is not yet charged.
  double uncharged_cost = 0;
  // Key at which the flow began to wait; refunds do not lower the key below it.
  double min_key = 0;
  int in_service = 0;
  uint64_t sequence = 0;
  std::array<std::list<QueueEntry>, kRankCount> queued;

  double Key() const { return virtual_time + uncharged_cost / weight; }
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
  double uncharged_cost = 0;
  double min_key = 0;
  int in_service = 0;
  Rank last_rank = Rank::kOrdinary;
  // Highest virtual time popped so far. A flow that was idle starts here when
  // no other flow waits. Expected costs are left out, so that a later refund
  // does not give back virtual time to a flow that started here.
  double frontier = 0;
  // Service owed under the floor. `prepaid` is the expected cost of entries
  // popped for the floor, which was subtracted from `floor_credit` in advance.
  double floor_credit = 0;
  double prepaid = 0;
  size_t waiting_flows = 0;
  std::array<std::set<QueueFlow*, FlowOrder>, kRankCount> waiting_by_rank;
  std::unordered_map<std::string, std::unique_ptr<QueueFlow>> flows;

  double Key() const { return virtual_time + uncharged_cost / weight; }
};

}  // namespace detail

namespace {

using detail::QueueFlow;
using detail::QueueKind;

constexpr double kMinWeight = 1e-6;
// Flows without entries and without virtual time above the frontier are removed
// once this many flows are known.
constexpr size_t kMinFlowsToSweep = 4096;

size_t Index(Rank rank) {
  return static_cast<size_t>(rank);
}

// Applies `change`, which may alter the flow's key, while the flow is out of
// the ordered sets.
template <typename Change>
void UpdateFlowKey(QueueFlow& flow, Change change) {
  for (size_t rank = 0; rank < kRankCount; ++rank)
    if (!flow.queued[rank].empty())
      flow.kind->waiting_by_rank[rank].erase(&flow);
  change();
  for (size_t rank = 0; rank < kRankCount; ++rank)
    if (!flow.queued[rank].empty())
      flow.kind->waiting_by_rank[rank].insert(&flow);
}

// Entries of a kind that are served before a new one of this rank and account:
// all of higher ranks and, from every other flow, up to its weighted part of
// the entries that this account will have had served by then.
size_t EntriesServedBefore(const QueueKind& kind,
                           size_t rank,
                           const std::string& account,
                           bool refilled) {
  size_t count = 0;
  for (size_t higher = 0; higher < rank; ++higher)
    for (const QueueFlow* flow : kind.waiting_by_rank[higher])
      count += flow->queued[higher].size();
  auto own = kind.flows.find(account);
  const QueueFlow* self = own == kind.flows.end() ? nullptr : own->second.get();
  const size_t own_count = self ? self->queued[rank].size() : 0;
  const double weight = self ? self->weight : 1;
  for (const QueueFlow* flow : kind.waiting_by_rank[rank]) {
    const double weighted_count =
        std::ceil(static_cast<double>(own_count + 1) * flow->weight / weight);
    const auto max_count = static_cast<size_t>(weighted_count);
    if (flow == self)
      count += own_count;
    else
      count +=
          refilled ? max_count : std::min(flow->queued[rank].size(), max_count);
  }
  return count;
}

}  // namespace

struct FairQueue::Impl {
  struct EntryLocation {
    QueueFlow* flow;
    size_t rank;
    std::list<QueueEntry>::iterator entry;
  };

  Duration window;
  std::vector<std::unique_ptr<QueueKind>> kinds;
  std::unordered_map<std::string, QueueKind*> kind_by_name;
  std::unordered_map<std::string, EntryLocation> entry_locations;
  std::array<size_t, kRankCount> sizes{};
  std::array<double, kRankCount> frontiers{};
  // Service of all kinds in the window, as an exponentially decayed sum.
  double window_service = 0;
  TimePoint window_updated_at{};
  size_t flow_count = 0;
  size_t sweep_threshold = kMinFlowsToSweep;
  uint64_t sequence = 0;

  QueueKind& GetOrCreateKind(const std::string& name);
  QueueFlow& GetOrCreateFlow(QueueKind& kind, const std::string& account);
  QueueFlow* FindFlow(const std::string& kind, const std::string& account);
  void InsertEntry(QueueEntry entry, bool front);
  void RaiseKindKey(QueueKind& kind, size_t rank);
  void RaiseFlowKey(QueueFlow& flow);
  QueueKind* KindFurthestBelowFloor();
  QueueKind* KindWithLowestKey(size_t rank);
  QueueEntry PopEntry(QueueKind& kind, size_t rank, bool for_floor);
  void RemoveEntry(const EntryLocation& location);
  void RefundUncharged(QueueFlow& flow, double amount);
  void AccrueCredit(double cost);
  void ChargeCredit(QueueKind& kind, double cost);
  void ChargeKind(QueueKind& kind, double cost);
  void DecayWindow(TimePoint now);
  void RemoveIdleFlows();
};

QueueKind& FairQueue::Impl::GetOrCreateKind(const std::string& name) {
  QueueKind*& kind = kind_by_name[name];
  if (!kind) {
    kinds.push_back(std::make_unique<QueueKind>());
    kind = kinds.back().get();
    kind->name = name;
  }
  return *kind;
}

QueueFlow& FairQueue::Impl::GetOrCreateFlow(QueueKind& kind,
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

// A kind that begins to wait in a rank gets no credit for the time in which it
// was idle.
void FairQueue::Impl::RaiseKindKey(QueueKind& kind, size_t rank) {
  double min_key = std::numeric_limits<double>::infinity();
  for (const auto& other : kinds)
    if (other.get() != &kind && !other->waiting_by_rank[rank].empty())
      min_key = std::min(min_key, other->Key());
  if (std::isinf(min_key))
    min_key = frontiers[rank];
  kind.min_key = min_key;
  kind.virtual_time += std::max(0.0, min_key - kind.Key());
}

void FairQueue::Impl::RaiseFlowKey(QueueFlow& flow) {
  double min_key = std::numeric_limits<double>::infinity();
  for (const auto& waiting_by_rank : flow.kind->waiting_by_rank)
    if (!waiting_by_rank.empty())
      min_key = std::min(min_key, (*waiting_by_rank.begin())->Key());
  if (std::isinf(min_key))
    min_key = flow.kind->frontier;
  flow.min_key = min_key;
  flow.virtual_time += std::max(0.0, min_key - flow.Key());
}

void FairQueue::Impl::InsertEntry(QueueEntry entry, bool front) {
  if (entry_locations.contains(entry.id))
    return;
  if (flow_count >= sweep_threshold)
    RemoveIdleFlows();
  const size_t rank = Index(entry.rank);
  QueueKind& kind = GetOrCreateKind(entry.kind);
  kind.weight = std::max(entry.kind_weight, kMinWeight);
  kind.floor = std::clamp(entry.kind_floor, 0.0, 1.0);
  QueueFlow& flow = GetOrCreateFlow(kind, entry.account);
  if (kind.waiting_by_rank[rank].empty())
    RaiseKindKey(kind, rank);
  kind.last_rank = entry.rank;
  const bool was_waiting = flow.waiting();
  UpdateFlowKey(flow, [&] {
    flow.weight = std::max(entry.account_weight, kMinWeight);
    if (!was_waiting) {
      RaiseFlowKey(flow);
      flow.sequence = ++sequence;
      ++kind.waiting_flows;
    }
    auto& list = flow.queued[rank];
    auto at = list.insert(front ? list.begin() : list.end(), std::move(entry));
    entry_locations.emplace(at->id, EntryLocation{&flow, rank, at});
  });
  ++sizes[rank];
}

// The waiting kind that is furthest below its floor, if any is.
QueueKind* FairQueue::Impl::KindFurthestBelowFloor() {
  QueueKind* best = nullptr;
  for (const auto& kind : kinds) {
    if (kind->floor <= 0 || kind->floor_credit <= 0 || kind->waiting_flows == 0)
      continue;
    if (!best ||
        kind->floor_credit / kind->floor > best->floor_credit / best->floor)
      best = kind.get();
  }
  return best;
}

QueueKind* FairQueue::Impl::KindWithLowestKey(size_t rank) {
  QueueKind* best = nullptr;
  for (const auto& kind : kinds)
    if (!kind->waiting_by_rank[rank].empty() &&
        (!best || kind->Key() < best->Key()))
      best = kind.get();
  return best;
}

void FairQueue::Impl::RemoveEntry(const EntryLocation& location) {
  QueueFlow& flow = *location.flow;
  entry_locations.erase(location.entry->id);
  flow.kind->waiting_by_rank[location.rank].erase(&flow);
  flow.queued[location.rank].erase(location.entry);
  if (!flow.queued[location.rank].empty())
    flow.kind->waiting_by_rank[location.rank].insert(&flow);
  if (!flow.waiting())
    --flow.kind->waiting_flows;
  --sizes[location.rank];
}

QueueEntry FairQueue::Impl::PopEntry(QueueKind& kind,
                                     size_t rank,
                                     bool for_floor) {
  QueueFlow& flow = **kind.waiting_by_rank[rank].begin();
  kind.frontier = std::max(kind.frontier, flow.virtual_time);
  frontiers[rank] = std::max(frontiers[rank], kind.virtual_time);
  auto at = flow.queued[rank].begin();
  QueueEntry entry = *at;
  RemoveEntry({&flow, rank, at});
  const double cost = std::max(entry.expected_cost, 0.0);
  UpdateFlowKey(flow, [&] { flow.uncharged_cost += cost; });
  kind.uncharged_cost += cost;
  kind.last_rank = entry.rank;
  ++flow.in_service;
  ++kind.in_service;
  entry.selected_for_floor = for_floor;
  if (for_floor) {
    kind.floor_credit -= cost;
    kind.prepaid += cost;
  }
  return entry;
}

// Refunds the part of an estimate that will not be charged.
void FairQueue::Impl::RefundUncharged(QueueFlow& flow, double amount) {
  QueueKind& kind = *flow.kind;
  flow.in_service = std::max(0, flow.in_service - 1);
  kind.in_service = std::max(0, kind.in_service - 1);
  // Without entries in service no cost is pending; setting 0 also removes
  // errors left by wrong estimates.
  const double remaining =
      flow.in_service == 0 ? 0 : std::max(0.0, flow.uncharged_cost - amount);
  const double removed = flow.uncharged_cost - remaining;
  UpdateFlowKey(flow, [&] {
    flow.uncharged_cost = remaining;
    flow.virtual_time += std::max(0.0, flow.min_key - flow.Key());
  });
  kind.uncharged_cost =
      kind.in_service == 0 ? 0 : std::max(0.0, kind.uncharged_cost - removed);
  kind.virtual_time += std::max(0.0, kind.min_key - kind.Key());
  const double refund =
      kind.in_service == 0 ? kind.prepaid : std::min(amount, kind.prepaid);
  kind.prepaid -= refund;
  kind.floor_credit += refund;
}

void FairQueue::Impl::DecayWindow(TimePoint now) {
  if (now <= window_updated_at)
    return;
  const double elapsed =
      std::chrono::duration<double>(now - window_updated_at).count();
  const double constant = std::chrono::duration<double>(window).count();
  window_service *= std::exp(-elapsed / std::max(constant, 1e-3));
  window_updated_at = now;
}

void FairQueue::Impl::AccrueCredit(double cost) {
  for (const auto& kind : kinds) {
    if (kind->floor <= 0)
      continue;
    const bool is_waiting = kind->waiting_flows > 0;
    const double limit = is_waiting ? kind->floor * window_service : 0;
    const double new_credit =
        std::min(kind->floor_credit + kind->floor * cost, limit);
    kind->floor_credit = is_waiting ? new_credit : std::min(new_credit, 0.0);
  }
}

// Service that was not prepaid lowers the credit only slightly below zero, so
// that a kind that was served while nobody else waited does not starve when a
// flood begins.
void FairQueue::Impl::ChargeCredit(QueueKind& kind, double cost) {
  const double prepaid_cost = std::min(cost, kind.prepaid);
  kind.prepaid -= prepaid_cost;
  const double min_credit =
      std::min(kind.floor_credit, -(cost + kind.floor * window_service * 0.05));
  kind.floor_credit =
      std::max(kind.floor_credit - (cost - prepaid_cost), min_credit);
}

void FairQueue::Impl::ChargeKind(QueueKind& kind, double cost) {
  kind.uncharged_cost -= std::min(kind.uncharged_cost, cost);
  const size_t rank = Index(kind.last_rank);
  for (const auto& other : kinds) {
    if (other.get() != &kind && !other->waiting_by_rank[rank].empty()) {
      kind.virtual_time += cost / kind.weight;
      return;
    }
  }
}

// Removes idle flows that would start at the frontier anyway when they return.
void FairQueue::Impl::RemoveIdleFlows() {
  for (const auto& kind : kinds) {
    std::erase_if(kind->flows, [&](const auto& item) {
      const QueueFlow& flow = *item.second;
      const bool drop = !flow.waiting() && flow.in_service == 0 &&
                        flow.virtual_time <= kind->frontier;
      flow_count -= drop ? 1 : 0;
      return drop;
    });
  }
  sweep_threshold = std::max(kMinFlowsToSweep, 2 * flow_count);
}

FairQueue::FairQueue(Duration floor_window) : m_impl(std::make_unique<Impl>()) {
  m_impl->window = floor_window;
}
FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue&&) noexcept = default;
FairQueue& FairQueue::operator=(FairQueue&&) noexcept = default;

void FairQueue::Push(QueueEntry entry) {
  m_impl->InsertEntry(std::move(entry), false);
}

void FairQueue::PushFront(QueueEntry entry) {
  if (QueueFlow* flow = m_impl->FindFlow(entry.kind, entry.account))
    m_impl->RefundUncharged(*flow, entry.expected_cost);
  m_impl->InsertEntry(std::move(entry), true);
}

std::optional<QueueEntry> FairQueue::Pop(TimePoint now) {
  m_impl->DecayWindow(now);
  if (QueueKind* kind = m_impl->KindFurthestBelowFloor()) {
    size_t rank = 0;
    while (kind->waiting_by_rank[rank].empty())
      ++rank;
    return m_impl->PopEntry(*kind, rank, true);
  }
  for (size_t rank = 0; rank < kRankCount; ++rank)
    if (m_impl->sizes[rank] > 0)
      return m_impl->PopEntry(*m_impl->KindWithLowestKey(rank), rank, false);
  return std::nullopt;
}

bool FairQueue::Erase(const std::string& id) {
  auto found = m_impl->entry_locations.find(id);
  if (found == m_impl->entry_locations.end())
    return false;
  m_impl->RemoveEntry(Impl::EntryLocation(found->second));
  return true;
}

void FairQueue::Charge(TimePoint now,
                       const std::string& kind_name,
                       const std::string& account,
                       double cost) {
  if (!(cost > 0))
    return;
  m_impl->DecayWindow(now);
  m_impl->window_service += cost;
  QueueKind& kind = m_impl->GetOrCreateKind(kind_name);
  m_impl->AccrueCredit(cost);
  m_impl->ChargeCredit(kind, cost);
  m_impl->ChargeKind(kind, cost);
  QueueFlow& flow = m_impl->GetOrCreateFlow(kind, account);
  const size_t others = kind.waiting_flows - (flow.waiting() ? 1 : 0);
  const double covered_cost = std::min(flow.uncharged_cost, cost);
  if (covered_cost == 0 && others == 0)
    return;
  UpdateFlowKey(flow, [&] {
    flow.uncharged_cost -= covered_cost;
    if (others > 0)
      flow.virtual_time += cost / flow.weight;
  });
}

void FairQueue::FinishEntry(const std::string& kind,
                            const std::string& account,
                            double unused) {
  if (QueueFlow* flow = m_impl->FindFlow(kind, account))
    m_impl->RefundUncharged(*flow, std::max(unused, 0.0));
}

size_t FairQueue::size() const {
  return m_impl->entry_locations.size();
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
    count += kind->waiting_by_rank[Index(rank)].size();
  return count;
}

double FairQueue::LowerRankFloorSum(Rank rank) const {
  double sum = 0;
  for (const auto& kind : m_impl->kinds) {
    const bool waits_at_or_above = std::any_of(
        kind->waiting_by_rank.begin(),
        kind->waiting_by_rank.begin() + static_cast<ptrdiff_t>(rank) + 1,
        [](const auto& waiting_by_rank) { return !waiting_by_rank.empty(); });
    if ((kind->waiting_flows > 0 || kind->in_service > 0) && !waits_at_or_above)
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
        return sum + EntriesServedBefore(*kind, Index(rank), account, refilled);
      });
}

size_t FairQueue::QueuePositionInKind(Rank rank,
                                      const std::string& account,
                                      const std::string& kind) const {
  auto found = m_impl->kind_by_name.find(kind);
  return found == m_impl->kind_by_name.end()
             ? 0
             : EntriesServedBefore(*found->second, Index(rank), account, false);
}

std::vector<std::string> FairQueue::OldestIds(Rank rank, size_t limit) const {
  std::vector<const QueueEntry*> all;
  for (const auto& [id, location] : m_impl->entry_locations)
    if (location.rank == Index(rank))
      all.push_back(&*location.entry);
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
