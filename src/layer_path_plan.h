// Planned layers of the servers of a data center, and how uncovered layers are
// given to them.
#pragma once

#include <optional>
#include <vector>

#include "trefoilwick/layer_path.h"

namespace trefoilwick::detail {

inline constexpr double kBytesPerMb = 1e6;

// A server that may be given layers, and the layers planned for it.
struct ServerPlan {
  const BackendServer* server = nullptr;
  const AcceleratorKind* kind = nullptr;
  int max_layers = 0;
  // Layers that it holds in an even layout of its group.
  int even_share = 0;
  // Layers that it holds now, and after the order that it carries out.
  std::optional<LayerRange> held;
  std::optional<LayerRange> planned;
  std::optional<LayerRange> target;
  bool has_pending_order = false;
  bool is_new = false;
};

using ServerPlans = std::vector<ServerPlan>;
using Group = std::vector<ServerPlan*>;

// Token capacity of a server beside `layers` layers.
double CapacityTokens(const EngineModel& engine,
                      const ServerPlan& plan,
                      int layers);

// Ranges of layers that are planned for no server of the group.
std::vector<LayerRange> FindUncoveredRanges(int layers, const Group& group);

// Covers all uncovered layers, with as much token capacity as can be kept:
// first by empty servers, then by neighbours that load more, then by servers
// whose layers others also hold, and last by shifting all ranges around an
// uncovered one.
void CoverAllLayers(const EngineModel& engine, const Group& group);

}  // namespace trefoilwick::detail
