#include <algorithm>
#include <functional>
#include <utility>

#include "chain_host.h"

namespace trefoilwick::detail {

namespace {

constexpr std::chrono::milliseconds kTickInterval{10};
constexpr std::chrono::milliseconds kHealthCheckInterval{500};
constexpr std::chrono::milliseconds kClaimTimeout{500};
constexpr std::chrono::milliseconds kHealthCheckTimeout{300};

std::string AddressOf(const ListedServer& server) {
  return server.address;
}

}  // namespace

ChainHost::ChainHost(ChainHostConfig config,
                     EventLoop& loop,
                     BackendHttpClient& http_client,
                     Metrics& metrics,
                     const RcuCell<Table>& table,
                     RcuCell<FleetView>& fleet)
    : m_config(std::move(config)),
      m_loop(loop),
      m_http_client(http_client),
      m_table(table),
      m_fleet(fleet),
      m_scheduler_id(static_cast<uint16_t>(
          StableHash(m_config.id,
                     static_cast<uint64_t>(m_config.incarnation)))),
      m_steps(metrics.GetCounter("trefoilwick_steps_total")),
      m_step_items(metrics.GetCounter("trefoilwick_step_items_total")),
      m_failures(metrics.GetCounter("trefoilwick_step_failures_total")),
      m_chains_acquired(
          metrics.GetCounter("trefoilwick_chains_acquired_total")),
      m_refusals(metrics.GetCounter("trefoilwick_scheduler_refusals_total")),
      m_step_time(metrics.GetHistogram("trefoilwick_step_seconds")) {
  m_fleet.Store(std::make_shared<FleetView>());
}

ChainHost::~ChainHost() = default;

void ChainHost::SetCallbacks(DeliverFunction deliver,
                             BroadcastQuarantineFunction broadcast_quarantine) {
  m_deliver = std::move(deliver);
  m_broadcast_quarantine = std::move(broadcast_quarantine);
}

void ChainHost::Start() {
  m_loop.PostEvery(kTickInterval, [this] { OnTick(); });
  m_loop.PostEvery(kHealthCheckInterval, [this] { ProbeEjectedServers(); });
}

void ChainHost::OnServerList(int64_t version,
                             std::vector<ListedServer> servers) {
  m_list_version = version;
  if (servers == m_servers)
    return;
  m_servers = std::move(servers);
  m_health.SetServers(m_servers);
  RebuildChains();
}

void ChainHost::OnSchedulerCandidates(
    std::vector<SchedulerCandidate> candidates) {
  m_scheduler_candidates = std::move(candidates);
  AssignChains();
}

void ChainHost::RebuildChains() {
  std::set<std::string> unavailable = m_health.Ejected(m_clock.Now());
  unavailable.insert(m_awaiting_health_check.begin(),
                     m_awaiting_health_check.end());
  m_awaiting_health_check.insert(unavailable.begin(), unavailable.end());
  const auto previous = m_fleet.Load();
  m_fleet.Store(std::make_shared<FleetView>(
      FormChains(m_list_version, m_servers, unavailable, *previous)));
  AssignChains();
}

void ChainHost::AssignChains() {
  const auto fleet = m_fleet.Load();
  std::vector<std::string> lost_chains;
  for (const auto& [id, owned] : m_owned_chains) {
    auto it = fleet->chains.find(id);
    if (it == fleet->chains.end())
      lost_chains.push_back(id);
  }
  for (const std::string& id : lost_chains)
    ReleaseChain(id, "chain_lost");
  for (const auto& [id, chain] : fleet->chains) {
    const bool is_owner =
        !m_draining && ChainOwner(chain, m_scheduler_candidates) == m_config.id;
    auto it = m_owned_chains.find(id);
    if (is_owner && it == m_owned_chains.end()) {
      AcquireChain(chain);
    } else if (!is_owner && it != m_owned_chains.end()) {
      ReleaseChain(id, "moved");
    } else if (is_owner &&
               it->second.scheduler->chain().stages != chain.stages) {
      it->second.scheduler->SetChain(m_clock.Now(), chain);
      ProcessActions(id);
    }
  }
}

void ChainHost::AcquireChain(const Chain& chain) {
  auto scheduler =
      ChainScheduler::Builder()
          .SchedulerId(m_scheduler_id)
          .Incarnation(static_cast<uint32_t>(StableHash(
              m_config.id + "/" + chain.id,
              static_cast<uint64_t>(m_config.incarnation) + m_next_generation)))
          .InitialChain(chain)
          .Build(m_clock.Now());
  if (!scheduler.ok()) {
    LogStateChange("scheduler", "chain_rejected",
                   {{"chain", chain.id},
                    {"reason", std::string(scheduler.status().message())}});
    return;
  }
  OwnedChain owned;
  owned.generation = m_next_generation++;
  owned.scheduler = std::move(*scheduler);
  m_owned_chains.emplace(chain.id, std::move(owned));
  m_chains_acquired.Add();
  LogStateChange("scheduler", "chain_acquired",
                 {{"chain", chain.id}, {"model", chain.model}});
  ProcessActions(chain.id);
}

void ChainHost::ReleaseChain(const std::string& chain,
                             const std::string& reason) {
  auto it = m_owned_chains.find(chain);
  if (it == m_owned_chains.end())
    return;
  LogStateChange("scheduler", "chain_released",
                 {{"chain", chain}, {"reason", reason}});
  it->second.scheduler->ReleaseChain(m_clock.Now(), reason);
  ProcessActions(chain);
  m_owned_chains.erase(chain);
}

SubmitResult ChainHost::Submit(RemoteSubmission submission) {
  SubmitResult result;
  result.scheduler_incarnation = m_config.incarnation;
  auto it = m_owned_chains.find(submission.chain);
  if (it == m_owned_chains.end()) {
    result.refusal = SubmitRefusal{"no_chain", Duration(100'000)};
    return result;
  }
  Submission& s = submission.submission;
  const auto table = m_table.Load();
  if (table) {
    if (const Account* account = table->FindAccount(s.account))
      s.account_weight = account->weight;
    if (const WorkKind* kind = table->FindKind(s.kind)) {
      s.kind_weight = kind->weight;
      s.kind_floor = kind->floor;
    }
  }
  const TimePoint now = m_clock.Now();
  ChainScheduler& scheduler = *it->second.scheduler;
  // A repeated submission of a request replaces the earlier one.
  if (m_request_chain.count(s.request) > 0)
    Cancel({s.request});
  const std::string request = s.request;
  const Rank rank = s.rank;
  const std::string account = s.account;
  result.refusal = scheduler.Submit(now, std::move(s));
  result.expected_wait = scheduler.ExpectedWait(rank, account);
  if (result.refusal)
    m_refusals.Add();
  else
    m_request_chain[request] = submission.chain;
  const std::string chain = submission.chain;
  ProcessActions(chain);
  return result;
}

void ChainHost::Cancel(const std::vector<std::string>& requests) {
  std::set<std::string> chains;
  for (const std::string& request : requests) {
    auto it = m_request_chain.find(request);
    if (it == m_request_chain.end())
      continue;
    auto owned = m_owned_chains.find(it->second);
    if (owned != m_owned_chains.end()) {
      owned->second.scheduler->Cancel(m_clock.Now(), request);
      chains.insert(it->second);
    }
    m_request_chain.erase(it);
  }
  for (const std::string& chain : chains)
    ProcessActions(chain);
}

std::vector<std::string> ChainHost::FindMissingRequests(
    const std::vector<std::string>& requests) {
  std::vector<std::string> missing;
  for (const std::string& request : requests)
    if (!HasRequest(request))
      missing.push_back(request);
  return missing;
}

// Asks the scheduler, since it may have dropped a request by itself, as when it
// considered the entry of the request gone.
bool ChainHost::HasRequest(const std::string& request) const {
  auto it = m_request_chain.find(request);
  if (it == m_request_chain.end())
    return false;
  auto owned = m_owned_chains.find(it->second);
  return owned != m_owned_chains.end() &&
         owned->second.scheduler->HasRequest(request);
}

void ChainHost::OnEntryGone(const std::string& entry) {
  std::vector<std::string> chains;
  for (auto& [id, owned] : m_owned_chains) {
    owned.scheduler->CancelEntryRequests(m_clock.Now(), entry);
    chains.push_back(id);
  }
  std::erase_if(m_request_chain,
                [this](const auto& item) { return !HasRequest(item.first); });
  for (const std::string& chain : chains)
    ProcessActions(chain);
}

void ChainHost::ReleaseAllChains() {
  m_draining = true;
  AssignChains();
}

size_t ChainHost::active_requests() const {
  size_t total = 0;
  for (const auto& [id, owned] : m_owned_chains)
    total += owned.scheduler->running() + owned.scheduler->queued();
  return total;
}

std::vector<ChainLoadReport> ChainHost::LoadReports() const {
  std::vector<ChainLoadReport> loads;
  for (const auto& [id, owned] : m_owned_chains) {
    loads.push_back({id, owned.scheduler->ExpectedWait(Rank::kOrdinary, ""),
                     static_cast<int>(owned.scheduler->queued()),
                     static_cast<int>(owned.scheduler->running())});
  }
  return loads;
}

void ChainHost::ProcessActions(const std::string& chain) {
  // Handling an action may add more actions or remove the scheduler.
  while (true) {
    auto it = m_owned_chains.find(chain);
    if (it == m_owned_chains.end())
      return;
    std::vector<ChainAction> actions = it->second.scheduler->TakeActions();
    if (actions.empty())
      return;
    // Quarantine broadcasts start first, so that the updates that end the
    // requests wait for them.
    std::stable_partition(
        actions.begin(), actions.end(), [](const ChainAction& action) {
          return std::holds_alternative<ReportCrashingRequest>(action);
        });
    for (ChainAction& action : actions) {
      it = m_owned_chains.find(chain);
      if (it == m_owned_chains.end())
        return;
      HandleAction(chain, it->second, std::move(action));
    }
  }
}

void ChainHost::HandleAction(const std::string& chain,
                             OwnedChain& owned,
                             ChainAction action) {
  std::visit(
      Overloaded{
          [&](SendStep& step) { RunStep(chain, owned, std::move(step)); },
          [&](SendClaim& claim) { RunClaim(chain, owned, std::move(claim)); },
          [&](SendRelease& release) {
            HttpCall call;
            call.address = AddressOf(release.server);
            call.path = "/v1/release";
            call.body = EncodeRelease(release.requests);
            m_http_client.Call(call, [](const HttpResult&) {});
          },
          [&](DeliverTokens& deliver) {
            Delivery delivery;
            delivery.scheduler = m_config.id;
            delivery.scheduler_incarnation = m_config.incarnation;
            for (const TokenUpdate& update : deliver.updates)
              if (update.state != UpdateState::kRunning)
                m_request_chain.erase(update.request);
            delivery.updates = std::move(deliver.updates);
            delivery.loads.push_back(
                {chain, owned.scheduler->ExpectedWait(Rank::kOrdinary, ""),
                 static_cast<int>(owned.scheduler->queued()),
                 static_cast<int>(owned.scheduler->running())});
            Deliver(deliver.entry, std::move(delivery));
          },
          [&](ReportFailure& report) {
            m_failures.Add();
            if (report.failure == CallFailure::kStaleEpoch)
              return;
            LogStateChange(
                "scheduler", "step_failed",
                {{"chain", chain},
                 {"server", report.server},
                 {"failure",
                  std::string(kCallFailureNames.Name(report.failure))}});
            // Reported after the retry on a new connection failed as well, so
            // it counts as two consecutive failures.
            m_health.OnFailure(m_clock.Now(), report.server);
            m_health.OnFailure(m_clock.Now(), report.server);
          },
          [&](ReportCrashingRequest& report) { OnCrashingRequest(report); },
          [&](RequestStageReplacement& replacement) {
            OnStageReplacementNeeded(replacement);
          },
      },
      action);
}

void ChainHost::OnCrashingRequest(const ReportCrashingRequest& report) {
  LogStateChange("scheduler", "request_quarantined",
                 {{"fingerprint", std::to_string(report.fingerprint)},
                  {"server", report.server}});
  ++m_pending_quarantine_broadcasts;
  m_broadcast_quarantine(report.fingerprint, [this] {
    if (--m_pending_quarantine_broadcasts > 0)
      return;
    for (auto& [entry, delivery] : std::exchange(m_deferred_deliveries, {}))
      m_deliver(entry, std::move(delivery));
  });
}

void ChainHost::Deliver(const std::string& entry, Delivery delivery) {
  if (m_pending_quarantine_broadcasts > 0) {
    Delivery deferred = delivery;
    const auto is_quarantined = [](const TokenUpdate& update) {
      return update.state == UpdateState::kQuarantined;
    };
    std::erase_if(delivery.updates, is_quarantined);
    std::erase_if(deferred.updates, std::not_fn(is_quarantined));
    if (!deferred.updates.empty())
      m_deferred_deliveries.emplace_back(entry, std::move(deferred));
    if (delivery.updates.empty())
      return;
  }
  m_deliver(entry, std::move(delivery));
}

void ChainHost::OnStageReplacementNeeded(
    const RequestStageReplacement& replacement) {
  m_health.OnCrash(m_clock.Now(), replacement.failed_server);
  m_awaiting_health_check.insert(replacement.failed_server);
  LogStateChange(
      "scheduler", "stage_lost",
      {{"chain", replacement.chain}, {"server", replacement.failed_server}});
  // Posted, since the actions of the scheduler that asked are still being
  // processed.
  m_loop.Post([this] { RebuildChains(); });
}

void ChainHost::CallWithDeadline(const HttpCall& call,
                                 Duration deadline,
                                 std::function<void(HttpResult)> done) {
  struct State {
    bool finished = false;
    std::function<void(HttpResult)> done;
  };
  auto state = std::make_shared<State>();
  state->done = std::move(done);
  CancelCall cancel =
      m_http_client.Call(call, [this, state](HttpResult result) {
        m_loop.Post([state, result = std::move(result)]() mutable {
          if (std::exchange(state->finished, true))
            return;
          state->done(std::move(result));
        });
      });
  m_loop.PostAfter(deadline, [state, cancel] {
    if (std::exchange(state->finished, true))
      return;
    cancel();
    HttpResult result;
    result.failure = CallFailure::kNoReply;
    state->done(std::move(result));
  });
}

void ChainHost::RunStep(const std::string& chain,
                        const OwnedChain& owned,
                        SendStep step) {
  m_steps.Add();
  m_step_items.Add(step.items.size());
  HttpCall call;
  call.address = AddressOf(step.server);
  call.path = "/v1/step";
  // The id is unique across schedulers and their restarts.
  call.body = EncodeStep(step, m_config.id + "-" +
                                   std::to_string(m_config.incarnation) + "-" +
                                   std::to_string(owned.generation) + "-" +
                                   std::to_string(step.step_id));
  call.fresh_connection = step.fresh_connection;
  const Duration deadline = m_health.CallTimeout(step.server.id);
  const uint64_t generation = owned.generation;
  const TimePoint started = m_clock.Now();
  // Results are matched by request id, so the items are no longer needed.
  step.items.clear();
  CallWithDeadline(call, deadline,
                   [this, chain, generation, started,
                    step = std::move(step)](const HttpResult& result) {
                     OnStepResult(chain, generation, step, started, result);
                   });
}

void ChainHost::OnStepResult(const std::string& chain,
                             uint64_t generation,
                             const SendStep& step,
                             TimePoint started,
                             const HttpResult& result) {
  auto it = m_owned_chains.find(chain);
  if (it == m_owned_chains.end() || it->second.generation != generation)
    return;
  const TimePoint now = m_clock.Now();
  ChainScheduler& scheduler = *it->second.scheduler;
  if (result.failure) {
    scheduler.OnStepFailure(now, step.step_id, *result.failure);
  } else if (result.status == 409) {
    scheduler.OnStepFailure(now, step.step_id, CallFailure::kStaleEpoch,
                            DecodeNewestEpoch(result.body));
  } else if (result.status != 200) {
    scheduler.OnStepFailure(now, step.step_id, CallFailure::kError);
  } else {
    auto items = DecodeStepReply(result.body);
    if (items.ok()) {
      m_health.OnSuccess(now, step.server.id, now - started);
      m_step_time.Record(now - started);
      scheduler.OnStepReply(now, step.step_id, std::move(*items));
    } else {
      scheduler.OnStepFailure(now, step.step_id, CallFailure::kError);
    }
  }
  ProcessActions(chain);
}

void ChainHost::RunClaim(const std::string& chain,
                         const OwnedChain& owned,
                         SendClaim claim) {
  HttpCall call;
  call.address = AddressOf(claim.server);
  call.path = "/v1/claim";
  call.body = EncodeClaim(claim.epoch, m_config.id);
  const uint64_t generation = owned.generation;
  CallWithDeadline(call, kClaimTimeout,
                   [this, chain, generation,
                    claim = std::move(claim)](const HttpResult& result) {
                     OnClaimResult(chain, generation, claim, result);
                   });
}

void ChainHost::OnClaimResult(const std::string& chain,
                              uint64_t generation,
                              const SendClaim& claim,
                              const HttpResult& result) {
  auto it = m_owned_chains.find(chain);
  if (it == m_owned_chains.end() || it->second.generation != generation)
    return;
  const TimePoint now = m_clock.Now();
  ChainScheduler& scheduler = *it->second.scheduler;
  if (result.failure)
    scheduler.OnClaimFailure(now, claim.claim_id, *result.failure);
  else if (result.status == 409)
    scheduler.OnClaimFailure(now, claim.claim_id, CallFailure::kStaleEpoch,
                             DecodeNewestEpoch(result.body));
  else if (result.status != 200)
    scheduler.OnClaimFailure(now, claim.claim_id, CallFailure::kError);
  else
    scheduler.OnClaimReply(now, claim.claim_id);
  ProcessActions(chain);
}

void ChainHost::OnTick() {
  const TimePoint now = m_clock.Now();
  std::vector<std::string> chains;
  for (auto& [id, owned] : m_owned_chains) {
    owned.scheduler->OnTick(now);
    chains.push_back(id);
  }
  for (const std::string& chain : chains)
    ProcessActions(chain);
}

void ChainHost::ProbeEjectedServers() {
  const std::set<std::string> ejected = m_health.Ejected(m_clock.Now());
  for (const ListedServer& server : m_servers) {
    if (m_awaiting_health_check.count(server.id) == 0 ||
        ejected.count(server.id) > 0)
      continue;
    HttpCall call;
    call.address = server.address;
    call.method = "GET";
    call.path = "/healthz";
    call.fresh_connection = true;
    CallWithDeadline(
        call, kHealthCheckTimeout,
        [this, id = server.id](const HttpResult& result) {
          if (result.failure || result.status != 200) {
            m_health.OnCrash(m_clock.Now(), id);
            return;
          }
          if (m_awaiting_health_check.erase(id) > 0) {
            LogStateChange("scheduler", "server_readmitted", {{"server", id}});
            RebuildChains();
          }
        });
  }
}

}  // namespace trefoilwick::detail
