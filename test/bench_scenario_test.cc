#include "bench_scenario.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <sstream>

#include "trefoilwick/table.h"

namespace trefoilwick::bench {
namespace {

Scenario SmallScenario() {
  Scenario scenario;
  scenario.name = "small";
  scenario.model = "m";
  scenario.prefix_share = 0.5;
  scenario.prefix_count = 2;
  scenario.prefix_words = 8;
  Workload work;
  work.kind = "query";
  work.rank = Rank::kOrdinary;
  work.first_token_ms = 1000;
  work.between_tokens_ms = 100;
  work.prompt_length = {20, 0.5, 100};
  work.answer_length = {20, 0.8, 200};
  scenario.workloads = {work};
  scenario.accounts = {{"large", 4, Rank::kUrgent, 0.7, 0},
                       {"small", 1, Rank::kOrdinary, 0.3, 0},
                       {"batch-only", 1, Rank::kBatch, 1, 0}};
  return scenario;
}

class BenchScenarioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BenchScenarioTest);
  CPPUNIT_TEST(SameSeedGivesSameJobs);
  CPPUNIT_TEST(OffersTheRequestedRate);
  CPPUNIT_TEST(RespectsRankLimits);
  CPPUNIT_TEST(OperatorTableIsValid);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against runs that cannot be repeated from the printed seed.
  void SameSeedGivesSameJobs() {
    const Scenario scenario = SmallScenario();
    const auto flows = MixedFlows(scenario, 2000, 5);
    const auto a = MakeJobs(scenario, flows, 7);
    const auto b = MakeJobs(scenario, flows, 7);
    CPPUNIT_ASSERT_EQUAL(a.size(), b.size());
    for (size_t i = 0; i < a.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(a[i].arrival_time, b[i].arrival_time);
      CPPUNIT_ASSERT_EQUAL(a[i].prompt, b[i].prompt);
      CPPUNIT_ASSERT_EQUAL(a[i].tokens, b[i].tokens);
    }
  }

  // Guards against a load that is lighter than reported, which happens when the
  // mean length ignores that long lengths are clamped.
  void OffersTheRequestedRate() {
    const Scenario scenario = SmallScenario();
    const double seconds = 100;
    double tokens = 0;
    double previous_arrival_time = 0;
    for (const Job& job :
         MakeJobs(scenario, MixedFlows(scenario, 2000, seconds), 1)) {
      CPPUNIT_ASSERT(job.arrival_time >= previous_arrival_time);
      previous_arrival_time = job.arrival_time;
      tokens += job.tokens;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, tokens / seconds, 100);
  }

  // Guards against jobs that are refused for their rank, which lowers the load.
  void RespectsRankLimits() {
    const Scenario scenario = SmallScenario();
    std::set<std::string> accounts;
    for (const Job& job : MakeJobs(scenario, MixedFlows(scenario, 2000, 10), 1))
      accounts.insert(job.account);
    CPPUNIT_ASSERT(accounts == (std::set<std::string>{"large", "small"}));
  }

  // Guards against a scenario whose operators' table the daemons reject.
  void OperatorTableIsValid() {
    Scenario scenario = SmallScenario();
    scenario.accounts[1].tokens_per_second = 100;
    Findings findings;
    const std::vector<std::string> models{scenario.model};
    const auto parsed =
        ParseTable(OperatorTableToml(scenario), "scenario", models, findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BenchScenarioTest);

}  // namespace
}  // namespace trefoilwick::bench
