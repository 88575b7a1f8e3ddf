// Notices servers that were lost from the streams that pass through them.
// Without I/O.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

// How long a stream has been without an event.
enum class Silence : uint8_t {
  kNone,
  // Suspicious when others on the same server are silent as well.
  kShort,
  // Suspicious by itself.
  kLong,
};

// `interval` is the mean time between the events of the stream.
Silence AssessSilence(Duration silent, Duration interval);

// One stream that has begun.
struct StreamProgress {
  const LayerPath* path = nullptr;
  Silence silence = Silence::kNone;
};

// Servers to ask whether they live: those on the path of a stream that is
// silent for long, and those all of whose streams fell silent together. Load
// pattern: a server that many paths share goes dark under traffic.
std::set<std::string> SuspectServers(
    const std::vector<StreamProgress>& streams);

}  // namespace trefoilwick
