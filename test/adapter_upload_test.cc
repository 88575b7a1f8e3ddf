// Tests of the gateway with servers that answer while the body of the request
// is still being sent to them.
#include <cppunit/extensions/HelperMacros.h>

#include "broken_responses.h"
#include "early_answer_server.h"
#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

constexpr char kStatusLineStart[] = "HTTP/1.1 ";
constexpr char kSealedFields[] = "\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n";

// A response that has neither a length nor chunks.
std::string UnframedResponse(const std::string& status, size_t body_bytes) {
  return kStatusLineStart + status + kSealedFields + "\r\n" +
         std::string(body_bytes, 'p');
}

std::string UnframedStreamHead() {
  return kStatusLineStart + std::string("200 OK") + kSealedFields +
         "Content-Type: text/event-stream\r\n\r\n";
}

std::string ChunkedHead() {
  return kStatusLineStart + std::string("200 OK") + kSealedFields +
         "Transfer-Encoding: chunked\r\n\r\n";
}

// True when a client takes `response` for a whole one.
bool IsComplete(const std::string& response) {
  const size_t head = response.find("\r\n\r\n");
  if (head == std::string::npos)
    return false;
  if (Contains(response.substr(0, head), "chunked"))
    return response.ends_with("\r\n0\r\n\r\n");
  const std::string length_field = "Content-Length: ";
  const size_t length = response.find(length_field);
  return length < head &&
         response.size() - head - 4 ==
             std::stoul(response.substr(length + length_field.size()));
}

// The body of a response in chunks or with a length.
std::string BodyOf(const std::string& response) {
  const size_t head = response.find("\r\n\r\n") + 4;
  if (!Contains(response.substr(0, head), "chunked"))
    return response.substr(head);
  std::string body;
  for (size_t at = head; at < response.size();) {
    const size_t size = std::stoul(response.substr(at), nullptr, 16);
    at = response.find("\r\n", at) + 2;
    body += response.substr(at, size);
    at += size + 2;
  }
  return body;
}

// Time for two long uploads, also where the processor is slow or shared.
constexpr seconds kUploadDeadline{10};

std::string UploadRequest(const std::string& path) {
  return Request("POST " + path, "", std::string(kLongUploadBytes, 'u'),
                 kUploadDeadline);
}

class AdapterUploadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterUploadTest);
  CPPUNIT_TEST(UnframedResponseThatIsResetIsNotAnswer);
  CPPUNIT_TEST(ResetSeenTogetherWithResponseIsNotAnswer);
  CPPUNIT_TEST(ResetDuringPausedReadsCutsResponse);
  CPPUNIT_TEST(ResetOnKeptConnectionIsNotAnswer);
  CPPUNIT_TEST(UnframedStreamThatIsResetIsResumed);
  CPPUNIT_TEST(ResponseThatEndsInOrderIsAnswer);
  CPPUNIT_TEST(EndSeenTogetherWithLaterResetIsAnswer);
  CPPUNIT_TEST(FramedResponseIsAnswerWhenItsBodyIsWhole);
  CPPUNIT_TEST(BrokenHeadIsNotAnswer);
  CPPUNIT_TEST_SUITE_END();

  static std::shared_ptr<const RouteTable> MakeUploadTable() {
    ClientLimits limits;
    limits.max_header_bytes = 4096;
    limits.max_body_bytes = 2 * kLongUploadBytes;
    RouteTable::Builder builder(1);
    Service desk;
    desk.name = "desk";
    ClientAccount club;
    club.name = "club";
    club.keys = {"k1"};
    builder.AddService(desk).AddAccount(club).SetLimits(limits);
    for (Route route : {MakeRoute("/get/", RouteKind::kIdempotent, 2),
                        MakeRoute("/once/", RouteKind::kIdempotent, 1),
                        MakeRoute("/post/", RouteKind::kNonIdempotent, 1),
                        MakeRoute("/stream/", RouteKind::kStream, 2),
                        MakeRoute("/single/", RouteKind::kStream, 1)}) {
      route.timeout = kUploadDeadline;
      builder.AddRoute(route);
    }
    return std::make_shared<const RouteTable>(builder.Build());
  }

  // Uploads a long body to a gateway with two servers, of which the first that
  // is called answers early.
  struct Upload {
    EarlyAnswer early;
    std::string later = MakeSealedResponse("done");
    // Time from the early answer for which the gateway handles nothing.
    milliseconds blocked{0};
    // Time for which the client does not read, and takes little unread.
    milliseconds unread{0};

    Answer Send(const std::string& path) {
      GatewayHarness harness;
      early.before = [this, &harness] {
        if (blocked > milliseconds(0))
          harness.BlockFor(blocked);
      };
      const auto calls = std::make_shared<std::atomic<int>>(0);
      EarlyAnswerServer one(early, later, calls);
      EarlyAnswerServer two(early, later, calls);
      harness.store().table = MakeUploadTable();
      harness.AddServer("i-0", "desk", one.address());
      harness.AddServer("i-1", "desk", two.address());
      harness.Start();
      Answer answer;
      answer.response = Call(harness, path);
      answer.sends = one.requests() + two.requests();
      return answer;
    }

   private:
    std::string Call(const GatewayHarness& harness, const std::string& path) {
      const std::string request = UploadRequest(path);
      if (unread == milliseconds(0))
        return harness.CallAsClient(request);
      asio::io_context io;
      tcp::socket socket(io, tcp::v4());
      socket.set_option(asio::socket_base::receive_buffer_size(8192));
      socket.connect(*ParseEndpoint(harness.client_address()));
      asio::write(socket, asio::buffer(request));
      std::this_thread::sleep_for(unread);
      std::string response;
      boost::system::error_code error;
      asio::read(socket, asio::dynamic_buffer(response), error);
      return response;
    }
  };

  static Answer SendUpload(const std::string& path,
                           const std::string& bytes,
                           AnswerEnd end) {
    return Upload{{.bytes = bytes, .end = end}}.Send(path);
  }

  static bool IsLocalFailure(const std::string& response) {
    return response.starts_with("HTTP/1.1 502") &&
           !Contains(response, "Server-Seal");
  }

  // Checks that `bytes`, and then the end of the connection, is no answer: a
  // request that may be repeated is completed by the other server, and the
  // client of one that may not gets a failure or a response that is cut short.
  // Returns what is wrong.
  static std::string CheckNotAnswer(const std::string& name,
                                    const std::string& bytes,
                                    AnswerEnd end) {
    std::string wrong;
    const Answer once = SendUpload("/post/x", bytes, end);
    if (once.sends != 1 ||
        (IsComplete(once.response) && !IsLocalFailure(once.response)))
      wrong += name + ", once: " + Summary(once.response);
    const Answer repeated = SendUpload("/get/x", bytes, end);
    if (IsComplete(repeated.response) &&
        !repeated.response.ends_with("\r\n\r\ndone"))
      wrong += name + ", repeated: " + Summary(repeated.response);
    return wrong;
  }

  static std::string CheckAnswer(const std::string& name,
                                 const std::string& bytes,
                                 AnswerEnd end,
                                 const std::string& status,
                                 const std::string& body) {
    const Answer answer = SendUpload("/post/x", bytes, end);
    const bool is_right =
        answer.sends == 1 && IsComplete(answer.response) &&
        answer.response.starts_with(kStatusLineStart + status) &&
        BodyOf(answer.response) == body;
    return is_right ? "" : name + ": " + Summary(answer.response);
  }

  static std::string Summary(const std::string& response) {
    return response.substr(0, response.find("\r\n")) + ", " +
           std::to_string(response.size()) + " bytes\n";
  }

 public:
  // The write of the upload learned of the reset, so that the read saw nothing
  // but the end of the connection. The part that had arrived was forwarded as
  // the whole answer.
  void UnframedResponseThatIsResetIsNotAnswer() {
    std::string wrong;
    for (const AnswerEnd end : {AnswerEnd::kReset, AnswerEnd::kCloseUnread})
      for (const char* status : {"200 OK", "404 Not Found", "500 Failed"})
        for (const size_t size : {size_t{0}, size_t{1000}, size_t{800'000}})
          wrong += CheckNotAnswer(status + (" " + std::to_string(size)),
                                  UnframedResponse(status, size), end);
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  // The response and its reset are found in one go, as by a busy instance.
  void ResetSeenTogetherWithResponseIsNotAnswer() {
    for (const size_t size : {size_t{0}, size_t{1000}, size_t{20'000}}) {
      Upload upload{{.bytes = UnframedResponse("200 OK", size)}};
      upload.blocked = 4 * kEarlyAnswerPause;
      const Answer answer = upload.Send("/post/x");
      CPPUNIT_ASSERT_MESSAGE(Summary(answer.response),
                             IsLocalFailure(answer.response));
    }
  }

  // While a slow client pauses the reads, only the write learns of the reset.
  void ResetDuringPausedReadsCutsResponse() {
    constexpr size_t kMoreThanBuffersTake = size_t{24} << 20;
    Upload upload{{.bytes = UnframedResponse("200 OK", kMoreThanBuffersTake)}};
    upload.unread = 8 * kEarlyAnswerPause;
    const Answer answer = upload.Send("/post/x");
    CPPUNIT_ASSERT_MESSAGE(Summary(answer.response),
                           answer.response.starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT_MESSAGE(Summary(answer.response),
                           !IsComplete(answer.response));
  }

  // Guards against judging the connection by the request before. A gateway that
  // sees the reset first takes it for the end of an idle connection, and other
  // routes allow a second send after that.
  void ResetOnKeptConnectionIsNotAnswer() {
    EarlyAnswerServer server(
        {.bytes = UnframedResponse("200 OK", 1000), .sound_requests = 1},
        MakeSealedResponse("done"), std::make_shared<std::atomic<int>>(0));
    GatewayHarness harness;
    harness.store().table = MakeUploadTable();
    harness.AddServer("i-0", "desk", server.address());
    harness.Start();
    CPPUNIT_ASSERT(harness.CallAsClient(Request("POST /once/x", "", "b"))
                       .ends_with("done"));
    const std::string response = harness.CallAsClient(UploadRequest("/once/x"));
    CPPUNIT_ASSERT_MESSAGE(Summary(response), IsLocalFailure(response));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server.requests());
  }

  // The stream ended as complete before its last event.
  void UnframedStreamThatIsResetIsResumed() {
    const std::string begin =
        UnframedStreamHead() + MakeEvent(0) + MakeEvent(1);
    for (const AnswerEnd end : {AnswerEnd::kReset, AnswerEnd::kCloseUnread}) {
      Upload upload{{.bytes = begin, .end = end}};
      upload.later = kStreamHead + MakeChunk(MakeEvent(2)) + MakeChunk("");
      const Answer resumed = upload.Send("/stream/x");
      CPPUNIT_ASSERT_EQUAL(std::string("012"), EventIds(resumed.response));
      CPPUNIT_ASSERT(IsComplete(resumed.response));
      const Answer cut = SendUpload("/single/x", begin, end);
      CPPUNIT_ASSERT_EQUAL(std::string("01"), EventIds(cut.response));
      CPPUNIT_ASSERT(!IsComplete(cut.response));
    }
  }

  // Guards against losing an answer because the upload ends with it.
  void ResponseThatEndsInOrderIsAnswer() {
    std::string wrong;
    for (const AnswerEnd end :
         {AnswerEnd::kShutdown, AnswerEnd::kShutdownThenReset}) {
      for (const std::string status : {"200 OK", "404 Not Found"})
        for (const size_t size : {size_t{0}, size_t{1000}, size_t{200'000}})
          wrong += CheckAnswer(status + " " + std::to_string(size),
                               UnframedResponse(status, size), end, status,
                               std::string(size, 'p'));
      wrong += CheckAnswer("forwarded as it arrives",
                           UnframedResponse("200 OK", 800'000), end, "200 OK",
                           std::string(800'000, 'p'));
      const std::string events = MakeEvent(0) + MakeEvent(1);
      const Answer stream =
          SendUpload("/stream/x", UnframedStreamHead() + events, end);
      if (!IsComplete(stream.response) || EventIds(stream.response) != "01")
        wrong += "stream: " + Summary(stream.response);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  // The orderly end and the reset behind it are found in one go.
  void EndSeenTogetherWithLaterResetIsAnswer() {
    Upload upload{{.bytes = UnframedResponse("200 OK", 1000),
                   .end = AnswerEnd::kShutdownThenReset}};
    upload.blocked = 5 * kEarlyAnswerPause;
    const Answer answer = upload.Send("/post/x");
    CPPUNIT_ASSERT_MESSAGE(Summary(answer.response),
                           IsComplete(answer.response));
    CPPUNIT_ASSERT_EQUAL(std::string(1000, 'p'), BodyOf(answer.response));
  }

  // Guards against judging by the end of the connection what has a length.
  void FramedResponseIsAnswerWhenItsBodyIsWhole() {
    std::string wrong;
    for (const AnswerEnd end :
         {AnswerEnd::kReset, AnswerEnd::kCloseUnread, AnswerEnd::kShutdown}) {
      wrong += CheckAnswer("length", MakeSealedResponse("whole"), end, "200 OK",
                           "whole");
      wrong += CheckAnswer("chunks",
                           ChunkedHead() + MakeChunk("whole") + MakeChunk(""),
                           end, "200 OK", "whole");
      const std::string whole = MakeSealedResponse("whole");
      wrong += CheckNotAnswer("short of its length",
                              whole.substr(0, whole.size() - 1), end);
      wrong += CheckNotAnswer("without the last chunk",
                              ChunkedHead() + MakeChunk("whole"), end);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  // Such heads were mended for requests that have been sent completely.
  void BrokenHeadIsNotAnswer() {
    const std::string fields = "Attempt-Id: a1\r\nServer-Seal: s\r\n";
    std::string wrong;
    for (const auto& responses : {ResponsesWithBadStatus(fields),
                                  ResponsesWithBadFieldName(fields, " \x01")})
      for (const BrokenResponse& broken : responses)
        wrong +=
            CheckNotAnswer(broken.name, broken.bytes, AnswerEnd::kShutdown);
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterUploadTest);

}  // namespace
}  // namespace trefoilwick
