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

constexpr size_t kShards = 64;
constexpr Duration kActiveTime = seconds(10);
// Time constant of the demand average: smooths single requests, and reports a
// flood within a few seconds.
constexpr Seconds kDemandTime{4};
// Standard deviations of random arrivals, and the part of a report, up to which
// demand counts as unchanged.
constexpr double kNoise = 2;
constexpr double kMostTolerance = 0.6;
// Part of the largest request that is remembered with every request.
constexpr double kCostMemory = 0.9;
// Demand that made no request for this many mean intervals has moved away, and
// most of its share is given up before the average has decayed.
constexpr double kStopIntervals = 8;
constexpr double kStoppedPart = 0.1;
// A running request ends at an unknown time.
constexpr Duration kConcurrentRetry = milliseconds(100);
// Demand is summed in thousandths, so that taking a report back leaves no
// rounding error.
constexpr double kDemandUnit = 1000;

// What peers report of each account, as the request path sees it.
struct PeerDemand {
  std::unordered_map<std::string, int64_t> total;
  // When the newest report arrived.
  TimePoint newest;
  // When the first report after the start or after a silence arrived.
  TimePoint since;
  // Whether any report is still valid.
  bool any = false;
};

// The part of a PeerDemand that concerns one account.
struct AccountView {
  int64_t others = 0;
  TimePoint newest;
  TimePoint since;
  bool any = false;
};

// Refilled with time up to its depth; starts with one second's. Negative while
// in debt.
class TokenBucket {
 public:
  void Refill(TimePoint now, double rate, double depth, double start) {
    if (!m_started) {
      m_balance = start;
      m_started = true;
    } else if (now > m_at) {
      m_balance += rate * Seconds(now - m_at).count();
    }
    m_at = std::max(m_at, now);
    m_depth = depth;
    m_balance = std::min(m_balance, depth);
  }
  // Time until the balance is `needed`; 0 when it is.
  Duration Wait(double needed, double rate) const {
    const double missing = needed - m_balance;
    // Tolerates the rounding of a wait that was given as an answer.
    if (missing <= 1e-6 * needed)
      return Duration(0);
    return std::chrono::ceil<Duration>(Seconds(missing / rate));
  }
  void Add(double tokens) { m_balance = std::min(m_balance + tokens, m_depth); }

 private:
  double m_balance = 0;
  double m_depth = 0;
  TimePoint m_at{};
  bool m_started = false;
};

// Exponential average of the tokens asked for per second.
class DemandMeter {
 public:
  void Add(TimePoint now, double tokens) {
    m_value = Value(now) + tokens / kDemandTime.count();
    m_at = std::max(m_at, now);
  }
  double Value(TimePoint now) const {
    const Seconds past = std::max(Duration(0), now - m_at);
    return m_value * std::exp(-(past / kDemandTime));
  }
  TimePoint at() const { return m_at; }

 private:
  double m_value = 0;
  TimePoint m_at{};
};

struct Published {
  TimePoint at;
  int64_t demand = 0;
};

}  // namespace

struct AccountLimiter::Impl {
  struct State {
    std::mutex mutex;
    TokenBucket requests;
    TokenBucket tokens;
    // Of recent requests, in tokens.
    double largest_cost = 0;
    int running = 0;
    bool limited = false;
    DemandMeter demand;
    // The same in requests per second.
    DemandMeter asked;
    // First request after a time without any.
    TimePoint active_since;
    // Reports of the hold time and the one before, oldest first.
    std::vector<Published> published;
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
    return shards[std::hash<std::string>()(account) % kShards];
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

  Duration HoldTime(int instances) const {
    const double doublings = std::log2(std::max(1, instances));
    return options.propagation_delay_base +
           std::chrono::duration_cast<Duration>(
               options.propagation_delay_per_doubling * doublings);
  }

