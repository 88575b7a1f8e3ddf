#include "trefoilwick/routing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>
#include <thread>

namespace trefoilwick {
namespace {

class RoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(ChainOwnersAreBalancedAndRarelyMove);
  CPPUNIT_TEST(PrefixHashesAndFingerprints);
  CPPUNIT_TEST(PrefixIndexKeepsLatestChain);
  CPPUNIT_TEST(RetriesStayInBudget);
  CPPUNIT_TEST(QuarantineExpires);
  CPPUNIT_TEST(QuarantineKeepsLatestExpiry);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against chains that move between remaining instances, and against
  // one instance that owns most chains. Prints max / mean.
  void ChainOwnersAreBalancedAndRarelyMove() {
    std::printf(
        "\nentries chains data centers: chains of the busiest / mean, "
        "median and worst of 100 seeds\n");
    struct Case {
      int entries;
      int chains;
      int data_centers;
      double limit;
    };
    for (const Case& c : {Case{13, 10, 3, 8},
                          {13, 775, 3, 1.5},
                          {13, 775, 1, 1.6},
                          {350, 775, 18, 4.5},
                          {350, 775, 1, 6}}) {
      std::vector<double> ratios;
      for (uint64_t seed = 0; seed < 100; ++seed)
        ratios.push_back(Imbalance(c.entries, c.chains, c.data_centers, seed));
      std::sort(ratios.begin(), ratios.end());
      std::printf("%4d %5d %3d: %.2f %.2f\n", c.entries, c.chains,
                  c.data_centers, ratios[50], ratios[99]);
      CPPUNIT_ASSERT(ratios[50] <= c.limit);
    }
    for (uint64_t seed = 0; seed < 2000; ++seed)
      CheckMinimalMoves(seed);
    CPPUNIT_ASSERT(ChainOwner({}, {}).empty());
  }

  // Guards against hashes that depend on spacing or ignore the model, and
  // against an index that grows without bound or keeps a lost chain.
  void PrefixHashesAndFingerprints() {
    CPPUNIT_ASSERT_EQUAL(PrefixHash("a b  c", 2), PrefixHash(" a\tb d", 2));
    CPPUNIT_ASSERT(PrefixHash("a b", 2) != PrefixHash("ab", 2));
    CPPUNIT_ASSERT(PrefixHash("a b", 2) != PrefixHash("a", 2));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, PrefixHash(" \n"));
    CPPUNIT_ASSERT(Fingerprint("m", "p") != Fingerprint("mp", ""));
    CPPUNIT_ASSERT_EQUAL(Fingerprint("m", "p"), Fingerprint("m", "p"));
    PrefixIndex index(3);
    index.Record(0, "x");
    CPPUNIT_ASSERT(!index.Find(0));
    for (uint64_t prefix : {1, 2, 3, 1, 4})
      index.Record(prefix, prefix == 3 ? "y" : "x");
    CPPUNIT_ASSERT(!index.Find(2));
    CPPUNIT_ASSERT(index.Find(1) == "x");
    index.RemoveChain("x");
    CPPUNIT_ASSERT(!index.Find(1) && !index.Find(4));
    CPPUNIT_ASSERT(index.Find(3) == "y");
  }

  // Property: a prefix is found with the chain that was recorded last, or not
  // at all; the most recently recorded ones are found, and never more than the
  // capacity.
  void PrefixIndexKeepsLatestChain() {
    for (uint64_t seed = 0; seed < 2000; ++seed) {
      Random random(seed);
      const size_t capacity = 1 + random.UniformBelow(8);
      PrefixIndex index(capacity);
      // Least recently recorded first.
      std::vector<std::pair<uint64_t, std::string>> model;
      for (int i = 0; i < 100; ++i) {
        const std::string chain = std::to_string(random.UniformBelow(4));
        if (random.UniformBelow(10) == 0) {
          index.RemoveChain(chain);
          std::erase_if(model, [&](auto& e) { return e.second == chain; });
          continue;
        }
        const uint64_t prefix = 1 + random.UniformBelow(12);
        index.Record(prefix, chain);
        std::erase_if(model, [&](auto& e) { return e.first == prefix; });
        model.emplace_back(prefix, chain);
        if (model.size() > capacity)
          model.erase(model.begin());
      }
      size_t found = 0;
      for (uint64_t prefix = 1; prefix <= 12; ++prefix)
        found += index.Find(prefix).has_value();
      CPPUNIT_ASSERT_EQUAL(model.size(), found);
      for (const auto& [prefix, chain] : model)
        CPPUNIT_ASSERT(index.Find(prefix) == chain);
    }
  }

