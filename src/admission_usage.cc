#include <algorithm>

#include "trefoilwick/admission.h"

namespace trefoilwick {

namespace {

// Instances report every 2 s; a report counts for two and a half intervals, so
// that one lost message changes nothing.
constexpr std::chrono::seconds kReportTtl{5};
// After this time every live instance has reported to a new aggregator.
constexpr std::chrono::seconds kSettleDelay{4};
constexpr std::chrono::seconds kSumTtl{10};
constexpr std::chrono::seconds kExpiryInterval{1};

}  // namespace

void UsageAggregator::Expire(TimePoint now) {
  if (now < m_next_expiry)
    return;
  m_next_expiry = now + kExpiryInterval;
  for (auto it = m_accounts.begin(); it != m_accounts.end();) {
    std::erase_if(it->second.reports, [&](const auto& report) {
      return now - report.second.received_at > kReportTtl;
    });
    it = it->second.reports.empty() ? m_accounts.erase(it) : std::next(it);
  }
}

std::vector<UsageSum> UsageAggregator::OnReport(
    TimePoint now,
    const std::string& instance,
    const std::vector<AccountDemand>& report) {
  Expire(now);
  std::vector<UsageSum> sums;
  for (const AccountDemand& row : report) {
    auto [it, inserted] = m_accounts.try_emplace(row.account);
    AccountState& state = it->second;
    if (inserted)
      state.first_report_at = now;
    state.reports[instance] = {now, row.tokens_per_second};
    UsageSum sum;
    sum.account = row.account;
    sum.settled = now - state.first_report_at >= kSettleDelay;
    for (const auto& [id, other] : state.reports)
      if (id != instance && now - other.received_at <= kReportTtl)
        sum.others += other.demand;
    sums.push_back(std::move(sum));
  }
  return sums;
}

std::map<std::string, std::vector<AccountDemand>>
UsageExchange::ReportsByAggregator(const std::vector<AccountDemand>& own,
                                   const std::vector<std::string>& live) const {
  std::map<std::string, std::vector<AccountDemand>> reports;
  if (live.empty())
    return reports;
  for (const AccountDemand& row : own) {
    const std::string* best = nullptr;
    uint64_t best_score = 0;
    for (const std::string& id : live) {
      const uint64_t score = StableHash(id, StableHash(row.account));
      if (!best || score > best_score) {
        best = &id;
        best_score = score;
      }
    }
    reports[*best].push_back(row);
  }
  return reports;
}

void UsageExchange::OnUsageSums(TimePoint now,
                                const std::vector<UsageSum>& sums) {
  for (const UsageSum& sum : sums)
    if (sum.settled)
      m_received_sums[sum.account] = {now, sum.others};
}

std::vector<AccountDemand> UsageExchange::OtherInstancesDemand(
    TimePoint now,
    const std::vector<AccountDemand>& own,
    size_t live) {
  std::erase_if(m_received_sums, [&](const auto& received) {
    return now - received.second.received_at > kSumTtl;
  });
  const auto peers = static_cast<double>(std::max<size_t>(live, 1) - 1);
  std::vector<AccountDemand> others;
  for (const AccountDemand& row : own) {
    auto it = m_received_sums.find(row.account);
    others.push_back({row.account, it == m_received_sums.end()
                                       ? row.tokens_per_second * peers
                                       : it->second.others});
  }
  return others;
}

}  // namespace trefoilwick
