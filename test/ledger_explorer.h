// Explores interleavings of ledger calls and look-ups on one key: runs the
// production code one action at a time, with faults, and checks its guarantees.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "trefoilwick/ledger.h"

namespace trefoilwick {

// Chooses the branches of one run. In depth-first mode it replays a path and
// takes the first branch after it, and Advance() moves to the next path. In
// sampled mode the choices are random, from a seed.
class Chooser {
 public:
  void StartDepthFirst() { m_position = 0; }
  void StartSampled(uint64_t seed) {
    m_random = std::make_unique<Random>(seed);
  }
  size_t Choose(size_t branches) {
    if (m_random)
      return m_random->UniformBelow(branches);
    if (m_position == m_path.size())
      m_path.push_back({0, branches});
    return m_path[m_position++].first;
  }
  // Returns false after the last path.
  bool Advance() {
    while (!m_path.empty()) {
      auto& [branch, branches] = m_path.back();
      if (++branch < branches)
        return true;
      m_path.pop_back();
    }
    return false;
  }

 private:
  std::vector<std::pair<size_t, size_t>> m_path;
  size_t m_position = 0;
  std::unique_ptr<Random> m_random;
};

// A clock whose wall-clock time is `skew` ahead of a base clock's.
class SkewedClock final : public Clock {
 public:
  SkewedClock(const Clock& base, Duration skew) : m_base(base), m_skew(skew) {}
  TimePoint Now() const override { return m_base.Now(); }
  int64_t UnixMillis() const override {
    return m_base.UnixMillis() + m_skew.count() / 1000;
  }

 private:
  const Clock& m_base;
  Duration m_skew;
};

// Faults planted between the production code and its surroundings, to show that
// the checks detect them.
enum class Mutation : uint8_t {
  kNone,
  // The `sent` write is reported as successful but not made.
  kNoSentWrite,
  // The look-up seals a `sent` row as `not_run`.
  kSealSent,
  // The call's clock does not advance, so that its deadline never passes.
  kNoDeadline,
  // A write without a reply counts as successful.
  kTrustLostWrites,
  // Writes are made without their version check.
  kNoVersionCheck,
  // A dispatch without a response counts as not sent.
  kTrustLostDispatch,
  // A row in `unknown` is read as `not_run`.
  kRetryUnknown,
};
inline constexpr auto kMutationNames = MakeEnumTable<Mutation>({
    {Mutation::kNone, "none"},
    {Mutation::kNoSentWrite, "no sent write"},
    {Mutation::kSealSent, "sealed sent row"},
    {Mutation::kNoDeadline, "deadline not checked"},
    {Mutation::kTrustLostWrites, "lost write trusted"},
    {Mutation::kNoVersionCheck, "no version check"},
    {Mutation::kTrustLostDispatch, "lost dispatch trusted"},
    {Mutation::kRetryUnknown, "unknown retried"},
});

struct ActorSpec {
  bool is_look_up = false;
  std::string body = "b1";
  // The actor starts only after that actor was answered or killed; -1: at once.
  int start_after_actor = -1;
  // By how much the wall clock of the actor's entry is ahead.
  Duration clock_skew{0};
};

struct Scenario {
  std::string name;
  std::vector<ActorSpec> actors;
  // Max faults in one run: store, dispatch, suspension or kill.
  int max_faults = 1;
  // Max number of times an actor may be interrupted by another; -1: no limit.
  // An actor that waits or ends is not interrupted.
  int max_interruptions = -1;
};

struct Exploration {
  uint64_t runs = 0;
  bool exhausted = false;
  // Steps of the longest run.
  size_t longest_run_steps = 0;
  // Violated guarantee of the first failed run; empty when there is none.
  std::string violation;
};

namespace detail {

inline constexpr Duration kSuspensionDuration = std::chrono::seconds(60);

// State shared by the actors of a run.
struct SharedState {
  FakeStore store;
  ManualClock clock;
  std::vector<std::string> executed_attempts;
  std::set<std::string> reported_not_run;
  bool reported_unknown = false;
  // The next write of an actor is delayed.
  bool delay_next_write = false;
  // Writes and dispatches for which the sender no longer waits; they may arrive
  // at any later time.
  std::vector<std::function<void()>> in_flight;
  std::string violation;

