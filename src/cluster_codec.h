// Codec of the messages between instances: Thrift compact protocol
// (src/cluster.thrift), one message a datagram.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "trefoilwick/coordination.h"

namespace trefoilwick::detail {

// Remembers the ids of the last server lists, so that loads name a server by
// its position among them: ids are most of the bytes of a beat otherwise.
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
  // Null when it is not remembered.
  const List* Find(int64_t key) const;

 private:
  std::deque<List> m_lists = {List()};
};

struct InstanceReport {
  ClusterMember member;
  int64_t incarnation = 0;
  int64_t config_version = 0;
  int64_t list_version = 0;
  // Null when they refer to a list that the receiver does not know.
  std::optional<LoadMap> loads;
  SendCounts send_counts;
  // Servers that the instance cannot reach.
  std::set<std::string> unreachable_servers;
};

struct CoordinatorHeartbeat {
  int64_t fencing_token = 0;
  std::string ip;
  int64_t config_version = 0;
  int64_t list_version = 0;
  Duration list_age{0};
  std::vector<ClusterMember> members;
  // Null when they refer to a list that the receiver does not know.
  std::optional<LoadMap> loads;
  std::set<std::string> unreachable_servers;
  bool store_reachable = true;
  std::map<std::string, LayerRange> placement_orders;
  std::map<std::string, LayerRange> reported_layers;
  SendCounts send_counts;
};

struct ServerListMessage {
  int64_t fencing_token = 0;
  int64_t version = 0;
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
  // Pace by server.
  std::map<std::string, double> slowdowns;
};

struct ConfigurationMessage {
  int64_t version = 0;
  // As the store holds it.
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
                         const ServerIdDictionary& names);
std::string EncodeHeartbeat(const CoordinatorHeartbeat& beat,
                            const ServerIdDictionary& names);
std::string EncodeServerList(const ServerListMessage& list);
std::string EncodeUnreachableServers(const std::vector<std::string>& servers);
std::string EncodeRefusingServers(const std::vector<std::string>& servers);
std::string EncodeSlowServers(const std::map<std::string, double>& paces);
std::string EncodeConfiguration(const ConfigurationMessage& configuration);
// Null when the bytes are no message.
std::optional<ClusterMessage> DecodeClusterMessage(
    const std::string& bytes,
    const ServerIdDictionary& names);

}  // namespace trefoilwick::detail
