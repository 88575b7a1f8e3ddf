// How many layers a group of servers holds, and how many each of its servers.
#pragma once

#include <vector>

#include "layer_path_plan.h"

namespace trefoilwick::detail {

// Distributes `layer_count` layers over the servers of a group so that every
// server keeps about the same token capacity. Empty when their memory is too
// small.
std::vector<int> DistributeLayers(const EngineModel& engine,
                                  const Group& group,
                                  int layer_count);

// Token capacity of the scarcest server when DistributeLayers() distributes
// `layer_count` layers; negative when their memory is too small.
double MinCapacityTokens(const EngineModel& engine,
                         const Group& group,
                         int layer_count);

// Number of layers, counted once for each holder, that a group holds beside the
// token capacity that it keeps: at least every layer once, and no more than
// fit. Somewhat fewer when that leaves the scarcest server a larger token
// capacity, since servers hold whole layers only.
int LayersToHold(const EngineModel& engine, const Group& group);

}  // namespace trefoilwick::detail
