// Tests of servers that send bytes without end.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

constexpr char kUnsealedHead[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kFailureHead[] =
    "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\n"
    "Server-Seal: s\r\n\r\n";
constexpr char kRefusalHead[] =
    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\n"
    "Server-Seal: s\r\nNot-Run: 1\r\n\r\n";

// A response that sends `begin` and then some bytes every 20 ms until its
// connection is closed.
ScriptedResponse MakeSlowResponse(const std::string& begin,
                                  const std::string& endless) {
  ScriptedResponse response{begin};
  response.endless = endless;
  response.endless_pause = milliseconds(20);
  return response;
}

class AdapterEndlessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterEndlessTest);
  CPPUNIT_TEST(EndlessResponsesAreCutOff);
  CPPUNIT_TEST(SlowEndlessResponsesAreCutOff);
  CPPUNIT_TEST(FailureWithEndlessBodyIsRetriedElsewhere);
  CPPUNIT_TEST(SlowResponseIsNotCutOff);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A server that sends without end was read until the deadline of the request,
  // and what it had sent stayed in memory.
  void EndlessResponsesAreCutOff() {
    const std::string filler(8000, 'z');
    const struct {
      const char* name;
      std::string begin;
      std::string endless;
      const char* request;
      // With 200 the response has begun and ends without its last chunk.
      const char* status = "HTTP/1.1 502";
    } cases[] = {
        {"status line", "", filler, "POST /post/x"},
        {"fields of a head", "HTTP/1.1 200 OK\r\n", "X-F: " + filler + "\r\n",
         "POST /post/x"},
        {"one field of a head", "HTTP/1.1 200 OK\r\nX-F: ", filler,
         "POST /post/x"},
        {"body without seal", kUnsealedHead, MakeChunk(filler), "POST /post/x"},
        {"body of a failure", kFailureHead, filler, "POST /post/x"},
        {"chunk extension", std::string(kStreamHead) + "5;x=", filler,
         "POST /stream/x"},
        {"chunk size", kStreamHead, std::string(8000, '0'), "POST /stream/x"},
        {"trailer", std::string(kStreamHead) + "0\r\n", "X-F: z\r\n",
         "POST /stream/x"},
        {"event", kStreamHead, MakeChunk("data: z\n"), "POST /stream/x"},
        {"events without an id", kStreamHead, MakeChunk("data: z\n\n"),
         "POST /stream/x"},
        {"comments", kStreamHead, MakeChunk(":\n\n"), "POST /stream/x"},
        {"empty lines", kStreamHead, MakeChunk("\n\n"), "POST /stream/x"},
        {"comments after an event", kStreamHead + MakeChunk(MakeEvent(0)),
         MakeChunk(":\n\n"), "POST /stream/x", "HTTP/1.1 200"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n",
         "POST /post/x"},
        {"responses to other requests", "",
         "HTTP/1.1 200 OK\r\nAttempt-Id: b2\r\nContent-Length: 1\r\n\r\nz",
         "POST /post/x"},
    };
    std::string not_cut_off;
    for (const auto& endless : cases) {
      ScriptedServer server([&](const std::string&) {
        ScriptedResponse response{endless.begin};
        response.endless = endless.endless;
        return response;
      });
      GatewayHarness harness;
      StartGateway(harness, {&server});
      const auto start = std::chrono::steady_clock::now();
      const std::string response =
          harness.CallAsClient(Request(endless.request, "", "b"));
      const auto elapsed = std::chrono::steady_clock::now() - start;
      // Well before the deadline of 2 s; a response that has begun waits for
      // another server until then. The bytes include the buffers of the
      // sockets.
      constexpr auto kMaxTime = milliseconds(1000);
      constexpr size_t kMaxBytes = size_t{32} << 20;
      const bool has_begun = response.starts_with("HTTP/1.1 200");
      const bool is_cut_off =
          has_begun ? !response.ends_with("0\r\n\r\n") : elapsed <= kMaxTime;
      if (!response.starts_with(endless.status) || !is_cut_off ||
          server.endless_bytes() > kMaxBytes)
        not_cut_off += std::string(endless.name) + "; ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), not_cut_off);
  }

  // Few bytes at a time stay below every limit on bytes. Requests then waited
  // for their deadline, also those that a server had already refused.
  void SlowEndlessResponsesAreCutOff() {
    const struct {
      const char* name;
      std::string begin;
      std::string endless;
      const char* request;
      // The deadline ends a request with 504.
      const char* status = "HTTP/1.1 502";
    } cases[] = {
        {"status line", "HTTP/1.1 200 ", "z", "POST /post/x"},
        {"fields of a head", "HTTP/1.1 200 OK\r\n", "X-F: z\r\n",
         "POST /post/x"},
        {"one field of a head", "HTTP/1.1 200 OK\r\nX-F: ", "z",
         "POST /post/x"},
        {"body without seal", kUnsealedHead, MakeChunk("z"), "POST /post/x"},
        {"body of a refusal", kRefusalHead, "z", "POST /post/x",
         "HTTP/1.1 503"},
        {"body of a failure", kFailureHead, "z", "GET /get/x"},
        {"chunk extension", std::string(kStreamHead) + "5;x=", "z",
         "POST /stream/x"},
        {"chunk size", kStreamHead, "0", "POST /stream/x"},
        {"trailer", std::string(kStreamHead) + "0\r\n", "X-F: z\r\n",
         "POST /stream/x"},
        {"event", kStreamHead, MakeChunk("data: z\n"), "POST /stream/x"},
    };
    std::string not_cut_off;
    for (const auto& slow : cases) {
      ScriptedServer server([&](const std::string&) {
        return MakeSlowResponse(slow.begin, slow.endless);
      });
      GatewayHarness harness;
      StartGateway(harness, {&server});
      const std::string response =
          harness.CallAsClient(Request(slow.request, "", "b"));
      if (!response.starts_with(slow.status))
        not_cut_off += std::string(slow.name) + "; ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), not_cut_off);
  }

  // The head of a failure is enough to send the request to another server.
  void FailureWithEndlessBodyIsRetriedElsewhere() {
    std::atomic<int> calls{0};
    const auto handler = [&](const std::string&) {
      return ++calls == 1 ? MakeSlowResponse(kFailureHead, "z")
                          : ScriptedResponse{MakeSealedResponse("complete")};
    };
    ScriptedServer first(handler);
    ScriptedServer second(handler);
    GatewayHarness harness;
    StartGateway(harness, {&first, &second});
    CPPUNIT_ASSERT(
        harness.CallAsClient(Request("GET /get/x")).ends_with("complete"));
  }

  // Guards against taking a slow server for one that sends without end.
  void SlowResponseIsNotCutOff() {
    ScriptedResponse response{kStreamHead};
    response.parts_pause = milliseconds(150);
    for (int id = 0; id < 4; ++id) {
      const std::string chunk = MakeChunk(MakeEvent(id));
      response.parts.push_back(chunk.substr(0, 9));
      response.parts.push_back(chunk.substr(9));
    }
    response.parts.push_back("0\r\n\r\n");
    ScriptedServer server([&](const std::string&) { return response; });
    GatewayHarness harness;
    StartGateway(harness, {&server});
    const std::string answer =
        harness.CallAsClient(Request("POST /stream/x", "", "b"));
    CPPUNIT_ASSERT_EQUAL(std::string("0123"), EventIds(answer));
    CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterEndlessTest);

}  // namespace
}  // namespace trefoilwick
