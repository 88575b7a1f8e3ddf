#include "layer_path_distribution.h"

#include <algorithm>
#include <cmath>

namespace trefoilwick::detail {

namespace {

// Token capacity that a data center keeps for each of its servers. Memory
// beyond it holds layers a second time, as far as the sequences of the replicas
// do not need it.
constexpr double kMinTokensPerServer = 12'000;
// A data center holds at least this share of the layers that fit; it holds
// fewer than fit where that leaves more token capacity.
constexpr double kMinLayersShare = 0.95;

// Servers of one accelerator kind: a distribution gives them equal numbers of
// layers, up to one.
struct KindCount {
  const ServerPlan* sample = nullptr;
  int servers = 0;
};

std::vector<KindCount> CountKinds(const Group& group) {
  std::map<const AcceleratorKind*, KindCount> by_kind;
  for (const ServerPlan* plan : group) {
    KindCount& count = by_kind[plan->kind];
    count.sample = plan;
    ++count.servers;
  }
  std::vector<KindCount> out;
  out.reserve(by_kind.size());
  for (const auto& [kind, count] : by_kind)
    out.push_back(count);
  return out;
}

// Token capacity of the scarcest server when DistributeLayers() distributes
// `layer_count` layers; negative when their memory is too small. Works on kinds
// instead of servers, since LayersToHold() tries hundreds of distributions.
double MinCapacityTokens(const EngineModel& engine,
                         const std::vector<KindCount>& kinds,
                         double total_memory_mb,
                         int layer_count) {
  struct Level {
    const KindCount* kind = nullptr;
    // Layers of the servers that have most, and the servers that have fewer.
    int layers = 0;
    int below = 0;
  };
  std::vector<Level> levels;
  int remaining = layer_count;
  for (const KindCount& kind : kinds) {
    const double exact =
        layer_count * kind.sample->kind->memory_mb / total_memory_mb;
    const int share =
        std::min(kind.sample->max_layers, static_cast<int>(exact));
    levels.push_back({&kind, share, 0});
    remaining -= share * kind.servers;
  }
  while (remaining > 0) {
    Level* best = nullptr;
    double best_tokens = -1;
    for (Level& level : levels) {
      const int next = level.below > 0 ? level.layers : level.layers + 1;
      if (next > level.kind->sample->max_layers)
        continue;
      const double tokens = CapacityTokens(engine, *level.kind->sample, next);
      if (tokens > best_tokens) {
        best_tokens = tokens;
        best = &level;
      }
    }
    if (best == nullptr)
      return -1;
    if (best->below == 0) {
      ++best->layers;
      best->below = best->kind->servers;
    }
    const int taken = std::min(remaining, best->below);
    best->below -= taken;
    remaining -= taken;
  }
  double min_tokens = -1;
  for (const Level& level : levels) {
    if (level.layers == 0)
      continue;
    const double tokens =
        CapacityTokens(engine, *level.kind->sample, level.layers);
    min_tokens = min_tokens < 0 ? tokens : std::min(min_tokens, tokens);
  }
  return min_tokens;
}

double TotalMemoryMb(const Group& group) {
  double total = 0;
  for (const ServerPlan* plan : group)
    total += plan->kind->memory_mb;
  return total;
}

// Number of layers, counted once for each holder, that fit beside the token
// capacity to keep: a minimum for each server, since servers hold whole layers,
// and as much as the sequences need that the servers of a replica may run at
// once. With less, memory is used up before the servers are, and they preempt
// requests.
double FittingLayers(const EngineModel& engine,
                     size_t servers,
                     double total_memory_mb) {
  const double token_mb = engine.kv_bytes_per_token / kBytesPerMb;
  const double kept_mb =
      kMinTokensPerServer * static_cast<double>(servers) * token_mb;
  const double beside_minimum = (total_memory_mb - kept_mb) / engine.layer_mb;
  if (engine.max_sequences <= 0 || engine.mean_prompt_tokens <= 0)
    return beside_minimum;
  const double replica_tokens =
      engine.max_sequences * ReservedTokens({engine.mean_prompt_tokens, 0, 0,
                                             engine.mean_answer_tokens});
  return std::min(beside_minimum, total_memory_mb / (engine.layer_mb +
                                                     replica_tokens * token_mb /
                                                         engine.layers));
}

}  // namespace

std::vector<int> DistributeLayers(const EngineModel& engine,
                                  const Group& group,
                                  int layer_count) {
  double total_memory_mb = 0;
  int max_total = 0;
  for (const ServerPlan* plan : group) {
    total_memory_mb += plan->kind->memory_mb;
    max_total += plan->max_layers;
  }
  if (max_total < layer_count)
    return {};
  std::vector<int> shares;
  int distributed = 0;
  for (const ServerPlan* plan : group) {
    const double exact = layer_count * plan->kind->memory_mb / total_memory_mb;
    shares.push_back(std::min(plan->max_layers, static_cast<int>(exact)));
    distributed += shares.back();
  }
  // The remaining layers go one by one to the server that keeps the largest
  // token capacity, the first one of equal capacity. A heap has the candidates,
  // as a plan may have thousands of servers.
  struct NextLayer {
    double tokens = 0;
    size_t index = 0;
    bool operator<(const NextLayer& other) const {
      return tokens != other.tokens ? tokens < other.tokens
                                    : index > other.index;
    }
  };
  std::vector<NextLayer> heap;
  const auto next_layer = [&](size_t i) {
    return NextLayer{CapacityTokens(engine, *group[i], shares[i] + 1), i};
  };
  if (distributed < layer_count)
    for (size_t i = 0; i < group.size(); ++i)
      if (shares[i] < group[i]->max_layers)
        heap.push_back(next_layer(i));
  std::make_heap(heap.begin(), heap.end());
  for (; distributed < layer_count; ++distributed) {
    std::pop_heap(heap.begin(), heap.end());
    const size_t best = heap.back().index;
    heap.pop_back();
    if (++shares[best] >= group[best]->max_layers)
      continue;
    heap.push_back(next_layer(best));
    std::push_heap(heap.begin(), heap.end());
  }
  return shares;
}

double MinCapacityTokens(const EngineModel& engine,
                         const Group& group,
                         int layer_count) {
  return MinCapacityTokens(engine, CountKinds(group), TotalMemoryMb(group),
                           layer_count);
}

int LayersToHold(const EngineModel& engine, const Group& group) {
  const double total_memory_mb = TotalMemoryMb(group);
  const std::vector<KindCount> kinds = CountKinds(group);
  int max_total = 0;
  for (const ServerPlan* plan : group)
    max_total += plan->max_layers;
  const int fitting_layers =
      static_cast<int>(FittingLayers(engine, group.size(), total_memory_mb));
  const int min_layers = std::min(engine.layers, max_total);
  int best = std::clamp(fitting_layers, min_layers, max_total);
  double best_tokens = -1;
  const int fewest =
      std::max(min_layers, static_cast<int>(best * kMinLayersShare));
  for (int layers = best; layers >= fewest; --layers) {
    const double tokens =
        MinCapacityTokens(engine, kinds, total_memory_mb, layers);
    if (tokens > best_tokens) {
      best_tokens = tokens;
      best = layers;
    }
  }
  return best;
}

}  // namespace trefoilwick::detail
