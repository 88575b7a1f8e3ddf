#include "trefoilwick/config_store.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace trefoilwick {
namespace {

using nlohmann::json;

constexpr char kChangePrefix[] = "change/";
// Digits of a version in keys; enough for every int64_t.
constexpr size_t kVersionDigits = 19;
// Maximum number of tries of a commit while its outcome is unknown. There is no
// pause between them: the deadline of the store client bounds each.
constexpr int kMaxCommitTries = 3;
// Snapshot intervals that LoadTable goes back when snapshots are missing. The
// log is permanent, but replaying more than this takes longer than fetching
// from a peer.
constexpr int64_t kMaxSnapshotsBack = 16;

std::string PaddedVersion(int64_t version) {
  const std::string digits = std::to_string(std::max<int64_t>(version, 0));
  return std::string(kVersionDigits - digits.size(), '0') + digits;
}

absl::Status DataLoss(const std::string& message) {
  return MakeStatus(absl::StatusCode::kDataLoss, message);
}

// The head row: the accepted version as decimal text.
struct Head {
  int64_t version = 0;
  int64_t row_version = 0;
};

absl::StatusOr<Head> ReadHeadRow(TableService& store) {
  const auto row = store.Get(kConfigTable, kConfigHeadKey);
  if (absl::IsNotFound(row.status()))
    return Head{};
  if (!row.ok())
    return row.status();
  Head head{0, row->version};
  const char* end = row->value.data() + row->value.size();
  const auto parsed = std::from_chars(row->value.data(), end, head.version);
  if (parsed.ec != std::errc() || parsed.ptr != end || head.version < 1)
    return DataLoss("malformed head row \"" + row->value + "\"");
  return head;
}

absl::StatusOr<ConfigChange> ReadChange(TableService& store, int64_t version) {
  const auto row = store.Get(kConfigTable, ConfigChangeKey(version));
  if (!row.ok())
    return row.status();
  return DecodeConfigChange(row->value);
}

// Applies the changes after `table` up to version `last_version`, one page at a
// time. Calls `on_page` after each page.
template <typename PageCallback>
absl::StatusOr<Table> Replay(TableService& store,
                             Table table,
                             int64_t last_version,
                             PageCallback on_page) {
  while (table.version() < last_version) {
    const auto limit = static_cast<int>(
        std::min<int64_t>(kChangesPageSize, last_version - table.version()));
    const auto changes = ReadChanges(store, table.version(), limit);
    if (!changes.ok())
      return changes.status();
    std::vector<TableDelta> deltas;
    for (const ConfigChange& change : *changes)
      deltas.push_back(change.delta);
    auto next = ApplyDeltas(table, deltas);
    if (!next.ok())
      return DataLoss("gap in the change log: " +
                      std::string(next.status().message()));
    table = *std::move(next);
    on_page(table);
    if (static_cast<int>(deltas.size()) < limit)
      break;
  }
  return table;
}

// One CommitTable call.
class Commit {
 public:
  Commit(TableService& store,
         ObjectStore& objects,
         const Table& base,
         const ConfigChange& change)
      : m_store(store), m_objects(objects), m_base(base), m_change(change) {}
  CommitResult Run();

 private:
  std::optional<CommitResult> TryCommit();
  std::optional<CommitResult> ResolveOutcome();
  std::optional<CommitResult> HandleBaseMismatch(int64_t head);
  CommitResult MakeAccepted() const;
  CommitResult MakeRefused(const std::string& reason);
  absl::Status WriteRows(const Head& head);
  absl::StatusOr<Table> LoadNewest();

