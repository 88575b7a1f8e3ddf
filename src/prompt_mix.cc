#include "trefoilwick/prompt_mix.h"

#include <algorithm>

namespace trefoilwick {

namespace {

// The prefill of a request counts on all servers of its path until its first
// event. On average half of them have read the prompt.
constexpr double kMeanUnreadShare = 0.5;
// A prompt of this many times the mean is long: 1,520 tokens with a mean of
// 760. When nearly all prompts are long, none is that much over the mean.
constexpr double kLongPromptFactor = 2;
// Cost of a server that the other size prefers, in mean prompts due on it. In
// replays with one tenth long prompts, 5 gave a 99th percentile of 102 ms for
// the short ones and 10 gave 82 ms. With a mean of 760 tokens and l4 servers, a
// path of only such servers costs less than one in another data center.
constexpr double kOtherSizeMeanPrompts = 10;
// Divides the servers in the same way on all instances.
constexpr uint64_t kPartitionSeed = 1;
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

void PromptSizes::Add(const std::string& service, double prompt_tokens) {
  // The client did not say how long the prompt is.
  if (prompt_tokens <= 0)
    return;
  const double long_tokens = IsLong(service, prompt_tokens) ? prompt_tokens : 0;
  const auto [found, inserted] =
      m_means.emplace(service, Means{prompt_tokens, 0});
  if (inserted)
    return;
  Means& means = found->second;
  means.tokens += (prompt_tokens - means.tokens) / kMeanPrompts;
  means.long_tokens += (long_tokens - means.long_tokens) / kMeanPrompts;
}

double PromptSizes::Mean(const std::string& service) const {
  const auto found = m_means.find(service);
  return found == m_means.end() ? 0 : found->second.tokens;
}

bool PromptSizes::IsLong(const std::string& service,
                         double prompt_tokens) const {
  const double mean = Mean(service);
  return mean > 0 && prompt_tokens >= kLongPromptFactor * mean;
}

double PromptSizes::LongShare(const std::string& service) const {
  const auto found = m_means.find(service);
  return found == m_means.end() || found->second.tokens <= 0
             ? 0
             : std::min(1.0, found->second.long_tokens / found->second.tokens);
}

void AddSizePreference(const EngineModel& engine,
                       const ServerMap& servers,
                       const std::string& service,
                       double prompt_tokens,
                       const PromptSizes& sizes,
                       std::map<std::string, double>& due_ms) {
  const double share = sizes.LongShare(service);
  if (share <= 0)
    return;
  const bool is_long = sizes.IsLong(service, prompt_tokens);
  const double mean = sizes.Mean(service);
  for (const auto& [id, server] : servers) {
    if (server.service != service || !server.layers)
      continue;
    const bool prefers_long =
        Random(StableHash(id, kPartitionSeed)).UniformDouble() < share;
    if (prefers_long != is_long)
      due_ms[id] += kOtherSizeMeanPrompts * mean * server.layers->size() *
                    TokenLayerMs(engine, server);
  }
}

}  // namespace trefoilwick
