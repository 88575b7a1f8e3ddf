// Instances joined by a network with injected faults in virtual time, for tests
// of Membership.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilwick/membership.h"

namespace trefoilwick {

class MembershipNetwork {
 public:
  struct Node {
    std::unique_ptr<Membership> membership;
    bool alive = true;
    TimePoint suspended_until{};
    std::vector<MemberChanged> changes;
    // Last reported state of each member that is not gone.
    std::map<std::string, MemberState> states;
    // Bytes of messages sent and received.
    uint64_t total_message_bytes = 0;
    size_t largest_message_bytes = 0;
  };

  explicit MembershipNetwork(int nodes, int data_centers = 1, uint64_t seed = 1)
      : m_random(seed), m_data_centers(data_centers) {
    for (int i = 0; i < nodes; ++i)
      StartNode(NodeId(i));
  }
  static std::string NodeId(int i) {
    return "entry-" + std::to_string(1000 + i);
  }

  Node& at(const std::string& id) { return *m_nodes.at(id); }
  Node& at(int i) { return at(NodeId(i)); }
  std::map<std::string, std::unique_ptr<Node>>& nodes() { return m_nodes; }
  TimePoint now() const { return m_now; }

  // Starts a process; it replaces an earlier one with the same id. With
  // `listed` it is on the instance list at once.
  void StartNode(const std::string& id, bool listed = true) {
    const int number = m_started_nodes++;
    Member self;
    self.id = id;
    self.incarnation = 1'700'000'000'000'000 + m_now.time_since_epoch().count();
    self.state = MemberState::kLive;
    self.data_center = "dc-" + std::to_string(number % m_data_centers);
    self.address = "10.1.2." + std::to_string(number % 250) + ":8080";
    self.peer_address = "10.1.2." + std::to_string(number % 250) + ":9090";
    auto node = std::make_unique<Node>();
    node->membership = std::make_unique<Membership>(self, MembershipOptions{},
                                                    m_random.Next());
    if (listed) {
      InstanceRecord record;
      record.id = id;
      record.role = "entry";
      record.data_center = self.data_center;
      record.address = self.address;
      record.peer_address = self.peer_address;
      instance_list[id] = record;
    }
    const auto previous = m_nodes.find(id);
    if (previous != m_nodes.end())
      m_replaced_nodes.push_back(std::move(previous->second));
    Node* started_node = node.get();
    m_nodes[id] = std::move(node);
    const auto offset = static_cast<int64_t>(m_random.UniformBelow(100'000));
    Schedule(Duration(offset),
             [this, started_node] { TickNode(*started_node); });
    Schedule(Duration(offset),
             [this, started_node] { PollInstanceList(*started_node); });
  }
  void KillNode(const std::string& id, Duration unlist_after) {
    at(id).alive = false;
    Schedule(unlist_after, [this, id] { instance_list.erase(id); });
  }
  void RunFor(Duration time) {
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto first = m_events.begin();
      m_now = first->first;
      const auto task = std::move(first->second);
      m_events.erase(first);
      task();
    }
    m_now = end;
  }
  // Time until `done` holds, checked every 50 ms; nullopt after `limit`.
  std::optional<Duration> TimeUntil(const std::function<bool()>& done,
                                    Duration limit) {
    const TimePoint start = m_now;
    while (!done()) {
      if (m_now - start >= limit)
        return std::nullopt;
      RunFor(Duration(50'000));
    }
    return m_now - start;
  }
  std::optional<MemberState> StateAt(const std::string& observer,
                                     const std::string& id) {
    const auto& states = at(observer).states;
    const auto it = states.find(id);
    return it == states.end() ? std::nullopt : std::optional(it->second);
  }
  // Whether all live nodes other than `id` see it in `state`; nullopt stands
  // for not in their view.
  bool AllNodesSee(const std::string& id, std::optional<MemberState> state) {
    for (auto& [name, node] : m_nodes)
      if (name != id && node->alive && StateAt(name, id) != state)
        return false;
    return true;
  }
  bool AllNodesSeeAllLive() {
    for (auto& [name, node] : m_nodes)
      if (node->alive && !AllNodesSee(name, MemberState::kLive))
        return false;
    return true;
  }

  // Returns true when messages from the first node to the second are lost.
  std::function<bool(const std::string&, const std::string&)> is_link_down;
  // Pairs of nodes whose open connection is silent; a new connection works.
  std::set<std::pair<std::string, std::string>> silent_connections;
  std::map<std::string, InstanceRecord> instance_list;
  bool instance_list_stale = false;
  // Items received by all nodes, by topic.
  std::map<std::string, int> received_item_counts;

 private:
  void Schedule(Duration delay, std::function<void()> task) {
    m_events.emplace(m_now + delay, std::move(task));
  }
  // Runs a task when the process is no longer suspended; drops it when the
  // process has ended.
  void RunOnNode(Node& node, const std::function<void()>& task) {
    if (!node.alive)
      return;
    if (node.suspended_until > m_now)
      Schedule(node.suspended_until - m_now,
               [this, &node, task] { RunOnNode(node, task); });
    else
      task();
  }
  void TickNode(Node& node) {
    RunOnNode(node, [this, &node] {
      node.membership->OnTick(m_now);
      ProcessActions(node);
      Schedule(Duration(200'000), [this, &node] { TickNode(node); });
    });
  }
  void PollInstanceList(Node& node) {
    RunOnNode(node, [this, &node] {
      if (!instance_list_stale &&
          m_now - m_published_list_at >= Duration(200'000)) {
        m_published_list.clear();
        for (const auto& [id, record] : instance_list)
          m_published_list.push_back(record);
        m_published_list_at = m_now;
      }
      node.membership->OnInstanceList(m_now, m_published_list);
      ProcessActions(node);
      Schedule(Duration(1'000'000), [this, &node] { PollInstanceList(node); });
    });
  }
  void ProcessActions(Node& node) {
    for (MembershipAction& action : node.membership->TakeActions())
      std::visit([&](auto& a) { ExecuteAction(node, a); }, action);
  }
  bool CanReach(const std::string& from, const std::string& to) const {
    return !is_link_down || !is_link_down(from, to);
  }
  void CountMessageBytes(Node& node, size_t bytes) {
    node.total_message_bytes += bytes;
    node.largest_message_bytes = std::max(node.largest_message_bytes, bytes);
  }
  // Sends a probe; `done` gets the reply, or nullopt after the timeout.
  void TransmitProbe(
      Node& from,
      const std::string& to,
      const GossipMessage& message,
      bool fresh_connection,
      const std::function<void(std::optional<GossipMessage>)>& done) {
    const std::string from_id = from.membership->self().id;
    auto finished = std::make_shared<bool>(false);
    const auto finish = [this, &from, done,
                         finished](const std::optional<GossipMessage>& reply) {
      RunOnNode(from, [this, &from, done, finished, reply] {
        if (std::exchange(*finished, true))
          return;
        done(reply);
        ProcessActions(from);
      });
    };
    Schedule(Duration(300'000), [finish] { finish(std::nullopt); });
    const std::string bytes = EncodeGossip(message);
    CountMessageBytes(from, bytes.size());
    if (fresh_connection)
      silent_connections.erase({from_id, to});
    if (!CanReach(from_id, to) || silent_connections.contains({from_id, to}))
      return;
    Schedule(Duration(600), [this, &from, from_id, to, bytes, finish] {
      const auto it = m_nodes.find(to);
      if (it == m_nodes.end() || !it->second->alive)
        return finish(std::nullopt);
      Node& target = *it->second;
      RunOnNode(target, [this, &from, &target, from_id, to, bytes, finish] {
        CountMessageBytes(target, bytes.size());
        const std::string reply = EncodeGossip(
            target.membership->OnProbe(m_now, *DecodeGossip(bytes)));
        ProcessActions(target);
        CountMessageBytes(target, reply.size());
        if (!CanReach(to, from_id))
          return;
        Schedule(Duration(600), [this, &from, reply, finish] {
          CountMessageBytes(from, reply.size());
          finish(*DecodeGossip(reply));
        });
      });
    });
  }
  void ExecuteAction(Node& node, SendProbe& probe) {
    TransmitProbe(node, probe.target.id, probe.message, probe.fresh_connection,
                  [this, &node, id = probe.probe_id](
                      const std::optional<GossipMessage>& reply) {
                    if (reply)
                      node.membership->OnProbeReply(m_now, id, *reply);
                    else
                      node.membership->OnProbeFailure(m_now, id);
                  });
  }
  void ExecuteAction(Node& node, SendIndirectProbe& probe) {
    const auto done = [this, &node, id = probe.probe_id](
                          const std::optional<GossipMessage>& reply) {
      RunOnNode(node, [this, &node, id, reply] {
        if (reply)
          node.membership->OnProbeReply(m_now, id, *reply);
        else
          node.membership->OnProbeFailure(m_now, id);
        ProcessActions(node);
      });
    };
    const std::string self = node.membership->self().id;
    const std::string via = probe.via.id;
    const auto it = m_nodes.find(via);
    if (it == m_nodes.end() || !it->second->alive || !CanReach(self, via)) {
      Schedule(Duration(600'000), [done] { done(std::nullopt); });
      return;
    }
    RunOnNode(*it->second, [this, &via_node = *it->second, self, via, probe,
                            done] {
      TransmitProbe(
          via_node, probe.target.id, probe.message, false,
          [this, self, via, done](const std::optional<GossipMessage>& reply) {
            if (CanReach(via, self))
              done(reply);
            else
              Schedule(Duration(300'000), [done] { done(std::nullopt); });
          });
    });
  }
  void ExecuteAction(Node& node, MemberChanged& change) {
    if (change.member.state == MemberState::kGone)
      node.states.erase(change.member.id);
    else
      node.states[change.member.id] = change.member.state;
    node.changes.push_back(change);
  }
  void ExecuteAction(Node& /*node*/, ItemReceived& received) {
    ++this->received_item_counts[received.item.topic];
  }

  TimePoint m_now{};
  Random m_random;
  int m_data_centers;
  int m_started_nodes = 0;
  std::map<std::string, std::unique_ptr<Node>> m_nodes;
  // Earlier processes, which queued events may still refer to.
  std::vector<std::unique_ptr<Node>> m_replaced_nodes;
  std::multimap<TimePoint, std::function<void()>> m_events;
  // The instance list as nodes read it, renewed several times a second.
  std::vector<InstanceRecord> m_published_list;
  TimePoint m_published_list_at{Duration(-1'000'000)};
};

}  // namespace trefoilwick
