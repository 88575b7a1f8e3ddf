#include <algorithm>
#include <utility>

#include "http_front.h"

namespace trefoilwick::detail {

namespace wh = web::http;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds kBodyTimeout{10};
constexpr size_t kMaxUriBytes = 4096;

std::string TitleForStatus(int status) {
  switch (status) {
    case 400:
      return "Bad request";
    case 401:
      return "Not authenticated";
    case 403:
      return "Not permitted";
    case 404:
      return "Not found";
    case 405:
      return "Method not allowed";
    case 408:
      return "Request body timeout";
    case 409:
      return "Conflict";
    case 411:
      return "Content-Length required";
    case 413:
      return "Request body too large";
    case 414:
      return "Request target too long";
    case 422:
      return "Unprocessable content";
    case 429:
      return "Limit exceeded";
    case 502:
      return "Backend server failed";
    case 503:
      return "Service unavailable";
    default:
      return "Error";
  }
}

// Returns a problem when the headers show that the body cannot be read safely.
std::optional<Problem> CheckBodyHeaders(const wh::http_request& request,
                                        size_t max_body_bytes) {
  const auto& headers = request.headers();
  const bool chunked = headers.has("Transfer-Encoding");
  if (chunked) {
    return NotRunProblem(411, "length_required",
                         "requests with Transfer-Encoding are not accepted");
  }
  if (!headers.has("Content-Length"))
    return std::nullopt;
  const std::string value = headers.find("Content-Length")->second;
  const bool digits = !value.empty() && value.size() < 16 &&
                      std::all_of(value.begin(), value.end(),
                                  [](char c) { return c >= '0' && c <= '9'; });
  if (!digits) {
    return NotRunProblem(400, "bad_content_length",
                         "Content-Length is not a number of bytes");
  }
  if (std::stoull(value) > max_body_bytes) {
    return NotRunProblem(
        413, "body_too_large",
        "the limit is " + std::to_string(max_body_bytes) + " bytes");
  }
  return std::nullopt;
}

}  // namespace

HttpExchange::State::~State() {
  if (dispatched)
    runtime.unanswered_requests.fetch_sub(1);
  runtime.open_requests.fetch_sub(1);
}

HttpExchange::HttpExchange(Runtime& runtime, const wh::http_request& request)
    : m_state(std::make_shared<State>(runtime)) {
  runtime.open_requests.fetch_add(1);
  m_state->request = request;
  m_state->method = m_state->request.method();
  const auto uri = m_state->request.relative_uri();
  for (const std::string& part : web::uri::split_path(uri.path()))
    m_state->path.push_back(web::uri::decode(part));
  m_state->request_id = FormatRequestId(
      {runtime.settings.id, runtime.incarnation,
       (uint64_t{1} << 48) | runtime.next_request_number.fetch_add(1)});
}

HttpExchange::HttpExchange(std::shared_ptr<State> state)
    : m_state(std::move(state)) {}

void HttpExchange::SetBody(std::string body) {
  m_state->body = std::move(body);
  m_state->body_read.store(true);
}

void HttpExchange::SetDispatched() {
  m_state->dispatched = true;
  m_state->runtime.unanswered_requests.fetch_add(1);
}

std::function<void()> HttpExchange::MakeBodyTimeoutHandler() const {
  return [weak = std::weak_ptr<State>(m_state)] {
    auto state = weak.lock();
    if (!state || state->body_read.load())
      return;
    HttpExchange(state).ReplyProblem(NotRunProblem(
        408, "body_timeout", "the request body did not arrive in time"));
  };
}

std::string HttpExchange::QueryParameter(const std::string& name) const {
  const auto query =
      web::uri::split_query(m_state->request.relative_uri().query());
  auto it = query.find(name);
  return it == query.end() ? "" : web::uri::decode(it->second);
}

