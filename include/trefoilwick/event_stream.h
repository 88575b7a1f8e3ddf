// Judges the bytes of an event stream that a backend server sends, so that a
// client gets nothing but whole events with the numbers that are due. Does no
// I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// Detects an element of a response (a head, a chunk header, an event) that does
// not end although its bytes keep arriving. Load pattern: a faulty server sends
// without end, but too slowly to exceed a limit on bytes.
class EndlessElementDetector {
 public:
  // Called for bytes that arrived. `completed` is true when an element ended in
  // them, `pending` when they belong to one that has not ended. False when that
  // one does not end.
  bool OnBytes(bool completed, bool pending, TimePoint now);
  void Reset() { m_pending_since.reset(); }

 private:
  std::optional<TimePoint> m_pending_since;
};

// Why the bytes of a stream are not those of a sound server.
enum class StreamFault : uint8_t {
  kNone,
  // A line is no field, has a carriage return within it, or ends in another way
  // than the others of its event.
  kMalformedLine,
  // A line is a field that no event has.
  kUnknownField,
  // The event has no id, or one that is not a number in its shortest form.
  kNoEventId,
  // The event has no data, so that clients ignore it.
  kNoData,
  // The event has several ids: parts of events were joined.
  kSecondEventId,
  // The event has another number than the one that is due.
  kUnexpectedEvent,
  kEventTooLarge,
  // The bytes of an event keep arriving for too long.
  kEndlessEvent,
  // More bytes of comments than any event has.
  kTooManyComments,
  // The stream ended within an event.
  kEndsWithinEvent,
  // The stream ended before its first event.
  kNoEvents,
  // The run ended among the events that were forwarded already.
  kEndsBeforeDueEvent,
};
inline constexpr auto kStreamFaultNames = MakeEnumTable<StreamFault>({
    {StreamFault::kNone, "none"},
    {StreamFault::kMalformedLine, "malformed_line"},
    {StreamFault::kUnknownField, "unknown_field"},
    {StreamFault::kNoEventId, "no_event_id"},
    {StreamFault::kNoData, "no_data"},
    {StreamFault::kSecondEventId, "second_event_id"},
    {StreamFault::kUnexpectedEvent, "unexpected_event"},
    {StreamFault::kEventTooLarge, "event_too_large"},
    {StreamFault::kEndlessEvent, "endless_event"},
    {StreamFault::kTooManyComments, "too_many_comments"},
    {StreamFault::kEndsWithinEvent, "ends_within_event"},
    {StreamFault::kNoEvents, "no_events"},
    {StreamFault::kEndsBeforeDueEvent, "ends_before_due_event"},
});

// Reads the runs of one event stream, each on another server, and returns the
// bytes to forward.
//
// A line ends with LF or CR LF, and every empty line ends an event. A carriage
// return elsewhere, and an event with lines of both kinds, is refused: clients
// may find other lines or blank lines in it.
// Every event has data and one id, and the ids count up by one. Garbage in
// front of a line makes another field of it, so only known fields are
// forwarded.
class EventStreamReader {
 public:
  class Builder;

  // The client has the events up to `id` already. Larger ids than any stream
  // has are taken for the largest.
  void ContinueAfter(int64_t id);
  // Begins the stream of the next server. Nothing of the one before stays but
  // the number of its last complete event. `first_id` is the number of the
  // first event of any stream; it counts while no event is known.
  void BeginRun(int64_t first_id);
  // Returns the bytes of the events that became complete, without comments
  // between events and without events that the client has already.
  std::string Feed(std::string_view bytes, TimePoint now);
  // The run ended in a way that looks complete; returns its fault. A run
  // without a new event may be that of a server that cannot go on, so another
  // one must end like it.
  StreamFault End();

  // Fault of the present run. Once there is one, Feed() returns nothing more.
  StreamFault fault() const { return m_fault; }
  // Bytes of the last event, which is incomplete.
  const std::string& partial() const { return m_partial; }
  // Numbers of the first and the last event that were returned; -1 when none
  // was.
  int64_t first_id() const { return m_first_id; }
  int64_t last_id() const { return m_last_id; }
  bool has_events() const { return m_last_id >= 0; }
  // Number of the next event to return.
  int64_t due_id() const { return m_due_id; }
  // Number of the first event of the present run; null before it.
  const std::optional<int64_t>& first_seen_id() const {
    return m_first_seen_id;
  }
  // Number of the latest event of the present run; null before the first one.
  const std::optional<int64_t>& last_seen_id() const { return m_last_seen_id; }

 private:
  // What the lines of an event say.
  struct EventFacts {
    bool has_fields = false;
    bool has_data = false;
    // The lines end with CR LF; null before the first one.
    std::optional<bool> ends_with_cr;
    std::optional<int64_t> id;
  };
  StreamFault ReadLine(std::string_view line, bool ends_with_cr);
  StreamFault ReadField(std::string_view name, std::string_view value);
  bool IsKnownField(std::string_view name) const;
  // Judges the event whose lines were read. Its bytes are returned if it is the
  // one that is due.
  std::string_view EndEvent(std::string_view event);

  friend class Builder;

  // Fields of events beside `id`, `data` and `event`.
  std::vector<std::string> m_extra_fields;
  std::string m_partial;
  // Lines of `m_partial` before this offset were read.
  size_t m_read_bytes = 0;
  EventFacts m_event;
  // Size of the comments since the last event.
  size_t m_comment_bytes = 0;
  EndlessElementDetector m_endless_event;
  // The present run had an event that was due.
  bool m_has_new_event = false;
  // Runs that ended without a new event.
  int m_empty_runs = 0;
  // The client's position is known, or an event was returned.
  bool m_has_position = false;
  int64_t m_due_id = 0;
  int64_t m_first_id = -1;
  int64_t m_last_id = -1;
  std::optional<int64_t> m_first_seen_id;
  std::optional<int64_t> m_last_seen_id;
  StreamFault m_fault = StreamFault::kNone;
};

class EventStreamReader::Builder {
 public:
  Builder& SetExtraFields(std::vector<std::string> names) {
    m_reader.m_extra_fields = std::move(names);
    return *this;
  }
  EventStreamReader Build() const { return m_reader; }

 private:
  EventStreamReader m_reader;
};

// Learns the number of the first event of the streams of a service, which no
// message states. A run that begins with another number is not forwarded. The
// number changes when the runs of two servers begin with the same other one and
// none in between as expected, so that a wrong number corrects itself and one
// faulty server among sound ones changes nothing.
class FirstEventNumber {
 public:
  explicit FirstEventNumber(int64_t expected) : m_expected(expected) {}
  int64_t expected() const { return m_expected; }
  // A run that was to begin at the first event began with `id`.
  void OnRunBegan(const std::string& server, int64_t id);

 private:
  int64_t m_expected;
  // Another number, and the servers whose runs began with it.
  int64_t m_candidate = -1;
  std::set<std::string> m_candidate_servers;
};

}  // namespace trefoilwick
