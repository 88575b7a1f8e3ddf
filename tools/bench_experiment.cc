#include "bench_experiment.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <thread>

#include "answer.h"
#include "trefoilwick/pipeline.h"

namespace trefoilwick::bench {

using nlohmann::json;

namespace {

constexpr double kTimelineStepSeconds = 0.1;
constexpr std::chrono::seconds kOutcomeTimeout{15};

double MeanPromptTokens(const LengthDistribution& length) {
  // Every prompt ends with a word that makes it unique.
  return MeanLength(length) + 1;
}

// Asks a live entry for the outcome of requests whose entry was lost.
void ResolveOutcomes(const Context& context,
                     std::vector<RequestRecord>& records) {
  const auto deadline = std::chrono::steady_clock::now() + kOutcomeTimeout;
  for (RequestRecord& record : records) {
    if (record.outcome != CallerOutcome::kNoOutcome ||
        record.request_id.empty())
      continue;
    while (record.outcome == CallerOutcome::kNoOutcome &&
           std::chrono::steady_clock::now() < deadline) {
      const auto entries = context.fleet.ProcessesWithRole("entry");
      if (entries.empty())
        return;
      const Reply reply = Fetch({entries.front().address, "GET",
                                 "/v1/requests/" + record.request_id,
                                 "key-" + record.job.account, ""});
      const json body = json::parse(reply.body, nullptr, false);
      const auto outcome =
          body.is_object()
              ? kCallerOutcomeNames.Parse(body.value("outcome", std::string()))
              : std::nullopt;
      if (reply.status == 200 && outcome)
        record.outcome = *outcome;
      else
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }
}

void ReportOutcomes(Context& context,
                    const std::vector<RequestRecord>& records) {
  json outcomes = json::object();
  json reasons = json::object();
  double wrong_answers = 0;
  double without_outcome = 0;
  double unanswered = 0;
  double max_send_delay_s = 0;
  for (const RequestRecord& record : records) {
    const std::string name(kCallerOutcomeNames.Name(record.outcome));
    outcomes[name] = outcomes.value(name, 0) + 1;
    if (!record.reason.empty())
      reasons[record.reason] = reasons.value(record.reason, 0) + 1;
    wrong_answers += record.wrong_answer ? 1 : 0;
    without_outcome += record.outcome == CallerOutcome::kNoOutcome ? 1 : 0;
    unanswered += record.outcome == CallerOutcome::kNoAnswer ? 1 : 0;
    max_send_delay_s =
        std::max(max_send_delay_s, record.sent_at - record.job.arrival_time);
  }
  context.report.details["runs"].push_back(
      {{"requests", records.size()},
       {"outcomes", outcomes},
       {"reasons", reasons},
       {"largest_delay_of_sending_s", max_send_delay_s}});
  context.report.AddMeasure("wrong answers", wrong_answers, "", 0);
  context.report.AddMeasure("accepted requests without an outcome",
                            without_outcome, "", 0);
  if (unanswered > 0)
    context.report.details["requests_without_an_answer"] = unanswered;
}

}  // namespace

const std::vector<Experiment>& Experiments() {
  static const std::vector<Experiment> experiments = {
      {"added", RunAddedLatency, "latency and CPU added to direct calls"},
      {"saturation", RunSaturation, "throughput against the fleet's bound"},
      {"steady", RunSteadyLoad, "latency at 70% of the bound"},
      {"calls", RunCallRate, "backend calls as concurrency grows tenfold"},
      {"batch-flood", RunBatchFlood, "ten times the capacity of batch work"},
      {"urgent-flood", RunUrgentFlood, "ten times the capacity of urgent work"},
      {"large-account", RunLargeAccount, "one account asks 50 times its share"},
      {"backlog", RunBacklog, "service of backlogged accounts"},
      {"retries", RunRetries, "a third of the engines answer with errors"},
      {"stage-loss", RunStageLoss, "a stage is killed"},
      {"entry-loss", RunEntryLoss, "an entry is killed"},
      {"center-loss", RunDataCenterLoss, "a data center is killed"},
  };
  return experiments;
}

void Report::AddMeasure(const std::string& name,
                        double measured,
                        const std::string& unit,
                        double target,
                        bool at_most,
                        const std::string& note) {
  // Values of one measure from several runs of an experiment are summed.
  for (Measure& measure : measures) {
    if (measure.name == name) {
      measure.value += measured;
      return;
    }
  }
  measures.push_back({name, measured, unit, target, at_most, note});
}

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  const auto at = static_cast<size_t>(
      std::ceil(fraction * static_cast<double>(values.size())));
  const size_t index = std::min(values.size() - 1, at == 0 ? 0 : at - 1);
  std::nth_element(values.begin(), values.begin() + static_cast<long>(index),
                   values.end());
  return values[index];
}

double JainFairnessIndex(const std::vector<double>& values) {
  double sum = 0;
  double squares = 0;
  for (const double value : values) {
    sum += value;
    squares += value * value;
  }
  return squares == 0
             ? 0
             : sum * sum / (static_cast<double>(values.size()) * squares);
}

double MaxChainThroughput(const Fleet& fleet,
                          const ChainInfo& chain,
                          double prompt_per_token) {
  const double batch = ChainSchedulerOptions().max_batch;
  double bound = INFINITY;
  for (const std::string& id : chain.stages) {
    const EngineCosts& costs = fleet.FindProcess(id).costs;
    const double us = costs.base_us / batch + costs.per_sequence_us +
                      costs.per_prefill_token_us * prompt_per_token;
    bound = std::min(bound, 1e6 / us);
  }
  return bound;
}

double MaxFleetThroughput(const Fleet& fleet, double prompt_per_token) {
  double sum = 0;
  for (const ChainInfo& chain : fleet.Chains())
    sum += MaxChainThroughput(fleet, chain, prompt_per_token);
  return sum;
}

double MaxFleetThroughput(const Context& context, const Workload& work) {
  return MaxFleetThroughput(
      context.fleet,
      MeanPromptTokens(work.prompt_length) / MeanLength(work.answer_length));
}

double MaxMixedThroughput(const Context& context) {
  double prompt_per_token = 0;
  for (const Workload& work : context.scenario.workloads)
    prompt_per_token += work.share * MeanPromptTokens(work.prompt_length) /
                        MeanLength(work.answer_length);
  return MaxFleetThroughput(context.fleet, prompt_per_token);
}

std::vector<RequestRecord> RunJobs(Context& context,
                                   std::vector<Job> jobs,
                                   const RunOptions& options) {
  LoadRunner runner(context.scenario.model,
                    context.fleet.AdvertisedEntryAddresses());
  std::vector<RequestRecord> records = runner.Run(std::move(jobs), options);
  ResolveOutcomes(context, records);
  ReportOutcomes(context, records);
  context.report.timeline = Timeline(records);
  return records;
}

std::vector<RequestRecord> RunLoad(Context& context,
                                   const std::vector<Flow>& flows,
                                   const RunOptions& options) {
  return RunJobs(context, MakeJobs(context.scenario, flows, context.seed),
                 options);
}

double TokensInInterval(const RequestRecord& record, double begin, double end) {
  const auto from = std::lower_bound(record.token_times.begin(),
                                     record.token_times.end(), begin);
  return static_cast<double>(
      std::lower_bound(from, record.token_times.end(), end) - from);
}

double ServiceInInterval(const RequestRecord& record,
                         double begin,
                         double end) {
  double service = TokensInInterval(record, begin, end);
  if (!record.token_times.empty() && record.token_times[0] >= begin &&
      record.token_times[0] < end)
    service += ChainSchedulerOptions().prefill_cost *
               static_cast<double>(SplitWords(record.job.prompt).size());
  return service;
}

std::vector<double> Timeline(const std::vector<RequestRecord>& records) {
  std::vector<double> counts;
  for (const RequestRecord& record : records) {
    for (const double time : record.token_times) {
      const auto at = static_cast<size_t>(time / kTimelineStepSeconds);
      if (at >= counts.size())
        counts.resize(at + 1);
      counts[at] += 1;
    }
  }
  return counts;
}

}  // namespace trefoilwick::bench
