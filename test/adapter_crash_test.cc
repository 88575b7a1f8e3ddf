// Tests of requests that crash the servers that run them, over real sockets.
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

constexpr int kEventsBeforeCrash = 5;
constexpr int kEvents = 12;

// Servers that stop listening and close the connection in the middle of a
// stream when `crashes` says so for a request.
class CrashingServers {
 public:
  using Condition = std::function<bool(const std::string& request)>;

  CrashingServers(size_t count, Condition crashes)
      : m_crashes(std::move(crashes)) {
    for (size_t i = 0; i < count; ++i)
      m_servers.emplace_back(
          [this](const std::string& request) { return Serve(request); });
  }

  std::vector<ScriptedServer*> pointers() {
    std::vector<ScriptedServer*> out;
    for (ScriptedServer& server : m_servers)
      out.push_back(&server);
    return out;
  }
  int crash_count() const { return m_crash_count; }

 private:
  ScriptedResponse Serve(const std::string& request) {
    const std::string field = "Last-Event-Id: ";
    const size_t at = request.find(field);
    const int first = at == std::string::npos
                          ? 0
                          : std::stoi(request.substr(at + field.size())) + 1;
    ScriptedResponse response{kStreamHead};
    response.parts_pause = milliseconds(10);
    const bool crash = m_crashes(request);
    const int end = crash ? first + kEventsBeforeCrash : kEvents;
    for (int id = first; id < end; ++id)
      response.parts.push_back(MakeChunk(MakeEvent(id)));
    if (crash) {
      ++m_crash_count;
      response.stop_listening = true;
    } else {
      response.parts.push_back(MakeChunk(""));
    }
    return response;
  }

  Condition m_crashes;
  std::atomic<int> m_crash_count{0};
  std::deque<ScriptedServer> m_servers;
};

class AdapterCrashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterCrashTest);
  CPPUNIT_TEST(PromptPartThatCrashesServersIsRefused);
  CPPUNIT_TEST(RequestThatCrashesServersInMidStreamIsRefused);
  CPPUNIT_TEST(StreamsInterruptedByCrashesAreServedAgain);
  CPPUNIT_TEST(RequestsThatAreAlikeClearEachOther);
  CPPUNIT_TEST(CommonPartIsServedAgainAfterTheLossOfAllServers);
  CPPUNIT_TEST(AlikeRequestsAreServedAgainAfterTheLossOfAllServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Requests with one part in their prompts crashed all servers, one after the
  // other.
  void PromptPartThatCrashesServersIsRefused() {
    constexpr size_t kServers = 8;
    const auto serve = [](const std::string& request) {
      if (!Contains(request, "bad:"))
        return ScriptedResponse{std::string(kStreamHead) +
                                MakeChunk(MakeEvent(0)) + MakeChunk("")};
      std::this_thread::sleep_for(milliseconds(50));
      ScriptedResponse crash;
      crash.stop_listening = true;
      return crash;
    };
    std::deque<ScriptedServer> servers;
    std::vector<ScriptedServer*> pointers;
    for (size_t i = 0; i < kServers; ++i)
      pointers.push_back(&servers.emplace_back(serve));
    GatewayHarness harness;
    StartGateway(harness, pointers);
    const auto call = [&](const std::string& parts) {
      return harness.CallAsClient(
          Request("POST /stream/x", "Prompt-Prefix: " + parts + "\r\n", "b"));
    };
    std::string last;
    for (int i = 0; i < 6; ++i) {
      last = call("first:40,bad:300,own" + std::to_string(i) + ":9");
      std::this_thread::sleep_for(milliseconds(600));
    }
    CPPUNIT_ASSERT_MESSAGE(
        last, last.starts_with("HTTP/1.1 503") && Contains(last, "not_run"));
    size_t crashes = 0;
    for (const ScriptedServer& server : servers)
      for (const std::string& request : server.requests())
        crashes += Contains(request, "bad:") ? 1 : 0;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(crashes), crashes <= 4);
    CPPUNIT_ASSERT(call("first:40,own:9").starts_with("HTTP/1.1 200"));
  }

  // A request that crashed its servers after its first events counted as sound:
  // each attempt of its client crashed five more servers.
  void RequestThatCrashesServersInMidStreamIsRefused() {
    CrashingServers servers(16, [](const std::string& request) {
      return request.ends_with("bad");
    });
    GatewayHarness harness;
    StartGateway(harness, servers.pointers());
    // The first sums of the retry budget.
    std::this_thread::sleep_for(seconds(1));
    const auto call = [&](const std::string& body) {
      return harness.CallAsClient(
          Request("POST /stream/x", "Prompt-Prefix: part:40,own:9\r\n", body));
    };
    call("bad");
    std::this_thread::sleep_for(seconds(1));
    const int crashes = servers.crash_count();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(crashes),
                           crashes >= 3 && crashes <= 5);
    for (int i = 0; i < 2; ++i) {
      const std::string refusal = call("bad");
      CPPUNIT_ASSERT_MESSAGE(refusal, refusal.starts_with("HTTP/1.1 503"));
      CPPUNIT_ASSERT(Contains(refusal, "not_run"));
    }
    CPPUNIT_ASSERT_EQUAL(crashes, servers.crash_count());
    // Other requests of the account with the same prompt part are served.
    CPPUNIT_ASSERT(call("good").ends_with("0\r\n\r\n"));
  }

  // Guards against blaming a request for crashes that only interrupt it: it is
  // sent again and again, crashes interrupt it, and it ends well.
  void StreamsInterruptedByCrashesAreServedAgain() {
    constexpr int kCalls = 5;
    std::atomic<int> sends{0};
    CrashingServers servers(
        16, [&](const std::string&) { return ++sends % 3 != 0; });
    GatewayHarness harness;
    StartGateway(harness, servers.pointers());
    std::this_thread::sleep_for(seconds(1));
    for (int i = 0; i < kCalls; ++i) {
      const std::string response =
          harness.CallAsClient(Request("POST /stream/x", "", "same"));
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n0\r\n\r\n"));
      std::this_thread::sleep_for(milliseconds(600));
    }
    CPPUNIT_ASSERT_EQUAL(2 * kCalls, servers.crash_count());
  }

  // Sound requests of one account with the same path and body were refused for
  // 10 minutes, as crashes interrupted some of them while others, sent before
  // the crashes, ended well.
  void RequestsThatAreAlikeClearEachOther() {
    std::atomic<int> interrupted_sends{0};
    const auto serve = [&](const std::string& request) {
      ScriptedResponse response{kStreamHead};
      const bool is_interrupted = Contains(request, "X-Own: interrupted");
      const bool crashes = is_interrupted && ++interrupted_sends <= 3;
      const bool is_first = Contains(request, "X-Own: first");
      response.parts_pause = milliseconds(is_first ? 40 : 60);
      const std::string field = "Last-Event-Id: ";
      const size_t at = request.find(field);
      const int next = at == std::string::npos
                           ? 0
                           : std::stoi(request.substr(at + field.size())) + 1;
      const int count = crashes ? kEventsBeforeCrash : kEvents;
      for (int id = next; id < next + count; ++id)
        response.parts.push_back(MakeChunk(MakeEvent(id)));
      response.stop_listening = crashes;
      if (!crashes)
        response.parts.push_back(MakeChunk(""));
      return response;
    };
    constexpr size_t kServers = 12;
    std::deque<ScriptedServer> servers;
    std::vector<ScriptedServer*> pointers;
    pointers.reserve(kServers);
    for (size_t i = 0; i < kServers; ++i)
      pointers.push_back(&servers.emplace_back(serve));
    GatewayHarness harness;
    StartGateway(harness, pointers);
    std::this_thread::sleep_for(seconds(1));
    const auto call = [&](const std::string& name) {
      return harness.CallAsClient(
          Request("POST /stream/x", "X-Own: " + name + "\r\n", "same"));
    };
    // Crashes after 0.3, 0.6 and 0.9 s; the others end after 0.5 and 0.7 s.
    std::vector<std::thread> clients;
    for (const char* name : {"first", "second"})
      clients.emplace_back([&, name] { call(name); });
    const std::string response = call("interrupted");
    for (std::thread& client : clients)
      client.join();
    CPPUNIT_ASSERT_EQUAL(4, interrupted_sends.load());
    CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT(call("later").ends_with("\r\n0\r\n\r\n"));
  }

  // All servers crash one after the other under requests like those that ran
  // before, and another one is listed: these requests must be served again.
  // `make_request` gets the number of the request.
  static void CheckServedAfterLossOfAllServers(
      const std::string& sound_bytes,
      const std::function<std::string(int)>& make_request) {
    std::atomic<bool> crash{false};
    const auto serve = [&](const std::string&) {
      if (!crash)
        return ScriptedResponse{sound_bytes};
      std::this_thread::sleep_for(milliseconds(60));
      ScriptedResponse response;
      response.stop_listening = true;
      return response;
    };
    constexpr size_t kServers = 3;
    std::deque<ScriptedServer> servers;
    std::vector<ScriptedServer*> pointers;
    pointers.reserve(kServers);
    for (size_t i = 0; i < kServers; ++i)
      pointers.push_back(&servers.emplace_back(serve));
    GatewayHarness harness;
    StartGateway(harness, pointers);
    std::this_thread::sleep_for(seconds(1));
    int calls = 0;
    const auto call = [&] {
      return harness.CallAsClient(make_request(++calls));
    };
    const auto is_served = [](const std::string& response) {
      return response.starts_with("HTTP/1.1 200");
    };
    for (int i = 0; i < 3; ++i)
      CPPUNIT_ASSERT(is_served(call()));
    crash = true;
    call();
    call();
    std::this_thread::sleep_for(seconds(1));
    const std::string refusal = call();
    CPPUNIT_ASSERT_MESSAGE(refusal, refusal.starts_with("HTTP/1.1 503"));
    crash = false;
    harness.ListServer("i-new", "desk", servers.emplace_back(serve).address());
    std::string response;
    for (int i = 0; i < 15 && !is_served(response); ++i) {
      std::this_thread::sleep_for(milliseconds(200));
      response = call();
    }
    CPPUNIT_ASSERT_MESSAGE(response, is_served(response));
    CPPUNIT_ASSERT(is_served(call()));
  }

  // Guards against refusing all requests for ten minutes because they have a
  // part in common and all servers of their service crashed one after the other
  // (review/7).
  void CommonPartIsServedAgainAfterTheLossOfAllServers() {
    std::string stream = kStreamHead;
    for (int id = 0; id < kEvents; ++id)
      stream += MakeChunk(MakeEvent(id));
    CheckServedAfterLossOfAllServers(stream + MakeChunk(""), [](int number) {
      const std::string text = std::to_string(number);
      return Request("POST /stream/x",
                     "Prompt-Prefix: common:40,own" + text + ":9\r\n", text);
    });
  }

  // Guards against the same for requests that are alike, such as reads of one
  // document.
  void AlikeRequestsAreServedAgainAfterTheLossOfAllServers() {
    CheckServedAfterLossOfAllServers(MakeSealedResponse("done"),
                                     [](int) { return Request("GET /get/x"); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterCrashTest);

}  // namespace
}  // namespace trefoilwick
