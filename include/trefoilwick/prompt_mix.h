// Keeps long prompts from delaying short ones on the same server. Does no I/O.
// Load pattern: a few prompts ten times as long as the others, and mixes that
// change within seconds.
#pragma once

#include <map>
#include <set>
#include <string>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

// Milliseconds until each server has read the prompts that are due on it, by
// the prefill in `loads`. Only servers with prefill due are listed.
std::map<std::string, double> PrefillDueMs(const EngineModel& engine,
                                           const ServerMap& servers,
                                           const LoadMap& loads);

// Estimated milliseconds to the first event of a request that is sent on `path`
// behind the prefill in `due_ms`.
double FirstEventMs(const EngineModel& engine,
                    const ServerMap& servers,
                    const LayerPath& path,
                    double prompt_tokens,
                    const std::map<std::string, double>& due_ms);

// Mean length of the prompts that were sent last, by service.
class PromptSizes {
 public:
  void Add(const std::string& service, double prompt_tokens);
  // 0 when nothing was sent.
  double Mean(const std::string& service) const;

 private:
  std::map<std::string, double> m_means;
};

// Servers that a long prompt leaves to others while there is another path:
// those on which as much prefill is due as several mean prompts take. Empty for
// a prompt that is not long beside `mean_prompt_tokens`.
std::set<std::string> ServersWithoutPrefillRoom(
    const EngineModel& engine,
    const ServerMap& servers,
    const std::map<std::string, double>& due_ms,
    double prompt_tokens,
    double mean_prompt_tokens);

}  // namespace trefoilwick
