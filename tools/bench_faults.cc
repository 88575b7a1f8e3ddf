// Experiments on recovery after losses and on retries.
#include <algorithm>
#include <cmath>
#include <thread>

#include "bench_experiment.h"

namespace trefoilwick::bench {

using nlohmann::json;

namespace {

// Length of the sliding window over which throughput is measured.
constexpr double kThroughputWindowSeconds = 1;
constexpr double kBaselineSeconds = 1.5;
constexpr double kWindowStepSeconds = 0.05;
// Time after which the platform removes a dead instance from its list.
constexpr std::chrono::seconds kListRemovalDelay{2};

double Throughput(const std::vector<RequestRecord>& records,
                  double begin,
                  double end) {
  double tokens = 0;
  for (const RequestRecord& record : records)
    tokens += TokensInInterval(record, begin, end);
  return tokens / (end - begin);
}

// Evenly spaced arrivals and answers of equal length, so that the load adds no
// noise to the throughput.
std::vector<Job> MakeEvenlySpacedJobs(const Context& context,
                                      double load,
                                      double seconds) {
  Workload work = context.scenario.FindWorkload(Rank::kOrdinary);
  work.answer_length = {30, 0, 30};
  work.prompt_length = {20, 0, 20};
  const double rate =
      load * MaxFleetThroughput(context, work) / work.answer_length.median;
  auto jobs = MakeJobs(context.scenario,
                       {{work, 2 * rate * work.answer_length.median, 0, seconds,
                         context.scenario.accounts}},
                       context.seed);
  jobs.resize(std::min(jobs.size(), static_cast<size_t>(rate * seconds)));
  for (size_t i = 0; i < jobs.size(); ++i)
    jobs[i].arrival_time = static_cast<double>(i) / rate;
  return jobs;
}

// Time from `at` until the next token of each answer that was in progress.
std::vector<double> WaitsForNextToken(const std::vector<RequestRecord>& records,
                                      double at) {
  std::vector<double> waits;
  for (const RequestRecord& record : records) {
    if (record.token_times.empty() || record.token_times.front() >= at)
      continue;
    const auto next = std::lower_bound(record.token_times.begin(),
                                       record.token_times.end(), at);
    if (next != record.token_times.end())
      waits.push_back(*next - at);
  }
  return waits;
}

// Time from `at` until a window reaches 95% of the throughput before `at` and
// the rest of the run stays there on average; infinite when this never happens.
double TimeToRecover(const std::vector<RequestRecord>& records,
                     double at,
                     double end) {
  const double required = 0.95 * Throughput(records, at - kBaselineSeconds, at);
  for (double t = at; t + kThroughputWindowSeconds <= end;
       t += kWindowStepSeconds)
    if (Throughput(records, t, t + kThroughputWindowSeconds) >= required &&
        Throughput(records, t, end) >= required)
      return t - at;
  return INFINITY;
}

void ReportLoss(Context& context,
                const std::string& lost_kind,
                const std::vector<Process>& lost,
                double load) {
  const double kill_at = 2.5;
  const double seconds = kill_at + std::max(4.0, context.seconds);
  double killed_at = kill_at;
  RunOptions options;
  std::chrono::steady_clock::time_point start;
  options.events = {{0, [&] { start = std::chrono::steady_clock::now(); }},
                    {kill_at, [&] {
                       for (const Process& process : lost)
                         context.fleet.Kill(process);
                       killed_at = std::chrono::duration<double>(
                                       std::chrono::steady_clock::now() - start)
                                       .count();
                       std::this_thread::sleep_for(kListRemovalDelay);
                       for (const Process& process : lost)
                         context.fleet.RemoveFromInstanceList(process);
                     }}};
  const auto records =
      RunJobs(context, MakeEvenlySpacedJobs(context, load, seconds), options);
  const auto waits = WaitsForNextToken(records, killed_at);
  Report& report = context.report;
  report.AddMeasure(
      lost_kind + " lost: to the next token, p95 of the answers in progress",
      Quantile(waits, 0.95), "s", 1, true, "since the loss");
  report.AddMeasure(lost_kind + " lost: to 95% of throughput",
                    TimeToRecover(records, killed_at, seconds - 0.5), "s", 3,
                    true, "since the loss");
  std::vector<double> first;
  for (const RequestRecord& record : records)
    if (record.job.arrival_time >= killed_at &&
        record.job.arrival_time < killed_at + 2 && !record.token_times.empty())
      first.push_back(record.time_to_first_token());
  report.details["in_progress"] = waits.size();
  report.details["next_token_max_s"] = Quantile(waits, 1);
  report.details["next_token_p50_s"] = Quantile(waits, 0.5);
  report.details["new_requests_first_token_p95_s"] = Quantile(first, 0.95);
  report.details["tokens_per_second_before"] =
      Throughput(records, kill_at - kBaselineSeconds, kill_at);
  report.details["tokens_per_second_at_end"] =
      Throughput(records, seconds - 2, seconds - 0.5);
}

// Every third engine of each range of layers.
std::vector<Process> EveryThirdEngine(const Fleet& fleet) {
  std::map<std::vector<int>, size_t> count_by_layers;
  std::vector<Process> chosen;
  for (const Process& engine : fleet.ProcessesWithRole("engine"))
    if (count_by_layers[engine.layers]++ % 3 == 2)
      chosen.push_back(engine);
  return chosen;
}

struct CallCounters {
  double steps = 0;
  double items = 0;
  double failures = 0;
  double submissions = 0;
};

CallCounters ReadCallCounters(const Fleet& fleet) {
  return {fleet.SumCounter("trefoilwick_steps_total"),
          fleet.SumCounter("trefoilwick_step_items_total"),
          fleet.SumCounter("trefoilwick_step_failures_total"),
          fleet.SumCounter("trefoilwick_submissions_total")};
}

}  // namespace

void RunStageLoss(Context& context) {
  const auto chains = context.fleet.Chains();
  if (chains.empty())
    return;
  // A spare exists for the first ranges of layers.
  ReportLoss(context, "stage", {context.fleet.FindProcess(chains[0].stages[1])},
             0.5);
}

void RunEntryLoss(Context& context) {
  const auto chains = context.fleet.Chains();
  if (chains.empty())
    return;
  ReportLoss(context, "entry", {context.fleet.FindProcess(chains.back().owner)},
             0.5);
}

void RunDataCenterLoss(Context& context) {
  // The data center that hosts the platform's services must stay up, so another
  // one is killed.
  std::string center;
  for (const ChainInfo& chain : context.fleet.Chains())
    center = std::max(center, chain.data_center);
  std::string platform = context.fleet.FindProcess("list").data_center;
  for (const ChainInfo& chain : context.fleet.Chains())
    if (chain.data_center != platform)
      center = chain.data_center;
  std::vector<Process> lost;
  for (const Process& process : context.fleet.processes())
    if (process.data_center == center && !context.fleet.IsDead(process.id) &&
        (process.role == "engine" || process.role == "entry"))
      lost.push_back(process);
  ReportLoss(context, "data center", lost, 0.4);
}

void RunRetries(Context& context) {
  const double seconds = context.seconds * 1.5;
  const double fault_at = seconds * 0.3;
  const auto failing = EveryThirdEngine(context.fleet);
  CallCounters start;
  CallCounters before;
  CallCounters after;
  RunOptions options;
  options.events = {
      {0, [&] { start = ReadCallCounters(context.fleet); }},
      {fault_at,
       [&] {
         before = ReadCallCounters(context.fleet);
         for (const Process& engine : failing)
           context.fleet.SetFaults(engine, R"({"error_share":1})");
       }},
      {seconds - 0.2, [&] { after = ReadCallCounters(context.fleet); }}};
  const auto records =
      RunJobs(context, MakeEvenlySpacedJobs(context, 0.3, seconds), options);
  for (const Process& engine : failing)
    context.fleet.SetFaults(engine, R"({"reset":true})");
  const double steps = after.steps - before.steps;
  const double failures = after.failures - before.failures;
  double arrivals = 0;
  double finished = 0;
  for (const RequestRecord& record : records) {
    if (record.job.arrival_time < fault_at ||
        record.job.arrival_time >= seconds - 0.2)
      continue;
    arrivals += 1;
    finished += record.finished() ? 1 : 0;
  }
  Report& report = context.report;
  report.AddMeasure("a third of the engines fail: step calls / first calls",
                    steps <= failures ? 0 : steps / (steps - failures), "",
                    1.1);
  report.AddMeasure(
      "a third of the engines fail: submissions / requests",
      arrivals == 0 ? 0 : (after.submissions - before.submissions) / arrivals,
      "", 1.1);
  const double before_tokens = Throughput(records, 0.5, fault_at);
  const double after_tokens = Throughput(records, fault_at, seconds - 0.2);
  const double items_before = (before.items - start.items) / fault_at;
  const double items_after =
      (after.items - before.items) / (seconds - 0.2 - fault_at);
  report.details["engines_failing"] = failing.size();
  report.details["step_failures"] = failures;
  report.details["steps"] = steps;
  report.details["finished_share"] = arrivals == 0 ? 0 : finished / arrivals;
  report.details["items_per_token_before"] = items_before / before_tokens;
  report.details["items_per_token_during"] = items_after / after_tokens;
  report.details["tokens_per_second_before"] = before_tokens;
  report.details["tokens_per_second_during"] = after_tokens;
}

}  // namespace trefoilwick::bench
