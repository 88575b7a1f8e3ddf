// Tests of FairQueue; test/admission_test.cc covers AccountLimiter.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <iostream>

#include "trefoilwick/admission.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;

// An account that asks for one kind of work.
struct Source {
  std::string account;
  double weight = 1;
  std::string kind = "chat";
  Rank rank = Rank::kOrdinary;
  double floor = 0;
  double kind_weight = 1;
  // Tokens of a request are uniform in [low, high].
  int low = 50;
  int high = 50;
  // Entries kept queued; less than the number of places is no backlog.
  int depth = 20;
  // What the queue is told: the true cost times this.
  double estimate = 1;
  double served = 0;
};

// Places that each serve one token per step of 10 ms and charge it.
class Places {
 public:
  explicit Places(std::vector<Source> sources, size_t places)
      : m_sources(std::move(sources)), m_places(places) {}
  void Run(int steps) {
    for (int i = 0; i < steps; ++i)
      Step();
  }
  void ResetServed() {
    for (Source& source : m_sources)
      source.served = 0;
  }
  double Share(const std::string& kind) const {
    double part = 0;
    double total = 0;
    for (const Source& source : m_sources) {
      total += source.served;
      part += source.kind == kind ? source.served : 0;
    }
    return part / total;
  }
  double Jain() const {
    double sum = 0;
    double squares = 0;
    for (const Source& source : m_sources) {
      const double value = source.served / source.weight;
      sum += value;
      squares += value * value;
    }
    return sum * sum / (static_cast<double>(m_sources.size()) * squares);
  }
  Source& source(size_t i) { return m_sources[i]; }

 private:
  struct Job {
    size_t source;
    int left;
    double unused;
  };

  void Fill(size_t i) {
    const Source& s = m_sources[i];
    for (size_t n = m_queue.QueuedForAccount(s.rank, s.account);
         n < static_cast<size_t>(s.depth); ++n) {
      const int cost = s.low + static_cast<int>(m_random.UniformBelow(
                                   static_cast<uint64_t>(s.high - s.low) + 1));
      const std::string id = std::to_string(m_costs.size());
      m_costs.emplace_back(i, cost);
      m_queue.Push({id, s.account, s.weight, s.kind, s.kind_weight, s.floor,
                    s.rank, m_now, cost * s.estimate});
    }
  }

  void Step() {
    m_now += milliseconds(10);
    for (size_t i = 0; i < m_sources.size(); ++i)
      Fill(i);
    while (m_jobs.size() < m_places) {
      auto entry = m_queue.Pop(m_now);
      if (!entry)
        break;
      const auto& [source, cost] = m_costs[std::stoul(entry->id)];
      m_jobs.push_back({source, cost, entry->expected_cost});
    }
    for (Job& job : m_jobs) {
      Source& s = m_sources[job.source];
      m_queue.Charge(m_now, s.kind, s.account, 1);
      s.served += 1;
      job.unused -= std::min(job.unused, 1.0);
      if (--job.left == 0)
        m_queue.FinishEntry(s.kind, s.account, job.unused);
    }
    std::erase_if(m_jobs, [](const Job& job) { return job.left == 0; });
  }

  FairQueue m_queue;
  std::vector<Source> m_sources;
  size_t m_places;
  std::vector<Job> m_jobs;
  std::vector<std::pair<size_t, int>> m_costs;
  Random m_random{7};
  TimePoint m_now{};
};

QueueEntry Entry(std::string id,
                 std::string account,
                 Rank rank = Rank::kOrdinary) {
  QueueEntry entry;
  entry.kind = std::string(kRankNames.Name(rank));
  entry.id = std::move(id);
  entry.account = std::move(account);
  entry.rank = rank;
  return entry;
}

