#include "trefoilwick/layer_path.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace trefoilwick {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kBytesPerMb = 1e6;
// One-way delay of a hop, plus processing at the receiver.
constexpr double kLocalHopMs = 0.2;
constexpr double kRemoteHopMs = 1.0;
// Share of a pass of its server that a request waits for, on average.
constexpr double kMeanPassWait = 0.5;
// Transfers between data centers share one link; the factor keeps ordinary
// traffic off it while a path inside a data center exists.
constexpr double kSharedLinkCostFactor = 16.0;
// Cost of a first stage in another data center: higher than the gain from
// faster servers there, lower than the cost of a path whose memory is more than
// half full.
constexpr double kRemoteEntryCost = 600;
// Largest share that is added at random to the time of a server.
constexpr double kMaxJitterShare = 0.08;
// Utilization above which a server is avoided.
constexpr double kUncongestedUtilization = 0.6;
// Usable share of the capacity of a link between data centers.
constexpr double kUsableLinkShare = 0.5;
constexpr double kCrossingBurstSeconds = 2;
// The largest request, twice over a link.
constexpr double kMinCrossingBurstTokens = 6'000;
// Response tokens by which decode is weighted against the prefill of a prompt.
constexpr double kWeightedResponseTokens = 60;
// Client hints match the median response length; the mean is higher by this
// factor.
constexpr double kHintToMeanFactor = 1.3;
// Response length that is expected when nothing is known.
constexpr double kDefaultResponseTokens = 150;
// Share of a response that is held in memory on average while it is written,
// with a margin. The mean suffices because many streams share each server.
constexpr double kMeanHeldResponseShare = 0.6;
// Part of the requests that end on average which is taken to have ended, since
// the requests of a burst that has just begun are all young, and the largest
// share of the reported requests.
constexpr double kEndedConfidence = 0.7;
constexpr double kMaxEndedShare = 0.4;
constexpr double kMaxUtilizationForNew = 0.85;
constexpr double kMaxUtilizationInProgress = 0.95;
// Cost of a millisecond of prefill backlog. Two streams that were just sent to
// a path outweigh a first stage in another data center.
constexpr double kPrefillBacklogWeight = 5;
// Cost of a millisecond of prefill due by the sum of loads. In replays of a few
// long prompts among short ones, 1 gave a median wait of 29 ms, 2 to 10 gave 23
// to 27 ms.
constexpr double kPrefillDueWeight = 2;

double KvBytesPerTokenLayer(const EngineModel& engine) {
  return engine.kv_bytes_per_token / engine.layers;
}

const AcceleratorKind* FindAcceleratorKind(const EngineModel& engine,
                                           const std::string& kind) {
  const auto found = engine.accelerator_kinds.find(kind);
  return found == engine.accelerator_kinds.end() ? nullptr : &found->second;
}

struct Candidate {
  const BackendServer* server = nullptr;
  double capacity = 0;
  ServerLoad load;
  // Share of `load` that has ended since it was reported, and requests that
  // other instances may have begun.
  double ended_share = 0;
  double peer_requests = 0;
  // Weighted milliseconds that one layer adds to a request: decode and prefill.
  double layer_cost = 0;
  double step_ms_per_layer = 0;
  // Weighted milliseconds that a request waits for the pass that the server is
  // in when the request arrives from another server.
  double pass_wait_cost = 0;
};

// Utilization of a server: the larger of the used shares of its KV memory and
// of its sequence limit.
double Utilization(const EngineModel& engine,
                   const Candidate& candidate,
                   double added_token_layers) {
  const double memory_share =
      candidate.capacity > 0
          ? (candidate.load.token_layers + added_token_layers) /
                candidate.capacity
          : kInfinity;
  const double sequence_share =
      engine.max_sequences > 0
          ? static_cast<double>(candidate.load.sequences) / engine.max_sequences
          : 0;
  return std::max(memory_share, sequence_share);
}

