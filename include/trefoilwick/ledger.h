// At-most-once execution of calls that may not be repeated.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "trefoilwick/kernel.h"
#include "trefoilwick/platform.h"

namespace trefoilwick {

inline constexpr char kLedgerTable[] = "ledger";

// States of a ledger row; see docs/design.md, section 5.
enum class LedgerState : uint8_t { kStarted, kSent, kDone, kNotRun, kUnknown };
inline constexpr auto kLedgerStateNames = MakeEnumTable<LedgerState>({
    {LedgerState::kStarted, "started"},
    {LedgerState::kSent, "sent"},
    {LedgerState::kDone, "done"},
    {LedgerState::kNotRun, "not_run"},
    {LedgerState::kUnknown, "unknown"},
});

// The ledger row of one (account, key).
struct LedgerRecord {
  std::string attempt;
  std::string body_sha256;
  std::string kind;
  LedgerState state = LedgerState::kStarted;
  // Wall-clock time after which another entry may seal or close the row.
  int64_t deadline_unix_ms = 0;
  std::string entry;
  std::string request;
  // Set when done: the backend server's response.
  int result_status = 0;
  std::string result_body;
  bool operator==(const LedgerRecord&) const = default;
};

std::string EncodeLedgerRecord(const LedgerRecord& record);
absl::StatusOr<LedgerRecord> DecodeLedgerRecord(const std::string& bytes);
// Key of the row: "<account>/<key>", with '/', '%' and every byte that is not
// printable ASCII percent-encoded in both.
std::string LedgerKey(const std::string& account, const std::string& key);

struct LedgerCallInput {
  std::string account;
  std::string key;
  std::string body_sha256;
  std::string kind;
  std::string entry;
  std::string request;
  // Unique per attempt.
  std::string attempt;
  // Max time from the start to the dispatch.
  Duration max_dispatch_delay{2'000'000};
  // Max duration of the call to the backend server.
  Duration call_timeout{5'000'000};
};

// Actions of LedgerCall.
struct LedgerRead {};
struct LedgerWrite {
  // Expected version of the row, 0 when absent.
  int64_t expected_version = 0;
  LedgerRecord record;
};
// Send the call to a backend server, once; give up after `timeout`.
struct LedgerDispatch {
  Duration timeout{0};
};
// Wait, then call OnWaited.
struct LedgerWait {
  Duration duration{0};
};
enum class LedgerVerdict : uint8_t {
  // The call ran, now or earlier; status and body are its response.
  kDone,
  // Certain not to have run and never to run under this attempt.
  kNotRun,
  // Sent, but it is not known whether it ran. Never sent again.
  kUnknown,
  // Another attempt with the same key is in progress.
  kInProgress,
  // The key was used with another body or kind; this call was not run.
  kKeyReused,
};
inline constexpr auto kLedgerVerdictNames = MakeEnumTable<LedgerVerdict>({
    {LedgerVerdict::kDone, "done"},
    {LedgerVerdict::kNotRun, "not_run"},
    {LedgerVerdict::kUnknown, "unknown"},
    {LedgerVerdict::kInProgress, "in_progress"},
    {LedgerVerdict::kKeyReused, "key_reused"},
});
struct LedgerAnswer {
  LedgerVerdict verdict = LedgerVerdict::kNotRun;
  int status = 0;
  std::string body;
  // The answer was recorded by an earlier attempt.
  bool replayed = false;
  // The row does not hold this result yet. The adapter answers the caller and
  // then executes the following action, which records the result.
  bool record_pending = false;
};
// The call has ended.
struct LedgerEnd {};
using LedgerAction = std::variant<LedgerRead,
                                  LedgerWrite,
                                  LedgerDispatch,
                                  LedgerWait,
                                  LedgerAnswer,
                                  LedgerEnd>;

// How a dispatched call ended.
struct DispatchResult {
  // Set when the server answered.
  std::optional<int> status;
  std::string body;
  // True only when the request certainly did not reach a server (connection
  // refused before any byte was sent).
  bool certainly_not_sent = false;
};

// State machine of one call. Start() and each On...() return the next action;
// the adapter executes exactly that action and reports its result.
class LedgerCall {
 public:
  LedgerCall(const Clock& clock, LedgerCallInput input);
  LedgerAction Start();
  LedgerAction OnRead(const absl::StatusOr<StoreRow>& row);
  LedgerAction OnWritten(const absl::StatusOr<int64_t>& version);
  LedgerAction OnDispatched(const DispatchResult& result);
  LedgerAction OnWaited();
  LedgerAction OnAnswered();

