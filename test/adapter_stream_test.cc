// Tests of event streams over real sockets: what a faulty server sends must
// not reach a client as part of a stream.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

// Response of a gateway to a request for a stream. The first run sends
// `first_run`, each later one the events that are missing up to `last_id`.
std::string CallStream(const ScriptedResponse& first_run,
                       int last_id,
                       const std::string& headers = "") {
  std::atomic<int> calls{0};
  const auto serve = [&](const std::string& request) {
    if (++calls == 1)
      return first_run;
    int next_id = 0;
    const std::string field = "Last-Event-Id: ";
    const size_t at = request.find(field);
    if (at != std::string::npos)
      next_id = std::stoi(request.substr(at + field.size())) + 1;
    ScriptedResponse response{kStreamHead};
    for (int id = next_id; id <= last_id; ++id)
      response.bytes += MakeChunk(MakeEvent(id));
    response.bytes += MakeChunk("");
    return response;
  };
  ScriptedServer first(serve);
  ScriptedServer second(serve);
  GatewayHarness harness;
  StartGateway(harness, {&first, &second});
  return harness.CallAsClient(Request("POST /stream/x", headers, "b"));
}

// Payload of a chunked response.
std::string ChunkedBody(const std::string& response) {
  std::string body;
  size_t at = response.find("\r\n\r\n") + 4;
  while (at < response.size()) {
    const size_t length = std::stoul(response.substr(at), nullptr, 16);
    at = response.find("\r\n", at) + 2;
    body += response.substr(at, length);
    at += length + 2;
  }
  return body;
}

std::string MakeEvents(int first_id, int last_id) {
  std::string events;
  for (int id = first_id; id <= last_id; ++id)
    events += MakeEvent(id);
  return events;
}

std::string MakeEvents(int last_id) {
  return MakeEvents(0, last_id);
}

// The client got the events from `first_id` to `last_id` and nothing else.
void AssertEvents(int first_id, int last_id, const std::string& response) {
  CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 200"));
  CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n0\r\n\r\n"));
  CPPUNIT_ASSERT_EQUAL(MakeEvents(first_id, last_id), ChunkedBody(response));
}

class AdapterStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterStreamTest);
  CPPUNIT_TEST(FirstEventCutOffByCrashIsNotJoinedToNextRun);
  CPPUNIT_TEST(GarbageInStreamIsNotForwarded);
  CPPUNIT_TEST(GarbageAtEndOfStreamIsNotForwarded);
  CPPUNIT_TEST(BodyWithoutEventsIsNotContinuedByStream);
  CPPUNIT_TEST(SuccessThatIsNoEventStreamIsNotForwarded);
  CPPUNIT_TEST(EventHiddenBehindOtherLineEndIsNotForwarded);
  CPPUNIT_TEST(StreamThatBeginsBehindItsFirstEventIsNotForwarded);
  CPPUNIT_TEST(ResumedStreamBeginsAfterLastEventOfClient);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The part of a first event that a crash cut off stayed in front of the first
  // event of the next run.
  void FirstEventCutOffByCrashIsNotJoinedToNextRun() {
    const std::string event = MakeEvent(0);
    for (const size_t length : {size_t{3}, size_t{6}, event.size() / 2}) {
      const std::string response = CallStream(
          {kStreamHead + MakeChunk(event.substr(0, length)), true, true}, 1);
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n0\r\n\r\n"));
      CPPUNIT_ASSERT_EQUAL(MakeEvents(1), ChunkedBody(response));
    }
  }

  // Bytes of a faulty server that end in a blank line were forwarded as an
  // event without an id.
  void GarbageInStreamIsNotForwarded() {
    const std::string unframed =
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n"
        "Content-Type: text/event-stream\r\n\r\n";
    for (const std::string& garbage :
         {std::string("garbage\n\n"), std::string("\x01\xff\r\n\r\n"),
          std::string("data: garbage\n\n"), std::string("id: x\ndata: x\n\n"),
          std::string("garbage\nid: 2\ndata: x\n\n"),
          std::string("id: 2garbage\ndata: x\n\n"),
          std::string("id: 2\nid: 2\ndata: x\n\n")}) {
      const std::string bytes = MakeEvents(1) + garbage + MakeEvent(2);
      for (const std::string& first_run :
           {unframed + bytes, kStreamHead + MakeChunk(bytes) + MakeChunk("")}) {
        const std::string response = CallStream({first_run}, 3);
        CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(MakeEvents(3), ChunkedBody(response));
      }
    }
  }

  // Bytes behind the last event were forwarded when the response ended in its
  // framing. A comment is no event and no fault.
  void GarbageAtEndOfStreamIsNotForwarded() {
    for (const std::string& rest :
         {std::string("garbage"), std::string("id: 2\nda"),
          std::string(": comment\n\n")}) {
      const std::string response =
          CallStream({kStreamHead + MakeChunk(MakeEvents(1)) + MakeChunk(rest) +
                      MakeChunk("")},
                     1);
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n0\r\n\r\n"));
      CPPUNIT_ASSERT_EQUAL(MakeEvents(1), ChunkedBody(response));
    }
  }

  // A large body that is no event stream was forwarded as it came. When it
  // broke off, the events of another run were appended to it.
  void BodyWithoutEventsIsNotContinuedByStream() {
    constexpr size_t kLength = size_t{400} * 1024;
    const std::string head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n"
        "Content-Type: text/plain\r\nContent-Length: 500000\r\n\r\n";
    AssertEvents(0, 1,
                 CallStream({head + std::string(kLength, 'x'), true, true}, 1));
  }

  // A success of another type, or of none, was forwarded whole as the answer of
  // a stream: its client read it as events without an id.
  void SuccessThatIsNoEventStreamIsNotForwarded() {
    const std::string head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n";
    for (const std::string& type :
         {std::string(), std::string("Content-Type: text/plain\r\n"),
          std::string("Content-Type: text/event-streams\r\n")}) {
      for (const std::string& body :
           {std::string("garbage\n\n"), std::string(), MakeEvents(1)}) {
        const std::string length =
            "Content-Length: " + std::to_string(body.size()) + "\r\n";
        for (const std::string& framing : {length, std::string()}) {
          std::string answer = head;
          answer.append(type).append(framing).append("\r\n").append(body);
          AssertEvents(0, 2, CallStream({answer}, 2));
        }
      }
    }
  }

  // An event ended for the client at a line end that was not one for the
  // gateway, so that the rest of its bytes became an event without an id.
  void EventHiddenBehindOtherLineEndIsNotForwarded() {
    for (const std::string& garbage :
         {std::string("id: 2\ndata: x\n\r\ndata: garbage\n\n"),
          std::string("id: 2\r\ndata: x\r\n\ndata: garbage\n\n"),
          std::string("id: 2\ndata: x\r\rdata: garbage\n\n"),
          std::string("id: 2\ndata: x\rgarbage\n\n"),
          std::string("id: 02\ndata: x\n\n")}) {
      const std::string bytes = MakeEvents(1) + garbage + MakeEvent(3);
      AssertEvents(
          0, 3,
          CallStream({kStreamHead + MakeChunk(bytes) + MakeChunk("")}, 3));
    }
  }

  // Any number was taken for that of the first event, so that a stream without
  // its beginning looked complete.
  void StreamThatBeginsBehindItsFirstEventIsNotForwarded() {
    for (const int first_id : {1, 7})
      AssertEvents(
          0, 9,
          CallStream({kStreamHead + MakeChunk(MakeEvents(first_id, 9)) +
                      MakeChunk("")},
                     9));
  }

  // The number that the client of a resumed stream waits for was not known:
  // events that it had, or a gap, were forwarded.
  void ResumedStreamBeginsAfterLastEventOfClient() {
    for (const int first_id : {0, 2, 5, 7})
      AssertEvents(
          5, 9,
          CallStream({kStreamHead + MakeChunk(MakeEvents(first_id, 9)) +
                      MakeChunk("")},
                     9, "Last-Event-Id: 4\r\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterStreamTest);

}  // namespace
}  // namespace trefoilwick
