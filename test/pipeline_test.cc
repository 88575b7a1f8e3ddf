#include "trefoilwick/pipeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "pipeline_fake.h"
#include "test_args.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Submission MakeSubmission(const std::string& prompt, int max_tokens) {
  Submission s;
  s.prompt = prompt;
  s.max_tokens = max_tokens;
  s.fingerprint = StableHash(prompt);
  s.first_token_target = seconds(100);
  return s;
}

std::string Words(int count, const std::string& word = "w") {
  std::string text;
  for (int i = 0; i < count; ++i)
    text += word + std::to_string(i) + " ";
  return text;
}

void AssertNoViolation(const FakeChain& chain) {
  CPPUNIT_ASSERT_EQUAL(std::string(), chain.violation);
}

// Checks that every request finished with exactly one final update.
void AssertFinished(FakeChain& chain) {
  CPPUNIT_ASSERT(chain.RunToEnd());
  AssertNoViolation(chain);
  for (const auto& [id, r] : chain.requests()) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 1, r.final_updates);
    CPPUNIT_ASSERT_MESSAGE(id + " " + r.reason,
                           r.state == UpdateState::kFinished);
  }
}

class PipelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PipelineTest);
  CPPUNIT_TEST(RunsRequestsAndReleasesKv);
  CPPUNIT_TEST(ResumesAfterReceivedTokens);
  CPPUNIT_TEST(SurvivesEveryFaultAtEveryStage);
  CPPUNIT_TEST(RepliesToUnknownStepsAreDropped);
  CPPUNIT_TEST(RefusalsGiveTheirReason);
  CPPUNIT_TEST(FullQueueAdmitsSmallAccounts);
  CPPUNIT_TEST(RetryAfterMatchesActualWait);
  CPPUNIT_TEST(CompetingSchedulersMakeProgress);
  CPPUNIT_TEST(OldRunIsDroppedAfterResubmission);
  CPPUNIT_TEST(OnlyCrashingRequestIsQuarantined);
  CPPUNIT_TEST(DuplicatesOfCrashingRequestAreQuarantined);
  CPPUNIT_TEST(CancelAtEveryStepReleasesKv);
  CPPUNIT_TEST(CancelDuringSlowStepReleasesKv);
  CPPUNIT_TEST(CancelEntryEndsItsRequests);
  CPPUNIT_TEST(ReleasedChainReportsEveryRequestOnce);
  CPPUNIT_TEST(PlannedReplacementKeepsRequests);
  CPPUNIT_TEST(LongPromptsDoNotDelayOthers);
  CPPUNIT_TEST(UrgentFloodPreemptsBatchWork);
  CPPUNIT_TEST(RandomFaultsLoseNoRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against missing or wrong tokens without any fault, prompts that are
  // split wrongly into chunks, and KV that is never released.
  void RunsRequestsAndReleasesKv() {
    FakeChainOptions options;
    options.scheduler.max_prefill_tokens = 10;
    FakeChain chain(options);
    for (int i = 0; i < 100; ++i) {
      Submission s =
          MakeSubmission(Words(i % 37, "p" + std::to_string(i)), 1 + i % 9);
      s.account = "a" + std::to_string(i % 5);
      CPPUNIT_ASSERT(chain.Submit("r" + std::to_string(i), s));
    }
    AssertFinished(chain);
    chain.RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, chain.HeldKvCount());
    CPPUNIT_ASSERT(chain.scheduler().idle());
    CPPUNIT_ASSERT_EQUAL(3, chain.claims);
  }

  // Guards against tokens that are generated again, or counted wrongly, when an
  // entry submits a request that already has tokens.
  void ResumesAfterReceivedTokens() {
    FakeChain chain({});
    for (const int received_count : {0, 3, 5}) {
      Submission s = MakeSubmission("one two", 5);
      std::vector<std::string> sequence{"one", "two"};
      for (int i = 0; i < received_count; ++i) {
        s.tokens.push_back(ExpectedToken("a", sequence, 3));
        sequence.push_back(s.tokens.back());
      }
      const std::string id = "r" + std::to_string(received_count);
      chain.requests()[id].tokens = s.tokens;
      CPPUNIT_ASSERT(chain.Submit(id, s));
    }
    AssertFinished(chain);
  }

  // Guards against lost, repeated or mixed-up tokens after one fault or two in
  // a row, at each stage, during prefill and during decode.
  void SurvivesEveryFaultAtEveryStage() {
    for (int fault = 1; fault < kStepFaultCount; ++fault)
      for (int stage = 0; stage < 3; ++stage)
        for (const int position : {0, 4, 14})
          for (const int times : {1, 2})
            RunOneFault(static_cast<StepFault>(fault), stage, position, times);
  }

  // Guards against acting on replies to steps that have ended or were never
  // sent.
  void RepliesToUnknownStepsAreDropped() {
    FakeChain chain({});
    CPPUNIT_ASSERT(chain.Submit("r", MakeSubmission("one two", 3)));
    chain.SetFaults([&](const SendStep& step, int) {
      ChainScheduler& s = chain.scheduler();
      const auto& item = step.items[0];
      s.OnStepReply(chain.now(), step.step_id + 1,
                    {{item.request, item.lineage, "1", "x", ""}});
      s.OnStepReply(chain.now(), step.step_id - 1,
                    {{item.request, item.lineage, "1", "x", ""}});
      s.OnStepFailure(chain.now(), 77, CallFailure::kCrashed);
      s.OnClaimReply(chain.now(), 0);
      s.OnClaimFailure(chain.now(), 99, CallFailure::kStaleEpoch, 1 << 30);
      return StepFault::kNone;
    });
    AssertFinished(chain);
    CPPUNIT_ASSERT_EQUAL(9, chain.steps);
  }

  // Guards against refusals without their reason, and against a duplicate that
  // runs twice.
  void RefusalsGiveTheirReason() {
    FakeChain chain({});
    ChainScheduler& scheduler = chain.scheduler();
    Submission s = MakeSubmission("one", 2);
    s.request = "r";
    s.lineage = 5;
    CPPUNIT_ASSERT(!scheduler.Submit(chain.now(), s));
    CPPUNIT_ASSERT_EQUAL(std::string("duplicate"),
                         scheduler.Submit(chain.now(), s)->reason);
    s.request = "r2";
    scheduler.StopAccepting();
    CPPUNIT_ASSERT_EQUAL(std::string("stopping"),
                         scheduler.Submit(chain.now(), s)->reason);
    auto none = ChainScheduler::Builder().Build(chain.now());
    CPPUNIT_ASSERT_EQUAL(std::string("no_chain"),
                         (*none)->Submit(chain.now(), s)->reason);
    ChainSchedulerOptions bad;
    bad.max_batch = 0;
    CPPUNIT_ASSERT(
        !ChainScheduler::Builder().Options(bad).Build(chain.now()).ok());
  }

  // Guards against a flood from one account that fills the batch queue, so that
  // no other account can queue requests.
  void FullQueueAdmitsSmallAccounts() {
    FakeChainOptions options;
    options.scheduler.max_queue = 20;
    options.scheduler.max_batch = 1;
    FakeChain chain(options);
    Submission s = MakeSubmission("one", 1000);
    s.rank = Rank::kBatch;
    int accepted = 0;
    for (int i = 0; i < 100; ++i)
      accepted += chain.Submit("f" + std::to_string(i), s) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(20, accepted);
    CPPUNIT_ASSERT_EQUAL(std::string("overloaded"), chain.refusal->reason);
    s.account = "small";
    accepted = 0;
    for (int i = 0; i < 100; ++i)
      accepted += chain.Submit("s" + std::to_string(i), s) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(10, accepted);
  }

  // Guards against an expected wait that differs widely from the actual wait,
  // and against a retry time after which the same request is refused again.
  void RetryAfterMatchesActualWait() {
    FakeChain chain({});
    Submission s = MakeSubmission("one two", 60);
    s.first_token_target = seconds(4);
    for (int i = 0; i < 64; ++i)
      CPPUNIT_ASSERT(chain.Submit("w" + std::to_string(i), s));
    chain.RunFor(seconds(3));
    int accepted = 0;
    while (chain.Submit("r" + std::to_string(accepted), s))
      ++accepted;
    CPPUNIT_ASSERT_EQUAL(std::string("overloaded"), chain.refusal->reason);
    const Duration retry = chain.refusal->retry_after;
    CPPUNIT_ASSERT(retry > Duration(0) && retry < seconds(1));
    chain.RunFor(2 * retry + milliseconds(500));
    CPPUNIT_ASSERT(chain.Submit("again", s));
    AssertFinished(chain);
    Duration longest{0};
    for (const auto& [id, r] : chain.requests())
      longest = std::max(longest, r.first_token - r.submitted);
    std::cerr << "\naccepted " << accepted << ", longest wait "
              << longest.count() / 1000 << " ms of 4000";
    CPPUNIT_ASSERT(longest > seconds(2) && longest < seconds(6));
  }

  // Guards against two schedulers with different views that take the chain from
  // each other at every step, and against one that never regains it.
  void CompetingSchedulersMakeProgress() {
    FakeChain chain({}, 2);
    for (int i = 0; i < 12; ++i)
      CPPUNIT_ASSERT(chain.Submit(
          "r" + std::to_string(i),
          MakeSubmission(Words(5, "r" + std::to_string(i)), 1200), i % 2));
    chain.RunFor(seconds(20));
    AssertNoViolation(chain);
    CPPUNIT_ASSERT_LESS(150, chain.claims);
    for (int i = 1; i < 12; i += 2)
      if (chain.request("r" + std::to_string(i)).final_updates == 0)
        chain.Cancel("r" + std::to_string(i), 1);
    const int claims = chain.claims;
    const TimePoint start = chain.now();
    CPPUNIT_ASSERT(chain.RunToEnd());
    AssertNoViolation(chain);
    std::cerr << "\ncontention: " << claims << " claims in 20 s, "
              << chain.claims - claims << " later, end after "
              << (chain.now() - start).count() / 1000 << " ms";
    CPPUNIT_ASSERT_LESS(10, chain.claims - claims);
    CPPUNIT_ASSERT(chain.now() - start < seconds(20));
  }

  // Guards against tokens of an old run that are accepted after the entry has
  // submitted the request elsewhere.
  void OldRunIsDroppedAfterResubmission() {
    FakeChain chain({}, 2);
    chain.resubmits = true;
    for (int i = 0; i < 6; ++i)
      CPPUNIT_ASSERT(
          chain.Submit("r" + std::to_string(i), MakeSubmission("p q", 60)));
    chain.RunFor(milliseconds(300));
    for (int i = 0; i < 6; ++i) {
      Submission s = MakeSubmission("p q", 60);
      s.tokens = chain.request("r" + std::to_string(i)).tokens;
      s.entry = chain.request("r" + std::to_string(i)).submission.entry;
      CPPUNIT_ASSERT(chain.Submit("r" + std::to_string(i), s, 1));
    }
    AssertFinished(chain);
    CPPUNIT_ASSERT_GREATER(0, chain.dropped_updates);
  }

  // Guards against a request that crashes more than two servers, causes other
  // requests to fail, or is never quarantined.
  void OnlyCrashingRequestIsQuarantined() {
    for (const int has_crashing_request : {0, 3, 9, 25}) {
      FakeChainOptions options;
      options.scheduler.max_prefill_tokens = 8;
      FakeChain chain(options);
      for (int i = 0; i < 40; ++i)
        CPPUNIT_ASSERT(chain.Submit(
            "r" + std::to_string(i),
            MakeSubmission(Words(5, "r" + std::to_string(i)), 30)));
      chain.request("r7").crash_position = has_crashing_request;
      const TimePoint start = chain.now();
      CPPUNIT_ASSERT(chain.RunToEnd());
      AssertNoViolation(chain);
      // The run takes 7 s when suspects stay isolated to their end.
      CPPUNIT_ASSERT(chain.now() - start < seconds(4));
      CPPUNIT_ASSERT_LESSEQUAL(2, chain.crashes);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, chain.crashing_requests.size());
      CPPUNIT_ASSERT(chain.request("r7").state == UpdateState::kQuarantined);
      for (const auto& [id, r] : chain.requests())
        CPPUNIT_ASSERT(id == "r7" || r.state == UpdateState::kFinished);
    }
  }

  // Guards against a caller that sends the same crashing request many times at
  // once, also through another scheduler and after the first duplicate was
  // cancelled.
  void DuplicatesOfCrashingRequestAreQuarantined() {
    FakeChain chain({});
    for (int i = 0; i < 100; ++i) {
      const bool bad = i % 7 == 0;
      const std::string id = (bad ? "bad" : "r") + std::to_string(i);
      CPPUNIT_ASSERT(chain.Submit(id, MakeSubmission(bad ? "x y" : "fine", 9)));
      chain.request(id).crash_position = bad ? 4 : -1;
    }
    chain.ScheduleEvent(milliseconds(80), [&] {
      for (auto& [id, r] : chain.requests())
        if (r.crash_position >= 0 && chain.crashes == 1 && r.final_updates == 0)
          return chain.Cancel(id);
    });
    CPPUNIT_ASSERT(chain.RunToEnd());
    AssertNoViolation(chain);
    CPPUNIT_ASSERT_LESSEQUAL(2, chain.crashes);
    CPPUNIT_ASSERT(!chain.Submit("late", MakeSubmission("x y", 9)));
    CPPUNIT_ASSERT_EQUAL(std::string("quarantined"), chain.refusal->reason);
    // A request that is isolated from the start crashes at most one server.
    FakeChain other({});
    Submission s = MakeSubmission("x y", 9);
    s.isolated = true;
    CPPUNIT_ASSERT(other.Submit("bad", s));
    other.request("bad").crash_position = 4;
    CPPUNIT_ASSERT(other.RunToEnd());
    CPPUNIT_ASSERT_EQUAL(1, other.crashes);
  }

  // Guards against updates after a cancel, KV that is not released and
  // disturbed other requests, for a cancel at any step.
  void CancelAtEveryStepReleasesKv() {
    for (int at = 1; at <= 40; ++at) {
      FakeChain chain({});
      for (int i = 0; i < 6; ++i)
        CPPUNIT_ASSERT(
            chain.Submit("r" + std::to_string(i),
                         MakeSubmission(Words(i, std::to_string(at)), 100)));
      TimePoint cancelled{};
      chain.SetFaults([&](const SendStep&, int) {
        if (chain.steps >= at && cancelled == TimePoint{}) {
          cancelled = chain.now();
          if (chain.request("r2").final_updates == 0)
            chain.Cancel("r2");
          chain.ScheduleEvent(milliseconds(999), [&] {
            CPPUNIT_ASSERT_EQUAL(size_t{5}, chain.scheduler().running());
            CPPUNIT_ASSERT_EQUAL(size_t{15}, chain.HeldKvCount());
          });
        }
        return StepFault::kNone;
      });
      CPPUNIT_ASSERT(chain.RunToEnd());
      chain.RunFor(seconds(2));
      AssertNoViolation(chain);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, chain.HeldKvCount());
    }
  }

  // Guards against KV that a step stores after its request was released.
  void CancelDuringSlowStepReleasesKv() {
    FakeChainOptions options;
    options.base_us = {700'000};
    options.deadline_us = 3'000'000;
    FakeChain chain(options);
    CPPUNIT_ASSERT(chain.Submit("r", MakeSubmission("one two", 6)));
    chain.RunFor(milliseconds(50));
    chain.Cancel("r");
    chain.RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, chain.HeldKvCount());
  }

  // Guards against requests that keep running for a lost entry.
  void CancelEntryEndsItsRequests() {
    FakeChain chain({});
    for (int i = 0; i < 20; ++i)
      CPPUNIT_ASSERT(
          chain.Submit("r" + std::to_string(i), MakeSubmission("p", 50)));
    chain.RunFor(milliseconds(100));
    for (auto& [id, r] : chain.requests())
      r.cancelled = r.submission.entry == "e0";
    chain.scheduler().CancelEntryRequests(chain.now(), "e0");
    CPPUNIT_ASSERT_EQUAL(size_t{10}, chain.scheduler().running());
    CPPUNIT_ASSERT(chain.RunToEnd());
    AssertNoViolation(chain);
  }

  // Guards against requests without a final update, or with two, when the chain
  // is released at any time, also during a claim and while a stage is missing.
  void ReleasedChainReportsEveryRequestOnce() {
    for (int at_ms = 0; at_ms < 200; at_ms += 3) {
      FakeChain chain({});
      chain.SetServersReplaceable(at_ms % 2 == 0);
      for (int i = 0; i < 90; ++i)
        CPPUNIT_ASSERT(
            chain.Submit("r" + std::to_string(i), MakeSubmission("p", 4)));
      bool crashed = false;
      chain.SetFaults([&](const SendStep&, int stage) {
        const bool crash = chain.steps > 20 && stage == 1 && !crashed;
        crashed = crashed || crash;
        return crash ? StepFault::kCrash : StepFault::kNone;
      });
      chain.RunFor(milliseconds(at_ms));
      chain.ReleaseChain(0, "chain_lost");
      CPPUNIT_ASSERT(chain.scheduler().idle());
      CPPUNIT_ASSERT(!chain.Submit("late", MakeSubmission("p", 4)));
      chain.RunFor(seconds(2));
      AssertNoViolation(chain);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, chain.HeldKvCount());
      for (const auto& [id, r] : chain.requests())
        CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 1, r.final_updates);
    }
  }

  // Guards against requests that are lost when a stage is replaced while its
  // server still works.
  void PlannedReplacementKeepsRequests() {
    FakeChain chain({});
    for (int i = 0; i < 30; ++i)
      CPPUNIT_ASSERT(
          chain.Submit("r" + std::to_string(i), MakeSubmission("p", 20)));
    chain.RunFor(milliseconds(150));
    const uint64_t epoch = chain.scheduler().epoch();
    chain.ReplaceStage(1);
    AssertFinished(chain);
    CPPUNIT_ASSERT_EQUAL(epoch, chain.scheduler().epoch());
    CPPUNIT_ASSERT_EQUAL(4, chain.claims);
    CPPUNIT_ASSERT_GREATER(0, chain.lineage_renewals);
  }

  // Guards against a long prompt that uses up the prefill budget, so that
  // urgent or short requests of the same micro-batch wait until it is read.
  void LongPromptsDoNotDelayOthers() {
    FakeChainOptions options;
    options.stages = 1;
    options.scheduler.extra_micro_batches = 0;
    options.scheduler.max_prefill_tokens = 50;
    FakeChain chain(options);
    for (int i = 0; i < 4; ++i)
      CPPUNIT_ASSERT(chain.Submit("long" + std::to_string(i),
                                  MakeSubmission(Words(3000), 2)));
    chain.RunFor(milliseconds(100));
    Submission urgent = MakeSubmission(Words(45), 2);
    urgent.rank = Rank::kUrgent;
    CPPUNIT_ASSERT(chain.Submit("urgent", urgent));
    CPPUNIT_ASSERT(chain.Submit("short", MakeSubmission(Words(20), 2)));
    AssertFinished(chain);
    const TimePoint start = chain.request("short").submitted;
    CPPUNIT_ASSERT(chain.request("urgent").first_token - start <
                   milliseconds(20));
    CPPUNIT_ASSERT(chain.request("short").first_token - start <
                   milliseconds(40));
  }

  // Guards against urgent requests that wait for batch work to end, and against
  // batch work with a floor that makes no progress.
  void UrgentFloodPreemptsBatchWork() {
    FakeChainOptions options;
    options.scheduler.max_batch = 4;
    options.scheduler.max_preemptions = 1000;
    FakeChain chain(options);
    Submission batch = MakeSubmission(Words(20), 200);
    batch.rank = Rank::kBatch;
    batch.kind_floor = 0.2;
    for (int i = 0; i < 60; ++i)
      CPPUNIT_ASSERT(chain.Submit("b" + std::to_string(i), batch));
    chain.RunFor(seconds(1));
    Submission urgent = MakeSubmission("now please", 10);
    urgent.rank = Rank::kUrgent;
    urgent.first_token_target = milliseconds(340);
    int refused = 0;
    for (int i = 0; i < 1000; ++i) {
      refused += chain.Submit("u" + std::to_string(i), urgent) ? 0 : 1;
      chain.RunFor(milliseconds(10));
    }
    int batch_tokens = 0;
    int late = 0;
    for (const auto& [id, r] : chain.requests()) {
      batch_tokens += id[0] == 'b' ? static_cast<int>(r.tokens.size()) : 0;
      late += id[0] == 'u' && r.first_token - r.submitted > milliseconds(340)
                  ? 1
                  : 0;
    }
    std::cerr << "\nurgent flood: " << refused << " refused, " << late
              << " late; batch tokens " << batch_tokens << " of "
              << chain.tokens << ", lineages renewed "
              << chain.lineage_renewals;
    CPPUNIT_ASSERT(chain.lineage_renewals > 0 && chain.lineage_renewals < 50);
    CPPUNIT_ASSERT_LESSEQUAL((1000 - refused) / 100, late);
    CPPUNIT_ASSERT_GREATER(chain.tokens / 6, batch_tokens);
    CPPUNIT_ASSERT(chain.RunToEnd(seconds(200)));
    AssertNoViolation(chain);
  }

  // Guards against combinations of faults that lose, repeat or mix up tokens or
  // leave a request without exactly one final update. The number of seeds can
  // be given as argument of the program.
  void RandomFaultsLoseNoRequest() {
    const uint64_t seeds =
        TestArgs().empty() ? 2000 : std::stoull(TestArgs().front());
    for (uint64_t seed = 1; seed <= seeds; ++seed)
      RunRandomFaults(seed);
    // A server is replaced for another scheduler while a lost step is retried.
    RunRandomFaults(11653);
    std::cerr << "\nrandom: " << m_request_count << " requests, "
              << m_fault_count << " faults";
  }

 private:
  void RunRandomFaults(uint64_t seed) {
    Random random(seed);
    FakeChainOptions options;
    options.stages = 1 + static_cast<int>(random.UniformBelow(4));
    options.scheduler.max_batch = 1 + static_cast<int>(random.UniformBelow(4));
    options.scheduler.max_prefill_tokens =
        1 + static_cast<int>(random.UniformBelow(8));
    const int schedulers = 1 + static_cast<int>(random.UniformBelow(2));
    FakeChain chain(options, schedulers);
    const uint64_t rate = 5 + random.UniformBelow(40);
    const bool has_crashing_request = random.UniformBelow(3) == 0;
    if (has_crashing_request)
      chain.requests()["r0"].crash_position =
          static_cast<int>(random.UniformBelow(6));
    if (random.UniformBelow(2) == 0)
      chain.crash_fault = StepFault::kCrashDuringCall;
    chain.SetFaults([&](const SendStep&, int) {
      if (random.UniformBelow(rate) != 0 ||
          chain.now().time_since_epoch() > std::chrono::hours(1) + seconds(3))
        return StepFault::kNone;
      ++m_fault_count;
      const auto fault =
          static_cast<StepFault>(1 + random.UniformBelow(kStepFaultCount - 1));
      const bool crash =
          fault == StepFault::kCrash || fault == StepFault::kCrashDuringCall;
      return has_crashing_request && crash ? StepFault::kStaleEpoch : fault;
    });
    SubmitRandomRequests(chain, random, schedulers);
    m_request_count += static_cast<int>(chain.requests().size());
    const std::string message = "seed " + std::to_string(seed);
    CPPUNIT_ASSERT_MESSAGE(message, chain.RunToEnd(seconds(300)));
    chain.RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string(), chain.violation);
    if (has_crashing_request)
      CPPUNIT_ASSERT_MESSAGE(message, chain.crashes <= 2);
    for (const auto& [id, r] : chain.requests())
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message + id, r.cancelled ? 0 : 1,
                                   r.final_updates);
  }

  // One request encounters `times` consecutive faults at a stage and position.
  void RunOneFault(StepFault fault, int stage, int position, int times) {
    const std::string name = "fault " + std::to_string(int(fault)) + " stage " +
                             std::to_string(stage) + " position " +
                             std::to_string(position) + " x" +
                             std::to_string(times);
    FakeChainOptions options;
    options.scheduler.max_prefill_tokens = 4;
    FakeChain chain(options);
    for (int i = 0; i < 8; ++i)
      CPPUNIT_ASSERT(
          chain.Submit("r" + std::to_string(i),
                       MakeSubmission(Words(10, std::to_string(i)), 12)));
    int left = times;
    chain.SetFaults([&](const SendStep& step, int at) {
      for (const StepItem& item : step.items)
        if (item.request == "r3" && at == stage && left > 0 &&
            item.position >= position) {
          --left;
          return fault;
        }
      return StepFault::kNone;
    });
    CPPUNIT_ASSERT_MESSAGE(name, chain.RunToEnd());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), chain.violation);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, left);
    const bool crash =
        fault == StepFault::kCrash || fault == StepFault::kCrashDuringCall;
    for (const auto& [id, r] : chain.requests())
      if (r.state != UpdateState::kFinished)
        CPPUNIT_ASSERT_MESSAGE(name, crash && times == 2);
    chain.RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, size_t{0}, chain.HeldKvCount());
  }

  // Submissions and cancels at random times in the first seconds.
  void SubmitRandomRequests(FakeChain& chain, Random& random, int schedulers) {
    const int count = 2 + static_cast<int>(random.UniformBelow(10));
    for (int i = 0; i < count; ++i) {
      const std::string id = "r" + std::to_string(i);
      Submission s =
          MakeSubmission(Words(static_cast<int>(random.UniformBelow(12)), id),
                         1 + static_cast<int>(random.UniformBelow(8)));
      s.fingerprint = StableHash(id);
      s.rank = static_cast<Rank>(random.UniformBelow(3));
      const int to = static_cast<int>(random.UniformBelow(schedulers));
      const bool cancel = random.UniformBelow(8) == 0;
      const Duration when(static_cast<int64_t>(random.UniformBelow(300'000)));
      const Duration after(static_cast<int64_t>(random.UniformBelow(200'000)));
      chain.requests()[id];
      chain.ScheduleEvent(when, [&chain, id, s, to] {
        CPPUNIT_ASSERT(chain.Submit(id, s, to));
      });
      if (cancel)
        chain.ScheduleEvent(when + after, [&chain, id, to] {
          if (chain.request(id).final_updates == 0)
            chain.Cancel(id, to);
        });
    }
  }

  int m_request_count = 0;
  int m_fault_count = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelineTest);

}  // namespace
}  // namespace trefoilwick
