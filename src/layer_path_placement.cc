#include <algorithm>
#include <cmath>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

namespace {

constexpr double kBytesPerMb = 1e6;
// Room for tokens that a data center keeps for each of its servers. Memory
// beyond it holds second copies of layers.
constexpr double kTokensPerServer = 12'000;
// Part of the layers that a data center holds at least where that keeps more
// room.
constexpr double kFewerLayers = 0.95;
// A data center that cannot keep this much room for its share of a burst does
// not stand alone.
constexpr double kLeastTokens = 5'000;
// Room that a server keeps when it takes the layers of a gap; the next level is
// tried when no server has that much.
constexpr double kRoomLevels[] = {60'000, 40'000, 25'000};
// The same when a gap is closed by shifting the ranges of a whole chain.
constexpr double kShiftLevels[] = {60'000, 40'000, 25'000, 12'000, 5'000};
// A server with less room gives up layers that others hold as well.
constexpr double kTrimTokens = 30'000;
// More room than any layer needs.
constexpr double kManyTokens = 1e6;
// What a layer with one holder lacks, as room for tokens.
constexpr double kSecondHolderTokens = 150'000;
// Servers of a group that widen their ranges at a time: loads beyond a few slow
// one another down.
constexpr int kMostWidening = 2;

// A server that may be given layers.
struct Slot {
  const BackendServer* server = nullptr;
  const AcceleratorKind* kind = nullptr;
  int most = 0;
  // Layers that it holds in an even layout of its group.
  int nominal = 0;
  // What it holds now, and after the order that it carries out.
  std::optional<LayerRange> held;
  std::optional<LayerRange> planned;
  std::optional<LayerRange> target;
  bool pending = false;
  bool fresh = false;
};

using Slots = std::vector<Slot>;
using Group = std::vector<Slot*>;

Slots UsableSlots(const EngineModel& engine,
                  const ServerMap& servers,
                  const std::string& service,
                  const std::set<std::string>& down,
                  const std::map<std::string, LayerRange>& pending) {
  Slots slots;
  for (const auto& [id, server] : servers) {
    const auto kind = engine.accelerator_kinds.find(server.kind);
    if (server.service != service || server.state != ServerState::kReady ||
        down.contains(id) || kind == engine.accelerator_kinds.end())
      continue;
    const int most = MaxLayers(engine, server.kind);
    if (most == 0)
      continue;
    Slot slot;
    slot.server = &server;
    slot.kind = &kind->second;
    slot.most = most;
    slot.held = server.layers;
    slot.planned = server.layers;
    if (const auto order = pending.find(id); order != pending.end()) {
      slot.pending = true;
      slot.planned = order->second;
    }
    slots.push_back(slot);
  }
  return slots;
}

// Tokens that fit beside `layers` layers of a server.
double TokensBeside(const EngineModel& engine, const Slot& slot, int layers) {
  const double per_token =
      engine.kv_bytes_per_token / engine.layers / kBytesPerMb;
  return (slot.kind->memory_mb - layers * engine.layer_mb) / per_token /
         std::max(1, layers);
}

// Layers for each server of a group so that they add up to `wanted` and every
// server keeps about the same room for tokens. Empty when memory is short.
std::vector<int> ShareLayers(const EngineModel& engine,
                             const Group& group,
                             int wanted) {
  double memory = 0;
  int most = 0;
  for (const Slot* slot : group) {
    memory += slot->kind->memory_mb;
    most += slot->most;
  }
  if (most < wanted)
    return {};
  std::vector<int> shares;
  int sum = 0;
  for (const Slot* slot : group) {
    const double exact = wanted * slot->kind->memory_mb / memory;
    shares.push_back(std::min(slot->most, static_cast<int>(exact)));
    sum += shares.back();
  }
  // The rest goes one by one to those that keep most room.
  for (; sum < wanted; ++sum) {
    int best = -1;
    double best_tokens = -1;
    for (size_t i = 0; i < group.size(); ++i) {
      if (shares[i] >= group[i]->most)
        continue;
      const double tokens = TokensBeside(engine, *group[i], shares[i] + 1);
      if (tokens > best_tokens) {
        best_tokens = tokens;
        best = static_cast<int>(i);
      }
    }
    ++shares[best];
  }
  return shares;
}

// Room for tokens of the scarcest server of a tiling; negative for none.
double LeastTokens(const EngineModel& engine,
                   const Group& group,
                   const std::vector<int>& shares) {
  if (shares.empty())
    return -1;
  double least = -1;
  for (size_t i = 0; i < group.size(); ++i) {
    if (shares[i] == 0)
      continue;
    const double tokens = TokensBeside(engine, *group[i], shares[i]);
    least = least < 0 ? tokens : std::min(least, tokens);
  }
  return least;
}

// Room for tokens of each layer over its holders to be.
std::vector<double> TokensByLayer(const EngineModel& engine,
                                  const Group& group) {
  std::vector<double> tokens(static_cast<size_t>(engine.layers), 0.0);
  for (const Slot* slot : group) {
    if (!slot->target)
      continue;
    const double room =
        std::max(1.0, TokensBeside(engine, *slot, slot->target->size()));
    for (int layer = slot->target->from;
         layer < std::min(slot->target->to, engine.layers); ++layer)
      tokens[static_cast<size_t>(layer)] += room;
  }
  return tokens;
}

// Layers, counted once for each holder, that a group holds beside the room that
// it keeps for tokens: at least one copy, and no more than fit. Somewhat fewer
// when the scarcest server keeps more room by that: servers hold whole layers.
int LayersToHold(const EngineModel& engine, const Group& group) {
  double memory = 0;
  int most = 0;
  for (const Slot* slot : group) {
    memory += slot->kind->memory_mb;
    most += slot->most;
  }
  const double kept_mb = kTokensPerServer * static_cast<double>(group.size()) *
                         engine.kv_bytes_per_token / kBytesPerMb;
  const int fit = static_cast<int>((memory - kept_mb) / engine.layer_mb);
  const int least = std::min(engine.layers, most);
  int best = std::clamp(fit, least, most);
  double best_tokens = -1;
  const int fewest = std::max(least, static_cast<int>(best * kFewerLayers));
  for (int layers = best; layers >= fewest; --layers) {
    const double tokens =
        LeastTokens(engine, group, ShareLayers(engine, group, layers));
    if (tokens > best_tokens) {
      best_tokens = tokens;
      best = layers;
    }
  }
  return best;
}

void SetNominal(const EngineModel& engine, const Group& group) {
  const std::vector<int> shares =
      ShareLayers(engine, group, LayersToHold(engine, group));
  for (size_t i = 0; i < shares.size(); ++i)
    group[i]->nominal = shares[i];
}

// Gives consecutive ranges from `first` on.
void Lay(const Group& servers, const std::vector<int>& shares, int first) {
  for (size_t i = 0; i < shares.size(); ++i) {
    if (shares[i] > 0)
      servers[i]->target = LayerRange{first, first + shares[i]};
    first += shares[i];
  }
}

// Lays servers that hold nothing over the model, copy after copy. The last copy
// is a part of one, of the smallest servers: a second copy of some layers that
// is also the first to move when a layer is lost.
void TileEmpty(const EngineModel& engine, Group& group) {
  std::stable_sort(group.begin(), group.end(),
                   [](const Slot* a, const Slot* b) {
                     return a->kind->memory_mb > b->kind->memory_mb;
                   });
  Group rest = group;
  Group copy;
  int sum = 0;
  while (!rest.empty()) {
    // The smallest server that ends the copy, else the largest.
    const auto last = std::find_if(
        rest.rbegin(), rest.rend(),
        [&](const Slot* slot) { return sum + slot->nominal >= engine.layers; });
    const auto next = last == rest.rend() ? rest.begin() : last.base() - 1;
    copy.push_back(*next);
    sum += (*next)->nominal;
    rest.erase(next);
    if (sum < engine.layers)
      continue;
    Lay(copy, ShareLayers(engine, copy, engine.layers), 0);
    copy.clear();
    sum = 0;
  }
  std::vector<int> shares;
  for (const Slot* slot : copy)
    shares.push_back(slot->nominal);
  Lay(copy, shares, engine.layers - sum);
}

// Servers whose ranges follow one another, chosen greedily by reach; the
// others of the group are replicas.
Group SelectChain(const Group& group) {
  Group sorted;
  for (Slot* slot : group)
    if (slot->target)
      sorted.push_back(slot);
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Slot* a, const Slot* b) {
                     return a->target->from < b->target->from;
                   });
  Group chain;
  int reached = 0;
  for (size_t i = 0; i < sorted.size();) {
    Slot* best = nullptr;
    // Of those that begin within what is covered, the one that reaches
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

// Runs of layers that no server of the group will hold.
std::vector<LayerRange> FindGaps(int layers, const Group& group) {
  std::vector<bool> held(static_cast<size_t>(layers), false);
  for (const Slot* slot : group)
    if (slot->target)
      for (int i = slot->target->from; i < std::min(slot->target->to, layers);
           ++i)
        held[static_cast<size_t>(i)] = true;
  std::vector<LayerRange> gaps;
  for (int layer = 0; layer < layers; ++layer) {
    if (held[static_cast<size_t>(layer)])
      continue;
    if (gaps.empty() || gaps.back().to != layer)
      gaps.push_back({layer, layer});
    ++gaps.back().to;
  }
  return gaps;
}

// Layers that the server may hold while it keeps room for `tokens`.
int LayersWithRoom(const EngineModel& engine, const Slot& slot, double tokens) {
  int layers = slot.most;
  while (layers > 0 && TokensBeside(engine, slot, layers) < tokens)
    --layers;
  return layers;
}

// True when other servers hold, and go on to hold, every layer of the slot.
bool IsSpare(const Group& group, const Slot& slot) {
  if (!slot.target || slot.pending)
    return false;
  for (int layer = slot.target->from; layer < slot.target->to; ++layer) {
    const bool elsewhere =
        std::any_of(group.begin(), group.end(), [&](const Slot* other) {
          return other != &slot && other->held &&
                 other->held->Contains(layer) && other->target &&
                 other->target->Contains(layer);
        });
    if (!elsewhere)
      return false;
  }
  return true;
}

// Gives the beginning of a gap to servers that `may_take` it: to the smallest
// that can take all of it, else to the largest.
template <typename MayTake>
void FillWhole(const EngineModel& engine,
               const Group& group,
               double tokens,
               LayerRange& gap,
               MayTake may_take) {
  while (gap.size() > 0) {
    Slot* best = nullptr;
    int most = 0;
    for (Slot* slot : group) {
      if (!may_take(*slot))
        continue;
      const int layers =
          std::min(gap.size(), LayersWithRoom(engine, *slot, tokens));
      const bool smaller =
          best != nullptr && layers == most && slot->most < best->most;
      if (layers > most || smaller) {
        most = layers;
        best = slot;
      }
    }
    if (best == nullptr)
      return;
    best->target = LayerRange{gap.from, gap.from + most};
    gap.from += most;
  }
}

// Servers next to the gap load its layers beside their own.
void FillByWidening(const EngineModel& engine,
                    const Group& group,
                    double tokens,
                    LayerRange& gap) {
  for (Slot* slot : group) {
    if (!slot->target || slot->pending)
      continue;
    const int free =
        LayersWithRoom(engine, *slot, tokens) - slot->target->size();
    const int taken = std::clamp(free, 0, gap.size());
    if (slot->target->to >= gap.from && slot->target->from < gap.from) {
      const int to = std::max(slot->target->to, gap.from + taken);
      gap.from = std::max(gap.from, to);
      slot->target->to = to;
    } else if (slot->target->from <= gap.to && slot->target->to > gap.to) {
      const int from = std::min(slot->target->from, gap.to - taken);
      gap.to = std::min(gap.to, from);
      slot->target->from = from;
    }
    if (gap.size() <= 0)
      return;
  }
}

// Layers that the neighbours of a gap can take in, outward on one side: the
// nearest server widens, and those beyond it hand layers on towards the gap.
struct Side {
  // Nearest first.
  Group servers;
  std::vector<int> taken;
  size_t next = 0;
  int sum = 0;
};

Side MakeSide(const Group& chain, const LayerRange& gap, bool left) {
  Side side;
  int edge = left ? gap.from : gap.to;
  const auto visit = [&](Slot* slot) {
    const int inner = left ? slot->target->to : slot->target->from;
    const bool adjacent = left ? inner >= edge && slot->target->from < edge
                               : inner <= edge && slot->target->to > edge;
    if (!adjacent || slot->pending)
      return;
    side.servers.push_back(slot);
    side.taken.push_back(0);
    edge = left ? slot->target->from : slot->target->to;
  };
  if (left)
    std::for_each(chain.rbegin(), chain.rend(), visit);
  else
    std::for_each(chain.begin(), chain.end(), visit);
  return side;
}

// Takes one layer from the nearest server of the side that has room.
bool TakeOne(const EngineModel& engine, double tokens, Side& side) {
  for (; side.next < side.servers.size(); ++side.next) {
    const Slot& slot = *side.servers[side.next];
    if (slot.target->size() + side.taken[side.next] <
        LayersWithRoom(engine, slot, tokens)) {
      ++side.taken[side.next];
      ++side.sum;
      return true;
    }
  }
  return false;
}

void ApplySide(Side& side, bool left) {
  int beyond = side.sum;
  for (size_t i = 0; i < side.servers.size(); ++i) {
    LayerRange& range = *side.servers[i]->target;
    (left ? range.to : range.from) += left ? beyond : -beyond;
    beyond -= side.taken[i];
    (left ? range.from : range.to) += left ? beyond : -beyond;
  }
}

// Closes a gap by widening its neighbours; false when they have no room.
bool FillByNeighbours(const EngineModel& engine,
                      const Group& group,
                      double tokens,
                      const LayerRange& gap) {
  const Group chain = SelectChain(group);
  Side left = MakeSide(chain, gap, true);
  Side right = MakeSide(chain, gap, false);
  while (left.sum + right.sum < gap.size()) {
    // The side that took less goes on, unless it has nothing left.
    Side& first = left.sum <= right.sum ? left : right;
    Side& second = left.sum <= right.sum ? right : left;
    if (!TakeOne(engine, tokens, first) && !TakeOne(engine, tokens, second))
      return false;
  }
  ApplySide(left, true);
  ApplySide(right, false);
  return true;
}

// Closes all gaps, with as much room for tokens as can be kept: by servers that
// hold nothing, by neighbours that load more, by servers whose layers others
// hold as well, and at last by a shift of all ranges around the gap.
void CloseGaps(const EngineModel& engine, const Group& group) {
  for (const double tokens : kRoomLevels) {
    for (LayerRange gap : FindGaps(engine.layers, group)) {
      FillWhole(engine, group, tokens, gap,
                [](const Slot& slot) { return !slot.target; });
      FillByWidening(engine, group, tokens, gap);
      FillWhole(engine, group, tokens, gap,
                [&](const Slot& slot) { return IsSpare(group, slot); });
    }
  }
  for (const double tokens : kShiftLevels)
    for (const LayerRange& gap : FindGaps(engine.layers, group))
      FillByNeighbours(engine, group, tokens, gap);
}

// Gives up layers at the ends of servers that are short of room, where others
// hold the same layers. The end towards an open gap is kept: an overlap there
// is a step towards closing it.
void Trim(const EngineModel& engine,
          const Group& group,
          double tokens,
          const std::vector<LayerRange>& gaps) {
  const auto held_elsewhere = [&](const Slot* slot, int layer) {
    return std::any_of(group.begin(), group.end(), [&](const Slot* other) {
      return other != slot && other->held && other->held->Contains(layer) &&
             other->target && other->target->Contains(layer);
    });
  };
  // The one with least room first: of two that hold a layer, it gives it up.
  Group order;
  for (Slot* slot : group)
    if (slot->target && !slot->pending)
      order.push_back(slot);
  std::stable_sort(order.begin(), order.end(),
                   [&](const Slot* a, const Slot* b) {
                     return TokensBeside(engine, *a, a->target->size()) <
                            TokensBeside(engine, *b, b->target->size());
                   });
  for (Slot* slot : order) {
    LayerRange& range = *slot->target;
    bool gap_before = false;
    bool gap_after = false;
    for (const LayerRange& gap : gaps) {
      gap_before |= gap.to <= range.from;
      gap_after |= gap.from >= range.to;
    }
    while (range.size() > 1 &&
           TokensBeside(engine, *slot, range.size()) < tokens) {
      if (!gap_before && held_elsewhere(slot, range.from))
        ++range.from;
      else if (!gap_after && held_elsewhere(slot, range.to - 1))
        --range.to;
      else
        break;
    }
  }
}

// How much a layer lacks, by its holders to be: room for tokens, and a second
// holder.
std::vector<double> LackByLayer(const EngineModel& engine, const Group& group) {
  const std::vector<double> tokens = TokensByLayer(engine, group);
  std::vector<int> holders(tokens.size(), 0);
  for (const Slot* slot : group)
    if (slot->target)
      for (int i = slot->target->from;
           i < std::min(slot->target->to, engine.layers); ++i)
        ++holders[static_cast<size_t>(i)];
  std::vector<double> lack(tokens.size());
  for (size_t i = 0; i < tokens.size(); ++i)
    lack[i] = kManyTokens - std::min(tokens[i], kManyTokens) +
              (holders[i] < 2 ? kSecondHolderTokens : 0);
  return lack;
}

// As many layers as the server holds in an even layout, where they lack most.
LayerRange ScarcestRange(const EngineModel& engine,
                         const std::vector<double>& lack,
                         const Slot& slot) {
  const int size = std::clamp(slot.nominal, 1, engine.layers);
  LayerRange best{0, size};
  double most = -1;
  for (int from = 0; from + size <= engine.layers; ++from) {
    double sum = 0;
    for (int layer = from; layer < from + size; ++layer)
      sum += lack[static_cast<size_t>(layer)];
    if (sum > most) {
      most = sum;
      best = {from, from + size};
    }
  }
  return best;
}

// Widens servers that hold less than in an even layout, towards the layer that
// lacks more.
void Widen(const EngineModel& engine, const Group& group) {
  int widening = 0;
  for (const Slot* slot : group)
    widening += slot->pending ? 1 : 0;
  for (Slot* slot : group) {
    if (widening >= kMostWidening)
      return;
    // One layer less is left as it is: orders have a price.
    if (!slot->target || slot->pending ||
        slot->target->size() >= slot->nominal - 1)
      continue;
    const std::vector<double> lack = LackByLayer(engine, group);
    LayerRange& range = *slot->target;
    while (range.size() < slot->nominal) {
      const double before =
          range.from > 0 ? lack[static_cast<size_t>(range.from - 1)] : -1;
      const double after =
          range.to < engine.layers ? lack[static_cast<size_t>(range.to)] : -1;
      if (before < 0 && after < 0)
        break;
      if (before > after)
        --range.from;
      else
        ++range.to;
    }
    ++widening;
  }
}

// Lets another server take in a layer at an end of the one with least room,
// when it keeps clearly more; Trim then lets that one give the layer up.
void Relieve(const EngineModel& engine, const Group& group, double tokens) {
  const auto room = [&](const Slot* slot, int more) {
    return TokensBeside(engine, *slot, slot->target->size() + more);
  };
  Slot* scarcest = nullptr;
  for (Slot* slot : group)
    if (slot->target && slot->target->size() > 1 &&
        (scarcest == nullptr || room(slot, 0) < room(scarcest, 0)))
      scarcest = slot;
  if (scarcest == nullptr || scarcest->pending || room(scarcest, 0) >= tokens)
    return;
  for (const int layer : {scarcest->target->from, scarcest->target->to - 1}) {
    Slot* best = nullptr;
    for (Slot* slot : group) {
      const bool touches =
          slot != scarcest && slot->target && !slot->pending &&
          (slot->target->to == layer || slot->target->from == layer + 1);
      if (touches && room(slot, 1) >= 2 * room(scarcest, 0) &&
          (best == nullptr || room(slot, 1) > room(best, 1)))
        best = slot;
    }
    if (best == nullptr)
      continue;
    if (best->target->to == layer)
      ++best->target->to;
    else
      --best->target->from;
  }
}

// Sets the targets of a group to what is held, with gaps closed.
void SetTargets(const EngineModel& engine, Group& group) {
  SetNominal(engine, group);
  bool any = false;
  for (Slot* slot : group) {
    slot->target = slot->planned;
    any |= slot->target.has_value();
  }
  if (!any) {
    TileEmpty(engine, group);
    return;
  }
  CloseGaps(engine, group);
  const auto gaps = FindGaps(engine.layers, group);
  Trim(engine, group, kTrimTokens, gaps);
  if (gaps.empty())
    Relieve(engine, group, kTrimTokens);
}

// Puts copies of scarce layers on servers that are empty or hold little.
void AddCopies(const EngineModel& engine, const Group& group) {
  for (Slot* slot : group)
    if (!slot->target && slot->nominal > 0 && !slot->fresh)
      slot->target = ScarcestRange(engine, LackByLayer(engine, group), *slot);
  Widen(engine, group);
}

// A layer of the group is not held yet, whatever is on its way.
bool HasGapNow(const EngineModel& engine, const Group& group) {
  std::vector<bool> held(static_cast<size_t>(engine.layers), false);
  for (const Slot* slot : group)
    if (slot->held)
      for (int i = slot->held->from;
           i < std::min(slot->held->to, engine.layers); ++i)
        held[static_cast<size_t>(i)] = true;
  return std::find(held.begin(), held.end(), false) != held.end();
}

// True when other servers hold, and go on to hold, what the slot gives up.
bool MayGiveUp(const Slots& slots, const Slot& slot) {
  for (int layer = slot.held->from; layer < slot.held->to; ++layer) {
    if (slot.target->Contains(layer))
      continue;
    const bool elsewhere =
        std::any_of(slots.begin(), slots.end(), [&](const Slot& other) {
          return &other != &slot &&
                 other.server->data_center == slot.server->data_center &&
                 other.held && other.held->Contains(layer) && other.target &&
                 other.target->Contains(layer);
        });
    if (!elsewhere)
      return false;
  }
  return true;
}

// The next order towards the target: load first, give up later, so that no
// layer is without a holder in between.
std::optional<LayerRange> NextRange(const Slots& slots, const Slot& slot) {
  if (slot.pending || !slot.target || slot.held == slot.target)
    return std::nullopt;
  if (!slot.held)
    return slot.target;
  const LayerRange both{std::min(slot.held->from, slot.target->from),
                        std::max(slot.held->to, slot.target->to)};
  if (both == *slot.held)
    return MayGiveUp(slots, slot) ? slot.target : std::nullopt;
  if (both.size() <= slot.most)
    return both;
  return MayGiveUp(slots, slot) ? slot.target : std::nullopt;
}

// Data centers whose memory holds all layers stand alone; the others share.
std::vector<Group> MakeGroups(const EngineModel& engine, Slots& slots) {
  std::map<std::string, Group> by_data_center;
  for (Slot& slot : slots)
    by_data_center[slot.server->data_center].push_back(&slot);
  std::vector<Group> groups;
  Group rest;
  for (auto& [data_center, group] : by_data_center) {
    const double tokens =
        LeastTokens(engine, group, ShareLayers(engine, group, engine.layers));
    if (tokens >= kLeastTokens)
      groups.push_back(group);
    else
      rest.insert(rest.end(), group.begin(), group.end());
  }
  if (!rest.empty())
    groups.push_back(rest);
  return groups;
}

}  // namespace

std::map<std::string, LayoutHealth> AssessLayout(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::string& service,
    const std::set<std::string>& down) {
  std::map<std::string, LayoutHealth> out;
  std::map<std::string, Group> groups;
  Slots slots = UsableSlots(engine, servers, service, down, {});
  for (Slot& slot : slots) {
    slot.target = slot.held;
    groups[slot.server->data_center].push_back(&slot);
    LayoutHealth& health = out[slot.server->data_center];
    ++health.servers;
    health.empty_servers += slot.held ? 0 : 1;
  }
  for (auto& [data_center, health] : out) {
    const std::vector<double> tokens =
        TokensByLayer(engine, groups[data_center]);
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
    const std::set<std::string>& down,
    const std::map<std::string, LayerRange>& pending,
    const std::set<std::string>& fresh) {
  Slots slots = UsableSlots(engine, servers, service, down, pending);
  for (Slot& slot : slots)
    slot.fresh = fresh.contains(slot.server->id);
  std::vector<Group> groups = MakeGroups(engine, slots);
  for (Group& group : groups)
    SetTargets(engine, group);
  // Copies wait for gaps, since loads slow one another down.
  const bool gap =
      std::any_of(groups.begin(), groups.end(),
                  [&](const Group& group) { return HasGapNow(engine, group); });
  if (!gap)
    for (const Group& group : groups)
      AddCopies(engine, group);
  std::vector<PlacementOrder> orders;
  for (const Slot& slot : slots)
    if (const auto range = NextRange(slots, slot))
      orders.push_back({slot.server->id, *range});
  return orders;
}

}  // namespace trefoilwick
