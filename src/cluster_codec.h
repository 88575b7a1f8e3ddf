// Codec of the messages between instances: Thrift compact protocol
// (src/cluster.thrift), one message per datagram.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "trefoilwick/coordination.h"

namespace trefoilwick::detail {

// Longest row of a configuration that instances send to each other, below what
// they inflate of a message.
inline constexpr size_t kMaxRelayedRowBytes = 1'000'000;

// Server ids of the last server lists. Loads name a server by its position
// among the ids, because ids would otherwise be most of the bytes of a
// heartbeat.
class ServerIdDictionary {
 public:
  struct List {
    int64_t key = 0;
    // Sorted.
    std::vector<std::string> ids;
  };
  void Update(const ServerMap& servers);
  // The newest list; empty before the first.
  const List& newest() const { return m_lists.front(); }
  // Null when the list is no longer kept.
  const List* Find(int64_t key) const;

 private:
  std::deque<List> m_lists = {List()};
};

// Sends of all instances as an earlier coordinator summed them.
struct EarlierSends {
  ServiceSends sends;
  // Retries in `sends` that no other instance than that coordinator reported.
  ServiceSends unreported_sends;
  // Time since the sum was complete.
  Duration age{0};
};

// A crash, with its age when the message was sent.
struct CrashMessage {
  uint64_t id = 0;
  uint64_t server = 0;
  TraitSet traits;
  Duration age{0};
};

struct LimitMessage {
  std::string server;
  // Null when the server takes any number.
  std::optional<double> requests_per_second;
  // Of the answer that said so.
  Duration age{0};
  // Requests a second that choose the server: of the instance in a report, of
  // all instances in a heartbeat.
  double demand = 0;
};

// A shutdown that a server announced, with the age of the announcement.
struct LeavingMessage {
  ServerProcess process;
  Duration age{0};
};

struct InstanceReport {
  ClusterMember member;
  int64_t incarnation = 0;
  int64_t config_version = 0;
  StorePosition list_position;
  // Null when the loads refer to a list that the receiver does not know.
  std::optional<LoadMap> loads;
  ServiceSends sends;
  // Null when the sums of the present coordinator replace them.
  std::optional<EarlierSends> earlier_sends;
  // Time since the process started; null when the sender does not say.
  std::optional<Duration> process_age;
  // Servers that the instance cannot reach.
  std::set<std::string> unreachable_servers;
  // Crashes of requests of this instance.
  std::vector<CrashMessage> crashes;
  // Time since the last request with a suspect trait that began was sent.
  std::map<Trait, Duration> starts;
  std::vector<QuarantineEntry> quarantine;
  std::vector<LimitMessage> limits;
  // Servers that the server list shows as ready.
  std::vector<LeavingMessage> leaving;
  // Of this instance, while it sees a shortage of capacity.
  DemandRates demand;
};

struct CoordinatorHeartbeat {
  int64_t fencing_token = 0;
  std::string ip;
  int64_t config_version = 0;
  // Number of the change of the configuration that the coordinator is reading;
  // 0 when it reads none.
  int64_t config_change = 0;
  StorePosition list_position;
  Duration list_age{0};
  std::vector<ClusterMember> members;
  // Null when the loads refer to a list that the receiver does not know.
  std::optional<LoadMap> loads;
  std::set<std::string> unreachable_servers;
  bool store_reachable = true;
  std::map<std::string, LayerRange> placement_orders;
  std::map<std::string, LayerRange> reported_layers;
  ServiceSends sends;
  // Retries in `sends` that no other instance than the coordinator reports.
  ServiceSends unreported_sends;
  // Instances that share the retry budget; 0 when the sender does not say.
  int instances = 0;
  // Not all instances have reported to this coordinator yet: `loads` and
  // `sends` are what it knew before.
  bool sums_incomplete = false;
  // `sends` does not contain what instances that have ended retried in the
  // window.
  bool earlier_sends_unknown = false;
  TraitSet suspects;
  std::vector<QuarantineEntry> quarantine;
  std::vector<LimitMessage> limits;
  std::vector<LeavingMessage> leaving;
  // Of all instances that see a shortage of capacity.
  DemandRates demand;
};

struct ServerListMessage {
  int64_t fencing_token = 0;
  StorePosition position;
  Duration age{0};
  ServerMap servers;
};

struct UnreachableServersMessage {
  std::vector<std::string> servers;
};

struct RefusingServersMessage {
  std::vector<std::string> servers;
};

struct SlowServersMessage {
  // By server: time that its work takes, as a multiple of what it should take.
  std::map<std::string, double> slowdowns;
};

struct ConfigurationMessage {
  int64_t version = 0;
  // Row of the store.
  std::string row;
};

using ClusterMessage = std::variant<InstanceReport,
                                    CoordinatorHeartbeat,
                                    ServerListMessage,
                                    UnreachableServersMessage,
                                    RefusingServersMessage,
                                    SlowServersMessage,
                                    ConfigurationMessage>;

std::string EncodeReport(const InstanceReport& report,
                         const ServerIdDictionary& dictionary);
std::string EncodeHeartbeat(const CoordinatorHeartbeat& heartbeat,
                            const ServerIdDictionary& dictionary);
std::string EncodeServerList(const ServerListMessage& list);
std::string EncodeUnreachableServers(const std::vector<std::string>& servers);
std::string EncodeRefusingServers(const std::vector<std::string>& servers);
std::string EncodeSlowServers(const std::map<std::string, double>& slowdowns);
std::string EncodeConfiguration(const ConfigurationMessage& configuration);
// Null when the bytes are not a valid message.
std::optional<ClusterMessage> DecodeClusterMessage(
    const std::string& bytes,
    const ServerIdDictionary& dictionary);

}  // namespace trefoilwick::detail
