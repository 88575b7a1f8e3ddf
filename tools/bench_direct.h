// Baseline without the entries: calls the stages of a chain directly, one call
// per stage and token, with the HTTP client of the load tool.
#pragma once

#include <string>
#include <vector>

#include "bench_fleet.h"
#include "bench_load.h"

namespace trefoilwick::bench {

// Runs the jobs one after the other on each chain, and all chains in parallel.
// The engines accept any epoch meanwhile, so that the chains keep their owners.
// Returns one list of records per chain.
std::vector<std::vector<RequestRecord>> RunDirectBaseline(
    const Fleet& fleet,
    const std::vector<ChainInfo>& chains,
    const std::vector<Job>& jobs);

}  // namespace trefoilwick::bench
