// Election of the coordinator: the lease in the platform's store, who takes it
// over, and the fencing tokens of its holders.
#include <algorithm>

#include "cluster_codec.h"
#include "trefoilwick/coordination.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The lease row is written early when this many retries were made since the
// last write or the instances have doubled, and this long after it at the
// earliest.
constexpr int kRetriesPerLeaseWrite = 100;
constexpr Duration kMinLeaseWriteInterval = milliseconds(250);
// A coordinator without a heartbeat for this long may be replaced.
constexpr Duration kHeartbeatTimeout = milliseconds(900);
// Instances that notice a heartbeat timeout together try to take over one after
// the other. The steps of the first ones are long enough for a lease to be
// written and announced in between.
constexpr Duration kWideTakeOverStep = milliseconds(60);
constexpr int kWideTakeOverStepCount = 10;
constexpr Duration kNarrowTakeOverStep = milliseconds(15);
constexpr Duration kLeaseRenewalInterval = seconds(2);
// Without a coordinator the first instances in the take-over order read the
// lease again after this long, later ones after a time proportional to their
// rank.
constexpr Duration kLeaseRetryInterval = milliseconds(700);
constexpr int kInstancesPerLeaseRetry = 8;
// A coordinator with less than half the processor share of another instance is
// replaced after this long.
constexpr int kReplacementCpuFactor = 2;
constexpr Duration kReplacementDelay = seconds(2);

// Backend servers remember the highest token that they have seen, also when the
// store comes back from a copy and names an earlier one. Tokens of a new era
// are therefore above all earlier ones, and each write of the lease has its
// own.
int64_t NextFencingToken(int64_t last_known, const LeaseRow& previous) {
  constexpr int kVersionBits = 32;
  const StorePosition& position = previous.position;
  const int64_t of_position =
      position.era > 0 ? (position.era << kVersionBits) + position.version : 0;
  return std::max({last_known, previous.fencing_token, of_position}) + 1;
}

}  // namespace

int Coordination::TakeOverRank() const {
  int rank = 0;
  for (const ClusterMember& member : m_members)
    if (member.ip != m_coordinator_ip &&
        (member.cpu_milli > m_cpu_milli ||
         (member.cpu_milli == m_cpu_milli && member.ip < m_ip)))
      ++rank;
  return rank;
}

Duration Coordination::TakeOverDelay() const {
  const int rank = TakeOverRank();
  return kWideTakeOverStep * std::min(rank, kWideTakeOverStepCount) +
         kNarrowTakeOverStep * std::max(0, rank - kWideTakeOverStepCount);
}

bool Coordination::ShouldReplaceCoordinator(TimePoint now) const {
  if (!ReceivesCoordinatorHeartbeats(now) ||
      now - m_following_since < kReplacementDelay || TakeOverRank() > 0)
    return false;
  return std::any_of(
      m_members.begin(), m_members.end(), [&](const ClusterMember& member) {
        return member.ip == m_coordinator_ip &&
               member.cpu_milli * kReplacementCpuFactor < m_cpu_milli;
      });
}

bool Coordination::ReceivesCoordinatorHeartbeats(TimePoint now) const {
  return !m_is_coordinator && !m_members.empty() &&
         m_coordinator_store_reachable &&
         now - m_last_heartbeat_at <= kHeartbeatTimeout;
}

void Coordination::RenewLease(TimePoint now) {
  LeaseRow row = m_lease;
  if (HasCompleteSums()) {
    row.instances = static_cast<int>(InstanceCount(now));
    if (KnowsEarlierSends(now))
      row.retries = TotalSends(ClusterSends(now)).retries;
  }
  row.quarantine = m_quarantine.List(now);
  const bool is_outdated =
      IsLeaseOfEarlierEra() ||
      !HaveSameDecisions(row.quarantine, m_lease.quarantine) ||
      row.retries.value_or(0) - m_lease.retries.value_or(0) >=
          kRetriesPerLeaseWrite ||
      row.instances >= 2 * std::max(1, m_lease.instances);
  const TimePoint earliest =
      is_outdated
          ? m_next_lease_call - kLeaseRenewalInterval + kMinLeaseWriteInterval
          : m_next_lease_call;
  if (m_lease_call_pending || now < earliest)
    return;
  m_lease_call_pending = true;
  m_next_lease_call = now + kLeaseRenewalInterval;
  if (IsLeaseOfEarlierEra())
    m_actions.emplace_back(ReadLease{});
  else
    m_actions.emplace_back(WriteLease{row, m_lease.position});
}

void Coordination::TryTakeOver(TimePoint now) {
  if (m_lease_call_pending || now < m_next_lease_call || !m_accepting)
    return;
  const bool timed_out =
      now - m_last_heartbeat_at > kHeartbeatTimeout + TakeOverDelay();
  m_replacing_coordinator = !timed_out && ShouldReplaceCoordinator(now);
  if (m_lease_known && !timed_out && !m_replacing_coordinator)
    return;
  m_lease_call_pending = true;
  m_next_lease_call = now + kLeaseRetryInterval *
                                (1 + TakeOverRank() / kInstancesPerLeaseRetry);
  m_actions.emplace_back(ReadLease{});
}

