#include <cppunit/extensions/HelperMacros.h>

#include "trefoilwick/admission.h"

namespace trefoilwick {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(1000));

class AdmissionUsageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionUsageTest);
  CPPUNIT_TEST(SumExcludesReportingInstance);
  CPPUNIT_TEST(NewAggregatorReportsUnsettledSums);
  CPPUNIT_TEST(ReportsOfLostInstancesExpire);
  CPPUNIT_TEST(EveryAccountHasOneAggregator);
  CPPUNIT_TEST(LostAggregatorFallsBackToEqualShare);
  CPPUNIT_TEST(RowsPerInstanceDoNotGrowWithInstances);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An instance must not count its own demand twice.
  void SumExcludesReportingInstance() {
    UsageAggregator aggregator;
    aggregator.OnReport(kStart, "e1", {{"club", 30}});
    aggregator.OnReport(kStart, "e2", {{"club", 10}});
    const auto sums =
        aggregator.OnReport(kStart + seconds(4), "e1", {{"club", 30}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, sums.size());
    CPPUNIT_ASSERT_EQUAL(10.0, sums[0].others);
    CPPUNIT_ASSERT(sums[0].settled);
  }

  // Guards against a new aggregator that passes on the sum of the few reports
  // it has received so far: each instance would then use nearly the whole
  // limit.
  void NewAggregatorReportsUnsettledSums() {
    UsageAggregator aggregator;
    CPPUNIT_ASSERT(
        !aggregator.OnReport(kStart, "e1", {{"club", 1}})[0].settled);
    UsageExchange exchange;
    exchange.OnUsageSums(kStart, {{"club", 5, true}});
    exchange.OnUsageSums(kStart + seconds(2), {{"club", 0, false}});
    const auto others =
        exchange.OtherInstancesDemand(kStart + seconds(3), {{"club", 1}}, 3);
    CPPUNIT_ASSERT_EQUAL(5.0, others[0].tokens_per_second);
  }

  // Demand of a lost instance must not reduce the shares of the others forever.
  void ReportsOfLostInstancesExpire() {
    UsageAggregator aggregator;
    aggregator.OnReport(kStart, "e1", {{"club", 30}, {"other", 1}});
    const auto sums =
        aggregator.OnReport(kStart + seconds(6), "e2", {{"club", 1}});
    CPPUNIT_ASSERT_EQUAL(0.0, sums[0].others);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, aggregator.size());
  }

  // Instances with the same set of live instances must choose the same
  // aggregator.
  void EveryAccountHasOneAggregator() {
    const UsageExchange exchange;
    std::vector<AccountDemand> own;
    own.reserve(100);
    for (int i = 0; i < 100; ++i)
      own.push_back({"account-" + std::to_string(i), 1});
    const auto one = exchange.ReportsByAggregator(own, {"e1", "e2", "e3"});
    const auto two = exchange.ReportsByAggregator(own, {"e3", "e1", "e2"});
    CPPUNIT_ASSERT(one == two);
    size_t rows = 0;
    for (const auto& [id, list] : one)
      rows += list.size();
    CPPUNIT_ASSERT_EQUAL(own.size(), rows);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, one.size());
  }

  // Without sums from a lost aggregator, an instance must not use the whole
  // limit.
  void LostAggregatorFallsBackToEqualShare() {
    UsageExchange exchange;
    exchange.OnUsageSums(kStart, {{"club", 0, true}});
    const auto fresh = exchange.OtherInstancesDemand(kStart, {{"club", 7}}, 5);
    CPPUNIT_ASSERT_EQUAL(0.0, fresh[0].tokens_per_second);
    const auto stale =
        exchange.OtherInstancesDemand(kStart + seconds(11), {{"club", 7}}, 5);
    CPPUNIT_ASSERT_EQUAL(28.0, stale[0].tokens_per_second);
  }

  // The control traffic of an instance must not depend on the number of
  // instances.
  void RowsPerInstanceDoNotGrowWithInstances() {
    const UsageExchange exchange;
    for (size_t count : {13, 100, 350}) {
      std::vector<std::string> live;
      live.reserve(count);
      for (size_t i = 0; i < count; ++i)
        live.push_back("e" + std::to_string(i));
      std::vector<AccountDemand> own;
      own.reserve(23);
      for (int i = 0; i < 23; ++i)
        own.push_back({"account-" + std::to_string(i), 1});
      size_t rows = 0;
      for (const auto& [id, list] : exchange.ReportsByAggregator(own, live))
        rows += list.size();
      CPPUNIT_ASSERT_EQUAL(own.size(), rows);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionUsageTest);

}  // namespace
}  // namespace trefoilwick
