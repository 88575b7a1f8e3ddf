// Who coordinates a deployment, and what the instances tell each other: the
// server list, the version of the configuration, members and loads. One
// instance holds a lease in the platform's store; it reads the list for all
// and gives orders to servers. Without I/O: events go in, actions come out.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "trefoilwick/layer_path.h"
#include "trefoilwick/liveness.h"

namespace trefoilwick {

namespace detail {
class ServerIdDictionary;
}

struct ClusterMember {
  std::string ip;
  std::string data_center;
  // Takes new requests.
  bool accepting = true;
  // Processor share, in thousandths of a core.
  int cpu_milli = 0;
};

// The lease row as the store holds it.
struct LeaseRow {
  // Store version of the row; 0 when there is none.
  int64_t row_version = 0;
  // Increases with every holder: the fencing token of its orders.
  int64_t fencing_token = 0;
  std::string holder_ip;
  int64_t holder_incarnation = 0;
};

struct SendDatagram {
  std::string ip;
  std::string bytes;
};
struct ReadLease {};
// Write the lease if the row still has `expected_version`.
struct WriteLease {
  LeaseRow row;
  int64_t expected_version = 0;
};
struct ReadServerList {};
// A newer configuration is announced; read it from the store.
struct ReadConfiguration {};
// The coordinator passed a newer configuration on, as the store holds it.
struct ApplyConfiguration {
  std::string row;
};
// Another instance finds the server lost: see for oneself.
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

// Sends to servers in the current retry window.
struct SendCounts {
  int requests = 0;
  int retries = 0;
};

enum class LeaseWriteResult : uint8_t { kWritten, kConflict, kUnknown };

class Coordination {
 public:
  class Builder;

  // Call every kTickInterval.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

  void OnTick(TimePoint now);
  void OnDatagram(TimePoint now, const std::string& bytes);
  // Null: the store did not answer.
  void OnLease(TimePoint now, const std::optional<LeaseRow>& row);
  void OnLeaseWritten(TimePoint now,
                      LeaseWriteResult result,
                      const LeaseRow& row);
  // `asked` is when the call was sent: the list is at least that fresh.
  void OnServerList(TimePoint now,
                    TimePoint asked,
                    int64_t version,
                    ServerMap servers);
  void OnServerListReadFailed(TimePoint now);
  // A newer configuration is in force here; `row` is what the store holds. The
  // coordinator passes it on, so that the others need not read it.
  void OnConfigurationApplied(TimePoint now, int64_t version, std::string row);
  void OnConfigurationRead(TimePoint now) { OnStoreAnswered(now); }
  void OnConfigurationReadFailed(TimePoint now);
  // The process stood still: nothing believed before may be used.
  void OnSuspended(TimePoint now);
  // A server refused an order because of a higher fencing token.
  void OnFencingTokenRejected(TimePoint now);

  // What this instance has in progress, by server.
  void SetLocalLoads(LoadMap loads) { m_local_loads = std::move(loads); }
  void SetLocalSendCounts(SendCounts sends) { m_local_send_counts = sends; }
  // Sends of the other instances.
  SendCounts PeerSendCounts(TimePoint now) const;
  // Orders that this coordinator gave and the list does not show yet: what a
  // server is about to give up is not used any more.
  void SetPlacementOrders(TimePoint now,
                          std::map<std::string, LayerRange> orders);
  // The server reported these layers: the list follows some time later.
  void OnLayersReported(TimePoint now,
                        const std::string& server,
                        LayerRange layers);
  const std::map<std::string, LayerRange>& placement_orders() const {
    return m_placement_orders;
  }
  void SetAccepting(bool accepting) { m_accepting = accepting; }
  // This instance found that a server does not accept connections. The mark
  // ends unless it is repeated.
  void MarkUnreachable(TimePoint now, const std::string& server);
  void ClearUnreachable(const std::string& server);

  // A server refused a request; it is left out for a while, here and by the
  // others, which hear of it.
  void MarkRefusing(TimePoint now, const std::string& server);
  std::set<std::string> RefusingServers(TimePoint now) const;
  // Servers that go on refusing.
  std::set<std::string> PersistentlyRefusingServers(TimePoint now) const {
    return m_refusing_servers.RepeatedlyRefusing(now);
  }

  // This instance read the pace of a server; the others hear of it when it is
  // new, and often enough for as long as it is slow.
  void SetSlowdown(TimePoint now, const std::string& server, double pace);
  // Servers that are slow, by pace.
  std::map<std::string, double> SlowServers(TimePoint now) const {
    return m_slow_servers.Active(now);
  }
  // Slow servers whose pace this instance is to read again: as a rule those
  // that it told the others of, else those of which nobody told for long.
  std::set<std::string> SlowServersToRecheck(TimePoint now) const;

  std::vector<CoordinationAction> TakeActions();

  bool is_coordinator() const { return m_is_coordinator; }
  // Announcements of a coordinator that reaches the store arrive.
  bool ReceivesCoordinatorHeartbeats(TimePoint now) const;
  int64_t fencing_token() const { return m_fencing_token; }
  const std::string& coordinator_ip() const { return m_coordinator_ip; }
  // The list as it was read, with the layers that servers reported since.
  const std::shared_ptr<const ServerMap>& listed_servers() const {
    return m_listed_servers;
  }
  // The list, less the layers that servers are about to give up.
  const std::shared_ptr<const ServerMap>& usable_servers() const {
    return m_usable_servers;
  }
  bool has_server_list() const { return m_list_version > 0; }
  // Age of the server list.
  Duration ServerListAge(TimePoint now) const { return now - m_list_fresh_at; }
  int64_t list_version() const { return m_list_version; }
  // Members that are alive, this one included.
  std::vector<ClusterMember> Members(TimePoint now) const;
  // Loads of all instances, this one included.
  LoadMap Loads(TimePoint now) const;
  // Servers believed lost.
  std::set<std::string> LostServers(TimePoint now) const;
  // Servers that this instance cannot reach and others do: they may serve
  // behind another server.
  std::set<std::string> LocallyUnreachableServers(TimePoint now) const;
  // Servers lost for at least that long, for most instances.
  std::set<std::string> ConfirmedLostServers(TimePoint now,
                                             Duration at_least) const;

