#include "trefoilwick/admission.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>
#include <utility>

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

constexpr size_t kShardCount = 64;
constexpr Duration kActiveWindow = seconds(10);
// Time constant of the demand average: smooths single requests, and still
// reports a flood within a few seconds.
constexpr Seconds kDemandTimeConstant{4};
// Demand counts as unchanged while it differs from the last report by at most
// this many standard deviations of random arrivals, but never by more than this
// fraction of the report.
constexpr double kArrivalNoiseStdDevs = 2;
constexpr double kMaxReportTolerance = 0.6;
// Factor by which the remembered largest request decays with every request.
constexpr double kLargestCostDecay = 0.9;
// An account without a request for this many mean intervals is assumed to have
// moved to another instance. Most of its share is then given up before the
// average has decayed.
constexpr double kStoppedAfterMeanIntervals = 8;
constexpr double kStoppedDemandFraction = 0.1;
// The time at which a running request ends is not known.
constexpr Duration kConcurrentRetryDelay = milliseconds(100);
// Demand is summed in thousandths of a token per second, so that subtracting a
// report leaves no rounding error.
constexpr double kDemandUnitsPerToken = 1000;

// Demand that peers report for each account, as the request path sees it.
struct PeerDemand {
  std::unordered_map<std::string, int64_t> total_by_account;
  // Arrival time of the newest report.
  TimePoint newest_report_at;
  // Arrival time of the first report since the start or since a time without
  // reports.
  TimePoint first_report_at;
  bool has_valid_report = false;
};

// The part of a PeerDemand that concerns one account.
struct AccountView {
  int64_t others = 0;
  TimePoint newest_report_at;
  TimePoint first_report_at;
  bool has_valid_report = false;
};

// A token bucket that starts with `initial` tokens and refills up to `depth`.
// The balance is negative while the bucket is in debt.
class TokenBucket {
 public:
  void Refill(TimePoint now, double rate, double depth, double initial) {
    if (!m_started) {
      m_balance = initial;
      m_started = true;
    } else if (now > m_refilled_at) {
      m_balance += rate * Seconds(now - m_refilled_at).count();
    }
    m_refilled_at = std::max(m_refilled_at, now);
    m_depth = depth;
    m_balance = std::min(m_balance, depth);
  }
  // Time until the balance reaches `needed`; 0 when it already does.
  Duration TimeUntil(double needed, double rate) const {
    const double missing = needed - m_balance;
    // Tolerates the rounding of a wait that was returned earlier.
    if (missing <= 1e-6 * needed)
      return Duration(0);
    return std::chrono::ceil<Duration>(Seconds(missing / rate));
  }
  void AddTokens(double tokens) {
    m_balance = std::min(m_balance + tokens, m_depth);
  }

 private:
  double m_balance = 0;
  double m_depth = 0;
  TimePoint m_refilled_at{};
  bool m_started = false;
};

// Exponential moving average of the demand per second, in tokens or requests.
class DemandMeter {
 public:
  void RecordDemand(TimePoint now, double amount) {
    m_value = ValueAt(now) + amount / kDemandTimeConstant.count();
    m_last_request_at = std::max(m_last_request_at, now);
  }
  double ValueAt(TimePoint now) const {
    const Seconds past = std::max(Duration(0), now - m_last_request_at);
    return m_value * std::exp(-(past / kDemandTimeConstant));
  }
  TimePoint last_request_at() const { return m_last_request_at; }

 private:
  double m_value = 0;
  TimePoint m_last_request_at{};
};

struct PublishedDemand {
  TimePoint at;
  int64_t demand = 0;
};

}  // namespace

struct AccountLimiter::Impl {
  struct State {
    std::mutex mutex;
    TokenBucket requests;
    TokenBucket tokens;
    // Largest cost of recent requests, in tokens, decayed by every request.
    double largest_cost = 0;
    int running = 0;
    bool limited = false;
    DemandMeter demand;
    // Demand in requests per second.
    DemandMeter request_rate_meter;
    // First request after the account was inactive.
    TimePoint active_since;
    // Reports of the last propagation delay and the one before them, oldest
    // first.
    std::vector<PublishedDemand> published;
    // Copied from the snapshot of this version.
    AccountView view;
    uint64_t view_version = 0;
  };
  struct Shard {
    std::shared_mutex mutex;
    // States are never removed while the limiter exists.
    std::unordered_map<std::string, std::unique_ptr<State>> states;
  };
  struct PeerReport {
    TimePoint at;
    std::vector<std::pair<std::string, int64_t>> demand;
  };

