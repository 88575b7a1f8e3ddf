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
// Lists and configurations that the coordinator passes on take at most a
// quarter of the link's rate, in bursts of at most this long, because
// heartbeats and streams share the link.
constexpr double kRelayLinkShare = 0.25;
constexpr Duration kMaxRelayBurst = milliseconds(100);
// Longer than the time from sending a list to the next report of its receiver.
constexpr Duration kListResendInterval = milliseconds(700);
// Layers that a server reported take precedence over the server list for longer
// than the list lags behind.
constexpr Duration kReportedLayersTtl = seconds(3);
// Entries of demand in one message: the accounts that ask for most decide how
// capacity is divided.
constexpr size_t kMaxDemandEntries = 64;
constexpr Duration kClusterDemandTtl = seconds(2);

}  // namespace

bool Coordination::TryConsumeLinkBudget(TimePoint now, size_t bytes) {
  if (m_link_bytes_per_second <= 0)
    return true;
  const auto elapsed_seconds =
      static_cast<double>((now - m_link_budget_refilled_at).count()) / 1e6;
  const double max_budget_bytes = m_link_bytes_per_second *
                                  static_cast<double>(kMaxRelayBurst.count()) /
                                  1e6;
  m_link_budget_bytes =
      std::min(max_budget_bytes, m_link_budget_bytes + m_link_bytes_per_second *
                                                           kRelayLinkShare *
                                                           elapsed_seconds);
  m_link_budget_refilled_at = now;
  if (m_link_budget_bytes < static_cast<double>(bytes))
    return false;
  m_link_budget_bytes -= static_cast<double>(bytes);
  return true;
}

void Coordination::OnLayersReported(TimePoint now,
                                    const std::string& server,
                                    LayerRange layers) {
  OnLayersReported(now, std::map<std::string, LayerRange>{{server, layers}});
}

void Coordination::OnLayersReported(
    TimePoint now,
    const std::map<std::string, LayerRange>& reported) {
  bool changed = false;
  for (const auto& [server, layers] : reported) {
    const auto listed = m_listed_servers->find(server);
    if (listed == m_listed_servers->end() || listed->second.layers == layers)
      continue;
    m_reported_layers[server] = {layers, now + kReportedLayersTtl};
    changed = true;
  }
  if (!changed)
    return;
  UpdateServers(now);
  if (m_is_coordinator)
    m_next_heartbeat = now;
}

bool Coordination::SendConfiguration(TimePoint now, const std::string& ip) {
  // An instance that does not receive it reads it from the store when a
  // heartbeat names the version.
  if (m_config_row.empty())
    return false;
  if (m_config_message.empty())
    m_config_message =
        detail::EncodeConfiguration({m_config_version, m_config_row});
  if (m_config_message.size() > detail::kMaxDatagramBytes)
    m_config_row.clear();
  if (m_config_row.empty() ||
      !TryConsumeLinkBudget(now, m_config_message.size()))
    return false;
  m_actions.emplace_back(SendDatagram{ip, m_config_message});
  return true;
}

void Coordination::Broadcast(TimePoint now, const std::string& bytes) {
  for (const ClusterMember& member : Members(now))
    if (member.ip != m_ip)
      m_actions.emplace_back(SendDatagram{member.ip, bytes});
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
  report.list_position = m_list_position;
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
      m_coordinator_ip, detail::EncodeReport(report, *m_server_ids)});
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
  heartbeat.config_change = m_config_is_changing ? m_config_changes : 0;
  heartbeat.list_position = m_list_position;
  heartbeat.list_age = ServerListAge(now);
  if (!is_large_deployment ||
      ++m_heartbeat_count % kHeartbeatsPerMemberList == 0)
    heartbeat.members = Members(now);
  heartbeat.loads = Loads(now);
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
  const std::string bytes = detail::EncodeHeartbeat(heartbeat, *m_server_ids);
  for (auto& [ip, peer] : m_peers) {
    if (now - peer.last_report_at > detail::kMemberTimeout)
      continue;
    m_actions.emplace_back(SendDatagram{ip, bytes});
    if (peer.list_position < m_list_position)
      SendList(now, ip, peer);
  }
}

