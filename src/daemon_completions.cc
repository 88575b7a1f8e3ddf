#include <cpprest/producerconsumerstream.h>

#include <algorithm>
#include <utility>

#include "http_front.h"

namespace trefoilwick::detail {

namespace wh = web::http;
using nlohmann::json;

namespace {

constexpr int kMaxTokensLimit = 4096;
constexpr int kDefaultMaxTokens = 64;
// A streaming caller that lost its connection can resume within this time.
// Afterwards the request is cancelled, so that its servers are free within a
// second.
constexpr std::chrono::milliseconds kResumeGracePeriod{500};
// The HTTP library detects a closed connection only when it writes. A stream
// without tokens, as while its request is queued, gets a comment at this
// interval.
constexpr std::chrono::milliseconds kKeepAliveInterval{500};
constexpr char kKeepAliveComment[] = ": waiting\n\n";

struct CompletionInput {
  std::string model;
  std::string prompt;
  std::string kind;
  int max_tokens = kDefaultMaxTokens;
  uint64_t seed = 0;
  bool stream = false;
};

std::optional<std::string> ReadCompletionInput(const std::string& body,
                                               CompletionInput& input) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object())
    return "the body is not a JSON object";
  std::string findings;
  const auto require = [&](bool valid, const char* text) {
    if (!valid)
      findings += (findings.empty() ? "" : "; ") + std::string(text);
    return valid;
  };
  const auto read_string = [&](const char* name, std::string& out) {
    auto it = parsed.find(name);
    if (it != parsed.end() && it->is_string())
      out = it->get<std::string>();
    return !out.empty();
  };
  require(read_string("model", input.model), "model: a string is required");
  require(read_string("prompt", input.prompt), "prompt: a string is required");
  if (parsed.contains("kind"))
    require(read_string("kind", input.kind), "kind: must be a string");
  if (parsed.contains("max_tokens")) {
    const json& value = parsed["max_tokens"];
    if (require(
            value.is_number_integer() && value >= 1 && value <= kMaxTokensLimit,
            "max_tokens: must be an integer from 1 to 4096"))
      input.max_tokens = value.get<int>();
  }
  if (parsed.contains("seed")) {
    const json& value = parsed["seed"];
    if (require(value.is_number_integer(), "seed: must be an integer"))
      input.seed = value.get<uint64_t>();
  }
  if (parsed.contains("stream")) {
    const json& value = parsed["stream"];
    if (require(value.is_boolean(), "stream: must be true or false"))
      input.stream = value.get<bool>();
  }
  if (findings.empty())
    return std::nullopt;
  return findings;
}

std::string JoinTokens(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& token : tokens)
    text += (text.empty() ? "" : " ") + token;
  return text;
}

std::string FormatTokenEvent(const std::string& id,
                             const std::string& model,
                             int index,
                             const std::string& token,
                             bool first) {
  const json event{{"id", id},
                   {"object", "text_completion"},
                   {"model", model},
                   {"choices",
                    {{{"index", 0},
                      {"text", first ? token : " " + token},
                      {"finish_reason", nullptr}}}},
                   {"token_index", index}};
  return "data: " + event.dump(-1, ' ', false, json::error_handler_t::replace) +
         "\n\n";
}

std::string FormatEndEvents(const std::string& id,
                            Outcome outcome,
                            const std::string& reason) {
  if (outcome == Outcome::kFinished)
    return "data: [DONE]\n\n";
  const json problem{{"type", "urn:trefoilwick:problem:" + reason},
                     {"title", "Request not finished"},
                     {"status", 503},
                     {"outcome", std::string(kOutcomeNames.Name(outcome))},
                     {"request_id", id}};
  return "event: error\ndata: " + problem.dump() + "\n\n";
}

// Server-sent events of one stream.
class EventStream {
 public:
  explicit EventStream(const HttpExchange& exchange) : m_exchange(exchange) {}

