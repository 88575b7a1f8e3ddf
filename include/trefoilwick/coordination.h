// Election of the coordinator of a deployment, and the messages between
// instances: server list, configuration version, members and loads. The
// coordinator holds a lease in the platform's store, reads the server list for
// all instances and orders servers to load layers.
// Performs no I/O: events are passed in, actions are returned.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "trefoilwick/crash_suspects.h"
#include "trefoilwick/layer_path.h"
#include "trefoilwick/liveness.h"
#include "trefoilwick/overload.h"
#include "trefoilwick/retry_window.h"
#include "trefoilwick/server_availability.h"
#include "trefoilwick/server_list.h"

namespace trefoilwick {

namespace detail {
class ServerIdDictionary;
struct CoordinatorHeartbeat;
struct EarlierSends;
struct InstanceReport;
struct LeavingMessage;
struct LimitMessage;
struct ServerListMessage;
// A member without a report for this long does not count.
inline constexpr Duration kMemberTimeout = std::chrono::milliseconds(1500);
inline constexpr Duration kReportInterval = std::chrono::milliseconds(250);

// An announcement that a newer configuration is being read.
struct ConfigurationChange {
  // Of the coordinator that announced it.
  int64_t fencing_token = 0;
  // Counted by that coordinator; 0 when there is no announcement.
  int64_t number = 0;
  friend bool operator==(const ConfigurationChange&,
                         const ConfigurationChange&) = default;
};
}  // namespace detail

struct ClusterMember {
  std::string ip;
  std::string data_center;
  // Whether the instance accepts new requests.
  bool accepting = true;
  // Processor share, in thousandths of a core.
  int cpu_milli = 0;
};

// The lease row as the store holds it.
struct LeaseRow {
  // Position at which the row was written. Its version is 0 when there is no
  // row; the era is that of the read then.
  StorePosition position;
  // Fencing token of the holder's orders; increases with every holder.
  int64_t fencing_token = 0;
  std::string holder_ip;
  int64_t holder_incarnation = 0;
  // Retries of all instances to all services in the window of the retry budget
  // when the row was written (null when it is not known), and the number of
  // these instances (0 before the first ones): after a loss of all instances
  // the next ones know what is left of the budgets.
  std::optional<int> retries = 0;
  int instances = 0;
  // Requests that are refused, as of when the row was written.
  std::vector<QuarantineEntry> quarantine = {};
};

struct SendDatagram {
  std::string ip;
  std::string bytes;
};
struct ReadLease {};
// Writes the lease if the row is still the one that was written at `expected`.
struct WriteLease {
  LeaseRow row;
  StorePosition expected;
};
struct ReadServerList {};
// A newer configuration must be read from the store.
struct ReadConfiguration {
  // Version that the coordinator announced; 0 when it is not known.
  int64_t version = 0;
};
// The coordinator sent a newer configuration; `row` is its row in the store.
struct ApplyConfiguration {
  std::string row;
};
// Another instance reported the server as unreachable; this instance must probe
// it as well.
struct ProbeServer {
  std::string server;
};
using CoordinationAction = std::variant<SendDatagram,
                                        ProbeServer,
                                        ReadLease,
                                        WriteLease,
                                        ReadServerList,
                                        ReadConfiguration,
                                        ApplyConfiguration>;

enum class LeaseWriteResult : uint8_t { kWritten, kConflict, kUnknown };

class Coordination {
 public:
  class Builder;

  // Time between two calls of OnTick.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

  void OnTick(TimePoint now);
  void OnDatagram(TimePoint now, const std::string& bytes);
  // `row` is null when the store did not answer.
  void OnLease(TimePoint now, const std::optional<LeaseRow>& row);
  void OnLeaseWritten(TimePoint now,
                      LeaseWriteResult result,
                      const LeaseRow& row);
  // `requested_at` is the time at which the read was sent: the list is at least
  // as new as that.
  void OnServerList(TimePoint now,
                    TimePoint requested_at,
                    StorePosition position,
                    ServerMap servers);
  void OnServerListReadFailed(TimePoint now);
  // A newer configuration is in force on this instance; `row` is its row in the
  // store. The coordinator sends it to the other instances, so that they need
  // not read it.
  void OnConfigurationApplied(TimePoint now, int64_t version, std::string row);
  // A newer configuration is about to be read. The coordinator tells the other
  // instances, so that they need not wait until it has read it.
  void OnConfigurationChanging(TimePoint now);
  void OnConfigurationRead(TimePoint now);
  void OnConfigurationReadFailed(TimePoint now);
  // The process was suspended, so the server list, the reports of other
  // instances and a held lease are out of date and are discarded.
  void OnSuspended(TimePoint now);
  // A server refused an order because of a higher fencing token.
  void OnFencingTokenRejected(TimePoint now);

