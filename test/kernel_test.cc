#include "trefoilwick/kernel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

namespace trefoilwick {
namespace {

class KernelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KernelTest);
  CPPUNIT_TEST(ManualClockStandsStill);
  CPPUNIT_TEST(FindingsAreOrderedByPlace);
  CPPUNIT_TEST(EnumNamesRoundTrip);
  CPPUNIT_TEST(HistogramQuantile);
  CPPUNIT_TEST(PrometheusText);
  CPPUNIT_TEST(StableHashIsStable);
  CPPUNIT_TEST(LoggingToAFullPipeDoesNotBlock);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against decisions that read the real time.
  void ManualClockStandsStill() {
    ManualClock clock(1000);
    const TimePoint start = clock.Now();
    CPPUNIT_ASSERT(clock.Now() == start);
    clock.Advance(std::chrono::milliseconds(5));
    CPPUNIT_ASSERT(clock.Now() - start == std::chrono::milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(int64_t{1005}, clock.UnixMillis());
  }

  void FindingsAreOrderedByPlace() {
    Findings findings;
    findings.Add("t.toml", 7, "second");
    findings.Add("t.toml", 2, "first");
    CPPUNIT_ASSERT_EQUAL(std::string("t.toml:2: first\nt.toml:7: second\n"),
                         findings.ToString());
    CPPUNIT_ASSERT(!findings.ToStatus().ok());
  }

  void EnumNamesRoundTrip() {
    for (const auto& [value, name] : kOutcomeNames.rows())
      CPPUNIT_ASSERT(kOutcomeNames.Parse(name) == value);
    CPPUNIT_ASSERT(!kRankNames.Parse("highest"));
  }

  // Guards against bucket bounds that do not bracket the recorded values.
  void HistogramQuantile() {
    LatencyHistogram histogram;
    for (int i = 1; i <= 100; ++i)
      histogram.Record(std::chrono::milliseconds(i));
    const auto counts = histogram.Counts();
    const auto p95 = LatencyHistogram::Quantile(counts, 0.95);
    CPPUNIT_ASSERT(p95 >= std::chrono::milliseconds(95));
    CPPUNIT_ASSERT(p95 <= std::chrono::milliseconds(110));
  }

  void PrometheusText() {
    Metrics metrics;
    metrics.GetCounter("requests_total", {{"rank", "urgent"}}).Add(3);
    metrics.GetHistogram("wait_seconds").Record(std::chrono::seconds(1));
    const std::string text = metrics.RenderPrometheus();
    CPPUNIT_ASSERT(text.find("requests_total{rank=\"urgent\"} 3\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(text.find("wait_seconds_count 1\n") != std::string::npos);
    CPPUNIT_ASSERT(text.find("le=\"+Inf\"} 1\n") != std::string::npos);
  }

  // Rendezvous hashing must agree between versions of the program.
  void StableHashIsStable() {
    CPPUNIT_ASSERT_EQUAL(StableHash("chain-1"), StableHash("chain-1"));
    CPPUNIT_ASSERT(StableHash("chain-1") != StableHash("chain-1", 1));
  }

  // A reader of the log that stops must not stop the process; lines that it
  // missed are counted once it reads again.
  void LoggingToAFullPipeDoesNotBlock() {
    int ends[2];
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
    const int saved = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    InitLogging("test", "INFO", LogTarget::kStandardOutput);
    // More than a pipe holds.
    constexpr int kLines = 5000;
    for (int i = 0; i < kLines; ++i)
      LogStateChange("test", "filling", {{"line", std::to_string(i)}});
    std::string text(1 << 20, '\0');
    const ssize_t filled = read(ends[0], text.data(), text.size());
    LogStateChange("test", "again");
    const ssize_t more = read(ends[0], text.data(), text.size());
    InitLogging("test", "INFO");
    dup2(saved, STDOUT_FILENO);
    for (const int fd : {ends[0], ends[1], saved})
      close(fd);
    CPPUNIT_ASSERT(filled > 0);
    CPPUNIT_ASSERT(more > 0);
    const std::string last(text.data(), static_cast<size_t>(more));
    CPPUNIT_ASSERT(last.find("event=lines_omitted count=") !=
                   std::string::npos);
    CPPUNIT_ASSERT(last.find("event=again") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KernelTest);

}  // namespace
}  // namespace trefoilwick