  TableService& m_store;
  ObjectStore& m_objects;
  const Table& m_base;
  const ConfigChange& m_change;
  // Error of the last call that left the outcome unknown.
  std::string m_unresolved_error;
};

CommitResult Commit::MakeAccepted() const {
  return {CommitVerdict::kAccepted, m_change.delta.version, "", ""};
}

// Replays the log from the base, or loads a snapshot when the base is old.
absl::StatusOr<Table> Commit::LoadNewest() {
  const int64_t last_version = m_base.version() + kChangesPageSize;
  auto table = Replay(m_store, m_base, last_version, [](const Table&) {});
  if (!table.ok() || table->version() < last_version)
    return table;
  return LoadTable(m_store, m_objects);
}

// Refusal of an edit whose base is not the accepted version.
CommitResult Commit::MakeRefused(const std::string& reason) {
  CommitResult result{CommitVerdict::kRefused, 0, reason, ""};
  const auto newest = LoadNewest();
  if (!newest.ok()) {
    result.reason += "; the difference could not be read: " +
                     std::string(newest.status().message());
    return result;
  }
  result.version = newest->version();
  result.difference = FormatDelta(m_base, DiffTables(m_base, *newest));
  return result;
}

// Looks for the version that this edit would create. Returns nullopt when there
// is no such version yet or it could not be read.
std::optional<CommitResult> Commit::ResolveOutcome() {
  const auto other = ReadChange(m_store, m_change.delta.version);
  if (!other.ok()) {
    if (!absl::IsNotFound(other.status()))
      m_unresolved_error = std::string(other.status().message());
    return std::nullopt;
  }
  if (other->attempt == m_change.attempt)
    return MakeAccepted();
  return MakeRefused("version " + std::to_string(m_change.delta.version) +
                     " was committed by " + other->author +
                     " first; the edit is based on version " +
                     std::to_string(m_base.version()));
}

std::optional<CommitResult> Commit::HandleBaseMismatch(int64_t head) {
  if (head < m_base.version()) {
    return CommitResult{CommitVerdict::kRefused, head,
                        "the edit is based on version " +
                            std::to_string(m_base.version()) +
                            ", which was never accepted",
                        ""};
  }
  return ResolveOutcome();
}

absl::Status Commit::WriteRows(const Head& head) {
  const int64_t version = m_change.delta.version;
  StoreTransaction transaction;
  transaction.checks = {{kConfigTable, kConfigHeadKey, head.row_version},
                        {kConfigTable, ConfigChangeKey(version), 0}};
  transaction.puts = {
      {kConfigTable, kConfigHeadKey, std::to_string(version)},
      {kConfigTable, ConfigChangeKey(version), EncodeConfigChange(m_change)}};
  return m_store.Transact(transaction).status();
}

// Returns nullopt when the outcome is still unknown. An absent change row after
// a lost answer proves nothing, since the write may still be in flight. Writing
// again settles it, because at most one of the two writes can pass the checks.
std::optional<CommitResult> Commit::TryCommit() {
  const auto head = ReadHeadRow(m_store);
  if (!head.ok()) {
    m_unresolved_error = std::string(head.status().message());
    return std::nullopt;
  }
  if (head->version != m_base.version())
    return HandleBaseMismatch(head->version);
  const absl::Status written = WriteRows(*head);
  if (written.ok())
    return MakeAccepted();
  m_unresolved_error = std::string(written.message());
  return ResolveOutcome();
}

CommitResult Commit::Run() {
  for (int i = 0; i < kMaxCommitTries; ++i)
    if (auto result = TryCommit())
      return *std::move(result);
  return {CommitVerdict::kUnknown, 0,
          "the table service gave no clear answer: " + m_unresolved_error, ""};
}

CommitResult CommitEmptyEdit(TableService& store, const Table& base) {
  const auto head = ReadHeadRow(store);
  if (!head.ok())
    return {CommitVerdict::kUnknown, 0, std::string(head.status().message()),
            ""};
  if (head->version == base.version())
    return {CommitVerdict::kAccepted, head->version, "nothing to change", ""};
  return {CommitVerdict::kRefused, head->version,
          "the edit is based on version " + std::to_string(base.version()) +
              "; version " + std::to_string(head->version) + " is accepted",
          ""};
}

// Failures are ignored: a missing snapshot only makes readers replay more
// changes, and LoadTable writes it later.
void WriteSnapshot(ObjectStore& objects, const Table& table) {
  if (table.version() > 0 && table.version() % kVersionsPerSnapshot == 0) {
    // NOLINTNEXTLINE(bugprone-unused-return-value)
    objects
        .PutObject(ConfigSnapshotName(table.version()), EncodeTable(table),
                   true)
        .IgnoreError();
  }
}

// Returns the newest snapshot at or before `head`, or an empty table when the
// whole log is short enough.
absl::StatusOr<Table> ReadSnapshot(ObjectStore& objects, int64_t head) {
  int64_t version = head - head % kVersionsPerSnapshot;
  absl::Status error;
  for (int64_t i = 0; i < kMaxSnapshotsBack && version > 0; ++i) {
    const auto bytes = objects.GetObject(ConfigSnapshotName(version));
    if (bytes.ok()) {
      auto table = DecodeTable(*bytes);
      if (table.ok() && table->version() == version)
        return table;
      error = DataLoss("malformed snapshot");
    } else {
      error = bytes.status();
      // Only an absent snapshot is a reason to look for an older one.
      if (!absl::IsNotFound(error))
        break;
    }
    version -= kVersionsPerSnapshot;
  }
  if (version <= 0 || head <= kMaxSnapshotsBack * kVersionsPerSnapshot)
    return Table();
  return error;
}

}  // namespace

