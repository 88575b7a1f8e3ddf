// Command-line arguments of a test program.
#pragma once

#include <string>
#include <vector>

namespace trefoilwick {

inline std::vector<std::string>& TestArgs() {
  static std::vector<std::string> args;
  return args;
}

}  // namespace trefoilwick
