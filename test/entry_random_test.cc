// Tests EntryRequests against a scheduler and a network with random faults.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <set>

#include "entry_harness.h"
#include "trefoilwick/entry.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using Harness = EntryHarness;

// A scheduler that replies and loses, repeats, delays and reorders updates at
// random. It generates the tokens t0, t1, ... of each run.
class RandomScheduler {
 public:
  RandomScheduler(Harness& harness, uint64_t seed)
      : m_harness(harness), m_random(seed) {}

  void Step() {
    for (; m_received_submits < m_harness.submits.size(); ++m_received_submits)
      ReceiveSubmission(m_harness.submits[m_received_submits].submission);
    const uint64_t choice = m_random.UniformBelow(100);
    if (choice < 3)
      m_harness.OnSchedulerUnavailable();
    else if (choice < 6)
      m_harness.chains = m_harness.chains.empty()
                             ? std::vector<std::string>{"c0", "c1"}
                             : std::vector<std::string>{};
    else if (!m_runs.empty())
      AdvanceRun(m_runs[m_random.UniformBelow(m_runs.size())]);
    if (!m_delayed_updates.empty() && m_random.UniformBelow(4) == 0) {
      const size_t index = m_random.UniformBelow(m_delayed_updates.size());
      m_harness.Deliver(m_delayed_updates[index]);
      if (m_random.UniformBelow(2) == 0)
        m_delayed_updates.erase(m_delayed_updates.begin() +
                                static_cast<int64_t>(index));
    }
    AnswerVerifications();
    m_harness.AdvanceTime(milliseconds(50));
  }
  // Requests that a run has started.
  std::set<std::string> started_requests;

 private:
  struct Run {
    Submission submission;
    uint64_t lineage = 0;
    uint64_t replaces = 0;
    int next_token = 0;
  };

  void ReceiveSubmission(const Submission& submission) {
    const uint64_t result = m_random.UniformBelow(10);
    const std::string id = submission.request;
    if (result == 0)
      return m_harness.OnSubmitFailed(id, true);
    if (result == 1)
      return m_harness.OnSubmitRefused(
          id, m_random.UniformBelow(2) == 0 ? "overloaded" : "no_chain");
    if (result > 2) {
      started_requests.insert(id);
      m_runs.push_back({submission, submission.lineage, 0,
                        static_cast<int>(submission.tokens.size())});
    }
    if (result == 2 || result == 3)
      m_harness.OnSubmitFailed(id, false);
    else
      m_harness.OnSubmitAccepted(id);
  }

  void AdvanceRun(Run& run) {
    TokenUpdate update;
    update.request = run.submission.request;
    if (m_random.UniformBelow(12) == 0) {
      run.replaces = run.lineage;
      run.lineage = 0x7000'0000'0000'0000 + ++m_last_new_lineage;
    }
    update.lineage = run.lineage;
    update.replaces = run.replaces;
    update.index = run.next_token;
    if (run.next_token >= run.submission.max_tokens)
      return;
    update.tokens.push_back("t" + std::to_string(run.next_token++));
    if (run.next_token == run.submission.max_tokens)
      update.state = UpdateState::kFinished;
    else if (m_random.UniformBelow(20) == 0)
      update.state = UpdateState::kFailed;
    const uint64_t result = m_random.UniformBelow(10);
    if (result > 0)
      m_harness.Deliver(update);
    if (result < 3)
      m_delayed_updates.push_back(update);
  }

  // Answers verifications with random requests reported as missing.
  void AnswerVerifications() {
    for (; m_answered_verifies < m_harness.verifies.size();
         ++m_answered_verifies) {
      std::vector<std::string> missing;
      for (const std::string& id :
           m_harness.verifies[m_answered_verifies].requests)
        if (m_random.UniformBelow(3) > 0)
          missing.push_back(id);
      m_harness.OnVerified(missing);
    }
  }

  Harness& m_harness;
  Random m_random;
  size_t m_received_submits = 0;
  size_t m_answered_verifies = 0;
  uint64_t m_last_new_lineage = 0;
  std::vector<Run> m_runs;
  std::vector<TokenUpdate> m_delayed_updates;
};

class EntryRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRandomTest);
  CPPUNIT_TEST(InvariantsHoldUnderRandomSchedules);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvariantsHoldUnderRandomSchedules();
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryRandomTest);

// Guards against violated invariants under a random order of events: one
// outcome, tokens in order and once, a finished answer is complete, not_run
// never ran.
void EntryRandomTest::InvariantsHoldUnderRandomSchedules() {
  std::array<int, kOutcomeNames.rows().size()> outcomes{};
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    const std::string message = "seed " + std::to_string(seed);
    Harness h;
    RandomScheduler scheduler(h, seed);
    std::vector<std::string> ids;
    for (int step = 0; step < 2000; ++step) {
      if (step < 60 && step % 10 == 0)
        ids.push_back(h.Accept());
      if (step == 700)
        h.chains = {"c0", "c1"};
      scheduler.Step();
      if (step > 60 && h.requests().active() == 0)
        break;
    }
    for (const std::string& id : ids) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, size_t{1}, h.FinalUpdateCount(id));
      const auto received = h.ReceivedTokens(id);
      for (size_t i = 0; i < received.size(); ++i)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, "t" + std::to_string(i),
                                     received[i]);
      for (const CallerUpdate& update : h.updates) {
        if (update.request != id || update.outcome == Outcome::kRunning)
          continue;
        ++outcomes[static_cast<size_t>(update.outcome)];
        if (update.outcome == Outcome::kFinished)
          CPPUNIT_ASSERT_EQUAL_MESSAGE(message, size_t{4}, received.size());
        if (update.outcome == Outcome::kNotRun)
          CPPUNIT_ASSERT_MESSAGE(message,
                                 !scheduler.started_requests.contains(id));
      }
    }
  }
  // The runs must reach every outcome, or the checks above prove little.
  CPPUNIT_ASSERT(outcomes[static_cast<size_t>(Outcome::kFinished)] > 100);
  CPPUNIT_ASSERT(outcomes[static_cast<size_t>(Outcome::kIncomplete)] > 20);
  CPPUNIT_ASSERT(outcomes[static_cast<size_t>(Outcome::kNotRun)] > 20);
}

}  // namespace
}  // namespace trefoilwick
