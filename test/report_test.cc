#include "trefoilwick/report.h"

#include <cppunit/extensions/HelperMacros.h>

namespace trefoilwick {
namespace {

constexpr int64_t kNow = 1'700'000'000'000;
constexpr int64_t kMinute = 60'000;
const BurnRateKey kClub{"urgent", "club"};

class ReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportTest);
  CPPUNIT_TEST(BurnRateIsBadShareOverErrorBudget);
  CPPUNIT_TEST(ShortWindowDropsOldMinutes);
  CPPUNIT_TEST(MergeAddsInstances);
  CPPUNIT_TEST(JsonRoundTrip);
  CPPUNIT_TEST(MalformedJsonIsRejected);
  CPPUNIT_TEST(AccountNamesAreEscapedInSvg);
  CPPUNIT_TEST_SUITE_END();

  static double BurnRate(const std::vector<BurnRateRow>& rows,
                         const BurnRateKey& key,
                         const char* window) {
    for (const BurnRateRow& row : rows)
      if (row.key == key)
        return row.burn_rates.at(window);
    return -1;
  }

 public:
  // Guards against a wrong scale: at a burn rate of 1 the budget lasts exactly
  // for the period.
  void BurnRateIsBadShareOverErrorBudget() {
    BurnRateHistory data;
    for (int i = 0; i < 98; ++i)
      data.Record(kNow, kClub, true);
    data.Record(kNow, kClub, false);
    data.Record(kNow, kClub, false);
    const auto rows = ComputeBurnRates(data, kNow, 0.99);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, BurnRate(rows, kClub, "5m"), 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, BurnRate(rows, {"urgent", "*"}, "6h"),
                                 1e-6);
  }

  // Guards against a short window that still shows an outage which only the
  // long one should show.
  void ShortWindowDropsOldMinutes() {
    BurnRateHistory data;
    data.Record(kNow - 30 * kMinute, kClub, false);
    data.Record(kNow, kClub, true);
    const auto rows = ComputeBurnRates(data, kNow, 0.99);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, BurnRate(rows, kClub, "5m"), 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, BurnRate(rows, kClub, "1h"), 1e-6);
    data.Record(kNow + 400 * kMinute, kClub, true);
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{1},
        data.Sum(kNow + 400 * kMinute, kClub, std::chrono::hours(6)).good);
  }

  // Guards against a fleet report that is not the sum of the reports of its
  // instances.
  void MergeAddsInstances() {
    BurnRateHistory one;
    BurnRateHistory two;
    one.Record(kNow, kClub, true);
    two.Record(kNow, kClub, false);
    two.Record(kNow, {"batch", "desk"}, true);
    one.Merge(two);
    const BurnRateCounts sum = one.Sum(kNow, kClub, std::chrono::minutes(5));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, sum.good);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, sum.bad);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, one.Keys().size());
  }

  void JsonRoundTrip() {
    BurnRateHistory data;
    data.Record(kNow, kClub, true);
    data.Record(kNow - kMinute, kClub, false);
    const auto read = BurnRateHistory::FromJson(data.ToJson());
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT_EQUAL(data.ToJson(), read->ToJson());
  }

  // Guards against a client that ends on a report from an instance of another
  // version.
  void MalformedJsonIsRejected() {
    constexpr char kShortCell[] =
        R"([{"rank":"a","account":"b","minutes":[[1]]}])";
    for (const char* text : {"", "{", "[1]", R"([{"rank":1}])", kShortCell})
      CPPUNIT_ASSERT(!BurnRateHistory::FromJson(text).ok());
  }

  void AccountNamesAreEscapedInSvg() {
    BurnRateHistory data;
    data.Record(kNow, {"urgent", "<a&b>"}, true);
    const auto svg =
        RenderBurnRates(ComputeBurnRates(data, kNow, 0.99), ReportFormat::kSvg);
    CPPUNIT_ASSERT(svg.find("&lt;a&amp;b&gt;") != std::string::npos);
    CPPUNIT_ASSERT(svg.find("<a&b>") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);

}  // namespace
}  // namespace trefoilwick
