#include "trefoilwick/prompt_mix.h"

#include <algorithm>

namespace trefoilwick {

namespace {

// The prefill of a request counts on all servers of its path until its first
// event. On average half of them have read the prompt.
constexpr double kMeanUnreadShare = 0.5;
// A prompt of this many times the mean is long. With prompts of 40 to 2,280
// tokens (mean 760) this is about the longest tenth; when nearly all prompts
// are long, none is.
constexpr double kLongPromptFactor = 2;
// Prefill due on a server, in mean prompts, from which long prompts avoid it.
constexpr double kMaxMeanPromptsDue = 2;
// Number of prompts over which the mean is taken: a changed mix shows after
// about as many.
constexpr double kMeanPrompts = 32;

// Milliseconds in which a server reads one token of one layer; 0 when its kind
// is unknown.
double TokenLayerMs(const EngineModel& engine, const BackendServer& server) {
  const auto kind = engine.accelerator_kinds.find(server.kind);
  if (kind == engine.accelerator_kinds.end() || engine.layers == 0 ||
      engine.prefill_tokens_per_ms <= 0)
    return 0;
  return kind->second.prefill_scale / engine.prefill_tokens_per_ms /
         engine.layers;
}

}  // namespace

std::map<std::string, double> PrefillDueMs(const EngineModel& engine,
                                           const ServerMap& servers,
                                           const LoadMap& loads) {
  std::map<std::string, double> out;
  for (const auto& [id, load] : loads) {
    const auto server = servers.find(id);
    if (server == servers.end() || load.prefill_token_layers <= 0)
      continue;
    const double ms = kMeanUnreadShare * load.prefill_token_layers *
                      TokenLayerMs(engine, server->second);
    if (ms > 0)
      out[id] = ms;
  }
  return out;
}

double FirstEventMs(const EngineModel& engine,
                    const ServerMap& servers,
                    const LayerPath& path,
                    double prompt_tokens,
                    const std::map<std::string, double>& due_ms) {
  // The stages before a server work off its queue at the same time.
  double ms = 0;
  for (const PathStage& stage : path) {
    const auto server = servers.find(stage.server);
    if (server == servers.end())
      continue;
    if (const auto due = due_ms.find(stage.server); due != due_ms.end())
      ms = std::max(ms, due->second);
    ms += prompt_tokens * stage.layers.size() *
          TokenLayerMs(engine, server->second);
  }
  return ms;
}

void PromptSizes::Add(const std::string& service, double prompt_tokens) {
  const auto [mean, inserted] = m_means.emplace(service, prompt_tokens);
  if (!inserted)
    mean->second += (prompt_tokens - mean->second) / kMeanPrompts;
}

double PromptSizes::Mean(const std::string& service) const {
  const auto mean = m_means.find(service);
  return mean == m_means.end() ? 0 : mean->second;
}

std::set<std::string> ServersWithoutPrefillRoom(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::map<std::string, double>& due_ms,
    double prompt_tokens,
    double mean_prompt_tokens) {
  std::set<std::string> out;
  if (mean_prompt_tokens <= 0 ||
      prompt_tokens < kLongPromptFactor * mean_prompt_tokens)
    return out;
  for (const auto& [id, due] : due_ms) {
    const auto server = servers.find(id);
    if (server == servers.end() || !server->second.layers)
      continue;
    const double mean_prompt_ms = mean_prompt_tokens *
                                  server->second.layers->size() *
                                  TokenLayerMs(engine, server->second);
    if (due > kMaxMeanPromptsDue * mean_prompt_ms)
      out.insert(id);
  }
  return out;
}

}  // namespace trefoilwick
