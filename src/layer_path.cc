#include "trefoilwick/layer_path.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace trefoilwick {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kBytesPerMb = 1e6;
// One-way delay of a hop, plus handling at the receiver.
constexpr double kHopMs = 0.2;
constexpr double kRemoteHopMs = 1.0;
// Transfers between data centers share one link; the factor keeps ordinary
// traffic off it while a local path exists.
constexpr double kPipeShareFactor = 16.0;
// Cost of entering in another data center: above the gain from its faster
// servers, below that of a path whose memory is more than half full.
constexpr double kRemoteEntry = 400;
// Part of its time by which a server is made to look slower at random.
constexpr double kShuffle = 0.08;
// Share of KV memory above which a server is avoided.
constexpr double kComfortableUse = 0.6;
// Part of what a link between data centers carries that may be used.
constexpr double kLinkShare = 0.5;
constexpr double kCrossingBurstSeconds = 2;
// Largest request, twice over a link.
constexpr double kLeastCrossingTokens = 6'000;
// Weight of a prompt's prefill against the tokens of its answer.
constexpr double kAnswerTokens = 60;
// Hints are right at the median; the mean of what they stand for is higher.
constexpr double kHintMargin = 1.3;
// Answer that is expected when nothing is known.
constexpr double kDefaultAnswerTokens = 150;
// Part of an answer that is held on average from its beginning to its end, with
// a margin. Many streams share each server.
constexpr double kMeanAnswerShare = 0.6;
constexpr double kMostUse = 0.85;
constexpr double kMostUseInProgress = 0.95;
// Weight of a millisecond of waiting for prompts that were sent before. Two
// streams on their way to a path outweigh the entry in another data center.
constexpr double kBacklogWeight = 5;

double PerTokenLayerBytes(const EngineModel& engine) {
  return engine.kv_bytes_per_token / engine.layers;
}

const AcceleratorKind* KindOf(const EngineModel& engine,
                              const std::string& kind) {
  const auto found = engine.accelerator_kinds.find(kind);
  return found == engine.accelerator_kinds.end() ? nullptr : &found->second;
}

struct Candidate {
  const BackendServer* server = nullptr;
  double capacity = 0;
  ServerLoad load;
  // Milliseconds that one layer adds to a request: answer and prompt.
  double layer_cost = 0;
  double step_ms_per_layer = 0;
};

// Largest share in use of what the server has: KV memory or places.
double Use(const EngineModel& engine,
           const Candidate& candidate,
           double more_token_layers) {
  const double memory =
      candidate.capacity > 0
          ? (candidate.load.token_layers + more_token_layers) /
                candidate.capacity
          : kInfinity;
  const double places =
      engine.max_sequences > 0
          ? static_cast<double>(candidate.load.sequences) / engine.max_sequences
          : 0;
  return std::max(memory, places);
}

// Factor on the time of a server whose memory or places fill up.
double Crowding(double use) {
  if (use <= kComfortableUse)
    return 1 + 0.5 * use;
  const double over = (use - kComfortableUse) / (1 - kComfortableUse);
  return 1.3 + 6 * over * over;
}

Candidate MakeCandidate(const EngineModel& engine,
                        const BackendServer& server,
                        const AcceleratorKind& kind,
                        const ServerLoad& load,
                        const PathRequest& request) {
  Candidate candidate{&server, KvCapacity(engine, server), load, 0, 0};
  const double step =
      engine.step_ms + engine.step_ms_per_sequence * (load.sequences + 1);
  candidate.step_ms_per_layer = step * kind.step_scale / engine.layers;
  const double prefill = request.prompt_tokens / engine.prefill_tokens_per_ms *
                         kind.prefill_scale / engine.layers;
  candidate.layer_cost =
      (candidate.step_ms_per_layer * kAnswerTokens + prefill) *
      Crowding(Use(engine, candidate, 0));
  if (const auto pace = request.slowdowns.find(server.id);
      pace != request.slowdowns.end())
    candidate.layer_cost *= pace->second;
  if (request.jitter_seed != 0)
    candidate.layer_cost *=
        1 +
        kShuffle *
            Random(StableHash(server.id, request.jitter_seed)).UniformDouble();
  if (const auto backlog = request.prefill_backlog_ms.find(server.id);
      backlog != request.prefill_backlog_ms.end())
    candidate.layer_cost +=
        kBacklogWeight * backlog->second / server.layers->size();
  return candidate;
}

