#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "control_host.h"
#include "runtime.h"

namespace trefoilwick::detail {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::milliseconds kInstanceListInterval{1000};
constexpr std::chrono::milliseconds kQuarantinePublishInterval{1000};
constexpr std::chrono::milliseconds kProbeTimeout{300};
constexpr std::chrono::milliseconds kTableChangesTimeout{1000};
constexpr std::chrono::milliseconds kUsageInterval{2000};
// Maximum number of accounts in the report of one instance; the other accounts
// get an equal share.
constexpr size_t kMaxDemandAccounts = 256;
// Peer name under which the limiter keeps the sums of all aggregators.
constexpr char kUsagePeer[] = "usage";
constexpr char kQuarantineTopic[] = "quarantine";

Member SelfMember(const Runtime& runtime) {
  Member self;
  self.id = runtime.settings.id;
  self.incarnation = runtime.incarnation;
  self.state = MemberState::kLive;
  self.data_center = runtime.settings.data_center;
  self.address = runtime.settings.address;
  self.peer_address = runtime.settings.peer_address;
  return self;
}

ListedServer ToServer(const InstanceRecord& record) {
  ListedServer server;
  server.id = record.id;
  server.role =
      record.role == "service" ? ServerRole::kService : ServerRole::kEngine;
  server.data_center = record.data_center;
  server.address = record.address;
  server.leaving = record.state == InstanceState::kLeaving;
  server.model = record.model;
  server.layers = {record.first_layer, record.end_layer};
  server.model_layers = record.model_layers;
  server.accelerator = record.accelerator;
  server.speed = record.speed;
  server.checks_epochs = record.checks_epochs;
  server.service = record.service;
  return server;
}

}  // namespace

ControlHost::ControlHost(Runtime& runtime)
    : m_runtime(runtime),
      m_membership(SelfMember(runtime),
                   MembershipOptions(),
                   StableHash(runtime.settings.id,
                              static_cast<uint64_t>(runtime.incarnation))),
      m_config_sync(StableHash(runtime.settings.id + "/config",
                               static_cast<uint64_t>(runtime.incarnation))) {
  PublishMembers();
}

void ControlHost::Start() {
  EventLoop& loop = m_runtime.control_loop;
  loop.Post([this] { PollInstanceList(); });
  loop.PostEvery(kTickInterval, [this] { OnTick(); });
  loop.PostEvery(kInstanceListInterval, [this] { PollInstanceList(); });
  loop.PostEvery(kQuarantinePublishInterval, [this] { PublishQuarantine(); });
  loop.PostEvery(kUsageInterval, [this] { ExchangeUsage(); });
}

void ControlHost::OnTick() {
  const TimePoint now = m_runtime.clock.Now();
  m_membership.OnTick(now);
  m_config_sync.OnTick(now);
  ProcessActions();
}

void ControlHost::PollInstanceList() {
  // One request at a time, so that a slow list service is not overloaded.
  if (m_list_request_pending)
    return;
  m_list_request_pending = m_runtime.store_pool.TryPost([this] {
    auto listing = m_runtime.instance_list->List();
    m_runtime.control_loop.Post([this, listing = std::move(listing)] {
      m_list_request_pending = false;
      if (listing.ok())
        OnInstanceListing(*listing);
    });
  });
}

void ControlHost::OnInstanceListing(const InstanceListing& listing) {
  std::vector<InstanceRecord> entries;
  std::vector<ListedServer> servers;
  for (const InstanceRecord& record : listing.instances) {
    if (record.role == "entry")
      entries.push_back(record);
    else
      servers.push_back(ToServer(record));
  }
  m_membership.OnInstanceList(m_runtime.clock.Now(), entries);
  m_runtime.chain_loop.Post([this, version = listing.version,
                             servers = std::move(servers)]() mutable {
    m_runtime.chains->OnServerList(version, std::move(servers));
  });
  ProcessActions();
}

std::vector<UsageSum> ControlHost::OnUsageReport(
    const std::string& instance,
    const std::vector<AccountDemand>& report) {
  return m_aggregator.OnReport(m_runtime.clock.Now(), instance, report);
}

