#include <algorithm>
#include <cmath>
#include <numeric>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

namespace {

constexpr double kBytesPerMb = 1e6;
// Tokens that a server must keep room for beside its layers.
constexpr double kLeastTokens = 20'000;

// A server that may be given layers, with what it holds or will hold.
struct Slot {
  const BackendServer* server = nullptr;
  const AcceleratorKind* kind = nullptr;
  int most = 0;
  std::optional<LayerRange> layers;
};

using Slots = std::vector<Slot>;

Slots UsableSlots(const EngineModel& engine,
                  const ServerMap& servers,
                  const std::string& service,
                  const std::set<std::string>& down) {
  Slots slots;
  for (const auto& [id, server] : servers) {
    const auto kind = engine.kinds.find(server.kind);
    if (server.service != service || server.state != ServerState::kReady ||
        down.contains(id) || kind == engine.kinds.end())
      continue;
    const int most = MostLayers(engine, server.kind);
    if (most > 0)
      slots.push_back({&server, &kind->second, most, server.layers});
  }
  return slots;
}

// Layers for each server of one data center so that they add up to `wanted`
// and every server keeps about the same KV memory a layer. Empty when the
// memory does not suffice.
std::vector<int> ShareLayers(const EngineModel& engine,
                             const std::vector<Slot*>& slots,
                             int wanted) {
  double memory = 0;
  int most = 0;
  for (const Slot* slot : slots) {
    memory += slot->kind->memory_mb;
    most += slot->most;
  }
  if (most < wanted)
    return {};
  std::vector<double> exact;
  std::vector<int> shares;
  int sum = 0;
  for (const Slot* slot : slots) {
    exact.push_back(wanted * slot->kind->memory_mb / memory);
    shares.push_back(std::min(slot->most, static_cast<int>(exact.back())));
    sum += shares.back();
  }
  // The rest goes to those with most memory left for a layer.
  const double per_token =
      engine.kv_bytes_per_token / engine.layers / kBytesPerMb;
  while (sum < wanted) {
    int best = -1;
    double best_tokens = -1;
    for (size_t i = 0; i < slots.size(); ++i) {
      if (shares[i] >= slots[i]->most)
        continue;
      const double free =
          slots[i]->kind->memory_mb - (shares[i] + 1) * engine.layer_mb;
      const double tokens = free / per_token / (shares[i] + 1);
      if (tokens > best_tokens) {
        best_tokens = tokens;
        best = static_cast<int>(i);
      }
    }
    ++shares[best];
    ++sum;
  }
  return shares;
}

// Holders of each layer.
std::vector<int> CountHolders(int layers, const std::vector<Slot*>& slots) {
  std::vector<int> holders(layers, 0);
  for (const Slot* slot : slots)
    if (slot->layers)
      for (int layer = slot->layers->from; layer < slot->layers->to; ++layer)
        ++holders[layer];
  return holders;
}

// Gives the layers of a data center to its empty servers, in one tiling.
void TileEmpty(const EngineModel& engine, std::vector<Slot*>& slots) {
  // The fastest first, so that a request begins on servers with much memory.
  std::stable_sort(slots.begin(), slots.end(),
                   [](const Slot* a, const Slot* b) {
                     return a->kind->memory_mb > b->kind->memory_mb;
                   });
  const std::vector<int> shares = ShareLayers(engine, slots, engine.layers);
  if (shares.empty())
    return;
  int at = 0;
  for (size_t i = 0; i < slots.size(); ++i) {
    if (shares[i] > 0)
      slots[i]->layers = LayerRange{at, at + shares[i]};
    at += shares[i];
  }
}

// A widest run of layers with the fewest holders, at most `most` long.
std::optional<LayerRange> NeediestRun(const std::vector<int>& holders,
                                      int most) {
  if (holders.empty())
    return std::nullopt;
  const int fewest = *std::min_element(holders.begin(), holders.end());
  LayerRange best;
  const int layers = static_cast<int>(holders.size());
  for (int from = 0; from < layers; ++from) {
    if (holders[from] != fewest)
      continue;
    int to = from;
    while (to < layers && holders[to] == fewest && to - from < most)
      ++to;
    if (to - from > best.size())
      best = {from, to};
    if (best.size() == most)
      break;
  }
  return best;
}

// Layers of a server that keep about half of its memory for requests.
int ModestLayers(const EngineModel& engine, const Slot& slot) {
  return std::max(
      1, std::min(slot.most, static_cast<int>(slot.kind->memory_mb * 0.5 /
                                              engine.layer_mb)));
}

// Tokens that fit beside `layers` layers of a server.
double TokensBeside(const EngineModel& engine, const Slot& slot, int layers) {
  const double per_token =
      engine.kv_bytes_per_token / engine.layers / kBytesPerMb;
  return (slot.kind->memory_mb - layers * engine.layer_mb) / per_token / layers;
}

// The slot that can take one more layer next to its range and keeps the most
// room for requests; null when none keeps enough.
Slot* BestNeighbour(const EngineModel& engine,
                    const std::vector<Slot*>& slots,
                    const std::vector<int>& holders) {
  Slot* best = nullptr;
  double most_tokens = kLeastTokens;
  for (Slot* slot : slots) {
    if (!slot->layers || slot->layers->size() >= slot->most)
      continue;
    const LayerRange& held = *slot->layers;
    const bool right = held.to < engine.layers && holders[held.to] == 0;
    const bool left = held.from > 0 && holders[held.from - 1] == 0;
    if (!right && !left)
      continue;
    const double tokens = TokensBeside(engine, *slot, held.size() + 1);
    if (tokens > most_tokens) {
      most_tokens = tokens;
      best = slot;
    }
  }
  return best;
}

// Widens the neighbours of gaps layer by layer, those with most memory first.
void WidenOverGaps(const EngineModel& engine,
                   const std::vector<Slot*>& slots,
                   std::vector<int>& holders) {
  while (Slot* slot = BestNeighbour(engine, slots, holders)) {
    LayerRange& held = *slot->layers;
    if (held.to < engine.layers && holders[held.to] == 0)
      ++holders[held.to++];
    else
      ++holders[--held.from];
  }
}

// True when every layer of the slot has another holder.
bool IsRedundant(const Slot& slot, const std::vector<int>& holders) {
  for (int layer = slot.layers->from; layer < slot.layers->to; ++layer)
    if (holders[layer] < 2)
      return false;
  return true;
}

// Fills gaps of a data center that already holds layers: first by empty
// servers, then by widening the neighbours of the gap, then by servers whose
// layers are all held elsewhere.
void FillGaps(const EngineModel& engine, std::vector<Slot*>& slots) {
  std::vector<int> holders = CountHolders(engine.layers, slots);
  const auto count = [&](const LayerRange& range, int by) {
    for (int layer = range.from; layer < range.to; ++layer)
      holders[layer] += by;
  };
  for (Slot* slot : slots) {
    if (slot->layers)
      continue;
    const auto run = NeediestRun(holders, ModestLayers(engine, *slot));
    if (run && run->size() > 0) {
      slot->layers = run;
      count(*run, 1);
    }
  }
  const auto has_gap = [&] {
    return std::find(holders.begin(), holders.end(), 0) != holders.end();
  };
  if (!has_gap())
    return;
  WidenOverGaps(engine, slots, holders);
  for (Slot* slot : slots) {
    if (!has_gap())
      return;
    if (!slot->layers || !IsRedundant(*slot, holders))
      continue;
    count(*slot->layers, -1);
    slot->layers = NeediestRun(holders, ModestLayers(engine, *slot));
    count(*slot->layers, 1);
  }
}

}  // namespace