  void Open(std::function<void()> caller_gone) {
    if (std::exchange(m_open, true))
      return;
    wh::http_response response(wh::status_codes::OK);
    response.headers().add("Cache-Control", "no-cache");
    response.set_body(m_buffer.create_istream(), "text/event-stream");
    m_exchange.Send(std::move(response),
                    [gone = std::move(caller_gone)](bool sent) {
                      if (!sent)
                        gone();
                    });
  }
  bool open() const { return m_open; }
  void Write(const std::string& text) {
    const auto ignore_errors = [](const pplx::task<void>& task) {
      try {
        task.get();
      } catch (const std::exception&) {
        // The reply task reports that the caller has disconnected.
      }
    };
    // sync() passes the bytes to the reader immediately; without it the
    // listener waits until its whole read buffer is full.
    m_buffer
        .putn_nocopy(reinterpret_cast<const uint8_t*>(text.data()), text.size())
        .then([buffer = m_buffer](size_t) mutable { return buffer.sync(); })
        .then(ignore_errors);
  }
  void Close() {
    m_buffer.sync().then([buffer = m_buffer](const pplx::task<void>&) mutable {
      buffer.close(std::ios_base::out);
    });
  }

 private:
  HttpExchange m_exchange;
  concurrency::streams::producer_consumer_buffer<uint8_t> m_buffer;
  bool m_open = false;
};

// Returns a function that reports the caller as gone after the grace period for
// resuming.
std::function<void()> MakeCallerGoneHandler(Runtime& runtime,
                                            const std::string& request,
                                            uint64_t sink) {
  return [&runtime, request, sink] {
    runtime.entry_loop.PostAfter(kResumeGracePeriod, [&runtime, request, sink] {
      runtime.entry->OnCallerGone(request, sink);
    });
  };
}