// The same with the work that other instances are expected to have begun and
// ended since the loads were reported. `added_token_layers` is what a request
// adds.
double ExpectedUtilization(const EngineModel& engine,
                           Candidate candidate,
                           double added_token_layers) {
  ServerLoad& load = candidate.load;
  load.token_layers *= 1 - candidate.ended_share;
  load.token_layers += candidate.peer_requests * added_token_layers;
  load.sequences = static_cast<int>(std::lround(
      load.sequences * (1 - candidate.ended_share) + candidate.peer_requests));
  return Utilization(engine, candidate, added_token_layers);
}

// Cost factor of a server whose memory or sequence limit is nearly used up.
double CongestionFactor(double utilization) {
  if (utilization <= kUncongestedUtilization)
    return 1 + 0.5 * utilization;
  const double excess =
      (utilization - kUncongestedUtilization) / (1 - kUncongestedUtilization);
  return 1.3 + 6 * excess * excess;
}

// Shares the room of a server among the instances that choose by the same sum
// of loads. Each may begin as many requests as fit when its peers begin as
// many. A random number that is fixed until the next sum turns a fraction of a
// request into a probability. Load pattern: many instances with few requests
// each, whose loads are reported late; all of them send a request to the server
// that has room for one.
void ApplyUnreportedWork(const PathRequest& request, Candidate& candidate) {
  const UnreportedWork& unreported = request.unreported;
  const double peers = candidate.server->data_center == request.data_center
                           ? unreported.local_peers
                           : unreported.remote_peers;
  if (request.mean_service_time > Duration(0))
    candidate.ended_share = std::min(
        kMaxEndedShare,
        kEndedConfidence * static_cast<double>(unreported.age.count()) /
            static_cast<double>(request.mean_service_time.count()));
  candidate.peer_requests =
      peers *
      Random(StableHash(candidate.server->id, unreported.seed)).UniformDouble();
}

Candidate MakeCandidate(const EngineModel& engine,
                        const BackendServer& server,
                        const AcceleratorKind& kind,
                        const ServerLoad& load,
                        const PathRequest& request) {
  Candidate candidate;
  candidate.server = &server;
  candidate.capacity = KvCapacity(engine, server);
  candidate.load = load;
  const double step =
      engine.step_ms + engine.step_ms_per_sequence * (load.sequences + 1);
  candidate.step_ms_per_layer = step * kind.step_scale / engine.layers;
  const double prefill = request.prompt_tokens / engine.prefill_tokens_per_ms *
                         kind.prefill_scale / engine.layers;
  Random random(StableHash(server.id, request.jitter_seed));
  const bool varied = request.jitter_seed != 0;
  ApplyUnreportedWork(request, candidate);
  candidate.layer_cost =
      (candidate.step_ms_per_layer * kWeightedResponseTokens + prefill) *
      CongestionFactor(Utilization(engine, candidate, 0));
  if (const auto slowdown = request.slowdowns.find(server.id);
      slowdown != request.slowdowns.end())
    candidate.layer_cost *= slowdown->second;
  if (varied)
    candidate.layer_cost *= 1 + kMaxJitterShare * random.UniformDouble();
  candidate.pass_wait_cost = kMeanPassWait * candidate.step_ms_per_layer *
                             server.layers->size() * kWeightedResponseTokens;
  // Both contain the prompts that this instance sent last.
  double prefill_cost = 0;
  if (const auto backlog = request.prefill_backlog_ms.find(server.id);
      backlog != request.prefill_backlog_ms.end())
    prefill_cost = kPrefillBacklogWeight * backlog->second;
  if (const auto due = request.prefill_due_ms.find(server.id);
      due != request.prefill_due_ms.end())
    prefill_cost = std::max(prefill_cost, kPrefillDueWeight * due->second);
  candidate.layer_cost += prefill_cost / server.layers->size();
  return candidate;
}

