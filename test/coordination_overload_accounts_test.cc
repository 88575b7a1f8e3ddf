// Accounts in an overload. Listed in KNOWN-RED.txt.
#include <cppunit/extensions/HelperMacros.h>

#include "overload_replay.h"

namespace trefoilwick {
namespace {

using namespace overload_replay;

class CoordinationOverloadAccountsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinationOverloadAccountsTest);
  CPPUNIT_TEST(FloodOfOneAccountLeavesTheOthersTheirService);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Seven accounts together ask for a third of the capacity, the eighth for
  // twice the capacity.
  void FloodOfOneAccountLeavesTheOthersTheirService() {
    Replay replay(27);
    const Load flood{{{0, 2.4 * kCapacity}}, 0.85};
    replay.Run(flood, seconds(3));
    const auto counts = replay.Run(flood, seconds(4));
    Counts others;
    for (const auto& [account, count] : counts) {
      if (account == 1)
        continue;
      others.offered += count.offered;
      others.begun += count.begun;
    }
    CPPUNIT_ASSERT(counts.at(1).begun_share() < 0.5);
    CPPUNIT_ASSERT(others.begun_share() >= 0.95);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationOverloadAccountsTest);

}  // namespace
}  // namespace trefoilwick