// One accepted completion; used on the entry loop only.
class CompletionSession
    : public std::enable_shared_from_this<CompletionSession> {
 public:
  CompletionSession(Runtime& runtime,
                    HttpExchange exchange,
                    CompletionInput input,
                    const Account& account,
                    WorkKind kind)
      : m_runtime(runtime),
        m_exchange(std::move(exchange)),
        m_input(std::move(input)),
        m_account(account.name),
        m_kind(std::move(kind)),
        m_started_at(runtime.clock.Now()),
        m_stream(m_exchange) {}

  void Start(Submission submission) {
    const auto accepted = m_runtime.entry->Accept(
        std::move(submission), m_input.model,
        [self = shared_from_this()](const CallerUpdate& update) {
          self->OnUpdate(update);
        });
    m_id = accepted.request;
    m_sink = accepted.sink_id;
    if (m_input.stream)
      ScheduleKeepAlive();
    m_exchange.SetRequestId(m_id);
  }

 private:
  void ScheduleKeepAlive() {
    m_runtime.entry_loop.PostAfter(
        kKeepAliveInterval, [self = shared_from_this()] {
          if (self->m_ended)
            return;
          if (self->m_stream.open() &&
              self->m_runtime.clock.Now() - self->m_last_token_at >=
                  kKeepAliveInterval)
            self->m_stream.Write(kKeepAliveComment);
          self->ScheduleKeepAlive();
        });
  }

  void OnUpdate(const CallerUpdate& update) {
    if (!update.tokens.empty())
      RecordTokens(update.tokens.size());
    const bool ended = update.outcome != Outcome::kRunning;
    if (update.outcome == Outcome::kNotRun) {
      ReplyNotRun(update);
    } else if (m_input.stream) {
      WriteStream(update, ended);
    } else {
      m_tokens.insert(m_tokens.end(), update.tokens.begin(),
                      update.tokens.end());
      if (ended)
        ReplyComplete(update);
    }
    m_ended = ended;
    if (ended)
      RecordOutcome(update.outcome);
  }

  void WriteStream(const CallerUpdate& update, bool ended) {
    m_stream.Open(MakeCallerGoneHandler(m_runtime, m_id, m_sink));
    std::string text;
    int index = update.index;
    for (const std::string& token : update.tokens) {
      text += FormatTokenEvent(m_id, m_input.model, index, token, index == 0);
      ++index;
    }
    if (ended)
      text += FormatEndEvents(m_id, update.outcome, update.reason);
    if (!text.empty())
      m_stream.Write(text);
    if (ended)
      m_stream.Close();
  }

  void ReplyComplete(const CallerUpdate& update) {
    if (update.outcome != Outcome::kFinished) {
      m_exchange.ReplyProblem({503,
                               update.reason,
                               "the request was accepted and not finished",
                               update.outcome,
                               Duration(0),
                               {}});
      return;
    }
    m_exchange.Reply(200,
                     {{"id", m_id},
                      {"object", "text_completion"},
                      {"model", m_input.model},
                      {"choices",
                       {{{"index", 0},
                         {"text", JoinTokens(m_tokens)},
                         {"finish_reason", "length"}}}},
                      {"usage", {{"completion_tokens", m_tokens.size()}}}});
  }

  void ReplyNotRun(const CallerUpdate& update) {
    // Jitter of up to the whole wait, so that the callers of one burst of
    // refusals do not retry at once.
    Random jitter(StableHash(m_id));
    const Duration wait(
        update.retry_after.count() +
        static_cast<int64_t>(jitter.UniformDouble() *
                             static_cast<double>(update.retry_after.count())));
    m_exchange.ReplyProblem({503,
                             update.reason,
                             "the request was not run",
                             Outcome::kNotRun,
                             wait,
                             {}});
  }

  void RecordTokens(size_t count) {
    const TimePoint now = m_runtime.clock.Now();
    const Labels rank{{"rank", std::string(kRankNames.Name(m_kind.rank))}};
    if (m_generated_tokens == 0) {
      m_time_to_first_token = now - m_started_at;
      m_runtime.metrics.GetHistogram("trefoilwick_first_token_seconds", rank)
          .Record(m_time_to_first_token);
    } else {
      m_runtime.metrics.GetHistogram("trefoilwick_between_tokens_seconds", rank)
          .Record((now - m_last_token_at) / static_cast<int64_t>(count));
    }
    m_last_token_at = now;
    m_generated_tokens += static_cast<int>(count);
  }

  void RecordOutcome(Outcome outcome) {
    const TimePoint now = m_runtime.clock.Now();
    const std::string rank(kRankNames.Name(m_kind.rank));
    m_runtime.limiter.Release(now, m_account, m_input.max_tokens,
                              m_generated_tokens);
    m_runtime.metrics
        .GetCounter("trefoilwick_requests_total",
                    {{"rank", rank},
                     {"outcome", std::string(kOutcomeNames.Name(outcome))}})
        .Add();
    const bool met_targets =
        m_time_to_first_token <= m_kind.first_token_target &&
        (m_generated_tokens < 2 ||
         (m_last_token_at - m_started_at - m_time_to_first_token) <=
             m_kind.between_tokens_target * (m_generated_tokens - 1));
    std::lock_guard lock(m_runtime.burn_rate_mutex);
    m_runtime.burn_rate_history.Record(
        m_runtime.clock.UnixMillis(), {rank, m_account},
        outcome == Outcome::kFinished && met_targets);
  }

  Runtime& m_runtime;
  HttpExchange m_exchange;
  CompletionInput m_input;
  std::string m_account;
  WorkKind m_kind;
  TimePoint m_started_at;
  EventStream m_stream;
  std::string m_id;
  uint64_t m_sink = 0;
  std::vector<std::string> m_tokens;
  int m_generated_tokens = 0;
  bool m_ended = false;
  Duration m_time_to_first_token{0};
  TimePoint m_last_token_at{};
};

// Finds the kind of work of a request; returns a problem when the caller cannot
// use it.
std::optional<Problem> ResolveKind(const Caller& caller,
                                   const CompletionInput& input,
                                   const WorkKind** kind) {
  *kind = input.kind.empty() ? caller.table->DefaultKindForModel(input.model)
                             : caller.table->FindKind(input.kind);
  if (!*kind && input.kind.empty())
    return NotRunProblem(404, "unknown_model",
                         "no kind of work serves this model");
  if (!*kind)
    return NotRunProblem(404, "unknown_kind",
                         "the table has no such kind of work");
  if ((*kind)->model != input.model)
    return NotRunProblem(400, "kind_model_mismatch",
                         "this kind of work does not use this model");
  if ((*kind)->rank < caller.account->rank_limit)
    return NotRunProblem(403, "rank_not_permitted",
                         "the account may not ask for work of this rank");
  return std::nullopt;
}

