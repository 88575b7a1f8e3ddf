// Commits edits of the operators' table to the table service and spreads
// accepted versions to every instance.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilwick/kernel.h"
#include "trefoilwick/platform.h"
#include "trefoilwick/table.h"

namespace trefoilwick {

inline constexpr char kConfigTable[] = "config";
inline constexpr char kConfigHeadKey[] = "head";
// A snapshot of the whole table is written every so many versions.
inline constexpr int64_t kSnapshotInterval = 256;

// Key of the change row of a version; keys order like versions.
std::string ConfigChangeKey(int64_t version);

// One entry of the change log.
struct ConfigChange {
  TableDelta delta;
  std::string attempt;
  std::string author;
  int64_t unix_ms = 0;
};
std::string EncodeConfigChange(const ConfigChange& change);
absl::StatusOr<ConfigChange> DecodeConfigChange(const std::string& bytes);

enum class CommitVerdict : uint8_t { kAccepted, kRefused, kUnknown };
inline constexpr auto kCommitVerdictNames = MakeEnumTable<CommitVerdict>({
    {CommitVerdict::kAccepted, "accepted"},
    {CommitVerdict::kRefused, "refused"},
    {CommitVerdict::kUnknown, "unknown"},
});
struct CommitResult {
  CommitVerdict verdict = CommitVerdict::kRefused;
  // Version now accepted, when known.
  int64_t version = 0;
  std::string reason;
  // When refused since another edit came first: what that edit changed.
  std::string difference;
};

// Commits `edited`, which was made from `base`. Refused when the accepted
// version is not base.version(). A lost answer is resolved by reading the
// change row and comparing `attempt`; kUnknown when that cannot be read either.
// Blocking. `attempt` must be unique per edit; committing the same attempt
// again is idempotent.
CommitResult CommitTable(const Clock& clock,
                         TableService& store,
                         ObjectStore& objects,
                         const Table& base,
                         const Table& edited,
                         const std::string& author,
                         const std::string& attempt);

// Reads the newest accepted table: snapshot and later changes. A table at
// version 0 when none was ever committed.
absl::StatusOr<Table> LoadTable(TableService& store, ObjectStore& objects);

// Change log entries newer than `after`, oldest first.
absl::StatusOr<std::vector<ConfigChange>> ReadChanges(TableService& store,
                                                      int64_t after,
                                                      int limit);

// Actions of ConfigSpread.
struct ReadHead {};
struct FetchChanges {
  int64_t after = 0;
};
struct FetchSnapshot {};
struct FetchFromPeer {
  std::string peer;
  int64_t after = 0;
};
struct InstallTable {
  std::shared_ptr<const Table> table;
};
using SpreadAction = std::
    variant<ReadHead, FetchChanges, FetchSnapshot, FetchFromPeer, InstallTable>;

// Keeps this instance's table up to date; a state machine. Versions only grow,
// whatever order replies arrive in. Not thread-safe.
class ConfigSpread {
 public:
  explicit ConfigSpread(uint64_t seed,
                        Duration poll_interval = std::chrono::seconds(1));
  void OnTick(TimePoint now);
  // Version that a peer has in force, from gossip.
  void OnPeerVersion(TimePoint now, const std::string& peer, int64_t version);
  void OnHead(TimePoint now, const absl::StatusOr<int64_t>& head);
  // Changes newer than the `after` of the request, from the store or a peer.
  void OnChanges(TimePoint now,
                 int64_t after,
                 const absl::StatusOr<std::vector<TableDelta>>& changes);
  void OnSnapshot(TimePoint now, const absl::StatusOr<Table>& table);
  // A commit through this instance was accepted.
  void OnCommitted(TimePoint now, const Table& table);
  std::vector<SpreadAction> TakeActions();
  // Null until a table was installed.
  std::shared_ptr<const Table> table() const { return m_table; }
  int64_t newest_known() const { return m_newest; }
  // Recent deltas kept to serve peers; nullopt when `after` is too old and the
  // peer needs the whole table.
  std::optional<std::vector<TableDelta>> RecentSince(int64_t after) const;

 private:
  void Install(std::shared_ptr<const Table> table);
  void RequestMissing(TimePoint now);

  Random m_random;
  Duration m_poll_interval;
  TimePoint m_next_poll{};
  TimePoint m_fetch_deadline{};
  std::shared_ptr<const Table> m_table;
  int64_t m_newest = 0;
  std::string m_newest_peer;
  bool m_store_failed = false;
  std::vector<TableDelta> m_recent;
  std::vector<SpreadAction> m_actions;
};

}  // namespace trefoilwick
