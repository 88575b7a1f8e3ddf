// Many ConfigSpread instances with a store and gossip in virtual time.
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

struct SpreadOptions {
  int nodes = 13;
  int accounts = 4;
  uint64_t seed = 1;
};

// Payload bytes, without HTTP and Thrift framing.
struct SpreadCounts {
  uint64_t store_reads = 0;
  uint64_t head_reads = 0;
  uint64_t store_bytes = 0;
  uint64_t peer_fetches = 0;
  uint64_t peer_bytes = 0;
};

// Every instance ticks each 50 ms and exchanges versions with one random other
// instance a second, at a random phase. Peer calls take 1 ms.
class SpreadSimulation {
 public:
  explicit SpreadSimulation(const SpreadOptions& options)
      : m_random(options.seed),
        m_table(SampleTable(options.accounts, 0)),
        m_start(m_table),
        m_table_bytes(EncodeTable(m_table).size()) {
    for (int i = 0; i < options.nodes; ++i) {
      m_nodes.push_back(std::make_unique<ConfigSpread>(m_random.Next()));
      ScheduleTick(i, RandomDelay(std::chrono::milliseconds(50)));
      ScheduleGossip(i, RandomDelay(std::chrono::seconds(1)));
    }
  }

  void SetStore(StoreMode mode) { m_mode = mode; }

  // The store accepts a change of one row. With `through_instance`, instance 0
  // made the commit and has the new table.
  void Commit(bool through_instance) {
    m_table = WithWeight(m_table, "account-1",
                         static_cast<double>(m_table.version() % 1000) + 2)
                  .WithVersion(m_table.version() + 1);
    const Table base = m_log.empty() ? m_start : m_previous;
    m_log.push_back(DiffTables(base, m_table));
    m_previous = m_table;
    if (through_instance) {
      m_nodes[0]->OnCommitted(m_now, m_table);
      Act(0);
    }
    m_committed_at = m_now;
  }

  // Replaces an instance by one that has no table.
  void Restart(int node) {
    m_nodes[node] = std::make_unique<ConfigSpread>(m_random.Next());
  }

  void Run(Duration time) {
    const TimePoint end = m_now + time;
    while (m_events.top().at <= end)
      Step();
    m_now = end;
  }

