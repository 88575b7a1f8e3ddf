// Limits per client account and the order in which queued work is served.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "trefoilwick/kernel.h"
#include "trefoilwick/table.h"

namespace trefoilwick {

enum class LimitReason : uint8_t { kRequestRate, kTokenRate, kConcurrent };
inline constexpr auto kLimitReasonNames = MakeEnumTable<LimitReason>({
    {LimitReason::kRequestRate, "requests_per_second"},
    {LimitReason::kTokenRate, "tokens_per_second"},
    {LimitReason::kConcurrent, "concurrent"},
});

struct LimitRefusal {
  LimitReason reason;
  // Earliest time at which the same request could pass, without jitter.
  Duration retry_after;
};

// Demand of one account as seen by one instance, in tokens per second.
struct AccountDemand {
  std::string account;
  double tokens_per_second = 0;
  bool operator==(const AccountDemand&) const = default;
};

// Enforces the limits of client accounts at one of several entry instances.
// Each instance enforces a share of an account's limit: its part of the demand
// that all instances report, and 1 / instances for an account without reports.
// Thread-safe.
class AccountLimiter {
 public:
  // Admits one request that may generate `max_tokens`, or says why not. An
  // admitted request must be released once.
  std::optional<LimitRefusal> Admit(TimePoint now,
                                    const Account& account,
                                    int max_tokens);
  // `generated` of the `max_tokens` were used; the rest is given back.
  void Release(TimePoint now,
               const std::string& account,
               int max_tokens,
               int generated);
  // Own demand for accounts active in the last 10 s, largest first, at most
  // `limit`.
  std::vector<AccountDemand> LocalDemand(TimePoint now, size_t limit) const;
  // What one peer last reported; forgotten after 10 s without news.
  void OnPeerDemand(TimePoint now,
                    const std::string& peer,
                    const std::vector<AccountDemand>& demand);
  void SetLiveInstances(int count);
  // Share of the account's limit that this instance enforces, 0 to 1.
  double Share(TimePoint now, const std::string& account) const;

 private:
  struct State;
  struct PeerReport {
    TimePoint at;
    std::map<std::string, double> demand;
  };
  State& StateFor(TimePoint now, const std::string& account);
  double ShareLocked(TimePoint now, const std::string& account) const;

  mutable std::mutex m_mutex;
  std::unordered_map<std::string, std::shared_ptr<State>> m_states;
  std::map<std::string, PeerReport> m_peers;
  int m_live_instances = 1;
};

// What the queue needs to know of one queued request.
struct QueueEntry {
  std::string id;
  std::string account;
  double account_weight = 1;
  std::string kind;
  double kind_weight = 1;
  double kind_floor = 0;
  Rank rank = Rank::kOrdinary;
  TimePoint enqueued;
  // Service the entry will probably need. Counted from Pop on, so that one
  // account cannot take all free places before its first charge.
  double expected_cost = 0;
  // Set by Pop: chosen since its kind was below its floor.
  bool by_floor = false;
};

// Orders queued requests: urgent rank first, except that a kind that received
// less than its floor of the recent service goes ahead; within a rank, kinds
// and then accounts by weighted fair virtual time of the service they really
// got. An account that was idle starts at the current virtual time, and what it
// used while nobody else waited is not held against it. One instance per chain;
// not thread-safe.
class FairQueue {
 public:
  // Time constant of the window over which floors are judged: a kind claims at
  // most its floor of the service of one window afterwards.
  explicit FairQueue(Duration floor_window = std::chrono::seconds(10));
  ~FairQueue();
  FairQueue(FairQueue&&) noexcept;
  FairQueue& operator=(FairQueue&&) noexcept;

  void Push(QueueEntry entry);
  // Puts a popped entry back at the head of its account, without charge;
  // `expected_cost` is the part of its estimate that was not used.
  void PushFront(QueueEntry entry);
  // The next entry to serve; nullopt when empty.
  std::optional<QueueEntry> Pop(TimePoint now);
  bool Erase(const std::string& id);
  // Charges service really given (cost in tokens) to an account of a kind,
  // queued or not.
  void Charge(TimePoint now,
              const std::string& kind,
              const std::string& account,
              double cost);
  // A popped entry ended; `unused` is the part of its expected cost that was
  // not charged.
  void Finish(const std::string& kind,
              const std::string& account,
              double unused);
  size_t size() const;
  size_t size(Rank rank) const;
  // Entries of one account, and accounts with entries, of the given rank.
  size_t QueuedOf(Rank rank, const std::string& account) const;
  size_t QueuedAccounts(Rank rank) const;
  // Sum of the floors of kinds that have entries, queued or in service, but
  // none queued of this rank or a higher one.
  double FloorsBelow(Rank rank) const;
  // Number of queued entries that would be served before a new entry of this
  // rank and account, ignoring floors. `refilled`: if the other accounts with
  // entries queue new ones all the time.
  size_t Ahead(Rank rank,
               const std::string& account,
               bool refilled = false) const;
  // Number of queued entries of this kind that would be served before a new one
  // of this rank and account.
  size_t AheadInKind(Rank rank,
                     const std::string& account,
                     const std::string& kind) const;
  // Oldest entries first, at most `limit`, of the given rank.
  std::vector<std::string> Oldest(Rank rank, size_t limit) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace trefoilwick
