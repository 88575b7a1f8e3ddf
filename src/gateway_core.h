// State that the parts of a gateway share: the view of the cluster, connections
// to servers, waiting and active requests, and timers.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gateway_configuration.h"
#include "gateway_upstream.h"
#include "planned_stop.h"
#include "trefoilwick/client_budget.h"
#include "trefoilwick/coordination.h"
#include "trefoilwick/event_stream.h"
#include "trefoilwick/forwarding.h"
#include "trefoilwick/gateway.h"
#include "trefoilwick/liveness.h"
#include "trefoilwick/overload.h"
#include "trefoilwick/placement_orders.h"
#include "trefoilwick/retry_window.h"

namespace trefoilwick::detail {

class AuxiliarySession;
class ClientSession;
class Exchange;

// An older server list is not used right after the process was suspended, while
// a newer one may still arrive.
inline constexpr Duration kMaxServerListAge = std::chrono::milliseconds(1600);
// Time for a server to respond to an order or a report request.
inline constexpr Duration kOrderTimeout = std::chrono::milliseconds(1500);

class GatewayCore final : private ConfigurationOwner {
 public:
  GatewayCore(boost::asio::io_context& io,
              GatewaySettings settings,
              const WireDialect* dialect,
              ClusterStore* store);
  ~GatewayCore() override;

  absl::Status Start();
  void Reload(const GatewaySettings& settings);
  void StartDraining();

  boost::asio::io_context& io() { return m_io; }
  TimePoint Now() const { return m_clock.Now(); }
  const WireDialect& dialect() const { return *m_dialect; }
  const GatewaySettings& settings() const { return m_settings; }
  const ClientLimits& limits() const;
  std::shared_ptr<const RouteTable> table() const { return m_table; }
  Coordination& coordination() { return m_coordination; }
  const ServerMap& servers() const { return *m_coordination.usable_servers(); }
  ConnectionPool& pool() { return m_pool; }
  // Counts the first send of a request towards the retry budget of a service.
  void CountRequest(const std::string& service);
  // Consumes one retry of the budget; false when it is spent.
  // `response_committed` is true when the response to the client has begun.
  bool TryRetry(const std::string& service, bool response_committed);
  // True when TryRetry() would succeed.
  bool MayRetry(const std::string& service, bool response_committed);
  // Logs the counts that allowed or denied the retry of a request.
  void LogRetry(const std::string& attempt_id,
                const std::string& service,
                const std::string& server,
                bool response_committed,
                bool allowed);
  Random& random() { return m_random; }
  Metrics& metrics() { return m_metrics; }
  bool draining() const { return m_planned_stop.has_begun(); }
  // False when a request that arrives now would be cut off by a planned stop.
  bool TakesRequests() const { return m_planned_stop.TakesRequests(Now()); }
  // True when the current server list may be used to send requests.
  bool IsServerListUsable(TimePoint now) const;

  // True when the path crosses no link between data centers, or when the budget
  // of these links admits it; the latter consumes budget.
  bool AdmitCrossDataCenterPath(const EngineModel& engine,
                                const PathChoice& choice,
                                double tokens);

  OverloadController& overload() { return m_overload; }
  // Mean time from the send of a stream to its end; zero before the first one.
  Duration mean_service_time() const { return m_mean_service_time; }
  void RecordServiceTime(Duration time);

  // Requests that wait for a server with free capacity.
  void AddWaitingRequest(Exchange* exchange);
  void RemoveWaitingRequest(Exchange* exchange);
  // Runs a step of every request. Requests may end meanwhile.
  void ForEachRequest(const std::function<void(Exchange&)>& step);
  void AddExchange(Exchange* exchange) { m_exchanges.insert(exchange); }
  void RemoveExchange(Exchange* exchange);
  // Tries to send the waiting requests; called when capacity may have become
  // free. Not to be called while a request is being sent or ended.
  void DispatchWaitingRequests();
  // Calls DispatchWaitingRequests() once, after the present event.
  void ScheduleDispatch();
  // True when a waiting request must be served before this one.
  bool MustQueue(const Exchange& exchange) const;

  // Number that the first event of a stream of the service must have.
  int64_t FirstEventId(const std::string& service);
  // A run that was to begin at the first event of its stream began with `id`.
  void OnStreamBegan(const std::string& service,
                     const std::string& server,
                     int64_t id);
  // Records a stream that met its event interval target as a baseline sample of
  // the slowdown detector.
  void RecordStreamBaseline(Duration interval, double token_ms) {
    m_slowdown_detector.AddBaselineSample(interval, token_ms);
  }
  // Prefill backlog of the servers, as far as this instance knows.
  PrefillBacklog& prefill_backlog() { return m_prefill_backlog; }
  // Ratio of the requests that all instances move off a server to those that
  // this instance moves. All instances detect its loss at the same time.
  double RecoveryMultiplier(const std::string& server, TimePoint now);

  void AddLoad(const LayerPath& path, double tokens, int sign);
  void AddLoad(const std::string& server, int sign);

