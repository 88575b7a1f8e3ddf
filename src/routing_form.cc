#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "trefoilwick/routing.h"

namespace trefoilwick {

namespace {

using Servers = std::vector<const BackendServer*>;

// Servers of one key can take each other's place, apart from the data center.
struct StageKey {
  std::string model;
  int model_layers = 0;
  LayerRange layers;
  auto operator<=>(const StageKey&) const = default;
};

StageKey KeyOf(const BackendServer& server) {
  return {server.model, server.model_layers, server.layers};
}

auto FieldOrder(const BackendServer& server) {
  return std::tie(server.id, server.role, server.data_center, server.address,
                  server.leaving, server.model, server.layers,
                  server.model_layers, server.accelerator, server.speed,
                  server.checks_epochs, server.service);
}

bool Faster(const BackendServer* a, const BackendServer* b) {
  return a->speed != b->speed ? a->speed > b->speed : a->id < b->id;
}

bool IsStage(const BackendServer& server) {
  return server.role == ServerRole::kEngine && !server.model.empty() &&
         std::isfinite(server.speed) && server.speed >= 0 &&
         server.layers.first >= 0 && server.layers.first < server.layers.end &&
         server.layers.end <= server.model_layers;
}

// The servers ordered by id, one per id.
Servers SortedById(const std::vector<BackendServer>& servers) {
  Servers sorted;
  sorted.reserve(servers.size());
  for (const BackendServer& server : servers)
    sorted.push_back(&server);
  std::sort(sorted.begin(), sorted.end(),
            [](const BackendServer* a, const BackendServer* b) {
              return FieldOrder(*a) < FieldOrder(*b);
            });
  auto same_id = [](const BackendServer* a, const BackendServer* b) {
    return a->id == b->id;
  };
  sorted.erase(std::unique(sorted.begin(), sorted.end(), same_id),
               sorted.end());
  return sorted;
}

// Servers of one model and data center by layer range, fastest first.
using Ranges = std::map<LayerRange, Servers>;
struct ModelKey {
  std::string model;
  int model_layers = 0;
  std::string data_center;
  auto operator<=>(const ModelKey&) const = default;
};

// Ratio of speeds up to which two servers are alike. With 2, 300 restarts in a
// fleet of 3,100 servers left 0.90 of its speed; with 1.5, 0.95.
constexpr double kLikeSpeeds = 1.5;

// Whether the stage could serve more than kLikeSpeeds times the chain's speed.
bool IsTooFast(const BackendServer* stage, const Servers& stages) {
  const auto slowest = *std::max_element(stages.begin(), stages.end(), Faster);
  return stage->speed > kLikeSpeeds * slowest->speed;
}

// Servers in no chain: by key and data center, fastest first.
class SparePool {
 public:
  void Add(const BackendServer* server) {
    Servers& group = m_groups[KeyOf(*server)][server->data_center];
    group.insert(std::lower_bound(group.begin(), group.end(), server, Faster),
                 server);
  }

  // Takes a spare, same data center first, then in order of its name: the
  // slowest that does not slow the chain down, else the fastest. With
  // `only_like`, its speed is within a factor of kLikeSpeeds of the chain's.
  const BackendServer* Take(const BackendServer& like,
                            double speed,
                            bool only_like) {
    auto key = m_groups.find(KeyOf(like));
    if (key == m_groups.end())
      return nullptr;
    auto& groups = key->second;
    if (auto local = groups.find(like.data_center); local != groups.end())
      if (const auto* taken = TakeFrom(local->second, speed, only_like))
        return taken;
    for (auto& [data_center, servers] : groups)
      if (const auto* taken = TakeFrom(servers, speed, only_like))
        return taken;
    return nullptr;
  }

  std::map<ModelKey, Ranges> Release() {
    std::map<ModelKey, Ranges> models;
    for (auto& [key, data_centers] : m_groups)
      for (auto& [data_center, servers] : data_centers)
        if (!servers.empty())
          models[{key.model, key.model_layers, data_center}][key.layers] =
              std::move(servers);
    m_groups.clear();
    return models;
  }

 private:
  static const BackendServer* TakeFrom(Servers& servers,
                                       double speed,
                                       bool only_like) {
    if (servers.empty())
      return nullptr;
    auto it = std::find_if(servers.begin(), servers.end(),
                           [&](auto* s) { return s->speed < speed; });
    const auto is_like = [&](const BackendServer* server) {
      return server->speed <= kLikeSpeeds * speed &&
             speed <= kLikeSpeeds * server->speed;
    };
    const auto slower = it;
    if (it != servers.begin())
      --it;
    if (only_like && !is_like(*it))
      it = slower;
    if (it == servers.end() || (only_like && !is_like(*it)))
      return nullptr;
    const BackendServer* taken = *it;
    servers.erase(it);
    return taken;
  }