  explicit Impl(AccountLimiterOptions limiter_options)
      : options(limiter_options),
        snapshot(std::make_shared<const PeerDemand>()) {}

  Shard& ShardFor(const std::string& account) {
    return shards[std::hash<std::string>()(account) % kShardCount];
  }

  State* FindState(const std::string& account) {
    Shard& shard = ShardFor(account);
    std::shared_lock lock(shard.mutex);
    auto it = shard.states.find(account);
    return it == shard.states.end() ? nullptr : it->second.get();
  }

  State& StateFor(const std::string& account) {
    if (State* state = FindState(account))
      return *state;
    Shard& shard = ShardFor(account);
    std::unique_lock lock(shard.mutex);
    auto& state = shard.states[account];
    if (!state)
      state = std::make_unique<State>();
    return *state;
  }

  Duration PropagationDelay(int instances) const {
    const double doublings = std::log2(std::max(1, instances));
    return options.propagation_delay_base +
           std::chrono::duration_cast<Duration>(
               options.propagation_delay_per_doubling * doublings);
  }

  // The lowest demand that this instance reported during the propagation delay
  // before the newest report of a peer; 0 when it did not report during a part
  // of that time.
  static int64_t LowestReportedDemand(const State& state,
                                      TimePoint window_start) {
    int64_t lowest = -1;
    for (const PublishedDemand& report : state.published)
      if (lowest < 0 || report.at <= window_start)
        lowest = report.demand;
      else
        lowest = std::min(lowest, report.demand);
    const bool covers_window =
        !state.published.empty() && state.published.front().at <= window_start;
    return covers_window ? std::max<int64_t>(0, lowest) : 0;
  }

  AccountView ViewForAccount(const std::string& account) const {
    const auto demand = snapshot.Load();
    auto it = demand->total_by_account.find(account);
    return {it == demand->total_by_account.end() ? 0 : it->second,
            demand->newest_report_at, demand->first_report_at,
            demand->has_valid_report};
  }

  // The state's copy of the snapshot; requests of different accounts thereby
  // share no reference count. The caller holds the state's mutex.
  const AccountView& ViewForAccount(const std::string& account,
                                    State& state) const {
    const uint64_t version = snapshot_version.load(std::memory_order_acquire);
    if (state.view_version != version) {
      state.view = ViewForAccount(account);
      state.view_version = version;
    }
    return state.view;
  }

  double ComputeShare(TimePoint now,
                      const State* state,
                      const AccountView& view) const {
    const int count = std::max(1, instances.load(std::memory_order_relaxed));
    const double equal_share = 1.0 / count;
    if (count == 1)
      return 1;
    if (!view.has_valid_report ||
        now - view.newest_report_at > options.report_ttl)
      return equal_share;
    // An instance that receives no reports probably reaches nobody either, so
    // its newer reports do not count.
    const Duration propagation_delay = PropagationDelay(count);
    const TimePoint last_contact =
        std::min(now, view.newest_report_at + options.propagation_delay_base);
    // After a time without reports, the reports of all instances arrive within
    // the propagation delay.
    if (now - view.first_report_at < propagation_delay)
      return equal_share;
    const int64_t own =
        state ? LowestReportedDemand(*state, last_contact - propagation_delay)
              : 0;
    // The first reports of a newly active instance have not reached all others
    // yet.
    const bool is_new =
        !state || now - state->active_since <=
                      propagation_delay + options.propagation_delay_base;
    const double share_without_own_demand =
        view.others == 0 || is_new ? equal_share : options.floor * equal_share;
    if (own == 0)
      return share_without_own_demand;
    const double demand_fraction =
        static_cast<double>(own) / static_cast<double>(own + view.others);
    return std::max(options.floor * equal_share, demand_fraction);
  }

  // Rebuilds the snapshot if reports changed or expired; at most once per
  // refresh interval unless forced.
  void Refresh(TimePoint now, bool force) {
    if (!force && now.time_since_epoch().count() <
                      next_refresh.load(std::memory_order_relaxed)) {
      return;
    }
    std::unique_lock lock(peer_mutex, std::defer_lock);
    // The request path never waits for another thread's rebuild.
    if (force)
      lock.lock();
    else if (!lock.try_lock())
      return;
    RemoveExpiredReports(now);
    if (reports_changed) {
      auto next = std::make_shared<PeerDemand>();
      next->total_by_account = totals;
      next->newest_report_at = newest_report_at;
      next->first_report_at = first_report_at;
      next->has_valid_report = !peers.empty();
      snapshot.Store(std::move(next));
      snapshot_version.fetch_add(1, std::memory_order_release);
      reports_changed = false;
    }
    next_refresh.store(
        (now + options.refresh_interval).time_since_epoch().count(),
        std::memory_order_relaxed);
  }

