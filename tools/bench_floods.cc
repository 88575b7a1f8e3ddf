// Experiments on overload: ranks, floors and fairness between accounts.
#include <algorithm>

#include "bench_experiment.h"

namespace trefoilwick::bench {

using nlohmann::json;

namespace {

constexpr double kFloodFactor = 10;
constexpr double kLargeAccountFactor = 50;

// Workload of a flood. Its answers are long, so that ten times the capacity is
// a few hundred requests per second and refusals cost the entries little CPU.
Workload WithLongAnswers(Workload work) {
  work.answer_length = {200, 0.4, 600};
  return work;
}

struct Service {
  double by_rank[3] = {0, 0, 0};
  double total() const { return by_rank[0] + by_rank[1] + by_rank[2]; }
  double of(Rank rank) const { return by_rank[static_cast<size_t>(rank)]; }
};

Service ServiceBetween(const std::vector<RequestRecord>& records,
                       double begin,
                       double end) {
  Service service;
  for (const RequestRecord& record : records)
    service.by_rank[static_cast<size_t>(record.job.rank)] +=
        ServiceInInterval(record, begin, end);
  return service;
}

json ServiceJson(const Service& service, double seconds) {
  json rates = json::object();
  for (const Rank rank : {Rank::kUrgent, Rank::kOrdinary, Rank::kBatch})
    rates[std::string(kRankNames.Name(rank))] = service.of(rank) / seconds;
  return rates;
}

// Whether the answer met the latency targets of its kind, judged as the daemon
// does.
bool MetTargets(const RequestRecord& record, const Workload& work) {
  if (!record.finished() ||
      record.time_to_first_token() * 1e3 > work.first_token_ms)
    return false;
  const auto gaps = static_cast<double>(record.token_times.size() - 1);
  return (record.token_times.back() - record.token_times.front()) * 1e3 <=
         work.between_tokens_ms * gaps;
}

double FractionWithinTargets(const std::vector<RequestRecord>& records,
                             const Workload& work,
                             double begin,
                             double end) {
  double all = 0;
  double within_targets = 0;
  for (const RequestRecord& record : records) {
    if (record.job.kind != work.kind || record.job.arrival_time < begin ||
        record.job.arrival_time >= end)
      continue;
    all += 1;
    within_targets += MetTargets(record, work) ? 1 : 0;
  }
  return all == 0 ? 0 : within_targets / all;
}

// Fraction of its floor that a rank was served, or of its demand if that is
// less; at most 1.
double ServedFloorFraction(const Service& service,
                           const Workload& work,
                           double offered,
                           double seconds) {
  const double guaranteed =
      std::min(work.floor * service.total(), offered * seconds);
  return guaranteed == 0 ? 1
                         : std::min(1.0, service.of(work.rank) / guaranteed);
}

// Service of each rank in each second of the run.
json ServiceBySecond(const std::vector<RequestRecord>& records, double end) {
  json rows = json::array();
  for (double at = 0; at + 1 <= end; at += 1)
    rows.push_back(ServiceJson(ServiceBetween(records, at, at + 1), 1));
  return rows;
}

struct Phase {
  double flood_at;
  double begin;
  double end;
  double seconds() const { return end - begin; }
};

// Measuring begins well after the flood does: the scheduler judges floors over
// a window of 10 s, which at first includes service from before the flood.
Phase MakePhase(const Context& context) {
  const double seconds = context.seconds * 1.5;
  return {seconds * 0.15, seconds * 0.55, seconds};
}

Flow MakeFlow(const Context& context,
              const Workload& work,
              double tokens,
              double begin,
              double end) {
  return {work, tokens, begin, end, context.scenario.accounts};
}

std::vector<double> Latencies(const std::vector<RequestRecord>& records,
                              const std::string& excluded_account,
                              double (RequestRecord::*of)() const) {
  std::vector<double> values;
  for (const RequestRecord& record : records)
    if (record.job.account != excluded_account && record.finished())
      values.push_back((record.*of)());
  return values;
}

double OutcomeFraction(const std::vector<RequestRecord>& records,
                       const std::string& excluded_account,
                       CallerOutcome outcome) {
  double all = 0;
  double matching = 0;
  for (const RequestRecord& record : records) {
    if (record.job.account == excluded_account)
      continue;
    all += 1;
    matching += record.outcome == outcome ? 1 : 0;
  }
  return all == 0 ? 0 : matching / all;
}

}  // namespace

void RunBatchFlood(Context& context) {
  const Workload& urgent = context.scenario.FindWorkload(Rank::kUrgent);
  const Workload& ordinary = context.scenario.FindWorkload(Rank::kOrdinary);
  const Workload batch =
      WithLongAnswers(context.scenario.FindWorkload(Rank::kBatch));
  const Phase phase = MakePhase(context);
  const double bound = MaxMixedThroughput(context);
  const double offered = 0.3 * bound;
  RunOptions options;
  options.drain_seconds = 1;
  const auto records =
      RunLoad(context,
              {MakeFlow(context, urgent, offered, 0, phase.end),
               MakeFlow(context, ordinary, offered, 0, phase.end),
               MakeFlow(context, batch,
                        kFloodFactor * MaxFleetThroughput(context, batch),
                        phase.flood_at, phase.end)},
              options);
  const Service service = ServiceBetween(records, phase.begin, phase.end);
  Report& report = context.report;
  report.AddMeasure(
      "batch floods 10x: urgent within target",
      FractionWithinTargets(records, urgent, phase.flood_at, phase.end), "",
      0.99, false);
  report.AddMeasure(
      "batch floods 10x: ordinary keeps of its floor",
      ServedFloorFraction(service, ordinary, offered, phase.seconds()), "",
      0.98, false);
  report.details["urgent_within_target_before"] =
      FractionWithinTargets(records, urgent, 0, phase.flood_at);
  report.details["ordinary_within_target"] =
      FractionWithinTargets(records, ordinary, phase.flood_at, phase.end);
  report.details["offered_tokens_per_second"] = offered;
  report.details["service_per_second"] = ServiceJson(service, phase.seconds());
  report.details["service_by_second"] = ServiceBySecond(records, phase.end);
  report.details["bound_tokens_per_second"] = bound;
}

void RunUrgentFlood(Context& context) {
  const Workload urgent =
      WithLongAnswers(context.scenario.FindWorkload(Rank::kUrgent));
  const Workload& ordinary = context.scenario.FindWorkload(Rank::kOrdinary);
  const Workload& batch = context.scenario.FindWorkload(Rank::kBatch);
  const Phase phase = MakePhase(context);
  const double bound = MaxMixedThroughput(context);
  const double offered_ordinary = 1.5 * ordinary.floor * bound;
  const double offered_batch = 3 * batch.floor * bound;
  RunOptions options;
  options.drain_seconds = 1;
  const auto records =
      RunLoad(context,
              {MakeFlow(context, ordinary, offered_ordinary, 0, phase.end),
               MakeFlow(context, batch, offered_batch, 0, phase.end),
               MakeFlow(context, urgent,
                        kFloodFactor * MaxFleetThroughput(context, urgent),
                        phase.flood_at, phase.end)},
              options);
  const Service service = ServiceBetween(records, phase.begin, phase.end);
  Report& report = context.report;
  report.AddMeasure(
      "urgent floods 10x: ordinary keeps of its floor",
      ServedFloorFraction(service, ordinary, offered_ordinary, phase.seconds()),
      "", 0.98, false);
  report.AddMeasure(
      "urgent floods 10x: batch keeps of its floor",
      ServedFloorFraction(service, batch, offered_batch, phase.seconds()), "",
      0.98, false);
  report.details["service_per_second"] = ServiceJson(service, phase.seconds());
  report.details["service_by_second"] = ServiceBySecond(records, phase.end);
  report.details["bound_tokens_per_second"] = bound;
}

// Small accounts request a fifth of the capacity. In a second run, one more
// account also requests 50 times its share.
void RunLargeAccount(Context& context) {
  const Workload& work = context.scenario.FindWorkload(Rank::kOrdinary);
  std::vector<LoadAccount> small;
  double weights = 0;
  for (const LoadAccount& account : context.scenario.accounts) {
    if (account.rank_limit > work.rank)
      continue;
    weights += account.weight;
    small.push_back(account);
  }
  LoadAccount large = small.back();
  small.pop_back();
  const double bound = MaxFleetThroughput(context, work);
  const double requested = kLargeAccountFactor * bound * large.weight / weights;
  const Flow small_flow{work, 0.2 * bound, 0, context.seconds, small};
  const Flow flood{
      WithLongAnswers(work), requested, 0, context.seconds, {large}};
  RunOptions options;
  options.drain_seconds = 2;
  const auto before = RunLoad(context, {small_flow}, options);
  const auto during = RunLoad(context, {small_flow, flood}, options);
  Report& report = context.report;
  const auto ratio = [&](double (RequestRecord::*of)() const) {
    const double unloaded = Quantile(Latencies(before, large.name, of), 0.95);
    return unloaded == 0
               ? 0
               : Quantile(Latencies(during, large.name, of), 0.95) / unloaded;
  };
  const std::string note =
      large.tokens_per_second > 0 ? "the table limits the account" : "no limit";
  report.AddMeasure("small accounts' first token p95 / unloaded",
                    ratio(&RequestRecord::time_to_first_token), "", 1.2, true,
                    note);
  report.AddMeasure("small accounts' whole answer p95 / unloaded",
                    ratio(&RequestRecord::total_latency), "", 1.2, true, note);
  for (const auto* run : {&before, &during})
    report.details["small_accounts"].push_back(
        {{"first_token_p95_ms",
          Quantile(
              Latencies(*run, large.name, &RequestRecord::time_to_first_token),
              0.95) *
              1e3},
         {"answer_p95_ms",
          Quantile(Latencies(*run, large.name, &RequestRecord::total_latency),
                   0.95) *
              1e3},
         {"finished",
          OutcomeFraction(*run, large.name, CallerOutcome::kFinished)}});
  report.details["asked_tokens_per_second"] = requested;
}

// Every account that may use the ordinary rank requests half of the capacity,
// so that all of them are backlogged.
void RunBacklog(Context& context) {
  const Workload& work = context.scenario.FindWorkload(Rank::kOrdinary);
  const double seconds = context.seconds * 1.5;
  const double bound = MaxFleetThroughput(context, work);
  std::vector<Flow> flows;
  std::vector<LoadAccount> accounts;
  for (const LoadAccount& account : context.scenario.accounts) {
    if (account.rank_limit > work.rank)
      continue;
    accounts.push_back(account);
    flows.push_back({work, 0.5 * bound, 0, seconds, {account}});
  }
  RunOptions options;
  options.drain_seconds = 0.1;
  const auto records = RunLoad(context, flows, options);
  std::vector<double> normalised;
  json services = json::object();
  for (const LoadAccount& account : accounts) {
    double service = 0;
    for (const RequestRecord& record : records)
      if (record.job.account == account.name)
        service += ServiceInInterval(record, 0.3 * seconds, seconds);
    normalised.push_back(service / account.weight);
    services[account.name] = {{"weight", account.weight},
                              {"service_per_second", service / seconds / 0.7}};
  }
  context.report.AddMeasure(
      "Jain index of weighted service, backlogged accounts",
      JainFairnessIndex(normalised), "", 0.99, false);
  context.report.details["accounts"] = services;
}

}  // namespace trefoilwick::bench
