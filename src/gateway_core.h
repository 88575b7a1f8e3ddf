// What the parts of a gateway share: beliefs, connections, requests waiting
// and in progress, timers.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gateway_upstream.h"
#include "trefoilwick/coordination.h"
#include "trefoilwick/forwarding.h"
#include "trefoilwick/gateway.h"
#include "trefoilwick/liveness.h"

namespace trefoilwick::detail {

class ClientSession;
class Exchange;

// A list that is older is not used while a newer one may still come.
inline constexpr Duration kMaxServerListAge = std::chrono::milliseconds(1600);
// Time for a server to answer an order or a question about its state.
inline constexpr Duration kOrderTimeout = std::chrono::milliseconds(1500);

// An order that does not show in the server list yet.
struct PendingOrder {
  LayerRange layers;
  // When it is, or was, sent.
  TimePoint send_at;
  bool sent = false;
  // When the server is asked next whether it is done.
  TimePoint next_poll_at;
};

class GatewayCore {
 public:
  GatewayCore(boost::asio::io_context& io,
              GatewaySettings settings,
              const WireDialect* dialect,
              ClusterStore* store);
  ~GatewayCore();

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
  RetryWindow& retries() { return m_retries; }
  // Takes one retry from the budget; `begun` for an answer in progress.
  bool TryRetry(bool begun);
  // True when TryRetry would succeed.
  bool MayRetry(bool begun) const;
  Random& random() { return m_random; }
  Metrics& metrics() { return m_metrics; }
  bool draining() const { return m_draining; }
  // The server list may be used for sending.
  bool IsServerListUsable(TimePoint now) const;

  // True when the path may lead over the links between data centers as it does;
  // counts it.
  bool AdmitCrossDataCenterPath(const EngineModel& engine,
                                const PathChoice& choice,
                                double tokens);

  // Requests that wait for a server.
  void AddWaitingRequest(Exchange* exchange);
  void RemoveWaitingRequest(Exchange* exchange);
  void AddExchange(Exchange* exchange) { m_exchanges.insert(exchange); }
  void RemoveExchange(Exchange* exchange);
  // Room may have become free: lets waiting requests try.
  void DispatchWaitingRequests();
  // Requests that wait go before this one.
  bool MustQueue(const Exchange& exchange) const;

  // A stream ended on time.
  void RecordStreamBaseline(Duration interval, double token_ms) {
    m_slowdown_detector.AddBaselineSample(interval, token_ms);
  }
  // Prompts that servers still read, as far as this instance knows.
  PrefillBacklog& prefill_backlog() { return m_prefill_backlog; }
  // Requests that all instances move off a server, over those that this one
  // does: all notice its loss at the same time.
  double RecoveryMultiplier(const std::string& server, TimePoint now);

  void AddLoad(const LayerPath& path, double tokens, int sign);
  void AddLoad(const std::string& server, int sign);

  // The server at the address refused its part of a path.
  void MarkRefusing(const std::string& address);
  // Servers not to choose now: lost, or refusing a moment ago.
  std::set<std::string> ExcludedServers(TimePoint now);
  // A random data center with servers of the same service, other than the
  // server's own; empty when there is none.
  std::string OtherDataCenter(const std::string& server);
  // The server is gone for good: its port is closed, or the list has been
  // without it for longer than an outage of the store explains.
  bool HasTerminated(const std::string& server, TimePoint now) const;
  // Asks whether a server still accepts connections; one that does not is
  // marked lost, which OnServerLost tells to its requests.
  void Probe(const std::string& server);
  void ReportUnreachable(const std::string& server);
  void CallServer(const std::string& server,
                  HttpRequest request,
                  const std::function<void(OrderResult)>& handler);

  void OnSessionClosed(ClientSession* session);
  void CountRejected(int status);
  void Log(const char* event, const Labels& fields);

