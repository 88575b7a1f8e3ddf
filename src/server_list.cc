#include "trefoilwick/server_list.h"

#include <algorithm>
#include <utility>

namespace trefoilwick {

ServerMap ServerListHistory::Update(TimePoint now,
                                    int64_t era,
                                    ServerMap listed) {
  if (m_has_list && era > m_era)
    BeginEra(now);
  m_era = era;
  m_next_change = NextChange(now);
  m_listed = m_next_change ? listed : ServerMap();
  if (now - m_era_began >= kSettleTime)
    m_servers_before.clear();
  RestoreServers(listed);
  DropEndedServers(now, listed);
  RecordEndedServers(now, listed);
  m_has_list = true;
  m_servers = listed;
  return listed;
}

std::optional<ServerMap> ServerListHistory::UpdateIfDue(TimePoint now) {
  if (!m_next_change || now < *m_next_change)
    return std::nullopt;
  return Update(now, m_era, m_listed);
}

std::optional<TimePoint> ServerListHistory::NextChange(TimePoint now) const {
  for (const Duration time : {kSettleTime, kRevivalTime})
    if (now < m_era_began + time)
      return m_era_began + time;
  return std::nullopt;
}

void ServerListHistory::BeginEra(TimePoint now) {
  m_era_began = now;
  m_servers_before = m_servers;
}

void ServerListHistory::RestoreServers(ServerMap& listed) {
  for (auto it = m_servers_before.begin(); it != m_servers_before.end();) {
    const BackendServer& before = it->second;
    const auto row = listed.find(it->first);
    if (row == listed.end()) {
      listed.emplace(*it++);
      continue;
    }
    BackendServer& server = row->second;
    const bool is_older = server.start_unix_ms < before.start_unix_ms;
    const bool was_draining = server.process() == before.process() &&
                              before.state == ServerState::kDraining;
    if (is_older) {
      server = before;
      ++it;
    } else if (was_draining) {
      server.state = ServerState::kDraining;
      ++it;
    } else {
      // If the row goes now, the server has ended.
      it = m_servers_before.erase(it);
    }
  }
}

void ServerListHistory::DropEndedServers(TimePoint now,
                                         ServerMap& listed) const {
  if (now - m_era_began >= kRevivalTime)
    return;
  std::erase_if(listed, [&](const auto& entry) {
    const auto ended = m_ended.find(entry.first);
    return ended != m_ended.end() && ended->second.ended_at <= m_era_began &&
           entry.second.start_unix_ms <= ended->second.start_unix_ms;
  });
}

// A server that is listed again has not ended: the list before was read while
// its row was missing.
void ServerListHistory::RecordEndedServers(TimePoint now,
                                           const ServerMap& servers) {
  for (const auto& [id, server] : servers)
    m_ended.erase(id);
  for (const auto& [id, server] : m_servers) {
    const auto found = servers.find(id);
    if (found == servers.end())
      m_ended[id] = {server.start_unix_ms, now};
  }
  std::erase_if(m_ended, [&](const auto& entry) {
    return now - entry.second.ended_at > kMaxCopyAge + kRevivalTime;
  });
}

}  // namespace trefoilwick
