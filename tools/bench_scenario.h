// Load scenarios: workloads, accounts and the arrival times of requests.
#pragma once

#include <string>
#include <vector>

#include "trefoilwick/kernel.h"
#include "trefoilwick/table.h"

namespace trefoilwick::bench {

// Log-normal length in words, clamped to [1, `max`].
struct LengthDistribution {
  double median = 1;
  double sigma = 0;
  int max = 1;
};

struct Workload {
  std::string kind;
  Rank rank = Rank::kOrdinary;
  double weight = 1;
  double floor = 0;
  int first_token_ms = 0;
  int between_tokens_ms = 0;
  // Fraction of the offered tokens.
  double share = 1;
  LengthDistribution prompt_length;
  LengthDistribution answer_length;
};

struct LoadAccount {
  std::string name;
  double weight = 1;
  Rank rank_limit = Rank::kOrdinary;
  double share = 1;
  // 0: no limit.
  double tokens_per_second = 0;
};

struct Scenario {
  std::string name;
  std::string model;
  double prefix_share = 0;
  int prefix_count = 1;
  int prefix_words = 0;
  std::vector<Workload> workloads;
  std::vector<LoadAccount> accounts;

  const Workload& FindWorkload(Rank rank) const;
};

// Throws std::runtime_error that names the faulty field.
Scenario ReadScenario(const std::string& path);

// The operators' table that the scenario needs. The bearer key of an account is
// "key-" followed by its name.
std::string OperatorTableToml(const Scenario& scenario);

struct Job {
  // Seconds after the start of the run.
  double arrival_time = 0;
  std::string account;
  std::string kind;
  Rank rank = Rank::kOrdinary;
  std::string prompt;
  int tokens = 1;
};

// Poisson arrivals with a mean of `tokens_per_second`.
struct Flow {
  Workload workload;
  double tokens_per_second = 0;
  double begin = 0;
  double end = 1;
  // Accounts and their shares; those that may not use the workload's rank are
  // left out.
  std::vector<LoadAccount> accounts;
};

// Sorted by time. The same seed gives the same jobs.
std::vector<Job> MakeJobs(const Scenario& scenario,
                          const std::vector<Flow>& flows,
                          uint64_t seed);

// Every workload of the scenario at its share of `tokens_per_second`.
std::vector<Flow> MixedFlows(const Scenario& scenario,
                             double tokens_per_second,
                             double seconds);

// Mean of the clamped distribution, estimated by sampling.
double MeanLength(const LengthDistribution& length);

}  // namespace trefoilwick::bench
