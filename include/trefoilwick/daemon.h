// The daemon of an entry instance and the operators' command line.
#pragma once

#include <string>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// Process settings, from a TOML file (docs/operators/settings.md).
struct Settings {
  std::string id;
  std::string data_center;
  // host:port on which this instance serves HTTP (`address`) and peers
  // (`peer_address`).
  std::string address;
  std::string peer_address;
  std::string table_url;
  std::string object_url;
  std::string list_url;
  // SHA-256 of the operators' key, lower-case hex.
  std::string operator_key_sha256;
  std::string log_level = "INFO";
  std::string chain_policy = "power_of_two";
  std::chrono::seconds drain_timeout{600};
  Duration store_deadline{1'000'000};
  int max_connections = 4096;
  size_t max_body_bytes = 1 << 20;
};

// Parses settings; every problem is added to `findings` with its line.
absl::StatusOr<Settings> ParseSettings(const std::string& text,
                                       const std::string& file,
                                       Findings& findings);

// Runs the command line; returns the exit code (0 done, 1 refused, 2 usage,
// 3 outcome unknown).
int RunCommandLine(const std::vector<std::string>& args);

}  // namespace trefoilwick
