// HTTP interface for callers and operators.
#pragma once

#include <cpprest/http_listener.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "runtime.h"

namespace trefoilwick::detail {

// An error response (problem details, RFC 9457).
struct Problem {
  int status = 500;
  // Last part of the problem type, e.g. "limit_exceeded".
  std::string type;
  std::string detail;
  Outcome outcome = Outcome::kNotRun;
  // 0 for no Retry-After header.
  Duration retry_after{0};
  // Other entry instances that callers can use when this one is draining.
  std::vector<std::string> alternatives;
};

// A problem of a request that certainly did not run and would be rejected
// again.
inline Problem NotRunProblem(int status, std::string type, std::string detail) {
  Problem problem;
  problem.status = status;
  problem.type = std::move(type);
  problem.detail = std::move(detail);
  return problem;
}

// One HTTP request with its body and its pending response. Copies share the
// request; the first response is sent, later ones are dropped.
class HttpExchange {
 public:
  HttpExchange(Runtime& runtime, const web::http::http_request& request);
  const std::string& method() const { return m_state->method; }
  // Decoded path segments.
  const std::vector<std::string>& path() const { return m_state->path; }
  std::string QueryParameter(const std::string& name) const;
  std::string Header(const std::string& name) const;
  const std::string& body() const { return m_state->body; }
  void SetBody(std::string body);
  // From here on a graceful stop waits for the response.
  void SetDispatched();
  // Returns a function that responds with 408 when it is called before the body
  // was read. The function does not keep the exchange alive.
  std::function<void()> MakeBodyTimeoutHandler() const;
  void SetRequestId(const std::string& id) const { m_state->request_id = id; }
  const std::string& request_id() const { return m_state->request_id; }
  web::http::http_request& raw() { return m_state->request; }

  void Reply(int status, const nlohmann::json& body) const;
  void ReplyText(int status,
                 const std::string& body,
                 const std::string& content_type) const;
  void ReplyProblem(const Problem& problem) const;
  // Adds the headers that every response has and sends it. `done` is called
  // with false when the caller has disconnected.
  void Send(web::http::http_response response,
            std::function<void(bool)> done = nullptr) const;

 private:
  struct State {
    explicit State(Runtime& with_runtime) : runtime(with_runtime) {}
    ~State();
    Runtime& runtime;
    web::http::http_request request;
    std::string method;
    std::vector<std::string> path;
    std::string body;
    std::string request_id;
    std::atomic<bool> body_read{false};
    bool dispatched = false;
    std::atomic<bool> response_sent{false};
  };
  explicit HttpExchange(std::shared_ptr<State> state);
  std::shared_ptr<State> m_state;
};

// An authenticated caller, with the table that applies to its request.
struct Caller {
  std::shared_ptr<const Table> table;
  const Account* account = nullptr;
};

class HttpFrontend {
 public:
  explicit HttpFrontend(Runtime& runtime);
  // kUnavailable when the address cannot be bound.
  absl::Status Start();
  void Stop();

 private:
  void OnRequest(const web::http::http_request& request);
  void ReadBody(HttpExchange exchange);
  void Dispatch(HttpExchange exchange);
  void DispatchAdmin(const HttpExchange& exchange);
  std::optional<Caller> Authenticate(const HttpExchange& exchange) const;
  bool IsOperator(const HttpExchange& exchange) const;
  // Refuses new work and returns true when this instance is draining.
  bool RefuseWhenDraining(const HttpExchange& exchange) const;

  // daemon_completions.cc
  void HandleCompletion(const HttpExchange& exchange, const Caller& caller);
  void ResumeStream(const HttpExchange& exchange, const Caller* caller);
  void ShowRequestOutcome(const HttpExchange& exchange, const Caller* caller);
  // daemon_services.cc
  void HandleServiceCall(const HttpExchange& exchange, const Caller& caller);
  void ShowOperationOutcome(const HttpExchange& exchange, const Caller& caller);
  void SubmitBatchJob(const HttpExchange& exchange, const Caller& caller);
  void ShowBatch(const HttpExchange& exchange, const Caller& caller);
  // daemon_admin.cc
  void ShowEntries(const HttpExchange& exchange) const;
  void ShowTable(const HttpExchange& exchange);
  void ApplyTable(const HttpExchange& exchange);
  // Asks every member for the table version it has in force.
  void ShowVersions(const HttpExchange& exchange);
  void ShowTableHistory(const HttpExchange& exchange);
  void ShowStatus(const HttpExchange& exchange);
  void ShowBurnRates(const HttpExchange& exchange);
  void HandleQuarantine(const HttpExchange& exchange);
  // Posts a blocking task to the store pool, or refuses with 503.
  void PostToStorePool(const HttpExchange& exchange,
                       std::function<void()> task);

  Runtime& m_runtime;
  std::unique_ptr<web::http::experimental::listener::http_listener> m_listener;
};

// Starts draining the instance (on SIGTERM or the drain command); returns
// immediately.
void StartDraining(Runtime& runtime);

}  // namespace trefoilwick::detail
