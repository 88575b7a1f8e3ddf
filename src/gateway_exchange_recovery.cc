// Recovery of a request whose path has lost, draining, slow or silent servers.
#include <algorithm>

#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

namespace {

using std::chrono::milliseconds;

// Silence after which servers are probed: before the first event of a stream,
// during prefill, and of a plain service.
constexpr Duration kFirstEventSilence = milliseconds(350);
constexpr Duration kPlainSilence = milliseconds(400);
// Requests move off layers that a server unloads within this time.
constexpr Duration kUnloadMigrationTime = milliseconds(150);
// Minimum number of events to measure the timing of a stream. With fewer, it is
// measured once the stream is silent for kSlowFirstEventDelay, several times
// the usual wait for the first event.
constexpr int64_t kMinEventsForTiming = 3;
constexpr Duration kSlowFirstEventDelay = milliseconds(200);
// Time that a restart takes besides prefill: a new connection and the latency
// of the path.
constexpr double kRestartOverheadMs = 20;

}  // namespace

void Exchange::OnServerLost(const std::string& server) {
  if (!UsesServer(server) || m_ended)
    return;
  if (server == m_server) {
    if (m_call->send_started())
      OnUpstreamBroken(m_call->IsClosedByServer());
    return;
  }
  Repath(server);
}

void Exchange::OnServerDraining(const std::string& server, TimePoint now) {
  if (m_ended || !UsesServer(server))
    return;
  m_migration_plan.AddServer(server, now, m_core.settings().server_drain_time,
                             m_core.random().UniformDouble());
}

void Exchange::MigrateOffDrainingServers(TimePoint now) {
  if (m_repathing || !m_migration_plan.TryBeginMove(now))
    return;
  const std::set<std::string>& draining = m_migration_plan.servers();
  if (!draining.contains(m_server)) {
    // Until the request must move, the data center may still cover the layers
    // of the draining server.
    if (const auto choice = FindOtherPath(draining, CrossesDataCenters())) {
      OrderRepath(*draining.begin(), *choice, false);
      return;
    }
    if (!m_migration_plan.MustMove(now))
      return;
  }
  const EngineModel* engine = Engine();
  if (engine == nullptr || !m_core.MayRetry(m_service, m_response_committed))
    return;
  PathRequest path_request = MakePathRequest();
  path_request.excluded.insert(draining.begin(), draining.end());
  if (ChoosePath(*engine, m_core.servers(), m_core.coordination().Loads(now),
                 path_request, MaxMemoryUtilization(true)))
    TryMigrate();
}

void Exchange::OnLayersUnloading(const std::string& server,
                                 const LayerRange& layers,
                                 TimePoint now) {
  // The first stage of a path cannot change.
  if (m_ended || !m_call || !m_call->send_started() || server == m_server)
    return;
  for (const PathStage& stage : m_path)
    if (stage.server == server &&
        (stage.layers.from < layers.from || stage.layers.to > layers.to))
      m_migrate_at =
          now + Duration(static_cast<int64_t>(
                    m_core.random().UniformDouble() *
                    static_cast<double>(kUnloadMigrationTime.count())));
}

void Exchange::MigrateOffUnloadingLayers(TimePoint now) {
  if (!m_migrate_at || now < *m_migrate_at || m_repathing)
    return;
  m_migrate_at.reset();
  if (const auto choice = FindOtherPath({}, CrossesDataCenters()))
    OrderRepath("", *choice, false);
}

bool Exchange::CrossesDataCenters() const {
  return CountCrossDataCenterHops(m_path, m_core.servers()) > 0;
}

std::optional<PathChoice> Exchange::FindOtherPath(
    const std::set<std::string>& excluded,
    bool allow_cross_data_center) {
  const EngineModel* engine = Engine();
  const ServerAvailability& availability = m_core.coordination().availability();
  // A server that announced its shutdown gets no orders for its requests.
  if (engine == nullptr || m_path.empty() ||
      availability.leaving().Contains(m_core.Now(), m_server_process))
    return std::nullopt;
  PathRequest path_request = MakePathRequest();
  path_request.excluded.erase(m_server);
  // Pauses are for new requests: the stages of this one stay where they are.
  for (const PathStage& stage : m_path)
    if (availability.pauses().Remaining(m_core.Now(), stage.server) >
        Duration(0))
      path_request.excluded.erase(stage.server);
  path_request.excluded.insert(excluded.begin(), excluded.end());
  path_request.pinned_first_stage = m_path.front();
  path_request.allow_cross_data_center = allow_cross_data_center;
  auto choice = ChoosePath(*engine, m_core.servers(),
                           m_core.coordination().Loads(m_core.Now()),
                           path_request, MaxMemoryUtilization(true));
  if (choice &&
      !m_core.AdmitCrossDataCenterPath(*engine, *choice, path_request.tokens))
    return std::nullopt;
  return choice;
}

void Exchange::Repath(const std::string& lost) {
  if (m_repathing || !m_call || !m_call->send_started())
    return;
  m_recovery_multiplier = m_core.RecoveryMultiplier(lost, m_core.Now());
  auto choice = FindOtherPath({lost}, CrossesDataCenters());
  if (choice && IsRestartFaster(lost, *choice) && TryMigrate())
    return;
  if (!choice) {
    // Prefill over the link between data centers takes longer than a restart on
    // a path within another data center. Many streams move at once, so they
    // spread over the other data centers.
    ExcludeServer(lost);
    m_data_center = m_core.OtherDataCenter(m_server);
    if (TryMigrate())
      return;
    choice = FindOtherPath({lost}, true);
  }
  if (!choice) {
    m_core.Log("no_other_path", {{"id", m_request.attempt_id}, {"lost", lost}});
    return;
  }
  OrderRepath(lost, *choice, true);
}

