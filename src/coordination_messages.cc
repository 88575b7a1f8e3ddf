// Messages between instances: reports to the coordinator, its heartbeats, and
// the lists and configurations that it passes on.
#include <algorithm>

#include "cluster_codec.h"
#include "trefoilwick/coordination.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHeartbeatInterval = milliseconds(250);
// With many instances heartbeats are sent less often and only some list the
// members: they are most of the traffic between data centers.
constexpr size_t kLargeDeploymentPeers = 32;
constexpr Duration kLargeDeploymentHeartbeatInterval = milliseconds(400);
constexpr int kHeartbeatsPerMemberList = 3;
// A coordinator that has had no answer from the store for this long says so in
// its heartbeats, so that the others read the configuration themselves in time.
constexpr Duration kStoreAnswerTimeout = milliseconds(1100);
// Heartbeats carry the loads of the receiver's own data center, and those of
// all data centers at each multiple of this: most paths stay inside one data
// center.
constexpr uint64_t kHeartbeatsPerAllLoads = 4;
// What the coordinator sends of one kind is sent in bursts of at most this long
// at the rate of the link, because streams share the link.
constexpr Duration kMaxRelayBurst = milliseconds(100);
// Layers that a server reported take precedence over the server list for longer
// than the list lags behind.
constexpr Duration kReportedLayersTtl = seconds(3);
// Entries of demand in one message: the accounts that ask for most decide how
// capacity is divided.
constexpr size_t kMaxDemandEntries = 64;
constexpr Duration kClusterDemandTtl = seconds(2);

}  // namespace

bool Coordination::TryConsumeLinkBudget(TimePoint now,
                                        LinkBudget& budget,
                                        size_t bytes) {
  if (m_link_bytes_per_second <= 0)
    return true;
  const auto elapsed_seconds =
      static_cast<double>((now - budget.refilled_at).count()) / 1e6;
  // A whole datagram must fit on a slow link as well.
  const double max_bytes =
      std::max<double>(detail::kMaxDatagramBytes,
                       m_link_bytes_per_second *
                           static_cast<double>(kMaxRelayBurst.count()) / 1e6);
  budget.bytes =
      std::min(max_bytes, budget.bytes + m_link_bytes_per_second *
                                             budget.share * elapsed_seconds);
  budget.refilled_at = now;
  if (budget.bytes < static_cast<double>(bytes))
    return false;
  budget.bytes -= static_cast<double>(bytes);
  return true;
}

void Coordination::OnLayersReported(TimePoint now,
                                    const std::string& server,
                                    LayerRange layers) {
  const auto listed = m_listed_servers->find(server);
  if (listed == m_listed_servers->end() || listed->second.layers == layers)
    return;
  m_reported_layers[server] = {layers, now + kReportedLayersTtl};
  UpdateServers(now);
  if (m_is_coordinator)
    m_next_heartbeat = now;
}

void Coordination::Broadcast(TimePoint now,
                             PeerMessageType type,
                             const std::string& bytes) {
  for (const ClusterMember& member : Members(now))
    if (member.ip != m_ip)
      m_actions.emplace_back(SendDatagram{member.ip, bytes, type});
}

DemandRates Coordination::ClusterDemand(TimePoint now) const {
  if (!m_is_coordinator)
    return now - m_cluster_demand_at <= kClusterDemandTtl ? m_cluster_demand
                                                          : DemandRates();
  DemandRates sum = m_local_demand;
  for (const auto& [ip, peer] : m_peers)
    if (now - peer.last_report_at <= detail::kMemberTimeout)
      AddDemand(sum, peer.demand);
  return LargestDemand(sum, kMaxDemandEntries);
}

void Coordination::SendReport(TimePoint now) {
  m_next_report = now + detail::kReportInterval;
  detail::InstanceReport report;
  report.member = {m_ip, m_data_center, m_accepting, m_cpu_milli};
  report.incarnation = m_incarnation;
  report.config_version = m_config_version;
  report.list_version = m_list_version;
  report.loads = m_local_loads;
  m_reported_loads = m_local_loads;
  report.sends = m_local_sends;
  report.earlier_sends = GetEarlierSends(now);
  report.process_age = now - m_started_at;
  report.unreachable_servers = LostServers(now);
  AddCrashState(now, report);
  AddLimits(now, report);
  report.leaving = LeavingMessages(now);
  report.demand = LargestDemand(m_local_demand, kMaxDemandEntries);
  m_reported_sends = m_local_sends;
  m_actions.emplace_back(SendDatagram{
      m_coordinator_ip, detail::EncodeReport(report, *m_server_ids),
      PeerMessageType::kReport});
}