std::string ConfigChangeKey(int64_t version) {
  return kChangePrefix + PaddedVersion(version);
}

std::string ConfigSnapshotName(int64_t version) {
  return "config/snapshot/" + PaddedVersion(version);
}

// One line of JSON for the origin of the change, then the delta.
std::string EncodeConfigChange(const ConfigChange& change) {
  const json origin{{"attempt", change.attempt},
                    {"author", change.author},
                    {"unix_ms", change.unix_ms}};
  return origin.dump(-1, ' ', false, json::error_handler_t::replace) + "\n" +
         EncodeDelta(change.delta);
}

absl::StatusOr<ConfigChange> DecodeConfigChange(const std::string& bytes) {
  const auto malformed = MakeStatus(absl::StatusCode::kInvalidArgument,
                                    "malformed change log entry");
  const size_t end = bytes.find('\n');
  if (end == std::string::npos)
    return malformed;
  const json origin = json::parse(bytes.substr(0, end), nullptr, false);
  if (!origin.is_object() || !origin.contains("attempt") ||
      !origin["attempt"].is_string() || !origin.contains("author") ||
      !origin["author"].is_string() || !origin.contains("unix_ms") ||
      !origin["unix_ms"].is_number_integer())
    return malformed;
  auto delta = DecodeDelta(bytes.substr(end + 1));
  if (!delta.ok())
    return malformed;
  return ConfigChange{*std::move(delta), origin["attempt"], origin["author"],
                      origin["unix_ms"]};
}

CommitResult CommitTable(const Clock& clock,
                         TableService& store,
                         ObjectStore& objects,
                         const Table& base,
                         const Table& edited,
                         const std::string& author,
                         const std::string& attempt) {
  Findings findings;
  CheckTable(edited, "edit", findings);
  if (!findings.empty())
    return {CommitVerdict::kRefused, 0, findings.ToString(), ""};
  const Table next = edited.WithVersion(base.version() + 1);
  const ConfigChange change{DiffTables(base, next), attempt, author,
                            clock.UnixMillis()};
  if (change.delta.empty())
    return CommitEmptyEdit(store, base);
  CommitResult result = Commit(store, objects, base, change).Run();
  if (result.verdict == CommitVerdict::kAccepted)
    WriteSnapshot(objects, next);
  return result;
}

absl::StatusOr<Table> LoadTable(TableService& store, ObjectStore& objects) {
  const auto head = ReadHeadRow(store);
  if (!head.ok())
    return head.status();
  auto snapshot = ReadSnapshot(objects, head->version);
  if (!snapshot.ok())
    return snapshot;
  auto table =
      Replay(store, *std::move(snapshot), std::numeric_limits<int64_t>::max(),
             [&](const Table& page) { WriteSnapshot(objects, page); });
  if (table.ok() && table->version() < head->version)
    return DataLoss("the change log ends at version " +
                    std::to_string(table->version()) + ", the head is " +
                    std::to_string(head->version));
  return table;
}

absl::StatusOr<Table> LoadTableAt(TableService& store,
                                  ObjectStore& objects,
                                  int64_t version) {
  auto snapshot = ReadSnapshot(objects, version);
  if (!snapshot.ok())
    return snapshot;
  auto table =
      Replay(store, *std::move(snapshot), version, [](const Table&) {});
  if (table.ok() && table->version() != version)
    return MakeStatus(
        absl::StatusCode::kNotFound,
        "version " + std::to_string(version) + " was never accepted");
  return table;
}

absl::StatusOr<int64_t> ReadHeadVersion(TableService& store) {
  const auto head = ReadHeadRow(store);
  if (!head.ok())
    return head.status();
  return head->version;
}

absl::StatusOr<std::vector<ConfigChange>> ReadChanges(TableService& store,
                                                      int64_t after,
                                                      int limit) {
  const auto rows =
      store.Scan(kConfigTable, kChangePrefix, ConfigChangeKey(after), limit);
  if (!rows.ok())
    return rows.status();
  std::vector<ConfigChange> changes;
  for (const StoreRow& row : *rows) {
    auto change = DecodeConfigChange(row.value);
    if (!change.ok() || ConfigChangeKey(change->delta.version) != row.key)
      return DataLoss("malformed change log entry " + row.key);
    changes.push_back(*std::move(change));
  }
  return changes;
}

}  // namespace trefoilwick
