#include "trefoilwick/config_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include "memory_store.h"
#include "table_samples.h"

namespace trefoilwick {
namespace {

// A store with one accepted version and the edit of an operator.
struct Fixture {
  Fixture() {
    const Table first = SampleTable(4);
    CPPUNIT_ASSERT(CommitEdit(Table(), first, "first").verdict ==
                   CommitVerdict::kAccepted);
    base = first.WithVersion(1);
    edited = WithWeight(base, "account-1", 5);
    store.calls.clear();
  }
  CommitResult CommitEdit(const Table& from,
                          const Table& to,
                          const std::string& attempt) {
    return CommitTable(clock, store, store, from, to, "author-" + attempt,
                       attempt);
  }
  // Attempt in the change row of a version; empty when there is no row.
  std::string AttemptAt(int64_t version) const {
    const auto it = store.rows.find(ConfigChangeKey(version));
    if (it == store.rows.end())
      return "";
    return DecodeConfigChange(it->second.value)->attempt;
  }
  Table LoadStoredTable() {
    store.fault_function = nullptr;
    store.before_call = nullptr;
    auto table = LoadTable(store, store);
    CPPUNIT_ASSERT_MESSAGE(table.status().ToString(), table.ok());
    return *std::move(table);
  }

  ManualClock clock;
  MemoryStore store;
  Table base;
  Table edited;
};

// Checks that the verdict agrees with the content of the store.
void CheckVerdictMatchesStore(const std::string& what,
                              const Fixture& fixture,
                              const CommitResult& result,
                              const std::string& attempt) {
  const bool written = fixture.AttemptAt(2) == attempt;
  const std::string text =
      what + ": " + std::string(kCommitVerdictNames.Name(result.verdict)) +
      " " + result.reason;
  if (result.verdict == CommitVerdict::kAccepted) {
    CPPUNIT_ASSERT_MESSAGE(text, written);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, int64_t{2}, result.version);
  } else if (result.verdict == CommitVerdict::kRefused) {
    CPPUNIT_ASSERT_MESSAGE(text, !written);
  }
  // Head and change row are written together or not at all.
  const auto& head = fixture.store.rows.at(kConfigHeadKey).value;
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
      text, std::string(fixture.AttemptAt(2).empty() ? "1" : "2"), head);
}

constexpr StoreFault kFaults[] = {StoreFault::kUnavailable,
                                  StoreFault::kAnswerLost,
                                  StoreFault::kRequestLost};

// Faults of the calls of one commit, by call number. The last fault repeats for
// all later calls when `repeat` is set.
struct CommitCase {
  const char* name;
  std::vector<StoreFault> faults;
  bool repeat;
  CommitVerdict verdict;
  // Whether the change is in the store afterwards.
  bool written;
};

const CommitCase kCommitCases[] = {
    {"no fault", {}, false, CommitVerdict::kAccepted, true},
    {"store down",
     {StoreFault::kUnavailable},
     true,
     CommitVerdict::kUnknown,
     false},
    {"answer lost, then read",
     {StoreFault::kNone, StoreFault::kAnswerLost},
     false,
     CommitVerdict::kAccepted,
     true},
    {"answer lost, store down",
     {StoreFault::kNone, StoreFault::kAnswerLost, StoreFault::kUnavailable},
     true,
     CommitVerdict::kUnknown,
     true},
    {"request lost, then written again",
     {StoreFault::kNone, StoreFault::kRequestLost},
     false,
     CommitVerdict::kAccepted,
     true},
    {"request lost, store down",
     {StoreFault::kNone, StoreFault::kRequestLost, StoreFault::kUnavailable},
     true,
     CommitVerdict::kUnknown,
     false},
    {"unavailable for one write",
     {StoreFault::kNone, StoreFault::kUnavailable},
     false,
     CommitVerdict::kAccepted,
     true},
    {"answer and first read lost",
     {StoreFault::kNone, StoreFault::kAnswerLost, StoreFault::kUnavailable},
     false,
     CommitVerdict::kAccepted,
     true},
};

class ConfigStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStoreTest);
  CPPUNIT_TEST(CommitVerdictMatchesFaults);
  CPPUNIT_TEST(VerdictMatchesStoreForEveryPairOfFaults);
  CPPUNIT_TEST(OnlyOneOfTwoConcurrentCommitsIsAccepted);
  CPPUNIT_TEST(RefusalOfOldBaseShowsDifference);
  CPPUNIT_TEST(DelayedWriteIsFoundByRetry);
  CPPUNIT_TEST(CommitChecksBothRows);
  CPPUNIT_TEST(SameAttemptIsIdempotent);
  CPPUNIT_TEST(InvalidOrEmptyEditWritesNothing);
  CPPUNIT_TEST(LoadReadsSnapshotAndLaterChanges);
  CPPUNIT_TEST(LoadReportsDamagedRows);
  CPPUNIT_TEST(LoadWithFaultReturnsErrorOrTable);
  CPPUNIT_TEST(ChangesAreReadInPages);
  CPPUNIT_TEST(ChangeKeysSortAndDamagedEntriesAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CommitVerdictMatchesFaults() {
    for (const CommitCase& test : kCommitCases) {
      Fixture fixture;
      fixture.store.fault_function = [&](const std::string&, int number) {
        const auto at = static_cast<size_t>(number);
        if (at < test.faults.size())
          return test.faults[at];
        return test.repeat ? test.faults.back() : StoreFault::kNone;
      };
      const auto result =
          fixture.CommitEdit(fixture.base, fixture.edited, "mine");
      CheckVerdictMatchesStore(test.name, fixture, result, "mine");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          test.name, std::string(kCommitVerdictNames.Name(test.verdict)),
          std::string(kCommitVerdictNames.Name(result.verdict)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.written,
                                   fixture.AttemptAt(2) == "mine");
    }
  }

  // Guards against a verdict that contradicts the store: every fault at every
  // pair of calls, alone and with another operator's commit in between. After
  // the store has recovered, the same attempt must have the same outcome.
  void VerdictMatchesStoreForEveryPairOfFaults() {
    for (int first_call = 0; first_call < 7; ++first_call)
      for (int second_call = first_call; second_call < 9; ++second_call)
        for (const StoreFault first_fault : kFaults)
          for (const StoreFault second_fault : kFaults)
            for (int concurrent_call = -1; concurrent_call < 5;
                 ++concurrent_call)
              CheckPairOfFaults(first_call, first_fault, second_call,
                                second_fault, concurrent_call);
  }

  // Guards against two accepted edits of one version.
  void OnlyOneOfTwoConcurrentCommitsIsAccepted() {
    // The second operator commits before each call of the first.
    for (int at = 0; at < 2; ++at) {
      Fixture fixture;
      CommitResult other;
      fixture.store.before_call = [&](const std::string&, int number) {
        if (number != at || other.version != 0)
          return;
        other.version = 1;
        other = fixture.CommitEdit(
            fixture.base, WithWeight(fixture.base, "account-2", 7), "other");
      };
      const auto mine =
          fixture.CommitEdit(fixture.base, fixture.edited, "mine");
      CPPUNIT_ASSERT(other.verdict == CommitVerdict::kAccepted);
      CPPUNIT_ASSERT(mine.verdict == CommitVerdict::kRefused);
      CPPUNIT_ASSERT_EQUAL(int64_t{2}, mine.version);
      CPPUNIT_ASSERT_EQUAL(std::string("~ account account-2 weight 3 -> 7\n"),
                           mine.difference);
      CPPUNIT_ASSERT(mine.reason.find("author-other") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(std::string("other"), fixture.AttemptAt(2));
    }
  }

  // Guards against a difference that shows only the first of several edits.
  void RefusalOfOldBaseShowsDifference() {
    Fixture fixture;
    Table accepted = fixture.base;
    for (int i = 0; i < 3; ++i) {
      const Table next =
          WithWeight(accepted, "account-" + std::to_string(i), 20 + i);
      CPPUNIT_ASSERT(
          fixture.CommitEdit(accepted, next, std::to_string(i)).verdict ==
          CommitVerdict::kAccepted);
      accepted = fixture.LoadStoredTable();
    }
    const auto old = fixture.CommitEdit(fixture.base, fixture.edited, "old");
    CPPUNIT_ASSERT(old.verdict == CommitVerdict::kRefused);
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, old.version);
    CPPUNIT_ASSERT_EQUAL(
        FormatDelta(fixture.base,
                    DiffTables(fixture.base, fixture.LoadStoredTable())),
        old.difference);
    const auto future = fixture.CommitEdit(fixture.base.WithVersion(9),
                                           fixture.edited, "future");
    CPPUNIT_ASSERT(future.verdict == CommitVerdict::kRefused);
  }

  // Guards against a refusal while the write is still in flight: it takes
  // effect after the change row was read as absent.
  void DelayedWriteIsFoundByRetry() {
    Fixture fixture;
    MemoryStore& store = fixture.store;
    const int64_t head_row = store.rows.at(kConfigHeadKey).version;
    const ConfigChange change{
        DiffTables(fixture.base, fixture.edited.WithVersion(2)), "mine", "me",
        1};
    const StoreTransaction delayed{
        {{kConfigTable, kConfigHeadKey, head_row}},
        {{kConfigTable, kConfigHeadKey, "2"},
         {kConfigTable, ConfigChangeKey(2), EncodeConfigChange(change)}}};
    store.fault_function = [](const std::string&, int number) {
      return number == 1 ? StoreFault::kRequestLost : StoreFault::kNone;
    };
    // Calls: head, write (lost), change row, head, write again.
    store.before_call = [&](const std::string&, int number) {
      if (number == 4)
        CPPUNIT_ASSERT(store.Write(delayed).ok());
    };
    const auto result =
        fixture.CommitEdit(fixture.base, fixture.edited, "mine");
    CPPUNIT_ASSERT(result.verdict == CommitVerdict::kAccepted);
    CheckVerdictMatchesStore("delayed", fixture, result, "mine");
  }

  // Guards against a transaction that checks only one of its two rows and so
  // overwrites a damaged log.
  void CommitChecksBothRows() {
    Fixture orphan;
    const ConfigChange other{{2, {}, {}, {"kind-0"}, {}}, "other", "o", 1};
    orphan.store.rows[ConfigChangeKey(2)] = {ConfigChangeKey(2),
                                             EncodeConfigChange(other), 1};
    CPPUNIT_ASSERT(
        orphan.CommitEdit(orphan.base, orphan.edited, "mine").verdict !=
        CommitVerdict::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), orphan.AttemptAt(2));
    Fixture moved;
    moved.store.before_call = [&](const std::string& call, int) {
      if (call == "transact")
        moved.store.rows[kConfigHeadKey] = {kConfigHeadKey, "2", 9};
    };
    CPPUNIT_ASSERT(moved.CommitEdit(moved.base, moved.edited, "mine").verdict !=
                   CommitVerdict::kAccepted);
    CPPUNIT_ASSERT(moved.AttemptAt(2).empty());
  }

  void SameAttemptIsIdempotent() {
    Fixture fixture;
    for (int i = 0; i < 3; ++i) {
      const auto result =
          fixture.CommitEdit(fixture.base, fixture.edited, "mine");
      CPPUNIT_ASSERT(result.verdict == CommitVerdict::kAccepted);
      CPPUNIT_ASSERT_EQUAL(int64_t{2}, result.version);
    }
    // The same after other edits.
    const Table now = fixture.LoadStoredTable();
    fixture.CommitEdit(now, WithWeight(now, "account-3", 9), "later");
    CPPUNIT_ASSERT(
        fixture.CommitEdit(fixture.base, fixture.edited, "mine").verdict ==
        CommitVerdict::kAccepted);
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, fixture.LoadStoredTable().version());
  }

  // Guards against the commit of an invalid table by a caller that did not
  // parse it.
  void InvalidOrEmptyEditWritesNothing() {
    Fixture fixture;
    const auto bad = fixture.CommitEdit(
        fixture.base, WithWeight(fixture.base, "account-1", -1), "bad");
    CPPUNIT_ASSERT(bad.verdict == CommitVerdict::kRefused);
    CPPUNIT_ASSERT(bad.reason.find("account-1") != std::string::npos);
    CPPUNIT_ASSERT(fixture.store.calls.empty());
    const auto empty = fixture.CommitEdit(fixture.base, fixture.base, "empty");
    CPPUNIT_ASSERT(empty.verdict == CommitVerdict::kAccepted);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, empty.version);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, fixture.LoadStoredTable().version());
  }

  // Guards against replays of the whole log at startup, and against a snapshot
  // that is never written because its first write failed.
  void LoadReadsSnapshotAndLaterChanges() {
    MemoryStore store;
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, LoadTable(store, store)->version());
    Table table = SampleTable(3);
    ManualClock clock;
    store.fault_function = [](const std::string& call, int) {
      return call == "put_object" ? StoreFault::kUnavailable
                                  : StoreFault::kNone;
    };
    Table base;
    for (int i = 1; i <= 600; ++i) {
      table = WithWeight(table, "account-1", i);
      CPPUNIT_ASSERT(
          CommitTable(clock, store, store, base, table, "a", std::to_string(i))
              .verdict == CommitVerdict::kAccepted);
      base = table.WithVersion(i);
    }
    CPPUNIT_ASSERT(store.objects.empty());
    store.fault_function = nullptr;
    CPPUNIT_ASSERT(base == *LoadTable(store, store));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, store.objects.size());
    store.calls.clear();
    CPPUNIT_ASSERT(base == *LoadTable(store, store));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, store.calls.size());
    for (const int version : {0, 1, 256, 300, 600}) {
      const auto at = LoadTableAt(store, store, version);
      CPPUNIT_ASSERT(at.ok());
      CPPUNIT_ASSERT_EQUAL(int64_t{version}, at->version());
      CPPUNIT_ASSERT(version == 0 ||
                     at->FindAccount("account-1")->weight == version);
    }
    CPPUNIT_ASSERT(absl::IsNotFound(LoadTableAt(store, store, 601).status()));
    // An old base is compared with the newest table, not with the first page.
    const auto old =
        CommitTable(clock, store, store, *LoadTableAt(store, store, 10),
                    WithWeight(base, "account-1", 7), "a", "old");
    CPPUNIT_ASSERT(old.verdict == CommitVerdict::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::string("~ account account-1 weight 10 -> 600\n"),
                         old.difference);
    // A damaged snapshot is skipped.
    store.objects[ConfigSnapshotName(512)] = "{";
    CPPUNIT_ASSERT(base == *LoadTable(store, store));
  }

  // Guards against a table that lacks a version without an error.
  void LoadReportsDamagedRows() {
    Fixture fixture;
    CPPUNIT_ASSERT(
        fixture.CommitEdit(fixture.base, fixture.edited, "mine").verdict ==
        CommitVerdict::kAccepted);
    MemoryStore& store = fixture.store;
    const auto rows = store.rows;
    store.rows.erase(ConfigChangeKey(1));
    CPPUNIT_ASSERT(!LoadTable(store, store).ok());
    store.rows = rows;
    store.rows.erase(ConfigChangeKey(2));
    CPPUNIT_ASSERT(!LoadTable(store, store).ok());
    store.rows = rows;
    store.rows.at(ConfigChangeKey(2)).value = "x";
    CPPUNIT_ASSERT(!LoadTable(store, store).ok());
    store.rows = rows;
    store.rows.at(kConfigHeadKey).value = "2x";
    CPPUNIT_ASSERT(!ReadHeadVersion(store).ok());
    store.rows = rows;
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, *ReadHeadVersion(store));
  }

  void LoadWithFaultReturnsErrorOrTable() {
    for (int at = 0; at < 4; ++at) {
      Fixture fixture;
      fixture.store.fault_function = [&](const std::string&, int number) {
        return number == at ? StoreFault::kUnavailable : StoreFault::kNone;
      };
      const auto table = LoadTable(fixture.store, fixture.store);
      CPPUNIT_ASSERT(!table.ok() || *table == fixture.base);
    }
  }

  void ChangesAreReadInPages() {
    Fixture fixture;
    Table table = fixture.base;
    for (int i = 2; i <= 12; ++i) {
      fixture.CommitEdit(table, WithWeight(table, "account-1", 100 + i), "m");
      table = fixture.LoadStoredTable();
    }
    const auto page = ReadChanges(fixture.store, 8, 3);
    CPPUNIT_ASSERT(page.ok());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, page->size());
    CPPUNIT_ASSERT_EQUAL(int64_t{9}, page->front().delta.version);
    CPPUNIT_ASSERT_EQUAL(std::string("author-m"), page->front().author);
    CPPUNIT_ASSERT(ReadChanges(fixture.store, 12, 3)->empty());
  }

  // Guards against keys that do not sort in the order of versions, and against
  // crashes on damaged rows.
  void ChangeKeysSortAndDamagedEntriesAreRejected() {
    CPPUNIT_ASSERT(ConfigChangeKey(9) < ConfigChangeKey(10));
    CPPUNIT_ASSERT(ConfigChangeKey(-1) == ConfigChangeKey(0));
    const ConfigChange change{{3, {}, {}, {"k"}, {}}, "a\n\xff", "me\n", 17};
    const std::string bytes = EncodeConfigChange(change);
    const auto decoded = DecodeConfigChange(bytes);
    CPPUNIT_ASSERT(decoded.ok() && decoded->delta == change.delta);
    CPPUNIT_ASSERT_EQUAL(change.author, decoded->author);
    CPPUNIT_ASSERT_EQUAL(change.unix_ms, decoded->unix_ms);
    Random random(1);
    for (int i = 0; i < 5000; ++i) {
      std::string damaged = bytes;
      damaged[random.UniformBelow(damaged.size())] =
          static_cast<char>(random.UniformBelow(256));
      damaged.erase(random.UniformBelow(damaged.size()),
                    random.UniformBelow(4));
      const auto result = DecodeConfigChange(damaged);
      CPPUNIT_ASSERT(result.ok() || absl::IsInvalidArgument(result.status()));
    }
  }

 private:
  static void CheckPairOfFaults(int first_call,
                                StoreFault first_fault,
                                int second_call,
                                StoreFault second_fault,
                                int concurrent_call) {
    Fixture fixture;
    fixture.store.fault_function = [&](const std::string&, int number) {
      if (number == first_call)
        return first_fault;
      return number == second_call ? second_fault : StoreFault::kNone;
    };
    fixture.store.before_call = [&](const std::string&, int number) {
      if (number == concurrent_call)
        WriteConcurrentCommit(fixture);
    };
    const auto result =
        fixture.CommitEdit(fixture.base, fixture.edited, "mine");
    const std::string description =
        "faults " + std::to_string(first_call) + " " +
        std::string(kStoreFaultNames.Name(first_fault)) + ", " +
        std::to_string(second_call) + " " +
        std::string(kStoreFaultNames.Name(second_fault)) +
        ", concurrent commit at call " + std::to_string(concurrent_call);
    CheckVerdictMatchesStore(description, fixture, result, "mine");
    fixture.store.fault_function = nullptr;
    fixture.store.before_call = nullptr;
    const bool written = fixture.AttemptAt(2) == "mine";
    const bool free = fixture.AttemptAt(2).empty();
    const auto again = fixture.CommitEdit(fixture.base, fixture.edited, "mine");
    CheckVerdictMatchesStore(description + ", again", fixture, again, "mine");
    CPPUNIT_ASSERT_MESSAGE(
        description,
        (again.verdict == CommitVerdict::kAccepted) == (written || free));
  }

  // Commits version 2 as another operator, if it is still free.
  static void WriteConcurrentCommit(Fixture& fixture) {
    MemoryStore& store = fixture.store;
    const Table other = WithWeight(fixture.base, "account-2", 7).WithVersion(2);
    const ConfigChange change{DiffTables(fixture.base, other), "rival", "r", 1};
    // NOLINTNEXTLINE(bugprone-unused-return-value)
    store
        .Write(
            {{{kConfigTable, kConfigHeadKey,
               store.rows.at(kConfigHeadKey).version},
              {kConfigTable, ConfigChangeKey(2), 0}},
             {{kConfigTable, kConfigHeadKey, "2"},
              {kConfigTable, ConfigChangeKey(2), EncodeConfigChange(change)}}})
        .IgnoreError();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStoreTest);

}  // namespace
}  // namespace trefoilwick
