// Which servers are lost, refuse or run slow, as this instance notices it.
#include <algorithm>

#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

using boost::system::error_code;

namespace {

using std::chrono::milliseconds;

// Well above a round trip between data centers. One opening packet may be lost:
// a second one follows.
constexpr Duration kProbeTimeout = milliseconds(20);
constexpr Duration kSecondProbeAfter = milliseconds(7);
constexpr Duration kSilenceCheckInterval = milliseconds(10);
// Requests move off a lost server within this time.
constexpr Duration kRecoveryTime = milliseconds(300);

}  // namespace

double GatewayCore::RecoveryCopies(const std::string& server, TimePoint now) {
  Recovery& recovery = m_recoveries[server];
  if (now < recovery.until)
    return recovery.copies;
  recovery = {1, now + kRecoveryTime};
  const auto own = m_local_loads.find(server);
  const LoadMap loads = m_coordination.Loads(now);
  const auto all = loads.find(server);
  if (own != m_local_loads.end() && all != loads.end())
    recovery.copies = std::max(1.0, static_cast<double>(all->second.sequences) /
                                        std::max(1, own->second.sequences));
  return recovery.copies;
}

bool GatewayCore::HasEnded(const std::string& server, TimePoint now) const {
  const auto ended = m_ended.find(server);
  return ended != m_ended.end() && ended->second <= now;
}

void GatewayCore::MarkRefusing(const std::string& address) {
  for (const auto& [id, server] : servers())
    if (server.address == address)
      m_coordination.MarkRefusing(Now(), id);
  RunActions();
}

std::set<std::string> GatewayCore::Avoided(TimePoint now) {
  std::set<std::string> out = m_coordination.Lost(now);
  for (const std::string& server : m_coordination.UnreachableHere(now))
    out.erase(server);
  out.merge(m_coordination.Refusing(now));
  return out;
}

void GatewayCore::Probe(const std::string& server) {
  const TimePoint now = Now();
  const auto found = servers().find(server);
  if (found == servers().end()) {
    m_coordination.MarkFound(server);
    return;
  }
  if (!m_probes.Take(server, now, m_coordination.Members(now).size()))
    return;
  TryConnect(m_io, found->second.address, kProbeTimeout, kSecondProbeAfter,
             [this, server](ConnectResult result) {
               switch (result) {
                 case ConnectResult::kAccepted:
                   m_probes.OnAlive(server, Now());
                   m_coordination.MarkFound(server);
                   return;
                 case ConnectResult::kRefused:
                   m_ended[server] = Now();
                   ReportLost(server);
                   return;
                 case ConnectResult::kSilent:
                   ReportLost(server);
                   return;
               }
             });
}

void GatewayCore::ReportLost(const std::string& server) {
  if (!m_coordination.Lost(Now()).contains(server))
    Log("server_lost", {{"server", server}});
  m_coordination.MarkLost(Now(), server);
  m_pool.Drop(server);
  TellLost();
  RunActions();
}

// Tells each request about servers that are lost since the last call.
void GatewayCore::TellLost() {
  const std::set<std::string> lost = m_coordination.Lost(Now());
  std::vector<std::string> fresh;
  std::set_difference(lost.begin(), lost.end(), m_told_lost.begin(),
                      m_told_lost.end(), std::back_inserter(fresh));
  m_told_lost = lost;
  for (const std::string& server : fresh) {
    std::vector<std::shared_ptr<Exchange>> users;
    for (Exchange* exchange : m_exchanges)
      if (exchange->UsesServer(server))
        users.push_back(exchange->shared_from_this());
    for (const auto& exchange : users)
      exchange->OnServerLost(server);
  }
}

void GatewayCore::ScheduleSilenceCheck() {
  m_silence_timer.expires_after(kSilenceCheckInterval);
  m_silence_timer.async_wait([this](error_code error) {
    if (error)
      return;
    CheckSilence();
    ScheduleSilenceCheck();
  });
}

std::vector<StreamProgress> GatewayCore::Streams() const {
  const TimePoint now = Now();
  std::vector<StreamProgress> streams;
  for (const Exchange* exchange : m_exchanges)
    if (const auto progress = exchange->Progress(now))
      streams.push_back(*progress);
  return streams;
}

void GatewayCore::CheckSilence() {
  for (const std::string& server : SuspectServers(Streams()))
    Probe(server);
}

void GatewayCore::CheckPace(TimePoint now) {
  std::vector<StreamPace> streams;
  for (const Exchange* exchange : m_exchanges)
    if (const auto pace = exchange->Pace(now))
      streams.push_back(*pace);
  const auto known = m_coordination.SlowServers(now);
  for (const std::string& server : m_paces.Suspects(streams))
    if (!known.contains(server) &&
        m_pace_readings.Take(server, now, m_coordination.Members(now).size()))
      ReadPace(server);
  for (const std::string& server : m_coordination.PacesToRead(now))
    if (m_pace_readings.Take(server, now, 1))
      ReadPace(server);
}

void GatewayCore::ReadPace(const std::string& server) {
  const auto found = servers().find(server);
  if (found == servers().end())
    return;
  m_server_calls.Call(
      found->second.address, m_dialect->ReportRequest(), kOrderTimeout,
      [this, server](const CallResult& answer) {
        const auto report = m_dialect->ReadReport(answer);
        if (!report)
          return;
        const TimePoint now = Now();
        const bool before = m_coordination.SlowServers(now).contains(server);
        const bool slow = report->pace >= kSlowPace;
        m_coordination.SetPace(now, server, report->pace);
        if (!slow)
          m_pace_readings.OnAlive(server, now);
        if (slow != before)
          Log(slow ? "server_slow" : "server_at_pace",
              {{"server", server}, {"pace", std::to_string(report->pace)}});
        RunActions();
      });
}

// Another instance cannot reach the server.
void GatewayCore::OnLossHeard(const std::string& server) {
  if (CorroboratesLoss(server, Streams()))
    ReportLost(server);
  // A server that answers is used again.
  Probe(server);
}

}  // namespace trefoilwick::detail
