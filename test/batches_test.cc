#include "trefoilwick/batches.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "test_args.h"

namespace trefoilwick {
namespace {

constexpr Duration kStepDuration = std::chrono::seconds(1);
constexpr Duration kPauseDuration = std::chrono::seconds(60);

BatchSpec MakeSpec(const std::string& id, int items) {
  BatchSpec spec{id, "regina-club", "newsletter", "debate-70b", {}};
  for (int i = 0; i < items; ++i)
    spec.items.push_back({"prompt " + std::to_string(i), 8});
  return spec;
}

// Fault injected at one store call of a lease holder.
enum class Event : uint8_t {
  kUnavailable,
  kRequestLost,
  kAnswerLost,
  // The outcome of a write is reported as unknown; the write takes effect two
  // steps later.
  kDelayed,
  // Every call of every holder fails for a while.
  kOutage,
  kKilledBefore,
  kKilledAfter,
  // The holder is paused until its lease has expired, while the other one takes
  // one step.
  kPausedForOneStep,
  // The same, while the other holder completes the job.
  kPausedUntilCompletion,
};
inline constexpr auto kEventNames = MakeEnumTable<Event>({
    {Event::kUnavailable, "unavailable"},
    {Event::kRequestLost, "request lost"},
    {Event::kAnswerLost, "answer lost"},
    {Event::kDelayed, "delayed"},
    {Event::kOutage, "outage"},
    {Event::kKilledBefore, "killed before"},
    {Event::kKilledAfter, "killed after"},
    {Event::kPausedForOneStep, "paused for a step"},
    {Event::kPausedUntilCompletion, "paused to the end"},
});

// Defects injected between the holders and the stores, to show that the checks
// detect them.
enum class InjectedDefect : uint8_t {
  kNone,
  kNoVersionCheck,
  kNoFencingTokenInNames
};

class DefectiveStore final : public TableService, public ObjectStore {
 public:
  DefectiveStore(FakeStore& store, InjectedDefect defect)
      : m_store(store), m_defect(defect) {}
  absl::StatusOr<StoreRow> Get(const std::string& table,
                               const std::string& key) override {
    auto row = m_store.Get(table, key);
    delay_current_write = false;
    return row;
  }
  absl::StatusOr<std::vector<int64_t>> Transact(
      const StoreTransaction& transaction) override {
    StoreTransaction changed = transaction;
    if (m_defect == InjectedDefect::kNoVersionCheck)
      changed.checks.clear();
    auto versions = m_store.Transact(changed);
    if (std::exchange(delay_current_write, false))
      delayed_writes.emplace_back(
          [=, this] { (void)m_store.Transact(changed); });
    return versions;
  }
  absl::StatusOr<std::vector<StoreRow>> Scan(const std::string& table,
                                             const std::string& prefix,
                                             const std::string& after,
                                             int limit) override {
    auto rows = m_store.Scan(table, prefix, after, limit);
    delay_current_write = false;
    return rows;
  }
  absl::StatusOr<std::string> GetObject(const std::string& name) override {
    auto bytes = m_store.GetObject(WithoutFencingToken(name));
    delay_current_write = false;
    return bytes;
  }
  absl::Status PutObject(const std::string& name,
                         const std::string& bytes,
                         bool if_absent) override {
    const std::string stored = WithoutFencingToken(name);
    absl::Status status = m_store.PutObject(stored, bytes, if_absent);
    if (std::exchange(delay_current_write, false)) {
      delayed_writes.emplace_back(
          [=, this] { (void)m_store.PutObject(stored, bytes, if_absent); });
    }
    return status;
  }

  // The write in progress takes effect at a later step.
  bool delay_current_write = false;
  std::vector<std::function<void()>> delayed_writes;