  void RecordViolation(const std::string& description) {
    if (violation.empty())
      violation = description;
  }
};

// The store as an actor sees it, with a planted fault.
class MutatedStore final : public TableService {
 public:
  MutatedStore(SharedState& shared, Mutation mutation)
      : m_shared(shared), m_store(shared.store), m_mutation(mutation) {}
  absl::StatusOr<StoreRow> Get(const std::string& table,
                               const std::string& key) override {
    auto row = m_store.Get(table, key);
    if (m_mutation == Mutation::kRetryUnknown && row.ok())
      Replace(row->value, "\"unknown\"", "\"not_run\"");
    return row;
  }
  absl::StatusOr<std::vector<int64_t>> Transact(
      const StoreTransaction& transaction) override {
    StoreTransaction changed = transaction;
    std::string& value = changed.puts.front().value;
    const bool sent = value.find("\"sent\"") != std::string::npos;
    if (m_mutation == Mutation::kNoSentWrite && sent)
      return std::vector<int64_t>{changed.checks.front().version};
    if (m_mutation == Mutation::kSealSent && is_look_up)
      Replace(value, "\"unknown\"", "\"not_run\"");
    if (m_mutation == Mutation::kNoVersionCheck)
      changed.checks.clear();
    if (std::exchange(m_shared.delay_next_write, false)) {
      m_shared.in_flight.emplace_back([this, changed] {
        m_store.SetFaults({});
        (void)m_store.Transact(changed);
      });
      return MakeStatus(absl::StatusCode::kUnknown, "delayed");
    }
    auto versions = m_store.Transact(changed);
    if (m_mutation == Mutation::kTrustLostWrites &&
        versions.status().code() == absl::StatusCode::kUnknown)
      return std::vector<int64_t>{changed.checks.front().version + 1};
    return versions;
  }
  absl::StatusOr<std::vector<StoreRow>> Scan(const std::string& table,
                                             const std::string& prefix,
                                             const std::string& after,
                                             int limit) override {
    return m_store.Scan(table, prefix, after, limit);
  }
  bool is_look_up = false;

 private:
  static void Replace(std::string& text,
                      const std::string& from,
                      const std::string& to) {
    const size_t at = text.find(from);
    if (at != std::string::npos)
      text.replace(at, from.size(), to);
  }
  SharedState& m_shared;
  FakeStore& m_store;
  Mutation m_mutation;
};

// One caller at an entry, or one look-up.
struct Actor {
  Actor(SharedState& shared,
        const ActorSpec& spec,
        Mutation mutation,
        int index)
      : spec(spec),
        attempt("attempt-" + std::to_string(index)),
        wall_clock(shared.clock, spec.clock_skew),
        stopped_wall_clock(stopped_clock, spec.clock_skew),
        store(shared, mutation) {
    store.is_look_up = spec.is_look_up;
    const Clock& clock = mutation == Mutation::kNoDeadline
                             ? static_cast<const Clock&>(stopped_wall_clock)
                             : wall_clock;
    call = std::make_unique<LedgerCall>(
        clock, LedgerCallInput{.account = "a",
                               .key = "k",
                               .body_sha256 = spec.body,
                               .kind = "ballot",
                               .entry = "entry-" + std::to_string(index),
                               .request = "r",
                               .attempt = attempt});
  }
  bool Finished() const {
    return killed || (started && std::holds_alternative<LedgerEnd>(action));
  }

