#include "trefoilwick/forwarding.h"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <tuple>

namespace trefoilwick {

namespace {

// Failed connections after which a request that has not begun is given up.
constexpr int kMaxConnectFailures = 4;
// Sends of one stream that may have run it, to as many servers as its route
// allows.
constexpr int kMaxStreamSends = 5;
// Refusals after which a stream that has not begun is given up.
constexpr int kMaxRefusals = 4;

// Shares of the time that a draining server serves on: from when and until when
// requests move off it, and when they move even to another data center.
constexpr double kFirstMoveShare = 0.3;
constexpr double kLastMoveShare = 0.75;
constexpr double kMustMoveShare = 0.8;
// Time from when a server has free capacity to the first event, when servers
// are busy.
constexpr Duration kTimeToFirstEvent = std::chrono::milliseconds(100);
constexpr size_t kMaxEventBytes = size_t{64} * 1024;
// Servers send an element in one piece; a lost packet delays a part of it by
// some retransmission timeouts.
constexpr Duration kMaxElementTime = std::chrono::milliseconds(500);
constexpr Duration kMoveRetryInterval = std::chrono::milliseconds(100);

Duration ScaleDuration(Duration duration, double share) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * share));
}

// What the lines of an event say. A block of comments only is no event.
struct EventFacts {
  bool well_formed = true;
  bool only_comments = true;
  // Null when there is no field `id`.
  std::optional<int64_t> id;
  bool has_ambiguous_lines = false;
};

std::optional<int64_t> ParseEventId(std::string_view value) {
  if (value.starts_with(' '))
    value.remove_prefix(1);
  int64_t id = -1;
  const char* end = value.data() + value.size();
  const auto [parsed_to, error] = std::from_chars(value.data(), end, id);
  if (error != std::errc() || parsed_to != end || id < 0)
    return std::nullopt;
  return id;
}

bool IsFieldNameChar(char c) {
  return (c >= 'a' && c <= 'z') || c == '-' || c == '_';
}

// Adds a line without its end to the facts of its event.
void ReadEventLine(std::string_view line, EventFacts& facts) {
  if (line.empty() || line.front() == ':')
    return;
  facts.only_comments = false;
  const std::string_view name = line.substr(0, line.find(':'));
  // Only an empty line of data has no colon.
  const bool is_field = name.size() < line.size() || name == "data";
  if (!is_field || !std::all_of(name.begin(), name.end(), IsFieldNameChar)) {
    facts.well_formed = false;
    return;
  }
  if (name != "id")
    return;
  // A second id shows that parts of two events were joined.
  const bool is_second = facts.id.has_value();
  facts.id = ParseEventId(line.substr(std::min(line.size(), name.size() + 1)));
  if (is_second || !facts.id)
    facts.well_formed = false;
}

EventFacts ReadEvent(std::string_view event) {
  EventFacts facts;
  for (size_t at = 0; at < event.size();) {
    const size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    const bool is_blank_within = line.empty() && end + 1 < event.size();
    facts.has_ambiguous_lines |=
        is_blank_within || line.find('\r') != std::string_view::npos;
    ReadEventLine(line, facts);
    at = end + 1;
  }
  return facts;
}

// Length of the first complete event, its blank line included; 0 when none.
size_t EventLength(std::string_view bytes) {
  const size_t lf_end = bytes.find("\n\n");
  const size_t crlf_end = bytes.find("\r\n\r\n");
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos)
    return 0;
  if (lf_end < crlf_end)
    return lf_end + 2;
  return crlf_end + 4;
}

}  // namespace

ForwardState::Builder& ForwardState::Builder::SetRoute(const Route& route) {
  m_state.m_kind = route.kind;
  m_state.m_may_repeat = route.AllowsReexecution();
  m_state.m_max_attempts = std::max(1, route.max_attempts);
  return *this;
}

void ForwardState::OnSend(const std::string& server) {
  m_last_server_is_new = m_attempted_servers.insert(server).second;
  m_last_server = server;
  ++m_sends;
  m_state = SendState::kSent;
}

bool ForwardState::MaySendAgain() const {
  if (m_state == SendState::kEnded || m_relaying)
    return false;
  if (m_may_have_run && !m_may_repeat)
    return false;
  return HasSendsLeft();
}

// A request to a plain service runs on one server, so that every further send
// goes to another server. A stream can be sent to the same first server again
// with another path.
//
// A stream in progress loses nothing by further sends that are refused: its
// client would otherwise have to start again.
bool ForwardState::HasSendsLeft() const {
  if (m_kind != RouteKind::kStream)
    return m_sends < m_max_attempts && m_connect_failures < kMaxConnectFailures;
  if (m_sends - m_refusals >= kMaxStreamSends)
    return false;
  return m_relaying || (m_refusals < kMaxRefusals &&
                        m_connect_failures < kMaxConnectFailures);
}

bool ForwardState::MayResume() const {
  return m_relaying && m_may_repeat && m_kind == RouteKind::kStream &&
         HasSendsLeft();
}

ForwardDecision ForwardState::GiveUp(bool timed_out) {
  m_state = SendState::kEnded;
  if (m_relaying)
    return AbortAnswer{};
  if (!m_may_have_run)
    return RefuseNotRun{};
  return FailWithUnknownOutcome{timed_out};
}

