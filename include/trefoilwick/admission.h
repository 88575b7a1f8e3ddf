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

struct AccountLimiterOptions {
  // Fraction of an account's limit that all instances together may use beyond
  // their share of the demand, so that a newly active instance can start.
  double floor = 0.05;
  // A report is ignored after this time.
  Duration report_ttl{10'000'000};
  // Time within which a report reaches every instance: `propagation_delay_base`
  // plus `propagation_delay_per_doubling` for every doubling of the number of
  // instances. An instance's share follows a rise of its own demand only after
  // this time.
  Duration propagation_delay_base{1'000'000};
  Duration propagation_delay_per_doubling{500'000};
  // Reports take effect on the request path after at most this time.
  Duration refresh_interval{200'000};
  // A report is repeated unchanged while the demand differs from it by at most
  // this fraction.
  double report_tolerance = 0.2;
};

// Enforces the limits of client accounts at one of several entry instances.
// Each instance enforces a share of an account's limit: its fraction of the
// demand that all instances report, at least floor / instances. The share is 1
// / instances while no report of another instance is valid, or just after the
// account became active here. Thread-safe.
//
// An instance counts its own demand at the lowest value that it reported during
// the last propagation delay (see AccountLimiterOptions), and the demand of
// others at their newest report. So while every report arrives within the
// propagation delay, the shares of all instances that are active (requests in
// the last 10 s) sum to at most 1 + floor + new / instances, even while demand
// moves between instances. `new` counts the instances that became active during
// the propagation delay and one report interval, or that received their first
// report during the propagation delay; it is 0 in a steady state.
//
// The limit of concurrent requests is split in the same way and rounded down,
// but every instance admits at least one.
//
// An instance that receives no reports does not raise its share. While it is
// cut off, the sum may rise by the share it had, for `report_ttl`, and then by
// 1 / instances. Reports later than the propagation delay may raise the sum by
// 1 while they are late. Token buckets add at most one second's depth and one
// request each time an instance becomes active.
class AccountLimiter {
 public:
  explicit AccountLimiter(AccountLimiterOptions options = {});
  ~AccountLimiter();
  AccountLimiter(const AccountLimiter&) = delete;
  AccountLimiter& operator=(const AccountLimiter&) = delete;

  // Admits one request that may generate `max_tokens`, or returns the reason
  // for refusing it. An admitted request must be released exactly once. A
  // request that costs more than one second's tokens passes when the bucket
  // holds one second's tokens, and leaves the bucket in debt.
  std::optional<LimitRefusal> Admit(TimePoint now,
                                    const Account& account,
                                    int max_tokens);
  // `generated` of the `max_tokens` were used; the rest is given back.
  void Release(TimePoint now,
               const std::string& account,
               int max_tokens,
               int generated);
  // Demand at this instance (requests admitted or not) for accounts with a
  // limit that were active in the last 10 s, largest first, at most `limit`.
  // The caller sends the result to all other instances; an account that is left
  // out counts as not reported.
  std::vector<AccountDemand> LocalDemand(TimePoint now, size_t limit) const;
  // Records the newest report of one peer, which expires after 10 s without
  // another.
  void OnPeerDemand(TimePoint now,
                    const std::string& peer,
                    const std::vector<AccountDemand>& demand);
  void SetLiveInstances(int count);
  // Share of the account's limit that this instance enforces, 0 to 1.
  double LocalShare(TimePoint now, const std::string& account) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

// Sum of the demand, in tokens per second, that other instances reported for an
// account to its aggregator.
struct UsageSum {
  std::string account;
  double others = 0;
  // False while the aggregator is new to the account and may not have received
  // a report from every instance yet.
  bool settled = false;
  bool operator==(const UsageSum&) const = default;
};

// Sums the demand reports of the accounts whose aggregator is this instance.
// Not thread-safe.
class UsageAggregator {
 public:
  // Records the report of one instance and returns the sums for its accounts.
  std::vector<UsageSum> OnReport(TimePoint now,
                                 const std::string& instance,
                                 const std::vector<AccountDemand>& report);
  // Accounts with a report that has not expired.
  size_t size() const { return m_accounts.size(); }

 private:
  struct Report {
    TimePoint received_at;
    double demand = 0;
  };
  struct AccountState {
    TimePoint first_report_at;
    std::map<std::string, Report> reports;
  };
  void Expire(TimePoint now);

  std::map<std::string, AccountState> m_accounts;
  TimePoint m_next_expiry{};
};

// Exchanges demand with the aggregators of accounts. The aggregator of an
// account is the live instance that rendezvous hashing chooses for the
// account's name. An instance sends and receives one row for each of its own
// active accounts, so the cost does not grow with the number of instances. Not
// thread-safe.
class UsageExchange {
 public:
  // The reports to send now, by aggregator.
  std::map<std::string, std::vector<AccountDemand>> ReportsByAggregator(
      const std::vector<AccountDemand>& own,
      const std::vector<std::string>& live) const;
  void OnUsageSums(TimePoint now, const std::vector<UsageSum>& sums);
  // Demand of all other instances for the accounts in `own`. Without a settled
  // sum in the last 10 s, every other instance is assumed to have the same
  // demand as this one, which gives this instance an equal share.
  std::vector<AccountDemand> OtherInstancesDemand(
      TimePoint now,
      const std::vector<AccountDemand>& own,
      size_t live);

 private:
  struct ReceivedSum {
    TimePoint received_at;
    double others = 0;
  };
  std::map<std::string, ReceivedSum> m_received_sums;
};

// A request in a FairQueue.
struct QueueEntry {
  std::string id;
  std::string account;
  double account_weight = 1;
  std::string kind;
  double kind_weight = 1;
  double kind_floor = 0;
  Rank rank = Rank::kOrdinary;
  TimePoint enqueued;
  // Expected service of the entry, in tokens. It counts from Pop on, so that
  // one account cannot take all free slots before its first charge.
  double expected_cost = 0;
  // Set by Pop: the entry was chosen because its kind was below its floor.
  bool selected_for_floor = false;
};

// Orders queued requests: urgent rank first, except that a kind that received
// less than its floor of the recent service is served first. Within a rank,
// kinds and then accounts are ordered by weighted fair virtual time of the
// service they received. An account that was idle starts at the current virtual
// time, and service that it received while nobody else waited does not count
// against it. Each chain has its own queue. Not thread-safe.
class FairQueue {
 public:
  // Time constant of the window over which floors are measured. A kind that
  // fell below its floor can claim at most its floor of the service of one
  // window.
  explicit FairQueue(Duration floor_window = std::chrono::seconds(10));
  ~FairQueue();
  FairQueue(FairQueue&&) noexcept;
  FairQueue& operator=(FairQueue&&) noexcept;

  void Push(QueueEntry entry);
  // Puts a popped entry back at the head of its account without charging it;
  // `expected_cost` is the part of its estimate that was not charged.
  void PushFront(QueueEntry entry);
  // The next entry to serve; nullopt when empty.
  std::optional<QueueEntry> Pop(TimePoint now);
  bool Erase(const std::string& id);
  // Charges actual service (cost in tokens) to an account of a kind, queued or
  // not.
  void Charge(TimePoint now,
              const std::string& kind,
              const std::string& account,
              double cost);
  // Ends a popped entry; `unused` is the part of its expected cost that was not
  // charged.
  void FinishEntry(const std::string& kind,
                   const std::string& account,
                   double unused);
  size_t size() const;
  size_t size(Rank rank) const;
  // Entries of one account, and accounts with entries, of the given rank.
  size_t QueuedForAccount(Rank rank, const std::string& account) const;
  size_t QueuedAccounts(Rank rank) const;
  // Sum of the floors of kinds that have entries, queued or in service, but
  // none queued in this rank or a higher one.
  double LowerRankFloorSum(Rank rank) const;
  // Number of queued entries that would be served before a new entry of this
  // rank and account, ignoring floors. `refilled` assumes that the other
  // accounts with entries keep queuing new ones.
  size_t QueuePosition(Rank rank,
                       const std::string& account,
                       bool refilled = false) const;
  // Number of queued entries of this kind that would be served before a new one
  // of this rank and account.
  size_t QueuePositionInKind(Rank rank,
                             const std::string& account,
                             const std::string& kind) const;
  // Oldest entries first, at most `limit`, of the given rank.
  std::vector<std::string> OldestIds(Rank rank, size_t limit) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace trefoilwick
