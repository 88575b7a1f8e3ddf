#include "trefoilwick/platform.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <iostream>

#include "store_listener.h"

namespace trefoilwick {
namespace {

using Code = absl::StatusCode;

constexpr Duration kDeadline = std::chrono::milliseconds(250);

enum class Applied : uint8_t { kNo, kYes };

// One fault, the status that a write and a read must return under it, and
// whether the write takes effect. `store_fault` is unset when only HTTP has the
// fault.
struct FaultCase {
  const char* name;
  ListenerFault listener_fault;
  std::optional<StoreFault> store_fault;
  Code write;
  Code read;
  Applied applied;
};

constexpr Code kUnknownOutcome = Code::kUnknown;
constexpr Code kServiceUnavailable = Code::kUnavailable;

const FaultCase kFaultCases[] = {
    {"none", ListenerFault::kNone, StoreFault::kNone, Code::kOk, Code::kOk,
     Applied::kYes},
    {"close after", ListenerFault::kCloseAfterApply, StoreFault::kAnswerLost,
     kUnknownOutcome, kServiceUnavailable, Applied::kYes},
    {"close before", ListenerFault::kCloseBeforeApply, StoreFault::kRequestLost,
     kUnknownOutcome, kServiceUnavailable, Applied::kNo},
    {"silent after", ListenerFault::kHangAfterApply, StoreFault::kAnswerLost,
     kUnknownOutcome, kServiceUnavailable, Applied::kYes},
    {"silent before", ListenerFault::kHangBeforeApply, StoreFault::kRequestLost,
     kUnknownOutcome, kServiceUnavailable, Applied::kNo},
    {"refused 503", ListenerFault::kRefused503, StoreFault::kUnavailable,
     kServiceUnavailable, kServiceUnavailable, Applied::kNo},
    {"garbage body", ListenerFault::kGarbageBody, std::nullopt, kUnknownOutcome,
     kServiceUnavailable, Applied::kYes},
    {"garbage bytes", ListenerFault::kGarbageBytes, std::nullopt,
     kUnknownOutcome, kServiceUnavailable, Applied::kYes},
    {"trickle", ListenerFault::kTrickle, std::nullopt, kUnknownOutcome,
     kServiceUnavailable, Applied::kYes},
    {"truncate", ListenerFault::kTruncate, std::nullopt, kUnknownOutcome,
     kServiceUnavailable, Applied::kYes},
    {"error 500", ListenerFault::kError, std::nullopt, kUnknownOutcome,
     kServiceUnavailable, Applied::kYes},
    {"bare 503", ListenerFault::kStatus503WithoutOutcome, std::nullopt,
     kUnknownOutcome, kServiceUnavailable, Applied::kYes},
    {"bare 409", ListenerFault::kStatus409WithoutReason, std::nullopt,
     kUnknownOutcome, kServiceUnavailable, Applied::kYes},
};

// A store under test, with the FakeStore that holds its state.
struct Subject {
  std::string name;
  FakeStore* state = nullptr;
  TableService* table = nullptr;
  ObjectStore* objects = nullptr;
};

StoreTransaction Put(const std::string& key,
                     const std::string& value,
                     int64_t version) {
  return {{{"t", key, version}}, {{"t", key, value, false}}};
}

class PlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformTest);
  CPPUNIT_TEST(FakeAndHttpStoresBehaveAlike);
  CPPUNIT_TEST(WriteOutcomeIsReportedCorrectlyUnderFaults);
  CPPUNIT_TEST(WritesAreNotRetriedOnClosedConnection);
  CPPUNIT_TEST(RefusedConnectionIsReportedAsNotWritten);
  CPPUNIT_TEST(ConnectionIsReused);
  CPPUNIT_TEST(InvalidUtf8IsNotSent);
  CPPUNIT_TEST(InstancesAreParsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against differences between the HTTP adapters and the fakes in
  // versions, checks, scan order, erased rows or the encoding of keys.
  void FakeAndHttpStoresBehaveAlike() {
    StoreListener listener;
    ForEachSubject(listener, [](const Subject& subject) {
      CheckRows(subject);
      CheckScan(subject);
      CheckObjects(subject);
    });
  }

  // Guards against a write that is reported as not written when it was, or as
  // written when it was not, and against a call that outlasts its deadline.
  void WriteOutcomeIsReportedCorrectlyUnderFaults() {
    for (const FaultCase& c : kFaultCases) {
      FakeStore fake;
      if (c.store_fault) {
        const StoreFault fault = *c.store_fault;
        RunFaultCase(c, {"fake", &fake, &fake, &fake}, [&](bool on) {
          fake.SetFaults([fault, on](const auto&, const auto&) {
            return on ? fault : StoreFault::kNone;
          });
        });
      }
      // A fresh connection and a pooled one fail in different ways.
      for (const bool pooled : {false, true}) {
        StoreListener listener;
        auto table = MakeHttpTableService(listener.url(), kDeadline);
        auto objects = MakeHttpObjectStore(listener.url(), kDeadline);
        if (pooled) {
          CPPUNIT_ASSERT(table->Transact(Put("warm", "", 0)).ok());
          CPPUNIT_ASSERT(objects->PutObject("warm", "", false).ok());
        }
        RunFaultCase(
            c,
            {pooled ? "pooled" : "fresh", &listener.store(), table.get(),
             objects.get()},
            [&](bool on) {
              listener.SetFault(on ? c.listener_fault : ListenerFault::kNone);
            });
      }
    }
  }

  // Guards against the client library retrying a write by itself when a pooled
  // connection closes: the second copy fails its check although the first was
  // written.
  void WritesAreNotRetriedOnClosedConnection() {
    StoreListener listener;
    auto table = MakeHttpTableService(listener.url(), kDeadline);
    auto objects = MakeHttpObjectStore(listener.url(), kDeadline);
    CPPUNIT_ASSERT(table->Transact(Put("warm", "", 0)).ok());
    CPPUNIT_ASSERT(objects->PutObject("warm", "", false).ok());
    const uint64_t before = listener.store().calls();
    listener.SetFault(ListenerFault::kCloseAfterApply);
    CheckCode("transact", kUnknownOutcome,
              table->Transact(Put("k", "v", 0)).status());
    CheckCode("put", kUnknownOutcome, objects->PutObject("o", "bytes", true));
    CPPUNIT_ASSERT_EQUAL(before + 2, listener.store().calls());
  }

  // Guards against treating a refused connection as an unknown outcome, which
  // would leave callers without an answer while the service is down.
  void RefusedConnectionIsReportedAsNotWritten() {
    StoreListener listener;
    auto table = MakeHttpTableService(listener.url(), kDeadline);
    auto objects = MakeHttpObjectStore(listener.url(), kDeadline);
    auto list = MakeHttpInstanceList(listener.url(), kDeadline);
    listener.Stop();
    CheckCode("transact", kServiceUnavailable,
              table->Transact(Put("k", "v", 0)).status());
    CheckCode("get", kServiceUnavailable, table->Get("t", "k").status());
    CheckCode("scan", kServiceUnavailable,
              table->Scan("t", "", "", 5).status());
    CheckCode("put", kServiceUnavailable,
              objects->PutObject("o", "bytes", true));
    CheckCode("get object", kServiceUnavailable,
              objects->GetObject("o").status());
    CheckCode("list", kServiceUnavailable, list->List().status());
  }

  // Guards against opening a connection for every call.
  void ConnectionIsReused() {
    StoreListener listener;
    auto table = MakeHttpTableService(listener.url(), kDeadline);
    const auto start = std::chrono::steady_clock::now();
    constexpr int kCalls = 200;
    for (int i = 0; i < kCalls; ++i)
      CPPUNIT_ASSERT(table->Transact(Put("k", "v", i)).ok());
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    std::cout << " write over loopback: " << elapsed.count() / kCalls
              << " us\n";
    CPPUNIT_ASSERT(listener.connections() <= 2);
  }

  // Guards against an exception for a key that is not UTF-8.
  void InvalidUtf8IsNotSent() {
    StoreListener listener;
    auto table = MakeHttpTableService(listener.url(), kDeadline);
    CheckCode("key", Code::kInvalidArgument,
              table->Transact(Put("\xff\xfe", "v", 0)).status());
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, listener.store().calls());
  }

