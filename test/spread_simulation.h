// Many ConfigSync instances with a store and gossip in virtual time.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "table_samples.h"
#include "trefoilwick/config_store.h"

namespace trefoilwick {

enum class StoreMode : uint8_t {
  kHealthy,  // 5 ms a call
  kSlow,     // 1 s a call
  kDown,     // fails after 5 ms
  kHanging,  // fails after 2 s, the client's deadline
};

struct ConfigSyncSimulationOptions {
  int nodes = 13;
  int accounts = 4;
  uint64_t seed = 1;
};

// Payload bytes, without HTTP and Thrift framing.
struct ConfigSyncCounts {
  uint64_t store_reads = 0;
  uint64_t head_reads = 0;
  uint64_t store_bytes = 0;
  uint64_t peer_fetches = 0;
  uint64_t peer_bytes = 0;
};

// Every instance ticks each 50 ms and exchanges versions with one random other
// instance a second, at a random phase. Peer calls take 1 ms.
class ConfigSyncSimulation {
 public:
  explicit ConfigSyncSimulation(const ConfigSyncSimulationOptions& options)
      : m_random(options.seed),
        m_table(SampleTable(options.accounts, 0)),
        m_initial_table(m_table),
        m_table_bytes(EncodeTable(m_table).size()) {
    for (int i = 0; i < options.nodes; ++i) {
      m_nodes.push_back(std::make_unique<ConfigSync>(m_random.Next()));
      ScheduleTick(i, RandomDelay(std::chrono::milliseconds(50)));
      ScheduleGossip(i, RandomDelay(std::chrono::seconds(1)));
    }
  }

  void SetStoreMode(StoreMode mode) { m_store_mode = mode; }

  // The store accepts a change of one row. With `through_instance`, instance 0
  // made the commit and has the new table.
  void CommitChange(bool through_instance) {
    m_table = WithWeight(m_table, "account-1",
                         static_cast<double>(m_table.version() % 1000) + 2)
                  .WithVersion(m_table.version() + 1);
    const Table base =
        m_change_log.empty() ? m_initial_table : m_previous_table;
    m_change_log.push_back(DiffTables(base, m_table));
    m_previous_table = m_table;
    if (through_instance) {
      m_nodes[0]->OnCommitted(m_now, m_table);
      ProcessActions(0);
    }
    m_committed_at = m_now;
  }

  // Replaces an instance by one that has no table.
  void RestartNode(int node) {
    m_nodes[node] = std::make_unique<ConfigSync>(m_random.Next());
  }

  void RunFor(Duration time) {
    const TimePoint end = m_now + time;
    while (m_events.top().at <= end)
      RunNextEvent();
    m_now = end;
  }

