// Tests of clients that speak HTTP/1.0: they know no chunks and take an orderly
// end of the connection for that of a response without a length.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

constexpr char kReset[] = "<reset>";

std::string Http10Request(const std::string& line) {
  return line +
         " HTTP/1.0\r\nHost: a.example\r\nAttempt-Id: a1\r\n"
         "Credential: k1\r\nDeadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nb";
}

std::string BodyBehindHead(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

ScriptedServer::Handler RespondWith(ScriptedResponse response) {
  return
      [response = std::move(response)](const std::string&) { return response; };
}

// A success of `length`, of which `sent` bytes are sent.
ScriptedResponse LargeResponse(size_t length, size_t sent) {
  return {
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n"
      "Content-Length: " +
      std::to_string(length) + "\r\n\r\n" + std::string(sent, 'p')};
}

class AdapterHttp10Test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterHttp10Test);
  CPPUNIT_TEST(BodyIsSentWithoutChunks);
  CPPUNIT_TEST(ResponseThatIsCutShortEndsWithReset);
  CPPUNIT_TEST(SlowClientGetsWholeResponse);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kLargeBytes = 600'000;

  static std::string Call(const std::string& line,
                          const ScriptedResponse& response) {
    ScriptedServer server(RespondWith(response));
    GatewayHarness harness;
    StartGateway(harness, {&server});
    return harness.CallAsClient(Http10Request(line));
  }

  static void CheckUnframed(const std::string& response,
                            const std::string& body) {
    const std::string head = response.substr(0, response.find("\r\n\r\n"));
    CPPUNIT_ASSERT_MESSAGE(head, head.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_MESSAGE(head, !Contains(head, "Transfer-Encoding"));
    CPPUNIT_ASSERT_MESSAGE(head, Contains(head, "Connection: close"));
    CPPUNIT_ASSERT(BodyBehindHead(response) == body);
  }

 public:
  // The body had the sizes of chunks within it.
  void BodyIsSentWithoutChunks() {
    const std::string events = MakeEvent(0) + MakeEvent(1);
    CheckUnframed(Call("POST /stream/x",
                       {kStreamHead + MakeChunk(events) + MakeChunk("")}),
                  events);
    CheckUnframed(Call("POST /post/x", LargeResponse(kLargeBytes, kLargeBytes)),
                  std::string(kLargeBytes, 'p'));
  }

  // The connection ended in order, so that the part looked complete.
  void ResponseThatIsCutShortEndsWithReset() {
    const std::string stream =
        Call("POST /single/x", {kStreamHead + MakeChunk(MakeEvent(0))});
    CPPUNIT_ASSERT_EQUAL(std::string("0"), EventIds(stream));
    CPPUNIT_ASSERT_MESSAGE(stream, stream.ends_with(kReset));
    const std::string large =
        Call("POST /post/x", LargeResponse(kLargeBytes, kLargeBytes - 1));
    CPPUNIT_ASSERT(large.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(large.ends_with(kReset));
  }

  // Guards against a reset that discards what the client has not read when the
  // connection is closed, some time after the response.
  void SlowClientGetsWholeResponse() {
    constexpr size_t kMoreThanReadBufferTakes = 2'000'000;
    ScriptedServer server(RespondWith(
        LargeResponse(kMoreThanReadBufferTakes, kMoreThanReadBufferTakes)));
    GatewayHarness harness;
    StartGateway(harness, {&server});
    asio::io_context io;
    tcp::socket socket(io, tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(8192));
    socket.connect(*ParseEndpoint(harness.client_address()));
    asio::write(socket, asio::buffer(Http10Request("POST /post/x")));
    std::this_thread::sleep_for(milliseconds(1500));
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    CPPUNIT_ASSERT(error == asio::error::eof);
    CheckUnframed(response, std::string(kMoreThanReadBufferTakes, 'p'));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterHttp10Test);

}  // namespace
}  // namespace trefoilwick
