#include "trefoilwick/layer_path.h"

#include <cppunit/extensions/HelperMacros.h>

#include "layer_fleet.h"

namespace trefoilwick {
namespace {

constexpr double kMostUse = 0.95;
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
  CPPUNIT_TEST(StaysInTheDataCenterOfTheCaller);
  CPPUNIT_TEST(FasterDataCenterDoesNotDrawAll);
  CPPUNIT_TEST(EqualServersShareTheWork);
  CPPUNIT_TEST(GoesElsewhereWhenMemoryIsFull);
  CPPUNIT_TEST(GoesElsewhereWhenPlacesAreFull);
  CPPUNIT_TEST(SlowServersAreLeftOut);
  CPPUNIT_TEST(AnotherDataCenterRatherThanACrossing);
  CPPUNIT_TEST(NoCrossingWhileADataCenterHoldsAll);
  CPPUNIT_TEST(CrossingsStayBelowTheLink);
  CPPUNIT_TEST(KeepsTheFirstPartOfARequestInProgress);
  CPPUNIT_TEST(OnlyAllowedFirstServers);
  CPPUNIT_TEST(ServerOutOfReachServesBehindAnother);
  CPPUNIT_TEST(NoPathWithoutAHolder);
  CPPUNIT_TEST(RandomFleetsGiveWholePaths);
  CPPUNIT_TEST(WholePathFindsEachDefect);
  CPPUNIT_TEST_SUITE_END();

  static std::string DataCenterOf(const ServerMap& servers,
                                  const PathChoice& choice) {
    CPPUNIT_ASSERT(IsCompletePath(choice.path, kLayers, servers));
    CPPUNIT_ASSERT_EQUAL(0, CountCrossDataCenterHops(choice.path, servers));
    return servers.at(choice.path.front().server).data_center;
  }

 public:
  // Guards against all traffic piling up on the data center with the fastest
  // servers, as on the first calm day.
  void StaysInTheDataCenterOfTheCaller() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    for (const char* home : {"regina", "brandon"}) {
      const auto choice =
          ChoosePath(Engine(), servers, {}, Request(home), kMostUse);
      CPPUNIT_ASSERT(choice.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(home), DataCenterOf(servers, *choice));
    }
  }

