#include "trefoilwick/coordination.h"

#include <algorithm>

#include "cluster_codec.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kListReadInterval = milliseconds(650);
// Requests on an instance that starts wait for its first server list. Instances
// that start together read the list spread over this time.
constexpr Duration kFirstListReadSpread = milliseconds(60);
// A follower whose list is older than this reads it from the store itself.
constexpr Duration kMaxListAge = milliseconds(1100);
constexpr Duration kListRetryInterval = milliseconds(900);
// Maximum factor on the retry interval of a store that does not answer.
constexpr int kMaxListRetryFactor = 3;
constexpr Duration kConfigRetryInterval = milliseconds(500);
// Age of the reports in a sum when the sum is sent, on average.
constexpr Duration kMeanReportAge = detail::kReportInterval / 2;
// An older sum says nothing of the requests that have ended since.
constexpr Duration kMaxSumAge = milliseconds(1500);

// Adds `more` times `sign` to `sum`; values do not fall below zero.
void AddLoads(LoadMap& sum, const LoadMap& more, int sign) {
  for (const auto& [server, load] : more) {
    ServerLoad& sum_load = sum[server];
    sum_load.token_layers =
        std::max(0.0, sum_load.token_layers + sign * load.token_layers);
    sum_load.sequences =
        std::max(0, sum_load.sequences + sign * load.sequences);
  }
}

}  // namespace

Coordination::Builder& Coordination::Builder::SetAddress(
    std::string ip,
    std::string data_center) {
  m_ip = std::move(ip);
  m_data_center = std::move(data_center);
  return *this;
}

Coordination::Builder& Coordination::Builder::SetProcessorShare(int cpu_milli) {
  m_cpu_milli = cpu_milli;
  return *this;
}

Coordination::Builder& Coordination::Builder::SetIncarnation(
    int64_t incarnation) {
  m_incarnation = incarnation;
  return *this;
}

Coordination::Builder& Coordination::Builder::SetLinkRate(double mbps) {
  m_link_mbps = mbps;
  return *this;
}

Coordination::Builder& Coordination::Builder::SetRetryWindow(Duration window) {
  m_retry_window = window;
  return *this;
}

