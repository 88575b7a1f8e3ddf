#include "trefoilwick/ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

#include "absl/strings/escaping.h"

namespace trefoilwick {

namespace {

using Json = nlohmann::json;

// Number of failed store calls after which a ledger call gives up.
constexpr int kMaxStoreFailures = 3;
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMinPollDelay = std::chrono::milliseconds(20);
constexpr Duration kMaxPollDelay = std::chrono::milliseconds(500);
constexpr Duration kMaxRecordDelay = std::chrono::seconds(5);
// Time after the end of a call within which its entry normally records the
// result; a `sent` row is closed as unknown only after it.
constexpr Duration kRecordGracePeriod = std::chrono::seconds(1);
// Max rounds of reading and writing for a look-up that races with other
// writers.
constexpr int kMaxLookUpAttempts = 8;

int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

void AppendEncoded(std::string& out, const std::string& text) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '/' || c == '%' || byte <= 0x20 || byte >= 0x7f) {
      out += '%';
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    } else {
      out += c;
    }
  }
}

StoreTransaction ToTransaction(const std::string& row_key,
                               const LedgerWrite& write) {
  return {{{kLedgerTable, row_key, write.expected_version}},
          {{kLedgerTable, row_key, EncodeLedgerRecord(write.record), false}}};
}

absl::StatusOr<int64_t> WriteRow(TableService& store,
                                 const std::string& row_key,
                                 const LedgerWrite& write) {
  const auto versions = store.Transact(ToTransaction(row_key, write));
  if (!versions.ok())
    return versions.status();
  return versions->front();
}

// True when the status of a write shows that nothing was written and that
// reading the row again would not help.
bool NothingWritten(const absl::Status& status) {
  return status.code() == absl::StatusCode::kUnavailable ||
         status.code() == absl::StatusCode::kInvalidArgument;
}

bool MayReplace(LedgerState current, LedgerState next) {
  switch (next) {
    case LedgerState::kDone:
      return current == LedgerState::kSent || current == LedgerState::kUnknown;
    case LedgerState::kUnknown:
      return current == LedgerState::kSent;
    case LedgerState::kNotRun:
      // `unknown` may have been reported to a caller and is final.
      return current == LedgerState::kStarted || current == LedgerState::kSent;
    default:
      return false;
  }
}

DispatchResult DispatchSafely(
    const std::function<DispatchResult(Duration)>& dispatch,
    Duration timeout) {
  try {
    return dispatch(timeout);
  } catch (const std::exception& error) {
    LogStateChange("ledger", "dispatch_failed", {{"error", error.what()}});
    return {};
  }
}

}  // namespace