double HopCost(const EngineModel& engine,
               const PathRequest& request,
               bool same_data_center) {
  if (same_data_center)
    return kHopMs * kAnswerTokens;
  const double bytes =
      engine.activation_bytes * (request.tokens + kAnswerTokens);
  const double pipe_ms = engine.data_center_link_mbps > 0
                             ? bytes * 8 / (engine.data_center_link_mbps * 1000)
                             : 0;
  return kRemoteHopMs * kAnswerTokens + kPipeShareFactor * pipe_ms;
}

// Cheapest cost of running all layers up to the end of a segment, with that
// segment on a candidate.
struct Cell {
  double cost = kInfinity;
  int previous = -1;
};

std::vector<Candidate> Candidates(const EngineModel& engine,
                                  const ServerMap& servers,
                                  const LoadMap& loads,
                                  const PathRequest& request,
                                  double most_use) {
  std::vector<Candidate> out;
  for (const auto& [id, server] : servers) {
    if (server.service != request.service || !server.layers ||
        request.excluded.contains(id))
      continue;
    const bool is_first =
        request.pinned_first_stage && id == request.pinned_first_stage->server;
    if (server.state != ServerState::kReady && !is_first)
      continue;
    const AcceleratorKind* kind = KindOf(engine, server.kind);
    if (kind == nullptr)
      continue;
    const auto load = loads.find(id);
    Candidate candidate = MakeCandidate(
        engine, server, *kind,
        load == loads.end() ? ServerLoad{} : load->second, request);
    // One layer must fit at least; the whole part is checked at the end.
    if (Use(engine, candidate, request.tokens) > most_use && !is_first)
      continue;
    out.push_back(candidate);
  }
  return out;
}

// The first part of a request in progress runs exactly its layers.
bool MayRun(const PathRequest& request, const std::string& id, int layer) {
  if (!request.pinned_first_stage)
    return true;
  return request.pinned_first_stage->layers.Contains(layer) ==
         (request.pinned_first_stage->server == id);
}

// Joins the parts of a server that a path left and came back to. Its range is
// contiguous, so it can run what lies between.
LayerPath JoinRepeats(const std::vector<int>& by_layer,
                      const std::vector<Candidate>& candidates) {
  LayerPath path;
  const int layers = static_cast<int>(by_layer.size());
  for (int layer = 0; layer < layers;) {
    const int who = by_layer[layer];
    int last = layer;
    for (int next = layer; next < layers; ++next)
      if (by_layer[next] == who)
        last = next;
    path.push_back({candidates[who].server->id, {layer, last + 1}});
    layer = last + 1;
  }
  return path;
}

}  // namespace

double ReservedTokens(const TokenEstimate& estimate) {
  double answer = estimate.answer_hint * kHintMargin;
  if (answer <= 0)
    answer =
        estimate.mean_answer > 0 ? estimate.mean_answer : kDefaultAnswerTokens;
  if (estimate.max_answer > 0)
    answer = std::min(answer, estimate.max_answer);
  return estimate.prompt + answer * kMeanAnswerShare;
}

double MaxMemoryUtilization(bool in_progress) {
  return in_progress ? kMostUseInProgress : kMostUse;
}

bool IsCompletePath(const LayerPath& path,
                    int layers,
                    const ServerMap& servers) {
  int at = 0;
  std::set<std::string> seen;
  for (const PathStage& part : path) {
    const auto server = servers.find(part.server);
    if (server == servers.end() || !server->second.layers ||
        !seen.insert(part.server).second)
      return false;
    const LayerRange& held = *server->second.layers;
    if (part.layers.from != at || part.layers.size() <= 0 ||
        part.layers.from < held.from || part.layers.to > held.to)
      return false;
    at = part.layers.to;
  }
  return at == layers;
}

int CountCrossDataCenterHops(const LayerPath& path, const ServerMap& servers) {
  int crossings = 0;
  const std::string* before = nullptr;
  for (const PathStage& part : path) {
    const auto server = servers.find(part.server);
    if (server == servers.end())
      continue;
    const std::string& here = server->second.data_center;
    crossings += before != nullptr && *before != here ? 1 : 0;
    before = &here;
  }
  return crossings;
}