  // Time from the last commit until every instance has it; nullopt after
  // `limit`.
  std::optional<Duration> RunUntilSynced(Duration limit) {
    while (m_now < m_committed_at + limit) {
      const bool done =
          std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& node) {
            return node->table() &&
                   node->table()->version() == m_table.version();
          });
      if (done)
        return m_now - m_committed_at;
      RunFor(std::chrono::milliseconds(10));
    }
    return std::nullopt;
  }

  const ConfigSyncCounts& counts() const { return m_counts; }
  // Most store reads begun in one second of virtual time.
  uint64_t peak_store_reads_per_second() const {
    uint64_t peak = 0;
    for (const auto& [second, reads] : m_store_reads_by_second)
      peak = std::max(peak, reads);
    return peak;
  }
  void ResetCounts() {
    m_counts = ConfigSyncCounts();
    m_store_reads_by_second.clear();
  }

 private:
  struct Event {
    TimePoint at;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  Duration RandomDelay(Duration below) {
    return Duration(static_cast<int64_t>(
        m_random.UniformBelow(static_cast<uint64_t>(below.count()))));
  }

  void Schedule(Duration delay, std::function<void()> run) {
    m_events.push({m_now + delay, m_next_sequence++, std::move(run)});
  }

  void RunNextEvent() {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.run();
  }

  void ScheduleTick(int node, Duration delay) {
    Schedule(delay, [this, node] {
      m_nodes[node]->OnTick(m_now);
      ProcessActions(node);
      ScheduleTick(node, std::chrono::milliseconds(50));
    });
  }

  void ScheduleGossip(int node, Duration delay) {
    Schedule(delay, [this, node] {
      const int other = static_cast<int>(m_random.UniformBelow(m_nodes.size()));
      if (other != node) {
        NotifyVersion(node, other);
        NotifyVersion(other, node);
      }
      ScheduleGossip(node, std::chrono::seconds(1));
    });
  }

  void NotifyVersion(int from, int to) {
    if (!m_nodes[from]->table())
      return;
    m_nodes[to]->OnPeerVersion(m_now, std::to_string(from),
                               m_nodes[from]->table()->version());
    ProcessActions(to);
  }

  // Begins a store read; returns whether it will succeed.
  bool BeginStoreRead() {
    ++m_counts.store_reads;
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            m_now.time_since_epoch())
                            .count();
    ++m_store_reads_by_second[second];
    return m_store_mode == StoreMode::kHealthy ||
           m_store_mode == StoreMode::kSlow;
  }

  Duration StoreDelay() const {
    if (m_store_mode == StoreMode::kSlow)
      return std::chrono::seconds(1);
    if (m_store_mode == StoreMode::kHanging)
      return std::chrono::seconds(2);
    return std::chrono::milliseconds(5);
  }

  // Answers a read with the present content of the store; the answer arrives
  // later.
  template <typename T>
  void Reply(int node,
             Duration delay,
             absl::StatusOr<T> value,
             void (ConfigSync::*event)(TimePoint, const absl::StatusOr<T>&)) {
    Schedule(delay, [this, node, value, event] {
      (m_nodes[node].get()->*event)(m_now, value);
      ProcessActions(node);
    });
  }

  void ReplyChanges(int node,
                    Duration delay,
                    int64_t after,
                    const absl::StatusOr<std::vector<TableDelta>>& changes) {
    Schedule(delay, [this, node, after, changes] {
      m_nodes[node]->OnChanges(m_now, after, changes);
      ProcessActions(node);
    });
  }

  static absl::Status Unavailable() {
    return MakeStatus(absl::StatusCode::kUnavailable, "store unavailable");
  }

  void ProcessActions(int node) {
    for (const auto& action : m_nodes[node]->TakeActions())
      std::visit([&](const auto& what) { ExecuteAction(node, what); }, action);
  }

  void ExecuteAction(int node, const ReadHead&) {
    ++m_counts.head_reads;
    absl::StatusOr<int64_t> head = Unavailable();
    if (BeginStoreRead()) {
      head = m_table.version();
      m_counts.store_bytes += std::to_string(*head).size();
    }
    Reply(node, StoreDelay(), head, &ConfigSync::OnHead);
  }

  void ExecuteAction(int node, const FetchChanges& fetch) {
    if (!BeginStoreRead())
      return ReplyChanges(node, StoreDelay(), fetch.after, Unavailable());
    std::vector<TableDelta> changes;
    for (const TableDelta& delta : m_change_log) {
      if (delta.version <= fetch.after)
        continue;
      m_counts.store_bytes +=
          EncodeConfigChange({delta, "attempt-0123456789abcdef",
                              "operator@regina", 1'700'000'000'000})
              .size();
      changes.push_back(delta);
    }
    ReplyChanges(node, StoreDelay(), fetch.after, changes);
  }

  void ExecuteAction(int node, const FetchSnapshot&) {
    // LoadTable reads the head, a snapshot and a page of changes.
    const bool ok = BeginStoreRead() && BeginStoreRead() && BeginStoreRead();
    absl::StatusOr<Table> table = Unavailable();
    if (ok) {
      table = m_table;
      m_counts.store_bytes += m_table_bytes;
    }
    Reply(node, StoreDelay() * (ok ? 3 : 1), table, &ConfigSync::OnSnapshot);
  }

  void ExecuteAction(int node, const FetchFromPeer& fetch) {
    ++m_counts.peer_fetches;
    const ConfigSync& peer = *m_nodes[std::stoul(fetch.peer)];
    const Duration delay = std::chrono::milliseconds(1);
    auto changes = peer.RecentDeltasSince(fetch.after);
    if (!changes) {
      absl::StatusOr<Table> table = *peer.table();
      m_counts.peer_bytes += m_table_bytes;
      return Reply(node, delay, table, &ConfigSync::OnSnapshot);
    }
    for (const TableDelta& delta : *changes)
      m_counts.peer_bytes += EncodeDelta(delta).size();
    ReplyChanges(node, delay, fetch.after, *changes);
  }

  void ExecuteAction(int /*node*/, const InstallTable&) {}

  Random m_random;
  Table m_table;
  Table m_initial_table;
  // Encoded size of the whole table; one-row changes barely alter it.
  uint64_t m_table_bytes;
  Table m_previous_table;
  std::vector<TableDelta> m_change_log;
  StoreMode m_store_mode = StoreMode::kHealthy;
  TimePoint m_now{};
  TimePoint m_committed_at{};
  uint64_t m_next_sequence = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<ConfigSync>> m_nodes;
  ConfigSyncCounts m_counts;
  std::map<int64_t, uint64_t> m_store_reads_by_second;
};

}  // namespace trefoilwick