  // Work in progress on this instance, by server.
  void SetLocalLoads(LoadMap loads) { m_local_loads = std::move(loads); }
  void SetLocalSends(ServiceSends sends) { m_local_sends = std::move(sends); }
  // Sends of the other instances to the servers of `service`.
  PeerSends GetPeerSends(TimePoint now, const std::string& service) const;
  // Placement orders that this coordinator gave and that the server list does
  // not show yet. Layers that a server is about to give up are no longer used.
  void SetPlacementOrders(TimePoint now,
                          std::map<std::string, LayerRange> orders);
  // The server reported these layers; the server list shows them some time
  // later.
  void OnLayersReported(TimePoint now,
                        const std::string& server,
                        LayerRange layers);
  // The same for several servers, by id. Each call makes a new server list.
  void OnLayersReported(TimePoint now,
                        const std::map<std::string, LayerRange>& reported);
  const std::map<std::string, LayerRange>& placement_orders() const {
    return m_placement_orders;
  }
  void SetAccepting(bool accepting) { m_accepting = accepting; }
  // Records that a server does not accept connections from this instance. The
  // mark expires unless it is repeated.
  void MarkUnreachable(TimePoint now, const std::string& server);
  void ClearUnreachable(const std::string& server);

  // A server refused a request. This instance leaves it out for a cool-down and
  // notifies the other instances, which do the same.
  void MarkRefusing(TimePoint now, const std::string& server);
  // Servers that refused again as soon as they were used again.
  std::set<std::string> PersistentlyRefusingServers(TimePoint now) const {
    return m_availability.cooldowns().RepeatedlyRefusing(now);
  }

  // Records the slowdown that this instance read from a server. The other
  // instances are notified while the server is slow, and once when it no longer
  // is.
  void SetSlowdown(TimePoint now, const std::string& server, double slowdown);
  // Slowdowns of the servers that are slow.
  std::map<std::string, double> SlowServers(TimePoint now) const {
    return m_slow_servers.Active(now);
  }
  // Slow servers whose slowdown this instance must read again: usually those
  // whose slowdown it reported itself, otherwise those that no instance has
  // reported for a while.
  std::set<std::string> SlowServersToRecheck(TimePoint now) const;

  // A server crashed while it ran a request of this instance.
  void OnServerCrash(TimePoint now, const CrashReport& report);
  // A request of this instance that was sent at `sent_at` ran far enough to
  // show that `traits` do not crash servers.
  void OnRequestRan(const TraitSet& traits, TimePoint sent_at);
  // Time for which requests with `traits` are refused, because such requests
  // crash servers; zero when they are not.
  Duration QuarantineTime(TimePoint now, const TraitSet& traits) const {
    return m_quarantine.RemainingFor(now, traits);
  }
  // False when no request is refused now, whatever its traits.
  bool HasQuarantine(TimePoint now) const {
    return m_quarantine.HasActive(now);
  }
  // Entries by which requests are refused now, and those that were lifted.
  std::vector<QuarantineEntry> Quarantine(TimePoint now) const {
    return m_quarantine.List(now);
  }
  // True when this instance may send a request with `traits`, although they are
  // quarantined, to learn whether it runs. Only the coordinator may. Every
  // trial ends with EndTrial().
  bool TryBeginTrial(TimePoint now, const TraitSet& traits);
  // A trial ran far enough to show that `traits` do not crash servers.
  void OnTrialRan(TimePoint now, const TraitSet& traits);
  void EndTrial(TimePoint now, const TraitSet& traits, bool was_sent) {
    m_quarantine.EndTrial(now, traits, was_sent);
  }