void Coordination::SendHeartbeats(TimePoint now) {
  const bool is_large_deployment = m_peers.size() > kLargeDeploymentPeers;
  m_next_heartbeat =
      now + (is_large_deployment ? kLargeDeploymentHeartbeatInterval
                                 : kHeartbeatInterval);
  detail::CoordinatorHeartbeat heartbeat;
  heartbeat.fencing_token = m_fencing_token;
  heartbeat.ip = m_ip;
  heartbeat.config_version = m_config_version;
  heartbeat.list_version = m_list_version;
  heartbeat.list_age = ServerListAge(now);
  if (!is_large_deployment ||
      ++m_heartbeat_count % kHeartbeatsPerMemberList == 0)
    heartbeat.members = Members(now);
  heartbeat.loads = Loads(now);
  heartbeat.sending_configuration = IsSendingConfiguration(now);
  for (const auto& [server, mark] : m_unreachable_marks)
    if (mark.until > now && AssessUnreachableServer(now, server, mark) !=
                                LossVerdict::kContradicted)
      heartbeat.unreachable_servers.insert(server);
  heartbeat.placement_orders = m_placement_orders;
  for (const auto& [server, reported] : m_reported_layers)
    heartbeat.reported_layers[server] = reported.layers;
  heartbeat.sends = ClusterSends(now);
  heartbeat.unreported_sends = m_send_ledger.Unreported(now);
  AddSends(heartbeat.unreported_sends, m_local_sends);
  heartbeat.instances = static_cast<int>(InstanceCount(now));
  heartbeat.sums_incomplete = !HasCompleteSums();
  heartbeat.earlier_sends_unknown = !KnowsEarlierSends(now);
  AddLimits(now, heartbeat);
  heartbeat.leaving = LeavingMessages(now);
  heartbeat.demand = ClusterDemand(now);
  m_suspects = m_crash_tracker.Suspects();
  heartbeat.suspects = m_suspects;
  heartbeat.quarantine = m_quarantine.List(now);
  heartbeat.store_reachable =
      now - m_last_store_answer_at < kStoreAnswerTimeout;
  // Encoded once for all receivers of the same loads.
  using DataCenters = std::optional<std::set<std::string>>;
  std::map<DataCenters, std::string> encoded;
  const LoadMap all_loads = std::move(*heartbeat.loads);
  const auto encode = [&](const DataCenters& data_centers) -> std::string& {
    std::string& bytes = encoded[data_centers];
    if (!bytes.empty())
      return bytes;
    heartbeat.load_data_centers = data_centers;
    heartbeat.loads = all_loads;
    std::erase_if(*heartbeat.loads, [&](const auto& entry) {
      const auto server = m_listed_servers->find(entry.first);
      return data_centers && server != m_listed_servers->end() &&
             !data_centers->contains(server->second.data_center);
    });
    return bytes = detail::EncodeHeartbeat(heartbeat, *m_server_ids);
  };
  std::vector<std::pair<const std::string, Peer>*> receivers;
  for (auto& entry : m_peers)
    if (now - entry.second.last_report_at <= detail::kMemberTimeout)
      receivers.push_back(&entry);
  // Each heartbeat begins with other instances, so that a link that does not
  // carry all loads leaves out each of them as often.
  ++m_heartbeat_round;
  if (!receivers.empty())
    std::rotate(receivers.begin(),
                receivers.begin() +
                    static_cast<std::ptrdiff_t>(
                        StableHash(m_ip, m_heartbeat_round) % receivers.size()),
                receivers.end());
  for (auto* entry : receivers) {
    auto& [ip, peer] = *entry;
    const bool all =
        !peer.got_all_loads ||
        (m_heartbeat_round + StableHash(ip)) % kHeartbeatsPerAllLoads == 0;
    // Servers without a data center belong to all.
    const DataCenters data_centers =
        all ? std::nullopt
            : DataCenters({std::string(), peer.member.data_center});
    const std::string* bytes = &encode(data_centers);
    if (TryConsumeLinkBudget(now, m_load_budget, bytes->size()))
      peer.got_all_loads |= all;
    else
      bytes = &encode(std::set<std::string>());
    m_actions.emplace_back(
        SendDatagram{ip, *bytes, PeerMessageType::kHeartbeat});
  }
}

void Coordination::HandleReport(TimePoint now,
                                const detail::InstanceReport& report) {
  if (!m_is_coordinator)
    return;
  Peer& peer = m_peers[report.member.ip];
  const bool is_new = peer.last_report_at == TimePoint{};
  peer.member = report.member;
  if (std::exchange(peer.list_version, report.list_version) !=
      report.list_version)
    peer.list_updates_sent = 0;
  peer.config_version = report.config_version;
  peer.last_report_at = now;
  if (report.loads)
    peer.loads = *report.loads;
  m_send_ledger.OnReport(now, report.member.ip, report.incarnation,
                         now - report.process_age.value_or(m_retry_window),
                         report.sends);
  if (report.earlier_sends)
    AddEarlierSends(now, *report.earlier_sends);
  peer.demand = report.demand;
  peer.unreachable_servers = report.unreachable_servers;
  HandleCrashes(now, report);
  HandleLimits(now, report);
  MergeLeaving(now, report.leaving);
  if (is_new) {
    SendConfiguration(now, report.member.ip, peer);
    SendList(now, report.member.ip, peer);
  }
}

