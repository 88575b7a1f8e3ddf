// Limits on the requests that backend servers take from all instances together,
// and the share of each instance. Does no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// What a server said of its limit in an answer.
struct LimitObservation {
  // Requests a second; null when the server takes any number.
  std::optional<double> requests_per_second;
  // When the answer arrived.
  TimePoint observed_at;
  bool operator==(const LimitObservation&) const = default;
};

// Larger limits are cut to this: a faulty server may name any number.
inline constexpr double kMaxLimitPerSecond = 1e6;

// Rate at which requests of an instance choose a server, as an exponentially
// weighted mean.
class DemandRate {
 public:
  void Count(TimePoint now);
  // Requests a second.
  double At(TimePoint now) const;

 private:
  double m_rate = 0;
  TimePoint m_updated_at;
};

// The limits that servers named and the requests that this instance may send
// within them. A limit is divided in proportion to the demand on each instance,
// as the coordinator sums it. Load pattern: servers in need take less than
// usual, and only the instances of one data center send to each of them.
class ServerLimits {
 public:
  // `server` answered a request that was sent at `sent_at`. True when the limit
  // changed.
  bool OnAnswer(TimePoint now,
                const std::string& server,
                std::optional<double> requests_per_second,
                TimePoint sent_at);
  // Number of instances that share the limits, this one included, for servers
  // whose demand is not known yet.
  void SetInstances(size_t instances) { m_instances = instances; }
  // An observation of another instance; the newest one counts.
  void Merge(TimePoint now,
             const std::string& server,
             const LimitObservation& observation);
  // Demand of all instances, and the part of it that is this instance's.
  void SetClusterDemand(TimePoint now,
                        const std::string& server,
                        double cluster_demand,
                        double own_demand);
  // A request chose the server.
  void CountDemand(TimePoint now, const std::string& server);
  // True when the request may be sent to the server; it is charged then. `unit`
  // is random in [0, 1): fractions of a request are sent with that probability.
  bool TryTake(TimePoint now, const std::string& server, double unit);

  // Requests a second; null when there is no limit.
  std::optional<double> LimitOf(const std::string& server) const;
  // Part of the limit for this instance, requests a second.
  double ShareOf(const std::string& server) const;
  double DemandFor(TimePoint now, const std::string& server) const;
  // Observations by server, of limits that ended as well.
  std::map<std::string, LimitObservation> Observations() const;
  void RemoveExpired(TimePoint now);

 private:
  struct State {
    LimitObservation observation;
    // Fraction of the limit, now and on average.
    double share = 0;
    double mean_share = 0;
    double tokens = 0;
    TimePoint refilled_at;
    DemandRate demand;
  };
  static void Refill(TimePoint now, State& state);

  std::map<std::string, State> m_states;
  size_t m_instances = 1;
};

}  // namespace trefoilwick
