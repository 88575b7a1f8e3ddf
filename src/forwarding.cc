#include "trefoilwick/forwarding.h"

#include <algorithm>
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
constexpr Duration kMoveRetryInterval = std::chrono::milliseconds(100);

Duration ScaleDuration(Duration duration, double share) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * share));
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
  if (success && (!head.authentic || head.is_encoded))
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

}  // namespace trefoilwick