  // The server closed the connection of a request before the response was
  // complete. The report counts when the server turns out to have crashed.
  void OnClosedByServer(const std::string& server,
                        const std::string& attempt_id,
                        const std::vector<std::string>& prompt_parts,
                        CrashReport report);
  // A process of a server answered a request that was sent at `sent_at`.
  void OnServerAnswer(const ServerProcess& process,
                      const ResponseHead& head,
                      TimePoint sent_at);
  // Decides whether a request may be sent to a server now, and charges it to
  // the server's limit and, if it is a retry, to the retry budget.
  SendVerdict TrySend(const std::string& server,
                      const std::string& service,
                      bool is_retry,
                      bool response_committed);
  // True when a request that was allowed may still be sent: the server has
  // neither announced its shutdown nor asked for a pause since.
  bool MayStillSend(const ServerProcess& first, const LayerPath& path) const;
  // Counts a request that was ended because such requests crash servers.
  void CountQuarantined(const std::string& route);

  // Records that the server at `address` refused its stage of a path.
  void MarkRefusing(const std::string& address);
  // Servers that must not be chosen now: they are lost, refused a request a
  // moment ago or asked for a pause.
  std::set<std::string> ExcludedServers(TimePoint now);
  // A random data center with servers of the same service, other than the
  // server's own; empty when there is none.
  std::string OtherDataCenter(const std::string& server);
  // True when a server no longer counts as an attempt of a request. Probes a
  // server that is missing from the list; the result counts in later calls.
  bool HasServerEnded(const std::string& server, bool has_closed_connection);
  // Tests whether a server accepts connections. One that does not is marked
  // unreachable; its requests are notified through OnServerLost().
  void Probe(const std::string& server);
  void ReportUnreachable(const std::string& server);
  // Keeps what a server said in its answer to an order or a report request.
  void OnControlAnswer(const ServerProcess& process, const CallResult& result);
  void CallServer(const std::string& server,
                  HttpRequest request,
                  const std::function<void(OrderResult)>& handler);

  ClientBudget& client_budget() { return m_client_budget; }
  // Asks the budget whether a session may read on a body of at most
  // `body_bytes`, and gives up the connections that it names.
  ClientVerdict MayReadBody(ClientSession& session, size_t body_bytes);
  // Lets paused sessions read after memory was released.
  void OnClientMemoryReleased();
  void CountClientRefusal(const char* reason);
  void OnSessionClosed(ClientSession* session);
  void CountRejected(int status);
  void Log(const char* event, const Labels& fields);

 private:
  absl::Status Listen(const std::string& address,
                      boost::asio::ip::tcp::acceptor& acceptor);
  void AcceptClients();
  void AddClient(boost::asio::ip::tcp::socket socket);
  // Closes connections that have no request in progress for a new one; false
  // when there is none.
  bool MakeRoomForConnection();
  void ResumePausedSessions();
  void PublishClientBudget();
  void AcceptAuxiliaryConnections(boost::asio::ip::tcp::acceptor& acceptor);
  std::string HandleAuxiliaryRequest(const std::string& target,
                                     int* status,
                                     std::string* type);
  std::string DirectoryResponse(const std::string& data_center);
  bool IsReady() const;
  void ReceiveDatagram();
  void ScheduleTick();
  void Tick();
  void DetectSuspension(TimePoint now);
  void RunActions();
  bool IsCoordinator() const override {
    return m_coordination.is_coordinator();
  }
  bool IsToldOfChanges() const override {
    return m_coordination.ReceivesCoordinatorHeartbeats(Now());
  }
  int64_t ConfigurationVersion() const override {
    return m_table ? m_table->version() : 0;
  }
  void OnConfigurationChanging() override;
  void OnConfigurationResponse(const ConfigurationResponse& response) override;
  void UpdateStoreReachability(bool reachable);
  void AdoptTable(std::shared_ptr<const RouteTable> table);
  void OnServersChanged();
  void NotifyRequestsOfDrainingServers(const ServerMap& previous_servers);
  void NotifyRequestsOfNewOrders();
  bool AnyLayersHeld() const;
  RetryWindow::Assessment AssessRetry(const std::string& service,
                                      bool response_committed);
  void PlaceLayers(TimePoint now);
  void PublishOrders();
  void LogLayout(const EngineModel& engine,
                 const std::string& service,
                 const std::set<std::string>& lost);
  void ScheduleOrder(TimePoint now, const PlacementOrder& order);
  void SendDueOrders(TimePoint now);
  void SendOrder(const SendOrderCall& order);
  void OnOrderResult(const OrderCall& call, OrderResult result);
  // Asks a server for its order sequence number, and whether it has carried out
  // its order.
  void RequestOrderReport(const OrderCall& call);
  void OnOrderReport(const OrderCall& call,
                     const std::optional<ServerReport>& report);
  void PassOnReportedLayers(TimePoint now);
  Duration LayerLoadTime(const PlacementOrder& order) const;
  // Servers that were first listed a moment ago.
  std::set<std::string> RecentlyListedServers(TimePoint now);
  void NotifyRequestsOfLostServers();
  void OnServerNotices(const ServerProcess& process, const ResponseHead& head);
  void LogInvalidHeaders(const std::string& server, const ResponseHead& head);
  void ContinueDraining(TimePoint now);
  // Takes the connections that wait to be accepted, and closes the port.
  void StopAcceptingClients();
  void ScheduleStallCheck();
  void CheckStalledStreams();
  // Polls the slowdown of servers on the paths of slow streams.
  void CheckSlowServers(TimePoint now);
  void PollSlowdown(const std::string& server);
  // Streams that have begun.
  std::vector<StreamProgress> ActiveStreams() const;
  void OnServerReportedLost(const std::string& server);
  void StartProbe(const std::string& server, const std::string& address);
  bool IsLinkBusy() const;
  void OnProbed(const std::string& server, ConnectResult result);
  // Reports the requests whose connections `server` closed, when it has
  // crashed, or drops them.
  void SettleUnconfirmedCrashes(const std::string& server, bool crashed);
  // Ends the requests that the instances have agreed to refuse since the last
  // call.
  void ApplyQuarantine(TimePoint now);

