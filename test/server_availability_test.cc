#include "trefoilwick/server_availability.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart(seconds(1000));
const ServerProcess kProcess{"i-1", 1700};
const ServerProcess kNextProcess{"i-1", 1800};

BackendServer Listed(const ServerProcess& process) {
  BackendServer server;
  server.id = process.id;
  server.start_unix_ms = process.start_unix_ms;
  return server;
}

class ServerAvailabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerAvailabilityTest);
  CPPUNIT_TEST(AnnouncementHoldsForTheProcess);
  CPPUNIT_TEST(AnnouncementOutlivesTheListEntry);
  CPPUNIT_TEST(HintExpires);
  CPPUNIT_TEST(HintDoesNotReplaceOwnKnowledge);
  CPPUNIT_TEST(AnnouncementOfOlderProcessIsIgnored);
  CPPUNIT_TEST(OnlyAnnouncementsThatTheListLacksArePassedOn);
  CPPUNIT_TEST(PauseEndsByItself);
  CPPUNIT_TEST(RenewedPauseEndsAtTheLatestEnd);
  CPPUNIT_TEST(LongPauseIsCut);
  CPPUNIT_TEST(ServerIsProbedOnceInAPause);
  CPPUNIT_TEST(DeniedSendsDoNotUseTheLimit);
  CPPUNIT_TEST(PauseAndLimitOfOneServer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A server that started again under its id was shunned for good.
  void AnnouncementHoldsForTheProcess() {
    LeavingServers leaving;
    CPPUNIT_ASSERT(leaving.OnAnswer(kStart, kProcess));
    CPPUNIT_ASSERT(!leaving.OnAnswer(kStart + seconds(1), kProcess));
    const TimePoint later = kStart + minutes(20);
    CPPUNIT_ASSERT(leaving.Contains(later, kProcess));
    CPPUNIT_ASSERT(!leaving.Contains(later, kNextProcess));
    CPPUNIT_ASSERT(!leaving.Contains(later, {"i-2", 1700}));
    leaving.RemoveExpired(later, {{"i-1", Listed(kNextProcess)}});
    CPPUNIT_ASSERT(!leaving.Contains(later, kProcess));
  }

  // A server list that was older than the answer named the server again.
  void AnnouncementOutlivesTheListEntry() {
    LeavingServers leaving;
    leaving.OnAnswer(kStart, kProcess);
    CPPUNIT_ASSERT(!leaving.RemoveExpired(kStart + minutes(5), {}));
    CPPUNIT_ASSERT(leaving.Contains(kStart + minutes(5), kProcess));
    const ServerMap listed = {{"i-1", Listed(kProcess)}};
    CPPUNIT_ASSERT(!leaving.RemoveExpired(kStart + minutes(30), listed));
    CPPUNIT_ASSERT(leaving.RemoveExpired(kStart + minutes(30), {}));
  }

  void HintExpires() {
    LeavingServers leaving;
    CPPUNIT_ASSERT(leaving.Merge(kStart, {kProcess, kStart - seconds(20)}));
    CPPUNIT_ASSERT(!leaving.Merge(kStart, {kProcess, kStart - seconds(10)}));
    CPPUNIT_ASSERT(leaving.Contains(kStart + seconds(19), kProcess));
    CPPUNIT_ASSERT(!leaving.Contains(kStart + seconds(21), kProcess));
    CPPUNIT_ASSERT(leaving.RemoveExpired(kStart + seconds(21),
                                         {{"i-1", Listed(kProcess)}}));
    CPPUNIT_ASSERT(!leaving.Merge(kStart, {kProcess, kStart - seconds(40)}));
    // A damaged message.
    leaving.Merge(kStart, {kNextProcess, kStart + minutes(5)});
    CPPUNIT_ASSERT(!leaving.Contains(kStart + seconds(31), kNextProcess));
  }

  // What other instances say later must not give the announcement an expiry.
  void HintDoesNotReplaceOwnKnowledge() {
    LeavingServers leaving;
    leaving.Merge(kStart, {kProcess, kStart});
    CPPUNIT_ASSERT(leaving.OnAnswer(kStart + seconds(1), kProcess));
    CPPUNIT_ASSERT(!leaving.Merge(kStart + seconds(2), {kProcess, kStart}));
    CPPUNIT_ASSERT(leaving.Contains(kStart + minutes(2), kProcess));
  }

  void AnnouncementOfOlderProcessIsIgnored() {
    LeavingServers leaving;
    leaving.OnAnswer(kStart, kNextProcess);
    CPPUNIT_ASSERT(!leaving.OnAnswer(kStart, kProcess));
    CPPUNIT_ASSERT(!leaving.Merge(kStart, {kProcess, kStart}));
    CPPUNIT_ASSERT(leaving.Contains(kStart + minutes(2), kNextProcess));
  }

  // Messages grew with each server of a rolling restart, although the list
  // already showed it as draining.
  void OnlyAnnouncementsThatTheListLacksArePassedOn() {
    LeavingServers leaving;
    leaving.OnAnswer(kStart, kProcess);
    ServerMap listed;
    CPPUNIT_ASSERT(leaving.NoticesToShare(kStart, listed).empty());
    listed["i-1"] = Listed(kProcess);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         leaving.NoticesToShare(kStart, listed).size());
    CPPUNIT_ASSERT(
        leaving.NoticesToShare(kStart + seconds(31), listed).empty());
    listed["i-1"].state = ServerState::kDraining;
    CPPUNIT_ASSERT(leaving.NoticesToShare(kStart, listed).empty());
  }

  void PauseEndsByItself() {
    ServerPauses pauses;
    pauses.Set(kStart, "i-1", milliseconds(1250));
    CPPUNIT_ASSERT(pauses.Remaining(kStart + milliseconds(1200), "i-1") ==
                   milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, pauses.Active(kStart).size());
    const TimePoint end = kStart + milliseconds(1250);
    CPPUNIT_ASSERT(pauses.Remaining(end, "i-1") == Duration(0));
    CPPUNIT_ASSERT(pauses.Active(end).empty());
  }

  // A short pause after a long one must not end it.
  void RenewedPauseEndsAtTheLatestEnd() {
    ServerPauses pauses;
    pauses.Set(kStart, "i-1", seconds(4));
    pauses.Set(kStart + seconds(1), "i-1", seconds(1));
    CPPUNIT_ASSERT(pauses.Remaining(kStart + seconds(3), "i-1") == seconds(1));
    pauses.Set(kStart + seconds(3), "i-1", seconds(3));
    CPPUNIT_ASSERT(pauses.Remaining(kStart + seconds(5), "i-1") == seconds(1));
  }

  void LongPauseIsCut() {
    ServerPauses pauses;
    pauses.Set(kStart, "i-1", seconds(1'000'000));
    pauses.Set(kStart, "i-2", seconds(-1));
    CPPUNIT_ASSERT(pauses.Remaining(kStart, "i-1") == ServerPauses::kMaxPause);
    CPPUNIT_ASSERT(pauses.Remaining(kStart, "i-2") == Duration(0));
  }

  void ServerIsProbedOnceInAPause() {
    ServerPauses pauses;
    CPPUNIT_ASSERT(pauses.TryProbe(kStart, "i-1"));
    pauses.Set(kStart, "i-1", seconds(2));
    CPPUNIT_ASSERT(pauses.TryProbe(kStart, "i-1"));
    CPPUNIT_ASSERT(!pauses.TryProbe(kStart + seconds(1), "i-1"));
    CPPUNIT_ASSERT(pauses.TryProbe(kStart + seconds(2), "i-1"));
    CPPUNIT_ASSERT(pauses.TryProbe(kStart + seconds(2), "i-1"));
    pauses.Set(kStart + seconds(3), "i-1", seconds(2));
    CPPUNIT_ASSERT(pauses.TryProbe(kStart + seconds(3), "i-1"));
  }

  // Requests that were not sent for other reasons used up the share of the
  // limit of those that could be.
  void DeniedSendsDoNotUseTheLimit() {
    ServerAvailability availability;
    const BackendServer server = Listed(kProcess);
    availability.limits().OnAnswer(kStart, server.id, 1, kStart);
    const TimePoint now = kStart + seconds(2);
    for (int i = 0; i < 20; ++i)
      CPPUNIT_ASSERT(SendVerdict::kRetryBudgetSpent ==
                     availability.TrySend(now, server, false, 0));
    CPPUNIT_ASSERT(SendVerdict::kAllowed ==
                   availability.TrySend(now, server, true, 0));
    availability.cooldowns().RecordRefusal(server.id, now);
    CPPUNIT_ASSERT(SendVerdict::kRefusing ==
                   availability.TrySend(now, server, true, 0));
    availability.leaving().OnAnswer(now, kProcess);
    CPPUNIT_ASSERT(SendVerdict::kLeaving ==
                   availability.TrySend(now, server, false, 0));
  }

  // The limit still holds when the pause is over, without what was unused in
  // it.
  void PauseAndLimitOfOneServer() {
    ServerAvailability availability;
    const BackendServer server = Listed(kProcess);
    availability.limits().OnAnswer(kStart, server.id, 2, kStart);
    availability.pauses().Set(kStart, server.id, seconds(20));
    int sent = 0;
    for (TimePoint now = kStart; now < kStart + seconds(21);
         now += milliseconds(10)) {
      const SendVerdict verdict =
          availability.TrySend(now, server, true, 0.999);
      if (now < kStart + seconds(20))
        CPPUNIT_ASSERT(verdict == SendVerdict::kPaused);
      sent += verdict == SendVerdict::kAllowed ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent >= 2 && sent <= 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerAvailabilityTest);

}  // namespace
}  // namespace trefoilwick
