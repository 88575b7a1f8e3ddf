// Replays load beyond the capacity of the servers on the decisions of many
// instances that know each other's requests from late sums.
#pragma once

#include <map>
#include <queue>
#include <string>
#include <vector>

#include "coordination_harness.h"
#include "trefoilwick/layer_path.h"
#include "trefoilwick/overload.h"

namespace trefoilwick {

namespace overload_replay {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr int kServers = 12;
inline constexpr int kSequences = 100;
// Mean; each stream takes between half and one and a half times as long.
inline constexpr Duration kServiceTime = seconds(2);
// Streams a second that the servers can run.
inline constexpr double kCapacity = kServers * kSequences / 2.0;
inline constexpr double kRequestTokens = 900;

inline EngineModel MakeEngine() {
  EngineModel out;
  out.layers = 10;
  out.max_sequences = kSequences;
  out.layer_mb = 100;
  out.kv_bytes_per_token = 1000;
  out.step_ms = 1;
  out.step_ms_per_sequence = 0.005;
  out.prefill_tokens_per_ms = 200;
  out.accelerator_kinds = {{"fast", {10'000, 1, 1}}, {"slow", {10'000, 3, 3}}};
  return out;
}

struct Load {
  // Streams a second of each rank.
  std::map<int, double> by_rank;
  // Share of the streams of account 1 beyond an equal part; 0 for none.
  double flood_share = 0;
};

struct Counts {
  int offered = 0;
  int begun = 0;
  // Refused by a server that was full.
  int server_refusals = 0;
  double begun_share() const {
    return offered == 0 ? 1 : static_cast<double>(begun) / offered;
  }
};

// Instances in two data centers before servers of two speeds, each of which
// runs a fixed number of streams for a fixed time.
class Replay {
 public:
  explicit Replay(int instances)
      : m_cluster(instances), m_engine(MakeEngine()), m_nodes(instances) {
    for (int i = 0; i < kServers; ++i) {
      BackendServer server = Server("s" + std::to_string(i));
      server.data_center = i % 2 == 0 ? "regina" : "brandon";
      server.kind = i % 3 == 0 ? "fast" : "slow";
      server.layers = LayerRange{0, m_engine.layers};
      m_cluster.store().servers[server.id] = server;
    }
    for (Node& node : m_nodes)
      node.overload.SetRanks("pool", {0, 1, 2});
    m_cluster.RunFor(seconds(3));
  }

  Cluster& cluster() { return m_cluster; }

  // Counts by rank; by account when the load has a flood.
  std::map<int, Counts> Run(const Load& load, Duration time) {
    std::map<int, Counts> counts;
    std::map<int, double> due;
    const TimePoint end = m_cluster.now() + time;
    while (m_cluster.now() < end) {
      m_cluster.RunFor(kStep);
      EndStreams();
      for (const auto& [rank, rate] : load.by_rank)
        for (due[rank] += rate * 0.005; due[rank] >= 1; --due[rank])
          Offer(rank, load.flood_share, counts);
      ShareDemand();
    }
    return counts;
  }

 private:
  static constexpr Duration kStep = milliseconds(5);
  static constexpr int kAccounts = 8;

  struct Node {
    OverloadController overload;
    LoadMap loads;
  };
  struct Stream {
    TimePoint ends_at;
    size_t node;
    std::string server;
    bool operator<(const Stream& other) const {
      return ends_at > other.ends_at;
    }
  };

  void Offer(int rank, double flood_share, std::map<int, Counts>& counts) {
    const size_t index = m_random.UniformBelow(m_nodes.size());
    if (!m_cluster.NodeAt(static_cast<int>(index)).alive)
      return;
    Node& node = m_nodes[index];
    Coordination& coordination =
        *m_cluster.NodeAt(static_cast<int>(index)).coordination;
    const TimePoint now = m_cluster.now();
    const bool flood = m_random.UniformDouble() < flood_share;
    const AccountDemandKey key{flood ? 1 : 1 + m_random.UniformBelow(kAccounts),
                               rank};
    node.overload.CountDemand(now, key, kRequestTokens);
    Counts& count =
        counts[flood_share > 0 ? static_cast<int>(key.account) : rank];
    ++count.offered;
    PathRequest request;
    request.service = "pool";
    request.tokens = kRequestTokens;
    request.prompt_tokens = kRequestTokens;
    request.data_center = index % 2 == 0 ? "regina" : "brandon";
    request.jitter_seed = m_random.Next();
    request.unreported = coordination.EstimateUnreportedWork(now);
    request.mean_service_time = kServiceTime;
    const double limit = node.overload.UtilizationLimit(
        now, "pool", key, m_random.UniformDouble());
    auto choice = ChoosePath(m_engine, *coordination.usable_servers(),
                             coordination.Loads(now), request, limit);
    if (!choice) {
      request.unreported = {};
      choice =
          ChoosePath(m_engine, *coordination.usable_servers(),
                     coordination.Loads(now), request, std::min(limit, 0.6));
    }
    if (!choice)
      return node.overload.OnShortage(now);
    const std::string& server = choice->path.front().server;
    if (m_running[server] >= kSequences) {
      ++count.server_refusals;
      return;
    }
    ++count.begun;
    ++m_running[server];
    m_streams.push({now + kServiceTime / 2 +
                        Duration(static_cast<int64_t>(
                            m_random.UniformDouble() *
                            static_cast<double>(kServiceTime.count()))),
                    index, server});
    AddLoad(node, coordination, server, 1);
  }

  void EndStreams() {
    while (!m_streams.empty() && m_streams.top().ends_at <= m_cluster.now()) {
      const Stream stream = m_streams.top();
      m_streams.pop();
      --m_running[stream.server];
      AddLoad(m_nodes[stream.node],
              *m_cluster.NodeAt(static_cast<int>(stream.node)).coordination,
              stream.server, -1);
    }
  }

  void AddLoad(Node& node,
               Coordination& coordination,
               const std::string& server,
               int sign) {
    ServerLoad& load = node.loads[server];
    load.sequences += sign;
    load.token_layers += sign * kRequestTokens * m_engine.layers;
    coordination.SetLocalLoads(node.loads);
  }

  void ShareDemand() {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      Cluster::Node& node = m_cluster.NodeAt(static_cast<int>(i));
      if (!node.alive)
        continue;
      OverloadController& overload = m_nodes[i].overload;
      node.coordination->SetLocalDemand(overload.LocalDemand(m_cluster.now()));
      overload.SetClusterDemand(
          m_cluster.now(), node.coordination->ClusterDemand(m_cluster.now()));
    }
  }

  Cluster m_cluster;
  EngineModel m_engine;
  std::vector<Node> m_nodes;
  Random m_random{7};
  std::map<std::string, int> m_running;
  std::priority_queue<Stream> m_streams;
};

inline Counts Sum(const std::map<int, Counts>& counts) {
  Counts out;
  for (const auto& [rank, count] : counts) {
    out.offered += count.offered;
    out.begun += count.begun;
    out.server_refusals += count.server_refusals;
  }
  return out;
}

inline double BegunPerSecond(const std::map<int, Counts>& counts,
                             Duration time) {
  return Sum(counts).begun / (static_cast<double>(time.count()) / 1e6);
}

inline Load AllRanks(double times_capacity) {
  const double rate = times_capacity * kCapacity;
  return {{{0, 0.5 * rate}, {1, 0.3 * rate}, {2, 0.2 * rate}}};
}

}  // namespace overload_replay
}  // namespace trefoilwick
