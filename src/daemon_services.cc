#include <algorithm>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "http_front.h"
#include "trefoilwick/batches.h"
#include "trefoilwick/ledger.h"

namespace trefoilwick::detail {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kServiceTimeout{5000};
constexpr int kMaxServiceAttempts = 3;
constexpr size_t kMaxBatchItems = 10'000;

std::string JoinPath(const std::vector<std::string>& path, size_t first) {
  std::string out;
  for (size_t i = first; i < path.size(); ++i)
    out += "/" + web::uri::encode_data_string(path[i]);
  return out.empty() ? "/" : out;
}

// Blocks until the call ends or `limit` has passed. Only for threads of the
// worker pools.
HttpResult CallAndWait(Runtime& runtime, const HttpCall& call, Duration limit) {
  struct State {
    std::mutex mutex;
    std::condition_variable done;
    std::optional<HttpResult> result;
  };
  auto state = std::make_shared<State>();
  CancelCall cancel =
      runtime.http_client.Call(call, [state](HttpResult result) {
        std::lock_guard lock(state->mutex);
        if (!state->result)
          state->result = std::move(result);
        state->done.notify_one();
      });
  std::unique_lock lock(state->mutex);
  if (!state->done.wait_for(lock, limit,
                            [&] { return state->result.has_value(); })) {
    HttpResult no_reply;
    no_reply.failure = CallFailure::kNoReply;
    state->result = no_reply;
    lock.unlock();
    cancel();
    return no_reply;
  }
  return *state->result;
}

void ReplyLedgerAnswer(const HttpExchange& exchange,
                       const LedgerAnswer& answer) {
  switch (answer.verdict) {
    case LedgerVerdict::kDone:
      exchange.ReplyText(answer.status, answer.body, "application/json");
      return;
    case LedgerVerdict::kNotRun: {
      Problem problem = NotRunProblem(
          503, "not_run", "the call was not run and may be sent again");
      problem.retry_after = std::chrono::seconds(1);
      exchange.ReplyProblem(problem);
      return;
    }
    case LedgerVerdict::kUnknown:
      exchange.ReplyProblem(
          {502,
           "outcome_unknown",
           "the call was sent and its result is not known; it is never sent "
           "again under this key",
           Outcome::kUnknown,
           Duration(0),
           {}});
      return;
    case LedgerVerdict::kInProgress: {
      exchange.ReplyProblem({409,
                             "in_progress",
                             "an earlier call with this key is in progress",
                             Outcome::kUnknown,
                             std::chrono::seconds(1),
                             {}});
      return;
    }
    case LedgerVerdict::kKeyReused:
      exchange.ReplyProblem(
          NotRunProblem(422, "idempotency_key_reused",
                        "the key was used with another body or kind of work"));
      return;
  }
}

struct ServiceRequest {
  HttpExchange exchange;
  std::string account;
  WorkKind kind;
  std::string path;
};

// Calls a server of the service. Retries within the retry budget, when it is
// certain that no server received the call or when the kind is idempotent.
DispatchResult CallService(Runtime& runtime,
                           const ServiceRequest& request,
                           const std::string& key,
                           Duration limit) {
  const TimePoint deadline = runtime.clock.Now() + limit;
  DispatchResult last;
  last.certainly_not_sent = true;
  std::set<std::string> tried_servers;
  runtime.services.SetFleet(runtime.fleet.Load());
  for (int attempt = 0; attempt < kMaxServiceAttempts; ++attempt) {
    const Duration remaining = deadline - runtime.clock.Now();
    if (remaining <= Duration(0))
      break;
    if (attempt > 0 && !runtime.retry_budget.TryRetry())
      break;
    const TimePoint started = runtime.clock.Now();
    const auto server = runtime.services.PickServer(
        started, request.kind.service, tried_servers);
    if (!server)
      break;
    tried_servers.insert(server->id);
    HttpCall call;
    call.address = server->address;
    call.path = request.path;
    call.body = request.exchange.body();
    call.user = request.account;
    call.request_id = request.exchange.request_id();
    call.idempotency_key = key;
    call.fresh_connection = attempt > 0;
    const HttpResult result = CallAndWait(runtime, call, remaining);
    const TimePoint ended = runtime.clock.Now();
    const bool server_error = !result.failure && result.status >= 500;
    CallOutcome outcome = CallOutcome::kAnswered;
    if (result.certainly_not_sent)
      outcome = CallOutcome::kConnectionRefused;
    else if (result.failure || server_error)
      outcome = CallOutcome::kFailed;
    runtime.services.FinishCall(ended, server->id, outcome, ended - started);
    if (!result.failure)
      last = DispatchResult{result.status, result.body, false};
    else if (!result.certainly_not_sent)
      last = DispatchResult{std::nullopt, "", false};
    // A call that may have reached a server is not repeated unless the kind is
    // idempotent.
    if (!result.certainly_not_sent && !request.kind.idempotent)
      return last;
    if (!result.failure && !server_error)
      return last;
  }
  return last;
}

void RunIdempotent(Runtime& runtime, const ServiceRequest& request) {
  runtime.retry_budget.OnAttempt();
  const DispatchResult result =
      CallService(runtime, request, "", kServiceTimeout);
  if (result.status) {
    request.exchange.ReplyText(*result.status, result.body, "application/json");
    return;
  }
  request.exchange.ReplyProblem(
      {502,
       "no_answer",
       "no server of the service answered",
       result.certainly_not_sent ? Outcome::kNotRun : Outcome::kIncomplete,
       std::chrono::seconds(1),
       {}});
}

void RunAtMostOnce(Runtime& runtime,
                   const ServiceRequest& request,
                   const std::string& key) {
  runtime.retry_budget.OnAttempt();
  LedgerCallInput input;
  input.account = request.account;
  input.key = key;
  input.body_sha256 = Sha256Hex(request.path + "\n" + request.exchange.body());
  input.kind = request.kind.name;
  input.entry = runtime.settings.id;
  input.request = request.exchange.request_id();
  // Request ids are only as unique as clocks are, so the attempt has a random
  // part.
  static std::random_device device;
  input.attempt = request.exchange.request_id() + "-" +
                  std::to_string(device()) + std::to_string(device());
  runtime.pending_ledger_writes.fetch_add(1);
  RunLedgerCall(
      runtime.clock, *runtime.store, input,
      [&](Duration limit) { return CallService(runtime, request, key, limit); },
      [&](const LedgerAnswer& answer) {
        runtime.metrics
            .GetCounter(
                "trefoilwick_ledger_calls_total",
                {{"verdict",
                  std::string(kLedgerVerdictNames.Name(answer.verdict))}})
            .Add();
        ReplyLedgerAnswer(request.exchange, answer);
      },
      [](Duration wait) { std::this_thread::sleep_for(wait); });
  runtime.pending_ledger_writes.fetch_sub(1);
}

json CountsJson(const BatchCounts& counts) {
  return {{"submitted", counts.submitted},
          {"finished", counts.finished},
          {"not_finished", counts.not_finished},
          {"waiting", counts.waiting}};
}

std::optional<std::string> ParseBatchSpec(const std::string& body,
                                          BatchSpec& spec) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("model") ||
      !parsed["model"].is_string() || !parsed.contains("items") ||
      !parsed["items"].is_array())
    return "model and items are required";
  spec.model = parsed["model"].get<std::string>();
  if (parsed.contains("kind") && parsed["kind"].is_string())
    spec.kind = parsed["kind"].get<std::string>();
  const json& items = parsed["items"];
  if (items.empty() || items.size() > kMaxBatchItems)
    return "items: 1 to 10000 are accepted";
  for (const json& item : items) {
    if (!item.is_object() || !item.contains("prompt") ||
        !item["prompt"].is_string())
      return "items: each needs a prompt";
    BatchItem batch_item;
    batch_item.prompt = item["prompt"].get<std::string>();
    if (item.contains("max_tokens") && item["max_tokens"].is_number_integer())
      batch_item.max_tokens =
          std::clamp(item["max_tokens"].get<int>(), 1, 4096);
    spec.items.push_back(std::move(batch_item));
  }
  return std::nullopt;
}

}  // namespace

