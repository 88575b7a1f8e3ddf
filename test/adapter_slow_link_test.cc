// Reads of the platform's store over links that are slow, and over silent ones.
#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "gateway_harness.h"
#include "rows.h"
#include "store.h"

namespace trefoilwick {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A response that arrives in pieces over two seconds.
constexpr int kPieces = 20;
constexpr milliseconds kPiecePause{100};
// A peer is lost after a silence shorter than this.
constexpr seconds kMaxSilence{2};

json StoreRow(const std::string& key, const json& value) {
  return {{"key", key},
          {"value", platform::Base64Encode(value.dump())},
          {"ver", 8}};
}

json Body(const json& row) {
  return {{"rows", json::array({row})}, {"truncated", false}, {"ver", 9}};
}

std::string ConfigurationBody() {
  const json configuration = {
      {"version", 4}, {"services", json::array()}, {"routes", json::array()}};
  return Body(StoreRow("config", configuration)).dump();
}

std::string ServersBody() {
  const json server = {{"service", "p"},  {"address", "10.0.0.1:80"},
                       {"zone", "z"},     {"version", "v1"},
                       {"slots", 1},      {"state", "ready"},
                       {"coldLeftMs", 0}, {"seq", 1}};
  return Body(StoreRow("i-1", server)).dump();
}

std::string LeaseBody() {
  const json lease = {{"fence", 3}, {"ip", "h"}, {"incarnation", 1}};
  return Body(StoreRow("lease", lease)).dump();
}

std::string Head(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n";
}

constexpr char kNoRows[] = R"({"rows":[],"truncated":false,"ver":7})";

ScriptedResponse WholeResponse(const std::string& body) {
  return {Head(body) + body};
}

// A response whose body a slow link carries.
ScriptedResponse SlowResponse(const std::string& body) {
  ScriptedResponse response{Head(body)};
  const size_t piece_bytes = body.size() / kPieces + 1;
  for (size_t at = 0; at < body.size(); at += piece_bytes)
    response.parts.push_back(body.substr(at, piece_bytes));
  response.parts_pause = kPiecePause;
  return response;
}

// A response that stops in the middle of its body while the connection stays
// open.
ScriptedResponse InterruptedResponse(const std::string& body) {
  ScriptedResponse response{Head(body) + body.substr(0, body.size() / 2)};
  response.max_wait_for_close = seconds(5);
  return response;
}

// Runs calls of a PlatformStore against a scripted server, and returns how long
// they took.
template <typename Start>
Duration WithStore(const ScriptedServer::Handler& handler, Start start) {
  ScriptedServer server(handler);
  asio::io_context io;
  platform::PlatformStore store(io, server.address());
  const TimePoint began = BootClock().Now();
  start(io, store);
  io.run();
  return BootClock().Now() - began;
}

class AdapterSlowLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterSlowLinkTest);
  CPPUNIT_TEST(ConfigurationOnSlowLinkIsRead);
  CPPUNIT_TEST(ChangeAtTheEndOfWatchIsReadOnSlowLink);
  CPPUNIT_TEST(LongResponseOfWatchIsNotRead);
  CPPUNIT_TEST(ServerListOnSlowLinkIsRead);
  CPPUNIT_TEST(LeaseOnSlowLinkIsRead);
  CPPUNIT_TEST(ResponseThatArrivedWhileTheProcessWasBusyIsRead);
  CPPUNIT_TEST(InterruptedResponseFailsRead);
  CPPUNIT_TEST(SilentStoreFailsRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A configuration that took over 700 ms was given up and read from its
  // beginning again, without end.
  void ConfigurationOnSlowLinkIsRead() {
    std::shared_ptr<const RouteTable> table;
    WithStore(
        [](const std::string&) { return SlowResponse(ConfigurationBody()); },
        [&](auto&, platform::PlatformStore& store) {
          store.ReadConfiguration(
              [&](const auto& read) { table = read.value_or(nullptr); });
        });
    CPPUNIT_ASSERT(table != nullptr);
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, table->version());
  }

  // A change that came near the end of the wait had only the margin beyond it.
  void ChangeAtTheEndOfWatchIsReadOnSlowLink() {
    constexpr milliseconds kWait{300};
    std::shared_ptr<const RouteTable> table;
    WithStore(
        [&](const std::string& request) {
          if (request.starts_with("GET /rows-get"))
            return WholeResponse(kNoRows);
          CPPUNIT_ASSERT(request.starts_with("GET /rows-feed"));
          std::this_thread::sleep_for(kWait);
          return SlowResponse(ConfigurationBody());
        },
        [&](auto&, platform::PlatformStore& store) {
          // The first read tells from which version on to watch.
          store.ReadConfiguration([&, kWait](const auto&) {
            store.WatchConfiguration(kWait, [&](const auto& result) {
              if (const auto* read = std::get_if<WatchedConfiguration>(&result))
                table = read->table;
            });
          });
        });
    CPPUNIT_ASSERT(table != nullptr);
  }

  // Several versions that had come while the first one was read were all read,
  // one after the other, and more came meanwhile.
  void LongResponseOfWatchIsNotRead() {
    const std::string long_body(size_t{2} << 20, ' ');
    bool must_read = false;
    const Duration time = WithStore(
        [&](const std::string& request) {
          return request.starts_with("GET /rows-get") ? WholeResponse(kNoRows)
                                                      : SlowResponse(long_body);
        },
        [&](auto&, platform::PlatformStore& store) {
          store.ReadConfiguration([&](const auto&) {
            store.WatchConfiguration(seconds(1), [&](const auto& result) {
              const auto* must = std::get_if<MustReadConfiguration>(&result);
              must_read = must != nullptr && must->has_changed;
            });
          });
        });
    CPPUNIT_ASSERT(must_read);
    CPPUNIT_ASSERT(time < milliseconds(500));
  }

  // The same bound cut off a long list of servers.
  void ServerListOnSlowLinkIsRead() {
    size_t servers = 0;
    WithStore([](const std::string&) { return SlowResponse(ServersBody()); },
              [&](auto&, platform::PlatformStore& store) {
                store.ReadServers([&](const auto& list) {
                  servers = list ? list->servers.size() : 0;
                });
              });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers);
  }

  // The same bound cut off a lease that names many quarantined requests.
  void LeaseOnSlowLinkIsRead() {
    int64_t token = 0;
    WithStore([](const std::string&) { return SlowResponse(LeaseBody()); },
              [&](auto&, platform::PlatformStore& store) {
                store.ReadLease([&](const std::optional<LeaseRow>& row) {
                  token = row ? row->fencing_token : 0;
                });
              });
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, token);
  }

  // Guards against taking the time for which an instance itself was busy for a
  // silence of the store.
  void ResponseThatArrivedWhileTheProcessWasBusyIsRead() {
    int64_t token = 0;
    WithStore([](const std::string&) { return WholeResponse(LeaseBody()); },
              [&](asio::io_context& io, platform::PlatformStore& store) {
                store.ReadLease([&](const std::optional<LeaseRow>& row) {
                  token = row ? row->fencing_token : 0;
                });
                // The call has begun.
                io.poll();
                std::this_thread::sleep_for(milliseconds(1200));
              });
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, token);
  }

  // Guards against waiting for a store that is gone without a reset.
  void InterruptedResponseFailsRead() {
    bool was_read = true;
    const Duration time = WithStore(
        [](const std::string&) {
          return InterruptedResponse(ConfigurationBody());
        },
        [&](auto&, platform::PlatformStore& store) {
          store.ReadConfiguration(
              [&](const auto& read) { was_read = read.has_value(); });
        });
    CPPUNIT_ASSERT(!was_read);
    CPPUNIT_ASSERT(time < kMaxSilence);
  }

  void SilentStoreFailsRead() {
    bool was_read = true;
    const Duration time = WithStore(
        [](const std::string&) {
          ScriptedResponse silent;
          silent.max_wait_for_close = seconds(5);
          return silent;
        },
        [&](auto&, platform::PlatformStore& store) {
          store.ReadLease([&](const std::optional<LeaseRow>& row) {
            was_read = row.has_value();
          });
        });
    CPPUNIT_ASSERT(!was_read);
    CPPUNIT_ASSERT(time < kMaxSilence);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterSlowLinkTest);

}  // namespace
}  // namespace trefoilwick
