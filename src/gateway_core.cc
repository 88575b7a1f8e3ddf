#include "gateway_core.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <cmath>

#include "gateway_exchange.h"
#include "gateway_session.h"

namespace trefoilwick::detail {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How long requests wait for a newer server list after the process was
// suspended.
constexpr Duration kServerListWaitAfterSuspension = milliseconds(400);
// A longer time between two ticks means that the process was suspended.
constexpr Duration kSuspensionThreshold = milliseconds(800);
constexpr Duration kSweepInterval = seconds(1);
// Longest response of a server to an order or a report request.
constexpr uint64_t kMaxServerResponseBytes = uint64_t{1} << 20;
constexpr Duration kServerConnectTimeout = milliseconds(400);
constexpr int kMaxLogLinesPerSecond = 200;
constexpr size_t kMaxLoggedAnswerBytes = 200;

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
                         .SetLinkRate(m_settings.link_mbps)
                         .SetIncarnation(m_clock.UnixMillis() * 1000)
                         .SetRetryWindow(m_settings.retry_window)
                         .Build(m_clock.Now())),
      m_server_client(io, kServerConnectTimeout, kMaxServerResponseBytes),
      m_retries(m_settings.retry_ratio,
                m_settings.retry_slack,
                m_settings.retry_window),
      m_configuration_reader(io, store, this),
      m_client_acceptor(io),
      m_ready_acceptor(io),
      m_directory_acceptor(io),
      m_metrics_acceptor(io),
      m_peer_socket(io),
      m_peer_buffer(kMaxDatagramBytes + 1),
      m_tick_timer(io),
      m_stall_check_timer(io),
      m_last_tick(m_clock.Now()) {
  m_client_budget.SetMaxBytes(m_settings.client_memory_bytes);
  m_client_budget.SetMaxConnections(m_settings.max_connections);
}

GatewayCore::~GatewayCore() = default;

const ClientLimits& GatewayCore::limits() const {
  static const ClientLimits defaults;
  return m_table ? m_table->limits() : defaults;
}

bool GatewayCore::IsServerListUsable(TimePoint now) const {
  if (!m_coordination.has_server_list())
    return false;
  if (m_coordination.ServerListAge(now) <= kMaxServerListAge)
    return true;
  // The newest known list is used while the store is unreachable, except right
  // after the process was suspended, when a newer one is on its way.
  return now - m_suspended_at > kServerListWaitAfterSuspension;
}

bool GatewayCore::IsReady() const {
  return m_table && m_coordination.has_server_list() && !draining();
}

void GatewayCore::AddWaitingRequest(Exchange* exchange) {
  m_waiting_requests.push_back(exchange);
}

void GatewayCore::RemoveWaitingRequest(Exchange* exchange) {
  std::erase(m_waiting_requests, exchange);
}

void GatewayCore::RemoveExchange(Exchange* exchange) {
  m_exchanges.erase(exchange);
  RemoveWaitingRequest(exchange);
}

void GatewayCore::ForEachRequest(const std::function<void(Exchange&)>& step) {
  std::vector<std::shared_ptr<Exchange>> active;
  for (Exchange* exchange : m_exchanges)
    active.push_back(exchange->shared_from_this());
  for (const auto& exchange : active)
    RunStep(*exchange, step);
}

void GatewayCore::DispatchWaitingRequests() {
  if (m_waiting_requests.empty())
    return;
  std::vector<std::shared_ptr<Exchange>> waiting;
  std::vector<WaitingRequest> requests;
  for (Exchange* exchange : m_waiting_requests) {
    waiting.push_back(exchange->shared_from_this());
    requests.push_back(exchange->MakeWaitingRequest());
  }
  // A request that finds no free capacity blocks later requests of its service,
  // so that they do not take the capacity it waits for.
  std::set<std::string_view> blocked_services;
  for (const size_t i : SortWaitingRequests(requests, Now())) {
    // Requests of the list may end or be sent while it is worked through.
    if (!waiting[i]->IsWaiting())
      continue;
    RunStep(*waiting[i], [&](Exchange& exchange) {
      if (blocked_services.contains(requests[i].service))
        exchange.ContinueWaiting();
      else if (!exchange.TryDispatch())
        blocked_services.insert(requests[i].service);
    });
  }
}

void GatewayCore::ScheduleDispatch() {
  if (m_waiting_requests.empty() || std::exchange(m_dispatch_scheduled, true))
    return;
  asio::post(m_io, [this] {
    m_dispatch_scheduled = false;
    DispatchWaitingRequests();
  });
}

