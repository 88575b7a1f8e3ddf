#include <utility>

#include <cppunit/extensions/HelperMacros.h>
#include <boost/asio.hpp>
#include <future>
#include <thread>

#include "../src/engine_client.h"
#include "broken_responses.h"
#include "early_answer_server.h"

namespace trefoilwick::detail {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr char kOkResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    "Content-Type: application/json\r\n\r\n{}";

// Reads one request per connection, responds to the first `max_responses`
// requests, and closes the connection.
class ClosingServer {
 public:
  explicit ClosingServer(int max_responses, std::string response = kOkResponse)
      : m_max_responses(max_responses),
        m_response(std::move(response)),
        m_acceptor(m_io, {asio::ip::make_address("127.0.0.1"), 0}),
        m_thread([this] { Serve(); }) {}
  ~ClosingServer() {
    m_stop = true;
    tcp::socket wake(m_io);
    boost::system::error_code ignored;
    wake.connect(m_acceptor.local_endpoint(), ignored);
    wake.close();
    m_thread.join();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  int requests() const { return m_requests; }

 private:
  bool Read(tcp::socket& socket) {
    boost::system::error_code error;
    std::string text;
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
    if (error)
      return false;
    ++m_requests;
    return true;
  }
  void Serve() {
    while (!m_stop) {
      tcp::socket socket = m_acceptor.accept();
      if (m_stop || !Read(socket) || m_requests > m_max_responses)
        continue;
      asio::write(socket, asio::buffer(m_response));
    }
  }

  int m_max_responses;
  std::string m_response;
  std::atomic<bool> m_stop{false};
  std::atomic<int> m_requests{0};
  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

HttpResult CallAndWait(BackendHttpClient& client, const HttpCall& call) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  auto future = promise->get_future();
  const auto cancel = client.Call(call, [promise](HttpResult result) {
    promise->set_value(std::move(result));
  });
  if (future.wait_for(std::chrono::seconds(5)) != std::future_status::ready)
    cancel();
  return future.get();
}

class DaemonHttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonHttpClientTest);
  CPPUNIT_TEST(RetriesOnClosedIdleConnection);
  CPPUNIT_TEST(SendsCallsWithIdempotencyKeyOnce);
  CPPUNIT_TEST(ReportsRefusedConnection);
  CPPUNIT_TEST(CancelledCallReportsNoReply);
  CPPUNIT_TEST(BadStatusIsNoReply);
  CPPUNIT_TEST(BadFieldNameIsNoReply);
  CPPUNIT_TEST(FoldedLineIsNoReply);
  CPPUNIT_TEST(BadTransferCodingIsNoReply);
  CPPUNIT_TEST(MalformedResponseIsNoReply);
  CPPUNIT_TEST(UnframedResponseThatIsResetIsNoReply);
  CPPUNIT_TEST(EarlyResponseIsTheReply);
  CPPUNIT_TEST(InterimResponseIsNotTheReply);
  CPPUNIT_TEST(LateResponseIsNotTheReplyToTheNextCall);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against failing a step because its engine had closed an idle
  // connection.
  void RetriesOnClosedIdleConnection() {
    ClosingServer server(3);
    BackendHttpClient client;
    HttpCall call;
    call.address = server.address();
    call.path = "/v1/step";
    call.body = "{}";
    for (int i = 0; i < 3; ++i)
      CPPUNIT_ASSERT_EQUAL(200, CallAndWait(client, call).status);
    CPPUNIT_ASSERT_EQUAL(3, server.requests());
  }

  // Guards against running a non-idempotent call twice: a server that read it
  // and then failed must not get it again, whichever connection was pooled.
  void SendsCallsWithIdempotencyKeyOnce() {
    ClosingServer server(1);
    BackendHttpClient client;
    HttpCall call;
    call.address = server.address();
    call.path = "/ballot";
    call.body = "{}";
    CPPUNIT_ASSERT_EQUAL(200, CallAndWait(client, call).status);
    call.idempotency_key = "k1";
    const HttpResult result = CallAndWait(client, call);
    CPPUNIT_ASSERT(result.failure == CallFailure::kNoReply);
    CPPUNIT_ASSERT(!result.certainly_not_sent);
    CPPUNIT_ASSERT_EQUAL(2, server.requests());
  }

  // Guards against treating a stopped process as a lost response: only a
  // refused connection proves that nothing ran.
  void ReportsRefusedConnection() {
    std::string address;
    {
      ClosingServer server(3);
      address = server.address();
    }
    BackendHttpClient client;
    HttpCall call;
    call.address = address;
    call.path = "/";
    const HttpResult result = CallAndWait(client, call);
    CPPUNIT_ASSERT(result.failure == CallFailure::kCrashed);
    CPPUNIT_ASSERT(result.certainly_not_sent);
  }

