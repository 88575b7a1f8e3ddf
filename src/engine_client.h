// Asynchronous HTTP/JSON calls to backend servers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "trefoilwick/kernel.h"
#include "trefoilwick/pipeline.h"

namespace trefoilwick::detail {

struct HttpResult {
  // Set when no complete response arrived.
  std::optional<CallFailure> failure;
  // It is certain that nothing was sent, as when the connection was refused.
  bool certainly_not_sent = false;
  int status = 0;
  std::string body;
  std::string content_type;
};

struct HttpCall {
  // host:port
  std::string address;
  std::string method = "POST";
  std::string path;
  std::string body;
  // Client account and request, for the server's own records.
  std::string user;
  std::string request_id;
  std::string idempotency_key;
  std::string bearer_token;
  // Closes the pooled connections to the address and opens a new one.
  bool fresh_connection = false;
};

// Cancels a call, whose callback then reports kNoReply. Thread-safe.
using CancelCall = std::function<void()>;

// Thread-safe. Callbacks run on the one thread that serves all connections and
// must not block. A call times out after 60 s; for a shorter deadline its owner
// cancels it. A call without `idempotency_key` is retried when the server had
// closed the pooled connection on which it was sent; a call with one uses a new
// connection and is sent once.
class BackendHttpClient {
 public:
  BackendHttpClient();
  ~BackendHttpClient();
  CancelCall Call(const HttpCall& call, std::function<void(HttpResult)> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

// Bodies of the engine protocol (docs/design.md, section 10).
std::string EncodeStep(const SendStep& step, const std::string& step_id);
std::string EncodeClaim(uint64_t epoch, const std::string& owner);
std::string EncodeRelease(
    const std::vector<std::pair<std::string, uint64_t>>& requests);
absl::StatusOr<std::vector<StepResultItem>> DecodeStepReply(
    const std::string& body);
// Returns 0 when the body contains no epoch.
uint64_t DecodeNewestEpoch(const std::string& body);

}  // namespace trefoilwick::detail