  const ActorSpec spec;
  std::string attempt;
  SkewedClock wall_clock;
  ManualClock stopped_clock;
  SkewedClock stopped_wall_clock;
  MutatedStore store;
  std::unique_ptr<LedgerCall> call;
  LedgerAction action;
  TimePoint start{};
  bool started = false;
  bool killed = false;
  int answers = 0;
  // `unknown` had already been reported when the dispatch was decided.
  bool dispatched_after_unknown = false;
};

class Run {
 public:
  Run(const Scenario& scenario, Mutation mutation, Chooser& chooser)
      : m_mutation(mutation),
        m_chooser(chooser),
        m_remaining_faults(scenario.max_faults),
        m_remaining_interruptions(scenario.max_interruptions) {
    for (const ActorSpec& spec : scenario.actors) {
      m_actors.push_back(std::make_unique<Actor>(
          m_shared, spec, mutation, static_cast<int>(m_actors.size())));
    }
  }

  std::string Execute() {
    while (StepOneActor(true) && m_shared.violation.empty())
      ++m_steps;
    for (const auto& actor : m_actors) {
      if (actor->answers > 1 || (!actor->killed && actor->answers != 1))
        m_shared.RecordViolation("an actor received " +
                                 std::to_string(actor->answers) + " answers");
    }
    for (const std::string& attempt : m_shared.executed_attempts) {
      if (m_shared.reported_not_run.count(attempt) != 0)
        m_shared.RecordViolation("reported as not_run, but executed: " +
                                 attempt);
    }
    if (m_shared.executed_attempts.size() > 1)
      m_shared.RecordViolation("executed more than once");
    return m_shared.violation;
  }
  size_t steps() const { return m_steps; }

 private:
  static constexpr size_t kMaxSteps = 400;

  // Runs one step of one actor. `outermost` is false within a look-up, which
  // makes several store calls and must not be entered again.
  bool StepOneActor(bool outermost) {
    std::vector<Actor*> ready;
    for (const auto& actor : m_actors) {
      const int after = actor->spec.start_after_actor;
      const bool can_start =
          after < 0 || m_actors[static_cast<size_t>(after)]->answers > 0 ||
          m_actors[static_cast<size_t>(after)]->killed;
      if (can_start && !actor->Finished() &&
          (outermost || !actor->spec.is_look_up))
        ready.push_back(actor.get());
    }
    const size_t in_flight_count = m_shared.in_flight.size();
    if (ready.empty() && in_flight_count == 0)
      return false;
    if (m_steps > kMaxSteps) {
      m_shared.RecordViolation("a run did not end");
      return false;
    }
    const bool interrupting = LimitChoices(ready);
    const bool only_last = interrupting && m_remaining_interruptions == 0;
    const size_t choice =
        only_last ? 0 : m_chooser.Choose(ready.size() + in_flight_count);
    if (interrupting && choice != 0)
      --m_remaining_interruptions;
    if (choice < ready.size())
      StepActor(*ready[choice]);
    else
      DeliverInFlight(choice - ready.size());
    return true;
  }

  // With a limit on interruptions: puts the last actor first and returns true
  // when it can continue; leaves it out when it waits and others can continue.
  bool LimitChoices(std::vector<Actor*>& ready) const {
    if (m_remaining_interruptions < 0)
      return false;
    const auto last = std::find(ready.begin(), ready.end(), m_last_actor);
    if (last == ready.end())
      return false;
    if (m_last_waited && ready.size() > 1) {
      ready.erase(last);
      return false;
    }
    std::iter_swap(ready.begin(), last);
    return !m_last_waited;
  }

  void DeliverInFlight(size_t index) {
    const auto deliver = m_shared.in_flight[index];
    m_shared.in_flight.erase(m_shared.in_flight.begin() +
                             static_cast<ptrdiff_t>(index));
    deliver();
  }

