#include <cppunit/extensions/HelperMacros.h>

#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include "dialect.h"
#include "rows.h"
#include "settings.h"

namespace trefoilwick::platform {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kSettings[] = R"(
ip = "10.1.0.40"
zone = "regina"
portRange = [7340,7355]
somethingNew = 3
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
directory = "10.1.0.40:8224"
[limits]
cpuShare = 0.17
cores = 1
memoryMb = 182
maxFds = 2940
[bounds]
graceS = 8
retryRatio = 0.2
retrySlack = 425
[platform]
address = "10.200.1.7:8223"
)";

constexpr char kConfiguration[] = R"({"version":7,
"routes":[{"name":"r1","host":"a.example","prefix":"/d/","kind":"stream",
"timeoutMs":20000,"targetLatencyMs":500,"priority":0,
"backends":[{"service":"pool","weight":90},{"service":"other","weight":10}],
"maxAttempts":2,"public":false,"resumable":true,"gapAimMs":200},
{"name":"r2","host":"a.example","prefix":"/b/","kind":"non_idempotent",
"timeoutMs":1200,"service":"desk","maxAttempts":1}],
"services":[{"name":"pool","healthPath":"/healthz","maxConns":2444,
"engine":{"slots":192,"kvTokenBytes":426000,"layers":80,"layerMb":1750.0,
"actBytes":21300,"pipeMbps":9300.0,"step_ms":0.85,"read_per_s":272000.0,
"models":[{"name":"m","loadS":14.0}],"usual":{"prompt":772,"answer":145},
"kinds":[{"name":"l4","mb":21600.0,"pace":16.0,"readX":8.2}]}},
{"name":"desk"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"club","apiKeys":["k1","k2"],"priority":1}]})";

constexpr char kServerRow[] = R"({"service":"pool",
"address":"10.1.64.9:8080","zone":"regina","version":"v1","slots":192,
"state":"ready","coldLeftMs":0,"kind":"l4","born":1700,"seq":9,
"layers":{"from":3,"target":9,"version":1}})";

ServerMap TwoServers() {
  ServerMap servers;
  for (const char* id : {"i-1", "i-2"}) {
    BackendServer& server = servers[id];
    server.id = id;
    server.address = std::string("10.1.64.") + id[2] + ":8080";
  }
  return servers;
}

class AdapterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterTest);
  CPPUNIT_TEST(SettingsAreParsed);
  CPPUNIT_TEST(EveryInvalidSettingIsReported);
  CPPUNIT_TEST(ConfigurationIsDecoded);
  CPPUNIT_TEST(InvalidConfigurationReportsProblem);
  CPPUNIT_TEST(ListOfAccountsIsRequiredWhenNamed);
  CPPUNIT_TEST(ServersAreDecoded);
  CPPUNIT_TEST(UnusableRowsYieldNoServer);
  CPPUNIT_TEST(MutatedRowsNeverThrow);
  CPPUNIT_TEST(Base64RoundTrip);
  CPPUNIT_TEST(LeaseRoundTrip);
  CPPUNIT_TEST(NoticesOfServersAreReadAndBounded);
  CPPUNIT_TEST(SharedPartsOfPromptAreRead);
  CPPUNIT_TEST(LimitOfServerIsRead);
  CPPUNIT_TEST(ClientHeadersAreForwarded);
  CPPUNIT_TEST(ClientCannotForgeRouterHeaders);
  CPPUNIT_TEST(ResponsesAreClassified);
  CPPUNIT_TEST(DirectoryCallIsReadAndAnswered);
  CPPUNIT_TEST(OrdersNameTheirServer);
  CPPUNIT_TEST(OrderResultsAndReportsAreRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SettingsAreParsed() {
    Findings findings;
    const auto settings = ParseNodeSettings(kSettings, "local.toml", findings);
    CPPUNIT_ASSERT_MESSAGE(findings.ToString(), settings.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("regina"), settings->gateway.data_center);
    CPPUNIT_ASSERT_EQUAL(170, settings->gateway.cpu_milli);
    CPPUNIT_ASSERT_EQUAL(uint16_t{7340}, settings->gateway.peer_port);
    CPPUNIT_ASSERT_EQUAL(size_t{2440}, settings->gateway.max_connections);
    CPPUNIT_ASSERT_EQUAL(std::string("10.200.1.7:8223"),
                         settings->store_address);
  }

  // All problems are reported at once, so that operators can fix a file in one
  // edit.
  void EveryInvalidSettingIsReported() {
    std::string text = kSettings;
    text.replace(text.find("\"10.1.0.40:8220\""), 16, "\"nowhere\"");
    text.replace(text.find("zone = \"regina\""), 15, "zone = 4");
    text.replace(text.find("[platform]"), 10, "[elsewhere]");
    Findings findings;
    CPPUNIT_ASSERT(!ParseNodeSettings(text, "local.toml", findings).ok());
    const std::string all = findings.ToString();
    for (const char* name : {"listen.ready", "zone", "platform.address"})
      CPPUNIT_ASSERT_MESSAGE(name, all.find(name) != std::string::npos);
    CPPUNIT_ASSERT(all.find("local.toml:3: zone") != std::string::npos);
    Findings broken;
    CPPUNIT_ASSERT(!ParseNodeSettings("ip = ", "local.toml", broken).ok());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, broken.list().size());
  }

  void ConfigurationIsDecoded() {
    std::string problem;
    const auto table = DecodeConfiguration(kConfiguration, &problem);
    CPPUNIT_ASSERT_MESSAGE(problem, table != nullptr);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, table->version());
    const Route* stream_route = table->FindRoute("a.example", "/d/x");
    CPPUNIT_ASSERT(stream_route->kind == RouteKind::kStream &&
                   stream_route->AllowsReexecution());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, stream_route->services.size());
    CPPUNIT_ASSERT(stream_route->event_interval_target == milliseconds(200));
    const Route* non_idempotent_route = table->FindRoute("a.example", "/b/x");
    CPPUNIT_ASSERT(!non_idempotent_route->AllowsReexecution());
    const EngineModel& engine = *table->FindService("pool")->engine;
    CPPUNIT_ASSERT_EQUAL(80, engine.layers);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(272.0, engine.prefill_tokens_per_ms, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        8.2, engine.accelerator_kinds.at("l4").prefill_scale, 1e-9);
    CPPUNIT_ASSERT(!table->FindService("desk")->engine.has_value());
    CPPUNIT_ASSERT_EQUAL(1, *table->FindAccount("k2")->rank);
    CPPUNIT_ASSERT(table->limits().header_timeout == milliseconds(3000));
  }

  void InvalidConfigurationReportsProblem() {
    for (const char* bad :
         {"", "[]", "{\"version\":\"x\"}", "{\"version\":1}",
          "{\"version\":1,\"services\":[],\"routes\":[{}]}"}) {
      std::string problem;
      CPPUNIT_ASSERT(DecodeConfiguration(bad, &problem) == nullptr);
      CPPUNIT_ASSERT(!problem.empty());
    }
  }

  // An empty list of accounts was read like a configuration without one.
  void ListOfAccountsIsRequiredWhenNamed() {
    const auto requires_account = [](const std::string& accounts) {
      std::string problem;
      const auto table = DecodeConfiguration(
          R"({"version":1,"services":[],"routes":[])" + accounts + "}",
          &problem);
      return table && table->requires_account();
    };
    CPPUNIT_ASSERT(!requires_account(""));
    CPPUNIT_ASSERT(requires_account(R"(,"tenants":[])"));
    CPPUNIT_ASSERT(requires_account(R"(,"tenants":null)"));
    CPPUNIT_ASSERT(requires_account(R"(,"tenants":[{"name":"club"}])"));
    CPPUNIT_ASSERT(
        requires_account(R"(,"tenants":[{"name":"club","apiKeys":[]}])"));
  }

  // A server's entry with `changes` applied; a null value removes a field.
  static std::string ServerRow(const json& changes) {
    json row = json::parse(kServerRow);
    row.merge_patch(changes);
    return row.dump();
  }

  void ServersAreDecoded() {
    const auto server = DecodeServer("i-1", kServerRow);
    CPPUNIT_ASSERT(server.has_value());
    CPPUNIT_ASSERT((server->layers == LayerRange{3, 9}));
    CPPUNIT_ASSERT_EQUAL(int64_t{1700}, server->start_unix_ms);
    const auto draining =
        DecodeServer("i-1", ServerRow({{"state", "draining"}}));
    CPPUNIT_ASSERT(draining->state == ServerState::kDraining);
    // Servers of other services have no layers, and empty ones none yet.
    for (const char* field : {"layers", "kind", "born"})
      CPPUNIT_ASSERT(
          DecodeServer("i-1", ServerRow({{field, nullptr}})).has_value());
    std::string row = kServerRow;
    row.replace(row.find(R"({"from":3,"target":9,"version":1})"), 33, "null");
    CPPUNIT_ASSERT(!DecodeServer("i-1", row)->layers.has_value());
    CPPUNIT_ASSERT(
        !DecodeServer("i-1", ServerRow({{"layers", {{"target", 3}}}}))
             ->layers.has_value());
  }

  // An entry of another writer, with fields missing and the address of a
  // server, was taken for an empty server and got orders.
  void UnusableRowsYieldNoServer() {
    for (const char* bad : {"", "nonsense", "[1]", "{}", "null", "\xff"})
      CPPUNIT_ASSERT(!DecodeServer("i-1", bad).has_value());
    for (const char* field : {"service", "address", "zone", "version", "slots",
                              "state", "coldLeftMs", "seq"})
      for (const json& value :
           {json(nullptr), json(""), json("x y"), json(-1), json(true),
            json::array(), json::object(), json(1.5)}) {
        // These are texts and an amount that say something.
        if ((value == "x y" &&
             (std::string(field) == "service" || std::string(field) == "zone" ||
              std::string(field) == "version")) ||
            (value == 1.5 && std::string(field) == "coldLeftMs"))
          continue;
        CPPUNIT_ASSERT_MESSAGE(
            field + value.dump(),
            !DecodeServer("i-1", ServerRow({{field, value}})).has_value());
      }
    for (const json& changes :
         std::vector<json>{{{"born", "1700"}},
                           {{"born", 1.5}},
                           {{"born", -1}},
                           {{"kind", 4}},
                           {{"layers", "3-9"}},
                           {{"layers", {{"from", 0.5}, {"target", 2.0e9}}}},
                           {{"layers", {{"from", -1}}}},
                           {{"layers", {{"from", 10}}}},
                           {{"layers", {{"target", 2'000'000'000}}}},
                           {{"layers", {{"target", 1e300}}}},
                           {{"layers", {{"target", nullptr}}}},
                           {{"address", "a:1"}},
                           {{"address", "10.1.64.9"}},
                           {{"address", "10.1.64.9:0"}}})
      CPPUNIT_ASSERT_MESSAGE(
          changes.dump(), !DecodeServer("i-1", ServerRow(changes)).has_value());
    // The id is sent as the value of a header.
    for (const char* id : {"", "i 1", "i-1\r\nX: y", "i-\xff"})
      CPPUNIT_ASSERT(!DecodeServer(id, kServerRow).has_value());
  }

  void MutatedRowsNeverThrow() {
    Random random(5);
    const std::string row = kServerRow;
    for (int i = 0; i < 20'000; ++i) {
      std::string server = row;
      std::string configuration = kConfiguration;
      for (int mutation = 0; mutation < 4; ++mutation) {
        server[random.UniformBelow(server.size())] =
            static_cast<char>(random.UniformBelow(256));
        configuration[random.UniformBelow(configuration.size())] =
            static_cast<char>(random.UniformBelow(256));
      }
      DecodeServer("i-1", server);
      DecodeLease(server);
      Base64Decode(server);
      std::string problem;
      if (i % 20 == 0)
        DecodeConfiguration(configuration, &problem);
    }
  }

  void Base64RoundTrip() {
    Random random(3);
    for (size_t size = 0; size < 70; ++size) {
      std::string bytes;
      for (size_t i = 0; i < size; ++i)
        bytes += static_cast<char>(random.UniformBelow(256));
      CPPUNIT_ASSERT(Base64Decode(Base64Encode(bytes)) == bytes);
    }
    CPPUNIT_ASSERT(!Base64Decode("ab!d").has_value());
  }

  void LeaseRoundTrip() {
    LeaseRow row;
    row.fencing_token = 5;
    row.holder_ip = "10.0.0.1";
    row.holder_incarnation = 77;
    const auto read = DecodeLease(EncodeLease(row));
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, read->fencing_token);
    CPPUNIT_ASSERT_EQUAL(row.holder_ip, read->holder_ip);
    CPPUNIT_ASSERT_EQUAL(int64_t{77}, read->holder_incarnation);
    row.instances = 60;
    row.retries.reset();
    CPPUNIT_ASSERT(!DecodeLease(EncodeLease(row))->retries.has_value());
    // A row without sums was written by the first coordinator of all.
    CPPUNIT_ASSERT_EQUAL(
        0, *DecodeLease(R"({"fence":3,"ip":"h","incarnation":1})")->retries);
    CPPUNIT_ASSERT(!DecodeLease("{}").has_value());
    row.quarantine = {
        {{3, UINT64_MAX}, std::chrono::minutes(9)},
        {{4}, std::chrono::seconds(5), QuarantineState::kOnTrial, {7, 2}},
        {{5}, {}, QuarantineState::kLifted, {7, 3}}};
    CPPUNIT_ASSERT(DecodeLease(EncodeLease(row))->quarantine == row.quarantine);
  }

  void LimitOfServerIsRead() {
    const PlatformDialect dialect;
    const auto read = [&](const char* value) {
      http::response_header<> head;
      head.set("Server-Limit", value);
      return dialect.ReadResponse(head).requests_per_second;
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.2, read("12.2").value(), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, read("0").value(), 1e-9);
    CPPUNIT_ASSERT(!read("-1").has_value());
    CPPUNIT_ASSERT(!read("many").has_value());
    CPPUNIT_ASSERT(!dialect.ReadResponse({}).requests_per_second.has_value());
  }

  // A value that was no number was read up to its first letter, and a huge one
  // was taken as it was.
  void NoticesOfServersAreReadAndBounded() {
    const PlatformDialect dialect;
    const auto read = [&](const char* name, const char* value,
                          unsigned status = 503) {
      http::response_header<> head;
      head.result(status);
      head.set(name, value);
      return dialect.ReadResponse(head);
    };
    CPPUNIT_ASSERT(read("Server-Leaving", "1", 200).is_leaving);
    for (const char* value : {"0", "", "yes", "1.0"})
      CPPUNIT_ASSERT(!read("Server-Leaving", value).is_leaving);
    CPPUNIT_ASSERT(read("Retry-After", "0.25").pause ==
                   std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(!read("Retry-After", "2", 200).pause.has_value());
    for (const char* value :
         {"soon", "-3", "5 s", "nan", "", "Sat, 05 Dec 2026 12:00:00 GMT"}) {
      const ResponseHead head = read("Retry-After", value);
      CPPUNIT_ASSERT_MESSAGE(value, !head.pause.has_value());
      CPPUNIT_ASSERT_EQUAL(size_t{1}, head.invalid_headers.size());
    }
    for (const char* value : {"inf", "1e300"}) {
      const ResponseHead head = read("Retry-After", value);
      CPPUNIT_ASSERT_MESSAGE(value,
                             head.pause == std::chrono::seconds(1'000'000));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, head.invalid_headers.size());
    }
    const ResponseHead limit = read("Server-Limit", "1e300");
    CPPUNIT_ASSERT(limit.requests_per_second == 1e6);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, limit.invalid_headers.size());
    CPPUNIT_ASSERT(!read("Server-Limit", "5x").requests_per_second.has_value());
  }

  void SharedPartsOfPromptAreRead() {
    const PlatformDialect dialect;
    const auto read = [&](const char* value) {
      http::request_header<> head = ClientHead();
      head.set("Prompt-Prefix", value);
      return dialect.ReadRequest(head)->shared_prompt_parts;
    };
    using Parts = std::vector<std::string>;
    CPPUNIT_ASSERT(read("5c1e:800, 91bd:410,e4402b7d:250") ==
                   Parts({"5c1e", "91bd"}));
    CPPUNIT_ASSERT(read("e4402b7d:250").empty());
    CPPUNIT_ASSERT(read("").empty());
    CPPUNIT_ASSERT(read(",:,x") == Parts());
  }

  static http::request_header<> ClientHead() {
    http::request_header<> head;
    head.method(http::verb::post);
    head.target("/d/2f?q=%20x");
    head.set(http::field::host, "a.example");
    head.set("Attempt-Id", "9c41");
    head.set("Model", "m");
    head.set("Token-Counts", "1460,80");
    head.set("Prompt-Prefix", "5c1e:800");
    head.set("Deadline-Ms", "20000");
    head.set("Credential", "k1");
    head.set("Length-Hint", "60");
    head.set("X-Own", "1");
    head.set("X-Hop", "1");
    head.set(http::field::connection, "keep-alive, X-Hop");
    return head;
  }

  void ClientHeadersAreForwarded() {
    const PlatformDialect dialect;
    auto request = dialect.ReadRequest(ClientHead());
    CPPUNIT_ASSERT(request.ok());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1460.0, request->prompt_tokens, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, request->max_answer_tokens, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60.0, request->answer_hint, 0);
    CPPUNIT_ASSERT(*request->client_timeout == milliseconds(20000));
    request->body = "body";
    const ServerMap servers = TwoServers();
    SendPlan plan;
    plan.server = &servers.at("i-1");
    plan.path = {{"i-1", {0, 20}}, {"i-2", {20, 80}}};
    plan.time_left = milliseconds(19'500);
    plan.account = "club";
    plan.resume_after_event_id = 12;
    const HttpRequest out = dialect.WriteRequest(*request, plan, servers);
    CPPUNIT_ASSERT(out.target() == "/d/2f?q=%20x");
    CPPUNIT_ASSERT(out["Attempt-Id"] == "9c41");
    CPPUNIT_ASSERT(out["Token-Counts"] == "1460,80");
    CPPUNIT_ASSERT(out["Prompt-Prefix"] == "5c1e:800");
    CPPUNIT_ASSERT(out["X-Own"] == "1");
    CPPUNIT_ASSERT(out["Deadline-Ms"] == "19500");
    CPPUNIT_ASSERT(out["Expect-Instance"] == "i-1");
    CPPUNIT_ASSERT(out["Tenant"] == "club");
    CPPUNIT_ASSERT(out["Last-Event-Id"] == "12");
    CPPUNIT_ASSERT(out["Hop-Count"] ==
                   "10.1.64.1:8080=0-20,10.1.64.2:8080=20-80");
    CPPUNIT_ASSERT(out.count("Credential") == 0);
    CPPUNIT_ASSERT(out.count("X-Hop") == 0);
    CPPUNIT_ASSERT(out[http::field::content_length] == "4");
  }

  // Guards against a client that claims another account or chooses its path.
  void ClientCannotForgeRouterHeaders() {
    http::request_header<> head = ClientHead();
    for (const char* name : {"Tenant", "tenant", "Expect-Instance", "Hop-Count",
                             "Request-Priority"})
      head.insert(name, "forged");
    const PlatformDialect dialect;
    const auto request = dialect.ReadRequest(head);
    const ServerMap servers = TwoServers();
    SendPlan plan;
    plan.server = &servers.at("i-1");
    const HttpRequest out = dialect.WriteRequest(*request, plan, servers);
    for (const auto& field : out)
      CPPUNIT_ASSERT(field.value() != "forged");
    head.target("*");
    CPPUNIT_ASSERT(!dialect.ReadRequest(head).ok());
  }

  void ResponsesAreClassified() {
    const PlatformDialect dialect;
    http::response_header<> head;
    head.result(503);
    head.set("Not-Run", "1");
    head.set("At-Server", "10.1.64.2:8080");
    ResponseHead response = dialect.ReadResponse(head);
    CPPUNIT_ASSERT(response.not_run && !response.authentic);
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.64.2:8080"),
                         response.faulty_server_address);
    head = {};
    head.result(503);
    CPPUNIT_ASSERT(!dialect.ReadResponse(head).not_run);
    head.result(421);
    CPPUNIT_ASSERT(dialect.ReadResponse(head).not_run);
    head = {};
    head.result(200);
    head.set("Server-Seal", "x");
    head.set("Attempt-Id", "9c41");
    head.set(http::field::content_type, "text/event-stream; charset=utf-8");
    head.set(http::field::keep_alive, "timeout=5, max=100");
    head.set(http::field::transfer_encoding, "chunked");
    response = dialect.ReadResponse(head);
    CPPUNIT_ASSERT(response.authentic && response.is_event_stream);
    CPPUNIT_ASSERT(*response.keep_alive == std::chrono::seconds(5));
    CPPUNIT_ASSERT(response.forwarded_headers.count("Server-Seal") == 1);
    CPPUNIT_ASSERT(
        response.forwarded_headers.count(http::field::transfer_encoding) == 0);
  }

  void DirectoryCallIsReadAndAnswered() {
    const PlatformDialect dialect;
    CPPUNIT_ASSERT(dialect.ReadDirectoryCall(
                       "/resolve?name=a.example&region=p&zone=regina") ==
                   "regina");
    CPPUNIT_ASSERT(!dialect.ReadDirectoryCall("/ready").has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"addresses":["10.1.0.40:8227"],"ttlS":2.0})"),
        dialect.WriteDirectoryResponse({"10.1.0.40:8227"},
                                       std::chrono::seconds(2)));
  }

  // An order that was planned for one server was carried out by another one at
  // the same address.
  void OrdersNameTheirServer() {
    const PlatformDialect dialect;
    const ServerMap servers = TwoServers();
    for (const HttpRequest& request :
         {dialect.WritePlacementOrder({"i-2", {0, 8}}, 1, 0),
          dialect.WriteRepathOrder("9c", {{"i-2", {0, 8}}, {"i-1", {8, 16}}}, 1,
                                   servers),
          dialect.WriteReportRequest("i-2")})
      CPPUNIT_ASSERT(request["Expect-Instance"] == "i-2");
  }

  void OrderResultsAndReportsAreRead() {
    const PlatformDialect dialect;
    const auto result = [&](unsigned status) {
      CallResult call;
      call.response.result(status);
      return dialect.ReadOrderResult(call);
    };
    CPPUNIT_ASSERT(result(202) == OrderResult::kAccepted);
    CPPUNIT_ASSERT(result(200) == OrderResult::kAccepted);
    CPPUNIT_ASSERT(result(409) == OrderResult::kConflict);
    CPPUNIT_ASSERT(result(412) == OrderResult::kStaleFencingToken);
    CPPUNIT_ASSERT(result(404) == OrderResult::kNoSuchRequest);
    CPPUNIT_ASSERT(result(500) == OrderResult::kRefused);
    CallResult unknown;
    unknown.error = CallError::kUnknown;
    CPPUNIT_ASSERT(dialect.ReadOrderResult(unknown) == OrderResult::kUnknown);
    CallResult report;
    report.response.result(200);
    report.response.body() =
        R"({"seq":2,"busy":true,"stalled":[{"id":"9c","address":"a:1"}]})";
    const auto read = dialect.ReadReport(report);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, read->order_seq);
    CPPUNIT_ASSERT_EQUAL(std::string("a:1"), read->blocking_servers.at("9c"));
    CPPUNIT_ASSERT_EQUAL(1.0, read->slowdown);
    report.response.body() = R"({"seq":2,"pace":12.5})";
    CPPUNIT_ASSERT_EQUAL(12.5, dialect.ReadReport(report)->slowdown);
    report.response.body() = R"({"seq":2,"layers":{"from":0,"target":2e9}})";
    CPPUNIT_ASSERT(!dialect.ReadReport(report)->layers.has_value());
    report.response.body() = R"({"seq":2,"layers":{"from":0,"target":8}})";
    CPPUNIT_ASSERT((dialect.ReadReport(report)->layers == LayerRange{0, 8}));
    report.response.body() = "{}";
    CPPUNIT_ASSERT(!dialect.ReadReport(report).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterTest);

}  // namespace
}  // namespace trefoilwick::platform