  void RemoveExpiredReports(TimePoint now) {
    // An instance that receives no reports drops all old ones at once; dropping
    // them one by one would raise its own share.
    const TimePoint last_contact =
        std::min(now, newest_report_at + options.propagation_delay_base);
    const bool receives_no_reports =
        now - newest_report_at > options.report_ttl;
    std::erase_if(peers, [&](const auto& peer) {
      if (!receives_no_reports &&
          last_contact - peer.second.at <= options.report_ttl)
        return false;
      Subtract(peer.second);
      reports_changed = true;
      return true;
    });
  }

  void Subtract(const PeerReport& report) {
    for (const auto& [account, demand] : report.demand) {
      auto it = totals.find(account);
      it->second -= demand;
      if (it->second == 0)
        totals.erase(it);
    }
  }

  const AccountLimiterOptions options;
  std::array<Shard, kShardCount> shards;
  std::atomic<int> instances{1};
  RcuCell<PeerDemand> snapshot;
  // Incremented after each store of a snapshot.
  std::atomic<uint64_t> snapshot_version{1};
  std::atomic<int64_t> next_refresh{0};

  std::mutex peer_mutex;
  // The members below are guarded by peer_mutex.
  std::unordered_map<std::string, PeerReport> peers;
  std::unordered_map<std::string, int64_t> totals;
  TimePoint newest_report_at{};
  TimePoint first_report_at{};
  bool reports_changed = false;
};

AccountLimiter::AccountLimiter(AccountLimiterOptions options)
    : m_impl(std::make_unique<Impl>(options)) {}

AccountLimiter::~AccountLimiter() = default;

std::optional<LimitRefusal> AccountLimiter::Admit(TimePoint now,
                                                  const Account& account,
                                                  int max_tokens) {
  m_impl->Refresh(now, false);
  Impl::State& state = m_impl->StateFor(account.name);
  std::lock_guard lock(state.mutex);
  const double cost = std::max(0, max_tokens);
  state.limited = account.requests_per_second > 0 ||
                  account.tokens_per_second > 0 ||
                  account.max_concurrent_requests > 0;
  if (state.demand.last_request_at() == TimePoint{} ||
      now - state.demand.last_request_at() > kActiveWindow)
    state.active_since = now;
  state.demand.RecordDemand(now, std::max(1.0, cost));
  state.request_rate_meter.RecordDemand(now, 1);
  const double share = m_impl->ComputeShare(
      now, &state, m_impl->ViewForAccount(account.name, state));
  // A share below 1 may rise within the propagation delay.
  const Duration max_retry_after =
      share < 1 ? m_impl->PropagationDelay(m_impl->instances.load())
                : Duration::max();
  const double request_rate = share * account.requests_per_second;
  const double token_rate = share * account.tokens_per_second;
  const double request_depth = std::max(1.0, request_rate);
  state.requests.Refill(now, request_rate, request_depth, request_depth);
  // When one second's share is smaller than a request, a bucket of that depth
  // would overflow while it waits for the next request.
  state.largest_cost = std::max(cost, kLargestCostDecay * state.largest_cost);
  state.tokens.Refill(now, token_rate, std::max(token_rate, state.largest_cost),
                      token_rate);

  const int max_concurrent = std::max(
      1, static_cast<int>(share * account.max_concurrent_requests + 1e-9));
  if (account.max_concurrent_requests > 0 && state.running >= max_concurrent)
    return LimitRefusal{LimitReason::kConcurrent, kConcurrentRetryDelay};
  if (account.requests_per_second > 0) {
    const Duration wait = state.requests.TimeUntil(1, request_rate);
    if (wait > Duration(0))
      return LimitRefusal{LimitReason::kRequestRate,
                          std::min(wait, max_retry_after)};
  }
  if (account.tokens_per_second > 0) {
    const Duration wait =
        state.tokens.TimeUntil(std::min(cost, token_rate), token_rate);
    if (wait > Duration(0))
      return LimitRefusal{LimitReason::kTokenRate,
                          std::min(wait, max_retry_after)};
  }
  state.requests.AddTokens(-1);
  state.tokens.AddTokens(-cost);
  ++state.running;
  return std::nullopt;
}

void AccountLimiter::Release(TimePoint now,
                             const std::string& account,
                             int max_tokens,
                             int generated) {
  (void)now;
  Impl::State* state = m_impl->FindState(account);
  if (!state)
    return;
  std::lock_guard lock(state->mutex);
  state->running = std::max(0, state->running - 1);
  // Tokens generated beyond `max_tokens` are charged as well.
  state->tokens.AddTokens(std::max(0, max_tokens) - std::max(0, generated));
}