  // The lowest own demand that was reported during the hold time before the
  // newest report of a peer; 0 when there was a time without a report.
  static int64_t HeldDemand(const State& state, TimePoint from) {
    int64_t held = -1;
    for (const Published& report : state.published)
      if (held < 0 || report.at <= from)
        held = report.demand;
      else
        held = std::min(held, report.demand);
    const bool since_start =
        !state.published.empty() && state.published.front().at <= from;
    return since_start ? std::max<int64_t>(0, held) : 0;
  }

  AccountView ViewOf(const std::string& account) const {
    const auto demand = snapshot.Load();
    auto it = demand->total.find(account);
    return {it == demand->total.end() ? 0 : it->second, demand->newest,
            demand->since, demand->any};
  }

  // The state's copy of the snapshot, so that requests of different accounts
  // share no reference count. The caller holds the state's mutex.
  const AccountView& ViewOf(const std::string& account, State& state) const {
    const uint64_t version = snapshot_version.load(std::memory_order_acquire);
    if (state.view_version != version) {
      state.view = ViewOf(account);
      state.view_version = version;
    }
    return state.view;
  }

  double Share(TimePoint now,
               const State* state,
               const AccountView& view) const {
    const int count = std::max(1, instances.load(std::memory_order_relaxed));
    const double equal = 1.0 / count;
    if (count == 1)
      return 1;
    if (!view.any || now - view.newest > options.report_ttl)
      return equal;
    // Nobody hears an instance that hears nobody, so its newer reports do not
    // count.
    const Duration hold = HoldTime(count);
    const TimePoint heard =
        std::min(now, view.newest + options.propagation_delay_base);
    // After a silence it takes the hold time to hear of everybody.
    if (now - view.since < hold)
      return equal;
    const int64_t own = state ? HeldDemand(*state, heard - hold) : 0;
    // The first reports of a newly active instance are on their way.
    const bool is_new = !state || now - state->active_since <=
                                      hold + options.propagation_delay_base;
    const double base =
        view.others == 0 || is_new ? equal : options.floor * equal;
    if (own == 0)
      return base;
    const double part =
        static_cast<double>(own) / static_cast<double>(own + view.others);
    return std::max(options.floor * equal, part);
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
    ForgetOldReports(now);
    if (dirty) {
      auto next = std::make_shared<PeerDemand>();
      next->total = totals;
      next->newest = newest;
      next->since = since;
      next->any = !peers.empty();
      snapshot.Store(std::move(next));
      snapshot_version.fetch_add(1, std::memory_order_release);
      dirty = false;
    }
    next_refresh.store(
        (now + options.refresh_interval).time_since_epoch().count(),
        std::memory_order_relaxed);
  }