void HttpFrontend::HandleServiceCall(const HttpExchange& exchange,
                                     const Caller& caller) {
  const WorkKind* kind = caller.table->FindKind(exchange.path()[2]);
  if (!kind || kind->service.empty()) {
    exchange.ReplyProblem(NotRunProblem(404, "unknown_kind",
                                        "the table has no such kind of work"));
    return;
  }
  if (kind->rank < caller.account->rank_limit) {
    exchange.ReplyProblem(
        NotRunProblem(403, "rank_not_permitted",
                      "the account may not ask for work of this rank"));
    return;
  }
  const std::string key = exchange.Header("Idempotency-Key");
  if (!kind->idempotent && (key.empty() || key.size() > 255)) {
    exchange.ReplyProblem(NotRunProblem(
        400, "idempotency_key_required",
        "this kind of work needs an Idempotency-Key of 1 to 255 characters"));
    return;
  }
  if (auto refusal =
          m_runtime.limiter.Admit(m_runtime.clock.Now(), *caller.account, 0)) {
    Problem problem = NotRunProblem(
        429, "limit_exceeded",
        "limit " + std::string(kLimitReasonNames.Name(refusal->reason)));
    problem.retry_after = std::max<Duration>(refusal->retry_after,
                                             std::chrono::milliseconds(100));
    exchange.ReplyProblem(problem);
    return;
  }
  auto request = std::make_shared<ServiceRequest>(ServiceRequest{
      exchange, caller.account->name, *kind, JoinPath(exchange.path(), 3)});
  WorkerPool& pool =
      kind->idempotent ? m_runtime.service_pool : m_runtime.ledger_pool;
  const bool posted = pool.TryPost([this, request, key] {
    if (request->kind.idempotent)
      RunIdempotent(m_runtime, *request);
    else
      RunAtMostOnce(m_runtime, *request, key);
    m_runtime.limiter.Release(m_runtime.clock.Now(), request->account, 0, 0);
  });
  if (!posted) {
    m_runtime.limiter.Release(m_runtime.clock.Now(), request->account, 0, 0);
    exchange.ReplyProblem({503,
                           "busy",
                           "too many service calls are waiting",
                           Outcome::kNotRun,
                           std::chrono::seconds(1),
                           {}});
  }
}

