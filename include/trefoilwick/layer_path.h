// Chooses the paths of requests over backend servers that each hold some layers
// of a model, and plans the placement of layers on servers. Does no I/O.
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

// One process of a backend server. A server may start again under the same id.
struct ServerProcess {
  std::string id;
  // Start time in milliseconds since the Unix epoch; 0 when it is not known.
  int64_t start_unix_ms = 0;
  bool operator==(const ServerProcess&) const = default;
};

// Entry of the server list for one backend server.
struct BackendServer {
  std::string id;
  std::string service;
  // IP:PORT.
  std::string address;
  std::string data_center;
  ServerState state = ServerState::kReady;
  // Accelerator kind; empty for plain services.
  std::string kind;
  // Layers that the server holds, if any.
  std::optional<LayerRange> layers;
  // Start of the process, in Unix milliseconds.
  int64_t start_unix_ms = 0;
  ServerProcess process() const { return {id, start_unix_ms}; }
  bool operator==(const BackendServer&) const = default;
};

// One snapshot of the server list, by id.
using ServerMap = std::map<std::string, BackendServer>;

// Current load of one server.
struct ServerLoad {
  // KV cache in use or reserved, in tokens times layers.
  double token_layers = 0;
  // Requests whose path includes the server.
  int sequences = 0;
  // Prompt tokens times layers of those without a first event.
  double prefill_token_layers = 0;
};
using LoadMap = std::map<std::string, ServerLoad>;

// Work of other instances that a sum of loads does not contain.
struct UnreportedWork {
  // Other instances that may begin a request by the same sum: those of this
  // data center, and all of them, which also use the servers of other data
  // centers.
  double local_peers = 0;
  double remote_peers = 0;
  // Age of the loads: requests in them have ended since.
  Duration age{0};
  // The same as long as the instance decides by the same sum.
  uint64_t seed = 0;

  // Keeps only a share of the peers.
  void Scale(double share) {
    local_peers *= share;
    remote_peers *= share;
  }
};

struct PathStage {
  std::string server;
  LayerRange layers;
  bool operator==(const PathStage&) const = default;
};
using LayerPath = std::vector<PathStage>;
inline constexpr size_t kMaxPathStages = 32;

// True when the stages run every layer of [0, layers) once, in order, on
// distinct servers that hold them.
bool IsCompletePath(const LayerPath& path,
                    int layers,
                    const ServerMap& servers);

// Number of hops between servers of different data centers.
int CountCrossDataCenterHops(const LayerPath& path, const ServerMap& servers);

// KV cache capacity beside the held layers, in tokens times layers; 0 when
// nothing fits.
double KvCapacity(const EngineModel& engine, const BackendServer& server);

struct PathRequest {
  std::string service;
  // Prompt and expected response, in tokens.
  double tokens = 0;
  double prompt_tokens = 0;
  std::string data_center;
  // Servers not to use.
  std::set<std::string> excluded;
  // Servers that are unreachable from this instance but not from other servers:
  // they may run any stage but the first.
  std::set<std::string> excluded_as_first;
  // Servers that may run the first stage; empty for any.
  std::set<std::string> allowed_first_servers;
  // Set for a request in progress, whose first stage must not change.
  std::optional<PathStage> pinned_first_stage;
  // Prefill backlog by server, in milliseconds; servers that are missing have
  // none.
  std::map<std::string, double> prefill_backlog_ms;
  // Prefill due on a server for the requests of all instances, in milliseconds,
  // from the sum of loads.
  std::map<std::string, double> prefill_due_ms;
  // Factor by which a server is slower than its accelerator kind.
  std::map<std::string, double> slowdowns;
  // Seed that varies the choice among servers of about equal cost; 0 for no
  // variation.
  uint64_t jitter_seed = 0;
  UnreportedWork unreported;
  // Mean time that a request takes; zero when it is not known.
  Duration mean_service_time{0};
  // Allows a path through several data centers when no single one has the
  // capacity for it. All such paths share the links between data centers, which
  // carry only a small part of the traffic.
  bool allow_cross_data_center = false;
};

struct PathChoice {
  LayerPath path;
  // Estimated milliseconds to decode one token over the whole path.
  double token_ms = 0;
  // Largest utilization of a server on the path (KV memory or sequences), with
  // the KV memory of this request.
  double max_utilization = 0;
  // Cost by which the path was chosen, in weighted milliseconds.
  double cost = 0;
};

// Returns the complete path of least estimated time, with a penalty on servers
// that are nearly full and on links between data centers. A path inside one
// data center is preferred to all that cross, however high its load.
// `utilization_limit` bounds the utilization of the server of each stage. Null
// when there is no such path. Load pattern: steady traffic that must spread
// over unequal servers, and bursts that fill the memory of some of them.
std::optional<PathChoice> ChoosePath(const EngineModel& engine,
                                     const ServerMap& servers,
                                     const LoadMap& loads,
                                     const PathRequest& request,
                                     double utilization_limit);