bool GatewayCore::MustQueue(const Exchange& exchange) const {
  const WaitingRequest request = exchange.MakeWaitingRequest();
  const TimePoint now = Now();
  return std::any_of(m_waiting_requests.begin(), m_waiting_requests.end(),
                     [&](const Exchange* other) {
                       if (other == &exchange)
                         return false;
                       const WaitingRequest other_request =
                           other->MakeWaitingRequest();
                       return other_request.service == request.service &&
                              IsServedBefore(other_request, request, now);
                     });
}

void GatewayCore::RecordServiceTime(Duration time) {
  constexpr int kWeightDivisor = 16;
  m_mean_service_time =
      m_mean_service_time == Duration(0)
          ? time
          : m_mean_service_time + (time - m_mean_service_time) / kWeightDivisor;
}

void GatewayCore::AddLoad(const LayerPath& path, double tokens, int sign) {
  for (const PathStage& stage : path) {
    ServerLoad& load = m_local_loads[stage.server];
    load.token_layers += sign * tokens * stage.layers.size();
    load.sequences += sign;
    if (load.sequences <= 0)
      m_local_loads.erase(stage.server);
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
  return *std::next(others.begin(), static_cast<std::ptrdiff_t>(
                                        m_random.UniformBelow(others.size())));
}

void GatewayCore::CountRequest(const std::string& service) {
  m_retries.Of(service).OnRequest(Now());
  m_metrics
      .GetCounter("trefoilwick_budget_requests_total", {{"service", service}})
      .Add();
}

bool GatewayCore::TryRetry(const std::string& service,
                           bool response_committed) {
  const TimePoint now = Now();
  const bool allowed = m_retries.Of(service).TryRetry(
      now, m_coordination.GetPeerSends(now, service), response_committed);
  m_metrics
      .GetCounter("trefoilwick_retries_total",
                  {{"allowed", allowed ? "1" : "0"}, {"service", service}})
      .Add();
  return allowed;
}

RetryWindow::Assessment GatewayCore::AssessRetry(const std::string& service,
                                                 bool response_committed) {
  const TimePoint now = Now();
  return m_retries.Of(service).Assess(
      now, m_coordination.GetPeerSends(now, service), response_committed);
}

bool GatewayCore::MayRetry(const std::string& service,
                           bool response_committed) {
  return AssessRetry(service, response_committed).IsAllowed();
}

void GatewayCore::LogRetry(const std::string& attempt_id,
                           const std::string& service,
                           const std::string& server,
                           bool response_committed,
                           bool allowed) {
  const TimePoint now = Now();
  const RetryWindow::Assessment counts =
      AssessRetry(service, response_committed);
  const auto text = [](double value) {
    return std::to_string(static_cast<int64_t>(value));
  };
  const PeerSends peers = m_coordination.GetPeerSends(now, service);
  const std::string counts_age =
      peers.as_of ? std::to_string((now - *peers.as_of).count() / 1000) : "-";
  Log("retry", {{"id", attempt_id},
                {"service", service},
                {"server", server},
                {"allowed", allowed ? "1" : "0"},
                {"begun", response_committed ? "1" : "0"},
                {"local", text(counts.local)},
                {"peers", text(counts.remote)},
                {"unreported", text(counts.unreported)},
                {"usable", text(counts.usable_budget)},
                {"counts_age_ms", counts_age},
                {"silent", std::to_string(peers.silent_instances)},
                {"fence", std::to_string(m_coordination.fencing_token())}});
}

bool GatewayCore::AdmitCrossDataCenterPath(const EngineModel& engine,
                                           const PathChoice& choice,
                                           double tokens) {
  const int crossings = CountCrossDataCenterHops(choice.path, servers());
  if (crossings == 0)
    return true;
  const TimePoint now = Now();
  const std::string& service = servers().at(choice.path.front().server).service;
  const bool needed = !HasSingleDataCenterPath(engine, servers(), service,
                                               ExcludedServers(now));
  if (!m_cross_data_center_budget.CanConsume(now, engine,
                                             m_coordination.Members(now).size(),
                                             tokens, crossings, needed))
    return false;
  m_cross_data_center_budget.Consume(tokens, crossings);
  return true;
}

void GatewayCore::CallServer(const std::string& server,
                             HttpRequest request,
                             const std::function<void(OrderResult)>& handler) {
  const auto found = servers().find(server);
  if (found == servers().end()) {
    asio::post(m_io, [handler] { handler(OrderResult::kRefused); });
    return;
  }
  m_server_client.Call(
      found->second.address, std::move(request), kOrderTimeout,
      [this, handler, server,
       process = found->second.process()](const CallResult& result) {
        OnControlAnswer(process, result);
        if (result.error != CallError::kNone)
          Log("order_unanswered",
              {{"server", server}, {"reason", result.reason.message()}});
        else if (result.response.result_int() >= 300)
          Log("order_refused",
              {{"server", server},
               {"status", std::to_string(result.response.result_int())},
               {"answer",
                result.response.body().substr(0, kMaxLoggedAnswerBytes)}});
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
  if (now - m_log_window_start >= seconds(1)) {
    if (m_log_omitted > 0)
      LogStateChange("gateway", "lines_omitted",
                     {{"count", std::to_string(m_log_omitted)}});
    m_log_window_start = now;
    m_log_lines = 0;
    m_log_omitted = 0;
  }
  if (++m_log_lines > kMaxLogLinesPerSecond) {
    ++m_log_omitted;
    return;
  }
  LogStateChange("gateway", event, fields);
}

void GatewayCore::ScheduleTick() {
  m_tick_timer.expires_after(Coordination::kTickInterval);
  m_tick_timer.async_wait([this](error_code error) {
    if (error)
      return;
    // Also when this step throws.
    const absl::Cleanup schedule_next = [this] { ScheduleTick(); };
    Tick();
  });
}

void GatewayCore::DetectSuspension(TimePoint now) {
  if (now - m_last_tick > kSuspensionThreshold) {
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
  DetectSuspension(now);
  ResumePausedSessions();
  PublishClientBudget();
  m_coordination.SetLocalSends(m_retries.LocalCounts(now));
  m_coordination.SetLocalDemand(m_overload.LocalDemand(now));
  m_overload.SetClusterDemand(now, m_coordination.ClusterDemand(now));
  m_coordination.OnTick(now);
  RunActions();
  NotifyRequestsOfLostServers();
  ApplyQuarantine(now);
  // The coordinator probes lost servers for all instances that receive its
  // heartbeats; these probe only the servers that they alone cannot reach.
  for (const std::string& server :
       m_coordination.ReceivesCoordinatorHeartbeats(now)
           ? m_coordination.LocallyUnreachableServers(now)
           : m_coordination.LostServers(now))
    Probe(server);
  if (m_seen_servers != m_coordination.usable_servers())
    OnServersChanged();
  CheckSlowServers(now);
  PlaceLayers(now);
  if (m_coordination.is_coordinator())
    SendDueOrders(now);
  else
    m_orders.Clear();
  ForEachRequest([&](Exchange& request) { request.OnTick(now); });
  DispatchWaitingRequests();
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    m_pool.Sweep(now);
    std::erase_if(m_recoveries,
                  [&](const auto& entry) { return entry.second.until <= now; });
  }
  if (draining())
    ContinueDraining(now);
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
            [&](ProbeServer& probe) { OnServerReportedLost(probe.server); },
            [&](ReadLease&) {
              m_store->ReadLease([this](const std::optional<LeaseRow>& row) {
                UpdateStoreReachability(row.has_value());
                m_coordination.OnLease(Now(), row);
                RunActions();
              });
            },
            [&](WriteLease& write) {
              m_store->WriteLease(
                  write.row, write.expected,
                  [this](LeaseWriteResult result, const LeaseRow& row) {
                    UpdateStoreReachability(result !=
                                            LeaseWriteResult::kUnknown);
                    const bool was_coordinator =
                        m_coordination.is_coordinator();
                    m_coordination.OnLeaseWritten(Now(), result, row);
                    if (was_coordinator != m_coordination.is_coordinator())
                      Log("coordinator",
                          {{"self", was_coordinator ? "0" : "1"},
                           {"fence", std::to_string(row.fencing_token)}});
                    RunActions();
                  });
            },
            [&](ReadServerList&) {
              const TimePoint requested_at = Now();
              m_store->ReadServers([this, requested_at](auto list) {
                UpdateStoreReachability(list.has_value());
                if (list)
                  m_coordination.OnServerList(Now(), requested_at,
                                              list->position,
                                              std::move(list->servers));
                else
                  m_coordination.OnServerListReadFailed(Now());
                if (m_seen_servers != m_coordination.usable_servers())
                  OnServersChanged();
                RunActions();
              });
            },
            [&](const ReadConfiguration& read) {
              m_configuration_reader.Read(read.version);
            },
            [&](ApplyConfiguration& adopt) {
              AdoptTable(m_store->ApplyConfigurationRow(adopt.row));
            },
        },
        action);
  }
}

