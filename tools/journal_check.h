// Compares the outcomes reported to callers with the backend servers' journals.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// What was reported to one caller about one request.
struct CallerRecord {
  // Empty when the request was refused before an id was assigned.
  std::string request;
  std::string account;
  // Completions only.
  std::string prompt;
  // Empty when no outcome was ever reported.
  std::string outcome;
  std::vector<std::string> tokens;
  int max_tokens = 0;
  // Calls of plain services only.
  bool is_service_call = false;
  bool idempotent = true;
  std::string idempotency_key;
  // BodyHash() of the call's body (answer.h); empty matches every body.
  std::string body_hash;
  // HTTP status; 0 when no response was received.
  int status = 0;
};

// One line of an engine's journal: `request` ran layers
// [first_layer, end_layer) for positions [position, position + count).
struct EngineEvent {
  std::string request;
  std::string lineage;
  std::string user;
  int position = 0;
  int count = 0;
  int first_layer = 0;
  int end_layer = 0;
  std::string step;
  uint64_t epoch = 0;
  // Monotonic time of the end of the step in microseconds, from one clock for
  // all processes of a machine.
  int64_t time = 0;
};

// One line of a plain service's journal.
struct ServiceEvent {
  std::string server;
  std::string path;
  std::string user;
  std::string request;
  std::string key;
  std::string body_hash;
  int64_t time = 0;
};

struct JournalCheckInput {
  int model_layers = 0;
  std::vector<CallerRecord> calls;
  std::vector<EngineEvent> engine_events;
  std::vector<ServiceEvent> service_events;
  // False when events may be missing because a server crashed or its journal
  // overflowed; a missing event is then no violation.
  bool engine_journals_complete = true;
  bool service_journals_complete = true;
};

enum class ViolationKind : uint8_t {
  // A token of the answer did not pass all layers within one lineage.
  kLayerSkipped,
  kLayerRepeated,
  kLayerOutOfOrder,
  kWrongAnswer,
  // The answer has fewer or more tokens than requested.
  kWrongAnswerLength,
  // Tokens of another request's answer, or run for another account.
  kCrossRequestLeak,
  kRanTwice,
  kRanDespiteNotRun,
  kFinishedWithoutRun,
  kNoOutcome,
};
inline constexpr auto kViolationKindNames = MakeEnumTable<ViolationKind>({
    {ViolationKind::kLayerSkipped, "layer_skipped"},
    {ViolationKind::kLayerRepeated, "layer_repeated"},
    {ViolationKind::kLayerOutOfOrder, "layer_out_of_order"},
    {ViolationKind::kWrongAnswer, "wrong_answer"},
    {ViolationKind::kWrongAnswerLength, "answer_cut"},
    {ViolationKind::kCrossRequestLeak, "answer_crossed"},
    {ViolationKind::kRanTwice, "ran_twice"},
    {ViolationKind::kRanDespiteNotRun, "not_run_ran"},
    {ViolationKind::kFinishedWithoutRun, "done_not_run"},
    {ViolationKind::kNoOutcome, "no_outcome"},
});

struct Violation {
  ViolationKind kind = ViolationKind::kWrongAnswer;
  // Request id, or "account/key" for a plain call.
  std::string subject;
  std::string detail;
  bool operator==(const Violation&) const = default;
};

// Parses the text of GET /journal. kInvalidArgument names the bad line.
absl::StatusOr<std::vector<EngineEvent>> ParseEngineJournal(
    const std::string& text);
absl::StatusOr<std::vector<ServiceEvent>> ParseServiceJournal(
    const std::string& text);

// Every violation found, each (kind, subject) once.
std::vector<Violation> CheckJournals(const JournalCheckInput& input);

// One line per violation.
std::string FormatViolations(const std::vector<Violation>& violations);

}  // namespace trefoilwick
