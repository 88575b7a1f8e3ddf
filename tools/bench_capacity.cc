// Experiments on added latency, CPU time, throughput and the number of backend
// calls.
#include <algorithm>
#include <sstream>
#include <thread>

#include "answer.h"
#include "bench_direct.h"
#include "bench_experiment.h"

namespace trefoilwick::bench {

using nlohmann::json;

namespace {

// Fraction of a load phase that precedes its measurement window.
constexpr double kWarmUpFraction = 0.3;
constexpr double kIdlePhaseSeconds = 1.5;

std::vector<double> TokenGaps(const RequestRecord& record) {
  std::vector<double> gaps;
  for (size_t i = 1; i < record.token_times.size(); ++i)
    gaps.push_back(record.token_times[i] - record.token_times[i - 1]);
  return gaps;
}

void Append(std::vector<double>& all, const std::vector<double>& more) {
  all.insert(all.end(), more.begin(), more.end());
}

// Chain index by request id, from the journals of the first stages, which are
// cleared.
std::map<std::string, size_t> TakeChainsOfRequests(
    const Fleet& fleet,
    const std::vector<ChainInfo>& chains) {
  std::map<std::string, size_t> chain_by_request;
  for (size_t i = 0; i < chains.size(); ++i) {
    const Process& stage = fleet.FindProcess(chains[i].stages.front());
    std::istringstream lines(
        Fetch({stage.address, "GET", "/journal?clear=1", "", ""}).body);
    std::string line;
    while (std::getline(lines, line)) {
      const json event = json::parse(line, nullptr, false);
      if (event.is_object())
        chain_by_request[event.value("request", "")] = i;
    }
  }
  return chain_by_request;
}

// Times in seconds: to the first token, and the gaps between tokens, through
// the entries (path), on direct calls (direct), and the difference of the two
// (added).
struct Samples {
  std::vector<double> first_token_path;
  std::vector<double> first_token_direct;
  std::vector<double> gaps_path;
  std::vector<double> gaps_direct;
  std::vector<double> first_token_added;
  std::vector<double> gap_added;
};

void AddSamples(const RequestRecord& path,
                const RequestRecord& direct,
                Samples& samples) {
  samples.first_token_path.push_back(path.time_to_first_token());
  samples.first_token_direct.push_back(direct.time_to_first_token());
  samples.first_token_added.push_back(path.time_to_first_token() -
                                      direct.time_to_first_token());
  const auto path_gaps = TokenGaps(path);
  const auto direct_gaps = TokenGaps(direct);
  Append(samples.gaps_path, path_gaps);
  Append(samples.gaps_direct, direct_gaps);
  for (size_t i = 0; i < std::min(path_gaps.size(), direct_gaps.size()); ++i)
    samples.gap_added.push_back(path_gaps[i] - direct_gaps[i]);
}

double DifferenceMs(const std::vector<double>& a,
                    const std::vector<double>& b,
                    double fraction) {
  return (Quantile(a, fraction) - Quantile(b, fraction)) * 1e3;
}

json Quantiles(const std::vector<double>& values) {
  return {{"samples", values.size()},
          {"p50_ms", Quantile(values, 0.5) * 1e3},
          {"p95_ms", Quantile(values, 0.95) * 1e3},
          {"p99_ms", Quantile(values, 0.99) * 1e3}};
}

void ReportAddedLatency(Report& report, const Samples& s) {
  const std::string note = "difference of the quantiles, one request at a time";
  report.AddMeasure("first token: added per request, p50",
                    DifferenceMs(s.first_token_path, s.first_token_direct, 0.5),
                    "ms", 1, true, note);
  report.AddMeasure(
      "first token: added per request, p99",
      DifferenceMs(s.first_token_path, s.first_token_direct, 0.99), "ms", 5,
      true, note);
  report.AddMeasure("added per token, p99",
                    DifferenceMs(s.gaps_path, s.gaps_direct, 0.99), "ms", 3,
                    true, note);
  report.details["first_token_path"] = Quantiles(s.first_token_path);
  report.details["first_token_direct"] = Quantiles(s.first_token_direct);
  report.details["first_token_added_paired"] = Quantiles(s.first_token_added);
  report.details["gap_path"] = Quantiles(s.gaps_path);
  report.details["gap_direct"] = Quantiles(s.gaps_direct);
  report.details["gap_added_paired"] = Quantiles(s.gap_added);
}

double CountTokens(const std::vector<RequestRecord>& records) {
  double tokens = 0;
  for (const RequestRecord& record : records)
    tokens += static_cast<double>(record.token_times.size());
  return tokens;
}

// Average number of cores that the entries use without requests.
double IdleEntryCores(const Fleet& fleet) {
  const double before = fleet.EntryCpuSeconds();
  std::this_thread::sleep_for(std::chrono::duration<double>(kIdlePhaseSeconds));
  return (fleet.EntryCpuSeconds() - before) / kIdlePhaseSeconds;
}

// Load and latency of each chain, which show how evenly load was spread.
json MeasuresByChain(const Context& context,
                     const std::vector<RequestRecord>& records,
                     double seconds) {
  const auto chains = context.fleet.Chains();
  const auto chain_of = TakeChainsOfRequests(context.fleet, chains);
  json rows = json::array();
  for (size_t i = 0; i < chains.size(); ++i) {
    std::vector<double> gaps;
    double tokens = 0;
    for (const RequestRecord& record : records) {
      const auto chain = chain_of.find(record.request_id);
      if (chain == chain_of.end() || chain->second != i)
        continue;
      tokens += static_cast<double>(record.token_times.size());
      Append(gaps, TokenGaps(record));
    }
    const double bound = MaxChainThroughput(context.fleet, chains[i], 0);
    rows.push_back({{"chain", chains[i].id},
                    {"tokens_per_second", tokens / seconds},
                    {"bound_without_prompts", bound},
                    {"between_tokens", Quantiles(gaps)}});
  }
  return rows;
}

std::vector<Job> MakeDirectJobs(Context& context) {
  const Workload& urgent = context.scenario.FindWorkload(Rank::kUrgent);
  Workload work = urgent;
  work.answer_length = {20, 0, 20};
  // The arrival rate does not matter, since the jobs are run one at a time.
  auto jobs = MakeJobs(
      context.scenario,
      {{work, 4000.0 * context.direct_jobs, 0, 1, context.scenario.accounts}},
      context.seed);
  jobs.resize(std::min(jobs.size(), static_cast<size_t>(context.direct_jobs)));
  return jobs;
}

// Reports the throughput in [begin, end) relative to the upper bound for the
// mix of prompt and generated tokens served in that interval.
void ReportThroughput(Context& context,
                      const std::vector<RequestRecord>& records,
                      double begin,
                      double end) {
  double tokens = 0;
  double prompt = 0;
  for (const RequestRecord& record : records) {
    tokens += TokensInInterval(record, begin, end);
    if (!record.token_times.empty() && record.token_times[0] >= begin &&
        record.token_times[0] < end)
      prompt += static_cast<double>(SplitWords(record.job.prompt).size());
  }
  const double bound =
      tokens == 0 ? 0 : MaxFleetThroughput(context.fleet, prompt / tokens);
  const double throughput = tokens / (end - begin);
  Report& report = context.report;
  report.details["bound_tokens_per_second"] = bound;
  report.details["tokens_per_second"] = throughput;
  report.AddMeasure("throughput / bound", bound == 0 ? 0 : throughput / bound,
                    "", 0.95, false);
}

}  // namespace

void RunAddedLatency(Context& context) {
  const auto jobs = MakeDirectJobs(context);
  const auto chains = context.fleet.Chains();
  const double idle_cores = IdleEntryCores(context.fleet);
  RunOptions options;
  options.concurrency = 1;
  options.seconds = 60;
  // Opens connections and claims chains before the measurement.
  RunJobs(context, {jobs.begin(), jobs.begin() + 3}, options);
  const auto direct = RunDirectBaseline(context.fleet, chains, jobs);
  TakeChainsOfRequests(context.fleet, chains);
  const double cpu_before = context.fleet.EntryCpuSeconds();
  const auto start = std::chrono::steady_clock::now();
  const auto records = RunJobs(context, jobs, options);
  const double wall =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  const double cpu_used = context.fleet.EntryCpuSeconds() - cpu_before;
  const auto chain_of = TakeChainsOfRequests(context.fleet, chains);
  Samples samples;
  for (size_t i = 0; i < records.size(); ++i) {
    const auto chain = chain_of.find(records[i].request_id);
    if (chain == chain_of.end() || !records[i].finished() ||
        !direct[chain->second][i].finished())
      continue;
    AddSamples(records[i], direct[chain->second][i], samples);
  }
  ReportAddedLatency(context.report, samples);
  const double tokens = CountTokens(records);
  context.report.details["entry_idle_cores"] = idle_cores;
  context.report.details["entry_cpu_us_per_token_light"] =
      cpu_used / tokens * 1e6;
  context.report.details["entry_cpu_us_per_token_light_without_idle"] =
      (cpu_used - idle_cores * wall) / tokens * 1e6;
}

void RunSaturation(Context& context) {
  const double seconds = context.seconds * 1.5;
  const double offered = 1.3 * MaxMixedThroughput(context);
  RunOptions options;
  options.drain_seconds = 0.1;
  const double cpu_before = context.fleet.EntryCpuSeconds();
  const auto records =
      RunLoad(context, MixedFlows(context.scenario, offered, seconds), options);
  const double cpu_used = context.fleet.EntryCpuSeconds() - cpu_before;
  ReportThroughput(context, records, seconds * kWarmUpFraction, seconds);
  context.report.details["offered_tokens_per_second"] = offered;
  context.report.details["entry_cpu_us_per_token"] =
      cpu_used / CountTokens(records) * 1e6;
}

void RunSteadyLoad(Context& context) {
  const double seconds = context.seconds * 1.5;
  const double offered = 0.7 * MaxMixedThroughput(context);
  const double cpu_before = context.fleet.EntryCpuSeconds();
  TakeChainsOfRequests(context.fleet, context.fleet.Chains());
  RunOptions options;
  options.drain_seconds = context.seconds;
  const auto records =
      RunLoad(context, MixedFlows(context.scenario, offered, seconds), options);
  const double cpu_used = context.fleet.EntryCpuSeconds() - cpu_before;
  std::vector<double> first;
  std::vector<double> gaps;
  json by_rank = json::object();
  for (const Workload& work : context.scenario.workloads) {
    std::vector<double> rank_first;
    std::vector<double> rank_gaps;
    for (const RequestRecord& record : records) {
      if (record.job.rank != work.rank || record.token_times.empty() ||
          record.job.arrival_time < seconds * kWarmUpFraction)
        continue;
      rank_first.push_back(record.time_to_first_token());
      Append(rank_gaps, TokenGaps(record));
    }
    by_rank[work.kind] = {{"first_token", Quantiles(rank_first)},
                          {"between_tokens", Quantiles(rank_gaps)}};
    Append(first, rank_first);
    Append(gaps, rank_gaps);
  }
  Report& report = context.report;
  report.AddMeasure("first token at 70% load, p95", Quantile(first, 0.95) * 1e3,
                    "ms", 340);
  report.AddMeasure("between tokens at 70% load, p95",
                    Quantile(gaps, 0.95) * 1e3, "ms", 31);
  report.AddMeasure("CPU of all entries per token at 70% load",
                    cpu_used / CountTokens(records) * 1e6, "us", 200);
  report.details["offered_tokens_per_second"] = offered;
  report.details["by_kind"] = by_rank;
  report.details["by_chain"] = MeasuresByChain(context, records, seconds);
}

void RunCallRate(Context& context) {
  Workload work = context.scenario.FindWorkload(Rank::kOrdinary);
  work.answer_length = {60, 0.2, 120};
  work.prompt_length = {10, 0.2, 20};
  const int base_concurrency =
      4 * static_cast<int>(context.fleet.Chains().size());
  std::vector<double> rates;
  for (const int concurrency : {base_concurrency, 10 * base_concurrency}) {
    const double count = 20'000;
    auto jobs = MakeJobs(context.scenario,
                         {{work, count * MeanLength(work.answer_length), 0, 1,
                           context.scenario.accounts}},
                         context.seed);
    RunOptions options;
    options.concurrency = concurrency;
    options.seconds = context.seconds;
    double calls = 0;
    const double begin = context.seconds * kWarmUpFraction;
    const double end = context.seconds * 0.95;
    const auto sample = [&](double sign) {
      return [&, sign] {
        calls += sign * context.fleet.SumCounter("trefoilwick_steps_total");
      };
    };
    options.events = {{begin, sample(-1)}, {end, sample(1)}};
    const auto records = RunJobs(context, std::move(jobs), options);
    rates.push_back(calls / (end - begin));
    double tokens = 0;
    for (const RequestRecord& record : records)
      tokens += TokensInInterval(record, begin, end);
    context.report.details["concurrency"].push_back(
        {{"requests", concurrency},
         {"calls_per_second", rates.back()},
         {"tokens_per_second", tokens / (end - begin)}});
  }
  context.report.AddMeasure(
      "backend calls/s, 10 times the concurrency / 1 time",
      rates[0] == 0 ? 0 : rates[1] / rates[0], "", 1.1, true,
      "flat: at most 10% more");
}

}  // namespace trefoilwick::bench
