#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>

#include "trefoilwick/routing.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::set<std::string> kNone;

Chain MakeChain(const std::string& id, const std::string& dc, double speed) {
  Chain chain;
  chain.id = id;
  chain.model = "m";
  chain.data_center = dc;
  chain.tokens_per_second = speed;
  return chain;
}

FleetView MakeFleet(const std::vector<Chain>& chains) {
  FleetView fleet;
  for (const Chain& chain : chains)
    fleet.chains[chain.id] = chain;
  return fleet;
}

struct Scenario {
  milliseconds report_lag{0};
  double load = 0;
};

// Queues of 12 chains of three speeds behind 13 entry instances, in virtual
// time. Chains report every 100 ms; a report arrives `report_lag` later.
class QueueModel {
 public:
  QueueModel(const std::string& policy, Scenario scenario, uint64_t seed)
      : m_policy(Registry<ChainPolicy>::Get().Create(policy)),
        m_scenario(scenario),
        m_random(seed) {
    std::vector<Chain> chains;
    chains.reserve(kChains);
    for (int i = 0; i < kChains; ++i)
      chains.push_back(
          MakeChain(std::to_string(100 + i), "a", 1100 << (i % 3)));
    m_fleet = MakeFleet(chains);
    for (const Chain& chain : chains)
      m_speed += chain.tokens_per_second;
  }

  // p95 of the wait in milliseconds, over 300 s after a warm-up of 30 s.
  double P95() {
    std::vector<double> waits;
    const double rate = m_scenario.load * m_speed / kTokens;
    double now = 0;
    while (now < 330) {
      now += Exponential() / rate;
      Publish(now);
      const double wait = Send(now);
      if (now > 30)
        waits.push_back(wait * 1000);
    }
    const auto p95 =
        waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 95 / 100);
    std::nth_element(waits.begin(), p95, waits.end());
    return *p95;
  }

 private:
  static constexpr int kChains = 12;
  static constexpr int kEntries = 13;
  static constexpr double kTokens = 436;

  struct Queue {
    // Time when the queue becomes empty, and start times of the queued
    // requests.
    double free_at = 0;
    std::deque<double> starts;
    std::array<std::deque<double>, kEntries> sent;
  };

  static TimePoint TimeAt(double t) {
    return TimePoint(Duration(static_cast<int64_t>(t * 1e6)));
  }
  double Exponential() { return -std::log(1 - m_random.UniformDouble()); }

  void Publish(double now) {
    for (; m_next_report <= now; m_next_report += 0.1) {
      std::map<std::string, ChainLoadInfo> report;
      for (auto& [id, queue] : m_queues) {
        while (!queue.starts.empty() && queue.starts.front() <= m_next_report)
          queue.starts.pop_front();
        ChainLoadInfo& load = report[id];
        load.reported_at = TimeAt(m_next_report);
        load.queued = static_cast<int>(queue.starts.size());
        load.running = queue.free_at > m_next_report;
        load.expected_wait =
            TimeAt(std::max(0.0, queue.free_at - m_next_report)) - TimePoint{};
      }
      m_reports.push_back(std::move(report));
    }
    const TimePoint visible = TimeAt(now) - m_scenario.report_lag;
    while (m_reports.size() > 1 && !m_reports[1].empty() &&
           m_reports[1].begin()->second.reported_at <= visible) {
      m_reports.pop_front();
    }
  }

  double Send(double now) {
    const size_t entry = m_random.UniformBelow(kEntries);
    std::map<std::string, ChainLoadInfo> loads;
    if (!m_reports.empty())
      loads = m_reports.front();
    for (auto& [id, load] : loads) {
      auto& sent = m_queues[id].sent[entry];
      while (!sent.empty() && TimeAt(sent.front()) <= load.reported_at)
        sent.pop_front();
      load.sent_since_report = static_cast<int>(sent.size());
    }
    const std::string id = m_policy->ChooseChain(
        {m_fleet, loads, "m", "a", 0, TimeAt(now), kNone, nullptr, kEntries},
        m_random);
    Queue& queue = m_queues[id];
    const double start = std::max(now, queue.free_at);
    queue.free_at =
        start + Exponential() * kTokens / m_fleet.chains[id].tokens_per_second;
    if (start > now)
      queue.starts.push_back(start);
    queue.sent[entry].push_back(now);
    return start - now;
  }

  std::unique_ptr<ChainPolicy> m_policy;
  Scenario m_scenario;
  Random m_random;
  FleetView m_fleet;
  double m_speed = 0;
  std::map<std::string, Queue> m_queues;
  std::deque<std::map<std::string, ChainLoadInfo>> m_reports;
  double m_next_report = 0.1;
};

class RoutingPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingPolicyTest);
  CPPUNIT_TEST(AllPoliciesAreRegistered);
  CPPUNIT_TEST(OnlyUntriedChainsOfModelAreChosen);
  CPPUNIT_TEST(DefaultPolicyWeighsWaitAndAffinity);
  CPPUNIT_TEST(ChainsOfUnknownSpeedShareLoad);
  CPPUNIT_TEST(EstimateIncludesReportAgeAndOwnRequests);
  CPPUNIT_TEST(LaggingReportsCauseNoHerding);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { RegisterChainPolicies(); }

  // Guards against registrations that the linker drops, and against a second
  // registration that fails.
  void AllPoliciesAreRegistered() {
    RegisterChainPolicies();
    const std::vector<std::string> expected = {"least_loaded", "power_of_two",
                                               "random", "round_robin"};
    CPPUNIT_ASSERT(Registry<ChainPolicy>::Get().Names() == expected);
  }

  // Property: the chosen chain serves the model and was not tried before; one
  // is chosen whenever such a chain exists.
  void OnlyUntriedChainsOfModelAreChosen() {
    for (const std::string& name : Registry<ChainPolicy>::Get().Names()) {
      auto policy = Registry<ChainPolicy>::Get().Create(name);
      for (uint64_t seed = 0; seed < 2000; ++seed) {
        Random random(seed);
        FleetView fleet;
        std::map<std::string, ChainLoadInfo> loads;
        std::set<std::string> excluded;
        std::set<std::string> allowed;
        for (uint64_t i = random.UniformBelow(6); i > 0; --i) {
          Chain chain =
              MakeChain(std::to_string(i), random.UniformBelow(2) ? "a" : "b",
                        100.0 * static_cast<int>(random.UniformBelow(4)));
          chain.model = random.UniformBelow(3) ? "m" : "other";
          if (random.UniformBelow(2))
            loads[chain.id].expected_wait =
                milliseconds(random.UniformBelow(900));
          if (random.UniformBelow(4) == 0)
            excluded.insert(chain.id);
          else if (chain.model == "m")
            allowed.insert(chain.id);
          fleet.chains[chain.id] = chain;
        }
        PrefixIndex prefixes;
        prefixes.Record(7, "1");
        const std::string chosen = policy->ChooseChain(
            {fleet, loads, "m", "a", 7, TimePoint{} + seconds(1), excluded,
             &prefixes, 13},
            random);
        CPPUNIT_ASSERT_EQUAL(allowed.empty(), chosen.empty());
        CPPUNIT_ASSERT(chosen.empty() || allowed.contains(chosen));
      }
    }
  }

  // Guards against prefix affinity or the local data center being preferred at
  // any additional wait, and against losing the preference to a small
  // difference.
  void DefaultPolicyWeighsWaitAndAffinity() {
    struct Case {
      int local_ms;
      int remote_ms;
      uint64_t prefix;
      std::string expected;
    };
    // Chain "near" is local, "far" is remote and has prefix 5 cached.
    const Case cases[] = {{0, 0, 0, "near"},   {40, 0, 0, "near"},
                          {80, 0, 0, "far"},   {0, 100, 5, "far"},
                          {0, 150, 5, "near"}, {0, 100, 6, "near"}};
    const FleetView fleet =
        MakeFleet({MakeChain("near", "a", 1000), MakeChain("far", "b", 1000)});
    PrefixIndex prefixes;
    prefixes.Record(5, "far");
    auto policy = Registry<ChainPolicy>::Get().Create("power_of_two");
    for (const Case& c : cases) {
      std::map<std::string, ChainLoadInfo> loads;
      loads["near"].expected_wait = milliseconds(c.local_ms);
      loads["far"].expected_wait = milliseconds(c.remote_ms);
      Random random(1);
      CPPUNIT_ASSERT_EQUAL(
          c.expected, policy->ChooseChain({fleet, loads, "m", "a", c.prefix,
                                           TimePoint{}, kNone, &prefixes, 1},
                                          random));
    }
  }

  // Guards against all requests going to one chain when the instance list omits
  // the speeds.
  void ChainsOfUnknownSpeedShareLoad() {
    const FleetView fleet =
        MakeFleet({MakeChain("x", "a", 0), MakeChain("y", "a", 0),
                   MakeChain("z", "a", 0)});
    auto policy = Registry<ChainPolicy>::Get().Create("power_of_two");
    Random random(1);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 300; ++i)
      ++chosen[policy->ChooseChain({fleet, {}, "m", "a", 0, {}, kNone},
                                   random)];
    for (const char* id : {"x", "y", "z"})
      CPPUNIT_ASSERT(chosen[id] > 70 && chosen[id] < 130);
  }

  // Guards against a chain without recent reports looking idle, and against
  // ignoring the own requests since the report.
  void EstimateIncludesReportAgeAndOwnRequests() {
    const Chain chain = MakeChain("c", "a", 1000);
    const Duration typical = milliseconds(800);
    ChainLoadInfo load;
    const auto estimate = [&](seconds age) {
      return EstimateWait(chain, &load, typical, 1, load.reported_at + age);
    };
    CPPUNIT_ASSERT(EstimateWait(chain, nullptr, typical, 1, {}) == typical);
    CPPUNIT_ASSERT(estimate(seconds(0)) == Duration(0));
    CPPUNIT_ASSERT(estimate(seconds(20)) > milliseconds(790));
    load.expected_wait = seconds(2);
    CPPUNIT_ASSERT(estimate(seconds(20)) < milliseconds(810));
    const Duration before = estimate(seconds(0));
    load.sent_since_report = 2;
    CPPUNIT_ASSERT(estimate(seconds(0)) > before + milliseconds(800));
  }

  // Guards against all entry instances choosing the same idle chain while
  // reports lag.
  void LaggingReportsCauseNoHerding() {
    std::printf(
        "\np95 wait (ms), mean of 5 seeds, 12 chains of speeds 1:2:4, "
        "13 entries\n%-14s",
        "load, lag");
    const std::vector<std::string> names = {"power_of_two", "round_robin",
                                            "least_loaded", "random"};
    for (const std::string& name : names)
      std::printf("%14s", name.c_str());
    for (const double load : {0.5, 0.7, 0.9}) {
      for (const int lag : {200, 1000}) {
        std::map<std::string, double> p95;
        std::printf("\n%.1f, %4d ms  ", load, lag);
        for (const std::string& name : names) {
          for (uint64_t seed = 0; seed < 5; ++seed)
            p95[name] +=
                QueueModel(name, {milliseconds(lag), load}, seed).P95() / 5;
          std::printf("%14.0f", p95[name]);
        }
        for (const std::string& name : names)
          CPPUNIT_ASSERT(p95["power_of_two"] <= p95[name]);
      }
    }
    std::printf("\n");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingPolicyTest);

}  // namespace
}  // namespace trefoilwick
