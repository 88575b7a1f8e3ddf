// The era of the store in the adapter: responses of before and after the store
// came back from a copy, and responses that name no era.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway_harness.h"
#include "rows.h"
#include "store.h"
#include "store_era.h"

namespace trefoilwick {
namespace {

using platform::PlatformStore;
using platform::StoreEra;
using std::chrono::milliseconds;

HttpResponse Response(const char* era) {
  HttpResponse response;
  if (era != nullptr)
    response.set("Store-Era", era);
  return response;
}

ScriptedResponse StoreResponse(int status,
                               const char* era,
                               const std::string& body) {
  return {"HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: " + era +
          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
          body};
}

std::string Rows(const std::string& rows, int version) {
  return R"({"rows":[)" + rows + R"(],"truncated":false,"ver":)" +
         std::to_string(version) + "}";
}

std::string LeaseRowText(int version) {
  return R"({"key":"lease","value":")" +
         platform::Base64Encode(R"({"fence":3,"ip":"h","incarnation":1})") +
         R"(","ver":)" + std::to_string(version) + "}";
}

class AdapterEraTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterEraTest);
  CPPUNIT_TEST(StoreWithoutEraHasNone);
  CPPUNIT_TEST(EraRises);
  CPPUNIT_TEST(BadEraIsTheOneBefore);
  CPPUNIT_TEST(LateResponseKeepsItsEra);
  CPPUNIT_TEST(ListAndLeaseNameTheirPositions);
  CPPUNIT_TEST(WriteThatIsAnsweredInAnotherEraIsUnknown);
  CPPUNIT_TEST(WatchOfAnEarlierEraMustRead);
  CPPUNIT_TEST(PagesOfTwoErasMakeNoList);
  CPPUNIT_TEST_SUITE_END();

  template <typename Start>
  static void WithStore(const ScriptedServer::Handler& handler, Start start) {
    ScriptedServer server(handler);
    asio::io_context io;
    PlatformStore store(io, server.address());
    start(store);
    io.run();
  }

 public:
  void StoreWithoutEraHasNone() {
    StoreEra era;
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, era.Read(Response(nullptr), 0));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, era.current());
  }

  void EraRises() {
    StoreEra era;
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, era.Read(Response("4"), 0));
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, era.Read(Response("5"), 4));
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, era.current());
  }

  // Guards against versions that count anew because of a bad value.
  void BadEraIsTheOneBefore() {
    StoreEra era;
    era.Read(Response("4"), 0);
    for (const char* bad : {"", "x", "4x", "-1", "4.5", "5 6", "0x5",
                            "99999999999999999999", "1048577", "3"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bad, int64_t{4}, era.Read(Response(bad), 4));
      CPPUNIT_ASSERT_EQUAL(int64_t{4}, era.current());
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, era.Read(Response(nullptr), 4));
  }

  // It was sent before the store came back.
  void LateResponseKeepsItsEra() {
    StoreEra era;
    era.Read(Response("4"), 0);
    era.Read(Response("5"), 4);
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, era.Read(Response("4"), 4));
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, era.current());
  }

  void ListAndLeaseNameTheirPositions() {
    StorePosition list_position;
    StorePosition lease_position;
    WithStore(
        [](const std::string& request) {
          const bool is_list =
              request.find("table=servers") != std::string::npos;
          return StoreResponse(200, "6",
                               Rows(is_list ? "" : LeaseRowText(8), 9));
        },
        [&](PlatformStore& store) {
          store.ReadServers([&](const auto& list) {
            list_position = list->position;
            store.ReadLease([&](const std::optional<LeaseRow>& row) {
              lease_position = row->position;
            });
          });
        });
    CPPUNIT_ASSERT((list_position == StorePosition{6, 9}));
    CPPUNIT_ASSERT((lease_position == StorePosition{6, 8}));
  }

  // Its condition may have held for another row.
  void WriteThatIsAnsweredInAnotherEraIsUnknown() {
    for (const auto& [era, expected] :
         {std::pair("6", LeaseWriteResult::kWritten),
          std::pair("7", LeaseWriteResult::kUnknown)}) {
      LeaseWriteResult result = LeaseWriteResult::kConflict;
      LeaseRow written;
      WithStore(
          [era = era](const std::string&) {
            return StoreResponse(200, era, R"({"ver":12})");
          },
          [&](PlatformStore& store) {
            store.WriteLease(LeaseRow(), {6, 8},
                             [&](LeaseWriteResult got, const LeaseRow& row) {
                               result = got;
                               written = row;
                             });
          });
      CPPUNIT_ASSERT(result == expected);
      CPPUNIT_ASSERT_EQUAL(int64_t{std::atoi(era)}, written.position.era);
    }
  }

  // The version from which it watched may have been given out again, so that
  // the store does not tell what changed in between.
  void WatchOfAnEarlierEraMustRead() {
    int feeds = 0;
    int must_reads = 0;
    const auto count = [&](const ConfigurationWatchResult& result) {
      must_reads += std::holds_alternative<MustReadConfiguration>(result);
    };
    WithStore(
        [&](const std::string& request) {
          const bool is_feed = request.starts_with("GET /rows-feed");
          feeds += is_feed ? 1 : 0;
          return StoreResponse(200, is_feed ? "7" : "6", Rows("", 9));
        },
        [&](PlatformStore& store) {
          store.ReadConfiguration([&](const auto&) {
            store.WatchConfiguration(milliseconds(50), [&](const auto& first) {
              count(first);
              // The new era is known by now.
              store.WatchConfiguration(milliseconds(50), count);
            });
          });
        });
    CPPUNIT_ASSERT_EQUAL(2, must_reads);
    CPPUNIT_ASSERT_EQUAL(1, feeds);
  }

  void PagesOfTwoErasMakeNoList() {
    int pages = 0;
    bool was_read = true;
    WithStore(
        [&](const std::string&) {
          const bool is_first = ++pages == 1;
          std::string body = Rows(R"({"key":"i-1","value":"AAAA"})", 9);
          if (is_first)
            body.replace(body.find("false"), 5, "true");
          return StoreResponse(200, is_first ? "6" : "7", body);
        },
        [&](PlatformStore& store) {
          store.ReadServers(
              [&](const auto& list) { was_read = list.has_value(); });
        });
    CPPUNIT_ASSERT_EQUAL(2, pages);
    CPPUNIT_ASSERT(!was_read);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterEraTest);

}  // namespace
}  // namespace trefoilwick