 private:
  absl::Status Listen(const std::string& address,
                      boost::asio::ip::tcp::acceptor& acceptor);
  void AcceptClients();
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
  void WatchConfiguration();
  using ConfigurationAnswer = std::optional<std::shared_ptr<const RouteTable>>;
  void OnConfigurationWatched(const ConfigurationAnswer& answer);
  void WatchConfigurationAfter(Duration wait);
  void UpdateStoreReachability(bool answered);
  void AdoptTable(std::shared_ptr<const RouteTable> table);
  void OnServersChanged();
  void NotifyRequestsOfDrainingServers(const ServerMap& before);
  void NotifyRequestsOfNewOrders();
  bool AnyLayersHeld() const;
  RetryWindow::Counts PeerSendCounts(TimePoint now) const;
  RetryWindow::HistoryCoverage SendCountCoverage(TimePoint now) const;
  void PlaceLayers(TimePoint now);
  void PublishOrders();
  void LogLayout(const EngineModel& engine,
                 const std::string& service,
                 const std::set<std::string>& lost);
  void ScheduleOrder(TimePoint now, const PlacementOrder& order);
  void SendDueOrders(TimePoint now);
  void SendOrder(const PlacementOrder& order);
  void OnOrderResult(const PlacementOrder& order, OrderResult result);
  // Reads the state of a server that carries out an order; `resend` when it
  // refused the order because its count of orders differs.
  void PollOrderState(const std::string& server, bool resend);
  void OnOrderState(const std::string& server,
                    const std::optional<ServerReport>& report,
                    bool resend);
  Duration LayerLoadTime(const PlacementOrder& order) const;
  // Servers that were listed a moment ago.
  std::set<std::string> RecentlyListedServers(TimePoint now);
  void NotifyRequestsOfLostServers();
  void ContinueDraining(TimePoint now);
  void ScheduleStallCheck();
  void CheckStalledStreams();
  // Reads the pace of servers that slow streams pass through.
  void CheckSlowServers(TimePoint now);
  void PollSlowdown(const std::string& server);
  // Streams that have begun.
  std::vector<StreamProgress> ActiveStreams() const;
  void OnServerReportedLost(const std::string& server);

  boost::asio::io_context& m_io;
  GatewaySettings m_settings;
  const WireDialect* m_dialect;
  ClusterStore* m_store;
  BootClock m_clock;
  Metrics m_metrics;
  Random m_random;
  Coordination m_coordination;
  ConnectionPool m_pool;
  HttpClient m_server_client;
  RetryWindow m_retries;
  CrossDataCenterBudget m_cross_data_center_budget;
  PrefillBacklog m_prefill_backlog;
  struct Recovery {
    double multiplier = 1;
    TimePoint until;
  };
  // Servers whose requests are on the move.
  std::map<std::string, Recovery> m_recoveries;
  std::shared_ptr<const RouteTable> m_table;
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
  boost::asio::steady_timer m_watch_timer;
  boost::asio::steady_timer m_stall_check_timer;
  TimePoint m_started;
  TimePoint m_last_tick;
  bool m_store_reachable = true;
  TimePoint m_store_unreachable_since;
  int m_watch_failures = 0;

  std::unordered_map<ClientSession*, std::shared_ptr<ClientSession>> m_sessions;
  std::unordered_set<Exchange*> m_exchanges;
  std::vector<Exchange*> m_waiting_requests;
  LoadMap m_local_loads;
  ProbeLimiter m_probe_limiter;
  SlowdownDetector m_slowdown_detector;
  ProbeLimiter m_slowdown_poll_limiter;
  std::set<std::string> m_notified_lost_servers;
  // Orders whose servers wait for requests to move off.
  std::map<std::string, LayerRange> m_seen_orders;
  // When a server was found to have ended.
  std::map<std::string, TimePoint> m_terminated_at;
  std::map<std::string, PendingOrder> m_orders;
  // Orders that each server has begun, as far as known. A server starts with
  // none; an order that names another number is refused, so that a late copy
  // of an old order cannot undo a newer one.
  std::map<std::string, int64_t> m_order_seq;
  std::string m_layout_text;
  TimePoint m_next_placement;
  // When each server was first listed.
  std::map<std::string, TimePoint> m_first_seen;
  TimePoint m_servers_changed_at;
  TimePoint m_next_sweep;
  TimePoint m_list_failed_at;
  TimePoint m_suspended_at;
  bool m_draining = false;
  TimePoint m_drain_began;
  int m_log_lines = 0;
  uint64_t m_log_omitted = 0;
  TimePoint m_log_window;
};

}  // namespace trefoilwick::detail
