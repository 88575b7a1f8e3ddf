#include "trefoilwick/coordination.h"

#include <algorithm>

#include "cluster_codec.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kBeatInterval = milliseconds(250);
// Beats to many instances are fewer, and not all of them list the members: they
// are most of the bytes between data centers.
constexpr size_t kLargeDeployment = 32;
constexpr Duration kLargeBeatInterval = milliseconds(400);
constexpr int kMembersEvery = 3;
// A coordinator that was not heard for this long may be replaced.
constexpr Duration kCoordinatorSilence = milliseconds(900);
// Instances that notice the silence together try one after the other: the
// first few with the time for a lease to be taken and announced in between.
constexpr Duration kTakeOverStep = milliseconds(60);
constexpr int kWideSteps = 10;
constexpr Duration kNarrowTakeOverStep = milliseconds(15);
constexpr Duration kLeaseRenewal = seconds(2);
// While no coordinator is heard the first instances in that order ask again
// after this long, those behind them in proportion to their place.
constexpr Duration kLeaseRetry = milliseconds(700);
constexpr int kInstancesPerLeaseRetry = 8;
// A coordinator without the store for this long says so in its beats, so that
// the others look after the configuration themselves in time.
constexpr Duration kStoreSilence = milliseconds(1100);
constexpr Duration kListInterval = milliseconds(650);
// Requests wait for the first list of an instance that starts. Instances that
// start together read it over this time.
constexpr Duration kFirstListSpread = milliseconds(60);
// A follower reads the list itself when the coordinator's news are late.
constexpr Duration kListStale = milliseconds(1100);
constexpr Duration kListRetry = milliseconds(900);
// Factor on the time between calls to a store that does not answer.
constexpr int kMostBackoff = 3;
constexpr Duration kConfigRetry = milliseconds(500);
// Lists and configurations that are passed on take a quarter of the link, at
// most this long at once: beats and streams share it.
constexpr double kRelayShare = 0.25;
constexpr Duration kRelayBurst = milliseconds(100);
// Longer than the time from a list to the next report.
constexpr Duration kListResend = milliseconds(700);
// A coordinator with less than half of the processor of another instance is
// relieved after this long.
constexpr int kRelieveFactor = 2;
constexpr Duration kRelieveAfter = seconds(2);
// A report of a server goes before the list for longer than the list lags.
constexpr Duration kReportedLife = seconds(3);

