// Detects servers that are lost, refuse requests or are slow, as observed by
// this instance.
#include <absl/cleanup/cleanup.h>

#include <algorithm>

#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

using boost::system::error_code;

namespace {

using std::chrono::milliseconds;

// Well above a round trip between data centers. A SYN may be lost, so a second
// connection attempt follows.
constexpr Duration kProbeTimeout = milliseconds(20);
constexpr Duration kSecondProbeDelay = milliseconds(7);
constexpr Duration kStallCheckInterval = milliseconds(10);
// Requests move off a lost server within this time.
constexpr Duration kRecoveryTime = milliseconds(300);
// Bounds the memory for servers that come and go.
constexpr size_t kMaxLoggedInvalidHeaders = 1000;

}  // namespace

void GatewayCore::OnServerAnswer(const ServerProcess& process,
                                 const ResponseHead& head,
                                 TimePoint sent_at) {
  const bool is_made_by_server = head.authentic || head.not_run;
  // Other responses may have been made up by a faulty server. Failures among
  // them still reach the client, so an announcement in one of them counts.
  if (!is_made_by_server && head.attempt_id.empty())
    return;
  LogInvalidHeaders(process.id, head);
  OnServerNotices(process, head);
  if (!is_made_by_server)
    return;
  const ServerLimits& limits = m_coordination.availability().limits();
  const auto before = limits.LimitOf(process.id);
  m_coordination.OnServerAnswer(Now(), process.id, head.requests_per_second,
                                sent_at);
  const auto after = limits.LimitOf(process.id);
  if (before != after)
    Log("server_limit", {{"server", process.id},
                         {"per_second", after ? std::to_string(*after) : "-"},
                         {"before", before ? std::to_string(*before) : "-"}});
}

void GatewayCore::OnControlAnswer(const ServerProcess& process,
                                  const CallResult& result) {
  if (result.error != CallError::kNone)
    return;
  const ResponseHead head = m_dialect->ReadResponse(result.response.base());
  LogInvalidHeaders(process.id, head);
  OnServerNotices(process, head);
}

// An announced shutdown and a pause, which any answer may contain.
void GatewayCore::OnServerNotices(const ServerProcess& process,
                                  const ResponseHead& head) {
  const TimePoint now = Now();
  if (head.pause) {
    m_coordination.OnServerPause(now, process.id, *head.pause);
    Log("server_pause", {{"server", process.id},
                         {"ms", std::to_string(head.pause->count() / 1000)}});
  }
  if (!head.is_leaving || !m_coordination.OnServerLeaving(now, process))
    return;
  m_pool.Drop(process.id);
  Log("server_leaving",
      {{"server", process.id},
       {"list_age_ms",
        std::to_string(m_coordination.ServerListAge(now).count() / 1000)}});
  RunActions();
}

int64_t GatewayCore::FirstEventId(const std::string& service) {
  return m_first_event_numbers.try_emplace(service, m_settings.first_event_id)
      .first->second.expected();
}

void GatewayCore::OnStreamBegan(const std::string& service,
                                const std::string& server,
                                int64_t id) {
  FirstEventNumber& number =
      m_first_event_numbers.try_emplace(service, m_settings.first_event_id)
          .first->second;
  const int64_t before = number.expected();
  number.OnRunBegan(server, id);
  if (number.expected() != before)
    Log("first_event", {{"service", service},
                        {"id", std::to_string(number.expected())},
                        {"before", std::to_string(before)}});
}

void GatewayCore::LogInvalidHeaders(const std::string& server,
                                    const ResponseHead& head) {
  for (const std::string& header : head.invalid_headers)
    if (m_logged_invalid_headers.size() < kMaxLoggedInvalidHeaders &&
        m_logged_invalid_headers.emplace(server, header).second)
      Log("invalid_server_header", {{"server", server}, {"header", header}});
}