// True when one data center alone holds all layers of the service on ready
// servers that are not excluded.
bool HasSingleDataCenterPath(const EngineModel& engine,
                             const ServerMap& servers,
                             const std::string& service,
                             const std::set<std::string>& excluded);

// Prefill backlog of the servers, as far as one instance knows. Load pattern: a
// server is lost and the prompts of all of its streams are read again at the
// same moment; on the single cheapest path they would wait for each other.
class PrefillBacklog {
 public:
  // Records that the stages of `path` were sent a prompt of `tokens` tokens.
  // Servers in `kept_servers` have read it already. `load_multiplier` is the
  // number of similar requests that all instances send together, divided by
  // those of this instance.
  void AddPrefill(TimePoint now,
                  const EngineModel& engine,
                  const ServerMap& servers,
                  const LayerPath& path,
                  const std::set<std::string>& kept_servers,
                  double tokens,
                  double load_multiplier);
  // Only servers with a prefill backlog are listed.
  std::map<std::string, double> RemainingMsByServer(TimePoint now);

 private:
  std::map<std::string, TimePoint> m_prefill_ends_at;
};

// Milliseconds until the servers of `path`, except `kept_servers`, have read
// `tokens` tokens, after the backlog in `backlog_ms`.
double EstimatePrefillMs(const EngineModel& engine,
                         const ServerMap& servers,
                         const LayerPath& path,
                         const std::set<std::string>& kept_servers,
                         double tokens,
                         const std::map<std::string, double>& backlog_ms);

// Limits the paths that one instance routes over the links between data
// centers. Load pattern: every data center lacks a layer; beyond the capacity
// of the links, crossing paths slow each other down until no response is on
// time.
class CrossDataCenterBudget {
 public:
  // True when the budget allows `tokens` tokens to cross a link `crossings`
  // times. `instances` share the links. `no_alternative` is set when no data
  // center holds all layers: then a request fits after a pause, however small
  // the share of this instance is.
  bool CanConsume(TimePoint now,
                  const EngineModel& engine,
                  size_t instances,
                  double tokens,
                  int crossings,
                  bool no_alternative);
  void Consume(double tokens, int crossings) { m_tokens -= tokens * crossings; }

 private:
  double m_tokens = 0;
  TimePoint m_last_refill;
};

// Lengths of a request and its response in tokens; 0 when unknown.
struct TokenEstimate {
  double prompt = 0;
  // The client's estimate of the response, and the longest that it accepts.
  double answer_hint = 0;
  double max_answer = 0;
  // Mean of all responses of the model.
  double mean_answer = 0;
};

// Tokens of KV memory to reserve for a request: the mean that it holds while it
// runs. Load pattern: a burst that fills the memory. With the full length
// reserved, servers refused requests while a quarter of their memory was free.
double ReservedTokens(const TokenEstimate& estimate);

// Largest share of a server's KV memory that reservations may take. It is
// larger for streams in progress than for new requests, so that a stream that
// lost a server can continue.
double MaxMemoryUtilization(bool in_progress);

// Order to a server to hold exactly `layers`.
struct PlacementOrder {
  std::string server;
  LayerRange layers;
  bool operator==(const PlacementOrder&) const = default;
};

// Returns the next orders towards a layout in which every data center with
// enough memory holds each layer of the service, with about the same token
// capacity on every server. Servers keep the layers that they hold unless a
// layer is uncovered or much scarcer than necessary; then layers are loaded
// before they are given up elsewhere. `lost_servers` are judged to be gone,
// `pending_orders` are being carried out. Empty servers in `new_servers` only
// take uncovered layers, because they often replace a server that is about to
// drain. Deterministic: every instance computes the same orders from the same
// server list. Load pattern: servers that start empty, come back empty, or are
// lost.
std::vector<PlacementOrder> PlanPlacement(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::string& service,
    const std::set<std::string>& lost_servers,
    const std::map<std::string, LayerRange>& pending_orders,
    const std::set<std::string>& new_servers = {});

// Coverage of the layers of a model by one data center.
struct LayoutHealth {
  // Layers without a ready server.
  int uncovered_layers = 0;
  // Token capacity of the scarcest layer, summed over its holders.
  double min_layer_capacity_tokens = 0;
  int servers = 0;
  int empty_servers = 0;
};
// Returns the health by data center, without `lost_servers`.
std::map<std::string, LayoutHealth> AssessLayout(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::string& service,
    const std::set<std::string>& lost_servers);

// Largest number of layers that a server of this kind can hold.
int MaxLayers(const EngineModel& engine, const std::string& kind);

// False when the server names layers that the model does not have. It is not
// used: something else wrote its entry.
bool FitsModel(const EngineModel& engine, const BackendServer& server);

}  // namespace trefoilwick