  // A server answered a request that was sent at `sent_at`, and named the
  // requests a second that it takes from all instances, or none.
  void OnServerAnswer(TimePoint now,
                      const std::string& server,
                      std::optional<double> requests_per_second,
                      TimePoint sent_at);
  // A request of this instance chose the server.
  void CountLimitDemand(TimePoint now, const std::string& server) {
    m_availability.limits().CountDemand(now, server);
  }
  // A server announced its shutdown in an answer to this instance. The other
  // instances are notified. True when this instance did not know.
  bool OnServerLeaving(TimePoint now, const ServerProcess& process);
  // A server asked this instance for a pause. It is not passed on: other
  // instances may go on sending.
  void OnServerPause(TimePoint now, const std::string& server, Duration pause) {
    m_availability.pauses().Set(now, server, pause);
  }
  // Demand of this instance, which the coordinator sums over all instances.
  void SetLocalDemand(DemandRates demand) {
    m_local_demand = std::move(demand);
  }
  // Demand of all instances as of the last sum; empty when there is none or it
  // is too old.
  DemandRates ClusterDemand(TimePoint now) const;

  ServerAvailability& availability() { return m_availability; }
  const ServerAvailability& availability() const { return m_availability; }

  std::vector<CoordinationAction> TakeActions();

  bool is_coordinator() const { return m_is_coordinator; }
  // True when this instance receives heartbeats of a coordinator that reaches
  // the store.
  bool ReceivesCoordinatorHeartbeats(TimePoint now) const;
  int64_t fencing_token() const { return m_fencing_token; }
  const std::string& coordinator_ip() const { return m_coordinator_ip; }
  // The list as read from the store, with the layers that servers reported
  // since. Servers that announced their shutdown are shown as draining.
  const std::shared_ptr<const ServerMap>& listed_servers() const {
    return m_listed_servers;
  }
  // `listed_servers` without the layers that servers are about to give up.
  const std::shared_ptr<const ServerMap>& usable_servers() const {
    return m_usable_servers;
  }
  bool has_server_list() const { return m_list_position.version > 0; }
  Duration ServerListAge(TimePoint now) const { return now - m_list_fresh_at; }
  StorePosition list_position() const { return m_list_position; }
  // Live members, including this instance.
  std::vector<ClusterMember> Members(TimePoint now) const;
  // Loads of all instances, including this one.
  LoadMap Loads(TimePoint now) const;
  // What Loads() does not contain.
  UnreportedWork EstimateUnreportedWork(TimePoint now) const;
  // Servers that this instance cannot reach, whatever others report.
  std::set<std::string> LostServers(TimePoint now) const;
  // Servers that this instance cannot reach but most others can: they may still
  // serve as a later stage of a path.
  std::set<std::string> LocallyUnreachableServers(TimePoint now) const;
  // Servers that this instance has not reached for at least that long and that
  // a majority of the instances cannot reach either.
  std::set<std::string> ConfirmedLostServers(TimePoint now,
                                             Duration at_least) const;

 private:
  friend class Builder;
  Coordination() = default;
  struct Peer {
    ClusterMember member;
    StorePosition list_position;
    TimePoint last_report_at;
    LoadMap loads;
    std::set<std::string> unreachable_servers;
    // Demand for servers with a limit, requests a second.
    std::map<std::string, double> limit_demand;
    // Demand of client accounts.
    DemandRates demand;
    // Position of the list that was sent last; it is not sent again before the
    // instance can have acknowledged it.
    StorePosition sent_list_position;
    TimePoint list_sent_at;
  };
  struct UnreachableMark {
    TimePoint since;
    TimePoint until;
  };
  // The coordinator judges by the reports of the others, the others by its
  // heartbeats.
  LossVerdict AssessUnreachableServer(TimePoint now,
                                      const std::string& server,
                                      const UnreachableMark& mark) const;

