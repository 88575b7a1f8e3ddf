// Time that servers need for prompts which were sent to them.
#include <algorithm>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

namespace {

// Milliseconds that a server reads `tokens` for; 0 when its kind is unknown.
double PartTime(const EngineModel& engine,
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
                         const std::set<std::string>& kept,
                         double tokens,
                         const std::map<std::string, double>& backlog_ms) {
  double waiting = 0;
  double reading = 0;
  for (const PathStage& part : path) {
    const auto server = servers.find(part.server);
    if (server == servers.end() || kept.contains(part.server))
      continue;
    reading += PartTime(engine, server->second, part.layers, tokens);
    if (const auto backlog = backlog_ms.find(part.server);
        backlog != backlog_ms.end())
      waiting = std::max(waiting, backlog->second);
  }
  return waiting + reading;
}

void PrefillBacklog::AddPrefill(TimePoint now,
                                const EngineModel& engine,
                                const ServerMap& servers,
                                const LayerPath& path,
                                const std::set<std::string>& kept,
                                double tokens,
                                double copies) {
  for (const PathStage& part : path) {
    const auto server = servers.find(part.server);
    if (server == servers.end() || kept.contains(part.server))
      continue;
    const double ms =
        copies * PartTime(engine, server->second, part.layers, tokens);
    TimePoint& until = m_prefill_ends_at[part.server];
    until = std::max(until, now) + Duration(static_cast<int64_t>(ms * 1000));
  }
}

std::map<std::string, double> PrefillBacklog::RemainingMsByServer(
    TimePoint now) {
  std::erase_if(m_prefill_ends_at,
                [&](const auto& entry) { return entry.second <= now; });
  std::map<std::string, double> out;
  for (const auto& [server, until] : m_prefill_ends_at)
    out[server] = static_cast<double>((until - now).count()) / 1000;
  return out;
}

}  // namespace trefoilwick
