#include "service_pool.h"

namespace trefoilwick::detail {

void ServicePool::SetFleet(const std::shared_ptr<const FleetView>& fleet) {
  std::lock_guard lock(m_mutex);
  if (m_fleet == fleet)
    return;
  m_fleet = fleet;
  std::vector<ListedServer> servers;
  for (const auto& [service, list] : fleet->services)
    servers.insert(servers.end(), list.begin(), list.end());
  m_health.SetServers(servers);
}

std::optional<ListedServer> ServicePool::PickServer(
    TimePoint now,
    const std::string& service,
    const std::set<std::string>& excluded) {
  std::lock_guard lock(m_mutex);
  if (!m_fleet)
    return std::nullopt;
  auto it = m_fleet->services.find(service);
  if (it == m_fleet->services.end())
    return std::nullopt;
  const std::string id = PickServiceServer(now, it->second, m_health,
                                           m_outstanding, excluded, m_random);
  for (const ListedServer& server : it->second) {
    if (server.id == id) {
      ++m_outstanding[id];
      return server;
    }
  }
  return std::nullopt;
}

void ServicePool::FinishCall(TimePoint now,
                             const std::string& server,
                             CallOutcome outcome,
                             Duration took) {
  std::lock_guard lock(m_mutex);
  auto it = m_outstanding.find(server);
  if (it != m_outstanding.end() && --it->second == 0)
    m_outstanding.erase(it);
  switch (outcome) {
    case CallOutcome::kAnswered:
      m_health.OnSuccess(now, server, took);
      return;
    case CallOutcome::kFailed:
      m_health.OnFailure(now, server);
      return;
    case CallOutcome::kConnectionRefused:
      m_health.OnCrash(now, server);
      return;
  }
}

}  // namespace trefoilwick::detail
