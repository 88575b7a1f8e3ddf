// Finds what requests that crash backend servers have in common, from the
// crashes and successes of all instances, so that further requests with it can
// be refused. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// Hash of what several requests may have in common: a part of their prompts, or
// the content of a request that is sent again.
using Trait = uint64_t;
// Sorted, without duplicates.
using TraitSet = std::vector<Trait>;

// Sorts traits and removes duplicates.
void SortUnique(TraitSet& traits);

// Traits of the parts of a prompt, for the servers of one service. The last
// part belongs to one request or session and is left out by the caller.
TraitSet PromptTraits(std::string_view service,
                      const std::vector<std::string>& prompt_parts);

// Trait of a request itself: one that comes again has the same account, target
// and body.
Trait ContentTrait(std::string_view service,
                   std::string_view account,
                   std::string_view target,
                   std::string_view body);

// All traits of a request.
TraitSet RequestTraits(std::string_view service,
                       std::string_view account,
                       std::string_view target,
                       std::string_view body,
                       const std::vector<std::string>& prompt_parts);

// How long crashes and ended quarantine entries are kept: longer than a
// quarantine, so that one crash after it is enough to renew it.
inline constexpr Duration kCrashMemory = std::chrono::minutes(30);

// A request whose server crashed before the response was complete.
struct CrashReport {
  // Of this send of the request.
  uint64_t id = 0;
  // Of the server's process; requests that a server drops when it crashes have
  // the same one.
  uint64_t server = 0;
  TraitSet traits;
  TimePoint crashed_at;
  // The request was let through as a trial of its traits.
  bool was_trial = false;
};

// What the crashes under requests with some traits show.
enum class CrashEvidence : uint8_t {
  // No such request is known to have run, while others did.
  kNeverRan,
  // Such requests ran before: the crashes may be a coincidence, as of a service
  // that is lost while nearly all requests have the traits.
  kRanBefore,
  // No request at all is known to have run, so nothing can be compared.
  kNothingRan,
};

enum class QuarantineState : uint8_t {
  kRefused,
  // Refused but for one request at a time, which the coordinator lets through.
  kOnTrial,
  // A request ran, so that all of them are served again.
  kLifted,
};
inline constexpr auto kQuarantineStateNames = MakeEnumTable<QuarantineState>({
    {QuarantineState::kRefused, "refused"},
    {QuarantineState::kOnTrial, "on_trial"},
    {QuarantineState::kLifted, "lifted"},
});

// Orders the decisions of all coordinators.
struct DecisionNumber {
  int64_t fencing_token = 0;
  int64_t number = 0;
  auto operator<=>(const DecisionNumber&) const = default;
};

// What happens to requests with all of `traits`, for `remaining`.
struct QuarantineEntry {
  TraitSet traits;
  // Zero when the entry is lifted.
  Duration remaining{0};
  QuarantineState state = QuarantineState::kRefused;
  // Of the last decision on the entry.
  DecisionNumber decision = {};
  bool operator==(const QuarantineEntry&) const = default;
};

// True when both lists hold the same decisions, whatever time remains.
bool HaveSameDecisions(const std::vector<QuarantineEntry>& a,
                       const std::vector<QuarantineEntry>& b);

// Attributes crashes to traits. A server that crashes drops sound requests as
// well, so a trait is a culprit only when servers crashed under requests with
// it again and again, and none of these requests began in between. Load
// pattern: some of the requests that share a caller and a part of their prompt
// with many others crash each server that begins to run them.
class CrashTracker {
 public:
  // The report is ignored when its id is known. `now` is when it became known.
  void AddCrash(TimePoint now, const CrashReport& report);
  // A request with `trait` that was sent at `sent_at` ran: it began, for a part
  // of its prompt, or ended well, for its content.
  void AddStart(Trait trait, TimePoint sent_at);
  // When the last request with `trait` that began was sent; null when that is
  // not known.
  std::optional<TimePoint> LastStart(Trait trait) const;
  // Traits that may become culprits with the next crash, for which the starts
  // on all instances must be known.
  TraitSet Suspects() const;

  struct Culprit {
    // Several traits when only requests with all of them crashed servers.
    TraitSet traits;
    TimePoint last_crash_at;
    CrashEvidence evidence = CrashEvidence::kNeverRan;
  };
  std::vector<Culprit> FindCulprits(TimePoint now) const;
  void RemoveExpired(TimePoint now);

