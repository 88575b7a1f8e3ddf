// Probes of servers while a long response of the store keeps the link of the
// instance busy.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

// Longer than several silences after which a server is probed.
constexpr milliseconds kPause{1600};
constexpr double kLinkMbps = 14;
// Two seconds on that link.
constexpr uint64_t kLongResponseBytes = 3'500'000;

// Serves one stream, in two parts with a pause between them. All later
// connections time out, as on a link on which nothing else gets through.
class PausingServer {
 public:
  PausingServer() : m_acceptor(m_io, tcp::v4()) {
    m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen(0);
    m_thread = std::thread([this] { Serve(); });
  }
  ~PausingServer() { m_thread.join(); }
  PausingServer(const PausingServer&) = delete;
  PausingServer& operator=(const PausingServer&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  void Serve() {
    tcp::socket socket(m_io);
    m_acceptor.accept(socket);
    FillQueue();
    boost::system::error_code error;
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    const std::string begin =
        kStreamHead + MakeChunk(MakeEvent(0)) + MakeChunk(MakeEvent(1));
    asio::write(socket, asio::buffer(begin), error);
    std::this_thread::sleep_for(kPause);
    const std::string end = MakeChunk(MakeEvent(2)) + MakeChunk("");
    asio::write(socket, asio::buffer(end), error);
  }

  // Once the queue of connections that wait to be accepted is full, the system
  // drops further ones.
  void FillQueue() {
    constexpr int kMoreThanFit = 4;
    for (int i = 0; i < kMoreThanFit; ++i) {
      m_waiting.emplace_back(m_io);
      m_waiting.back().async_connect(m_acceptor.local_endpoint(),
                                     [](const boost::system::error_code&) {});
    }
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  std::vector<tcp::socket> m_waiting;
  std::thread m_thread;
};

class AdapterBusyLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterBusyLinkTest);
  CPPUNIT_TEST(ServerIsNotLostBehindLongResponse);
  CPPUNIT_TEST(ServerIsLostWhenLinkIsFree);
  CPPUNIT_TEST_SUITE_END();

  // Events of a stream whose first server pauses. A second server would resume
  // the stream and add event 3.
  static std::string CallPausingServer(uint64_t missing_bytes) {
    PausingServer pausing;
    ScriptedServer other([](const std::string&) {
      return ScriptedResponse{kStreamHead + MakeChunk(MakeEvent(2)) +
                              MakeChunk(MakeEvent(3)) + MakeChunk("")};
    });
    GatewayHarness harness;
    harness.settings().link_mbps = kLinkMbps;
    harness.store().missing_bytes = missing_bytes;
    harness.store().table = MakeTable();
    harness.AddServer("i-0", "desk", pausing.address());
    harness.Start();
    std::string response;
    std::thread client([&] {
      response = harness.CallAsClient(Request("POST /stream/x", "", "b"));
    });
    std::this_thread::sleep_for(kPause / 16);
    harness.ListServer("i-1", "desk", other.address());
    client.join();
    return EventIds(response);
  }

 public:
  // While a slow link carried a long configuration, probes were late, and all
  // streams of an instance moved off servers that served them.
  void ServerIsNotLostBehindLongResponse() {
    CPPUNIT_ASSERT_EQUAL(std::string("012"),
                         CallPausingServer(kLongResponseBytes));
  }

  // Guards against holding up the recovery of streams at other times.
  void ServerIsLostWhenLinkIsFree() {
    CPPUNIT_ASSERT_EQUAL(std::string("0123"), CallPausingServer(1000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterBusyLinkTest);

}  // namespace
}  // namespace trefoilwick
