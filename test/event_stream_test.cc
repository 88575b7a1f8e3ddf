#include "trefoilwick/event_stream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>
#include <vector>

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;

EventStreamReader BeginStream() {
  EventStreamReader events =
      EventStreamReader::Builder().SetExtraFields({"weight-versions"}).Build();
  events.BeginRun(0);
  return events;
}

void AssertFault(StreamFault fault, const EventStreamReader& events) {
  CPPUNIT_ASSERT_EQUAL(std::string(kStreamFaultNames.Name(fault)),
                       std::string(kStreamFaultNames.Name(events.fault())));
}

class EventStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventStreamTest);
  CPPUNIT_TEST(EventsAreSplitAtTheirEnds);
  CPPUNIT_TEST(EventThatDoesNotEndStopsStream);
  CPPUNIT_TEST(ResumedStreamSkipsForwardedEvents);
  CPPUNIT_TEST(NextRunBeginsWithoutPartialEvent);
  CPPUNIT_TEST(MissingEventStopsStream);
  CPPUNIT_TEST(MalformedEventStopsStream);
  CPPUNIT_TEST(CommentsAreDropped);
  CPPUNIT_TEST(EventsDoNotDependOnChunkSizes);
  CPPUNIT_TEST(EachKindOfGarbageIsNamed);
  CPPUNIT_TEST(StreamThatEndsTooEarlyIsAtFault);
  CPPUNIT_TEST(OnlyEventThatIsDueIsReturned);
  CPPUNIT_TEST(OneServerCannotChangeFirstEventNumber);
  CPPUNIT_TEST(WrongFirstEventNumberCorrectsItself);
  CPPUNIT_TEST(RunWithoutNewEventIsEndOnlyWithAnother);
  CPPUNIT_TEST(LargestNumbersDoNotOverflow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EventsAreSplitAtTheirEnds() {
    EventStreamReader events = BeginStream();
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         events.Feed("id: 0\ndata: a", TimePoint{}));
    CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: ab\n\n"),
                         events.Feed("b\n\nid: 1\nda", TimePoint{}));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, events.last_id());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\nda"), events.partial());
  }

  // An event whose bytes arrive slowly but without end stayed below the limit
  // on bytes. A slow stream of events that do end must go on.
  void EventThatDoesNotEndStopsStream() {
    EventStreamReader events = BeginStream();
    TimePoint now;
    const auto feed = [&](std::string_view bytes) {
      now += milliseconds(200);
      events.Feed(bytes, now);
    };
    for (int id = 0; id < 10; ++id) {
      feed("id: " + std::to_string(id) + "\nda");
      feed("ta: x\n\n");
    }
    AssertFault(StreamFault::kNone, events);
    CPPUNIT_ASSERT_EQUAL(int64_t{9}, events.last_id());
    for (int part = 0; part < 4; ++part)
      feed("z");
    CPPUNIT_ASSERT(events.fault() != StreamFault::kNone);
  }

  // A run that resumes a few events earlier must not repeat events.
  void ResumedStreamSkipsForwardedEvents() {
    EventStreamReader events = BeginStream();
    events.Feed("id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\nda", TimePoint{});
    events.BeginRun(0);
    CPPUNIT_ASSERT_EQUAL(
        std::string("id: 2\ndata: c\n\n"),
        events.Feed("id: 1\ndata: b\n\nid: 2\ndata: c\n\n", TimePoint{}));
    AssertFault(StreamFault::kNone, events);
  }

  // The part of an event that a crash cut off was joined to the first event of
  // the next run when it was the first of the stream.
  void NextRunBeginsWithoutPartialEvent() {
    const std::string event = "id: 0\ndata: a\n\n";
    for (size_t length = 0; length < event.size(); ++length) {
      EventStreamReader events = BeginStream();
      events.BeginRun(0);
      events.Feed(event.substr(0, length), TimePoint{});
      events.BeginRun(0);
      CPPUNIT_ASSERT(events.partial().empty());
      CPPUNIT_ASSERT_EQUAL(event, events.Feed(event, TimePoint{}));
      AssertFault(StreamFault::kNone, events);
    }
  }

  void MissingEventStopsStream() {
    EventStreamReader events = BeginStream();
    CPPUNIT_ASSERT_EQUAL(
        std::string("id: 0\ndata: x\n\n"),
        events.Feed("id: 0\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n",
                    TimePoint{}));
    CPPUNIT_ASSERT(events.fault() != StreamFault::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         events.Feed("id: 1\ndata: x\n\n", TimePoint{}));
  }

  // Events without an id, which only a faulty server sends, were forwarded.
  void MalformedEventStopsStream() {
    for (const char* event :
         {"garbage\n\n", "data: a\n\n", "id\ndata: x\n\n", "id:\ndata: x\n\n",
          "id: x\ndata: x\n\n", "id: 1x\ndata: x\n\n", "id: -1\ndata: x\n\n",
          "id: 99999999999999999999\ndata: x\n\n", "id: 1\nid: 1\ndata: x\n\n",
          "id: 1\ngarbage\n\n", "\x01: 2\nid: 1\ndata: x\n\n",
          "\xff\xfe\r\n\r\n", "data: id: 1\ndata: x\n\n"}) {
      EventStreamReader events = BeginStream();
      events.Feed("id: 0\ndata: a\n\n", TimePoint{});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(event, std::string(),
                                   events.Feed(event, TimePoint{}));
      CPPUNIT_ASSERT_MESSAGE(event, events.fault() != StreamFault::kNone);
      CPPUNIT_ASSERT_EQUAL(int64_t{0}, events.last_id());
    }
    for (const char* event : {"id: 1\ndata: x\n\n", "id:1\ndata\n\n",
                              "event: token\nid: 1\ndata: x\n\n",
                              "weight-versions: 3\nid: 1\ndata: \xff\n\n",
                              ": x\nid: 1\ndata: x\n\n"}) {
      EventStreamReader events = BeginStream();
      events.Feed("id: 0\ndata: a\n\n", TimePoint{});
      CPPUNIT_ASSERT_EQUAL(std::string(event), events.Feed(event, TimePoint{}));
      AssertFault(StreamFault::kNone, events);
    }
  }

  // A comment belongs to the connection of its server. Comments without end
  // stop the stream.
  void CommentsAreDropped() {
    EventStreamReader events = BeginStream();
    CPPUNIT_ASSERT_EQUAL(
        std::string("id: 0\ndata: x\n\nid: 1\ndata: x\n\n"),
        events.Feed(": wait\n\nid: 0\ndata: x\n\n: wait\n\nid: 1\ndata: x\n\n",
                    TimePoint{}));
    AssertFault(StreamFault::kNone, events);
    for (int i = 0; i < 20'000 && events.fault() == StreamFault::kNone; ++i)
      events.Feed(": wait\n\n", TimePoint{});
    CPPUNIT_ASSERT(events.fault() != StreamFault::kNone);
  }

  // Bytes arrive in chunks of any size; the forwarded events must not depend on
  // them.
  void EventsDoNotDependOnChunkSizes() {
    const std::string all =
        "id: 5\ndata: x\n\nid: 6\r\ndata: y\r\n\r\nid: 7\ndata: z\n\n";
    for (size_t first = 0; first <= all.size(); ++first)
      for (size_t second = first; second <= all.size(); ++second) {
        EventStreamReader events;
        events.BeginRun(5);
        std::string out = events.Feed(all.substr(0, first), TimePoint{});
        out += events.Feed(all.substr(first, second - first), TimePoint{});
        out += events.Feed(all.substr(second), TimePoint{});
        CPPUNIT_ASSERT_EQUAL(all, out);
        CPPUNIT_ASSERT_EQUAL(int64_t{7}, events.last_id());
      }
  }

  // The reason of a broken stream must tell the faults apart. Lines end for a
  // client at every CR, LF and CR LF.
  void EachKindOfGarbageIsNamed() {
    struct Case {
      std::string bytes;
      StreamFault fault;
    };
    for (const Case& test : std::vector<Case>{
             {"garbage\n\n", StreamFault::kMalformedLine},
             {"id: 1\ndata: x\ry\n\n", StreamFault::kMalformedLine},
             {"id: 1\rdata: x\r\r", StreamFault::kNone},
             {"id: 1\rdata: x\r\r\n", StreamFault::kMalformedLine},
             {": 1\r: x\n\n", StreamFault::kMalformedLine},
             {"id: 1\ngarbagedata: x\n\n", StreamFault::kUnknownField},
             {"id: 1\ndata: x\nretry: 1\n\n", StreamFault::kUnknownField},
             {"id: 1\nData: x\n\n", StreamFault::kUnknownField},
             {"data: x\n\n", StreamFault::kNoEventId},
             {"id: 01\ndata: x\n\n", StreamFault::kNoEventId},
             {"id: -0\ndata: x\n\n", StreamFault::kNoEventId},
             {"id: 1\ndata: x\n\r\ndata: y\n\n", StreamFault::kMalformedLine},
             {"id: 1\r\n\ndata: y\n\n", StreamFault::kMalformedLine},
             {"id: 1\nid: 1\ndata: x\n\n", StreamFault::kSecondEventId},
             {"id: 1\n\n", StreamFault::kNoData},
             {"id: 1\nevent: x\n\ndata: y\n\n", StreamFault::kNoData},
             {"id: 2\ndata: x\n\n", StreamFault::kUnexpectedEvent},
             {"id: 0\ndata: x\n\n", StreamFault::kUnexpectedEvent},
             {"data: " + std::string(70'000, 'x'),
              StreamFault::kEventTooLarge}}) {
      EventStreamReader events = BeginStream();
      events.Feed("id: 0\ndata: a\n\n", TimePoint{});
      const std::string out = events.Feed(test.bytes, TimePoint{});
      CPPUNIT_ASSERT_MESSAGE(out, !out.ends_with("y\n\n"));
      AssertFault(test.fault, events);
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           events.Feed("id: 9\ndata: x\n\n", TimePoint{}));
    }
  }

  // A run that ended within an event, or among events that its client had
  // already, looked like the end of the stream.
  void StreamThatEndsTooEarlyIsAtFault() {
    EventStreamReader events = BeginStream();
    CPPUNIT_ASSERT(events.End() == StreamFault::kNoEvents);
    events.Feed("id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\n", TimePoint{});
    CPPUNIT_ASSERT(events.End() == StreamFault::kEndsWithinEvent);
    events.BeginRun(0);
    CPPUNIT_ASSERT(events.End() == StreamFault::kNoEvents);
    events.Feed("id: 0\ndata: x\n\n", TimePoint{});
    CPPUNIT_ASSERT(events.End() == StreamFault::kEndsBeforeDueEvent);
    events.Feed("id: 1\ndata: x\n\nid: 2\ndata: x\n\n", TimePoint{});
    CPPUNIT_ASSERT(events.End() == StreamFault::kNone);
  }

  // Any number was taken for that of the first event, also when the client had
  // said which one it waits for.
  void OnlyEventThatIsDueIsReturned() {
    for (const char* bytes : {"id: 1\ndata: x\n\n", "id: 7\ndata: x\n\n"}) {
      EventStreamReader events = BeginStream();
      CPPUNIT_ASSERT_EQUAL(std::string(), events.Feed(bytes, TimePoint{}));
      AssertFault(StreamFault::kUnexpectedEvent, events);
    }
    EventStreamReader resumed;
    resumed.ContinueAfter(4);
    resumed.BeginRun(0);
    CPPUNIT_ASSERT_EQUAL(
        std::string("id: 5\ndata: x\n\n"),
        resumed.Feed("id: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n",
                     TimePoint{}));
    AssertFault(StreamFault::kNone, resumed);
    for (const char* bytes :
         {"id: 7\ndata: x\n\n", "id: 3\ndata: x\n\nid: 6\ndata: x\n\n"}) {
      resumed.BeginRun(0);
      CPPUNIT_ASSERT_EQUAL(std::string(), resumed.Feed(bytes, TimePoint{}));
      AssertFault(StreamFault::kUnexpectedEvent, resumed);
      CPPUNIT_ASSERT_EQUAL(int64_t{6}, resumed.due_id());
    }
  }

  // With a wrong first number no stream of the service begins, so two servers
  // correct it; one faulty server among sound ones must not.
  void OneServerCannotChangeFirstEventNumber() {
    FirstEventNumber number(0);
    for (int i = 0; i < 3; ++i)
      number.OnRunBegan("a", 1);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, number.expected());
    number.OnRunBegan("sound", 0);
    number.OnRunBegan("b", 1);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, number.expected());
    number.OnRunBegan("a", 1);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, number.expected());
  }

  // Two false starts, hours apart, changed the number for good, and no stream
  // of the service began any more.
  void WrongFirstEventNumberCorrectsItself() {
    FirstEventNumber number(1);
    for (const char* server : {"a", "b"})
      number.OnRunBegan(server, 0);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, number.expected());
    for (const char* server : {"c", "d"})
      number.OnRunBegan(server, 1);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, number.expected());
  }

  // A faulty server that goes on with nothing made the stream look complete.
  void RunWithoutNewEventIsEndOnlyWithAnother() {
    EventStreamReader events = BeginStream();
    events.Feed("id: 0\ndata: x\n\n", TimePoint{});
    for (const std::string& run :
         {std::string(), std::string("id: 0\ndata: x\n\n")}) {
      EventStreamReader resumed = events;
      resumed.BeginRun(0);
      resumed.Feed(run, TimePoint{});
      CPPUNIT_ASSERT(resumed.End() == StreamFault::kNoEvents);
      resumed.BeginRun(0);
      CPPUNIT_ASSERT(resumed.End() == StreamFault::kNone);
    }
    events.BeginRun(0);
    CPPUNIT_ASSERT(events.End() == StreamFault::kNoEvents);
    events.BeginRun(0);
    events.Feed("id: 1\ndata: x\n\n", TimePoint{});
    CPPUNIT_ASSERT(events.End() == StreamFault::kNone);
  }

  // Numbers at the end of the range overflowed when the next one was due.
  void LargestNumbersDoNotOverflow() {
    constexpr int64_t kLargest = std::numeric_limits<int64_t>::max();
    EventStreamReader events;
    events.ContinueAfter(kLargest);
    events.BeginRun(0);
    CPPUNIT_ASSERT(events.due_id() > 0);
    events.Feed("id: " + std::to_string(kLargest) + "\ndata: x\n\n",
                TimePoint{});
    AssertFault(StreamFault::kNoEventId, events);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamTest);

}  // namespace
}  // namespace trefoilwick