std::string HttpExchange::Header(const std::string& name) const {
  const auto& headers = m_state->request.headers();
  auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

void HttpExchange::Send(wh::http_response response,
                        std::function<void(bool)> done) const {
  if (m_state->response_sent.exchange(true))
    return;
  response.headers().add("X-Request-Id", m_state->request_id);
  if (m_state->runtime.draining.load())
    response.headers().add("Connection", "close");
  // The state is kept until the response is written, so that a graceful stop
  // counts the request as open.
  m_state->request.reply(response).then(
      [state = m_state, done = std::move(done)](const pplx::task<void>& task) {
        bool sent = true;
        try {
          task.get();
        } catch (const std::exception&) {
          sent = false;
        }
        if (done)
          done(sent);
      });
}

void HttpExchange::Reply(int status, const json& body) const {
  ReplyText(status, body.dump(-1, ' ', false, json::error_handler_t::replace),
            "application/json");
}

void HttpExchange::ReplyText(int status,
                             const std::string& body,
                             const std::string& content_type) const {
  wh::http_response response(static_cast<wh::status_code>(status));
  response.set_body(body, content_type);
  Send(std::move(response));
}

void HttpExchange::ReplyProblem(const Problem& problem) const {
  json body{{"type", "urn:trefoilwick:problem:" + problem.type},
            {"title", TitleForStatus(problem.status)},
            {"status", problem.status},
            {"detail", problem.detail},
            {"outcome", std::string(kOutcomeNames.Name(problem.outcome))},
            {"request_id", m_state->request_id}};
  if (!problem.alternatives.empty())
    body["entries"] = problem.alternatives;
  wh::http_response response(static_cast<wh::status_code>(problem.status));
  if (problem.retry_after.count() > 0) {
    const int64_t seconds = (problem.retry_after.count() + 999'999) / 1'000'000;
    response.headers().add("Retry-After", std::to_string(seconds));
    body["retry_after_ms"] = problem.retry_after.count() / 1000;
  }
  response.set_body(body.dump(-1, ' ', false, json::error_handler_t::replace),
                    "application/problem+json");
  Send(std::move(response));
}

HttpFrontend::HttpFrontend(Runtime& runtime) : m_runtime(runtime) {}

absl::Status HttpFrontend::Start() {
  const std::string url = "http://" + m_runtime.settings.address;
  try {
    m_listener =
        std::make_unique<wh::experimental::listener::http_listener>(url);
    m_listener->support(
        [this](const wh::http_request& request) { OnRequest(request); });
    m_listener->open().wait();
  } catch (const std::exception& error) {
    return MakeStatus(
        absl::StatusCode::kUnavailable,
        "cannot listen on " + m_runtime.settings.address + ": " + error.what());
  }
  return absl::OkStatus();
}

void HttpFrontend::Stop() {
  if (m_listener)
    m_listener->close().wait();
}

void HttpFrontend::OnRequest(const wh::http_request& request) {
  HttpExchange exchange(m_runtime, request);
  if (m_runtime.open_requests.load() > m_runtime.settings.max_connections) {
    exchange.ReplyProblem({503,
                           "too_many_requests_open",
                           "too many requests are open on this instance",
                           Outcome::kNotRun,
                           std::chrono::seconds(1),
                           {}});
    return;
  }
  if (exchange.raw().relative_uri().to_string().size() > kMaxUriBytes) {
    exchange.ReplyProblem(
        NotRunProblem(414, "uri_too_long", "the request target is too long"));
    return;
  }
  const std::string& method = exchange.method();
  if (method != "GET" && method != "POST") {
    exchange.ReplyProblem(
        NotRunProblem(405, "method_not_allowed", "use GET or POST"));
    return;
  }
  if (auto problem =
          CheckBodyHeaders(exchange.raw(), m_runtime.settings.max_body_bytes)) {
    exchange.ReplyProblem(*problem);
    return;
  }
  if (method == "GET")
    Dispatch(std::move(exchange));
  else
    ReadBody(std::move(exchange));
}

void HttpFrontend::ReadBody(HttpExchange exchange) {
  // The HTTP library waits for an incomplete body without a timeout.
  m_runtime.entry_loop.PostAfter(kBodyTimeout,
                                 exchange.MakeBodyTimeoutHandler());
  exchange.raw().extract_vector().then(
      [this,
       exchange](const pplx::task<std::vector<unsigned char>>& task) mutable {
        try {
          const auto bytes = task.get();
          exchange.SetBody(std::string(bytes.begin(), bytes.end()));
        } catch (const std::exception& error) {
          exchange.ReplyProblem(
              NotRunProblem(400, "body_unreadable", error.what()));
          return;
        }
        Dispatch(std::move(exchange));
      });
}

std::optional<Caller> HttpFrontend::Authenticate(
    const HttpExchange& exchange) const {
  const std::string header = exchange.Header("Authorization");
  constexpr std::string_view kPrefix = "Bearer ";
  Caller caller;
  caller.table = m_runtime.table.Load();
  if (!caller.table || caller.table->version() == 0) {
    exchange.ReplyProblem({503,
                           "no_table",
                           "no operators' table is in force on this instance",
                           Outcome::kNotRun,
                           std::chrono::seconds(2),
                           {}});
    return std::nullopt;
  }
  if (header.rfind(kPrefix, 0) == 0) {
    caller.account = caller.table->FindAccountByKeyHash(
        Sha256Hex(header.substr(kPrefix.size())));
  }
  if (!caller.account) {
    exchange.ReplyProblem(NotRunProblem(
        401, "unknown_key", "the bearer key names no client account"));
    return std::nullopt;
  }
  return caller;
}

bool HttpFrontend::IsOperator(const HttpExchange& exchange) const {
  const std::string header = exchange.Header("Authorization");
  constexpr std::string_view kPrefix = "Bearer ";
  return header.rfind(kPrefix, 0) == 0 &&
         Sha256Hex(header.substr(kPrefix.size())) ==
             m_runtime.settings.operator_key_sha256;
}

bool HttpFrontend::RefuseWhenDraining(const HttpExchange& exchange) const {
  if (!m_runtime.refusing_new_work.load())
    return false;
  Problem problem{503,
                  "leaving",
                  "this instance is leaving; use another",
                  Outcome::kNotRun,
                  std::chrono::seconds(1),
                  {}};
  const auto members = m_runtime.members.Load();
  for (const auto& candidate : members->schedulers)
    if (const Member* member = members->Find(candidate.id))
      problem.alternatives.push_back(member->address);
  exchange.ReplyProblem(problem);
  return true;
}

void HttpFrontend::PostToStorePool(const HttpExchange& exchange,
                                   std::function<void()> task) {
  if (m_runtime.store_pool.TryPost(std::move(task)))
    return;
  exchange.ReplyProblem({503,
                         "store_busy",
                         "too many calls wait for the platform's store",
                         Outcome::kNotRun,
                         std::chrono::seconds(1),
                         {}});
}

void HttpFrontend::Dispatch(HttpExchange exchange) {
  exchange.SetDispatched();
  const auto& path = exchange.path();
  const std::string& method = exchange.method();
  const auto path_segment_is = [&](size_t index, const char* name) {
    return path.size() > index && path[index] == name;
  };
  if (path.size() == 1 && method == "GET") {
    if (path_segment_is(0, "healthz")) {
      exchange.Reply(200, {{"status", "ok"}});
      return;
    }
    if (path_segment_is(0, "readyz")) {
      const auto table = m_runtime.table.Load();
      const auto fleet = m_runtime.fleet.Load();
      const bool ready = !m_runtime.draining.load() && table &&
                         table->version() > 0 && !fleet->chains.empty();
      exchange.Reply(ready ? 200 : 503,
                     {{"ready", ready},
                      {"leaving", m_runtime.draining.load()},
                      {"table_version", table ? table->version() : 0},
                      {"chains", fleet->chains.size()}});
      return;
    }
    if (path_segment_is(0, "metrics")) {
      exchange.ReplyText(200, m_runtime.metrics.RenderPrometheus(),
                         "text/plain; version=0.0.4");
      return;
    }
  }
  if (path_segment_is(0, "v1") && path.size() >= 2) {
    if (path.size() == 2 && path_segment_is(1, "entries") && method == "GET") {
      ShowEntries(exchange);
      return;
    }
    if (path_segment_is(1, "admin")) {
      DispatchAdmin(exchange);
      return;
    }
    if (path_segment_is(1, "requests") && path.size() >= 3 && method == "GET") {
      std::optional<Caller> caller;
      if (!IsOperator(exchange)) {
        caller = Authenticate(exchange);
        if (!caller)
          return;
      }
      if (path.size() == 4 && path_segment_is(3, "stream"))
        ResumeStream(exchange, caller ? &*caller : nullptr);
      else
        ShowRequestOutcome(exchange, caller ? &*caller : nullptr);
      return;
    }
    const auto caller = Authenticate(exchange);
    if (!caller)
      return;
    if (path_segment_is(1, "operations") && path.size() == 3 &&
        method == "GET") {
      ShowOperationOutcome(exchange, *caller);
      return;
    }
    if (path_segment_is(1, "batches") && method == "GET" && path.size() >= 3) {
      ShowBatch(exchange, *caller);
      return;
    }
    if (method == "POST") {
      if (RefuseWhenDraining(exchange))
        return;
      if (path_segment_is(1, "completions") && path.size() == 2) {
        HandleCompletion(exchange, *caller);
        return;
      }
      if (path_segment_is(1, "services") && path.size() >= 3) {
        HandleServiceCall(exchange, *caller);
        return;
      }
      if (path_segment_is(1, "batches") && path.size() == 2) {
        SubmitBatchJob(exchange, *caller);
        return;
      }
    }
  }
  exchange.ReplyProblem(NotRunProblem(404, "not_found", "no such resource"));
}

void HttpFrontend::DispatchAdmin(const HttpExchange& exchange) {
  if (!IsOperator(exchange)) {
    exchange.ReplyProblem(
        NotRunProblem(401, "operator_key_required",
                      "the bearer key is not the operators' key"));
    return;
  }
  const auto& path = exchange.path();
  const std::string resource = path.size() > 2 ? path[2] : "";
  const bool post = exchange.method() == "POST";
  if (resource == "table" && path.size() == 3) {
    if (post)
      ApplyTable(exchange);
    else
      ShowTable(exchange);
  } else if (resource == "history" && !post) {
    ShowTableHistory(exchange);
  } else if (resource == "versions" && !post) {
    ShowVersions(exchange);
  } else if (resource == "status" && !post) {
    ShowStatus(exchange);
  } else if (resource == "burn" && !post) {
    ShowBurnRates(exchange);
  } else if (resource == "quarantine") {
    HandleQuarantine(exchange);
  } else if (resource == "drain" && post) {
    StartDraining(m_runtime);
    exchange.Reply(200, {{"leaving", true}});
  } else {
    exchange.ReplyProblem(NotRunProblem(404, "not_found", "no such resource"));
  }
}

}  // namespace trefoilwick::detail
