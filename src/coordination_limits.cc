// What backend servers said in their answers: their limits, with the demand of
// the instances that divides them, and announced shutdowns.
#include <algorithm>

#include "cluster_codec.h"
#include "trefoilwick/coordination.h"

namespace trefoilwick {

namespace {

using std::chrono::seconds;

// What a server said is passed on for this long after its answer, in case
// messages are lost, and longer while there is demand for the server.
constexpr Duration kRepeatTime = seconds(2);
// Requests a second.
constexpr double kMinDemand = 0.01;

}  // namespace

void Coordination::OnServerAnswer(TimePoint now,
                                  const std::string& server,
                                  std::optional<double> requests_per_second,
                                  TimePoint sent_at) {
  m_availability.limits().SetInstances(LimitSharers(now));
  if (!m_availability.limits().OnAnswer(now, server, requests_per_second,
                                        sent_at))
    return;
  m_next_report = now;
  if (m_is_coordinator)
    m_next_heartbeat = now;
}

// An instance that has just started knows only from the lease row how many
// others there are.
size_t Coordination::LimitSharers(TimePoint now) const {
  return std::max(InstanceCount(now),
                  static_cast<size_t>(std::max(1, m_lease.instances)));
}

std::vector<detail::LimitMessage> Coordination::LimitMessages(
    TimePoint now,
    const std::map<std::string, double>& demand,
    bool all) const {
  std::vector<detail::LimitMessage> out;
  for (const auto& [server, observation] :
       m_availability.limits().Observations()) {
    const auto found = demand.find(server);
    const double rate = found == demand.end() ? 0 : found->second;
    if (all || rate >= kMinDemand ||
        now - observation.observed_at < kRepeatTime)
      out.push_back({server, observation.requests_per_second,
                     now - observation.observed_at, rate});
  }
  return out;
}

std::map<std::string, double> Coordination::LocalLimitDemand(
    TimePoint now) const {
  std::map<std::string, double> out;
  for (const auto& [server, observation] :
       m_availability.limits().Observations())
    out[server] = m_availability.limits().DemandFor(now, server);
  return out;
}

void Coordination::AddLimits(TimePoint now, detail::InstanceReport& report) {
  m_reported_limit_demand = LocalLimitDemand(now);
  report.limits = LimitMessages(now, m_reported_limit_demand,
                                now - m_coordinator_since < kRepeatTime);
}

void Coordination::AddLimits(TimePoint now,
                             detail::CoordinatorHeartbeat& heartbeat) {
  m_reported_limit_demand = LocalLimitDemand(now);
  std::map<std::string, double> total = m_reported_limit_demand;
  for (const auto& [ip, peer] : m_peers)
    if (now - peer.last_report_at <= detail::kMemberTimeout)
      for (const auto& [server, rate] : peer.limit_demand)
        total[server] += rate;
  heartbeat.limits = LimitMessages(now, total, false);
  if (HasCompleteSums())
    SetClusterDemand(now, heartbeat);
}

void Coordination::SetClusterDemand(
    TimePoint now,
    const detail::CoordinatorHeartbeat& heartbeat) {
  for (const detail::LimitMessage& limit : heartbeat.limits)
    m_availability.limits().SetClusterDemand(
        now, limit.server, limit.demand, m_reported_limit_demand[limit.server]);
}

void Coordination::MergeLimits(
    TimePoint now,
    const std::vector<detail::LimitMessage>& limits) {
  m_availability.limits().SetInstances(LimitSharers(now));
  for (const detail::LimitMessage& limit : limits)
    m_availability.limits().Merge(now, limit.server,
                                  {limit.requests_per_second, now - limit.age});
}

void Coordination::HandleLimits(TimePoint now,
                                const detail::InstanceReport& report) {
  MergeLimits(now, report.limits);
  std::map<std::string, double>& demand =
      m_peers[report.member.ip].limit_demand;
  demand.clear();
  for (const detail::LimitMessage& limit : report.limits)
    demand[limit.server] = limit.demand;
}

void Coordination::HandleLimits(TimePoint now,
                                const detail::CoordinatorHeartbeat& heartbeat) {
  MergeLimits(now, heartbeat.limits);
  if (!heartbeat.sums_incomplete)
    SetClusterDemand(now, heartbeat);
}

bool Coordination::OnServerLeaving(TimePoint now,
                                   const ServerProcess& process) {
  if (!m_availability.leaving().OnAnswer(now, process))
    return false;
  UpdateServers(now);
  m_next_report = now;
  if (m_is_coordinator)
    m_next_heartbeat = now;
  return true;
}

std::vector<detail::LeavingMessage> Coordination::LeavingMessages(
    TimePoint now) const {
  std::vector<detail::LeavingMessage> out;
  for (const LeavingNotice& notice :
       m_availability.leaving().NoticesToShare(now, *m_stored_servers))
    out.push_back({notice.process, now - notice.observed_at});
  return out;
}

void Coordination::MergeLeaving(
    TimePoint now,
    const std::vector<detail::LeavingMessage>& notices) {
  bool is_new = false;
  for (const detail::LeavingMessage& notice : notices)
    is_new |=
        m_availability.leaving().Merge(now, {notice.process, now - notice.age});
  if (!is_new)
    return;
  UpdateServers(now);
  if (m_is_coordinator)
    m_next_heartbeat = now;
}

}  // namespace trefoilwick
