// Ranks in an overload. Listed in KNOWN-RED.txt.
#include <cppunit/extensions/HelperMacros.h>

#include "overload_replay.h"

namespace trefoilwick {
namespace {

using namespace overload_replay;

class CoordinationOverloadRanksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinationOverloadRanksTest);
  CPPUNIT_TEST(UrgentRankThatFitsIsServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The most urgent rank alone is 0.6 of the capacity, all ranks are 2.6 times
  // the capacity.
  void UrgentRankThatFitsIsServed() {
    Replay replay(122);
    const Load load{{{0, 0.6 * kCapacity}, {1, kCapacity}, {2, kCapacity}}};
    replay.Run(load, seconds(2));
    const auto counts = replay.Run(load, seconds(4));
    // Nobody starves.
    CPPUNIT_ASSERT(counts.at(2).begun_share() >= 0.05);
    CPPUNIT_ASSERT(counts.at(0).begun_share() >= 0.95);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationOverloadRanksTest);

}  // namespace
}  // namespace trefoilwick
