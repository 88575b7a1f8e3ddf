// Calls of the gateway to the store and to servers over sockets.
#include <cppunit/extensions/HelperMacros.h>

#include "broken_responses.h"
#include "early_answer_server.h"
#include "gateway_configuration.h"
#include "gateway_harness.h"
#include "rows.h"
#include "store.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimeout = milliseconds(300);
constexpr uint64_t kMaxResponseBytes = 1 << 20;

std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

class AdapterCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterCallTest);
  CPPUNIT_TEST(CallReturnsResponse);
  CPPUNIT_TEST(CallToSilentServerTimesOut);
  CPPUNIT_TEST(RefusedConnectionIsReportedAsNotSent);
  CPPUNIT_TEST(ConnectionIsReused);
  CPPUNIT_TEST(ClosedIdleConnectionFailsOnlyWrites);
  CPPUNIT_TEST(TryConnectReportsAcceptedAndRefused);
  CPPUNIT_TEST(OnlyClosedPortCountsAsRefused);
  CPPUNIT_TEST(EndlessResponseFailsCall);
  CPPUNIT_TEST(FailedCallNamesReason);
  CPPUNIT_TEST(BadStatusFailsCall);
  CPPUNIT_TEST(BadFieldNameFailsCall);
  CPPUNIT_TEST(FoldedLineFailsCall);
  CPPUNIT_TEST(BadTransferCodingFailsCall);
  CPPUNIT_TEST(MalformedResponseFailsCall);
  CPPUNIT_TEST(UnframedResponseThatIsResetFailsCall);
  CPPUNIT_TEST(EarlyResponseIsTheAnswer);
  CPPUNIT_TEST(TrailerIsNotReadAsHead);
  CPPUNIT_TEST(InterimResponseIsNotTheAnswer);
  CPPUNIT_TEST(EndlessInterimResponsesFailCall);
  CPPUNIT_TEST(BrokenAnswerToOrderLeavesItsResultUnknown);
  CPPUNIT_TEST(ServerListSkipsUndecodableRows);
  CPPUNIT_TEST(UndecodableLastRowDoesNotEndServerList);
  CPPUNIT_TEST(PageWithoutNextKeyYieldsNoServerList);
  CPPUNIT_TEST(StoreErrorYieldsNoServerList);
  CPPUNIT_TEST(LeaseConflictReturnsCurrentLease);
  CPPUNIT_TEST(ConfigurationIsReadAgainAfterHistoryIsDropped);
  CPPUNIT_TEST_SUITE_END();

  static CallResult Call(const std::string& address) {
    return Call(address, HttpRequest{boost::beast::http::verb::get, "/x", 11});
  }
  static CallResult Call(const std::string& address, HttpRequest request) {
    asio::io_context io;
    HttpClient client(io, milliseconds(200), kMaxResponseBytes);
    CallResult out;
    client.Call(address, std::move(request), kTimeout,
                [&](CallResult result) { out = std::move(result); });
    io.run();
    return out;
  }

  // Runs calls of a PlatformStore against a scripted server.
  template <typename Start>
  static void WithStore(const ScriptedServer::Handler& handler, Start start) {
    ScriptedServer server(handler);
    asio::io_context io;
    platform::PlatformStore store(io, server.address());
    start(store);
    io.run();
  }

 public:
  void CallReturnsResponse() {
    ScriptedServer server(
        [](const std::string&) { return ScriptedResponse{Ok("hello")}; });
    const CallResult result = Call(server.address());
    CPPUNIT_ASSERT(result.error == CallError::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), result.response.body());
  }

  // Guards against calls that never end: an open connection may go silent
  // without a reset.
  void CallToSilentServerTimesOut() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{"", true, false, seconds(2)};
    });
    const auto start = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(Call(server.address()).error == CallError::kUnknown);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < seconds(1));
  }

  void RefusedConnectionIsReportedAsNotSent() {
    const std::string closed_address =
        "127.0.0.1:" + std::to_string(FreePort());
    CPPUNIT_ASSERT(Call(closed_address).error == CallError::kNotSent);
    CPPUNIT_ASSERT(Call("no address").error == CallError::kNotSent);
  }

  void ConnectionIsReused() {
    std::atomic<int> calls{0};
    ScriptedServer server([&](const std::string&) {
      ++calls;
      return ScriptedResponse{Ok("x"), false};
    });
    asio::io_context io;
    HttpClient client(io, milliseconds(200));
    int done = 0;
    // The scripted server serves one connection at a time, so the second call
    // succeeds only on the connection of the first one.
    client.Call(
        server.address(), HttpRequest{boost::beast::http::verb::get, "/1", 11},
        kTimeout, [&](const CallResult& first) {
          done += first.error == CallError::kNone ? 1 : 0;
          client.Call(server.address(),
                      HttpRequest{boost::beast::http::verb::get, "/2", 11},
                      kTimeout, [&](const CallResult& second) {
                        done += second.error == CallError::kNone ? 1 : 0;
                        client.CloseIdleConnections();
                      });
        });
    io.run();
    CPPUNIT_ASSERT_EQUAL(2, done);
  }

  // A store that closed an idle connection while a read was sent on it counted
  // as unavailable. A write may have been applied and is not sent again.
  void ClosedIdleConnectionFailsOnlyWrites() {
    using boost::beast::http::verb;
    for (const auto& [method, expected] :
         {std::pair(verb::get, CallError::kNone),
          std::pair(verb::post, CallError::kUnknown)}) {
      std::atomic<int> requests{0};
      ScriptedServer server([&](const std::string&) {
        ++requests;
        return requests == 2 ? ScriptedResponse{}
                             : ScriptedResponse{Ok("x"), false};
      });
      asio::io_context io;
      HttpClient client(io, milliseconds(200));
      CallError error = CallError::kNotSent;
      client.Call(server.address(), HttpRequest{verb::get, "/1", 11},
                  seconds(5), [&, method = method](const CallResult&) {
                    client.Call(server.address(), HttpRequest{method, "/2", 11},
                                seconds(5), [&](const CallResult& second) {
                                  error = second.error;
                                  client.CloseIdleConnections();
                                });
                  });
      io.run();
      CPPUNIT_ASSERT(error == expected);
      CPPUNIT_ASSERT_EQUAL(method == verb::get ? 3 : 2, requests.load());
    }
  }

  // An instance without free descriptors took every server that it probed for
  // ended, and ended servers do not count as attempts.
  void OnlyClosedPortCountsAsRefused() {
    namespace error = asio::error;
    CPPUNIT_ASSERT(ToConnectResult({}) == ConnectResult::kAccepted);
    CPPUNIT_ASSERT(ToConnectResult(error::connection_refused) ==
                   ConnectResult::kRefused);
    for (const auto local : {error::no_descriptors, error::network_unreachable,
                             error::host_unreachable, error::timed_out})
      CPPUNIT_ASSERT(ToConnectResult(local) == ConnectResult::kFailed);
    asio::io_context io;
    ConnectResult no_address = ConnectResult::kAccepted;
    TryConnect(io, "no address", milliseconds(200), milliseconds(50),
               [&](ConnectResult result) { no_address = result; });
    io.run();
    CPPUNIT_ASSERT(no_address == ConnectResult::kFailed);
  }

  // A report of a faulty server filled the memory until its timeout.
  void EndlessResponseFailsCall() {
    const std::string filler(8000, 'z');
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::pair<std::string, std::string> cases[] = {
        {head, "X-F: z\r\n"},
        {head + "\r\n", filler},
        {chunked + "5;x=", filler},
        {chunked + "0\r\n", "X-F: z\r\n"},
    };
    for (const auto& [begin, endless] : cases) {
      ScriptedServer server([&, begin = begin,
                             endless = endless](const std::string&) {
        return ScriptedResponse{begin, true, false, milliseconds(0), endless};
      });
      const auto start = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT(Call(server.address()).error == CallError::kUnknown);
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < kTimeout);
    }
  }

  // Checks that calls to servers with such a response have an unknown result.
  static void CheckCallsFail(const std::vector<BrokenResponse>& responses) {
    for (const BrokenResponse& broken : responses) {
      ScriptedServer server(
          [&](const std::string&) { return ScriptedResponse{broken.bytes}; });
      CPPUNIT_ASSERT_MESSAGE(
          broken.name, Call(server.address()).error == CallError::kUnknown);
    }
  }

  // A log line of a failed call named status 200, and not what failed.
  void FailedCallNamesReason() {
    namespace http = boost::beast::http;
    const std::string closed_address =
        "127.0.0.1:" + std::to_string(FreePort());
    CPPUNIT_ASSERT(Call(closed_address).reason ==
                   asio::error::connection_refused);
    const std::pair<std::string, boost::system::error_code> cases[] = {
        {ResponsesWithBadStatus("")[0].bytes, http::error::bad_status},
        {ResponsesWithFoldedLine("")[0].bytes, http::error::bad_field},
        {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbroken",
         http::error::partial_message},
        {"", asio::error::eof}};
    for (const auto& [bytes, reason] : cases) {
      ScriptedServer server([&, bytes = bytes](const std::string&) {
        return ScriptedResponse{bytes};
      });
      const CallResult result = Call(server.address());
      CPPUNIT_ASSERT_MESSAGE(result.reason.message(), result.reason == reason);
    }
    ScriptedServer silent([](const std::string&) {
      return ScriptedResponse{"", true, false, seconds(2)};
    });
    CPPUNIT_ASSERT(Call(silent.address()).reason == asio::error::timed_out);
  }

  // The store, a report or an order was taken to have answered.
  void BadStatusFailsCall() { CheckCallsFail(ResponsesWithBadStatus("")); }

  // Guards against an answer whose fields are not those which they look like.
  void BadFieldNameFailsCall() {
    CheckCallsFail(ResponsesWithBadFieldName("X-E: e\r\n", kBadNameBytes));
  }

  // A row of the store, or a report, was read with the size of another body.
  void FoldedLineFailsCall() {
    CheckCallsFail(ResponsesWithFoldedLine("X-E: e\r\n"));
  }

  // The sizes of chunks, or coded bytes, were read as the body.
  void BadTransferCodingFailsCall() {
    CheckCallsFail(ResponsesWithBadTransferCoding("X-E: e\r\n"));
  }

  // Guards against an answer that was cut or is none.
  void MalformedResponseFailsCall() { CheckCallsFail(MalformedResponses()); }

  // Guards against taking the part that arrived for the answer of the store, a
  // report or the result of an order, with a short request and with one that is
  // still being sent.
  void UnframedResponseThatIsResetFailsCall() {
    const std::string part = "HTTP/1.1 200 OK\r\n\r\npart";
    for (const size_t body_bytes : {size_t{10}, kLongUploadBytes})
      for (const AnswerEnd end : {AnswerEnd::kReset, AnswerEnd::kShutdown}) {
        EarlyAnswerServer server({.bytes = part, .end = end}, "",
                                 std::make_shared<std::atomic<int>>(0));
        HttpRequest request{boost::beast::http::verb::post, "/x", 11};
        request.body() = std::string(body_bytes, 'u');
        const CallResult result = Call(server.address(), std::move(request));
        const bool is_answer = end == AnswerEnd::kShutdown;
        CPPUNIT_ASSERT(result.error ==
                       (is_answer ? CallError::kNone : CallError::kUnknown));
      }
  }

  // The answer was lost when its server ended the connection before it had read
  // the whole request.
  void EarlyResponseIsTheAnswer() {
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nhello";
    for (const EarlyAnswer& early :
         {EarlyAnswer{.bytes = Ok("hello"), .end = AnswerEnd::kReset},
          EarlyAnswer{.bytes = Ok("hello"), .end = AnswerEnd::kCloseUnread},
          EarlyAnswer{.bytes = unframed,
          .end = AnswerEnd::kShutdownThenReset}}) {
      EarlyAnswerServer server(early, "",
                               std::make_shared<std::atomic<int>>(0));
      HttpRequest request{boost::beast::http::verb::post, "/x", 11};
      request.body() = std::string(kLongUploadBytes, 'u');
      const CallResult result = Call(server.address(), std::move(request));
      CPPUNIT_ASSERT_MESSAGE(result.reason.message(),
                             result.error == CallError::kNone);
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), result.response.body());
    }
  }

  // A server was taken for leaving because of a field behind the body of its
  // report.
  void TrailerIsNotReadAsHead() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "2\r\n{}\r\n0\r\nServer-Leaving: 1\r\n\r\n"};
    });
    const CallResult result = Call(server.address());
    CPPUNIT_ASSERT(result.error == CallError::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), result.response.body());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, result.response.count("Server-Leaving"));
  }

  // The interim response was taken for the answer: an order that was accepted
  // counted as refused, and the store as failing.
  void InterimResponseIsNotTheAnswer() {
    const std::string interim =
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 103 Early Hints\r\nX-F: x\r\n\r\n";
    for (const bool is_late : {false, true}) {
      ScriptedServer server([&](const std::string&) {
        ScriptedResponse response{interim};
        if (is_late) {
          response.parts = {Ok("hello")};
          response.parts_pause = milliseconds(20);
        } else {
          response.bytes += Ok("hello");
        }
        return response;
      });
      const CallResult result = Call(server.address());
      CPPUNIT_ASSERT(result.error == CallError::kNone);
      CPPUNIT_ASSERT_EQUAL(200U, result.response.result_int());
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), result.response.body());
      CPPUNIT_ASSERT_EQUAL(size_t{0}, result.response.count("X-F"));
    }
  }

  // Guards against reading them until the timeout of the call.
  void EndlessInterimResponsesFailCall() {
    ScriptedServer server([](const std::string&) {
      return ScriptedResponse{"", true, false, milliseconds(0),
                              "HTTP/1.1 100 Continue\r\n\r\n"};
    });
    const auto start = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(Call(server.address()).error == CallError::kUnknown);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < kTimeout);
  }

  // An order that was carried out, but whose answer was broken, counted as
  // refused.
  void BrokenAnswerToOrderLeavesItsResultUnknown() {
    const platform::PlatformDialect dialect;
    for (const BrokenResponse& broken : ResponsesWithBadStatus("")) {
      ScriptedServer server(
          [&](const std::string&) { return ScriptedResponse{broken.bytes}; });
      CPPUNIT_ASSERT_MESSAGE(broken.name,
                             dialect.ReadOrderResult(Call(server.address())) ==
                                 OrderResult::kUnknown);
    }
  }

  void TryConnectReportsAcceptedAndRefused() {
    ScriptedServer server(
        [](const std::string&) { return ScriptedResponse{}; });
    asio::io_context io;
    ConnectResult accepted = ConnectResult::kTimedOut;
    ConnectResult refused = ConnectResult::kTimedOut;
    TryConnect(io, server.address(), seconds(1), milliseconds(100),
               [&](ConnectResult result) { accepted = result; });
    TryConnect(io, "127.0.0.1:" + std::to_string(FreePort()), seconds(1),
               milliseconds(100),
               [&](ConnectResult result) { refused = result; });
    io.run();
    CPPUNIT_ASSERT(accepted == ConnectResult::kAccepted);
    CPPUNIT_ASSERT(refused == ConnectResult::kRefused);
  }

  // Value of a row of the table of servers.
  static std::string ServerValue() {
    return platform::Base64Encode(
        R"({"service":"p","address":"10.0.0.1:80","zone":"z","version":"v1",)"
        R"("slots":1,"state":"ready","coldLeftMs":0,"seq":1})");
  }

  void ServerListSkipsUndecodableRows() {
    std::optional<StoredServerList> list;
    WithStore(
        [](const std::string&) {
          return ScriptedResponse{
              Ok(R"({"rows":[{"key":"i-1","value":")" + ServerValue() +
                 R"(","ver":4},{"key":"i-2","value":"AAAA","ver":5},)"
                 R"({"key":7}],"truncated":false,"ver":9})")};
        },
        [&](platform::PlatformStore& store) {
          store.ReadServers([&](auto read) { list = std::move(read); });
        });
    CPPUNIT_ASSERT(list.has_value());
    CPPUNIT_ASSERT_EQUAL(int64_t{9}, list->position.version);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, list->servers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"),
                         list->servers.at("i-1").address);
  }

  // Servers on later pages were dropped when no row of a page could be decoded.
  void UndecodableLastRowDoesNotEndServerList() {
    std::vector<std::string> targets;
    std::optional<StoredServerList> list;
    WithStore(
        [&](const std::string& request) {
          targets.push_back(request.substr(4, request.find(' ', 4) - 4));
          return ScriptedResponse{
              Ok(targets.size() == 1
                     ? R"({"rows":[{"key":"i 1","value":7,"ver":4}],)"
                       R"("truncated":true,"ver":9})"
                     : R"({"rows":[{"key":"i-2","value":")" + ServerValue() +
                           R"(","ver":5}],"truncated":false,"ver":9})")};
        },
        [&](platform::PlatformStore& store) {
          store.ReadServers([&](auto read) { list = std::move(read); });
        });
    CPPUNIT_ASSERT_EQUAL(size_t{2}, targets.size());
    CPPUNIT_ASSERT(targets[1].ends_with("&from=i%201"));
    CPPUNIT_ASSERT(list.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, list->servers.size());
  }

  // A truncated page that does not say where the next one begins was taken for
  // the end of the list, or was read again without end.
  void PageWithoutNextKeyYieldsNoServerList() {
    for (const std::string rows :
         {R"([{"key":"i-1","value":"AAAA"}])", R"([{"key":7}])", "[]", "7"}) {
      int requests = 0;
      bool called = false;
      WithStore(
          [&](const std::string&) {
            ++requests;
            return ScriptedResponse{
                Ok(R"({"rows":)" + rows + R"(,"truncated":true,"ver":9})")};
          },
          [&](platform::PlatformStore& store) {
            store.ReadServers([&](auto list) {
              called = true;
              CPPUNIT_ASSERT(!list.has_value());
            });
          });
      CPPUNIT_ASSERT(called);
      CPPUNIT_ASSERT_LESSEQUAL(2, requests);
    }
  }

  // Guards against dropping all servers when the store rejects or garbles a
  // read: an error does not say that no server exists.
  void StoreErrorYieldsNoServerList() {
    for (const char* answer :
         {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 429 Many\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnot",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", ""}) {
      bool called = false;
      WithStore(
          [answer](const std::string&) { return ScriptedResponse{answer}; },
          [&](platform::PlatformStore& store) {
            store.ReadServers([&](auto list) {
              called = true;
              CPPUNIT_ASSERT(!list.has_value());
            });
          });
      CPPUNIT_ASSERT(called);
    }
  }

  void LeaseConflictReturnsCurrentLease() {
    LeaseWriteResult result = LeaseWriteResult::kUnknown;
    LeaseRow holder;
    // {"fence":3,"ip":"h","incarnation":1}
    WithStore(
        [](const std::string&) {
          std::string answer =
              Ok(R"({"rows":[{"key":"lease","value":"eyJmZW5jZSI6MywiaXAiOiJo)"
                 R"(IiwiaW5jYXJuYXRpb24iOjF9","ver":8}],"ver":9})");
          answer.replace(answer.find("200 OK"), 6, "412 No");
          return ScriptedResponse{answer};
        },
        [&](platform::PlatformStore& store) {
          store.WriteLease(LeaseRow(), {0, 2},
                           [&](LeaseWriteResult got, const LeaseRow& row) {
                             result = got;
                             holder = row;
                           });
        });
    CPPUNIT_ASSERT(result == LeaseWriteResult::kConflict);
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, holder.fencing_token);
    CPPUNIT_ASSERT_EQUAL(int64_t{8}, holder.position.version);
  }

  // Reads and watches until a third response has arrived.
  class ThreeResponses final : public detail::ConfigurationOwner {
   public:
    explicit ThreeResponses(asio::io_context& io) : m_io(io) {}
    int tables = 0;
    int failures = 0;

    bool IsCoordinator() const override { return false; }
    bool IsToldOfChanges() const override { return false; }
    int64_t ConfigurationVersion() const override { return 0; }
    void OnConfigurationChanging() override {}
    void OnConfigurationResponse(
        const detail::ConfigurationResponse& response) override {
      (response ? tables : failures) += 1;
      if (tables + failures == 3)
        m_io.stop();
    }

   private:
    asio::io_context& m_io;
  };

  // Guards against a watch that fails for ever after the store dropped its
  // history (410): the row itself is read then, at once.
  void ConfigurationIsReadAgainAfterHistoryIsDropped() {
    // {"version":4,"services":[],"routes":[]}
    const std::string row =
        Ok(R"({"rows":[{"key":"config","value":"eyJ2ZXJzaW9uIjo0LCJzZXJ2aWNl)"
           R"(cyI6W10sInJvdXRlcyI6W119","ver":6}],"ver":7})");
    ScriptedServer server([&](const std::string& request) {
      const bool is_watch = request.starts_with("GET /rows-feed");
      return ScriptedResponse{
          is_watch ? "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n" : row};
    });
    asio::io_context io;
    platform::PlatformStore store(io, server.address());
    ThreeResponses owner(io);
    detail::ConfigurationReader reader(io, &store, &owner);
    reader.Start();
    io.run();
    const std::vector<std::string> requests = server.requests();
    CPPUNIT_ASSERT_EQUAL(size_t{5}, requests.size());
    for (const size_t read : {0, 2, 4})
      CPPUNIT_ASSERT(requests[read].starts_with("GET /rows-get"));
    for (const size_t watch : {1, 3})
      CPPUNIT_ASSERT(requests[watch].starts_with("GET /rows-feed"));
    CPPUNIT_ASSERT_EQUAL(3, owner.tables);
    CPPUNIT_ASSERT_EQUAL(0, owner.failures);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterCallTest);

}  // namespace
}  // namespace trefoilwick
