// Refusals of servers in an overload. Listed in KNOWN-RED.txt.
#include <cppunit/extensions/HelperMacros.h>

#include "overload_replay.h"

namespace trefoilwick {
namespace {

using namespace overload_replay;

class CoordinationOverloadRefusalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinationOverloadRefusalsTest);
  CPPUNIT_TEST(ServersRefuseAlmostNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Servers refused 17% of what arrived. The replay's servers have no queue, so
  // each request over their limit is a refusal.
  void ServersRefuseAlmostNothing() {
    Replay replay(122);
    replay.Run(AllRanks(3.0), seconds(2));
    const Counts sum = Sum(replay.Run(AllRanks(3.0), seconds(4)));
    CPPUNIT_ASSERT(sum.server_refusals <= 0.01 * sum.offered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationOverloadRefusalsTest);

}  // namespace
}  // namespace trefoilwick
