#include "trefoilwick/server_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BackendServer Server(const std::string& id,
                     int64_t start_unix_ms = 1,
                     ServerState state = ServerState::kReady) {
  BackendServer server;
  server.id = id;
  server.start_unix_ms = start_unix_ms;
  server.state = state;
  return server;
}

ServerMap List(const std::vector<BackendServer>& servers) {
  ServerMap list;
  for (const BackendServer& server : servers)
    list[server.id] = server;
  return list;
}

std::string Ids(const ServerMap& servers) {
  std::string ids;
  for (const auto& [id, server] : servers)
    ids += id + (server.state == ServerState::kDraining ? "* " : " ");
  return ids;
}

class ServerListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerListTest);
  CPPUNIT_TEST(PositionsCompareByEraFirst);
  CPPUNIT_TEST(ListsOfOneEraAreUsedAsRead);
  CPPUNIT_TEST(ServerWithoutRowStaysUntilTheListSettles);
  CPPUNIT_TEST(ServerWhoseRowIsBackMayLeave);
  CPPUNIT_TEST(DrainingServerIsNotReadyAgain);
  CPPUNIT_TEST(EndedServerIsNotUsedAgain);
  CPPUNIT_TEST(RestartedServerIsNotReplacedByItsOldRow);
  CPPUNIT_TEST(TwoErasInARowLoseNoServer);
  CPPUNIT_TEST(ServerThatIsListedAgainHasNotEnded);
  CPPUNIT_TEST_SUITE_END();

  // Result of a list that is read `after` the last one.
  std::string Update(Duration after,
                     int64_t era,
                     const std::vector<BackendServer>& servers) {
    m_now += after;
    return Ids(m_history.Update(m_now, era, List(servers)));
  }

  TimePoint m_now{seconds(1000)};
  ServerListHistory m_history;

 public:
  // A version that is given out twice names two positions.
  void PositionsCompareByEraFirst() {
    using P = StorePosition;
    CPPUNIT_ASSERT((P{1, 900} < P{2, 300}));
    CPPUNIT_ASSERT((P{2, 300} < P{2, 301}));
    CPPUNIT_ASSERT((P{1, 300} != P{2, 300}));
  }

  void ListsOfOneEraAreUsedAsRead() {
    CPPUNIT_ASSERT_EQUAL(std::string("a b "),
                         Update({}, 1, {Server("a"), Server("b")}));
    CPPUNIT_ASSERT_EQUAL(std::string("b "),
                         Update(seconds(1), 1, {Server("b")}));
    CPPUNIT_ASSERT_EQUAL(std::string("a b "),
                         Update(seconds(1), 1, {Server("a"), Server("b")}));
  }

  // Servers that had registered after the copy was taken were dropped while
  // they served.
  void ServerWithoutRowStaysUntilTheListSettles() {
    Update({}, 1, {Server("a"), Server("b")});
    CPPUNIT_ASSERT_EQUAL(std::string("a b "),
                         Update(seconds(1), 2, {Server("a")}));
    CPPUNIT_ASSERT_EQUAL(std::string("a b "),
                         Update(seconds(2), 2, {Server("a")}));
    CPPUNIT_ASSERT_EQUAL(std::string("a "),
                         Update(milliseconds(500), 2, {Server("a")}));
  }

  // Guards against keeping a server that leaves while the list settles.
  void ServerWhoseRowIsBackMayLeave() {
    Update({}, 1, {Server("a"), Server("b")});
    CPPUNIT_ASSERT_EQUAL(std::string("a b "),
                         Update(seconds(1), 2, {Server("a"), Server("b")}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("a b* "),
        Update(milliseconds(500), 2,
               {Server("a"), Server("b", 1, ServerState::kDraining)}));
    CPPUNIT_ASSERT_EQUAL(std::string("a "),
                         Update(milliseconds(500), 2, {Server("a")}));
  }

  // Its row in the copy is older than its notice.
  void DrainingServerIsNotReadyAgain() {
    Update({}, 1, {Server("a"), Server("b", 1, ServerState::kDraining)});
    CPPUNIT_ASSERT_EQUAL(std::string("a b* "),
                         Update(seconds(1), 2, {Server("a"), Server("b")}));
    // Another process of the same id.
    CPPUNIT_ASSERT_EQUAL(std::string("a b "),
                         Update(seconds(1), 2, {Server("a"), Server("b", 5)}));
  }

  // Rows of servers that had ended since the copy were back as ready.
  void EndedServerIsNotUsedAgain() {
    Update({}, 1, {Server("a"), Server("b")});
    Update(seconds(1), 1, {Server("a")});
    CPPUNIT_ASSERT_EQUAL(std::string("a "),
                         Update(seconds(1), 2, {Server("a"), Server("b")}));
    CPPUNIT_ASSERT_EQUAL(std::string("a "),
                         Update(seconds(4), 2, {Server("a"), Server("b")}));
    // It started again.
    CPPUNIT_ASSERT_EQUAL(std::string("a b "),
                         Update(seconds(1), 2, {Server("a"), Server("b", 7)}));
    // The platform has dropped the rows of ended servers by then.
    CPPUNIT_ASSERT_EQUAL(std::string("a b "),
                         Update(seconds(4), 2, {Server("a"), Server("b")}));
  }

  void RestartedServerIsNotReplacedByItsOldRow() {
    Update({}, 1, {Server("a", 9)});
    m_now += seconds(1);
    CPPUNIT_ASSERT_EQUAL(int64_t{9},
                         m_history.Update(m_now, 2, List({Server("a", 3)}))
                             .at("a")
                             .start_unix_ms);
  }

  void TwoErasInARowLoseNoServer() {
    Update({}, 1, {Server("a"), Server("b"), Server("c")});
    CPPUNIT_ASSERT_EQUAL(std::string("a b c "),
                         Update(seconds(1), 2, {Server("a")}));
    CPPUNIT_ASSERT_EQUAL(std::string("a b c "),
                         Update(seconds(2), 3, {Server("b")}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("a b c "),
        Update(seconds(2), 3, {Server("a"), Server("b"), Server("c")}));
  }

  // An instance that had started while rows were missing took these servers for
  // ended in the next era.
  void ServerThatIsListedAgainHasNotEnded() {
    Update({}, 1, {Server("a"), Server("b")});
    Update(seconds(1), 1, {Server("a")});
    Update(seconds(1), 1, {Server("a"), Server("b")});
    CPPUNIT_ASSERT_EQUAL(std::string("a b "),
                         Update(seconds(1), 2, {Server("a"), Server("b")}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerListTest);

}  // namespace
}  // namespace trefoilwick
