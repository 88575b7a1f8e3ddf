// Instances that together must find and refuse requests that crash servers.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "coordination_harness.h"
#include "test_args.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time without disruption after which an instance is bound by the rules, and
// after the fifth crash by which it must know the culprit.
constexpr Duration kContactTime = seconds(3);
constexpr size_t kFreeCrashes = 5;
constexpr size_t kMaxLateArrivals = 3;
// Time from a send to the first token, which crashes the server.
constexpr Duration kReadTime = milliseconds(80);
constexpr int kSends = 2;
constexpr uint64_t kRandomRuns = 60 / kSanitizedTrialDivisor;

struct Load {
  int instances = 13;
  Duration sound_interval = milliseconds(20);
  Duration deadly_interval = milliseconds(650);
};

// Sound requests, and others with a deadly part, come at random instances. A
// crash interrupts the sound requests on its server that have not begun.
class PoisonedTraffic {
 public:
  explicit PoisonedTraffic(uint64_t seed, const Load& load = {})
      : m_load(load),
        m_random(seed),
        m_cluster(load.instances),
        m_disturbed_until(static_cast<size_t>(load.instances)) {
    m_cluster.RunFor(seconds(3));
  }

  Cluster& cluster() { return m_cluster; }
  int instances() const { return m_load.instances; }
  size_t crashes() const { return m_crashes; }
  void StopDeadlyRequests() { m_deadly = false; }

  void RunFor(Duration time) {
    const TimePoint end = m_cluster.now() + time;
    while (m_cluster.now() < end) {
      m_cluster.RunFor(milliseconds(10));
      RunDueEvents();
      NoteDisturbances();
      if (IsDue(m_load.sound_interval))
        BeginSound();
      if (m_deadly && IsDue(m_load.deadly_interval))
        SendDeadly(Pick(), {"bad", DeadlyFirstPart()}, kSends);
    }
  }
  void RunUntilCrashes(size_t count) {
    for (int i = 0; i < 2000 && m_crashes < count; ++i)
      RunFor(milliseconds(10));
  }

  void Kill(int index) { m_cluster.NodeAt(index).alive = false; }
  void Restart(int index) {
    m_cluster.StartNode(index);
    Disturb(index);
  }
  void RestartDead() {
    for (int i = 0; i < instances(); ++i)
      if (!m_cluster.NodeAt(i).alive)
        Restart(i);
  }

  // Requests with the deadly part that instances in touch sent later than the
  // contact time after the fifth crash.
  size_t LateArrivals() const {
    if (m_fifth_crash_at == TimePoint{})
      return 0;
    return static_cast<size_t>(std::count_if(
        m_arrivals.begin(), m_arrivals.end(),
        [&](TimePoint at) { return at > m_fifth_crash_at + kContactTime; }));
  }
  // Sound requests, and those of them that instances refused.
  size_t sound() const { return m_sound; }
  size_t refused() const { return m_refused; }

 private:
  struct Event {
    TimePoint at;
    std::function<void()> run;
  };

  bool IsDue(Duration interval) {
    return m_cluster.now().time_since_epoch() % interval < milliseconds(10);
  }
  int Pick() {
    return static_cast<int>(
        m_random.UniformBelow(static_cast<uint64_t>(instances())));
  }
  std::string DeadlyFirstPart() {
    return "first " + std::to_string(m_random.UniformBelow(2));
  }
  bool Runs(int index) {
    return m_cluster.NodeAt(index).alive && !m_cluster.NodeAt(index).suspended;
  }
  void Disturb(int index) {
    m_disturbed_until[static_cast<size_t>(index)] =
        m_cluster.now() + kContactTime;
  }
  void NoteDisturbances() {
    for (int i = 0; i < instances(); ++i) {
      const Cluster::Node& node = m_cluster.NodeAt(i);
      if (!Runs(i) || !node.links_up || node.partition != 0 ||
          !node.store_reachable || !m_cluster.store().reachable)
        Disturb(i);
    }
  }
  TraitSet MakeTraits(const std::vector<std::string>& parts) {
    return RequestTraits("pool", "club", "/draft/", std::to_string(++m_bodies),
                         parts);
  }

