// The experiments and their shared functions. Each experiment adds measures to
// its report.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench_fleet.h"
#include "bench_load.h"
#include "bench_scenario.h"

namespace trefoilwick::bench {

struct Measure {
  std::string name;
  double value = 0;
  std::string unit;
  // Of docs/design.md, section 1.6.
  double target = 0;
  // True when the value must be at most the target, false for at least.
  bool target_is_max = true;
  std::string note;

  bool passes() const {
    return target_is_max ? value <= target : value >= target;
  }
};

// Resources used during an experiment.
struct Usage {
  double load_average = 0;
  double machine_busy_cores = 0;
  double bench_cores = 0;
};

struct Report {
  std::string experiment;
  std::vector<Measure> measures;
  nlohmann::json details = nlohmann::json::object();
  // Tokens received per 100 ms, for the plot.
  std::vector<double> timeline;

  void AddMeasure(const std::string& name,
                  double measured,
                  const std::string& unit,
                  double target,
                  bool at_most = true,
                  const std::string& note = "");
};

struct Context {
  Fleet& fleet;
  Scenario scenario;
  uint64_t seed = 1;
  // Length of a load phase in seconds.
  double seconds = 6;
  // Number of requests that are run one at a time.
  int direct_jobs = 20;
  Report report;
};

// Names and functions of all experiments, in the order of docs/measurements.md.
struct Experiment {
  const char* name;
  void (*run)(Context&);
  const char* description;
};
const std::vector<Experiment>& Experiments();

void RunAddedLatency(Context& context);
void RunSaturation(Context& context);
void RunSteadyLoad(Context& context);
void RunCallRate(Context& context);
void RunBatchFlood(Context& context);
void RunUrgentFlood(Context& context);
void RunLargeAccount(Context& context);
void RunBacklog(Context& context);
void RunStageLoss(Context& context);
void RunEntryLoss(Context& context);
void RunDataCenterLoss(Context& context);
void RunRetries(Context& context);

// `fraction` is in [0, 1]; 0 when there are no values.
double Quantile(std::vector<double> values, double fraction);
double JainFairnessIndex(const std::vector<double>& values);

// Maximum tokens per second of a chain: the rate of its slowest stage with full
// batches and `prompt_per_token` prompt tokens for each generated token.
double MaxChainThroughput(const Fleet& fleet,
                          const ChainInfo& chain,
                          double prompt_per_token);
double MaxFleetThroughput(const Fleet& fleet, double prompt_per_token);
double MaxFleetThroughput(const Context& context, const Workload& work);
// For the workloads of the scenario at their shares.
double MaxMixedThroughput(const Context& context);

// Runs the flows and checks every answer; adds the results of the checks and
// the timeline to the report.
std::vector<RequestRecord> RunLoad(Context& context,
                                   const std::vector<Flow>& flows,
                                   const RunOptions& options);
std::vector<RequestRecord> RunJobs(Context& context,
                                   std::vector<Job> jobs,
                                   const RunOptions& options);

// Tokens received in [begin, end), and their service: generated tokens and a
// tenth of the prompt tokens, as the scheduler charges them.
double TokensInInterval(const RequestRecord& record, double begin, double end);
double ServiceInInterval(const RequestRecord& record, double begin, double end);

std::vector<double> Timeline(const std::vector<RequestRecord>& records);

}  // namespace trefoilwick::bench
