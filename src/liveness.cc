#include "trefoilwick/liveness.h"

#include <algorithm>
#include <map>

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;

// Bounds on the silence that is suspicious by itself, and the least that is
// suspicious together with others.
constexpr Duration kLeastSilence = milliseconds(70);
constexpr Duration kMostSilence = milliseconds(180);
constexpr Duration kLeastSharedSilence = milliseconds(45);
// Streams that must be silent at the same time.
constexpr int kSilentTogether = 2;

}  // namespace

Silence AssessSilence(Duration silent, Duration interval) {
  if (silent >= std::clamp(interval * 5 / 2, kLeastSilence, kMostSilence))
    return Silence::kLong;
  if (silent >= std::clamp(interval * 2, kLeastSharedSilence, kMostSilence))
    return Silence::kShort;
  return Silence::kNone;
}

std::set<std::string> SuspectServers(
    const std::vector<StreamProgress>& streams) {
  struct Count {
    int all = 0;
    int silent = 0;
  };
  std::map<std::string, Count> by_server;
  std::set<std::string> suspects;
  for (const StreamProgress& stream : streams) {
    for (const PathPart& part : *stream.path) {
      Count& count = by_server[part.server];
      ++count.all;
      count.silent += stream.silence == Silence::kNone ? 0 : 1;
      if (stream.silence == Silence::kLong)
        suspects.insert(part.server);
    }
  }
  for (const auto& [server, count] : by_server)
    if (count.silent == count.all && count.silent >= kSilentTogether)
      suspects.insert(server);
  return suspects;
}

}  // namespace trefoilwick
