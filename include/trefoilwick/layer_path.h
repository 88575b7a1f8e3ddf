// Paths of a request over backend servers that each hold some layers of a
// model, and the placement of layers on servers. Pure decisions, without I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trefoilwick/route_table.h"

namespace trefoilwick {

// Layers [from, to).
struct LayerRange {
  int from = 0;
  int to = 0;
  int size() const { return to - from; }
  bool Contains(int layer) const { return layer >= from && layer < to; }
  bool operator==(const LayerRange&) const = default;
};

enum class ServerState : uint8_t { kReady, kDraining };

// What the server list says of one backend server.
struct BackendServer {
  std::string id;
  std::string service;
  // IP:PORT.
  std::string address;
  std::string data_center;
  ServerState state = ServerState::kReady;
  // Accelerator kind; empty for plain services.
  std::string kind;
  // Layers that it holds, if any.
  std::optional<LayerRange> layers;
  // Unix milliseconds of its start.
  int64_t start_unix_ms = 0;
  bool operator==(const BackendServer&) const = default;
};

// One snapshot of the server list, by id.
using ServerMap = std::map<std::string, BackendServer>;

// Work that is on a server now.
struct ServerLoad {
  // KV cache in use or reserved, in tokens times layers.
  double token_layers = 0;
  // Requests whose path includes the server.
  int sequences = 0;
};
using LoadMap = std::map<std::string, ServerLoad>;

struct PathStage {
  std::string server;
  LayerRange layers;
  bool operator==(const PathStage&) const = default;
};
using LayerPath = std::vector<PathStage>;
// Parts that a path may have at most.
inline constexpr size_t kMaxPathStages = 32;

// True when the parts run every layer of [0, layers) once, in order, on
// distinct servers that hold them.
bool IsCompletePath(const LayerPath& path,
                    int layers,
                    const ServerMap& servers);

// Hops of the path that lead to another data center.
int CountCrossDataCenterHops(const LayerPath& path, const ServerMap& servers);

// Tokens times layers that fit beside the held layers; 0 when nothing does.
double KvCapacity(const EngineModel& engine, const BackendServer& server);

struct PathRequest {
  std::string service;
  // Prompt and expected answer, in tokens.
  double tokens = 0;
  double prompt_tokens = 0;
  std::string data_center;
  // Servers not to use.
  std::set<std::string> excluded;
  // Servers that cannot be reached from here, but by other servers.
  std::set<std::string> excluded_as_first;
  // Servers that may be the first; empty for any.
  std::set<std::string> allowed_first_servers;
  // Set for a request in progress, whose first part must stay as it is.
  std::optional<PathStage> pinned_first_stage;
  // Milliseconds that servers still read prompts sent to them before; none for
  // those that are missing.
  std::map<std::string, double> prefill_backlog_ms;
  // Servers that are slower than their kind, and by which factor.
  std::map<std::string, double> slowdowns;
  // Varies the choice among servers that are about as good; 0 for none.
  uint64_t jitter_seed = 0;
  // The path may lead through several data centers when none has room for it.
  // All such paths share the links between them, which carry a small part of
  // the traffic only.
  bool allow_cross_data_center = false;
};

struct PathChoice {
  LayerPath path;
  // Estimated milliseconds for one token round the path.
  double token_ms = 0;
  // Largest share of KV memory in use on a part, this request included.
  double max_utilization = 0;
  // What the choice was made by: weighted milliseconds.
  double cost = 0;
};

// The cheapest whole path by estimated time, with a penalty on servers that
// are nearly full and on links between data centers. A path inside one data
// center goes before all that cross, however crowded. `most_use` bounds the
// share of KV memory in use on each part. Null when there is no such path. Load
// pattern: steady traffic that must spread over unequal servers, and bursts
// that fill the memory of some of them.
std::optional<PathChoice> ChoosePath(const EngineModel& engine,
                                     const ServerMap& servers,
                                     const LoadMap& loads,
                                     const PathRequest& request,
                                     double most_use);

// True when some data center holds all layers of the service by itself, on
// ready servers that are not excluded.
bool HasSingleDataCenterPath(const EngineModel& engine,
                             const ServerMap& servers,
                             const std::string& service,
                             const std::set<std::string>& excluded);

// Prompts that servers have been sent and not read yet, as far as one instance
// knows. Load pattern: a server is lost and all of its streams are read again
// at the same moment; sent to the one cheapest path they wait for each other.
class PrefillBacklog {
 public:
  // The parts of `path` are sent `tokens` to read. Servers in `kept` hold them
  // already. `copies` is the number of requests like this one that all
  // instances send together, over those of this instance.
  void AddPrefill(TimePoint now,
                  const EngineModel& engine,
                  const ServerMap& servers,
                  const LayerPath& path,
                  const std::set<std::string>& kept,
                  double tokens,
                  double copies);
  // By server, those that still read.
  std::map<std::string, double> RemainingMsByServer(TimePoint now);

