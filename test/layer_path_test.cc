#include "trefoilwick/layer_path.h"

#include <cppunit/extensions/HelperMacros.h>

#include "layer_fleet.h"

namespace trefoilwick {
namespace {

constexpr double kUtilizationLimit = 0.95;
constexpr int kRandomFleets = 300;

PathRequest Request(const std::string& data_center) {
  PathRequest request;
  request.service = kServiceName;
  request.tokens = 900;
  request.prompt_tokens = 760;
  request.data_center = data_center;
  return request;
}

class LayerPathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LayerPathTest);
  CPPUNIT_TEST(PathStaysInDataCenterOfCaller);
  CPPUNIT_TEST(FasterDataCenterDoesNotAttractAllRequests);
  CPPUNIT_TEST(EqualServersShareRequests);
  CPPUNIT_TEST(FullMemoryMovesPathToOtherDataCenter);
  CPPUNIT_TEST(SequenceLimitMovesPathToOtherDataCenter);
  CPPUNIT_TEST(SlowServersAreAvoided);
  CPPUNIT_TEST(LostStageMovesWholePathToOtherDataCenter);
  CPPUNIT_TEST(NoCrossingWhileOneDataCenterHoldsAllLayers);
  CPPUNIT_TEST(CrossingsStayBelowLinkCapacity);
  CPPUNIT_TEST(PinnedFirstStageIsKept);
  CPPUNIT_TEST(OnlyAllowedFirstServersAreUsed);
  CPPUNIT_TEST(UnreachableServerRunsLaterStage);
  CPPUNIT_TEST(NoPathWhenALayerIsUncovered);
  CPPUNIT_TEST(RandomFleetsGiveCompletePaths);
  CPPUNIT_TEST(IncompletePathsAreDetected);
  CPPUNIT_TEST_SUITE_END();

  static std::string DataCenterOf(const ServerMap& servers,
                                  const PathChoice& choice) {
    CPPUNIT_ASSERT(IsCompletePath(choice.path, kLayers, servers));
    CPPUNIT_ASSERT_EQUAL(0, CountCrossDataCenterHops(choice.path, servers));
    return servers.at(choice.path.front().server).data_center;
  }

