#include "trefoilwick/kernel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

namespace trefoilwick {
namespace {

class KernelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KernelTest);
  CPPUNIT_TEST(ManualClockMovesOnlyWhenAdvanced);
  CPPUNIT_TEST(FindingsAreOrderedByLine);
  CPPUNIT_TEST(EnumNamesRoundTrip);
  CPPUNIT_TEST(HistogramQuantile);
  CPPUNIT_TEST(PrometheusText);
  CPPUNIT_TEST(StableHashIsStable);
  CPPUNIT_TEST(LoggingToFullPipeDoesNotBlock);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a test clock that follows the real time.
  void ManualClockMovesOnlyWhenAdvanced() {
    ManualClock clock(1000);
    const TimePoint start = clock.Now();
    CPPUNIT_ASSERT(clock.Now() == start);
    clock.Advance(std::chrono::milliseconds(5));
    CPPUNIT_ASSERT(clock.Now() - start == std::chrono::milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(int64_t{1005}, clock.UnixMillis());
  }

  void FindingsAreOrderedByLine() {
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

  // Guards against a hash that depends on the process: rendezvous hashing must
  // agree between versions of the program.
  void StableHashIsStable() {
    CPPUNIT_ASSERT_EQUAL(StableHash("chain-1"), StableHash("chain-1"));
    CPPUNIT_ASSERT(StableHash("chain-1") != StableHash("chain-1", 1));
  }

  // Guards against a process that blocks because the reader of its log has
  // stopped. Dropped lines are counted once the reader continues.
  void LoggingToFullPipeDoesNotBlock() {
    int pipe_fds[2];
    CPPUNIT_ASSERT_EQUAL(0, pipe(pipe_fds));
    const int saved_stdout = dup(STDOUT_FILENO);
    dup2(pipe_fds[1], STDOUT_FILENO);
    InitLogging("test", "INFO", LogTarget::kStandardOutput);
    // More than the capacity of a pipe.
    constexpr int kLines = 5000;
    for (int i = 0; i < kLines; ++i)
      LogStateChange("test", "filling", {{"line", std::to_string(i)}});
    std::string text(1 << 20, '\0');
    const ssize_t first_read = read(pipe_fds[0], text.data(), text.size());
    LogStateChange("test", "again");
    const ssize_t second_read = read(pipe_fds[0], text.data(), text.size());
    InitLogging("test", "INFO");
    dup2(saved_stdout, STDOUT_FILENO);
    for (const int fd : {pipe_fds[0], pipe_fds[1], saved_stdout})
      close(fd);
    CPPUNIT_ASSERT(first_read > 0);
    CPPUNIT_ASSERT(second_read > 0);
    const std::string last_lines(text.data(), static_cast<size_t>(second_read));
    CPPUNIT_ASSERT(last_lines.find("event=lines_omitted count=") !=
                   std::string::npos);
    CPPUNIT_ASSERT(last_lines.find("event=again") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KernelTest);

}  // namespace
}  // namespace trefoilwick
