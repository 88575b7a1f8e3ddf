// Shared building blocks: time, findings, enum name tables, read-copy-update
// cells, plug-in registries, metrics and structured logs.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace trefoilwick {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::microseconds>;

// Source of monotonic time and of wall-clock time for records that outlive a
// process.
class Clock {
 public:
  virtual ~Clock() = default;
  // Monotonic time of this process.
  virtual TimePoint Now() const = 0;
  // Milliseconds since the Unix epoch.
  virtual int64_t UnixMillis() const = 0;
};

class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  int64_t UnixMillis() const override;
};

// A clock that only Advance() moves forward, for tests. Thread-safe.
class ManualClock final : public Clock {
 public:
  explicit ManualClock(int64_t unix_millis = 1'700'000'000'000)
      : m_unix_start(unix_millis) {}
  TimePoint Now() const override;
  int64_t UnixMillis() const override;
  void Advance(Duration by);

 private:
  int64_t m_unix_start;
  std::atomic<int64_t> m_elapsed_us{0};
};

// Converts to abseil's own string view type: the packaged version of abseil has
// no conversion from std::string_view.
inline absl::string_view AbslView(std::string_view text) {
  return {text.data(), text.size()};
}

// A Status whose message is given as a std::string_view.
absl::Status MakeStatus(absl::StatusCode code, std::string_view message);

// One problem found in an input, with its location. Line 0 means the whole
// file.
struct Finding {
  std::string file;
  int line = 0;
  std::string message;
  bool operator==(const Finding&) const = default;
};

// Collects the problems of one input so that they are reported together.
class Findings {
 public:
  void Add(std::string file, int line, std::string message);
  bool empty() const { return m_list.empty(); }
  const std::vector<Finding>& list() const { return m_list; }
  // One "file:line: message" per line, ordered by file and line.
  std::string ToString() const;
  // OK when empty, else kInvalidArgument with ToString() as the message.
  absl::Status ToStatus() const;

 private:
  std::vector<Finding> m_list;
};

// Bidirectional table between the values of an enum class and their names.
template <typename E, size_t N>
class EnumTable {
 public:
  using Row = std::pair<E, std::string_view>;
  constexpr explicit EnumTable(std::array<Row, N> rows) : m_rows(rows) {}
  // Returns "?" for a value that is not in the table.
  constexpr std::string_view Name(E value) const {
    for (const Row& row : m_rows)
      if (row.first == value)
        return row.second;
    return "?";
  }
  constexpr std::optional<E> Parse(std::string_view name) const {
    for (const Row& row : m_rows)
      if (row.second == name)
        return row.first;
    return std::nullopt;
  }
  constexpr const std::array<Row, N>& rows() const { return m_rows; }

 private:
  std::array<Row, N> m_rows;
};

template <typename E, size_t N>
constexpr EnumTable<E, N> MakeEnumTable(
    const std::pair<E, std::string_view> (&rows)[N]) {
  return EnumTable<E, N>(std::to_array(rows));
}

// Builds one visitor from several lambdas, for std::visit.
template <typename... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

// Urgency of work, most urgent first.
enum class Rank : uint8_t { kUrgent, kOrdinary, kBatch };
inline constexpr size_t kRankCount = 3;
inline constexpr auto kRankNames = MakeEnumTable<Rank>({
    {Rank::kUrgent, "urgent"},
    {Rank::kOrdinary, "ordinary"},
    {Rank::kBatch, "batch"},
});

// Known outcome of an accepted or refused request.
enum class Outcome : uint8_t {
  kRunning,
  kFinished,
  kIncomplete,
  kNotRun,
  kUnknown
};
inline constexpr auto kOutcomeNames = MakeEnumTable<Outcome>({
    {Outcome::kRunning, "running"},
    {Outcome::kFinished, "finished"},
    {Outcome::kIncomplete, "incomplete"},
    {Outcome::kNotRun, "not_run"},
    {Outcome::kUnknown, "unknown"},
});

// Holds an immutable snapshot. Readers keep the snapshot they loaded; a writer
// replaces it without waiting for them (read-copy-update). The lock covers the
// copy of one pointer only: std::atomic<std::shared_ptr> of GCC 12 releases its
// internal lock with relaxed order, which is a data race.
template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::shared_ptr<const T> initial = nullptr)
      : m_value(std::move(initial)) {}
  std::shared_ptr<const T> Load() const {
    std::lock_guard lock(m_mutex);
    return m_value;
  }
  void Store(std::shared_ptr<const T> value) {
    // The old snapshot is destroyed outside the lock.
    std::lock_guard lock(m_mutex);
    m_value.swap(value);
  }

 private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const T> m_value;
};

