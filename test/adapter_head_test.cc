// Tests of the gateway with servers that send heads which are not allowed by
// the protocol: the response is broken and no client gets it.
#include <cppunit/extensions/HelperMacros.h>
#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include "broken_responses.h"
#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

constexpr char kSealedFields[] = "Attempt-Id: a1\r\nServer-Seal: s\r\n";

// Keeps the lines of the log.
class LogRecorder final : public log4cplus::Appender {
 public:
  ~LogRecorder() override { destructorImpl(); }
  void close() override {}
  std::string lines() {
    std::lock_guard lock(m_mutex);
    return m_lines;
  }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::lock_guard lock(m_mutex);
    m_lines.append(event.getMessage()).append("\n");
  }

 private:
  std::mutex m_mutex;
  std::string m_lines;
};

class AdapterHeadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterHeadTest);
  CPPUNIT_TEST(BadStatusIsNotForwarded);
  CPPUNIT_TEST(BadFieldNameIsNotForwarded);
  CPPUNIT_TEST(FoldedLineIsNotForwarded);
  CPPUNIT_TEST(BadTransferCodingIsNotForwarded);
  CPPUNIT_TEST(StreamWithBrokenHeadRunsElsewhere);
  CPPUNIT_TEST(BrokenHeadIsLoggedAndItsConnectionClosed);
  CPPUNIT_TEST(InterimResponseIsSkipped);
  CPPUNIT_TEST(TrailerIsNotReadAsHead);
  CPPUNIT_TEST_SUITE_END();

  // A route with two servers of its own, which send `first` to their first
  // request and "done" to others.
  struct BrokenRoute {
    std::string path;
    std::vector<std::unique_ptr<ScriptedServer>> servers;

    size_t sends() const {
      size_t count = 0;
      for (const auto& server : servers)
        count += server->requests().size();
      return count;
    }
  };

  static BrokenRoute AddRoute(GatewayHarness& harness,
                              std::vector<Route>& routes,
                              Route route,
                              const std::string& first) {
    route.services = {{route.prefix, 1}};
    BrokenRoute out{route.prefix + "x", {}};
    const ScriptedServer::Handler handler = AnswerFirstWith(first);
    for (int i = 0; i < 2; ++i) {
      out.servers.push_back(std::make_unique<ScriptedServer>(handler));
      harness.AddServer(route.prefix + std::to_string(i), route.prefix,
                        out.servers.back()->address());
    }
    routes.push_back(std::move(route));
    return out;
  }

  // Checks that a request that may be repeated is completed by another server,
  // that one that may not fails after one send, and that a client of a stream
  // gets nothing of it. One gateway serves all requests, since each takes ports
  // of which a test program has few (FreePort).
  static void CheckNotForwarded(const std::vector<BrokenResponse>& responses) {
    std::vector<BrokenRoute> once;
    std::vector<BrokenRoute> repeated;
    std::vector<BrokenRoute> streams;
    std::vector<Route> routes;
    GatewayHarness harness;
    for (size_t i = 0; i < responses.size(); ++i) {
      const std::string end = std::to_string(i) + "/";
      const auto add = [&](const std::string& prefix, RouteKind kind,
                           int attempts) {
        return AddRoute(harness, routes,
                        MakeRoute(prefix + end, kind, attempts),
                        responses[i].bytes);
      };
      once.push_back(add("/post", RouteKind::kNonIdempotent, 1));
      repeated.push_back(add("/get", RouteKind::kIdempotent, 2));
      streams.push_back(add("/single", RouteKind::kStream, 1));
    }
    harness.store().table = MakeTable(routes);
    harness.Start();
    const auto call = [&](const BrokenRoute& route) {
      return harness.CallAsClient(Request("POST " + route.path, "", "b"));
    };
    std::string forwarded;
    for (size_t i = 0; i < responses.size(); ++i) {
      const std::string first = call(once[i]);
      if (!first.starts_with("HTTP/1.1 502") || Contains(first, "broken") ||
          once[i].sends() != 1)
        forwarded.append(responses[i].name).append(": ").append(first);
      const std::string second = call(repeated[i]);
      if (!second.ends_with("\r\n\r\ndone"))
        forwarded.append(responses[i].name).append(": ").append(second);
      const std::string third = call(streams[i]);
      if (!third.starts_with("HTTP/1.1 502") || Contains(third, "broken"))
        forwarded.append(responses[i].name).append(": ").append(third);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), forwarded);
  }

 public:
  // A server in trouble answered with status 000, which reached the client.
  void BadStatusIsNotForwarded() {
    CheckNotForwarded(ResponsesWithBadStatus(kSealedFields));
    CheckNotForwarded(ResponsesWithBadStatus("Attempt-Id: a1\r\n"));
  }

  // Guards against forwarding such a name, or a body whose length it hides.
  void BadFieldNameIsNotForwarded() {
    CheckNotForwarded(ResponsesWithBadFieldName(kSealedFields, kBadNameBytes));
  }

  // A field whose name began with a blank became part of the value before it.
  // A length in it was not read, so that the client got a body of another size.
  void FoldedLineIsNotForwarded() {
    CheckNotForwarded(ResponsesWithFoldedLine(kSealedFields));
  }

  // The client got the coded body, or the sizes of chunks within the body.
  void BadTransferCodingIsNotForwarded() {
    CheckNotForwarded(ResponsesWithBadTransferCoding(kSealedFields));
  }

  // The client of a stream got status 000, or a line of the head that was
  // joined to another, in place of the stream that a sound server sends.
  void StreamWithBrokenHeadRunsElsewhere() {
    const std::string rest = std::string(kStreamHead).substr(17);
    const std::string events =
        MakeChunk(MakeEvent(0)) + MakeChunk(MakeEvent(1)) + MakeChunk("");
    const std::string broken_heads[] = {
        "HTTP/1.1 000 None\r\n" + rest,
        "HTTP/1.1 200 OK\r\nX F: broken\r\n" + rest,
        "HTTP/1.1 200 OK\r\nX\x01: broken\r\n" + rest,
        "HTTP/1.1 200 OK\r\nX-F: x\r\n Y-F: broken\r\n" + rest,
        "HTTP/1.1 200 OK\r\nX-F: x\r\n\tY-F: broken\r\n" + rest};
    for (const std::string& head : broken_heads) {
      std::atomic<int> calls{0};
      const auto serve = [&](const std::string&) {
        return ScriptedResponse{(++calls == 1 ? head : kStreamHead) + events};
      };
      ScriptedServer one(serve);
      ScriptedServer two(serve);
      GatewayHarness harness;
      StartGateway(harness, {&one, &two});
      const std::string response =
          harness.CallAsClient(Request("POST /stream/x", "", "b"));
      CPPUNIT_ASSERT_MESSAGE(response,
                             response.starts_with("HTTP/1.1 200 OK\r\n"));
      CPPUNIT_ASSERT_MESSAGE(response, !Contains(response, "broken"));
      CPPUNIT_ASSERT_EQUAL(std::string("01"), EventIds(response));
      CPPUNIT_ASSERT(response.ends_with("0\r\n\r\n"));
      CPPUNIT_ASSERT_EQUAL(2, calls.load());
    }
  }

  // The log said that an answer was broken and not why. Guards also against
  // using the connection again.
  void BrokenHeadIsLoggedAndItsConnectionClosed() {
    const std::pair<BrokenResponse, std::string> cases[] = {
        {ResponsesWithBadStatus(kSealedFields)[0], "bad status"},
        {ResponsesWithBadFieldName(kSealedFields, " ").back(), "bad field"},
        {ResponsesWithFoldedLine(kSealedFields).back(), "bad field"},
        {ResponsesWithBadTransferCoding(kSealedFields)[0],
         "bad Transfer-Encoding"}};
    auto* recorder = new LogRecorder;
    const log4cplus::SharedAppenderPtr appender(recorder);
    log4cplus::Logger::getRoot().addAppender(appender);
    std::string wrong;
    for (const auto& [broken, reason] : cases) {
      ScriptedServer server([&, bytes = broken.bytes](const std::string&) {
        return ScriptedResponse{bytes, true, false, seconds(2)};
      });
      GatewayHarness harness;
      StartGateway(harness, {&server});
      harness.CallAsClient(Request("POST /post/x", "", "b"));
      for (int i = 0; i < 100 && !server.peer_closed(); ++i)
        std::this_thread::sleep_for(milliseconds(10));
      if (!server.peer_closed())
        wrong += broken.name + ": open; ";
      if (!Contains(recorder->lines(), "reason=\"" + reason + "\""))
        wrong += broken.name + ": not logged; ";
    }
    log4cplus::Logger::getRoot().removeAppender(appender);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(recorder->lines(), std::string(), wrong);
  }

  // Guards against an interim response that is taken for the answer.
  void InterimResponseIsSkipped() {
    const Answer answer = CallWithFirstAnswer(
        "POST /post/x",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
        "X-Own: x\r\n\r\n" +
            MakeSealedResponse("first"));
    CPPUNIT_ASSERT_MESSAGE(answer.response, answer.response.ends_with("first"));
    CPPUNIT_ASSERT_MESSAGE(answer.response,
                           !Contains(answer.response, "X-Own"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answer.sends);
  }

  // A field behind the body took effect when it arrived together with the head:
  // a success counted as sealed, and the client of a request that a server had
  // run and failed was told that it had not run.
  void TrailerIsNotReadAsHead() {
    const auto respond = [](const std::string& status,
                            const std::string& trailer) {
      return "HTTP/1.1 " + status +
             "\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
             "6\r\nbroken\r\n0\r\n" +
             trailer + "\r\n";
    };
    const Answer unsealed = CallWithFirstAnswer(
        "POST /post/x", respond("200 OK", "Server-Seal: s\r\n"));
    CPPUNIT_ASSERT_MESSAGE(unsealed.response,
                           unsealed.response.starts_with("HTTP/1.1 502"));
    const Answer failed = CallWithFirstAnswer(
        "POST /post/x", respond("503 Full", "Not-Run: 1\r\n"));
    CPPUNIT_ASSERT_MESSAGE(failed.response,
                           !Contains(failed.response, "not_run"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterHeadTest);

}  // namespace
}  // namespace trefoilwick
