// Decides what becomes of one client attempt: whether it may be sent (again)
// to a backend server, and which answer is true. Without I/O.
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
  // No byte has left for any server, or every server said that it did not run.
  kNotRun,
  // Bytes have left and there is no answer yet.
  kSent,
  // A server began to answer.
  kAnswering,
  // It may have run and its answer is lost.
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

// Choose a server and send; only one of ForwardState::attempted_servers() when
// server_limit_reached().
struct SendToServer {
  bool operator==(const SendToServer&) const = default;
};
// Tell the client that the request has not run and never will (503).
struct RefuseNotRun {
  bool operator==(const RefuseNotRun&) const = default;
};
// Tell the client that the outcome is not known: 504 at a deadline, else 502.
struct FailWithUnknownOutcome {
  bool timed_out = false;
  bool operator==(const FailWithUnknownOutcome&) const = default;
};
// Pass on the server's answer as it is.
struct RelayAnswer {
  bool operator==(const RelayAnswer&) const = default;
};
// Close the client's connection in the middle of an answer, so that it is
// visibly incomplete.
struct AbortAnswer {
  bool operator==(const AbortAnswer&) const = default;
};
// Nothing to do now.
struct KeepWaiting {
  bool operator==(const KeepWaiting&) const = default;
};
using ForwardDecision = std::variant<SendToServer,
                                     RefuseNotRun,
                                     FailWithUnknownOutcome,
                                     RelayAnswer,
                                     AbortAnswer,
                                     KeepWaiting>;

// How one exchange with a server ended or went on.
enum class ServerEvent : uint8_t {
  // The connection could not be established: no byte was sent.
  kConnectFailed,
  // The server says that it did not run the request.
  kRefused,
  // The complete answer is here and is a success, or a failure of the client.
  kAnswered,
  // The complete answer is here and is a failure of the server (5xx).
  kServerFailed,
  // The beginning of a success is here, and more follows.
  kAnswerBegun,
  // The connection ended, or sent what is no answer, before the end.
  kAnswerIncomplete,
};

class ForwardState {
 public:
  class Builder;

  SendState state() const { return m_state; }
  // Servers that may have run the request and have not ended since.
  const std::set<std::string>& attempted_servers() const {
    return m_attempted_servers;
  }
  int sends() const { return m_sends; }
  // No further server may be sent to, only those of attempted_servers() again.
  bool server_limit_reached() const {
    return static_cast<int>(m_attempted_servers.size()) >= m_max_attempts;
  }

  // A server was chosen and the first byte is about to leave.
  void OnSend(const std::string& server);
  ForwardDecision OnServerEvent(ServerEvent event);
  // The server has ended: it does not count any more.
  void OnServerEnded(const std::string& server) {
    m_attempted_servers.erase(server);
  }
  // No server can be used now.
  ForwardDecision OnNoServer();
  // The client's deadline or the time-out of the route has passed.
  ForwardDecision OnDeadline();
  // True when the request may be sent again.
  bool MaySendAgain() const;
  // A stream that began may be continued by another run.
  bool MayResume() const;

 private:
  friend class Builder;
  ForwardDecision GiveUp(bool timed_out);
  bool HasSendsLeft() const;

  RouteKind m_kind = RouteKind::kNonIdempotent;
  bool m_may_repeat = false;
  int m_max_attempts = 1;
  SendState m_state = SendState::kNotRun;
  // Some server may have run the request.
  bool m_may_have_run = false;
  // A part of an answer went to the client.
  bool m_relaying = false;
  int m_sends = 0;
  int m_refusals = 0;
  int m_connect_failures = 0;
  std::string m_last_server;
  std::set<std::string> m_attempted_servers;
};

class ForwardState::Builder {
 public:
  Builder& SetRoute(const Route& route);
  ForwardState Build() const { return m_state; }

 private:
  ForwardState m_state;
};

// A request that waits for room at the servers of a service.
struct WaitingRequest {
  std::string service;
  // 0 is the most urgent.
  int rank = 0;
  TimePoint started_at;
  // Time from then to the first part of an answer that is on time.
  Duration latency_target{0};
  // A part of the answer is with the client.
  bool in_progress = false;
};

// True when `a` is served before `b`: answers in progress first, then those
// that can still be on time, by rank and age. What is late already earns little
// more by being less late, and would make others late. Load pattern: a burst
// beyond the room of the servers.
bool IsServedBefore(const WaitingRequest& a,
                    const WaitingRequest& b,
                    TimePoint now);

