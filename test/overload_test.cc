// Tests of admission control on one instance.
#include "trefoilwick/overload.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Tokens a second that begin, by account, when `admitted` of all may.
std::map<AccountHash, double> Admitted(const DemandRates& demand,
                                       double admitted) {
  std::map<AccountHash, double> out;
  for (const auto& [key, rate] : demand)
    out[key.account] = rate * FairAccountShare(demand, key, admitted);
  return out;
}

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(LowerRanksStopFirstAndKeepAFloor);
  CPPUNIT_TEST(EverythingBeginsBelowTheFirstLimit);
  CPPUNIT_TEST(FloodLeavesSmallAccountsWhatTheyAskFor);
  CPPUNIT_TEST(BackloggedAccountsGetEqualShares);
  CPPUNIT_TEST(RanksDoNotShareWithEachOther);
  CPPUNIT_TEST(UnknownAccountIsNotHeldBack);
  CPPUNIT_TEST(DemandOfAllInstancesExpires);
  CPPUNIT_TEST(DemandDecaysAndIsSharedInAShortageOnly);
  CPPUNIT_TEST(ReturnsFollowTheLengthOfAShortage);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A burst of all ranks made the most urgent one wait for the others.
  void LowerRanksStopFirstAndKeepAFloor() {
    for (double utilization = 0.5; utilization < 0.85; utilization += 0.01) {
      CPPUNIT_ASSERT(AdmittedShare(0, utilization) >=
                     AdmittedShare(1, utilization));
      CPPUNIT_ASSERT(AdmittedShare(1, utilization) >=
                     AdmittedShare(2, utilization));
      CPPUNIT_ASSERT(AdmittedShare(9, utilization) > 0);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, AdmittedShare(0, 0.75));
    CPPUNIT_ASSERT(AdmittedShare(2, 0.75) < 0.2);
    CPPUNIT_ASSERT_EQUAL(0.0, AdmittedShare(0, 0.9));
    CPPUNIT_ASSERT_EQUAL(0.0, AdmittedShare(2, 0.9));
  }

  // A deployment below its capacity is served as if there were no admission
  // control.
  void EverythingBeginsBelowTheFirstLimit() {
    OverloadController controller;
    controller.SetRanks("pool", {0, 1, 2});
    const TimePoint now{seconds(100)};
    for (const int rank : {0, 1, 2})
      for (double draw = 0; draw < 1; draw += 0.05)
        CPPUNIT_ASSERT(
            controller.UtilizationLimit(now, "pool", {1, rank}, draw) >= 0.6);
    CPPUNIT_ASSERT(!controller.IsShort(now));
    CPPUNIT_ASSERT(controller.LocalDemand(now).empty());
  }

  // One account that asked for fifty times its share took it from the others.
  void FloodLeavesSmallAccountsWhatTheyAskFor() {
    DemandRates demand{{{1, 0}, 50'000}};
    for (AccountHash account = 2; account < 20; ++account)
      demand[{account, 0}] = 500;
    const auto admitted = Admitted(demand, 0.3);
    for (AccountHash account = 2; account < 20; ++account)
      CPPUNIT_ASSERT(admitted.at(account) >= 0.95 * 500);
    // What the small ones leave is not lost.
    CPPUNIT_ASSERT(admitted.at(1) >= 0.3 * 59'000 - 18 * 500 - 1);
  }

  // Unequal backlogged accounts get the same service: Jain index.
  void BackloggedAccountsGetEqualShares() {
    DemandRates demand;
    for (AccountHash account = 1; account <= 8; ++account)
      demand[{account, 1}] = 1000.0 * static_cast<double>(account * account);
    double sum = 0;
    double squares = 0;
    int backlogged = 0;
    for (const auto& [account, rate] : Admitted(demand, 0.05)) {
      if (rate >= demand.at({account, 1}))
        continue;
      sum += rate;
      squares += rate * rate;
      ++backlogged;
    }
    CPPUNIT_ASSERT(backlogged >= 6);
    CPPUNIT_ASSERT(sum * sum / (backlogged * squares) >= 0.97);
  }

  // A flood of a lower rank would otherwise shrink the shares of the others.
  void RanksDoNotShareWithEachOther() {
    const DemandRates demand{{{1, 0}, 100}, {{2, 2}, 100'000}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, FairAccountShare(demand, {1, 0}, 0.5),
                                 1e-9);
  }

  // Accounts beyond the largest are not named in heartbeats.
  void UnknownAccountIsNotHeldBack() {
    const DemandRates demand{{{1, 0}, 100}, {{2, 0}, 900}};
    CPPUNIT_ASSERT_EQUAL(1.0, FairAccountShare(demand, {3, 0}, 0.2));
    CPPUNIT_ASSERT_EQUAL(0.2, FairAccountShare({}, {3, 0}, 0.2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, LargestDemand(demand, 1).size());
    CPPUNIT_ASSERT_EQUAL(900.0, LargestDemand(demand, 1).at({2, 0}));
  }

  // A lost coordinator must not freeze the division of capacity.
  void DemandOfAllInstancesExpires() {
    OverloadController controller;
    const TimePoint now{seconds(100)};
    controller.SetClusterDemand(now, {{{1, 0}, 100}, {{2, 0}, 9900}});
    const double fair = controller.UtilizationLimit(now, "pool", {1, 0}, 0.99);
    const double later =
        controller.UtilizationLimit(now + seconds(3), "pool", {1, 0}, 0.99);
    CPPUNIT_ASSERT(fair > later + 0.05);
  }

  void DemandDecaysAndIsSharedInAShortageOnly() {
    OverloadController controller;
    TimePoint now{seconds(100)};
    for (int i = 0; i < 400; ++i, now += milliseconds(25))
      controller.CountDemand(now, {1, 0}, 50);
    CPPUNIT_ASSERT(controller.LocalDemand(now).empty());
    controller.OnShortage(now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, controller.LocalDemand(now).at({1, 0}),
                                 100);
    CPPUNIT_ASSERT(controller.LocalDemand(now + seconds(2)).empty());
  }

  // Clients that were told to return within 0.4 s came back into the same
  // burst and were refused again.
  void ReturnsFollowTheLengthOfAShortage() {
    OverloadController controller;
    TimePoint now{seconds(100)};
    controller.OnShortage(now);
    const Duration time_left = seconds(20);
    const Duration first = controller.RetryAfter(now, time_left, 0.5);
    for (int i = 0; i < 40; ++i, now += milliseconds(100))
      controller.OnShortage(now);
    CPPUNIT_ASSERT(controller.RetryAfter(now, time_left, 0.5) >=
                   first + seconds(3));
    for (double unit = 0; unit < 1; unit += 0.1) {
      CPPUNIT_ASSERT(controller.RetryAfter(now, seconds(3), unit) <=
                     seconds(1));
      CPPUNIT_ASSERT(controller.RetryAfter(now, seconds(3), unit) >
                     milliseconds(400));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace
}  // namespace trefoilwick
