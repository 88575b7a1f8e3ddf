#include <utility>

#include <cppunit/extensions/HelperMacros.h>
#include <boost/asio.hpp>
#include <future>
#include <thread>

#include "../src/engine_client.h"

namespace trefoilwick::detail {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Reads one request per connection, answers it while fewer than `answers` have
// been answered, and closes.
class FlakyServer {
 public:
  explicit FlakyServer(int answers)
      : m_answers(answers),
        m_acceptor(m_io, {asio::ip::make_address("127.0.0.1"), 0}),
        m_thread([this] { Serve(); }) {}
  ~FlakyServer() {
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
      if (m_stop || !Read(socket) || m_requests > m_answers)
        continue;
      asio::write(socket, asio::buffer(std::string(
                              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                              "Content-Type: application/json\r\n\r\n{}")));
    }
  }

  int m_answers;
  std::atomic<bool> m_stop{false};
  std::atomic<int> m_requests{0};
  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

HttpResult Wait(BackendHttpClient& caller, const HttpCall& call) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  auto future = promise->get_future();
  const auto cancel = caller.Call(call, [promise](HttpResult result) {
    promise->set_value(std::move(result));
  });
  if (future.wait_for(std::chrono::seconds(5)) != std::future_status::ready)
    cancel();
  return future.get();
}

class DaemonHttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonHttpClientTest);
  CPPUNIT_TEST(SendsAgainOnClosedConnection);
  CPPUNIT_TEST(SendsKeyedCallsOnce);
  CPPUNIT_TEST(ReportsRefusedConnection);
  CPPUNIT_TEST(CancelReportsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against failing a step because its engine had closed an idle
  // connection.
  void SendsAgainOnClosedConnection() {
    FlakyServer server(3);
    BackendHttpClient caller;
    HttpCall call;
    call.address = server.address();
    call.path = "/v1/step";
    call.body = "{}";
    for (int i = 0; i < 3; ++i)
      CPPUNIT_ASSERT_EQUAL(200, Wait(caller, call).status);
    CPPUNIT_ASSERT_EQUAL(3, server.requests());
  }

  // Guards against running a non-idempotent call twice: a server that read it
  // and then failed must not get it again, whichever connection was kept.
  void SendsKeyedCallsOnce() {
    FlakyServer server(1);
    BackendHttpClient caller;
    HttpCall call;
    call.address = server.address();
    call.path = "/ballot";
    call.body = "{}";
    CPPUNIT_ASSERT_EQUAL(200, Wait(caller, call).status);
    call.idempotency_key = "k1";
    const HttpResult result = Wait(caller, call);
    CPPUNIT_ASSERT(result.failure == CallFailure::kNoReply);
    CPPUNIT_ASSERT(!result.certainly_not_sent);
    CPPUNIT_ASSERT_EQUAL(2, server.requests());
  }

  // Guards against treating an ended process as a lost answer: only a refused
  // connection proves that nothing ran.
  void ReportsRefusedConnection() {
    std::string address;
    {
      FlakyServer server(3);
      address = server.address();
    }
    BackendHttpClient caller;
    HttpCall call;
    call.address = address;
    call.path = "/";
    const HttpResult result = Wait(caller, call);
    CPPUNIT_ASSERT(result.failure == CallFailure::kCrashed);
    CPPUNIT_ASSERT(result.certainly_not_sent);
  }

  // Guards against a callback that never comes when a server is silent.
  void CancelReportsLost() {
    asio::io_context io;
    tcp::acceptor silent(io, {asio::ip::make_address("127.0.0.1"), 0});
    BackendHttpClient caller;
    HttpCall call;
    call.address =
        "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    call.path = "/";
    std::promise<HttpResult> promise;
    auto future = promise.get_future();
    const auto cancel = caller.Call(
        call, [&](HttpResult result) { promise.set_value(std::move(result)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cancel();
    CPPUNIT_ASSERT(future.get().failure == CallFailure::kNoReply);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonHttpClientTest);

}  // namespace
}  // namespace trefoilwick::detail