// Logs one line when the store stops responding and one when it responds again.
void GatewayCore::UpdateStoreReachability(bool reachable) {
  const TimePoint now = Now();
  if (std::exchange(m_store_reachable, reachable) == reachable)
    return;
  if (reachable) {
    Log("store_regained",
        {{"after_ms",
          std::to_string((now - m_store_unreachable_since).count() / 1000)}});
    return;
  }
  m_store_unreachable_since = now;
  Log("store_lost",
      {{"list_age_ms",
        std::to_string(m_coordination.ServerListAge(now).count() / 1000)},
       {"config_version", std::to_string(m_table ? m_table->version() : 0)}});
}

void GatewayCore::OnConfigurationChanging() {
  m_coordination.OnConfigurationChanging(Now());
  RunActions();
}

void GatewayCore::OnConfigurationResponse(
    const ConfigurationResponse& response) {
  UpdateStoreReachability(response.has_value());
  if (!response)
    return m_coordination.OnConfigurationReadFailed(Now());
  AdoptTable(*response);
  m_coordination.OnConfigurationRead(Now());
  RunActions();
}

void GatewayCore::AdoptTable(std::shared_ptr<const RouteTable> table) {
  if (!table || (m_table && table->version() <= m_table->version()))
    return;
  m_table = std::move(table);
  for (auto& [service, ranks] : m_table->RanksByService())
    m_overload.SetRanks(service, ranks);
  m_coordination.OnConfigurationApplied(Now(), m_table->version(),
                                        m_store->ConfigurationRow());
  Log("configuration", {{"version", std::to_string(m_table->version())},
                        {"routes", std::to_string(m_table->routes().size())}});
  DispatchWaitingRequests();
}