double KvCapacity(const EngineModel& engine, const BackendServer& server) {
  const AcceleratorKind* kind = KindOf(engine, server.kind);
  if (kind == nullptr || !server.layers || engine.layers == 0)
    return 0;
  const double free_mb =
      kind->memory_mb - server.layers->size() * engine.layer_mb;
  return std::max(0.0, free_mb * kBytesPerMb / PerTokenLayerBytes(engine));
}

int MaxLayers(const EngineModel& engine, const std::string& kind) {
  const AcceleratorKind* found = KindOf(engine, kind);
  if (found == nullptr || engine.layer_mb <= 0)
    return 0;
  return std::min(engine.layers,
                  static_cast<int>(found->memory_mb / engine.layer_mb));
}

namespace {

// Layers at which a path may pass from one server to another: the ends of what
// the candidates hold. Between two of them every choice costs the same a layer.
std::vector<int> Boundaries(const EngineModel& engine,
                            const PathRequest& request,
                            const std::vector<Candidate>& candidates) {
  std::set<int> out = {0, engine.layers};
  for (const Candidate& candidate : candidates)
    out.insert({candidate.server->layers->from, candidate.server->layers->to});
  if (request.pinned_first_stage)
    out.insert({request.pinned_first_stage->layers.from,
                request.pinned_first_stage->layers.to});
  out.erase(out.begin(), out.find(0));
  out.erase(out.upper_bound(engine.layers), out.end());
  return {out.begin(), out.end()};
}

// Cost of the first part: its layers, and the way into its data center.
std::optional<double> EntryCost(const PathRequest& request,
                                const Candidate& candidate) {
  const std::string& id = candidate.server->id;
  const bool allowed = request.pinned_first_stage ||
                       (!request.excluded_as_first.contains(id) &&
                        (request.allowed_first_servers.empty() ||
                         request.allowed_first_servers.contains(id)));
  if (!allowed)
    return std::nullopt;
  return candidate.server->data_center == request.data_center ? 0
                                                              : kRemoteEntry;
}

// The candidate that runs each layer on the cheapest path, and its cost; null
// when there is none.
std::optional<std::pair<std::vector<int>, double>> CheapestTiling(
    const EngineModel& engine,
    const PathRequest& request,
    const std::vector<Candidate>& candidates) {
  const std::vector<int> bounds = Boundaries(engine, request, candidates);
  const int count = static_cast<int>(candidates.size());
  const size_t segments = bounds.size() - 1;
  const double local_hop = HopCost(engine, request, true);
  const double remote_hop = HopCost(engine, request, false);
  std::vector<std::vector<Cell>> table(segments, std::vector<Cell>(count));
  for (size_t segment = 0; segment < segments; ++segment) {
    const int layer = bounds[segment];
    const int size = bounds[segment + 1] - layer;
    for (int who = 0; who < count; ++who) {
      const Candidate& here = candidates[who];
      if (!here.server->layers->Contains(layer) ||
          !MayRun(request, here.server->id, layer))
        continue;
      Cell& cell = table[segment][who];
      if (segment == 0) {
        if (const auto entry = EntryCost(request, here))
          cell.cost = here.layer_cost * size + *entry;
        continue;
      }
      for (int from = 0; from < count; ++from) {
        const Cell& before = table[segment - 1][from];
        if (before.cost == kInfinity)
          continue;
        double cost = before.cost + here.layer_cost * size;
        if (from != who)
          cost +=
              candidates[from].server->data_center == here.server->data_center
                  ? local_hop
                  : remote_hop;
        if (cost < cell.cost)
          cell = {cost, from};
      }
    }
  }
  const auto& last = table.back();
  const auto best = std::min_element(
      last.begin(), last.end(),
      [](const Cell& a, const Cell& b) { return a.cost < b.cost; });
  if (best == last.end() || best->cost == kInfinity)
    return std::nullopt;
  int who = static_cast<int>(best - last.begin());
  std::vector<int> by_layer(static_cast<size_t>(engine.layers));
  for (size_t segment = segments; segment-- > 0;) {
    std::fill(by_layer.begin() + bounds[segment],
              by_layer.begin() + bounds[segment + 1], who);
    who = table[segment][who].previous;
  }
  return std::make_pair(std::move(by_layer), best->cost);
}

// The cheapest path among the candidates on which no part is too full.
std::optional<PathChoice> ChooseAmong(const EngineModel& engine,
                                      const PathRequest& request,
                                      std::vector<Candidate> candidates,
                                      double most_use) {
  // The parts that are too full are left out; each round removes at least one
  // candidate, so this ends.
  while (!candidates.empty() && engine.layers > 0) {
    const auto tiling = CheapestTiling(engine, request, candidates);
    if (!tiling)
      return std::nullopt;
    PathChoice choice{JoinRepeats(tiling->first, candidates), 0, 0,
                      tiling->second};
    if (choice.path.size() > kMaxPathStages)
      return std::nullopt;
    std::map<std::string, const Candidate*> by_id;
    for (const Candidate& candidate : candidates)
      by_id[candidate.server->id] = &candidate;
    std::set<std::string> full;
    for (const PathStage& part : choice.path) {
      const Candidate& candidate = *by_id[part.server];
      choice.token_ms += candidate.step_ms_per_layer * part.layers.size();
      const double use =
          Use(engine, candidate, request.tokens * part.layers.size());
      choice.max_utilization = std::max(choice.max_utilization, use);
      const bool is_first = request.pinned_first_stage &&
                            part.server == request.pinned_first_stage->server;
      if (use > most_use && !is_first)
        full.insert(part.server);
    }
    if (full.empty())
      return choice;
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return full.contains(candidate.server->id);
    });
  }
  return std::nullopt;
}

}  // namespace