void ControlHost::ExchangeUsage() {
  const TimePoint now = m_runtime.clock.Now();
  const auto members = m_runtime.members.Load();
  std::vector<std::string> live_members;
  for (const SchedulerCandidate& candidate : members->schedulers)
    live_members.push_back(candidate.id);
  const std::vector<AccountDemand> own =
      m_runtime.limiter.LocalDemand(now, kMaxDemandAccounts);
  for (auto& [aggregator, report] :
       m_usage.ReportsByAggregator(own, live_members)) {
    if (aggregator == m_runtime.settings.id) {
      m_usage.OnUsageSums(now, OnUsageReport(aggregator, report));
      continue;
    }
    const Member* member = members->Find(aggregator);
    if (!member)
      continue;
    const PeerCallOptions call{member->peer_address, kProbeTimeout, false};
    [[maybe_unused]] const bool posted =
        m_runtime.peer_pool.TryPost([this, call, rows = std::move(report)] {
          auto sums =
              m_runtime.peers.ReportUsage(call, m_runtime.settings.id, rows);
          if (!sums.ok())
            return;
          m_runtime.control_loop.Post([this, sums = std::move(*sums)] {
            m_usage.OnUsageSums(m_runtime.clock.Now(), sums);
          });
        });
  }
  m_runtime.limiter.OnPeerDemand(
      now, kUsagePeer,
      m_usage.OtherInstancesDemand(now, own, live_members.size()));
}

void ControlHost::PublishQuarantine() {
  const TimePoint now = m_runtime.clock.Now();
  json list = json::array();
  {
    std::lock_guard lock(m_runtime.quarantine_mutex);
    for (const auto& [fingerprint, expires] :
         m_runtime.quarantine.List(m_runtime.clock.UnixMillis()))
      list.push_back({fingerprint, expires});
  }
  std::string quarantine = list.dump();
  if (quarantine != m_last_published_quarantine &&
      !(m_last_published_quarantine.empty() && list.empty())) {
    m_last_published_quarantine = quarantine;
    m_membership.Publish(now, kQuarantineTopic, std::move(quarantine));
  }
  ProcessActions();
}

std::string ControlHost::OnProbe(const std::string& gossip) {
  auto message = DecodeGossip(gossip);
  if (!message.ok())
    return "";
  const GossipMessage reply =
      m_membership.OnProbe(m_runtime.clock.Now(), *message);
  ProcessActions();
  return EncodeGossip(reply);
}

void ControlHost::OnCommitted(const Table& table) {
  m_config_sync.OnCommitted(m_runtime.clock.Now(), table);
  ProcessActions();
}

void ControlHost::LeaveCluster() {
  m_membership.Leave(m_runtime.clock.Now());
  PublishMembers();
  ProcessActions();
}

void ControlHost::ProcessActions() {
  ProcessConfigSyncActions();
  ProcessMembershipActions();
}

void ControlHost::ProcessMembershipActions() {
  for (MembershipAction& action : m_membership.TakeActions()) {
    std::visit(
        Overloaded{
            [&](SendProbe& probe) { Probe(probe); },
            [&](SendIndirectProbe& probe) { ProbeVia(probe); },
            [&](MemberChanged& change) { OnMemberChanged(change.member); },
            [&](ItemReceived& received) { OnGossipItem(received.item); },
        },
        action);
  }
}

void ControlHost::OnProbeResponse(uint64_t probe,
                                  const absl::StatusOr<std::string>& reply) {
  m_runtime.control_loop.Post([this, probe, reply] {
    const TimePoint now = m_runtime.clock.Now();
    auto decoded = reply.ok() ? DecodeGossip(*reply)
                              : absl::StatusOr<GossipMessage>(reply.status());
    if (decoded.ok())
      m_membership.OnProbeReply(now, probe, *decoded);
    else
      m_membership.OnProbeFailure(now, probe);
    ProcessActions();
  });
}

