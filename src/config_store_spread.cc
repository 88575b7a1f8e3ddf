#include <algorithm>
#include <string>

#include "trefoilwick/config_store.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A store call that takes 1 s is slow but has not failed.
constexpr Duration kHeadDeadline = seconds(3);
constexpr Duration kChangesDeadline = seconds(3);
// A whole table is about 2 MB at 12,000 accounts and LoadTable makes several
// calls.
constexpr Duration kWholeTableDeadline = seconds(10);
// Maximum interval between polls of a failing store. A recovery is noticed
// within about this time, and sooner through gossip.
constexpr Duration kMaxPollBackoff = seconds(8);
constexpr Duration kFetchBackoff = milliseconds(250);
constexpr Duration kMaxFetchBackoff = seconds(8);
constexpr Duration kAdvertisedVersionBackoff = seconds(1);
constexpr Duration kMaxAdvertisedVersionBackoff = seconds(60);
// With more changes than this, the whole table is fewer bytes than the changes.
constexpr int64_t kMaxChangesBehind = 2048;
// Consecutive replies with a gap after which the whole table is fetched.
constexpr int kMaxGapReplies = 2;
// Limits on the deltas kept for peers: one per version of a snapshot interval,
// and no more rows than two full tables.
constexpr size_t kMaxRecentDeltas = kVersionsPerSnapshot;
constexpr size_t kMaxRecentRows = 24'000;

size_t RowCount(const TableDelta& delta) {
  return delta.kinds.size() + delta.accounts.size() +
         delta.removed_kinds.size() + delta.removed_accounts.size();
}

}  // namespace

ConfigSync::ConfigSync(uint64_t seed, Duration poll_interval)
    : m_random(seed), m_poll_interval(poll_interval) {}

// Doubles with every failure. The random factor of 0.5 to 1.5 spreads the
// retries of instances that failed together.
Duration ConfigSync::Backoff(Duration base, int failures, Duration limit) {
  const int doublings = std::clamp(failures - 1, 0, 10);
  const Duration delay = std::min(base * (int64_t{1} << doublings), limit);
  return Duration(static_cast<int64_t>(static_cast<double>(delay.count()) *
                                       (0.5 + m_random.UniformDouble())));
}

void ConfigSync::OnTick(TimePoint now) {
  if (m_head_pending && now >= m_head_deadline) {
    m_head_pending = false;
    StoreFailed(now);
  }
  if (m_fetch && now >= m_fetch->deadline)
    FetchFailed(now, true);
  if (!m_head_pending && now >= m_next_poll) {
    m_head_pending = true;
    m_head_deadline = now + kHeadDeadline;
    m_next_poll = now + Duration(static_cast<int64_t>(
                            static_cast<double>(m_poll_interval.count()) *
                            (0.75 + m_random.UniformDouble() / 2)));
    m_actions.emplace_back(ReadHead{});
  }
  RequestMissingVersions(now);
}

void ConfigSync::OnPeerVersion(TimePoint now,
                               const std::string& peer,
                               int64_t version) {
  if (version <= InstalledVersion()) {
    m_advertised_versions.erase(peer);
  } else {
    AdvertisedVersion& advertised = m_advertised_versions[peer];
    if (advertised.version != version)
      advertised = AdvertisedVersion{version};
  }
  UpdateNewestKnownVersion();
  RequestMissingVersions(now);
}

void ConfigSync::OnHead(TimePoint now, const absl::StatusOr<int64_t>& head) {
  m_head_pending = false;
  if (!head.ok()) {
    StoreFailed(now);
    RequestMissingVersions(now);
    return;
  }
  const bool recovered = m_store_failures > 0;
  m_store_failures = 0;
  m_head_version = std::max(m_head_version, *head);
  if (m_head_version > InstalledVersion())
    m_store_behind_peers = false;
  // Instances notice the recovery at different times, because polls have
  // jitter, so their fetches are spread as well.
  if (recovered && !m_fetch)
    m_next_fetch = now;
  UpdateNewestKnownVersion();
  RequestMissingVersions(now);
}