Coordination Coordination::Builder::Build(TimePoint now) const {
  Coordination out;
  out.m_ip = m_ip;
  out.m_data_center = m_data_center;
  out.m_cpu_milli = m_cpu_milli;
  out.m_link_bytes_per_second = m_link_mbps * 1e6 / 8;
  out.m_incarnation = m_incarnation;
  out.m_server_ids = std::make_shared<detail::ServerIdDictionary>();
  out.m_last_heartbeat_at = now;
  // Spreads the first calls of instances that start together.
  out.m_next_lease_call = now + Duration(StableHash(m_ip) % 200'000);
  out.m_last_store_answer_at = now;
  out.m_started_at = now;
  out.m_retry_window = m_retry_window;
  out.m_send_ledger = SendLedger(m_retry_window, detail::kMemberTimeout);
  out.m_next_report = now;
  out.m_next_heartbeat = now;
  out.m_list_fresh_at = now - seconds(3600);
  out.m_next_list_call =
      now + Duration(StableHash(m_ip, 1) %
                     static_cast<uint64_t>(kFirstListReadSpread.count()));
  out.m_next_config_call = now;
  return out;
}

void Coordination::OnTick(TimePoint now) {
  RemoveExpiredHealthState(now);
  UpdateQuarantine(now);
  if (std::any_of(m_reported_layers.begin(), m_reported_layers.end(),
                  [&](const auto& entry) { return entry.second.until <= now; }))
    UpdateServers(now);
  if (m_is_coordinator) {
    UpdateSums(now);
    RenewLease(now);
    if (now >= m_next_heartbeat)
      SendHeartbeats(now);
  } else {
    TryTakeOver(now);
    if (auto servers = m_list_history.UpdateIfDue(now))
      UseServerList(now, m_list_position, std::move(*servers));
    if (now >= m_next_report && !m_coordinator_ip.empty())
      SendReport(now);
  }
  ReadListIfStale(now);
}

// The first answer after an outage, to any call, triggers reads of everything
// that may have changed: the retry of each kind of call may be seconds away.
void Coordination::OnStoreAnswered(TimePoint now) {
  m_last_store_answer_at = now;
  if (!std::exchange(m_store_failing, false))
    return;
  m_list_failures = 0;
  m_next_list_call = now;
  m_next_config_call = now + kConfigRetryInterval;
  m_actions.emplace_back(ReadConfiguration{});
}

void Coordination::NoteEra(int64_t era) {
  if (era <= m_store_era)
    return;
  const bool is_first = m_store_era == 0;
  m_store_era = era;
  if (is_first)
    return;
  m_next_list_call = TimePoint{};
  m_actions.emplace_back(ReadConfiguration{});
}

void Coordination::OnSuspended(TimePoint now) {
  m_list_fresh_at = now - seconds(3600);
  m_next_list_call = now;
  m_unreachable_marks.clear();
  if (m_is_coordinator)
    StepDown(now);
  m_peers.clear();
}

void Coordination::ReadListIfStale(TimePoint now) {
  if (m_list_call_pending || now < m_next_list_call)
    return;
  const bool stale = ServerListAge(now) > kMaxListAge;
  if (!m_is_coordinator && !stale)
    return;
  m_list_call_pending = true;
  m_next_list_call = now + kListReadInterval;
  m_actions.emplace_back(ReadServerList{});
}

void Coordination::OnServerList(TimePoint now,
                                TimePoint requested_at,
                                StorePosition position,
                                ServerMap servers) {
  m_list_call_pending = false;
  OnStoreAnswered(now);
  NoteEra(position.era);
  m_list_failures = 0;
  // A late response from before the store came back from a copy says nothing of
  // the servers since.
  if (position.era < m_list_position.era)
    return;
  m_list_fresh_at = std::max(m_list_fresh_at, requested_at);
  if (position < m_list_position) {
    UpdateServers(now);
    return;
  }
  servers = m_list_history.Update(now, position.era, std::move(servers));
  const bool is_new_era = position.era > m_list_position.era;
  if (has_server_list() && !is_new_era && servers == *m_stored_servers) {
    UpdateServers(now);
    return;
  }
  UseServerList(now, position, std::move(servers));
  if (m_is_coordinator)
    SendHeartbeats(now);
}

void Coordination::UseServerList(TimePoint now,
                                 StorePosition position,
                                 ServerMap servers) {
  m_list_position = position;
  m_stored_servers = std::make_shared<const ServerMap>(std::move(servers));
  m_list_message.clear();
  UpdateServers(now);
}

void Coordination::SetPlacementOrders(
    TimePoint now,
    std::map<std::string, LayerRange> orders) {
  if (orders == m_placement_orders)
    return;
  m_placement_orders = std::move(orders);
  UpdateServers(now);
  if (m_is_coordinator)
    m_next_heartbeat = TimePoint{};
}

void Coordination::UpdateServers(TimePoint now) {
  m_server_ids->Update(*m_stored_servers);
  auto servers = std::make_shared<ServerMap>(*m_stored_servers);
  for (auto& [id, server] : *servers)
    if (m_availability.leaving().Contains(now, server.process()))
      server.state = ServerState::kDraining;
  std::erase_if(m_reported_layers, [&](const auto& entry) {
    const auto stored = servers->find(entry.first);
    return stored == servers->end() || entry.second.until <= now ||
           stored->second.layers == entry.second.layers;
  });
  for (const auto& [id, reported] : m_reported_layers)
    servers->at(id).layers = reported.layers;
  if (*servers != *m_listed_servers)
    m_listed_servers = servers;
  auto usable = std::make_shared<ServerMap>(*m_listed_servers);
  for (const auto& [id, layers] : m_placement_orders) {
    const auto server = usable->find(id);
    if (server == usable->end() || !server->second.layers)
      continue;
    LayerRange& usable_layers = *server->second.layers;
    usable_layers = {std::max(usable_layers.from, layers.from),
                     std::min(usable_layers.to, layers.to)};
    if (usable_layers.size() <= 0)
      server->second.layers.reset();
  }
  if (*usable != *m_usable_servers)
    m_usable_servers = std::move(usable);
}

void Coordination::OnServerListReadFailed(TimePoint now) {
  m_list_call_pending = false;
  m_store_failing = true;
  m_list_failures = std::min(m_list_failures + 1, kMaxListRetryFactor);
  m_next_list_call = now + kListRetryInterval * m_list_failures;
}

void Coordination::OnConfigurationApplied(TimePoint now,
                                          int64_t version,
                                          std::string row) {
  m_config_version = version;
  m_config_message.clear();
  m_config_row = std::move(row);
  if (m_config_row.size() > detail::kMaxRelayedRowBytes)
    m_config_row.clear();
  if (!m_is_coordinator)
    return;
  bool sent_to_all = true;
  for (const auto& [ip, peer] : m_peers)
    if (now - peer.last_report_at <= detail::kMemberTimeout)
      sent_to_all &= SendConfiguration(now, ip);
  // The others read it when a heartbeat names the version.
  if (!sent_to_all)
    SendHeartbeats(now);
}

void Coordination::OnConfigurationChanging(TimePoint now) {
  if (!m_is_coordinator)
    return;
  m_config_is_changing = true;
  ++m_config_changes;
  SendHeartbeats(now);
}

void Coordination::OnConfigurationRead(TimePoint now) {
  m_config_is_changing = false;
  OnStoreAnswered(now);
}

void Coordination::OnConfigurationReadFailed(TimePoint now) {
  m_store_failing = true;
  m_next_config_call = now + kConfigRetryInterval;
}

void Coordination::ReadConfigurationIfNewer(TimePoint now, int64_t version) {
  if (version <= m_config_version || now < m_next_config_call)
    return;
  m_next_config_call = now + kConfigRetryInterval;
  m_actions.emplace_back(ReadConfiguration{version});
}

void Coordination::ReadChangingConfiguration(
    TimePoint now,
    const detail::CoordinatorHeartbeat& heartbeat) {
  const detail::ConfigurationChange change = {heartbeat.fencing_token,
                                              heartbeat.config_change};
  if (change.number == 0 ||
      std::exchange(m_seen_config_change, change) == change)
    return;
  m_next_config_call = now + kConfigRetryInterval;
  m_actions.emplace_back(ReadConfiguration{});
}

std::vector<ClusterMember> Coordination::Members(TimePoint now) const {
  std::vector<ClusterMember> out;
  out.push_back({m_ip, m_data_center, m_accepting, m_cpu_milli});
  if (m_is_coordinator) {
    for (const auto& [ip, peer] : m_peers)
      if (now - peer.last_report_at <= detail::kMemberTimeout)
        out.push_back(peer.member);
    return out;
  }
  for (const ClusterMember& member : m_members)
    if (member.ip != m_ip)
      out.push_back(member);
  return out;
}

LoadMap Coordination::Loads(TimePoint now) const {
  LoadMap out;
  if (HasCompleteSums()) {
    for (const auto& [ip, peer] : m_peers)
      if (now - peer.last_report_at <= detail::kMemberTimeout)
        AddLoads(out, peer.loads, 1);
  } else {
    out = m_cluster_loads;
    AddLoads(out, m_own_loads_in_cluster_sum, -1);
    AddLoads(out, EstimateUnreportedPeerLoads(now), 1);
  }
  AddLoads(out, m_local_loads, 1);
  return out;
}

void Coordination::SetClusterLoads(TimePoint now, const LoadMap& sum) {
  m_cluster_loads = sum;
  m_own_loads_in_cluster_sum = m_reported_loads;
  m_cluster_loads_at = now;
}

size_t Coordination::PeersInDataCenter(TimePoint now) const {
  const std::vector<ClusterMember> members = Members(now);
  return static_cast<size_t>(std::count_if(
      members.begin(), members.end(), [&](const ClusterMember& member) {
        return member.ip != m_ip && member.accepting &&
               member.data_center == m_data_center;
      }));
}

// Estimates the work that the other instances of this data center began since
// the last sum, on the assumption that each began as much as this one.
LoadMap Coordination::EstimateUnreportedPeerLoads(TimePoint now) const {
  const size_t peers = PeersInDataCenter(now);
  LoadMap out;
  for (const auto& [server, load] : m_local_loads) {
    const auto reported = m_own_loads_in_cluster_sum.find(server);
    const ServerLoad reported_load =
        reported == m_own_loads_in_cluster_sum.end() ? ServerLoad{}
                                                     : reported->second;
    if (load.sequences > reported_load.sequences)
      out[server] = {
          std::max(0.0, load.token_layers - reported_load.token_layers) *
              static_cast<double>(peers),
          static_cast<int>(peers) * (load.sequences - reported_load.sequences)};
  }
  return out;
}

UnreportedWork Coordination::EstimateUnreportedWork(TimePoint now) const {
  UnreportedWork out;
  const size_t members = Members(now).size();
  out.remote_peers = static_cast<double>(members - 1);
  out.local_peers = static_cast<double>(PeersInDataCenter(now));
  if (HasCompleteSums()) {
    out.age = kMeanReportAge;
    out.seed = StableHash(m_ip, static_cast<uint64_t>(now.time_since_epoch() /
                                                      detail::kReportInterval));
    return out;
  }
  out.age = std::min(now - m_cluster_loads_at + kMeanReportAge, kMaxSumAge);
  out.seed = StableHash(
      m_ip,
      static_cast<uint64_t>(m_cluster_loads_at.time_since_epoch().count()));
  return out;
}

std::vector<CoordinationAction> Coordination::TakeActions() {
  return std::exchange(m_actions, {});
}

}  // namespace trefoilwick
