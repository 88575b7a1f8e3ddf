// Choice of the server and path of a request, and the time until paused servers
// take it.
#include <algorithm>
#include <map>

#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

namespace {

// Below this utilization the room of a server is not shared: what all instances
// begin until the next sum of loads fits.
constexpr double kAmpleRoomUtilization = 0.6;

}  // namespace

double Exchange::UtilizationLimit() const {
  const double limit = MaxMemoryUtilization(m_response_committed);
  if (m_response_committed || m_forward.sends() > 0)
    return limit;
  return std::min(
      limit, m_core.overload().UtilizationLimit(m_core.Now(), m_service,
                                                DemandKey(), m_admission_draw));
}

SendVerdict Exchange::ChooseServer() {
  // Weighted random choice among the services of the route that can be used.
  std::vector<WeightedService> services = m_route->services;
  SendVerdict without_server = SendVerdict::kNoCapacity;
  while (!services.empty()) {
    double total_weight = 0;
    for (const WeightedService& service : services)
      total_weight += service.weight;
    double point = m_core.random().UniformDouble() * total_weight;
    size_t index = 0;
    while (index + 1 < services.size() && point >= services[index].weight)
      point -= services[index++].weight;
    m_service = services[index].service;
    const EngineModel* engine = Engine();
    const SendVerdict verdict =
        engine != nullptr ? ChooseEnginePath(*engine) : ChoosePlainServer();
    if (verdict == SendVerdict::kAllowed ||
        verdict == SendVerdict::kRetryBudgetSpent)
      return verdict;
    if (verdict == SendVerdict::kShed)
      without_server = verdict;
    services.erase(services.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return without_server;
}

PathRequest Exchange::MakePathRequest() const {
  PathRequest path_request;
  path_request.service = m_service;
  path_request.tokens = KvTokensToReserve();
  path_request.prompt_tokens = m_request.prompt_tokens;
  path_request.data_center =
      m_data_center.empty() ? m_core.settings().data_center : m_data_center;
  path_request.excluded = m_core.ExcludedServers(m_core.Now());
  path_request.excluded_as_first =
      m_core.coordination().LocallyUnreachableServers(m_core.Now());
  for (const auto& [server, until] : m_excluded_until)
    if (until > m_core.Now())
      path_request.excluded.insert(server);
  if (m_forward.server_limit_reached())
    path_request.allowed_first_servers = m_forward.attempted_servers();
  path_request.jitter_seed = m_core.random().Next();
  path_request.slowdowns = m_core.coordination().SlowServers(m_core.Now());
  path_request.prefill_backlog_ms =
      m_core.prefill_backlog().RemainingMsByServer(m_core.Now());
  return path_request;
}

SendVerdict Exchange::TrySend(const std::string& server) {
  if (m_demanded_servers.insert(server).second)
    m_core.coordination().CountLimitDemand(m_core.Now(), server);
  return m_core.TrySend(server, m_service, m_forward.sends() > 0,
                        m_response_committed);
}

void Exchange::ShareRoom(double utilization_limit,
                         PathRequest& path_request) const {
  const TimePoint now = m_core.Now();
  path_request.unreported = m_core.coordination().EstimateUnreportedWork(now);
  path_request.mean_service_time = m_core.mean_service_time();
  // Room near the limit is for those that may still use it.
  path_request.unreported.Scale(
      m_core.overload().AdmittedDemandShare(now, m_service, utilization_limit));
}

SendVerdict Exchange::ChooseEnginePath(const EngineModel& engine) {
  PathRequest path_request = MakePathRequest();
  path_request.allow_cross_data_center = true;
  const LoadMap loads = m_core.coordination().Loads(m_core.Now());
  const double utilization_limit = UtilizationLimit();
  if (!m_response_committed)
    ShareRoom(utilization_limit, path_request);
  const auto choose = [&] {
    return ChoosePath(engine, m_core.servers(), loads, path_request,
                      utilization_limit);
  };
  // Servers that failed the request come last.
  std::set<std::string> to_avoid = m_failed_servers;
  for (const std::string& server : path_request.excluded_as_first)
    to_avoid.erase(server);
  path_request.excluded_as_first.insert(to_avoid.begin(), to_avoid.end());
  std::optional<PathChoice> choice;
  for (;;) {
    choice = choose();
    if (!choice && !to_avoid.empty()) {
      for (const std::string& server : std::exchange(to_avoid, {}))
        path_request.excluded_as_first.erase(server);
      choice = choose();
    }
    if (!choice) {
      path_request.unreported = {};
      choice = ChoosePath(engine, m_core.servers(), loads, path_request,
                          std::min(utilization_limit, kAmpleRoomUtilization));
    }
    if (!choice && HasPathWhenIdle(engine, path_request)) {
      m_core.overload().OnShortage(m_core.Now());
      return SendVerdict::kShed;
    }
    if (!choice ||
        !m_core.AdmitCrossDataCenterPath(engine, *choice, path_request.tokens))
      return SendVerdict::kNoCapacity;
    const std::string& first = choice->path.front().server;
    m_server = first;
    const SendVerdict verdict = TrySend(first);
    if (verdict == SendVerdict::kAllowed)
      break;
    if (verdict == SendVerdict::kRetryBudgetSpent)
      return verdict;
    path_request.excluded_as_first.insert(first);
  }
  m_path = choice->path;
  m_token_ms = choice->token_ms;
  return SendVerdict::kAllowed;
}

bool Exchange::HasPathWhenIdle(const EngineModel& engine,
                               const PathRequest& path_request) const {
  return ChoosePath(engine, m_core.servers(), {}, path_request,
                    MaxMemoryUtilization(m_response_committed))
      .has_value();
}

SendVerdict Exchange::ChoosePlainServer() {
  const LoadMap loads = m_core.coordination().Loads(m_core.Now());
  std::set<std::string> excluded = m_core.ExcludedServers(m_core.Now());
  excluded.merge(m_core.coordination().LocallyUnreachableServers(m_core.Now()));
  // Added to the number of requests on a server of another data center.
  constexpr double kRemotePenaltyRequests = 1.5;
  // More than the load of any other server.
  constexpr double kFailedPenaltyRequests = 1e6;
  std::multimap<double, std::string> candidates;
  for (const auto& [id, server] : m_core.servers()) {
    if (server.service != m_service || server.state != ServerState::kReady ||
        excluded.contains(id) || IsExcluded(id) ||
        (m_forward.server_limit_reached() &&
         !m_forward.attempted_servers().contains(id)))
      continue;
    const auto load = loads.find(id);
    double cost = load == loads.end() ? 0 : load->second.sequences;
    if (server.data_center != m_core.settings().data_center)
      cost += kRemotePenaltyRequests;
    if (m_failed_servers.contains(id))
      cost += kFailedPenaltyRequests;
    cost += m_core.random().UniformDouble() * 0.1;
    candidates.emplace(cost, id);
  }
  for (const auto& [cost, id] : candidates) {
    m_server = id;
    const SendVerdict verdict = TrySend(id);
    if (verdict == SendVerdict::kRetryBudgetSpent)
      return verdict;
    if (verdict != SendVerdict::kAllowed)
      continue;
    m_path.clear();
    return verdict;
  }
  return SendVerdict::kNoCapacity;
}

Duration Exchange::PauseTime() const {
  if (m_route == nullptr || m_core.coordination()
                                .availability()
                                .pauses()
                                .Active(m_core.Now())
                                .empty())
    return Duration(0);
  Duration shortest = Duration::max();
  for (const WeightedService& service : m_route->services) {
    const EngineModel* engine = EngineOf(service.service);
    const Duration pause = engine != nullptr
                               ? EnginePauseTime(service.service, *engine)
                               : PlainPauseTime(service.service);
    if (pause > Duration(0))
      shortest = std::min(shortest, pause);
  }
  return shortest == Duration::max() ? Duration(0) : shortest;
}

Duration Exchange::EnginePauseTime(const std::string& service,
                                   const EngineModel& engine) const {
  const TimePoint now = m_core.Now();
  const ServerPauses& pauses = m_core.coordination().availability().pauses();
  PathRequest path_request = MakePathRequest();
  path_request.service = service;
  path_request.allow_cross_data_center = true;
  for (const std::string& server : pauses.Active(now))
    path_request.excluded.erase(server);
  const auto choice =
      ChoosePath(engine, m_core.servers(), m_core.coordination().Loads(now),
                 path_request, MaxMemoryUtilization(m_response_committed));
  Duration longest{0};
  if (choice)
    for (const PathStage& stage : choice->path)
      longest = std::max(longest, pauses.Remaining(now, stage.server));
  return longest;
}

Duration Exchange::PlainPauseTime(const std::string& service) const {
  const TimePoint now = m_core.Now();
  const ServerPauses& pauses = m_core.coordination().availability().pauses();
  const std::set<std::string> lost = m_core.coordination().LostServers(now);
  Duration shortest = Duration::max();
  for (const auto& [id, server] : m_core.servers()) {
    const Duration pause = pauses.Remaining(now, id);
    if (server.service == service && server.state == ServerState::kReady &&
        pause > Duration(0) && !lost.contains(id) && !IsExcluded(id))
      shortest = std::min(shortest, pause);
  }
  return shortest == Duration::max() ? Duration(0) : shortest;
}

}  // namespace trefoilwick::detail
