// Chooses the chain of stages, the scheduler and the backend server of a
// request, and tracks which servers are healthy.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilwick/kernel.h"
#include "trefoilwick/table.h"

namespace trefoilwick {

enum class ServerRole : uint8_t { kEngine, kService };

// Layers [first, end) of a model.
struct StageLayers {
  int first = 0;
  int end = 0;
  auto operator<=>(const StageLayers&) const = default;
};

// A backend server as known from the instance list.
struct ListedServer {
  std::string id;
  ServerRole role = ServerRole::kEngine;
  std::string data_center;
  // host:port
  std::string address;
  bool leaving = false;
  std::string model;
  StageLayers layers;
  int model_layers = 0;
  std::string accelerator;
  // Decoded tokens per second at full batch.
  double speed = 0;
  // True when it refuses orders that carry an old epoch.
  bool checks_epochs = true;
  std::string service;
  bool operator==(const ListedServer&) const = default;
};

// A live entry instance that may schedule chains.
struct SchedulerCandidate {
  std::string id;
  std::string data_center;
};

// Stages that together hold every layer of a model, in order.
struct Chain {
  // Id of the first stage's server.
  std::string id;
  std::string model;
  std::string data_center;
  std::vector<ListedServer> stages;
  // Speed of the slowest stage.
  double tokens_per_second = 0;
};

// Immutable snapshot for the request path.
struct FleetView {
  int64_t version = 0;
  std::map<std::string, Chain> chains;
  // Servers that are in no chain and may replace a stage.
  std::vector<ListedServer> spares;
  // Plain servers by service name.
  std::map<std::string, std::vector<ListedServer>> services;
};

// Forms chains. Pure: the same servers give the same result on every instance,
// whatever their order. Per model and data center, servers with the same layer
// range are sorted by speed (then id) and the i-th of each range are joined;
// ranges that tile [0, model_layers) are found by maximum flow. Servers that
// are draining or in `unavailable` are left out, unless `previous` has them in
// a chain whose other stages are fine and they are only draining. Complete
// chains of `previous` are kept unchanged. A chain that lost a stage takes a
// spare with the same range (similar speed is preferred to the same data
// center), and is released when there is none. Servers whose speeds differ by a
// factor of more than 1.5 are joined only if they would not form chains of
// similar speed with all listed servers available, or if no other chain serves
// the model. A chain whose first stage is replaced gets a new id. Instances
// with different `previous` may form different chains, so an instance that
// joins should start from the view of a peer. Of several servers with the same
// id, only the first in field order is used.
FleetView FormChains(int64_t version,
                     const std::vector<ListedServer>& servers,
                     const std::set<std::string>& unavailable,
                     const FleetView& previous);

// The scheduler of a chain: rendezvous hash over the candidates in the chain's
// data center, over all when there is none. Empty when there are no
// candidates.
std::string ChainOwner(const Chain& chain,
                       const std::vector<SchedulerCandidate>& live);

// Last load report of a chain that an entry instance received.
struct ChainLoadInfo {
  Duration expected_wait{0};
  int queued = 0;
  int running = 0;
  // Requests that this entry instance sent since `reported_at`.
  int sent_since_report = 0;
  // When the report was made, not when it arrived.
  TimePoint reported_at;
};

// Maps prompt prefixes to the chains that cache them, by own choices and by
// cache events, which may be late or missing. Bounded; the least recently
// recorded prefix is dropped first. Thread-safe.
class PrefixIndex {
 public:
  explicit PrefixIndex(size_t capacity = 65536) : m_capacity(capacity) {}
  void Record(uint64_t prefix, const std::string& chain);
  // Removes the prefixes of a chain that lost its first stage.
  void RemoveChain(const std::string& chain);
  std::optional<std::string> Find(uint64_t prefix) const;

 private:
  using LruList = std::list<std::pair<uint64_t, std::string>>;

