// A client request, from its routing to its response.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "gateway_session.h"
#include "gateway_upstream.h"
#include "trefoilwick/crash_suspects.h"
#include "trefoilwick/event_stream.h"
#include "trefoilwick/forwarding.h"
#include "trefoilwick/liveness.h"

namespace trefoilwick::detail {

// A server that may have crashed because of the request that it ran.
struct SuspectedCrash {
  std::string server;
  CrashReport report;
};

class Exchange : public UpstreamListener,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(GatewayCore& core, ClientSession& session, TimePoint start_time);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Begin(
      boost::beast::http::request<boost::beast::http::string_body> request);
  // The client closed its connection.
  void OnClientDisconnected();
  // A step of the request threw: ends it with what is known of its outcome.
  void OnException(const std::string& what);
  // Called when the client's connection took all bytes written so far.
  void OnClientWritesFlushed();
  // Ends the request, at whatever point it is: as not run, for `reason`, when
  // no server may have run it, otherwise with an unknown outcome or an
  // incomplete response.
  void Cancel(const char* reason);
  // Ends the request when requests of its kind crash servers. One that has
  // begun is ended only when it crashes them itself.
  void EndIfQuarantined();
  // Tries to send to a server. False when none has free capacity: the request
  // waits and blocks later ones of its service.
  bool TryDispatch();
  // Keeps waiting, or refuses the request when it has waited for too long.
  void ContinueWaiting() { WaitOrRefuse(); }
  // True while the request waits for a server with free capacity.
  bool IsWaiting() const { return m_waiting; }
  WaitingRequest MakeWaitingRequest() const;
  // Called when a server of the path is lost.
  void OnServerLost(const std::string& server);
  // Called when a server of the path is draining: the request stays as long as
  // it can, and moves before the server terminates.
  void OnServerDraining(const std::string& server, TimePoint now);
  // Called when a server of the path will soon hold only `layers`.
  void OnLayersUnloading(const std::string& server,
                         const LayerRange& layers,
                         TimePoint now);
  // Moves off draining, unloading and slow servers and probes silent ones;
  // called every tick.
  void OnTick(TimePoint now);

  // Null when the request is no stream on a path, or its stream has not begun.
  std::optional<StreamProgress> Progress(TimePoint now) const;
  // Null when the request is no stream on a path, or its timing is not known
  // yet.
  std::optional<StreamTiming> MeasureTiming(TimePoint now) const;
  bool UsesServer(const std::string& server) const;

  void OnUpstreamConnectFailed(bool refused) override;
  void OnUpstreamSendStarted() override;
  void OnUpstreamHead(const ResponseHead& head) override;
  void OnUpstreamBody(std::string bytes) override;
  void OnUpstreamComplete(bool ended_by_close) override;
  void OnUpstreamBroken(bool closed_by_server) override;
  void OnUpstreamException(const std::string& what) override {
    OnException(what);
  }

 private:
  // Finds route and account in the configuration; false when it sent a local
  // reply.
  bool ResolveRoute();
  bool Authorize(const RouteTable& table);
  const EngineModel* Engine() const { return EngineOf(m_service); }
  AccountDemandKey DemandKey() const;
  // Null for a service without layers.
  const EngineModel* EngineOf(const std::string& service) const;
  PathRequest MakePathRequest() const;
  // Chooses server and path. kNoCapacity when no server of the route can be
  // used now.
  SendVerdict ChooseServer();
  // Time for which the request is refused at the servers of all services of its
  // route; zero when it may be sent to those of one.
  Duration QuarantineTime() const;
  // Lets the request through as a trial of its quarantined traits; false when
  // that is not possible now.
  bool TryBeginTrial();
  void EndTrial();
  // Traits that may be the reason when the request crashes a server: of one
  // that has begun only the content, as the parts of its prompt were read.
  TraitSet SuspectTraits(const std::string& service) const;
  // Records that the server runs the request and has not crashed on it. It may
  // still do so before the response is complete.
  void RecordBegun();
  // Records that a server ran the request to its end.
  void RecordCompleted();
  // Records that the server closed the connection before the response was
  // complete. False when that has happened too often before the request began
  // to send it again.
  bool RecordClosedByServer();
  void ReportClosed(const SuspectedCrash& crash);
  // Reports the interruption that might have been a coincidence.
  void ReportHeldCrash();
  SendVerdict TrySend(const std::string& server);
  // Highest utilization of the servers of a path that the request may take.
  double UtilizationLimit() const;
  // Leaves room for what other instances begin by the same sum of loads.
  // Streams in progress do not share: they have their own limit.
  void ShareRoom(double utilization_limit, PathRequest& path_request) const;
  SendVerdict ChooseEnginePath(const EngineModel& engine);
  // True when only the load of the servers keeps the request from a path.
  bool HasPathWhenIdle(const EngineModel& engine,
                       const PathRequest& path_request) const;
  SendVerdict ChoosePlainServer();
  void StartUpstreamCall();
  void WaitOrRefuse();
  // Time until a server can take the request when only pauses keep it from
  // being sent; zero otherwise.
  Duration PauseTime() const;
  Duration EnginePauseTime(const std::string& service,
                           const EngineModel& engine) const;
  Duration PlainPauseTime(const std::string& service) const;
  void ExecuteDecision(const ForwardDecision& decision);
  void SendAgain();
  // Cancels the call and continues on another server; false when that is not
  // allowed.
  bool TryMigrate();
  void Repath(const std::string& lost);
  bool IsRestartFaster(const std::string& lost, const PathChoice& other);
  std::set<std::string> ServersOfPath() const;
  // Tokens of the prompt and of the answer so far; an event counts as one
  // token.
  double TokensSoFar() const;
  // Another path that keeps the first stage and uses none of the `excluded`
  // servers.
  std::optional<PathChoice> FindOtherPath(const std::set<std::string>& excluded,
                                          bool allow_cross_data_center);
  // True when the path uses servers of several data centers.
  bool CrossesDataCenters() const;
  // `needed` is true when the current path works no longer.
  void OrderRepath(const std::string& lost,
                   const PathChoice& choice,
                   bool needed);
  void MigrateOffDrainingServers(TimePoint now);
  void MigrateOffUnloadingLayers(TimePoint now);
  // Restarts elsewhere, once, when the first event is late and the path has a
  // slow server.
  void MigrateOffSlowServers(TimePoint now);
  void DropEndedServers();
  void ExcludeServer(const std::string& server);
  bool IsExcluded(const std::string& server) const;
  void OnRepathed(OrderResult result, const PathChoice& choice);
  void CommitResponse();
  // Forwards the events that are due and become complete with `bytes`.
  void ForwardEvents(std::string_view bytes, TimePoint now);
  void RecordStreamFault(StreamFault fault);
  void RelayFullResponse();
  void OnDeadline();
  // Goes on without the rest of a response whose head has decided, when it does
  // not end soon.
  void SkipOptionalBody(TimePoint now);
  void SendLocalReply(int status, const char* outcome, const char* detail);
  void SendRefusal();
  void RecordRefusal();
  // False when the request has ended before: its client must get nothing more.
  bool Finish(const char* outcome, int status);
  void ReleaseLoad();
  void ReserveLoad();
  // Tokens of KV memory to reserve.
  double KvTokensToReserve() const;
  // Adds the prefill of this request to the backlog of the servers of the path,
  // except those in `kept`.
  void RecordPrefill(const LayerPath& path, const std::set<std::string>& kept);