  // Property: retries never exceed the reserve plus a tenth of the attempts,
  // also with several threads. Guards against retry storms.
  void RetriesStayInBudget() {
    for (uint64_t seed = 0; seed < 2000; ++seed) {
      Random random(seed);
      RetryBudget budget;
      int attempts = 0;
      int retries = 0;
      for (int i = 0; i < 500; ++i) {
        if (random.UniformBelow(2)) {
          budget.OnAttempt();
          ++attempts;
        } else {
          retries += budget.TryRetry();
        }
        CPPUNIT_ASSERT(retries <= 3 + attempts * 0.1 + 1e-9);
      }
    }
    RetryBudget budget;
    std::atomic<int> retries{0};
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&] {
        for (int n = 0; n < 5000; ++n) {
          budget.OnAttempt();
          // A third of the calls fail, and so do a third of the retries.
          if (n % 3 == 0)
            retries += budget.TryRetry();
        }
      });
    }
    threads.clear();
    CPPUNIT_ASSERT(retries <= 2003);
    CPPUNIT_ASSERT(retries >= 1900);
  }

  // Guards against entries that never expire, expire early when a peer merges
  // an older one, or grow without bound.
  void QuarantineExpires() {
    Quarantine quarantine;
    quarantine.Add(1000, 7);
    quarantine.Merge(7, 5000);
    CPPUNIT_ASSERT(quarantine.Contains(600'999, 7));
    CPPUNIT_ASSERT(!quarantine.Contains(601'000, 7));
    quarantine.Merge(8, 700'000);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, quarantine.List(650'000).size());
    for (uint64_t i = 100; i < 6000; ++i)
      quarantine.Merge(i, 800'000);
    CPPUNIT_ASSERT_EQUAL(size_t{4096}, quarantine.List(0).size());
    CPPUNIT_ASSERT(!quarantine.Contains(0, 8));
    quarantine.Clear();
    CPPUNIT_ASSERT(quarantine.List(0).empty());
  }

  // Property: a fingerprint is quarantined until the latest expiry that was
  // added or merged, in whatever order.
  void QuarantineKeepsLatestExpiry() {
    for (uint64_t seed = 0; seed < 2000; ++seed) {
      Random random(seed);
      Quarantine quarantine;
      std::map<uint64_t, int64_t> expiry;
      int64_t now = 1'000'000;
      for (int i = 0; i < 60; ++i) {
        now += static_cast<int64_t>(random.UniformBelow(100'000));
        const uint64_t fingerprint = random.UniformBelow(5);
        int64_t until = now + 600'000;
        if (random.UniformBelow(2)) {
          quarantine.Add(now, fingerprint);
        } else {
          until = now - 300'000 +
                  static_cast<int64_t>(random.UniformBelow(900'000));
          quarantine.Merge(fingerprint, until);
        }
        expiry[fingerprint] = std::max(expiry[fingerprint], until);
        size_t listed = 0;
        for (const auto& [known, last] : expiry) {
          CPPUNIT_ASSERT_EQUAL(last > now, quarantine.Contains(now, known));
          listed += last > now;
        }
        CPPUNIT_ASSERT_EQUAL(listed, quarantine.List(now).size());
      }
    }
  }

 private:
  static std::vector<SchedulerCandidate> Entries(int count,
                                                 int data_centers,
                                                 uint64_t seed) {
    std::vector<SchedulerCandidate> live;
    live.reserve(count);
    for (int i = 0; i < count; ++i)
      live.push_back({"e" + std::to_string(seed) + "-" + std::to_string(i),
                      std::to_string(i % data_centers)});
    return live;
  }

  static Chain ChainAt(int i, int data_centers) {
    Chain chain;
    chain.id = "gpu-" + std::to_string(i);
    chain.data_center = std::to_string(i % data_centers);
    return chain;
  }

  static double Imbalance(int entries,
                          int chains,
                          int data_centers,
                          uint64_t seed) {
    const auto live = Entries(entries, data_centers, seed);
    std::map<std::string, int> owned;
    int most = 0;
    for (int i = 0; i < chains; ++i)
      most =
          std::max(most, ++owned[ChainOwner(ChainAt(i, data_centers), live)]);
    return most * static_cast<double>(entries) / chains;
  }

  // One instance is removed: only its chains move, and they stay in their data
  // center.
  static void CheckMinimalMoves(uint64_t seed) {
    Random random(seed);
    const int data_centers = 1 + static_cast<int>(random.UniformBelow(3));
    const auto live = Entries(2 + static_cast<int>(random.UniformBelow(12)),
                              data_centers, seed);
    auto remaining = live;
    const std::string removed = live[random.UniformBelow(live.size())].id;
    std::erase_if(remaining,
                  [&](const auto& entry) { return entry.id == removed; });
    for (int i = 0; i < 30; ++i) {
      const Chain chain = ChainAt(i, data_centers);
      const std::string owner = ChainOwner(chain, live);
      const std::string next_owner = ChainOwner(chain, remaining);
      CPPUNIT_ASSERT(owner == removed ? next_owner != removed
                                      : next_owner == owner);
      const auto in_data_center = [&](const auto& entry) {
        return entry.data_center == chain.data_center;
      };
      const auto owner_entry = std::find_if(
          remaining.begin(), remaining.end(),
          [&](const auto& entry) { return entry.id == next_owner; });
      CPPUNIT_ASSERT(
          in_data_center(*owner_entry) ||
          std::none_of(remaining.begin(), remaining.end(), in_data_center));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

}  // namespace
}  // namespace trefoilwick