 private:
  std::string WithoutFencingToken(const std::string& name) const {
    const size_t start = name.find("/results/");
    if (m_defect != InjectedDefect::kNoFencingTokenInNames ||
        start == std::string::npos)
      return name;
    return name.substr(0, start + 9) + name.substr(name.find('-', start));
  }
  FakeStore& m_store;
  InjectedDefect m_defect;
};

// Two instances that compete for the lease of one job, with events at given
// store calls.
class Trial {
 public:
  using Events = std::map<uint64_t, Event>;
  explicit Trial(Events events, InjectedDefect defect = InjectedDefect::kNone)
      : m_events(std::move(events)), m_defective_store(m_store, defect) {
    CPPUNIT_ASSERT(
        SubmitBatch(m_clock, m_store, m_store, MakeSpec("job", kItemCount))
            .ok());
    m_store.SetFaults(
        [this](const auto&, const auto&) { return OnStoreCall(); });
    for (int i = 0; i < 2; ++i)
      AddHolder();
  }

  // Returns the violated invariant; empty when there is none.
  std::string Execute() {
    constexpr int kMaxRounds = 300;
    for (int round = 0; round < kMaxRounds && !Finished(); ++round) {
      for (size_t i = 0; i < 2; ++i)
        StepHolder(i);
      m_clock.Advance(kStepDuration);
    }
    if (!Finished())
      ReportViolation("the job does not complete");
    else
      CheckReport();
    return m_violation;
  }
  uint64_t calls() const { return m_calls; }

 private:
  static constexpr int kItemCount = 9;

  struct Holder {
    std::unique_ptr<BatchRunner> runner;
    bool killed = false;
    bool active = false;
    // Items run but not yet reported.
    std::vector<BatchRunner::WorkItem> work{};
  };

  void AddHolder() {
    m_holders.push_back(
        {std::make_unique<BatchRunner>(m_clock, m_defective_store,
                                       m_defective_store, "same-name"),
         false, false});
  }

  void ReportViolation(const std::string& what) {
    if (m_violation.empty())
      m_violation = what;
  }

  // Runs a store call of the test itself, without faults.
  template <typename Call>
  auto WithoutFaults(Call call) {
    const bool before = std::exchange(m_without_faults, true);
    auto result = call();
    m_without_faults = before;
    return result;
  }

  bool Finished() {
    return WithoutFaults([&] {
             return GetBatchReport(m_store, m_store, "job");
           }).ok() ||
           !m_violation.empty();
  }

  void StepHolder(size_t index) {
    if (m_holders[index].killed)
      m_holders[index] = {
          std::make_unique<BatchRunner>(m_clock, m_defective_store,
                                        m_defective_store, "same-name"),
          false, false};
    if (m_holders[index].active)
      return;
    Holder& holder = m_holders[index];
    holder.active = true;
    const size_t before = std::exchange(m_current_holder, index);
    // Results are reported one step later and written in groups of several
    // sizes, so that events fall between any two of these actions.
    RunItems(*holder.runner, std::exchange(holder.work, {}));
    if (m_runs % 2 == 0)
      (void)holder.runner->Flush();
    if (!holder.killed)
      holder.work = holder.runner->PollForItems(2 + index);
    CheckReturnedItems(holder.work);
    m_current_holder = before;
    holder.active = false;
    if (++m_steps >= m_apply_delayed_at_step)
      ApplyDelayedWrites();
    CheckJob();
  }

  void ApplyDelayedWrites() {
    for (const auto& write :
         std::exchange(m_defective_store.delayed_writes, {})) {
      WithoutFaults([&] {
        write();
        return 0;
      });
    }
  }

  void CheckReturnedItems(const std::vector<BatchRunner::WorkItem>& work) {
    for (const BatchRunner::WorkItem& w : work) {
      if (m_recorded.count(w.index) != 0)
        ReportViolation("an item with a recorded outcome was returned to run");
      if (w.item.prompt != "prompt " + std::to_string(w.index))
        ReportViolation("wrong prompt");
    }
  }

  void RunItems(BatchRunner& runner,
                const std::vector<BatchRunner::WorkItem>& work) {
    for (const BatchRunner::WorkItem& w : work) {
      const bool retry = w.index == 2 && m_runs == 2;
      runner.OnItemDone(
          w.batch,
          {w.index,
           w.index == 4 ? ItemState::kNotFinished : ItemState::kFinished,
           "run " + std::to_string(++m_runs), "reason"},
          retry);
    }
  }