void ConfigSync::OnChanges(
    TimePoint now,
    int64_t after,
    const absl::StatusOr<std::vector<TableDelta>>& changes) {
  // Replies to earlier requests are used when they contain something new, but
  // do not count as an answer of the source of the present fetch.
  const bool answers_fetch = m_fetch && m_fetch->after == after &&
                             (!m_fetch->whole_table || !m_fetch->peer.empty());
  const bool progress = changes.ok() && ApplyChanges(*changes);
  if (answers_fetch) {
    if (!changes.ok()) {
      FetchFailed(now, true);
    } else if (progress || InstalledVersion() > after) {
      FetchSucceeded(now);
    } else {
      m_gap_replies += changes->empty() ? 0 : 1;
      FetchFailed(now, false);
    }
  }
  RequestMissingVersions(now);
}

void ConfigSync::OnSnapshot(TimePoint now, const absl::StatusOr<Table>& table) {
  const bool answers_fetch =
      m_fetch && (m_fetch->whole_table || !m_fetch->peer.empty());
  const bool newer = table.ok() && table->version() > InstalledVersion();
  if (newer) {
    m_recent_deltas.clear();
    m_recent_rows = 0;
    Install(*table);
  }
  if (answers_fetch) {
    if (newer || InstalledVersion() > m_fetch->after)
      FetchSucceeded(now);
    else
      FetchFailed(now, !table.ok());
  }
  RequestMissingVersions(now);
}

void ConfigSync::OnCommitted(TimePoint now, const Table& table) {
  m_head_version = std::max(m_head_version, table.version());
  if (table.version() > InstalledVersion()) {
    if (m_table && table.version() == InstalledVersion() + 1) {
      AddRecentDelta(DiffTables(*m_table, table));
    } else {
      m_recent_deltas.clear();
      m_recent_rows = 0;
    }
    Install(table);
  }
  RequestMissingVersions(now);
}

std::vector<ConfigSyncAction> ConfigSync::TakeActions() {
  return std::exchange(m_actions, {});
}

std::optional<std::vector<TableDelta>> ConfigSync::RecentDeltasSince(
    int64_t after) const {
  if (m_table && after >= InstalledVersion())
    return std::vector<TableDelta>();
  if (m_recent_deltas.empty() || m_recent_deltas.front().version > after + 1)
    return std::nullopt;
  std::vector<TableDelta> changes;
  for (const TableDelta& delta : m_recent_deltas)
    if (delta.version > after)
      changes.push_back(delta);
  return changes;
}

void ConfigSync::Install(Table table) {
  m_table = std::make_shared<const Table>(std::move(table));
  m_store_behind_peers = false;
  m_gap_replies = 0;
  std::erase_if(m_advertised_versions, [&](const auto& entry) {
    return entry.second.version <= InstalledVersion();
  });
  UpdateNewestKnownVersion();
  m_actions.emplace_back(InstallTable{m_table});
}

void ConfigSync::AddRecentDelta(const TableDelta& delta) {
  m_recent_deltas.push_back(delta);
  m_recent_rows += RowCount(delta);
  while (m_recent_deltas.size() > kMaxRecentDeltas ||
         (m_recent_rows > kMaxRecentRows && !m_recent_deltas.empty())) {
    m_recent_rows -= RowCount(m_recent_deltas.front());
    m_recent_deltas.pop_front();
  }
}

// Applies the changes that follow the installed version without a gap;
// `changes` may be in any order. Returns false when nothing was applied.
bool ConfigSync::ApplyChanges(const std::vector<TableDelta>& changes) {
  std::map<int64_t, const TableDelta*> by_version;
  for (const TableDelta& delta : changes)
    by_version.emplace(delta.version, &delta);
  const Table base = m_table ? *m_table : Table();
  std::vector<TableDelta> applicable;
  for (auto it = by_version.upper_bound(base.version());
       it != by_version.end() &&
       it->first ==
           base.version() + static_cast<int64_t>(applicable.size()) + 1;
       ++it)
    applicable.push_back(*it->second);
  if (applicable.empty())
    return false;
  auto table = ApplyDeltas(base, applicable);
  if (!table.ok())
    return false;
  for (const TableDelta& delta : applicable)
    AddRecentDelta(delta);
  Install(*std::move(table));
  return true;
}

