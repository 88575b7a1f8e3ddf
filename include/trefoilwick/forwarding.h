// Decides how a client request is forwarded: whether it may be sent (again) to
// a backend server, and which response to the client is correct. Does no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trefoilwick/route_table.h"

namespace trefoilwick {

// What is known about the request at a backend server.
enum class SendState : uint8_t {
  // No byte was sent to any server, or every server reported that it did not
  // run the request.
  kNotRun,
  // Bytes were sent and there is no response yet.
  kSent,
  // A server has begun to respond.
  kAnswering,
  // The request may have run and its response is lost.
  kUnknown,
  kEnded,
};
inline constexpr auto kSendStateNames = MakeEnumTable<SendState>({
    {SendState::kNotRun, "not_run"},
    {SendState::kSent, "offered"},
    {SendState::kAnswering, "answering"},
    {SendState::kUnknown, "unknown"},
    {SendState::kEnded, "ended"},
});

// Choose a server and send the request to it; only one of
// ForwardState::attempted_servers() when server_limit_reached().
struct SendToServer {
  bool operator==(const SendToServer&) const = default;
};
// Respond to the client that the request has not run and never will (503).
struct RefuseNotRun {
  bool operator==(const RefuseNotRun&) const = default;
};
// Respond to the client that the outcome is unknown: 504 at a deadline, else
// 502.
struct FailWithUnknownOutcome {
  bool timed_out = false;
  bool operator==(const FailWithUnknownOutcome&) const = default;
};
// Forward the server's response unchanged.
struct RelayAnswer {
  bool operator==(const RelayAnswer&) const = default;
};
// Close the client's connection in the middle of a response, so that it is
// visibly incomplete.
struct AbortAnswer {
  bool operator==(const AbortAnswer&) const = default;
};
struct KeepWaiting {
  bool operator==(const KeepWaiting&) const = default;
};
using ForwardDecision = std::variant<SendToServer,
                                     RefuseNotRun,
                                     FailWithUnknownOutcome,
                                     RelayAnswer,
                                     AbortAnswer,
                                     KeepWaiting>;

// Event of one exchange with a server.
enum class ServerEvent : uint8_t {
  // The connection could not be established: no byte was sent.
  kConnectFailed,
  // The server reports that it did not run the request.
  kRefused,
  // The complete response was received and is a success, or a failure of the
  // client.
  kAnswered,
  // The complete response was received and is a failure of the server (5xx).
  kServerFailed,
  // The beginning of a successful response was received, and more follows.
  kAnswerBegun,
  // Before the end of the response, the connection ended or sent data that is
  // no valid response.
  kAnswerIncomplete,
};

// What the head of a response says about the request.
struct HeadFacts {
  int status = 0;
  // The server did not run the request.
  bool not_run = false;
  // The response is marked as made by the server itself.
  bool authentic = false;
  bool is_event_stream = false;
  // The body is encoded, which no request asks for.
  bool is_encoded = false;
};

// How the body of a response is used, once its head is known.
enum class BodyUse : uint8_t {
  kForwarded,
  // The request goes on in the same way whatever the body is. Reading it to its
  // end keeps the connection usable.
  kOptional,
  // The response must not be forwarded.
  kInvalid,
};
inline constexpr auto kBodyUseNames = MakeEnumTable<BodyUse>({
    {BodyUse::kForwarded, "forwarded"},
    {BodyUse::kOptional, "optional"},
    {BodyUse::kInvalid, "invalid"},
});

class ForwardState {
 public:
  class Builder;

  SendState state() const { return m_state; }
  // Servers that may have run the request and have not ended since then.
  const std::set<std::string>& attempted_servers() const {
    return m_attempted_servers;
  }
  int sends() const { return m_sends; }
  // True when only attempted_servers() may be sent to again, and no other
  // server.
  bool server_limit_reached() const {
    return static_cast<int>(m_attempted_servers.size()) >= m_max_attempts;
  }

  // A server was chosen and the first byte is about to be sent.
  void OnSend(const std::string& server);
  ForwardDecision OnServerEvent(ServerEvent event);
  BodyUse AssessHead(const HeadFacts& head) const;
  // The server has ended: it does not count towards the limit any more.
  void OnServerEnded(const std::string& server) {
    m_attempted_servers.erase(server);
  }
  // No server is available now. A request that is at a server after all may
  // run there.
  ForwardDecision OnNoServer() { return BreakOff(false); }
  // The client's deadline or the timeout of the route has passed.
  ForwardDecision OnDeadline() { return BreakOff(true); }
  // The request must not run any longer, and its exchange with a server was
  // cancelled.
  ForwardDecision OnCancelled() { return BreakOff(false); }
  // True when the request may be sent again.
  bool MaySendAgain() const;
  // True when a stream that has begun may be continued by another run.
  bool MayResume() const;

 private:
  friend class Builder;
  ForwardDecision BreakOff(bool timed_out);
  ForwardDecision GiveUp(bool timed_out);
  bool HasSendsLeft() const;

  RouteKind m_kind = RouteKind::kNonIdempotent;
  bool m_may_repeat = false;
  int m_max_attempts = 1;
  SendState m_state = SendState::kNotRun;
  // Some server may have run the request.
  bool m_may_have_run = false;
  // Part of a response was sent to the client.
  bool m_relaying = false;
  int m_sends = 0;
  int m_refusals = 0;
  int m_connect_failures = 0;
  std::string m_last_server;
  // The request was sent to `m_last_server` for the first time.
  bool m_last_server_is_new = false;
  std::set<std::string> m_attempted_servers;
};

class ForwardState::Builder {
 public:
  Builder& SetRoute(const Route& route);
  ForwardState Build() const { return m_state; }

 private:
  ForwardState m_state;
};

// A request that waits for free capacity on the servers of a service.
struct WaitingRequest {
  // Valid as long as the request.
  std::string_view service;
  // 0 is the most urgent.
  int rank = 0;
  TimePoint started_at;
  // Time from `started_at` within which the first part of the response is on
  // time.
  Duration latency_target{0};
  // Part of the response was sent to the client.
  bool in_progress = false;
};

// True when `a` is served before `b`: responses in progress come first, then
// requests that can still be on time, by rank and age. A request that is late
// already gains little from an early start, and would make others late. Load
// pattern: a burst beyond the capacity of the servers.
bool IsServedBefore(const WaitingRequest& a,
                    const WaitingRequest& b,
                    TimePoint now);

// Indexes of the requests in the order in which they are served.
std::vector<size_t> SortWaitingRequests(
    const std::vector<WaitingRequest>& requests,
    TimePoint now);

// Decides when a request in progress moves off draining servers. They serve on
// for a while, so that most requests end there. Moves are spread over that
// time, because each one repeats the prefill of a prompt.
class DrainMigrationPlan {
 public:
  // Adds a draining server that serves on for `drain`. `unit` in [0, 1) spreads
  // the moves of different requests.
  void AddServer(const std::string& server,
                 TimePoint now,
                 Duration drain,
                 double unit);
  void Clear() { m_servers.clear(); }
  const std::set<std::string>& servers() const { return m_servers; }
  // True when the request should try to move now. Then false for a while.
  bool TryBeginMove(TimePoint now);
  // True when the servers may end soon: a move to another data center is better
  // than staying.
  bool MustMove(TimePoint now) const { return now >= m_must_move_at; }

 private:
  std::set<std::string> m_servers;
  TimePoint m_next_try;
  TimePoint m_must_move_at;
};

}  // namespace trefoilwick
