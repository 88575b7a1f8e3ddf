// Membership, table propagation and leaving of an instance of the fault matrix.
#include <algorithm>
#include <sstream>

#include "fault_matrix_parts.h"

namespace trefoilwick::matrix {

World::Node& World::StartNode(const std::string& id) {
  m_nodes.push_back(std::make_unique<Node>());
  Node& node = *m_nodes.back();
  node.id = id;
  node.started = m_now;
  node.incarnation = m_clock.UnixMillis() * 1000;
  const auto seed = StableHash(id, m_seed);
  Member self;
  self.id = id;
  self.incarnation = node.incarnation;
  self.state = MemberState::kLive;
  self.data_center = "d";
  self.address = id + ":80";
  self.peer_address = id + ":81";
  node.members = std::make_unique<Membership>(self, MembershipOptions{}, seed);
  node.spread = std::make_unique<ConfigSpread>(seed);
  node.batches = std::make_unique<BatchRunner>(m_clock, m_store, m_store, id);
  node.requests = std::make_unique<EntryRequests>(
      id, node.incarnation, EntryOptions{},
      [&node](const RouteQuery& query) -> std::optional<Route> {
        std::vector<const Chain*> chains;
        for (const auto& [chain_id, chain] : node.fleet.chains)
          if (!query.excluded.contains(chain_id))
            chains.push_back(&chain);
        if (chains.empty())
          return std::nullopt;
        const Chain& chain = *chains[node.next_chain++ % chains.size()];
        Route route{chain.id, ChainOwner(chain, node.live)};
        if (route.scheduler.empty())
          return std::nullopt;
        return route;
      });
  InstanceRecord record;
  record.id = id;
  record.role = "entry";
  record.data_center = "d";
  m_records.push_back(record);
  PollList(node);
  TickControl(node);
  return node;
}

void World::TickControl(Node& node) {
  node.members->OnTick(m_now);
  PumpMembers(node);
  node.spread->OnTick(m_now);
  PumpSpread(node);
  std::vector<std::string> chains;
  for (auto& [id, owned] : node.owned) {
    owned.scheduler->OnTick(m_now);
    chains.push_back(id);
  }
  for (const std::string& id : chains)
    PumpChain(node, id);
  node.requests->OnTick(m_now);
  PumpRequests(node);
  if (node.leaving_since)
    TickLeaving(node);
  AtNode(node, milliseconds(50), [this, &node] { TickControl(node); });
}

// Reads the platform's list and does the other work of every second.
void World::PollList(Node& node) {
  if (m_now >= m_list_lags_until)
    m_listed = m_records;
  std::vector<InstanceRecord> entries;
  node.servers.clear();
  for (const InstanceRecord& record : m_listed) {
    if (record.role == "entry")
      entries.push_back(record);
    else
      node.servers.push_back(ServerOf(record.id));
  }
  node.members->OnInstanceList(m_now, entries);
  node.health.SetServers(node.servers);
  PumpMembers(node);
  Reform(node);
  ProbeEjected(node);
  std::string quarantine;
  for (const auto& [print, expiry] : node.quarantine.List(m_clock.UnixMillis()))
    quarantine += std::to_string(print) + " " + std::to_string(expiry) + " ";
  if (quarantine != node.published_quarantine) {
    node.published_quarantine = quarantine;
    node.members->Publish(m_now, kQuarantineTopic, quarantine);
  }
  AtNode(node, Duration(0), [this, &node] { PollBatches(node); });
  AtNode(node, seconds(1), [this, &node] { PollList(node); });
}

void World::PumpMembers(Node& node) {
  for (MembershipAction& action : node.members->TakeActions())
    std::visit([&](auto& a) { Do(node, a); }, action);
}

void World::Do(Node& node, SendProbe& probe) {
  const auto bytes = EncodeGossip(probe.message);
  Rpc<std::string>(
      node, probe.target.id, probe.fresh_connection, milliseconds(300),
      [this, bytes](Node& target) {
        auto reply = target.members->OnProbe(m_now, *DecodeGossip(bytes));
        PumpMembers(target);
        return EncodeGossip(reply);
      },
      [this, &node, id = probe.probe](const std::optional<std::string>& reply,
                                      bool) {
        if (reply)
          node.members->OnProbeReply(m_now, id, *DecodeGossip(*reply));
        else
          node.members->OnProbeFailure(m_now, id);
        PumpMembers(node);
      });
}

void World::Do(Node& node, SendIndirectProbe& probe) {
  const auto message = probe.message;
  const std::string target_id = probe.target.id;
  Rpc<std::string>(
      node, probe.via.id, false, milliseconds(600),
      [this, message, target_id](Node& via) {
        Node* target = Find(target_id);
        if (!target || !target->alive || target->frozen_until > m_now ||
            !LinkUp(via.id, target_id) || !LinkUp(target_id, via.id))
          return std::string();
        auto reply = target->members->OnProbe(m_now, message);
        PumpMembers(*target);
        return EncodeGossip(reply);
      },
      [this, &node, id = probe.probe](const std::optional<std::string>& reply,
                                      bool) {
        if (reply && !reply->empty())
          node.members->OnProbeReply(m_now, id, *DecodeGossip(*reply));
        else
          node.members->OnProbeFailure(m_now, id);
        PumpMembers(node);
      });
}

void World::Do(Node& node, const MemberChanged& change) {
  OnMember(node, change.member);
}

void World::OnMember(Node& node, const Member& member) {
  node.live.clear();
  for (const Member& usable : node.members->Usable())
    node.live.push_back({usable.id, usable.data_center});
  AssignChains(node);
  if (member.state != MemberState::kGone)
    return;
  node.requests->OnSchedulerLost(m_now, member.id);
  std::vector<std::string> chains;
  for (auto& [id, owned] : node.owned) {
    owned.scheduler->CancelEntry(m_now, member.id);
    chains.push_back(id);
  }
  for (const std::string& id : chains)
    PumpChain(node, id);
}

void World::Do(Node& node, const ItemReceived& received) {
  std::istringstream in(received.item.payload);
  uint64_t print = 0;
  int64_t expiry = 0;
  while (in >> print >> expiry)
    node.quarantine.Merge(print, expiry);
}

void World::PumpSpread(Node& node) {
  for (const Member& member : node.members->View())
    if (member.id != node.id && member.table_version > 0)
      node.spread->OnPeerVersion(m_now, member.id, member.table_version);
  for (SpreadAction& action : node.spread->TakeActions())
    std::visit([&](auto& a) { Do(node, a); }, action);
}

void World::Do(Node& node, const ReadHead&) {
  FromStore(node, [this, &node]() -> Task {
    auto head = ReadHeadVersion(m_store);
    return [this, &node, head] {
      node.spread->OnHead(m_now, head);
      PumpSpread(node);
    };
  });
}

void World::Do(Node& node, const FetchChanges& fetch) {
  if (m_newest_edit > 0)
    Reach(Step::kTableSpread, &node);
  FromStore(node, [this, &node, after = fetch.after]() -> Task {
    auto changes = ReadChanges(m_store, after, kChangesPage);
    absl::StatusOr<std::vector<TableDelta>> deltas = std::vector<TableDelta>();
    if (!changes.ok())
      deltas = changes.status();
    else
      for (ConfigChange& change : *changes)
        deltas->push_back(std::move(change.delta));
    return [this, &node, after, deltas] {
      node.spread->OnChanges(m_now, after, deltas);
      PumpSpread(node);
    };
  });
}

void World::Do(Node& node, const FetchSnapshot&) {
  FromStore(node, [this, &node]() -> Task {
    auto table = LoadTable(m_store, m_store);
    return [this, &node, table] {
      node.spread->OnSnapshot(m_now, table);
      PumpSpread(node);
    };
  });
}

void World::Do(Node& node, const FetchFromPeer& fetch) {
  struct Reply {
    std::optional<std::vector<TableDelta>> deltas;
    std::shared_ptr<const Table> table;
  };
  Rpc<Reply>(
      node, fetch.peer, false, seconds(1),
      [after = fetch.after](Node& peer) {
        return Reply{peer.spread->RecentSince(after), peer.spread->table()};
      },
      [this, &node, after = fetch.after](const std::optional<Reply>& reply,
                                         bool) {
        if (reply && !reply->deltas && reply->table)
          node.spread->OnSnapshot(m_now, *reply->table);
        else if (reply && reply->deltas)
          node.spread->OnChanges(m_now, after, *reply->deltas);
        else
          node.spread->OnChanges(
              m_now, after,
              MakeStatus(absl::StatusCode::kUnavailable, "no peer"));
        PumpSpread(node);
      });
}

void World::Do(Node& node, const InstallTable& install) {
  const int64_t version = install.table->version();
  checker.OnTable(node.id, version);
  if (m_plant == Plant::kRevertTable && version > 1)
    checker.OnTable(node.id, version - 1);
  node.members->SetTableVersion(version);
}

void World::StartLeaving(Node& node) {
  Reach(Step::kLeave, &node);
  if (!node.alive || node.frozen_until > m_now) {
    AtNode(node, Duration(0), [this, &node] { StartLeaving(node); });
    return;
  }
  node.leaving_since = m_now;
  node.members->Leave(m_now);
  OnMember(node, node.members->self());
  for (InstanceRecord& record : m_records)
    if (record.id == node.id)
      record.state = InstanceState::kLeaving;
  if (m_plant != Plant::kStopAtOnce)
    return;
  node.requests->Abort(m_now);
  PumpRequests(node);
}

bool World::RefusesWork(const Node& node) const {
  return node.leaving_since && m_now - *node.leaving_since > kEntriesMaxAge &&
         m_plant != Plant::kServeWhileLeaving;
}

// The process ends once everything it owns has its outcome.
void World::TickLeaving(Node& node) {
  if (m_now - *node.leaving_since <= kEntriesMaxAge ||
      m_plant == Plant::kServeWhileLeaving)
    return;
  if (!node.batches_stopped && !node.polling && node.batch_items.empty()) {
    node.batches_stopped = true;
    Node* before = std::exchange(m_actor, &node);
    (void)node.batches->Stop();
    m_actor = before;
  }
  const bool delivering = std::any_of(
      node.outboxes.begin(), node.outboxes.end(), [](const auto& item) {
        return item.second.in_flight || !item.second.pending.empty();
      });
  const bool calling = std::any_of(
      m_calls.begin(), m_calls.end(),
      [&](const auto& run) { return run->node == &node && !run->answered; });
  if (node.requests->active() > 0 || delivering || calling ||
      !node.batches_stopped)
    return;
  node.alive = false;
  node.exited = true;
  At(kUnlistAfter, [this, id = node.id] {
    std::erase_if(m_records,
                  [&](const InstanceRecord& r) { return r.id == id; });
  });
}

}  // namespace trefoilwick::matrix