std::vector<PlacementOrder> PlanPlacement(const EngineModel& engine,
                                          const ServerMap& servers,
                                          const std::string& service,
                                          const std::set<std::string>& down) {
  Slots slots = UsableSlots(engine, servers, service, down);
  std::map<std::string, std::vector<Slot*>> by_data_center;
  for (Slot& slot : slots)
    by_data_center[slot.server->data_center].push_back(&slot);
  for (auto& [data_center, members] : by_data_center) {
    const bool all_empty =
        std::none_of(members.begin(), members.end(),
                     [](const Slot* slot) { return slot->layers.has_value(); });
    if (all_empty)
      TileEmpty(engine, members);
    else
      FillGaps(engine, members);
  }
  // What no data center could hold alone is tiled over all of them.
  std::vector<Slot*> all;
  for (Slot& slot : slots)
    all.push_back(&slot);
  const std::vector<int> holders = CountHolders(engine.layers, all);
  if (std::find(holders.begin(), holders.end(), 0) != holders.end())
    FillGaps(engine, all);
  std::vector<PlacementOrder> orders;
  for (const Slot& slot : slots)
    if (slot.layers && slot.layers != slot.server->layers)
      orders.push_back({slot.server->id, *slot.layers});
  return orders;
}

}  // namespace trefoilwick
