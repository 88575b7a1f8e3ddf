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
class ServerNames;
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
  int64_t fence = 0;
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
struct AdoptConfiguration {
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
                                        AdoptConfiguration>;

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
  void OnServerListFailed(TimePoint now);
  // A newer configuration is in force here; `row` is what the store holds. The
  // coordinator passes it on, so that the others need not read it.
  void OnConfiguration(TimePoint now, int64_t version, std::string row);
  void OnConfigurationRead(TimePoint now) { NoteStoreAnswered(now); }
  void OnConfigurationFailed(TimePoint now);
  // The process stood still: nothing believed before may be used.
  void OnSuspended(TimePoint now);
  // A server refused an order because of a higher fencing token.
  void OnFenced(TimePoint now);

  // What this instance has in progress, by server.
  void SetLocalLoads(LoadMap loads) { m_local_loads = std::move(loads); }
  void SetLocalSends(SendCounts sends) { m_local_sends = sends; }
  // Sends of the other instances.
  SendCounts SendsElsewhere(TimePoint now) const;
  // Orders that this coordinator gave and the list does not show yet: what a
  // server is about to give up is not used any more.
  void SetOrders(TimePoint now, std::map<std::string, LayerRange> orders);
  // The server reported these layers: the list follows some time later.
  void OnLayersReported(TimePoint now,
                        const std::string& server,
                        LayerRange layers);
  const std::map<std::string, LayerRange>& orders() const { return m_orders; }
  void SetAccepting(bool accepting) { m_accepting = accepting; }
  // This instance found that a server does not accept connections. The mark
  // ends unless it is repeated.
  void MarkLost(TimePoint now, const std::string& server);
  void MarkFound(const std::string& server);

  // A server refused a request; it is left out for a while, here and by the
  // others, which hear of it.
  void MarkRefusing(TimePoint now, const std::string& server);
  std::set<std::string> Refusing(TimePoint now) const;
  // Servers that go on refusing.
  std::set<std::string> RefusingAgain(TimePoint now) const {
    return m_refusing.Persistent(now);
  }

  // This instance read the pace of a server; the others hear of it when it is
  // new, and often enough for as long as it is slow.
  void SetPace(TimePoint now, const std::string& server, double pace);
  // Servers that are slow, by pace.
  std::map<std::string, double> SlowServers(TimePoint now) const {
    return m_slow.Active(now);
  }
  // Slow servers whose pace this instance is to read again: as a rule those
  // that it told the others of, else those of which nobody told for long.
  std::set<std::string> PacesToRead(TimePoint now) const;

  std::vector<CoordinationAction> TakeActions();

  bool is_coordinator() const { return m_is_coordinator; }
  // Announcements of a coordinator that reaches the store arrive.
  bool HearsCoordinator(TimePoint now) const;
  int64_t fence() const { return m_fence; }
  const std::string& coordinator_ip() const { return m_coordinator_ip; }
  // The list as it was read, with the layers that servers reported since.
  const std::shared_ptr<const ServerMap>& listed() const { return m_servers; }
  // The list, less the layers that servers are about to give up.
  const std::shared_ptr<const ServerMap>& servers() const { return m_usable; }
  bool has_servers() const { return m_list_version > 0; }
  // Age of the server list.
  Duration ListAge(TimePoint now) const { return now - m_list_fresh_at; }
  int64_t list_version() const { return m_list_version; }
  // Members that are alive, this one included.
  std::vector<ClusterMember> Members(TimePoint now) const;
  // Loads of all instances, this one included.
  LoadMap Loads(TimePoint now) const;
  // Servers believed lost.
  std::set<std::string> Lost(TimePoint now) const;
  // Servers that this instance cannot reach and others do: they may serve
  // behind another server.
  std::set<std::string> UnreachableHere(TimePoint now) const;
  // Servers lost for at least that long, for most instances.
  std::set<std::string> ConfirmedLost(TimePoint now, Duration at_least) const;

