// What a request does when servers of its path are lost, leave or fall silent.
#include <algorithm>

#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

namespace {

using std::chrono::milliseconds;

// Silence after which servers are probed: before the first event of a stream,
// when the prompt is still read, and of a plain service.
constexpr Duration kFirstEventSilence = milliseconds(350);
constexpr Duration kPlainSilence = milliseconds(400);
// Requests move off layers that a server gives up within this time.
constexpr Duration kEvacuation = milliseconds(150);
// Events of a stream before the time between them tells something, and the wait
// for the first one that does: several times the usual.
constexpr int64_t kEventsToTell = 3;
constexpr Duration kSlowFirstEvent = milliseconds(200);
// What a new start takes beside the reading of the prompt: a connection and
// the way through the servers.
constexpr double kNewStartMs = 20;

}  // namespace

void Exchange::OnServerLost(const std::string& server) {
  if (!UsesServer(server) || m_ended)
    return;
  if (server == m_server) {
    if (m_call->send_started())
      OnUpstreamBroken();
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
  const std::set<std::string>& leaving = m_migration_plan.servers();
  if (!leaving.contains(m_server)) {
    // Until it must move, the data center may close the gap.
    if (const auto choice = FindOtherPath(leaving, CrossesDataCenters())) {
      OrderRepath(*leaving.begin(), *choice, false);
      return;
    }
    if (!m_migration_plan.MustMove(now))
      return;
  }
  const EngineModel* engine = Engine();
  if (engine == nullptr || !m_core.MayRetry(m_response_committed))
    return;
  PathRequest wanted = MakePathRequest();
  wanted.excluded.insert(leaving.begin(), leaving.end());
  if (ChoosePath(*engine, m_core.servers(), m_core.coordination().Loads(now),
                 wanted, MaxMemoryUtilization(true)))
    TryMigrate();
}

void Exchange::OnLayersUnloading(const std::string& server,
                                 const LayerRange& layers,
                                 TimePoint now) {
  // The first part of a path cannot change.
  if (m_ended || !m_call || !m_call->send_started() || server == m_server)
    return;
  for (const PathStage& part : m_path)
    if (part.server == server &&
        (part.layers.from < layers.from || part.layers.to > layers.to))
      m_migrate_at = now + Duration(static_cast<int64_t>(
                               m_core.random().UniformDouble() *
                               static_cast<double>(kEvacuation.count())));
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
    const std::set<std::string>& without,
    bool may_cross) {
  const EngineModel* engine = Engine();
  if (engine == nullptr || m_path.empty())
    return std::nullopt;
  PathRequest wanted = MakePathRequest();
  wanted.excluded.erase(m_server);
  wanted.excluded.insert(without.begin(), without.end());
  wanted.pinned_first_stage = m_path.front();
  wanted.allow_cross_data_center = may_cross;
  auto choice = ChoosePath(*engine, m_core.servers(),
                           m_core.coordination().Loads(m_core.Now()), wanted,
                           MaxMemoryUtilization(true));
  if (choice &&
      !m_core.AdmitCrossDataCenterPath(*engine, *choice, wanted.tokens))
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
    // To read a request again over the link between data centers takes longer
    // than to start it anew on a path within another one. Many streams move at
    // once: they spread over the other data centers.
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
  for (const PathStage& part : m_path)
    out.insert(part.server);
  return out;
}

// All streams of a lost server are read again by the one that holds its layers
// as well. Some of them are back sooner when they start anew elsewhere.
bool Exchange::IsRestartFaster(const std::string& lost,
                               const PathChoice& other) {
  const EngineModel* engine = Engine();
  if (engine == nullptr || !m_core.MayRetry(m_response_committed))
    return false;
  ExcludeServer(lost);
  const PathRequest wanted = MakePathRequest();
  const auto anew = ChoosePath(*engine, m_core.servers(),
                               m_core.coordination().Loads(m_core.Now()),
                               wanted, MaxMemoryUtilization(true));
  if (!anew)
    return false;
  const auto time = [&](const LayerPath& path,
                        const std::set<std::string>& kept) {
    return EstimatePrefillMs(*engine, m_core.servers(), path, kept,
                             TokensSoFar(), wanted.prefill_backlog_ms);
  };
  return time(anew->path, {}) + kNewStartMs < time(other.path, ServersOfPath());
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
                        self->OnRepathed(result, choice);
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
    ReleaseLoad();
    m_path = choice.path;
    m_token_ms = choice.token_ms;
    m_migration_plan.Clear();
    ReserveLoad();
    m_last_progress = m_core.Now();
    return;
  }
  // Servers that leave, or give layers up, still serve what is in progress.
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
  if (m_events.last_id() < kEventsToTell && silent < kSlowFirstEvent)
    return std::nullopt;
  return StreamTiming{&m_path, std::max(m_event_interval, silent), m_token_ms};
}

void Exchange::MigrateOffSlowServers(TimePoint now) {
  if (m_path.empty() || m_events.has_events() || m_migrated_off_slow_server ||
      now - m_last_progress < kSlowFirstEvent)
    return;
  const auto slow = m_core.coordination().SlowServers(now);
  const bool behind_slow = std::any_of(
      m_path.begin(), m_path.end(),
      [&](const PathStage& part) { return slow.contains(part.server); });
  if (!behind_slow || !m_core.MayRetry(m_response_committed))
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
  if (!m_call || !m_call->send_started())
    return;
  // The silence check looks after streams that have begun.
  if (!m_path.empty() && m_events.has_events())
    return;
  const Duration limit = m_path.empty() ? kPlainSilence : kFirstEventSilence;
  if (now - m_last_progress < limit)
    return;
  m_core.Probe(m_server);
  for (const PathStage& part : m_path)
    m_core.Probe(part.server);
}

}  // namespace trefoilwick::detail
