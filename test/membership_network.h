// Instances joined by a network with faults in virtual time, for tests of
// Membership.
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
    std::unique_ptr<Membership> members;
    bool alive = true;
    TimePoint frozen_until{};
    std::vector<MemberChanged> changes;
    // Newest reported state of each member that is not gone.
    std::map<std::string, MemberState> states;
    // Bytes of messages sent and received.
    uint64_t bytes = 0;
    size_t largest = 0;
  };

  explicit MembershipNetwork(int nodes, int data_centers = 1, uint64_t seed = 1)
      : m_random(seed), m_data_centers(data_centers) {
    for (int i = 0; i < nodes; ++i)
      Start(Name(i));
  }
  static std::string Name(int i) { return "entry-" + std::to_string(1000 + i); }

  Node& at(const std::string& id) { return *m_nodes.at(id); }
  Node& at(int i) { return at(Name(i)); }
  std::map<std::string, std::unique_ptr<Node>>& nodes() { return m_nodes; }
  TimePoint now() const { return m_now; }

  // Starts a process, or another one with the same id, on the list at once.
  void Start(const std::string& id, bool listed = true) {
    const int number = m_started++;
    Member self;
    self.id = id;
    self.incarnation = 1'700'000'000'000'000 + m_now.time_since_epoch().count();
    self.state = MemberState::kLive;
    self.data_center = "dc-" + std::to_string(number % m_data_centers);
    self.address = "10.1.2." + std::to_string(number % 250) + ":8080";
    self.peer_address = "10.1.2." + std::to_string(number % 250) + ":9090";
    auto node = std::make_unique<Node>();
    node->members = std::make_unique<Membership>(self, MembershipOptions{},
                                                 m_random.Next());
    if (listed) {
      InstanceRecord record;
      record.id = id;
      record.role = "entry";
      record.data_center = self.data_center;
      record.address = self.address;
      record.peer_address = self.peer_address;
      list[id] = record;
    }
    const auto old = m_nodes.find(id);
    if (old != m_nodes.end())
      m_retired.push_back(std::move(old->second));
    Node* raw = node.get();
    m_nodes[id] = std::move(node);
    const auto offset = static_cast<int64_t>(m_random.Below(100'000));
    At(Duration(offset), [this, raw] { Tick(*raw); });
    At(Duration(offset), [this, raw] { PollList(*raw); });
  }
  void Kill(const std::string& id, Duration unlist_after) {
    at(id).alive = false;
    At(unlist_after, [this, id] { list.erase(id); });
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
  // Whether all live nodes but `id` hold it in `state`; nullopt: not in view.
  bool AllSee(const std::string& id, std::optional<MemberState> state) {
    for (auto& [name, node] : m_nodes)
      if (name != id && node->alive && StateAt(name, id) != state)
        return false;
    return true;
  }
  bool AllSeeAllLive() {
    for (auto& [name, node] : m_nodes)
      if (node->alive && !AllSee(name, MemberState::kLive))
        return false;
    return true;
  }

  // Loses messages from the first node to the second.
  std::function<bool(const std::string&, const std::string&)> cut;
  // Pairs whose open connection is silent; a fresh one works.
  std::set<std::pair<std::string, std::string>> silent;
  std::map<std::string, InstanceRecord> list;
  bool list_lags = false;
  // Items received by all nodes, by topic.
  std::map<std::string, int> received;

 private:
  void At(Duration delay, std::function<void()> task) {
    m_events.emplace(m_now + delay, std::move(task));
  }
  // Runs on a process that may be frozen or have ended.
  void On(Node& node, const std::function<void()>& task) {
    if (!node.alive)
      return;
    if (node.frozen_until > m_now)
      At(node.frozen_until - m_now, [this, &node, task] { On(node, task); });
    else
      task();
  }
  void Tick(Node& node) {
    On(node, [this, &node] {
      node.members->OnTick(m_now);
      Pump(node);
      At(Duration(200'000), [this, &node] { Tick(node); });
    });
  }
  void PollList(Node& node) {
    On(node, [this, &node] {
      if (!list_lags && m_now - m_listed_at >= Duration(200'000)) {
        m_listed.clear();
        for (const auto& [id, record] : list)
          m_listed.push_back(record);
        m_listed_at = m_now;
      }
      node.members->OnInstanceList(m_now, m_listed);
      Pump(node);
      At(Duration(1'000'000), [this, &node] { PollList(node); });
    });
  }
  void Pump(Node& node) {
    for (MembershipAction& action : node.members->TakeActions())
      std::visit([&](auto& a) { Do(node, a); }, action);
  }
  bool Passes(const std::string& from, const std::string& to) const {
    return !cut || !cut(from, to);
  }
  void Count(Node& node, size_t bytes) {
    node.bytes += bytes;
    node.largest = std::max(node.largest, bytes);
  }
  // Sends a probe; `done` gets the reply, or nullopt after the timeout.
  void Send(Node& from,
            const std::string& to,
            const GossipMessage& message,
            bool fresh,
            const std::function<void(std::optional<GossipMessage>)>& done) {
    const std::string from_id = from.members->self().id;
    auto finished = std::make_shared<bool>(false);
    const auto finish = [this, &from, done,
                         finished](const std::optional<GossipMessage>& reply) {
      On(from, [this, &from, done, finished, reply] {
        if (std::exchange(*finished, true))
          return;
        done(reply);
        Pump(from);
      });
    };
    At(Duration(300'000), [finish] { finish(std::nullopt); });
    const std::string bytes = EncodeGossip(message);
    Count(from, bytes.size());
    if (fresh)
      silent.erase({from_id, to});
    if (!Passes(from_id, to) || silent.contains({from_id, to}))
      return;
    At(Duration(600), [this, &from, from_id, to, bytes, finish] {
      const auto it = m_nodes.find(to);
      if (it == m_nodes.end() || !it->second->alive)
        return finish(std::nullopt);
      Node& target = *it->second;
      On(target, [this, &from, &target, from_id, to, bytes, finish] {
        Count(target, bytes.size());
        const std::string reply =
            EncodeGossip(target.members->OnProbe(m_now, *DecodeGossip(bytes)));
        Pump(target);
        Count(target, reply.size());
        if (!Passes(to, from_id))
          return;
        At(Duration(600), [this, &from, reply, finish] {
          Count(from, reply.size());
          finish(*DecodeGossip(reply));
        });
      });
    });
  }
  void Do(Node& node, SendProbe& probe) {
    Send(node, probe.target.id, probe.message, probe.fresh_connection,
         [this, &node,
          id = probe.probe](const std::optional<GossipMessage>& reply) {
           if (reply)
             node.members->OnProbeReply(m_now, id, *reply);
           else
             node.members->OnProbeFailure(m_now, id);
         });
  }
  void Do(Node& node, SendIndirectProbe& probe) {
    const auto done = [this, &node, id = probe.probe](
                          const std::optional<GossipMessage>& reply) {
      On(node, [this, &node, id, reply] {
        if (reply)
          node.members->OnProbeReply(m_now, id, *reply);
        else
          node.members->OnProbeFailure(m_now, id);
        Pump(node);
      });
    };
    const std::string self = node.members->self().id;
    const std::string via = probe.via.id;
    const auto it = m_nodes.find(via);
    if (it == m_nodes.end() || !it->second->alive || !Passes(self, via)) {
      At(Duration(600'000), [done] { done(std::nullopt); });
      return;
    }
    On(*it->second, [this, &via_node = *it->second, self, via, probe, done] {
      Send(via_node, probe.target.id, probe.message, false,
           [this, self, via, done](const std::optional<GossipMessage>& reply) {
             if (Passes(via, self))
               done(reply);
             else
               At(Duration(300'000), [done] { done(std::nullopt); });
           });
    });
  }
  void Do(Node& node, MemberChanged& change) {
    if (change.member.state == MemberState::kGone)
      node.states.erase(change.member.id);
    else
      node.states[change.member.id] = change.member.state;
    node.changes.push_back(change);
  }
  void Do(Node& /*node*/, ItemReceived& received) {
    ++this->received[received.item.topic];
  }

  TimePoint m_now{};
  Random m_random;
  int m_data_centers;
  int m_started = 0;
  std::map<std::string, std::unique_ptr<Node>> m_nodes;
  // Earlier processes, which queued events may still refer to.
  std::vector<std::unique_ptr<Node>> m_retired;
  std::multimap<TimePoint, std::function<void()>> m_events;
  // The list as instances read it, renewed several times a second.
  std::vector<InstanceRecord> m_listed;
  TimePoint m_listed_at{Duration(-1'000'000)};
};

}  // namespace trefoilwick
