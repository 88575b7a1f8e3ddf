// Measures of recovery and of retries.
#include <algorithm>
#include <cmath>
#include <thread>

#include "bench_experiment.h"

namespace trefoilwick::bench {

using nlohmann::json;

namespace {

// Window over which throughput is judged.
constexpr double kWindow = 1;
constexpr double kBefore = 1.5;
constexpr double kStep = 0.05;
// The platform takes a dead instance off its list after this time.
constexpr std::chrono::seconds kListLag{2};

double Throughput(const std::vector<RequestRecord>& records,
                  double begin,
                  double end) {
  double tokens = 0;
  for (const RequestRecord& record : records)
    tokens += TokensInInterval(record, begin, end);
  return tokens / (end - begin);
}

// Arrivals at even distances and answers of one length, so that the throughput
// has no noise of its own.
std::vector<Job> EvenJobs(const Context& context, double load, double seconds) {
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
std::vector<double> Interruptions(const std::vector<RequestRecord>& records,
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

// Time after `at` until a window has 95% of the throughput before, provided
// that the rest of the run has it too; infinite when it does not.
double TimeToThroughput(const std::vector<RequestRecord>& records,
                        double at,
                        double end) {
  const double enough = 0.95 * Throughput(records, at - kBefore, at);
  for (double t = at; t + kWindow <= end; t += kStep)
    if (Throughput(records, t, t + kWindow) >= enough &&
        Throughput(records, t, end) >= enough)
      return t - at;
  return INFINITY;
}

void ReportLoss(Context& context,
                const std::string& what,
                const std::vector<Process>& lost,
                double load) {
  const double kill_at = 2.5;
  const double seconds = kill_at + std::max(4.0, context.seconds);
  double killed = kill_at;
  RunOptions options;
  std::chrono::steady_clock::time_point start;
  options.events = {{0, [&] { start = std::chrono::steady_clock::now(); }},
                    {kill_at, [&] {
                       for (const Process& process : lost)
                         context.fleet.Kill(process);
                       killed = std::chrono::duration<double>(
                                    std::chrono::steady_clock::now() - start)
                                    .count();
                       std::this_thread::sleep_for(kListLag);
                       for (const Process& process : lost)
                         context.fleet.RemoveFromInstanceList(process);
                     }}};
  const auto records =
      RunJobs(context, EvenJobs(context, load, seconds), options);
  const auto waits = Interruptions(records, killed);
  Report& report = context.report;
  report.Add(what + " lost: to the next token, p95 of the answers in progress",
             Quantile(waits, 0.95), "s", 1, true, "since the loss");
  report.Add(what + " lost: to 95% of throughput",
             TimeToThroughput(records, killed, seconds - 0.5), "s", 3, true,
             "since the loss");
  std::vector<double> first;
  for (const RequestRecord& record : records)
    if (record.job.arrival_time >= killed &&
        record.job.arrival_time < killed + 2 && !record.token_times.empty())
      first.push_back(record.time_to_first_token());
  report.details["in_progress"] = waits.size();
  report.details["next_token_max_s"] = Quantile(waits, 1);
  report.details["next_token_p50_s"] = Quantile(waits, 0.5);
  report.details["new_requests_first_token_p95_s"] = Quantile(first, 0.95);
  report.details["tokens_per_second_before"] =
      Throughput(records, kill_at - kBefore, kill_at);
  report.details["tokens_per_second_at_end"] =
      Throughput(records, seconds - 2, seconds - 0.5);
}

// Every third engine of each range of layers.
std::vector<Process> ThirdOfEngines(const Fleet& fleet) {
  std::map<std::vector<int>, size_t> seen;
  std::vector<Process> chosen;
  for (const Process& engine : fleet.ProcessesWithRole("engine"))
    if (seen[engine.layers]++ % 3 == 2)
      chosen.push_back(engine);
  return chosen;
}

struct Calls {
  double steps = 0;
  double items = 0;
  double failures = 0;
  double submissions = 0;
};

Calls ReadCalls(const Fleet& fleet) {
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
  // The first data center has the platform's services, which stay.
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
  const auto failing = ThirdOfEngines(context.fleet);
  Calls start;
  Calls before;
  Calls after;
  RunOptions options;
  options.events = {{0, [&] { start = ReadCalls(context.fleet); }},
                    {fault_at,
                     [&] {
                       before = ReadCalls(context.fleet);
                       for (const Process& engine : failing)
                         context.fleet.SetFaults(engine,
                                                 R"({"error_share":1})");
                     }},
                    {seconds - 0.2, [&] { after = ReadCalls(context.fleet); }}};
  const auto records =
      RunJobs(context, EvenJobs(context, 0.3, seconds), options);
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
  report.Add("a third of the engines fail: step calls / first calls",
             steps <= failures ? 0 : steps / (steps - failures), "", 1.1);
  report.Add(
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
