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

// A request whose server crashed before the response was complete.
struct CrashReport {
  // Of this send of the request.
  uint64_t id = 0;
  // Of the server's process; requests that a server drops when it crashes have
  // the same one.
  uint64_t server = 0;
  TraitSet traits;
  TimePoint crashed_at;
};

// Requests with all of `traits` are refused for `remaining`.
struct QuarantineEntry {
  TraitSet traits;
  Duration remaining{0};
  bool operator==(const QuarantineEntry&) const = default;
};

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

// Traits of requests that are refused, with expiry. Holds at most kMaxEntries.
class TraitQuarantine {
 public:
  // Requests are let through again after this time. When one of them crashes a
  // server, the entry is renewed at once.
  static constexpr Duration kDuration = std::chrono::minutes(10);
  static constexpr size_t kMaxEntries = 64;

  // Quarantines requests with all of `traits` because of a crash at
  // `crashed_at`. False when that crash is covered by an earlier entry.
  bool Add(TimePoint now, const TraitSet& traits, TimePoint crashed_at);
  // Adds an entry of another instance, or extends the known one.
  void Merge(TimePoint now, const QuarantineEntry& entry);
  // Time until requests with `traits` are let through; zero when they are now.
  Duration RemainingFor(TimePoint now, const TraitSet& traits) const;
  std::vector<QuarantineEntry> List(TimePoint now) const;
  bool empty() const { return m_until.empty(); }
  void RemoveExpired(TimePoint now);

 private:
  // Ends of the entries, by traits. An ended entry is kept for a while.
  std::map<TraitSet, TimePoint> m_until;
};

}  // namespace trefoilwick