  void ForgetOldReports(TimePoint now) {
    // An instance that hears nobody forgets all reports at once; one by one,
    // its own part would grow.
    const TimePoint heard =
        std::min(now, newest + options.propagation_delay_base);
    const bool is_silent = now - newest > options.report_ttl;
    std::erase_if(peers, [&](const auto& peer) {
      if (!is_silent && heard - peer.second.at <= options.report_ttl)
        return false;
      Subtract(peer.second);
      dirty = true;
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
  std::array<Shard, kShards> shards;
  std::atomic<int> instances{1};
  RcuCell<PeerDemand> snapshot;
  // Raised after each store of a snapshot.
  std::atomic<uint64_t> snapshot_version{1};
  std::atomic<int64_t> next_refresh{0};

  std::mutex peer_mutex;
  // The members below are guarded by peer_mutex.
  std::unordered_map<std::string, PeerReport> peers;
  std::unordered_map<std::string, int64_t> totals;
  TimePoint newest{};
  TimePoint since{};
  bool dirty = false;
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
  if (state.demand.at() == TimePoint{} || now - state.demand.at() > kActiveTime)
    state.active_since = now;
  state.demand.Add(now, std::max(1.0, cost));
  state.asked.Add(now, 1);
  const double share =
      m_impl->Share(now, &state, m_impl->ViewOf(account.name, state));
  // A share below 1 may rise with the next reports.
  const Duration longest =
      share < 1 ? m_impl->HoldTime(m_impl->instances.load()) : Duration::max();
  const double request_rate = share * account.requests_per_second;
  const double token_rate = share * account.tokens_per_second;
  const double request_depth = std::max(1.0, request_rate);
  state.requests.Refill(now, request_rate, request_depth, request_depth);
  // At a share smaller than a request, a bucket of one second's depth would
  // overflow while it waits for the next request.
  state.largest_cost = std::max(cost, kCostMemory * state.largest_cost);
  state.tokens.Refill(now, token_rate, std::max(token_rate, state.largest_cost),
                      token_rate);

  const int concurrent = std::max(
      1, static_cast<int>(share * account.max_concurrent_requests + 1e-9));
  if (account.max_concurrent_requests > 0 && state.running >= concurrent)
    return LimitRefusal{LimitReason::kConcurrent, kConcurrentRetry};
  if (account.requests_per_second > 0) {
    const Duration wait = state.requests.Wait(1, request_rate);
    if (wait > Duration(0))
      return LimitRefusal{LimitReason::kRequestRate, std::min(wait, longest)};
  }
  if (account.tokens_per_second > 0) {
    const Duration wait =
        state.tokens.Wait(std::min(cost, token_rate), token_rate);
    if (wait > Duration(0))
      return LimitRefusal{LimitReason::kTokenRate, std::min(wait, longest)};
  }
  state.requests.Add(-1);
  state.tokens.Add(-cost);
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
  // More tokens than asked for are charged as well.
  state->tokens.Add(std::max(0, max_tokens) - std::max(0, generated));
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
    if (!row.state->limited || now - row.state->demand.at() > kActiveTime)
      continue;
    const double asked = row.state->asked.Value(row.state->demand.at());
    const Seconds silence = now - row.state->demand.at();
    const bool has_stopped =
        silence.count() > std::max(1.0, kStopIntervals / asked);
    row.demand = std::max<int64_t>(
        1, std::llround(row.state->demand.Value(now) * kDemandUnit *
                        (has_stopped ? kStoppedPart : 1)));
    if (row.state->published.empty())
      continue;
    const int64_t last = row.state->published.back().demand;
    // Random arrivals alone move the average of few requests by more.
    const double requests =
        2 * kDemandTime.count() * row.state->asked.Value(now);
    const double tolerance =
        std::clamp(kNoise / std::sqrt(std::max(1.0, requests)),
                   impl.options.report_tolerance, kMostTolerance);
    if (std::abs(static_cast<double>(row.demand - last)) <=
        tolerance * static_cast<double>(last)) {
      row.demand = last;
    }
  }
  std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) {
    return a.demand != b.demand ? a.demand > b.demand : a.account < b.account;
  });
  const TimePoint from =
      now - impl.HoldTime(impl.instances.load()) - impl.options.report_ttl;
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
    // Keeps the report that was in effect at the start of the hold time.
    while (published.size() > 1 && published[1].at <= from)
      published.erase(published.begin());
    if (row.demand > 0)
      demand.push_back(
          {row.account, static_cast<double>(row.demand) / kDemandUnit});
  }
  return demand;
}

void AccountLimiter::OnPeerDemand(TimePoint now,
                                  const std::string& peer,
                                  const std::vector<AccountDemand>& demand) {
  Impl::PeerReport report;
  report.at = now;
  for (const AccountDemand& row : demand) {
    const int64_t units = std::llround(row.tokens_per_second * kDemandUnit);
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
    if (m_impl->newest == TimePoint{} ||
        now - m_impl->newest > m_impl->options.report_ttl / 2)
      m_impl->since = now;
    m_impl->newest = std::max(m_impl->newest, now);
    m_impl->dirty = true;
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
    return m_impl->Share(now, nullptr, m_impl->ViewOf(account));
  std::lock_guard lock(state->mutex);
  return m_impl->Share(now, state, m_impl->ViewOf(account, *state));
}

}  // namespace trefoilwick