 private:
  struct KnownCrash {
    CrashReport report;
    TimePoint known_at;
  };
  using Crashes = std::vector<const KnownCrash*>;
  // Crashes of different servers, one after the other. `crashes` is in order of
  // the crashes.
  static Crashes InSequence(const Crashes& crashes);
  // Crashes in order that no later start of a request with the trait
  // contradicts, by trait.
  std::map<Trait, Crashes> CrashesByTrait(const Crashes& crashes) const;
  Crashes SortedCrashes() const;
  // Crashes in sequence, then servers that crashed. A sound request is
  // interrupted by some of the crashes that a culprit explains.
  static std::pair<size_t, size_t> StrengthOf(const Crashes& crashes);
  CrashEvidence EvidenceAgainst(const TraitSet& traits) const;
  // Null when there are no crashes.
  static const Crashes* StrongestEvidence(
      const std::map<Trait, Crashes>& by_trait);
  static std::set<uint64_t> ServersOf(const Crashes& crashes);
  // Traits of which each server crashed under a request with all of them, and
  // the crashes of these requests.
  struct Explanation {
    TraitSet traits;
    Crashes crashes;
  };
  // The most specific explanation of the servers in `crashes`, so that no sound
  // requests are refused that share only some of its traits.
  static Explanation Narrow(const Crashes& crashes,
                            const std::map<Trait, Crashes>& by_trait);
  // True when the evidence against a trait outside the explanation is as strong
  // and concerns one of its servers.
  static bool IsAmbiguous(const Explanation& explanation,
                          const std::map<Trait, Crashes>& by_trait);

  // By id of the report.
  std::map<uint64_t, KnownCrash> m_crashes;
  std::unordered_map<Trait, TimePoint> m_last_starts;
};

// Traits of requests that are refused, with expiry. The coordinator decides;
// other instances merge its decisions. Holds at most kMaxEntries.
class TraitQuarantine {
 public:
  // Requests are let through again after this time. When one of them crashes a
  // server, the entry is renewed at once.
  static constexpr Duration kDuration = std::chrono::minutes(10);
  // Requests on trial are let through this long after the last word of a
  // coordinator, which alone can clear them.
  static constexpr Duration kTrialTtl = std::chrono::seconds(5);
  // Time from one trial to the next, and from the crashes to the first trial
  // when nothing is known to have run.
  static constexpr Duration kTrialInterval = std::chrono::seconds(2);
  static constexpr Duration kUncertainTrialDelay = std::chrono::seconds(5);
  // Trials that crash a server before the entry is no longer on trial.
  static constexpr int kMaxCrashedTrials = 2;
  static constexpr size_t kMaxEntries = 64;

  // Quarantines requests with all of `traits` because of a crash at
  // `crashed_at`. False when that crash is covered by an earlier entry.
  bool Add(TimePoint now,
           const TraitSet& traits,
           TimePoint crashed_at,
           CrashEvidence evidence = CrashEvidence::kNeverRan,
           int64_t fencing_token = 0);
  // Adds an entry of another instance, or applies it when it is the newer
  // decision.
  void Merge(TimePoint now, const QuarantineEntry& entry);
  // Time until requests with `traits` are let through, or may be tried again;
  // zero when they are now.
  Duration RemainingFor(TimePoint now, const TraitSet& traits) const;

  // True when a request with `traits` may be sent although they are
  // quarantined: all their entries are on trial, and no other trial of them is
  // in progress or was a moment ago.
  bool TryBeginTrial(TimePoint now, const TraitSet& traits);
  // Ends a trial that TryBeginTrial() allowed, after its result was recorded.
  void EndTrial(TimePoint now, const TraitSet& traits, bool was_sent);
  // A trial ran, which lifts the entries whose traits are among `traits`. True
  // when there are any.
  bool OnTrialRan(TimePoint now, const TraitSet& traits, int64_t fencing_token);
  // A server crashed under a trial. True when there are entries that it
  // concerns.
  bool OnTrialCrashed(TimePoint now,
                      const TraitSet& traits,
                      int64_t fencing_token);

  // Entries by which requests are refused, and those that were lifted a while
  // ago.
  std::vector<QuarantineEntry> List(TimePoint now) const;
  // True when there are entries by which requests are refused.
  bool HasActive(TimePoint now) const;
  void RemoveExpired(TimePoint now);

 private:
  struct Record {
    bool IsActive(TimePoint now) const {
      return state != QuarantineState::kLifted && until > now;
    }

    QuarantineState state = QuarantineState::kRefused;
    DecisionNumber decision;
    // End of the entry. An ended entry is kept for a while.
    TimePoint until;
    TimePoint next_trial;
    bool trial_in_progress = false;
    int crashed_trials = 0;
  };
  // Entries on trial whose traits are among `traits`.
  std::vector<Record*> FindOnTrial(TimePoint now, const TraitSet& traits);
  DecisionNumber NextDecision(int64_t fencing_token) const;
  // Drops the entry that ends first when there are too many.
  void Trim();

  std::map<TraitSet, Record> m_records;
};

}  // namespace trefoilwick
