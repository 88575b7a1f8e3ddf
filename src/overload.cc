#include "trefoilwick/overload.h"

#include <algorithm>
#include <cmath>

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time constant of the rates of demand.
constexpr Duration kDemandWindow = seconds(2);
constexpr double kMinDemandRate = 1;
// Demand of all instances that is older than this no longer divides capacity.
constexpr Duration kClusterDemandTtl = seconds(2);
// Utilization at which the most urgent rank is no longer admitted, the step to
// the next rank, and the width over which the admitted share falls.
constexpr double kLastAdmission = 0.85;
constexpr double kRankStep = 0.06;
constexpr double kRefusalWidth = 0.06;
// More ranks than this share the lowest level.
constexpr int kMaxLevel = 4;
// Share of a lower rank that begins while the servers are not full.
constexpr double kFloorShare = 0.05;
// Steps of the search for a limit; its error is below a request of a server.
constexpr int kLimitSearchSteps = 10;
// A shortage ends when no request was refused for this long.
constexpr Duration kShortageEnd = seconds(1);
constexpr Duration kMinRetryAfter = milliseconds(600);
// The remaining time of a shortage is taken to be about as long as it has
// lasted.
constexpr double kRetryAfterPerElapsed = 1.0;
// Returns are spread over this share of the delay.
constexpr double kRetrySpread = 0.5;
// Clients return within this part of the time that they have left.
constexpr int kRetryTimeDivisor = 3;

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

double Decay(Duration elapsed) {
  return std::exp(-ToSeconds(elapsed) / ToSeconds(kDemandWindow));
}

}  // namespace

AccountHash HashAccount(const std::string& account) {
  return StableHash(account);
}

void AddDemand(DemandRates& sum, const DemandRates& more) {
  for (const auto& [key, rate] : more)
    sum[key] += rate;
}

DemandRates LargestDemand(const DemandRates& demand, size_t limit) {
  std::vector<std::pair<double, AccountDemandKey>> entries;
  for (const auto& [key, rate] : demand)
    entries.emplace_back(rate, key);
  std::sort(entries.begin(), entries.end(), std::greater<>());
  entries.resize(std::min(entries.size(), limit));
  DemandRates out;
  for (const auto& [rate, key] : entries)
    out[key] = rate;
  return out;
}

void DemandWindow::Count(TimePoint now,
                         const AccountDemandKey& key,
                         double tokens) {
  Entry& entry = m_entries[key];
  entry.tokens = entry.tokens * Decay(now - entry.as_of) + tokens;
  entry.as_of = now;
  std::erase_if(m_entries, [&](const auto& other) {
    return now - other.second.as_of > 5 * kDemandWindow;
  });
}

DemandRates DemandWindow::Rates(TimePoint now) const {
  DemandRates out;
  for (const auto& [key, entry] : m_entries) {
    const double rate =
        entry.tokens * Decay(now - entry.as_of) / ToSeconds(kDemandWindow);
    if (rate >= kMinDemandRate)
      out[key] = rate;
  }
  return out;
}

double AdmittedShare(int level, double utilization) {
  const int step = std::clamp(level, 0, kMaxLevel);
  const double last = kLastAdmission - kRankStep * step;
  const double share = (last - utilization) / kRefusalWidth;
  const bool is_full = utilization >= kLastAdmission;
  return std::clamp(share, step > 0 && !is_full ? kFloorShare : 0.0, 1.0);
}

double FairAccountShare(const DemandRates& demand,
                        const AccountDemandKey& account,
                        double admitted) {
  if (admitted >= 1)
    return 1;
  std::vector<double> rates;
  for (const auto& [key, rate] : demand)
    if (key.rank == account.rank)
      rates.push_back(rate);
  const auto own = demand.find(account);
  if (own == demand.end())
    return rates.empty() ? admitted : 1;
  // The level to which all accounts are filled: accounts that ask for less
  // leave the rest to the others.
  std::sort(rates.begin(), rates.end());
  double room = 0;
  for (const double rate : rates)
    room += rate * admitted;
  double level = 0;
  for (size_t i = 0; i < rates.size(); ++i) {
    level = room / static_cast<double>(rates.size() - i);
    if (rates[i] >= level)
      break;
    room -= rates[i];
  }
  return std::min(1.0, level / own->second);
}

void OverloadController::SetRanks(const std::string& service,
                                  std::set<int> ranks) {
  m_ranks[service] = std::move(ranks);
}

int OverloadController::LevelOf(const std::string& service, int rank) const {
  const auto ranks = m_ranks.find(service);
  if (ranks == m_ranks.end())
    return 0;
  return static_cast<int>(
      std::distance(ranks->second.begin(), ranks->second.lower_bound(rank)));
}

DemandRates OverloadController::LocalDemand(TimePoint now) const {
  return IsShort(now) ? m_local_demand.Rates(now) : DemandRates();
}

void OverloadController::SetClusterDemand(TimePoint now, DemandRates demand) {
  if (demand.empty())
    return;
  m_cluster_demand = std::move(demand);
  m_cluster_demand_at = now;
}

double OverloadController::UtilizationLimit(TimePoint now,
                                            const std::string& service,
                                            const AccountDemandKey& key,
                                            double draw) const {
  const int level = LevelOf(service, key.rank);
  const bool has_demand = now - m_cluster_demand_at <= kClusterDemandTtl;
  const auto may_begin = [&](double utilization) {
    const double admitted = AdmittedShare(level, utilization);
    return draw < (has_demand
                       ? FairAccountShare(m_cluster_demand, key, admitted)
                       : admitted);
  };
  // The admitted share falls with the utilization.
  double low = 0;
  double high = kLastAdmission;
  for (int i = 0; i < kLimitSearchSteps; ++i) {
    const double middle = (low + high) / 2;
    (may_begin(middle) ? low : high) = middle;
  }
  return low;
}

double OverloadController::AdmittedDemandShare(TimePoint now,
                                               const std::string& service,
                                               double utilization) const {
  if (now - m_cluster_demand_at > kClusterDemandTtl)
    return 1;
  double all = 0;
  double admitted = 0;
  for (const auto& [key, rate] : m_cluster_demand) {
    all += rate;
    admitted +=
        rate * FairAccountShare(
                   m_cluster_demand, key,
                   AdmittedShare(LevelOf(service, key.rank), utilization));
  }
  return all > 0 ? admitted / all : 1;
}

void OverloadController::OnShortage(TimePoint now) {
  if (!IsShort(now))
    m_shortage_began_at = now;
  m_last_shortage_at = now;
}

bool OverloadController::IsShort(TimePoint now) const {
  return m_shortage_began_at && now - m_last_shortage_at < kShortageEnd;
}

Duration OverloadController::RetryAfter(TimePoint now,
                                        Duration time_left,
                                        double unit) const {
  const Duration elapsed =
      IsShort(now) ? now - *m_shortage_began_at : Duration(0);
  const double delay_s =
      ToSeconds(kMinRetryAfter) + kRetryAfterPerElapsed * ToSeconds(elapsed);
  const double spread_s = delay_s * (1 + kRetrySpread * (2 * unit - 1));
  const double max_s = ToSeconds(time_left) / kRetryTimeDivisor;
  // Delays over the limit are spread below it.
  const double after_s =
      spread_s <= max_s ? spread_s : max_s * (1 - kRetrySpread * unit);
  return Duration(static_cast<int64_t>(std::max(0.0, after_s) * 1e6));
}

}  // namespace trefoilwick
