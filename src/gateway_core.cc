#include "gateway_core.h"

#include <algorithm>
#include <cmath>

#include "gateway_exchange.h"
#include "gateway_session.h"

namespace trefoilwick::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A list that is older is not used while a newer one may still come.
constexpr Duration kListLimit = milliseconds(1600);
// How long requests wait for the list after the process stood still.
constexpr Duration kResumeWait = milliseconds(400);
// A tick that is later means that the process stood still.
constexpr Duration kSuspension = milliseconds(800);
constexpr Duration kSweepInterval = seconds(1);
constexpr Duration kPlacementInterval = milliseconds(200);
// Time for the news that layers are to be given up to reach every instance: a
// tick of the coordinator and the way there.
constexpr Duration kGiveUpNotice = milliseconds(120);
// A server that is not listed for longer than this has ended: entries that
// lapse while the store is away are back within two seconds.
constexpr Duration kEndedAfter = milliseconds(2500);
// An order that does not show in the list after this long is given again.
constexpr Duration kOrderLife = seconds(4);
// Longer than the time between two entries of a server in the list.
constexpr Duration kListSettles = milliseconds(1500);
// A server must be lost this long before its layers go to others.
constexpr Duration kLostBeforePlacing = milliseconds(300);
constexpr Duration kOrderTimeout = milliseconds(1500);
// A server that should have carried out its order is asked this often.
constexpr Duration kAskInterval = milliseconds(150);
// A report may be this old: it does not show an order yet.
constexpr Duration kReportLag = milliseconds(600);
// A server that was listed just now often replaces one that leaves soon after:
// it stays empty for the layers of that one.
constexpr Duration kFreshServer = milliseconds(1200);
constexpr Duration kServerConnect = milliseconds(400);
// Well above a round trip between data centers. One opening packet may be lost:
// a second one follows.
constexpr Duration kProbeTimeout = milliseconds(20);
constexpr Duration kSecondProbeAfter = milliseconds(7);
constexpr Duration kSilenceCheckInterval = milliseconds(10);
constexpr Duration kConfigWatch = seconds(1);
constexpr Duration kWatchCheck = milliseconds(250);
constexpr Duration kConfigRetry = milliseconds(500);
constexpr int kMostWatchBackoff = 6;
constexpr int kMaxLogLinesPerSecond = 200;
// Requests move off a lost server within this time.
constexpr Duration kRecoveryTime = milliseconds(300);

}  // namespace

GatewayCore::GatewayCore(asio::io_context& io,
                         GatewaySettings settings,
                         const WireDialect* dialect,
                         ClusterStore* store)
    : m_io(io),
      m_settings(std::move(settings)),
      m_dialect(dialect),
      m_store(store),
      m_random(StableHash(m_settings.ip,
                          static_cast<uint64_t>(m_clock.UnixMillis()))),
      m_coordination(Coordination::Builder()
                         .SetAddress(m_settings.ip, m_settings.data_center)
                         .SetProcessorShare(m_settings.cpu_milli)
                         .SetLink(m_settings.link_mbps)
                         .SetIncarnation(m_clock.UnixMillis() * 1000)
                         .Build(m_clock.Now())),
      m_server_calls(io, kServerConnect),
      m_retries(m_settings.retry_ratio,
                m_settings.retry_slack,
                m_settings.retry_window),
      m_client_acceptor(io),
      m_ready_acceptor(io),
      m_directory_acceptor(io),
      m_metrics_acceptor(io),
      m_peer_socket(io),
      m_peer_buffer(kMaxDatagramBytes + 1),
      m_tick_timer(io),
      m_watch_timer(io),
      m_silence_timer(io),
      m_started(m_clock.Now()),
      m_last_tick(m_clock.Now()) {
  m_retries.SetKnowledge(RetryWindow::Knowledge::kOwnOnly);
}

GatewayCore::~GatewayCore() = default;