void Coordination::OnLease(TimePoint now, const std::optional<LeaseRow>& row) {
  m_lease_call_pending = false;
  if (!row) {
    m_store_failing = true;
    m_lease_sums_outdated |= !m_lease_read;
    return;
  }
  OnStoreAnswered(now);
  NoteEra(row->position.era);
  MergeQuarantine(now, row->quarantine);
  m_lease_read = true;
  if (m_is_coordinator)
    return RecoverLease(now, *row);
  const bool first_read = !m_lease_known;
  const bool token_changed = row->fencing_token != m_fencing_token;
  // A lower token is that of an earlier holder: the store came back from a
  // copy.
  if (row->position.version > 0 && row->holder_ip != m_ip &&
      row->fencing_token >= m_fencing_token && (first_read || token_changed)) {
    // Gives the holder time to send a heartbeat before it is replaced.
    FollowCoordinator(now, *row);
    return;
  }
  m_lease_known = true;
  const bool timed_out = now - m_last_heartbeat_at > kHeartbeatTimeout;
  const bool already_holder = row->holder_ip == m_ip;
  const bool replaces_coordinator =
      std::exchange(m_replacing_coordinator, false);
  if (row->position.version > 0 && !timed_out && !already_holder &&
      !replaces_coordinator)
    return;
  AcquireLease(now, *row);
}

void Coordination::AcquireLease(TimePoint now, const LeaseRow& previous) {
  m_lease_call_pending = true;
  m_actions.emplace_back(
      WriteLease{MakeLease(now, previous), previous.position});
}

void Coordination::RecoverLease(TimePoint now, const LeaseRow& row) {
  const bool has_successor =
      row.holder_ip != m_ip && row.fencing_token >= m_fencing_token;
  if (has_successor)
    FollowCoordinator(now, row);
  else
    AcquireLease(now, row);
}

void Coordination::FollowCoordinator(TimePoint now, const LeaseRow& row) {
  KeepSumsAsFollower(now);
  m_lease_known = true;
  m_is_coordinator = false;
  m_fencing_token = row.fencing_token;
  m_lease = row;
  if (std::exchange(m_coordinator_ip, row.holder_ip) != row.holder_ip)
    m_following_since = now;
  m_coordinator_since = now;
  m_last_heartbeat_at = now;
  m_next_report = now;
}

void Coordination::StepDown(TimePoint now) {
  KeepSumsAsFollower(now);
  m_is_coordinator = false;
  m_coordinator_ip.clear();
  m_next_lease_call = now;
  m_lease_known = false;
  m_last_heartbeat_at = now;
}

void Coordination::OnLeaseWritten(TimePoint now,
                                  LeaseWriteResult result,
                                  const LeaseRow& row) {
  m_lease_call_pending = false;
  NoteEra(row.position.era);
  switch (result) {
    case LeaseWriteResult::kWritten:
      OnStoreAnswered(now);
      m_lease = row;
      m_fencing_token = row.fencing_token;
      m_next_lease_call = now + kLeaseRenewalInterval;
      if (!m_is_coordinator) {
        BeginCoordinating(now);
      }
      return;
    case LeaseWriteResult::kConflict:
      OnStoreAnswered(now);
      // The row names the present holder, or is one of this instance's own
      // writes whose answer was lost.
      if (row.holder_ip == m_ip && row.holder_incarnation == m_incarnation &&
          row.fencing_token >= m_fencing_token) {
        m_lease = row;
        m_fencing_token = row.fencing_token;
        m_next_lease_call = now;
        return;
      }
      if (row.fencing_token < m_fencing_token && m_is_coordinator)
        AcquireLease(now, row);
      else if (row.fencing_token < m_fencing_token)
        m_next_lease_call = now + kLeaseRetryInterval;
      else if (row.position.version > 0)
        FollowCoordinator(now, row);
      else
        StepDown(now);
      return;
    case LeaseWriteResult::kUnknown:
      m_store_failing = true;
      m_next_lease_call = now + kLeaseRetryInterval;
      return;
  }
}

void Coordination::BeginCoordinating(TimePoint now) {
  m_coordinating_since = now;
  m_peers.clear();
  // Instances that still follow another coordinator must receive the heartbeats
  // of this one.
  for (const ClusterMember& member : m_members) {
    if (member.ip == m_ip)
      continue;
    Peer& peer = m_peers[member.ip];
    peer.member = member;
    peer.last_report_at = now;
  }
  m_is_coordinator = true;
  BeginSums(now);
  m_lease_known = true;
  m_coordinator_ip = m_ip;
  m_next_heartbeat = now;
  m_next_list_call = now;
  UpdateSums(now);
}

void Coordination::OnFencingTokenRejected(TimePoint now) {
  if (m_is_coordinator)
    StepDown(now);
}

LeaseRow Coordination::MakeLease(TimePoint now,
                                 const LeaseRow& previous) const {
  LeaseRow lease;
  lease.fencing_token = NextFencingToken(m_fencing_token, previous);
  lease.holder_ip = m_ip;
  lease.holder_incarnation = m_incarnation;
  lease.instances = previous.instances;
  lease.retries = previous.retries;
  lease.quarantine = m_quarantine.List(now);
  if (m_remote_sends.as_of)
    lease.retries = std::max(previous.retries.value_or(0),
                             TotalSends(ClusterSends(now)).retries);
  else if (m_lease_sums_outdated && previous.instances > 0)
    lease.retries.reset();
  return lease;
}

}  // namespace trefoilwick