  StoreFault OnStoreCall() {
    if (m_without_faults)
      return StoreFault::kNone;
    Holder& holder = m_holders[m_current_holder];
    const uint64_t call = m_calls++;
    if (holder.killed || call < m_outage_until)
      return StoreFault::kUnavailable;
    const auto it = m_events.find(call);
    return it == m_events.end() ? StoreFault::kNone : Apply(it->second);
  }

  StoreFault Apply(Event event) {
    switch (event) {
      case Event::kUnavailable:
        return StoreFault::kUnavailable;
      case Event::kRequestLost:
        return StoreFault::kRequestLost;
      case Event::kAnswerLost:
        return StoreFault::kAnswerLost;
      case Event::kDelayed:
        m_defective_store.delay_current_write = true;
        m_apply_delayed_at_step = m_steps + 2;
        return StoreFault::kRequestLost;
      case Event::kOutage:
        m_outage_until = m_calls + 12;
        return StoreFault::kUnavailable;
      case Event::kKilledBefore:
        m_holders[m_current_holder].killed = true;
        return StoreFault::kUnavailable;
      case Event::kKilledAfter:
        m_holders[m_current_holder].killed = true;
        return StoreFault::kAnswerLost;
      case Event::kPausedForOneStep:
        PauseCurrentHolder(1);
        return StoreFault::kNone;
      case Event::kPausedUntilCompletion:
        PauseCurrentHolder(60);
        return StoreFault::kNone;
    }
    return StoreFault::kNone;
  }

  void PauseCurrentHolder(int steps) {
    m_clock.Advance(kPauseDuration);
    for (int i = 0; i < steps && !Finished(); ++i) {
      StepHolder(1 - m_current_holder);
      m_clock.Advance(kStepDuration);
    }
  }

  // Checks that the counts add up and agree with the items, and that no
  // recorded outcome changes.
  void CheckJob() {
    const auto counts =
        WithoutFaults([&] { return GetBatchCounts(m_store, "job"); });
    const auto items = WithoutFaults([&] {
      return ListBatchItems(m_defective_store, m_defective_store, "job");
    });
    if (!counts.ok() || !items.ok())
      return ReportViolation("the job cannot be read");
    if (counts->finished + counts->not_finished + counts->waiting !=
            kItemCount ||
        counts->waiting < 0 || counts->submitted != kItemCount)
      ReportViolation("counts do not add up");
    int finished = 0;
    int not_finished = 0;
    for (const BatchItemResult& item : *items) {
      if (item.state == ItemState::kWaiting) {
        if (m_recorded.count(item.index) != 0)
          ReportViolation("a recorded outcome was lost");
        continue;
      }
      ++(item.state == ItemState::kFinished ? finished : not_finished);
      const auto [it, added] = m_recorded.emplace(item.index, item.text);
      if (!added && it->second != item.text)
        ReportViolation("a recorded outcome changed");
    }
    if (finished != counts->finished || not_finished != counts->not_finished)
      ReportViolation("counts do not agree with the items");
  }

  void CheckReport() {
    CheckJob();
    if (!m_violation.empty())
      return;
    const auto report =
        WithoutFaults([&] { return GetBatchReport(m_store, m_store, "job"); });
    const auto json = nlohmann::json::parse(*report);
    if (json.at("finished") != kItemCount - 1 || json.at("not_finished") != 1 ||
        json.at("not_finished_items").at(0).at("index") != 4)
      ReportViolation("wrong report");
  }

