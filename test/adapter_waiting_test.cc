// Tests of requests that wait for a server, over real sockets: each gets one
// response, and a refusal is true.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

// A connection of a client that stays open between requests.
class ClientConnection {
 public:
  explicit ClientConnection(const std::string& address) : m_socket(m_io) {
    m_socket.connect(*ParseEndpoint(address));
  }

  void Send(const std::string& line, const std::string& attempt_id) {
    asio::write(m_socket,
                asio::buffer(line +
                             " HTTP/1.1\r\nHost: a.example\r\n"
                             "Credential: k1\r\nDeadline-Ms: 2000\r\n"
                             "Attempt-Id: " +
                             attempt_id + "\r\nContent-Length: 0\r\n\r\n"));
  }

  // Reads what arrives within `time`.
  std::string ReadFor(std::chrono::milliseconds time) {
    std::string out;
    asio::steady_timer timer(m_io, time);
    timer.async_wait(
        [&](const boost::system::error_code&) { m_socket.cancel(); });
    asio::async_read(
        m_socket, asio::dynamic_buffer(out),
        [&](const boost::system::error_code&, size_t) { timer.cancel(); });
    m_io.restart();
    m_io.run();
    return out;
  }

 private:
  asio::io_context m_io;
  tcp::socket m_socket;
};

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterWaitingTest);

}  // namespace
}  // namespace trefoilwick
