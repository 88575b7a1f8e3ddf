#include "trefoilwick/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace trefoilwick {

namespace {

// More events than any stream has; keeps sums in range.
constexpr int64_t kMaxEventId = int64_t{1} << 53;
constexpr size_t kMaxEventBytes = size_t{64} * 1024;
// Servers send an element in one piece; a lost packet delays a part of it by
// some retransmission timeouts.
constexpr Duration kMaxElementTime = std::chrono::milliseconds(500);

// Ids in another form than the shortest may be another event to a client.
std::optional<int64_t> ParseEventId(std::string_view value) {
  int64_t id = -1;
  const char* end = value.data() + value.size();
  const auto [parsed_to, error] = std::from_chars(value.data(), end, id);
  if (error != std::errc() || parsed_to != end || id > kMaxEventId)
    return std::nullopt;
  const bool has_sign_or_zero =
      value.front() == '-' || (value.size() > 1 && value.front() == '0');
  return has_sign_or_zero ? std::nullopt : std::optional(id);
}

}  // namespace

bool EndlessElementDetector::OnBytes(bool completed,
                                     bool pending,
                                     TimePoint now) {
  if (completed || !pending)
    m_pending_since.reset();
  if (!pending)
    return true;
  if (!m_pending_since)
    m_pending_since = now;
  return now - *m_pending_since <= kMaxElementTime;
}

void EventStreamReader::ContinueAfter(int64_t id) {
  m_has_position = true;
  m_due_id = std::min(id, kMaxEventId) + 1;
}

void EventStreamReader::BeginRun(int64_t first_id) {
  m_partial.clear();
  m_read_bytes = 0;
  m_event = EventFacts();
  m_comment_bytes = 0;
  m_endless_event.Reset();
  m_has_new_event = false;
  m_first_seen_id.reset();
  m_last_seen_id.reset();
  m_fault = StreamFault::kNone;
  if (!m_has_position)
    m_due_id = first_id;
}

std::string EventStreamReader::Feed(std::string_view bytes, TimePoint now) {
  if (m_fault != StreamFault::kNone)
    return {};
  m_partial.append(bytes);
  std::string out;
  size_t event_begin = 0;
  for (;;) {
    const size_t line_end = m_partial.find('\n', m_read_bytes);
    if (line_end == std::string::npos)
      break;
    std::string_view line(m_partial);
    line = line.substr(m_read_bytes, line_end - m_read_bytes);
    m_read_bytes = line_end + 1;
    const bool ends_with_cr = line.ends_with('\r');
    if (ends_with_cr)
      line.remove_suffix(1);
    m_fault = ReadLine(line, ends_with_cr);
    if (line.empty() && m_fault == StreamFault::kNone) {
      const std::string_view event(m_partial);
      out += EndEvent(event.substr(event_begin, m_read_bytes - event_begin));
      event_begin = m_read_bytes;
    }
    if (m_fault != StreamFault::kNone)
      return out;
  }
  m_partial.erase(0, event_begin);
  m_read_bytes -= event_begin;
  if (!m_endless_event.OnBytes(event_begin > 0, !m_partial.empty(), now))
    m_fault = StreamFault::kEndlessEvent;
  else if (m_partial.size() > kMaxEventBytes)
    m_fault = StreamFault::kEventTooLarge;
  else if (m_partial.size() + m_comment_bytes > kMaxEventBytes)
    m_fault = StreamFault::kTooManyComments;
  return out;
}

StreamFault EventStreamReader::ReadLine(std::string_view line,
                                        bool ends_with_cr) {
  const bool is_same_end =
      ends_with_cr == m_event.ends_with_cr.value_or(ends_with_cr);
  if (!is_same_end || line.find('\r') != std::string_view::npos)
    return StreamFault::kMalformedLine;
  m_event.ends_with_cr = ends_with_cr;
  if (line.empty() || line.front() == ':')
    return StreamFault::kNone;
  const std::string_view name = line.substr(0, line.find(':'));
  // Only an empty line of data has no colon.
  if (name.size() == line.size() && name != "data")
    return StreamFault::kMalformedLine;
  std::string_view value = line.substr(std::min(line.size(), name.size() + 1));
  if (value.starts_with(' '))
    value.remove_prefix(1);
  return ReadField(name, value);
}

StreamFault EventStreamReader::ReadField(std::string_view name,
                                         std::string_view value) {
  m_event.has_fields = true;
  m_event.has_data |= name == "data";
  if (name != "id")
    return IsKnownField(name) ? StreamFault::kNone : StreamFault::kUnknownField;
  if (m_event.id)
    return StreamFault::kSecondEventId;
  m_event.id = ParseEventId(value);
  return m_event.id ? StreamFault::kNone : StreamFault::kNoEventId;
}

bool EventStreamReader::IsKnownField(std::string_view name) const {
  return name == "data" || name == "event" ||
         std::find(m_extra_fields.begin(), m_extra_fields.end(), name) !=
             m_extra_fields.end();
}

std::string_view EventStreamReader::EndEvent(std::string_view event) {
  const EventFacts facts = std::exchange(m_event, EventFacts());
  if (!facts.has_fields) {
    m_comment_bytes += event.size();
    return {};
  }
  m_comment_bytes = 0;
  if (!facts.id || !facts.has_data) {
    m_fault = facts.id ? StreamFault::kNoData : StreamFault::kNoEventId;
    return {};
  }
  const bool follows_last = !m_last_seen_id || *facts.id == *m_last_seen_id + 1;
  if (!m_first_seen_id)
    m_first_seen_id = facts.id;
  m_last_seen_id = facts.id;
  if (!follows_last || *facts.id > m_due_id ||
      (*facts.id < m_due_id && !m_has_position)) {
    m_fault = StreamFault::kUnexpectedEvent;
    return {};
  }
  if (*facts.id < m_due_id)
    return {};
  m_has_position = true;
  m_has_new_event = true;
  if (m_first_id < 0)
    m_first_id = *facts.id;
  m_last_id = *facts.id;
  ++m_due_id;
  return event;
}

StreamFault EventStreamReader::End() {
  if (m_fault != StreamFault::kNone)
    return m_fault;
  if (!m_partial.empty())
    return StreamFault::kEndsWithinEvent;
  if (m_last_seen_id && *m_last_seen_id + 1 < m_due_id)
    return StreamFault::kEndsBeforeDueEvent;
  if (m_has_new_event)
    return StreamFault::kNone;
  if (!m_has_position || m_empty_runs++ == 0)
    return StreamFault::kNoEvents;
  return StreamFault::kNone;
}

void FirstEventNumber::OnRunBegan(const std::string& server, int64_t id) {
  if (id == m_expected || id != m_candidate)
    m_candidate_servers.clear();
  if (id == m_expected)
    return;
  m_candidate = id;
  m_candidate_servers.insert(server);
  if (m_candidate_servers.size() < 2)
    return;
  m_expected = id;
  m_candidate_servers.clear();
}

}  // namespace trefoilwick
