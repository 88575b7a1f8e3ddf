#include "trefoilwick/kernel.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <cmath>
#include <limits>
#include <sstream>

#include "log4cplus/configurator.h"
#include "log4cplus/consoleappender.h"
#include "log4cplus/initializer.h"
#include "log4cplus/layout.h"
#include "log4cplus/logger.h"
#include "log4cplus/loggingmacros.h"

namespace trefoilwick {

namespace bh = boost::histogram;

namespace {

constexpr unsigned kHistogramBuckets = 126;
constexpr double kHistogramMinUs = 50;
constexpr double kHistogramMaxUs = 100e6;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using HistogramStorage =
    bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;

LogAxis MakeAxis() {
  return LogAxis(kHistogramBuckets, kHistogramMinUs, kHistogramMaxUs);
}

std::string FormatLabels(const Labels& labels) {
  if (labels.empty())
    return "";
  std::string out = "{";
  for (const auto& [name, value] : labels) {
    if (out.size() > 1)
      out += ',';
    out += name + "=\"";
    for (char c : value) {
      if (c == '"' || c == '\\')
        out += '\\';
      if (c == '\n')
        out += "\\n";
      else
        out += c;
    }
    out += '"';
  }
  return out + "}";
}

std::string QuoteLogValue(const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos)
    return value;
  std::string out = "\"";
  for (char c : value) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += (c == '\n' || c == '\r') ? ' ' : c;
  }
  return out + "\"";
}

template <typename Map, typename Value>
Value& FindOrCreate(std::mutex& mutex,
                    Map& map,
                    const typename Map::key_type& key) {
  std::lock_guard lock(mutex);
  auto& slot = map[key];
  if (!slot)
    slot = std::make_unique<Value>();
  return *slot;
}

}  // namespace

TimePoint SystemClock::Now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

int64_t SystemClock::UnixMillis() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

TimePoint ManualClock::Now() const {
  return TimePoint(Duration(m_elapsed_us.load()));
}

int64_t ManualClock::UnixMillis() const {
  return m_unix_start + m_elapsed_us.load() / 1000;
}

void ManualClock::Advance(Duration by) {
  m_elapsed_us.fetch_add(by.count());
}

absl::Status MakeStatus(absl::StatusCode code, std::string_view message) {
  return absl::Status(code, AbslView(message));
}

void Findings::Add(std::string file, int line, std::string message) {
  m_list.push_back({std::move(file), line, std::move(message)});
}

std::string Findings::ToString() const {
  auto sorted = m_list;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Finding& a, const Finding& b) {
                     return std::tie(a.file, a.line) < std::tie(b.file, b.line);
                   });
  std::string out;
  for (const Finding& finding : sorted) {
    out += finding.file + ":" + std::to_string(finding.line) + ": " +
           finding.message + "\n";
  }
  return out;
}

absl::Status Findings::ToStatus() const {
  if (empty())
    return absl::OkStatus();
  return MakeStatus(absl::StatusCode::kInvalidArgument, ToString());
}

struct LatencyHistogram::Impl {
  decltype(bh::make_histogram_with(HistogramStorage(), MakeAxis())) histogram =
      bh::make_histogram_with(HistogramStorage(), MakeAxis());
};

LatencyHistogram::LatencyHistogram() : m_impl(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(Duration value) {
  m_impl->histogram(static_cast<double>(value.count()));
  m_sum.Add(static_cast<uint64_t>(std::max<int64_t>(0, value.count())));
}

std::vector<uint64_t> LatencyHistogram::Counts() const {
  std::vector<uint64_t> counts;
  counts.reserve(kHistogramBuckets + 2);
  for (int i = -1; i <= static_cast<int>(kHistogramBuckets); ++i)
    counts.push_back(static_cast<uint64_t>(m_impl->histogram.at(i)));
  return counts;
}

std::vector<double> LatencyHistogram::UpperBounds() {
  const LogAxis axis = MakeAxis();
  std::vector<double> bounds;
  for (int i = 0; i <= static_cast<int>(kHistogramBuckets); ++i)
    bounds.push_back(axis.value(i));
  bounds.push_back(std::numeric_limits<double>::infinity());
  return bounds;
}

Duration LatencyHistogram::Quantile(const std::vector<uint64_t>& counts,
                                    double q) {
  uint64_t total = 0;
  for (uint64_t count : counts)
    total += count;
  if (total == 0)
    return Duration(0);
  const auto bounds = UpperBounds();
  const double target_count = q * static_cast<double>(total);
  uint64_t count_so_far = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    count_so_far += counts[i];
    if (count_so_far > 0 && static_cast<double>(count_so_far) >= target_count)
      return Duration(
          static_cast<int64_t>(std::min(bounds[i], kHistogramMaxUs)));
  }
  return Duration(static_cast<int64_t>(kHistogramMaxUs));
}