  void SetClusterLoads(TimePoint now, const LoadMap& sum);
  LoadMap EstimateUnreportedPeerLoads(TimePoint now) const;
  // Other instances of this data center that accept requests.
  size_t PeersInDataCenter(TimePoint now) const;
  void BeginCoordinating(TimePoint now);
  // Keeps the sums of this coordinator for the time until it hears from the
  // next one.
  void KeepSumsAsFollower(TimePoint now);
  // True when this instance coordinates and the others have reported to it.
  bool HasCompleteSums() const {
    return m_is_coordinator && m_has_complete_sums;
  }
  // Uses the sums of the lease row when this coordinator has no others. The
  // other instances wait for those of a coordinator: it also hears from those
  // that know more than the row.
  void UseSumsOfLease(TimePoint now);
  // The lease row of the next coordinator, with what is known of the sums.
  LeaseRow MakeLease(TimePoint now, const LeaseRow& previous) const;
  void BeginSums(TimePoint now);
  // True when the sums contain what instances that have ended retried in the
  // window.
  bool KnowsEarlierSends(TimePoint now) const;
  // What this instance knows and the present coordinator may not.
  std::optional<detail::EarlierSends> GetEarlierSends(TimePoint now) const;
  void AddEarlierSends(TimePoint now, const detail::EarlierSends& earlier);
  void UpdateSums(TimePoint now);
  // Number of instances that share the retry budget, including this one.
  size_t InstanceCount(TimePoint now) const;
  struct RemoteSends {
    ServiceSends sends;
    // As in PeerSends.
    std::optional<TimePoint> as_of;
    size_t instances = 0;
  };
  // Sends of the other instances to all services.
  RemoteSends GetRemoteSends(TimePoint now) const;
  // Sends of all instances in the window.
  ServiceSends ClusterSends(TimePoint now) const;
  // Adds to the ledger what the instances that have not reported to this
  // coordinator are assumed to have retried.
  void AddAssumedRetries(TimePoint now, TimePoint known_until);
  void RenewLease(TimePoint now);
  void HandleReport(TimePoint now, const detail::InstanceReport& report);
  void HandleHeartbeat(TimePoint now,
                       const detail::CoordinatorHeartbeat& heartbeat);
  void HandleServerList(TimePoint now, const detail::ServerListMessage& list);
  void HandleClusterSends(TimePoint now,
                          const detail::CoordinatorHeartbeat& heartbeat);
  // Quarantines the traits that crash servers. Only the coordinator knows the
  // requests on all instances that began.
  void UpdateQuarantine(TimePoint now);
  void MergeQuarantine(TimePoint now,
                       const std::vector<QuarantineEntry>& entries);
  void HandleCrashes(TimePoint now, const detail::InstanceReport& report);
  void AddCrashState(TimePoint now, detail::InstanceReport& report) const;
  // Number of instances that share limits, this one included.
  size_t LimitSharers(TimePoint now) const;
  // Messages on the limits for which there is demand, or on all of them.
  std::vector<detail::LimitMessage> LimitMessages(
      TimePoint now,
      const std::map<std::string, double>& demand,
      bool all) const;
  std::map<std::string, double> LocalLimitDemand(TimePoint now) const;
  void AddLimits(TimePoint now, detail::InstanceReport& report);
  void AddLimits(TimePoint now, detail::CoordinatorHeartbeat& heartbeat);
  void MergeLimits(TimePoint now,
                   const std::vector<detail::LimitMessage>& limits);
  void SetClusterDemand(TimePoint now,
                        const detail::CoordinatorHeartbeat& heartbeat);
  std::vector<detail::LeavingMessage> LeavingMessages(TimePoint now) const;
  void MergeLeaving(TimePoint now,
                    const std::vector<detail::LeavingMessage>& notices);
  void HandleLimits(TimePoint now, const detail::InstanceReport& report);
  void HandleLimits(TimePoint now,
                    const detail::CoordinatorHeartbeat& heartbeat);
  void OnStoreAnswered(TimePoint now);
  // Notes the era of a response of the store. In a new one, what was read or
  // written in an earlier one must be read again.
  void NoteEra(int64_t era);
  // True when the lease that this coordinator holds was written in an earlier
  // era, so that its version may name another row by now.
  bool IsLeaseOfEarlierEra() const {
    return m_lease.position.era < m_store_era;
  }
  // Writes the lease again under a new token when this coordinator still holds
  // it, or follows the holder.
  void RecoverLease(TimePoint now, const LeaseRow& row);
  void AcquireLease(TimePoint now, const LeaseRow& previous);
  void UseServerList(TimePoint now, StorePosition position, ServerMap servers);
  // Derives `m_listed_servers` and `m_usable_servers` from the stored list, the
  // announced shutdowns, the reported layers and the placement orders.
  void UpdateServers(TimePoint now);
  void SendReport(TimePoint now);
  void SendHeartbeats(TimePoint now);
  void SendList(TimePoint now, const std::string& ip, Peer& peer);
  // False when it cannot be sent now.
  bool SendConfiguration(TimePoint now, const std::string& ip);
  void ReadChangingConfiguration(TimePoint now,
                                 const detail::CoordinatorHeartbeat& heartbeat);
  // Takes `bytes` from the part of the link's rate that is reserved for passing
  // on lists and configurations. Returns false and takes nothing when they do
  // not fit.
  bool TryConsumeLinkBudget(TimePoint now, size_t bytes);
  // True when an instance with a much smaller processor share coordinates and
  // this one is first in the take-over order.
  bool ShouldReplaceCoordinator(TimePoint now) const;
  void TryTakeOver(TimePoint now);
  void FollowCoordinator(TimePoint now, const LeaseRow& row);
  void StepDown(TimePoint now);
  void ReadListIfStale(TimePoint now);
  void Broadcast(TimePoint now, const std::string& bytes);
  void RemoveExpiredHealthState(TimePoint now);
  void UpdateMajorityUnreachable(TimePoint now,
                                 const std::set<std::string>& servers);
  void HandleUnreachableReport(TimePoint now, const std::string& server);
  void HandleSlowdownReport(TimePoint now,
                            const std::string& server,
                            double slowdown);
  void ReadConfigurationIfNewer(TimePoint now, int64_t version);
  // Number of members that take over before this one.
  int TakeOverRank() const;
  Duration TakeOverDelay() const;

