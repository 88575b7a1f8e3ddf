// Chains of an instance and the engines of the fault matrix.
#include <algorithm>

#include "fault_matrix_parts.h"

namespace trefoilwick::matrix {

void World::Reform(Node& node) {
  std::set<std::string> unavailable = node.health.Ejected(m_now);
  node.awaiting_check.insert(unavailable.begin(), unavailable.end());
  unavailable.insert(node.awaiting_check.begin(), node.awaiting_check.end());
  node.fleet =
      FormChains(m_list_version, node.servers, unavailable, node.fleet);
  AssignChains(node);
}

void World::AssignChains(Node& node) {
  std::vector<std::string> lost;
  for (const auto& [id, owned] : node.owned)
    if (!node.fleet.chains.contains(id))
      lost.push_back(id);
  for (const std::string& id : lost)
    ReleaseChain(node, id, "chain_lost");
  const auto chains = node.fleet.chains;
  for (const auto& [id, chain] : chains) {
    const bool mine =
        !node.leaving_since && ChainOwner(chain, node.live) == node.id;
    auto it = node.owned.find(id);
    if (mine && it == node.owned.end()) {
      const auto seed = static_cast<uint64_t>(node.incarnation);
      auto scheduler =
          ChainScheduler::Builder()
              .SchedulerId(static_cast<uint16_t>(StableHash(node.id, seed)))
              .Incarnation(static_cast<uint32_t>(
                  StableHash(node.id + "/" + id, seed + node.next_generation)))
              .InitialChain(chain)
              .Build(m_now);
      node.owned[id] = {node.next_generation++, std::move(*scheduler)};
      PumpChain(node, id);
    } else if (!mine && it != node.owned.end()) {
      ReleaseChain(node, id, "moved");
    } else if (mine && it->second.scheduler->chain().stages != chain.stages) {
      it->second.scheduler->SetChain(m_now, chain);
      PumpChain(node, id);
    }
  }
}

void World::ReleaseChain(Node& node,
                         const std::string& chain,
                         const char* reason) {
  auto it = node.owned.find(chain);
  if (it == node.owned.end())
    return;
  it->second.scheduler->Dissolve(m_now, reason);
  PumpChain(node, chain);
  node.owned.erase(chain);
}

void World::PumpChain(Node& node, const std::string& chain) {
  while (node.alive) {
    auto it = node.owned.find(chain);
    if (it == node.owned.end())
      return;
    std::vector<ChainAction> actions = it->second.scheduler->TakeActions();
    if (actions.empty())
      return;
    for (ChainAction& action : actions)
      if (node.owned.contains(chain))
        std::visit([&](auto& a) { Do(node, chain, a); }, action);
  }
}

std::optional<SubmitRefusal> World::Submit(Node& node,
                                           const std::string& chain,
                                           Submission submission) {
  auto it = node.owned.find(chain);
  if (it == node.owned.end())
    return SubmitRefusal{"no_chain", milliseconds(100)};
  const std::string request = submission.request;
  if (node.request_chain.contains(request))
    CancelAt(node, request);
  auto refusal = it->second.scheduler->Submit(m_now, std::move(submission));
  if (!refusal)
    node.request_chain[request] = chain;
  PumpChain(node, chain);
  return refusal;
}

void World::CancelAt(Node& node, const std::string& request) {
  auto it = node.request_chain.find(request);
  if (it == node.request_chain.end())
    return;
  const std::string chain = it->second;
  node.request_chain.erase(it);
  auto owned = node.owned.find(chain);
  if (owned == node.owned.end())
    return;
  owned->second.scheduler->Cancel(m_now, request);
  PumpChain(node, chain);
}

void World::ProbeEjected(Node& node) {
  const std::set<std::string> ejected = node.health.Ejected(m_now);
  for (const BackendServer& server : node.servers) {
    if (!node.awaiting_check.contains(server.id) || ejected.contains(server.id))
      continue;
    CallEngine(
        node, server, true, milliseconds(300), [](Engine&) {},
        [this, &node, id = server.id](std::optional<CallFailure> failure) {
          if (failure)
            node.health.OnCrash(m_now, id);
          else if (node.awaiting_check.erase(id) > 0)
            Reform(node);
        });
  }
}

void World::Do(Node& node, const std::string& chain, SendStep& step) {
  auto shared = std::make_shared<SendStep>(std::move(step));
  const uint64_t generation = node.owned.at(chain).generation;
  const TimePoint sent = m_now;
  auto refused = std::make_shared<uint64_t>(0);
  auto results = std::make_shared<std::vector<StepResultItem>>();
  const std::string name = node.id + "/" + std::to_string(generation) + "/" +
                           std::to_string(shared->step);
  CallEngine(
      node, shared->server, shared->fresh_connection,
      node.health.Deadline(shared->server.id),
      [this, &node, shared, refused, results, name](Engine& engine) {
        if (shared->epoch < engine.epoch) {
          *refused = engine.epoch;
          return;
        }
        if (!engine.results.contains(name)) {
          if (!RunStep(engine, *shared, node))
            return;
          std::vector<StepResultItem> ran;
          for (const StepItem& item : shared->items)
            ran.push_back(RunItem(engine, item));
          engine.results[name] = std::move(ran);
        }
        *results = engine.results[name];
      },
      [=, this, &node](std::optional<CallFailure> failure) {
        auto it = node.owned.find(chain);
        if (it == node.owned.end() || it->second.generation != generation)
          return;
        ChainScheduler& scheduler = *it->second.scheduler;
        if (failure) {
          scheduler.OnStepFailure(m_now, shared->step, *failure);
        } else if (*refused > 0) {
          scheduler.OnStepFailure(m_now, shared->step, CallFailure::kStaleEpoch,
                                  *refused);
        } else {
          node.health.OnSuccess(m_now, shared->server.id, m_now - sent);
          scheduler.OnStepReply(m_now, shared->step, *results);
        }
        PumpChain(node, chain);
      });
}

void World::Do(Node& node, const std::string& chain, SendClaim& claim) {
  if (m_now > TimePoint(seconds(7)))
    Reach(Step::kOrder, &node, claim.server.id);
  const uint64_t generation = node.owned.at(chain).generation;
  auto newest = std::make_shared<uint64_t>(0);
  CallEngine(
      node, claim.server, false, milliseconds(500),
      [claim, newest](Engine& engine) {
        const bool stale = claim.epoch < engine.epoch;
        if (stale)
          *newest = engine.epoch;
        else
          engine.epoch = claim.epoch;
      },
      [=, this, &node](std::optional<CallFailure> failure) {
        auto it = node.owned.find(chain);
        if (it == node.owned.end() || it->second.generation != generation)
          return;
        ChainScheduler& scheduler = *it->second.scheduler;
        if (failure)
          scheduler.OnClaimFailure(m_now, claim.claim, *failure);
        else if (*newest > 0)
          scheduler.OnClaimFailure(m_now, claim.claim, CallFailure::kStaleEpoch,
                                   *newest);
        else
          scheduler.OnClaimReply(m_now, claim.claim);
        PumpChain(node, chain);
      });
}

void World::Do(Node& node, const std::string& /*chain*/, SendRelease& release) {
  CallEngine(
      node, release.server, false, milliseconds(500),
      [requests = release.requests](Engine& engine) {
        for (const auto& key : requests)
          engine.kv.erase(key);
      },
      [](std::optional<CallFailure>) {});
}

void World::Do(Node& node,
               const std::string& /*chain*/,
               DeliverTokens& deliver) {
  Node::Outbox& outbox = node.outboxes[deliver.entry];
  for (TokenUpdate& update : deliver.updates) {
    if (update.state != UpdateState::kRunning)
      node.request_chain.erase(update.request);
    outbox.pending.push_back(std::move(update));
  }
  FlushDeliveries(node, deliver.entry);
}

void World::FlushDeliveries(Node& node, const std::string& entry) {
  Node::Outbox& outbox = node.outboxes[entry];
  if (outbox.in_flight || outbox.pending.empty())
    return;
  const auto view = node.members->View();
  if (std::none_of(view.begin(), view.end(),
                   [&](const Member& m) { return m.id == entry; })) {
    outbox.pending.clear();
    for (auto& [id, owned] : node.owned)
      owned.scheduler->CancelEntry(m_now, entry);
    return;
  }
  outbox.in_flight = true;
  auto sent = std::make_shared<std::vector<TokenUpdate>>(
      std::exchange(outbox.pending, {}));
  using Disowned = std::vector<std::string>;
  Rpc<Disowned>(
      node, entry, outbox.fresh, milliseconds(500),
      [this, id = node.id, sent](Node& target) {
        Disowned disowned = target.requests->OnDeliver(m_now, id, *sent);
        PumpRequests(target);
        return disowned;
      },
      [this, &node, entry, sent](const std::optional<Disowned>& reply, bool) {
        Node::Outbox& box = node.outboxes[entry];
        box.in_flight = false;
        box.fresh = !reply;
        if (reply) {
          for (const std::string& request : *reply)
            CancelAt(node, request);
          FlushDeliveries(node, entry);
          return;
        }
        box.pending.insert(box.pending.begin(), sent->begin(), sent->end());
        AtNode(node, milliseconds(100),
               [this, &node, entry] { FlushDeliveries(node, entry); });
      });
}

void World::Do(Node& node,
               const std::string& /*chain*/,
               ReportFailure& report) {
  if (report.failure != CallFailure::kStaleEpoch)
    node.health.OnFailure(m_now, report.server);
}

void World::Do(Node& node,
               const std::string& /*chain*/,
               ReportCrasher& report) {
  if (m_plant == Plant::kNoQuarantine)
    return;
  const int64_t now = m_clock.UnixMillis();
  node.quarantine.Add(now, report.fingerprint);
  // Like the daemon: every member is told at once. The daemon also holds the
  // outcome back until they answered, which this adapter does not need to.
  for (auto& other : m_nodes) {
    if (other->id == node.id)
      continue;
    Rpc<bool>(
        node, other->id, false, milliseconds(300),
        [now, print = report.fingerprint](Node& target) {
          target.quarantine.Add(now, print);
          return true;
        },
        [](const std::optional<bool>&, bool) {});
  }
}

void World::Do(Node& node, const std::string& /*chain*/, NeedStage& need) {
  node.health.OnCrash(m_now, need.failed_server);
  node.awaiting_check.insert(need.failed_server);
  AtNode(node, Duration(0), [this, &node] { Reform(node); });
}

BackendServer World::ServerOf(const std::string& id) const {
  return m_engines.at(id)->server;
}

void World::AddEngine(const std::string& id, int stage) {
  auto engine = std::make_unique<Engine>();
  BackendServer& server = engine->server;
  server.id = id;
  server.model = kModel;
  server.data_center = "d";
  server.layers = {stage * kStageLayers, (stage + 1) * kStageLayers};
  server.model_layers = kStages * kStageLayers;
  server.accelerator = "x";
  server.speed = 100;
  engine->stage = stage;
  InstanceRecord record;
  record.id = id;
  record.role = "engine";
  m_records.push_back(record);
  m_engines[id] = std::move(engine);
}

void World::CallEngine(Node& node,
                       const BackendServer& server,
                       bool fresh,
                       Duration deadline,
                       const EngineTask& serve,
                       const EngineDone& done) {
  auto finished = std::make_shared<bool>(false);
  auto finish = [finished, done](std::optional<CallFailure> failure) {
    if (!std::exchange(*finished, true))
      done(failure);
  };
  AtNode(node, deadline, [finish] { finish(CallFailure::kLost); });
  if (fresh)
    m_silent.erase({node.id, server.id});
  if (m_silent.contains({node.id, server.id}))
    return;
  Engine& engine = *m_engines.at(server.id);
  const auto slow = [this, &engine] {
    return m_now < engine.slow_until ? milliseconds(350) : milliseconds(0);
  };
  const auto dropped = [this, &engine] {
    return m_now < engine.drops_until && ++engine.arrivals % 3 == 0;
  };
  auto arrive = std::make_shared<Task>();
  const std::weak_ptr<Task> again = arrive;
  *arrive = [this, &node, &engine, serve, finish, slow, dropped, again] {
    if (engine.alive && engine.frozen_until > m_now) {
      At(engine.frozen_until - m_now, [self = again.lock()] { (*self)(); });
      return;
    }
    if (engine.alive)
      serve(engine);
    if (!engine.alive) {
      AtNode(node, kHop, [finish] { finish(CallFailure::kCrashed); });
      return;
    }
    // A server frozen in the middle answers when it resumes.
    const Duration frozen =
        std::max(Duration(0), Duration(engine.frozen_until - m_now));
    if (!dropped())
      AtNode(node, 4 * kHop + slow() + frozen,
             [finish] { finish(std::nullopt); });
  };
  if (!dropped())
    At(kHop + slow(), [arrive] { (*arrive)(); });
}

// Reaches the steps of the scenario; returns whether the engine still runs.
bool World::RunStep(Engine& engine, const SendStep& step, Node& node) {
  for (const StepItem& item : step.items) {
    if (m_poison_requests.contains(item.request) && engine.alive &&
        item.position == 0 && engine.stage == static_cast<int>(m_seed % 2)) {
      checker.OnServerLost(Fingerprint(kModel, "poison"));
      CrashEngine(engine.server.id);
    }
    Node* owner = Find(m_owner[item.request]);
    Node* actor = owner && m_seed % 3 == 0 ? owner : &node;
    if (item.position == 0)
      Reach(Step::kPrefill, actor, engine.server.id);
    else if (item.position > 5)
      Reach(Step::kMidStream, actor, engine.server.id);
    if (item.position > 10)
      Reach(Step::kFinish, actor, engine.server.id);
  }
  return engine.alive;
}

StepResultItem World::RunItem(Engine& engine, const StepItem& item) {
  StepResultItem result{item.request, item.lineage, {}, {}, {}};
  const std::pair key{item.request, item.lineage};
  auto known = engine.kv.find(key);
  if (item.position != (known == engine.kv.end() ? 0 : known->second.first)) {
    result.error = "no_kv";
    return result;
  }
  checker.OnLayers(item.request, item.lineage, engine.stage, item.position,
                   item.count);
  if (m_plant == Plant::kRepeatLayers && item.position > 0)
    checker.OnLayers(item.request, item.lineage, engine.stage, item.position,
                     item.count);
  auto& [position, hash] = engine.kv[key];
  position += item.count;
  if (engine.stage == 0) {
    if (item.position == 0)
      hash = StableHash(item.account);
    for (const std::string& word : item.input)
      hash = StableHash(word, hash);
    result.activation = std::to_string(hash);
  } else {
    result.activation =
        std::to_string(StableHash("stage", std::stoull(item.activation)));
  }
  if (engine.stage + 1 == kStages && item.sample)
    result.token =
        "t" + std::to_string(std::stoull(result.activation) % 1'000'000'007);
  return result;
}

}  // namespace trefoilwick::matrix