double HopCost(const EngineModel& engine,
               const PathRequest& request,
               bool same_data_center) {
  if (same_data_center)
    return kLocalHopMs * kWeightedResponseTokens;
  const double bytes =
      engine.activation_bytes * (request.tokens + kWeightedResponseTokens);
  const double link_ms = engine.data_center_link_mbps > 0
                             ? bytes * 8 / (engine.data_center_link_mbps * 1000)
                             : 0;
  return kRemoteHopMs * kWeightedResponseTokens +
         kSharedLinkCostFactor * link_ms;
}

// Lowest cost of running all layers up to the end of a segment, with that
// segment on a candidate.
struct Cell {
  double cost = kInfinity;
  int previous = -1;
};

std::vector<Candidate> FindCandidates(const EngineModel& engine,
                                      const ServerMap& servers,
                                      const LoadMap& loads,
                                      const PathRequest& request,
                                      double utilization_limit) {
  std::vector<Candidate> out;
  for (const auto& [id, server] : servers) {
    if (server.service != request.service || !server.layers ||
        request.excluded.contains(id) || !FitsModel(engine, server))
      continue;
    const bool is_pinned =
        request.pinned_first_stage && id == request.pinned_first_stage->server;
    if (server.state != ServerState::kReady && !is_pinned)
      continue;
    const AcceleratorKind* kind = FindAcceleratorKind(engine, server.kind);
    if (kind == nullptr)
      continue;
    const auto load = loads.find(id);
    Candidate candidate = MakeCandidate(
        engine, server, *kind,
        load == loads.end() ? ServerLoad{} : load->second, request);
    // At least one layer must fit; ChooseAmong() checks the whole stage.
    if (!is_pinned && ExpectedUtilization(engine, candidate, request.tokens) >
                          utilization_limit)
      continue;
    out.push_back(candidate);
  }
  return out;
}

// A pinned first stage keeps exactly its layers on its server.
bool MayRunLayer(const PathRequest& request, const std::string& id, int layer) {
  if (!request.pinned_first_stage)
    return true;
  return request.pinned_first_stage->layers.Contains(layer) ==
         (request.pinned_first_stage->server == id);
}

// Merges the stages of a server that a path leaves and returns to. The range of
// the server is contiguous, so it can run the layers in between.
LayerPath MergeRevisitedServers(const std::vector<int>& by_layer,
                                const std::vector<Candidate>& candidates) {
  LayerPath path;
  const int layers = static_cast<int>(by_layer.size());
  for (int layer = 0; layer < layers;) {
    const int candidate_index = by_layer[layer];
    int last = layer;
    for (int next = layer; next < layers; ++next)
      if (by_layer[next] == candidate_index)
        last = next;
    path.push_back({candidates[candidate_index].server->id, {layer, last + 1}});
    layer = last + 1;
  }
  return path;
}

}  // namespace

double ReservedTokens(const TokenEstimate& estimate) {
  double response_tokens = estimate.answer_hint * kHintToMeanFactor;
  if (response_tokens <= 0)
    response_tokens = estimate.mean_answer > 0 ? estimate.mean_answer
                                               : kDefaultResponseTokens;
  if (estimate.max_answer > 0)
    response_tokens = std::min(response_tokens, estimate.max_answer);
  return estimate.prompt + response_tokens * kMeanHeldResponseShare;
}

double MaxMemoryUtilization(bool in_progress) {
  return in_progress ? kMaxUtilizationInProgress : kMaxUtilizationForNew;
}

bool IsCompletePath(const LayerPath& path,
                    int layers,
                    const ServerMap& servers) {
  int next_layer = 0;
  std::set<std::string> seen;
  for (const PathStage& stage : path) {
    const auto server = servers.find(stage.server);
    if (server == servers.end() || !server->second.layers ||
        !seen.insert(stage.server).second)
      return false;
    const LayerRange& held = *server->second.layers;
    if (stage.layers.from != next_layer || stage.layers.size() <= 0 ||
        stage.layers.from < held.from || stage.layers.to > held.to)
      return false;
    next_layer = stage.layers.to;
  }
  return next_layer == layers;
}