  boost::asio::io_context& m_io;
  GatewaySettings m_settings;
  const WireDialect* m_dialect;
  ClusterStore* m_store;
  BootClock m_clock;
  Metrics m_metrics;
  Random m_random;
  Coordination m_coordination;
  ConnectionPool m_pool;
  // By service.
  std::map<std::string, FirstEventNumber> m_first_event_numbers;
  HttpClient m_server_client;
  RetryWindows m_retries;
  CrossDataCenterBudget m_cross_data_center_budget;
  PrefillBacklog m_prefill_backlog;
  OverloadController m_overload;
  Duration m_mean_service_time{0};
  struct Recovery {
    double multiplier = 1;
    TimePoint until;
  };
  // Servers whose requests are moving to other servers, by server id.
  std::map<std::string, Recovery> m_recoveries;
  std::shared_ptr<const RouteTable> m_table;
  ConfigurationReader m_configuration_reader;
  std::shared_ptr<const ServerMap> m_seen_servers;
  std::shared_ptr<const ServerMap> m_seen_list;

  boost::asio::ip::tcp::acceptor m_client_acceptor;
  boost::asio::ip::tcp::acceptor m_ready_acceptor;
  boost::asio::ip::tcp::acceptor m_directory_acceptor;
  boost::asio::ip::tcp::acceptor m_metrics_acceptor;
  boost::asio::ip::udp::socket m_peer_socket;
  boost::asio::ip::udp::endpoint m_peer_sender;
  std::vector<char> m_peer_buffer;
  boost::asio::steady_timer m_tick_timer;
  boost::asio::steady_timer m_stall_check_timer;
  TimePoint m_last_tick;
  bool m_store_reachable = true;
  TimePoint m_store_unreachable_since;

  std::unordered_map<ClientSession*, std::shared_ptr<ClientSession>> m_sessions;
  ClientBudget m_client_budget;
  // Open sessions.
  std::map<ConnectionId, ClientSession*> m_sessions_by_id;
  ConnectionId m_last_connection_id = 0;
  bool m_has_paused_sessions = false;
  bool m_resume_scheduled = false;
  // In the order of their arrival.
  std::deque<std::weak_ptr<AuxiliarySession>> m_auxiliary_sessions;
  std::unordered_set<Exchange*> m_exchanges;
  std::vector<Exchange*> m_waiting_requests;
  bool m_dispatch_scheduled = false;
  LoadMap m_local_loads;
  ProbeLimiter m_probe_limiter;
  SlowdownDetector m_slowdown_detector;
  ProbeLimiter m_slowdown_poll_limiter;
  // Headers with invalid values, by server, that were logged.
  std::set<std::pair<std::string, std::string>> m_logged_invalid_headers;
  std::set<std::string> m_notified_lost_servers;
  struct UnconfirmedCrash {
    std::string server;
    std::string attempt_id;
    std::string prompt_parts;
    CrashReport report;
  };
  std::vector<UnconfirmedCrash> m_unconfirmed_crashes;
  // Decisions on quarantined traits that requests were notified of.
  std::map<TraitSet, QuarantineState> m_seen_quarantine;
  // Placement orders that requests were notified of; their servers wait for
  // requests to move off.
  std::map<std::string, LayerRange> m_seen_orders;
  EndedServers m_ended_servers;
  PlacementOrders m_orders;
  // Layers that servers reported since the last tick. They are passed on
  // together, since each change makes a new server list.
  std::map<std::string, LayerRange> m_reported_layers;
  TimePoint m_next_reported_layers;
  std::string m_layout_text;
  TimePoint m_next_placement;
  // When each server was first listed.
  std::map<std::string, TimePoint> m_first_seen;
  TimePoint m_servers_changed_at;
  TimePoint m_next_sweep;
  TimePoint m_suspended_at;
  PlannedStop m_planned_stop;
  int m_log_lines = 0;
  uint64_t m_log_omitted = 0;
  TimePoint m_log_window_start;
};

}  // namespace trefoilwick::detail
