#include "journal_check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "answer.h"

namespace trefoilwick {
namespace {

constexpr int kLayers = 4;

// A finished completion of account "ann" with 2 prompt words and 3 tokens.
CallerRecord FinishedCompletion() {
  CallerRecord call;
  call.request = "r1";
  call.account = "ann";
  call.prompt = "two words";
  call.outcome = "finished";
  call.max_tokens = 3;
  call.tokens = ExpectedAnswer("ann", "two words", 3);
  call.status = 200;
  return call;
}

CallerRecord FinishedDeposit(const std::string& key) {
  CallerRecord call;
  call.request = "q-" + key;
  call.account = "ann";
  call.is_service_call = true;
  call.idempotent = false;
  call.idempotency_key = key;
  call.body_hash = BodyHash("{}");
  call.outcome = "finished";
  call.status = 200;
  return call;
}

ServiceEvent MakeServiceEvent(const CallerRecord& call,
                              const std::string& server) {
  return {server,
          "/deposit",
          call.account,
          call.request,
          call.idempotency_key,
          call.body_hash,
          1};
}

// Adds the events of both stages for one step of the completion.
void AddStep(JournalCheckInput& input,
             const std::string& lineage,
             int position,
             int count) {
  for (int layer = 0; layer < kLayers; layer += 2) {
    EngineEvent event;
    event.request = "r1";
    event.lineage = lineage;
    event.user = "ann";
    event.position = position;
    event.count = count;
    event.first_layer = layer;
    event.end_layer = layer + 2;
    event.time = int64_t(input.engine_events.size() + 1) * 10;
    input.engine_events.push_back(event);
  }
}

// Two stages run the completion without a fault: the prompt in lineage 1, then
// a restart in lineage 2, which replays the prompt and the first token.
JournalCheckInput FaultlessInput() {
  JournalCheckInput input;
  input.model_layers = kLayers;
  input.calls = {FinishedCompletion(), FinishedDeposit("k1")};
  AddStep(input, "1", 0, 2);
  AddStep(input, "2", 0, 3);
  AddStep(input, "2", 3, 1);
  input.service_events = {MakeServiceEvent(input.calls[1], "s1")};
  return input;
}

struct PlantedFault {
  const char* name;
  std::vector<ViolationKind> expected;
  std::function<void(JournalCheckInput&)> plant;
};

using Kind = ViolationKind;

const std::vector<PlantedFault>& LayerFaults() {
  static const std::vector<PlantedFault> planted = {
      {"layer skipped",
       {Kind::kLayerSkipped},
       [](auto& in) { in.engine_events.erase(in.engine_events.begin() + 2); }},
      {"last layers skipped",
       {Kind::kLayerSkipped},
       [](auto& in) { in.engine_events.pop_back(); }},
      {"layer repeated",
       {Kind::kLayerRepeated},
       [](auto& in) { in.engine_events.push_back(in.engine_events.back()); }},
      {"layers out of order",
       {Kind::kLayerOutOfOrder},
       [](auto& in) {
         std::swap(in.engine_events[4].time, in.engine_events[5].time);
       }},
      {"position run out of order",
       {Kind::kLayerOutOfOrder},
       [](auto& in) {
         in.engine_events[4].time = 21;
         in.engine_events[5].time = 22;
       }},
      {"tokens of two incomplete lineages",
       {Kind::kLayerSkipped},
       [](auto& in) {
         in.engine_events[4].lineage = in.engine_events[5].lineage = "3";
       }},
      {"events lost in a crash",
       {},
       [](auto& in) {
         in.engine_events.erase(in.engine_events.begin() + 2);
         in.engine_journals_complete = false;
       }},
  };
  return planted;
}

const std::vector<PlantedFault>& AnswerFaults() {
  static const std::vector<PlantedFault> planted = {
      {"wrong token",
       {Kind::kWrongAnswer},
       [](auto& in) { in.calls[0].tokens[1] = "wrong"; }},
      {"answer cut",
       {Kind::kWrongAnswerLength},
       [](auto& in) { in.calls[0].tokens.pop_back(); }},
      {"incomplete answers may be short",
       {},
       [](auto& in) {
         in.calls[0].tokens.pop_back();
         in.calls[0].outcome = "incomplete";
       }},
      {"token of another account",
       {Kind::kCrossRequestLeak},
       [](auto& in) {
         CallerRecord other = FinishedCompletion();
         other.request = "r2";
         other.account = "bob";
         other.outcome = "incomplete";
         other.tokens.clear();
         in.calls.push_back(other);
         in.calls[0].tokens[2] = ExpectedAnswer("bob", "two words", 3)[2];
       }},
      {"run for another account",
       {Kind::kCrossRequestLeak},
       [](auto& in) { in.engine_events[3].user = "bob"; }},
      {"completion not run",
       {Kind::kRanDespiteNotRun},
       [](auto& in) {
         in.calls[0].outcome = "not_run";
         in.calls[0].tokens.clear();
       }},
      {"completion without a run",
       {Kind::kFinishedWithoutRun},
       [](auto& in) { in.engine_events.clear(); }},
      {"no outcome",
       {Kind::kNoOutcome},
       [](auto& in) { in.calls[0].outcome = ""; }},
      {"still running",
       {Kind::kNoOutcome},
       [](auto& in) { in.calls[1].outcome = "running"; }},
  };
  return planted;
}

const std::vector<PlantedFault>& ServiceFaults() {
  static const std::vector<PlantedFault> planted = {
      {"run twice",
       {Kind::kRanTwice},
       [](auto& in) {
         in.service_events.push_back(MakeServiceEvent(in.calls[1], "s2"));
       }},
      {"idempotent calls may run twice",
       {},
       [](auto& in) {
         in.calls[1].idempotent = true;
         in.service_events.push_back(MakeServiceEvent(in.calls[1], "s2"));
       }},
      {"not_run reported for a call that ran",
       {Kind::kRanDespiteNotRun},
       [](auto& in) { in.calls[1].outcome = "not_run"; }},
      {"not_run reported for a call without a key that ran",
       {Kind::kRanDespiteNotRun},
       [](auto& in) {
         in.calls[1].outcome = "not_run";
         in.calls[1].idempotency_key = in.service_events[0].key = "";
       }},
      {"refused first, run by a later attempt",
       {},
       [](auto& in) {
         in.calls.push_back(in.calls[1]);
         in.calls[1].outcome = "not_run";
       }},
      {"refused because the key was used with another body",
       {},
       [](auto& in) {
         in.calls.push_back(in.calls[1]);
         in.calls[2].outcome = "not_run";
         in.calls[2].body_hash = BodyHash("other");
       }},
      {"finished reported for a call that did not run",
       {Kind::kFinishedWithoutRun},
       [](auto& in) { in.service_events.clear(); }},
  };
  return planted;
}

class JournalCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JournalCheckTest);
  CPPUNIT_TEST(AcceptsFaultlessRun);
  CPPUNIT_TEST(CatchesPlantedFaults);
  CPPUNIT_TEST(ParsesJournalsAndRejectsBadLines);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against false alarms, especially for restarts with a new lineage.
  void AcceptsFaultlessRun() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         FormatViolations(CheckJournals(FaultlessInput())));
  }

  // Guards against a checker that passes everything: each case plants one
  // fault in a faultless run, or a harmless change that must not be reported.
  void CatchesPlantedFaults() {
    for (const auto* faults :
         {&LayerFaults(), &AnswerFaults(), &ServiceFaults()})
      for (const PlantedFault& fault : *faults) {
        JournalCheckInput input = FaultlessInput();
        fault.plant(input);
        const auto violations = CheckJournals(input);
        std::vector<ViolationKind> kinds;
        kinds.reserve(violations.size());
        for (const Violation& violation : violations)
          kinds.push_back(violation.kind);
        CPPUNIT_ASSERT_MESSAGE(
            std::string(fault.name) + "\n" + FormatViolations(violations),
            kinds == fault.expected);
      }
  }

  // Guards against invalid journal lines that are skipped silently.
  void ParsesJournalsAndRejectsBadLines() {
    const auto engine = ParseEngineJournal(
        R"({"count":1,"epoch":65537,"layers":[0,2],"lineage":"9","position":4,)"
        R"("request":"r","step":"7","time":12,"user":"ann"})"
        "\n");
    CPPUNIT_ASSERT(engine.ok());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, engine->size());
    CPPUNIT_ASSERT_EQUAL(2, engine->front().end_layer);
    CPPUNIT_ASSERT_EQUAL(int64_t{12}, engine->front().time);
    CPPUNIT_ASSERT(!ParseEngineJournal("{}\n").ok());
    CPPUNIT_ASSERT(!ParseServiceJournal("not JSON\n").ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalCheckTest);

}  // namespace
}  // namespace trefoilwick