int CountCrossDataCenterHops(const LayerPath& path, const ServerMap& servers) {
  int crossings = 0;
  const std::string* previous_data_center = nullptr;
  for (const PathStage& stage : path) {
    const auto server = servers.find(stage.server);
    if (server == servers.end())
      continue;
    const std::string& here = server->second.data_center;
    crossings +=
        previous_data_center != nullptr && *previous_data_center != here ? 1
                                                                         : 0;
    previous_data_center = &here;
  }
  return crossings;
}

double KvCapacity(const EngineModel& engine, const BackendServer& server) {
  const AcceleratorKind* kind = FindAcceleratorKind(engine, server.kind);
  if (kind == nullptr || !server.layers || engine.layers == 0)
    return 0;
  const double free_mb =
      kind->memory_mb - server.layers->size() * engine.layer_mb;
  return std::max(0.0, free_mb * kBytesPerMb / KvBytesPerTokenLayer(engine));
}

int MaxLayers(const EngineModel& engine, const std::string& kind) {
  const AcceleratorKind* found = FindAcceleratorKind(engine, kind);
  if (found == nullptr || engine.layer_mb <= 0)
    return 0;
  return std::min(engine.layers,
                  static_cast<int>(found->memory_mb / engine.layer_mb));
}

bool FitsModel(const EngineModel& engine, const BackendServer& server) {
  return !server.layers || server.layers->to <= engine.layers;
}

