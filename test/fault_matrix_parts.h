// Parts of the world of the fault matrix; included by its sources only.
#pragma once

#include <deque>

#include "fault_matrix_world.h"

namespace trefoilwick::matrix {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr char kModel[] = "m";
inline constexpr int kStages = 2;
inline constexpr int kStageLayers = 10;
inline constexpr char kQuarantineTopic[] = "quarantine";
inline constexpr char kJob[] = "job";
inline constexpr int kJobItems = 8;
inline constexpr Duration kHop = milliseconds(1);
// Callers keep the list of entry instances this long; section 7 of the design.
inline constexpr Duration kEntriesMaxAge = seconds(5);
// Time from the end of a process until the platform's list omits it.
inline constexpr Duration kUnlistAfter = seconds(4);
inline constexpr Duration kRestartAfter = seconds(8);

struct World::Engine {
  BackendServer server;
  int stage = 0;
  bool alive = true;
  uint64_t epoch = 0;
  TimePoint frozen_until{};
  TimePoint slow_until{};
  TimePoint drops_until{};
  int arrivals = 0;
  // Next position and, at the first stage, hash of the positions before.
  std::map<std::pair<std::string, uint64_t>, std::pair<int, uint64_t>> kv;
  std::map<std::string, std::vector<StepResultItem>> results;
};

struct World::Owned {
  uint64_t generation = 0;
  std::unique_ptr<ChainScheduler> scheduler;
};

struct World::Node {
  struct Outbox {
    std::vector<TokenUpdate> pending;
    bool in_flight = false;
    bool fresh = false;
  };

  std::string id;
  int64_t incarnation = 0;
  TimePoint started{};
  bool alive = true;
  bool exited = false;
  TimePoint frozen_until{};
  std::optional<TimePoint> leaving_since;

  std::unique_ptr<Membership> members;
  std::unique_ptr<ConfigSpread> spread;
  std::unique_ptr<EntryRequests> requests;
  std::unique_ptr<BatchRunner> batches;
  Quarantine quarantine;
  std::string published_quarantine;

  HealthTracker health;
  FleetView fleet;
  std::vector<BackendServer> servers;
  std::vector<SchedulerCandidate> live;
  std::set<std::string> awaiting_check;
  std::map<std::string, Owned> owned;
  std::map<std::string, std::string> request_chain;
  uint64_t next_generation = 1;
  size_t next_chain = 0;
  std::map<std::string, Outbox> outboxes;

  // Batch items that run as requests of this instance.
  std::map<std::string, std::pair<std::string, int>> batch_items;
  bool polling = false;
  int items_done = 0;
  bool batches_stopped = false;
};

struct World::LedgerRun {
  Node* node = nullptr;
  std::string key;
  std::string row;
  std::string attempt;
  int tries = 0;
  std::unique_ptr<LedgerCall> call;
  bool answered = false;
  TimePoint answered_at{};
};

template <typename R>
void World::Rpc(Node& from,
                const std::string& to,
                bool fresh,
                Duration timeout,
                std::function<R(Node&)> serve,
                std::function<void(std::optional<R>, bool)> done) {
  auto finished = std::make_shared<bool>(false);
  auto finish = [finished, done](std::optional<R> reply, bool certain) {
    if (!std::exchange(*finished, true))
      done(std::move(reply), certain);
  };
  AtNode(from, timeout, [finish] { finish(std::nullopt, false); });
  if (fresh)
    m_silent.erase({from.id, to});
  if (m_silent.contains({from.id, to}))
    return;
  At(kHop, [this, &from, to, serve, finish] {
    if (!LinkUp(from.id, to))
      return;
    Node* target = Find(to);
    if (!target || !target->alive) {
      AtNode(from, kHop, [finish] { finish(std::nullopt, true); });
      return;
    }
    RunOn(*target, [this, &from, target, serve, finish] {
      R reply = serve(*target);
      if (!target->alive || !LinkUp(target->id, from.id))
        return;
      AtNode(from, kHop,
             [finish, reply = std::move(reply)] { finish(reply, false); });
    });
  });
}

// Runs `read` against the store now and hands its result to `done` later, on
// the node.
template <typename F>
void World::FromStore(Node& node, F read) {
  const Duration delay =
      m_now < m_store_slow_until ? milliseconds(1500) : milliseconds(2);
  At(delay, [this, &node, read] {
    if (!node.alive)
      return;
    auto apply = read();
    AtNode(node, kHop, apply);
  });
}

}  // namespace trefoilwick::matrix
