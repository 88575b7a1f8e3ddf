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
  // Share of an account's limit that all instances together may use beyond
  // their part of the demand, so that a newly active instance can start.
  double floor = 0.05;
  // Time after which a report counts as unknown.
  Duration report_ttl{10'000'000};
  // Time within which a report reaches every instance: `propagation_delay_base`
  // plus `propagation_delay_per_doubling` for every doubling of the instances.
  // An own demand raises the own share only after this time.
  Duration propagation_delay_base{1'000'000};
  Duration propagation_delay_per_doubling{500'000};
  // Reports reach the request path after at most this time.
  Duration refresh_interval{200'000};
  // A report is repeated unchanged while demand is within this part of it.
  double report_tolerance = 0.2;
};

// Enforces the limits of client accounts at one of several entry instances.
// Each instance enforces a share of an account's limit: its part of the demand
// that all instances report, at least floor / instances. It is 1 / instances
// while there is no news: no report of others counts yet or any more, or the
// account just became active here. Thread-safe.
//
// Own demand counts with its lowest value reported during the last hold time
// (see AccountLimiterOptions), the demand of others with their newest report.
// So while every report arrives within the hold time, the shares of all
// instances that are active (requests in the last 10 s) sum to at most
// 1 + floor + new / instances, even while demand moves. `new` counts those that
// became active during the hold time and one report interval, or that heard
// their first report during the hold time; it is 0 in a steady state.
//
// The limit of concurrent requests is split likewise and rounded down, but
// every instance admits at least one.
//
// An instance that hears from nobody does not raise its share. While it is cut
// off, the sum may rise by the share it had, for `report_ttl`, and then by
// 1 / instances. Reports later than the hold time may raise the sum by 1 while
// they are late. Buckets add at most one second's depth and one request each
// time an instance becomes active.
class AccountLimiter {
 public:
  explicit AccountLimiter(AccountLimiterOptions options = {});
  ~AccountLimiter();
  AccountLimiter(const AccountLimiter&) = delete;
  AccountLimiter& operator=(const AccountLimiter&) = delete;

  // Admits one request that may generate `max_tokens`, or says why not. An
  // admitted request must be released once. A request that costs more than one
  // second's tokens passes when the bucket holds these, and leaves it in debt.
  std::optional<LimitRefusal> Admit(TimePoint now,
                                    const Account& account,
                                    int max_tokens);
  // `generated` of the `max_tokens` were used; the rest is given back.
  void Release(TimePoint now,
               const std::string& account,
               int max_tokens,
               int generated);
  // Own demand (asked for, admitted or not) for accounts with a limit that were
  // active in the last 10 s, largest first, at most `limit`. The caller sends
  // the result to all other instances; an account that is left out counts as
  // not reported.
  std::vector<AccountDemand> LocalDemand(TimePoint now, size_t limit) const;
  // What one peer last reported; forgotten after 10 s without news.
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

// Sum of what other instances reported of an account to its aggregator.
struct UsageSum {
  std::string account;
  double others = 0;
  // False while the aggregator is new to the account and may not have heard
  // from every instance yet.
  bool settled = false;
  bool operator==(const UsageSum&) const = default;
};

// Sums the demand reports of the accounts that this instance is the aggregator
// of. Not thread-safe.
class UsageAggregator {
 public:
  // Takes the report of one instance and returns the sums for its accounts.
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

// Exchanges demand with the aggregators of accounts: the live instance that
// rendezvous hashing gives for the account's name. An instance sends and
// receives a row for each of its own active accounts, so that the cost does not
// grow with the number of instances. Not thread-safe.
class UsageExchange {
 public:
  // The reports to send now, by aggregator.
  std::map<std::string, std::vector<AccountDemand>> ReportsByAggregator(
      const std::vector<AccountDemand>& own,
      const std::vector<std::string>& live) const;
  void OnUsageSums(TimePoint now, const std::vector<UsageSum>& sums);
  // Demand of all other instances for the own active accounts. Without a
  // settled sum in the last 10 s the others are taken to ask as much as this
  // instance each, which gives it an equal share.
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
  bool selected_for_floor = false;
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
  void FinishEntry(const std::string& kind,
                   const std::string& account,
                   double unused);
  size_t size() const;
  size_t size(Rank rank) const;
  // Entries of one account, and accounts with entries, of the given rank.
  size_t QueuedForAccount(Rank rank, const std::string& account) const;
  size_t QueuedAccounts(Rank rank) const;
  // Sum of the floors of kinds that have entries, queued or in service, but
  // none queued of this rank or a higher one.
  double LowerRankFloorSum(Rank rank) const;
  // Number of queued entries that would be served before a new entry of this
  // rank and account, ignoring floors. `refilled`: if the other accounts with
  // entries queue new ones all the time.
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