const ClientLimits& GatewayCore::limits() const {
  static const ClientLimits defaults;
  return m_table ? m_table->limits() : defaults;
}

bool GatewayCore::ListUsable(TimePoint now) const {
  if (!m_coordination.has_servers())
    return false;
  if (m_coordination.ListAge(now) <= kListLimit)
    return true;
  // The newest known list is used while the store is out of reach, except
  // right after the process stood still, when a newer one is on its way.
  return now - m_suspended_at > kResumeWait;
}

bool GatewayCore::Ready() const {
  return m_table && m_coordination.has_servers() && !m_leaving;
}

void GatewayCore::AddWaiting(Exchange* exchange) {
  m_waiting.push_back(exchange);
}

void GatewayCore::RemoveWaiting(Exchange* exchange) {
  std::erase(m_waiting, exchange);
}

void GatewayCore::RemoveExchange(Exchange* exchange) {
  m_exchanges.erase(exchange);
  RemoveWaiting(exchange);
}

void GatewayCore::ServeWaiting() {
  if (m_waiting.empty())
    return;
  std::vector<std::shared_ptr<Exchange>> waiting;
  std::vector<WaitingRequest> requests;
  for (Exchange* exchange : m_waiting) {
    waiting.push_back(exchange->shared_from_this());
    requests.push_back(exchange->Waiting());
  }
  // Whoever finds no room keeps those behind from taking what it waits for.
  std::set<std::string> full;
  for (const size_t i : OrderWaiting(requests, Now())) {
    if (full.contains(requests[i].service))
      waiting[i]->WaitOn();
    else if (!waiting[i]->TryDispatch())
      full.insert(requests[i].service);
  }
}

bool GatewayCore::MustQueue(const Exchange& exchange) const {
  const WaitingRequest request = exchange.Waiting();
  const TimePoint now = Now();
  return std::any_of(m_waiting.begin(), m_waiting.end(),
                     [&](const Exchange* other) {
                       if (other == &exchange)
                         return false;
                       const WaitingRequest ahead = other->Waiting();
                       return ahead.service == request.service &&
                              GoesBefore(ahead, request, now);
                     });
}

void GatewayCore::AddLoad(const LayerPath& path, double tokens, int sign) {
  for (const PathPart& part : path) {
    ServerLoad& load = m_local_loads[part.server];
    load.token_layers += sign * tokens * part.layers.size();
    load.sequences += sign;
    if (load.sequences <= 0)
      m_local_loads.erase(part.server);
  }
  m_coordination.SetLocalLoads(m_local_loads);
}

void GatewayCore::AddLoad(const std::string& server, int sign) {
  ServerLoad& load = m_local_loads[server];
  load.sequences += sign;
  if (load.sequences <= 0)
    m_local_loads.erase(server);
  m_coordination.SetLocalLoads(m_local_loads);
}

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

std::string GatewayCore::OtherDataCenter(const std::string& server) {
  const auto from = servers().find(server);
  if (from == servers().end())
    return "";
  std::set<std::string> others;
  for (const auto& [id, other] : servers())
    if (other.service == from->second.service &&
        other.data_center != from->second.data_center)
      others.insert(other.data_center);
  if (others.empty())
    return "";
  return *std::next(others.begin(),
                    static_cast<std::ptrdiff_t>(m_random.Below(others.size())));
}

RetryWindow::Counts GatewayCore::SendsElsewhere(TimePoint now) const {
  const SendCounts sends = m_coordination.SendsElsewhere(now);
  return {static_cast<double>(sends.requests),
          static_cast<double>(sends.retries), 0};
}

RetryWindow::Knowledge GatewayCore::KnownSends(TimePoint now) const {
  if (now - m_started > m_settings.retry_window)
    return RetryWindow::Knowledge::kAll;
  return m_coordination.Members(now).size() > 1
             ? RetryWindow::Knowledge::kSinceStart
             : RetryWindow::Knowledge::kOwnOnly;
}