  Events m_events;
  ManualClock m_clock;
  FakeStore m_store;
  DefectiveStore m_defective_store;
  std::vector<Holder> m_holders;
  size_t m_current_holder = 0;
  uint64_t m_calls = 0;
  uint64_t m_outage_until = 0;
  uint64_t m_steps = 0;
  uint64_t m_apply_delayed_at_step = 0;
  int m_runs = 0;
  bool m_without_faults = false;
  std::map<int, std::string> m_recorded;
  std::string m_violation;
};

class BatchesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BatchesTest);
  CPPUNIT_TEST(JobIsAcceptedOnlyOnceDurable);
  CPPUNIT_TEST(IdBelongsToOneJob);
  CPPUNIT_TEST(EmptyJobCompletes);
  CPPUNIT_TEST(ResultsAreWrittenInGroups);
  CPPUNIT_TEST(StopWritesResultsAndReleasesLease);
  CPPUNIT_TEST(StoreOutageLimitsStartedItems);
  CPPUNIT_TEST(InvariantsHoldForEachEventAtEachCall);
  CPPUNIT_TEST(InvariantsHoldForSampledEventTriples);
  CPPUNIT_TEST(InjectedDefectsAreDetected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a job that is accepted but lost, or rejected but run.
  void JobIsAcceptedOnlyOnceDurable() {
    for (const auto& row : kStoreFaultNames.rows()) {
      const StoreFault fault = row.first;
      for (int at = 0; at < 4; ++at) {
        FakeStore store;
        int calls = 0;
        store.SetFaults([&](const auto&, const auto&) {
          return calls++ == at ? fault : StoreFault::kNone;
        });
        const absl::Status status =
            SubmitBatch(m_clock, store, store, MakeSpec("job", 3));
        store.SetFaults({});
        const auto stored = GetBatch(store, store, "job");
        const std::string where =
            std::string(row.second) + " at " + std::to_string(at);
        if (status.ok())
          CPPUNIT_ASSERT_MESSAGE(where, stored->items.size() == 3);
        else if (status.code() == absl::StatusCode::kUnavailable)
          CPPUNIT_ASSERT_MESSAGE(where, !stored.ok());
        else
          CPPUNIT_FAIL(where + ": " + status.ToString());
        // Sending the same job again is accepted.
        CPPUNIT_ASSERT(
            SubmitBatch(m_clock, store, store, MakeSpec("job", 3)).ok());
      }
    }
  }

  void IdBelongsToOneJob() {
    FakeStore store;
    CPPUNIT_ASSERT(SubmitBatch(m_clock, store, store, MakeSpec("j", 3)).ok());
    BatchSpec other = MakeSpec("j", 3);
    other.account = "other";
    for (const BatchSpec& spec : {MakeSpec("j", 4), other}) {
      CPPUNIT_ASSERT(SubmitBatch(m_clock, store, store, spec).code() ==
                     absl::StatusCode::kFailedPrecondition);
    }
    for (const char* id : {"", "a/b", "a b"}) {
      CPPUNIT_ASSERT(
          SubmitBatch(m_clock, store, store, MakeSpec(id, 1)).code() ==
          absl::StatusCode::kInvalidArgument);
    }
    CPPUNIT_ASSERT_EQUAL(3, GetBatchCounts(store, "j")->submitted);
  }

  void EmptyJobCompletes() {
    FakeStore store;
    CPPUNIT_ASSERT(SubmitBatch(m_clock, store, store, MakeSpec("j", 0)).ok());
    RunUntilComplete(store, "j", 4);
  }

  // Guards against a store write per item.
  void ResultsAreWrittenInGroups() {
    FakeStore store;
    std::map<std::string, int> calls;
    store.SetFaults([&](const std::string& call, const auto&) {
      ++calls[call];
      return StoreFault::kNone;
    });
    CPPUNIT_ASSERT(
        SubmitBatch(m_clock, store, store, MakeSpec("j", 1000)).ok());
    RunUntilComplete(store, "j", 100);
    std::cout << " 1000 items: " << calls["transact"] << " row and "
              << calls["put_object"] << " object writes, "
              << calls["get"] + calls["scan"] << " row and "
              << calls["get_object"] << " object reads";
    CPPUNIT_ASSERT(calls["transact"] + calls["put_object"] <= 30);
  }

  // Guards against a planned stop that loses results or keeps the lease.
  void StopWritesResultsAndReleasesLease() {
    FakeStore store;
    CPPUNIT_ASSERT(SubmitBatch(m_clock, store, store, MakeSpec("j", 4)).ok());
    BatchRunner first(m_clock, store, store, "e1");
    const auto work = first.PollForItems(3);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, work.size());
    first.OnItemDone("j", {work[0].index, ItemState::kFinished, "t", ""},
                     false);
    CPPUNIT_ASSERT(first.Stop().ok());
    CPPUNIT_ASSERT_EQUAL(1, GetBatchCounts(store, "j")->finished);
    BatchRunner second(m_clock, store, store, "e2");
    CPPUNIT_ASSERT_EQUAL(size_t{3}, second.PollForItems(9).size());
  }

