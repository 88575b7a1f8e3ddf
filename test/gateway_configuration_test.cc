// Reads of the configuration by one instance.
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "gateway_configuration.h"

namespace trefoilwick::detail {
namespace {

using std::chrono::milliseconds;

std::shared_ptr<const RouteTable> Table(int64_t version) {
  return std::make_shared<const RouteTable>(
      RouteTable::Builder(version).Build());
}

// A store whose calls end when the test says so.
class ManualStore final : public ClusterStore {
 public:
  std::deque<ConfigurationHandler> reads;
  std::deque<ConfigurationWatchHandler> watches;

  void EndRead(const ConfigurationResponse& response) {
    const ConfigurationHandler handler = std::move(reads.front());
    reads.pop_front();
    handler(response);
  }
  void EndWatch(const ConfigurationWatchResult& result) {
    const ConfigurationWatchHandler handler = std::move(watches.front());
    watches.pop_front();
    handler(result);
  }

  void ReadConfiguration(ConfigurationHandler handler) override {
    reads.push_back(std::move(handler));
  }
  void WatchConfiguration(Duration,
                          ConfigurationWatchHandler handler) override {
    watches.push_back(std::move(handler));
  }
  void ReadLease(std::function<void(std::optional<LeaseRow>)>) override {}
  void WriteLease(const LeaseRow&,
                  StorePosition,
                  std::function<void(LeaseWriteResult, LeaseRow)>) override {}
  void ReadServers(ServerListHandler) override {}
  const std::string& ConfigurationRow() const override { return m_row; }
  std::shared_ptr<const RouteTable> ApplyConfigurationRow(
      const std::string&) override {
    return nullptr;
  }
  void DropConnections() override {}
  uint64_t MissingBytes() const override { return 0; }

 private:
  std::string m_row;
};

class Instance final : public ConfigurationOwner {
 public:
  bool is_told = false;
  int64_t version = 0;
  int changes = 0;
  int failures = 0;

  bool IsCoordinator() const override { return !is_told; }
  bool IsToldOfChanges() const override { return is_told; }
  int64_t ConfigurationVersion() const override { return version; }
  void OnConfigurationChanging() override { ++changes; }
  void OnConfigurationResponse(const ConfigurationResponse& response) override {
    if (!response)
      ++failures;
    else if (*response)
      version = std::max(version, (*response)->version());
  }
};

class GatewayConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayConfigurationTest);
  CPPUNIT_TEST(AnnouncementsDuringReadStartNoOther);
  CPPUNIT_TEST(NewerVersionIsReadAfterTheOneInProgress);
  CPPUNIT_TEST(UnnamedChangeIsReadAfterTheReadInProgress);
  CPPUNIT_TEST(FailedReadIsNotRepeatedAtOnce);
  CPPUNIT_TEST(WatchThatCannotTellIsFollowedByRead);
  CPPUNIT_TEST(UnknownChangeIsNotAnnounced);
  CPPUNIT_TEST(WatchGoesOnAfterTheLastOfSeveralReads);
  CPPUNIT_TEST(WatchTriesAgainAfterFailures);
  CPPUNIT_TEST(InstanceThatIsToldDoesNotWatch);
  CPPUNIT_TEST_SUITE_END();

  void RunFor(milliseconds time) {
    m_io.restart();
    m_io.run_for(time);
  }

  boost::asio::io_context m_io;
  ManualStore m_store;
  Instance m_instance;
  ConfigurationReader m_reader{m_io, &m_store, &m_instance};

 public:
  // A read that took longer than the time between announcements was joined by
  // more and more others, and all of them shared a slow link.
  void AnnouncementsDuringReadStartNoOther() {
    for (int i = 0; i < 10; ++i)
      m_reader.Read(7);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.reads.size());
    m_store.EndRead(Table(7));
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, m_instance.version);
    CPPUNIT_ASSERT(m_store.reads.empty());
  }

  // Guards against missing the version behind the one that is being read.
  void NewerVersionIsReadAfterTheOneInProgress() {
    m_reader.Read(7);
    m_reader.Read(9);
    m_reader.Read(8);
    m_store.EndRead(Table(7));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.reads.size());
    m_store.EndRead(Table(9));
    CPPUNIT_ASSERT_EQUAL(int64_t{9}, m_instance.version);
    CPPUNIT_ASSERT(m_store.reads.empty());
  }

  // The store may have answered the read in progress before the change.
  void UnnamedChangeIsReadAfterTheReadInProgress() {
    m_reader.Read(7);
    m_reader.Read(0);
    m_reader.Read(7);
    m_store.EndRead(Table(7));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.reads.size());
  }

  // Guards against calling a store without pause that does not respond.
  void FailedReadIsNotRepeatedAtOnce() {
    m_reader.Read(7);
    m_reader.Read(0);
    m_store.EndRead(std::nullopt);
    CPPUNIT_ASSERT_EQUAL(1, m_instance.failures);
    CPPUNIT_ASSERT(m_store.reads.empty());
  }

  void WatchThatCannotTellIsFollowedByRead() {
    m_reader.Start();
    m_store.EndWatch(MustReadConfiguration{.has_changed = true});
    CPPUNIT_ASSERT_EQUAL(1, m_instance.changes);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.reads.size());
    CPPUNIT_ASSERT(m_store.watches.empty());
    m_store.EndRead(Table(7));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.watches.size());
    m_store.EndWatch(WatchedConfiguration{Table(8)});
    CPPUNIT_ASSERT_EQUAL(int64_t{8}, m_instance.version);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.watches.size());
  }

  // Guards against reads by all instances each time that a coordinator begins,
  // whose watch is older than the history of the store.
  void UnknownChangeIsNotAnnounced() {
    m_reader.Start();
    m_store.EndWatch(MustReadConfiguration{});
    CPPUNIT_ASSERT_EQUAL(0, m_instance.changes);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.reads.size());
  }

  // A watch from before the change would find it again and again.
  void WatchGoesOnAfterTheLastOfSeveralReads() {
    m_reader.Start();
    m_reader.Read(7);
    m_store.EndWatch(MustReadConfiguration{});
    m_store.EndRead(Table(7));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.reads.size());
    CPPUNIT_ASSERT(m_store.watches.empty());
    m_store.EndRead(Table(8));
    CPPUNIT_ASSERT(m_store.reads.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.watches.size());
  }

  // A short read follows, which shows sooner that the store is back.
  void WatchTriesAgainAfterFailures() {
    m_reader.Start();
    m_store.EndWatch(StoreUnavailable{});
    CPPUNIT_ASSERT_EQUAL(1, m_instance.failures);
    for (int i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(m_store.reads.empty());
      RunFor(milliseconds(600));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.reads.size());
      m_store.EndRead(std::nullopt);
    }
    RunFor(milliseconds(600));
    m_store.EndRead(Table(7));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.watches.size());
  }

  void InstanceThatIsToldDoesNotWatch() {
    m_instance.is_told = true;
    m_reader.Start();
    RunFor(milliseconds(300));
    CPPUNIT_ASSERT(m_store.watches.empty() && m_store.reads.empty());
    m_instance.is_told = false;
    RunFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_store.watches.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayConfigurationTest);

}  // namespace
}  // namespace trefoilwick::detail