json OutcomeJson(const std::string& id, const std::string& outcome) {
  return {{"id", id}, {"outcome", outcome}};
}

}  // namespace

void HttpFrontend::HandleCompletion(const HttpExchange& exchange,
                                    const Caller& caller) {
  CompletionInput input;
  if (auto finding = ReadCompletionInput(exchange.body(), input)) {
    exchange.ReplyProblem(NotRunProblem(400, "bad_request", *finding));
    return;
  }
  const WorkKind* kind = nullptr;
  if (auto problem = ResolveKind(caller, input, &kind)) {
    exchange.ReplyProblem(*problem);
    return;
  }
  const uint64_t fingerprint = Fingerprint(input.model, input.prompt);
  {
    std::lock_guard lock(m_runtime.quarantine_mutex);
    if (m_runtime.quarantine.Contains(m_runtime.clock.UnixMillis(),
                                      fingerprint)) {
      exchange.ReplyProblem(
          NotRunProblem(422, "quarantined",
                        "requests with this content crashed backend servers"));
      return;
    }
  }
  if (auto refusal = m_runtime.limiter.Admit(
          m_runtime.clock.Now(), *caller.account, input.max_tokens)) {
    Problem problem = NotRunProblem(
        429, "limit_exceeded",
        "limit " + std::string(kLimitReasonNames.Name(refusal->reason)));
    problem.retry_after = std::max<Duration>(refusal->retry_after,
                                             std::chrono::milliseconds(100));
    exchange.ReplyProblem(problem);
    m_runtime.metrics.GetCounter("trefoilwick_limited_total").Add();
    return;
  }
  Submission submission;
  submission.account = caller.account->name;
  submission.account_weight = caller.account->weight;
  submission.kind = kind->name;
  submission.kind_weight = kind->weight;
  submission.kind_floor = kind->floor;
  submission.rank = kind->rank;
  submission.prompt = input.prompt;
  submission.max_tokens = input.max_tokens;
  submission.seed = input.seed;
  submission.fingerprint = fingerprint;
  submission.first_token_target = kind->first_token_target;
  submission.between_tokens_target = kind->between_tokens_target;
  auto session = std::make_shared<CompletionSession>(
      m_runtime, exchange, std::move(input), *caller.account, *kind);
  m_runtime.entry_loop.Post(
      [session, submission = std::move(submission)]() mutable {
        session->Start(std::move(submission));
      });
}

