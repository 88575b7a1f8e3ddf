// Fleets of servers that hold layers, for tests of paths and placement.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

inline constexpr int kLayers = 80;
inline constexpr char kServiceName[] = "pool";

// The engine parameters of the current deployments.
inline const EngineModel& Engine() {
  static const EngineModel engine = [] {
    EngineModel out;
    out.layers = kLayers;
    out.max_sequences = 192;
    out.layer_mb = 1750;
    out.kv_bytes_per_token = 426'000;
    out.activation_bytes = 21'300;
    out.step_ms = 0.85;
    out.step_ms_per_sequence = 0.00276;
    out.prefill_tokens_per_ms = 272;
    out.model_load_ms = 14'000;
    out.max_concurrent_loads = 6;
    out.data_center_link_mbps = 9300;
    out.accelerator_kinds = {{"a100s", {36'000, 3.1, 3.2}},
                             {"l4", {21'600, 16, 8.2}},
                             {"t4", {14'400, 15, 15}}};
    return out;
  }();
  return engine;
}

inline BackendServer EmptyServer(const std::string& id,
                                 const std::string& data_center,
                                 const std::string& kind) {
  BackendServer server;
  server.id = id;
  server.service = kServiceName;
  server.address = "10.0.0.1:80";
  server.data_center = data_center;
  server.kind = kind;
  return server;
}

inline void AddServers(ServerMap& servers,
                       const std::string& data_center,
                       const std::string& kind,
                       int count) {
  for (int i = 0; i < count; ++i) {
    std::string id = data_center;
    id.append("-").append(kind).append("-").append(std::to_string(i));
    servers[id] = EmptyServer(id, data_center, kind);
  }
}

// Servers as in the Brandon data center, for each data center: none holds
// layers.
inline ServerMap EmptyFleet(const std::vector<std::string>& data_centers) {
  ServerMap servers;
  for (const std::string& data_center : data_centers) {
    AddServers(servers, data_center, "a100s", 1);
    AddServers(servers, data_center, "l4", 7);
    AddServers(servers, data_center, "t4", 5);
  }
  return servers;
}

// Carries out orders immediately.
inline void ApplyOrders(ServerMap& servers,
                        const std::vector<PlacementOrder>& orders) {
  for (const PlacementOrder& order : orders) {
    BackendServer& server = servers.at(order.server);
    CPPUNIT_ASSERT(order.layers.from >= 0 && order.layers.to <= kLayers);
    CPPUNIT_ASSERT(order.layers.size() > 0);
    CPPUNIT_ASSERT(order.layers.size() <= MaxLayers(Engine(), server.kind));
    server.layers = order.layers;
  }
}

// Plans and carries out orders until there are none. Returns the number of
// rounds, or -1 when the layout does not become stable.
inline int RunPlacementUntilStable(
    ServerMap& servers,
    const std::set<std::string>& lost_servers = {}) {
  constexpr int kMaxRounds = 60;
  for (int round = 0; round < kMaxRounds; ++round) {
    const auto orders =
        PlanPlacement(Engine(), servers, kServiceName, lost_servers, {});
    if (orders.empty())
      return round;
    ApplyOrders(servers, orders);
  }
  return -1;
}

inline ServerMap PlacedFleet(const std::vector<std::string>& data_centers) {
  ServerMap servers = EmptyFleet(data_centers);
  CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
  return servers;
}

// Random kinds, ranges and states over three data centers.
inline ServerMap RandomFleet(Random& random) {
  const std::vector<std::string> kinds = {"a100s", "l4", "t4"};
  const std::vector<std::string> data_centers = {"regina", "brandon",
                                                 "lethbridge"};
  ServerMap servers;
  const uint64_t count = 30 + random.UniformBelow(60);
  for (uint64_t i = 0; i < count; ++i) {
    const std::string id = "s" + std::to_string(i);
    BackendServer server = EmptyServer(id, data_centers[random.UniformBelow(3)],
                                       kinds[random.UniformBelow(3)]);
    const int max_layers = MaxLayers(Engine(), server.kind);
    const int half = (max_layers + 1) / 2;
    const int size =
        half +
        static_cast<int>(random.UniformBelow(static_cast<uint64_t>(half)));
    // Clamped, so that the first and last layers are held as often as the
    // middle.
    const auto position_count =
        static_cast<uint64_t>(kLayers) + static_cast<uint64_t>(size);
    const int unclamped_from =
        static_cast<int>(random.UniformBelow(position_count)) - size;
    const int from = std::clamp(unclamped_from, 0, kLayers - size);
    if (random.UniformBelow(6) != 0)
      server.layers = LayerRange{from, from + size};
    if (random.UniformBelow(10) == 0)
      server.state = ServerState::kDraining;
    servers[id] = server;
  }
  return servers;
}

}  // namespace trefoilwick
