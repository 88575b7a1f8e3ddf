#include "journal_check.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "answer.h"
#include "nlohmann/json.hpp"

namespace trefoilwick {
namespace {

using nlohmann::json;
using Key = std::pair<std::string, std::string>;

class Report {
 public:
  void AddViolation(ViolationKind kind,
                    const std::string& subject,
                    const std::string& detail) {
    m_details.emplace(std::pair(kind, subject), detail);
  }
  std::vector<Violation> TakeViolations() {
    std::vector<Violation> list;
    for (const auto& [key, detail] : m_details)
      list.push_back({key.first, key.second, detail});
    return list;
  }

 private:
  std::map<std::pair<ViolationKind, std::string>, std::string> m_details;
};

std::string Subject(const CallerRecord& call) {
  if (!call.request.empty())
    return call.request;
  return call.account + "/" + call.idempotency_key;
}

bool HasOutcome(const CallerRecord& call, Outcome outcome) {
  return kOutcomeNames.Parse(call.outcome) == outcome;
}

// Result of examining the events of one lineage.
struct LineageFacts {
  // Positions [0, complete) passed all layers.
  int complete = 0;
  // Positions at which the last layer ran.
  std::set<int> produced;
  std::vector<std::pair<ViolationKind, std::string>> problems;
};

struct LayerRun {
  int first;
  int end;
  auto operator<=>(const LayerRun&) const = default;
};

// Whether `runs`, which are ordered by time, cover all layers; adds a problem
// for each repeated, skipped or misordered layer.
bool CheckPosition(int position,
                   const std::vector<LayerRun>& runs,
                   int model_layers,
                   LineageFacts& facts) {
  const std::string at = "position " + std::to_string(position);
  std::vector<LayerRun> sorted = runs;
  std::sort(sorted.begin(), sorted.end());
  int next = 0;
  for (const LayerRun& run : sorted) {
    if (run.first < next)
      facts.problems.emplace_back(ViolationKind::kLayerRepeated,
                                  at + ", layer " + std::to_string(run.first));
    if (run.first > next)
      facts.problems.emplace_back(ViolationKind::kLayerSkipped,
                                  at + ", layer " + std::to_string(next));
    next = std::max(next, run.end);
  }
  if (sorted != runs)
    facts.problems.emplace_back(ViolationKind::kLayerOutOfOrder, at);
  return next == model_layers;
}

// `events` are those of one (request, lineage), ordered by time.
LineageFacts ExamineLineage(const std::vector<const EngineEvent*>& events,
                            int model_layers) {
  LineageFacts facts;
  std::map<int, std::vector<LayerRun>> by_position;
  std::map<int, int> last_position;
  for (const EngineEvent* event : events) {
    auto [last, inserted] =
        last_position.emplace(event->first_layer, event->position);
    if (!inserted && event->position < last->second)
      facts.problems.emplace_back(
          ViolationKind::kLayerOutOfOrder,
          "position " + std::to_string(event->position) + " ran after " +
              std::to_string(last->second));
    last->second = std::max(last->second, event->position);
    for (int i = 0; i < event->count; ++i) {
      by_position[event->position + i].push_back(
          {event->first_layer, event->end_layer});
      if (event->end_layer == model_layers)
        facts.produced.insert(event->position + i);
    }
  }
  for (const auto& [position, runs] : by_position) {
    const bool ran_all_layers =
        CheckPosition(position, runs, model_layers, facts);
    if (ran_all_layers && position == facts.complete)
      ++facts.complete;
  }
  return facts;
}

class Checker {
 public:
  explicit Checker(const JournalCheckInput& input);
  std::vector<Violation> Run();

 private:
  using EventList = std::vector<const EngineEvent*>;
  void CheckCompletion(const CallerRecord& call);
  void CheckAnswer(const CallerRecord& call);
  void CheckLayers(const CallerRecord& call,
                   const std::map<std::string, EventList>& lineages);
  void CheckServiceCall(const CallerRecord& call);
  void CheckDuplicateRuns();
  void CheckOutcome(const CallerRecord& call);
  size_t CountRuns(const CallerRecord& call) const;
  bool MayHaveRunInOtherAttempt(const CallerRecord& call) const;
  // A call of another account or prompt whose expected answer contains `token`;
  // empty when there is none.
  std::string OwnerOfToken(const std::string& token,
                           const CallerRecord& except);