ForwardDecision ForwardState::OnServerEvent(ServerEvent event) {
  if (m_state == SendState::kEnded)
    return KeepWaiting{};
  switch (event) {
    case ServerEvent::kConnectFailed:
      ++m_connect_failures;
      m_state = m_may_have_run ? SendState::kUnknown : SendState::kNotRun;
      break;
    case ServerEvent::kRefused:
      if (m_last_server_is_new)
        m_attempted_servers.erase(m_last_server);
      ++m_refusals;
      m_state = m_may_have_run ? SendState::kUnknown : SendState::kNotRun;
      break;
    case ServerEvent::kAnswered:
      m_state = SendState::kEnded;
      return RelayAnswer{};
    case ServerEvent::kAnswerBegun:
      m_may_have_run = true;
      m_relaying = true;
      m_state = SendState::kAnswering;
      return RelayAnswer{};
    case ServerEvent::kServerFailed:
      m_may_have_run = true;
      m_state = SendState::kUnknown;
      if (!MaySendAgain()) {
        m_state = SendState::kEnded;
        return RelayAnswer{};
      }
      return SendToServer{};
    case ServerEvent::kAnswerIncomplete:
      m_may_have_run = true;
      m_state = SendState::kUnknown;
      break;
  }
  if (MaySendAgain() || MayResume())
    return SendToServer{};
  return GiveUp(false);
}

BodyUse ForwardState::AssessHead(const HeadFacts& head) const {
  if (head.not_run)
    return BodyUse::kOptional;
  const bool success = head.status / 100 == 2;
  if (success && !head.authentic)
    return BodyUse::kInvalid;
  // Clients of a stream read any success as events.
  if (success && m_kind == RouteKind::kStream && !head.is_event_stream)
    return BodyUse::kInvalid;
  // Only another run can continue a response.
  if (m_relaying && !success)
    return BodyUse::kInvalid;
  const bool will_send_again =
      head.status / 100 == 5 && m_may_repeat && HasSendsLeft();
  return will_send_again ? BodyUse::kOptional : BodyUse::kForwarded;
}

ForwardDecision ForwardState::BreakOff(bool timed_out) {
  if (m_state == SendState::kEnded)
    return KeepWaiting{};
  if (m_state == SendState::kSent)
    m_may_have_run = true;
  return GiveUp(timed_out);
}

bool IsServedBefore(const WaitingRequest& a,
                    const WaitingRequest& b,
                    TimePoint now) {
  const auto key = [&](const WaitingRequest& request) {
    const bool late =
        !request.in_progress &&
        now - request.started_at > request.latency_target - kTimeToFirstEvent;
    return std::make_tuple(!request.in_progress, late, request.rank,
                           request.started_at);
  };
  return key(a) < key(b);
}

std::vector<size_t> SortWaitingRequests(
    const std::vector<WaitingRequest>& requests,
    TimePoint now) {
  std::vector<size_t> order(requests.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return IsServedBefore(requests[a], requests[b], now);
  });
  return order;
}

void DrainMigrationPlan::AddServer(const std::string& server,
                                   TimePoint now,
                                   Duration drain,
                                   double unit) {
  if (m_servers.empty()) {
    m_next_try =
        now +
        ScaleDuration(
            drain, kFirstMoveShare + (kLastMoveShare - kFirstMoveShare) * unit);
    m_must_move_at = now + ScaleDuration(drain, kMustMoveShare);
  }
  m_servers.insert(server);
}

bool DrainMigrationPlan::TryBeginMove(TimePoint now) {
  if (m_servers.empty() || now < m_next_try)
    return false;
  m_next_try = now + kMoveRetryInterval;
  return true;
}

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

std::string EventSplitter::Feed(std::string_view bytes, TimePoint now) {
  m_partial.append(bytes);
  std::string out;
  size_t at = 0;
  while (in_order()) {
    const std::string_view rest = std::string_view(m_partial).substr(at);
    const size_t length = EventLength(rest);
    if (length == 0)
      break;
    if (Accept(rest.substr(0, length)))
      out.append(rest.substr(0, length));
    at += length;
  }
  m_partial.erase(0, at);
  const bool event_ends =
      m_endless_event.OnBytes(at > 0, !m_partial.empty(), now);
  if (!in_order())
    return out;
  if (!event_ends)
    m_fault = StreamFault::kEndlessEvent;
  else if (m_partial.size() + m_comment_bytes > kMaxEventBytes)
    m_fault = StreamFault::kEventTooLarge;
  return out;
}

bool EventSplitter::Accept(std::string_view event) {
  const EventFacts facts = ReadEvent(event);
  if (facts.only_comments) {
    m_comment_bytes += event.size();
    return false;
  }
  m_comment_bytes = 0;
  if (!facts.well_formed || !facts.id) {
    m_fault = facts.well_formed ? StreamFault::kNoEventId
                                : StreamFault::kMalformedEvent;
    return false;
  }
  m_seen_id = *facts.id;
  m_has_ambiguous_lines |= facts.has_ambiguous_lines;
  if (m_resumed && *facts.id <= m_last_id)
    return false;
  if (m_last_id >= 0 && *facts.id != m_last_id + 1) {
    m_fault = StreamFault::kUnexpectedEvent;
    return false;
  }
  if (m_first_id < 0)
    m_first_id = *facts.id;
  m_last_id = *facts.id;
  return true;
}

void EventSplitter::BeginRun() {
  m_partial.clear();
  m_comment_bytes = 0;
  m_endless_event.Reset();
  m_resumed = has_events();
  m_seen_id = -1;
  m_fault = StreamFault::kNone;
}

}  // namespace trefoilwick