  std::string m_ip;
  std::string m_data_center;
  int m_cpu_milli = 0;
  int64_t m_incarnation = 0;
  bool m_accepting = true;

  bool m_is_coordinator = false;
  bool m_lease_call_pending = false;
  bool m_lease_known = false;
  bool m_coordinator_store_reachable = false;
  int64_t m_fencing_token = 0;
  LeaseRow m_lease;
  // Newest era that the store has named to this instance.
  int64_t m_store_era = 0;
  std::string m_coordinator_ip;
  TimePoint m_last_heartbeat_at;
  TimePoint m_next_lease_call;
  TimePoint m_last_store_answer_at;
  // A call to the store has failed since the last answer.
  bool m_store_failing = false;
  TimePoint m_next_report;
  TimePoint m_next_heartbeat;
  int m_heartbeat_count = 0;
  // 0 when the rate of the link is not known.
  double m_link_bytes_per_second = 0;
  double m_link_budget_bytes = 0;
  TimePoint m_link_budget_refilled_at;
  TimePoint m_following_since;
  bool m_replacing_coordinator = false;

  struct ReportedLayers {
    LayerRange layers;
    TimePoint until;
  };
  std::shared_ptr<const ServerMap> m_stored_servers =
      std::make_shared<const ServerMap>();
  std::map<std::string, ReportedLayers> m_reported_layers;
  std::shared_ptr<detail::ServerIdDictionary> m_server_ids;
  std::shared_ptr<const ServerMap> m_listed_servers =
      std::make_shared<const ServerMap>();
  std::shared_ptr<const ServerMap> m_usable_servers =
      std::make_shared<const ServerMap>();
  std::map<std::string, LayerRange> m_placement_orders;
  StorePosition m_list_position;
  ServerListHistory m_list_history;
  // Encoded server list, as of `m_list_encoded_at`.
  std::string m_list_message;
  TimePoint m_list_encoded_at;
  TimePoint m_list_fresh_at;
  bool m_list_call_pending = false;
  int m_list_failures = 0;
  TimePoint m_next_list_call;

