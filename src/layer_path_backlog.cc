// Prefill time of prompts that were sent to servers.
#include <algorithm>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

namespace {

// Prefill time of `tokens` tokens on one stage; 0 when the kind of its server
// is unknown.
double StagePrefillMs(const EngineModel& engine,
                      const BackendServer& server,
                      const LayerRange& layers,
                      double tokens) {
  const auto kind = engine.accelerator_kinds.find(server.kind);
  if (kind == engine.accelerator_kinds.end() || engine.layers == 0)
    return 0;
  return tokens / engine.prefill_tokens_per_ms * kind->second.prefill_scale *
         layers.size() / engine.layers;
}

}  // namespace

double EstimatePrefillMs(const EngineModel& engine,
                         const ServerMap& servers,
                         const LayerPath& path,
                         const std::set<std::string>& kept_servers,
                         double tokens,
                         const std::map<std::string, double>& backlog_ms) {
  double max_backlog_ms = 0;
  double prefill_ms = 0;
  for (const PathStage& stage : path) {
    const auto server = servers.find(stage.server);
    if (server == servers.end() || kept_servers.contains(stage.server))
      continue;
    prefill_ms += StagePrefillMs(engine, server->second, stage.layers, tokens);
    if (const auto backlog = backlog_ms.find(stage.server);
        backlog != backlog_ms.end())
      max_backlog_ms = std::max(max_backlog_ms, backlog->second);
  }
  return max_backlog_ms + prefill_ms;
}

void PrefillBacklog::AddPrefill(TimePoint now,
                                const EngineModel& engine,
                                const ServerMap& servers,
                                const LayerPath& path,
                                const std::set<std::string>& kept_servers,
                                double tokens,
                                double load_multiplier) {
  for (const PathStage& stage : path) {
    const auto server = servers.find(stage.server);
    if (server == servers.end() || kept_servers.contains(stage.server))
      continue;
    const double ms = load_multiplier * StagePrefillMs(engine, server->second,
                                                       stage.layers, tokens);
    TimePoint& prefill_ends_at = m_prefill_ends_at[stage.server];
    prefill_ends_at = std::max(prefill_ends_at, now) +
                      Duration(static_cast<int64_t>(ms * 1000));
  }
}

std::map<std::string, double> PrefillBacklog::RemainingMsByServer(
    TimePoint now) {
  std::erase_if(m_prefill_ends_at,
                [&](const auto& entry) { return entry.second <= now; });
  std::map<std::string, double> out;
  for (const auto& [server, prefill_ends_at] : m_prefill_ends_at)
    out[server] = static_cast<double>((prefill_ends_at - now).count()) / 1000;
  return out;
}

}  // namespace trefoilwick
