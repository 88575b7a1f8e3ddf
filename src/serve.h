// Runs the daemon until it has drained.
#pragma once

#include "trefoilwick/daemon.h"

namespace trefoilwick::detail {

// Returns the exit code.
int Serve(const Settings& settings);

}  // namespace trefoilwick::detail