  int64_t m_config_version = 0;
  // Row of the configuration; empty when it is too long to be sent to other
  // instances.
  std::string m_config_row;
  // The row, encoded when it is first sent.
  std::string m_config_message;
  TimePoint m_next_config_call;
  // Number of changes that were announced, and whether the last one is being
  // read.
  int64_t m_config_changes = 0;
  bool m_config_is_changing = false;
  // Last announcement that this instance followed.
  detail::ConfigurationChange m_seen_config_change;

  LoadMap m_local_loads;
  // Loads of all instances as summed by the coordinator, and this instance's
  // part of that sum, which is what it reported last.
  LoadMap m_cluster_loads;
  LoadMap m_own_loads_in_cluster_sum;
  TimePoint m_cluster_loads_at;
  LoadMap m_reported_loads;
  DemandRates m_local_demand;
  DemandRates m_cluster_demand;
  TimePoint m_cluster_demand_at;
  ServiceSends m_local_sends;
  ServiceSends m_reported_sends;
  // From the last heartbeat with complete sums, before it from the lease row.
  RemoteSends m_remote_sends;
  // Part of it that no other instance than the coordinator reported.
  ServiceSends m_unreported_sends;
  // Coordinator that summed it; 0 when no coordinator did.
  int64_t m_sums_fencing_token = 0;
  bool m_lease_read = false;
  // The store was away before the first read of the lease row, so that its sums
  // may be those from before the outage.
  bool m_lease_sums_outdated = false;
  bool m_knows_earlier_sends = false;
  // Reports to this instance while it coordinates, and how many instances must
  // have reported for the sums to be complete; 0 when their number is not
  // known.
  SendLedger m_send_ledger{std::chrono::seconds(10), detail::kMemberTimeout};
  size_t m_awaited_reports = 0;
  TimePoint m_started_at;
  bool m_has_complete_sums = false;
  TimePoint m_coordinating_since;
  size_t m_instances_before = 0;
  Duration m_retry_window = std::chrono::seconds(10);
  std::map<std::string, Peer> m_peers;
  std::vector<ClusterMember> m_members;
  std::map<std::string, UnreachableMark> m_unreachable_marks;
  // Servers that other instances reported as unreachable, with the time of the
  // last report.
  std::map<std::string, TimePoint> m_peer_reported_unreachable;
  // Servers that most instances cannot reach, from the last heartbeat.
  std::set<std::string> m_majority_unreachable;
  ServerAvailability m_availability;
  ServerSlowdowns m_slow_servers;
  // Slow servers, with the time at which this instance reads their slowdown
  // again unless another instance has reported it by then.
  std::map<std::string, TimePoint> m_next_slowdown_check;
  // On the coordinator, crashes and starts of all instances.
  CrashTracker m_crash_tracker;
  std::vector<CrashReport> m_own_crashes;
  // Suspects of the last heartbeat, sent or received.
  TraitSet m_suspects;
  TraitQuarantine m_quarantine;
  // Demand of this instance in the last sum, by server.
  std::map<std::string, double> m_reported_limit_demand;
  // When the present coordinator became known.
  TimePoint m_coordinator_since;
  std::vector<CoordinationAction> m_actions;
};

class Coordination::Builder {
 public:
  Builder& SetAddress(std::string ip, std::string data_center);
  Builder& SetProcessorShare(int cpu_milli);
  // Rate of the instance's link in Mbit/s; 0 when it is not known.
  Builder& SetLinkRate(double mbps);
  // Start time of this process in microseconds since the Unix epoch.
  Builder& SetIncarnation(int64_t incarnation);
  // Window of the retry budget.
  Builder& SetRetryWindow(Duration window);
  Coordination Build(TimePoint now) const;

 private:
  std::string m_ip;
  std::string m_data_center;
  int m_cpu_milli = 0;
  double m_link_mbps = 0;
  int64_t m_incarnation = 0;
  Duration m_retry_window = std::chrono::seconds(10);
};

namespace detail {

// Maximum size of a datagram between instances, below the limit of IPv4.
inline constexpr size_t kMaxDatagramBytes = 60'000;

}  // namespace detail

}  // namespace trefoilwick
