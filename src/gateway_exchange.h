// One request of a client, from its route to its answer.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "gateway_session.h"
#include "gateway_upstream.h"
#include "trefoilwick/forwarding.h"
#include "trefoilwick/liveness.h"

namespace trefoilwick::detail {

class Exchange : public UpstreamListener,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(GatewayCore& core, ClientSession& session, TimePoint began);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Begin(
      boost::beast::http::request<boost::beast::http::string_body> request);
  // The client closed its connection.
  void OnClientDisconnected();
  // Everything written so far is with the client.
  void OnClientWritesFlushed();
  // Looks for a server; false when there is no room and the request waits.
  bool TryDispatch();
  // Waits on, or gives up when it has waited for too long.
  void ContinueWaiting() { WaitOrRefuse(); }
  WaitingRequest MakeWaitingRequest() const;
  // A server of its path does not answer.
  void OnServerLost(const std::string& server);
  // A server of its path is about to leave: the request stays while it can, and
  // moves before the server ends.
  void OnServerDraining(const std::string& server, TimePoint now);
  // A server of its path is about to hold only `layers`.
  void OnLayersUnloading(const std::string& server,
                         const LayerRange& layers,
                         TimePoint now);
  // Checks for silence; called every tick.
  void OnTick(TimePoint now);

  int rank() const { return m_rank; }
  // Null when it is no stream on a path, or has not begun.
  std::optional<StreamProgress> Progress(TimePoint now) const;
  // Null when it is no stream on a path, or tells nothing yet.
  std::optional<StreamTiming> MeasureTiming(TimePoint now) const;
  TimePoint began() const { return m_began; }
  bool UsesServer(const std::string& server) const;
  const std::string& attempt_id() const { return m_request.attempt_id; }

  void OnUpstreamConnectFailed(bool refused) override;
  void OnUpstreamSendStarted() override;
  void OnUpstreamHead(const ResponseHead& head) override;
  void OnUpstreamBody(std::string bytes) override;
  void OnUpstreamComplete() override;
  void OnUpstreamBroken() override;

 private:
  // Finds route and account in the configuration; false when it answered.
  bool ResolveRoute();
  bool Authorize(const RouteTable& table);
  const EngineModel* Engine() const;
  PathRequest MakePathRequest() const;
  // Chooses server and path; false when none can be used now.
  bool ChooseServer();
  bool ChooseEnginePath(const EngineModel& engine);
  bool ChoosePlainServer();
  void StartUpstreamCall();
  void WaitOrRefuse();
  void ExecuteDecision(const ForwardDecision& decision);
  void SendAgain();
  // Leaves the server and goes on elsewhere, when that is allowed.
  bool TryMigrate();
  void Repath(const std::string& lost);
  bool IsRestartFaster(const std::string& lost, const PathChoice& other);
  std::set<std::string> ServersOfPath() const;
  // Prompt and answer so far; an event counts as one token.
  double TokensSoFar() const;
  // Another path that keeps the first part and uses none of `without`.
  std::optional<PathChoice> FindOtherPath(const std::set<std::string>& without,
                                          bool may_cross);
  // The path leads through several data centers.
  bool CrossesDataCenters() const;
  // `needed` when the present path serves no longer.
  void OrderRepath(const std::string& lost,
                   const PathChoice& choice,
                   bool needed);
  void MigrateOffDrainingServers(TimePoint now);
  void MigrateOffUnloadingLayers(TimePoint now);
  // Starts anew when it has not begun and waits behind a slow server.
  void MigrateOffSlowServers(TimePoint now);
  void DropTerminatedServers();
  void ExcludeServer(const std::string& server);
  bool IsExcluded(const std::string& server) const;
  void OnRepathed(OrderResult result, const PathChoice& choice);
  void CommitResponse();
  void ForwardEvents(const std::string& bytes);
  void RelayFullResponse();
  void OnDeadline();
  void SendLocalReply(int status, const char* outcome, const char* detail);
  void SendRefusal();
  void RecordRefusal();
  void Finish(const char* outcome, int status);
  void ReleaseLoad();
  void ReserveLoad();
  // Tokens of KV memory to reserve.
  double KvTokensToReserve() const;
  // The servers of the path, less those in `kept`, begin to read this request.
  void RecordPrefill(const LayerPath& path, const std::set<std::string>& kept);

  GatewayCore& m_core;
  std::shared_ptr<ClientSession> m_session;
  TimePoint m_began;
  TimePoint m_deadline;
  TimePoint m_queue_deadline;
  TimePoint m_last_progress;
  TimePoint m_last_event;
  // Mean time between events, for noticing silence.
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
  LayerPath m_path;
  // Time that a token takes through the path when nothing is slow.
  double m_token_ms = 0;
  bool m_migrated_off_slow_server = false;
  // Requests that all instances send together with this one, over those of this
  // instance.
  double m_recovery_multiplier = 1;
  // Servers that this request does not use before the given moments.
  std::map<std::string, TimePoint> m_excluded_until;
  // Where the path should lie; empty for this instance's own data center.
  std::string m_data_center;
  ResponseHead m_head;
  std::string m_body;
  EventSplitter m_events;
  bool m_is_head_request = false;
  bool m_waiting = false;
  bool m_streaming = false;
  bool m_passthrough = false;
  bool m_response_committed = false;
  bool m_repathing = false;
  bool m_repath_is_needed = false;
  DrainMigrationPlan m_migration_plan;
  // When it moves off layers that a server gives up.
  std::optional<TimePoint> m_migrate_at;
  int m_repaths = 0;
  bool m_load_reserved = false;
  bool m_ended = false;
  const char* m_refusal_reason = "no server has room";
};

}  // namespace trefoilwick::detail
