// Requests, plain service calls, table edits and batches of the fault matrix.
#include <algorithm>

#include "fault_matrix_parts.h"
#include "table_samples.h"

namespace trefoilwick::matrix {

namespace {

constexpr int kMaxCallerAttempts = 6;
// Max time from acceptance, or from the end of the last fault, to the outcome
// of a request of the urgent or ordinary rank.
constexpr Duration kMaxRequestTime = seconds(30);

}  // namespace

void World::SendRequest(
    Node& node,
    const std::string& account,
    Rank rank,
    const std::string& prompt,
    int max_tokens,
    const std::function<void(const std::string&)>& accepted) {
  const uint64_t fingerprint = Fingerprint(kModel, prompt);
  if (!node.alive ||
      node.quarantine.Contains(m_clock.UnixMillis(), fingerprint))
    return;
  if (node.draining_since && m_now - *node.draining_since > kEntriesMaxAge)
    checker.RecordViolation(Rule::kWorkWhileLeaving, node.id);
  Submission submission;
  submission.account = account;
  submission.kind = kRankNames.Name(rank);
  submission.rank = rank;
  submission.prompt = prompt;
  submission.max_tokens = max_tokens;
  submission.fingerprint = fingerprint;
  submission.first_token_target = seconds(20);
  ++m_sequence;
  const std::string id = node.requests->Accept(m_now, submission, kModel);
  m_request_owners[id] = node.id;
  m_accepted_at[id] = m_now;
  checker.OnRequest(id, account, prompt, max_tokens);
  if (accepted)
    accepted(id);
  OnStepReached(Step::kAccept, &node);
  RunOnNode(node, [this, &node] { ProcessRequestActions(node); });
}

void World::ProcessRequestActions(Node& node) {
  for (EntryAction& action : node.requests->TakeActions())
    std::visit([&](auto& a) { ExecuteAction(node, a); }, action);
}

void World::ExecuteAction(Node& node, SubmitRequest& submit) {
  struct Reply {
    std::optional<SubmitRefusal> refusal;
  };
  const std::string request = submit.submission.request;
  const uint64_t lineage = submit.submission.lineage;
  const auto view = node.membership->View();
  if (std::none_of(view.begin(), view.end(), [&](const Member& m) {
        return m.id == submit.route.scheduler;
      })) {
    ScheduleOnNode(node, Duration(0), [=, this, &node] {
      node.requests->OnSubmitFailed(m_now, request, lineage, true);
      ProcessRequestActions(node);
    });
    return;
  }
  Rpc<Reply>(
      node, submit.route.scheduler, false, seconds(1),
      [this, submit](Node& target) {
        Reply reply{Submit(target, submit.route.chain, submit.submission)};
        if (!reply.refusal && target.draining_since &&
            m_now - *target.draining_since > kEntriesMaxAge)
          checker.RecordViolation(Rule::kWorkWhileLeaving, target.id);
        return reply;
      },
      [=, this, &node](const std::optional<Reply>& reply,
                       bool certainly_not_sent) {
        if (!reply)
          node.requests->OnSubmitFailed(m_now, request, lineage,
                                        certainly_not_sent);
        else if (reply->refusal)
          node.requests->OnSubmitRefused(m_now, request, lineage,
                                         *reply->refusal);
        else
          node.requests->OnSubmitAccepted(m_now, request, lineage);
        ProcessRequestActions(node);
      });
}

void World::ExecuteAction(Node& node, const CancelRequest& cancel) {
  const auto serve = [this, request = cancel.request](Node& target) {
    CancelOnNode(target, request);
    return true;
  };
  Rpc<bool>(node, cancel.scheduler, false, seconds(1), serve,
            [this, &node, serve, to = cancel.scheduler](
                const std::optional<bool>& reply, bool) {
              if (!reply)
                Rpc<bool>(node, to, true, seconds(1), serve,
                          [](const std::optional<bool>&, bool) {});
            });
}

void World::ExecuteAction(Node& node, const VerifyRequests& verify) {
  using Missing = std::vector<std::string>;
  Rpc<Missing>(
      node, verify.scheduler, true, seconds(1),
      [requests = verify.requests](Node& target) {
        Missing missing;
        for (const std::string& request : requests)
          if (std::none_of(target.owned_chains.begin(),
                           target.owned_chains.end(), [&](const auto& item) {
                             return item.second.scheduler->HasRequest(request);
                           }))
            missing.push_back(request);
        return missing;
      },
      [this, &node, to = verify.scheduler](const std::optional<Missing>& reply,
                                           bool) {
        if (reply)
          node.requests->OnVerified(m_now, to, *reply);
        else
          node.requests->OnSchedulerUnavailable(m_now, to);
        ProcessRequestActions(node);
      });
}

void World::ExecuteAction(Node& node, const CallerUpdate& update) {
  const std::string& id = update.request;
  if (!update.tokens.empty()) {
    auto tokens = update.tokens;
    if (m_mutation == Mutation::kSwapAnswers) {
      if (m_previous_update && m_previous_update->request != id)
        tokens = m_previous_update->tokens;
      m_previous_update = update;
    }
    checker.OnTokens(id, update.index, tokens, kStageCount);
  }
  if (update.outcome == Outcome::kRunning)
    return;
  if (m_mutation != Mutation::kLoseOutcome)
    checker.OnOutcome(id, update.outcome);
  if (m_mutation == Mutation::kSecondOutcome)
    checker.OnOutcome(id, update.outcome);
  if (update.reason == "stopped")
    checker.RecordViolation(Rule::kAbortedByLeaving, id);
  if (!node.batch_items.contains(id) &&
      m_now - std::max(m_accepted_at[id], m_last_fault) > kMaxRequestTime)
    checker.RecordViolation(Rule::kSlowRecovery, id);
  OnBatchOutcome(node, id, update);
  if (auto it = m_crashing_requests.find(id); it != m_crashing_requests.end())
    ScheduleTask(m_seed % 2 == 0 ? Duration(kHopLatency) : Duration(seconds(2)),
                 [this, next = it->second + 1] { SendCrashingRequest(next); });
}

// Sends a request that crashes every server that runs it; its caller retries.
void World::SendCrashingRequest(int attempt) {
  if (attempt > 4)
    return;
  SendRequest(PickUsableNode(static_cast<size_t>(attempt) + m_seed), "poisoner",
              Rank::kOrdinary, "poison", 8,
              [this, attempt](const std::string& id) {
                m_crashing_requests[id] = attempt;
              });
}

void World::CallService(Node& node, const std::string& key) {
  auto run = std::make_shared<LedgerRun>();
  run->node = &node;
  run->key = key;
  run->row_key = LedgerKey("caller", key);
  run->attempt = key + "/" + std::to_string(m_calls.size());
  run->tries = ++m_caller_attempts[key];
  LedgerCallInput input;
  input.account = "caller";
  input.key = key;
  input.body_sha256 = "sha";
  input.kind = "ballot";
  input.entry = node.id;
  input.request = run->attempt;
  input.attempt = run->attempt;
  run->call = std::make_unique<LedgerCall>(m_clock, input);
  m_calls.push_back(run);
  checker.OnCallStarted(run->attempt);
  RunOnNode(node,
            [this, run] { ExecuteLedgerAction(run, run->call->Start()); });
}

void World::ExecuteLedgerAction(const std::shared_ptr<LedgerRun>& run,
                                LedgerAction action) {
  Node& node = *run->node;
  std::visit(Overloaded{
                 [&](const LedgerRead&) {
                   ReadFromStore(node, [this, run]() -> Task {
                     auto row = m_store.Get(kLedgerTable, run->row_key);
                     return [this, run, row] {
                       ExecuteLedgerAction(run, run->call->OnRead(row));
                     };
                   });
                 },
                 [&](const LedgerWrite& write) { WriteLedger(run, write); },
                 [&](const LedgerDispatch& dispatch) {
                   DispatchCall(run, dispatch.timeout);
                 },
                 [&](const LedgerWait& wait) {
                   ScheduleOnNode(node, wait.duration, [this, run] {
                     ExecuteLedgerAction(run, run->call->OnWaited());
                   });
                 },
                 [&](const LedgerAnswer& answer) {
                   AnswerCall(run, answer);
                   ExecuteLedgerAction(run, run->call->OnAnswered());
                 },
                 [](const LedgerEnd&) {},
             },
             action);
}

void World::WriteLedger(const std::shared_ptr<LedgerRun>& run,
                        const LedgerWrite& write) {
  Node& node = *run->node;
  const LedgerState state = write.record.state;
  if (state == LedgerState::kStarted)
    OnStepReached(Step::kLedgerInsert, &node);
  if (state == LedgerState::kSent && m_seed % 2 == 0)
    OnStepReached(Step::kDispatch, &node);
  if (state == LedgerState::kDone)
    OnStepReached(Step::kLedgerFinish, &node);
  const auto send = [this, run, write, &node] {
    const Duration delay =
        m_now < m_store_slow_until ? milliseconds(1500) : milliseconds(2);
    ScheduleTask(delay, [this, run, write, &node] {
      StoreTransaction transaction;
      transaction.checks.push_back(
          {kLedgerTable, run->row_key, write.expected_version});
      transaction.puts.push_back({kLedgerTable, run->row_key,
                                  EncodeLedgerRecord(write.record), false});
      const auto written = m_store.Transact(transaction);
      const auto version = written.ok()
                               ? absl::StatusOr<int64_t>(written->front())
                               : absl::StatusOr<int64_t>(written.status());
      ScheduleOnNode(node, kHopLatency, [this, run, version] {
        ExecuteLedgerAction(run, run->call->OnWritten(version));
      });
    });
  };
  // A suspension or exit of the process may happen before or after the write is
  // sent.
  if (m_random.UniformBelow(2) == 0)
    send();
  else
    RunOnNode(node, send);
}

void World::DispatchCall(const std::shared_ptr<LedgerRun>& run,
                         Duration timeout) {
  Node& node = *run->node;
  const bool is_faulty =
      m_seed % 2 == 1 && !reached_steps.contains(Step::kDispatch);
  if (is_faulty)
    OnStepReached(Step::kDispatch, &node);
  // Faults of stages and links affect the plain service and the connection to
  // it here.
  enum class CallFault : uint8_t { kNone, kRefused, kLost, kAnswerLost };
  CallFault call_fault = CallFault::kNone;
  for (const Injection& injection : m_injections) {
    if (!is_faulty || injection.step != Step::kDispatch)
      continue;
    if (injection.fault == Fault::kStageCrash)
      call_fault = m_random.UniformBelow(2) == 0 ? CallFault::kRefused
                                                 : CallFault::kAnswerLost;
    if (injection.fault == Fault::kConnectionSilent ||
        injection.fault == Fault::kLinkDrop ||
        injection.fault == Fault::kStageSuspended)
      call_fault = m_random.UniformBelow(2) == 0 ? CallFault::kLost
                                                 : CallFault::kAnswerLost;
  }
  const auto send = [=, this, &node] {
    auto finished = std::make_shared<bool>(false);
    const auto finish = [this, run, finished](const DispatchResult& result) {
      if (!std::exchange(*finished, true))
        ExecuteLedgerAction(run, run->call->OnDispatched(result));
    };
    ScheduleOnNode(node, timeout, [finish] { finish({}); });
    if (call_fault == CallFault::kRefused)
      ScheduleOnNode(node, kHopLatency, [finish] {
        finish({std::nullopt, "", true});
      });
    if (call_fault == CallFault::kRefused || call_fault == CallFault::kLost)
      return;
    ScheduleTask(kHopLatency, [=, this, &node] {
      checker.OnServiceRun(run->key, run->attempt);
      if (m_mutation == Mutation::kDispatchTwice)
        checker.OnServiceRun(run->key, run->attempt);
      if (call_fault == CallFault::kNone)
        ScheduleOnNode(node, kHopLatency, [=] {
          finish({200, "ran " + run->key, false});
        });
    });
  };
  if (m_random.UniformBelow(2) == 0)
    send();
  else
    RunOnNode(node, send);
}

void World::AnswerCall(const std::shared_ptr<LedgerRun>& run,
                       const LedgerAnswer& answer) {
  run->answered = true;
  checker.OnCallAnswer(run->key, run->attempt, answer.verdict, answer.body);
  const bool may_retry = answer.verdict == LedgerVerdict::kNotRun ||
                         answer.verdict == LedgerVerdict::kInProgress;
  if (m_mutation == Mutation::kDispatchAfterNotRun &&
      answer.verdict == LedgerVerdict::kNotRun)
    checker.OnServiceRun(run->key, run->attempt);
  if (may_retry && run->tries < kMaxCallerAttempts)
    ScheduleTask(milliseconds(700), [this, key = run->key] {
      CallService(PickUsableNode(static_cast<size_t>(m_caller_attempts[key])),
                  key);
    });
}

// Edits the table through an instance, as `table apply` does.
void World::EditTable(const std::string& author, double weight) {
  Node& node = PickUsableNode(0);
  const auto base = node.config_sync->table();
  if (!base)
    return;
  const Table edited = WithWeight(
      *base, "account-" + std::to_string(author == "second"), weight);
  Node* previous_caller = std::exchange(m_store_caller, &node);
  const bool committing = std::exchange(m_committing, true);
  const CommitResult result =
      CommitTable(m_clock, m_store, m_store, *base, edited, author, author);
  m_committing = committing;
  m_store_caller = previous_caller;
  if (!node.alive || result.verdict != CommitVerdict::kAccepted)
    return;
  m_newest_edit_version = std::max(m_newest_edit_version, result.version);
  m_edits[result.version] = {"account-" + std::to_string(author == "second"),
                             weight};
  if (m_mutation == Mutation::kLoseEdit)
    m_edits[result.version].second = weight + 1;
  RunOnNode(node, [this, &node, edited, version = result.version] {
    node.config_sync->OnCommitted(m_now, edited.WithVersion(version));
    ProcessConfigSyncActions(node);
  });
}

void World::SubmitJob(Node& node, int attempt) {
  BatchSpec spec{kJob, "batcher", "batch", kModel, {}};
  for (int i = 0; i < kJobItems; ++i)
    spec.items.push_back({"item " + std::to_string(i), 4});
  Node* previous_caller = std::exchange(m_store_caller, &node);
  const bool pending = std::exchange(m_job_pending, true);
  const absl::Status status = SubmitBatch(m_clock, m_store, m_store, spec);
  m_job_pending = pending;
  m_store_caller = previous_caller;
  if (node.alive && status.ok()) {
    m_job_accepted = true;
    return;
  }
  if (node.alive && absl::IsUnavailable(status)) {
    // The batch was reported as not accepted, so it must not exist.
    const bool observing = std::exchange(m_observing, true);
    if (!m_job_accepted && attempt == 0 &&
        GetBatch(m_store, m_store, kJob).ok())
      checker.RecordViolation(Rule::kNotRunExecuted, "batch");
    m_observing = observing;
  }
  ScheduleTask(seconds(2), [this, attempt] {
    SubmitJob(PickUsableNode(static_cast<size_t>(attempt)), attempt + 1);
  });
}

void World::PollBatches(Node& node) {
  if (node.polling || node.draining_since)
    return;
  node.polling = true;
  Node* previous_caller = std::exchange(m_store_caller, &node);
  const auto work = node.batches->PollForItems(4);
  m_store_caller = previous_caller;
  node.polling = false;
  RunOnNode(node, [this, &node, work] {
    for (const BatchRunner::WorkItem& w : work)
      SendRequest(node, w.account, Rank::kBatch, w.item.prompt,
                  w.item.max_tokens, [&](const std::string& id) {
                    node.batch_items[id] = {w.batch, w.index};
                  });
  });
}

void World::OnBatchOutcome(Node& node,
                           const std::string& request,
                           const CallerUpdate& update) {
  auto it = node.batch_items.find(request);
  if (it == node.batch_items.end())
    return;
  const bool finished = update.outcome == Outcome::kFinished;
  std::string text;
  for (const std::string& token : node.requests->Find(request)->tokens)
    text += token + " ";
  node.batches->OnItemDone(
      it->second.first,
      {it->second.second,
       finished ? ItemState::kFinished : ItemState::kNotFinished, text,
       update.reason},
      !finished);
  ++node.items_done;
  node.batch_items.erase(it);
}

void World::ObserveBatch() {
  const bool observing = std::exchange(m_observing, true);
  const auto counts = GetBatchCounts(m_store, kJob);
  const auto items = ListBatchItems(m_store, m_store, kJob);
  m_observing = observing;
  if (counts.ok()) {
    BatchCounts observed = *counts;
    if (m_mutation == Mutation::kMiscount)
      ++observed.submitted;
    checker.OnBatchCounts(kJob, observed);
  }
  if (items.ok()) {
    auto observed = *items;
    if (m_mutation == Mutation::kLoseItem && m_now > TimePoint(seconds(16)) &&
        !observed.empty())
      observed[0].state = ItemState::kWaiting;
    checker.OnBatchItems(kJob, observed);
  }
}

}  // namespace trefoilwick::matrix