  // Guards against a callback that is never called when a server does not
  // respond.
  void CancelledCallReportsNoReply() {
    asio::io_context io;
    tcp::acceptor unresponsive(io, {asio::ip::make_address("127.0.0.1"), 0});
    BackendHttpClient client;
    HttpCall call;
    call.address =
        "127.0.0.1:" + std::to_string(unresponsive.local_endpoint().port());
    call.path = "/";
    std::promise<HttpResult> promise;
    auto future = promise.get_future();
    const auto cancel = client.Call(
        call, [&](HttpResult result) { promise.set_value(std::move(result)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cancel();
    CPPUNIT_ASSERT(future.get().failure == CallFailure::kNoReply);
  }

  // Result of a call that runs at most once.
  static HttpResult CallOnce(const std::string& address,
                             std::string body = "") {
    BackendHttpClient client;
    HttpCall call;
    call.address = address;
    call.body = std::move(body);
    call.path = "/ballot";
    call.idempotency_key = "k1";
    return CallAndWait(client, call);
  }

  static void CheckNoReply(const std::vector<BrokenResponse>& responses) {
    for (const BrokenResponse& broken : responses) {
      ClosingServer server(1, broken.bytes);
      const HttpResult result = CallOnce(server.address());
      CPPUNIT_ASSERT_MESSAGE(broken.name,
                             result.failure == CallFailure::kNoReply);
      CPPUNIT_ASSERT_MESSAGE(broken.name, !result.certainly_not_sent);
    }
  }

  // The ledger recorded status 000 as the result of a call, and every client
  // that sent the call got it.
  void BadStatusIsNoReply() { CheckNoReply(ResponsesWithBadStatus("")); }

  // Guards against a body whose length such a name hides.
  void BadFieldNameIsNoReply() {
    CheckNoReply(ResponsesWithBadFieldName("X-E: e\r\n", kBadNameBytes));
  }

  // A body of another size was recorded as the result of a call.
  void FoldedLineIsNoReply() {
    CheckNoReply(ResponsesWithFoldedLine("X-E: e\r\n"));
  }

  // The sizes of chunks, or coded bytes, were recorded as the result.
  void BadTransferCodingIsNoReply() {
    CheckNoReply(ResponsesWithBadTransferCoding("X-E: e\r\n"));
  }

  // Guards against a result that was cut or is none.
  void MalformedResponseIsNoReply() { CheckNoReply(MalformedResponses()); }

  // Guards against recording the part that arrived as the result of a call,
  // with a short request and with one that is still being sent.
  void UnframedResponseThatIsResetIsNoReply() {
    const std::string part = "HTTP/1.1 200 OK\r\n\r\npart";
    for (const size_t body_bytes : {size_t{10}, kLongUploadBytes})
      for (const AnswerEnd end : {AnswerEnd::kReset, AnswerEnd::kShutdown}) {
        EarlyAnswerServer server({.bytes = part, .end = end}, "",
                                 std::make_shared<std::atomic<int>>(0));
        const HttpResult result =
            CallOnce(server.address(), std::string(body_bytes, 'u'));
        const bool is_reply = end == AnswerEnd::kShutdown;
        CPPUNIT_ASSERT_EQUAL(is_reply ? 200 : 0, result.status);
        CPPUNIT_ASSERT((result.failure == CallFailure::kNoReply) != is_reply);
      }
  }

  // The reply was lost when its server ended the connection before it had read
  // the whole request.
  void EarlyResponseIsTheReply() {
    for (const EarlyAnswer& early :
         {EarlyAnswer{.bytes = kOkResponse, .end = AnswerEnd::kReset},
          EarlyAnswer{.bytes = "HTTP/1.1 200 OK\r\n\r\n{}",
          .end = AnswerEnd::kShutdownThenReset}}) {
      EarlyAnswerServer server(early, "",
                               std::make_shared<std::atomic<int>>(0));
      const HttpResult result =
          CallOnce(server.address(), std::string(kLongUploadBytes, 'u'));
      CPPUNIT_ASSERT_EQUAL(200, result.status);
      CPPUNIT_ASSERT_EQUAL(std::string("{}"), result.body);
    }
  }

  // The ledger recorded status 100 as the result of a call.
  void InterimResponseIsNotTheReply() {
    ClosingServer server(
        1, std::string("HTTP/1.1 100 Continue\r\n\r\n") + kOkResponse);
    const HttpResult result = CallOnce(server.address());
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), result.body);
  }

  // A response that a server sent twice was read as the reply to the next call
  // on its connection.
  void LateResponseIsNotTheReplyToTheNextCall() {
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    std::thread server([&] {
      for (int connection = 0; connection < 2; ++connection) {
        tcp::socket socket = acceptor.accept();
        std::string text;
        boost::system::error_code ignored;
        asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n",
                         ignored);
        const std::string response =
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
            std::to_string(connection);
        asio::write(socket, asio::buffer(response), ignored);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        asio::write(socket, asio::buffer(response), ignored);
        // Until the client closes the connection or sends the next call.
        socket.wait(tcp::socket::wait_read, ignored);
      }
    });
    std::string replies;
    {
      BackendHttpClient client;
      HttpCall call;
      call.method = "GET";
      call.address =
          "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
      call.path = "/";
      replies += CallAndWait(client, call).body;
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
      replies += CallAndWait(client, call).body;
    }
    // Unblocks the server when there was no second connection.
    tcp::socket wake(io);
    wake.connect(acceptor.local_endpoint());
    wake.close();
    server.join();
    CPPUNIT_ASSERT_EQUAL(std::string("01"), replies);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonHttpClientTest);

}  // namespace
}  // namespace trefoilwick::detail
