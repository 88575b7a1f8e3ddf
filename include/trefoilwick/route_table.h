// Immutable snapshot of the routes, services, client accounts and limits that
// the operators set, with the look-ups needed to handle a request.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// Whether a request may run more than once. A stream that cannot be resumed
// runs at most once.
enum class RouteKind : uint8_t { kIdempotent, kNonIdempotent, kStream };
inline constexpr auto kRouteKindNames = MakeEnumTable<RouteKind>({
    {RouteKind::kIdempotent, "idempotent"},
    {RouteKind::kNonIdempotent, "non_idempotent"},
    {RouteKind::kStream, "stream"},
});

struct WeightedService {
  std::string service;
  double weight = 1;
};

// Requests of one host whose path begins with `prefix`.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // Maximum time until the response is complete.
  Duration timeout{0};
  // Target for the time to the response, or to its first part.
  Duration latency_target{0};
  // Maximum time between events of a stream that counts as on time.
  Duration event_interval_target{0};
  // 0 is the most urgent.
  int rank = 0;
  std::vector<WeightedService> services;
  // Maximum number of backend servers that one request is sent to.
  int max_attempts = 1;
  bool is_public = false;
  bool resumable = false;

  // True when a request may run on a second server after it may have run.
  bool AllowsReexecution() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

// Memory and relative speed of one kind of accelerator. Scales multiply times.
struct AcceleratorKind {
  double memory_mb = 0;
  double step_scale = 1;
  double prefill_scale = 1;
};

// Cost model of the servers of one model whose layers are spread over them.
struct EngineModel {
  int layers = 0;
  // Maximum number of requests that a server runs at once.
  int max_sequences = 0;
  double layer_mb = 0;
  // KV cache of one token over all layers.
  double kv_bytes_per_token = 0;
  // Bytes sent from one server to the next per token.
  double activation_bytes = 0;
  double step_ms = 0;
  double step_ms_per_sequence = 0;
  double step_ms_per_1k_context_tokens = 0;
  double prefill_tokens_per_ms = 1;
  // Time to load all layers.
  double model_load_ms = 0;
  int max_concurrent_loads = 1;
  // Rate of the link between two data centers, shared by all transfers.
  double data_center_link_mbps = 0;
  // Mean lengths in tokens.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
  std::map<std::string, AcceleratorKind> accelerator_kinds;
};

struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;
  std::optional<EngineModel> engine;
};

// Limits on what a client may send and how long it may take.
struct ClientLimits {
  size_t max_header_bytes = 16384;
  size_t max_body_bytes = 1 << 20;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct ClientAccount {
  std::string name;
  std::vector<std::string> keys;
  // Takes precedence over the rank of the route; null to use that rank.
  std::optional<int> rank;
};

// One version of the routes, services, accounts and limits. Immutable once
// built.
class RouteTable {
 public:
  class Builder;

  int64_t version() const { return m_version; }
  const ClientLimits& limits() const { return m_limits; }
  // True when only accounts may use the routes that are not public. A list of
  // accounts that is empty lets nobody in.
  bool requires_account() const { return m_requires_account; }
  const std::vector<Route>& routes() const { return m_routes; }
  const std::map<std::string, Service>& services() const { return m_services; }

  // The route with the longest prefix of `path` among those of `host`, or null.
  // `host` is compared without case and without a port.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Null when no account holds the key.
  const ClientAccount* FindAccount(const std::string& key) const;
  const Service* FindService(const std::string& name) const;
  // Ranks that requests to each service can have, by their route or account.
  std::map<std::string, std::set<int>> RanksByService() const;

 private:
  int64_t m_version = 0;
  ClientLimits m_limits;
  std::vector<Route> m_routes;
  std::map<std::string, Service> m_services;
  std::vector<ClientAccount> m_accounts;
  bool m_requires_account = false;
  // Host -> prefix -> index in m_routes.
  std::unordered_map<std::string, std::unordered_map<std::string, size_t>>
      m_routes_by_host;
  std::unordered_map<std::string, size_t> m_accounts_by_key;
};

class RouteTable::Builder {
 public:
  explicit Builder(int64_t version) { m_table.m_version = version; }
  Builder& SetLimits(const ClientLimits& limits);
  Builder& AddRoute(Route route);
  Builder& AddService(Service service);
  // The configuration has a list of accounts, which may be empty.
  Builder& RequireAccount();
  Builder& AddAccount(ClientAccount account);
  RouteTable Build();

 private:
  RouteTable m_table;
};

}  // namespace trefoilwick
