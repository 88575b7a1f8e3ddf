// Planned stops: which requests an instance still takes, and how the others
// end, over real sockets.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway_fixtures.h"
#include "planned_stop.h"

namespace trefoilwick {
namespace {

constexpr Duration kGracePeriod = seconds(4);
// Until when an instance with that grace period takes requests.
constexpr milliseconds kNoticeTime(1333);

// A server that never ends its responses, and a gateway that begins to stop.
struct StoppingGateway {
  explicit StoppingGateway(ScriptedServer& server) {
    harness.settings().termination_grace_period = kGracePeriod;
    StartGateway(harness, {&server});
  }
  void BeginStop() {
    harness.StartDraining();
    began = std::chrono::steady_clock::now();
  }
  void SleepUntil(milliseconds after_begin) const {
    std::this_thread::sleep_until(began + after_begin);
  }

  GatewayHarness harness;
  std::chrono::steady_clock::time_point began;
};

ScriptedResponse WaitForClose() {
  return ScriptedResponse{"", true, false, seconds(8)};
}

bool IsRefusal(const std::string& response) {
  return response.starts_with("HTTP/1.1 503") && Contains(response, "not_run");
}

class AdapterDrainingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterDrainingTest);
  CPPUNIT_TEST(TimesFitIntoTheGracePeriod);
  CPPUNIT_TEST(DrainingFinishesRequestsInProgress);
  CPPUNIT_TEST(DrainingAcceptsNoConnectionAfterNoticeTime);
  CPPUNIT_TEST(RequestOnKeptConnectionIsRefusedAfterNoticeTime);
  CPPUNIT_TEST(BodyCompletedAfterNoticeTimeIsRefused);
  CPPUNIT_TEST(HeadCompletedAfterNoticeTimeIsRefused);
  CPPUNIT_TEST(RequestThatWaitsUnreadAtTheCloseIsAnswered);
  CPPUNIT_TEST(PipelinedRequestIsAnsweredAfterNoticeTime);
  CPPUNIT_TEST(RequestsInProgressAreReportedAtTheEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that is killed while it still takes requests, or
  // before it has reported those that it cannot finish.
  void TimesFitIntoTheGracePeriod() {
    for (const Duration grace : {Duration(seconds(1)), Duration(seconds(2)),
                                 Duration(seconds(8)), Duration(seconds(60))}) {
      const TimePoint begin(seconds(1000));
      detail::PlannedStop stop;
      CPPUNIT_ASSERT(stop.TakesRequests(begin) && !stop.MustExit(begin));
      stop.Begin(begin, grace);
      CPPUNIT_ASSERT(stop.TakesRequests(begin));
      CPPUNIT_ASSERT(!stop.TakesRequests(begin + grace / 3));
      CPPUNIT_ASSERT(!stop.TakesRequests(begin + milliseconds(2500)));
      CPPUNIT_ASSERT(!stop.MustEndRequests(begin + grace / 2));
      CPPUNIT_ASSERT(stop.MustEndRequests(begin + grace - milliseconds(200)));
      CPPUNIT_ASSERT(stop.MustExit(begin + grace - milliseconds(100)));
    }
  }

  // Guards against requests cut off by a planned stop, and against an instance
  // that still reports ready while it drains.
  void DrainingFinishesRequestsInProgress() {
    ScriptedServer server([](const std::string&) {
      std::this_thread::sleep_for(milliseconds(600));
      return ScriptedResponse{MakeSealedResponse("done")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    std::string response;
    std::jthread client(
        [&] { response = harness.CallAsClient(Request("GET /get/x")); });
    std::this_thread::sleep_for(milliseconds(200));
    harness.StartDraining();
    std::this_thread::sleep_for(milliseconds(200));
    const std::string ready = GatewayHarness::Call(
        harness.settings().ready_address,
        "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    client.join();
    CPPUNIT_ASSERT(ready.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(response.ends_with("done"));
    CPPUNIT_ASSERT(Contains(response, "Connection: close"));
  }

  // A request accepted 4.8 s after SIGTERM was cut off at the end of the grace
  // period (motionhall mix, seed 141298386369). Clients know of the draining
  // after 3 s.
  void DrainingAcceptsNoConnectionAfterNoticeTime() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{"", true, false, seconds(8)};
    });
    GatewayHarness harness;
    harness.settings().termination_grace_period = seconds(8);
    StartGateway(harness, {&server});
    std::jthread client([&] { harness.CallAsClient(Request("GET /get/x")); });
    std::this_thread::sleep_for(milliseconds(200));
    harness.StartDraining();
    std::this_thread::sleep_for(milliseconds(1000));
    CPPUNIT_ASSERT(harness.CallAsClient(Request("GET /none/x"))
                       .starts_with("HTTP/1.1 404"));
    std::this_thread::sleep_for(milliseconds(2300));
    CPPUNIT_ASSERT_EQUAL(std::string("no connection"),
                         harness.CallAsClient(Request("GET /none/x")));
    client.join();
  }

  // Guards against a request on a kept connection that is taken until the next
  // tick closes the connection, and cut off by the end of the process
  // (review/8).
  void RequestOnKeptConnectionIsRefusedAfterNoticeTime() {
    ScriptedServer server([](const std::string& request) {
      return Contains(request, "Attempt-Id: a1\r\n")
                 ? ScriptedResponse{MakeSealedResponse("one")}
                 : WaitForClose();
    });
    StoppingGateway stopping(server);
    ClientConnection client(stopping.harness.settings().client_address);
    client.Send("GET /get/x", "a1");
    CPPUNIT_ASSERT(client.ReadFor(milliseconds(200)).ends_with("one"));
    stopping.BeginStop();
    stopping.SleepUntil(kNoticeTime - milliseconds(30));
    // No tick falls between the end of the notice time and the request.
    stopping.harness.BlockFor(milliseconds(60));
    stopping.SleepUntil(kNoticeTime + milliseconds(5));
    client.Send("GET /get/x", "a2");
    const std::string response = client.ReadFor(milliseconds(500));
    CPPUNIT_ASSERT_MESSAGE(response, IsRefusal(response));
    CPPUNIT_ASSERT(Contains(response, "Attempt-Id: a2\r\n"));
    CPPUNIT_ASSERT(Contains(response, "Connection: close"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server.requests().size());
  }

  // Sends the first `early_bytes` of a request before the end of the notice
  // time and the rest after it.
  static void CheckRefusedWhenCompletedLate(const std::string& request,
                                            size_t early_bytes) {
    ScriptedServer server([](const std::string&) { return WaitForClose(); });
    StoppingGateway stopping(server);
    ClientConnection client(stopping.harness.settings().client_address);
    stopping.BeginStop();
    stopping.SleepUntil(kNoticeTime - milliseconds(300));
    client.SendBytes(request.substr(0, early_bytes));
    stopping.SleepUntil(kNoticeTime + milliseconds(600));
    client.SendBytes(request.substr(early_bytes));
    const std::string response = client.ReadFor(milliseconds(500));
    CPPUNIT_ASSERT_MESSAGE(response, IsRefusal(response));
    CPPUNIT_ASSERT(server.requests().empty());
  }

  // Guards against a request that is taken although its body was complete only
  // after the connection should have been closed.
  void BodyCompletedAfterNoticeTimeIsRefused() {
    const std::string request = Request("POST /post/x", "", "the body");
    CheckRefusedWhenCompletedLate(request, request.size() - 4);
  }

  // Guards against the same for a request whose head was complete only then.
  void HeadCompletedAfterNoticeTimeIsRefused() {
    CheckRefusedWhenCompletedLate(Request("GET /get/x"), 40);
  }

  // Guards against closing a connection on which a request has arrived that the
  // process, too busy, has not read yet: its client got no answer.
  void RequestThatWaitsUnreadAtTheCloseIsAnswered() {
    ScriptedServer server([](const std::string& request) {
      return Contains(request, "Attempt-Id: a1\r\n")
                 ? ScriptedResponse{MakeSealedResponse("one")}
                 : WaitForClose();
    });
    StoppingGateway stopping(server);
    ClientConnection kept(stopping.harness.settings().client_address);
    kept.Send("GET /get/x", "a1");
    CPPUNIT_ASSERT(kept.ReadFor(milliseconds(200)).ends_with("one"));
    stopping.BeginStop();
    stopping.SleepUntil(kNoticeTime - milliseconds(150));
    stopping.harness.BlockFor(milliseconds(300));
    stopping.SleepUntil(kNoticeTime - milliseconds(50));
    ClientConnection fresh(stopping.harness.settings().client_address);
    fresh.Send("GET /get/x", "a2");
    kept.Send("GET /get/x", "a3");
    for (ClientConnection* client : {&fresh, &kept}) {
      const std::string response = client->ReadFor(milliseconds(500));
      CPPUNIT_ASSERT_MESSAGE(response, IsRefusal(response));
    }
  }

  // Guards against dropping a request that had arrived behind one in progress:
  // nothing had told its client that the connection would close.
  void PipelinedRequestIsAnsweredAfterNoticeTime() {
    ScriptedServer server([](const std::string&) {
      ScriptedResponse response{kStreamHead};
      response.parts_pause = milliseconds(180);
      for (int id = 0; id < 10; ++id)
        response.parts.push_back(MakeChunk(MakeEvent(id)));
      response.parts.push_back(MakeChunk(""));
      return response;
    });
    StoppingGateway stopping(server);
    ClientConnection client(stopping.harness.settings().client_address);
    client.Send("POST /stream/x", "a1");
    std::this_thread::sleep_for(milliseconds(300));
    stopping.BeginStop();
    client.Send("POST /stream/x", "a2");
    const std::string response = client.ReadFor(milliseconds(2500));
    const size_t end = response.find("\r\n0\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(response, end != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(response, IsRefusal(response.substr(end + 7)));
  }

  // Guards against a request that a planned stop cuts off without an answer: it
  // may have run, which its client is told.
  void RequestsInProgressAreReportedAtTheEnd() {
    ScriptedServer server([](const std::string&) { return WaitForClose(); });
    GatewayHarness harness;
    harness.settings().termination_grace_period = seconds(2);
    Route route = MakeRoute("/get/", RouteKind::kIdempotent, 1);
    route.timeout = seconds(20);
    StartGateway(harness, {&server}, MakeTable({route}));
    ClientConnection client(harness.settings().client_address);
    client.SendBytes(
        "GET /get/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n"
        "Credential: k1\r\nDeadline-Ms: 20000\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(200));
    harness.StartDraining();
    const std::string response = client.ReadFor(seconds(3));
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT_MESSAGE(response, Contains(response, "unknown"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterDrainingTest);

}  // namespace
}  // namespace trefoilwick
