#include "trefoilwick/daemon.h"

namespace trefoilwick {

int RunCommandLine(const std::vector<std::string>& args) {
  return args.empty() ? 2 : 0;
}

}  // namespace trefoilwick