  const JournalCheckInput& m_input;
  Report m_report;
  std::unordered_map<std::string, std::map<std::string, EventList>>
      m_engine_events;
  std::unordered_map<std::string, std::vector<const ServiceEvent*>>
      m_service_events_by_key;
  std::unordered_map<std::string, std::vector<const ServiceEvent*>>
      m_service_events_by_request;
  std::unordered_map<std::string, std::vector<const CallerRecord*>>
      m_calls_by_key;
  // Built when the first wrong answer is found.
  std::unordered_map<std::string, std::vector<const CallerRecord*>>
      m_calls_by_token;
};

Checker::Checker(const JournalCheckInput& input) : m_input(input) {
  for (const EngineEvent& event : input.engine_events)
    m_engine_events[event.request][event.lineage].push_back(&event);
  for (auto& [request, lineages] : m_engine_events)
    for (auto& [lineage, events] : lineages)
      std::stable_sort(events.begin(), events.end(),
                       [](const EngineEvent* a, const EngineEvent* b) {
                         return std::pair(a->time, a->first_layer) <
                                std::pair(b->time, b->first_layer);
                       });
  for (const ServiceEvent& event : input.service_events) {
    if (!event.key.empty())
      m_service_events_by_key[event.key].push_back(&event);
    if (!event.request.empty())
      m_service_events_by_request[event.request].push_back(&event);
  }
  for (const CallerRecord& call : input.calls)
    if (!call.idempotency_key.empty())
      m_calls_by_key[call.idempotency_key].push_back(&call);
}

std::vector<Violation> Checker::Run() {
  for (const CallerRecord& call : m_input.calls) {
    CheckOutcome(call);
    if (call.is_service_call)
      CheckServiceCall(call);
    else
      CheckCompletion(call);
  }
  CheckDuplicateRuns();
  return m_report.TakeViolations();
}

void Checker::CheckOutcome(const CallerRecord& call) {
  const auto outcome = kOutcomeNames.Parse(call.outcome);
  if (outcome && *outcome != Outcome::kRunning)
    return;
  const bool accepted =
      !call.request.empty() || (call.status >= 200 && call.status < 300);
  if (accepted)
    m_report.AddViolation(ViolationKind::kNoOutcome, Subject(call),
                          "outcome \"" + call.outcome + "\"");
}

void Checker::CheckCompletion(const CallerRecord& call) {
  CheckAnswer(call);
  auto found = m_engine_events.find(call.request);
  const bool ran = !call.request.empty() && found != m_engine_events.end();
  if (!ran) {
    if (HasOutcome(call, Outcome::kFinished) && call.max_tokens > 0 &&
        m_input.engine_journals_complete)
      m_report.AddViolation(ViolationKind::kFinishedWithoutRun, Subject(call),
                            "no engine ran it");
    return;
  }
  if (HasOutcome(call, Outcome::kNotRun))
    m_report.AddViolation(
        ViolationKind::kRanDespiteNotRun, Subject(call),
        "step " + found->second.begin()->second.front()->step);
  for (const auto& [lineage, events] : found->second)
    for (const EngineEvent* event : events)
      if (event->user != call.account)
        m_report.AddViolation(ViolationKind::kCrossRequestLeak, Subject(call),
                              "ran for account " + event->user);
  CheckLayers(call, found->second);
}

void Checker::CheckAnswer(const CallerRecord& call) {
  const size_t requested = size_t(std::max(0, call.max_tokens));
  const auto expected = ExpectedAnswer(call.account, call.prompt,
                                       std::max(requested, call.tokens.size()));
  for (size_t i = 0; i < call.tokens.size(); ++i) {
    if (call.tokens[i] == expected[i])
      continue;
    std::string at = "token " + std::to_string(i) + " is " + call.tokens[i] +
                     ", expected " + expected[i];
    const std::string owner = OwnerOfToken(call.tokens[i], call);
    if (!owner.empty())
      at.append(", which belongs to ").append(owner);
    m_report.AddViolation(owner.empty() ? ViolationKind::kWrongAnswer
                                        : ViolationKind::kCrossRequestLeak,
                          Subject(call), at);
    return;
  }
  const bool truncated =
      HasOutcome(call, Outcome::kFinished) && call.tokens.size() < requested;
  if (truncated || (requested > 0 && call.tokens.size() > requested))
    m_report.AddViolation(ViolationKind::kWrongAnswerLength, Subject(call),
                          std::to_string(call.tokens.size()) + " of " +
                              std::to_string(requested) + " tokens");
}

std::string Checker::OwnerOfToken(const std::string& token,
                                  const CallerRecord& except) {
  if (m_calls_by_token.empty())
    for (const CallerRecord& call : m_input.calls)
      if (!call.is_service_call)
        for (const std::string& expected :
             ExpectedAnswer(call.account, call.prompt,
                            size_t(std::max(0, call.max_tokens))))
          m_calls_by_token[expected].push_back(&call);
  auto owners = m_calls_by_token.find(token);
  if (owners == m_calls_by_token.end())
    return "";
  for (const CallerRecord* owner : owners->second)
    if (owner->account != except.account || owner->prompt != except.prompt)
      return Subject(*owner);
  return "";
}

void Checker::CheckLayers(const CallerRecord& call,
                          const std::map<std::string, EventList>& lineages) {
  if (call.tokens.empty())
    return;
  const int prompt = int(SplitWords(call.prompt).size());
  const int last = prompt + int(call.tokens.size()) - 1;
  int complete = 0;
  for (const auto& [lineage, events] : lineages) {
    const LineageFacts facts = ExamineLineage(events, m_input.model_layers);
    complete = std::max(complete, facts.complete);
    // Token j is produced at position prompt - 1 + j.
    auto produced = facts.produced.lower_bound(prompt - 1);
    if (produced == facts.produced.end() || *produced >= last)
      continue;
    for (const auto& [kind, detail] : facts.problems)
      if (kind != ViolationKind::kLayerSkipped ||
          m_input.engine_journals_complete)
        m_report.AddViolation(kind, Subject(call),
                              std::string("lineage ")
                                  .append(lineage)
                                  .append(", ")
                                  .append(detail));
  }
  if (complete < last && m_input.engine_journals_complete)
    m_report.AddViolation(
        ViolationKind::kLayerSkipped, Subject(call),
        "no lineage ran all layers after position " + std::to_string(complete));
}

// Runs of this call in the journals of the plain services.
size_t Checker::CountRuns(const CallerRecord& call) const {
  const bool by_key = !call.idempotency_key.empty();
  const auto& index =
      by_key ? m_service_events_by_key : m_service_events_by_request;
  auto events = index.find(by_key ? call.idempotency_key : call.request);
  if (events == index.end())
    return 0;
  return size_t(std::count_if(
      events->second.begin(), events->second.end(),
      [&](const ServiceEvent* event) {
        return (event->user.empty() || event->user == call.account) &&
               (call.body_hash.empty() || event->body_hash == call.body_hash);
      }));
}

// Whether an attempt with the same key and body may have run.
bool Checker::MayHaveRunInOtherAttempt(const CallerRecord& call) const {
  auto same_key = m_calls_by_key.find(call.idempotency_key);
  if (same_key == m_calls_by_key.end())
    return false;
  return std::any_of(same_key->second.begin(), same_key->second.end(),
                     [&](const CallerRecord* other) {
                       const bool same_body =
                           other->body_hash.empty() || call.body_hash.empty() ||
                           other->body_hash == call.body_hash;
                       return other->account == call.account && same_body &&
                              !HasOutcome(*other, Outcome::kNotRun);
                     });
}

void Checker::CheckServiceCall(const CallerRecord& call) {
  const size_t runs = CountRuns(call);
  if (HasOutcome(call, Outcome::kNotRun) && runs > 0 &&
      !MayHaveRunInOtherAttempt(call))
    m_report.AddViolation(ViolationKind::kRanDespiteNotRun, Subject(call),
                          std::to_string(runs) + " runs");
  if (HasOutcome(call, Outcome::kFinished) && runs == 0 &&
      !call.idempotency_key.empty() && m_input.service_journals_complete)
    m_report.AddViolation(ViolationKind::kFinishedWithoutRun, Subject(call),
                          "no service ran it");
}

void Checker::CheckDuplicateRuns() {
  std::map<Key, std::vector<const ServiceEvent*>> runs;
  for (const ServiceEvent& event : m_input.service_events)
    if (!event.key.empty())
      runs[{event.user, event.key}].push_back(&event);
  for (const auto& [key, events] : runs) {
    if (events.size() < 2)
      continue;
    auto calls = m_calls_by_key.find(key.second);
    const bool idempotent =
        calls != m_calls_by_key.end() &&
        std::all_of(calls->second.begin(), calls->second.end(),
                    [](const CallerRecord* call) { return call->idempotent; });
    if (!idempotent)
      m_report.AddViolation(
          ViolationKind::kRanTwice, key.first + "/" + key.second,
          std::to_string(events.size()) + " runs, on " + events[0]->server +
              " and " + events[1]->server);
  }
}

// Calls `parse` for every line that is not empty.
absl::Status ForEachLine(const std::string& text,
                         const std::function<void(const json&)>& parse) {
  size_t line = 0;
  for (size_t at = 0; at < text.size();) {
    const size_t end = std::min(text.find('\n', at), text.size());
    ++line;
    try {
      if (end > at)
        parse(json::parse(text.substr(at, end - at)));
    } catch (const json::exception& error) {
      return MakeStatus(absl::StatusCode::kInvalidArgument,
                        "line " + std::to_string(line) + ": " + error.what());
    }
    at = end + 1;
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<std::vector<EngineEvent>> ParseEngineJournal(
    const std::string& text) {
  std::vector<EngineEvent> events;
  const absl::Status status = ForEachLine(text, [&](const json& line) {
    EngineEvent event;
    event.request = line.at("request").get<std::string>();
    event.lineage = line.at("lineage").get<std::string>();
    event.user = line.at("user").get<std::string>();
    event.position = line.at("position").get<int>();
    event.count = line.at("count").get<int>();
    event.first_layer = line.at("layers").at(0).get<int>();
    event.end_layer = line.at("layers").at(1).get<int>();
    event.step = line.at("step").get<std::string>();
    event.epoch = line.at("epoch").get<uint64_t>();
    event.time = line.at("time").get<int64_t>();
    events.push_back(std::move(event));
  });
  if (!status.ok())
    return status;
  return events;
}

absl::StatusOr<std::vector<ServiceEvent>> ParseServiceJournal(
    const std::string& text) {
  std::vector<ServiceEvent> events;
  const absl::Status status = ForEachLine(text, [&](const json& line) {
    ServiceEvent event;
    event.server = line.at("server").get<std::string>();
    event.path = line.at("path").get<std::string>();
    event.user = line.at("user").get<std::string>();
    event.request = line.at("request").get<std::string>();
    event.key = line.at("key").get<std::string>();
    event.body_hash = line.at("body_hash").get<std::string>();
    event.time = line.at("time").get<int64_t>();
    events.push_back(std::move(event));
  });
  if (!status.ok())
    return status;
  return events;
}

std::vector<Violation> CheckJournals(const JournalCheckInput& input) {
  return Checker(input).Run();
}

std::string FormatViolations(const std::vector<Violation>& violations) {
  std::string text;
  for (const Violation& violation : violations)
    text += std::string(kViolationKindNames.Name(violation.kind)) + " " +
            violation.subject + ": " + violation.detail + "\n";
  return text;
}

}  // namespace trefoilwick
