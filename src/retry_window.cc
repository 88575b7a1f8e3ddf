#include "trefoilwick/retry_window.h"

#include <algorithm>

namespace trefoilwick {

namespace {

// Shares of the budget that are usable for requests with and without the
// beginning of a response. The rest covers counts that arrive late.
constexpr double kBudgetShareForBegun = 0.9;
constexpr double kBudgetShareForNew = 0.7;
// Retries of an instance that has received nothing from others: hundreds may
// start together, and the retries before their start still count.
constexpr double kMaxRetriesAlone = 1;
// From this age on the counts of the others are those before a loss of
// contact. Instances that are still in contact share what is left once more.
constexpr Duration kStaleCountsAge = std::chrono::seconds(2);
constexpr double kStaleCountsFactor = 2;

// The retries in `sends`, without the requests.
ServiceSends RetriesOf(const ServiceSends& sends) {
  ServiceSends out;
  for (const auto& [service, counts] : sends)
    if (counts.retries > 0)
      out[service].retries = counts.retries;
  return out;
}

}  // namespace

SendCounts SendsTo(const ServiceSends& sends, const std::string& service) {
  SendCounts out;
  const auto known = sends.find(service);
  if (known != sends.end())
    out = known->second;
  const auto unknown = sends.find(kUnknownService);
  if (unknown != sends.end() && unknown != known)
    out.retries += unknown->second.retries;
  return out;
}

SendCounts TotalSends(const ServiceSends& sends) {
  SendCounts out;
  for (const auto& [service, counts] : sends) {
    out.requests += counts.requests;
    out.retries += counts.retries;
  }
  return out;
}

void AddSends(ServiceSends& sum, const ServiceSends& more) {
  for (const auto& [service, counts] : more) {
    sum[service].requests += counts.requests;
    sum[service].retries += counts.retries;
  }
}

void RaiseRetries(ServiceSends& sends, const ServiceSends& other) {
  for (const auto& [service, counts] : other)
    if (counts.retries > 0)
      sends[service].retries = std::max(sends[service].retries, counts.retries);
}

ServiceSends SubtractSends(ServiceSends sends, const ServiceSends& part) {
  for (auto& [service, counts] : sends) {
    const auto found = part.find(service);
    if (found == part.end())
      continue;
    counts.requests = std::max(0, counts.requests - found->second.requests);
    counts.retries = std::max(0, counts.retries - found->second.retries);
  }
  return sends;
}

int64_t RetryWindow::IndexOf(TimePoint time) const {
  return time.time_since_epoch().count() /
         (m_window.count() / kSlicesPerWindow);
}

RetryWindow::Slice& RetryWindow::SliceAt(TimePoint now) {
  const int64_t index = IndexOf(now);
  Slice& slice = m_slices[index % kSlices];
  if (slice.index != index)
    slice = {index, {}};
  return slice;
}

void RetryWindow::OnRequest(TimePoint now) {
  ++SliceAt(now).counts.requests;
}

SendCounts RetryWindow::CountsFrom(int64_t first, TimePoint now) const {
  const int64_t oldest = IndexOf(now) - kSlices + 1;
  SendCounts sum;
  for (const Slice& slice : m_slices) {
    if (slice.index < std::max(first, oldest))
      continue;
    sum.requests += slice.counts.requests;
    sum.retries += slice.counts.retries;
  }
  return sum;
}

SendCounts RetryWindow::LocalCounts(TimePoint now) const {
  return CountsFrom(0, now);
}

RetryWindow::Assessment RetryWindow::Assess(TimePoint now,
                                            const PeerSends& peers,
                                            bool response_begun) const {
  const SendCounts local = LocalCounts(now);
  Assessment out;
  out.local = local.retries;
  if (!peers.as_of) {
    out.usable_budget = kMaxRetriesAlone;
    return out;
  }
  const Duration age = now - *peers.as_of;
  const SendCounts remote = age < m_window ? peers.counts : SendCounts{};
  out.remote = remote.retries;
  const int since_heard = CountsFrom(IndexOf(*peers.as_of), now).retries;
  const size_t in_touch = peers.instances - peers.silent_instances;
  out.unreported = (since_heard + 1) * static_cast<double>(in_touch) *
                   (age > kStaleCountsAge ? kStaleCountsFactor : 1);
  const double budget = m_ratio * (local.requests + remote.requests) + m_slack;
  const auto sharing = static_cast<double>(peers.instances + 1);
  out.usable_budget =
      budget * (response_begun ? kBudgetShareForBegun : kBudgetShareForNew) *
      (1 - static_cast<double>(peers.silent_instances) / sharing);
  return out;
}

bool RetryWindow::TryRetry(TimePoint now,
                           const PeerSends& peers,
                           bool response_begun) {
  if (!Assess(now, peers, response_begun).IsAllowed())
    return false;
  ++SliceAt(now).counts.retries;
  return true;
}

void RetryWindows::SetLimits(double ratio, double slack) {
  m_new_window.SetLimits(ratio, slack);
  for (auto& [service, window] : m_windows)
    window.SetLimits(ratio, slack);
}

ServiceSends RetryWindows::LocalCounts(TimePoint now) {
  ServiceSends out;
  std::erase_if(m_windows, [&](const auto& entry) {
    const SendCounts counts = entry.second.LocalCounts(now);
    if (counts == SendCounts())
      return true;
    out[entry.first] = counts;
    return false;
  });
  return out;
}

void SendLedger::RemoveExpired(TimePoint now) {
  std::erase_if(m_reports, [&](const auto& entry) {
    return now - entry.second.at >= m_window;
  });
  std::erase_if(m_unreported, [&](const UnreportedRetries& unreported) {
    return unreported.until <= now;
  });
}

void SendLedger::OnReport(TimePoint now,
                          const std::string& ip,
                          int64_t incarnation,
                          TimePoint started_at,
                          const ServiceSends& sends) {
  RemoveExpired(now);
  const auto previous = m_reports.find(ip);
  if (previous != m_reports.end() &&
      previous->second.incarnation != incarnation)
    AddUnreported(previous->second.at, previous->second.sends);
  m_reports[ip] = {incarnation, started_at, sends, now};
}

void SendLedger::AddUnreported(TimePoint as_of, const ServiceSends& sends) {
  ServiceSends retries = RetriesOf(sends);
  if (!retries.empty())
    m_unreported.push_back({std::move(retries), as_of + m_window});
}

ServiceSends SendLedger::Unreported(TimePoint now) const {
  ServiceSends sum;
  for (const UnreportedRetries& unreported : m_unreported)
    if (unreported.until > now)
      AddSends(sum, unreported.sends);
  for (const auto& [ip, report] : m_reports)
    if (IsSilent(report, now) && now - report.at < m_window)
      AddSends(sum, RetriesOf(report.sends));
  return sum;
}

size_t SendLedger::CountReportsSince(TimePoint since, TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(m_reports.begin(), m_reports.end(), [&](const auto& entry) {
        return !IsSilent(entry.second, now) && entry.second.started_at <= since;
      }));
}

ServiceSends SendLedger::Sum(TimePoint now) const {
  ServiceSends sum = Unreported(now);
  for (const auto& [ip, report] : m_reports)
    if (!IsSilent(report, now))
      AddSends(sum, report.sends);
  return sum;
}

void SendLedger::Clear() {
  m_reports.clear();
  m_unreported.clear();
}

}  // namespace trefoilwick