bool GatewayCore::TryRetry(bool begun) {
  const TimePoint now = Now();
  return m_retries.TryRetry(now, SendsElsewhere(now),
                            m_coordination.Members(now).size() - 1, begun);
}

bool GatewayCore::MayRetry(bool begun) const {
  const TimePoint now = Now();
  return m_retries.MayRetry(now, SendsElsewhere(now),
                            m_coordination.Members(now).size() - 1, begun);
}

bool GatewayCore::HasEnded(const std::string& server, TimePoint now) const {
  const auto ended = m_ended.find(server);
  return ended != m_ended.end() && ended->second <= now;
}

bool GatewayCore::TakeCrossing(const EngineModel& engine,
                               const PathChoice& choice,
                               double tokens) {
  const int crossings = CountCrossings(choice.path, servers());
  if (crossings == 0)
    return true;
  const TimePoint now = Now();
  const std::string& service = servers().at(choice.path.front().server).service;
  const bool needed = !HasLocalPath(engine, servers(), service, Avoided(now));
  if (!m_crossings.Fits(now, engine, m_coordination.Members(now).size(), tokens,
                        crossings, needed))
    return false;
  m_crossings.Take(tokens, crossings);
  return true;
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

void GatewayCore::CallServer(const std::string& server,
                             HttpRequest request,
                             const std::function<void(OrderResult)>& handler) {
  const auto found = servers().find(server);
  if (found == servers().end()) {
    asio::post(m_io, [handler] { handler(OrderResult::kRefused); });
    return;
  }
  m_server_calls.Call(
      found->second.address, std::move(request), kOrderTimeout,
      [this, handler, server](CallResult result) {
        if (result.error != CallError::kNone ||
            result.response.result_int() >= 300)
          Log("order_refused",
              {{"server", server},
               {"status", std::to_string(result.response.result_int())},
               {"answer", result.response.body()}});
        handler(m_dialect->ReadOrderResult(result));
      });
}

void GatewayCore::CountRejected(int status) {
  m_metrics
      .GetCounter("trefoilwick_rejected_total",
                  {{"status", std::to_string(status)}})
      .Add();
}

void GatewayCore::Log(const char* event, const Labels& fields) {
  const TimePoint now = Now();
  if (now - m_log_window >= seconds(1)) {
    if (m_log_omitted > 0)
      LogStateChange("gateway", "lines_omitted",
                     {{"count", std::to_string(m_log_omitted)}});
    m_log_window = now;
    m_log_lines = 0;
    m_log_omitted = 0;
  }
  if (++m_log_lines > kMaxLogLinesPerSecond) {
    ++m_log_omitted;
    return;
  }
  LogStateChange("gateway", event, fields);
}

void GatewayCore::OnSessionClosed(ClientSession* session) {
  // The session may be on the stack.
  asio::post(m_io, [this, session] { m_sessions.erase(session); });
}

void GatewayCore::ScheduleTick() {
  m_tick_timer.expires_after(Coordination::kTickInterval);
  m_tick_timer.async_wait([this](error_code error) {
    if (error)
      return;
    Tick();
    ScheduleTick();
  });
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

void GatewayCore::NoticeSuspension(TimePoint now) {
  if (now - m_last_tick > kSuspension) {
    Log("suspended",
        {{"ms", std::to_string((now - m_last_tick).count() / 1000)}});
    m_suspended_at = now;
    m_coordination.OnSuspended(now);
    m_pool.Clear();
    m_store->DropConnections();
  }
  m_last_tick = now;
}

void GatewayCore::Tick() {
  const TimePoint now = Now();
  NoticeSuspension(now);
  const RetryWindow::Counts sends = m_retries.Local(now);
  m_retries.SetKnowledge(KnownSends(now));
  m_coordination.SetLocalSends(
      {static_cast<int>(sends.requests), static_cast<int>(sends.retries)});
  m_coordination.OnTick(now);
  RunActions();
  TellLost();
  // One instance probes lost servers for all that hear it, but for those that
  // only this one cannot reach.
  for (const std::string& server : m_coordination.HearsCoordinator(now)
                                       ? m_coordination.UnreachableHere(now)
                                       : m_coordination.Lost(now))
    Probe(server);
  if (m_seen_servers != m_coordination.servers())
    OnServersChanged();
  CheckPace(now);
  PlaceLayers(now);
  if (m_coordination.is_coordinator())
    SendDueOrders(now);
  else
    m_orders.clear();
  std::vector<std::shared_ptr<Exchange>> active;
  for (Exchange* exchange : m_exchanges)
    active.push_back(exchange->shared_from_this());
  for (const auto& exchange : active)
    exchange->OnTick(now);
  ServeWaiting();
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    m_pool.Sweep(now);
    std::erase_if(m_recoveries,
                  [&](const auto& entry) { return entry.second.until <= now; });
  }
  if (m_leaving)
    ContinueLeaving(now);
}

void GatewayCore::RunActions() {
  for (CoordinationAction& action : m_coordination.TakeActions()) {
    std::visit(
        Overloaded{
            [&](SendDatagram& send) {
              error_code error;
              const auto ip = asio::ip::make_address_v4(send.ip, error);
              if (!error)
                m_peer_socket.send_to(asio::buffer(send.bytes),
                                      udp::endpoint(ip, m_settings.peer_port),
                                      0, error);
            },
            [&](ProbeServer& probe) { OnLossHeard(probe.server); },
            [&](ReadLease&) {
              m_store->ReadLease([this](const std::optional<LeaseRow>& row) {
                NoteStore(row.has_value());
                m_coordination.OnLease(Now(), row);
                RunActions();
              });
            },
            [&](WriteLease& write) {
              m_store->WriteLease(
                  write.row, write.expected_version,
                  [this](LeaseWriteResult result, const LeaseRow& row) {
                    NoteStore(result != LeaseWriteResult::kUnknown);
                    const bool before = m_coordination.is_coordinator();
                    m_coordination.OnLeaseWritten(Now(), result, row);
                    if (before != m_coordination.is_coordinator())
                      Log("coordinator",
                          {{"self", before ? "0" : "1"},
                           {"fence", std::to_string(row.fence)}});
                    RunActions();
                  });
            },
            [&](ReadServerList&) {
              const TimePoint asked = Now();
              m_store->ReadServers([this, asked](auto list) {
                NoteStore(list.has_value());
                if (list)
                  m_coordination.OnServerList(Now(), asked, list->first,
                                              std::move(list->second));
                else
                  m_coordination.OnServerListFailed(Now());
                if (m_seen_servers != m_coordination.servers())
                  OnServersChanged();
                RunActions();
              });
            },
            [&](ReadConfiguration&) {
              m_store->ReadConfiguration([this](const auto& answer) {
                NoteStore(answer.has_value());
                if (!answer)
                  return m_coordination.OnConfigurationFailed(Now());
                m_coordination.OnConfigurationRead(Now());
                AdoptTable(*answer);
              });
            },
            [&](AdoptConfiguration& adopt) {
              AdoptTable(m_store->TakeConfigurationRow(adopt.row));
            },
        },
        action);
  }
}

// The coordinator watches the configuration and passes it on; an instance that
// does not hear it watches by itself.
void GatewayCore::WatchConfiguration() {
  if (m_coordination.HearsCoordinator(Now()))
    return WatchConfigurationAfter(kWatchCheck);
  const auto done = [this](const ConfigurationAnswer& answer) {
    OnConfigurationWatched(answer);
  };
  // After a failure a short call shows sooner that the store is back.
  if (m_watch_failures > 0)
    m_store->ReadConfiguration(done);
  else
    m_store->WatchConfiguration(kConfigWatch, done);
}

void GatewayCore::WatchConfigurationAfter(Duration wait) {
  m_watch_timer.expires_after(wait);
  m_watch_timer.async_wait([this](error_code error) {
    if (!error)
      WatchConfiguration();
  });
}

// One line when the store stops answering and one when it answers again.
void GatewayCore::NoteStore(bool answered) {
  const TimePoint now = Now();
  if (std::exchange(m_store_answers, answered) == answered)
    return;
  if (answered) {
    Log("store_regained",
        {{"after_ms", std::to_string((now - m_store_lost_at).count() / 1000)}});
    return;
  }
  m_store_lost_at = now;
  Log("store_lost",
      {{"list_age_ms",
        std::to_string(m_coordination.ListAge(now).count() / 1000)},
       {"config_version", std::to_string(m_table ? m_table->version() : 0)}});
}

void GatewayCore::OnConfigurationWatched(const ConfigurationAnswer& answer) {
  NoteStore(answer.has_value());
  if (!answer) {
    m_coordination.OnConfigurationFailed(Now());
    // The others hear of a change from the coordinator.
    const int most = m_coordination.is_coordinator() ? 1 : kMostWatchBackoff;
    m_watch_failures = std::min(m_watch_failures + 1, most);
    return WatchConfigurationAfter(kConfigRetry * m_watch_failures);
  }
  m_watch_failures = 0;
  m_coordination.OnConfigurationRead(Now());
  AdoptTable(*answer);
  RunActions();
  WatchConfiguration();
}

void GatewayCore::AdoptTable(std::shared_ptr<const RouteTable> table) {
  if (!table || (m_table && table->version() <= m_table->version()))
    return;
  m_table = std::move(table);
  m_coordination.OnConfiguration(Now(), m_table->version(),
                                 m_store->ConfigurationRow());
  Log("configuration", {{"version", std::to_string(m_table->version())},
                        {"routes", std::to_string(m_table->routes().size())}});
  ServeWaiting();
}

void GatewayCore::OnServersChanged() {
  const auto before = std::exchange(m_seen_servers, m_coordination.servers());
  if (std::exchange(m_seen_list, m_coordination.listed()) !=
      m_coordination.listed())
    m_servers_changed_at = Now();
  const ServerMap& listed = *m_coordination.listed();
  std::erase_if(m_orders, [&](const auto& entry) {
    const auto server = listed.find(entry.first);
    return server == listed.end() ||
           server->second.layers == entry.second.layers;
  });
  if (before)
    NoticeLeaving(*before);
  NoticeOrders();
  ServeWaiting();
}

// A server begins to load layers only when the requests on those that it gives
// up for them have ended: they move off at once.
void GatewayCore::NoticeOrders() {
  const TimePoint now = Now();
  const auto seen = std::exchange(m_seen_orders, m_coordination.orders());
  for (const auto& [id, order] : m_seen_orders) {
    const auto old = seen.find(id);
    const auto server = m_coordination.listed()->find(id);
    if ((old != seen.end() && old->second == order) ||
        server == m_coordination.listed()->end() || !server->second.layers)
      continue;
    const LayerRange& held = *server->second.layers;
    const bool loads = order.from < held.from || order.to > held.to;
    const bool gives_up = order.from > held.from || order.to < held.to;
    if (!loads || !gives_up)
      continue;
    for (Exchange* exchange : m_exchanges)
      exchange->OnLayersGivenUp(id, order, now);
  }
}

// Tells requests about servers that announced that they leave, or are not
// listed any more: they serve on for a while.
void GatewayCore::NoticeLeaving(const ServerMap& before) {
  const TimePoint now = Now();
  for (const auto& [id, server] : before) {
    if (server.state == ServerState::kDraining)
      continue;
    const auto found = m_seen_servers->find(id);
    const bool listed = found != m_seen_servers->end();
    if (listed && found->second.state != ServerState::kDraining)
      continue;
    if (!listed)
      m_ended.emplace(id, now + kEndedAfter);
    for (Exchange* exchange : m_exchanges)
      if (exchange->UsesServer(id))
        exchange->OnServerLeaving(id, now);
  }
}

bool GatewayCore::AnyLayersHeld() const {
  return std::any_of(servers().begin(), servers().end(), [](const auto& entry) {
    return entry.second.layers.has_value();
  });
}

std::set<std::string> GatewayCore::FreshServers(TimePoint now) {
  std::set<std::string> fresh;
  const ServerMap& listed = *m_coordination.listed();
  std::erase_if(m_first_seen, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  for (const auto& [id, server] : listed)
    if (now - m_first_seen.try_emplace(id, now).first->second < kFreshServer)
      fresh.insert(id);
  return fresh;
}

void GatewayCore::PlaceLayers(TimePoint now) {
  if (now < m_next_placement || !m_coordination.is_coordinator() || !m_table ||
      !m_coordination.has_servers())
    return;
  m_next_placement = now + kPlacementInterval;
  std::erase_if(m_orders, [&](const auto& entry) {
    return now - entry.second.send_at > kOrderLife;
  });
  // While nothing is placed the list still fills: a layout for some of the
  // servers would have to be changed for the rest.
  if (!AnyLayersHeld() && now - m_servers_changed_at < kListSettles)
    return;
  std::map<std::string, LayerRange> pending;
  for (const auto& [id, order] : m_orders)
    pending[id] = order.layers;
  const auto confirmed = m_coordination.ConfirmedLost(now, kLostBeforePlacing);
  // No order reaches these: they stay as they are.
  for (const std::string& id : m_coordination.UnreachableHere(now))
    if (const auto server = m_coordination.listed()->find(id);
        server != m_coordination.listed()->end() && server->second.layers)
      pending.try_emplace(id, *server->second.layers);
  const std::set<std::string> fresh = FreshServers(now);
  for (const auto& [name, service] : m_table->services()) {
    if (!service.engine || service.engine->layers == 0)
      continue;
    std::set<std::string> lost = confirmed;
    // While the store is away no list names the servers that leave.
    if (m_coordination.ListAge(now) > kListLimit)
      lost.merge(LeavingUnlisted(*service.engine, *m_coordination.listed(),
                                 m_coordination.Loads(now),
                                 m_coordination.RefusingAgain(now)));
    LogLayout(*service.engine, name, lost);
    for (const PlacementOrder& order :
         PlanPlacement(*service.engine, *m_coordination.listed(), name, lost,
                       pending, fresh))
      Announce(now, order);
  }
  ShareOrders();
}

// Every instance hears of layers to be given up before their server does: that
// one refuses each request that still asks for them.
void GatewayCore::Announce(TimePoint now, const PlacementOrder& order) {
  const auto server = m_coordination.listed()->find(order.server);
  const bool gives_up = server->second.layers &&
                        (server->second.layers->from < order.layers.from ||
                         server->second.layers->to > order.layers.to);
  PendingOrder pending;
  pending.layers = order.layers;
  pending.send_at = gives_up ? now + kGiveUpNotice : now;
  m_orders[order.server] = pending;
}

void GatewayCore::SendDueOrders(TimePoint now) {
  for (auto& [id, order] : m_orders) {
    if (!order.sent && order.send_at <= now) {
      order.sent = true;
      order.ask_at = now + LoadTime({id, order.layers});
      SendOrder({id, order.layers});
    } else if (order.sent && order.ask_at <= now) {
      order.ask_at = now + kAskInterval;
      AskAboutOrder(id, false);
    }
  }
}

// Time for the layers of an order to be loaded beside those of other orders.
Duration GatewayCore::LoadTime(const PlacementOrder& order) const {
  const auto server = m_coordination.listed()->find(order.server);
  const Service* service = server == m_coordination.listed()->end() || !m_table
                               ? nullptr
                               : m_table->FindService(server->second.service);
  if (service == nullptr || !service->engine || service->engine->layers == 0)
    return kOrderLife;
  int fresh = 0;
  for (int layer = order.layers.from; layer < order.layers.to; ++layer)
    fresh +=
        server->second.layers && server->second.layers->Contains(layer) ? 0 : 1;
  const double ms = service->engine->load_ms * fresh / service->engine->layers;
  return Duration(static_cast<int64_t>(ms * 1000));
}

void GatewayCore::ShareOrders() {
  std::map<std::string, LayerRange> orders;
  for (const auto& [id, order] : m_orders)
    orders[id] = order.layers;
  m_coordination.SetOrders(Now(), std::move(orders));
}

// One line for each change of how well a data center holds a model.
void GatewayCore::LogLayout(const EngineModel& engine,
                            const std::string& service,
                            const std::set<std::string>& lost) {
  std::string text;
  for (const auto& [data_center, health] :
       AssessLayout(engine, *m_coordination.listed(), service, lost))
    text +=
        data_center + ":missing=" + std::to_string(health.missing) +
        ",ktokens=" + std::to_string(std::lround(health.least_tokens / 1000)) +
        ",servers=" + std::to_string(health.servers) +
        ",empty=" + std::to_string(health.empty_servers) + " ";
  if (std::exchange(m_layout_text, text) != text)
    Log("layout", {{"service", service}, {"state", text}});
}

void GatewayCore::SendOrder(const PlacementOrder& order) {
  const int64_t seq = m_order_seq[order.server];
  Log("place", {{"server", order.server},
                {"from", std::to_string(order.layers.from)},
                {"to", std::to_string(order.layers.to)},
                {"seq", std::to_string(seq)},
                {"fence", std::to_string(m_coordination.fence())}});
  CallServer(
      order.server, m_dialect->PlaceOrder(order, m_coordination.fence(), seq),
      [this, order](OrderResult result) { OnOrderResult(order, result); });
}

void GatewayCore::OnOrderResult(const PlacementOrder& order,
                                OrderResult result) {
  switch (result) {
    case OrderResult::kAccepted:
      ++m_order_seq[order.server];
      return;
    case OrderResult::kFenced:
      m_orders.erase(order.server);
      m_coordination.OnFenced(Now());
      return;
    default:
      break;
  }
  // The count of orders may differ from what this instance knows: ask.
  AskAboutOrder(order.server, result == OrderResult::kConflict);
}

void GatewayCore::AskAboutOrder(const std::string& server, bool resend) {
  const auto found = servers().find(server);
  if (found == servers().end()) {
    m_orders.erase(server);
    return;
  }
  m_server_calls.Call(
      found->second.address, m_dialect->ReportRequest(), kOrderTimeout,
      [this, server, resend](const CallResult& answer) {
        OnOrderState(server, m_dialect->ReadReport(answer), resend);
      });
}

void GatewayCore::OnOrderState(const std::string& server,
                               const std::optional<ServerReport>& report,
                               bool resend) {
  Log("order_state", {{"server", server},
                      {"known", report ? "1" : "0"},
                      {"seq", std::to_string(report ? report->order_seq : 0)},
                      {"busy", report && report->busy ? "1" : "0"}});
  const auto order = m_orders.find(server);
  if (!report || order == m_orders.end() || !m_coordination.is_coordinator())
    return;
  const TimePoint now = Now();
  const bool differs = m_order_seq[server] != report->order_seq;
  m_order_seq[server] = report->order_seq;
  if (report->layers)
    m_coordination.OnLayersReported(now, server, *report->layers);
  const bool done = report->layers == order->second.layers;
  const bool given_up =
      !report->busy && now - order->second.send_at > kReportLag;
  if (!done && resend && differs && !report->busy) {
    SendOrder({server, order->second.layers});
  } else if (done || given_up) {
    m_orders.erase(order);
    ShareOrders();
  }
  RunActions();
}

}  // namespace trefoilwick::detail
