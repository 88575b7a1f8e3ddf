#include <algorithm>
#include <cmath>

#include "layer_path_plan.h"
#include "trefoilwick/layer_path.h"

namespace trefoilwick {

namespace {

using detail::CapacityTokens;
using detail::CoverAllLayers;
using detail::FindUncoveredRanges;
using detail::Group;
using detail::kBytesPerMb;
using detail::ServerPlan;
using detail::ServerPlans;

// Token capacity that a data center keeps for each of its servers. Memory
// beyond it holds layers a second time, as far as the sequences of the replicas
// do not need it.
constexpr double kMinTokensPerServer = 12'000;
// A data center holds at least this share of the layers that fit; it holds
// fewer than fit where that leaves more token capacity.
constexpr double kMinLayersShare = 0.95;
// A data center that cannot keep this token capacity for its share of a burst
// does not hold the model alone.
constexpr double kMinStandaloneTokens = 5'000;
// A server with less token capacity gives up layers that others also hold.
constexpr double kTrimBelowTokens = 30'000;
// More token capacity than any layer needs.
constexpr double kAmpleTokens = 1e6;
// Token capacity that a layer with only one holder is taken to lack.
constexpr double kSecondHolderDeficitTokens = 150'000;
// Servers of a group that may widen their ranges at the same time: more than a
// few concurrent loads slow each other down.
constexpr int kMaxWideningServers = 2;

ServerPlans MakeServerPlans(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::string& service,
    const std::set<std::string>& lost_servers,
    const std::map<std::string, LayerRange>& pending_orders) {
  ServerPlans plans;
  for (const auto& [id, server] : servers) {
    const auto kind = engine.accelerator_kinds.find(server.kind);
    if (server.service != service || server.state != ServerState::kReady ||
        lost_servers.contains(id) || kind == engine.accelerator_kinds.end() ||
        !FitsModel(engine, server))
      continue;
    const int max_layers = MaxLayers(engine, server.kind);
    if (max_layers == 0)
      continue;
    ServerPlan plan;
    plan.server = &server;
    plan.kind = &kind->second;
    plan.max_layers = max_layers;
    plan.held = server.layers;
    plan.planned = server.layers;
    if (const auto pending_order = pending_orders.find(id);
        pending_order != pending_orders.end()) {
      plan.has_pending_order = true;
      plan.planned = pending_order->second;
    }
    plans.push_back(plan);
  }
  return plans;
}

// Distributes `layer_count` layers over the servers of a group so that every
// server keeps about the same token capacity. Empty when their memory is too
// small.
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
  // token capacity, the first one of equal capacity. A heap has the candidates:
  // with a scan for each layer a plan for 3,000 servers took 3.5 s.
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

// Token capacity of each layer, summed over the servers that it is planned for.
std::vector<double> CapacityTokensByLayer(const EngineModel& engine,
                                          const Group& group) {
  std::vector<double> tokens(static_cast<size_t>(engine.layers), 0.0);
  for (const ServerPlan* plan : group) {
    if (!plan->target)
      continue;
    const double capacity =
        std::max(1.0, CapacityTokens(engine, *plan, plan->target->size()));
    for (int layer = plan->target->from;
         layer < std::min(plan->target->to, engine.layers); ++layer)
      tokens[static_cast<size_t>(layer)] += capacity;
  }
  return tokens;
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

// Number of layers, counted once for each holder, that a group holds beside the
// token capacity that it keeps: at least every layer once, and no more than
// fit. Somewhat fewer when that leaves the scarcest server a larger token
// capacity, since servers hold whole layers only.
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

void SetEvenShares(const EngineModel& engine, const Group& group) {
  const std::vector<int> shares =
      DistributeLayers(engine, group, LayersToHold(engine, group));
  for (size_t i = 0; i < shares.size(); ++i)
    group[i]->even_share = shares[i];
}

// Assigns consecutive ranges that begin at layer `first`.
void AssignRanges(const Group& servers,
                  const std::vector<int>& shares,
                  int first) {
  for (size_t i = 0; i < shares.size(); ++i) {
    if (shares[i] > 0)
      servers[i]->target = LayerRange{first, first + shares[i]};
    first += shares[i];
  }
}

// Assigns layers to a group of empty servers, one replica after another. The
// last replica is incomplete and consists of the smallest servers: it holds
// some layers a second time, and its servers are the first to be moved when a
// layer is lost.
void AssignToEmptyServers(const EngineModel& engine, Group& group) {
  std::stable_sort(group.begin(), group.end(),
                   [](const ServerPlan* a, const ServerPlan* b) {
                     return a->kind->memory_mb > b->kind->memory_mb;
                   });
  Group remaining = group;
  Group replica;
  int sum = 0;
  while (!remaining.empty()) {
    // The smallest server that completes the replica, else the largest.
    const auto last = std::find_if(
        remaining.rbegin(), remaining.rend(), [&](const ServerPlan* plan) {
          return sum + plan->even_share >= engine.layers;
        });
    const auto next =
        last == remaining.rend() ? remaining.begin() : last.base() - 1;
    replica.push_back(*next);
    sum += (*next)->even_share;
    remaining.erase(next);
    if (sum < engine.layers)
      continue;
    AssignRanges(replica, DistributeLayers(engine, replica, engine.layers), 0);
    replica.clear();
    sum = 0;
  }
  std::vector<int> shares;
  for (const ServerPlan* plan : replica)
    shares.push_back(plan->even_share);
  AssignRanges(replica, shares, engine.layers - sum);
}

// Gives up layers at the ends of servers with too little token capacity, where
// others hold the same layers. The end towards an uncovered range is kept: an
// overlap there is a step towards covering it.
void TrimRedundantLayers(const EngineModel& engine,
                         const Group& group,
                         double tokens,
                         const std::vector<LayerRange>& uncovered_ranges) {
  const auto held_elsewhere = [&](const ServerPlan* plan, int layer) {
    return std::any_of(
        group.begin(), group.end(), [&](const ServerPlan* other) {
          return other != plan && other->held && other->held->Contains(layer) &&
                 other->target && other->target->Contains(layer);
        });
  };
  // The server with the smallest token capacity comes first, so that it gives
  // up a layer that two servers hold.
  Group order;
  for (ServerPlan* plan : group)
    if (plan->target && !plan->has_pending_order)
      order.push_back(plan);
  std::stable_sort(order.begin(), order.end(),
                   [&](const ServerPlan* a, const ServerPlan* b) {
                     return CapacityTokens(engine, *a, a->target->size()) <
                            CapacityTokens(engine, *b, b->target->size());
                   });
  for (ServerPlan* plan : order) {
    LayerRange& range = *plan->target;
    bool uncovered_before = false;
    bool uncovered_after = false;
    for (const LayerRange& uncovered : uncovered_ranges) {
      uncovered_before |= uncovered.to <= range.from;
      uncovered_after |= uncovered.from >= range.to;
    }
    while (range.size() > 1 &&
           CapacityTokens(engine, *plan, range.size()) < tokens) {
      if (!uncovered_before && held_elsewhere(plan, range.from))
        ++range.from;
      else if (!uncovered_after && held_elsewhere(plan, range.to - 1))
        --range.to;
      else
        break;
    }
  }
}

// Deficit of each layer over its planned holders, in tokens: the missing token
// capacity, and a fixed amount when it has fewer than two holders.
std::vector<double> DeficitByLayer(const EngineModel& engine,
                                   const Group& group) {
  const std::vector<double> tokens = CapacityTokensByLayer(engine, group);
  std::vector<int> holders(tokens.size(), 0);
  for (const ServerPlan* plan : group)
    if (plan->target)
      for (int i = plan->target->from;
           i < std::min(plan->target->to, engine.layers); ++i)
        ++holders[static_cast<size_t>(i)];
  std::vector<double> deficit(tokens.size());
  for (size_t i = 0; i < tokens.size(); ++i)
    deficit[i] = kAmpleTokens - std::min(tokens[i], kAmpleTokens) +
                 (holders[i] < 2 ? kSecondHolderDeficitTokens : 0);
  return deficit;
}

// The range with the largest deficit that is as long as the even share of the
// server.
LayerRange ScarcestRange(const EngineModel& engine,
                         const std::vector<double>& deficit,
                         const ServerPlan& plan) {
  const int size = std::clamp(plan.even_share, 1, engine.layers);
  LayerRange best{0, size};
  double max_deficit = -1;
  for (int from = 0; from + size <= engine.layers; ++from) {
    double deficit_sum = 0;
    for (int layer = from; layer < from + size; ++layer)
      deficit_sum += deficit[static_cast<size_t>(layer)];
    if (deficit_sum > max_deficit) {
      max_deficit = deficit_sum;
      best = {from, from + size};
    }
  }
  return best;
}

// Widens servers that hold less than their even share, towards the layer with
// the larger deficit.
void WidenBelowEvenShare(const EngineModel& engine, const Group& group) {
  int widening_servers = 0;
  for (const ServerPlan* plan : group)
    widening_servers += plan->has_pending_order ? 1 : 0;
  for (ServerPlan* plan : group) {
    if (widening_servers >= kMaxWideningServers)
      return;
    // One layer less is left as it is, because every order has a cost.
    if (!plan->target || plan->has_pending_order ||
        plan->target->size() >= plan->even_share - 1)
      continue;
    const std::vector<double> deficit = DeficitByLayer(engine, group);
    LayerRange& range = *plan->target;
    while (range.size() < plan->even_share) {
      const double deficit_before =
          range.from > 0 ? deficit[static_cast<size_t>(range.from - 1)] : -1;
      const double deficit_after = range.to < engine.layers
                                       ? deficit[static_cast<size_t>(range.to)]
                                       : -1;
      if (deficit_before < 0 && deficit_after < 0)
        break;
      if (deficit_before > deficit_after)
        --range.from;
      else
        ++range.to;
    }
    ++widening_servers;
  }
}

// Lets another server take a layer at an end of the server with the smallest
// token capacity, when it keeps clearly more; TrimRedundantLayers() then lets
// the scarcest server give the layer up.
void RelieveScarcestServer(const EngineModel& engine,
                           const Group& group,
                           double tokens) {
  const auto capacity_with = [&](const ServerPlan* plan, int added_layers) {
    return CapacityTokens(engine, *plan, plan->target->size() + added_layers);
  };
  ServerPlan* scarcest = nullptr;
  for (ServerPlan* plan : group)
    if (plan->target && plan->target->size() > 1 &&
        (scarcest == nullptr ||
         capacity_with(plan, 0) < capacity_with(scarcest, 0)))
      scarcest = plan;
  if (scarcest == nullptr || scarcest->has_pending_order ||
      capacity_with(scarcest, 0) >= tokens)
    return;
  for (const int layer : {scarcest->target->from, scarcest->target->to - 1}) {
    ServerPlan* best = nullptr;
    for (ServerPlan* plan : group) {
      const bool is_adjacent =
          plan != scarcest && plan->target && !plan->has_pending_order &&
          (plan->target->to == layer || plan->target->from == layer + 1);
      if (is_adjacent &&
          capacity_with(plan, 1) >= 2 * capacity_with(scarcest, 0) &&
          (best == nullptr || capacity_with(plan, 1) > capacity_with(best, 1)))
        best = plan;
    }
    if (best == nullptr)
      continue;
    if (best->target->to == layer)
      ++best->target->to;
    else
      --best->target->from;
  }
}

// Sets the targets of a group to its planned layers, with all layers covered.
void SetTargets(const EngineModel& engine, Group& group) {
  SetEvenShares(engine, group);
  bool has_planned_layers = false;
  for (ServerPlan* plan : group) {
    plan->target = plan->planned;
    has_planned_layers |= plan->target.has_value();
  }
  if (!has_planned_layers) {
    AssignToEmptyServers(engine, group);
    return;
  }
  CoverAllLayers(engine, group);
  const auto uncovered_ranges = FindUncoveredRanges(engine.layers, group);
  TrimRedundantLayers(engine, group, kTrimBelowTokens, uncovered_ranges);
  if (uncovered_ranges.empty())
    RelieveScarcestServer(engine, group, kTrimBelowTokens);
}

// Assigns scarce layers a second time, to servers that are empty or hold few.
void AddSecondHolders(const EngineModel& engine, const Group& group) {
  for (ServerPlan* plan : group)
    if (!plan->target && plan->even_share > 0 && !plan->is_new)
      plan->target =
          ScarcestRange(engine, DeficitByLayer(engine, group), *plan);
  WidenBelowEvenShare(engine, group);
}

// True when some layer has no holder in the group now, whatever is being
// loaded.
bool HasUncoveredLayerNow(const EngineModel& engine, const Group& group) {
  std::vector<bool> held(static_cast<size_t>(engine.layers), false);
  for (const ServerPlan* plan : group)
    if (plan->held)
      for (int i = plan->held->from;
           i < std::min(plan->held->to, engine.layers); ++i)
        held[static_cast<size_t>(i)] = true;
  return std::find(held.begin(), held.end(), false) != held.end();
}

// True when other servers hold, and will keep, the layers that the server gives
// up.
bool MayGiveUpLayers(const ServerPlans& plans, const ServerPlan& plan) {
  for (int layer = plan.held->from; layer < plan.held->to; ++layer) {
    if (plan.target->Contains(layer))
      continue;
    const bool elsewhere =
        std::any_of(plans.begin(), plans.end(), [&](const ServerPlan& other) {
          return &other != &plan &&
                 other.server->data_center == plan.server->data_center &&
                 other.held && other.held->Contains(layer) && other.target &&
                 other.target->Contains(layer);
        });
    if (!elsewhere)
      return false;
  }
  return true;
}

// Layers of the next order towards the target. Layers are loaded first and
// given up later, so that none is without a holder in between.
std::optional<LayerRange> NextRange(const ServerPlans& plans,
                                    const ServerPlan& plan) {
  if (plan.has_pending_order || !plan.target || plan.held == plan.target)
    return std::nullopt;
  if (!plan.held)
    return plan.target;
  const LayerRange union_range{std::min(plan.held->from, plan.target->from),
                               std::max(plan.held->to, plan.target->to)};
  if (union_range == *plan.held)
    return MayGiveUpLayers(plans, plan) ? plan.target : std::nullopt;
  if (union_range.size() <= plan.max_layers)
    return union_range;
  return MayGiveUpLayers(plans, plan) ? plan.target : std::nullopt;
}

// Each data center whose memory holds all layers is a group; the others share
// one.
std::vector<Group> MakeGroups(const EngineModel& engine, ServerPlans& plans) {
  std::map<std::string, Group> by_data_center;
  for (ServerPlan& plan : plans)
    by_data_center[plan.server->data_center].push_back(&plan);
  std::vector<Group> groups;
  Group remaining;
  for (auto& [data_center, group] : by_data_center) {
    const double tokens = MinCapacityTokens(
        engine, CountKinds(group), TotalMemoryMb(group), engine.layers);
    if (tokens >= kMinStandaloneTokens)
      groups.push_back(group);
    else
      remaining.insert(remaining.end(), group.begin(), group.end());
  }
  if (!remaining.empty())
    groups.push_back(remaining);
  return groups;
}

}  // namespace

std::map<std::string, LayoutHealth> AssessLayout(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::string& service,
    const std::set<std::string>& lost_servers) {
  std::map<std::string, LayoutHealth> out;
  std::map<std::string, Group> groups;
  ServerPlans plans =
      MakeServerPlans(engine, servers, service, lost_servers, {});
  for (ServerPlan& plan : plans) {
    plan.target = plan.held;
    groups[plan.server->data_center].push_back(&plan);
    LayoutHealth& health = out[plan.server->data_center];
    ++health.servers;
    health.empty_servers += plan.held ? 0 : 1;
  }
  for (auto& [data_center, health] : out) {
    const std::vector<double> tokens =
        CapacityTokensByLayer(engine, groups[data_center]);
    health.uncovered_layers =
        static_cast<int>(std::count(tokens.begin(), tokens.end(), 0.0));
    health.min_layer_capacity_tokens =
        *std::min_element(tokens.begin(), tokens.end());
  }
  return out;
}

std::vector<PlacementOrder> PlanPlacement(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::string& service,
    const std::set<std::string>& lost_servers,
    const std::map<std::string, LayerRange>& pending_orders,
    const std::set<std::string>& new_servers) {
  ServerPlans plans =
      MakeServerPlans(engine, servers, service, lost_servers, pending_orders);
  for (ServerPlan& plan : plans)
    plan.is_new = new_servers.contains(plan.server->id);
  std::vector<Group> groups = MakeGroups(engine, plans);
  for (Group& group : groups)
    SetTargets(engine, group);
  // Second holders wait until no layer is uncovered, since loads slow each
  // other down.
  const bool has_uncovered_layer = std::any_of(
      groups.begin(), groups.end(),
      [&](const Group& group) { return HasUncoveredLayerNow(engine, group); });
  if (!has_uncovered_layer)
    for (const Group& group : groups)
      AddSecondHolders(engine, group);
  std::vector<PlacementOrder> orders;
  for (const ServerPlan& plan : plans)
    if (const auto range = NextRange(plans, plan))
      orders.push_back({plan.server->id, *range});
  return orders;
}

}  // namespace trefoilwick