 private:
  friend class Builder;
  Coordination() = default;
  struct Peer {
    ClusterMember member;
    int64_t list_version = 0;
    TimePoint last_report_at;
    LoadMap loads;
    SendCounts send_counts;
    std::set<std::string> unreachable_servers;
    // The list was sent, and is not sent again before it can have been
    // acknowledged.
    int64_t sent_list_version = 0;
    TimePoint list_sent_at;
  };
  struct UnreachableMark {
    TimePoint since;
    TimePoint until;
  };
  // The coordinator by what the others report, the others by its beats.
  LossVerdict AssessUnreachableServer(TimePoint now,
                                      const std::string& server,
                                      const UnreachableMark& mark) const;

  LoadMap EstimateUnreportedPeerLoads() const;
  void OnStoreAnswered(TimePoint now);
  // Derives the server maps from what was read, reported and ordered.
  void UpdateServers(TimePoint now);
  void SendReport(TimePoint now);
  void SendHeartbeats(TimePoint now);
  void SendList(TimePoint now, const std::string& ip, Peer& peer);
  void SendConfiguration(TimePoint now, const std::string& ip);
  // True when the link has room for so many bytes to be passed on, which are
  // then taken from it.
  bool TryConsumeLinkBudget(TimePoint now, size_t bytes);
  // A much smaller instance coordinates and this one is next.
  bool ShouldReplaceCoordinator(TimePoint now) const;
  void TryTakeOver(TimePoint now);
  void FollowCoordinator(TimePoint now, const LeaseRow& row);
  void StepDown(TimePoint now);
  void ReadListIfStale(TimePoint now);
  void Broadcast(TimePoint now, const std::string& bytes);
  void RemoveExpiredHealthState(TimePoint now);
  void UpdateMajorityUnreachable(TimePoint now,
                                 const std::set<std::string>& lost);
  void HandleUnreachableReport(TimePoint now, const std::string& server);
  void HandleSlowdownReport(TimePoint now,
                            const std::string& server,
                            double pace);
  void ReadConfigurationIfNewer(TimePoint now, int64_t version);
  // Members that would coordinate before this one.
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
  std::string m_coordinator_ip;
  TimePoint m_last_heartbeat_at;
  TimePoint m_next_lease_call;
  TimePoint m_last_store_answer_at;
  // A call to the store failed since the last answer.
  bool m_store_failing = false;
  TimePoint m_next_report;
  TimePoint m_next_heartbeat;
  int m_heartbeat_count = 0;
  // Bytes a second that the link carries; 0 when that is not known.
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
  int64_t m_list_version = 0;
  // Datagram with the list, as of m_list_encoded_at.
  std::string m_list_message;
  TimePoint m_list_encoded_at;
  TimePoint m_list_fresh_at;
  bool m_list_call_pending = false;
  int m_list_failures = 0;
  TimePoint m_next_list_call;

  int64_t m_config_version = 0;
  // Datagram that holds the configuration; empty when there is none or it does
  // not fit.
  std::string m_config_message;
  TimePoint m_next_config_call;

  LoadMap m_local_loads;
  // Loads of all instances as the coordinator sums them, and this instance's
  // part of that sum, which is what it reported last.
  LoadMap m_cluster_loads;
  LoadMap m_own_loads_in_cluster_sum;
  LoadMap m_reported_loads;
  SendCounts m_local_send_counts;
  SendCounts m_reported_send_counts;
  SendCounts m_peer_send_counts;
  std::map<std::string, Peer> m_peers;
  std::vector<ClusterMember> m_members;
  std::map<std::string, UnreachableMark> m_unreachable_marks;
  // Servers that others told of, and when.
  std::map<std::string, TimePoint> m_peer_reported_unreachable;
  // Servers that most instances cannot reach, by the last beat.
  std::set<std::string> m_majority_unreachable;
  RefusalCooldowns m_refusing_servers;
  ServerSlowdowns m_slow_servers;
  // Slow servers, and when this instance reads their pace again unless another
  // one has told it by then.
  std::map<std::string, TimePoint> m_next_slowdown_check;
  std::vector<CoordinationAction> m_actions;
};

class Coordination::Builder {
 public:
  Builder& SetAddress(std::string ip, std::string data_center);
  Builder& SetProcessorShare(int cpu_milli);
  // Rate of the instance's link, Mbit/s; 0 when it is not known.
  Builder& SetLinkRate(double mbps);
  // Start of this process, microseconds since the Unix epoch.
  Builder& SetIncarnation(int64_t incarnation);
  Coordination Build(TimePoint now) const;

 private:
  std::string m_ip;
  std::string m_data_center;
  int m_cpu_milli = 0;
  double m_link_mbps = 0;
  int64_t m_incarnation = 0;
};

namespace detail {

// A member that was not heard for this long does not count.
inline constexpr Duration kMemberTimeout = std::chrono::milliseconds(1500);
// Largest datagram between instances, below the limit of IPv4.
inline constexpr size_t kMaxDatagramBytes = 60'000;

}  // namespace detail

}  // namespace trefoilwick