  // Time from the last commit until every instance has it.
  std::optional<Duration> RunUntilSpread(Duration limit) {
    while (m_now < m_committed_at + limit) {
      const bool done =
          std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& node) {
            return node->table() &&
                   node->table()->version() == m_table.version();
          });
      if (done)
        return m_now - m_committed_at;
      Run(std::chrono::milliseconds(10));
    }
    return std::nullopt;
  }

  const SpreadCounts& counts() const { return m_counts; }
  // Most store reads begun in one second of virtual time.
  uint64_t peak_reads() const {
    uint64_t peak = 0;
    for (const auto& [second, reads] : m_reads_by_second)
      peak = std::max(peak, reads);
    return peak;
  }
  void ResetCounts() {
    m_counts = SpreadCounts();
    m_reads_by_second.clear();
  }

 private:
  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  Duration RandomDelay(Duration below) {
    return Duration(static_cast<int64_t>(
        m_random.Below(static_cast<uint64_t>(below.count()))));
  }

  void Schedule(Duration delay, std::function<void()> run) {
    m_events.push({m_now + delay, m_order++, std::move(run)});
  }

  void Step() {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.run();
  }

  void ScheduleTick(int node, Duration delay) {
    Schedule(delay, [this, node] {
      m_nodes[node]->OnTick(m_now);
      Act(node);
      ScheduleTick(node, std::chrono::milliseconds(50));
    });
  }

  void ScheduleGossip(int node, Duration delay) {
    Schedule(delay, [this, node] {
      const int other = static_cast<int>(m_random.Below(m_nodes.size()));
      if (other != node) {
        Tell(node, other);
        Tell(other, node);
      }
      ScheduleGossip(node, std::chrono::seconds(1));
    });
  }

  void Tell(int from, int to) {
    if (!m_nodes[from]->table())
      return;
    m_nodes[to]->OnPeerVersion(m_now, std::to_string(from),
                               m_nodes[from]->table()->version());
    Act(to);
  }

  // Begins a store read; returns whether it will succeed.
  bool BeginRead() {
    ++m_counts.store_reads;
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            m_now.time_since_epoch())
                            .count();
    ++m_reads_by_second[second];
    return m_mode == StoreMode::kHealthy || m_mode == StoreMode::kSlow;
  }

  Duration StoreDelay() const {
    if (m_mode == StoreMode::kSlow)
      return std::chrono::seconds(1);
    if (m_mode == StoreMode::kHanging)
      return std::chrono::seconds(2);
    return std::chrono::milliseconds(5);
  }

  // Answers a read with what the store holds now; the answer arrives later.
  template <typename T>
  void Reply(int node,
             Duration delay,
             absl::StatusOr<T> value,
             void (ConfigSpread::*event)(TimePoint, const absl::StatusOr<T>&)) {
    Schedule(delay, [this, node, value, event] {
      (m_nodes[node].get()->*event)(m_now, value);
      Act(node);
    });
  }

  void ReplyChanges(int node,
                    Duration delay,
                    int64_t after,
                    const absl::StatusOr<std::vector<TableDelta>>& changes) {
    Schedule(delay, [this, node, after, changes] {
      m_nodes[node]->OnChanges(m_now, after, changes);
      Act(node);
    });
  }

  static absl::Status Down() {
    return MakeStatus(absl::StatusCode::kUnavailable, "store unavailable");
  }

  void Act(int node) {
    for (const auto& action : m_nodes[node]->TakeActions())
      std::visit([&](const auto& what) { Do(node, what); }, action);
  }

  void Do(int node, const ReadHead&) {
    ++m_counts.head_reads;
    absl::StatusOr<int64_t> head = Down();
    if (BeginRead()) {
      head = m_table.version();
      m_counts.store_bytes += std::to_string(*head).size();
    }
    Reply(node, StoreDelay(), head, &ConfigSpread::OnHead);
  }

  void Do(int node, const FetchChanges& fetch) {
    if (!BeginRead())
      return ReplyChanges(node, StoreDelay(), fetch.after, Down());
    std::vector<TableDelta> changes;
    for (const TableDelta& delta : m_log) {
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

  void Do(int node, const FetchSnapshot&) {
    // LoadTable reads the head, a snapshot and a page of changes.
    const bool ok = BeginRead() && BeginRead() && BeginRead();
    absl::StatusOr<Table> table = Down();
    if (ok) {
      table = m_table;
      m_counts.store_bytes += m_table_bytes;
    }
    Reply(node, StoreDelay() * (ok ? 3 : 1), table, &ConfigSpread::OnSnapshot);
  }

  void Do(int node, const FetchFromPeer& fetch) {
    ++m_counts.peer_fetches;
    const ConfigSpread& peer = *m_nodes[std::stoul(fetch.peer)];
    const Duration delay = std::chrono::milliseconds(1);
    auto changes = peer.RecentSince(fetch.after);
    if (!changes) {
      absl::StatusOr<Table> table = *peer.table();
      m_counts.peer_bytes += m_table_bytes;
      return Reply(node, delay, table, &ConfigSpread::OnSnapshot);
    }
    for (const TableDelta& delta : *changes)
      m_counts.peer_bytes += EncodeDelta(delta).size();
    ReplyChanges(node, delay, fetch.after, *changes);
  }

  void Do(int /*node*/, const InstallTable&) {}

  Random m_random;
  Table m_table;
  Table m_start;
  // Encoded size of the whole table; one-row changes barely alter it.
  uint64_t m_table_bytes;
  Table m_previous;
  std::vector<TableDelta> m_log;
  StoreMode m_mode = StoreMode::kHealthy;
  TimePoint m_now{};
  TimePoint m_committed_at{};
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<ConfigSpread>> m_nodes;
  SpreadCounts m_counts;
  std::map<int64_t, uint64_t> m_reads_by_second;
};

}  // namespace trefoilwick