  void SendDeadly(int index, const std::vector<std::string>& parts, int sends) {
    if (!Runs(index) || sends == 0)
      return;
    Coordination& coordination = *m_cluster.NodeAt(index).coordination;
    const TraitSet traits = MakeTraits(parts);
    if (coordination.QuarantineTime(m_cluster.now(), traits) > Duration(0))
      return;
    const TimePoint now = m_cluster.now();
    if (m_disturbed_until[static_cast<size_t>(index)] < now)
      m_arrivals.push_back(now);
    m_events.push_back({now + kReadTime, [this, index, parts, sends, traits] {
                          const uint64_t server = OnCrash();
                          ReportCrash(index, server, traits);
                          InterruptSound(server);
                          SendDeadly(index, parts, sends - 1);
                        }});
  }

  uint64_t OnCrash() {
    if (++m_crashes == kFreeCrashes)
      m_fifth_crash_at = m_cluster.now();
    return m_crashes;
  }

  void ReportCrash(int index, uint64_t server, const TraitSet& traits) {
    if (Runs(index))
      m_cluster.NodeAt(index).coordination->OnServerCrash(
          m_cluster.now(), {++m_reports, server, traits, m_cluster.now()});
  }

  // Of the sound requests, those that share the first part of the deadly ones
  // among them.
  void InterruptSound(uint64_t server) {
    for (int i = 0; i < 3; ++i) {
      const int index = Pick();
      ReportCrash(index, server, MakeTraits({SoundPart()}));
    }
  }
  std::string SoundPart() {
    const uint64_t part = m_random.UniformBelow(40);
    return part < 2 ? "first " + std::to_string(part)
                    : "subject " + std::to_string(part);
  }

  void BeginSound() {
    const int index = Pick();
    if (!Runs(index))
      return;
    const TraitSet traits = MakeTraits({SoundPart()});
    const TimePoint now = m_cluster.now();
    ++m_sound;
    if (m_cluster.NodeAt(index).coordination->QuarantineTime(now, traits) >
        Duration(0)) {
      ++m_refused;
      return;
    }
    m_events.push_back({now + kReadTime, [this, index, traits, now] {
                          if (Runs(index))
                            m_cluster.NodeAt(index).coordination->OnRequestRan(
                                traits, now);
                        }});
  }

  void RunDueEvents() {
    std::vector<Event> due;
    std::erase_if(m_events, [&](Event& event) {
      if (event.at > m_cluster.now())
        return false;
      due.push_back(std::move(event));
      return true;
    });
    for (const Event& event : due)
      event.run();
  }

  Load m_load;
  Random m_random;
  Cluster m_cluster;
  std::vector<TimePoint> m_disturbed_until;
  std::deque<Event> m_events;
  bool m_deadly = true;
  size_t m_crashes = 0;
  TimePoint m_fifth_crash_at;
  std::vector<TimePoint> m_arrivals;
  uint64_t m_reports = 0;
  uint64_t m_bodies = 0;
  size_t m_sound = 0;
  size_t m_refused = 0;
};

void CheckKept(const PoisonedTraffic& traffic, const std::string& what) {
  CPPUNIT_ASSERT_MESSAGE(what + ": " + std::to_string(traffic.LateArrivals()) +
                             " late arrivals, " +
                             std::to_string(traffic.crashes()) + " crashes",
                         traffic.LateArrivals() <= kMaxLateArrivals);
  CPPUNIT_ASSERT_MESSAGE(what + ": " + std::to_string(traffic.refused()) +
                             " of " + std::to_string(traffic.sound()) +
                             " sound requests refused",
                         traffic.refused() * 20 <= traffic.sound());
}