// Adds `more` times `sign` to `sum`; entries that reach zero are dropped.
void AddLoads(LoadMap& sum, const LoadMap& more, int sign) {
  for (const auto& [server, load] : more) {
    ServerLoad& here = sum[server];
    here.token_layers =
        std::max(0.0, here.token_layers + sign * load.token_layers);
    here.sequences = std::max(0, here.sequences + sign * load.sequences);
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

Coordination::Builder& Coordination::Builder::SetLink(double mbps) {
  m_link_mbps = mbps;
  return *this;
}

Coordination Coordination::Builder::Build(TimePoint now) const {
  Coordination out;
  out.m_ip = m_ip;
  out.m_data_center = m_data_center;
  out.m_cpu_milli = m_cpu_milli;
  out.m_link_bytes = m_link_mbps * 1e6 / 8;
  out.m_incarnation = m_incarnation;
  out.m_names = std::make_shared<detail::ServerNames>();
  out.m_beat_heard = now;
  // Instances start together: spread their first calls.
  out.m_next_lease_call = now + Duration(StableHash(m_ip) % 200'000);
  out.m_store_answered = now;
  out.m_next_report = now;
  out.m_next_beat = now;
  out.m_list_fresh_at = now - seconds(3600);
  out.m_next_list_call =
      now + Duration(StableHash(m_ip, 1) %
                     static_cast<uint64_t>(kFirstListSpread.count()));
  out.m_next_config_call = now;
  return out;
}

int Coordination::TakeOverRank() const {
  int before = 0;
  for (const ClusterMember& member : m_members)
    if (member.ip != m_coordinator_ip &&
        (member.cpu_milli > m_cpu_milli ||
         (member.cpu_milli == m_cpu_milli && member.ip < m_ip)))
      ++before;
  return before;
}

Duration Coordination::TakeOverDelay() const {
  const int rank = TakeOverRank();
  return kTakeOverStep * std::min(rank, kWideSteps) +
         kNarrowTakeOverStep * std::max(0, rank - kWideSteps);
}

bool Coordination::ShouldRelieve(TimePoint now) const {
  if (!HearsCoordinator(now) || now - m_following_since < kRelieveAfter ||
      TakeOverRank() > 0)
    return false;
  return std::any_of(m_members.begin(), m_members.end(),
                     [&](const ClusterMember& member) {
                       return member.ip == m_coordinator_ip &&
                              member.cpu_milli * kRelieveFactor < m_cpu_milli;
                     });
}

bool Coordination::TakeLink(TimePoint now, size_t bytes) {
  if (m_link_bytes <= 0)
    return true;
  const auto since = static_cast<double>((now - m_link_refilled).count()) / 1e6;
  const double most =
      m_link_bytes * static_cast<double>(kRelayBurst.count()) / 1e6;
  m_link_room =
      std::min(most, m_link_room + m_link_bytes * kRelayShare * since);
  m_link_refilled = now;
  if (m_link_room < static_cast<double>(bytes))
    return false;
  m_link_room -= static_cast<double>(bytes);
  return true;
}

bool Coordination::HearsCoordinator(TimePoint now) const {
  return !m_is_coordinator && !m_members.empty() && m_coordinator_has_store &&
         now - m_beat_heard <= kCoordinatorSilence;
}

void Coordination::OnTick(TimePoint now) {
  SweepHealth(now);
  if (std::any_of(m_reported.begin(), m_reported.end(),
                  [&](const auto& entry) { return entry.second.until <= now; }))
    UpdateServers(now);
  if (m_is_coordinator) {
    if (now >= m_next_lease_call && !m_lease_call_pending) {
      m_lease_call_pending = true;
      m_next_lease_call = now + kLeaseRenewal;
      m_actions.emplace_back(WriteLease{m_lease, m_lease.row_version});
    }
    if (now >= m_next_beat)
      SendBeats(now);
  } else {
    TryTakeOver(now);
    if (now >= m_next_report && !m_coordinator_ip.empty())
      SendReport(now);
  }
  ReadListIfStale(now);
}

// After an outage the first answer, to whatever call, is the sign to read what
// may have changed: each kind of call by itself may wait for seconds yet.
void Coordination::NoteStoreAnswered(TimePoint now) {
  m_store_answered = now;
  if (!std::exchange(m_store_failing, false))
    return;
  m_list_failures = 0;
  m_next_list_call = now;
  m_next_config_call = now + kConfigRetry;
  m_actions.emplace_back(ReadConfiguration{});
}

void Coordination::TryTakeOver(TimePoint now) {
  if (m_lease_call_pending || now < m_next_lease_call || !m_accepting)
    return;
  const bool silent =
      now - m_beat_heard > kCoordinatorSilence + TakeOverDelay();
  m_relieving = !silent && ShouldRelieve(now);
  if (m_knows_lease && !silent && !m_relieving)
    return;
  m_lease_call_pending = true;
  m_next_lease_call =
      now + kLeaseRetry * (1 + TakeOverRank() / kInstancesPerLeaseRetry);
  m_actions.emplace_back(ReadLease{});
}

void Coordination::OnLease(TimePoint now, const std::optional<LeaseRow>& row) {
  m_lease_call_pending = false;
  if (!row) {
    m_store_failing = true;
    return;
  }
  NoteStoreAnswered(now);
  const bool first = !m_knows_lease;
  const bool changed = row->fence != m_fence;
  if (row->row_version > 0 && row->holder_ip != m_ip && (first || changed)) {
    // Give the holder the time to be heard before it is replaced.
    Follow(now, *row);
    return;
  }
  m_knows_lease = true;
  const bool silent = now - m_beat_heard > kCoordinatorSilence;
  const bool mine_before = row->holder_ip == m_ip;
  const bool relieves = std::exchange(m_relieving, false);
  if (row->row_version > 0 && !silent && !mine_before && !relieves)
    return;
  LeaseRow mine;
  mine.fence = row->fence + 1;
  mine.holder_ip = m_ip;
  mine.holder_incarnation = m_incarnation;
  m_lease_call_pending = true;
  m_actions.emplace_back(WriteLease{mine, row->row_version});
}

void Coordination::Follow(TimePoint now, const LeaseRow& row) {
  m_knows_lease = true;
  m_is_coordinator = false;
  m_fence = row.fence;
  m_lease = row;
  if (std::exchange(m_coordinator_ip, row.holder_ip) != row.holder_ip)
    m_following_since = now;
  m_beat_heard = now;
  m_next_report = now;
}

void Coordination::StepDown(TimePoint now) {
  m_is_coordinator = false;
  m_coordinator_ip.clear();
  m_next_lease_call = now;
  m_knows_lease = false;
  m_beat_heard = now;
}

void Coordination::OnLeaseWritten(TimePoint now,
                                  LeaseWriteResult result,
                                  const LeaseRow& row) {
  m_lease_call_pending = false;
  switch (result) {
    case LeaseWriteResult::kWritten:
      NoteStoreAnswered(now);
      m_lease = row;
      m_fence = row.fence;
      m_next_lease_call = now + kLeaseRenewal;
      if (!m_is_coordinator) {
        m_is_coordinator = true;
        m_knows_lease = true;
        m_coordinator_ip = m_ip;
        // Those that still follow another one must hear of this one.
        m_peers.clear();
        for (const ClusterMember& member : m_members)
          if (member.ip != m_ip) {
            Peer& peer = m_peers[member.ip];
            peer.member = member;
            peer.heard = now;
          }
        m_next_beat = now;
        m_next_list_call = now;
        m_cluster_loads.clear();
      }
      return;
    case LeaseWriteResult::kConflict:
      NoteStoreAnswered(now);
      // The row shows who holds it now, or one of our own writes whose answer
      // was lost.
      if (row.holder_ip == m_ip && row.holder_incarnation == m_incarnation &&
          row.fence >= m_fence) {
        m_lease = row;
        m_fence = row.fence;
        m_next_lease_call = now;
        return;
      }
      if (row.row_version > 0)
        Follow(now, row);
      else
        StepDown(now);
      return;
    case LeaseWriteResult::kUnknown:
      m_store_failing = true;
      m_next_lease_call = now + kLeaseRetry;
      return;
  }
}

void Coordination::OnFenced(TimePoint now) {
  if (m_is_coordinator)
    StepDown(now);
}

void Coordination::OnSuspended(TimePoint now) {
  m_list_fresh_at = now - seconds(3600);
  m_next_list_call = now;
  m_peers.clear();
  m_lost.clear();
  if (m_is_coordinator)
    StepDown(now);
}

void Coordination::ReadListIfStale(TimePoint now) {
  if (m_list_call_pending || now < m_next_list_call)
    return;
  const bool stale = ListAge(now) > kListStale;
  if (!m_is_coordinator && !stale)
    return;
  m_list_call_pending = true;
  m_next_list_call = now + kListInterval;
  m_actions.emplace_back(ReadServerList{});
}

void Coordination::OnServerList(TimePoint now,
                                TimePoint asked,
                                int64_t version,
                                ServerMap servers) {
  m_list_call_pending = false;
  NoteStoreAnswered(now);
  m_list_failures = 0;
  m_list_fresh_at = std::max(m_list_fresh_at, asked);
  if (version < m_list_version || (m_list_version > 0 && servers == *m_read)) {
    UpdateServers(now);
    return;
  }
  m_list_version = version;
  m_read = std::make_shared<const ServerMap>(std::move(servers));
  m_list_message.clear();
  UpdateServers(now);
  if (m_is_coordinator)
    SendBeats(now);
}

void Coordination::SetOrders(TimePoint now,
                             std::map<std::string, LayerRange> orders) {
  if (orders == m_orders)
    return;
  m_orders = std::move(orders);
  UpdateServers(now);
  if (m_is_coordinator)
    m_next_beat = TimePoint{};
}

void Coordination::OnLayersReported(TimePoint now,
                                    const std::string& server,
                                    LayerRange layers) {
  const auto known = m_servers->find(server);
  if (known == m_servers->end() || known->second.layers == layers)
    return;
  m_reported[server] = {layers, now + kReportedLife};
  UpdateServers(now);
  if (m_is_coordinator)
    m_next_beat = now;
}

void Coordination::UpdateServers(TimePoint now) {
  m_names->Update(*m_read);
  auto servers = std::make_shared<ServerMap>(*m_read);
  std::erase_if(m_reported, [&](const auto& entry) {
    const auto read = servers->find(entry.first);
    return read == servers->end() || entry.second.until <= now ||
           read->second.layers == entry.second.layers;
  });
  for (const auto& [id, reported] : m_reported)
    servers->at(id).layers = reported.layers;
  if (*servers != *m_servers)
    m_servers = servers;
  auto usable = std::make_shared<ServerMap>(*m_servers);
  for (const auto& [id, layers] : m_orders) {
    const auto server = usable->find(id);
    if (server == usable->end() || !server->second.layers)
      continue;
    LayerRange& held = *server->second.layers;
    held = {std::max(held.from, layers.from), std::min(held.to, layers.to)};
    if (held.size() <= 0)
      server->second.layers.reset();
  }
  if (*usable != *m_usable)
    m_usable = std::move(usable);
}

SendCounts Coordination::SendsElsewhere(TimePoint now) const {
  if (!m_is_coordinator)
    return m_sends_elsewhere;
  SendCounts sum;
  for (const auto& [ip, peer] : m_peers) {
    if (now - peer.heard > detail::kMemberSilence)
      continue;
    sum.requests += peer.sends.requests;
    sum.retries += peer.sends.retries;
  }
  return sum;
}

void Coordination::OnServerListFailed(TimePoint now) {
  m_list_call_pending = false;
  m_store_failing = true;
  m_list_failures = std::min(m_list_failures + 1, kMostBackoff);
  m_next_list_call = now + kListRetry * m_list_failures;
}

void Coordination::OnConfiguration(TimePoint now,
                                   int64_t version,
                                   std::string row) {
  m_config_version = version;
  m_config_message = detail::EncodeConfiguration({version, std::move(row)});
  // One that does not fit is read from the store by each instance.
  if (m_config_message.size() > detail::kMaxDatagramBytes)
    m_config_message.clear();
  if (!m_is_coordinator)
    return;
  for (const auto& [ip, peer] : m_peers)
    if (now - peer.heard <= detail::kMemberSilence)
      SendConfiguration(now, ip);
}

void Coordination::SendConfiguration(TimePoint now, const std::string& ip) {
  // Who does not hear it reads it when a beat names the version.
  if (!m_config_message.empty() && TakeLink(now, m_config_message.size()))
    m_actions.emplace_back(SendDatagram{ip, m_config_message});
}

void Coordination::OnConfigurationFailed(TimePoint now) {
  m_store_failing = true;
  m_next_config_call = now + kConfigRetry;
}

void Coordination::NoteConfigVersion(TimePoint now, int64_t version) {
  if (version <= m_config_version || now < m_next_config_call)
    return;
  m_next_config_call = now + kConfigRetry;
  m_actions.emplace_back(ReadConfiguration{});
}

void Coordination::Broadcast(TimePoint now, const std::string& bytes) {
  for (const ClusterMember& member : Members(now))
    if (member.ip != m_ip)
      m_actions.emplace_back(SendDatagram{member.ip, bytes});
}

std::vector<ClusterMember> Coordination::Members(TimePoint now) const {
  std::vector<ClusterMember> out;
  out.push_back({m_ip, m_data_center, m_accepting, m_cpu_milli});
  if (m_is_coordinator) {
    for (const auto& [ip, peer] : m_peers)
      if (now - peer.heard <= detail::kMemberSilence)
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
  if (m_is_coordinator) {
    for (const auto& [ip, peer] : m_peers)
      if (now - peer.heard <= detail::kMemberSilence)
        AddLoads(out, peer.loads, 1);
  } else {
    out = m_cluster_loads;
    AddLoads(out, m_loads_in_sum, -1);
    AddLoads(out, NotToldByOthers(), 1);
  }
  AddLoads(out, m_local_loads, 1);
  return out;
}

// What the other instances of this data center began since the last sum, if
// they did the same as this one.
LoadMap Coordination::NotToldByOthers() const {
  const auto others = std::count_if(
      m_members.begin(), m_members.end(), [&](const ClusterMember& member) {
        return member.ip != m_ip && member.accepting &&
               member.data_center == m_data_center;
      });
  LoadMap out;
  for (const auto& [server, load] : m_local_loads) {
    const auto told = m_loads_in_sum.find(server);
    const ServerLoad before =
        told == m_loads_in_sum.end() ? ServerLoad{} : told->second;
    const auto scale = static_cast<double>(others);
    if (load.sequences > before.sequences)
      out[server] = {
          std::max(0.0, load.token_layers - before.token_layers) * scale,
          static_cast<int>(others) * (load.sequences - before.sequences)};
  }
  return out;
}

void Coordination::SendReport(TimePoint now) {
  m_next_report = now + kReportInterval;
  detail::InstanceReport report;
  report.member = {m_ip, m_data_center, m_accepting, m_cpu_milli};
  report.incarnation = m_incarnation;
  report.config_version = m_config_version;
  report.list_version = m_list_version;
  report.loads = m_local_loads;
  m_reported_loads = m_local_loads;
  report.sends = m_local_sends;
  report.lost = Lost(now);
  m_reported_sends = m_local_sends;
  m_actions.emplace_back(
      SendDatagram{m_coordinator_ip, detail::EncodeReport(report, *m_names)});
}

void Coordination::SendBeats(TimePoint now) {
  const bool large = m_peers.size() > kLargeDeployment;
  m_next_beat = now + (large ? kLargeBeatInterval : kBeatInterval);
  detail::CoordinatorBeat beat;
  beat.fence = m_fence;
  beat.ip = m_ip;
  beat.config_version = m_config_version;
  beat.list_version = m_list_version;
  beat.list_age = ListAge(now);
  if (!large || ++m_beats % kMembersEvery == 0)
    beat.members = Members(now);
  beat.loads = Loads(now);
  for (const auto& [server, mark] : m_lost)
    if (mark.until > now &&
        Verdict(now, server, mark) != LossVerdict::kContradicted)
      beat.lost.insert(server);
  beat.orders = m_orders;
  for (const auto& [server, reported] : m_reported)
    beat.held[server] = reported.layers;
  beat.sends = SendsElsewhere(now);
  beat.sends.requests += m_local_sends.requests;
  beat.sends.retries += m_local_sends.retries;
  beat.store_reachable = now - m_store_answered < kStoreSilence;
  const std::string bytes = detail::EncodeBeat(beat, *m_names);
  for (auto& [ip, peer] : m_peers) {
    if (now - peer.heard > detail::kMemberSilence)
      continue;
    m_actions.emplace_back(SendDatagram{ip, bytes});
    if (peer.list_version < m_list_version)
      SendList(now, ip, peer);
  }
}

void Coordination::SendList(TimePoint now, const std::string& ip, Peer& peer) {
  if (peer.list_sent == m_list_version && now - peer.list_sent_at < kListResend)
    return;
  // Encoded once for all instances that are told at the same time.
  if (m_list_message.empty() || m_list_encoded_at != now) {
    m_list_encoded_at = now;
    m_list_message = detail::EncodeServerList(
        {m_fence, m_list_version, ListAge(now), *m_read});
  }
  const std::string& bytes = m_list_message;
  // An instance that does not get the list reads it from the store when its own
  // is too old.
  if (bytes.size() > detail::kMaxDatagramBytes || !TakeLink(now, bytes.size()))
    return;
  peer.list_sent = m_list_version;
  peer.list_sent_at = now;
  m_actions.emplace_back(SendDatagram{ip, bytes});
}

void Coordination::OnDatagram(TimePoint now, const std::string& bytes) {
  const auto message = detail::DecodeClusterMessage(bytes, *m_names);
  if (!message)
    return;
  std::visit(
      Overloaded{
          [&](const detail::InstanceReport& report) {
            if (!m_is_coordinator)
              return;
            Peer& peer = m_peers[report.member.ip];
            const bool behind = report.list_version < m_list_version;
            const bool is_new = peer.heard == TimePoint{};
            peer.member = report.member;
            peer.list_version = report.list_version;
            peer.heard = now;
            if (report.loads)
              peer.loads = *report.loads;
            peer.sends = report.sends;
            peer.lost = report.lost;
            if (is_new && behind)
              SendList(now, report.member.ip, peer);
            if (is_new && report.config_version < m_config_version)
              SendConfiguration(now, report.member.ip);
          },
          [&](const detail::CoordinatorBeat& beat) {
            if (beat.fence < m_fence || beat.ip == m_ip)
              return;
            if (beat.fence > m_fence || m_is_coordinator ||
                m_coordinator_ip != beat.ip) {
              LeaseRow row;
              row.fence = beat.fence;
              row.holder_ip = beat.ip;
              Follow(now, row);
            }
            m_coordinator_has_store = beat.store_reachable;
            if (beat.store_reachable)
              m_beat_heard = now;
            if (!beat.members.empty())
              m_members = beat.members;
            if (beat.loads) {
              m_cluster_loads = *beat.loads;
              m_loads_in_sum = m_reported_loads;
            }
            m_sends_elsewhere = {
                std::max(0, beat.sends.requests - m_reported_sends.requests),
                std::max(0, beat.sends.retries - m_reported_sends.retries)};
            SetOrders(now, beat.orders);
            m_reported.clear();
            for (const auto& [server, layers] : beat.held)
              m_reported[server] = {layers, now + kReportedLife};
            UpdateServers(now);
            HearDeploymentLost(now, beat.lost);
            // A list that is as new as the coordinator's is as fresh, too.
            if (m_list_version >= beat.list_version && m_list_version > 0)
              m_list_fresh_at = std::max(m_list_fresh_at, now - beat.list_age);
            NoteConfigVersion(now, beat.config_version);
          },
          [&](const detail::ServerListMessage& list) {
            if (list.version <= m_list_version)
              return;
            m_list_version = list.version;
            m_list_fresh_at = std::max(m_list_fresh_at, now - list.age);
            m_read = std::make_shared<const ServerMap>(list.servers);
            UpdateServers(now);
          },
          [&](const detail::RefusingServers& refusing) {
            for (const std::string& server : refusing.servers)
              m_refusing.Add(server, now);
          },
          [&](const detail::SlowServers& slow) {
            for (const auto& [server, pace] : slow.paces)
              HearOfPace(now, server, pace);
          },
          [&](const detail::ConfigurationMessage& configuration) {
            if (configuration.version > m_config_version)
              m_actions.emplace_back(AdoptConfiguration{configuration.row});
          },
          [&](const detail::LostServers& lost) {
            for (const std::string& server : lost.servers)
              HearOfLost(now, server);
          },
      },
      *message);
}

std::vector<CoordinationAction> Coordination::TakeActions() {
  return std::exchange(m_actions, {});
}

}  // namespace trefoilwick