  std::map<StageKey, std::map<std::string, Servers>> m_groups;
};

// Packs the servers of one model and data center into as many chains as
// possible: layer borders are nodes, ranges are edges, and the number of chains
// is the maximum flow from border 0 to the last one. Servers are added fastest
// first, so the flow of every speed class is the maximum of that class.
class ChainPacker {
 public:
  ChainPacker(const Ranges& ranges, int model_layers)
      : m_model_layers(model_layers) {
    for (const auto& [layers, servers] : ranges)
      m_edges.push_back({layers, &servers});
    FindFlow();
  }

  // The stages of the next chain, taken from the ranges: the chain whose
  // slowest stage is fastest. Empty when no chain is left.
  Servers Next() {
    // By border: the best speed that reaches it and the last edge there.
    std::map<int, std::pair<double, Edge*>> reached;
    reached[0] = {std::numeric_limits<double>::infinity(), nullptr};
    // Edges are in order of their first layer.
    for (Edge& edge : m_edges) {
      auto from = reached.find(edge.layers.first);
      if (edge.flow == 0 || from == reached.end())
        continue;
      const double speed =
          std::min(from->second.first, (*edge.servers)[edge.taken]->speed);
      auto [to, is_new] = reached.try_emplace(edge.layers.end, speed, &edge);
      if (!is_new && speed > to->second.first)
        to->second = {speed, &edge};
    }
    Servers stages;
    if (!reached.contains(m_model_layers))
      return stages;
    for (int at = m_model_layers; at != 0;) {
      Edge* edge = reached[at].second;
      stages.push_back((*edge->servers)[edge->taken++]);
      --edge->flow;
      at = edge->layers.first;
    }
    std::reverse(stages.begin(), stages.end());
    return stages;
  }

 private:
  struct Edge {
    LayerRange layers;
    const Servers* servers;
    int capacity = 0;
    int flow = 0;
    // Servers used by chains; the fastest are used first.
    int taken = 0;
  };

  void FindFlow() {
    std::vector<std::pair<const BackendServer*, Edge*>> by_speed;
    for (Edge& edge : m_edges)
      for (const BackendServer* server : *edge.servers)
        by_speed.emplace_back(server, &edge);
    std::sort(
        by_speed.begin(), by_speed.end(),
        [](const auto& a, const auto& b) { return Faster(a.first, b.first); });
    for (const auto& [server, edge] : by_speed) {
      ++edge->capacity;
      // Any new path uses the new server; on a full edge that is the only one.
      if (edge->capacity - edge->flow == 1)
        Augment();
    }
  }

  // Finds one path from border 0 to the end by breadth-first search in the
  // residual graph, and adds it to the flow.
  void Augment() {
    std::map<int, std::pair<Edge*, int>> reached_by;
    reached_by[0] = {nullptr, 0};
    std::vector<int> queue = {0};
    for (size_t i = 0; i < queue.size(); ++i) {
      for (Edge& edge : m_edges) {
        const auto& [first, end] = edge.layers;
        if (queue[i] == first && edge.flow < edge.capacity &&
            reached_by.try_emplace(end, &edge, 1).second) {
          queue.push_back(end);
        }
        if (queue[i] == end && edge.flow > 0 &&
            reached_by.try_emplace(first, &edge, -1).second) {
          queue.push_back(first);
        }
      }
    }
    if (!reached_by.contains(m_model_layers))
      return;
    for (int at = m_model_layers; at != 0;) {
      const auto& [edge, direction] = reached_by[at];
      edge->flow += direction;
      at = direction > 0 ? edge->layers.first : edge->layers.end;
    }
  }

  int m_model_layers;
  // Ordered by first layer, then end.
  std::vector<Edge> m_edges;
};

Chain MakeChain(const std::string& data_center, const Servers& stages) {
  Chain chain;
  chain.id = stages.front()->id;
  chain.model = stages.front()->model;
  chain.data_center = data_center;
  chain.tokens_per_second = std::numeric_limits<double>::infinity();
  for (const BackendServer* stage : stages) {
    chain.stages.push_back(*stage);
    chain.tokens_per_second = std::min(chain.tokens_per_second, stage->speed);
  }
  return chain;
}

// One computation of a fleet view.
class Former {
 public:
  Former(const std::vector<BackendServer>& servers,
         const std::set<std::string>& unavailable,
         const FleetView& previous)
      : m_servers(SortedById(servers)), m_unavailable(unavailable) {
    for (const auto& [id, chain] : previous.chains)
      AddOld(chain);
    FillPool();
    ReplaceLost();
    ReplaceLeaving();
  }