void GatewayCore::OnServersChanged() {
  const auto previous_servers =
      std::exchange(m_seen_servers, m_coordination.usable_servers());
  if (std::exchange(m_seen_list, m_coordination.listed_servers()) !=
      m_coordination.listed_servers())
    m_servers_changed_at = Now();
  m_orders.OnServerList(*m_coordination.listed_servers());
  if (previous_servers)
    NotifyRequestsOfDrainingServers(*previous_servers);
  NotifyRequestsOfNewOrders();
  DispatchWaitingRequests();
}

// A server starts to load layers only after the requests on the layers that it
// unloads for them have ended, so these requests move off at once.
void GatewayCore::NotifyRequestsOfNewOrders() {
  const TimePoint now = Now();
  const auto previous_orders =
      std::exchange(m_seen_orders, m_coordination.placement_orders());
  for (const auto& [id, order] : m_seen_orders) {
    const auto previous = previous_orders.find(id);
    const auto server = m_coordination.listed_servers()->find(id);
    if ((previous != previous_orders.end() && previous->second == order) ||
        server == m_coordination.listed_servers()->end() ||
        !server->second.layers)
      continue;
    const LayerRange& held = *server->second.layers;
    const bool loads = order.from < held.from || order.to > held.to;
    const bool unloads = order.from > held.from || order.to < held.to;
    if (!loads || !unloads)
      continue;
    for (Exchange* exchange : m_exchanges)
      exchange->OnLayersUnloading(id, order, now);
  }
}

// Notifies requests of servers that are draining or not listed any more; these
// keep serving for a while.
void GatewayCore::NotifyRequestsOfDrainingServers(
    const ServerMap& previous_servers) {
  const TimePoint now = Now();
  m_ended_servers.OnListed(*m_seen_servers);
  for (const auto& [id, server] : previous_servers) {
    if (server.state == ServerState::kDraining)
      continue;
    const auto found = m_seen_servers->find(id);
    const bool listed = found != m_seen_servers->end();
    if (listed && found->second.state != ServerState::kDraining)
      continue;
    if (!listed)
      m_ended_servers.OnUnlisted(server, now);
    for (Exchange* exchange : m_exchanges)
      if (exchange->UsesServer(id))
        exchange->OnServerDraining(id, now);
  }
}

}  // namespace trefoilwick::detail
