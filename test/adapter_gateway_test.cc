// Tests of the gateway over real sockets, for faults that the unit tests of its
// decisions cannot detect.
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

class AdapterGatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterGatewayTest);
  CPPUNIT_TEST(RequestAndResponseAreForwarded);
  CPPUNIT_TEST(ResponseWithoutLengthEndsWithConnection);
  CPPUNIT_TEST(SuccessWithoutSealReturns502);
  CPPUNIT_TEST(TruncatedResponseIsRetriedOnIdempotentRoute);
  CPPUNIT_TEST(TruncatedResponseIsNotRetriedOnNonIdempotentRoute);
  CPPUNIT_TEST(ServerRefusalIsReportedAsNotRun);
  CPPUNIT_TEST(RetryAfterServerErrorUsesAnotherServer);
  CPPUNIT_TEST(ErrorIsForwardedWhenTheRetryBudgetIsSpent);
  CPPUNIT_TEST(RequestOnClosedIdleConnectionIsSentAgain);
  CPPUNIT_TEST(OnlyServerIsUsedAgainAfterItsError);
  CPPUNIT_TEST(ResponseOfAnotherRequestIsDiscarded);
  CPPUNIT_TEST(BrokenStreamResumesAfterLastCompleteEvent);
  CPPUNIT_TEST(UnresumedStreamEndsWithoutFinalChunk);
  CPPUNIT_TEST(ClientDisconnectCancelsUpstreamCall);
  CPPUNIT_TEST(DeadlineDuringUpstreamCallReturns504);
  CPPUNIT_TEST(InvalidRequestsAreRejected);
  CPPUNIT_TEST(ChunkedRequestBodyIsForwarded);
  CPPUNIT_TEST(PipelinedRequestsAreAllAnswered);
  CPPUNIT_TEST(MissingConfigurationReturns503);
  CPPUNIT_TEST(RequestWaitsForFirstConfiguration);
  CPPUNIT_TEST(DirectoryAndMetricsRespond);
  CPPUNIT_TEST(RequestCountsOnceTowardsRetryBudget);
  CPPUNIT_TEST(ServerThatOnlyStopsListeningCountsAsAttempted);
  CPPUNIT_TEST(UnlistedServerThatServesOnCountsAsAttempted);
  CPPUNIT_TEST(UnlistedServerThatEndedDoesNotCountAsAttempted);
  CPPUNIT_TEST(EndedServerDoesNotCountAsAttempted);
  CPPUNIT_TEST(StreamWithMissingEventResumesBeforeIt);
  CPPUNIT_TEST(ServerGetsNoMoreThanItsLimit);
  CPPUNIT_TEST(UnframedStreamThatEndsInsideAnEventIsResumed);
  CPPUNIT_TEST(UnframedStreamEndsAfterAnEvent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // One of two servers named a limit and got half of all requests.
  void ServerGetsNoMoreThanItsLimit() {
    ScriptedServer limited([](const std::string&) {
      return ScriptedResponse{
          MakeResponse("200 OK", "Server-Seal: s\r\nServer-Limit: 4\r\n", "x")};
    });
    ScriptedServer other([](const std::string&) {
      return ScriptedResponse{MakeSealedResponse("x")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&limited, &other});
    constexpr int kRequests = 100;
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT(harness.CallAsClient(Request("GET /get/x"))
                         .starts_with("HTTP/1.1 200"));
      std::this_thread::sleep_for(milliseconds(20));
    }
    // Two seconds at four a second, half as much again, and the first ones.
    const size_t count = limited.requests().size();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(count), count <= 17 && count >= 3);
  }

  // Response of a gateway to a request for a stream whose first server sends
  // `unframed` without length or chunks and closes the connection. Another
  // server has the events 1 and 2.
  static std::string CallUnframed(const std::string& unframed) {
    std::atomic<int> calls{0};
    const auto serve = [&](const std::string& request) {
      if (++calls == 1)
        return ScriptedResponse{
            "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n"
            "Content-Type: text/event-stream\r\n\r\n" +
            unframed};
      std::string body = std::string(kStreamHead);
      if (!Contains(request, "Last-Event-Id: 0"))
        body += MakeChunk(MakeEvent(0));
      return ScriptedResponse{body + MakeChunk(MakeEvent(1)) +
                              MakeChunk(MakeEvent(2)) + MakeChunk("")};
    };
    ScriptedServer first(serve);
    ScriptedServer second(serve);
    GatewayHarness harness;
    StartGateway(harness, {&first, &second});
    return harness.CallAsClient(Request("POST /stream/x", "", "b"));
  }

  // The half event was forwarded as the end of a complete response.
  void UnframedStreamThatEndsInsideAnEventIsResumed() {
    const std::string half_event = MakeEvent(1).substr(0, 12);
    for (const std::string& cut : {MakeEvent(0) + half_event, std::string()}) {
      const std::string response = CallUnframed(cut);
      CPPUNIT_ASSERT_EQUAL(std::string("012"), EventIds(response));
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("0\r\n\r\n"));
    }
  }

  void UnframedStreamEndsAfterAnEvent() {
    const std::string response = CallUnframed(MakeEvent(0) + MakeEvent(1));
    CPPUNIT_ASSERT_EQUAL(std::string("01"), EventIds(response));
    CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("0\r\n\r\n"));
  }

  void RequestAndResponseAreForwarded() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeSealedResponse("hello")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    const std::string response = harness.CallAsClient(
        Request("POST /post/x?q=%20a", "X-Own: 7\r\n", "the body"));
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(Contains(response, "Server-Seal: s\r\n"));
    CPPUNIT_ASSERT(response.ends_with("\r\n\r\nhello"));
    const std::string seen = server.requests().at(0);
    CPPUNIT_ASSERT(seen.starts_with("POST /post/x?q=%20a HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(Contains(seen, "X-Own: 7\r\n"));
    CPPUNIT_ASSERT(Contains(seen, "Tenant: club\r\n"));
    CPPUNIT_ASSERT(!Contains(seen, "k1"));
    CPPUNIT_ASSERT(seen.ends_with("\r\n\r\nthe body"));
  }

  void ResponseWithoutLengthEndsWithConnection() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{
          "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n"
          "\r\nall of it"};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    const std::string response = harness.CallAsClient(Request("GET /get/x"));
    CPPUNIT_ASSERT(Contains(response, "Content-Length: 9\r\n"));
    CPPUNIT_ASSERT(response.ends_with("all of it"));
  }

  void SuccessWithoutSealReturns502() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeResponse("200 OK", "", "x")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    CPPUNIT_ASSERT(harness.CallAsClient(Request("POST /post/x", "", "b"))
                       .starts_with("HTTP/1.1 502"));
  }

  void TruncatedResponseIsRetriedOnIdempotentRoute() {
    std::atomic<int> calls{0};
    const auto handler = [&](const std::string&) {
      const std::string whole = MakeSealedResponse("complete");
      return ++calls == 1 ? ScriptedResponse{whole.substr(0, whole.size() - 3)}
                          : ScriptedResponse{whole};
    };
    ScriptedServer first(handler);
    ScriptedServer second(handler);
    GatewayHarness harness;
    StartGateway(harness, {&first, &second});
    CPPUNIT_ASSERT(
        harness.CallAsClient(Request("GET /get/x")).ends_with("complete"));
    CPPUNIT_ASSERT_EQUAL(2, calls.load());
  }

  // Guards against running a write twice: one that may have been carried out
  // must not be sent again.
  void TruncatedResponseIsNotRetriedOnNonIdempotentRoute() {
    std::atomic<int> calls{0};
    const auto handler = [&](const std::string&) {
      ++calls;
      return ScriptedResponse{
          "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n"
          "Content-Length: 50\r\n\r\nhalf",
          true, true};
    };
    ScriptedServer first(handler);
    ScriptedServer second(handler);
    GatewayHarness harness;
    StartGateway(harness, {&first, &second});
    CPPUNIT_ASSERT(harness.CallAsClient(Request("POST /post/x", "", "b"))
                       .starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT_EQUAL(1, calls.load());
  }

  // The server of the own data center failed a request and got it again, while
  // one in another data center was free (dhofar-warmth, inc-a151).
  void RetryAfterServerErrorUsesAnotherServer() {
    ScriptedServer failing([](const std::string&) {
      return ScriptedResponse{MakeResponse("500 Internal Server Error",
                                           "Server-Seal: s\r\n", "failed")};
    });
    ScriptedServer other([](const std::string&) {
      return ScriptedResponse{MakeSealedResponse("done")};
    });
    GatewayHarness harness;
    harness.AddServer("i-0", "desk", failing.address());
    harness.AddServer("i-1", "desk", other.address());
    harness.store().servers["i-1"].data_center = "brandon";
    harness.store().table = MakeTable();
    harness.Start();
    // The first sums of the retry budget.
    std::this_thread::sleep_for(seconds(1));
    for (int i = 0; i < 3; ++i) {
      const std::string response = harness.CallAsClient(Request("GET /get/x"));
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("done"));
    }
  }

  // The client got a 502 in place of the complete answer.
  void ErrorIsForwardedWhenTheRetryBudgetIsSpent() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeResponse("500 Internal Server Error",
                                           "Server-Seal: s\r\n", "failed")};
    });
    GatewayHarness harness;
    harness.settings().retry_ratio = 0;
    harness.settings().retry_slack = 0;
    StartGateway(harness, {&server});
    // An instance without sums of the others retries once.
    harness.CallAsClient(Request("GET /get/x"));
    const std::string response = harness.CallAsClient(Request("GET /get/x"));
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 500"));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, server.requests().size());
  }

  // A server closes idle connections; a request that is on its way then must
  // not wait or fail because no other server can take it.
  void RequestOnClosedIdleConnectionIsSentAgain() {
    std::atomic<int> calls{0};
    ScriptedServer server([&](const std::string&) {
      ScriptedResponse response{MakeSealedResponse("done")};
      response.close = false;
      if (++calls == 2)
        return ScriptedResponse{"", true, true};
      return response;
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    for (int i = 0; i < 2; ++i) {
      const std::string response = harness.CallAsClient(Request("GET /get/x"));
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("done"));
    }
    CPPUNIT_ASSERT_EQUAL(3, calls.load());
  }

  void OnlyServerIsUsedAgainAfterItsError() {
    std::atomic<int> calls{0};
    ScriptedServer server([&](const std::string&) {
      return ScriptedResponse{++calls == 1
                                  ? MakeResponse("500 Internal Server Error",
                                                 "Server-Seal: s\r\n", "failed")
                                  : MakeSealedResponse("done")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    CPPUNIT_ASSERT(
        harness.CallAsClient(Request("GET /get/x")).ends_with("done"));
  }

  void ServerRefusalIsReportedAsNotRun() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{
          MakeResponse("503 Service Unavailable", "Not-Run: 1\r\n", "")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    const std::string response =
        harness.CallAsClient(Request("POST /post/x", "", "b"));
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Contains(response, "Retry-After: "));
    CPPUNIT_ASSERT(Contains(response, "not_run"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server.requests().size());
  }

  void ResponseOfAnotherRequestIsDiscarded() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{
          "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: o\r\n"
          "Content-Length: 6\r\n\r\nforged" +
          MakeSealedResponse("mine")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    const std::string response = harness.CallAsClient(Request("GET /get/x"));
    CPPUNIT_ASSERT(response.ends_with("\r\n\r\nmine"));
    CPPUNIT_ASSERT(!Contains(response, "forged"));
  }

  void BrokenStreamResumesAfterLastCompleteEvent() {
    std::atomic<int> calls{0};
    const auto handler = [&](const std::string&) {
      if (++calls == 1)
        return ScriptedResponse{std::string(kStreamHead) +
                                    MakeChunk(MakeEvent(0) + MakeEvent(1)) +
                                    MakeChunk(MakeEvent(2).substr(0, 9)),
                                true, true};
      return ScriptedResponse{std::string(kStreamHead) +
                              MakeChunk(MakeEvent(2) + MakeEvent(3)) +
                              "0\r\n\r\n"};
    };
    ScriptedServer first(handler);
    ScriptedServer second(handler);
    GatewayHarness harness;
    StartGateway(harness, {&first, &second});
    const std::string response =
        harness.CallAsClient(Request("POST /stream/x", "", "p"));
    CPPUNIT_ASSERT_EQUAL(std::string("0123"), EventIds(response));
    CPPUNIT_ASSERT(response.ends_with("0\r\n\r\n"));
    std::vector<std::string> requests = first.requests();
    for (const std::string& request : second.requests())
      requests.push_back(request);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, requests.size());
    CPPUNIT_ASSERT(Contains(requests[0], "Last-Event-Id: 1\r\n") ||
                   Contains(requests[1], "Last-Event-Id: 1\r\n"));
  }

  void UnresumedStreamEndsWithoutFinalChunk() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{
          std::string(kStreamHead) + MakeChunk(MakeEvent(0)), true, true};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    const std::string response =
        harness.CallAsClient(Request("POST /stream/x", "", "p"));
    CPPUNIT_ASSERT(Contains(response, "id: 0"));
    CPPUNIT_ASSERT(!Contains(response, "0\r\n\r\n"));
  }

  void ClientDisconnectCancelsUpstreamCall() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{"", true, false, milliseconds(1500)};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    asio::io_context io;
    {
      tcp::socket socket(io);
      socket.connect(*ParseEndpoint(harness.settings().client_address));
      asio::write(socket, asio::buffer(Request("GET /get/x")));
      for (int i = 0; i < 100 && server.requests().empty(); ++i)
        std::this_thread::sleep_for(milliseconds(10));
    }
    for (int i = 0; i < 50 && !server.peer_closed(); ++i)
      std::this_thread::sleep_for(milliseconds(10));
    CPPUNIT_ASSERT(server.peer_closed());
  }

  void DeadlineDuringUpstreamCallReturns504() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{"", true, false, seconds(3)};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    const auto start = std::chrono::steady_clock::now();
    const std::string response = harness.CallAsClient(
        "POST /post/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n"
        "Credential: k1\r\nDeadline-Ms: 300\r\nConnection: close\r\n"
        "Content-Length: 1\r\n\r\nb");
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 504"));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < seconds(2));
  }

  void InvalidRequestsAreRejected() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeSealedResponse("x")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    const auto status = [&](const std::string& request) {
      return harness.CallAsClient(request).substr(9, 3);
    };
    CPPUNIT_ASSERT_EQUAL(std::string("404"), status(Request("GET /none/x")));
    std::string request = Request("GET /get/x");
    request.replace(request.find("k1"), 2, "k9");
    CPPUNIT_ASSERT_EQUAL(std::string("401"), status(request));
    CPPUNIT_ASSERT_EQUAL(std::string("400"), status("nonsense\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("400"),
                         status("GET /get/x HTTP/1.1\r\n\r\n"));
    // A body with two framings can be used for request smuggling.
    CPPUNIT_ASSERT_EQUAL(
        std::string("400"),
        status(Request("POST /post/x", "Transfer-Encoding: chunked\r\n",
                       "5\r\nhello")));
    CPPUNIT_ASSERT_EQUAL(
        std::string("431"),
        status(Request("GET /get/x", "X: " + std::string(6000, 'a') + "\r\n")));
    CPPUNIT_ASSERT_EQUAL(
        std::string("413"),
        status(Request("POST /post/x", "", std::string(20'000, 'b'))));
    CPPUNIT_ASSERT(server.requests().empty());
  }

  void ChunkedRequestBodyIsForwarded() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeSealedResponse("x")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    harness.CallAsClient(
        "POST /post/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n"
        "Credential: k1\r\nConnection: close\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(server.requests().at(0).ends_with("\r\n\r\nabcde"));
  }

  void PipelinedRequestsAreAllAnswered() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeSealedResponse("x"), false};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    std::string keep = Request("GET /get/x");
    keep.erase(keep.find("Connection: close\r\n"), 19);
    const std::string response =
        harness.CallAsClient(keep + keep + Request("GET /get/x"));
    int answers = 0;
    for (size_t at = response.find("HTTP/1.1 200"); at != std::string::npos;
         at = response.find("HTTP/1.1 200", at + 1))
      ++answers;
    CPPUNIT_ASSERT_EQUAL(3, answers);
  }

  // Guards against a false 404: without a configuration an instance cannot know
  // that a route is missing.
  void MissingConfigurationReturns503() {
    GatewayHarness harness;
    harness.Start();
    std::this_thread::sleep_for(milliseconds(100));
    const std::string response = harness.CallAsClient(Request("GET /none/x"));
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Contains(response, "Retry-After"));
  }

  // After a loss of all instances, requests arrive before the configuration
  // does. Refusing them cost their clients a second attempt.
  void RequestWaitsForFirstConfiguration() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeSealedResponse("x")};
    });
    GatewayHarness harness;
    harness.AddServer("s0", "desk", server.address());
    harness.Start();
    std::string response;
    std::jthread client(
        [&] { response = harness.CallAsClient(Request("GET /get/x")); });
    std::this_thread::sleep_for(milliseconds(100));
    harness.SetTable(MakeTable());
    client.join();
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200"));
  }

  void DirectoryAndMetricsRespond() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeSealedResponse("x")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    harness.CallAsClient(Request("GET /get/x"));
    const std::string directory = GatewayHarness::Call(
        harness.settings().directory_address,
        "GET /resolve?name=a.example&region=p&zone=regina HTTP/1.1\r\n"
        "Host: x\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(Contains(directory, harness.settings().client_address));
    const std::string metrics = GatewayHarness::Call(
        harness.settings().metrics_address,
        "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(
        Contains(metrics, "trefoilwick_requests_total{status=\"200\"} 1"));
  }

  // Events that arrived together with one that was out of order counted as
  // delivered, but were dropped, and no later event was recognized.
  void StreamWithMissingEventResumesBeforeIt() {
    std::atomic<int> calls{0};
    const auto handler = [&](const std::string&) {
      const std::string events =
          ++calls == 1 ? MakeEvent(0) + MakeEvent(1) + MakeEvent(3)
                       : MakeEvent(2) + MakeEvent(3);
      return ScriptedResponse{std::string(kStreamHead) + MakeChunk(events) +
                              "0\r\n\r\n"};
    };
    ScriptedServer first(handler);
    ScriptedServer second(handler);
    GatewayHarness harness;
    StartGateway(harness, {&first, &second});
    const std::string response =
        harness.CallAsClient(Request("POST /stream/x", "", "p"));
    CPPUNIT_ASSERT_EQUAL(std::string("0123"), EventIds(response));
    CPPUNIT_ASSERT(response.ends_with("0\r\n\r\n"));
  }

  // Every failed connection counted as a new request and raised the budget.
  void RequestCountsOnceTowardsRetryBudget() {
    GatewayHarness harness;
    harness.store().table = MakeTable();
    for (const char* id : {"a", "b"})
      harness.AddServer(id, "desk", "127.0.0.1:" + std::to_string(FreePort()));
    harness.Start();
    CPPUNIT_ASSERT(harness.CallAsClient(Request("GET /get/x"))
                       .starts_with("HTTP/1.1 503"));
    const std::string metrics = GatewayHarness::Call(
        harness.settings().metrics_address,
        "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(Contains(
        metrics, "trefoilwick_budget_requests_total{service=\"desk\"} 1\n"));
  }

  // Calls a route that allows one server, with two servers of which the first
  // to be called gives `first`. Returns the number of calls.
  static int CountCallsAfter(const ScriptedResponse& first) {
    std::atomic<int> calls{0};
    const auto handler = [&](const std::string&) {
      if (++calls == 1)
        return first;
      return ScriptedResponse{std::string(kStreamHead) +
                              MakeChunk(MakeEvent(0)) + MakeChunk("")};
    };
    ScriptedServer a(handler);
    ScriptedServer b(handler);
    GatewayHarness harness;
    StartGateway(harness, {&a, &b});
    harness.CallAsClient(Request("POST /single/x", "", "b"));
    return calls;
  }

  // A server that is leaving closes its port while it still runs streams. It
  // was taken for ended, and its streams ran on more servers than allowed.
  void ServerThatOnlyStopsListeningCountsAsAttempted() {
    ScriptedResponse silent;
    silent.max_wait_for_close = seconds(3);
    silent.stop_listening = true;
    CPPUNIT_ASSERT_EQUAL(1, CountCallsAfter(silent));
  }

  // Calls a route that allows one server, with two servers. The first to be
  // called breaks the stream after one event and leaves the server list.
  // Returns the number of calls.
  static int CountCallsAfterLeavingList(bool stops_listening) {
    ScriptedResponse broken{std::string(kStreamHead) + MakeChunk(MakeEvent(0)) +
                            MakeChunk(MakeEvent(2))};
    broken.close = false;
    broken.stop_listening = stops_listening;
    std::atomic<int> calls{0};
    GatewayHarness* gateway = nullptr;
    const auto handler = [&](const std::string& id) {
      if (++calls > 1)
        return ScriptedResponse{std::string(kStreamHead) +
                                MakeChunk(MakeEvent(1)) + MakeChunk("")};
      gateway->RemoveServer(id);
      return broken;
    };
    ScriptedServer a([&](const std::string&) { return handler("i-0"); });
    ScriptedServer b([&](const std::string&) { return handler("i-1"); });
    GatewayHarness harness;
    gateway = &harness;
    Route route = MakeRoute("/single/", RouteKind::kStream, 1);
    route.timeout = seconds(6);
    StartGateway(harness, {&a, &b}, MakeTable({route}));
    harness.CallAsClient(
        "POST /single/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n"
        "Credential: k1\r\nConnection: close\r\n\r\n");
    return calls;
  }

  // Some servers leave the list many seconds before they end. They were taken
  // for ended after 2.5 s, and their streams ran on more servers than allowed.
  void UnlistedServerThatServesOnCountsAsAttempted() {
    CPPUNIT_ASSERT_EQUAL(1, CountCallsAfterLeavingList(false));
  }

  void UnlistedServerThatEndedDoesNotCountAsAttempted() {
    CPPUNIT_ASSERT_EQUAL(2, CountCallsAfterLeavingList(true));
  }

  void EndedServerDoesNotCountAsAttempted() {
    ScriptedResponse end;
    end.stop_listening = true;
    CPPUNIT_ASSERT_EQUAL(2, CountCallsAfter(end));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterGatewayTest);

}  // namespace
}  // namespace trefoilwick