  // Four fast servers in one data center drew the requests of all 117 instances
  // that had just started: 241 were refused (motionhall grown, trouble-3).
  void FasterDataCenterDoesNotDrawAll() {
    ServerMap servers;
    AddServers(servers, "regina", "a100s", 2);
    AddServers(servers, "regina", "l4", 13);
    AddServers(servers, "regina", "t4", 22);
    AddServers(servers, "lethbridge", "a100s", 4);
    AddServers(servers, "lethbridge", "l4", 9);
    AddServers(servers, "lethbridge", "t4", 14);
    CPPUNIT_ASSERT(RunPlacementUntilStable(servers) >= 0);
    const auto choice =
        ChoosePath(Engine(), servers, {}, Request("regina"), kMostUse);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("regina"), DataCenterOf(servers, *choice));
  }

  // Instances that see the same loads must not all choose the same servers.
  void EqualServersShareTheWork() {
    ServerMap servers;
    for (const char* id : {"a", "b", "c"}) {
      servers[id] = EmptyServer(id, "regina", "a100s");
      servers[id].layers = LayerRange{0, 20};
    }
    servers["rest"] = EmptyServer("rest", "regina", "large");
    servers["rest"].layers = LayerRange{20, kLayers};
    EngineModel engine = Engine();
    engine.accelerator_kinds["large"] = {200'000, 3, 3};
    std::map<std::string, int> firsts;
    constexpr int kRequests = 300;
    for (uint64_t i = 1; i <= kRequests; ++i) {
      PathRequest request = Request("regina");
      request.jitter_seed = i;
      const auto choice = ChoosePath(engine, servers, {}, request, kMostUse);
      CPPUNIT_ASSERT(choice.has_value());
      ++firsts[choice->path.front().server];
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, firsts.size());
    for (const auto& [id, count] : firsts)
      CPPUNIT_ASSERT(count > kRequests / 6);
  }

  // A server that takes twelve times as long serves only when no other holds
  // its layers.
  void SlowServersAreLeftOut() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    PathRequest request = Request("regina");
    const auto usual = ChoosePath(Engine(), servers, {}, request, kMostUse);
    CPPUNIT_ASSERT(usual.has_value());
    const std::string slow = usual->path[2].server;
    request.slowdowns[slow] = 12;
    const auto other = ChoosePath(Engine(), servers, {}, request, kMostUse);
    CPPUNIT_ASSERT(other.has_value());
    for (const PathStage& part : other->path)
      CPPUNIT_ASSERT(part.server != slow);
    for (const auto& [id, server] : servers)
      request.slowdowns[id] = 12;
    CPPUNIT_ASSERT(ChoosePath(Engine(), servers, {}, request, kMostUse));
  }

  // A burst that fills the memory of one data center must spill over.
  void GoesElsewhereWhenMemoryIsFull() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    LoadMap loads;
    for (const auto& [id, server] : servers)
      if (server.data_center == "regina")
        loads[id].token_layers = 0.9 * KvCapacity(Engine(), server);
    const auto choice =
        ChoosePath(Engine(), servers, loads, Request("regina"), kMostUse);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("brandon"),
                         DataCenterOf(servers, *choice));
  }

  // A server refuses requests beyond its places whatever its memory.
  void GoesElsewhereWhenPlacesAreFull() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    LoadMap loads;
    for (const auto& [id, server] : servers)
      if (server.data_center == "regina")
        loads[id].sequences = Engine().max_sequences;
    const auto choice =
        ChoosePath(Engine(), servers, loads, Request("regina"), kMostUse);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("brandon"),
                         DataCenterOf(servers, *choice));
  }

  // Reading a prompt over the link between data centers holds up every other
  // transfer, so a lost part moves the whole path.
  void AnotherDataCenterRatherThanACrossing() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    PathRequest request = Request("regina");
    for (const auto& [id, server] : servers)
      if (server.data_center == "regina" && server.layers->Contains(40))
        request.excluded.insert(id);
    const auto choice = ChoosePath(Engine(), servers, {}, request, kMostUse);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("brandon"),
                         DataCenterOf(servers, *choice));
  }

  // Crowded servers made two thirds of all tokens cross the links, which then
  // held up everything (malabar grown, scale-2).
  void NoCrossingWhileADataCenterHoldsAll() {
    ServerMap servers = PlacedFleet({"regina", "brandon"});
    LoadMap loads;
    for (const auto& [id, server] : servers)
      loads[id].token_layers = (server.data_center == "regina" ? 0.79 : 0.9) *
                               KvCapacity(Engine(), server);
    PathRequest request = Request("regina");
    request.tokens = 10;
    request.allow_cross_data_center = true;
    const auto crowded =
        ChoosePath(Engine(), servers, loads, request, kMostUse);
    CPPUNIT_ASSERT(crowded.has_value());
    CPPUNIT_ASSERT_EQUAL(0, CountCrossDataCenterHops(crowded->path, servers));
    request.allow_cross_data_center = false;
    CPPUNIT_ASSERT(
        HasSingleDataCenterPath(Engine(), servers, kServiceName, {}));
    // Each data center lacks a layer: then it may cross.
    for (auto& [id, server] : servers) {
      const bool first = server.data_center == "regina";
      if (server.layers->Contains(first ? 20 : 60))
        request.excluded.insert(id);
    }
    CPPUNIT_ASSERT(!HasSingleDataCenterPath(Engine(), servers, kServiceName,
                                            request.excluded));
    CPPUNIT_ASSERT(
        !ChoosePath(Engine(), servers, {}, request, kMostUse).has_value());
    request.allow_cross_data_center = true;
    const auto choice = ChoosePath(Engine(), servers, {}, request, kMostUse);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(CountCrossDataCenterHops(choice->path, servers) > 0);
  }

  // All instances together stay below what a link carries.
  void CrossingsStayBelowTheLink() {
    constexpr size_t kInstances = 13;
    constexpr double kTokens = 950;
    CrossDataCenterBudget budget;
    // A share too small for one request is for what has no other way.
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
    const double link = Engine().data_center_link_mbps * 1e6 / 8 /
                        Engine().activation_bytes * 10;
    CPPUNIT_ASSERT(tokens * kInstances < link * 0.8);
    CPPUNIT_ASSERT(tokens * kInstances > link * 0.3);
  }

  // A server refuses a new path whose first part differs from the old one.
  void KeepsTheFirstPartOfARequestInProgress() {
    ServerMap servers = PlacedFleet({"regina", "brandon"});
    const auto before =
        ChoosePath(Engine(), servers, {}, Request("regina"), kMostUse);
    PathRequest request = Request("regina");
    request.allow_cross_data_center = true;
    request.pinned_first_stage =
        PathStage{before->path[0].server, {0, before->path[0].layers.to - 1}};
    request.excluded.insert(before->path[2].server);
    // A copy of the layer that the shorter first part leaves out.
    servers.at(before->path[1].server).layers->from -= 1;
    const auto choice = ChoosePath(Engine(), servers, {}, request, kMostUse);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(IsCompletePath(choice->path, kLayers, servers));
    CPPUNIT_ASSERT(choice->path.front() == *request.pinned_first_stage);
  }

  // A request that used up its servers may only go back to one of them.
  void OnlyAllowedFirstServers() {
    const ServerMap servers = PlacedFleet({"regina", "brandon"});
    const auto home =
        ChoosePath(Engine(), servers, {}, Request("brandon"), kMostUse);
    PathRequest request = Request("regina");
    request.allowed_first_servers = {home->path[0].server};
    const auto choice = ChoosePath(Engine(), servers, {}, request, kMostUse);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT_EQUAL(home->path[0].server, choice->path[0].server);
  }

  // Instances left servers out that only they could not reach, and had no whole
  // path in their data center (motionhall, partly-reachable-servers).
  void ServerOutOfReachServesBehindAnother() {
    const ServerMap servers = PlacedFleet({"regina"});
    const auto usual =
        ChoosePath(Engine(), servers, {}, Request("regina"), kMostUse);
    PathRequest request = Request("regina");
    for (const PathStage& part : usual->path)
      if (part.server != usual->path.front().server)
        request.excluded_as_first.insert(part.server);
    const auto choice = ChoosePath(Engine(), servers, {}, request, kMostUse);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(choice->path == usual->path);
    for (const auto& [id, server] : servers)
      request.excluded_as_first.insert(id);
    CPPUNIT_ASSERT(
        !ChoosePath(Engine(), servers, {}, request, kMostUse).has_value());
  }

  void NoPathWithoutAHolder() {
    ServerMap servers = PlacedFleet({"regina"});
    PathRequest request = Request("regina");
    for (const auto& [id, server] : servers)
      if (server.layers->Contains(0))
        request.excluded.insert(id);
    CPPUNIT_ASSERT(
        !ChoosePath(Engine(), servers, {}, request, kMostUse).has_value());
    servers.clear();
    CPPUNIT_ASSERT(
        !ChoosePath(Engine(), servers, {}, Request("regina"), kMostUse)
             .has_value());
  }

  // Every path must run each layer once and in order on servers that hold it,
  // whatever overlaps, gaps, loads and exclusions the fleet has.
  void RandomFleetsGiveWholePaths() {
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
          ChoosePath(Engine(), servers, loads, request, kMostUse);
      if (!choice)
        continue;
      ++found;
      CPPUNIT_ASSERT(request.allow_cross_data_center ||
                     CountCrossDataCenterHops(choice->path, servers) == 0);
      CPPUNIT_ASSERT(IsCompletePath(choice->path, kLayers, servers));
      CPPUNIT_ASSERT(choice->max_utilization <= kMostUse);
      for (const PathStage& part : choice->path) {
        CPPUNIT_ASSERT(!request.excluded.contains(part.server));
        CPPUNIT_ASSERT(servers.at(part.server).state == ServerState::kReady);
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(found), found > kRandomFleets / 4);
  }

  // The check that the other tests rely on must itself find each defect.
  void WholePathFindsEachDefect() {
    const ServerMap servers = PlacedFleet({"regina"});
    const LayerPath whole =
        ChoosePath(Engine(), servers, {}, Request("regina"), kMostUse)->path;
    CPPUNIT_ASSERT(IsCompletePath(whole, kLayers, servers));
    LayerPath gap = whole;
    gap.erase(gap.begin() + 1);
    CPPUNIT_ASSERT(!IsCompletePath(gap, kLayers, servers));
    LayerPath twice = whole;
    twice.push_back(whole.back());
    CPPUNIT_ASSERT(!IsCompletePath(twice, kLayers, servers));
    LayerPath not_held = whole;
    not_held[0].layers.to += 1;
    not_held[1].layers.from += 1;
    CPPUNIT_ASSERT(!IsCompletePath(not_held, kLayers, servers));
    LayerPath short_path = whole;
    short_path.back().layers.to -= 1;
    CPPUNIT_ASSERT(!IsCompletePath(short_path, kLayers, servers));
    LayerPath unknown = whole;
    unknown[0].server = "nobody";
    CPPUNIT_ASSERT(!IsCompletePath(unknown, kLayers, servers));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayerPathTest);

}  // namespace
}  // namespace trefoilwick
