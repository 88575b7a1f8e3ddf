// Admission control: which requests begin when the backend servers are short of
// capacity, how capacity is divided among client accounts, and when a refused
// client should return. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// Hash of the name of a client account.
using AccountHash = uint64_t;
AccountHash HashAccount(const std::string& account);

// What the requests of one account and rank ask for, in tokens of KV memory a
// second.
struct AccountDemandKey {
  AccountHash account = 0;
  int rank = 0;
  auto operator<=>(const AccountDemandKey&) const = default;
};
using DemandRates = std::map<AccountDemandKey, double>;

// Adds `more` to `sum`.
void AddDemand(DemandRates& sum, const DemandRates& more);
// The `limit` largest entries. The others are dropped: an account that is not
// named is taken to ask for no more than its share.
DemandRates LargestDemand(const DemandRates& demand, size_t limit);

// Rates of what the requests of one instance ask for, admitted or not, over the
// last seconds.
class DemandWindow {
 public:
  void Count(TimePoint now, const AccountDemandKey& key, double tokens);
  DemandRates Rates(TimePoint now) const;

 private:
  struct Entry {
    double tokens = 0;
    TimePoint as_of;
  };
  std::map<AccountDemandKey, Entry> m_entries;
};

// Share of the requests that may begin at a utilization of the servers of their
// path, by rank. `level` is the position of the rank among those that use the
// service, 0 for the most urgent. Between all and none the share falls
// linearly, so that many instances with the same delayed utilization settle at
// the share that fits instead of starting and stopping together. Lower ranks
// stop at lower utilizations, which keeps capacity free for more urgent
// requests; they keep a small share until the servers are full. Load pattern: a
// burst beyond the capacity, of all ranks or of one.
double AdmittedShare(int level, double utilization);

// Share of the requests of `account` that may begin when a share of `admitted`
// of all tokens that its rank asks for may: max-min fair among the accounts of
// the rank. Load pattern: one account asks for many times its share.
double FairAccountShare(const DemandRates& demand,
                        const AccountDemandKey& account,
                        double admitted);

// Decides on new requests of one instance when the servers of their paths are
// short of capacity.
class OverloadController {
 public:
  // Ranks that use the service, from its routes and accounts.
  void SetRanks(const std::string& service, std::set<int> ranks);
  void CountDemand(TimePoint now, const AccountDemandKey& key, double tokens) {
    m_local_demand.Count(now, key, tokens);
  }
  // Demand of this instance to share with the others; empty while it sees no
  // shortage.
  DemandRates LocalDemand(TimePoint now) const;
  // Demand of all instances. It expires when it is not renewed.
  void SetClusterDemand(TimePoint now, DemandRates demand);

  // Highest utilization of a server at which the request may begin there.
  // `draw` in [0, 1) is the request's own and the same whenever it is asked
  // for.
  double UtilizationLimit(TimePoint now,
                          const std::string& service,
                          const AccountDemandKey& key,
                          double draw) const;
  // Share of the demand of all instances that may begin at a utilization; 1
  // when the demand is not known.
  double AdmittedDemandShare(TimePoint now,
                             const std::string& service,
                             double utilization) const;
  // A request found no path below its limit.
  void OnShortage(TimePoint now);
  // True when requests were refused for want of capacity a moment ago.
  bool IsShort(TimePoint now) const;
  // When a client whose request is refused should return. `unit` in [0, 1)
  // spreads the returns. At most a third of `time_left`, which is what clients
  // wait for.
  Duration RetryAfter(TimePoint now, Duration time_left, double unit) const;

 private:
  int LevelOf(const std::string& service, int rank) const;

  std::map<std::string, std::set<int>> m_ranks;
  DemandWindow m_local_demand;
  DemandRates m_cluster_demand;
  TimePoint m_cluster_demand_at;
  // Of the present or last shortage.
  std::optional<TimePoint> m_shortage_began_at;
  TimePoint m_last_shortage_at;
};

}  // namespace trefoilwick