SendVerdict GatewayCore::TrySend(const std::string& server,
                                 const std::string& service,
                                 bool is_retry,
                                 bool response_committed) {
  const auto found = servers().find(server);
  if (found == servers().end())
    return SendVerdict::kNoCapacity;
  const SendVerdict verdict = m_coordination.availability().TrySend(
      Now(), found->second, !is_retry || MayRetry(service, response_committed),
      m_random.UniformDouble());
  if (is_retry && (verdict == SendVerdict::kAllowed ||
                   verdict == SendVerdict::kRetryBudgetSpent))
    TryRetry(service, response_committed);
  if (verdict == SendVerdict::kLimitUsed)
    m_metrics.GetCounter("trefoilwick_limited_total", {{"service", service}})
        .Add();
  if (verdict != SendVerdict::kAllowed)
    m_metrics
        .GetCounter("trefoilwick_sends_denied_total",
                    {{"reason", std::string(kSendVerdictNames.Name(verdict))}})
        .Add();
  return verdict;
}

bool GatewayCore::MayStillSend(const ServerProcess& first,
                               const LayerPath& path) const {
  const TimePoint now = Now();
  const ServerAvailability& availability = m_coordination.availability();
  if (availability.pauses().Remaining(now, first.id) > Duration(0) ||
      availability.leaving().Contains(now, first))
    return false;
  return std::none_of(path.begin(), path.end(), [&](const PathStage& stage) {
    const auto found = servers().find(stage.server);
    return found != servers().end() &&
           availability.leaving().Contains(now, found->second.process());
  });
}

double GatewayCore::RecoveryMultiplier(const std::string& server,
                                       TimePoint now) {
  Recovery& recovery = m_recoveries[server];
  if (now < recovery.until)
    return recovery.multiplier;
  recovery = {1, now + kRecoveryTime};
  const auto local = m_local_loads.find(server);
  const LoadMap loads = m_coordination.Loads(now);
  const auto total = loads.find(server);
  if (local != m_local_loads.end() && total != loads.end())
    recovery.multiplier =
        std::max(1.0, static_cast<double>(total->second.sequences) /
                          std::max(1, local->second.sequences));
  return recovery.multiplier;
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
  out.merge(m_coordination.availability().Unavailable(now));
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
                                  m_coordination.Members(now).size()) ||
      !m_coordination.availability().pauses().TryProbe(now, server))
    return;
  StartProbe(server, found->second.address);
}

void GatewayCore::StartProbe(const std::string& server,
                             const std::string& address) {
  TryConnect(
      m_io, address, kProbeTimeout, kSecondProbeDelay,
      [this, server, was_link_busy = IsLinkBusy()](ConnectResult result) {
        const bool is_link_busy = was_link_busy || IsLinkBusy();
        // The probe, or its answer, waits behind the bytes of the store.
        if (result != ConnectResult::kTimedOut || !is_link_busy)
          OnProbed(server, result);
      });
}

// True while responses of the store keep the link busy for longer than a probe
// waits.
bool GatewayCore::IsLinkBusy() const {
  const double bytes_per_second = m_settings.link_mbps * 1e6 / 8;
  const auto missing_bytes = static_cast<double>(m_store->MissingBytes());
  return bytes_per_second > 0 &&
         missing_bytes / bytes_per_second >
             std::chrono::duration<double>(kProbeTimeout).count();
}

void GatewayCore::OnProbed(const std::string& server, ConnectResult result) {
  SettleUnconfirmedCrashes(server, result != ConnectResult::kAccepted);
  switch (result) {
    case ConnectResult::kAccepted:
      m_probe_limiter.OnAlive(server, Now());
      m_ended_servers.OnPortOpen(server);
      m_coordination.ClearUnreachable(server);
      return;
    case ConnectResult::kRefused:
      m_ended_servers.OnPortClosed(server, Now());
      ReportUnreachable(server);
      return;
    case ConnectResult::kTimedOut:
    case ConnectResult::kFailed:
      ReportUnreachable(server);
      return;
  }
}