 private:
  enum class Step : uint8_t {
    kInserting,
    kMarkingSent,
    kClosing,
    kReading,
    kWaiting,
    kDispatching,
    kAnswering,
    kRecording,
    kRecordReading,
    kRecordWaiting,
    kEnded,
  };
  LedgerAction InsertRow(int64_t expected_version);
  LedgerAction MarkSent();
  LedgerAction Dispatch();
  LedgerAction CloseAsUnknown(const StoreRow& row, LedgerRecord record);
  LedgerAction ReadRow();
  LedgerAction ReadRowLater(Duration delay);
  LedgerAction GiveUp();
  LedgerAction AnswerCaller(LedgerVerdict verdict, bool record_pending);
  LedgerAction AnswerFromRecord(LedgerVerdict verdict,
                                const LedgerRecord& record);
  LedgerAction AnswerNotRun();
  LedgerAction OnStoreFailure();
  LedgerAction OnOwnAttemptRow(const StoreRow& row, const LedgerRecord& record);
  LedgerAction OnOtherAttemptRow(const StoreRow& row,
                                 const LedgerRecord& record);
  LedgerAction RecordResult();
  LedgerAction OnRecordRead(const absl::StatusOr<StoreRow>& row);
  LedgerAction OnRecordWritten(const absl::Status& status);
  LedgerAction RecordResultLater();
  bool BeforeDispatchDeadline() const {
    return m_clock.Now() < m_dispatch_deadline;
  }
  // An attempt that may have written the row may since have been sealed by
  // another entry and reported as not run, so it never inserts the row again.
  bool MayInsert() const {
    return BeforeDispatchDeadline() && !m_may_have_written;
  }

  const Clock& m_clock;
  LedgerCallInput m_input;
  TimePoint m_dispatch_deadline{};
  int64_t m_started_unix_ms = 0;
  Step m_step = Step::kEnded;
  int m_store_failures = 0;
  Duration m_poll_delay{0};
  // Last version of the row that is known to hold this attempt; 0 when unknown.
  int64_t m_version = 0;
  LedgerRecord m_record;
  LedgerAnswer m_answer;
  // A write of this attempt may have taken effect.
  bool m_may_have_written = false;
  // The `sent` write was attempted.
  bool m_sent_write_attempted = false;
  // The last row read or refused write showed another attempt started or sent.
  bool m_other_in_progress = false;
};

// Looks up the outcome of an (account, key) from any entry. Seals or closes a
// row whose deadline has passed. Blocking.
absl::StatusOr<LedgerRecord> LookUpLedger(const Clock& clock,
                                          TableService& store,
                                          const std::string& account,
                                          const std::string& key);

// Executes the actions of a LedgerCall, one at a time.
struct LedgerAdapter {
  TableService& store;
  // LedgerKey() of the call.
  std::string row_key;
  std::function<DispatchResult(Duration)> dispatch;
  std::function<void(const LedgerAnswer&)> answer;
  std::function<void(Duration)> wait;

  // Executes `action`, reports its result to `call` and returns the next
  // action. A dispatch that throws counts as one without a response.
  LedgerAction ExecuteAction(LedgerCall& call,
                             const LedgerAction& action) const;
};

// Executes a LedgerCall against a store. `dispatch` sends the call; `answer` is
// called exactly once. Blocks until LedgerEnd, or until the answer was given
// and `stopping` returns true at a wait: until then, a result that the store
// does not accept is written again.
void RunLedgerCall(const Clock& clock,
                   TableService& store,
                   const LedgerCallInput& input,
                   const std::function<DispatchResult(Duration)>& dispatch,
                   const std::function<void(const LedgerAnswer&)>& answer,
                   const std::function<void(Duration)>& wait,
                   const std::function<bool()>& stopping = {});

}  // namespace trefoilwick