void HttpFrontend::ShowOperationOutcome(const HttpExchange& exchange,
                                        const Caller& caller) {
  const std::string account = caller.account->name;
  PostToStorePool(exchange, [this, exchange, account] {
    const auto record = LookUpLedger(m_runtime.clock, *m_runtime.store, account,
                                     exchange.path()[2]);
    if (record.ok()) {
      json body{{"key", exchange.path()[2]},
                {"kind", record->kind},
                {"state", std::string(kLedgerStateNames.Name(record->state))},
                {"request", record->request}};
      if (record->state == LedgerState::kDone)
        body["result_status"] = record->result_status;
      exchange.Reply(200, body);
    } else if (record.status().code() == absl::StatusCode::kNotFound) {
      exchange.ReplyProblem(NotRunProblem(
          404, "unknown_operation", "no call with this key was accepted"));
    } else {
      exchange.ReplyProblem({503,
                             "store_unavailable",
                             "the outcome cannot be read now",
                             Outcome::kUnknown,
                             std::chrono::seconds(2),
                             {}});
    }
  });
}

void HttpFrontend::SubmitBatchJob(const HttpExchange& exchange,
                                  const Caller& caller) {
  BatchSpec spec;
  if (auto finding = ParseBatchSpec(exchange.body(), spec)) {
    exchange.ReplyProblem(NotRunProblem(400, "bad_request", *finding));
    return;
  }
  const WorkKind* kind = spec.kind.empty()
                             ? caller.table->DefaultKindForModel(spec.model)
                             : caller.table->FindKind(spec.kind);
  if (!kind || kind->model != spec.model) {
    exchange.ReplyProblem(NotRunProblem(404, "unknown_kind",
                                        "no kind of work serves this model"));
    return;
  }
  spec.kind = kind->name;
  spec.account = caller.account->name;
  spec.id = exchange.request_id();
  PostToStorePool(exchange, [this, exchange, spec = std::move(spec)] {
    const absl::Status status = SubmitBatch(m_runtime.clock, *m_runtime.store,
                                            *m_runtime.objects, spec);
    if (status.ok()) {
      BatchCounts counts;
      counts.submitted = counts.waiting = static_cast<int>(spec.items.size());
      json body = CountsJson(counts);
      body["id"] = spec.id;
      exchange.Reply(202, body);
    } else if (status.code() == absl::StatusCode::kUnknown) {
      exchange.ReplyProblem({503,
                             "outcome_unknown",
                             "ask GET /v1/batches/" + spec.id,
                             Outcome::kUnknown,
                             std::chrono::seconds(2),
                             {}});
    } else {
      Problem problem =
          NotRunProblem(503, "store_unavailable", "the batch was not accepted");
      problem.retry_after = std::chrono::seconds(2);
      exchange.ReplyProblem(problem);
    }
  });
}

void HttpFrontend::ShowBatch(const HttpExchange& exchange,
                             const Caller& caller) {
  const std::string account = caller.account->name;
  PostToStorePool(exchange, [this, exchange, account] {
    const std::string id = exchange.path()[2];
    const bool items = exchange.path().size() == 4;
    auto spec = GetBatch(*m_runtime.store, *m_runtime.objects, id);
    if (spec.ok() && spec->account != account)
      spec = MakeStatus(absl::StatusCode::kNotFound, "no such batch");
    auto counts = spec.ok() ? GetBatchCounts(*m_runtime.store, id)
                            : absl::StatusOr<BatchCounts>(spec.status());
    if (!counts.ok()) {
      if (counts.status().code() == absl::StatusCode::kNotFound)
        exchange.ReplyProblem(
            NotRunProblem(404, "unknown_batch", "no such batch"));
      else
        exchange.ReplyProblem({503,
                               "store_unavailable",
                               "the batch cannot be read now",
                               Outcome::kUnknown,
                               std::chrono::seconds(2),
                               {}});
      return;
    }
    json body = CountsJson(*counts);
    body["id"] = id;
    if (items) {
      auto list = ListBatchItems(*m_runtime.store, *m_runtime.objects, id);
      if (!list.ok()) {
        exchange.ReplyProblem({503,
                               "store_unavailable",
                               "the items cannot be read now",
                               Outcome::kUnknown,
                               std::chrono::seconds(2),
                               {}});
        return;
      }
      body["items"] = json::array();
      for (const BatchItemResult& item : *list)
        body["items"].push_back(
            {{"index", item.index},
             {"state", std::string(kItemStateNames.Name(item.state))},
             {"text", item.text},
             {"reason", item.reason}});
    }
    exchange.Reply(200, body);
  });
}

}  // namespace trefoilwick::detail
