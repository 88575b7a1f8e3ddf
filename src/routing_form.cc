#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "trefoilwick/routing.h"

namespace trefoilwick {

namespace {

using Servers = std::vector<const ListedServer*>;

// Servers with the same key can replace each other, apart from their data
// center.
struct StageKey {
  std::string model;
  int model_layers = 0;
  StageLayers layers;
  auto operator<=>(const StageKey&) const = default;
};

StageKey KeyOf(const ListedServer& server) {
  return {server.model, server.model_layers, server.layers};
}

auto FieldOrder(const ListedServer& server) {
  return std::tie(server.id, server.role, server.data_center, server.address,
                  server.leaving, server.model, server.layers,
                  server.model_layers, server.accelerator, server.speed,
                  server.checks_epochs, server.service);
}

bool IsFaster(const ListedServer* a, const ListedServer* b) {
  return a->speed != b->speed ? a->speed > b->speed : a->id < b->id;
}

bool IsStage(const ListedServer& server) {
  return server.role == ServerRole::kEngine && !server.model.empty() &&
         std::isfinite(server.speed) && server.speed >= 0 &&
         server.layers.first >= 0 && server.layers.first < server.layers.end &&
         server.layers.end <= server.model_layers;
}

// The servers sorted by id, one for each id.
Servers SortedById(const std::vector<ListedServer>& servers) {
  Servers sorted;
  sorted.reserve(servers.size());
  for (const ListedServer& server : servers)
    sorted.push_back(&server);
  std::sort(sorted.begin(), sorted.end(),
            [](const ListedServer* a, const ListedServer* b) {
              return FieldOrder(*a) < FieldOrder(*b);
            });
  auto same_id = [](const ListedServer* a, const ListedServer* b) {
    return a->id == b->id;
  };
  sorted.erase(std::unique(sorted.begin(), sorted.end(), same_id),
               sorted.end());
  return sorted;
}

// Servers of one model and data center by layer range, fastest first.
using Ranges = std::map<StageLayers, Servers>;
struct ModelKey {
  std::string model;
  int model_layers = 0;
  std::string data_center;
  auto operator<=>(const ModelKey&) const = default;
};

// Largest ratio of similar speeds. With 2, 300 restarts in a fleet of 3,100
// servers left 0.90 of its speed; with 1.5, 0.95.
constexpr double kMaxSimilarSpeedRatio = 1.5;

// True when the stage has more than kMaxSimilarSpeedRatio times the speed of
// the chain.
bool IsTooFast(const ListedServer* stage, const Servers& stages) {
  const auto slowest =
      *std::max_element(stages.begin(), stages.end(), IsFaster);
  return stage->speed > kMaxSimilarSpeedRatio * slowest->speed;
}

// Servers in no chain: by key and data center, fastest first.
class SparePool {
 public:
  void AddServer(const ListedServer* server) {
    Servers& group = m_groups[KeyOf(*server)][server->data_center];
    group.insert(std::lower_bound(group.begin(), group.end(), server, IsFaster),
                 server);
  }

  // Takes a spare that can replace `stage`, from the same data center if
  // possible, else from the others in order of their names: the slowest that
  // does not slow the chain down, else the fastest. With `only_similar`, its
  // speed is within a factor of kMaxSimilarSpeedRatio of the chain's.
  const ListedServer* TakeSpare(const ListedServer& stage,
                                double speed,
                                bool only_similar) {
    auto key = m_groups.find(KeyOf(stage));
    if (key == m_groups.end())
      return nullptr;
    auto& groups = key->second;
    if (auto local = groups.find(stage.data_center); local != groups.end())
      if (const auto* taken = TakeFromGroup(local->second, speed, only_similar))
        return taken;
    for (auto& [data_center, servers] : groups)
      if (const auto* taken = TakeFromGroup(servers, speed, only_similar))
        return taken;
    return nullptr;
  }

