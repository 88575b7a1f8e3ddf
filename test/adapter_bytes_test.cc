// Tests of bytes from callers and servers that cannot be represented where they
// are used: they must not end the process or other requests.
#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

namespace http = boost::beast::http;

// Throws for requests and responses with certain ids.
class ThrowingDialect final : public platform::PlatformDialect {
 public:
  HttpRequest WriteRequest(const ClientRequest& request,
                           const SendPlan& plan,
                           const ServerMap& servers) const override {
    if (request.attempt_id == "throw-request")
      throw std::runtime_error("planted");
    return PlatformDialect::WriteRequest(request, plan, servers);
  }
  ResponseHead ReadResponse(
      const http::response_header<>& head) const override {
    if (head["Attempt-Id"] == "throw-response")
      throw std::runtime_error("planted");
    return PlatformDialect::ReadResponse(head);
  }
};

class AdapterBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterBytesTest);
  CPPUNIT_TEST(AnyBytesInRequestLeaveProcessAlive);
  CPPUNIT_TEST(AnyBytesInResponseLeaveProcessAlive);
  CPPUNIT_TEST(UnprintableIdIsRejected);
  CPPUNIT_TEST(NumbersOfRequestAreBounded);
  CPPUNIT_TEST(OrderWithAnyIdIsWritten);
  CPPUNIT_TEST(ExceptionEndsItsRequestOnly);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::string> UnusualValues() {
    std::vector<std::string> out = {std::string("a\0b", 3),
                                    std::string(5000, 'x'),
                                    "\xc3\x28",
                                    "inf",
                                    "-nan",
                                    "1e400",
                                    "-9223372036854775808",
                                    "99999999999999999999",
                                    ",,:,",
                                    ""};
    for (int byte = 0x80; byte <= 0xff; byte += 5)
      out.emplace_back(1, static_cast<char>(byte));
    return out;
  }

 public:
  void AnyBytesInRequestLeaveProcessAlive() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeAnonymousResponse("done")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    const std::vector<std::pair<std::string, std::string>> usual = {
        {"Host", "a.example"},  {"Attempt-Id", "a1"}, {"Credential", "k1"},
        {"Deadline-Ms", "500"}, {"X-Own", "x"},       {"Connection", "close"}};
    for (const char* tested :
         {"Attempt-Id", "Credential", "Deadline-Ms", "Token-Counts",
          "Length-Hint", "Prompt-Prefix", "Last-Event-Id", "Model", "Host",
          "Content-Type", "X-Own"})
      for (const std::string& value : UnusualValues()) {
        std::string request = "GET /get/x HTTP/1.1\r\n";
        const auto add = [&](const std::string& name, const std::string& text) {
          request.append(name).append(": ").append(text).append("\r\n");
        };
        for (const auto& [name, usual_value] : usual)
          if (name != tested)
            add(name, usual_value);
        add(tested, value);
        harness.CallAsClient(request.append("\r\n"));
      }
    for (const std::string& value : UnusualValues())
      harness.CallAsClient(Request("GET /get/" + value));
    CPPUNIT_ASSERT(
        harness.CallAsClient(Request("GET /get/x")).ends_with("done"));
  }

  void AnyBytesInResponseLeaveProcessAlive() {
    std::string field;
    ScriptedServer server([&](const std::string&) {
      return ScriptedResponse{"HTTP/1.1 200 OK\r\nServer-Seal: s\r\n" + field +
                              "Content-Length: 4\r\n\r\ndone"};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    for (const char* header :
         {"Attempt-Id", "Server-Seal", "Content-Type", "Keep-Alive",
          "Server-Limit", "Server-Leaving", "Retry-After", "At-Server",
          "Weight-Versions", "X-Own"})
      for (const std::string& value : UnusualValues()) {
        field = std::string(header) + ": " + value + "\r\n";
        harness.CallAsClient(Request("POST /post/x", "", "b"));
      }
    CPPUNIT_ASSERT(GatewayHarness::Call(harness.settings().ready_address,
                                        "GET /ready HTTP/1.1\r\nHost: x\r\n"
                                        "Connection: close\r\n\r\n")
                       .starts_with("HTTP/1.1 200"));
  }

  // An id that is not UTF-8 ended the process when its stream was ordered to
  // another path.
  void UnprintableIdIsRejected() {
    const platform::PlatformDialect dialect;
    const auto read = [&](const std::string& id) {
      http::request_header<> head;
      head.method(http::verb::get);
      head.target("/x");
      head.set("Attempt-Id", id);
      return dialect.ReadRequest(head).ok();
    };
    CPPUNIT_ASSERT(read("9c41d07be2a35f68"));
    CPPUNIT_ASSERT(read(""));
    CPPUNIT_ASSERT(read(std::string(256, 'x')));
    CPPUNIT_ASSERT(!read(std::string(257, 'x')));
    for (int byte = 0; byte <= 0xff; ++byte)
      CPPUNIT_ASSERT_EQUAL(
          byte > 0x20 && byte < 0x7f,
          read(std::string("x") + static_cast<char>(byte) + "x"));
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{MakeAnonymousResponse("done")};
    });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    std::string request = Request("GET /get/x");
    request.replace(request.find("a1"), 2, "\xff");
    const std::string response = harness.CallAsClient(request);
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 400"));
    CPPUNIT_ASSERT(Contains(response, "the request id"));
    CPPUNIT_ASSERT(server.requests().empty());
  }

  // Amounts that are no numbers stayed in the sums of the loads of servers.
  void NumbersOfRequestAreBounded() {
    const platform::PlatformDialect dialect;
    for (const char* value : {"nan", "inf", "-inf", "1e300", "-5", "x", ""}) {
      http::request_header<> head;
      head.target("/x");
      for (const char* name : {"Deadline-Ms", "Length-Hint"})
        head.set(name, value);
      head.set("Token-Counts", std::string(value) + "," + value);
      const auto request = dialect.ReadRequest(head);
      CPPUNIT_ASSERT(request.ok());
      for (const double amount :
           {request->prompt_tokens, request->max_answer_tokens,
            request->answer_hint})
        CPPUNIT_ASSERT_MESSAGE(value, amount >= 0 && amount <= 1e8);
      CPPUNIT_ASSERT(!request->client_timeout ||
                     (*request->client_timeout >= Duration(0) &&
                      *request->client_timeout <= std::chrono::hours(24)));
    }
  }

  void OrderWithAnyIdIsWritten() {
    const platform::PlatformDialect dialect;
    const HttpRequest order =
        dialect.WriteRepathOrder("\xff\x80", {{"i-1", {0, 8}}}, 1, {});
    CPPUNIT_ASSERT(Contains(order.body(), "repath"));
  }

  // An exception ended the process, with the streams of all other requests.
  void ExceptionEndsItsRequestOnly() {
    ScriptedServer streaming([](const std::string&) {
      ScriptedResponse response{kStreamHead};
      for (int id = 0; id < 8; ++id)
        response.parts.push_back(MakeChunk(MakeEvent(id)));
      response.parts.push_back(MakeChunk(""));
      response.parts_pause = milliseconds(100);
      return response;
    });
    ScriptedServer plain([](const std::string&) {
      return ScriptedResponse{
          "HTTP/1.1 200 OK\r\nAttempt-Id: throw-response\r\n"
          "Content-Length: 0\r\n\r\n"};
    });
    const ThrowingDialect dialect;
    GatewayHarness harness;
    harness.SetDialect(&dialect);
    Route stream = MakeRoute("/stream/", RouteKind::kStream, 1);
    stream.services = {{"pool", 1}};
    harness.AddServer("i-0", "desk", plain.address());
    harness.AddServer("i-1", "pool", streaming.address());
    harness.store().table =
        MakeTable({MakeRoute("/post/", RouteKind::kNonIdempotent, 1), stream});
    harness.Start();
    std::string streamed;
    std::thread client([&] {
      streamed = harness.CallAsClient(Request("POST /stream/x", "", "b"));
    });
    std::this_thread::sleep_for(milliseconds(200));
    const auto call = [&](const std::string& id) {
      std::string request = Request("POST /post/x", "", "b");
      request.replace(request.find("a1"), 2, id);
      return harness.CallAsClient(request);
    };
    const std::string not_sent = call("throw-request");
    const std::string sent = call("throw-response");
    client.join();
    CPPUNIT_ASSERT_MESSAGE(not_sent, not_sent.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Contains(not_sent, "not_run"));
    CPPUNIT_ASSERT_MESSAGE(sent, sent.starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plain.requests().size());
    CPPUNIT_ASSERT_MESSAGE(streamed, streamed.ends_with("\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("01234567"), EventIds(streamed));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterBytesTest);

}  // namespace
}  // namespace trefoilwick
