// Tests of requests that wait for a server, over real sockets: each gets one
// response, and a refusal is true.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

int CountOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++count;
  return count;
}

class AdapterWaitingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterWaitingTest);
  CPPUNIT_TEST(RequestsRefusedTogetherGetOneResponseEach);
  CPPUNIT_TEST(RefusedRequestIsNotSentToServer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Requests whose time in the queue ended together got several refusals each,
  // and clients read the later ones as responses to their next requests.
  void RequestsRefusedTogetherGetOneResponseEach() {
    constexpr int kConnections = 10;
    GatewayHarness harness;
    StartGateway(harness, {});
    std::deque<ClientConnection> clients;
    for (int i = 0; i < kConnections; ++i)
      clients.emplace_back(harness.settings().client_address);
    for (int i = 0; i < kConnections; ++i)
      clients[i].Send("GET /get/x", "a" + std::to_string(i));
    std::this_thread::sleep_for(milliseconds(600));
    for (int i = 0; i < kConnections; ++i) {
      const std::string response = clients[i].ReadFor(milliseconds(50));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, CountOf(response, "HTTP/1.1 "));
      CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 503"));
    }
    // The next response belongs to the next request.
    for (int i = 0; i < kConnections; ++i)
      clients[i].Send("GET /get/x", "b" + std::to_string(i));
    std::this_thread::sleep_for(milliseconds(600));
    for (int i = 0; i < kConnections; ++i) {
      const std::string response = clients[i].ReadFor(milliseconds(50));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, CountOf(response, "HTTP/1.1 "));
      CPPUNIT_ASSERT(Contains(response, "b" + std::to_string(i)));
    }
  }

  // A call that may run once was sent when a request before it was refused, but
  // stayed among the waiting requests. Behind the next request that found no
  // server it was refused while its server ran it.
  void RefusedRequestIsNotSentToServer() {
    constexpr int kRounds = 4;
    ScriptedServer annex([](const std::string&) {
      std::this_thread::sleep_for(milliseconds(250));
      return ScriptedResponse{MakeAnonymousResponse("done")};
    });
    Route split = MakeRoute("/post/", RouteKind::kNonIdempotent, 1);
    split.services = {{"desk", 1}, {"annex", 1}};
    split.rank = 1;
    Route reads = MakeRoute("/get/", RouteKind::kIdempotent, 2);
    // Requests that are late wait behind others.
    for (Route* route : {&split, &reads})
      route->latency_target = seconds(1);
    GatewayHarness harness;
    harness.store().table = MakeTable({reads, split});
    harness.AddServer("i-0", "annex", annex.address());
    harness.Start();
    const std::string& address = harness.settings().client_address;
    // Requests wait for 250 ms.
    for (int round = 0; round < kRounds; ++round) {
      const std::string id = "write-" + std::to_string(round);
      ClientConnection first_reader(address);
      ClientConnection writer(address);
      ClientConnection second_reader(address);
      first_reader.Send("GET /get/x", "read");
      std::this_thread::sleep_for(milliseconds(100));
      writer.Send("POST /post/x", id);
      std::this_thread::sleep_for(milliseconds(225));
      second_reader.Send("GET /get/x", "read");
      const std::string response = writer.ReadFor(milliseconds(700));
      const std::vector<std::string> sent = annex.requests();
      const bool was_sent = std::any_of(
          sent.begin(), sent.end(),
          [&](const std::string& bytes) { return Contains(bytes, id); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response, was_sent,
                                   response.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(was_sent || response.starts_with("HTTP/1.1 503"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterWaitingTest);

}  // namespace
}  // namespace trefoilwick
