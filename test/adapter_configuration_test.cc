// Tests of the configuration that is in force when a request begins, over real
// sockets: its client accounts and its limits.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

std::shared_ptr<const RouteTable> MakeTableWithoutAccounts(int64_t version) {
  return std::make_shared<const RouteTable>(
      RouteTable::Builder(version)
          .RequireAccount()
          .AddService({"desk", "", 0, {}})
          .AddRoute(MakeRoute("/get/", RouteKind::kIdempotent, 2))
          .Build());
}

std::shared_ptr<const RouteTable> MakeTableWithLimit(int64_t version,
                                                     size_t max_body_bytes) {
  ClientLimits limits;
  limits.max_body_bytes = max_body_bytes;
  return std::make_shared<const RouteTable>(
      RouteTable::Builder(version)
          .SetLimits(limits)
          .AddService({"desk", "", 0, {}})
          .AddRoute(MakeRoute("/get/", RouteKind::kIdempotent, 2))
          .Build());
}

class AdapterConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterConfigurationTest);
  CPPUNIT_TEST(EmptyListOfAccountsLetsNobodyIn);
  CPPUNIT_TEST(LimitsAreThoseInForceWhenRequestBegins);
  CPPUNIT_TEST_SUITE_END();

 public:
  // After a configuration with an empty list of accounts every key was
  // accepted, also on connections that were open.
  void EmptyListOfAccountsLetsNobodyIn() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeAnonymousResponse("done")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    ClientConnection client(harness.settings().client_address);
    client.Send("GET /get/x", "a1");
    CPPUNIT_ASSERT(client.ReadFor(milliseconds(300)).ends_with("done"));
    harness.SetTable(MakeTableWithoutAccounts(2));
    std::this_thread::sleep_for(milliseconds(300));
    client.Send("GET /get/x", "a2");
    const std::string response = client.ReadFor(milliseconds(300));
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 401"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server.requests().size());
  }

  // A connection that was opened before a restarted process knew its
  // configuration kept the default limits: a proper request got 413.
  void LimitsAreThoseInForceWhenRequestBegins() {
    const std::string body(1'500'000, 'x');
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeAnonymousResponse("done")};
    });
    GatewayHarness harness;
    harness.AddServer("i-0", "desk", server.address());
    harness.Start();
    ClientConnection client(harness.settings().client_address);
    harness.SetTable(MakeTableWithLimit(1, 2'000'000));
    std::this_thread::sleep_for(milliseconds(300));
    for (int i = 0; i < 2; ++i) {
      client.Send("POST /get/x", "a1", body);
      const std::string response = client.ReadFor(milliseconds(500));
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("done"));
    }
    harness.SetTable(MakeTableWithLimit(2, 1'000'000));
    std::this_thread::sleep_for(milliseconds(300));
    client.Send("POST /get/x", "a2", body);
    CPPUNIT_ASSERT(
        client.ReadFor(milliseconds(500)).starts_with("HTTP/1.1 413"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterConfigurationTest);

}  // namespace
}  // namespace trefoilwick
