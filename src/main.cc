#include "trefoilwick/daemon.h"

int main(int argc, char** argv) {
  return trefoilwick::RunCommandLine(
      std::vector<std::string>(argv + 1, argv + argc));
}