  void StepActor(Actor& actor) {
    m_last_actor = &actor;
    m_last_waited = std::holds_alternative<LedgerWait>(actor.action);
    if (!actor.started) {
      actor.started = true;
      actor.start = m_shared.clock.Now();
      if (!actor.spec.is_look_up) {
        actor.action = actor.call->Start();
        return;
      }
    }
    // 0: no fault, 1: killed before the action, 2: suspended before it, then
    // the faults of the action.
    const size_t fault = ChooseFault(3 + FaultKindCount(actor));
    if (fault == 1) {
      actor.killed = true;
      return;
    }
    if (fault == 2)
      m_shared.clock.Advance(kSuspensionDuration);
    if (actor.spec.is_look_up)
      StepLookUp(actor);
    else
      StepCall(actor, fault < 3 ? 0 : fault - 2);
  }

  size_t ChooseFault(size_t kinds) {
    if (m_remaining_faults == 0)
      return 0;
    const size_t fault = m_chooser.Choose(kinds);
    m_remaining_faults -= fault == 0 ? 0 : 1;
    return fault;
  }

  static size_t FaultKindCount(const Actor& actor) {
    if (actor.spec.is_look_up)
      return 0;
    if (std::holds_alternative<LedgerDispatch>(actor.action) ||
        std::holds_alternative<LedgerWrite>(actor.action))
      return 4;
    return std::holds_alternative<LedgerRead>(actor.action) ? 1 : 0;
  }

  static StoreFault ToStoreFault(size_t fault) {
    constexpr StoreFault kFaults[] = {
        StoreFault::kNone, StoreFault::kUnavailable, StoreFault::kRequestLost,
        StoreFault::kAnswerLost, StoreFault::kNone};
    return kFaults[fault];
  }

  // Store faults: those of ToStoreFault, and 4 for a delayed write.
  void StepCall(Actor& actor, size_t fault) {
    m_shared.delay_next_write =
        fault == 4 && std::holds_alternative<LedgerWrite>(actor.action);
    m_shared.store.SetFaults(
        [fault](const auto&, const auto&) { return ToStoreFault(fault); });
    const LedgerAdapter adapter{
        actor.store, LedgerKey("a", "k"),
        [&](Duration) { return OnDispatch(actor, fault); },
        [&](const LedgerAnswer& answer) { OnAnswer(actor, answer); },
        [&](Duration duration) { m_shared.clock.Advance(duration); }};
    actor.action = adapter.ExecuteAction(*actor.call, actor.action);
    if (std::holds_alternative<LedgerDispatch>(actor.action)) {
      if (m_shared.clock.Now() >=
          actor.start + LedgerCallInput().max_dispatch_delay)
        m_shared.RecordViolation("dispatch decided after the deadline");
      actor.dispatched_after_unknown = m_shared.reported_unknown;
    }
  }

  // Faults: 1 certainly not sent, 2 lost before execution, 3 response lost, 4
  // delayed: executed after the sender stopped waiting.
  DispatchResult OnDispatch(Actor& actor, size_t fault) {
    if (fault == 1)
      return {.status = {}, .body = {}, .certainly_not_sent = true};
    const bool counts_as_not_sent = m_mutation == Mutation::kTrustLostDispatch;
    if (fault == 2)
      return {
          .status = {}, .body = {}, .certainly_not_sent = counts_as_not_sent};
    if (actor.dispatched_after_unknown)
      m_shared.RecordViolation("executed after unknown was reported");
    if (fault == 4) {
      m_shared.in_flight.emplace_back([this, &actor] {
        m_shared.executed_attempts.push_back(actor.attempt);
      });
      return {
          .status = {}, .body = {}, .certainly_not_sent = counts_as_not_sent};
    }
    m_shared.executed_attempts.push_back(actor.attempt);
    if (fault == 3)
      return {
          .status = {}, .body = {}, .certainly_not_sent = counts_as_not_sent};
    return {.status = 200, .body = "done", .certainly_not_sent = false};
  }