std::string EncodeLedgerRecord(const LedgerRecord& record) {
  Json json = {{"attempt", record.attempt},
               {"body_sha256", record.body_sha256},
               {"kind", record.kind},
               {"state", kLedgerStateNames.Name(record.state)},
               {"deadline_ms", record.deadline_unix_ms},
               {"entry", record.entry},
               {"request", record.request}};
  if (record.state == LedgerState::kDone) {
    // A body may contain any bytes, but rows are text.
    json["result"] = {{"status", record.result_status},
                      {"body_base64", absl::Base64Escape(record.result_body)}};
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<LedgerRecord> DecodeLedgerRecord(const std::string& bytes) {
  try {
    const Json json = Json::parse(bytes);
    LedgerRecord record;
    record.attempt = json.at("attempt").get<std::string>();
    record.body_sha256 = json.at("body_sha256").get<std::string>();
    record.kind = json.at("kind").get<std::string>();
    record.deadline_unix_ms = json.at("deadline_ms").get<int64_t>();
    record.entry = json.at("entry").get<std::string>();
    record.request = json.at("request").get<std::string>();
    const auto state =
        kLedgerStateNames.Parse(json.at("state").get<std::string>());
    if (!state)
      return MakeStatus(absl::StatusCode::kDataLoss, "unknown ledger state");
    record.state = *state;
    if (record.state == LedgerState::kDone) {
      const Json& result = json.at("result");
      record.result_status = result.at("status").get<int>();
      if (!absl::Base64Unescape(result.at("body_base64").get<std::string>(),
                                &record.result_body))
        return MakeStatus(absl::StatusCode::kDataLoss,
                          "result body is not valid base64");
    }
    return record;
  } catch (const Json::exception& error) {
    return MakeStatus(absl::StatusCode::kDataLoss, error.what());
  }
}

std::string LedgerKey(const std::string& account, const std::string& key) {
  std::string out;
  AppendEncoded(out, account);
  out += '/';
  AppendEncoded(out, key);
  return out;
}

LedgerCall::LedgerCall(const Clock& clock, LedgerCallInput input)
    : m_clock(clock), m_input(std::move(input)) {}

LedgerAction LedgerCall::Start() {
  m_dispatch_deadline = m_clock.Now() + m_input.max_dispatch_delay;
  m_started_unix_ms = m_clock.UnixMillis();
  m_poll_delay = kMinPollDelay;
  m_record = {.attempt = m_input.attempt,
              .body_sha256 = m_input.body_sha256,
              .kind = m_input.kind,
              .state = LedgerState::kStarted,
              .deadline_unix_ms =
                  m_started_unix_ms + ToMillis(m_input.max_dispatch_delay),
              .entry = m_input.entry,
              .request = m_input.request,
              .result_status = 0,
              .result_body = {}};
  return InsertRow(0);
}

LedgerAction LedgerCall::InsertRow(int64_t expected_version) {
  m_step = Step::kInserting;
  return LedgerWrite{expected_version, m_record};
}

LedgerAction LedgerCall::MarkSent() {
  if (!BeforeDispatchDeadline())
    return AnswerNotRun();
  m_step = Step::kMarkingSent;
  m_sent_write_attempted = true;
  LedgerRecord sent_record = m_record;
  sent_record.state = LedgerState::kSent;
  sent_record.deadline_unix_ms =
      m_started_unix_ms + ToMillis(m_input.max_dispatch_delay +
                                   m_input.call_timeout + kRecordGracePeriod);
  return LedgerWrite{m_version, sent_record};
}

// Called when the row is in state `sent` for this attempt.
LedgerAction LedgerCall::Dispatch() {
  // The process may have been suspended during the write. The caller and other
  // entries rely on nothing being sent after the deadline.
  if (!BeforeDispatchDeadline())
    return AnswerNotRun();
  m_step = Step::kDispatching;
  return LedgerDispatch{m_input.call_timeout};
}

LedgerAction LedgerCall::CloseAsUnknown(const StoreRow& row,
                                        LedgerRecord record) {
  m_step = Step::kClosing;
  record.state = LedgerState::kUnknown;
  return LedgerWrite{row.version, std::move(record)};
}

LedgerAction LedgerCall::ReadRow() {
  m_step = Step::kReading;
  return LedgerRead{};
}

LedgerAction LedgerCall::ReadRowLater(Duration delay) {
  m_step = Step::kWaiting;
  return LedgerWait{delay};
}

LedgerAction LedgerCall::AnswerCaller(LedgerVerdict verdict,
                                      bool record_pending) {
  m_step = Step::kAnswering;
  m_store_failures = 0;
  m_answer.verdict = verdict;
  m_answer.record_pending = record_pending;
  return m_answer;
}

LedgerAction LedgerCall::AnswerFromRecord(LedgerVerdict verdict,
                                          const LedgerRecord& record) {
  m_answer.status = record.result_status;
  m_answer.body = record.result_body;
  m_answer.replayed = true;
  return AnswerCaller(verdict, false);
}

// This attempt has sent nothing and never will. Sealing the row lets the
// caller's next attempt run without waiting for the deadline.
LedgerAction LedgerCall::AnswerNotRun() {
  m_record.state = LedgerState::kNotRun;
  return AnswerCaller(LedgerVerdict::kNotRun, m_may_have_written);
}

LedgerAction LedgerCall::GiveUp() {
  if (m_other_in_progress)
    return AnswerCaller(LedgerVerdict::kInProgress, false);
  return AnswerNotRun();
}

LedgerAction LedgerCall::OnStoreFailure() {
  if (++m_store_failures >= kMaxStoreFailures || !BeforeDispatchDeadline())
    return GiveUp();
  return ReadRowLater(kStoreRetryDelay);
}

LedgerAction LedgerCall::OnWritten(const absl::StatusOr<int64_t>& version) {
  if (m_step == Step::kRecording)
    return OnRecordWritten(version.status());
  if (m_step == Step::kClosing) {
    if (version.ok()) {
      m_other_in_progress = false;
      m_answer.replayed = true;
      return AnswerCaller(LedgerVerdict::kUnknown, false);
    }
    return OnStoreFailure();
  }
  if (version.ok()) {
    m_may_have_written = true;
    m_version = *version;
    return m_step == Step::kInserting ? MarkSent() : Dispatch();
  }
  if (NothingWritten(version.status()))
    return GiveUp();
  if (version.status().code() == absl::StatusCode::kFailedPrecondition) {
    // Another attempt holds the row and may run. If the row cannot be read now,
    // the caller must not conclude that its call was not run.
    m_other_in_progress = !m_may_have_written;
    return ReadRow();
  }
  m_may_have_written = true;
  return OnStoreFailure();
}

LedgerAction LedgerCall::OnRead(const absl::StatusOr<StoreRow>& row) {
  if (m_step == Step::kRecordReading)
    return OnRecordRead(row);
  if (row.status().code() == absl::StatusCode::kNotFound) {
    // The insert has not taken effect: a row written by this attempt is never
    // removed during the call.
    return BeforeDispatchDeadline() && m_version == 0 ? InsertRow(0) : GiveUp();
  }
  if (!row.ok())
    return OnStoreFailure();
  const auto record = DecodeLedgerRecord(row->value);
  if (!record.ok()) {
    LogStateChange("ledger", "bad_row", {{"key", row->key}});
    return AnswerFromRecord(LedgerVerdict::kUnknown, {});
  }
  if (record->attempt == m_input.attempt &&
      (m_sent_write_attempted || record->state == LedgerState::kStarted))
    return OnOwnAttemptRow(*row, *record);
  return OnOtherAttemptRow(*row, *record);
}

LedgerAction LedgerCall::OnOwnAttemptRow(const StoreRow& row,
                                         const LedgerRecord& record) {
  m_other_in_progress = false;
  m_may_have_written = true;
  m_version = row.version;
  switch (record.state) {
    case LedgerState::kStarted:
      return MarkSent();
    case LedgerState::kSent:
      return Dispatch();
    case LedgerState::kDone:
      return AnswerFromRecord(LedgerVerdict::kDone, record);
    default:
      // Sealed or closed by another entry before anything was sent.
      return AnswerCaller(LedgerVerdict::kNotRun, false);
  }
}

LedgerAction LedgerCall::OnOtherAttemptRow(const StoreRow& row,
                                           const LedgerRecord& record) {
  m_other_in_progress = false;
  if (record.body_sha256 != m_input.body_sha256 || record.kind != m_input.kind)
    return AnswerCaller(LedgerVerdict::kKeyReused, false);
  const bool deadline_passed = m_clock.UnixMillis() >= record.deadline_unix_ms;
  switch (record.state) {
    case LedgerState::kDone:
      return AnswerFromRecord(LedgerVerdict::kDone, record);
    case LedgerState::kUnknown:
      return AnswerFromRecord(LedgerVerdict::kUnknown, record);
    case LedgerState::kNotRun:
      return MayInsert() ? InsertRow(row.version) : GiveUp();
    case LedgerState::kSent:
      if (deadline_passed)
        return CloseAsUnknown(row, record);
      break;
    case LedgerState::kStarted:
      // Replacing the row prevents the other attempt from being sent, as
      // sealing it would.
      if (deadline_passed && MayInsert())
        return InsertRow(row.version);
      break;
  }
  m_other_in_progress = true;
  if (!BeforeDispatchDeadline())
    return GiveUp();
  const Duration delay = m_poll_delay;
  m_poll_delay = std::min(m_poll_delay * 2, kMaxPollDelay);
  return ReadRowLater(delay);
}

LedgerAction LedgerCall::OnDispatched(const DispatchResult& result) {
  if (result.status) {
    m_record.state = LedgerState::kDone;
    m_record.result_status = *result.status;
    m_record.result_body = result.body;
    m_answer.status = *result.status;
    m_answer.body = result.body;
    return AnswerCaller(LedgerVerdict::kDone, true);
  }
  if (result.certainly_not_sent)
    return AnswerNotRun();
  m_record.state = LedgerState::kUnknown;
  return AnswerCaller(LedgerVerdict::kUnknown, true);
}

LedgerAction LedgerCall::OnWaited() {
  if (m_step != Step::kRecordWaiting)
    return ReadRow();
  m_step = Step::kRecordReading;
  return LedgerRead{};
}

LedgerAction LedgerCall::OnAnswered() {
  if (!m_answer.record_pending) {
    m_step = Step::kEnded;
    return LedgerEnd{};
  }
  m_poll_delay = kStoreRetryDelay;
  if (m_version != 0)
    return RecordResult();
  m_step = Step::kRecordReading;
  return LedgerRead{};
}

LedgerAction LedgerCall::RecordResult() {
  m_step = Step::kRecording;
  return LedgerWrite{m_version, m_record};
}

LedgerAction LedgerCall::OnRecordWritten(const absl::Status& status) {
  if (status.ok()) {
    m_step = Step::kEnded;
    return LedgerEnd{};
  }
  return RecordResultLater();
}

LedgerAction LedgerCall::OnRecordRead(const absl::StatusOr<StoreRow>& row) {
  if (!row.ok() && row.status().code() != absl::StatusCode::kNotFound)
    return RecordResultLater();
  if (row.ok()) {
    const auto record = DecodeLedgerRecord(row->value);
    if (record.ok() && record->attempt == m_input.attempt &&
        MayReplace(record->state, m_record.state)) {
      m_version = row->version;
      return RecordResult();
    }
  }
  m_step = Step::kEnded;
  return LedgerEnd{};
}

// Only a result is retried without limit. The row of an attempt without a
// recorded result is closed by any entry after its deadline.
LedgerAction LedgerCall::RecordResultLater() {
  if (++m_store_failures >= kMaxStoreFailures &&
      m_record.state != LedgerState::kDone) {
    m_step = Step::kEnded;
    return LedgerEnd{};
  }
  m_step = Step::kRecordWaiting;
  const Duration delay = m_poll_delay;
  m_poll_delay = std::min(m_poll_delay * 2, kMaxRecordDelay);
  return LedgerWait{delay};
}

absl::StatusOr<LedgerRecord> LookUpLedger(const Clock& clock,
                                          TableService& store,
                                          const std::string& account,
                                          const std::string& key) {
  const std::string row_key = LedgerKey(account, key);
  for (int round = 0; round < kMaxLookUpAttempts; ++round) {
    const auto row = store.Get(kLedgerTable, row_key);
    if (!row.ok())
      return row.status();
    auto record = DecodeLedgerRecord(row->value);
    if (!record.ok())
      return record;
    if (clock.UnixMillis() < record->deadline_unix_ms)
      return record;
    if (record->state == LedgerState::kStarted)
      record->state = LedgerState::kNotRun;
    else if (record->state == LedgerState::kSent)
      record->state = LedgerState::kUnknown;
    else
      return record;
    const auto written = WriteRow(store, row_key, {row->version, *record});
    if (written.ok())
      return record;
    // After any failure that may have written the row, the row is read again.
    if (NothingWritten(written.status()))
      return written.status();
  }
  return MakeStatus(absl::StatusCode::kUnavailable,
                    "the ledger row changes too often");
}

LedgerAction LedgerAdapter::ExecuteAction(LedgerCall& call,
                                          const LedgerAction& action) const {
  return std::visit(
      Overloaded{[&](const LedgerRead&) {
                   return call.OnRead(store.Get(kLedgerTable, row_key));
                 },
                 [&](const LedgerWrite& write) {
                   return call.OnWritten(WriteRow(store, row_key, write));
                 },
                 [&](const LedgerDispatch& ledger_dispatch) {
                   return call.OnDispatched(
                       DispatchSafely(dispatch, ledger_dispatch.timeout));
                 },
                 [&](const LedgerWait& ledger_wait) {
                   wait(ledger_wait.duration);
                   return call.OnWaited();
                 },
                 [&](const LedgerAnswer& ledger_answer) {
                   answer(ledger_answer);
                   return call.OnAnswered();
                 },
                 [](const LedgerEnd&) -> LedgerAction { return LedgerEnd{}; }},
      action);
}

void RunLedgerCall(const Clock& clock,
                   TableService& store,
                   const LedgerCallInput& input,
                   const std::function<DispatchResult(Duration)>& dispatch,
                   const std::function<void(const LedgerAnswer&)>& answer,
                   const std::function<void(Duration)>& wait,
                   const std::function<bool()>& stopping) {
  LedgerCall call(clock, input);
  bool answered = false;
  const LedgerAdapter adapter{store, LedgerKey(input.account, input.key),
                              dispatch,
                              [&](const LedgerAnswer& ledger_answer) {
                                answered = true;
                                answer(ledger_answer);
                              },
                              wait};
  LedgerAction action = call.Start();
  while (!std::holds_alternative<LedgerEnd>(action)) {
    if (answered && std::holds_alternative<LedgerWait>(action) && stopping &&
        stopping())
      return;
    action = adapter.ExecuteAction(call, action);
  }
}

}  // namespace trefoilwick
