#include "trefoilwick/placement_orders.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr Duration kStep = milliseconds(10);
constexpr Duration kLoadTime = milliseconds(1400);
constexpr LayerRange kLayers{0, 8};

// A server that begins an order only with the number of orders that it has
// begun so far.
struct SimulatedServer {
  int64_t order_seq = 0;
  std::optional<LayerRange> layers;
  std::optional<LayerRange> loading;
  TimePoint loaded_at;
  // Orders that were refused, and those that arrived during a load.
  int refused = 0;
  int repeated = 0;
  int sent = 0;

  void Update(TimePoint now) {
    if (loading && loaded_at <= now)
      layers = std::exchange(loading, std::nullopt);
  }
  bool Place(TimePoint now, const SendOrderCall& call, Duration load_time) {
    Update(now);
    ++sent;
    repeated += loading ? 1 : 0;
    if (call.order_seq != order_seq) {
      ++refused;
      return false;
    }
    ++order_seq;
    loading = call.layers;
    loaded_at = now + load_time;
    return true;
  }
  OrderReport Report(TimePoint now) {
    Update(now);
    return {order_seq, loading.has_value(), layers};
  }
};

std::string Id(int i) {
  return "s" + std::to_string(10'000 + i);
}

// A coordinator and its servers. Each answer arrives one step after the call.
class Simulation {
 public:
  explicit Simulation(int count) {
    for (int i = 0; i < count; ++i)
      m_servers[Id(i)];
  }

  void IssueAll() {
    for (const auto& [id, server] : m_servers)
      Issue(id);
  }
  void Issue(const std::string& id) {
    m_orders.Issue({{id, kLayers}, 0, m_now, kLoadTime, 6});
  }

  void Step() {
    m_orders.Expire(m_now);
    const std::vector<PlacementCall> calls = m_orders.TakeDueCalls(m_now);
    max_in_progress = std::max(max_in_progress, m_orders.calls_in_progress());
    for (const PlacementCall& call : calls) {
      if (const auto* order = std::get_if<SendOrderCall>(&call)) {
        // The answer is lost, the order arrives.
        const bool accepted =
            m_servers.at(order->call.server).Place(m_now, *order, load_time);
        m_orders.OnOrderResult(m_now + kStep, order->call,
                               std::exchange(lose_next_answer, false)
                                   ? SentOrderResult::kUnanswered
                               : accepted ? SentOrderResult::kAccepted
                                          : SentOrderResult::kRefused);
      } else {
        const OrderCall& report = std::get<RequestReportCall>(call).call;
        ++reports;
        m_orders.OnReport(m_now + kStep, report,
                          m_servers.at(report.server).Report(m_now));
      }
    }
    m_now += kStep;
  }
  void Run(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end;)
      Step();
  }

  SimulatedServer& server(int i) { return m_servers.at(Id(i)); }
  PlacementOrders& orders() { return m_orders; }
  TimePoint now() const { return m_now; }
  template <typename Member>
  int Sum(Member member) const {
    int sum = 0;
    for (const auto& [id, server] : m_servers)
      sum += server.*member;
    return sum;
  }

  Duration load_time = kLoadTime;
  bool lose_next_answer = false;
  size_t max_in_progress = 0;
  int reports = 0;

 private:
  std::map<std::string, SimulatedServer> m_servers;
  PlacementOrders m_orders;
  TimePoint m_now = kStart;
};

class PlacementOrdersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementOrdersTest);
  CPPUNIT_TEST(NewCoordinatorUsesNumbersOfServers);
  CPPUNIT_TEST(CallsInProgressAreBounded);
  CPPUNIT_TEST(LoadingServersAreNotSentAnotherOrder);
  CPPUNIT_TEST(OrderWithLostAnswerIsNotRepeated);
  CPPUNIT_TEST(BusyServerIsWaitedFor);
  CPPUNIT_TEST(DroppedOrderEnds);
  CPPUNIT_TEST(LateResultsOfAnEarlierTermAreIgnored);
  CPPUNIT_TEST(RestartedServerLosesItsOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A new coordinator took the numbers of all servers to be 0: those that had
  // begun orders refused its first one.
  void NewCoordinatorUsesNumbersOfServers() {
    Simulation simulation(300);
    for (int i = 0; i < 300; i += 2)
      simulation.server(i).order_seq = 1 + i % 5;
    simulation.IssueAll();
    simulation.Run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, simulation.Sum(&SimulatedServer::refused));
    CPPUNIT_ASSERT_EQUAL(300, simulation.Sum(&SimulatedServer::sent));
    CPPUNIT_ASSERT(simulation.orders().Layers().empty());
  }

  // Calls to 3,000 servers at once timed out while they waited for each other.
  void CallsInProgressAreBounded() {
    Simulation simulation(3'000);
    simulation.IssueAll();
    simulation.Run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(PlacementOrders::kMaxCallsInProgress,
                         simulation.max_in_progress);
    CPPUNIT_ASSERT(simulation.orders().Layers().empty());
    // One to read the number, and one after the load.
    CPPUNIT_ASSERT(simulation.reports <= 3 * 3'000);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, simulation.orders().calls_in_progress());
  }

  // After 4 s orders were issued again to servers that still loaded, and the
  // servers refused them.
  void LoadingServersAreNotSentAnotherOrder() {
    Simulation simulation(60);
    simulation.load_time = seconds(9);
    simulation.IssueAll();
    simulation.Run(seconds(12));
    CPPUNIT_ASSERT_EQUAL(0, simulation.Sum(&SimulatedServer::repeated));
    CPPUNIT_ASSERT_EQUAL(60, simulation.Sum(&SimulatedServer::sent));
    CPPUNIT_ASSERT(simulation.orders().Layers().empty());
  }

  // Guards against the refusal of the second copy of an order that arrived.
  void OrderWithLostAnswerIsNotRepeated() {
    Simulation simulation(1);
    simulation.lose_next_answer = true;
    simulation.IssueAll();
    simulation.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(1, simulation.server(0).sent);
    CPPUNIT_ASSERT(simulation.orders().Layers().empty());
  }

  // The order of an earlier coordinator is carried out first.
  void BusyServerIsWaitedFor() {
    Simulation simulation(1);
    SimulatedServer& server = simulation.server(0);
    server.order_seq = 1;
    server.loading = LayerRange{8, 16};
    server.loaded_at = kStart + seconds(1);
    simulation.IssueAll();
    simulation.Run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(1, server.sent);
    CPPUNIT_ASSERT_EQUAL(0, server.repeated + server.refused);
    CPPUNIT_ASSERT(server.layers == kLayers);
  }

  // Guards against waiting for a server that has given up its load.
  void DroppedOrderEnds() {
    Simulation simulation(1);
    simulation.IssueAll();
    simulation.Run(milliseconds(200));
    simulation.server(0).loading.reset();
    simulation.Run(seconds(2));
    CPPUNIT_ASSERT(simulation.orders().Layers().empty());
  }

  // Guards against a result that ends the call of a newer order, and against
  // calls that count as in progress for ever.
  void LateResultsOfAnEarlierTermAreIgnored() {
    PlacementOrders orders;
    orders.Issue({{"a", kLayers}, 0, kStart, kLoadTime, 6});
    const auto calls = orders.TakeDueCalls(kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, calls.size());
    orders.Clear();
    orders.Issue({{"a", {8, 16}}, 0, kStart, kLoadTime, 6});
    CPPUNIT_ASSERT(!orders.OnReport(kStart,
                                    std::get<RequestReportCall>(calls[0]).call,
                                    OrderReport{0, false, LayerRange{8, 16}}));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, orders.Layers().size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, orders.calls_in_progress());
  }

  // A server that starts again is empty: it waited for the end of the load that
  // its earlier process had begun.
  void RestartedServerLosesItsOrder() {
    PlacementOrders orders;
    orders.Issue({{"a", kLayers}, 7, kStart, kLoadTime, 6});
    ServerMap listed;
    listed["a"].id = "a";
    listed["a"].start_unix_ms = 7;
    orders.OnServerList(listed);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, orders.Layers().size());
    listed["a"].start_unix_ms = 8;
    orders.OnServerList(listed);
    CPPUNIT_ASSERT(orders.Layers().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementOrdersTest);

}  // namespace
}  // namespace trefoilwick
