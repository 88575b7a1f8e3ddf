#include "trefoilwick/server_limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart(seconds(1000));
const std::string kServer = "i-1";

class ServerLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerLimitsTest);
  CPPUNIT_TEST(LimitIsKept);
  CPPUNIT_TEST(FractionsOfARequestAddUp);
  CPPUNIT_TEST(DamagedObservationsAreBounded);
  CPPUNIT_TEST(LimitEndsWithNewerAnswerOnly);
  CPPUNIT_TEST(NewestObservationCounts);
  CPPUNIT_TEST(ShareFollowsDemand);
  CPPUNIT_TEST(ServerThatTakesNothingIsStillAsked);
  CPPUNIT_TEST(ForgottenServersAreDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Requests that are let through in `time`, with one try every 10 ms.
  static int Take(ServerLimits& limits, TimePoint from, Duration time) {
    Random random(1);
    int taken = 0;
    for (TimePoint now = from; now < from + time; now += milliseconds(10))
      taken += limits.TryTake(now, kServer, random.UniformDouble()) ? 1 : 0;
    return taken;
  }

  void LimitIsKept() {
    ServerLimits limits;
    CPPUNIT_ASSERT_EQUAL(100, Take(limits, kStart, seconds(1)));
    limits.OnAnswer(kStart, kServer, 10, kStart);
    const int taken = Take(limits, kStart, seconds(20));
    CPPUNIT_ASSERT(taken >= 170 && taken <= 220);
    // Unused room is not saved up.
    CPPUNIT_ASSERT(Take(limits, kStart + minutes(1) / 2, seconds(1)) <= 31);
  }

  // With 100 instances each share is far below one request a second.
  void FractionsOfARequestAddUp() {
    ServerLimits limits;
    limits.OnAnswer(kStart, kServer, 10, kStart);
    limits.SetInstances(100);
    limits.SetClusterDemand(kStart, kServer, 100, 1);
    const int taken = Take(limits, kStart, seconds(400));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(taken), taken >= 25 && taken <= 55);
  }

  // A damaged message held its limit against all later answers, and a huge one
  // overflowed the messages between instances.
  void DamagedObservationsAreBounded() {
    ServerLimits limits;
    limits.Merge(kStart, kServer, {4.0, kStart + minutes(5)});
    limits.Merge(kStart + seconds(1), kServer, {6.0, kStart + seconds(1)});
    CPPUNIT_ASSERT_EQUAL(6.0, limits.LimitOf(kServer).value());
    limits.Merge(kStart + seconds(2), kServer, {1e300, kStart + seconds(2)});
    CPPUNIT_ASSERT_EQUAL(kMaxLimitPerSecond, limits.LimitOf(kServer).value());
  }

  // An answer that was made before the server was in need must not end its
  // limit.
  void LimitEndsWithNewerAnswerOnly() {
    ServerLimits limits;
    CPPUNIT_ASSERT(limits.OnAnswer(kStart, kServer, 10, kStart - seconds(1)));
    CPPUNIT_ASSERT(!limits.OnAnswer(kStart + milliseconds(5), kServer,
                                    std::nullopt, kStart - milliseconds(5)));
    CPPUNIT_ASSERT(limits.LimitOf(kServer).has_value());
    CPPUNIT_ASSERT(limits.OnAnswer(kStart + seconds(1), kServer, std::nullopt,
                                   kStart + milliseconds(900)));
    CPPUNIT_ASSERT_EQUAL(100, Take(limits, kStart + seconds(1), seconds(1)));
  }

  void NewestObservationCounts() {
    ServerLimits limits;
    limits.Merge(kStart + seconds(2), kServer, {5.0, kStart + seconds(1)});
    limits.Merge(kStart + seconds(2), kServer, {9.0, kStart});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5, limits.LimitOf(kServer).value(), 1e-9);
    limits.Merge(kStart + seconds(3), kServer,
                 {std::nullopt, kStart + seconds(2)});
    CPPUNIT_ASSERT(!limits.LimitOf(kServer).has_value());
  }

  void ShareFollowsDemand() {
    ServerLimits limits;
    limits.SetInstances(10);
    limits.OnAnswer(kStart, kServer, 10, kStart);
    limits.SetClusterDemand(kStart, kServer, 20, 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.35, limits.ShareOf(kServer), 1e-9);
    limits.SetClusterDemand(kStart, kServer, 0, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, limits.ShareOf(kServer), 1e-9);
    for (int i = 0; i < 400; ++i)
      limits.CountDemand(kStart + milliseconds(50) * i, kServer);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        20, limits.DemandFor(kStart + seconds(20), kServer), 1);
  }

  // Otherwise its limit would never end.
  void ServerThatTakesNothingIsStillAsked() {
    ServerLimits limits;
    limits.OnAnswer(kStart, kServer, 0, kStart);
    const int taken = Take(limits, kStart, seconds(500));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(taken), taken >= 70 && taken <= 130);
  }

  void ForgottenServersAreDropped() {
    ServerLimits limits;
    limits.OnAnswer(kStart, kServer, 5, kStart);
    limits.RemoveExpired(kStart + seconds(30));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, limits.Observations().size());
    limits.RemoveExpired(kStart + minutes(2));
    CPPUNIT_ASSERT(limits.Observations().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitsTest);

}  // namespace
}  // namespace trefoilwick
