// Tests of whole responses over real sockets: what the head of a faulty server
// says must not reach a client as the truth.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

// Refuses the first request of all with a short pause and sends that refusal
// once more, late, where the next answer on that connection is due. Serves many
// connections at a time.
class LateRefusalServer {
 public:
  LateRefusalServer()
      : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_address("127.0.0.1:" +
                  std::to_string(m_acceptor.local_endpoint().port())) {
    Accept();
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~LateRefusalServer() {
    m_io.stop();
    m_thread.join();
  }
  const std::string& address() const { return m_address; }
  // Requests that were run.
  int runs() const { return m_runs; }

 private:
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string bytes;
    bool has_refused = false;
  };

  void Accept() {
    m_acceptor.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket) {
          if (error)
            return;
          Serve(std::make_shared<Connection>(std::move(socket)));
          Accept();
        });
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    asio::async_read_until(
        connection->socket, asio::dynamic_buffer(connection->bytes), "\r\n\r\n",
        [this, connection](const boost::system::error_code& error, size_t) {
          if (error)
            return;
          connection->bytes.clear();
          const std::string refusal = MakeResponse(
              "503 Full", "Not-Run: 1\r\nRetry-After: 0.15\r\n", "");
          std::string answer = refusal;
          if (std::exchange(m_has_refused, true)) {
            ++m_runs;
            answer = MakeSealedResponse("done");
            if (std::exchange(connection->has_refused, false))
              answer.insert(0, refusal);
          } else {
            connection->has_refused = true;
          }
          boost::system::error_code ignored;
          asio::write(connection->socket, asio::buffer(answer), ignored);
          Serve(connection);
        });
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  std::string m_address;
  bool m_has_refused = false;
  std::atomic<int> m_runs{0};
  std::thread m_thread;
};

class AdapterResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterResponseTest);
  CPPUNIT_TEST(MarkOfRefusalBesideOtherStatusIsNotBelieved);
  CPPUNIT_TEST(EncodedSuccessIsNotForwarded);
  CPPUNIT_TEST(NoticesOfRefusedSuccessAreNotBelieved);
  CPPUNIT_TEST(ResponseWithoutIdOnReusedConnectionIsNotBelieved);
  CPPUNIT_TEST(LateRefusalIsNotTakenForAnswerToNextSend);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A failure or a success that also said "not run" was believed: a request
  // that must run once was sent again, or refused although it had run.
  void MarkOfRefusalBesideOtherStatusIsNotBelieved() {
    for (const char* status :
         {"500 Internal Server Error", "504 Late", "404 Not Found", "200 OK"}) {
      const Answer answer = CallWithFirstAnswer(
          "POST /post/x",
          MakeResponse(status, "Server-Seal: s\r\nNot-Run: 1\r\n", "first"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, size_t{1}, answer.sends);
      CPPUNIT_ASSERT_MESSAGE(
          answer.response,
          answer.response.starts_with("HTTP/1.1 " + std::string(status, 3)));
      CPPUNIT_ASSERT_MESSAGE(answer.response,
                             answer.response.ends_with("first"));
    }
    for (const char* status :
         {"503 Full", "429 Many", "421 Other", "408 Late"}) {
      const Answer answer = CallWithFirstAnswer(
          "GET /get/x", MakeResponse(status, "Not-Run: 1\r\n", ""));
      CPPUNIT_ASSERT_MESSAGE(answer.response,
                             answer.response.ends_with("done"));
    }
  }

  // No request asks for an encoding, so an encoded body is not that of the
  // server, and its client cannot read it.
  void EncodedSuccessIsNotForwarded() {
    const std::string encoded = MakeResponse(
        "200 OK", "Server-Seal: s\r\nContent-Encoding: gzip\r\n", "first");
    const Answer repeated = CallWithFirstAnswer("GET /get/x", encoded);
    CPPUNIT_ASSERT_MESSAGE(repeated.response,
                           repeated.response.ends_with("done"));
    const Answer once = CallWithFirstAnswer("POST /post/x", encoded);
    CPPUNIT_ASSERT_MESSAGE(once.response,
                           once.response.starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, once.sends);
  }

  // A success that no client got took its server out of use: as leaving, or by
  // a limit of no requests.
  void NoticesOfRefusedSuccessAreNotBelieved() {
    const std::string sealed = "Server-Seal: s\r\n";
    const std::string leaving = "Server-Leaving: 1\r\n";
    const std::string limit = "Server-Limit: 0\r\n";
    const std::string encoded = "Content-Encoding: gzip\r\n";
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"/post/x", leaving},
        {"/post/x", sealed + encoded + leaving},
        {"/post/x", sealed + encoded + limit},
        {"/single/x", sealed + leaving},
        {"/single/x", sealed + limit}};
    std::string out_of_use;
    for (const auto& item : cases) {
      const std::string& path = item.first;
      const std::string& headers = item.second;
      std::atomic<int> calls{0};
      ScriptedServer server([&](const std::string&) {
        return ScriptedResponse{++calls == 1
                                    ? MakeResponse("200 OK", headers, "first")
                                    : MakeSealedResponse("done")};
      });
      GatewayHarness harness;
      StartGateway(harness, {&server});
      const std::string refused =
          harness.CallAsClient(Request("POST " + path, "", "b"));
      CPPUNIT_ASSERT_MESSAGE(refused, refused.starts_with("HTTP/1.1 502"));
      // Longer than a server that broke off is left alone.
      std::this_thread::sleep_for(seconds(1));
      const std::string next = harness.CallAsClient(Request("GET /get/x"));
      if (!next.ends_with("done"))
        out_of_use.append(path).append(" ").append(headers);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), out_of_use);
  }

  // It may be a late copy of an earlier answer on that connection. Servers echo
  // the id.
  void ResponseWithoutIdOnReusedConnectionIsNotBelieved() {
    for (const std::string& late :
         {MakeAnonymousResponse("late"),
          std::string("HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\n"
                      "late")}) {
      std::atomic<bool> was_late{false};
      const auto make_handler = [&] {
        return [&, calls = 0](const std::string&) mutable {
          ScriptedResponse response{MakeSealedResponse("done"), false};
          if (++calls == 2 && !was_late.exchange(true))
            response.bytes = late;
          return response;
        };
      };
      ScriptedServer one(make_handler());
      ScriptedServer two(make_handler());
      GatewayHarness harness;
      StartGateway(harness, {&one, &two});
      for (int i = 0; i < 6; ++i) {
        const std::string response =
            harness.CallAsClient(Request("GET /get/x"));
        CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("done"));
      }
      CPPUNIT_ASSERT(was_late);
    }
  }

  // The late copy was read as the answer to the request when it was sent again
  // on the same connection: both have its id. The request was refused as not
  // run, or sent once more, while the server ran it.
  void LateRefusalIsNotTakenForAnswerToNextSend() {
    LateRefusalServer server;
    GatewayHarness harness;
    harness.store().table = MakeTable();
    harness.AddServer("i-0", "desk", server.address());
    harness.Start();
    const std::string response = harness.CallAsClient(Request("GET /get/x"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, server.runs());
    CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("done"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterResponseTest);

}  // namespace
}  // namespace trefoilwick
