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
class ServerNames {
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
  SendCounts sends;
  // Servers that the instance cannot reach.
  std::set<std::string> lost;
};

struct CoordinatorBeat {
  int64_t fence = 0;
  std::string ip;
  int64_t config_version = 0;
  int64_t list_version = 0;
  Duration list_age{0};
  std::vector<ClusterMember> members;
  // Null when they refer to a list that the receiver does not know.
  std::optional<LoadMap> loads;
  std::set<std::string> lost;
  bool store_reachable = true;
  std::map<std::string, LayerRange> orders;
  std::map<std::string, LayerRange> held;
  SendCounts sends;
};

struct ServerListMessage {
  int64_t fence = 0;
  int64_t version = 0;
  Duration age{0};
  ServerMap servers;
};

struct LostServers {
  std::vector<std::string> servers;
};

struct RefusingServers {
  std::vector<std::string> servers;
};

struct SlowServers {
  // Pace by server.
  std::map<std::string, double> paces;
};

struct ConfigurationMessage {
  int64_t version = 0;
  // As the store holds it.
  std::string row;
};

using ClusterMessage = std::variant<InstanceReport,
                                    CoordinatorBeat,
                                    ServerListMessage,
                                    LostServers,
                                    RefusingServers,
                                    SlowServers,
                                    ConfigurationMessage>;

std::string EncodeReport(const InstanceReport& report,
                         const ServerNames& names);
std::string EncodeBeat(const CoordinatorBeat& beat, const ServerNames& names);
std::string EncodeServerList(const ServerListMessage& list);
std::string EncodeLost(const std::vector<std::string>& servers);
std::string EncodeRefusing(const std::vector<std::string>& servers);
std::string EncodeSlow(const std::map<std::string, double>& paces);
std::string EncodeConfiguration(const ConfigurationMessage& configuration);
// Null when the bytes are no message.
std::optional<ClusterMessage> DecodeClusterMessage(const std::string& bytes,
                                                   const ServerNames& names);

}  // namespace trefoilwick::detail