// Factories of plug-ins by name. A plug-in registers itself with a namespace
// scope object: `const bool registered = Registry<I>::Get().Add("name", make);`
template <typename Interface>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>()>;
  static Registry& Get() {
    static Registry registry;
    return registry;
  }
  bool Add(std::string name, Factory factory) {
    std::lock_guard lock(m_mutex);
    return m_factories.emplace(std::move(name), std::move(factory)).second;
  }
  // Returns null when no plug-in has that name.
  std::unique_ptr<Interface> Create(const std::string& name) const {
    std::lock_guard lock(m_mutex);
    auto it = m_factories.find(name);
    return it == m_factories.end() ? nullptr : it->second();
  }
  std::vector<std::string> Names() const {
    std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const auto& [name, factory] : m_factories)
      names.push_back(name);
    return names;
  }

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, Factory> m_factories;
};

// Monotonic counter.
class Counter {
 public:
  void Add(uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
  uint64_t Value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> m_value{0};
};

class Gauge {
 public:
  void Set(double value) { m_value.store(value, std::memory_order_relaxed); }
  double Value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_value{0};
};

// Histogram of durations with logarithmic buckets from 50 us to 100 s.
// Recording is lock-free; histograms of several processes merge by adding
// their bucket counts.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;
  void Record(Duration value);
  // Bucket counts; the first and last are the underflow and overflow buckets.
  std::vector<uint64_t> Counts() const;
  // Upper bounds of the buckets that Counts() returns, in microseconds; the
  // last is infinity.
  static std::vector<double> UpperBounds();
  // Upper bound of the bucket that holds the quantile; 0 when empty.
  static Duration Quantile(const std::vector<uint64_t>& counts, double q);
  uint64_t SumMicros() const { return m_sum.Value(); }

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
  Counter m_sum;
};

// Label names and values of one metric, in order.
using Labels = std::vector<std::pair<std::string, std::string>>;

// Owns the metrics of a process. References stay valid for its lifetime.
class Metrics {
 public:
  Counter& GetCounter(const std::string& name, const Labels& labels = {});
  Gauge& GetGauge(const std::string& name, const Labels& labels = {});
  LatencyHistogram& GetHistogram(const std::string& name,
                                 const Labels& labels = {});
  // Prometheus text exposition format 0.0.4. Durations are in seconds.
  std::string RenderPrometheus() const;
  // Calls `visit` for every histogram of that name.
  void ForEachHistogram(
      const std::string& name,
      const std::function<void(const Labels&, const LatencyHistogram&)>& visit)
      const;

 private:
  struct Key {
    std::string name;
    Labels labels;
    auto operator<=>(const Key&) const = default;
  };
  mutable std::mutex m_mutex;
  std::map<Key, std::unique_ptr<Counter>> m_counters;
  std::map<Key, std::unique_ptr<Gauge>> m_gauges;
  std::map<Key, std::unique_ptr<LatencyHistogram>> m_histograms;
};

// Destination of log lines.
enum class LogTarget : uint8_t {
  kStandardError,
  // Lines that cannot be written without blocking are dropped and counted, so
  // that a slow reader of standard output never blocks the process.
  kStandardOutput,
};

// Configures log4cplus: one line per record. `level` is a log4cplus level name.
void InitLogging(const std::string& process_name,
                 const std::string& level,
                 LogTarget target = LogTarget::kStandardError);

// Logs one state change as `component=... event=... key=value ...`. Values
// that contain spaces or quotes are quoted.
void LogStateChange(std::string_view component,
                    std::string_view event,
                    const Labels& fields = {});

// Seeded 64-bit generator (SplitMix64), for reproducible decisions.
class Random {
 public:
  explicit Random(uint64_t seed) : m_state(seed) {}
  uint64_t Next();
  // Uniform in [0, bound); 0 when bound is 0.
  uint64_t UniformBelow(uint64_t bound);
  // Uniform in [0, 1).
  double UniformDouble();

 private:
  uint64_t m_state;
};

// Stable 64-bit hash of a string (FNV-1a with a final mix); the same on every
// instance and in every version.
uint64_t StableHash(std::string_view text, uint64_t seed = 0);

}  // namespace trefoilwick