void Coordination::HandleHeartbeat(
    TimePoint now,
    const detail::CoordinatorHeartbeat& heartbeat) {
  if (heartbeat.fencing_token < m_fencing_token || heartbeat.ip == m_ip)
    return;
  if (heartbeat.fencing_token > m_fencing_token || m_is_coordinator ||
      m_coordinator_ip != heartbeat.ip) {
    LeaseRow row;
    row.fencing_token = heartbeat.fencing_token;
    row.holder_ip = heartbeat.ip;
    FollowCoordinator(now, row);
  }
  m_coordinator_store_reachable = heartbeat.store_reachable;
  if (heartbeat.store_reachable)
    m_last_heartbeat_at = now;
  if (!heartbeat.members.empty())
    m_members = heartbeat.members;
  if (heartbeat.loads && !heartbeat.sums_incomplete &&
      (!heartbeat.load_data_centers ||
       heartbeat.load_data_centers->contains(m_data_center)))
    SetClusterLoads(now, *heartbeat.loads, heartbeat.load_data_centers);
  m_cluster_demand = heartbeat.demand;
  m_cluster_demand_at = now;
  if (!heartbeat.sums_incomplete && !heartbeat.earlier_sends_unknown)
    HandleClusterSends(now, heartbeat);
  MergeQuarantine(now, heartbeat.quarantine);
  HandleLimits(now, heartbeat);
  MergeLeaving(now, heartbeat.leaving);
  if (std::exchange(m_suspects, heartbeat.suspects) != m_suspects)
    m_next_report = now;
  SetPlacementOrders(now, heartbeat.placement_orders);
  std::map<std::string, LayerRange> previous_layers;
  for (const auto& [server, reported] : m_reported_layers)
    previous_layers[server] = reported.layers;
  m_reported_layers.clear();
  for (const auto& [server, layers] : heartbeat.reported_layers)
    m_reported_layers[server] = {layers, now + kReportedLayersTtl};
  // Copies of the whole list with each heartbeat were most of the processor
  // time of an instance with 3,000 servers.
  if (previous_layers != heartbeat.reported_layers)
    UpdateServers(now);
  UpdateMajorityUnreachable(now, heartbeat.unreachable_servers);
  // A list of the coordinator's version is also as fresh as the
  // coordinator's.
  if (m_list_version >= heartbeat.list_version && m_list_version > 0)
    m_list_fresh_at = std::max(m_list_fresh_at, now - heartbeat.list_age);
  if (m_list_version >= heartbeat.list_version)
    m_list_behind_since.reset();
  else if (!m_list_behind_since)
    m_list_behind_since = now;
  if (!heartbeat.sending_configuration)
    ReadConfigurationIfNewer(now, heartbeat.config_version);
}

void Coordination::HandleServerList(TimePoint now,
                                    const detail::ServerListMessage& list) {
  if (list.version <= m_list_version)
    return;
  m_list_fresh_at = std::max(m_list_fresh_at, now - list.age);
  SetStoredServers(list.version, list.servers);
  UpdateServers(now);
}

PeerMessageType Coordination::OnDatagram(TimePoint now,
                                         const std::string& bytes) {
  const auto message = detail::DecodeClusterMessage(bytes, *m_server_ids);
  if (!message)
    return PeerMessageType::kInvalid;
  return std::visit(
      Overloaded{
          [&](const detail::InstanceReport& report) {
            HandleReport(now, report);
            return PeerMessageType::kReport;
          },
          [&](const detail::CoordinatorHeartbeat& heartbeat) {
            HandleHeartbeat(now, heartbeat);
            return PeerMessageType::kHeartbeat;
          },
          [&](const detail::ServerListMessage& list) {
            HandleServerList(now, list);
            return PeerMessageType::kServerList;
          },
          [&](const detail::ListPartMessage& part) {
            HandleListPart(now, part);
            return part.base != 0 ? PeerMessageType::kListChanges
                                  : PeerMessageType::kServerList;
          },
          [&](const detail::RefusingServersMessage& refusing) {
            for (const std::string& server : refusing.servers)
              m_availability.cooldowns().RecordRefusal(server, now);
            return PeerMessageType::kRefusingServers;
          },
          [&](const detail::SlowServersMessage& slow) {
            for (const auto& [server, slowdown] : slow.slowdowns)
              HandleSlowdownReport(now, server, slowdown);
            return PeerMessageType::kSlowServers;
          },
          [&](const detail::ConfigurationMessage& configuration) {
            if (configuration.version > m_config_version)
              m_actions.emplace_back(ApplyConfiguration{configuration.row});
            return PeerMessageType::kConfiguration;
          },
          [&](const detail::UnreachableServersMessage& unreachable) {
            for (const std::string& server : unreachable.servers)
              HandleUnreachableReport(now, server);
            return PeerMessageType::kUnreachableServers;
          },
      },
      *message);
}

}  // namespace trefoilwick