void Coordination::SendList(TimePoint now, const std::string& ip, Peer& peer) {
  if (peer.sent_list_position == m_list_position &&
      now - peer.list_sent_at < kListResendInterval)
    return;
  // Encoded once for all instances that it is sent to at the same time.
  if (m_list_message.empty() || m_list_encoded_at != now) {
    m_list_encoded_at = now;
    m_list_message =
        detail::EncodeServerList({m_fencing_token, m_list_position,
                                  ServerListAge(now), *m_stored_servers});
  }
  const std::string& bytes = m_list_message;
  // An instance that does not receive the list reads it from the store when its
  // own is too old.
  if (bytes.size() > detail::kMaxDatagramBytes ||
      !TryConsumeLinkBudget(now, bytes.size()))
    return;
  peer.sent_list_position = m_list_position;
  peer.list_sent_at = now;
  m_actions.emplace_back(SendDatagram{ip, bytes});
}

void Coordination::HandleReport(TimePoint now,
                                const detail::InstanceReport& report) {
  if (!m_is_coordinator)
    return;
  Peer& peer = m_peers[report.member.ip];
  const bool list_outdated = report.list_position < m_list_position;
  const bool is_new = peer.last_report_at == TimePoint{};
  peer.member = report.member;
  peer.list_position = report.list_position;
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
  if (is_new && list_outdated)
    SendList(now, report.member.ip, peer);
  if (is_new && report.config_version < m_config_version)
    SendConfiguration(now, report.member.ip);
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
  if (heartbeat.loads && !heartbeat.sums_incomplete)
    SetClusterLoads(now, *heartbeat.loads);
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
  m_reported_layers.clear();
  for (const auto& [server, layers] : heartbeat.reported_layers)
    m_reported_layers[server] = {layers, now + kReportedLayersTtl};
  UpdateServers(now);
  UpdateMajorityUnreachable(now, heartbeat.unreachable_servers);
  // A list of the coordinator's position is also as fresh as the
  // coordinator's.
  if (has_server_list() && m_list_position.era == heartbeat.list_position.era &&
      m_list_position >= heartbeat.list_position)
    m_list_fresh_at = std::max(m_list_fresh_at, now - heartbeat.list_age);
  ReadChangingConfiguration(now, heartbeat);
  ReadConfigurationIfNewer(now, heartbeat.config_version);
}

void Coordination::HandleServerList(TimePoint now,
                                    const detail::ServerListMessage& list) {
  if (list.position <= m_list_position)
    return;
  m_list_fresh_at = std::max(m_list_fresh_at, now - list.age);
  UseServerList(now, list.position,
                m_list_history.Update(now, list.position.era, list.servers));
}

void Coordination::OnDatagram(TimePoint now, const std::string& bytes) {
  const auto message = detail::DecodeClusterMessage(bytes, *m_server_ids);
  if (!message)
    return;
  std::visit(
      Overloaded{
          [&](const detail::InstanceReport& report) {
            HandleReport(now, report);
          },
          [&](const detail::CoordinatorHeartbeat& heartbeat) {
            HandleHeartbeat(now, heartbeat);
          },
          [&](const detail::ServerListMessage& list) {
            HandleServerList(now, list);
          },
          [&](const detail::RefusingServersMessage& refusing) {
            for (const std::string& server : refusing.servers)
              m_availability.cooldowns().RecordRefusal(server, now);
          },
          [&](const detail::SlowServersMessage& slow) {
            for (const auto& [server, slowdown] : slow.slowdowns)
              HandleSlowdownReport(now, server, slowdown);
          },
          [&](const detail::ConfigurationMessage& configuration) {
            if (configuration.version > m_config_version)
              m_actions.emplace_back(ApplyConfiguration{configuration.row});
          },
          [&](const detail::UnreachableServersMessage& unreachable) {
            for (const std::string& server : unreachable.servers)
              HandleUnreachableReport(now, server);
          },
      },
      *message);
}

}  // namespace trefoilwick
