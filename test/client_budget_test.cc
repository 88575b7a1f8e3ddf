#include "trefoilwick/client_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(1000));
constexpr size_t kBody = 100'000;
// Room for two bodies and some small requests.
constexpr size_t kMaxBytes = kBody * ClientBudget::kBodyCopies * 5 / 2;

class ClientBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientBudgetTest);
  CPPUNIT_TEST(BodyWaitsUntilMemoryIsReleased);
  CPPUNIT_TEST(StalledBodyIsClosedForAnother);
  CPPUNIT_TEST(SlowBodyIsClosedForAnother);
  CPPUNIT_TEST(RequestsInProgressAreKept);
  CPPUNIT_TEST(SingleBodyIsReadWhateverTheBudget);
  CPPUNIT_TEST(AcceptedConnectionReplacesUnusedOne);
  CPPUNIT_TEST(RemovedConnectionHoldsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  static void AddReader(ClientBudget& budget, TimePoint now, ConnectionId id) {
    budget.Add(now, id);
    budget.SetPhase(now, id, ConnectionPhase::kReadingRequest);
  }

  template <typename Verdict>
  static bool Is(const ClientVerdict& verdict) {
    return std::holds_alternative<Verdict>(verdict);
  }

  // Two bodies of `kBody` are being read, and a third one waits.
  static ClientBudget MakeFullBudget() {
    ClientBudget budget;
    budget.SetMaxBytes(kMaxBytes);
    for (const ConnectionId id : {1, 2, 3})
      AddReader(budget, kStart, id);
    CPPUNIT_ASSERT(Is<Proceed>(budget.MayReadBody(kStart, 1, kBody)));
    CPPUNIT_ASSERT(Is<Proceed>(budget.MayReadBody(kStart, 2, kBody)));
    CPPUNIT_ASSERT(Is<PauseReading>(budget.MayReadBody(kStart, 3, kBody)));
    return budget;
  }

  // Guards against bodies that are read beyond the budget, and against small
  // requests that wait behind large ones.
  void BodyWaitsUntilMemoryIsReleased() {
    ClientBudget budget = MakeFullBudget();
    CPPUNIT_ASSERT(budget.Paused() == std::vector<ConnectionId>{3});
    AddReader(budget, kStart, 4);
    CPPUNIT_ASSERT(Is<Proceed>(
        budget.MayReadBody(kStart, 4, ClientBudget::kSmallBodyBytes)));
    budget.Remove(1);
    CPPUNIT_ASSERT(Is<Proceed>(budget.MayReadBody(kStart, 3, kBody)));
    CPPUNIT_ASSERT(budget.Paused().empty());
  }

  // Guards against a crowd that stops short of the end of its bodies. The one
  // without progress is given up, not the one that still sends.
  void StalledBodyIsClosedForAnother() {
    ClientBudget budget = MakeFullBudget();
    const TimePoint later = kStart + ClientBudget::kStallTime;
    budget.Charge(kStart, 1, BufferUse::kBodyRead, kBody - 64);
    budget.Charge(later, 2, BufferUse::kBodyRead, kBody - 64);
    const ClientVerdict verdict = budget.MayReadBody(later, 3, kBody);
    CPPUNIT_ASSERT(Is<CloseConnections>(verdict));
    CPPUNIT_ASSERT(std::get<CloseConnections>(verdict).ids ==
                   std::vector<ConnectionId>{1});
  }

  // Guards against bodies of a few bytes a second, which never stall.
  void SlowBodyIsClosedForAnother() {
    ClientBudget budget = MakeFullBudget();
    const TimePoint later = kStart + ClientBudget::kRateGraceTime;
    budget.Charge(later, 1, BufferUse::kBodyRead, kBody / 2);
    budget.Charge(later, 2, BufferUse::kBodyRead, 10);
    const ClientVerdict verdict = budget.MayReadBody(later, 3, kBody);
    CPPUNIT_ASSERT(Is<CloseConnections>(verdict));
    CPPUNIT_ASSERT(std::get<CloseConnections>(verdict).ids ==
                   std::vector<ConnectionId>{2});
  }

  // Guards against closing requests that run: the waiting body is refused.
  void RequestsInProgressAreKept() {
    ClientBudget budget = MakeFullBudget();
    for (const ConnectionId id : {1, 2}) {
      budget.SetPhase(kStart, id, ConnectionPhase::kInProgress);
      budget.Charge(kStart, id, BufferUse::kBodyHeld,
                    kBody * ClientBudget::kBodyCopies);
    }
    const TimePoint end = kStart + ClientBudget::kMaxPause;
    CPPUNIT_ASSERT(
        Is<PauseReading>(budget.MayReadBody(end - milliseconds(1), 3, kBody)));
    CPPUNIT_ASSERT(Is<RefuseRequest>(budget.MayReadBody(end, 3, kBody)));
  }

  // Guards against a legal size that is never served.
  void SingleBodyIsReadWhateverTheBudget() {
    ClientBudget budget;
    budget.SetMaxBytes(1);
    AddReader(budget, kStart, 1);
    AddReader(budget, kStart, 2);
    CPPUNIT_ASSERT(Is<Proceed>(budget.MayReadBody(kStart, 1, kBody)));
    CPPUNIT_ASSERT(Is<PauseReading>(budget.MayReadBody(kStart, 2, kBody)));
  }

  // Guards against silent connections that keep out new clients.
  void AcceptedConnectionReplacesUnusedOne() {
    ClientBudget budget;
    budget.SetMaxConnections(3);
    for (const ConnectionId id : {1, 2, 3}) {
      CPPUNIT_ASSERT(Is<Proceed>(budget.MayAccept(kStart)));
      budget.Add(kStart + milliseconds(id), id);
    }
    const TimePoint now = kStart + milliseconds(10);
    budget.SetPhase(now, 1, ConnectionPhase::kInProgress);
    budget.SetPhase(now, 2, ConnectionPhase::kIdle);
    CPPUNIT_ASSERT(std::get<CloseConnections>(budget.MayAccept(now)).ids ==
                   std::vector<ConnectionId>{3});
    budget.SetPhase(now, 3, ConnectionPhase::kInProgress);
    CPPUNIT_ASSERT(std::get<CloseConnections>(budget.MayAccept(now)).ids ==
                   std::vector<ConnectionId>{2});
    budget.SetPhase(now, 2, ConnectionPhase::kInProgress);
    CPPUNIT_ASSERT(Is<RefuseRequest>(budget.MayAccept(now)));
  }

  // Guards against memory that is counted for ever.
  void RemovedConnectionHoldsNothing() {
    ClientBudget budget = MakeFullBudget();
    budget.Charge(kStart, 1, BufferUse::kResponse, 1000);
    budget.Release(kStart, 1, BufferUse::kResponse, 2000);
    budget.Charge(kStart, 1, BufferUse::kReceived, 1000);
    for (const ConnectionId id : {1, 2, 3})
      budget.Remove(id);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget.committed_bytes());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget.held_bytes(BufferUse::kReceived));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget.connections());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientBudgetTest);

}  // namespace
}  // namespace trefoilwick
