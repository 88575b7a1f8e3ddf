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
// A streaming caller that lost its connection may resume within this time;
// afterwards the request is cancelled, so that servers are free in a second.
constexpr std::chrono::milliseconds kResumeGrace{500};
// The library notices a lost caller only when it writes. A stream without
// tokens, as while its request is queued, gets a comment this often.
constexpr std::chrono::milliseconds kKeepAlive{500};
constexpr char kKeepAliveEvent[] = ": waiting\n\n";

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

std::string TokenEvent(const std::string& id,
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

std::string EndEvents(const std::string& id,
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
        // The reply task reports the lost caller.
      }
    };
    // The sync hands the bytes to the reader at once; without it the listener
    // waits until its whole read buffer is full.
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

// Reports a lost caller once the time to resume is over.
std::function<void()> WhenCallerGone(Runtime& runtime,
                                     const std::string& request,
                                     uint64_t sink) {
  return [&runtime, request, sink] {
    runtime.entry_loop.PostAfter(kResumeGrace, [&runtime, request, sink] {
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
        m_started(runtime.clock.Now()),
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
    m_runtime.entry_loop.PostAfter(kKeepAlive, [self = shared_from_this()] {
      if (self->m_ended)
        return;
      if (self->m_stream.open() &&
          self->m_runtime.clock.Now() - self->m_last_token >= kKeepAlive)
        self->m_stream.Write(kKeepAliveEvent);
      self->ScheduleKeepAlive();
    });
  }

  void OnUpdate(const CallerUpdate& update) {
    if (!update.tokens.empty())
      RecordTokens(update.tokens.size());
    const bool ended = update.outcome != Outcome::kRunning;
    if (update.outcome == Outcome::kNotRun) {
      RefuseNotRun(update);
    } else if (m_input.stream) {
      WriteStream(update, ended);
    } else {
      m_tokens.insert(m_tokens.end(), update.tokens.begin(),
                      update.tokens.end());
      if (ended)
        ReplyWhole(update);
    }
    m_ended = ended;
    if (ended)
      RecordEnd(update.outcome);
  }

  void WriteStream(const CallerUpdate& update, bool ended) {
    m_stream.Open(WhenCallerGone(m_runtime, m_id, m_sink));
    std::string text;
    int index = update.index;
    for (const std::string& token : update.tokens) {
      text += TokenEvent(m_id, m_input.model, index, token, index == 0);
      ++index;
    }
    if (ended)
      text += EndEvents(m_id, update.outcome, update.reason);
    if (!text.empty())
      m_stream.Write(text);
    if (ended)
      m_stream.Close();
  }

  void ReplyWhole(const CallerUpdate& update) {
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

  void RefuseNotRun(const CallerUpdate& update) {
    // Spreads the callers of one refusal burst over twice the wait.
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
    if (m_generated == 0) {
      m_first_token = now - m_started;
      m_runtime.metrics.GetHistogram("trefoilwick_first_token_seconds", rank)
          .Record(m_first_token);
    } else {
      m_runtime.metrics.GetHistogram("trefoilwick_between_tokens_seconds", rank)
          .Record((now - m_last_token) / static_cast<int64_t>(count));
    }
    m_last_token = now;
    m_generated += static_cast<int>(count);
  }

  void RecordEnd(Outcome outcome) {
    const TimePoint now = m_runtime.clock.Now();
    const std::string rank(kRankNames.Name(m_kind.rank));
    m_runtime.limiter.Release(now, m_account, m_input.max_tokens, m_generated);
    m_runtime.metrics
        .GetCounter("trefoilwick_requests_total",
                    {{"rank", rank},
                     {"outcome", std::string(kOutcomeNames.Name(outcome))}})
        .Add();
    const bool on_time = m_first_token <= m_kind.first_token_target &&
                         (m_generated < 2 ||
                          (m_last_token - m_started - m_first_token) <=
                              m_kind.between_tokens_target * (m_generated - 1));
    std::lock_guard lock(m_runtime.burn_rate_mutex);
    m_runtime.burn_rate_history.Record(
        m_runtime.clock.UnixMillis(), {rank, m_account},
        outcome == Outcome::kFinished && on_time);
  }

  Runtime& m_runtime;
  HttpExchange m_exchange;
  CompletionInput m_input;
  std::string m_account;
  WorkKind m_kind;
  TimePoint m_started;
  EventStream m_stream;
  std::string m_id;
  uint64_t m_sink = 0;
  std::vector<std::string> m_tokens;
  int m_generated = 0;
  bool m_ended = false;
  Duration m_first_token{0};
  TimePoint m_last_token{};
};

// Finds the kind of work of a request, or the problem with it.
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
    const Problem unknown{503,
                          "owner_unreachable",
                          "the instance that owns the request does not answer",
                          Outcome::kUnknown,
                          std::chrono::seconds(2),
                          {}};
    if (!member) {
      exchange.ReplyProblem(unknown);
      return;
    }
    const PeerCallOptions call{member->peer_address,
                               std::chrono::milliseconds(500), true};
    const bool posted = m_runtime.peer_pool.TryPost(
        [this, exchange, call, id, parsed, unknown] {
          auto outcome = m_runtime.peers.GetOutcome(call, id);
          if (!outcome.ok()) {
            exchange.ReplyProblem(unknown);
          } else if (outcome->incarnation != parsed->incarnation) {
            exchange.Reply(200, OutcomeJson(id, "incomplete"));
          } else {
            exchange.Reply(200, OutcomeJson(id, outcome->outcome));
          }
        });
    if (!posted)
      exchange.ReplyProblem(unknown);
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
  const int from =
      std::max(0, std::atoi(exchange.QueryParameter("from").c_str()));
  m_runtime.entry_loop.Post([this, exchange, id, account, from]() mutable {
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
    const auto write = [stream, id, from](const CallerUpdate& update) {
      std::string text;
      int index = update.index;
      for (const std::string& token : update.tokens) {
        if (index >= from)
          text += TokenEvent(id, "", index, token, index == 0);
        ++index;
      }
      const bool ended = update.outcome != Outcome::kRunning;
      if (ended)
        text += EndEvents(id, update.outcome, update.reason);
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
    stream->Open(WhenCallerGone(m_runtime, id, sink));
    write(replay);
  });
}

}  // namespace trefoilwick::detail
