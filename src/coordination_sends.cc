// Sums of the sends of all instances for the retry budgets: what a coordinator
// adds up, and what an instance knows of the others.
#include <algorithm>

#include "cluster_codec.h"
#include "trefoilwick/coordination.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Age of the sends that a sum over reports lacks: they are counted at a tick,
// and reported and summed later.
constexpr Duration kReportLag =
    detail::kReportInterval + 2 * Coordination::kTickInterval;
// A new coordinator waits this long for the reports of the others before its
// sums count as complete without them.
constexpr Duration kMaxReportWait = milliseconds(600);
// An instance shares the retry budget for this long after its last report: it
// may be cut off from this coordinator and go on.
constexpr Duration kInstanceMemory = seconds(30);

}  // namespace

void Coordination::UseSumsOfLease(TimePoint now) {
  if (m_remote_sends.as_of || m_lease.instances == 0)
    return;
  m_remote_sends.instances = static_cast<size_t>(m_lease.instances) - 1;
  if (!m_lease.retries)
    return;
  m_unreported_sends = {{kUnknownService, {0, *m_lease.retries}}};
  m_remote_sends.sends = m_unreported_sends;
  m_remote_sends.as_of = now - kReportLag;
}

void Coordination::BeginSums(TimePoint now) {
  UseSumsOfLease(now);
  m_send_ledger.Clear();
  if (m_remote_sends.as_of)
    m_send_ledger.AddUnreported(*m_remote_sends.as_of, m_unreported_sends);
  m_instances_before = m_remote_sends.instances + 1;
  // The former coordinator is not expected to report.
  m_awaited_reports =
      m_instances_before > 2 ? m_instances_before - 2 : m_instances_before - 1;
  m_has_complete_sums = false;
  m_knows_earlier_sends = m_remote_sends.as_of || m_lease.instances == 0;
}

bool Coordination::KnowsEarlierSends(TimePoint now) const {
  return m_knows_earlier_sends || now - m_coordinating_since >= m_retry_window;
}

std::optional<detail::EarlierSends> Coordination::GetEarlierSends(
    TimePoint now) const {
  const auto as_of = m_remote_sends.as_of;
  if (!as_of || m_sums_fencing_token == 0 ||
      m_sums_fencing_token == m_fencing_token || now - *as_of >= m_retry_window)
    return std::nullopt;
  return detail::EarlierSends{ClusterSends(now), m_unreported_sends,
                              now - *as_of};
}

void Coordination::AddEarlierSends(TimePoint now,
                                   const detail::EarlierSends& earlier) {
  if (m_has_complete_sums && KnowsEarlierSends(now))
    return;
  const TimePoint as_of = now - earlier.age;
  // What the lease row says may be older than its read.
  const bool is_newer = m_sums_fencing_token == 0 || !m_remote_sends.as_of ||
                        as_of > *m_remote_sends.as_of;
  if (is_newer)
    m_remote_sends.as_of = as_of;
  m_sums_fencing_token = m_fencing_token;
  m_knows_earlier_sends = true;
  RaiseRetries(m_remote_sends.sends,
               SubtractSends(earlier.sends, m_reported_sends));
  m_send_ledger.AddUnreported(
      as_of, SubtractSends(earlier.unreported_sends, m_unreported_sends));
  RaiseRetries(m_unreported_sends, earlier.unreported_sends);
  if (m_has_complete_sums)
    AddAssumedRetries(now, as_of);
}

void Coordination::UpdateSums(TimePoint now) {
  if (m_has_complete_sums)
    return;
  const TimePoint known_until = m_remote_sends.as_of.value_or(now);
  const size_t reporting = m_send_ledger.CountReportsSince(known_until, now);
  const bool has_all_reports =
      m_awaited_reports > 0 && reporting >= m_awaited_reports;
  if (!has_all_reports && now - m_coordinating_since < kMaxReportWait)
    return;
  m_has_complete_sums = true;
  m_next_heartbeat = now;
  AddAssumedRetries(now, known_until);
}

void Coordination::AddAssumedRetries(TimePoint now, TimePoint known_until) {
  const auto reporting =
      static_cast<int>(m_send_ledger.CountReportsSince(known_until, now));
  const int silent =
      std::max(0, static_cast<int>(m_awaited_reports) - reporting);
  const ServiceSends reported =
      SubtractSends(ClusterSends(now), m_send_ledger.Unreported(now));
  const ServiceSends lacking =
      SubtractSends(m_remote_sends.sends, m_send_ledger.Sum(now));
  // At least as often as the last sum lacks, and as often as the others, who
  // may have retried until now.
  ServiceSends assumed;
  for (const auto& [service, counts] : reported)
    assumed[service].retries = counts.retries * silent / (reporting + 1);
  assumed = SubtractSends(assumed, lacking);
  m_send_ledger.AddUnreported(known_until, lacking);
  m_send_ledger.AddUnreported(now, assumed);
}

void Coordination::KeepSumsAsFollower(TimePoint now) {
  if (!HasCompleteSums())
    return;
  m_reported_loads = m_local_loads;
  SetClusterLoads(now, Loads(now));
  m_remote_sends = GetRemoteSends(now);
  m_unreported_sends = m_send_ledger.Unreported(now);
  m_sums_fencing_token = KnowsEarlierSends(now) ? m_fencing_token : 0;
}

size_t Coordination::InstanceCount(TimePoint now) const {
  if (!m_is_coordinator)
    return Members(now).size();
  const auto recent =
      std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return now - entry.second.last_report_at < kInstanceMemory;
      });
  const size_t before =
      now - m_coordinating_since < kInstanceMemory ? m_instances_before : 0;
  return std::max(static_cast<size_t>(recent) + 1, before);
}

ServiceSends Coordination::ClusterSends(TimePoint now) const {
  ServiceSends sum = GetRemoteSends(now).sends;
  AddSends(sum, m_local_sends);
  return sum;
}

Coordination::RemoteSends Coordination::GetRemoteSends(TimePoint now) const {
  if (!HasCompleteSums())
    return m_remote_sends;
  RemoteSends out{m_send_ledger.Sum(now), std::nullopt, InstanceCount(now) - 1};
  if (KnowsEarlierSends(now))
    out.as_of = now - kReportLag;
  return out;
}

PeerSends Coordination::GetPeerSends(TimePoint now,
                                     const std::string& service) const {
  const RemoteSends remote = GetRemoteSends(now);
  const size_t peers_in_touch =
      std::min(Members(now).size() - 1, remote.instances);
  return {SendsTo(remote.sends, service), remote.as_of, remote.instances,
          remote.instances - peers_in_touch};
}

void Coordination::HandleClusterSends(
    TimePoint now,
    const detail::CoordinatorHeartbeat& heartbeat) {
  m_remote_sends.sends = SubtractSends(heartbeat.sends, m_reported_sends);
  m_remote_sends.as_of = now - kReportLag;
  m_remote_sends.instances =
      std::max(m_members.size(), static_cast<size_t>(heartbeat.instances));
  if (m_remote_sends.instances > 0)
    --m_remote_sends.instances;
  m_unreported_sends = heartbeat.unreported_sends;
  m_sums_fencing_token = heartbeat.fencing_token;
}

}  // namespace trefoilwick
