#include "trefoilwick/forwarding.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Route MakeRoute(RouteKind kind, int attempts, bool resumable = false) {
  Route route;
  route.kind = kind;
  route.max_attempts = attempts;
  route.resumable = resumable;
  return route;
}

ForwardState StateOf(const Route& route) {
  return ForwardState::Builder().SetRoute(route).Build();
}

template <typename T>
bool Is(const ForwardDecision& decision) {
  return std::holds_alternative<T>(decision);
}

// A server event, whether the request was sent before it, and whether it may
// have run.
struct ServerStep {
  ServerEvent event;
  bool sent;
  bool may_have_run;
};
constexpr ServerStep kServerSteps[] = {
    {ServerEvent::kConnectFailed, false, false},
    {ServerEvent::kRefused, true, false},
    {ServerEvent::kAnswered, true, true},
    {ServerEvent::kServerFailed, true, true},
    {ServerEvent::kAnswerBegun, true, true},
    {ServerEvent::kAnswerIncomplete, true, true},
};

class ForwardingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingTest);
  CPPUNIT_TEST(DecisionsAreCorrectForAllEventSequences);
  CPPUNIT_TEST(RequestRefusedByAllServersHasNotRun);
  CPPUNIT_TEST(LostResponseOfWriteIsUnknownOutcome);
  CPPUNIT_TEST(DeadlineAfterSendIsUnknownOutcome);
  CPPUNIT_TEST(RequestAtServerIsNotRefused);
  CPPUNIT_TEST(ResumableStreamContinuesOnAnotherServer);
  CPPUNIT_TEST(AttemptedServersStayWithinRouteLimit);
  CPPUNIT_TEST(RefusalsDoNotCountAsAttempts);
  CPPUNIT_TEST(EndedServersDoNotCountAsAttempts);
  CPPUNIT_TEST(MovesOffDrainingServersAreSpread);
  CPPUNIT_TEST(WaitingRequestsAreSorted);
  CPPUNIT_TEST(UrgentRequestsStayOnTimeInBurst);
  CPPUNIT_TEST(HeadDecidesHowBodyIsUsed);
  CPPUNIT_TEST(RefusedRetryStillCountsEarlierRunOnServer);
  CPPUNIT_TEST_SUITE_END();

  // Explores all sequences of server events up to a length, with a deadline
  // after each prefix, and checks every decision.
  struct EventSequenceExplorer {
    Route route;
    int final_decisions = 0;

    void Visit(const ForwardState& state,
               bool ran,
               int runs,
               bool relaying,
               int depth) {
      CheckDeadline(state, ran, relaying);
      if (depth == 0)
        return;
      for (const ServerStep& step : kServerSteps) {
        if (relaying && step.event == ServerEvent::kAnswerBegun)
          continue;
        ForwardState next = state;
        if (step.sent)
          next.OnSend("server-" + std::to_string(depth));
        const ForwardDecision decision = next.OnServerEvent(step.event);
        const bool now_ran = ran || step.may_have_run;
        const int now_runs = runs + (step.may_have_run ? 1 : 0);
        Check(decision, now_ran, now_runs, relaying, step.event);
        if (step.event == ServerEvent::kAnswerBegun) {
          Visit(next, now_ran, now_runs, true, depth - 1);
        } else if (Is<SendToServer>(decision)) {
          Visit(next, now_ran, now_runs, relaying, depth - 1);
        } else {
          ++final_decisions;
        }
      }
    }

    void CheckDeadline(ForwardState state, bool ran, bool relaying) const {
      const ForwardDecision decision = state.OnDeadline();
      if (relaying)
        CPPUNIT_ASSERT(Is<AbortAnswer>(decision));
      else if (ran)
        CPPUNIT_ASSERT(Is<FailWithUnknownOutcome>(decision));
      else
        CPPUNIT_ASSERT(Is<RefuseNotRun>(decision));
    }

    void Check(const ForwardDecision& decision,
               bool ran,
               int runs,
               bool relaying,
               ServerEvent event) const {
      // RefuseNotRun is only allowed when the request certainly has not run.
      if (Is<RefuseNotRun>(decision))
        CPPUNIT_ASSERT(!ran);
      // A request that must not run twice is never sent after it may have run.
      if (Is<SendToServer>(decision) && !route.AllowsReexecution())
        CPPUNIT_ASSERT(!ran);
      // A client that has received part of a response gets no second status.
      if (relaying && event != ServerEvent::kAnswered)
        CPPUNIT_ASSERT(!Is<FailWithUnknownOutcome>(decision) &&
                       !Is<RefuseNotRun>(decision));
      if (route.kind != RouteKind::kStream && Is<SendToServer>(decision))
        CPPUNIT_ASSERT(runs < route.max_attempts);
    }
  };

 public:
  void DecisionsAreCorrectForAllEventSequences() {
    constexpr int kDepth = 5;
    int final_decisions = 0;
    for (const RouteKind kind : {RouteKind::kIdempotent,
                                 RouteKind::kNonIdempotent, RouteKind::kStream})
      for (const bool resumable : {false, true})
        for (const int attempts : {1, 2, 3}) {
          EventSequenceExplorer explorer{MakeRoute(kind, attempts, resumable)};
          explorer.Visit(StateOf(explorer.route), false, 0, false, kDepth);
          final_decisions += explorer.final_decisions;
        }
    CPPUNIT_ASSERT(final_decisions > 1000);
  }

  void RequestRefusedByAllServersHasNotRun() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kNonIdempotent, 2));
    state.OnSend("a");
    CPPUNIT_ASSERT(
        Is<SendToServer>(state.OnServerEvent(ServerEvent::kRefused)));
    state.OnSend("b");
    CPPUNIT_ASSERT(
        Is<RefuseNotRun>(state.OnServerEvent(ServerEvent::kRefused)));
  }

  // A write whose response is lost must not be sent again.
  void LostResponseOfWriteIsUnknownOutcome() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kNonIdempotent, 3));
    state.OnSend("a");
    CPPUNIT_ASSERT(Is<FailWithUnknownOutcome>(
        state.OnServerEvent(ServerEvent::kAnswerIncomplete)));
  }

  void DeadlineAfterSendIsUnknownOutcome() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kNonIdempotent, 1));
    state.OnSend("a");
    CPPUNIT_ASSERT(Is<FailWithUnknownOutcome>(state.OnDeadline()));
    // A late response changes nothing.
    CPPUNIT_ASSERT(
        Is<KeepWaiting>(state.OnServerEvent(ServerEvent::kAnswered)));
  }

  // A request that was sent and then found no server was refused as not run.
  void RequestAtServerIsNotRefused() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kNonIdempotent, 1));
    state.OnSend("a");
    CPPUNIT_ASSERT(Is<FailWithUnknownOutcome>(state.OnNoServer()));
    // It has ended, and gets no second response.
    CPPUNIT_ASSERT(Is<KeepWaiting>(state.OnNoServer()));
    ForwardState refused = StateOf(MakeRoute(RouteKind::kNonIdempotent, 2));
    refused.OnSend("a");
    refused.OnServerEvent(ServerEvent::kRefused);
    CPPUNIT_ASSERT(Is<RefuseNotRun>(refused.OnNoServer()));
  }

  void ResumableStreamContinuesOnAnotherServer() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kStream, 2, true));
    state.OnSend("a");
    state.OnServerEvent(ServerEvent::kAnswerBegun);
    CPPUNIT_ASSERT(
        Is<SendToServer>(state.OnServerEvent(ServerEvent::kAnswerIncomplete)));
    CPPUNIT_ASSERT(!state.server_limit_reached());
    state.OnSend("b");
    CPPUNIT_ASSERT(state.server_limit_reached());
    ForwardState not_resumable =
        StateOf(MakeRoute(RouteKind::kStream, 2, false));
    not_resumable.OnSend("a");
    not_resumable.OnServerEvent(ServerEvent::kAnswerBegun);
    CPPUNIT_ASSERT(Is<AbortAnswer>(
        not_resumable.OnServerEvent(ServerEvent::kAnswerIncomplete)));
  }

  // A server that is judged lost may still have run the request: streams ran on
  // three servers where two were allowed.
  void AttemptedServersStayWithinRouteLimit() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kStream, 2, true));
    for (const char* server : {"a", "b"}) {
      CPPUNIT_ASSERT(!state.server_limit_reached());
      state.OnSend(server);
      state.OnServerEvent(ServerEvent::kAnswerBegun);
      state.OnServerEvent(ServerEvent::kAnswerIncomplete);
    }
    CPPUNIT_ASSERT(state.server_limit_reached());
    // The same servers may be sent to again.
    CPPUNIT_ASSERT(state.MayResume());
    state.OnSend("b");
    CPPUNIT_ASSERT(state.server_limit_reached());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, state.attempted_servers().size());
  }

  // While servers were replaced, both servers that the route allows had refused
  // to continue a stream, and it was aborted although others had free capacity.
  void RefusalsDoNotCountAsAttempts() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kStream, 2, true));
    state.OnSend("a");
    state.OnServerEvent(ServerEvent::kAnswerBegun);
    state.OnServerEvent(ServerEvent::kAnswerIncomplete);
    for (int i = 0; i < 20; ++i) {
      state.OnSend("refuses-" + std::to_string(i));
      CPPUNIT_ASSERT(
          Is<SendToServer>(state.OnServerEvent(ServerEvent::kRefused)));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, state.attempted_servers().size());
    // A stream that has not begun is refused in the end, since it has not run.
    ForwardState not_begun = StateOf(MakeRoute(RouteKind::kStream, 2, true));
    ForwardDecision last_decision = KeepWaiting{};
    for (int i = 0; i < 20 && !Is<RefuseNotRun>(last_decision); ++i) {
      not_begun.OnSend("refuses-" + std::to_string(i));
      last_decision = not_begun.OnServerEvent(ServerEvent::kRefused);
    }
    CPPUNIT_ASSERT(Is<RefuseNotRun>(last_decision));
  }

  // A stream may continue on a third server when one of its two has ended.
  void EndedServersDoNotCountAsAttempts() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kStream, 2, true));
    for (const char* server : {"a", "b"}) {
      state.OnSend(server);
      state.OnServerEvent(ServerEvent::kAnswerBegun);
      state.OnServerEvent(ServerEvent::kAnswerIncomplete);
    }
    CPPUNIT_ASSERT(state.server_limit_reached());
    state.OnServerEnded("a");
    CPPUNIT_ASSERT(!state.server_limit_reached());
  }

  // Guards against all streams of a draining server moving at the same moment:
  // each paused for longer than its route allows, and they filled the memory of
  // other servers.
  void MovesOffDrainingServersAreSpread() {
    constexpr Duration kDrain = seconds(2);
    const TimePoint start{seconds(100)};
    TimePoint earliest = start + kDrain;
    TimePoint latest = start;
    for (int i = 0; i < 10; ++i) {
      DrainMigrationPlan plan;
      plan.AddServer("a", start, kDrain, i / 10.0);
      TimePoint now = start;
      while (!plan.TryBeginMove(now))
        now += milliseconds(10);
      earliest = std::min(earliest, now);
      latest = std::max(latest, now);
      CPPUNIT_ASSERT(!plan.MustMove(now));
      CPPUNIT_ASSERT(!plan.TryBeginMove(now + milliseconds(10)));
      CPPUNIT_ASSERT(plan.TryBeginMove(now + milliseconds(200)));
    }
    CPPUNIT_ASSERT(earliest >= start + kDrain / 4);
    CPPUNIT_ASSERT(latest - earliest >= kDrain / 4);
    CPPUNIT_ASSERT(latest < start + kDrain * 4 / 5);
  }

  // Guards against a response in progress that waits behind new requests, and
  // against late requests that are served before those that can still be on
  // time.
  void WaitingRequestsAreSorted() {
    const TimePoint now{seconds(100)};
    const auto waiting = [&](int rank, milliseconds age, bool in_progress) {
      return WaitingRequest{"pool", rank, now - age, milliseconds(500),
                            in_progress};
    };
    const std::vector<WaitingRequest> requests = {
        waiting(0, milliseconds(900), false),
        waiting(1, milliseconds(300), false),
        waiting(0, milliseconds(100), false),
        waiting(0, milliseconds(200), false),
        waiting(2, milliseconds(3000), true)};
    CPPUNIT_ASSERT(SortWaitingRequests(requests, now) ==
                   (std::vector<size_t>{4, 3, 2, 1, 0}));
  }

  // A burst of two seconds at 1.6 times the capacity. Served in order of age,
  // all of its requests were late.
  void UrgentRequestsStayOnTimeInBurst() {
    constexpr int kCapacity = 100;
    constexpr milliseconds kServiceTime(1600);
    constexpr milliseconds kTarget(500);
    struct Entry {
      WaitingRequest request;
      bool started = false;
    };
    std::vector<Entry> entries;
    std::vector<TimePoint> ends;
    int on_time = 0;
    int urgent = 0;
    int urgent_on_time = 0;
    const TimePoint start{seconds(100)};
    for (int ms = 0; ms < 8000; ms += 10) {
      const TimePoint now = start + milliseconds(ms);
      std::erase_if(ends, [&](TimePoint end) { return end <= now; });
      // 62.5 requests a second fill the capacity; 100 a second arrive from
      // second 2 to 4.
      const bool burst = ms >= 2000 && ms < 4000;
      if (ms % (burst ? 10 : 20) == 0)
        entries.push_back({{"pool", static_cast<int>(entries.size() % 3), now,
                            kTarget, false}});
      std::vector<WaitingRequest> waiting;
      std::vector<size_t> entry_index;
      for (size_t i = 0; i < entries.size(); ++i)
        if (!entries[i].started) {
          waiting.push_back(entries[i].request);
          entry_index.push_back(i);
        }
      for (const size_t i : SortWaitingRequests(waiting, now)) {
        if (ends.size() >= kCapacity)
          break;
        Entry& entry = entries[entry_index[i]];
        entry.started = true;
        ends.push_back(now + kServiceTime);
        const bool is_on_time = now - entry.request.started_at <= kTarget;
        on_time += is_on_time ? 1 : 0;
        if (entry.request.rank == 0)
          urgent_on_time += is_on_time ? 1 : 0;
      }
    }
    for (const Entry& entry : entries)
      urgent += entry.request.rank == 0 ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(urgent, urgent_on_time);
    CPPUNIT_ASSERT(on_time > static_cast<int>(entries.size()) * 85 / 100);
  }

  // Requests waited for the whole body of a response that could not change how
  // they go on.
  void HeadDecidesHowBodyIsUsed() {
    const HeadFacts refusal{503, true, true, false};
    const HeadFacts failure{500, false, true, false};
    const HeadFacts unsealed{200, false, false, false};
    const HeadFacts success{200, false, true, false};
    const HeadFacts event_stream{200, false, true, true};
    const HeadFacts encoded{200, false, true, false, true};
    const HeadFacts not_found{404, false, true, false};
    const auto assess = [](ForwardState state, const HeadFacts& head) {
      state.OnSend("a");
      return state.AssessHead(head);
    };
    const ForwardState once = StateOf(MakeRoute(RouteKind::kNonIdempotent, 2));
    const ForwardState repeated = StateOf(MakeRoute(RouteKind::kIdempotent, 2));
    const ForwardState single = StateOf(MakeRoute(RouteKind::kIdempotent, 1));
    for (const ForwardState& state : {once, repeated, single}) {
      CPPUNIT_ASSERT(assess(state, refusal) == BodyUse::kOptional);
      CPPUNIT_ASSERT(assess(state, unsealed) == BodyUse::kInvalid);
      CPPUNIT_ASSERT(assess(state, encoded) == BodyUse::kInvalid);
      CPPUNIT_ASSERT(assess(state, success) == BodyUse::kForwarded);
    }
    // A failure is forwarded when the request may not be sent again.
    CPPUNIT_ASSERT(assess(once, failure) == BodyUse::kForwarded);
    CPPUNIT_ASSERT(assess(single, failure) == BodyUse::kForwarded);
    CPPUNIT_ASSERT(assess(repeated, failure) == BodyUse::kOptional);
    ForwardState stream = StateOf(MakeRoute(RouteKind::kStream, 2, true));
    CPPUNIT_ASSERT(assess(stream, event_stream) == BodyUse::kForwarded);
    CPPUNIT_ASSERT(assess(stream, success) == BodyUse::kInvalid);
    CPPUNIT_ASSERT(assess(stream, not_found) == BodyUse::kForwarded);
    stream.OnSend("a");
    stream.OnServerEvent(ServerEvent::kAnswerBegun);
    CPPUNIT_ASSERT(assess(stream, event_stream) == BodyUse::kForwarded);
    CPPUNIT_ASSERT(assess(stream, refusal) == BodyUse::kOptional);
    for (const HeadFacts& head : {success, failure, unsealed})
      CPPUNIT_ASSERT(assess(stream, head) == BodyUse::kInvalid);
  }

  // A server that had run the stream was forgotten when it refused to continue
  // it, and the stream ran on a third server where two were allowed.
  void RefusedRetryStillCountsEarlierRunOnServer() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kStream, 2, true));
    state.OnSend("a");
    state.OnServerEvent(ServerEvent::kAnswerBegun);
    state.OnServerEvent(ServerEvent::kAnswerIncomplete);
    state.OnSend("b");
    state.OnServerEvent(ServerEvent::kAnswerIncomplete);
    state.OnSend("a");
    state.OnServerEvent(ServerEvent::kRefused);
    CPPUNIT_ASSERT(state.server_limit_reached());
    CPPUNIT_ASSERT(state.attempted_servers() ==
                   (std::set<std::string>{"a", "b"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTest);

}  // namespace
}  // namespace trefoilwick
