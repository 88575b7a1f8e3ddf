// Instances of a deployment on one clock, with a store and links that can fail.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../src/cluster_codec.h"
#include "trefoilwick/coordination.h"

namespace trefoilwick {

inline constexpr Duration kStoreDelay = std::chrono::milliseconds(5);
inline constexpr Duration kLinkDelay = std::chrono::milliseconds(1);

// A store with one lease row, a server list and a configuration version.
struct FakeStore {
  bool reachable = true;
  // 0 for a store that does not name its era.
  int64_t era = 0;
  int64_t version = 1;
  LeaseRow lease;
  ServerMap servers;
  int64_t config_version = 1;
  int calls = 0;
  int config_reads = 0;
  int lease_reads = 0;
};

// Instances on one clock, with a store and with links that can go down.
class Cluster {
 public:
  explicit Cluster(int count) {
    for (int i = 0; i < count; ++i)
      StartNode(i);
  }

  struct Node {
    std::unique_ptr<Coordination> coordination;
    bool alive = true;
    bool store_reachable = true;
    bool links_up = true;
    // Instances reach those of their own partition only.
    int partition = 0;
    // Runs nothing; what arrives is handled once it runs again.
    bool suspended = false;
    int64_t config_version = 0;
    // Lease writes take effect, but their answers are lost.
    bool lose_answers = false;
  };

  void StartNode(int index, int cpu_milli = 170) {
    Node& node = m_nodes[NodeIp(index)];
    node = Node();
    node.coordination = std::make_unique<Coordination>(
        Coordination::Builder()
            .SetAddress(NodeIp(index), index % 2 == 0 ? "regina" : "brandon")
            .SetProcessorShare(cpu_milli)
            .SetIncarnation(m_now.time_since_epoch().count())
            .Build(m_now));
  }

  static std::string NodeIp(int index) {
    return "10.0." + std::to_string(index / kHostsPerNetwork) + "." +
           std::to_string(index % kHostsPerNetwork);
  }
  Node& NodeAt(int index) { return m_nodes.at(NodeIp(index)); }
  FakeStore& store() { return m_store; }
  // The store comes back from a copy, in a new era.
  void RollBack(const FakeStore& copy) {
    ++m_store.era;
    m_store.version = copy.version;
    m_store.lease = copy.lease;
    m_store.servers = copy.servers;
    m_store.config_version = copy.config_version;
  }
  // All leases that the store has taken, in order.
  std::vector<LeaseRow> accepted_leases;
  // Server lists sent to each instance.
  std::map<std::string, int> sent_list_counts;
  // In these tests the row of a configuration is its version.
  void InstallConfiguration(Node& node, int64_t version) {
    node.config_version = version;
    node.coordination->OnConfigurationApplied(m_now, version,
                                              std::to_string(version));
  }
  TimePoint now() const { return m_now; }

  void RunFor(Duration time) {
    const TimePoint end = m_now + time;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(1);
      RunDueEvents();
      if (m_now.time_since_epoch() % Coordination::kTickInterval == Duration(0))
        for (auto& [ip, node] : m_nodes)
          if (node.alive && !node.suspended)
            node.coordination->OnTick(m_now);
      for (auto& [ip, node] : m_nodes)
        if (node.alive && !node.suspended)
          ProcessActions(ip, node);
    }
  }

  void Resume(int index) {
    Node& node = NodeAt(index);
    if (std::exchange(node.suspended, false) && node.alive)
      node.coordination->OnSuspended(m_now);
  }

  // The coordinator; empty when there is none or more than one.
  std::string Coordinator() {
    std::string coordinator_ip;
    for (auto& [ip, node] : m_nodes) {
      if (!node.alive || !node.coordination->is_coordinator())
        continue;
      if (!coordinator_ip.empty())
        return "";
      coordinator_ip = ip;
    }
    return coordinator_ip;
  }

  int IndexOf(const std::string& ip) const {
    const size_t host = ip.rfind('.');
    const size_t network = ip.rfind('.', host - 1);
    return std::stoi(ip.substr(network + 1)) * kHostsPerNetwork +
           std::stoi(ip.substr(host + 1));
  }

 private:
  static constexpr int kHostsPerNetwork = 256;

  struct Event {
    TimePoint at;
    std::string ip;
    std::function<void(Coordination&)> run;
  };

  void Schedule(Duration delay,
                const std::string& ip,
                std::function<void(Coordination&)> run) {
    m_events.push_back({m_now + delay, ip, std::move(run)});
  }

