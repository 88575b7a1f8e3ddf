// The fault matrix: every expected fault at every step of the protocols. Runs
// the decision modules of several instances in virtual time.
//
// Arguments: --print prints the grid, --pairs N runs N pairs of faults,
// --seed S repeats the pair of that seed.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "fault_matrix_world.h"
#include "test_args.h"

namespace trefoilwick::matrix {
namespace {

// Runs of one cell, each with a different seed.
constexpr uint64_t kSeedsPerCell = 4;
constexpr int kThreads = 4;
// Pairs in a run without arguments, which should take a few seconds.
constexpr uint64_t kPairs = 60;
constexpr uint64_t kFirstPairSeed = 1'000'000;

// The reason why a cell cannot occur; empty when it can.
std::string ImpossibleReason(Fault fault, Step step) {
  const bool write_fault =
      fault == Fault::kStoreAnswerLost || fault == Fault::kStoreRequestLost;
  if (!write_fault)
    return "";
  switch (step) {
    case Step::kDiscover:
    case Step::kAccept:
    case Step::kPrefill:
    case Step::kMidStream:
    case Step::kFinish:
    case Step::kOrder:
    case Step::kJoin:
    case Step::kLeave:
      return "the step writes nothing to the store";
    case Step::kTableSync:
      return "the step only reads from the store";
    default:
      return "";
  }
}

struct Result {
  bool reached = true;
  Checker checker;
  bool failed() const { return !reached || !checker.clean(); }
};

struct Job {
  uint64_t seed = 0;
  std::vector<Injection> injections;
};

Result RunWorld(uint64_t seed,
                const std::vector<Injection>& injections,
                Mutation mutation = Mutation::kNone) {
  World world(seed, injections, mutation);
  world.Run();
  Result result{true, world.checker};
  for (const Injection& injection : injections)
    result.reached =
        result.reached && world.reached_steps.contains(injection.step);
  return result;
}

// Worlds share no state, so they can run in parallel.
std::vector<Result> RunAll(const std::vector<Job>& jobs) {
  std::vector<Result> results(jobs.size());
  std::atomic<size_t> next{0};
  const auto work = [&] {
    for (size_t i = next++; i < jobs.size(); i = next++)
      results[i] = RunWorld(jobs[i].seed, jobs[i].injections);
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i)
    threads.emplace_back(work);
  for (std::thread& thread : threads)
    thread.join();
  return results;
}

std::string CellName(const Injection& injection) {
  return std::string(kFaultNames.Name(injection.fault)) + "@" +
         std::string(kStepNames.Name(injection.step));
}

// Lines of KNOWN-RED.txt by cell: "fault_matrix_test CELL rule, rule; ...".
std::map<std::string, std::string> ReadKnownRed() {
  std::map<std::string, std::string> known;
  std::ifstream file(std::string(TREFOILWICK_SOURCE_DIR) + "/KNOWN-RED.txt");
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::string test;
    std::string cell;
    if (words >> test >> cell && test == "fault_matrix_test")
      known[cell] = line;
  }
  return known;
}

bool HasArg(const std::string& name) {
  const auto& args = TestArgs();
  return std::find(args.begin(), args.end(), name) != args.end();
}

std::optional<uint64_t> NumberArg(const std::string& name) {
  const auto& args = TestArgs();
  const auto it = std::find(args.begin(), args.end(), name);
  if (it == args.end() || it + 1 == args.end())
    return std::nullopt;
  return std::stoull(*(it + 1));
}

std::vector<Injection> MakePair(uint64_t seed) {
  Random random(seed);
  std::vector<Injection> pair;
  while (pair.size() < 2) {
    const Injection injection{
        static_cast<Fault>(random.UniformBelow(kFaultNames.rows().size())),
        static_cast<Step>(random.UniformBelow(kStepNames.rows().size()))};
    if (ImpossibleReason(injection.fault, injection.step).empty())
      pair.push_back(injection);
  }
  return pair;
}

class FaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultMatrixTest);
  CPPUNIT_TEST(CheckerDetectsPlantedViolations);
  CPPUNIT_TEST(InvariantsHoldForEveryFaultAndStep);
  CPPUNIT_TEST(InvariantsHoldForPairsOfFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against checks that never fail: each planted violation must be
  // counted under its own rule.
  void CheckerDetectsPlantedViolations() {
    struct Case {
      Mutation mutation;
      Rule rule;
      std::vector<Injection> injections;
    };
    const Case cases[] = {
        {Mutation::kNone, Rule::kMissingOutcome, {}},
        {Mutation::kLoseOutcome, Rule::kMissingOutcome, {}},
        {Mutation::kSecondOutcome, Rule::kTwoOutcomes, {}},
        {Mutation::kDispatchTwice, Rule::kRunTwice, {}},
        {Mutation::kDispatchAfterNotRun,
         Rule::kNotRunExecuted,
         {{Fault::kStoreDown, Step::kLedgerInsert}}},
        {Mutation::kRepeatLayers, Rule::kLayerOrder, {}},
        {Mutation::kSwapAnswers, Rule::kWrongAnswer, {}},
        {Mutation::kRevertTable, Rule::kTableRollback, {}},
        {Mutation::kLoseEdit, Rule::kEditLost, {}},
        {Mutation::kServeWhileLeaving, Rule::kWorkWhileLeaving, {}},
        {Mutation::kStopAtOnce, Rule::kAbortedByLeaving, {}},
        {Mutation::kMiscount, Rule::kBatchCounts, {}},
        {Mutation::kLoseItem, Rule::kItemLost, {}},
        {Mutation::kNoQuarantine,
         Rule::kServersLost,
         {{Fault::kCrashingRequest, Step::kPrefill}}},
        {Mutation::kStall, Rule::kSlowRecovery, {}},
    };
    for (const Case& c : cases) {
      const Result result = RunWorld(1, c.injections, c.mutation);
      const std::string name =
          "plant " + std::to_string(static_cast<int>(c.mutation)) + ": " +
          (result.checker.details.empty() ? "" : result.checker.details[0]);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, c.mutation != Mutation::kNone,
                                   result.checker.count(c.rule) > 0);
      if (c.mutation == Mutation::kNone)
        CPPUNIT_ASSERT_MESSAGE(name, result.checker.clean());
    }
  }

  // Guards against faults that break an invariant of the design, for each fault
  // at each step.
  void InvariantsHoldForEveryFaultAndStep() {
    if (NumberArg("--seed"))
      return;
    std::vector<Job> jobs;
    for (const auto& [fault, name] : kFaultNames.rows())
      for (const auto& [step, step_name] : kStepNames.rows())
        for (uint64_t seed = 1; seed <= kSeedsPerCell; ++seed)
          if (ImpossibleReason(fault, step).empty())
            jobs.push_back({seed, {{fault, step}}});
    const std::vector<Result> results = RunAll(jobs);
    std::map<std::string, bool> failed;
    for (size_t i = 0; i < jobs.size(); ++i) {
      const std::string cell = CellName(jobs[i].injections[0]);
      AddTotals(results[i]);
      failed[cell] = failed[cell] || results[i].failed();
      if (results[i].failed())
        ReportFailure(cell, {cell}, jobs[i].seed, results[i]);
    }
    for (const auto& [cell, line] : m_known)
      if (!failed[cell])
        m_unexpected << cell << " is in KNOWN-RED.txt and passes\n";
    if (HasArg("--print"))
      PrintGrid(failed);
    ExpectOnlyKnown();
  }

  // Guards against faults that break an invariant only in combination.
  void InvariantsHoldForPairsOfFaults() {
    std::vector<Job> jobs;
    if (const auto seed = NumberArg("--seed")) {
      jobs.push_back({*seed, MakePair(*seed)});
    } else {
      const uint64_t pairs = NumberArg("--pairs").value_or(kPairs);
      for (uint64_t i = 0; i < pairs; ++i)
        jobs.push_back({kFirstPairSeed + i, MakePair(kFirstPairSeed + i)});
    }
    int failures = 0;
    std::vector<Result> results = RunAll(jobs);
    for (size_t i = 0; i < jobs.size(); ++i) {
      const auto& [seed, pair] = jobs[i];
      AddTotals(results[i]);
      // One fault may prevent the step of the other from being reached.
      if (results[i].checker.clean())
        continue;
      results[i].reached = true;
      ++failures;
      const std::string first = CellName(pair[0]);
      const std::string second = CellName(pair[1]);
      ReportFailure(std::string(first).append(" and ").append(second),
                    {"pair:" + std::to_string(seed), first, second}, seed,
                    results[i]);
    }
    std::cout << "\n"
              << jobs.size() << " pairs of faults, " << failures
              << " with violations\n";
    if (HasArg("--print"))
      PrintTotals();
    ExpectOnlyKnown();
  }

 private:
  void AddTotals(const Result& result) {
    for (size_t i = 0; i < m_totals.size(); ++i)
      m_totals[i] += result.checker.counts[i];
  }

  // Whether an entry for one of `names` lists every rule that was violated.
  bool IsKnown(const std::vector<std::string>& names,
               const Result& result) const {
    return std::any_of(names.begin(), names.end(), [&](const auto& name) {
      const auto it = m_known.find(name);
      if (it == m_known.end() || !result.reached)
        return false;
      return std::all_of(kRuleNames.rows().begin(), kRuleNames.rows().end(),
                         [&](const auto& row) {
                           return result.checker.count(row.first) == 0 ||
                                  it->second.find(row.second) !=
                                      std::string::npos;
                         });
    });
  }

  void ReportFailure(const std::string& title,
                     const std::vector<std::string>& names,
                     uint64_t seed,
                     const Result& result) {
    const bool known = IsKnown(names, result);
    std::ostringstream text;
    text << (known ? "known red: " : "FAIL ") << title << " seed " << seed
         << (result.reached ? "" : " (step not reached)") << "\n";
    for (const std::string& detail : result.checker.details)
      text << "  " << detail << "\n";
    std::cout << text.str();
    if (!known)
      m_unexpected << text.str();
  }

  void PrintTotals() {
    std::cout << "Totals:\n";
    for (const auto& [rule, name] : kRuleNames.rows())
      std::cout << "  " << name << ": " << m_totals[static_cast<size_t>(rule)]
                << "\n";
  }

  void PrintGrid(const std::map<std::string, bool>& failed) {
    std::cout << "\n" << std::string(18, ' ');
    for (const auto& [step, name] : kStepNames.rows())
      std::cout << " " << name;
    int passed = 0;
    for (const auto& [fault, name] : kFaultNames.rows()) {
      std::cout << "\n" << name << std::string(18 - name.size(), ' ');
      for (const auto& [step, step_name] : kStepNames.rows()) {
        const auto it = failed.find(CellName({fault, step}));
        const bool fails = it != failed.end() && it->second;
        passed += it != failed.end() && !fails ? 1 : 0;
        std::cout << (it == failed.end() ? " n/a "
                      : fails            ? " FAIL"
                                         : " pass")
                  << std::string(step_name.size() - 4, ' ');
      }
    }
    std::cout << "\n\nCells that cannot occur:\n";
    for (const auto& [fault, name] : kFaultNames.rows())
      for (const auto& [step, unused] : kStepNames.rows())
        if (const auto reason = ImpossibleReason(fault, step); !reason.empty())
          std::cout << "  " << CellName({fault, step}) << ": " << reason
                    << "\n";
    std::cout << "\n"
              << passed << " cells pass, " << kSeedsPerCell << " runs each. ";
    PrintTotals();
  }

  void ExpectOnlyKnown() {
    const std::string unexpected = m_unexpected.str();
    CPPUNIT_ASSERT_MESSAGE(unexpected, unexpected.empty());
  }

  const std::map<std::string, std::string> m_known = ReadKnownRed();
  ViolationCounts m_totals{};
  std::ostringstream m_unexpected;
};
CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

}  // namespace
}  // namespace trefoilwick::matrix