std::optional<PathChoice> ChoosePath(const EngineModel& engine,
                                     const ServerMap& servers,
                                     const LoadMap& loads,
                                     const PathRequest& request,
                                     double most_use) {
  const std::vector<Candidate> candidates =
      Candidates(engine, servers, loads, request, most_use);
  std::map<std::string_view, std::vector<Candidate>> by_data_center;
  for (const Candidate& candidate : candidates)
    by_data_center[candidate.server->data_center].push_back(candidate);
  std::optional<PathChoice> best;
  for (auto& [data_center, local] : by_data_center) {
    const auto choice =
        ChooseAmong(engine, request, std::move(local), most_use);
    if (choice && (!best || choice->cost < best->cost))
      best = choice;
  }
  if (best || !request.allow_cross_data_center)
    return best;
  return ChooseAmong(engine, request, candidates, most_use);
}

bool HasSingleDataCenterPath(const EngineModel& engine,
                             const ServerMap& servers,
                             const std::string& service,
                             const std::set<std::string>& excluded) {
  std::map<std::string, std::vector<bool>> held;
  for (const auto& [id, server] : servers) {
    if (server.service != service || !server.layers ||
        server.state != ServerState::kReady || excluded.contains(id))
      continue;
    std::vector<bool>& layers = held[server.data_center];
    layers.resize(static_cast<size_t>(engine.layers), false);
    for (int i = server.layers->from;
         i < std::min(server.layers->to, engine.layers); ++i)
      layers[static_cast<size_t>(i)] = true;
  }
  return std::any_of(held.begin(), held.end(), [](const auto& entry) {
    return std::find(entry.second.begin(), entry.second.end(), false) ==
           entry.second.end();
  });
}

bool CrossDataCenterBudget::CanConsume(TimePoint now,
                                       const EngineModel& engine,
                                       size_t instances,
                                       double tokens,
                                       int crossings,
                                       bool needed) {
  if (engine.data_center_link_mbps <= 0 || engine.activation_bytes <= 0)
    return true;
  const double link_tokens =
      engine.data_center_link_mbps * 1e6 / 8 / engine.activation_bytes;
  const double rate = link_tokens * kLinkShare /
                      static_cast<double>(std::max(size_t{1}, instances));
  const double seconds =
      static_cast<double>((now - m_last_refill).count()) / 1e6;
  const double share = rate * kCrossingBurstSeconds;
  const double least = std::max(share, kLeastCrossingTokens);
  m_tokens = std::min(least, m_tokens + rate * seconds);
  m_last_refill = now;
  return tokens * crossings <= std::min(m_tokens, needed ? least : share);
}

}  // namespace trefoilwick