void ControlHost::Probe(const SendProbe& probe) {
  const PeerCallOptions call{probe.target.peer_address, kProbeTimeout,
                             probe.fresh_connection};
  const uint64_t id = probe.probe_id;
  const bool posted = m_runtime.peer_pool.TryPost(
      [this, call, id, message = EncodeGossip(probe.message)] {
        OnProbeResponse(id, m_runtime.peers.Probe(call, message));
      });
  if (!posted)
    m_membership.OnProbeFailure(m_runtime.clock.Now(), id);
}

void ControlHost::ProbeVia(const SendIndirectProbe& probe) {
  const PeerCallOptions call{probe.via.peer_address, 2 * kProbeTimeout, false};
  const uint64_t id = probe.probe_id;
  [[maybe_unused]] const bool posted = m_runtime.peer_pool.TryPost(
      [this, call, id, target = probe.target.peer_address,
       message = EncodeGossip(probe.message)] {
        OnProbeResponse(id, m_runtime.peers.ProbeVia(call, target, message));
      });
}

void ControlHost::OnMemberChanged(const Member& member) {
  LogStateChange("membership", "member_changed",
                 {{"member", member.id},
                  {"state", std::string(kMemberStateNames.Name(member.state))},
                  {"incarnation", std::to_string(member.incarnation)}});
  PublishMembers();
  if (member.state == MemberState::kGone) {
    m_runtime.entry_loop.Post(
        [this, id = member.id] { m_runtime.entry->OnSchedulerLost(id); });
    m_runtime.chain_loop.Post(
        [this, id = member.id] { m_runtime.chains->OnEntryGone(id); });
  }
}

void ControlHost::PublishMembers() {
  auto view = std::make_shared<MembersView>();
  for (const Member& member : m_membership.View())
    view->members.emplace(member.id, member);
  for (const Member& member : m_membership.UsableMembers())
    view->schedulers.push_back({member.id, member.data_center});
  m_runtime.limiter.SetLiveInstances(
      std::max<int>(1, static_cast<int>(view->schedulers.size())));
  m_runtime.chain_loop.Post([this, live_members = view->schedulers] {
    if (m_runtime.chains)
      m_runtime.chains->OnSchedulerCandidates(live_members);
  });
  m_runtime.members.Store(std::move(view));
}

void ControlHost::OnGossipItem(const GossipItem& item) {
  if (item.topic == kQuarantineTopic) {
    const json list = json::parse(item.payload, nullptr, false);
    if (!list.is_array())
      return;
    std::lock_guard lock(m_runtime.quarantine_mutex);
    for (const json& entry : list) {
      if (entry.is_array() && entry.size() == 2 && entry[0].is_number() &&
          entry[1].is_number())
        m_runtime.quarantine.Merge(entry[0].get<uint64_t>(),
                                   entry[1].get<int64_t>());
    }
  }
}

void ControlHost::ProcessConfigSyncActions() {
  const TimePoint now = m_runtime.clock.Now();
  for (const Member& member : m_membership.View()) {
    if (member.id != m_runtime.settings.id && member.table_version > 0)
      m_config_sync.OnPeerVersion(now, member.id, member.table_version);
  }
  for (ConfigSyncAction& action : m_config_sync.TakeActions()) {
    std::visit(
        Overloaded{
            [&](ReadHead&) { FetchHeadVersion(); },
            [&](FetchChanges& fetch) { FetchChangesFromStore(fetch.after); },
            [&](FetchSnapshot&) { FetchTableSnapshot(); },
            [&](FetchFromPeer& fetch) { FetchChangesFromPeer(fetch); },
            [&](InstallTable& install) {
              const int64_t version = install.table->version();
              LogStateChange("table", "installed",
                             {{"version", std::to_string(version)}});
              m_runtime.metrics.GetGauge("trefoilwick_table_version")
                  .Set(static_cast<double>(version));
              m_runtime.table.Store(install.table);
              m_membership.SetTableVersion(version);
            },
        },
        action);
  }
}