  // Guards against using a listing of which a part is malformed, and against
  // treating an unknown state as live.
  void InstancesAreParsed() {
    StoreListener listener;
    auto list = MakeHttpInstanceList(listener.url(), kDeadline);
    listener.SetInstances(R"({"version": 7, "instances": [
      {"id": "e1", "role": "engine", "state": "live", "data_center": "regina",
       "address": "127.0.0.1:80", "model": "m", "layers": [8, 16],
       "model_layers": 32, "speed": 40.5, "checks_epochs": false},
      {"id": "s1", "role": "service", "state": "new", "address": "a:1",
       "service": "records"}]})");
    const auto listing = list->List();
    CPPUNIT_ASSERT(listing.ok());
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, listing->version);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, listing->instances.size());
    const InstanceRecord& engine = listing->instances[0];
    CPPUNIT_ASSERT(engine.state == InstanceState::kLive);
    CPPUNIT_ASSERT_EQUAL(8, engine.first_layer);
    CPPUNIT_ASSERT_EQUAL(16, engine.end_layer);
    CPPUNIT_ASSERT(!engine.checks_epochs);
    CPPUNIT_ASSERT(listing->instances[1].state == InstanceState::kLeaving);
    for (const char* bad : {"{", "[]", R"({"version": 1})",
                            R"({"version": 1, "instances": [{"id": 3}]})"}) {
      listener.SetInstances(bad);
      CheckCode(bad, kServiceUnavailable, list->List().status());
    }
  }

 private:
  static void CheckCode(const std::string& what,
                        Code wanted,
                        const absl::Status& got) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what + ": " + got.ToString(),
                                 static_cast<int>(wanted),
                                 static_cast<int>(got.code()));
  }

  static void ForEachSubject(StoreListener& listener,
                             const std::function<void(const Subject&)>& run) {
    FakeStore fake;
    run({"fake", &fake, &fake, &fake});
    auto table = MakeHttpTableService(listener.url(), kDeadline);
    auto objects = MakeHttpObjectStore(listener.url(), kDeadline);
    run({"http", &listener.store(), table.get(), objects.get()});
  }

  static void CheckRows(const Subject& subject) {
    TableService& table = *subject.table;
    const std::string key = "a/b%2F c?d&e=f#g+h\"\xc3\xa9";
    CheckCode("absent", Code::kNotFound, table.Get("t", key).status());
    CPPUNIT_ASSERT(table.Transact(Put(key, "one", 0)).value() ==
                   std::vector<int64_t>{1});
    CheckCode("inserted twice", Code::kFailedPrecondition,
              table.Transact(Put(key, "two", 0)).status());
    CPPUNIT_ASSERT(table.Get("t", key).value() == (StoreRow{key, "one", 1}));
    // One failed check prevents every put.
    StoreTransaction both = Put(key, "two", 1);
    both.checks.push_back({"t", "other", 4});
    both.puts.push_back({"t", "other", "x", false});
    CheckCode("half", Code::kFailedPrecondition, table.Transact(both).status());
    CheckCode("other", Code::kNotFound, table.Get("t", "other").status());
    const StoreTransaction erase{{{"t", key, 1}}, {{"t", key, "", true}}};
    CPPUNIT_ASSERT(table.Transact(erase).value() == std::vector<int64_t>{0});
    // A version seen before the erase must not match the new row.
    CPPUNIT_ASSERT(table.Transact(Put(key, "three", 0)).value() ==
                   std::vector<int64_t>{2});
  }

  static void CheckScan(const Subject& subject) {
    for (const char* key : {"p/2", "p/1", "p/3", "q/1", "p"})
      CPPUNIT_ASSERT(subject.table->Transact(Put(key, key, 0)).ok());
    const auto keys = [&](const std::string& after, int limit) {
      std::string out;
      const auto rows = subject.table->Scan("t", "p/", after, limit);
      CPPUNIT_ASSERT(rows.ok());
      for (const StoreRow& row : *rows)
        out += row.key + " ";
      return out;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("p/1 p/2 p/3 "), keys("", 10));
    CPPUNIT_ASSERT_EQUAL(std::string("p/2 "), keys("p/1", 1));
    CPPUNIT_ASSERT_EQUAL(std::string(), keys("p/3", 10));
  }

  static void CheckObjects(const Subject& subject) {
    ObjectStore& objects = *subject.objects;
    const std::string name = "jobs/a b/1";
    std::string bytes("\0\xff\r\n", 4);
    bytes.append(300'000, 'x');
    CheckCode("absent", Code::kNotFound, objects.GetObject(name).status());
    CPPUNIT_ASSERT(objects.PutObject(name, bytes, true).ok());
    CPPUNIT_ASSERT(objects.GetObject(name).value() == bytes);
    CheckCode("exists", Code::kFailedPrecondition,
              objects.PutObject(name, "other", true));
    CPPUNIT_ASSERT(objects.PutObject(name, "", false).ok());
    CPPUNIT_ASSERT_EQUAL(std::string(), objects.GetObject(name).value());
  }

  static void RunFaultCase(const FaultCase& c,
                           const Subject& subject,
                           const std::function<void(bool)>& set_fault) {
    const std::string where = subject.name + ", " + c.name;
    CPPUNIT_ASSERT(subject.table->Transact(Put("old", "v", 0)).ok());
    CPPUNIT_ASSERT(subject.objects->PutObject("old", "v", true).ok());
    set_fault(true);
    const auto start = std::chrono::steady_clock::now();
    CheckCode(where + ", transact", c.write,
              subject.table->Transact(Put("new", "v", 0)).status());
    // Only the status of a put matters: its response has no body to corrupt.
    const absl::Status put = subject.objects->PutObject("new", "v", true);
    if (c.listener_fault != ListenerFault::kGarbageBody)
      CheckCode(where + ", put", c.write, put);
    CheckCode(where + ", get", c.read, subject.table->Get("t", "old").status());
    CheckCode(where + ", scan", c.read,
              subject.table->Scan("t", "", "", 9).status());
    const auto object = subject.objects->GetObject("old");
    if (c.listener_fault != ListenerFault::kGarbageBody)
      CheckCode(where + ", get object", c.read, object.status());
    // Five calls, and 2 s of slack for a busy machine.
    CPPUNIT_ASSERT_MESSAGE(where, std::chrono::steady_clock::now() - start <
                                      kDeadline * 5 + std::chrono::seconds(2));
    set_fault(false);
    const bool applied = c.applied == Applied::kYes;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(where, applied,
                                 subject.state->Get("t", "new").ok());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(where, applied,
                                 subject.state->GetObject("new").ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);

}  // namespace
}  // namespace trefoilwick