namespace {

// Layers at which a path may change servers: the ends of the ranges that the
// candidates hold. Between two of them the cost per layer of a candidate is
// constant.
std::vector<int> SegmentBoundaries(const EngineModel& engine,
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

// Additional cost of a candidate as first stage, by its data center; null when
// it must not be the first.
std::optional<double> FirstStageCost(const PathRequest& request,
                                     const Candidate& candidate) {
  const std::string& id = candidate.server->id;
  const bool allowed = request.pinned_first_stage ||
                       (!request.excluded_as_first.contains(id) &&
                        (request.allowed_first_servers.empty() ||
                         request.allowed_first_servers.contains(id)));
  if (!allowed)
    return std::nullopt;
  return candidate.server->data_center == request.data_center
             ? 0
             : kRemoteEntryCost;
}

// Index of the candidate that runs each layer on the cheapest path, and the
// cost of that path; null when there is none.
std::optional<std::pair<std::vector<int>, double>> CheapestTiling(
    const EngineModel& engine,
    const PathRequest& request,
    const std::vector<Candidate>& candidates) {
  const std::vector<int> bounds =
      SegmentBoundaries(engine, request, candidates);
  const int count = static_cast<int>(candidates.size());
  const size_t segments = bounds.size() - 1;
  const double local_hop = HopCost(engine, request, true);
  const double remote_hop = HopCost(engine, request, false);
  std::vector<std::vector<Cell>> table(segments, std::vector<Cell>(count));
  for (size_t segment = 0; segment < segments; ++segment) {
    const int layer = bounds[segment];
    const int size = bounds[segment + 1] - layer;
    for (int candidate_index = 0; candidate_index < count; ++candidate_index) {
      const Candidate& here = candidates[candidate_index];
      if (!here.server->layers->Contains(layer) ||
          !MayRunLayer(request, here.server->id, layer))
        continue;
      Cell& cell = table[segment][candidate_index];
      if (segment == 0) {
        if (const auto entry = FirstStageCost(request, here))
          cell.cost = here.layer_cost * size + *entry;
        continue;
      }
      for (int from = 0; from < count; ++from) {
        const Cell& before = table[segment - 1][from];
        if (before.cost == kInfinity)
          continue;
        double cost = before.cost + here.layer_cost * size;
        if (from != candidate_index)
          cost += here.pass_wait_cost + (candidates[from].server->data_center ==
                                                 here.server->data_center
                                             ? local_hop
                                             : remote_hop);
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
  int candidate_index = static_cast<int>(best - last.begin());
  std::vector<int> by_layer(static_cast<size_t>(engine.layers));
  for (size_t segment = segments; segment-- > 0;) {
    std::fill(by_layer.begin() + bounds[segment],
              by_layer.begin() + bounds[segment + 1], candidate_index);
    candidate_index = table[segment][candidate_index].previous;
  }
  return std::make_pair(std::move(by_layer), best->cost);
}

// The cheapest path among the candidates on which no server exceeds
// `utilization_limit`.
std::optional<PathChoice> ChooseAmong(const EngineModel& engine,
                                      const PathRequest& request,
                                      std::vector<Candidate> candidates,
                                      double utilization_limit) {
  // Servers that exceed the limit are left out. Each round removes at least one
  // candidate, so the loop ends.
  while (!candidates.empty() && engine.layers > 0) {
    const auto tiling = CheapestTiling(engine, request, candidates);
    if (!tiling)
      return std::nullopt;
    PathChoice choice{MergeRevisitedServers(tiling->first, candidates), 0, 0,
                      tiling->second};
    if (choice.path.size() > kMaxPathStages)
      return std::nullopt;
    std::map<std::string, const Candidate*> by_id;
    for (const Candidate& candidate : candidates)
      by_id[candidate.server->id] = &candidate;
    std::set<std::string> full_servers;
    for (const PathStage& stage : choice.path) {
      const Candidate& candidate = *by_id[stage.server];
      choice.token_ms += candidate.step_ms_per_layer * stage.layers.size();
      const double utilization =
          Utilization(engine, candidate, request.tokens * stage.layers.size());
      choice.max_utilization = std::max(choice.max_utilization, utilization);
      const bool is_pinned = request.pinned_first_stage &&
                             stage.server == request.pinned_first_stage->server;
      if (!is_pinned &&
          ExpectedUtilization(engine, candidate,
                              request.tokens * stage.layers.size()) >
              utilization_limit)
        full_servers.insert(stage.server);
    }
    if (full_servers.empty())
      return choice;
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return full_servers.contains(candidate.server->id);
    });
  }
  return std::nullopt;
}

}  // namespace

std::optional<PathChoice> ChoosePath(const EngineModel& engine,
                                     const ServerMap& servers,
                                     const LoadMap& loads,
                                     const PathRequest& request,
                                     double utilization_limit) {
  const std::vector<Candidate> candidates =
      FindCandidates(engine, servers, loads, request, utilization_limit);
  std::map<std::string_view, std::vector<Candidate>> by_data_center;
  for (const Candidate& candidate : candidates)
    by_data_center[candidate.server->data_center].push_back(candidate);
  std::optional<PathChoice> best;
  for (auto& [data_center, local] : by_data_center) {
    const auto choice =
        ChooseAmong(engine, request, std::move(local), utilization_limit);
    if (choice && (!best || choice->cost < best->cost))
      best = choice;
  }
  if (best || !request.allow_cross_data_center)
    return best;
  return ChooseAmong(engine, request, candidates, utilization_limit);
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
                                       bool no_alternative) {
  if (engine.data_center_link_mbps <= 0 || engine.activation_bytes <= 0)
    return true;
  const double link_tokens =
      engine.data_center_link_mbps * 1e6 / 8 / engine.activation_bytes;
  const double rate = link_tokens * kUsableLinkShare /
                      static_cast<double>(std::max(size_t{1}, instances));
  const double seconds =
      static_cast<double>((now - m_last_refill).count()) / 1e6;
  const double burst_tokens = rate * kCrossingBurstSeconds;
  const double max_tokens = std::max(burst_tokens, kMinCrossingBurstTokens);
  m_tokens = std::min(max_tokens, m_tokens + rate * seconds);
  m_last_refill = now;
  return tokens * crossings <=
         std::min(m_tokens, no_alternative ? max_tokens : burst_tokens);
}

}  // namespace trefoilwick
