#include "trefoilwick/kernel.h"

#include <cppunit/extensions/HelperMacros.h>

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(KernelTest);

}  // namespace
}  // namespace trefoilwick