  FleetView Finish(int64_t version) {
    FleetView view;
    view.version = version;
    for (const Old& old : m_old)
      AddChain(view, old.data_center, old.stages);
    const auto pool = m_pool.Release();
    for (const auto& [key, ranges] : pool)
      FormNew(view, key, ranges, true);
    for (const auto& [key, ranges] : pool)
      if (!m_served.contains(key.model))
        FormNew(view, key, ranges, false);
    for (const auto& [key, ranges] : pool)
      for (const auto& [layers, servers] : ranges)
        for (const BackendServer* server : servers)
          if (!m_used.contains(server->id))
            view.spares.push_back(*server);
    std::sort(view.spares.begin(), view.spares.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    for (const BackendServer* server : m_servers)
      if (server->role == ServerRole::kService && IsUsable(*server))
        view.services[server->service].push_back(*server);
    return view;
  }

 private:
  // A chain of the previous view; a lost stage is null.
  struct Old {
    std::string id;
    std::string model;
    std::string data_center;
    double speed = 0;
    Servers stages;
    const std::vector<BackendServer>* before = nullptr;
    bool IsWhole() const {
      return std::find(stages.begin(), stages.end(), nullptr) == stages.end();
    }
  };

  void AddChain(FleetView& view,
                const std::string& data_center,
                const Servers& stages) {
    for (const BackendServer* stage : stages)
      m_used.insert(stage->id);
    m_served.insert(stages.front()->model);
    Chain chain = MakeChain(data_center, stages);
    std::string id = chain.id;
    view.chains.emplace(std::move(id), std::move(chain));
  }

  // Forms chains from spares. Servers that would be in a chain of like speed if
  // all listed servers were there wait for that instead of joining a much
  // slower chain: a chain once formed is kept, so each such join would lose
  // capacity for good. They do not wait while the model has no chain.
  void FormNew(FleetView& view,
               const ModelKey& key,
               const Ranges& ranges,
               bool may_wait) {
    Ranges left = ranges;
    for (bool again = true; again;) {
      again = false;
      std::set<const BackendServer*> done;
      ChainPacker packer(left, key.model_layers);
      for (Servers stages = packer.Next(); !again && !stages.empty();
           stages = packer.Next()) {
        // The rest is packed anew without the waiting servers.
        const Servers waiting = may_wait ? WaitingStages(stages) : Servers();
        again = !waiting.empty();
        if (!again)
          AddChain(view, key.data_center, stages);
        const Servers& out = again ? waiting : stages;
        done.insert(out.begin(), out.end());
      }
      for (auto& [layers, servers] : left)
        std::erase_if(servers, [&](auto* s) { return done.contains(s); });
    }
  }

  // The stages that are too fast for this chain and better wait for another.
  Servers WaitingStages(const Servers& stages) {
    Servers waiting;
    for (const BackendServer* stage : stages)
      if (IsTooFast(stage, stages) &&
          WellMatched({stage->model, stage->model_layers, stage->data_center})
              .contains(stage)) {
        waiting.push_back(stage);
      }
    return waiting;
  }

  // The servers of chains of like speed, if all servers that are not leaving
  // were formed anew.
  const std::set<const BackendServer*>& WellMatched(const ModelKey& key) {
    auto [it, is_new] = m_well_matched.try_emplace(key);
    if (!is_new)
      return it->second;
    if (m_listed.empty()) {
      SparePool listed;
      for (const BackendServer* server : m_servers)
        if (IsStage(*server) && !server->leaving)
          listed.Add(server);
      m_listed = listed.Release();
    }
    ChainPacker packer(m_listed[key], key.model_layers);
    for (Servers stages = packer.Next(); !stages.empty();
         stages = packer.Next()) {
      if (std::none_of(stages.begin(), stages.end(),
                       [&](auto* s) { return IsTooFast(s, stages); }))
        it->second.insert(stages.begin(), stages.end());
    }
    return it->second;
  }

  bool IsUsable(const BackendServer& server) const {
    return !server.leaving && !m_unavailable.contains(server.id);
  }

  // The present record of a stage of a previous chain, null when it is lost.
  const BackendServer* Present(const BackendServer& stage) const {
    auto it = std::lower_bound(
        m_servers.begin(), m_servers.end(), stage.id,
        [](const auto* server, const auto& id) { return server->id < id; });
    const bool same = it != m_servers.end() && (*it)->id == stage.id &&
                      IsStage(**it) && KeyOf(**it) == KeyOf(stage) &&
                      (*it)->data_center == stage.data_center &&
                      !m_unavailable.contains(stage.id);
    return same ? *it : nullptr;
  }

  void AddOld(const Chain& chain) {
    Old old{chain.id, chain.model,  chain.data_center, chain.tokens_per_second,
            {},       &chain.stages};
    int next = 0;
    for (const BackendServer& stage : chain.stages) {
      if (stage.layers.first != next || stage.model != chain.model ||
          m_used.contains(stage.id)) {
        return;
      }
      next = stage.layers.end;
      old.stages.push_back(Present(stage));
    }
    if (old.stages.empty() || next != chain.stages.back().model_layers)
      return;
    for (const BackendServer* stage : old.stages)
      if (stage)
        m_used.insert(stage->id);
    m_old.push_back(std::move(old));
  }

  void FillPool() {
    for (const BackendServer* server : m_servers)
      if (IsStage(*server) && IsUsable(*server) &&
          !m_used.contains(server->id)) {
        m_pool.Add(server);
      }
  }

  // Replaces all stages that `is_lost` names, or none. Spares of unlike speed
  // are taken only if no stage would better wait for its like, or if no other
  // chain serves the model.
  template <typename IsLost>
  bool Replace(Old& old, IsLost is_lost, bool only_like) {
    Servers stages = old.stages;
    Servers taken;
    bool done = true;
    for (size_t i = 0; i < stages.size() && done; ++i) {
      if (!is_lost(stages[i]))
        continue;
      stages[i] = m_pool.Take((*old.before)[i], old.speed, only_like);
      done = stages[i] != nullptr;
      if (done)
        taken.push_back(stages[i]);
    }
    done = done && (only_like || !m_served.contains(old.model) ||
                    WaitingStages(stages).empty());
    if (done) {
      old.stages = std::move(stages);
      m_served.insert(old.model);
    } else {
      for (const BackendServer* spare : taken)
        m_pool.Add(spare);
    }
    return done;
  }

  // Repairs the fastest chains first, with spares of like speed. While that
  // leaves any, the slowest takes other spares or is dissolved; its servers may
  // then repair others.
  void ReplaceLost() {
    std::vector<Old*> broken;
    for (Old& old : m_old) {
      if (old.IsWhole())
        m_served.insert(old.model);
      else
        broken.push_back(&old);
    }
    std::sort(broken.begin(), broken.end(), [](const Old* a, const Old* b) {
      return std::tie(b->speed, a->id) < std::tie(a->speed, b->id);
    });
    while (!broken.empty()) {
      const auto is_lost = [](auto* stage) { return stage == nullptr; };
      std::erase_if(broken,
                    [&](Old* old) { return Replace(*old, is_lost, true); });
      if (broken.empty())
        break;
      Old& slowest = *broken.back();
      broken.pop_back();
      if (!Replace(slowest, is_lost, false))
        Dissolve(slowest);
    }
    std::erase_if(m_old, [](const Old& old) { return old.stages.empty(); });
  }

  void Dissolve(Old& old) {
    for (const BackendServer* stage : old.stages) {
      if (!stage)
        continue;
      m_used.erase(stage->id);
      if (IsUsable(*stage))
        m_pool.Add(stage);
    }
    old.stages.clear();
  }

  void ReplaceLeaving() {
    for (Old& old : m_old) {
      for (const BackendServer* stage : Servers(old.stages)) {
        const auto is_lost = [&](auto* other) { return other == stage; };
        if (stage->leaving && !Replace(old, is_lost, true))
          Replace(old, is_lost, false);
      }
    }
  }

  Servers m_servers;
  const std::set<std::string>& m_unavailable;
  std::vector<Old> m_old;
  // Ids of the servers in chains.
  std::set<std::string> m_used;
  // Models that have a chain.
  std::set<std::string> m_served;
  SparePool m_pool;
  // Filled when a chain of unlike speeds could be formed.
  std::map<ModelKey, Ranges> m_listed;
  std::map<ModelKey, std::set<const BackendServer*>> m_well_matched;
};

}  // namespace

FleetView FormChains(int64_t version,
                     const std::vector<BackendServer>& servers,
                     const std::set<std::string>& unavailable,
                     const FleetView& previous) {
  return Former(servers, unavailable, previous).Finish(version);
}

}  // namespace trefoilwick
