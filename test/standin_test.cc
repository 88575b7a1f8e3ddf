#include "standin.h"

#include <cppunit/extensions/HelperMacros.h>

#include "answer.h"
#include "standin_engine.h"
#include "standin_faults.h"
#include "standin_list.h"
#include "standin_service.h"
#include "standin_store.h"

namespace trefoilwick::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(1000)};

EngineItem MakeItem(const std::string& lineage,
                    int position,
                    const std::vector<std::string>& input) {
  EngineItem item;
  item.request = "r";
  item.lineage = lineage;
  item.user = "ann";
  item.position = position;
  item.count = int(input.size());
  item.input = input;
  return item;
}

EngineStep MakeStep(const Engine& engine,
                    const std::string& id,
                    std::vector<EngineItem> items,
                    uint64_t epoch = 1) {
  return {epoch, id, engine.options().first_layer, engine.options().end_layer,
          std::move(items)};
}

EngineOptions EngineWithLayers(int first, int end, int all) {
  EngineOptions options;
  options.first_layer = first;
  options.end_layer = end;
  options.model_layers = all;
  return options;
}

// Runs `prompt` and `count` tokens through stages split at `borders`.
std::vector<std::string> Generate(const std::vector<int>& borders,
                                  const std::string& prompt,
                                  int count) {
  std::vector<Engine> stages;
  for (size_t i = 0; i + 1 < borders.size(); ++i)
    stages.emplace_back(
        EngineWithLayers(borders[i], borders[i + 1], borders.back()));
  std::vector<std::string> input = SplitWords(prompt);
  std::vector<std::string> tokens;
  int position = 0;
  for (int step = 0; step < count; ++step) {
    EngineItem item = MakeItem("1", position, input);
    position += item.count;
    for (Engine& stage : stages) {
      const auto outcome =
          stage.Step(kStart, MakeStep(stage, std::to_string(step), {item}));
      CPPUNIT_ASSERT_EQUAL(std::string(), outcome.results.at(0).error);
      item.activation = outcome.results[0].activation;
      item.input.clear();
      if (!outcome.results[0].token.empty())
        tokens.push_back(outcome.results[0].token);
    }
    input = {tokens.back()};
  }
  return tokens;
}

Request Get(const std::string& path) {
  return {"GET", path, {}, {}, ""};
}
Request Post(const std::string& path, const json& body) {
  return {"POST", path, {}, {}, body.dump()};
}

class StandinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinTest);
  CPPUNIT_TEST(JsonTextIsEscaped);
  CPPUNIT_TEST(AnswersDoNotDependOnTheSplit);
  CPPUNIT_TEST(InvalidItemsAreRefused);
  CPPUNIT_TEST(RepeatedStepRunsNothing);
  CPPUNIT_TEST(StaleEpochsAreRefused);
  CPPUNIT_TEST(StepsRunOneAfterTheOther);
  CPPUNIT_TEST(KvAndStoredStepsAreBounded);
  CPPUNIT_TEST(CrashMarkerCrashesEveryStage);
  CPPUNIT_TEST(EngineProtocolMatchesDesign);
  CPPUNIT_TEST(TransactionsAreAtomic);
  CPPUNIT_TEST(ScansAreOrdered);
  CPPUNIT_TEST(TableDecodesKeysAndDelaysWrites);
  CPPUNIT_TEST(ObjectsAreCreatedOnce);
  CPPUNIT_TEST(LaggingListReturnsPastState);
  CPPUNIT_TEST(ServiceDoesNotDeduplicate);
  CPPUNIT_TEST(FaultsAreCheckedAndCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against journals and replies that are not JSON.
  void JsonTextIsEscaped() {
    for (const char* text : {"", "plain", "a\"b\\c", "line\n", "\xc3\xa9"}) {
      std::string out;
      AppendJsonText(out, text);
      CPPUNIT_ASSERT_EQUAL(std::string(text),
                           json::parse(out).get<std::string>());
    }
    std::string out;
    AppendJsonText(out, "\xff");
    CPPUNIT_ASSERT(json::accept(out));
  }

  // Guards against answers that load tools cannot compute in advance.
  void AnswersDoNotDependOnTheSplit() {
    const auto expected = ExpectedAnswer("ann", "a few words", 4);
    CPPUNIT_ASSERT(Generate({0, 8}, "a few words", 4) == expected);
    CPPUNIT_ASSERT(Generate({0, 3, 5, 8}, " a few\twords ", 4) == expected);
    CPPUNIT_ASSERT_EQUAL(
        expected[2],
        ExpectedToken("ann", "a few words", {expected[0], expected[1]}));
    CPPUNIT_ASSERT(ExpectedAnswer("bob", "a few words", 4) != expected);
  }

  // Guards against layers that run out of order: each invalid item must be
  // refused and leave the sequence unchanged.
  void InvalidItemsAreRefused() {
    struct Case {
      const char* error;
      std::function<void(EngineItem&)> change;
    };
    const std::vector<Case> cases = {
        {"no_kv", [](EngineItem& item) { item.position = 3; }},
        {"no_kv", [](EngineItem& item) { item.position = 0; }},
        {"no_kv", [](EngineItem& item) { item.lineage = "2"; }},
        {"no_kv", [](EngineItem& item) { item.user = "bob"; }},
        {"bad_input", [](EngineItem& item) { item.count = 2; }},
        {"bad_input", [](EngineItem& item) { item.count = 0; }},
    };
    Engine engine(EngineWithLayers(0, 4, 8));
    engine.Step(kStart, MakeStep(engine, "0", {MakeItem("1", 0, {"a", "b"})}));
    int step = 1;
    for (const Case& c : cases) {
      EngineItem item = MakeItem("1", 2, {"c"});
      c.change(item);
      const auto outcome =
          engine.Step(kStart, MakeStep(engine, std::to_string(step++), {item}));
      CPPUNIT_ASSERT_EQUAL(std::string(c.error), outcome.results.at(0).error);
      CPPUNIT_ASSERT(outcome.start == outcome.end);
    }
    const auto next =
        engine.Step(kStart, MakeStep(engine, "99", {MakeItem("1", 2, {"c"})}));
    CPPUNIT_ASSERT_EQUAL(std::string(), next.results.at(0).error);

    Engine second(EngineWithLayers(4, 8, 8));
    for (const char* activation : {"", "0:1", "8:1", "4", "4:1:x"}) {
      EngineItem item = MakeItem("1", 0, {});
      item.count = 1;
      item.activation = activation;
      const auto outcome =
          second.Step(kStart, MakeStep(second, std::to_string(step++), {item}));
      CPPUNIT_ASSERT_EQUAL(std::string("bad_activation"),
                           outcome.results.at(0).error);
    }
  }

  // Guards against layers that run twice when a step is repeated after its
  // reply was lost.
  void RepeatedStepRunsNothing() {
    Engine engine(EngineWithLayers(0, 8, 8));
    const EngineStep step = MakeStep(engine, "7", {MakeItem("1", 0, {"a"})});
    const auto first = engine.Step(kStart, step);
    const auto again = engine.Step(kStart + milliseconds(1), step);
    CPPUNIT_ASSERT(again.repeated && !first.repeated);
    CPPUNIT_ASSERT_EQUAL(first.results[0].token, again.results.at(0).token);
    CPPUNIT_ASSERT(first.end == again.end);
    EngineStep other = step;
    other.items[0].lineage = "2";
    CPPUNIT_ASSERT(engine.Step(kStart, other).status ==
                   StepOutcome::Status::kBadStep);
    other.step = "8";
    other.end_layer = 4;
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_layers"),
                         engine.Step(kStart, other).error);
  }

  // Guards against steps of a suspended scheduler that still run after another
  // one has claimed the engine.
  void StaleEpochsAreRefused() {
    Engine engine(EngineWithLayers(0, 8, 8));
    CPPUNIT_ASSERT(!engine.Claim(10, "a"));
    CPPUNIT_ASSERT(!engine.Claim(10, "a"));
    CPPUNIT_ASSERT(engine.Claim(10, "b") == uint64_t{10});
    CPPUNIT_ASSERT(engine.Claim(9, "a") == uint64_t{10});
    CPPUNIT_ASSERT(!engine.Claim(11, "b"));
    const EngineStep old = MakeStep(engine, "1", {MakeItem("1", 0, {"a"})}, 10);
    const auto refused = engine.Step(kStart, old);
    CPPUNIT_ASSERT(refused.status == StepOutcome::Status::kStaleEpoch);
    CPPUNIT_ASSERT_EQUAL(uint64_t{11}, refused.newest_epoch);
    // A step may carry an epoch whose claim never reached this engine.
    engine.Step(kStart, MakeStep(engine, "2", {MakeItem("1", 0, {"a"})}, 12));
    CPPUNIT_ASSERT(engine.Claim(11, "b") == uint64_t{12});
    CPPUNIT_ASSERT(!engine.Claim(12, "c"));
    engine.SetIgnoreEpochs(true);
    CPPUNIT_ASSERT(engine.Step(kStart, old).status == StepOutcome::Status::kOk);
    CPPUNIT_ASSERT(!engine.Claim(1, "c"));
  }

  // Guards against step times that do not follow the options.
  void StepsRunOneAfterTheOther() {
    Engine engine(EngineWithLayers(0, 8, 8));
    std::vector<EngineItem> batch;
    batch.reserve(16);
    for (int i = 0; i < 16; ++i)
      batch.push_back(MakeItem(std::to_string(i), 0, {"a"}));
    const auto first = engine.Step(kStart, MakeStep(engine, "1", batch));
    CPPUNIT_ASSERT(first.end == kStart + milliseconds(6));
    const auto second = engine.Step(
        kStart, MakeStep(engine, "2", {MakeItem("x", 0, {"a", "b", "c"})}));
    CPPUNIT_ASSERT(second.start == first.end);
    CPPUNIT_ASSERT(second.end == first.end + Duration(2800 + 200 + 3 * 20));
    const EngineLoad load = engine.LoadAt(kStart + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(16, load.running);
    CPPUNIT_ASSERT_EQUAL(1, load.queued);
    CPPUNIT_ASSERT_EQUAL(size_t{19}, load.kv_tokens);
    CPPUNIT_ASSERT_EQUAL(0, engine.LoadAt(kStart - milliseconds(1)).running);
  }

  // Guards against memory use that grows with the number of requests.
  void KvAndStoredStepsAreBounded() {
    EngineOptions options = EngineWithLayers(0, 8, 8);
    options.max_kv_tokens = 4;
    options.max_stored_steps = 2;
    Engine engine(options);
    const auto run = [&](const char* step, EngineItem item) {
      return engine.Step(kStart, MakeStep(engine, step, {std::move(item)}))
          .results.at(0)
          .error;
    };
    run("1", MakeItem("old", 0, {"a", "b"}));
    run("2", MakeItem("kept", 0, {"a"}));
    run("3", MakeItem("new", 0, {"a", "b"}));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, engine.LoadAt(kStart).kv_tokens);
    CPPUNIT_ASSERT_EQUAL(std::string("no_kv"),
                         run("4", MakeItem("old", 2, {"c"})));
    CPPUNIT_ASSERT_EQUAL(std::string(), run("5", MakeItem("kept", 1, {"c"})));
    engine.Release("r", "kept");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, engine.LoadAt(kStart).kv_tokens);
    // The reply to step 1 was evicted, so it runs as a new step.
    CPPUNIT_ASSERT_EQUAL(std::string(), run("1", MakeItem("old", 0, {"c"})));
  }

  // Guards against a crash marker that crashes only the first stage.
  void CrashMarkerCrashesEveryStage() {
    const std::vector<std::string> words = {"x", "CRASH-SERVER"};
    Engine crashing(EngineWithLayers(0, 4, 8));
    CPPUNIT_ASSERT(
        crashing
            .Step(kStart, MakeStep(crashing, "1", {MakeItem("1", 0, words)}))
            .status == StepOutcome::Status::kCrash);
    EngineOptions options = EngineWithLayers(0, 4, 8);
    options.crash_on_marker = false;
    Engine first(options);
    const auto outcome =
        first.Step(kStart, MakeStep(first, "1", {MakeItem("1", 0, words)}));
    EngineItem item = MakeItem("1", 0, words);
    item.input.clear();
    item.activation = outcome.results.at(0).activation;
    Engine second(EngineWithLayers(4, 8, 8));
    CPPUNIT_ASSERT(second.Step(kStart, MakeStep(second, "1", {item})).status ==
                   StepOutcome::Status::kCrash);
  }

  // Guards against differences from docs/design.md, section 10.
  void EngineProtocolMatchesDesign() {
    Journal journal;
    const auto role = MakeEngineRole(EngineWithLayers(0, 8, 8), journal);
    const json item = {{"request", "r"}, {"lineage", "18446744073709551615"},
                       {"user", "ann"},  {"position", 0},
                       {"count", 2},     {"input", {"a", "b"}},
                       {"sample", true}, {"priority", 0}};
    json step = {
        {"epoch", 65537}, {"step", 1}, {"layers", {0, 8}}, {"items", {item}}};
    const Reply claim = role->Handle(
        kStart, Post("/v1/claim", {{"epoch", 65537}, {"owner", "a"}}));
    CPPUNIT_ASSERT_EQUAL(200, claim.status);
    const Reply reply = role->Handle(kStart, Post("/v1/step", step));
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
    CPPUNIT_ASSERT(reply.delay == Duration(2800 + 200 + 2 * 20));
    const json result = json::parse(reply.body)["items"][0];
    CPPUNIT_ASSERT(result["token"] == ExpectedToken("ann", "a b", {}));
    CPPUNIT_ASSERT(result["lineage"] == item["lineage"]);
    role->Handle(kStart, Post("/v1/step", step));
    const std::string lines = journal.Read(true);
    CPPUNIT_ASSERT_EQUAL(int64_t{1},
                         int64_t(std::count(lines.begin(), lines.end(), '\n')));
    CPPUNIT_ASSERT(json::parse(lines)["layers"] == json({0, 8}));
    step["epoch"] = 1;
    const Reply stale = role->Handle(kStart, Post("/v1/step", step));
    CPPUNIT_ASSERT_EQUAL(409, stale.status);
    CPPUNIT_ASSERT(json::parse(stale.body)["newest_epoch"] == 65537);
    step.erase("items");
    CPPUNIT_ASSERT_EQUAL(400,
                         role->Handle(kStart, Post("/v1/step", step)).status);
  }

  // Guards against a transaction that is partly written, and against a row
  // whose old version becomes valid again.
  void TransactionsAreAtomic() {
    TableRows rows;
    CPPUNIT_ASSERT(rows.Transact({{"t", "a", 0}}, {{"t", "a", "1"}}).versions ==
                   std::vector<int64_t>{1});
    const auto failed = rows.Transact({{"t", "a", 1}, {"t", "b", 7}},
                                      {{"t", "a", "2"}, {"t", "b", "2"}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, failed.failed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), failed.failed[0].key);
    CPPUNIT_ASSERT(rows.Get("t", "a") == (TableRow{"a", "1", 1}));
    CPPUNIT_ASSERT(!rows.Get("t", "b"));
    const auto both = rows.Transact(
        {{"t", "a", 1}}, {{"t", "a", "", true}, {"u", "a", "other table"}});
    CPPUNIT_ASSERT((both.versions == std::vector<int64_t>{0, 1}));
    CPPUNIT_ASSERT(!rows.Get("t", "a"));
    CPPUNIT_ASSERT(rows.Transact({{"t", "a", 0}}, {{"t", "a", "3"}}).versions ==
                   std::vector<int64_t>{2});
  }

  // Guards against pages of a scan that skip or repeat rows.
  void ScansAreOrdered() {
    TableRows rows;
    for (const char* key : {"p/c", "p/a", "q/a", "o/z", "p/b", "p/d"})
      rows.Transact({}, {{"t", key, "v"}});
    rows.Transact({}, {{"t", "p/b", "", true}});
    std::string keys;
    std::string after;
    for (auto page = rows.Scan("t", "p/", after, 2); !page.empty();
         page = rows.Scan("t", "p/", after, 2))
      for (const TableRow& row : page) {
        keys += row.key + " ";
        after = row.key;
      }
    CPPUNIT_ASSERT_EQUAL(std::string("p/a p/c p/d "), keys);
  }

  // Guards against keys with '/' that are not decoded, and against rate limits
  // that do not delay.
  void TableDecodesKeysAndDelaysWrites() {
    Journal journal;
    const auto role = MakeTableRole(
        {.writes_per_second = 100, .reads_per_second = 0}, journal);
    const json put = {{"table", "t"}, {"key", "a/b %"}, {"value", "v"}};
    const json check = {{"table", "t"}, {"key", "a/b %"}, {"version", 0}};
    const json body = {{"checks", {check}}, {"puts", {put}}};
    CPPUNIT_ASSERT_EQUAL(200,
                         role->Handle(kStart, Post("/transact", body)).status);
    const Reply second = role->Handle(kStart, Post("/transact", body));
    CPPUNIT_ASSERT_EQUAL(409, second.status);
    CPPUNIT_ASSERT(second.delay == milliseconds(10));
    const Reply row = role->Handle(kStart, Get("/tables/t/rows/a%2Fb%20%25"));
    CPPUNIT_ASSERT(json::parse(row.body) ==
                   json({{"value", "v"}, {"version", 1}}));
    Request scan = Get("/tables/t/rows");
    scan.query = {{"prefix", "a/"}, {"limit", "5"}};
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, json::parse(role->Handle(kStart, scan).body)["rows"].size());
    scan.query["limit"] = "-1";
    CPPUNIT_ASSERT_EQUAL(400, role->Handle(kStart, scan).status);
    CPPUNIT_ASSERT_EQUAL(
        404, role->Handle(kStart, Get("/tables/t/rows/none")).status);
    CPPUNIT_ASSERT_EQUAL(
        400, role->Handle(kStart, Post("/transact", {{"puts", {1}}})).status);
  }

  // Guards against an If-None-Match header that is ignored.
  void ObjectsAreCreatedOnce() {
    Journal journal;
    const auto role = MakeObjectRole(journal);
    Request put{"PUT", "/objects/a%2Fb", {}, {{"if-none-match", "*"}}, "x"};
    CPPUNIT_ASSERT_EQUAL(200, role->Handle(kStart, put).status);
    put.body = "y";
    CPPUNIT_ASSERT_EQUAL(412, role->Handle(kStart, put).status);
    CPPUNIT_ASSERT_EQUAL(std::string("x"),
                         role->Handle(kStart, Get("/objects/a%2Fb")).body);
    CPPUNIT_ASSERT_EQUAL(404,
                         role->Handle(kStart, Get("/objects/none")).status);
  }

  // Guards against a lagging list that returns a state which never existed.
  void LaggingListReturnsPastState() {
    Journal journal;
    const auto role = MakeInstanceListRole(journal);
    json engine = {{"id", "e1"},
                   {"role", "engine"},
                   {"data_center", "regina"},
                   {"address", "127.0.0.1:1"}};
    role->Handle(kStart, Post("/instances", engine));
    engine["state"] = "leaving";
    role->Handle(kStart + milliseconds(100), Post("/instances", engine));
    const auto list = [&](int ms) {
      return json::parse(
          role->Handle(kStart + milliseconds(ms), Get("/instances")).body);
    };
    CPPUNIT_ASSERT(list(150)["instances"][0]["state"] == "leaving");
    Faults faults;
    faults.lag_ms = 100;
    role->SetFaults(faults);
    CPPUNIT_ASSERT(list(150)["instances"][0]["state"] == "live");
    CPPUNIT_ASSERT(list(200)["version"] == 2);
    CPPUNIT_ASSERT(list(50)["instances"].empty());
    engine["role"] = "other";
    CPPUNIT_ASSERT_EQUAL(
        400, role->Handle(kStart, Post("/instances", engine)).status);
  }

  // Guards against deduplication in the stand-in, which would hide calls that
  // the router ran twice.
  void ServiceDoesNotDeduplicate() {
    Journal journal(1);
    const auto role = MakeServiceRole({.id = "s1"}, journal);
    Request call = Post("/deposit", json::object());
    call.headers = {{"idempotency-key", "k"}, {"x-account", "ann"}};
    role->Handle(kStart, call);
    role->Handle(kStart, call);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, journal.dropped());
    const json event = json::parse(journal.Read(false));
    CPPUNIT_ASSERT(event["key"] == "k" && event["user"] == "ann");
    CPPUNIT_ASSERT(event["body_hash"] == BodyHash("{}"));
  }

  // Guards against misspelt fault names that are silently ignored.
  void FaultsAreCheckedAndCounted() {
    FaultInjector injector(1);
    const Request step = Post("/v1/step", json::object());
    const Request load = Get("/v1/load");
    for (const char* bad : {"[]", "{", R"({"dealy_ms":1})", R"({"down":"x"})"})
      CPPUNIT_ASSERT_MESSAGE(bad, !injector.Apply(kStart, bad).ok());
    CPPUNIT_ASSERT(injector.Apply(kStart, R"({"lose_answer_count":1})").ok());
    CPPUNIT_ASSERT(!injector.Decide(kStart, load).lose_answer);
    CPPUNIT_ASSERT(injector.Decide(kStart, step).lose_answer);
    CPPUNIT_ASSERT(!injector.Decide(kStart, step).lose_answer);
    CPPUNIT_ASSERT(injector.ToJson(kStart)["lost_answers"] == 1);
    using Action = FaultDecision::Action;
    const std::vector<std::pair<const char*, Action>> cases = {
        {R"({"reset":true,"refuse":true})", Action::kRefuse},
        {R"({"reset":true,"down":1})", Action::kRefuse},
        {R"({"reset":true,"drop":true})", Action::kDrop},
        {R"({"reset":true,"error_share":1})", Action::kError},
        {R"({"reset":true})", Action::kRun},
    };
    for (const auto& [text, action] : cases) {
      CPPUNIT_ASSERT_MESSAGE(text, injector.Apply(kStart, text).ok());
      CPPUNIT_ASSERT_MESSAGE(text,
                             injector.Decide(kStart, step).action == action);
    }
    injector.Apply(kStart, R"({"delay_ms":20,"slow_ms":5})").IgnoreError();
    CPPUNIT_ASSERT(injector.Decide(kStart, load).delay == milliseconds(25));
    injector.Apply(kStart, R"({"freeze_ms":30})").IgnoreError();
    CPPUNIT_ASSERT(
        injector.Decide(kStart + milliseconds(10), load).freeze_remaining ==
        milliseconds(20));
    const auto one_shot = injector.Apply(kStart, R"({"crash":true})");
    CPPUNIT_ASSERT(one_shot.ok() && one_shot->crash);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinTest);

}  // namespace
}  // namespace trefoilwick::standin
