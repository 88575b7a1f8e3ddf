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

// What a server does with a request that reached it, and whether it ran it.
struct Step {
  ServerEvent event;
  bool sent;
  bool may_have_run;
};
constexpr Step kSteps[] = {
    {ServerEvent::kConnectFailed, false, false},
    {ServerEvent::kRefused, true, false},
    {ServerEvent::kAnswered, true, true},
    {ServerEvent::kServerFailed, true, true},
    {ServerEvent::kAnswerBegun, true, true},
    {ServerEvent::kAnswerIncomplete, true, true},
};

class ForwardingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingTest);
  CPPUNIT_TEST(EveryOrderOfEventsKeepsThePromises);
  CPPUNIT_TEST(RefusedByAllIsNotRun);
  CPPUNIT_TEST(LostAnswerOfAWriteIsUnknown);
  CPPUNIT_TEST(DeadlineWhileOfferedIsUnknown);
  CPPUNIT_TEST(StreamGoesOnAtAnotherServer);
  CPPUNIT_TEST(ServersNeverExceedTheRoute);
  CPPUNIT_TEST(RefusalsAreNoAttempts);
  CPPUNIT_TEST(EndedServersDoNotCount);
  CPPUNIT_TEST(RequestsStayOnLeavingServers);
  CPPUNIT_TEST(WaitingRequestsAreOrdered);
  CPPUNIT_TEST(BurstLeavesUrgentWorkOnTime);
  CPPUNIT_TEST(EventsAreCutAtTheirEnds);
  CPPUNIT_TEST(ResumedStreamSkipsWhatWasPassedOn);
  CPPUNIT_TEST(MissingEventStopsTheStream);
  CPPUNIT_TEST(EventsSurviveAnyCut);
  CPPUNIT_TEST(RetryWindowBoundsAllInstances);
  CPPUNIT_TEST(RetryWindowForgets);
  CPPUNIT_TEST(StartedInstancesDoNotSpendTheSlackAnew);
  CPPUNIT_TEST(LastRetriesAreForAnswersInProgress);
  CPPUNIT_TEST_SUITE_END();

  // Explores all sequences of server events up to a length, with a deadline
  // after each prefix, and checks each final decision.
  struct Walk {
    Route route;
    int leaves = 0;

    void Visit(const ForwardState& state,
               bool ran,
               int runs,
               bool relaying,
               int depth) {
      CheckDeadline(state, ran, relaying);
      if (depth == 0)
        return;
      for (const Step& step : kSteps) {
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
          ++leaves;
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
      // "Not run" is said only when it is certain.
      if (Is<RefuseNotRun>(decision))
        CPPUNIT_ASSERT(!ran);
      // What may run once is never sent after it may have run.
      if (Is<SendToServer>(decision) && !route.AllowsReexecution())
        CPPUNIT_ASSERT(!ran);
      // A client that has a part of an answer gets no second status.
      if (relaying && event != ServerEvent::kAnswered)
        CPPUNIT_ASSERT(!Is<FailWithUnknownOutcome>(decision) &&
                       !Is<RefuseNotRun>(decision));
      if (route.kind != RouteKind::kStream && Is<SendToServer>(decision))
        CPPUNIT_ASSERT(runs < route.max_attempts);
    }
  };

 public:
  void EveryOrderOfEventsKeepsThePromises() {
    constexpr int kDepth = 5;
    int leaves = 0;
    for (const RouteKind kind : {RouteKind::kIdempotent,
                                 RouteKind::kNonIdempotent, RouteKind::kStream})
      for (const bool resumable : {false, true})
        for (const int attempts : {1, 2, 3}) {
          Walk walk{MakeRoute(kind, attempts, resumable)};
          walk.Visit(StateOf(walk.route), false, 0, false, kDepth);
          leaves += walk.leaves;
        }
    CPPUNIT_ASSERT(leaves > 1000);
  }

  void RefusedByAllIsNotRun() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kNonIdempotent, 2));
    state.OnSend("a");
    CPPUNIT_ASSERT(
        Is<SendToServer>(state.OnServerEvent(ServerEvent::kRefused)));
    state.OnSend("b");
    CPPUNIT_ASSERT(
        Is<RefuseNotRun>(state.OnServerEvent(ServerEvent::kRefused)));
  }

  // A ballot whose answer is lost must not be sent again.
  void LostAnswerOfAWriteIsUnknown() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kNonIdempotent, 3));
    state.OnSend("a");
    CPPUNIT_ASSERT(Is<FailWithUnknownOutcome>(
        state.OnServerEvent(ServerEvent::kAnswerIncomplete)));
  }

  void DeadlineWhileOfferedIsUnknown() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kNonIdempotent, 1));
    state.OnSend("a");
    CPPUNIT_ASSERT(Is<FailWithUnknownOutcome>(state.OnDeadline()));
    // A late answer changes nothing.
    CPPUNIT_ASSERT(
        Is<KeepWaiting>(state.OnServerEvent(ServerEvent::kAnswered)));
  }

  void StreamGoesOnAtAnotherServer() {
    ForwardState state = StateOf(MakeRoute(RouteKind::kStream, 2, true));
    state.OnSend("a");
    state.OnServerEvent(ServerEvent::kAnswerBegun);
    CPPUNIT_ASSERT(
        Is<SendToServer>(state.OnServerEvent(ServerEvent::kAnswerIncomplete)));
    CPPUNIT_ASSERT(!state.server_limit_reached());
    state.OnSend("b");
    CPPUNIT_ASSERT(state.server_limit_reached());
    ForwardState once = StateOf(MakeRoute(RouteKind::kStream, 2, false));
    once.OnSend("a");
    once.OnServerEvent(ServerEvent::kAnswerBegun);
    CPPUNIT_ASSERT(
        Is<AbortAnswer>(once.OnServerEvent(ServerEvent::kAnswerIncomplete)));
  }

  // A server that this instance believes lost may still have run the request: a
  // hunt found streams that ran on three servers where two were allowed.
  void ServersNeverExceedTheRoute() {
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

  // While servers were replaced, both servers that a route allows had refused
  // the rest of a stream, which was broken off although others had room.
  void RefusalsAreNoAttempts() {
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
    // One that did not begin is refused in the end, truthfully.
    ForwardState fresh = StateOf(MakeRoute(RouteKind::kStream, 2, true));
    ForwardDecision last = KeepWaiting{};
    for (int i = 0; i < 20 && !Is<RefuseNotRun>(last); ++i) {
      fresh.OnSend("refuses-" + std::to_string(i));
      last = fresh.OnServerEvent(ServerEvent::kRefused);
    }
    CPPUNIT_ASSERT(Is<RefuseNotRun>(last));
  }

  // A stream that outlived two servers may go on at a third.
  void EndedServersDoNotCount() {
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

  // All streams of a leaving server once moved at the same moment: each paused
  // for longer than its route allows, and filled the memory of others.
  void RequestsStayOnLeavingServers() {
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

  // Guards against an answer in progress that waits behind new work, and
  // against late work that goes before what can still be on time.
  void WaitingRequestsAreOrdered() {
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

  // Replays the burst of malabar scale-1: two seconds at 1.6 times what fits.
  // In order of age all of it was late.
  void BurstLeavesUrgentWorkOnTime() {
    constexpr int kPlaces = 100;
    constexpr milliseconds kWork(1600);
    constexpr milliseconds kTarget(500);
    struct Entry {
      WaitingRequest request;
      bool started = false;
    };
    std::vector<Entry> all;
    std::vector<TimePoint> ends;
    int on_time = 0;
    int urgent = 0;
    int urgent_on_time = 0;
    const TimePoint begin{seconds(100)};
    for (int ms = 0; ms < 8000; ms += 10) {
      const TimePoint now = begin + milliseconds(ms);
      std::erase_if(ends, [&](TimePoint end) { return end <= now; });
      // 62.5 a second fill the places; 100 a second from second 2 to 4.
      const bool burst = ms >= 2000 && ms < 4000;
      if (ms % (burst ? 10 : 20) == 0)
        all.push_back(
            {{"pool", static_cast<int>(all.size() % 3), now, kTarget, false}});
      std::vector<WaitingRequest> waiting;
      std::vector<size_t> index;
      for (size_t i = 0; i < all.size(); ++i)
        if (!all[i].started) {
          waiting.push_back(all[i].request);
          index.push_back(i);
        }
      for (const size_t i : SortWaitingRequests(waiting, now)) {
        if (ends.size() >= kPlaces)
          break;
        Entry& entry = all[index[i]];
        entry.started = true;
        ends.push_back(now + kWork);
        const bool in_time = now - entry.request.started_at <= kTarget;
        on_time += in_time ? 1 : 0;
        if (entry.request.rank == 0)
          urgent_on_time += in_time ? 1 : 0;
      }
    }
    for (const Entry& entry : all)
      urgent += entry.request.rank == 0 ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(urgent, urgent_on_time);
    CPPUNIT_ASSERT(on_time > static_cast<int>(all.size()) * 85 / 100);
  }

  void EventsAreCutAtTheirEnds() {
    EventSplitter events;
    CPPUNIT_ASSERT_EQUAL(std::string(), events.Feed("id: 0\ndata: a"));
    CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: ab\n\n"),
                         events.Feed("b\n\nid: 1\nda"));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, events.last_id());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\nda"), events.partial());
  }

  // A run that starts a little earlier must not repeat pieces.
  void ResumedStreamSkipsWhatWasPassedOn() {
    EventSplitter events;
    events.Feed("id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\nda");
    events.Resume();
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: c\n\n"),
                         events.Feed("id: 1\ndata: b\n\nid: 2\ndata: c\n\n"));
    CPPUNIT_ASSERT(events.in_order());
  }

  void MissingEventStopsTheStream() {
    EventSplitter events;
    CPPUNIT_ASSERT_EQUAL(std::string("id: 0\n\n"),
                         events.Feed("id: 0\n\nid: 2\n\nid: 3\n\n"));
    CPPUNIT_ASSERT(!events.in_order());
    CPPUNIT_ASSERT_EQUAL(std::string(), events.Feed("id: 1\n\n"));
  }

  // Bytes arrive in any portions; what is passed on must not depend on them.
  void EventsSurviveAnyCut() {
    const std::string all =
        "id: 5\ndata: x\n\nid: 6\r\ndata: y\r\n\r\nid: 7\ndata: z\n\n";
    for (size_t first = 0; first <= all.size(); ++first)
      for (size_t second = first; second <= all.size(); ++second) {
        EventSplitter events;
        std::string out = events.Feed(all.substr(0, first));
        out += events.Feed(all.substr(first, second - first));
        out += events.Feed(all.substr(second));
        CPPUNIT_ASSERT_EQUAL(all, out);
        CPPUNIT_ASSERT_EQUAL(int64_t{7}, events.last_id());
      }
  }

  // Thirteen instances, each with its own window and news that are half a
  // second old, retry at once: together they must stay within the budget.
  void RetryWindowBoundsAllInstances() {
    constexpr int kInstances = 13;
    constexpr double kRatio = 0.2;
    constexpr double kSlack = 425;
    std::vector<RetryWindow> windows(kInstances,
                                     RetryWindow(kRatio, kSlack, seconds(10)));
    RetryWindow::Counts heard;
    double requests = 0;
    double retries = 0;
    for (int tick = 0; tick < 100; ++tick) {
      const TimePoint now(milliseconds(100) * (tick + 1000));
      for (RetryWindow& window : windows) {
        window.OnRequest(now);
        ++requests;
        for (int wish = 0; wish < 10; ++wish) {
          retries += window.TryRetry(now, heard, kInstances - 1, true) ? 1 : 0;
        }
      }
      if (tick % 5 != 4)
        continue;
      heard = {};
      for (const RetryWindow& window : windows) {
        heard.requests += window.LocalCounts(now).requests;
        heard.retries += window.LocalCounts(now).retries;
      }
    }
    CPPUNIT_ASSERT(retries <= kRatio * requests + kSlack);
    CPPUNIT_ASSERT(retries > 0.3 * kSlack);
  }

  // A stream that is broken off has cost its client more than a refusal.
  void LastRetriesAreForAnswersInProgress() {
    RetryWindow window(0, 100, seconds(10));
    const TimePoint start(seconds(1000));
    int fresh = 0;
    while (window.TryRetry(start, {}, 0, false))
      ++fresh;
    int begun = 0;
    while (window.TryRetry(start, {}, 0, true))
      ++begun;
    CPPUNIT_ASSERT(fresh > 0);
    CPPUNIT_ASSERT(begun > 0);
    CPPUNIT_ASSERT(fresh + begun <= 100);
  }

  // After a loss of all instances each of 133 had the whole slack again, and
  // knew nothing of what had been sent before (malabar-gnomon grown, a drawn
  // day: BUDGET).
  void StartedInstancesDoNotSpendTheSlackAnew() {
    constexpr int kInstances = 133;
    constexpr double kSlack = 557;
    const TimePoint start(seconds(1000));
    const auto spend = [&](RetryWindow& window) {
      int sent = 0;
      while (window.TryRetry(start, {}, 0, true))
        ++sent;
      return sent;
    };
    int alone = 0;
    for (int i = 0; i < kInstances; ++i) {
      RetryWindow window(0.2, kSlack, seconds(10));
      window.SetHistoryCoverage(RetryWindow::HistoryCoverage::kLocalOnly);
      alone += spend(window);
    }
    CPPUNIT_ASSERT(alone > 0);
    CPPUNIT_ASSERT(alone < kSlack);
    RetryWindow before(0.2, kSlack, seconds(10));
    RetryWindow after(0.2, kSlack, seconds(10));
    after.SetHistoryCoverage(RetryWindow::HistoryCoverage::kSinceStart);
    CPPUNIT_ASSERT(spend(before) + spend(after) <= kSlack);
  }

  void RetryWindowForgets() {
    RetryWindow window(0, 10, seconds(10));
    const TimePoint start(seconds(1000));
    int allowed = 0;
    for (int i = 0; i < 20; ++i)
      allowed += window.TryRetry(start, {}, 0, true) ? 1 : 0;
    CPPUNIT_ASSERT(allowed > 0 && allowed <= 10);
    CPPUNIT_ASSERT(!window.TryRetry(start + seconds(5), {}, 0, true));
    CPPUNIT_ASSERT(window.TryRetry(start + seconds(11), {}, 0, true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTest);

}  // namespace
}  // namespace trefoilwick