  size_t m_capacity;
  mutable std::mutex m_mutex;
  // Least recently recorded first.
  LruList m_lru_list;
  std::unordered_map<uint64_t, LruList::iterator> m_chains;
};

struct ChoiceContext {
  const FleetView& fleet;
  const std::map<std::string, ChainLoadInfo>& loads;
  std::string model;
  std::string data_center;
  // Hash of the prompt's prefix; 0 when unknown.
  uint64_t prefix = 0;
  TimePoint now;
  // Chains already tried for this request.
  const std::set<std::string>& excluded;
  // Chains that cache prefixes; null for no affinity.
  const PrefixIndex* prefixes = nullptr;
  // Number of live entry instances. The others are assumed to send as much as
  // this one.
  int entry_instance_count = 1;
};

// Estimates the wait at a chain now: the reported wait, with a weight that
// decreases with the age of the report, and the work that all entry instances
// sent since. `typical_wait` replaces the part of the wait that is no longer
// known.
Duration EstimateWait(const Chain& chain,
                      const ChainLoadInfo* load,
                      Duration typical_wait,
                      int entry_instances,
                      TimePoint now);

// Chooses a chain. Plug-ins register under a name in
// Registry<ChainPolicy>: "power_of_two" (default; two random choices by
// expected wait, prefix affinity first), "round_robin", "least_loaded",
// "random".
class ChainPolicy {
 public:
  virtual ~ChainPolicy() = default;
  // Returns the chain id; empty when no chain serves the model.
  // Thread-safe when each thread has its own `random`.
  virtual std::string ChooseChain(const ChoiceContext& context,
                                  Random& random) = 0;
};

// Registers the policies above; repeated calls do nothing. A program that links
// the static library calls this once, because the linker drops an object file
// whose only use is its registration objects.
void RegisterChainPolicies();

// Hash of the first `tokens` white-space separated words of a prompt.
uint64_t PrefixHash(std::string_view prompt, int tokens = 16);

// Content fingerprint of a request for quarantine (xxhash of model + prompt).
uint64_t Fingerprint(std::string_view model, std::string_view prompt);

enum class ServerHealth : uint8_t { kHealthy, kSuspect, kEjected };
inline constexpr auto kServerHealthNames = MakeEnumTable<ServerHealth>({
    {ServerHealth::kHealthy, "healthy"},
    {ServerHealth::kSuspect, "suspect"},
    {ServerHealth::kEjected, "ejected"},
});

// Outlier detection per backend server. The first failure makes a server
// suspect (try a fresh connection); a second one in a row, or a high share of
// failures among recent calls, ejects it for a time that doubles from 1 s to
// 60 s and halves again with every 30 s of success. A server that returns is
// suspect until its first success. At most a third (rounded down) of the
// servers of a role, and of each plain service, are ejected at once; beyond
// that a failing server stays suspect. Not thread-safe.
class HealthTracker {
 public:
  void SetServers(const std::vector<ListedServer>& servers);
  void OnSuccess(TimePoint now, const std::string& server, Duration call_time);
  // Records a late, incomplete or error response.
  void OnFailure(TimePoint now, const std::string& server);
  // The server's process is known to have ended: ejected without a second
  // failure.
  void OnCrash(TimePoint now, const std::string& server);
  ServerHealth Health(TimePoint now, const std::string& server) const;
  // Servers to leave out of chains now.
  std::set<std::string> Ejected(TimePoint now) const;
  // 3 x p99 of recent call times, at least 250 ms; 2 s without history.
  Duration CallTimeout(const std::string& server) const;
  // Share of a full load for the server: 0 while ejected, then from 0.1 to 1
  // over the 10 s after the ejection ended; 1 for a server never ejected.
  double SlowStartWeight(TimePoint now, const std::string& server) const;

 private:
  struct State {
    ServerRole role = ServerRole::kEngine;
    // Name of the plain service; empty for engines.
    std::string service;
    // Failures since the last success.
    int consecutive_failures = 0;
    // Exponentially weighted share of failures among recent calls.
    double failure_rate = 0;
    // Ejections that still lengthen the next one.
    int ejections = 0;
    TimePoint ejected_until{};
    // First success since the last failure, or the time when an ejection last
    // stopped counting.
    std::optional<TimePoint> healthy_since;
    // Last call times; `sample_count` counts all of them.
    std::array<Duration, 128> recent_call_times{};
    size_t sample_count = 0;
  };
  bool MayEject(TimePoint now, const State& state) const;
  void Eject(TimePoint now, State& state);

  std::map<std::string, State> m_states;
};

// Chooses a server of a plain service: the fewest outstanding calls among the
// healthy ones. A suspect or returning server gets its weighted share of the
// calls at random. Draining, ejected and `excluded` servers are left out; empty
// when none remains.
std::string PickServiceServer(TimePoint now,
                              const std::vector<ListedServer>& servers,
                              const HealthTracker& health,
                              const std::map<std::string, int>& outstanding,
                              const std::set<std::string>& excluded,
                              Random& random);

// Permits retries up to a fraction of recent first attempts, plus a small
// reserve so that a quiet instance may retry at all: over any time, at most
// reserve + 10 + ratio x attempts. Thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(double ratio = 0.1, double reserve = 3);
  void OnAttempt();
  // Takes one retry from the budget; false when it is spent.
  bool TryRetry();

 private:
  // Millionths of a retry.
  int64_t m_earned_per_attempt;
  int64_t m_max_balance;
  std::atomic<int64_t> m_balance;
};

// Fingerprints of requests that crashed a server while run alone, with expiry.
// Exchanged between instances by gossip. Holds at most 4,096; those that expire
// first are dropped. Not thread-safe.
class Quarantine {
 public:
  // Entries last 10 minutes.
  void Add(int64_t unix_millis, uint64_t fingerprint);
  // Merges an entry from a peer; keeps the later expiry.
  void Merge(uint64_t fingerprint, int64_t expires_unix_millis);
  bool Contains(int64_t unix_millis, uint64_t fingerprint) const;
  std::vector<std::pair<uint64_t, int64_t>> List(int64_t unix_millis) const;
  void Clear();

 private:
  std::map<uint64_t, int64_t> m_expiry;
};

}  // namespace trefoilwick
