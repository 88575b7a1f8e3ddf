#include "trefoilwick/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace trefoilwick {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  return route;
}

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(LongestPrefixOfHostMatches);
  CPPUNIT_TEST(HostIsMatchedWithoutCaseAndPort);
  CPPUNIT_TEST(QueryDoesNotAffectMatching);
  CPPUNIT_TEST(AccountIsFoundByKey);
  CPPUNIT_TEST(EmptyListOfAccountsLetsNobodyIn);
  CPPUNIT_TEST_SUITE_END();

  static RouteTable SampleRouteTable() {
    ClientAccount club;
    club.name = "club";
    club.keys = {"k1", "k2"};
    return RouteTable::Builder(7)
        .AddRoute(MakeRoute("root", "a.example", "/"))
        .AddRoute(MakeRoute("drafts", "a.example", "/drafts/"))
        .AddRoute(MakeRoute("old", "a.example", "/drafts/old/"))
        .AddRoute(MakeRoute("other", "b.example", "/drafts/"))
        .AddAccount(club)
        .Build();
  }

  static std::string FindRouteName(const RouteTable& table,
                                   const std::string& host,
                                   const std::string& path) {
    const Route* route = table.FindRoute(host, path);
    return route == nullptr ? "" : route->name;
  }

 public:
  void LongestPrefixOfHostMatches() {
    const RouteTable table = SampleRouteTable();
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, table.version());
    CPPUNIT_ASSERT_EQUAL(std::string("old"),
                         FindRouteName(table, "a.example", "/drafts/old/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("drafts"),
                         FindRouteName(table, "a.example", "/drafts/older"));
    CPPUNIT_ASSERT_EQUAL(std::string("root"),
                         FindRouteName(table, "a.example", "/drafts"));
    CPPUNIT_ASSERT_EQUAL(std::string("other"),
                         FindRouteName(table, "b.example", "/drafts/x"));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         FindRouteName(table, "b.example", "/x"));
    CPPUNIT_ASSERT_EQUAL(std::string(), FindRouteName(table, "c.example", "/"));
  }

  void HostIsMatchedWithoutCaseAndPort() {
    const RouteTable table = SampleRouteTable();
    CPPUNIT_ASSERT_EQUAL(std::string("root"),
                         FindRouteName(table, "A.Example:8080", "/"));
  }

  // A slash in the query must not select a longer prefix.
  void QueryDoesNotAffectMatching() {
    const RouteTable table = SampleRouteTable();
    CPPUNIT_ASSERT_EQUAL(std::string("root"),
                         FindRouteName(table, "a.example", "/?x=/drafts/"));
    CPPUNIT_ASSERT_EQUAL(std::string("drafts"),
                         FindRouteName(table, "a.example", "/drafts/?a/old/"));
  }

  void AccountIsFoundByKey() {
    const RouteTable table = SampleRouteTable();
    CPPUNIT_ASSERT(table.requires_account());
    CPPUNIT_ASSERT_EQUAL(std::string("club"), table.FindAccount("k2")->name);
    CPPUNIT_ASSERT(table.FindAccount("k3") == nullptr);
    CPPUNIT_ASSERT(table.FindAccount("") == nullptr);
  }

  // With an empty list of accounts every key was accepted.
  void EmptyListOfAccountsLetsNobodyIn() {
    CPPUNIT_ASSERT(!RouteTable::Builder(1).Build().requires_account());
    const RouteTable empty = RouteTable::Builder(1).RequireAccount().Build();
    CPPUNIT_ASSERT(empty.requires_account());
    CPPUNIT_ASSERT(empty.FindAccount("k1") == nullptr);
    ClientAccount club;
    club.keys = {""};
    const RouteTable empty_key =
        RouteTable::Builder(1).AddAccount(club).Build();
    CPPUNIT_ASSERT(empty_key.requires_account());
    CPPUNIT_ASSERT(empty_key.FindAccount("") == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

}  // namespace
}  // namespace trefoilwick