 public:
  // Guards against all traffic going to the data center with the fastest
  // servers, even under low load.
  void PathStaysInDataCenterOfCaller() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    for (const char* home : {"regina", "brandon"}) {
      const auto choice =
          ChoosePath(Engine(), servers, {}, Request(home), kUtilizationLimit);
      CPPUNIT_ASSERT(choice.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(home), DataCenterOf(servers, *choice));
    }
  }

  // Four fast servers in one data center attracted the requests of all 117
  // instances that had just started, and 241 requests were refused.
  void FasterDataCenterDoesNotAttractAllRequests() {
    ServerMap servers;
    AddServers(servers, "regina", "a100s", 2);
    AddServers(servers, "regina", "l4", 13);
    AddServers(servers, "regina", "t4", 22);
    AddServers(servers, "lethbridge", "a100s", 4);
    AddServers(servers, "lethbridge", "l4", 9);
    AddServers(servers, "lethbridge", "t4", 14);
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    const auto choice =
        ChoosePath(Engine(), servers, {}, Request("regina"), kUtilizationLimit);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("regina"), DataCenterOf(servers, *choice));
  }

  // Guards against instances that see the same loads all choosing the same
  // servers.
  void EqualServersShareRequests() {
    ServerMap servers;
    for (const char* id : {"a", "b", "c"}) {
      servers[id] = EmptyServer(id, "regina", "a100s");
      servers[id].layers = LayerRange{0, 20};
    }
    servers["rest"] = EmptyServer("rest", "regina", "large");
    servers["rest"].layers = LayerRange{20, kLayers};
    EngineModel engine = Engine();
    engine.accelerator_kinds["large"] = {200'000, 3, 3};
    std::map<std::string, int> first_counts;
    constexpr int kRequests = 300;
    for (uint64_t i = 1; i <= kRequests; ++i) {
      PathRequest request = Request("regina");
      request.jitter_seed = i;
      const auto choice =
          ChoosePath(engine, servers, {}, request, kUtilizationLimit);
      CPPUNIT_ASSERT(choice.has_value());
      ++first_counts[choice->path.front().server];
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, first_counts.size());
    for (const auto& [id, count] : first_counts)
      CPPUNIT_ASSERT(count > kRequests / 6);
  }

  // A server with a slowdown of twelve is used only when no other holds its
  // layers.
  void SlowServersAreAvoided() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    PathRequest request = Request("regina");
    const auto unconstrained =
        ChoosePath(Engine(), servers, {}, request, kUtilizationLimit);
    CPPUNIT_ASSERT(unconstrained.has_value());
    const std::string slow = unconstrained->path[2].server;
    request.slowdowns[slow] = 12;
    const auto other =
        ChoosePath(Engine(), servers, {}, request, kUtilizationLimit);
    CPPUNIT_ASSERT(other.has_value());
    for (const PathStage& stage : other->path)
      CPPUNIT_ASSERT(stage.server != slow);
    for (const auto& [id, server] : servers)
      request.slowdowns[id] = 12;
    CPPUNIT_ASSERT(
        ChoosePath(Engine(), servers, {}, request, kUtilizationLimit));
  }

  // A burst that fills the memory of one data center must spill over to
  // another.
  void FullMemoryMovesPathToOtherDataCenter() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    LoadMap loads;
    for (const auto& [id, server] : servers)
      if (server.data_center == "regina")
        loads[id].token_layers = 0.9 * KvCapacity(Engine(), server);
    const auto choice = ChoosePath(Engine(), servers, loads, Request("regina"),
                                   kUtilizationLimit);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("brandon"),
                         DataCenterOf(servers, *choice));
  }

  // A server refuses requests beyond its sequence limit, whatever its free
  // memory.
  void SequenceLimitMovesPathToOtherDataCenter() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    LoadMap loads;
    for (const auto& [id, server] : servers)
      if (server.data_center == "regina")
        loads[id].sequences = Engine().max_sequences;
    const auto choice = ChoosePath(Engine(), servers, loads, Request("regina"),
                                   kUtilizationLimit);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("brandon"),
                         DataCenterOf(servers, *choice));
  }

  // Prefill over the link between data centers delays every other transfer, so
  // a lost stage moves the whole path.
  void LostStageMovesWholePathToOtherDataCenter() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    PathRequest request = Request("regina");
    for (const auto& [id, server] : servers)
      if (server.data_center == "regina" && server.layers->Contains(40))
        request.excluded.insert(id);
    const auto choice =
        ChoosePath(Engine(), servers, {}, request, kUtilizationLimit);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("brandon"),
                         DataCenterOf(servers, *choice));
  }

  // Highly utilized servers made two thirds of all tokens cross the links
  // between data centers, which then delayed every request.
  void NoCrossingWhileOneDataCenterHoldsAllLayers() {
    ServerMap servers = PlacedFleet({"regina", "brandon"});
    LoadMap loads;
    for (const auto& [id, server] : servers)
      loads[id].token_layers = (server.data_center == "regina" ? 0.79 : 0.9) *
                               KvCapacity(Engine(), server);
    PathRequest request = Request("regina");
    request.tokens = 10;
    request.allow_cross_data_center = true;
    const auto utilized_choice =
        ChoosePath(Engine(), servers, loads, request, kUtilizationLimit);
    CPPUNIT_ASSERT(utilized_choice.has_value());
    CPPUNIT_ASSERT_EQUAL(
        0, CountCrossDataCenterHops(utilized_choice->path, servers));
    request.allow_cross_data_center = false;
    CPPUNIT_ASSERT(
        HasSingleDataCenterPath(Engine(), servers, kServiceName, {}));
    // Each data center lacks a layer: then the path may cross.
    for (auto& [id, server] : servers) {
      const bool first = server.data_center == "regina";
      if (server.layers->Contains(first ? 20 : 60))
        request.excluded.insert(id);
    }
    CPPUNIT_ASSERT(!HasSingleDataCenterPath(Engine(), servers, kServiceName,
                                            request.excluded));
    CPPUNIT_ASSERT(
        !ChoosePath(Engine(), servers, {}, request, kUtilizationLimit)
             .has_value());
    request.allow_cross_data_center = true;
    const auto choice =
        ChoosePath(Engine(), servers, {}, request, kUtilizationLimit);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(CountCrossDataCenterHops(choice->path, servers) > 0);
  }

  // All instances together stay below the capacity of a link.
  void CrossingsStayBelowLinkCapacity() {
    constexpr size_t kInstances = 13;
    constexpr double kTokens = 950;
    CrossDataCenterBudget budget;
    // With a share too small for one request, only requests without an
    // alternative are admitted.
    CPPUNIT_ASSERT(!budget.CanConsume(TimePoint{std::chrono::seconds(50)},
                                      Engine(), 1000, kTokens, 2, false));
    CPPUNIT_ASSERT(budget.CanConsume(TimePoint{std::chrono::seconds(99)},
                                     Engine(), 1000, kTokens, 2, true));
    TimePoint now{std::chrono::seconds(100)};
    double tokens = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
      now += std::chrono::milliseconds(10);
      if (!budget.CanConsume(now, Engine(), kInstances, kTokens, 2, false))
        continue;
      budget.Consume(kTokens, 2);
      tokens += 2 * kTokens;
    }
    const double link_capacity_tokens = Engine().data_center_link_mbps * 1e6 /
                                        8 / Engine().activation_bytes * 10;
    CPPUNIT_ASSERT(tokens * kInstances < link_capacity_tokens * 0.8);
    CPPUNIT_ASSERT(tokens * kInstances > link_capacity_tokens * 0.3);
  }

  // A server refuses a new path whose first stage differs from the old one.
  void PinnedFirstStageIsKept() {
    ServerMap servers = PlacedFleet({"regina", "brandon"});
    const auto before =
        ChoosePath(Engine(), servers, {}, Request("regina"), kUtilizationLimit);
    PathRequest request = Request("regina");
    request.allow_cross_data_center = true;
    request.pinned_first_stage =
        PathStage{before->path[0].server, {0, before->path[0].layers.to - 1}};
    request.excluded.insert(before->path[2].server);
    // A second holder of the layer that the shorter first stage leaves out.
    servers.at(before->path[1].server).layers->from -= 1;
    const auto choice =
        ChoosePath(Engine(), servers, {}, request, kUtilizationLimit);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(IsCompletePath(choice->path, kLayers, servers));
    CPPUNIT_ASSERT(choice->path.front() == *request.pinned_first_stage);
  }

  // A request that reached its server limit may only go back to one of its
  // servers.
  void OnlyAllowedFirstServersAreUsed() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    const auto home = ChoosePath(Engine(), servers, {}, Request("brandon"),
                                 kUtilizationLimit);
    PathRequest request = Request("regina");
    request.allowed_first_servers = {home->path[0].server};
    const auto choice =
        ChoosePath(Engine(), servers, {}, request, kUtilizationLimit);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(home->path[0].server, choice->path[0].server);
  }

  // Instances excluded servers that were unreachable only from them, and had no
  // complete path in their data center.
  void UnreachableServerRunsLaterStage() {
    const ServerMap servers = PlacedFleet({"regina"});
    const auto unconstrained =
        ChoosePath(Engine(), servers, {}, Request("regina"), kUtilizationLimit);
    PathRequest request = Request("regina");
    for (const PathStage& stage : unconstrained->path)
      if (stage.server != unconstrained->path.front().server)
        request.excluded_as_first.insert(stage.server);
    const auto choice =
        ChoosePath(Engine(), servers, {}, request, kUtilizationLimit);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(choice->path == unconstrained->path);
    for (const auto& [id, server] : servers)
      request.excluded_as_first.insert(id);
    CPPUNIT_ASSERT(
        !ChoosePath(Engine(), servers, {}, request, kUtilizationLimit)
             .has_value());
  }

  void NoPathWhenALayerIsUncovered() {
    ServerMap servers = PlacedFleet({"regina"});
    PathRequest request = Request("regina");
    for (const auto& [id, server] : servers)
      if (server.layers->Contains(0))
        request.excluded.insert(id);
    CPPUNIT_ASSERT(
        !ChoosePath(Engine(), servers, {}, request, kUtilizationLimit)
             .has_value());
    servers.clear();
    CPPUNIT_ASSERT(
        !ChoosePath(Engine(), servers, {}, Request("regina"), kUtilizationLimit)
             .has_value());
  }

  // Every path must run each layer once and in order on servers that hold it,
  // whatever overlaps, uncovered layers, loads and exclusions the fleet has.
  void RandomFleetsGiveCompletePaths() {
    Random random(20261204);
    int found = 0;
    for (int i = 0; i < kRandomFleets; ++i) {
      const ServerMap servers = RandomFleet(random);
      LoadMap loads;
      PathRequest request = Request("regina");
      request.allow_cross_data_center = i % 4 != 0;
      for (const auto& [id, server] : servers) {
        loads[id].token_layers =
            random.UniformDouble() * 0.7 * KvCapacity(Engine(), server);
        loads[id].sequences = static_cast<int>(random.UniformBelow(120));
        if (random.UniformBelow(10) == 0)
          request.excluded.insert(id);
      }
      const auto choice =
          ChoosePath(Engine(), servers, loads, request, kUtilizationLimit);
      if (!choice)
        continue;
      ++found;
      CPPUNIT_ASSERT(request.allow_cross_data_center ||
                     CountCrossDataCenterHops(choice->path, servers) == 0);
      CPPUNIT_ASSERT(IsCompletePath(choice->path, kLayers, servers));
      CPPUNIT_ASSERT(choice->max_utilization <= kUtilizationLimit);
      for (const PathStage& stage : choice->path) {
        CPPUNIT_ASSERT(!request.excluded.contains(stage.server));
        CPPUNIT_ASSERT(servers.at(stage.server).state == ServerState::kReady);
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(found), found > kRandomFleets / 4);
  }

  // The other tests rely on IsCompletePath(), so it must detect each defect.
  void IncompletePathsAreDetected() {
    const ServerMap servers = PlacedFleet({"regina"});
    const LayerPath complete =
        ChoosePath(Engine(), servers, {}, Request("regina"), kUtilizationLimit)
            ->path;
    CPPUNIT_ASSERT(IsCompletePath(complete, kLayers, servers));
    LayerPath missing_stage = complete;
    missing_stage.erase(missing_stage.begin() + 1);
    CPPUNIT_ASSERT(!IsCompletePath(missing_stage, kLayers, servers));
    LayerPath repeated_stage = complete;
    repeated_stage.push_back(complete.back());
    CPPUNIT_ASSERT(!IsCompletePath(repeated_stage, kLayers, servers));
    LayerPath not_held = complete;
    not_held[0].layers.to += 1;
    not_held[1].layers.from += 1;
    CPPUNIT_ASSERT(!IsCompletePath(not_held, kLayers, servers));
    LayerPath short_path = complete;
    short_path.back().layers.to -= 1;
    CPPUNIT_ASSERT(!IsCompletePath(short_path, kLayers, servers));
    LayerPath unknown_server = complete;
    unknown_server[0].server = "nobody";
    CPPUNIT_ASSERT(!IsCompletePath(unknown_server, kLayers, servers));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayerPathTest);

}  // namespace
}  // namespace trefoilwick