void ControlHost::FetchHeadVersion() {
  const bool posted = m_runtime.store_pool.TryPost([this] {
    auto head = trefoilwick::ReadHeadVersion(*m_runtime.store);
    m_runtime.control_loop.Post([this, head = std::move(head)] {
      m_config_sync.OnHead(m_runtime.clock.Now(), head);
      ProcessActions();
    });
  });
  if (!posted)
    m_config_sync.OnHead(m_runtime.clock.Now(),
                         MakeStatus(absl::StatusCode::kUnavailable, "busy"));
}

void ControlHost::FetchChangesFromStore(int64_t after) {
  const auto report = [this,
                       after](absl::StatusOr<std::vector<TableDelta>> deltas) {
    m_runtime.control_loop.Post([this, after, deltas = std::move(deltas)] {
      m_config_sync.OnChanges(m_runtime.clock.Now(), after, deltas);
      ProcessActions();
    });
  };
  const bool posted = m_runtime.store_pool.TryPost([this, after, report] {
    auto changes = ReadChanges(*m_runtime.store, after, kChangesPageSize);
    if (!changes.ok()) {
      report(changes.status());
      return;
    }
    std::vector<TableDelta> deltas;
    for (ConfigChange& change : *changes)
      deltas.push_back(std::move(change.delta));
    report(std::move(deltas));
  });
  if (!posted)
    report(MakeStatus(absl::StatusCode::kUnavailable, "busy"));
}

void ControlHost::FetchTableSnapshot() {
  const auto report = [this](absl::StatusOr<Table> table) {
    m_runtime.control_loop.Post([this, table = std::move(table)] {
      m_config_sync.OnSnapshot(m_runtime.clock.Now(), table);
      ProcessActions();
    });
  };
  const bool posted = m_runtime.store_pool.TryPost([this, report] {
    report(LoadTable(*m_runtime.store, *m_runtime.objects));
  });
  if (!posted)
    report(MakeStatus(absl::StatusCode::kUnavailable, "busy"));
}

void ControlHost::FetchChangesFromPeer(const FetchFromPeer& fetch) {
  const auto members = m_runtime.members.Load();
  const Member* member = members->Find(fetch.peer);
  const auto report_changes =
      [this, fetch](absl::StatusOr<std::vector<TableDelta>> deltas) {
        m_runtime.control_loop.Post([this, fetch, deltas = std::move(deltas)] {
          m_config_sync.OnChanges(m_runtime.clock.Now(), fetch.after, deltas);
          ProcessActions();
        });
      };
  if (!member) {
    report_changes(MakeStatus(absl::StatusCode::kUnavailable,
                              "peer is not a member any more"));
    return;
  }
  const PeerCallOptions call{member->peer_address, kTableChangesTimeout, false};
  const bool posted =
      m_runtime.peer_pool.TryPost([this, call, fetch, report_changes] {
        auto reply = m_runtime.peers.FetchTableChanges(call, fetch.after);
        if (!reply.ok()) {
          report_changes(reply.status());
          return;
        }
        if (!reply->snapshot.empty()) {
          auto table = DecodeTable(reply->snapshot);
          m_runtime.control_loop.Post([this, table = std::move(table)] {
            m_config_sync.OnSnapshot(m_runtime.clock.Now(), table);
            ProcessActions();
          });
          return;
        }
        std::vector<TableDelta> deltas;
        for (const std::string& bytes : reply->changes) {
          auto delta = DecodeDelta(bytes);
          if (!delta.ok())
            break;
          deltas.push_back(std::move(*delta));
        }
        report_changes(std::move(deltas));
      });
  if (!posted)
    report_changes(MakeStatus(absl::StatusCode::kUnavailable, "busy"));
}

PeerTableChanges ControlHost::OnFetchTableChanges(int64_t after) {
  PeerTableChanges reply;
  const auto table = m_config_sync.table();
  if (!table)
    return reply;
  reply.head_version = table->version();
  if (after >= reply.head_version)
    return reply;
  const auto recent = m_config_sync.RecentDeltasSince(after);
  if (!recent) {
    reply.snapshot = EncodeTable(*table);
    return reply;
  }
  for (const TableDelta& delta : *recent)
    reply.changes.push_back(EncodeDelta(delta));
  return reply;
}

}  // namespace trefoilwick::detail
