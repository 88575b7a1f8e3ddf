// Gives layers that no server holds to servers of the data center.
#include <algorithm>

#include "layer_path_plan.h"

namespace trefoilwick::detail {

namespace {

// Token capacity that a server keeps when it takes uncovered layers; the next
// level is tried when no server has that much.
constexpr double kFillCapacityTokens[] = {60'000, 40'000, 25'000};
// The same when layers are covered by shifting the ranges of a whole chain.
constexpr double kShiftCapacityTokens[] = {60'000, 40'000, 25'000, 12'000,
                                           5'000};
// Servers whose ranges follow one another, chosen greedily by how far they
// reach; the others of the group hold layers a second time.
Group SelectChain(const Group& group) {
  Group sorted;
  for (ServerPlan* plan : group)
    if (plan->target)
      sorted.push_back(plan);
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const ServerPlan* a, const ServerPlan* b) {
                     return a->target->from < b->target->from;
                   });
  Group chain;
  int reached = 0;
  for (size_t i = 0; i < sorted.size();) {
    ServerPlan* best = nullptr;
    // Of the servers that begin within the covered layers, the one that reaches
    // farthest.
    for (; i < sorted.size() && sorted[i]->target->from <= reached; ++i)
      if (sorted[i]->target->to > reached &&
          (best == nullptr || sorted[i]->target->to > best->target->to))
        best = sorted[i];
    if (best == nullptr) {
      if (i < sorted.size())
        reached = sorted[i]->target->from;
      continue;
    }
    chain.push_back(best);
    reached = best->target->to;
  }
  return chain;
}

// Number of layers that the server can hold with a token capacity of `tokens`.
int MaxLayersWithCapacity(const EngineModel& engine,
                          const ServerPlan& plan,
                          double tokens) {
  int layers = plan.max_layers;
  while (layers > 0 && CapacityTokens(engine, plan, layers) < tokens)
    --layers;
  return layers;
}

// True when other servers hold, and will keep, every layer of the server.
bool IsRedundant(const Group& group, const ServerPlan& plan) {
  if (!plan.target || plan.has_pending_order)
    return false;
  for (int layer = plan.target->from; layer < plan.target->to; ++layer) {
    const bool elsewhere =
        std::any_of(group.begin(), group.end(), [&](const ServerPlan* other) {
          return other != &plan && other->held &&
                 other->held->Contains(layer) && other->target &&
                 other->target->Contains(layer);
        });
    if (!elsewhere)
      return false;
  }
  return true;
}

// Assigns the beginning of an uncovered range to servers that are eligible: to
// the smallest that can hold all of it, else to the largest.
template <typename IsEligible>
void CoverByAssignment(const EngineModel& engine,
                       const Group& group,
                       double tokens,
                       LayerRange& uncovered,
                       IsEligible is_eligible) {
  while (uncovered.size() > 0) {
    ServerPlan* best = nullptr;
    int max_taken = 0;
    for (ServerPlan* plan : group) {
      if (!is_eligible(*plan))
        continue;
      const int layers = std::min(uncovered.size(),
                                  MaxLayersWithCapacity(engine, *plan, tokens));
      const bool is_smaller = best != nullptr && layers == max_taken &&
                              plan->max_layers < best->max_layers;
      if (layers > max_taken || is_smaller) {
        max_taken = layers;
        best = plan;
      }
    }
    if (best == nullptr)
      return;
    best->target = LayerRange{uncovered.from, uncovered.from + max_taken};
    uncovered.from += max_taken;
  }
}

// Lets servers next to an uncovered range load its layers beside their own.
void CoverByWidening(const EngineModel& engine,
                     const Group& group,
                     double tokens,
                     LayerRange& uncovered) {
  for (ServerPlan* plan : group) {
    if (!plan->target || plan->has_pending_order)
      continue;
    const int free_layers =
        MaxLayersWithCapacity(engine, *plan, tokens) - plan->target->size();
    const int taken_count = std::clamp(free_layers, 0, uncovered.size());
    if (plan->target->to >= uncovered.from &&
        plan->target->from < uncovered.from) {
      const int to = std::max(plan->target->to, uncovered.from + taken_count);
      uncovered.from = std::max(uncovered.from, to);
      plan->target->to = to;
    } else if (plan->target->from <= uncovered.to &&
               plan->target->to > uncovered.to) {
      const int from = std::min(plan->target->from, uncovered.to - taken_count);
      uncovered.to = std::min(uncovered.to, from);
      plan->target->from = from;
    }
    if (uncovered.size() <= 0)
      return;
  }
}

// Servers of a chain on one side of an uncovered range, and the layers that
// each takes over: the nearest server widens into the range and passes layers
// at its outer end on to the next one.
struct ChainSide {
  // Nearest first.
  Group servers;
  std::vector<int> taken_layers;
  size_t next_index = 0;
  int taken_sum = 0;
};

ChainSide MakeChainSide(const Group& chain,
                        const LayerRange& uncovered,
                        bool left) {
  ChainSide side;
  int edge = left ? uncovered.from : uncovered.to;
  const auto add_if_adjacent = [&](ServerPlan* plan) {
    const int inner = left ? plan->target->to : plan->target->from;
    const bool is_adjacent = left ? inner >= edge && plan->target->from < edge
                                  : inner <= edge && plan->target->to > edge;
    if (!is_adjacent || plan->has_pending_order)
      return;
    side.servers.push_back(plan);
    side.taken_layers.push_back(0);
    edge = left ? plan->target->from : plan->target->to;
  };
  if (left)
    std::for_each(chain.rbegin(), chain.rend(), add_if_adjacent);
  else
    std::for_each(chain.begin(), chain.end(), add_if_adjacent);
  return side;
}

// Lets the nearest server of the side that has the capacity take one more
// layer.
bool TakeLayer(const EngineModel& engine, double tokens, ChainSide& side) {
  for (; side.next_index < side.servers.size(); ++side.next_index) {
    const ServerPlan& plan = *side.servers[side.next_index];
    if (plan.target->size() + side.taken_layers[side.next_index] <
        MaxLayersWithCapacity(engine, plan, tokens)) {
      ++side.taken_layers[side.next_index];
      ++side.taken_sum;
      return true;
    }
  }
  return false;
}

void ApplyChainSide(ChainSide& side, bool left) {
  int passed_layers = side.taken_sum;
  for (size_t i = 0; i < side.servers.size(); ++i) {
    LayerRange& range = *side.servers[i]->target;
    (left ? range.to : range.from) += left ? passed_layers : -passed_layers;
    passed_layers -= side.taken_layers[i];
    (left ? range.from : range.to) += left ? passed_layers : -passed_layers;
  }
}

// Covers a range by shifting the ranges on both sides of it; false when their
// servers lack the capacity.
bool CoverByShifting(const EngineModel& engine,
                     const Group& group,
                     double tokens,
                     const LayerRange& uncovered) {
  const Group chain = SelectChain(group);
  ChainSide left = MakeChainSide(chain, uncovered, true);
  ChainSide right = MakeChainSide(chain, uncovered, false);
  while (left.taken_sum + right.taken_sum < uncovered.size()) {
    // The side that took fewer layers takes the next one, if it has the
    // capacity.
    ChainSide& first = left.taken_sum <= right.taken_sum ? left : right;
    ChainSide& second = left.taken_sum <= right.taken_sum ? right : left;
    if (!TakeLayer(engine, tokens, first) && !TakeLayer(engine, tokens, second))
      return false;
  }
  ApplyChainSide(left, true);
  ApplyChainSide(right, false);
  return true;
}

}  // namespace

double CapacityTokens(const EngineModel& engine,
                      const ServerPlan& plan,
                      int layers) {
  const double per_token =
      engine.kv_bytes_per_token / engine.layers / kBytesPerMb;
  return (plan.kind->memory_mb - layers * engine.layer_mb) / per_token /
         std::max(1, layers);
}

std::vector<LayerRange> FindUncoveredRanges(int layers, const Group& group) {
  std::vector<bool> held(static_cast<size_t>(layers), false);
  for (const ServerPlan* plan : group)
    if (plan->target)
      for (int i = plan->target->from; i < std::min(plan->target->to, layers);
           ++i)
        held[static_cast<size_t>(i)] = true;
  std::vector<LayerRange> uncovered_ranges;
  for (int layer = 0; layer < layers; ++layer) {
    if (held[static_cast<size_t>(layer)])
      continue;
    if (uncovered_ranges.empty() || uncovered_ranges.back().to != layer)
      uncovered_ranges.push_back({layer, layer});
    ++uncovered_ranges.back().to;
  }
  return uncovered_ranges;
}

void CoverAllLayers(const EngineModel& engine, const Group& group) {
  for (const double tokens : kFillCapacityTokens) {
    for (LayerRange uncovered : FindUncoveredRanges(engine.layers, group)) {
      CoverByAssignment(engine, group, tokens, uncovered,
                        [](const ServerPlan& plan) { return !plan.target; });
      CoverByWidening(engine, group, tokens, uncovered);
      CoverByAssignment(
          engine, group, tokens, uncovered,
          [&](const ServerPlan& plan) { return IsRedundant(group, plan); });
    }
  }
  for (const double tokens : kShiftCapacityTokens)
    for (const LayerRange& uncovered :
         FindUncoveredRanges(engine.layers, group))
      CoverByShifting(engine, group, tokens, uncovered);
}

}  // namespace trefoilwick::detail