// Indexes in the order of service.
std::vector<size_t> SortWaitingRequests(
    const std::vector<WaitingRequest>& requests,
    TimePoint now);

// When a request in progress moves off servers that announced that they leave.
// They serve on for a while, so that most requests end by themselves. Moves are
// spread over that time: each reads a prompt again.
class DrainMigrationPlan {
 public:
  // A server leaves and serves on for `drain`. `unit` in [0, 1) spreads the
  // requests.
  void AddServer(const std::string& server,
                 TimePoint now,
                 Duration drain,
                 double unit);
  void Clear() { m_servers.clear(); }
  const std::set<std::string>& servers() const { return m_servers; }
  // True when the request should try to move now; then not again for a while.
  bool TryBeginMove(TimePoint now);
  // The servers may end soon: moving far is better than staying.
  bool MustMove(TimePoint now) const { return now >= m_must_move_at; }

 private:
  std::set<std::string> m_servers;
  TimePoint m_next_try;
  TimePoint m_must_move_at;
};

// Cuts the body of an event stream into complete events and keeps the id of
// the last one, so that another server can continue after it.
class EventSplitter {
 public:
  // Returns the bytes of the events that became complete. After Resume(),
  // events that were already passed on are left out.
  std::string Feed(std::string_view bytes);
  // The bytes of an event that is not complete.
  const std::string& partial() const { return m_partial; }
  std::string TakePartial();
  // Continue on the stream of another server: drops the partial event.
  void Resume();
  int64_t last_id() const { return m_last_id; }
  bool has_events() const { return m_last_id >= 0; }
  // False once an event was out of order: the rest must not be passed on.
  bool in_order() const { return m_in_order; }

 private:
  bool Accept(std::string_view event);

  std::string m_partial;
  int64_t m_last_id = -1;
  bool m_resumed = false;
  bool m_in_order = true;
};

// Limits calls beyond the first of each request, over a sliding window.
// Load pattern: many servers fail at once and every request wants another.
class RetryWindow {
 public:
  // `ratio` of the requests of the window plus `slack` may be sent again.
  RetryWindow(double ratio, double slack, Duration window)
      : m_ratio(ratio), m_slack(slack), m_window(window) {}
  void SetLimits(double ratio, double slack) {
    m_ratio = ratio;
    m_slack = slack;
  }
  // How much this instance knows of what the deployment sent in the window.
  enum class HistoryCoverage : uint8_t {
    // It runs for longer than the window.
    kFullWindow,
    // It started within the window: what ended processes sent is forgotten.
    kSinceStart,
    // It started within the window and has not heard of any other instance.
    kLocalOnly,
  };
  // Bounds the slack that may be used accordingly. Load pattern: all instances
  // are lost and start again while servers refuse.
  void SetHistoryCoverage(HistoryCoverage knowledge) {
    m_history_coverage = knowledge;
  }
  void OnRequest(TimePoint now);
  struct Counts {
    double requests = 0;
    double retries = 0;
    // Retries too recent to be known to other instances.
    double recent_retries = 0;
  };
  // Sends of this instance in the window.
  Counts LocalCounts(TimePoint now) const;
  // True when the budget has one left. Parameters as of TryRetry.
  bool MayRetry(TimePoint now,
                const Counts& elsewhere,
                size_t others,
                bool begun) const;
  // Takes one from the budget; false when it is spent. `elsewhere` are the
  // sends of the other instances, as last heard; each of these `others` is
  // taken to retry as much as this one since. The last part of the budget is
  // for answers that have `begun`: what has not can be refused truthfully.
  bool TryRetry(TimePoint now,
                const Counts& elsewhere,
                size_t others,
                bool begun);

 private:
  static constexpr int kSlices = 50;
  static constexpr int kRecentSlices = 3;
  struct Slice {
    int64_t index = -1;
    double requests = 0;
    double retries = 0;
  };
  Slice& SliceAt(TimePoint now);
  double UsableSlack() const;
  int64_t IndexOf(TimePoint now) const;

  double m_ratio;
  double m_slack;
  Duration m_window;
  HistoryCoverage m_history_coverage = HistoryCoverage::kFullWindow;
  Slice m_slices[kSlices];
};

}  // namespace trefoilwick