  std::map<ModelKey, Ranges> TakeAllServers() {
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
  static const ListedServer* TakeFromGroup(Servers& servers,
                                           double speed,
                                           bool only_similar) {
    if (servers.empty())
      return nullptr;
    auto it = std::find_if(servers.begin(), servers.end(),
                           [&](auto* s) { return s->speed < speed; });
    const auto is_similar = [&](const ListedServer* server) {
      return server->speed <= kMaxSimilarSpeedRatio * speed &&
             speed <= kMaxSimilarSpeedRatio * server->speed;
    };
    const auto slower = it;
    if (it != servers.begin())
      --it;
    if (only_similar && !is_similar(*it))
      it = slower;
    if (it == servers.end() || (only_similar && !is_similar(*it)))
      return nullptr;
    const ListedServer* taken = *it;
    servers.erase(it);
    return taken;
  }

  std::map<StageKey, std::map<std::string, Servers>> m_groups;
};

// Packs the servers of one model and data center into as many chains as
// possible: layer boundaries are nodes, ranges are edges, and the number of
// chains is the maximum flow from boundary 0 to the last one. Servers are added
// fastest first, so the flow of every speed class is the maximum of that class.
class ChainPacker {
 public:
  ChainPacker(const Ranges& ranges, int model_layers)
      : m_model_layers(model_layers) {
    for (const auto& [layers, servers] : ranges)
      m_edges.push_back({layers, &servers});
    FindMaxFlow();
  }

  // The stages of the next chain, taken from the ranges: the chain whose
  // slowest stage is fastest. Empty when no chain is left.
  Servers NextChain() {
    // By layer boundary: the highest speed that reaches it and the last edge on
    // that path.
    std::map<int, std::pair<double, Edge*>> best_by_boundary;
    best_by_boundary[0] = {std::numeric_limits<double>::infinity(), nullptr};
    // Edges are in order of their first layer.
    for (Edge& edge : m_edges) {
      auto from = best_by_boundary.find(edge.layers.first);
      if (edge.flow == 0 || from == best_by_boundary.end())
        continue;
      const double speed =
          std::min(from->second.first, (*edge.servers)[edge.taken]->speed);
      auto [to, is_new] =
          best_by_boundary.try_emplace(edge.layers.end, speed, &edge);
      if (!is_new && speed > to->second.first)
        to->second = {speed, &edge};
    }
    Servers stages;
    if (!best_by_boundary.contains(m_model_layers))
      return stages;
    for (int boundary = m_model_layers; boundary != 0;) {
      Edge* edge = best_by_boundary[boundary].second;
      stages.push_back((*edge->servers)[edge->taken++]);
      --edge->flow;
      boundary = edge->layers.first;
    }
    std::reverse(stages.begin(), stages.end());
    return stages;
  }

 private:
  struct Edge {
    StageLayers layers;
    const Servers* servers;
    int capacity = 0;
    int flow = 0;
    // Servers used by chains; the fastest are used first.
    int taken = 0;
  };

  void FindMaxFlow() {
    std::vector<std::pair<const ListedServer*, Edge*>> by_speed;
    for (Edge& edge : m_edges)
      for (const ListedServer* server : *edge.servers)
        by_speed.emplace_back(server, &edge);
    std::sort(by_speed.begin(), by_speed.end(),
              [](const auto& a, const auto& b) {
                return IsFaster(a.first, b.first);
              });
    for (const auto& [server, edge] : by_speed) {
      ++edge->capacity;
      // Any new path uses the new server; on a full edge that is the only one.
      if (edge->capacity - edge->flow == 1)
        AugmentFlow();
    }
  }

