// Commits edits of the operators' table to the table service and distributes
// accepted versions to every instance.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
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
// Versions between two snapshots of the whole table.
inline constexpr int64_t kVersionsPerSnapshot = 256;

// Maximum number of changes in one read from the store, and in one response to
// a peer.
inline constexpr int kChangesPageSize = 256;

// Key of the change row of a version; keys sort in the order of versions.
std::string ConfigChangeKey(int64_t version);
// Name of the object that holds the table of a version, which is a multiple of
// kVersionsPerSnapshot.
std::string ConfigSnapshotName(int64_t version);

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
  // Newest accepted version; 0 when it is not known.
  int64_t version = 0;
  std::string reason;
  // When refused because of other edits: the changes of those edits.
  std::string difference;
};

// Commits `edited`, which was made from `base`; blocking. Refused when the
// accepted version is not base.version(). A lost answer is resolved by reading
// the change row and comparing `attempt`; kUnknown when that cannot be read
// either. `attempt` must be unique per edit; committing the same attempt again
// is idempotent. `edited` is checked first; its version is ignored. An edit
// that changes nothing is accepted without a new version.
CommitResult CommitTable(const Clock& clock,
                         TableService& store,
                         ObjectStore& objects,
                         const Table& base,
                         const Table& edited,
                         const std::string& author,
                         const std::string& attempt);

// Reads the newest accepted table from the last snapshot and the changes after
// it. Returns a table at version 0 when none was ever committed.
absl::StatusOr<Table> LoadTable(TableService& store, ObjectStore& objects);

// Reads the table of an earlier version, for differences and history. Returns
// kNotFound when there is no such version.
absl::StatusOr<Table> LoadTableAt(TableService& store,
                                  ObjectStore& objects,
                                  int64_t version);

// The newest accepted version; 0 when none was ever committed.
absl::StatusOr<int64_t> ReadHeadVersion(TableService& store);

// Change log entries newer than `after`, oldest first.
absl::StatusOr<std::vector<ConfigChange>> ReadChanges(TableService& store,
                                                      int64_t after,
                                                      int limit);

// Actions of ConfigSync. Each of the first four is answered by one event.

// ReadHeadVersion, answered by OnHead.
struct ReadHead {};
// ReadChanges with kChangesPageSize, answered by OnChanges.
struct FetchChanges {
  int64_t after = 0;
};
// LoadTable, answered by OnSnapshot.
struct FetchSnapshot {};
// Answered by OnChanges with what the peer's RecentDeltasSince(after) returns,
// or by OnSnapshot with the peer's table when that is nullopt. `after` is -1
// when this instance has no table yet.
struct FetchFromPeer {
  std::string peer;
  int64_t after = 0;
};
struct InstallTable {
  std::shared_ptr<const Table> table;
};
using ConfigSyncAction = std::
    variant<ReadHead, FetchChanges, FetchSnapshot, FetchFromPeer, InstallTable>;

// State machine that keeps this instance's table up to date. The installed
// version never decreases, whatever the order of replies. Fetches from the
// store first, and from a peer when the store failed or lacks the version. Not
// thread-safe.
class ConfigSync {
 public:
  explicit ConfigSync(uint64_t seed,
                      Duration poll_interval = std::chrono::seconds(1));
  void OnTick(TimePoint now);
  // Version that a peer has in force, learned by gossip. Replaces the peer's
  // previous version.
  void OnPeerVersion(TimePoint now, const std::string& peer, int64_t version);
  void OnHead(TimePoint now, const absl::StatusOr<int64_t>& head);
  // Changes newer than the `after` of the request, from the store or a peer.
  void OnChanges(TimePoint now,
                 int64_t after,
                 const absl::StatusOr<std::vector<TableDelta>>& changes);
  void OnSnapshot(TimePoint now, const absl::StatusOr<Table>& table);
  // A commit through this instance was accepted.
  void OnCommitted(TimePoint now, const Table& table);
  std::vector<ConfigSyncAction> TakeActions();
  // Null until a table was installed.
  std::shared_ptr<const Table> table() const { return m_table; }
  // The newest version that the store confirmed or a peer advertises. A version
  // that neither the store nor the advertising peer could supply does not
  // count.
  int64_t newest_known_version() const { return m_newest_known_version; }
  // Recent deltas, kept to serve peers; nullopt when `after` is too old and the
  // peer needs the whole table.
  std::optional<std::vector<TableDelta>> RecentDeltasSince(int64_t after) const;

 private:
  // Version that a peer advertises, when newer than this instance's table.
  struct AdvertisedVersion {
    int64_t version = 0;
    int failures = 0;
    TimePoint retry_at{};
  };
  // The one outstanding fetch; from the store when `peer` is empty.
  struct Fetch {
    std::string peer;
    int64_t after = 0;
    bool whole_table = false;
    TimePoint deadline{};
  };
  // Version of the installed table; -1 without a table.
  int64_t InstalledVersion() const { return m_table ? m_table->version() : -1; }
  Duration Backoff(Duration base, int failures, Duration limit);
  void Install(Table table);
  void AddRecentDelta(const TableDelta& delta);
  bool ApplyChanges(const std::vector<TableDelta>& changes);
  void UpdateNewestKnownVersion();
  void StoreFailed(TimePoint now);
  void FetchSucceeded(TimePoint now);
  void FetchFailed(TimePoint now, bool source_failed);
  std::vector<std::string> CandidatePeers(TimePoint now) const;
  void RequestMissingVersions(TimePoint now);
  void StartFetch(TimePoint now, const std::string& peer);

  Random m_random;
  Duration m_poll_interval;
  TimePoint m_next_poll{};
  bool m_head_pending = false;
  TimePoint m_head_deadline{};
  // Newest version confirmed by the store; -1 before the first answer.
  int64_t m_head_version = -1;
  int m_store_failures = 0;
  // The store answered without the version that a peer advertises.
  bool m_store_behind_peers = false;
  std::optional<Fetch> m_fetch;
  TimePoint m_next_fetch{};
  int m_fetch_failures = 0;
  int m_gap_replies = 0;
  std::shared_ptr<const Table> m_table;
  int64_t m_newest_known_version = 0;
  std::map<std::string, AdvertisedVersion> m_advertised_versions;
  std::deque<TableDelta> m_recent_deltas;
  size_t m_recent_rows = 0;
  std::vector<ConfigSyncAction> m_actions;
};

}  // namespace trefoilwick