 private:
  friend class Builder;
  Coordination() = default;
  struct Peer {
    ClusterMember member;
    int64_t list_version = 0;
    TimePoint heard;
    LoadMap loads;
    SendCounts sends;
    std::set<std::string> lost;
    // The list was sent, and is not sent again before it can have been
    // acknowledged.
    int64_t list_sent = 0;
    TimePoint list_sent_at;
  };
  struct LostMark {
    TimePoint since;
    TimePoint until;
  };
  // The coordinator by what the others report, the others by its beats.
  LossVerdict Verdict(TimePoint now,
                      const std::string& server,
                      const LostMark& mark) const;

  LoadMap NotToldByOthers() const;
  void NoteStoreAnswered(TimePoint now);
  // Derives the server maps from what was read, reported and ordered.
  void UpdateServers(TimePoint now);
  void SendReport(TimePoint now);
  void SendBeats(TimePoint now);
  void SendList(TimePoint now, const std::string& ip, Peer& peer);
  void SendConfiguration(TimePoint now, const std::string& ip);
  // True when the link has room for so many bytes to be passed on, which are
  // then taken from it.
  bool TakeLink(TimePoint now, size_t bytes);
  // A much smaller instance coordinates and this one is next.
  bool ShouldRelieve(TimePoint now) const;
  void TryTakeOver(TimePoint now);
  void Follow(TimePoint now, const LeaseRow& row);
  void StepDown(TimePoint now);
  void ReadListIfStale(TimePoint now);
  void Broadcast(TimePoint now, const std::string& bytes);
  void SweepHealth(TimePoint now);
  void HearDeploymentLost(TimePoint now, const std::set<std::string>& lost);
  void HearOfLost(TimePoint now, const std::string& server);
  void HearOfPace(TimePoint now, const std::string& server, double pace);
  void NoteConfigVersion(TimePoint now, int64_t version);
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
  bool m_knows_lease = false;
  bool m_coordinator_has_store = false;
  int64_t m_fence = 0;
  LeaseRow m_lease;
  std::string m_coordinator_ip;
  TimePoint m_beat_heard;
  TimePoint m_next_lease_call;
  TimePoint m_store_answered;
  // A call to the store failed since the last answer.
  bool m_store_failing = false;
  TimePoint m_next_report;
  TimePoint m_next_beat;
  int m_beats = 0;
  // Bytes a second that the link carries; 0 when that is not known.
  double m_link_bytes = 0;
  double m_link_room = 0;
  TimePoint m_link_refilled;
  TimePoint m_following_since;
  bool m_relieving = false;

  struct ReportedLayers {
    LayerRange layers;
    TimePoint until;
  };
  std::shared_ptr<const ServerMap> m_read = std::make_shared<const ServerMap>();
  std::map<std::string, ReportedLayers> m_reported;
  std::shared_ptr<detail::ServerNames> m_names;
  std::shared_ptr<const ServerMap> m_servers =
      std::make_shared<const ServerMap>();
  std::shared_ptr<const ServerMap> m_usable =
      std::make_shared<const ServerMap>();
  std::map<std::string, LayerRange> m_orders;
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
  LoadMap m_loads_in_sum;
  LoadMap m_reported_loads;
  SendCounts m_local_sends;
  SendCounts m_reported_sends;
  SendCounts m_sends_elsewhere;
  std::map<std::string, Peer> m_peers;
  std::vector<ClusterMember> m_members;
  std::map<std::string, LostMark> m_lost;
  // Servers that others told of, and when.
  std::map<std::string, TimePoint> m_heard_lost;
  // Servers that most instances cannot reach, by the last beat.
  std::set<std::string> m_deployment_lost;
  RefusalMarks m_refusing;
  SlowMarks m_slow;
  // Slow servers, and when this instance reads their pace again unless another
  // one has told it by then.
  std::map<std::string, TimePoint> m_next_pace_reading;
  std::vector<CoordinationAction> m_actions;
};

class Coordination::Builder {
 public:
  Builder& SetAddress(std::string ip, std::string data_center);
  Builder& SetProcessorShare(int cpu_milli);
  // Rate of the instance's link, Mbit/s; 0 when it is not known.
  Builder& SetLink(double mbps);
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
inline constexpr Duration kMemberSilence = std::chrono::milliseconds(1500);
// Largest datagram between instances, below the limit of IPv4.
inline constexpr size_t kMaxDatagramBytes = 60'000;

}  // namespace detail

}  // namespace trefoilwick