  GatewayCore& m_core;
  std::shared_ptr<ClientSession> m_session;
  TimePoint m_start_time;
  TimePoint m_deadline;
  TimePoint m_queue_deadline;
  TimePoint m_last_progress;
  TimePoint m_last_event;
  // Mean time between events, for detecting silence.
  Duration m_event_interval{0};
  TimePoint m_send_started_at;
  TimePoint m_first_event_at;
  boost::asio::steady_timer m_timer;
  ClientRequest m_request;
  std::shared_ptr<const RouteTable> m_table;
  const Route* m_route = nullptr;
  std::string m_service;
  std::string m_account;
  int m_rank = 0;
  ForwardState m_forward;
  std::shared_ptr<UpstreamCall> m_call;
  std::string m_server;
  // Process of `m_server` that the request was sent to.
  ServerProcess m_server_process;
  LayerPath m_path;
  // Time for a token to pass through the path when no server is slow, in ms.
  double m_token_ms = 0;
  bool m_migrated_off_slow_server = false;
  // Ratio of the requests that all instances move together with this one to
  // those of this instance.
  double m_recovery_multiplier = 1;
  // Servers that this request must not use before the given times.
  std::map<std::string, TimePoint> m_excluded_until;
  // Servers that ran the request and failed it, or closed an idle connection on
  // which it was sent. They are used for it again only when no other server can
  // be.
  std::set<std::string> m_failed_servers;
  // Servers for which a call of this request was started.
  std::set<std::string> m_servers_sent_to;
  // Servers that closed the connection of this request before its end.
  std::set<std::string> m_closed_by_server;
  // Preferred data center of the path; empty for that of this instance.
  std::string m_data_center;
  ResponseHead m_head;
  // When the head arrived of a response whose body is optional.
  std::optional<TimePoint> m_optional_body_since;
  std::string m_body;
  EventStreamReader m_events;
  // Servers with a limit that the request chose and that count it as demand.
  std::set<std::string> m_demanded_servers;
  // A server has begun to run the request and did not crash at once.
  bool m_begun = false;
  // Sends whose connection the server closed before the request began.
  int m_closed_before_begin = 0;
  // A server closed the connection of the request after it had begun.
  bool m_interrupted = false;
  // The first such interruption. A crash interrupts many sound requests, so it
  // counts only when another one follows or the request does not end well.
  std::optional<SuspectedCrash> m_held_crash;
  // Traits that the request is a trial of; empty when it is none.
  TraitSet m_trial_traits;
  // Last event before the present send.
  int64_t m_last_event_before_send = -1;
  // In [0, 1): decides whether the request is among those that begin when only
  // a part of them can.
  double m_admission_draw = 0;
  // The request waits or is refused because the servers are short of capacity.
  bool m_shed = false;
  bool m_is_head_request = false;
  bool m_waiting = false;
  bool m_streaming = false;
  bool m_passthrough = false;
  bool m_response_committed = false;
  bool m_repathing = false;
  bool m_repath_is_needed = false;
  DrainMigrationPlan m_migration_plan;
  // Time to move off layers that a server unloads; null when there are none.
  std::optional<TimePoint> m_migrate_at;
  int m_repaths = 0;
  bool m_load_reserved = false;
  bool m_counted_in_budget = false;
  bool m_ended = false;
  const char* m_refusal_reason = "no server has room";
};

// Runs a step of a request. An exception ends that request and no other.
template <typename Step>
void RunStep(Exchange& exchange, Step step) {
  try {
    step(exchange);
  } catch (const std::exception& error) {
    exchange.OnException(error.what());
  }
}

}  // namespace trefoilwick::detail