Counter& Metrics::GetCounter(const std::string& name, const Labels& labels) {
  return FindOrCreate<decltype(m_counters), Counter>(m_mutex, m_counters,
                                                     {name, labels});
}

Gauge& Metrics::GetGauge(const std::string& name, const Labels& labels) {
  return FindOrCreate<decltype(m_gauges), Gauge>(m_mutex, m_gauges,
                                                 {name, labels});
}

LatencyHistogram& Metrics::GetHistogram(const std::string& name,
                                        const Labels& labels) {
  return FindOrCreate<decltype(m_histograms), LatencyHistogram>(
      m_mutex, m_histograms, {name, labels});
}

std::string Metrics::RenderPrometheus() const {
  std::lock_guard lock(m_mutex);
  std::ostringstream out;
  std::string previous_name;
  const auto write_type_line = [&](const std::string& name, const char* type) {
    if (name != previous_name)
      out << "# TYPE " << name << ' ' << type << '\n';
    previous_name = name;
  };
  for (const auto& [key, counter] : m_counters) {
    write_type_line(key.name, "counter");
    out << key.name << FormatLabels(key.labels) << ' ' << counter->Value()
        << '\n';
  }
  for (const auto& [key, gauge] : m_gauges) {
    write_type_line(key.name, "gauge");
    out << key.name << FormatLabels(key.labels) << ' ' << gauge->Value()
        << '\n';
  }
  const auto bounds = LatencyHistogram::UpperBounds();
  for (const auto& [key, histogram] : m_histograms) {
    write_type_line(key.name, "histogram");
    const auto counts = histogram->Counts();
    uint64_t cumulative = 0;
    for (size_t i = 0; i < counts.size(); ++i) {
      cumulative += counts[i];
      // Empty buckets other than the last are omitted to keep the response
      // small.
      if (counts[i] == 0 && i + 1 < counts.size())
        continue;
      Labels labels = key.labels;
      labels.emplace_back("le", std::isinf(bounds[i])
                                    ? "+Inf"
                                    : std::to_string(bounds[i] / 1e6));
      out << key.name << "_bucket" << FormatLabels(labels) << ' ' << cumulative
          << '\n';
    }
    out << key.name << "_sum" << FormatLabels(key.labels) << ' '
        << static_cast<double>(histogram->SumMicros()) / 1e6 << '\n';
    out << key.name << "_count" << FormatLabels(key.labels) << ' ' << cumulative
        << '\n';
  }
  return out.str();
}

void Metrics::ForEachHistogram(
    const std::string& name,
    const std::function<void(const Labels&, const LatencyHistogram&)>& visit)
    const {
  std::lock_guard lock(m_mutex);
  for (const auto& [key, histogram] : m_histograms)
    if (key.name == name)
      visit(key.labels, *histogram);
}

namespace {

// Drops a line when writing it would block.
class StandardOutputAppender final : public log4cplus::Appender {
 public:
  StandardOutputAppender() = default;
  ~StandardOutputAppender() override { destructorImpl(); }
  StandardOutputAppender(const StandardOutputAppender&) = delete;
  StandardOutputAppender& operator=(const StandardOutputAppender&) = delete;
  void close() override {}

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::string line = formatEvent(event);
    if (m_omitted_lines > 0)
      line = "event=lines_omitted count=" + std::to_string(m_omitted_lines) +
             "\n" + line;
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
    if (line.size() > PIPE_BUF || poll(&ready, 1, 0) != 1 ||
        (ready.revents & POLLOUT) == 0 ||
        write(STDOUT_FILENO, line.data(), line.size()) < 0) {
      ++m_omitted_lines;
      return;
    }
    m_omitted_lines = 0;
  }

 private:
  uint64_t m_omitted_lines = 0;
};

}  // namespace

void InitLogging(const std::string& process_name,
                 const std::string& level,
                 LogTarget target) {
  static log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender;
  if (target == LogTarget::kStandardOutput)
    appender = log4cplus::SharedAppenderPtr(new StandardOutputAppender());
  else
    appender = log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + process_name +
      " %m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

void LogStateChange(std::string_view component,
                    std::string_view event,
                    const Labels& fields) {
  std::string line = "component=" + std::string(component) +
                     " event=" + QuoteLogValue(std::string(event));
  for (const auto& [key, value] : fields)
    line += " " + key + "=" + QuoteLogValue(value);
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  LOG4CPLUS_INFO(logger, line);
}

uint64_t Random::Next() {
  m_state += 0x9e3779b97f4a7c15ULL;
  uint64_t z = m_state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

uint64_t Random::UniformBelow(uint64_t bound) {
  return bound == 0 ? 0 : Next() % bound;
}

double Random::UniformDouble() {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> 11) * kScale;
}

uint64_t StableHash(std::string_view text, uint64_t seed) {
  uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
  for (unsigned char c : text) {
    hash ^= c;
    hash *= 0x100000001b3ULL;
  }
  return Random(hash).Next();
}

}  // namespace trefoilwick