void HttpFrontend::ShowRequestOutcome(const HttpExchange& exchange,
                                      const Caller* caller) {
  const std::string id = exchange.path()[2];
  const auto parsed = ParseRequestId(id);
  if (!parsed) {
    exchange.ReplyProblem(
        NotRunProblem(404, "unknown_request", "this is not a request id"));
    return;
  }
  const std::string account = caller ? caller->account->name : "";
  if (parsed->entry == m_runtime.settings.id) {
    m_runtime.entry_loop.Post([this, exchange, id, parsed, account] {
      if (parsed->incarnation != m_runtime.incarnation) {
        exchange.Reply(200, OutcomeJson(id, "incomplete"));
        return;
      }
      const RequestView* view = m_runtime.entry->FindRequest(id);
      if (!view || (!account.empty() && view->account != account)) {
        exchange.ReplyProblem({404,
                               "unknown_request",
                               "outcomes are kept for a minute",
                               Outcome::kUnknown,
                               Duration(0),
                               {}});
        return;
      }
      json body =
          OutcomeJson(id, std::string(kOutcomeNames.Name(view->outcome)));
      body["tokens"] = view->tokens.size();
      body["reason"] = view->reason;
      body["attempts"] = view->attempts;
      exchange.Reply(200, body);
    });
    return;
  }
  m_runtime.control_loop.Post([this, exchange, id, parsed] {
    const auto members = m_runtime.members.Load();
    const Member* member = members->Find(parsed->entry);
    if (m_runtime.control->CertainlyGone(parsed->entry, parsed->incarnation) ||
        (member && member->incarnation > parsed->incarnation)) {
      exchange.Reply(200, OutcomeJson(id, "incomplete"));
      return;
    }
    const Problem owner_unreachable{
        503,
        "owner_unreachable",
        "the instance that owns the request does not answer",
        Outcome::kUnknown,
        std::chrono::seconds(2),
        {}};
    if (!member) {
      exchange.ReplyProblem(owner_unreachable);
      return;
    }
    const PeerCallOptions call{member->peer_address,
                               std::chrono::milliseconds(500), true};
    const bool posted = m_runtime.peer_pool.TryPost(
        [this, exchange, call, id, parsed, owner_unreachable] {
          auto outcome = m_runtime.peers.GetOutcome(call, id);
          if (!outcome.ok()) {
            exchange.ReplyProblem(owner_unreachable);
          } else if (outcome->incarnation != parsed->incarnation) {
            exchange.Reply(200, OutcomeJson(id, "incomplete"));
          } else {
            exchange.Reply(200, OutcomeJson(id, outcome->outcome));
          }
        });
    if (!posted)
      exchange.ReplyProblem(owner_unreachable);
  });
}

void HttpFrontend::ResumeStream(const HttpExchange& exchange,
                                const Caller* caller) {
  const std::string id = exchange.path()[2];
  const auto parsed = ParseRequestId(id);
  if (!parsed || parsed->entry != m_runtime.settings.id) {
    const auto members = m_runtime.members.Load();
    const Member* member = parsed ? members->Find(parsed->entry) : nullptr;
    if (!member || member->incarnation != parsed->incarnation) {
      exchange.ReplyProblem({404,
                             "unknown_request",
                             "the instance that owned the request is gone",
                             parsed ? Outcome::kIncomplete : Outcome::kNotRun,
                             Duration(0),
                             {}});
      return;
    }
    wh::http_response response(wh::status_codes::TemporaryRedirect);
    response.headers().add(
        "Location", "http://" + member->address + "/v1/requests/" + id +
                        "/stream?from=" + exchange.QueryParameter("from"));
    exchange.Send(std::move(response));
    return;
  }
  const std::string account = caller ? caller->account->name : "";
  const int first_index =
      std::max(0, std::atoi(exchange.QueryParameter("from").c_str()));
  m_runtime.entry_loop.Post([this, exchange, id, account,
                             first_index]() mutable {
    const RequestView* view = m_runtime.entry->FindRequest(id);
    if (!view || (!account.empty() && view->account != account)) {
      exchange.ReplyProblem({404,
                             "unknown_request",
                             "no stream of this id is kept here",
                             Outcome::kUnknown,
                             Duration(0),
                             {}});
      return;
    }
    exchange.SetRequestId(id);
    auto stream = std::make_shared<EventStream>(exchange);
    const auto write = [stream, id, first_index](const CallerUpdate& update) {
      std::string text;
      int index = update.index;
      for (const std::string& token : update.tokens) {
        if (index >= first_index)
          text += FormatTokenEvent(id, "", index, token, index == 0);
        ++index;
      }
      const bool ended = update.outcome != Outcome::kRunning;
      if (ended)
        text += FormatEndEvents(id, update.outcome, update.reason);
      if (!text.empty())
        stream->Write(text);
      if (ended)
        stream->Close();
    };
    CallerUpdate replay;
    replay.request = id;
    replay.tokens = view->tokens;
    replay.outcome = view->outcome;
    replay.reason = view->reason;
    uint64_t sink = 0;
    if (view->outcome == Outcome::kRunning)
      sink = m_runtime.entry->AddSink(id, write);
    stream->Open(MakeCallerGoneHandler(m_runtime, id, sink));
    write(replay);
  });
}

}  // namespace trefoilwick::detail