  void RunDueEvents() {
    std::deque<Event> pending;
    for (Event& event : std::exchange(m_events, {})) {
      if (event.at > m_now || m_nodes.at(event.ip).suspended) {
        pending.push_back(std::move(event));
        continue;
      }
      Node& node = m_nodes.at(event.ip);
      if (node.alive)
        event.run(*node.coordination);
    }
    for (Event& event : m_events)
      pending.push_back(std::move(event));
    m_events = std::move(pending);
  }

  void ProcessActions(const std::string& ip, Node& node) {
    for (auto& action : node.coordination->TakeActions())
      std::visit(
          Overloaded{
              [&](SendDatagram& send) {
                const auto message =
                    detail::DecodeClusterMessage(send.bytes, {});
                if (message &&
                    std::holds_alternative<detail::ServerListMessage>(*message))
                  ++sent_list_counts[send.ip];
                const auto to = m_nodes.find(send.ip);
                if (to == m_nodes.end() || !node.links_up ||
                    !to->second.links_up ||
                    node.partition != to->second.partition)
                  return;
                Schedule(kLinkDelay, send.ip,
                         [this, bytes = send.bytes](Coordination& c) {
                           c.OnDatagram(m_now, bytes);
                         });
              },
              [](ProbeServer&) {},
              [&](ReadLease&) {
                ++m_store.lease_reads;
                const bool ok = BeginStoreCall(node);
                Schedule(kStoreDelay, ip, [this, ok](Coordination& c) {
                  c.OnLease(m_now,
                            ok ? std::optional(LeaseAsRead()) : std::nullopt);
                });
              },
              [&](WriteLease& write) { ExecuteLeaseWrite(ip, node, write); },
              [&](ReadServerList&) {
                const bool ok = BeginStoreCall(node);
                const TimePoint requested_at = m_now;
                Schedule(kStoreDelay, ip,
                         [this, ok, requested_at](Coordination& c) {
                           if (ok)
                             c.OnServerList(m_now, requested_at,
                                            {m_store.era, m_store.version},
                                            m_store.servers);
                           else
                             c.OnServerListReadFailed(m_now);
                         });
              },
              [&](ReadConfiguration&) {
                if (!BeginStoreCall(node))
                  return node.coordination->OnConfigurationReadFailed(m_now);
                ++m_store.config_reads;
                InstallConfiguration(node, m_store.config_version);
              },
              [&](ApplyConfiguration& apply) {
                // Random bytes are not a configuration.
                if (apply.row == std::to_string(m_store.config_version))
                  InstallConfiguration(node, m_store.config_version);
              },
          },
          action);
  }

  LeaseRow LeaseAsRead() const {
    LeaseRow lease = m_store.lease;
    lease.position.era = m_store.era;
    return lease;
  }

  bool BeginStoreCall(const Node& node) {
    ++m_store.calls;
    return m_store.reachable && node.store_reachable;
  }

  void ExecuteLeaseWrite(const std::string& ip,
                         Node& node,
                         const WriteLease& write) {
    if (!BeginStoreCall(node)) {
      Schedule(kStoreDelay, ip, [this, row = write.row](Coordination& c) {
        c.OnLeaseWritten(m_now, LeaseWriteResult::kUnknown, row);
      });
      return;
    }
    const bool version_matches =
        m_store.lease.position.version == write.expected.version;
    if (version_matches) {
      CPPUNIT_ASSERT(write.row.fencing_token >= m_store.lease.fencing_token);
      m_store.lease = write.row;
      m_store.lease.position.version = ++m_store.version;
      accepted_leases.push_back(m_store.lease);
    }
    const bool same_era = m_store.era == write.expected.era;
    const auto result = node.lose_answers || (version_matches && !same_era)
                            ? LeaseWriteResult::kUnknown
                        : version_matches ? LeaseWriteResult::kWritten
                                          : LeaseWriteResult::kConflict;
    Schedule(kStoreDelay, ip,
             [this, result, row = LeaseAsRead()](Coordination& c) {
               c.OnLeaseWritten(m_now, result, row);
             });
  }

  TimePoint m_now{std::chrono::seconds(1000)};
  std::map<std::string, Node> m_nodes;
  std::deque<Event> m_events;
  FakeStore m_store;
};

inline BackendServer Server(const std::string& id) {
  BackendServer server;
  server.id = id;
  server.service = "pool";
  server.address = "10.1.0.1:80";
  return server;
}

}  // namespace trefoilwick
