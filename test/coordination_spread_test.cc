// Server list, loads and configuration among 300 instances before 3,000
// servers, with links that lose and delay messages.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "coordination_harness.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kLarge = 300;
constexpr int kSmall = 30;
constexpr int kServersPerInstance = 10;
constexpr double kLinkMbps = 200;

void AddServers(Cluster& cluster, int count) {
  for (int i = 0; i < count; ++i) {
    BackendServer server = Server("server-" + std::to_string(i));
    server.address = "10.2." + std::to_string(i / 250) + "." +
                     std::to_string(i % 250) + ":8080";
    server.data_center = i % 3 == 0   ? "regina"
                         : i % 3 == 1 ? "brandon"
                                      : "sofia";
    server.kind = "fast";
    server.layers = LayerRange{i % 40, i % 40 + 40};
    server.start_unix_ms = 1'700'000'000'000 + i * 7919;
    cluster.store().servers[server.id] = server;
  }
}

void ChangeServer(Cluster& cluster, const std::string& id) {
  ++cluster.store().version;
  BackendServer& server = cluster.store().servers.at(id);
  server.state = server.state == ServerState::kReady ? ServerState::kDraining
                                                     : ServerState::kReady;
}

// True when all instances have the list of the store.
bool HaveList(Cluster& cluster, int instances) {
  for (int i = 0; i < instances; ++i)
    if (*cluster.NodeAt(i).coordination->listed_servers() !=
        cluster.store().servers)
      return false;
  return true;
}

template <typename Condition>
Duration TimeUntil(Cluster& cluster, Duration limit, Condition condition) {
  const TimePoint start = cluster.now();
  while (cluster.now() - start < limit && !condition())
    cluster.RunFor(milliseconds(50));
  return cluster.now() - start;
}

class CoordinationSpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinationSpreadTest);
  CPPUNIT_TEST(BytesOfInstanceDoNotGrowWithInstances);
  CPPUNIT_TEST(ListAndConfigurationArriveDespiteLoss);
  CPPUNIT_TEST(ChangesAreSentInPlaceOfLists);
  CPPUNIT_TEST(ConfigurationPrecedesListOnLink);
  CPPUNIT_TEST(LoadsOfOtherDataCentersAreKept);
  CPPUNIT_TEST(ListIsReadWithoutHeartbeats);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Received by the median instance in a second in which each instance has
  // work on `kServersPerInstance` servers and one server changes.
  static size_t MedianBytes(int instances) {
    Cluster cluster(instances, kLinkMbps);
    const int servers = instances * kServersPerInstance;
    AddServers(cluster, servers);
    cluster.RunFor(seconds(3));
    CPPUNIT_ASSERT(HaveList(cluster, instances));
    for (int i = 0; i < instances; ++i) {
      LoadMap loads;
      for (int k = 0; k < kServersPerInstance; ++k)
        loads["server-" + std::to_string((i * 10 + k) % servers)] = {5000, 3};
      cluster.NodeAt(i).coordination->SetLocalLoads(loads);
    }
    cluster.RunFor(seconds(1));
    cluster.received_bytes.clear();
    for (int i = 0; i < 2; ++i) {
      ChangeServer(cluster, "server-" + std::to_string(i));
      cluster.RunFor(seconds(1));
    }
    std::vector<size_t> bytes;
    for (const auto& [ip, types] : cluster.received_bytes) {
      size_t& sum = bytes.emplace_back();
      for (const auto& [type, count] : types)
        sum += count / 2;
    }
    std::sort(bytes.begin(), bytes.end());
    CPPUNIT_ASSERT(cluster.max_datagram_bytes < detail::kMaxDatagramBytes);
    return bytes.at(bytes.size() / 2);
  }

  // 931 KB/s at 300 instances, 28 KB/s at 32: the whole list was sent or read
  // at each change, and all loads in each heartbeat.
  void BytesOfInstanceDoNotGrowWithInstances() {
    const size_t small = MedianBytes(kSmall);
    const size_t large = MedianBytes(kLarge);
    std::cerr << "bytes " << small << " " << large << "\n";
    // 6 times with all loads in each heartbeat, and more with whole lists.
    CPPUNIT_ASSERT(large <= 3 * small);
  }

  void ListAndConfigurationArriveDespiteLoss() {
    Cluster cluster(kLarge, kLinkMbps);
    cluster.loss_percent = 5;
    cluster.late_percent = 5;
    AddServers(cluster, kLarge * kServersPerInstance);
    // Longer than the election at a start of all.
    cluster.RunFor(seconds(8));
    CPPUNIT_ASSERT(HaveList(cluster, kLarge));
    const int list_reads = cluster.store().list_reads;
    const int config_reads = cluster.store().config_reads;
    ChangeServer(cluster, "server-7");
    cluster.store().config_version = 2;
    cluster.InstallConfiguration(
        cluster.NodeAt(cluster.IndexOf(cluster.Coordinator())), 2);
    const Duration time = TimeUntil(cluster, seconds(10), [&] {
      for (int i = 0; i < kLarge; ++i)
        if (cluster.NodeAt(i).config_version < 2)
          return false;
      return HaveList(cluster, kLarge);
    });
    std::cerr << "loss " << time.count() << " reads "
              << cluster.store().list_reads - list_reads << " "
              << cluster.store().config_reads - config_reads << "\n";
    CPPUNIT_ASSERT(time <= seconds(3));
    // The coordinator reads the list every 0.65 s.
    CPPUNIT_ASSERT(cluster.store().list_reads - list_reads <= 10);
    // Those that the message did not reach: a tenth of the instances, and a
    // margin.
    CPPUNIT_ASSERT(cluster.store().config_reads - config_reads <= 60);
  }

  // A list of 3,000 servers did not fit into a datagram, so that each instance
  // read it from the store.
  void ChangesAreSentInPlaceOfLists() {
    Cluster cluster(kSmall, kLinkMbps);
    AddServers(cluster, kLarge * kServersPerInstance);
    cluster.RunFor(seconds(4));
    const int list_reads = cluster.store().list_reads;
    cluster.received_bytes.clear();
    ChangeServer(cluster, "server-3");
    cluster.store().servers.erase("server-4");
    const Duration time = TimeUntil(cluster, seconds(10),
                                    [&] { return HaveList(cluster, kSmall); });
    CPPUNIT_ASSERT(time <= milliseconds(1000));
    for (auto& [ip, types] : cluster.received_bytes) {
      CPPUNIT_ASSERT(types[PeerMessageType::kListChanges] < 500);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, types[PeerMessageType::kServerList]);
    }
    // An instance that was away for longer than changes are kept.
    const int away = cluster.Coordinator() == Cluster::NodeIp(0) ? 1 : 0;
    cluster.NodeAt(away).links_up = false;
    cluster.NodeAt(away).store_reachable = false;
    for (int i = 0; i < 20; ++i) {
      ChangeServer(cluster, "server-" + std::to_string(i + 10));
      cluster.RunFor(milliseconds(700));
    }
    cluster.NodeAt(away).links_up = true;
    cluster.received_bytes.clear();
    const Duration whole_time = TimeUntil(
        cluster, seconds(10), [&] { return HaveList(cluster, kSmall); });
    CPPUNIT_ASSERT(whole_time <= seconds(3));
    CPPUNIT_ASSERT(cluster.received_bytes[Cluster::NodeIp(
                       away)][PeerMessageType::kServerList] > 10'000);
    std::cerr << "changes " << time.count() << " whole " << whole_time.count()
              << " "
              << cluster.received_bytes[Cluster::NodeIp(away)]
                                       [PeerMessageType::kServerList]
              << "\n";
    // By the coordinator and by the instance that was away.
    CPPUNIT_ASSERT(cluster.store().list_reads - list_reads <= 60);
  }

  // A configuration came 3.7 s after its acknowledgement: it waited for lists
  // and heartbeats on the coordinator's link.
  void ConfigurationPrecedesListOnLink() {
    const TimePoint start{seconds(100)};
    Coordination coordination = Coordination::Builder()
                                    .SetAddress("10.0.0.1", "regina")
                                    .SetLinkRate(kLinkMbps)
                                    .SetIncarnation(1)
                                    .Build(start);
    LeaseRow lease;
    lease.holder_ip = "10.0.0.1";
    lease.fencing_token = 1;
    lease.row_version = 1;
    coordination.OnLeaseWritten(start, LeaseWriteResult::kWritten, lease);
    Random random(3);
    std::string row;
    for (int i = 0; i < 50'000; ++i)
      row += static_cast<char>(random.UniformBelow(256));
    Cluster servers(1);
    AddServers(servers, kLarge * kServersPerInstance);
    coordination.OnServerList(start, start, 5, servers.store().servers);
    coordination.OnConfigurationApplied(start, 7, row);
    std::set<std::string> configured;
    double bytes = 0;
    for (Duration time{0}; time < seconds(3); time += milliseconds(50)) {
      const TimePoint now = start + time;
      for (int i = 2; i < kLarge + 2; ++i) {
        detail::InstanceReport report;
        report.member.ip = Cluster::NodeIp(i);
        report.member.data_center = "regina";
        report.config_version = configured.contains(report.member.ip) ? 7 : 1;
        coordination.OnDatagram(now, detail::EncodeReport(report, {}));
      }
      coordination.OnTick(now);
      for (const auto& action : coordination.TakeActions())
        if (const auto* datagram = std::get_if<SendDatagram>(&action)) {
          bytes += static_cast<double>(datagram->bytes.size());
          if (datagram->type == PeerMessageType::kConfiguration)
            configured.insert(datagram->ip);
        }
    }
    std::cerr << "link " << configured.size() << " " << bytes / 3e6 << "\n";
    CPPUNIT_ASSERT_EQUAL(size_t{kLarge}, configured.size());
    // Four fifths of the link, and a burst of each kind.
    CPPUNIT_ASSERT(bytes <= kLinkMbps * 1e6 / 8 * (0.8 * 3 + 0.3));
  }

  // Loads of other data centers are in every fourth heartbeat only.
  void LoadsOfOtherDataCentersAreKept() {
    Cluster cluster(6);
    AddServers(cluster, 6);
    cluster.RunFor(seconds(4));
    for (int i = 0; i < 6; ++i)
      cluster.NodeAt(i).coordination->SetLocalLoads(
          {{"server-0", {1000, 1}}, {"server-1", {1000, 1}}});
    cluster.RunFor(seconds(2));
    for (int step = 0; step < 40; ++step) {
      cluster.RunFor(milliseconds(50));
      for (int i = 0; i < 6; ++i) {
        LoadMap loads = cluster.NodeAt(i).coordination->Loads(cluster.now());
        CPPUNIT_ASSERT_EQUAL(6, loads["server-0"].sequences);
        CPPUNIT_ASSERT_EQUAL(6, loads["server-1"].sequences);
      }
    }
    for (int i = 0; i < 6; ++i)
      cluster.NodeAt(i).coordination->SetLocalLoads({});
    cluster.RunFor(milliseconds(1600));
    for (int i = 0; i < 6; ++i)
      for (const auto& [id, load] :
           cluster.NodeAt(i).coordination->Loads(cluster.now()))
        CPPUNIT_ASSERT_EQUAL(0, load.sequences);
  }

  // The wait for the parts of a list must not keep an instance that hears
  // nothing from reading it.
  void ListIsReadWithoutHeartbeats() {
    Cluster cluster(6);
    AddServers(cluster, 6);
    cluster.RunFor(seconds(4));
    const int away = cluster.Coordinator() == Cluster::NodeIp(0) ? 1 : 0;
    cluster.NodeAt(away).links_up = false;
    ChangeServer(cluster, "server-3");
    CPPUNIT_ASSERT(TimeUntil(cluster, seconds(10), [&] {
                     return HaveList(cluster, 6);
                   }) <= milliseconds(2500));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationSpreadTest);

}  // namespace
}  // namespace trefoilwick
