// Unreachable, refusing and slow servers, as instances report them to each
// other.
#include <algorithm>

#include "cluster_codec.h"
#include "trefoilwick/coordination.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kUnreachableMarkTtl = seconds(2);
// Time after which a heartbeat has arrived that was sent when the other
// instances had tried to reach an unreachable server.
constexpr Duration kVerdictDelay = milliseconds(900);
// Time between two reads of the slowdown of a slow server, and the time over
// which the other instances take over from the one that read it last.
constexpr Duration kSlowdownReadInterval = seconds(1);
constexpr Duration kSlowdownTakeOverSpread = milliseconds(1200);

}  // namespace

void Coordination::RemoveExpiredHealthState(TimePoint now) {
  if (m_availability.RemoveExpired(now, *m_stored_servers))
    UpdateServers(now);
  m_slow_servers.RemoveExpired(now);
  std::erase_if(m_next_slowdown_check, [&](const auto& entry) {
    return now - entry.second > kSlowdownTakeOverSpread;
  });
  std::erase_if(m_unreachable_marks,
                [&](const auto& entry) { return entry.second.until <= now; });
  std::erase_if(m_peer_reported_unreachable, [&](const auto& entry) {
    return now - entry.second > kUnreachableMarkTtl;
  });
}

void Coordination::UpdateMajorityUnreachable(
    TimePoint now,
    const std::set<std::string>& servers) {
  m_majority_unreachable = servers;
  for (const std::string& server : servers) {
    // The coordinator goes on probing for all instances.
    if (const auto mark = m_unreachable_marks.find(server);
        mark != m_unreachable_marks.end())
      mark->second.until = now + kUnreachableMarkTtl;
    else
      HandleUnreachableReport(now, server);
  }
}

void Coordination::MarkUnreachable(TimePoint now, const std::string& server) {
  const bool is_new = !m_unreachable_marks.contains(server);
  UnreachableMark& mark = m_unreachable_marks[server];
  if (is_new)
    mark.since = now;
  mark.until = now + kUnreachableMarkTtl;
  // When most servers are unreachable, the cause is probably the link of this
  // instance.
  if (!is_new || m_unreachable_marks.size() * 2 > m_listed_servers->size())
    return;
  // The coordinator counts the instances that cannot reach the server.
  m_next_report = now;
  // A server that another instance already reported to all is not reported
  // again.
  const auto report = m_peer_reported_unreachable.find(server);
  if (report != m_peer_reported_unreachable.end() &&
      now - report->second < kUnreachableMarkTtl)
    return;
  Broadcast(now, PeerMessageType::kUnreachableServers,
            detail::EncodeUnreachableServers({server}));
}

void Coordination::MarkRefusing(TimePoint now, const std::string& server) {
  if (m_availability.cooldowns().RecordRefusal(server, now))
    Broadcast(now, PeerMessageType::kRefusingServers,
              detail::EncodeRefusingServers({server}));
}

void Coordination::SetSlowdown(TimePoint now,
                               const std::string& server,
                               double slowdown) {
  const bool was_slow = m_next_slowdown_check.contains(server);
  const bool is_new = m_slow_servers.Set(server, slowdown, now);
  if (slowdown >= kSlowdownThreshold)
    m_next_slowdown_check[server] = now + kSlowdownReadInterval;
  else
    m_next_slowdown_check.erase(server);
  if (is_new || was_slow)
    Broadcast(now, PeerMessageType::kSlowServers,
              detail::EncodeSlowServers({{server, slowdown}}));
}

void Coordination::HandleSlowdownReport(TimePoint now,
                                        const std::string& server,
                                        double slowdown) {
  m_slow_servers.Set(server, slowdown, now);
  if (slowdown < kSlowdownThreshold) {
    m_next_slowdown_check.erase(server);
    return;
  }
  m_next_slowdown_check[server] =
      now + kSlowdownReadInterval +
      Duration(StableHash(m_ip + server) %
               static_cast<uint64_t>(kSlowdownTakeOverSpread.count()));
}

std::set<std::string> Coordination::SlowServersToRecheck(TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, next] : m_next_slowdown_check)
    if (now >= next)
      out.insert(server);
  return out;
}

void Coordination::HandleUnreachableReport(TimePoint now,
                                           const std::string& server) {
  m_peer_reported_unreachable[server] = now;
  if (!m_unreachable_marks.contains(server) &&
      m_listed_servers->contains(server))
    m_actions.emplace_back(ProbeServer{server});
}

void Coordination::ClearUnreachable(const std::string& server) {
  m_unreachable_marks.erase(server);
}

std::set<std::string> Coordination::LostServers(TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, mark] : m_unreachable_marks)
    if (mark.until > now)
      out.insert(server);
  return out;
}

LossVerdict Coordination::AssessUnreachableServer(
    TimePoint now,
    const std::string& server,
    const UnreachableMark& mark) const {
  if (!m_is_coordinator) {
    if (!ReceivesCoordinatorHeartbeats(now) || now - mark.since < kVerdictDelay)
      return LossVerdict::kUndecided;
    return m_majority_unreachable.contains(server) ? LossVerdict::kConfirmed
                                                   : LossVerdict::kContradicted;
  }
  std::vector<UnreachableReport> others;
  for (const auto& [ip, peer] : m_peers)
    if (now - peer.last_report_at <= detail::kMemberTimeout)
      others.push_back({peer.last_report_at, &peer.unreachable_servers});
  return AssessLoss(server, mark.since, now, others);
}

std::set<std::string> Coordination::LocallyUnreachableServers(
    TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, mark] : m_unreachable_marks)
    if (mark.until > now && AssessUnreachableServer(now, server, mark) ==
                                LossVerdict::kContradicted)
      out.insert(server);
  return out;
}

std::set<std::string> Coordination::ConfirmedLostServers(
    TimePoint now,
    Duration at_least) const {
  std::set<std::string> out;
  for (const auto& [server, mark] : m_unreachable_marks)
    if (mark.until > now && now - mark.since >= at_least &&
        AssessUnreachableServer(now, server, mark) == LossVerdict::kConfirmed)
      out.insert(server);
  return out;
}

}  // namespace trefoilwick