  // Guards against running items whose results cannot be written: their number
  // is bounded, and no item is started under an expired lease.
  void StoreOutageLimitsStartedItems() {
    FakeStore store;
    CPPUNIT_ASSERT(
        SubmitBatch(m_clock, store, store, MakeSpec("j", 5000)).ok());
    BatchRunner runner(m_clock, store, store, "e1");
    auto work = runner.PollForItems(100);
    store.SetFaults(
        [](const auto&, const auto&) { return StoreFault::kUnavailable; });
    size_t started = 0;
    for (int i = 0; i < 100; ++i) {
      started += work.size();
      for (const auto& w : work)
        runner.OnItemDone("j", {w.index, ItemState::kFinished, "", ""}, false);
      work = runner.PollForItems(100);
    }
    CPPUNIT_ASSERT(started >= 100 && started <= 500);
    CPPUNIT_ASSERT(!runner.Flush().ok());
    m_clock.Advance(kPauseDuration);
    CPPUNIT_ASSERT(runner.PollForItems(100).empty());
    store.SetFaults({});
    CPPUNIT_ASSERT(runner.Flush().ok());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(started),
                         GetBatchCounts(store, "j")->finished);
    CPPUNIT_ASSERT(!runner.PollForItems(100).empty());
  }

  // Guards against counts that do not add up, against outcomes that are lost,
  // changed or computed again, and against jobs that never complete, for each
  // event at each store call.
  void InvariantsHoldForEachEventAtEachCall() {
    const uint64_t calls = StoreCallsPerJob();
    uint64_t trials = 0;
    for (const auto& [event, name] : kEventNames.rows()) {
      for (uint64_t call = 0; call < calls; ++call, ++trials) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            std::string(name) + " at call " + std::to_string(call),
            std::string(), Trial({{call, event}}).Execute());
      }
    }
    std::cout << " " << trials << " trials over " << calls << " calls";
  }

  void InvariantsHoldForSampledEventTriples() {
    const uint64_t calls = StoreCallsPerJob();
    const auto& events = kEventNames.rows();
    for (uint64_t seed = 0; seed < kTripleTrials; ++seed) {
      Random random(seed);
      Trial::Events chosen;
      for (int i = 0; i < 3; ++i)
        chosen[random.UniformBelow(calls + 20)] =
            events[random.UniformBelow(events.size())].first;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), Trial(chosen).Execute());
    }
    std::cout << " " << kTripleTrials << " trials of three events";
  }

  // Guards against checks that pass for a broken implementation.
  void InjectedDefectsAreDetected() {
    for (const InjectedDefect defect :
         {InjectedDefect::kNoVersionCheck,
          InjectedDefect::kNoFencingTokenInNames}) {
      std::string detected;
      for (const auto& [event, name] : kEventNames.rows())
        for (uint64_t call = 0; call < StoreCallsPerJob() && detected.empty();
             ++call)
          detected = Trial({{call, event}}, defect).Execute();
      std::cout << "\n  detected: " << detected;
      CPPUNIT_ASSERT(!detected.empty());
    }
  }

 private:
  static constexpr uint64_t kTripleTrials = 3'000 / kSanitizedTrialDivisor;

  static uint64_t StoreCallsPerJob() {
    Trial trial({});
    CPPUNIT_ASSERT_EQUAL(std::string(), trial.Execute());
    return trial.calls();
  }

  void RunUntilComplete(FakeStore& store, const std::string& id, size_t limit) {
    BatchRunner runner(m_clock, store, store, "e1");
    for (int i = 0; i < 100; ++i) {
      const auto work = runner.PollForItems(limit);
      CPPUNIT_ASSERT(work.size() <= limit);
      for (const auto& w : work)
        runner.OnItemDone(id, {w.index, ItemState::kFinished, "t", ""}, false);
      m_clock.Advance(kStepDuration);
      if (work.empty() && GetBatchReport(store, store, id).ok())
        return;
    }
    CPPUNIT_FAIL("the job does not complete");
  }

  ManualClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchesTest);

}  // namespace
}  // namespace trefoilwick