  // Finds one path from boundary 0 to the end by breadth-first search in the
  // residual graph, and adds it to the flow.
  void AugmentFlow() {
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
    for (int boundary = m_model_layers; boundary != 0;) {
      const auto& [edge, direction] = reached_by[boundary];
      edge->flow += direction;
      boundary = direction > 0 ? edge->layers.first : edge->layers.end;
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
  for (const ListedServer* stage : stages) {
    chain.stages.push_back(*stage);
    chain.tokens_per_second = std::min(chain.tokens_per_second, stage->speed);
  }
  return chain;
}

// Computation of one fleet view.
class ChainFormation {
 public:
  ChainFormation(const std::vector<ListedServer>& servers,
                 const std::set<std::string>& unavailable,
                 const FleetView& previous)
      : m_servers(SortedById(servers)), m_unavailable(unavailable) {
    for (const auto& [id, chain] : previous.chains)
      AddPreviousChain(chain);
    FillSparePool();
    ReplaceLostStages();
    ReplaceDrainingStages();
  }

  FleetView Finish(int64_t version) {
    FleetView view;
    view.version = version;
    for (const PreviousChain& old_chain : m_previous_chains)
      AddChain(view, old_chain.data_center, old_chain.stages);
    const auto pool = m_spare_pool.TakeAllServers();
    for (const auto& [key, ranges] : pool)
      FormNewChains(view, key, ranges, true);
    for (const auto& [key, ranges] : pool)
      if (!m_served_models.contains(key.model))
        FormNewChains(view, key, ranges, false);
    for (const auto& [key, ranges] : pool)
      for (const auto& [layers, servers] : ranges)
        for (const ListedServer* server : servers)
          if (!m_used_ids.contains(server->id))
            view.spares.push_back(*server);
    std::sort(view.spares.begin(), view.spares.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    for (const ListedServer* server : m_servers)
      if (server->role == ServerRole::kService && IsUsable(*server))
        view.services[server->service].push_back(*server);
    return view;
  }

 private:
  // A chain of the previous view; a lost stage is null.
  struct PreviousChain {
    std::string id;
    std::string model;
    std::string data_center;
    double speed = 0;
    Servers stages;
    const std::vector<ListedServer>* previous_stages = nullptr;
    bool IsWhole() const {
      return std::find(stages.begin(), stages.end(), nullptr) == stages.end();
    }
  };

  void AddChain(FleetView& view,
                const std::string& data_center,
                const Servers& stages) {
    for (const ListedServer* stage : stages)
      m_used_ids.insert(stage->id);
    m_served_models.insert(stages.front()->model);
    Chain chain = MakeChain(data_center, stages);
    std::string id = chain.id;
    view.chains.emplace(std::move(id), std::move(chain));
  }

  // Forms chains from spares. Servers that would be in a chain of similar speed
  // if all listed servers were available wait for that instead of joining a
  // much slower chain: formed chains are kept, so each such join would lose
  // capacity permanently. They do not wait while the model has no chain.
  void FormNewChains(FleetView& view,
                     const ModelKey& key,
                     const Ranges& ranges,
                     bool may_wait) {
    Ranges unused = ranges;
    for (bool repack = true; repack;) {
      repack = false;
      std::set<const ListedServer*> removed;
      ChainPacker packer(unused, key.model_layers);
      for (Servers stages = packer.NextChain(); !repack && !stages.empty();
           stages = packer.NextChain()) {
        // The remaining servers are packed again without the waiting ones.
        const Servers waiting = may_wait ? WaitingStages(stages) : Servers();
        repack = !waiting.empty();
        if (!repack)
          AddChain(view, key.data_center, stages);
        const Servers& out = repack ? waiting : stages;
        removed.insert(out.begin(), out.end());
      }
      for (auto& [layers, servers] : unused)
        std::erase_if(servers, [&](auto* s) { return removed.contains(s); });
    }
  }

  // The stages that are too fast for this chain and should wait for another
  // one.
  Servers WaitingStages(const Servers& stages) {
    Servers waiting;
    for (const ListedServer* stage : stages)
      if (IsTooFast(stage, stages) &&
          WellMatchedServers(
              {stage->model, stage->model_layers, stage->data_center})
              .contains(stage)) {
        waiting.push_back(stage);
      }
    return waiting;
  }

  // Servers that would be in chains of similar speed if chains were formed
  // again from all servers that are not draining.
  const std::set<const ListedServer*>& WellMatchedServers(const ModelKey& key) {
    auto [it, is_new] = m_well_matched.try_emplace(key);
    if (!is_new)
      return it->second;
    if (m_listed_ranges.empty()) {
      SparePool listed;
      for (const ListedServer* server : m_servers)
        if (IsStage(*server) && !server->leaving)
          listed.AddServer(server);
      m_listed_ranges = listed.TakeAllServers();
    }
    ChainPacker packer(m_listed_ranges[key], key.model_layers);
    for (Servers stages = packer.NextChain(); !stages.empty();
         stages = packer.NextChain()) {
      if (std::none_of(stages.begin(), stages.end(),
                       [&](auto* s) { return IsTooFast(s, stages); }))
        it->second.insert(stages.begin(), stages.end());
    }
    return it->second;
  }

  bool IsUsable(const ListedServer& server) const {
    return !server.leaving && !m_unavailable.contains(server.id);
  }

  // The current record of a stage of a previous chain; null when it is lost.
  const ListedServer* FindCurrentServer(const ListedServer& stage) const {
    auto it = std::lower_bound(
        m_servers.begin(), m_servers.end(), stage.id,
        [](const auto* server, const auto& id) { return server->id < id; });
    const bool same = it != m_servers.end() && (*it)->id == stage.id &&
                      IsStage(**it) && KeyOf(**it) == KeyOf(stage) &&
                      (*it)->data_center == stage.data_center &&
                      !m_unavailable.contains(stage.id);
    return same ? *it : nullptr;
  }

  void AddPreviousChain(const Chain& chain) {
    PreviousChain old_chain{
        chain.id, chain.model,  chain.data_center, chain.tokens_per_second,
        {},       &chain.stages};
    int next = 0;
    for (const ListedServer& stage : chain.stages) {
      if (stage.layers.first != next || stage.model != chain.model ||
          m_used_ids.contains(stage.id)) {
        return;
      }
      next = stage.layers.end;
      old_chain.stages.push_back(FindCurrentServer(stage));
    }
    if (old_chain.stages.empty() || next != chain.stages.back().model_layers)
      return;
    for (const ListedServer* stage : old_chain.stages)
      if (stage)
        m_used_ids.insert(stage->id);
    m_previous_chains.push_back(std::move(old_chain));
  }

  void FillSparePool() {
    for (const ListedServer* server : m_servers)
      if (IsStage(*server) && IsUsable(*server) &&
          !m_used_ids.contains(server->id)) {
        m_spare_pool.AddServer(server);
      }
  }

  // Replaces all stages for which `is_lost` is true, or none. Spares of
  // different speed are taken only if no stage should wait for servers of
  // similar speed, or if no other chain serves the model.
  template <typename IsLost>
  bool ReplaceStages(PreviousChain& old_chain,
                     IsLost is_lost,
                     bool only_similar) {
    Servers stages = old_chain.stages;
    Servers taken_spares;
    bool replaced = true;
    for (size_t i = 0; i < stages.size() && replaced; ++i) {
      if (!is_lost(stages[i]))
        continue;
      stages[i] = m_spare_pool.TakeSpare((*old_chain.previous_stages)[i],
                                         old_chain.speed, only_similar);
      replaced = stages[i] != nullptr;
      if (replaced)
        taken_spares.push_back(stages[i]);
    }
    replaced = replaced &&
               (only_similar || !m_served_models.contains(old_chain.model) ||
                WaitingStages(stages).empty());
    if (replaced) {
      old_chain.stages = std::move(stages);
      m_served_models.insert(old_chain.model);
    } else {
      for (const ListedServer* spare : taken_spares)
        m_spare_pool.AddServer(spare);
    }
    return replaced;
  }

  // Repairs the fastest chains first, with spares of similar speed. While
  // incomplete chains are left, the slowest one takes other spares or is
  // released; its servers may then repair others.
  void ReplaceLostStages() {
    std::vector<PreviousChain*> broken;
    for (PreviousChain& old_chain : m_previous_chains) {
      if (old_chain.IsWhole())
        m_served_models.insert(old_chain.model);
      else
        broken.push_back(&old_chain);
    }
    std::sort(broken.begin(), broken.end(),
              [](const PreviousChain* a, const PreviousChain* b) {
                return std::tie(b->speed, a->id) < std::tie(a->speed, b->id);
              });
    while (!broken.empty()) {
      const auto is_lost = [](auto* stage) { return stage == nullptr; };
      std::erase_if(broken, [&](PreviousChain* old_chain) {
        return ReplaceStages(*old_chain, is_lost, true);
      });
      if (broken.empty())
        break;
      PreviousChain& slowest = *broken.back();
      broken.pop_back();
      if (!ReplaceStages(slowest, is_lost, false))
        ReleaseChain(slowest);
    }
    std::erase_if(m_previous_chains, [](const PreviousChain& old_chain) {
      return old_chain.stages.empty();
    });
  }

  void ReleaseChain(PreviousChain& old_chain) {
    for (const ListedServer* stage : old_chain.stages) {
      if (!stage)
        continue;
      m_used_ids.erase(stage->id);
      if (IsUsable(*stage))
        m_spare_pool.AddServer(stage);
    }
    old_chain.stages.clear();
  }

  void ReplaceDrainingStages() {
    for (PreviousChain& old_chain : m_previous_chains) {
      for (const ListedServer* stage : Servers(old_chain.stages)) {
        const auto is_lost = [&](auto* other) { return other == stage; };
        if (stage->leaving && !ReplaceStages(old_chain, is_lost, true))
          ReplaceStages(old_chain, is_lost, false);
      }
    }
  }

  Servers m_servers;
  const std::set<std::string>& m_unavailable;
  std::vector<PreviousChain> m_previous_chains;
  // Ids of the servers in chains.
  std::set<std::string> m_used_ids;
  // Models that have a chain.
  std::set<std::string> m_served_models;
  SparePool m_spare_pool;
  // Filled when a chain of stages with different speeds could be formed.
  std::map<ModelKey, Ranges> m_listed_ranges;
  std::map<ModelKey, std::set<const ListedServer*>> m_well_matched;
};

}  // namespace

FleetView FormChains(int64_t version,
                     const std::vector<ListedServer>& servers,
                     const std::set<std::string>& unavailable,
                     const FleetView& previous) {
  return ChainFormation(servers, unavailable, previous).Finish(version);
}

}  // namespace trefoilwick
