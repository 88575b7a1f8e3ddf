// Lost, refusing and slow servers, as instances tell each other of them.
#include <algorithm>

#include "cluster_codec.h"
#include "trefoilwick/coordination.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLostLife = seconds(2);
// A beat that was made when the others had tried to reach a lost server has
// arrived after this time.
constexpr Duration kVerdictKnown = milliseconds(900);
// Time between two readings of the pace of a slow server, and the time over
// which the others take over from the instance that read it last.
constexpr Duration kPaceInterval = seconds(1);
constexpr Duration kPaceTakeOver = milliseconds(1200);

}  // namespace

void Coordination::RemoveExpiredHealthState(TimePoint now) {
  m_refusing_servers.RemoveExpired(now);
  m_slow_servers.RemoveExpired(now);
  std::erase_if(m_next_slowdown_check, [&](const auto& entry) {
    return now - entry.second > kPaceTakeOver;
  });
  std::erase_if(m_unreachable_marks,
                [&](const auto& entry) { return entry.second.until <= now; });
  std::erase_if(m_peer_reported_unreachable, [&](const auto& entry) {
    return now - entry.second > kLostLife;
  });
}

// What the coordinator says of lost servers.
void Coordination::UpdateMajorityUnreachable(
    TimePoint now,
    const std::set<std::string>& lost) {
  m_majority_unreachable = lost;
  for (const std::string& server : lost) {
    // The coordinator goes on probing for all.
    if (const auto mark = m_unreachable_marks.find(server);
        mark != m_unreachable_marks.end())
      mark->second.until = now + kLostLife;
    else
      HandleUnreachableReport(now, server);
  }
}

void Coordination::MarkUnreachable(TimePoint now, const std::string& server) {
  const bool is_new = !m_unreachable_marks.contains(server);
  UnreachableMark& mark = m_unreachable_marks[server];
  if (is_new)
    mark.since = now;
  mark.until = now + kLostLife;
  // With most servers lost it is rather the link of this instance.
  if (!is_new || m_unreachable_marks.size() * 2 > m_listed_servers->size())
    return;
  // The coordinator counts who cannot reach the server.
  m_next_report = now;
  // What another one told everybody is not told again.
  const auto heard = m_peer_reported_unreachable.find(server);
  if (heard != m_peer_reported_unreachable.end() &&
      now - heard->second < kLostLife)
    return;
  Broadcast(now, detail::EncodeUnreachableServers({server}));
}

void Coordination::MarkRefusing(TimePoint now, const std::string& server) {
  if (m_refusing_servers.RecordRefusal(server, now))
    Broadcast(now, detail::EncodeRefusingServers({server}));
}

std::set<std::string> Coordination::RefusingServers(TimePoint now) const {
  return m_refusing_servers.Active(now);
}

void Coordination::SetSlowdown(TimePoint now,
                               const std::string& server,
                               double pace) {
  const bool tells = m_next_slowdown_check.contains(server);
  const bool is_new = m_slow_servers.Set(server, pace, now);
  if (pace >= kSlowdownThreshold)
    m_next_slowdown_check[server] = now + kPaceInterval;
  else
    m_next_slowdown_check.erase(server);
  if (is_new || tells)
    Broadcast(now, detail::EncodeSlowServers({{server, pace}}));
}

void Coordination::HandleSlowdownReport(TimePoint now,
                                        const std::string& server,
                                        double pace) {
  m_slow_servers.Set(server, pace, now);
  if (pace < kSlowdownThreshold) {
    m_next_slowdown_check.erase(server);
    return;
  }
  m_next_slowdown_check[server] =
      now + kPaceInterval +
      Duration(StableHash(m_ip + server) %
               static_cast<uint64_t>(kPaceTakeOver.count()));
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
    if (!ReceivesCoordinatorHeartbeats(now) || now - mark.since < kVerdictKnown)
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
