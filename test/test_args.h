// Command-line arguments of a test program.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilwick {

inline std::vector<std::string>& TestArgs() {
  static std::vector<std::string> args;
  return args;
}

// Divides the number of seeded trials of single-threaded tests in builds with a
// sanitizer, which run them 10 to 60 times slower.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
inline constexpr uint64_t kSanitizedTrialDivisor = 20;
#else
inline constexpr uint64_t kSanitizedTrialDivisor = 1;
#endif

}  // namespace trefoilwick