bool GatewayCore::HasServerEnded(const std::string& server,
                                 bool has_closed_connection) {
  if (const auto address = m_ended_servers.TakeAddressToProbe(server, Now()))
    TryConnect(m_io, *address, kProbeTimeout, kSecondProbeDelay,
               [this, server](ConnectResult result) {
                 if (result != ConnectResult::kFailed)
                   m_ended_servers.OnUnlistedProbed(
                       server, result == ConnectResult::kAccepted);
               });
  return m_ended_servers.HasEnded(server, has_closed_connection, Now());
}

void GatewayCore::ReportUnreachable(const std::string& server) {
  if (!m_coordination.LostServers(Now()).contains(server))
    Log("server_lost", {{"server", server}});
  m_coordination.MarkUnreachable(Now(), server);
  m_pool.Drop(server);
  NotifyRequestsOfLostServers();
  RunActions();
}

// Notifies requests of servers that were lost since the last call.
void GatewayCore::NotifyRequestsOfLostServers() {
  const std::set<std::string> lost = m_coordination.LostServers(Now());
  std::vector<std::string> newly_lost;
  std::set_difference(lost.begin(), lost.end(), m_notified_lost_servers.begin(),
                      m_notified_lost_servers.end(),
                      std::back_inserter(newly_lost));
  m_notified_lost_servers = lost;
  for (const std::string& server : newly_lost) {
    std::vector<std::shared_ptr<Exchange>> affected;
    for (Exchange* exchange : m_exchanges)
      if (exchange->UsesServer(server))
        affected.push_back(exchange->shared_from_this());
    for (const auto& exchange : affected)
      RunStep(*exchange,
              [&](Exchange& request) { request.OnServerLost(server); });
  }
}

void GatewayCore::ScheduleStallCheck() {
  m_stall_check_timer.expires_after(kStallCheckInterval);
  m_stall_check_timer.async_wait([this](error_code error) {
    if (error)
      return;
    // Also when this step throws.
    const absl::Cleanup schedule_next = [this] { ScheduleStallCheck(); };
    CheckStalledStreams();
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
    if (const auto timing = exchange->MeasureTiming(now))
      streams.push_back(*timing);
  const auto known_slow = m_coordination.SlowServers(now);
  for (const std::string& server : m_slowdown_detector.Suspects(streams))
    if (!known_slow.contains(server) &&
        m_slowdown_poll_limiter.TryAcquire(server, now,
                                           m_coordination.Members(now).size()))
      PollSlowdown(server);
  for (const std::string& server : m_coordination.SlowServersToRecheck(now))
    if (m_slowdown_poll_limiter.TryAcquire(server, now, 1))
      PollSlowdown(server);
}

void GatewayCore::PollSlowdown(const std::string& server) {
  const auto found = servers().find(server);
  if (found == servers().end() ||
      !m_coordination.availability().pauses().TryProbe(Now(), server))
    return;
  m_server_client.Call(
      found->second.address, m_dialect->WriteReportRequest(server),
      kOrderTimeout,
      [this, server,
       process = found->second.process()](const CallResult& result) {
        OnControlAnswer(process, result);
        const auto report = m_dialect->ReadReport(result);
        if (!report)
          return;
        const TimePoint now = Now();
        const bool was_slow = m_coordination.SlowServers(now).contains(server);
        const bool is_slow = report->slowdown >= kSlowdownThreshold;
        m_coordination.SetSlowdown(now, server, report->slowdown);
        if (!is_slow)
          m_slowdown_poll_limiter.OnAlive(server, now);
        if (is_slow != was_slow)
          Log(is_slow ? "server_slow" : "server_at_pace",
              {{"server", server}, {"pace", std::to_string(report->slowdown)}});
        RunActions();
      });
}

// Handles a report of another instance that cannot reach the server.
void GatewayCore::OnServerReportedLost(const std::string& server) {
  if (StreamsCorroborateLoss(server, ActiveStreams()))
    ReportUnreachable(server);
  // A server that accepts a connection is used again.
  Probe(server);
}

}  // namespace trefoilwick::detail
