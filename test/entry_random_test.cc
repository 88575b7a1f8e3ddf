// EntryRequests against a scheduler and a network that misbehave at random.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <set>

#include "entry_harness.h"
#include "trefoilwick/entry.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using Harness = EntryHarness;

// A scheduler that answers, loses, repeats, delays and reorders at random. It
// generates the tokens t0, t1, ... of each run.
class RandomScheduler {
 public:
  RandomScheduler(Harness& harness, uint64_t seed)
      : m_h(harness), m_random(seed) {}

  void Step() {
    for (; m_seen < m_h.submits.size(); ++m_seen)
      Receive(m_h.submits[m_seen].submission);
    const uint64_t choice = m_random.UniformBelow(100);
    if (choice < 3)
      m_h.OnSchedulerUnavailable();
    else if (choice < 6)
      m_h.chains = m_h.chains.empty() ? std::vector<std::string>{"c0", "c1"}
                                      : std::vector<std::string>{};
    else if (!m_runs.empty())
      Advance(m_runs[m_random.UniformBelow(m_runs.size())]);
    if (!m_late.empty() && m_random.UniformBelow(4) == 0) {
      const size_t pick = m_random.UniformBelow(m_late.size());
      m_h.Deliver(m_late[pick]);
      if (m_random.UniformBelow(2) == 0)
        m_late.erase(m_late.begin() + static_cast<int64_t>(pick));
    }
    Answer();
    m_h.AdvanceTime(milliseconds(50));
  }
  // Requests that some run started.
  std::set<std::string> ran;

 private:
  struct Run {
    Submission submission;
    uint64_t lineage = 0;
    uint64_t replaces = 0;
    int next = 0;
  };

  void Receive(const Submission& submission) {
    const uint64_t fate = m_random.UniformBelow(10);
    const std::string id = submission.request;
    if (fate == 0)
      return m_h.OnSubmitFailed(id, true);
    if (fate == 1)
      return m_h.OnSubmitRefused(
          id, m_random.UniformBelow(2) == 0 ? "overloaded" : "no_chain");
    if (fate > 2) {
      ran.insert(id);
      m_runs.push_back({submission, submission.lineage, 0,
                        static_cast<int>(submission.tokens.size())});
    }
    if (fate == 2 || fate == 3)
      m_h.OnSubmitFailed(id, false);
    else
      m_h.OnSubmitAccepted(id);
  }

  void Advance(Run& run) {
    TokenUpdate update;
    update.request = run.submission.request;
    if (m_random.UniformBelow(12) == 0) {
      run.replaces = run.lineage;
      run.lineage = 0x7000'0000'0000'0000 + ++m_lineages;
    }
    update.lineage = run.lineage;
    update.replaces = run.replaces;
    update.index = run.next;
    if (run.next >= run.submission.max_tokens)
      return;
    update.tokens.push_back("t" + std::to_string(run.next++));
    if (run.next == run.submission.max_tokens)
      update.state = UpdateState::kFinished;
    else if (m_random.UniformBelow(20) == 0)
      update.state = UpdateState::kFailed;
    const uint64_t fate = m_random.UniformBelow(10);
    if (fate > 0)
      m_h.Deliver(update);
    if (fate < 3)
      m_late.push_back(update);
  }

  // Answers verifications: what has no run, or ended, is missing.
  void Answer() {
    for (; m_verified < m_h.verifies.size(); ++m_verified) {
      std::vector<std::string> missing;
      for (const std::string& id : m_h.verifies[m_verified].requests)
        if (m_random.UniformBelow(3) > 0)
          missing.push_back(id);
      m_h.OnVerified(missing);
    }
  }

  Harness& m_h;
  Random m_random;
  size_t m_seen = 0;
  size_t m_verified = 0;
  uint64_t m_lineages = 0;
  std::vector<Run> m_runs;
  std::vector<TokenUpdate> m_late;
};

class EntryRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRandomTest);
  CPPUNIT_TEST(RandomSchedules);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RandomSchedules();
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryRandomTest);

// Guards the invariants of a request under any order of events: one outcome,
// tokens in order and once, a finished answer is whole, not_run never ran.
void EntryRandomTest::RandomSchedules() {
  std::array<int, kOutcomeNames.rows().size()> outcomes{};
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    const std::string at = "seed " + std::to_string(seed);
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
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, size_t{1}, h.FinalUpdateCount(id));
      const auto received = h.ReceivedTokens(id);
      for (size_t i = 0; i < received.size(); ++i)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(at, "t" + std::to_string(i), received[i]);
      for (const CallerUpdate& update : h.updates) {
        if (update.request != id || update.outcome == Outcome::kRunning)
          continue;
        ++outcomes[static_cast<size_t>(update.outcome)];
        if (update.outcome == Outcome::kFinished)
          CPPUNIT_ASSERT_EQUAL_MESSAGE(at, size_t{4}, received.size());
        if (update.outcome == Outcome::kNotRun)
          CPPUNIT_ASSERT_MESSAGE(at, !scheduler.ran.contains(id));
      }
    }
  }
  // The runs must reach every outcome, or they show little.
  CPPUNIT_ASSERT(outcomes[static_cast<size_t>(Outcome::kFinished)] > 100);
  CPPUNIT_ASSERT(outcomes[static_cast<size_t>(Outcome::kIncomplete)] > 20);
  CPPUNIT_ASSERT(outcomes[static_cast<size_t>(Outcome::kNotRun)] > 20);
}

}  // namespace
}  // namespace trefoilwick
