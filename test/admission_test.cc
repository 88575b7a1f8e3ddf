#include "trefoilwick/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

Account MakeAccount(double requests, double tokens, int concurrent) {
  Account account;
  account.name = "a";
  account.requests_per_second = requests;
  account.tokens_per_second = tokens;
  account.max_concurrent_requests = concurrent;
  return account;
}

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(SingleInstanceEnforcesLimits);
  CPPUNIT_TEST(UnusedTokensAreRefunded);
  CPPUNIT_TEST(RateStaysWithinLimit);
  CPPUNIT_TEST(ShareFollowsReports);
  CPPUNIT_TEST(LocalDemandIsOrderedAndStable);
  CPPUNIT_TEST(ThreadsShareOneTokenBucket);
  CPPUNIT_TEST(AdmissionCostIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a limit that is not enforced, is enforced too strictly, or
  // is refused with the wrong reason or retry time. `admitted` requests pass at
  // once; the next is refused.
  void SingleInstanceEnforcesLimits() {
    using enum LimitReason;
    struct Case {
      Account account;
      int max_tokens;
      int admitted;
      LimitReason reason;
      milliseconds retry_after;
    };
    const Case cases[] = {
        {MakeAccount(5, 0, 0), 10, 5, kRequestRate, milliseconds(200)},
        {MakeAccount(0.5, 0, 0), 10, 1, kRequestRate, seconds(2)},
        {MakeAccount(0, 100, 0), 25, 4, kTokenRate, milliseconds(250)},
        {MakeAccount(0, 100, 0), 500, 1, kTokenRate, seconds(5)},
        {MakeAccount(0, 0, 3), 10, 3, kConcurrent, milliseconds(100)},
        {MakeAccount(4, 100, 3), 10, 3, kConcurrent, milliseconds(100)},
        {MakeAccount(4, 30, 9), 10, 3, kTokenRate, milliseconds(333)},
    };
    for (const Case& c : cases) {
      AccountLimiter limiter;
      for (int i = 0; i < c.admitted; ++i)
        CPPUNIT_ASSERT(!limiter.Admit(kStart, c.account, c.max_tokens));
      const auto refusal = limiter.Admit(kStart, c.account, c.max_tokens);
      CPPUNIT_ASSERT(refusal);
      CPPUNIT_ASSERT_EQUAL(
          std::string(kLimitReasonNames.Name(c.reason)),
          std::string(kLimitReasonNames.Name(refusal->reason)));
      CPPUNIT_ASSERT(refusal->retry_after - c.retry_after < milliseconds(1));
      CPPUNIT_ASSERT(refusal->retry_after >= c.retry_after);
      if (c.reason == kConcurrent)
        limiter.Release(kStart, "a", c.max_tokens, c.max_tokens);
      CPPUNIT_ASSERT(!limiter.Admit(kStart + refusal->retry_after, c.account,
                                    c.max_tokens));
    }
    AccountLimiter unlimited;
    for (int i = 0; i < 1000; ++i)
      CPPUNIT_ASSERT(!unlimited.Admit(kStart, MakeAccount(0, 0, 0), 1000));
    CPPUNIT_ASSERT(unlimited.LocalDemand(kStart, 9).empty());
  }

  // Guards against charging max_tokens permanently, against credit beyond one
  // second, and against tokens that are not charged when more than max_tokens
  // were generated.
  void UnusedTokensAreRefunded() {
    const Account account = MakeAccount(0, 100, 0);
    AccountLimiter limiter;
    CPPUNIT_ASSERT(!limiter.Admit(kStart, account, 100));
    limiter.Release(kStart, "a", 100, 40);
    CPPUNIT_ASSERT(!limiter.Admit(kStart, account, 60));
    CPPUNIT_ASSERT(limiter.Admit(kStart, account, 1));
    limiter.Release(kStart, "a", 60, 160);
    CPPUNIT_ASSERT(limiter.Admit(kStart + milliseconds(990), account, 1));
    const TimePoint later = kStart + seconds(60);
    CPPUNIT_ASSERT(!limiter.Admit(later, account, 50));
    limiter.Release(later + seconds(9), "a", 50, 0);
    CPPUNIT_ASSERT(!limiter.Admit(later + seconds(9), account, 100));
    CPPUNIT_ASSERT(limiter.Admit(later + seconds(9), account, 1));
    limiter.Release(later, "unknown", 1, 1);
  }

  // Property: over any run, generated tokens and requests stay within rate x
  // time + one second's depth + one request, and running requests within the
  // limit.
  void RateStaysWithinLimit() {
    for (uint64_t seed = 0; seed < 3000; ++seed) {
      Random random(seed);
      const Account account =
          MakeAccount(1 + static_cast<int>(random.UniformBelow(20)),
                      100 + static_cast<int>(random.UniformBelow(1000)),
                      1 + static_cast<int>(random.UniformBelow(8)));
      AccountLimiter limiter;
      TimePoint now = kStart;
      std::vector<int> running;
      double admitted = 0;
      double generated = 0;
      for (int i = 0; i < 300; ++i) {
        now += milliseconds(random.UniformBelow(60));
        const int tokens = 1 + static_cast<int>(random.UniformBelow(200));
        if (!limiter.Admit(now, account, tokens)) {
          running.push_back(tokens);
          ++admitted;
        }
        if (!running.empty() && random.UniformBelow(2)) {
          const int used =
              static_cast<int>(random.UniformBelow(running.back() + 1));
          limiter.Release(now, "a", running.back(), used);
          generated += used;
          running.pop_back();
        }
        const double elapsed_s =
            std::chrono::duration<double>(now - kStart).count();
        CPPUNIT_ASSERT(admitted <=
                       account.requests_per_second * (elapsed_s + 1) + 0.01);
        CPPUNIT_ASSERT(generated <=
                       account.tokens_per_second * (elapsed_s + 1) + 200);
        CPPUNIT_ASSERT(running.size() <=
                       static_cast<size_t>(account.max_concurrent_requests));
      }
    }
  }

  // Guards against shares that ignore reports, use expired ones, or grow before
  // the other instances can have received the report.
  void ShareFollowsReports() {
    AccountLimiter limiter;
    const Account account = MakeAccount(0, 1000, 0);
    const auto share = [&](int after) {
      return limiter.LocalShare(kStart + seconds(after), "a");
    };
    const auto report_all = [&](int after, bool peer_is_active) {
      const TimePoint now = kStart + seconds(after);
      limiter.Admit(now, account, 100);
      limiter.LocalDemand(now, 10);
      std::vector<AccountDemand> demand;
      if (peer_is_active)
        demand.push_back({"a", 1e6});
      limiter.OnPeerDemand(now, "p", demand);
    };
    CPPUNIT_ASSERT_EQUAL(1.0, share(0));
    limiter.SetLiveInstances(4);
    // 1 s, and 0.5 s for each of two doublings.
    const int propagation_delay_s = 2;
    CPPUNIT_ASSERT_EQUAL(0.25, share(0));
    report_all(0, false);
    report_all(propagation_delay_s - 1, false);
    CPPUNIT_ASSERT_EQUAL(0.25, share(propagation_delay_s - 1));
    for (int i = propagation_delay_s; i < 8; ++i)
      report_all(i, false);
    CPPUNIT_ASSERT_EQUAL(1.0, share(8));
    report_all(9, true);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05 / 4, share(9), 1e-4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05 / 4, share(19), 1e-4);
    CPPUNIT_ASSERT_EQUAL(0.25, share(20));
  }

  // Guards against reports of idle accounts, wrong order, and reports that
  // change with every request.
  void LocalDemandIsOrderedAndStable() {
    AccountLimiter limiter;
    TimePoint now = kStart;
    std::vector<double> values;
    for (int i = 0; i < 4000; ++i) {
      now += milliseconds(10);
      for (const auto& [name, tokens] :
           {std::pair("small", 10), {"large", 100}, {"mid", 50}}) {
        Account account = MakeAccount(0, 100, 0);
        account.name = name;
        limiter.Admit(now, account, tokens);
      }
      if (i % 100 == 99) {
        const auto demand = limiter.LocalDemand(now, 2);
        CPPUNIT_ASSERT_EQUAL(size_t{2}, demand.size());
        CPPUNIT_ASSERT_EQUAL(std::string("large"), demand[0].account);
        CPPUNIT_ASSERT_EQUAL(std::string("mid"), demand[1].account);
        values.push_back(demand[0].tokens_per_second);
      }
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10'000, values.back(), 2'000);
    CPPUNIT_ASSERT_EQUAL(values[20], values.back());
    CPPUNIT_ASSERT(!limiter.LocalDemand(now + seconds(10), 9).empty());
    CPPUNIT_ASSERT(limiter.LocalDemand(now + seconds(11), 9).empty());
  }

  // Guards against requests admitted twice by a race between threads, also
  // while reports arrive.
  void ThreadsShareOneTokenBucket() {
    AccountLimiter limiter;
    std::atomic<int> admitted{0};
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
      threads.emplace_back([&, thread] {
        for (int i = 0; i < 2000; ++i) {
          const TimePoint now = kStart + milliseconds(i % 100);
          admitted += !limiter.Admit(now, MakeAccount(100, 0, 0), 1);
          Account own = MakeAccount(10, 0, 0);
          own.name = std::to_string(i % 50);
          limiter.Admit(now, own, 1);
          limiter.Release(now, own.name, 1, 1);
          if (i % 20 == 0) {
            limiter.OnPeerDemand(now, std::to_string(thread),
                                 {{own.name, 1.0 * i}});
            limiter.LocalDemand(now, 100);
            limiter.LocalShare(now, own.name);
          }
        }
      });
    }
    threads.clear();
    // One second's depth and the 99 ms that passed.
    CPPUNIT_ASSERT(admitted >= 100 && admitted <= 110);
  }

  // Prints the cost of an admission; guards against lock contention between
  // accounts.
  void AdmissionCostIsBounded() {
    std::printf("\nthreads: ns per Admit + Release, 12,000 accounts\n");
    for (const int count : {1, 4}) {
      AccountLimiter limiter;
      limiter.SetLiveInstances(350);
      const auto start = std::chrono::steady_clock::now();
      std::vector<std::jthread> threads;
      threads.reserve(count);
      const int requests_per_thread = 100'000;
      for (int thread = 0; thread < count; ++thread) {
        threads.emplace_back([&, thread] {
          Account account = MakeAccount(1e9, 1e9, 0);
          for (int i = 0; i < requests_per_thread; ++i) {
            account.name = std::to_string((i * 4 + thread) % 12'000);
            const TimePoint now = kStart + Duration(i);
            if (!limiter.Admit(now, account, 10))
              limiter.Release(now, account.name, 10, 10);
          }
        });
      }
      threads.clear();
      const std::chrono::duration<double, std::nano> elapsed =
          std::chrono::steady_clock::now() - start;
      std::printf("%d: %.0f\n", count, elapsed.count() / requests_per_thread);
      CPPUNIT_ASSERT(elapsed.count() / requests_per_thread < 100'000);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace trefoilwick
