#include "trefoilwick/liveness.h"

#include <cppunit/extensions/HelperMacros.h>

#include "layer_fleet.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;

class LivenessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LivenessTest);
  CPPUNIT_TEST(SilenceIsMeasuredByThePaceOfTheStream);
  CPPUNIT_TEST(SharedServerIsSuspectedEarly);
  CPPUNIT_TEST(ManyOverdueStreamsAreNoChance);
  CPPUNIT_TEST(ServerWithALivingStreamIsNot);
  CPPUNIT_TEST(OwnStreamsCorroborateALoss);
  CPPUNIT_TEST(ProbesOfSlowServersAreFew);
  CPPUNIT_TEST(LostServerIsProbedAtOnce);
  CPPUNIT_TEST(ServerThatGoesOnRefusingIsLeftOutLonger);
  CPPUNIT_TEST(RequestsSentBeforeTheMarkDoNotProlongIt);
  CPPUNIT_TEST(OldRefusalsAreForgotten);
  CPPUNIT_TEST(ServersThatLeaveUnlistedAreNamed);
  CPPUNIT_TEST(SlowServerIsNamedByItsStreams);
  CPPUNIT_TEST(PaceIsLearnedBeforeItIsJudged);
  CPPUNIT_TEST(SlowTimesAreNotLearned);
  CPPUNIT_TEST(SlowMarksEnd);
  CPPUNIT_TEST(LossIsDecidedByThoseThatTried);
  CPPUNIT_TEST(LossIsDecidedAloneWhenNobodyAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against probes of servers that are only slow, and against a pause
  // of a fast stream that is noticed when it is already late.
  void SilenceIsMeasuredByThePaceOfTheStream() {
    CPPUNIT_ASSERT(AssessSilence(milliseconds(28), milliseconds(22)) ==
                   Silence::kNone);
    CPPUNIT_ASSERT(AssessSilence(milliseconds(30), milliseconds(22)) ==
                   Silence::kOverdue);
    CPPUNIT_ASSERT(AssessSilence(milliseconds(38), milliseconds(22)) ==
                   Silence::kOverdue);
    CPPUNIT_ASSERT(AssessSilence(milliseconds(40), milliseconds(22)) ==
                   Silence::kShort);
    CPPUNIT_ASSERT(AssessSilence(milliseconds(75), milliseconds(22)) ==
                   Silence::kLong);
    CPPUNIT_ASSERT(AssessSilence(milliseconds(75), milliseconds(60)) ==
                   Silence::kNone);
    CPPUNIT_ASSERT(AssessSilence(milliseconds(200), milliseconds(300)) ==
                   Silence::kLong);
  }

  // Every stream through a dark server paused for 0.3 s where 0.2 s count as on
  // time: each waited until it alone was suspicious.
  void SharedServerIsSuspectedEarly() {
    const LayerPath first = {{"a", {0, 10}}, {"dark", {10, 20}}};
    const LayerPath second = {{"b", {0, 10}}, {"dark", {10, 20}}};
    const LayerPath third = {{"a", {0, 10}}, {"c", {10, 20}}};
    const auto suspects = SuspectServers({{&first, Silence::kShort},
                                          {&second, Silence::kShort},
                                          {&third, Silence::kNone}});
    CPPUNIT_ASSERT(suspects == std::set<std::string>{"dark"});
  }

  // A dark first server of nine streams was suspected 63 ms after its end, when
  // a third of the pause that counts as on time was over.
  void ManyOverdueStreamsAreNoChance() {
    const LayerPath path = {{"dark", {0, 10}}, {"b", {10, 20}}};
    const LayerPath other = {{"c", {0, 10}}, {"b", {10, 20}}};
    std::vector<StreamProgress> streams(4, {&path, Silence::kOverdue});
    streams.push_back({&other, Silence::kNone});
    CPPUNIT_ASSERT(SuspectServers(streams) == std::set<std::string>{"dark"});
    streams[0].silence = Silence::kNone;
    CPPUNIT_ASSERT(SuspectServers(streams).empty());
    streams.erase(streams.begin());
    CPPUNIT_ASSERT(SuspectServers(streams).empty());
  }

  // Instances that heard of a lost server probed it for 25 ms before they moved
  // streams that had long been silent.
  void OwnStreamsCorroborateALoss() {
    const LayerPath path = {{"a", {0, 10}}, {"dark", {10, 20}}};
    CPPUNIT_ASSERT(
        StreamsCorroborateLoss("dark", {{&path, Silence::kOverdue}}));
    CPPUNIT_ASSERT(!StreamsCorroborateLoss("dark", {}));
    CPPUNIT_ASSERT(!StreamsCorroborateLoss("c", {{&path, Silence::kLong}}));
    CPPUNIT_ASSERT(!StreamsCorroborateLoss(
        "dark", {{&path, Silence::kLong}, {&path, Silence::kNone}}));
  }

  // One short pause is no evidence.
  void ServerWithALivingStreamIsNot() {
    const LayerPath path = {{"a", {0, 10}}, {"b", {10, 20}}};
    CPPUNIT_ASSERT(SuspectServers({{&path, Silence::kShort}}).empty());
    CPPUNIT_ASSERT(
        SuspectServers({{&path, Silence::kShort}, {&path, Silence::kNone}})
            .empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         SuspectServers({{&path, Silence::kLong}}).size());
  }

  // 133 instances that probed every slow server three times a second opened
  // 924,000 connections in a day, which made the servers slower still (malabar
  // grown, scale-2).
  void ProbesOfSlowServersAreFew() {
    constexpr size_t kInstances = 133;
    constexpr int kServers = 99;
    ProbeLimiter limiter;
    const TimePoint start{std::chrono::seconds(100)};
    int probes = 0;
    for (int ms = 0; ms < 30'000; ms += 15) {
      const TimePoint now = start + milliseconds(ms);
      for (int i = 0; i < kServers; ++i) {
        const std::string server = "s" + std::to_string(i);
        if (!limiter.TryAcquire(server, now, kInstances))
          continue;
        ++probes;
        limiter.OnAlive(server, now);
      }
    }
    CPPUNIT_ASSERT(probes < 110);
    CPPUNIT_ASSERT(probes > 30);
  }

  // A server that was alive a while ago is asked again without delay.
  void LostServerIsProbedAtOnce() {
    ProbeLimiter limiter;
    TimePoint now{std::chrono::seconds(100)};
    for (int i = 0; i < 8; ++i) {
      now += std::chrono::seconds(6);
      CPPUNIT_ASSERT(limiter.TryAcquire("a", now, 13));
      CPPUNIT_ASSERT(!limiter.TryAcquire("a", now + milliseconds(100), 13));
      limiter.OnAlive("a", now);
    }
    // All servers of a long path at once.
    now += std::chrono::seconds(6);
    for (int i = 0; i < 12; ++i)
      CPPUNIT_ASSERT(limiter.TryAcquire("b" + std::to_string(i), now, 13));
  }

  // Eight servers that left while the store was down cost the retry budget:
  // each was tried again by all instances every 0.5 s (motionhall grown,
  // trouble-3, seconds 22 to 32).
  void ServerThatGoesOnRefusingIsLeftOutLonger() {
    RefusalCooldowns marks;
    TimePoint now{std::chrono::seconds(100)};
    int refusals = 0;
    for (const TimePoint end = now + std::chrono::seconds(10); now < end;
         now += milliseconds(10))
      if (marks.Active(now).empty()) {
        CPPUNIT_ASSERT(marks.RecordRefusal("leaving", now));
        ++refusals;
      }
    CPPUNIT_ASSERT_EQUAL(5, refusals);
  }

  void RequestsSentBeforeTheMarkDoNotProlongIt() {
    RefusalCooldowns marks;
    const TimePoint now{std::chrono::seconds(100)};
    CPPUNIT_ASSERT(marks.RecordRefusal("a", now));
    CPPUNIT_ASSERT(!marks.RecordRefusal("a", now + milliseconds(400)));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         marks.Active(now + milliseconds(499)).size());
    CPPUNIT_ASSERT(marks.Active(now + milliseconds(501)).empty());
  }

  // A server that was full for a moment must not stay left out for seconds when
  // it is full again much later.
  void OldRefusalsAreForgotten() {
    RefusalCooldowns marks;
    TimePoint now{std::chrono::seconds(100)};
    for (int i = 0; i < 4; ++i, now += milliseconds(2600)) {
      CPPUNIT_ASSERT(marks.RecordRefusal("a", now));
      CPPUNIT_ASSERT(marks.Active(now + milliseconds(600)).empty());
    }
  }

  // A coordinator that alone could not reach six servers placed all layers anew
  // and left three data centers without a whole model (motionhall,
  // partly-reachable-servers).
  void LossIsDecidedByThoseThatTried() {
    const TimePoint since{std::chrono::seconds(100)};
    const TimePoint now = since + milliseconds(400);
    const std::set<std::string> none;
    const std::set<std::string> lost = {"a"};
    const UnreachableReport before{since + milliseconds(20), &none};
    const UnreachableReport reaches{since + milliseconds(200), &none};
    const UnreachableReport agrees{since + milliseconds(60), &lost};
    CPPUNIT_ASSERT(AssessLoss("a", since, now, {before, before, before}) ==
                   LossVerdict::kUndecided);
    CPPUNIT_ASSERT(AssessLoss("a", since, now, {agrees, agrees, before}) ==
                   LossVerdict::kConfirmed);
    CPPUNIT_ASSERT(AssessLoss("a", since, now, {reaches, reaches, agrees}) ==
                   LossVerdict::kContradicted);
    CPPUNIT_ASSERT(AssessLoss("a", since, now, {reaches, agrees, agrees}) ==
                   LossVerdict::kConfirmed);
  }

  void LossIsDecidedAloneWhenNobodyAnswers() {
    const TimePoint since{std::chrono::seconds(100)};
    const std::set<std::string> none;
    const UnreachableReport before{since, &none};
    CPPUNIT_ASSERT(AssessLoss("a", since, since, {}) ==
                   LossVerdict::kConfirmed);
    CPPUNIT_ASSERT(AssessLoss("a", since, since + std::chrono::seconds(2),
                              {before, before}) == LossVerdict::kConfirmed);
  }

  // Servers left while the store was away; the layout that the coordinator knew
  // was whole, and 653 requests were refused in six seconds (malabar-gnomon, a
  // drawn day).
  void ServersThatLeaveUnlistedAreNamed() {
    ServerMap servers;
    for (const char* id : {"leaves", "full", "once"}) {
      servers[id] = EmptyServer(id, "regina", "l4");
      servers[id].layers = LayerRange{0, 9};
    }
    LoadMap loads;
    loads["full"].token_layers = 0.9 * KvCapacity(Engine(), servers.at("full"));
    const TimePoint start{std::chrono::seconds(100)};
    RefusalCooldowns marks;
    for (const char* id : {"leaves", "full", "once"})
      marks.RecordRefusal(id, start);
    CPPUNIT_ASSERT(marks.RepeatedlyRefusing(start).empty());
    const TimePoint again = start + milliseconds(700);
    marks.RecordRefusal("leaves", again);
    marks.RecordRefusal("full", again);
    CPPUNIT_ASSERT(
        FindUnlistedDrainingServers(Engine(), servers, loads,
                                    marks.RepeatedlyRefusing(again)) ==
        std::set<std::string>{"leaves"});
    // It is forgotten unless it refuses again.
    CPPUNIT_ASSERT(
        marks.RepeatedlyRefusing(again + milliseconds(2100)).empty());
  }

  // 13 of 102 servers took twelve times as long for nine seconds; prompts piled
  // up in front of them, and first events came after 0.4 to 1.2 s (motionhall
  // grown, trouble-2).
  void SlowServerIsNamedByItsStreams() {
    SlowdownDetector monitor;
    for (int i = 0; i < 20; ++i)
      monitor.AddBaselineSample(milliseconds(36), 9);
    const LayerPath slow = {{"a", {0, 10}}, {"slow", {10, 20}}};
    const LayerPath fast = {{"a", {0, 10}}, {"c", {10, 20}}};
    const auto suspects = monitor.Suspects(
        {{&slow, milliseconds(70), 9}, {&fast, milliseconds(37), 9}});
    CPPUNIT_ASSERT(suspects == std::set<std::string>{"slow"});
    // A path of slower servers takes longer by itself.
    CPPUNIT_ASSERT(monitor.Suspects({{&slow, milliseconds(70), 17}}).empty());
    // Between the two bounds nothing is said of a server.
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         monitor
                             .Suspects({{&slow, milliseconds(70), 9},
                                        {&fast, milliseconds(48), 9}})
                             .size());
  }

  void PaceIsLearnedBeforeItIsJudged() {
    SlowdownDetector monitor;
    const LayerPath path = {{"a", {0, 20}}};
    for (int i = 0; i < 7; ++i)
      monitor.AddBaselineSample(milliseconds(36), 9);
    CPPUNIT_ASSERT(monitor.Suspects({{&path, milliseconds(400), 9}}).empty());
    monitor.AddBaselineSample(milliseconds(36), 9);
    CPPUNIT_ASSERT(!monitor.Suspects({{&path, milliseconds(400), 9}}).empty());
  }

  // What is slow for a while must not become what is usual.
  void SlowTimesAreNotLearned() {
    SlowdownDetector monitor;
    for (int i = 0; i < 20; ++i)
      monitor.AddBaselineSample(milliseconds(36), 9);
    for (int i = 0; i < 30; ++i)
      monitor.AddBaselineSample(milliseconds(400), 9);
    const LayerPath path = {{"a", {0, 20}}};
    CPPUNIT_ASSERT(!monitor.Suspects({{&path, milliseconds(150), 9}}).empty());
  }

  void SlowMarksEnd() {
    const TimePoint start{std::chrono::seconds(100)};
    ServerSlowdowns marks;
    CPPUNIT_ASSERT(marks.Set("a", 12, start));
    // The same again is not told to everybody again.
    CPPUNIT_ASSERT(!marks.Set("a", 11, start + milliseconds(1000)));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         marks.Active(start + milliseconds(3000)).size());
    CPPUNIT_ASSERT(marks.Active(start + milliseconds(4000)).empty());
    marks.RemoveExpired(start + milliseconds(4000));
    CPPUNIT_ASSERT(marks.Set("a", 3, start + milliseconds(4000)));
    CPPUNIT_ASSERT(marks.Set("a", 1, start + milliseconds(4100)));
    CPPUNIT_ASSERT(marks.Active(start + milliseconds(4100)).empty());
    // A server at its pace is nothing to tell.
    CPPUNIT_ASSERT(!marks.Set("b", 1, start));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LivenessTest);

}  // namespace
}  // namespace trefoilwick
