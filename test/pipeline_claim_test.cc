// Claims, epochs and charges of ChainScheduler.
#include <cppunit/extensions/HelperMacros.h>

#include "pipeline_fake.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Submission MakeSubmission(const std::string& account, int max_tokens) {
  Submission s;
  s.account = account;
  s.prompt = "a few words";
  s.max_tokens = max_tokens;
  s.first_token_target = seconds(100);
  return s;
}

class PipelineClaimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PipelineClaimTest);
  CPPUNIT_TEST(FailedClaimsAreRetried);
  CPPUNIT_TEST(OneLossBacksOffOnce);
  CPPUNIT_TEST(RefusedClaimsBackOff);
  CPPUNIT_TEST(IdleSchedulerClaimsNothing);
  CPPUNIT_TEST(CancelledRequestsLeaveNoCharge);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a claim that is never retried or is retried endlessly, and
  // against reporting a server as failed after one lost call.
  void FailedClaimsAreRetried() {
    struct Case {
      std::optional<CallFailure> failure;
      int times;
      int reports;
      int claims;
      int max_first_token_ms;
    };
    const std::vector<Case> cases{
        {CallFailure::kNoReply, 1, 0, 3, 100},
        {CallFailure::kError, 1, 0, 3, 100},
        {CallFailure::kCrashed, 1, 1, 3, 100},
        {CallFailure::kNoReply, 4, 2, 7, 150},
        {std::nullopt, 1, 0, 3, 1200},
        {std::nullopt, 4, 2, 7, 2300},
    };
    for (const Case& c : cases) {
      FakeChainOptions options;
      options.stages = 2;
      FakeChain chain(options);
      chain.claim_fault_count = c.times;
      chain.claim_fault = c.failure;
      const TimePoint start = chain.now();
      CPPUNIT_ASSERT(chain.Submit("r", MakeSubmission("a", 2)));
      CPPUNIT_ASSERT(chain.RunToEnd());
      CPPUNIT_ASSERT_EQUAL(std::string(), chain.violation);
      CPPUNIT_ASSERT_EQUAL(size_t(c.reports), chain.failures.size());
      CPPUNIT_ASSERT_EQUAL(c.claims, chain.claims);
      CPPUNIT_ASSERT(chain.request("r").first_token - start <
                     milliseconds(c.max_first_token_ms));
      CPPUNIT_ASSERT(chain.request("r").state == UpdateState::kFinished);
    }
  }

  // Guards against a loss of the chain that is counted once per step in flight,
  // so that the backoff before the next claim grows to seconds.
  void OneLossBacksOffOnce() {
    FakeChain chain({});
    for (int i = 0; i < 40; ++i)
      CPPUNIT_ASSERT(
          chain.Submit("r" + std::to_string(i), MakeSubmission("a", 200)));
    chain.RunFor(milliseconds(500));
    std::vector<uint64_t> sent;
    chain.SetFaults([&](const SendStep& step, int) {
      sent.push_back(step.step_id);
      return StepFault::kNone;
    });
    chain.RunFor(milliseconds(30));
    const uint64_t newer = chain.scheduler().epoch() + (1 << 16);
    for (const uint64_t step : sent)
      chain.scheduler().OnStepFailure(chain.now(), step,
                                      CallFailure::kStaleEpoch, newer);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, chain.scheduler().epoch());
    const int before = chain.tokens;
    chain.RunFor(milliseconds(150));
    CPPUNIT_ASSERT_GREATER(before, chain.tokens);
    CPPUNIT_ASSERT(chain.scheduler().epoch() > newer);
    CPPUNIT_ASSERT_EQUAL(std::string(), chain.violation);
    CPPUNIT_ASSERT_EQUAL(0, chain.lineage_renewals);
  }

  // Guards against a scheduler that claims without backoff while another one
  // always has a newer epoch.
  void RefusedClaimsBackOff() {
    FakeChain chain({});
    chain.claim_fault_count = 1'000'000;
    chain.claim_fault = CallFailure::kStaleEpoch;
    CPPUNIT_ASSERT(chain.Submit("r", MakeSubmission("a", 2)));
    chain.RunFor(seconds(60));
    CPPUNIT_ASSERT(chain.claims > 30 && chain.claims < 120);
    chain.claim_fault_count = 0;
    CPPUNIT_ASSERT(chain.RunToEnd(seconds(8)));
  }

  // Guards against a scheduler without work that takes the chain from one that
  // has work.
  void IdleSchedulerClaimsNothing() {
    FakeChain chain({}, 2);
    CPPUNIT_ASSERT(chain.Submit("r", MakeSubmission("a", 50)));
    CPPUNIT_ASSERT(chain.RunToEnd());
    CPPUNIT_ASSERT_EQUAL(3, chain.claims);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, chain.scheduler(1).epoch());
  }

  // Guards against expected service of cancelled requests that counts against
  // their account forever.
  void CancelledRequestsLeaveNoCharge() {
    FakeChainOptions options;
    options.scheduler.max_batch = 2;
    FakeChain chain(options);
    for (int i = 0; i < 8; ++i)
      CPPUNIT_ASSERT(
          chain.Submit("c" + std::to_string(i), MakeSubmission("a", 100'000)));
    chain.RunFor(seconds(1));
    for (int i = 0; i < 7; ++i)
      chain.Cancel("c" + std::to_string(i));
    for (int i = 0; i < 400; ++i)
      CPPUNIT_ASSERT(chain.Submit((i % 2 ? "a" : "b") + std::to_string(i),
                                  MakeSubmission(i % 2 ? "a" : "b", 20)));
    chain.Cancel("c7");
    chain.RunFor(seconds(6));
    int tokens[2]{};
    for (const auto& [id, r] : chain.requests())
      if (id[0] != 'c')
        tokens[id[0] == 'a'] += static_cast<int>(r.tokens.size());
    CPPUNIT_ASSERT(tokens[0] > 1000 && tokens[1] > 1000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, 1.0 * tokens[0] / tokens[1], 0.1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelineClaimTest);

}  // namespace
}  // namespace trefoilwick