  void OnAnswer(Actor& actor, const LedgerAnswer& answer) {
    ++actor.answers;
    switch (answer.verdict) {
      case LedgerVerdict::kDone:
        if (m_shared.executed_attempts.empty() || answer.body != "done")
          m_shared.RecordViolation("reported as done without a run");
        break;
      case LedgerVerdict::kNotRun:
        m_shared.reported_not_run.insert(actor.attempt);
        break;
      case LedgerVerdict::kUnknown:
        m_shared.reported_unknown = true;
        break;
      case LedgerVerdict::kKeyReused:
        m_shared.reported_not_run.insert(actor.attempt);
        if (SameBodies())
          m_shared.RecordViolation("reported as key_reused for the same body");
        break;
      case LedgerVerdict::kInProgress:
        m_shared.reported_not_run.insert(actor.attempt);
        break;
    }
  }

  bool SameBodies() const {
    for (const auto& actor : m_actors)
      if (actor->spec.body != m_actors.front()->spec.body)
        return false;
    return true;
  }

  // Lets other actors run steps within a look-up.
  void InterruptLookUp() {
    if (m_remaining_interruptions == 0)
      return;
    bool interrupted = false;
    while (m_chooser.Choose(2) == 1 && StepOneActor(false)) {
      ++m_steps;
      interrupted = true;
    }
    if (interrupted && m_remaining_interruptions > 0)
      --m_remaining_interruptions;
  }

  // Other actors may run steps before each store call of the look-up, and then
  // the call may fail.
  void StepLookUp(Actor& actor) {
    m_before_call = [&](const std::string& call, const auto&) {
      InterruptLookUp();
      const size_t fault = ChooseFault(call == "get" ? 2 : 4);
      m_shared.delay_next_write = false;
      SetLookUpFaults();
      return ToStoreFault(fault);
    };
    SetLookUpFaults();
    const auto record = LookUpLedger(actor.wall_clock, actor.store, "a", "k");
    m_shared.store.SetFaults({});
    ++actor.answers;
    actor.action = LedgerEnd{};
    if (!record.ok())
      return;
    if (record->state == LedgerState::kNotRun)
      m_shared.reported_not_run.insert(record->attempt);
    if (record->state == LedgerState::kUnknown)
      m_shared.reported_unknown = true;
    if (record->state == LedgerState::kDone &&
        m_shared.executed_attempts.empty())
      m_shared.RecordViolation("look-up reported done without a run");
  }

  void SetLookUpFaults() { m_shared.store.SetFaults(m_before_call); }

  Mutation m_mutation;
  Chooser& m_chooser;
  int m_remaining_faults;
  int m_remaining_interruptions;
  const Actor* m_last_actor = nullptr;
  bool m_last_waited = false;
  size_t m_steps = 0;
  SharedState m_shared;
  std::vector<std::unique_ptr<Actor>> m_actors;
  FakeStore::FaultFunction m_before_call;
};

}  // namespace detail

// Explores up to `depth_first` paths in order, then `samples` seeded ones.
// Stops at the first violation.
inline Exploration Explore(const Scenario& scenario,
                           Mutation mutation,
                           uint64_t depth_first,
                           uint64_t samples) {
  Exploration result;
  const auto run_one = [&](Chooser& chooser) {
    detail::Run run(scenario, mutation, chooser);
    result.violation = run.Execute();
    result.longest_run_steps = std::max(result.longest_run_steps, run.steps());
    ++result.runs;
    return result.violation.empty();
  };
  Chooser ordered;
  while (result.runs < depth_first) {
    ordered.StartDepthFirst();
    if (!run_one(ordered))
      return result;
    if (!ordered.Advance()) {
      result.exhausted = true;
      return result;
    }
  }
  for (uint64_t seed = 0; seed < samples; ++seed) {
    Chooser sampled;
    sampled.StartSampled(seed);
    if (!run_one(sampled)) {
      result.violation += " (seed " + std::to_string(seed) + ")";
      return result;
    }
  }
  return result;
}

}  // namespace trefoilwick
