#include <string>
#include <vector>

#include "node.h"
#include "trefoilwick/daemon.h"

int main(int argc, char** argv) {
  std::vector<std::string> args(argv + 1, argv + argc);
  // On the platform an instance takes no options: it reads everything from its
  // settings file.
  if (args == std::vector<std::string>{"route"})
    return trefoilwick::platform::RunNode();
  return trefoilwick::RunCommandLine(args);
}