std::set<std::string> Exchange::ServersOfPath() const {
  std::set<std::string> out;
  for (const PathStage& stage : m_path)
    out.insert(stage.server);
  return out;
}

// The other server that holds the layers of a lost one repeats the prefill of
// all its streams. Some of them resume sooner when they restart elsewhere.
bool Exchange::IsRestartFaster(const std::string& lost,
                               const PathChoice& other) {
  const EngineModel* engine = Engine();
  if (engine == nullptr || !m_core.MayRetry(m_service, m_response_committed))
    return false;
  ExcludeServer(lost);
  const PathRequest path_request = MakePathRequest();
  const auto restart = ChoosePath(*engine, m_core.servers(),
                                  m_core.coordination().Loads(m_core.Now()),
                                  path_request, MaxMemoryUtilization(true));
  if (!restart)
    return false;
  const auto prefill_ms = [&](const LayerPath& path,
                              const std::set<std::string>& kept) {
    return EstimatePrefillMs(*engine, m_core.servers(), path, kept,
                             TokensSoFar(), path_request.prefill_backlog_ms);
  };
  return prefill_ms(restart->path, {}) + kRestartOverheadMs <
         prefill_ms(other.path, ServersOfPath());
}

void Exchange::OrderRepath(const std::string& lost,
                           const PathChoice& choice,
                           bool needed) {
  m_repathing = true;
  m_repath_is_needed = needed;
  RecordPrefill(choice.path, ServersOfPath());
  m_core.Log("repath", {{"id", m_request.attempt_id},
                        {"lost", lost},
                        {"last_event", std::to_string(m_events.last_id())}});
  HttpRequest order = m_core.dialect().WriteRepathOrder(
      m_request.attempt_id, choice.path, m_core.coordination().fencing_token(),
      m_core.servers());
  m_core.CallServer(m_server, std::move(order),
                    [weak = weak_from_this(), choice](OrderResult result) {
                      if (const auto self = weak.lock())
                        RunStep(*self, [&](Exchange& exchange) {
                          exchange.OnRepathed(result, choice);
                        });
                    });
}

void Exchange::OnRepathed(OrderResult result, const PathChoice& choice) {
  m_repathing = false;
  if (m_ended || !m_call)
    return;
  m_core.Log("repathed",
             {{"id", m_request.attempt_id},
              {"result", std::to_string(static_cast<int>(result))}});
  if (result == OrderResult::kAccepted) {
    ++m_repaths;
    // Before the first event the prompt has not been read by all servers.
    const std::set<std::string> kept =
        m_events.first_seen_id() ? ServersOfPath() : std::set<std::string>{};
    ReleaseLoad();
    m_path = choice.path;
    m_token_ms = choice.token_ms;
    m_migration_plan.Clear();
    ReserveLoad(kept);
    m_last_progress = m_core.Now();
    return;
  }
  // Draining servers and those that unload layers still serve requests in
  // progress.
  if (m_repath_is_needed)
    TryMigrate();
}

bool Exchange::TryMigrate() {
  if (!m_route->AllowsReexecution() ||
      !(m_forward.MayResume() || m_forward.MaySendAgain()))
    return false;
  m_core.Log("move", {{"id", m_request.attempt_id},
                      {"server", m_server},
                      {"last_event", std::to_string(m_events.last_id())}});
  if (m_call)
    m_call->Cancel();
  m_call = nullptr;
  ExecuteDecision(m_forward.OnServerEvent(ServerEvent::kAnswerIncomplete));
  return true;
}

std::optional<StreamProgress> Exchange::Progress(TimePoint now) const {
  if (m_ended || !m_call || !m_call->send_started() || m_path.empty() ||
      m_repathing || !m_events.has_events())
    return std::nullopt;
  return StreamProgress{&m_path,
                        AssessSilence(now - m_last_progress, m_event_interval)};
}

std::optional<StreamTiming> Exchange::MeasureTiming(TimePoint now) const {
  if (m_ended || !m_call || !m_call->send_started() || m_path.empty() ||
      m_repathing || m_token_ms <= 0)
    return std::nullopt;
  const Duration silent = now - m_last_progress;
  if (m_events.last_id() < kMinEventsForTiming && silent < kSlowFirstEventDelay)
    return std::nullopt;
  return StreamTiming{&m_path, std::max(m_event_interval, silent), m_token_ms};
}

void Exchange::MigrateOffSlowServers(TimePoint now) {
  if (m_path.empty() || m_events.has_events() || m_migrated_off_slow_server ||
      now - m_last_progress < kSlowFirstEventDelay)
    return;
  const auto slow = m_core.coordination().SlowServers(now);
  const bool behind_slow = std::any_of(
      m_path.begin(), m_path.end(),
      [&](const PathStage& stage) { return slow.contains(stage.server); });
  if (!behind_slow || !m_core.MayRetry(m_service, m_response_committed))
    return;
  m_migrated_off_slow_server = true;
  TryMigrate();
}

void Exchange::OnTick(TimePoint now) {
  if (m_ended || !m_call || !m_call->send_started())
    return;
  MigrateOffDrainingServers(now);
  MigrateOffUnloadingLayers(now);
  MigrateOffSlowServers(now);
  if (m_call)
    SkipOptionalBody(now);
  if (!m_call || !m_call->send_started())
    return;
  // CheckStalledStreams() covers streams that have begun.
  if (!m_path.empty() && m_events.has_events())
    return;
  const Duration limit = m_path.empty() ? kPlainSilence : kFirstEventSilence;
  if (now - m_last_progress < limit)
    return;
  m_core.Probe(m_server);
  for (const PathStage& stage : m_path)
    m_core.Probe(stage.server);
}

}  // namespace trefoilwick::detail