std::string PopIds(FairQueue& queue) {
  std::string ids;
  while (auto entry = queue.Pop(TimePoint{}))
    ids += entry->id + " ";
  return ids;
}

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(RanksAndAccountOrder);
  CPPUNIT_TEST(EraseAndPushFront);
  CPPUNIT_TEST(AheadCountsWhatIsServedFirst);
  CPPUNIT_TEST(BackloggedAccountsShareByWeight);
  CPPUNIT_TEST(KindsShareByWeight);
  CPPUNIT_TEST(FloorsHoldInFloods);
  CPPUNIT_TEST(IdlingGivesNoCredit);
  CPPUNIT_TEST(SoleUseIsNotHeldAgainstAnAccount);
  CPPUNIT_TEST(RefundsGiveNoCredit);
  CPPUNIT_TEST(CostsStaySmall);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lower ranks before higher ones and against an order within
  // an account that is not the order of arrival.
  void RanksAndAccountOrder() {
    FairQueue queue;
    queue.Push(Entry("b1", "a", Rank::kBatch));
    queue.Push(Entry("o1", "a"));
    queue.Push(Entry("o2", "a"));
    queue.Push(Entry("u1", "b", Rank::kUrgent));
    queue.Push(Entry("u1", "b", Rank::kUrgent));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, queue.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, queue.size(Rank::kOrdinary));
    CPPUNIT_ASSERT_EQUAL(std::string("u1 o1 o2 b1 "), PopIds(queue));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, queue.size());
  }

  // Guards against entries that are lost or served twice when they are erased
  // or put back.
  void EraseAndPushFront() {
    FairQueue queue;
    for (const char* id : {"1", "2", "3"})
      queue.Push(Entry(id, "a"));
    CPPUNIT_ASSERT(queue.Erase("2"));
    CPPUNIT_ASSERT(!queue.Erase("2"));
    auto first = queue.Pop(TimePoint{});
    CPPUNIT_ASSERT(first && first->id == "1");
    queue.PushFront(*first);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, queue.OldestIds(Rank::kOrdinary, 9).size());
    CPPUNIT_ASSERT_EQUAL(std::string("1 3 "), PopIds(queue));
  }

  // Guards against an expected wait that counts the whole backlog of a caller
  // who floods as ahead of a small account.
  void AheadCountsWhatIsServedFirst() {
    FairQueue queue;
    for (int i = 0; i < 100; ++i)
      queue.Push(Entry("f" + std::to_string(i), "flood"));
    queue.Push(Entry("u", "x", Rank::kUrgent));
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         queue.QueuePosition(Rank::kOrdinary, "small"));
    CPPUNIT_ASSERT_EQUAL(size_t{101},
                         queue.QueuePosition(Rank::kOrdinary, "flood"));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         queue.QueuePosition(Rank::kUrgent, "small"));
    CPPUNIT_ASSERT_EQUAL(size_t{101},
                         queue.QueuePosition(Rank::kBatch, "small"));
  }

  // Guards against shares that depend on request sizes, on queue depth or on
  // how good the estimates are.
  void BackloggedAccountsShareByWeight() {
    for (const double estimate : {1.0, 0.0, 0.5, 3.0}) {
      std::vector<Source> sources;
      for (int i = 0; i < 20; ++i) {
        Source source;
        source.account = "a" + std::to_string(i);
        source.weight = 1 + i % 4;
        source.low = 5;
        source.high = i % 3 == 0 ? 400 : 40;
        source.depth = i % 5 == 0 ? 80 : 33;
        source.estimate = estimate;
        sources.push_back(source);
      }
      Places places(sources, 32);
      places.Run(20'000);
      std::cerr << "\nJain index, estimate x" << estimate << ": "
                << places.Jain();
      CPPUNIT_ASSERT_GREATEREQUAL(0.99, places.Jain());
    }
  }

  // Guards against kinds of one rank that share by number of accounts.
  void KindsShareByWeight() {
    std::vector<Source> sources(4);
    for (size_t i = 0; i < 4; ++i)
      sources[i].account = std::to_string(i);
    sources[3].kind = "archive";
    sources[3].kind_weight = 3;
    Places places(sources, 16);
    places.Run(20'000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, places.Share("archive"), 0.015);
  }

  // Guards against a kind that gets less than its floor while another kind
  // floods, also right after it had the whole service.
  void FloorsHoldInFloods() {
    struct Case {
      Rank flood;
      const char* kind;
    };
    for (const Case& c : {Case{Rank::kUrgent, "u"}, Case{Rank::kBatch, "b"}}) {
      std::vector<Source> sources{
          {"u1", 1, "u", Rank::kUrgent, 0.10, 1, 20, 80},
          {"o1", 1, "o", Rank::kOrdinary, 0.30, 1, 100, 300},
          {"b1", 1, "b", Rank::kBatch, 0.15, 1, 300, 600},
          {"n1", 1, "n", Rank::kBatch, 0, 1, 300, 600}};
      for (Source& source : sources)
        source.depth = source.rank == c.flood ? 400 : 0;
      sources[1].depth = 41;
      Places places(sources, 40);
      places.Run(3'000);
      for (size_t i = 0; i < 3; ++i)
        places.source(i).depth = std::max(41, places.source(i).depth);
      places.Run(500);
      places.ResetServed();
      places.Run(12'000);
      std::cerr << "\nflood of " << c.kind << ": u " << places.Share("u")
                << ", o (floor 0.30) " << places.Share("o")
                << ", b (floor 0.15) " << places.Share("b");
      CPPUNIT_ASSERT_GREATEREQUAL(0.30 * 0.98, places.Share("o"));
      CPPUNIT_ASSERT_GREATEREQUAL(0.15 * 0.98, places.Share("b"));
      CPPUNIT_ASSERT_GREATEREQUAL(0.50, places.Share("u"));
    }
  }

  // Guards against an account that takes all places after a pause.
  void IdlingGivesNoCredit() {
    for (const bool own_kinds : {false, true}) {
      std::vector<Source> sources(3);
      for (size_t i = 0; i < 3; ++i) {
        sources[i].account = std::to_string(i);
        sources[i].kind = own_kinds ? "kind" + std::to_string(i) : "chat";
      }
      Places places(sources, 9);
      places.Run(2'000);
      places.source(1).depth = 0;
      places.Run(5'000);
      places.source(1).depth = 20;
      places.ResetServed();
      places.Run(1'000);
      CPPUNIT_ASSERT_GREATEREQUAL(0.98, places.Jain());
    }
  }

  // Guards against an account that has to wait since it used capacity that
  // nobody else asked for.
  void SoleUseIsNotHeldAgainstAnAccount() {
    std::vector<Source> sources(2);
    sources[0].account = "early";
    sources[1].account = "late";
    sources[1].depth = 0;
    Places places(sources, 8);
    places.Run(5'000);
    places.source(0).depth = 0;
    places.Run(100);
    places.source(0).depth = 20;
    places.source(1).depth = 20;
    places.ResetServed();
    places.Run(1'000);
    CPPUNIT_ASSERT_GREATEREQUAL(0.98, places.Jain());

    // The same, when all that it asked for was in service at once.
    FairQueue queue;
    queue.Push(Entry("first", "early"));
    queue.Pop(TimePoint{});
    queue.Charge(TimePoint{}, "ordinary", "early", 10'000);
    int early = 0;
    for (int i = 0; i < 20; ++i) {
      queue.Push(Entry("l" + std::to_string(i), "late"));
      queue.Push(Entry("e" + std::to_string(i), "early"));
    }
    for (int i = 0; i < 20; ++i) {
      auto entry = queue.Pop(TimePoint{});
      early += entry->account == "early" ? 1 : 0;
      queue.Charge(TimePoint{}, "ordinary", entry->account, 50);
    }
    CPPUNIT_ASSERT_EQUAL(10, early);
  }

  // Guards against an account that gains from expected service which it never
  // used, because it began to wait while that was still counted.
  void RefundsGiveNoCredit() {
    FairQueue queue;
    QueueEntry large = Entry("large", "a");
    large.expected_cost = 2'000;
    queue.Push(large);
    queue.Pop(TimePoint{});
    auto serve = [&](int count) {
      int served = 0;
      for (int i = 0; i < count; ++i) {
        auto entry = queue.Pop(TimePoint{});
        served += entry->account == "a" ? 1 : 0;
        queue.Charge(TimePoint{}, "ordinary", entry->account, 100);
        queue.FinishEntry("ordinary", entry->account, 0);
      }
      return served;
    };
    for (int i = 0; i < 100; ++i) {
      queue.Push(Entry("b" + std::to_string(i), "b"));
      queue.Push(Entry("c" + std::to_string(i), "c"));
    }
    serve(60);
    for (int i = 0; i < 40; ++i)
      queue.Push(Entry("a" + std::to_string(i), "a"));
    queue.FinishEntry("ordinary", "a", 2'000);
    const int served = serve(30);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served >= 9 && served <= 11);
  }

  // Guards against work per call that grows with the accounts known. The bound
  // is far above the figure measured, so that a busy machine passes.
  void CostsStaySmall() {
    FairQueue queue;
    auto entry = [](int i) {
      QueueEntry e =
          Entry(std::to_string(i), "acct" + std::to_string(i % 12000),
                static_cast<Rank>(i % 3));
      e.kind_floor = 0.1;
      e.expected_cost = 50;
      return e;
    };
    TimePoint now{};
    for (int i = 0; i < 12'000; ++i) {
      queue.Push(entry(i));
      if (i >= 4096)
        queue.Pop(now);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4096}, queue.size());
    constexpr int kRounds = 50'000;
    Duration total[3]{};
    const SystemClock clock;
    for (int block = 0; block < kRounds / 100; ++block) {
      std::vector<QueueEntry> popped;
      popped.reserve(100);
      const TimePoint t0 = clock.Now();
      for (int i = 0; i < 100; ++i)
        popped.push_back(*queue.Pop(now += Duration(50)));
      const TimePoint t1 = clock.Now();
      for (const QueueEntry& e : popped)
        queue.Charge(now, e.kind, e.account, 1);
      const TimePoint t2 = clock.Now();
      for (int i = 0; i < 100; ++i)
        queue.Push(entry(12'000 + block * 100 + i));
      total[0] += t1 - t0;
      total[1] += t2 - t1;
      total[2] += clock.Now() - t2;
    }
    const char* names[]{"Pop", "Charge", "Push"};
    for (int i = 0; i < 3; ++i) {
      const double nanos = 1000.0 * static_cast<double>(total[i].count()) /
                           static_cast<double>(kRounds);
      std::cerr << "\n" << names[i] << " " << nanos << " ns";
      CPPUNIT_ASSERT_LESS(50'000.0, nanos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace
}  // namespace trefoilwick
