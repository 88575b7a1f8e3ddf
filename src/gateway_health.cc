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

double GatewayCore::RecoveryMultiplier(const std::string& server,
                                       TimePoint now) {
  Recovery& recovery = m_recoveries[server];
  if (now < recovery.until)
    return recovery.multiplier;
  recovery = {1, now + kRecoveryTime};
  const auto own = m_local_loads.find(server);
  const LoadMap loads = m_coordination.Loads(now);
  const auto all = loads.find(server);
  if (own != m_local_loads.end() && all != loads.end())
    recovery.multiplier =
        std::max(1.0, static_cast<double>(all->second.sequences) /
                          std::max(1, own->second.sequences));
  return recovery.multiplier;
}

bool GatewayCore::HasTerminated(const std::string& server,
                                TimePoint now) const {
  const auto ended = m_terminated_at.find(server);
  return ended != m_terminated_at.end() && ended->second <= now;
}

void GatewayCore::MarkRefusing(const std::string& address) {
  for (const auto& [id, server] : servers())
    if (server.address == address)
      m_coordination.MarkRefusing(Now(), id);
  RunActions();
}

std::set<std::string> GatewayCore::ExcludedServers(TimePoint now) {
  std::set<std::string> out = m_coordination.LostServers(now);
  for (const std::string& server :
       m_coordination.LocallyUnreachableServers(now))
    out.erase(server);
  out.merge(m_coordination.RefusingServers(now));
  return out;
}

void GatewayCore::Probe(const std::string& server) {
  const TimePoint now = Now();
  const auto found = servers().find(server);
  if (found == servers().end()) {
    m_coordination.ClearUnreachable(server);
    return;
  }
  if (!m_probe_limiter.TryAcquire(server, now,
                                  m_coordination.Members(now).size()))
    return;
  TryConnect(m_io, found->second.address, kProbeTimeout, kSecondProbeAfter,
             [this, server](ConnectResult result) {
               switch (result) {
                 case ConnectResult::kAccepted:
                   m_probe_limiter.OnAlive(server, Now());
                   m_coordination.ClearUnreachable(server);
                   return;
                 case ConnectResult::kRefused:
                   m_terminated_at[server] = Now();
                   ReportUnreachable(server);
                   return;
                 case ConnectResult::kTimedOut:
                   ReportUnreachable(server);
                   return;
               }
             });
}

void GatewayCore::ReportUnreachable(const std::string& server) {
  if (!m_coordination.LostServers(Now()).contains(server))
    Log("server_lost", {{"server", server}});
  m_coordination.MarkUnreachable(Now(), server);
  m_pool.Drop(server);
  NotifyRequestsOfLostServers();
  RunActions();
}

// Tells each request about servers that are lost since the last call.
void GatewayCore::NotifyRequestsOfLostServers() {
  const std::set<std::string> lost = m_coordination.LostServers(Now());
  std::vector<std::string> fresh;
  std::set_difference(lost.begin(), lost.end(), m_notified_lost_servers.begin(),
                      m_notified_lost_servers.end(), std::back_inserter(fresh));
  m_notified_lost_servers = lost;
  for (const std::string& server : fresh) {
    std::vector<std::shared_ptr<Exchange>> users;
    for (Exchange* exchange : m_exchanges)
      if (exchange->UsesServer(server))
        users.push_back(exchange->shared_from_this());
    for (const auto& exchange : users)
      exchange->OnServerLost(server);
  }
}

void GatewayCore::ScheduleStallCheck() {
  m_stall_check_timer.expires_after(kSilenceCheckInterval);
  m_stall_check_timer.async_wait([this](error_code error) {
    if (error)
      return;
    CheckStalledStreams();
    ScheduleStallCheck();
  });
}

std::vector<StreamProgress> GatewayCore::ActiveStreams() const {
  const TimePoint now = Now();
  std::vector<StreamProgress> streams;
  for (const Exchange* exchange : m_exchanges)
    if (const auto progress = exchange->Progress(now))
      streams.push_back(*progress);
  return streams;
}

void GatewayCore::CheckStalledStreams() {
  for (const std::string& server : SuspectServers(ActiveStreams()))
    Probe(server);
}

void GatewayCore::CheckSlowServers(TimePoint now) {
  std::vector<StreamTiming> streams;
  for (const Exchange* exchange : m_exchanges)
    if (const auto pace = exchange->MeasureTiming(now))
      streams.push_back(*pace);
  const auto known = m_coordination.SlowServers(now);
  for (const std::string& server : m_slowdown_detector.Suspects(streams))
    if (!known.contains(server) &&
        m_slowdown_poll_limiter.TryAcquire(server, now,
                                           m_coordination.Members(now).size()))
      PollSlowdown(server);
  for (const std::string& server : m_coordination.SlowServersToRecheck(now))
    if (m_slowdown_poll_limiter.TryAcquire(server, now, 1))
      PollSlowdown(server);
}

void GatewayCore::PollSlowdown(const std::string& server) {
  const auto found = servers().find(server);
  if (found == servers().end())
    return;
  m_server_client.Call(
      found->second.address, m_dialect->WriteReportRequest(), kOrderTimeout,
      [this, server](const CallResult& answer) {
        const auto report = m_dialect->ReadReport(answer);
        if (!report)
          return;
        const TimePoint now = Now();
        const bool before = m_coordination.SlowServers(now).contains(server);
        const bool slow = report->slowdown >= kSlowdownThreshold;
        m_coordination.SetSlowdown(now, server, report->slowdown);
        if (!slow)
          m_slowdown_poll_limiter.OnAlive(server, now);
        if (slow != before)
          Log(slow ? "server_slow" : "server_at_pace",
              {{"server", server}, {"pace", std::to_string(report->slowdown)}});
        RunActions();
      });
}

// Another instance cannot reach the server.
void GatewayCore::OnServerReportedLost(const std::string& server) {
  if (StreamsCorroborateLoss(server, ActiveStreams()))
    ReportUnreachable(server);
  // A server that answers is used again.
  Probe(server);
}

}  // namespace trefoilwick::detail
