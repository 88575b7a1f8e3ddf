// Overload on many instances: throughput, and calm before and after it.
#include <cppunit/extensions/HelperMacros.h>

#include "overload_replay.h"

namespace trefoilwick {
namespace {

using namespace overload_replay;

class CoordinationOverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinationOverloadTest);
  CPPUNIT_TEST(ThroughputHoldsInOverload);
  CPPUNIT_TEST(NothingIsRefusedBelowCapacityNorAfterABurst);
  CPPUNIT_TEST_SUITE_END();

 public:
  // 440 streams a second were served on time, and 170 when 660 came: instances
  // sent more to a server between two sums than it had room for, and it refused
  // or preempted them.
  void ThroughputHoldsInOverload() {
    for (const int instances : {13, 27, 122}) {
      for (const double times : {1.45, 3.0}) {
        Replay replay(instances);
        replay.Run(AllRanks(times), seconds(2));
        const auto counts = replay.Run(AllRanks(times), seconds(4));
        CPPUNIT_ASSERT(BegunPerSecond(counts, seconds(4)) >=
                       0.9 * 0.85 * kCapacity);
      }
    }
  }

  // Refusals went on for ten seconds after a burst had ended.
  void NothingIsRefusedBelowCapacityNorAfterABurst() {
    Replay replay(122);
    const auto calm = replay.Run(AllRanks(0.55), seconds(4));
    CPPUNIT_ASSERT(Sum(calm).begun_share() >= 0.999);
    replay.Run(AllRanks(2.2), seconds(4));
    replay.Run(AllRanks(0.55), seconds(2));
    const auto after = replay.Run(AllRanks(0.55), seconds(3));
    CPPUNIT_ASSERT(Sum(after).begun_share() >= 0.999);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationOverloadTest);

}  // namespace
}  // namespace trefoilwick
