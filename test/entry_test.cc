#include "trefoilwick/entry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>

#include "entry_harness.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Harness = EntryHarness;

// States that a request can be in when an event arrives.
enum class State : uint8_t {
  kSubmitted,
  kAmbiguous,  // an earlier submission may run, the next one is in flight
  kAccepted,
  kStreaming,
  kUnrouted,  // accepted and waiting for a chain
  kFinished,
};
inline constexpr auto kStateNames = MakeEnumTable<State>({
    {State::kSubmitted, "submitted"},
    {State::kAmbiguous, "ambiguous"},
    {State::kAccepted, "accepted"},
    {State::kStreaming, "streaming"},
    {State::kUnrouted, "unrouted"},
    {State::kFinished, "finished"},
});

std::string AcceptInState(Harness& h, State state) {
  std::string id = h.Accept();
  switch (state) {
    case State::kSubmitted:
      break;
    case State::kAmbiguous:
      h.OnSubmitFailed(id, false);
      break;
    case State::kAccepted:
      h.OnSubmitAccepted(id);
      break;
    case State::kStreaming:
      h.OnSubmitAccepted(id);
      h.Deliver(h.MakeUpdate(id, 0, {"t0", "t1"}));
      break;
    case State::kUnrouted:
      h.OnSubmitAccepted(id);
      h.chains.clear();
      h.OnSchedulerUnavailable();
      break;
    case State::kFinished:
      h.OnSubmitAccepted(id);
      h.Deliver(h.MakeUpdate(id, 0, {"t0", "t1", "t2", "t3"},
                             UpdateState::kFinished));
      break;
  }
  return id;
}

class EntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryTest);
  CPPUNIT_TEST(RequestIdsRoundTrip);
  CPPUNIT_TEST(EveryEventInEveryState);
  CPPUNIT_TEST(NotRunOnlyWhenCertain);
  CPPUNIT_TEST(AcceptanceIsReportedOnce);
  CPPUNIT_TEST(TokensAreAppendedOnceInOrder);
  CPPUNIT_TEST(RestartKeepsReceivedTokens);
  CPPUNIT_TEST(StaleLineagesAreDropped);
  CPPUNIT_TEST(ReplacementLineageContinuesRequest);
  CPPUNIT_TEST(LateReplyStartsNoSecondRun);
  CPPUNIT_TEST(UpdatesOfOtherSchedulersAreDisowned);
  CPPUNIT_TEST(FinalStatesSetOutcome);
  CPPUNIT_TEST(SuspectIsResubmittedIsolated);
  CPPUNIT_TEST(RequestsWithoutUpdatesAreVerified);
  CPPUNIT_TEST(AcceptedRequestWaitsForChain);
  CPPUNIT_TEST(AttemptsAreBounded);
  CPPUNIT_TEST(OutcomesExpireAfterRetention);
  CPPUNIT_TEST(AbortGivesEveryRequestAnOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against ids whose owner cannot be parsed, for example when the name
  // of an instance contains dashes.
  void RequestIdsRoundTrip() {
    for (const RequestId& id :
         {RequestId{"e0", 1, 1}, RequestId{"a-b-c", 1'700'000'000'000'000, 77},
          RequestId{"x", 0, ~uint64_t{0}}}) {
      const auto parsed = ParseRequestId(FormatRequestId(id));
      CPPUNIT_ASSERT(parsed && *parsed == id);
    }
    for (const char* text : {"", "-", "a", "a-b", "-1-2", "a-1-", "a--2",
                             "a-g-1", "a-1-2x", "a-1-11111111111111111"})
      CPPUNIT_ASSERT_MESSAGE(text, !ParseRequestId(text));
  }

  // Guards against a wrong outcome, a lost request or a missing resubmission
  // for any event in any state.
  void EveryEventInEveryState() {
    using Event = std::function<void(Harness&, const std::string&)>;
    struct Expected {
      Outcome outcome;
      // Submissions and cancels that the event itself causes.
      size_t submits;
      size_t cancels;
    };
    struct Case {
      const char* name;
      Event event;
      // One per state, in the order of State.
      std::array<Expected, 6> expected;
    };
    constexpr Outcome kRuns = Outcome::kRunning;
    constexpr Outcome kDone = Outcome::kFinished;
    constexpr Outcome kCut = Outcome::kIncomplete;
    const Case cases[] = {
        {"accepted",
         [](Harness& h, const std::string& id) { h.OnSubmitAccepted(id); },
         {{{kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kDone, 0, 0}}}},
        {"certain submit failure",
         [](Harness& h, const std::string& id) { h.OnSubmitFailed(id, true); },
         {{{kRuns, 1, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kDone, 0, 0}}}},
        {"ambiguous submit failure",
         [](Harness& h, const std::string& id) { h.OnSubmitFailed(id, false); },
         {{{kRuns, 1, 1},
           {kRuns, 0, 1},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kDone, 0, 0}}}},
        {"refused: no_chain",
         [](Harness& h, const std::string& id) {
           h.OnSubmitRefused(id, "no_chain");
         },
         {{{kRuns, 1, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kDone, 0, 0}}}},
        {"scheduler lost",
         [](Harness& h, const std::string&) { h.OnSchedulerUnavailable(); },
         {{{kRuns, 1, 1},
           {kRuns, 0, 1},
           {kRuns, 1, 1},
           {kRuns, 1, 1},
           {kRuns, 0, 0},
           {kDone, 0, 0}}}},
        {"another scheduler lost",
         [](Harness& h, const std::string&) { h.OnSchedulerUnavailable("s9"); },
         {{{kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kRuns, 0, 0},
           {kDone, 0, 0}}}},
        {"verified missing",
         [](Harness& h, const std::string& id) { h.OnVerified({id}); },
         {{{kRuns, 1, 0},
           {kRuns, 1, 0},
           {kRuns, 1, 0},
           {kRuns, 1, 0},
           {kRuns, 0, 0},
           {kDone, 0, 0}}}},
        {"caller gone",
         [](Harness& h, const std::string& id) { h.OnCallerGone(id); },
         {{{kCut, 0, 1},
           {kCut, 0, 1},
           {kCut, 0, 1},
           {kCut, 0, 1},
           {kCut, 0, 0},
           {kDone, 0, 0}}}},
    };
    for (const Case& c : cases) {
      for (const auto& [state, name] : kStateNames.rows()) {
        Harness h;
        const std::string id = AcceptInState(h, state);
        const size_t submits = h.submits.size();
        const size_t cancels = h.cancels.size();
        c.event(h, id);
        const Expected& want = c.expected[static_cast<size_t>(state)];
        const std::string message =
            std::string(c.name) + " in state " + std::string(name);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            message, std::string(kOutcomeNames.Name(want.outcome)),
            std::string(kOutcomeNames.Name(h.OutcomeOf(id))));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, want.submits,
                                     h.submits.size() - submits);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, want.cancels,
                                     h.cancels.size() - cancels);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message,
                                     want.outcome == kRuns ? size_t{0} : 1,
                                     h.FinalUpdateCount(id));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message,
                                     want.outcome == kRuns ? size_t{1} : 0,
                                     h.requests().active());
      }
    }
  }

  // Guards invariant 3: not_run is reported only when no submission can have
  // started, for any order of certain and ambiguous events.
  void NotRunOnlyWhenCertain() {
    struct Case {
      const char* name;
      // c: certain failure, a: ambiguous failure, n: no_chain refusal,
      // o: overloaded refusal, y: accepted, l: scheduler lost.
      const char* events;
      Outcome outcome;
    };
    const Case cases[] = {
        {"no chain", "", Outcome::kNotRun},
        {"certain failures", "cc", Outcome::kNotRun},
        {"refusals", "nn", Outcome::kNotRun},
        {"overloaded twice", "oo", Outcome::kNotRun},
        {"certain, then refused", "cn", Outcome::kNotRun},
        {"ambiguous first", "an", Outcome::kIncomplete},
        {"ambiguous, then certain", "ac", Outcome::kIncomplete},
        {"certain, then ambiguous", "ca", Outcome::kIncomplete},
        {"overloaded, then ambiguous", "oa", Outcome::kIncomplete},
        {"ambiguous, then overloaded twice", "aoo", Outcome::kIncomplete},
        {"accepted, then lost", "yl", Outcome::kIncomplete},
        {"lost before an answer", "l", Outcome::kIncomplete},
    };
    for (const Case& c : cases) {
      Harness h;
      if (*c.events == '\0')
        h.chains.clear();
      const std::string id = h.Accept();
      for (const char* event = c.events; *event != '\0'; ++event) {
        // Later submissions are sent with the next retry of the route.
        if (event != c.events)
          h.AdvanceTime(milliseconds(200));
        if (event[1] == '\0')
          h.chains.clear();
        if (*event == 'c' || *event == 'a')
          h.OnSubmitFailed(id, *event == 'c');
        else if (*event == 'n' || *event == 'o')
          h.OnSubmitRefused(id, *event == 'n' ? "no_chain" : "overloaded");
        else if (*event == 'y')
          h.OnSubmitAccepted(id);
        else
          h.OnSchedulerUnavailable();
      }
      h.AdvanceTime(seconds(30));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          c.name, std::string(kOutcomeNames.Name(c.outcome)),
          std::string(kOutcomeNames.Name(h.OutcomeOf(id))));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, size_t{1}, h.FinalUpdateCount(id));
      if (c.outcome == Outcome::kNotRun)
        CPPUNIT_ASSERT_MESSAGE(c.name,
                               h.updates.back().retry_after > Duration(0));
    }
  }

  // Guards against a caller that is notified several times, or never, that its
  // request runs.
  void AcceptanceIsReportedOnce() {
    Harness h;
    const std::string id = h.Accept();
    CPPUNIT_ASSERT(h.updates.empty());
    h.OnSubmitAccepted(id);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.updates.size());
    h.OnSchedulerUnavailable();
    h.OnSubmitAccepted(id);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.updates.size());
  }

  // Guards invariant 2 against repeated, overlapping and missing updates.
  void TokensAreAppendedOnceInOrder() {
    struct Case {
      const char* name;
      int index;
      std::vector<std::string> tokens;
      size_t received_count;
      bool restarts;
    };
    const Case cases[] = {
        {"next", 2, {"t2"}, 3, false},
        {"duplicate", 0, {"t0", "t1"}, 2, false},
        {"overlap", 1, {"t1", "t2"}, 3, false},
        {"empty", 2, {}, 2, false},
        {"gap", 3, {"t3"}, 2, true},
    };
    for (const Case& c : cases) {
      Harness h;
      const std::string id = AcceptInState(h, State::kStreaming);
      const uint64_t before = h.lineage();
      h.Deliver(h.MakeUpdate(id, c.index, c.tokens));
      const std::vector<std::string> all{"t0", "t1", "t2", "t3"};
      const std::vector<std::string> want(
          all.begin(), all.begin() + static_cast<int64_t>(c.received_count));
      CPPUNIT_ASSERT_MESSAGE(c.name, h.ReceivedTokens(id) == want);
      CPPUNIT_ASSERT_MESSAGE(c.name, h.View(id).tokens == want);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.restarts, h.lineage() != before);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.restarts ? size_t{1} : 0,
                                   h.cancels.size());
    }
  }

  // Guards against a resubmission that generates received tokens again.
  void RestartKeepsReceivedTokens() {
    Harness h;
    const std::string id = AcceptInState(h, State::kStreaming);
    const uint64_t first = h.lineage();
    h.OnSchedulerUnavailable();
    const SubmitRequest& resubmission = h.submits.back();
    CPPUNIT_ASSERT(resubmission.submission.lineage != first);
    CPPUNIT_ASSERT((resubmission.submission.tokens ==
                    std::vector<std::string>{"t0", "t1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("c1"), resubmission.route.chain);
    h.OnSubmitAccepted(id);
    h.Deliver(h.MakeUpdate(id, 2, {"t2", "t3"}, UpdateState::kFinished));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.ReceivedTokens(id).size());
    CPPUNIT_ASSERT(h.OutcomeOf(id) == Outcome::kFinished);
  }

  // Guards against late tokens or failures of an abandoned run.
  void StaleLineagesAreDropped() {
    for (const UpdateState state :
         {UpdateState::kRunning, UpdateState::kFinished, UpdateState::kFailed,
          UpdateState::kQuarantined}) {
      Harness h;
      const std::string id = AcceptInState(h, State::kStreaming);
      const TokenUpdate stale = h.MakeUpdate(id, 2, {"x2", "x3"}, state);
      h.OnSchedulerUnavailable();
      h.OnSubmitAccepted(id);
      const size_t submits = h.submits.size();
      h.Deliver(stale);
      CPPUNIT_ASSERT_EQUAL(size_t{2}, h.ReceivedTokens(id).size());
      CPPUNIT_ASSERT(h.OutcomeOf(id) == Outcome::kRunning);
      CPPUNIT_ASSERT_EQUAL(submits, h.submits.size());
      CPPUNIT_ASSERT_EQUAL(uint64_t{1}, h.requests().dropped_updates());
    }
  }

  // Guards the restart of a request inside its scheduler: `replaces` must name
  // the current lineage, and each lineage is replaced only once.
  void ReplacementLineageContinuesRequest() {
    Harness h;
    const std::string id = AcceptInState(h, State::kStreaming);
    const uint64_t first = h.lineage();
    TokenUpdate update = h.MakeUpdate(id, 2, {"t2"});
    update.lineage = first + 1000;
    update.replaces = first + 1;
    h.Deliver(update);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.ReceivedTokens(id).size());
    update.replaces = 0;
    h.Deliver(update);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.ReceivedTokens(id).size());
    update.replaces = first;
    h.Deliver(update);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, h.ReceivedTokens(id).size());
    h.Deliver(h.MakeUpdate(id, 3, {"x3"}, UpdateState::kFinished));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, h.ReceivedTokens(id).size());
    update.index = 3;
    update.tokens = {"t3"};
    update.state = UpdateState::kFinished;
    h.Deliver(update);
    CPPUNIT_ASSERT(h.OutcomeOf(id) == Outcome::kFinished);
  }

  // Guards against a second run when the reply to a submission arrives after
  // the scheduler has already delivered tokens, also when the call fails.
  void LateReplyStartsNoSecondRun() {
    Harness h;
    const std::string id = h.Accept();
    h.Deliver(h.MakeUpdate(id, 0, {"t0"}));
    h.OnSubmitFailed(id, false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.submits.size());
    TokenUpdate update = h.MakeUpdate(id, 1, {"t1"});
    update.replaces = update.lineage;
    update.lineage += 1000;
    h.Deliver(update);
    h.OnSubmitAccepted(id);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.submits.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.ReceivedTokens(id).size());
  }

  // Guards against a scheduler that continues a request that has moved, and
  // against its tokens.
  void UpdatesOfOtherSchedulersAreDisowned() {
    for (const auto& [state, name] : kStateNames.rows()) {
      Harness h;
      const std::string id = AcceptInState(h, state);
      const size_t before = h.ReceivedTokens(id).size();
      const auto disowned =
          h.Deliver(h.MakeUpdate(id, static_cast<int>(before), {"x"}), "s9");
      CPPUNIT_ASSERT_MESSAGE(std::string(name), !disowned.empty());
      CPPUNIT_ASSERT_EQUAL(before, h.ReceivedTokens(id).size());
    }
    Harness h;
    AcceptInState(h, State::kAccepted);
    TokenUpdate unknown = h.MakeUpdate("e0-2a-999", 0, {"x"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.Deliver(unknown).size());
  }

  // Guards the outcome and resubmission for each final state that a scheduler
  // reports.
  void FinalStatesSetOutcome() {
    struct Case {
      UpdateState state;
      const char* reason;
      Outcome outcome;
      // Chain of the next submission; empty when there is none.
      const char* next;
    };
    const Case cases[] = {
        {UpdateState::kFinished, "", Outcome::kFinished, ""},
        {UpdateState::kQuarantined, "quarantined", Outcome::kIncomplete, ""},
        {UpdateState::kFailed, "chain_lost", Outcome::kRunning, "c1"},
        {UpdateState::kFailed, "moved", Outcome::kRunning, "c0"},
    };
    for (const Case& c : cases) {
      Harness h;
      const std::string id = AcceptInState(h, State::kStreaming);
      TokenUpdate update = h.MakeUpdate(id, 2, {"t2"}, c.state);
      update.reason = c.reason;
      h.Deliver(update);
      CPPUNIT_ASSERT(h.OutcomeOf(id) == c.outcome);
      CPPUNIT_ASSERT_EQUAL(size_t{3}, h.ReceivedTokens(id).size());
      const bool is_resubmitted = h.submits.size() == 2;
      CPPUNIT_ASSERT_EQUAL(std::string(c.next),
                           is_resubmitted ? h.submits.back().route.chain : "");
    }
  }

  // Guards against a crashing request that runs together with others at the
  // next chain and crashes one server after another.
  void SuspectIsResubmittedIsolated() {
    Harness h;
    const std::string id = AcceptInState(h, State::kStreaming);
    TokenUpdate update = h.MakeUpdate(id, 2, {}, UpdateState::kFailed);
    update.suspect = true;
    h.Deliver(update);
    CPPUNIT_ASSERT(h.submits.back().submission.isolated);
    h.OnSubmitAccepted(id);
    h.Deliver(h.MakeUpdate(id, 2, {}, UpdateState::kFailed));
    CPPUNIT_ASSERT(h.submits.back().submission.isolated);
  }

  // Guards against a request that waits forever for a scheduler that dropped
  // it, and against verifying continuously.
  void RequestsWithoutUpdatesAreVerified() {
    Harness h;
    const std::string id = AcceptInState(h, State::kStreaming);
    h.AdvanceTime(milliseconds(950));
    CPPUNIT_ASSERT(h.verifies.empty());
    h.AdvanceTime(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.verifies.size());
    CPPUNIT_ASSERT(h.verifies[0].requests == std::vector<std::string>{id});
    h.AdvanceTime(seconds(5));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.verifies.size());
    h.OnVerified({});
    h.AdvanceTime(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.verifies.size());
    h.OnVerified({id});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.submits.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c0"), h.submits.back().route.chain);
  }

  // Guards against an accepted request that does not wait for a chain, or waits
  // without end.
  void AcceptedRequestWaitsForChain() {
    for (const bool chain_returns : {true, false}) {
      Harness h;
      const std::string id = AcceptInState(h, State::kUnrouted);
      h.AdvanceTime(seconds(9));
      CPPUNIT_ASSERT(h.OutcomeOf(id) == Outcome::kRunning);
      if (chain_returns)
        h.chains = {"c0"};
      h.AdvanceTime(seconds(2));
      CPPUNIT_ASSERT(h.OutcomeOf(id) == (chain_returns ? Outcome::kRunning
                                                       : Outcome::kIncomplete));
      CPPUNIT_ASSERT_EQUAL(chain_returns ? size_t{2} : 1, h.submits.size());
    }
  }

  // Guards against a request that is resubmitted endlessly while every chain
  // fails it.
  void AttemptsAreBounded() {
    Harness h;
    const std::string id = h.Accept();
    for (int i = 0; i < 20 && h.OutcomeOf(id) == Outcome::kRunning; ++i) {
      h.OnSubmitAccepted(id);
      h.OnSchedulerUnavailable();
      h.AdvanceTime(milliseconds(200));
    }
    CPPUNIT_ASSERT(h.OutcomeOf(id) == Outcome::kIncomplete);
    CPPUNIT_ASSERT_EQUAL(size_t{6}, h.submits.size());
    CPPUNIT_ASSERT_EQUAL(std::string("attempts_exhausted"), h.View(id).reason);
  }

  // Guards against outcomes that are removed too early or kept forever.
  void OutcomesExpireAfterRetention() {
    Harness h;
    const std::string done = AcceptInState(h, State::kFinished);
    const std::string runs = h.Accept();
    h.OnSubmitAccepted(runs);
    h.AdvanceTime(seconds(59));
    CPPUNIT_ASSERT(h.OutcomeOf(done) == Outcome::kFinished);
    h.AdvanceTime(seconds(2));
    CPPUNIT_ASSERT(h.requests().Find(done) == nullptr);
    CPPUNIT_ASSERT(h.OutcomeOf(runs) == Outcome::kRunning);
  }

  // Guards the second SIGTERM: every request gets an outcome, and only a
  // request that cannot have started is not_run.
  void AbortGivesEveryRequestAnOutcome() {
    for (const auto& [state, name] : kStateNames.rows()) {
      Harness h;
      const std::string id = AcceptInState(h, state);
      h.AbortAll();
      CPPUNIT_ASSERT_MESSAGE(std::string(name),
                             h.OutcomeOf(id) == (state == State::kFinished
                                                     ? Outcome::kFinished
                                                     : Outcome::kIncomplete));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, h.FinalUpdateCount(id));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, h.requests().active());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryTest);

}  // namespace
}  // namespace trefoilwick
