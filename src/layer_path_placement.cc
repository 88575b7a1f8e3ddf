#include <algorithm>
#include <cmath>

#include "layer_path_distribution.h"
#include "layer_path_plan.h"
#include "trefoilwick/layer_path.h"

namespace trefoilwick {

namespace {

using detail::CapacityTokens;
using detail::CoverAllLayers;
using detail::DistributeLayers;
using detail::FindUncoveredRanges;
using detail::Group;
using detail::LayersToHold;
using detail::MinCapacityTokens;
using detail::ServerPlan;
using detail::ServerPlans;

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
    const double tokens = MinCapacityTokens(engine, group, engine.layers);
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
