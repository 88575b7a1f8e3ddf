// The cheapest way to run all layers of a model on servers that each hold some
// of them.
#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "trefoilwick/layer_path.h"

namespace trefoilwick::detail {

// A server that may run layers of a path. Costs are in weighted milliseconds.
struct TilingServer {
  LayerRange layers;
  // Number of the data center, from 0.
  int data_center = 0;
  double layer_cost = 0;
  // Additional cost when the request arrives from another server.
  double arrival_cost = 0;
  // Additional cost as the first server; null when it must not be the first.
  std::optional<double> entry_cost;
  // The server runs exactly the pinned layers.
  bool is_pinned = false;
};

struct TilingProblem {
  int layers = 0;
  std::vector<TilingServer> servers;
  // Layers that only the pinned server runs.
  std::optional<LayerRange> pinned_layers;
  double local_hop_cost = 0;
  double remote_hop_cost = 0;
};

struct Tiling {
  // Index of the server that runs each layer.
  std::vector<int> server_by_layer;
  double cost = 0;
};

// Returns the cheapest tiling; null when a layer has no server. Of equal costs,
// the server with the lower index is chosen.
std::optional<Tiling> FindCheapestTiling(const TilingProblem& problem);

}  // namespace trefoilwick::detail
