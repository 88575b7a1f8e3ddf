#include <cstdlib>
#include <string>
#include <vector>

#include "node.h"
#include "trefoilwick/daemon.h"

int main(int argc, char** argv) {
  std::vector<std::string> args(argv + 1, argv + argc);
  // On the platform an instance takes no options: it reads everything from its
  // settings file. Its objects are destroyed when it returns; destructors of
  // global objects would wait for the threads of the logging library, which on
  // the platform outlast the time that a process has to stop.
  if (args == std::vector<std::string>{"route"})
    std::_Exit(trefoilwick::platform::RunNode());
  return trefoilwick::RunCommandLine(args);
}
