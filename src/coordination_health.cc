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

void Coordination::SweepHealth(TimePoint now) {
  m_refusing.Sweep(now);
  m_slow.Sweep(now);
  std::erase_if(m_next_pace_reading, [&](const auto& entry) {
    return now - entry.second > kPaceTakeOver;
  });
  std::erase_if(m_lost,
                [&](const auto& entry) { return entry.second.until <= now; });
  std::erase_if(m_heard_lost, [&](const auto& entry) {
    return now - entry.second > kLostLife;
  });
}

// What the coordinator says of lost servers.
void Coordination::HearDeploymentLost(TimePoint now,
                                      const std::set<std::string>& lost) {
  m_deployment_lost = lost;
  for (const std::string& server : lost) {
    // The coordinator goes on probing for all.
    if (const auto mark = m_lost.find(server); mark != m_lost.end())
      mark->second.until = now + kLostLife;
    else
      HearOfLost(now, server);
  }
}

void Coordination::MarkLost(TimePoint now, const std::string& server) {
  const bool is_new = !m_lost.contains(server);
  LostMark& mark = m_lost[server];
  if (is_new)
    mark.since = now;
  mark.until = now + kLostLife;
  // With most servers lost it is rather the link of this instance.
  if (!is_new || m_lost.size() * 2 > m_servers->size())
    return;
  // The coordinator counts who cannot reach the server.
  m_next_report = now;
  // What another one told everybody is not told again.
  const auto heard = m_heard_lost.find(server);
  if (heard != m_heard_lost.end() && now - heard->second < kLostLife)
    return;
  Broadcast(now, detail::EncodeLost({server}));
}

void Coordination::MarkRefusing(TimePoint now, const std::string& server) {
  if (m_refusing.Add(server, now))
    Broadcast(now, detail::EncodeRefusing({server}));
}

std::set<std::string> Coordination::Refusing(TimePoint now) const {
  return m_refusing.Active(now);
}

void Coordination::SetPace(TimePoint now,
                           const std::string& server,
                           double pace) {
  const bool tells = m_next_pace_reading.contains(server);
  const bool is_new = m_slow.Set(server, pace, now);
  if (pace >= kSlowPace)
    m_next_pace_reading[server] = now + kPaceInterval;
  else
    m_next_pace_reading.erase(server);
  if (is_new || tells)
    Broadcast(now, detail::EncodeSlow({{server, pace}}));
}

void Coordination::HearOfPace(TimePoint now,
                              const std::string& server,
                              double pace) {
  m_slow.Set(server, pace, now);
  if (pace < kSlowPace) {
    m_next_pace_reading.erase(server);
    return;
  }
  m_next_pace_reading[server] =
      now + kPaceInterval +
      Duration(StableHash(m_ip + server) %
               static_cast<uint64_t>(kPaceTakeOver.count()));
}

std::set<std::string> Coordination::PacesToRead(TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, next] : m_next_pace_reading)
    if (now >= next)
      out.insert(server);
  return out;
}

void Coordination::HearOfLost(TimePoint now, const std::string& server) {
  m_heard_lost[server] = now;
  if (!m_lost.contains(server) && m_servers->contains(server))
    m_actions.emplace_back(ProbeServer{server});
}

void Coordination::MarkFound(const std::string& server) {
  m_lost.erase(server);
}

std::set<std::string> Coordination::Lost(TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, mark] : m_lost)
    if (mark.until > now)
      out.insert(server);
  return out;
}

LossVerdict Coordination::Verdict(TimePoint now,
                                  const std::string& server,
                                  const LostMark& mark) const {
  if (!m_is_coordinator) {
    if (!HearsCoordinator(now) || now - mark.since < kVerdictKnown)
      return LossVerdict::kOpen;
    return m_deployment_lost.contains(server) ? LossVerdict::kConfirmed
                                              : LossVerdict::kContradicted;
  }
  std::vector<LossReport> others;
  for (const auto& [ip, peer] : m_peers)
    if (now - peer.heard <= detail::kMemberSilence)
      others.push_back({peer.heard, &peer.lost});
  return AssessLoss(server, mark.since, now, others);
}

std::set<std::string> Coordination::UnreachableHere(TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, mark] : m_lost)
    if (mark.until > now &&
        Verdict(now, server, mark) == LossVerdict::kContradicted)
      out.insert(server);
  return out;
}

std::set<std::string> Coordination::ConfirmedLost(TimePoint now,
                                                  Duration at_least) const {
  std::set<std::string> out;
  for (const auto& [server, mark] : m_lost)
    if (mark.until > now && now - mark.since >= at_least &&
        Verdict(now, server, mark) == LossVerdict::kConfirmed)
      out.insert(server);
  return out;
}

}  // namespace trefoilwick