// One of the troubles that a day may have, at a random time.
void InjectRandomFault(PoisonedTraffic& traffic, Random& random) {
  Cluster& cluster = traffic.cluster();
  const auto victim = static_cast<int>(
      random.UniformBelow(static_cast<uint64_t>(traffic.instances())));
  switch (random.UniformBelow(8)) {
    case 0:
      if (!cluster.Coordinator().empty())
        traffic.Kill(cluster.IndexOf(cluster.Coordinator()));
      return;
    case 1:
      for (int i = victim; i < traffic.instances(); i += 2)
        traffic.Kill(i);
      return;
    case 2:
      traffic.RestartDead();
      return;
    case 3:
      cluster.NodeAt(victim).suspended = true;
      return;
    case 4:
      for (int i = 0; i < traffic.instances(); ++i)
        cluster.Resume(i);
      return;
    case 5:
      cluster.store().reachable = !cluster.store().reachable;
      return;
    case 6:
      cluster.NodeAt(victim).links_up = !cluster.NodeAt(victim).links_up;
      return;
    default:
      cluster.NodeAt(victim).store_reachable =
          !cluster.NodeAt(victim).store_reachable;
      return;
  }
}

class CoordinationQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinationQuarantineTest);
  CPPUNIT_TEST(DeadlyPartSeenByManyInstancesIsRefused);
  CPPUNIT_TEST(DeadlyPartIsRefusedOnLargeDeployment);
  CPPUNIT_TEST(DeadlyPartIsRefusedDespiteLossOfCoordinator);
  CPPUNIT_TEST(RestartedInstancesRefuseDeadlyPart);
  CPPUNIT_TEST(QuarantineSurvivesLossOfAllInstances);
  CPPUNIT_TEST(DeadlyPartIsRefusedOnceTheStoreIsBack);
  CPPUNIT_TEST(CutOffInstanceLearnsOfDeadlyPart);
  CPPUNIT_TEST(RareDeadlyRequestsAreFound);
  CPPUNIT_TEST(LostServersQuarantineNothing);
  CPPUNIT_TEST(CommonPartIsServedAfterATrial);
  CPPUNIT_TEST(TrialOfCommonPartOutlivesAllInstances);
  CPPUNIT_TEST(HandoverOfCoordinatorQuarantinesNoSoundPart);
  CPPUNIT_TEST(RandomFaultsDoNotFreeDeadlyPart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DeadlyPartSeenByManyInstancesIsRefused() {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      PoisonedTraffic traffic(seed);
      traffic.RunFor(seconds(25));
      CheckKept(traffic, "seed " + std::to_string(seed));
      CPPUNIT_ASSERT(traffic.crashes() < 12);
    }
  }

  void DeadlyPartIsRefusedOnLargeDeployment() {
    PoisonedTraffic traffic(1, {117, milliseconds(10), milliseconds(220)});
    traffic.RunFor(seconds(15));
    CheckKept(traffic, "117 instances");
  }

  // The crashes before the loss are reported again to the next coordinator.
  void DeadlyPartIsRefusedDespiteLossOfCoordinator() {
    for (size_t crashes = 1; crashes <= 6; ++crashes) {
      PoisonedTraffic traffic(crashes);
      traffic.RunUntilCrashes(crashes);
      traffic.Kill(traffic.cluster().IndexOf(traffic.cluster().Coordinator()));
      traffic.RunFor(seconds(15));
      CheckKept(traffic, "lost after " + std::to_string(crashes) + " crashes");
    }
  }

  void RestartedInstancesRefuseDeadlyPart() {
    PoisonedTraffic traffic(1);
    traffic.RunFor(seconds(6));
    for (int i = 0; i < traffic.instances(); ++i) {
      traffic.Kill(i);
      traffic.RunFor(milliseconds(600));
      traffic.Restart(i);
      traffic.RunFor(milliseconds(400));
    }
    traffic.RunFor(seconds(5));
    CheckKept(traffic, "rolling restart");
  }

  // All instances lost power, and nothing but the store knew the culprit.
  void QuarantineSurvivesLossOfAllInstances() {
    PoisonedTraffic traffic(1);
    traffic.RunFor(seconds(10));
    const size_t crashes = traffic.crashes();
    for (int i = 0; i < traffic.instances(); ++i)
      traffic.Kill(i);
    traffic.RunFor(seconds(2));
    traffic.RestartDead();
    traffic.RunFor(seconds(15));
    CheckKept(traffic, "loss of all instances");
    CPPUNIT_ASSERT_MESSAGE(std::to_string(traffic.crashes() - crashes) +
                               " crashes after the restart",
                           traffic.crashes() - crashes <= 2);
  }

  void DeadlyPartIsRefusedOnceTheStoreIsBack() {
    PoisonedTraffic traffic(1);
    traffic.RunFor(milliseconds(500));
    traffic.cluster().store().reachable = false;
    traffic.Kill(traffic.cluster().IndexOf(traffic.cluster().Coordinator()));
    traffic.RunFor(seconds(8));
    traffic.cluster().store().reachable = true;
    traffic.RunFor(seconds(12));
    CheckKept(traffic, "outage of the store");
  }

  void CutOffInstanceLearnsOfDeadlyPart() {
    PoisonedTraffic traffic(1);
    traffic.cluster().NodeAt(4).links_up = false;
    traffic.RunFor(seconds(8));
    traffic.cluster().NodeAt(4).links_up = true;
    traffic.RunFor(seconds(12));
    CheckKept(traffic, "cut off instance");
  }

  // Crashes came far apart, with many sound requests and the loss of a
  // coordinator in between. Only what the lost instance saw itself is
  // forgotten.
  void RareDeadlyRequestsAreFound() {
    int forgotten = 0;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      PoisonedTraffic traffic(seed, {13, milliseconds(50), seconds(20)});
      traffic.RunUntilCrashes(2);
      traffic.RunFor(seconds(4));
      traffic.Kill(traffic.cluster().IndexOf(traffic.cluster().Coordinator()));
      traffic.RunFor(seconds(60));
      CheckKept(traffic, "rare deadly requests");
      forgotten += traffic.crashes() > 4 ? 1 : 0;
    }
    CPPUNIT_ASSERT(forgotten <= 1);
  }

  // Servers are lost again and again while no part is deadly.
  void LostServersQuarantineNothing() {
    Cluster cluster(13);
    cluster.RunFor(seconds(3));
    Random random(1);
    uint64_t id = 0;
    for (int step = 0; step < 400; ++step) {
      cluster.RunFor(milliseconds(50));
      for (int i = 0; i < 13; ++i) {
        Coordination& coordination = *cluster.NodeAt(i).coordination;
        const TraitSet traits =
            RequestTraits("pool", "club", "/", std::to_string(++id),
                          {"part " + std::to_string(random.UniformBelow(60))});
        const TimePoint sent_at = cluster.now() - kReadTime;
        if (step % 10 == 0 && i % 2 == 0)
          coordination.OnServerCrash(
              cluster.now(),
              {id, static_cast<uint64_t>(step), traits, cluster.now()});
        else
          coordination.OnRequestRan(traits, sent_at);
      }
    }
    for (int i = 0; i < 13; ++i)
      CPPUNIT_ASSERT(
          cluster.NodeAt(i).coordination->Quarantine(cluster.now()).empty());
  }

  // Three servers crash 0.15 s after each other under requests that all have
  // one part, as many did that ran before. True when all instances refuse it
  // then.
  static bool CrashUnderCommonPart(Cluster& cluster, const TraitSet& common) {
    cluster.RunFor(seconds(3));
    for (int i = 0; i < 13; ++i)
      cluster.NodeAt(i).coordination->OnRequestRan(common, cluster.now());
    for (uint64_t server = 1; server <= 3; ++server) {
      cluster.RunFor(milliseconds(150));
      for (int i = 0; i < 13; ++i)
        cluster.NodeAt(i).coordination->OnServerCrash(
            cluster.now(),
            {server * 100 + static_cast<uint64_t>(i), server,
             RequestTraits("pool", "club", "/",
                           std::to_string(server) + "/" + std::to_string(i),
                           {"common"}),
             cluster.now()});
    }
    cluster.RunFor(seconds(2));
    return CountRefusing(cluster, common) == 13;
  }
  // All instances are lost, and start again a second later.
  static void RestartAll(Cluster& cluster) {
    for (int i = 0; i < 13; ++i)
      cluster.NodeAt(i).alive = false;
    cluster.RunFor(seconds(1));
    for (int i = 0; i < 13; ++i)
      cluster.StartNode(i);
  }
  static int CountRefusing(Cluster& cluster, const TraitSet& traits) {
    int count = 0;
    for (int i = 0; i < 13; ++i)
      count += cluster.NodeAt(i).coordination->QuarantineTime(
                   cluster.now(), traits) > Duration(0)
                   ? 1
                   : 0;
    return count;
  }
  // Number of instances that let a request through as a trial; it runs.
  static int RunTrials(Cluster& cluster, const TraitSet& traits) {
    int trials = 0;
    for (int i = 0; i < 13; ++i) {
      Coordination& coordination = *cluster.NodeAt(i).coordination;
      if (!coordination.TryBeginTrial(cluster.now(), traits))
        continue;
      ++trials;
      coordination.OnRequestRan(traits, cluster.now());
      coordination.OnTrialRan(cluster.now(), traits);
      coordination.EndTrial(cluster.now(), traits, true);
    }
    return trials;
  }

  // Guards against refusing nearly all requests for ten minutes on the evidence
  // of servers that were lost together (review/7).
  void CommonPartIsServedAfterATrial() {
    const TraitSet common = PromptTraits("pool", {"common"});
    Cluster cluster(13);
    CPPUNIT_ASSERT(CrashUnderCommonPart(cluster, common));
    CPPUNIT_ASSERT_EQUAL(1, RunTrials(cluster, common));
    cluster.RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, CountRefusing(cluster, common));
    // Neither the next coordinator nor the lease row brings it back.
    cluster.NodeAt(cluster.IndexOf(cluster.Coordinator())).alive = false;
    cluster.RunFor(seconds(5));
    RestartAll(cluster);
    cluster.RunFor(seconds(5));
    CPPUNIT_ASSERT_EQUAL(0, CountRefusing(cluster, common));
  }

  // Guards against an entry in the lease row that no instance can clear after
  // the loss of all processes, whose knowledge of earlier runs is gone.
  void TrialOfCommonPartOutlivesAllInstances() {
    const TraitSet common = PromptTraits("pool", {"common"});
    Cluster cluster(13);
    CPPUNIT_ASSERT(CrashUnderCommonPart(cluster, common));
    RestartAll(cluster);
    cluster.RunFor(seconds(3));
    RunTrials(cluster, common);
    cluster.RunFor(seconds(5));
    CPPUNIT_ASSERT_EQUAL(0, CountRefusing(cluster, common));
  }

  // Instances that saw the crashes, but not the starts on the others,
  // quarantined sound parts while there was no coordinator.
  void HandoverOfCoordinatorQuarantinesNoSoundPart() {
    Cluster cluster(13);
    cluster.RunFor(seconds(3));
    const int coordinator = cluster.IndexOf(cluster.Coordinator());
    const int witness = (coordinator + 1) % 13;
    const int other = (coordinator + 2) % 13;
    for (uint64_t step = 1; step <= 60; ++step) {
      cluster.RunFor(milliseconds(100));
      const TraitSet traits =
          RequestTraits("pool", "club", "/", std::to_string(step), {"part"});
      cluster.NodeAt(other).coordination->OnRequestRan(
          traits, cluster.now() - milliseconds(10));
      if (step % 4 == 0)
        cluster.NodeAt(witness).coordination->OnServerCrash(
            cluster.now(), {step, step, traits, cluster.now()});
      if (step == 20)
        cluster.NodeAt(coordinator).alive = false;
    }
    for (int i = 0; i < 13; ++i)
      CPPUNIT_ASSERT(
          cluster.NodeAt(i).coordination->Quarantine(cluster.now()).empty());
  }

  // An argument SEED of the program runs that seed alone.
  void RandomFaultsDoNotFreeDeadlyPart() {
    uint64_t first = 1;
    uint64_t last = kRandomRuns;
    if (!TestArgs().empty())
      first = last = std::stoull(TestArgs().front());
    for (uint64_t seed = first; seed <= last; ++seed) {
      PoisonedTraffic traffic(seed);
      Random random(seed + 1'000'000);
      for (int i = 0; i < 16; ++i) {
        traffic.RunFor(milliseconds(random.UniformBelow(2500)));
        InjectRandomFault(traffic, random);
      }
      traffic.RunFor(seconds(5));
      CheckKept(traffic, "seed " + std::to_string(seed));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationQuarantineTest);

}  // namespace
}  // namespace trefoilwick