 private:
  std::map<std::string, TimePoint> m_prefill_ends_at;
};

// Milliseconds until the parts of `path`, less the servers in `kept`, have read
// `tokens`, after what is in `backlog_ms`.
double EstimatePrefillMs(const EngineModel& engine,
                         const ServerMap& servers,
                         const LayerPath& path,
                         const std::set<std::string>& kept,
                         double tokens,
                         const std::map<std::string, double>& backlog_ms);

// Bounds the paths that one instance leads over the links between data centers.
// Load pattern: every data center lacks a layer; beyond what the links carry,
// crossing paths slow each other down until nothing is on time.
class CrossDataCenterBudget {
 public:
  // `tokens` pass a link `crossings` times; true when that fits. `instances`
  // share the links. `needed` when no data center holds all layers: then a
  // request fits after a pause, however small the share is.
  bool CanConsume(TimePoint now,
                  const EngineModel& engine,
                  size_t instances,
                  double tokens,
                  int crossings,
                  bool needed);
  void Consume(double tokens, int crossings) { m_tokens -= tokens * crossings; }

 private:
  double m_tokens = 0;
  TimePoint m_last_refill;
};

// What is known of the length of a request, in tokens; 0 when it is not.
struct TokenEstimate {
  double prompt = 0;
  // The client's estimate of the answer, and the longest that it accepts.
  double answer_hint = 0;
  double max_answer = 0;
  // Mean of all answers of the model.
  double mean_answer = 0;
};

// Tokens of KV memory to reserve for a request: what it holds on average over
// its time. Load pattern: a burst that fills the memory. With the full length
// reserved, servers refused work while a quarter of their memory was free.
double ReservedTokens(const TokenEstimate& estimate);

// Largest share of a server's KV memory that reservations may take. Streams in
// progress go on to more than new ones may take: whoever lost a server keeps
// what was begun.
double MaxMemoryUtilization(bool in_progress);

// One order to a server: hold exactly `layers`.
struct PlacementOrder {
  std::string server;
  LayerRange layers;
  bool operator==(const PlacementOrder&) const = default;
};

// The next orders towards a layout in which every data center with enough
// memory holds each layer of the service, with about the same room for tokens
// on every server. Servers keep what they hold unless a layer is missing or
// much scarcer than it need be; then layers are loaded before they are given
// up elsewhere. `down` are servers believed lost, `pending` the orders that
// servers carry out now. Empty servers in `fresh` only take layers that nobody
// holds: often they replace a server that is about to leave. Deterministic:
// every instance computes the same orders from the same list. Load pattern:
// servers that start empty, come back empty, or are lost.
std::vector<PlacementOrder> PlanPlacement(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::string& service,
    const std::set<std::string>& down,
    const std::map<std::string, LayerRange>& pending,
    const std::set<std::string>& fresh = {});

// How well one data center holds the layers of a model.
struct LayoutHealth {
  // Layers without a ready server.
  int uncovered_layers = 0;
  // Tokens that the scarcest layer has room for over its holders.
  double min_layer_capacity_tokens = 0;
  int servers = 0;
  int empty_servers = 0;
};
// By data center. Servers in `down` count as gone.
std::map<std::string, LayoutHealth> AssessLayout(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::string& service,
    const std::set<std::string>& down);

// Layers that a server of this kind may hold at most.
int MaxLayers(const EngineModel& engine, const std::string& kind);

}  // namespace trefoilwick