std::vector<AccountDemand> AccountLimiter::LocalDemand(TimePoint now,
                                                       size_t limit) const {
  struct Row {
    std::string account;
    Impl::State* state;
    int64_t demand = 0;
  };
  const Impl& impl = *m_impl;
  std::vector<Row> rows;
  for (Impl::Shard& shard : m_impl->shards) {
    std::shared_lock lock(shard.mutex);
    for (const auto& [account, state] : shard.states)
      rows.push_back({account, state.get()});
  }
  for (Row& row : rows) {
    std::lock_guard lock(row.state->mutex);
    if (!row.state->limited ||
        now - row.state->demand.last_request_at() > kActiveWindow)
      continue;
    const double mean_request_rate = row.state->request_rate_meter.ValueAt(
        row.state->demand.last_request_at());
    const Seconds idle_time = now - row.state->demand.last_request_at();
    const bool has_stopped =
        idle_time.count() >
        std::max(1.0, kStoppedAfterMeanIntervals / mean_request_rate);
    row.demand = std::max<int64_t>(
        1, std::llround(row.state->demand.ValueAt(now) * kDemandUnitsPerToken *
                        (has_stopped ? kStoppedDemandFraction : 1)));
    if (row.state->published.empty())
      continue;
    const int64_t last_reported = row.state->published.back().demand;
    // With few requests, random arrivals alone move the average by more than
    // `report_tolerance`.
    const double requests = 2 * kDemandTimeConstant.count() *
                            row.state->request_rate_meter.ValueAt(now);
    const double tolerance =
        std::clamp(kArrivalNoiseStdDevs / std::sqrt(std::max(1.0, requests)),
                   impl.options.report_tolerance, kMaxReportTolerance);
    if (std::abs(static_cast<double>(row.demand - last_reported)) <=
        tolerance * static_cast<double>(last_reported)) {
      row.demand = last_reported;
    }
  }
  std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) {
    return a.demand != b.demand ? a.demand > b.demand : a.account < b.account;
  });
  const TimePoint keep_after = now -
                               impl.PropagationDelay(impl.instances.load()) -
                               impl.options.report_ttl;
  std::vector<AccountDemand> demand;
  for (Row& row : rows) {
    if (demand.size() >= limit)
      row.demand = 0;
    std::lock_guard lock(row.state->mutex);
    auto& published = row.state->published;
    if (published.empty() ? row.demand > 0
                          : published.back().demand != row.demand) {
      published.push_back({now, row.demand});
    }
    // Keeps the report that was in effect at the start of the propagation
    // delay.
    while (published.size() > 1 && published[1].at <= keep_after)
      published.erase(published.begin());
    if (row.demand > 0)
      demand.push_back({row.account, static_cast<double>(row.demand) /
                                         kDemandUnitsPerToken});
  }
  return demand;
}

void AccountLimiter::OnPeerDemand(TimePoint now,
                                  const std::string& peer,
                                  const std::vector<AccountDemand>& demand) {
  Impl::PeerReport report;
  report.at = now;
  for (const AccountDemand& row : demand) {
    const int64_t units =
        std::llround(row.tokens_per_second * kDemandUnitsPerToken);
    if (units > 0)
      report.demand.emplace_back(row.account, units);
  }
  {
    std::lock_guard lock(m_impl->peer_mutex);
    for (const auto& [account, units] : report.demand)
      m_impl->totals[account] += units;
    Impl::PeerReport& old = m_impl->peers[peer];
    m_impl->Subtract(old);
    old = std::move(report);
    if (m_impl->newest_report_at == TimePoint{} ||
        now - m_impl->newest_report_at > m_impl->options.report_ttl / 2)
      m_impl->first_report_at = now;
    m_impl->newest_report_at = std::max(m_impl->newest_report_at, now);
    m_impl->reports_changed = true;
  }
  m_impl->Refresh(now, false);
}

void AccountLimiter::SetLiveInstances(int count) {
  m_impl->instances.store(std::max(1, count), std::memory_order_relaxed);
}

double AccountLimiter::LocalShare(TimePoint now,
                                  const std::string& account) const {
  m_impl->Refresh(now, true);
  Impl::State* state = m_impl->FindState(account);
  if (!state)
    return m_impl->ComputeShare(now, nullptr, m_impl->ViewForAccount(account));
  std::lock_guard lock(state->mutex);
  return m_impl->ComputeShare(now, state,
                              m_impl->ViewForAccount(account, *state));
}

}  // namespace trefoilwick