void ConfigSync::UpdateNewestKnownVersion() {
  m_newest_known_version =
      std::max({int64_t{0}, InstalledVersion(), m_head_version});
  for (const auto& [peer, advertised] : m_advertised_versions)
    if (advertised.failures == 0)
      m_newest_known_version =
          std::max(m_newest_known_version, advertised.version);
}

void ConfigSync::StoreFailed(TimePoint now) {
  ++m_store_failures;
  m_next_poll = std::max(
      m_next_poll,
      now + Backoff(m_poll_interval, m_store_failures, kMaxPollBackoff));
}

void ConfigSync::FetchSucceeded(TimePoint now) {
  if (m_fetch->peer.empty())
    m_store_failures = 0;
  m_fetch.reset();
  m_fetch_failures = 0;
  m_next_fetch = now;
}

// `source_failed` is true when the source did not answer or returned an error,
// and false when its answer had nothing to apply.
void ConfigSync::FetchFailed(TimePoint now, bool source_failed) {
  const Fetch fetch = *std::exchange(m_fetch, std::nullopt);
  ++m_fetch_failures;
  m_next_fetch =
      now + Backoff(kFetchBackoff, m_fetch_failures, kMaxFetchBackoff);
  if (fetch.peer.empty()) {
    if (source_failed)
      ++m_store_failures;
    else
      m_store_behind_peers = true;
    // Peers are asked at once.
    if (!CandidatePeers(now).empty())
      m_next_fetch = now;
    return;
  }
  m_store_behind_peers = false;
  const auto it = m_advertised_versions.find(fetch.peer);
  if (it != m_advertised_versions.end()) {
    AdvertisedVersion& advertised = it->second;
    ++advertised.failures;
    advertised.retry_at =
        now + Backoff(kAdvertisedVersionBackoff, advertised.failures,
                      kMaxAdvertisedVersionBackoff);
  }
  UpdateNewestKnownVersion();
}

std::vector<std::string> ConfigSync::CandidatePeers(TimePoint now) const {
  std::vector<std::string> peers;
  for (const auto& [peer, advertised] : m_advertised_versions)
    if (advertised.version > InstalledVersion() && advertised.retry_at <= now)
      peers.push_back(peer);
  return peers;
}

void ConfigSync::RequestMissingVersions(TimePoint now) {
  if (m_fetch || now < m_next_fetch)
    return;
  const auto peers = CandidatePeers(now);
  const bool store_has_newer = !m_table || m_head_version > InstalledVersion();
  if (!store_has_newer && peers.empty())
    return;
  const bool store_usable = m_store_failures == 0 && !m_store_behind_peers;
  if (!store_usable && !peers.empty())
    StartFetch(now, peers[m_random.UniformBelow(peers.size())]);
  else
    StartFetch(now, "");
}

void ConfigSync::StartFetch(TimePoint now, const std::string& peer) {
  Fetch fetch{peer, InstalledVersion(), !m_table};
  if (!peer.empty()) {
    m_actions.emplace_back(FetchFromPeer{peer, fetch.after});
  } else {
    fetch.whole_table = fetch.whole_table || m_gap_replies >= kMaxGapReplies ||
                        m_head_version - InstalledVersion() > kMaxChangesBehind;
    if (fetch.whole_table)
      m_actions.emplace_back(FetchSnapshot{});
    else
      m_actions.emplace_back(FetchChanges{fetch.after});
  }
  fetch.deadline =
      now + (fetch.whole_table ? kWholeTableDeadline : kChangesDeadline);
  m_fetch = std::move(fetch);
}

}  // namespace trefoilwick
