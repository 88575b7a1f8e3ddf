// The baseline: drives the stages of a chain directly, one call per stage and
// token, with the same HTTP client as the load.
#pragma once

#include <string>
#include <vector>

#include "bench_fleet.h"
#include "bench_load.h"

namespace trefoilwick::bench {

// Runs the jobs one after the other on one chain; chains run side by side. The
// engines accept any epoch meanwhile, so the owners of the chains keep theirs.
// One list of records per chain.
std::vector<std::vector<RequestRecord>> RunDirectBaseline(
    const Fleet& fleet,
    const std::vector<ChainInfo>& chains,
    const std::vector<Job>& jobs);

}  // namespace trefoilwick::bench
