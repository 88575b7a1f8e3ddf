// Invariants that every cell of the fault matrix checks. The fakes and the
// callers report what they observe.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilwick/batches.h"
#include "trefoilwick/kernel.h"
#include "trefoilwick/ledger.h"

namespace trefoilwick::matrix {

enum class Rule : uint8_t {
  kMissingOutcome,
  kRunTwice,
  kNotRunExecuted,
  kLayerOrder,
  kWrongAnswer,
  kTableRollback,
  kEditLost,
  kTwoOutcomes,
  kWorkWhileLeaving,
  kAbortedByLeaving,
  kBatchCounts,
  kItemLost,
  kServersLost,
  kSlowRecovery,
};
inline constexpr auto kRuleNames = MakeEnumTable<Rule>({
    {Rule::kMissingOutcome, "accepted without outcome"},
    {Rule::kRunTwice, "run twice"},
    {Rule::kNotRunExecuted, "not_run that ran"},
    {Rule::kLayerOrder, "layer order violations"},
    {Rule::kWrongAnswer, "crossed answers"},
    {Rule::kTableRollback, "reverts"},
    {Rule::kEditLost, "accepted edits not in force"},
    {Rule::kTwoOutcomes, "two outcomes"},
    {Rule::kWorkWhileLeaving, "work given to a leaving instance"},
    {Rule::kAbortedByLeaving, "cut off by leaving"},
    {Rule::kBatchCounts, "batch counts that do not add up"},
    {Rule::kItemLost, "finished items lost"},
    {Rule::kServersLost, "more than two servers lost to a request"},
    {Rule::kSlowRecovery, "slow recoveries"},
});
using ViolationCounts = std::array<int, kRuleNames.rows().size()>;

// The token that the stages compute for the given words.
inline std::string ExpectedToken(const std::string& account,
                                 const std::vector<std::string>& words,
                                 int stages) {
  uint64_t hash = StableHash(account);
  for (const std::string& word : words)
    hash = StableHash(word, hash);
  for (int stage = 1; stage < stages; ++stage)
    hash = StableHash("stage", hash);
  return "t" + std::to_string(hash % 1'000'000'007);
}

inline std::vector<std::string> SplitWords(const std::string& text) {
  std::vector<std::string> words;
  std::string word;
  for (const char c : text + " ") {
    if (c != ' ')
      word += c;
    else if (!word.empty())
      words.push_back(std::exchange(word, {}));
  }
  return words;
}

class Checker {
 public:
  ViolationCounts counts{};
  // The first violations, for the report.
  std::vector<std::string> details;

  void RecordViolation(Rule rule, const std::string& detail) {
    ++counts[static_cast<size_t>(rule)];
    if (details.size() < 8)
      details.push_back(std::string(kRuleNames.Name(rule)) + ": " + detail);
  }
  bool clean() const {
    return std::all_of(counts.begin(), counts.end(),
                       [](int count) { return count == 0; });
  }
  int count(Rule rule) const { return counts[static_cast<size_t>(rule)]; }

  void OnRequest(const std::string& id,
                 const std::string& account,
                 const std::string& prompt,
                 int max_tokens) {
    m_requests[id] = {account, SplitWords(prompt), max_tokens, {}, 0, {}};
  }
  void OnTokens(const std::string& id,
                int index,
                const std::vector<std::string>& tokens,
                int stages) {
    Request& r = m_requests.at(id);
    if (index != static_cast<int>(r.tokens.size()))
      RecordViolation(Rule::kWrongAnswer,
                      id + " has missing or repeated tokens");
    for (const std::string& token : tokens) {
      if (token != ExpectedToken(r.account, r.words, stages))
        RecordViolation(Rule::kWrongAnswer, id + " received a wrong token");
      r.words.push_back(token);
      r.tokens.push_back(token);
    }
  }
  void OnOutcome(const std::string& id, Outcome outcome) {
    Request& r = m_requests.at(id);
    if (++r.outcomes > 1)
      RecordViolation(Rule::kTwoOutcomes, id);
    r.outcome = outcome;
    if (outcome == Outcome::kFinished &&
        static_cast<int>(r.tokens.size()) != r.max_tokens)
      RecordViolation(Rule::kWrongAnswer, id + " finished with tokens missing");
  }
  bool HasOutcome(const std::string& id) const {
    auto it = m_requests.find(id);
    return it != m_requests.end() && it->second.outcomes > 0;
  }

  // A stage ran positions [position, position + count) of a lineage.
  void OnLayers(const std::string& request,
                uint64_t lineage,
                int stage,
                int position,
                int count) {
    m_executed.insert(request);
    int& next = m_next_positions[{request, lineage, stage}];
    if (position != next)
      RecordViolation(Rule::kLayerOrder,
                      request + " stage " + std::to_string(stage));
    next = position + count;
    if (stage > 0 && m_next_positions[{request, lineage, stage - 1}] < next)
      RecordViolation(Rule::kLayerOrder,
                      request + " ran before the previous stage");
  }

  void OnServiceRun(const std::string& key, const std::string& attempt) {
    if (++m_service_runs[key] > 1)
      RecordViolation(Rule::kRunTwice, key);
    m_executed.insert(attempt);
  }
  void OnCallStarted(const std::string& attempt) {
    m_call_answers[attempt] = 0;
  }
  void OnCallAnswer(const std::string& key,
                    const std::string& attempt,
                    LedgerVerdict verdict,
                    const std::string& body) {
    if (++m_call_answers[attempt] > 1)
      RecordViolation(Rule::kTwoOutcomes, attempt);
    if (verdict == LedgerVerdict::kNotRun)
      m_calls_not_run.insert(attempt);
    if (verdict == LedgerVerdict::kDone && body != "ran " + key)
      RecordViolation(Rule::kWrongAnswer, key + " received '" + body + "'");
  }
  // The entry that handled the call was lost: the caller's connection was
  // closed.
  void OnCallDisconnected(const std::string& attempt) {
    ++m_call_answers[attempt];
  }

  void OnTableVersion(const std::string& process, int64_t version) {
    int64_t& newest = m_table_versions[process];
    if (version < newest)
      RecordViolation(Rule::kTableRollback, process);
    newest = version;
  }
  void OnServerLost(uint64_t fingerprint) {
    if (++m_servers_lost[fingerprint] == 3)
      RecordViolation(Rule::kServersLost, std::to_string(fingerprint));
  }
  void OnBatchCounts(const std::string& batch, const BatchCounts& current) {
    BatchCounts& previous = m_batch_counts[batch];
    if (current.finished + current.not_finished + current.waiting !=
        current.submitted)
      RecordViolation(Rule::kBatchCounts, batch);
    if (current.finished < previous.finished ||
        current.not_finished < previous.not_finished)
      RecordViolation(Rule::kItemLost, batch + " counts decreased");
    previous = current;
  }
  void OnBatchItems(const std::string& batch,
                    const std::vector<BatchItemResult>& items) {
    for (const BatchItemResult& item : items) {
      std::string& text = m_item_texts[{batch, item.index}];
      if (!text.empty() &&
          (item.state != ItemState::kFinished || item.text != text))
        RecordViolation(Rule::kItemLost,
                        batch + " " + std::to_string(item.index));
      if (item.state == ItemState::kFinished)
        text = item.text;
    }
  }
  // Checks the invariants that must hold once all work has ended.
  void CheckFinalState() {
    for (const auto& [id, r] : m_requests) {
      if (r.outcomes == 0)
        RecordViolation(Rule::kMissingOutcome, id);
      if (r.outcomes > 0 && r.outcome == Outcome::kNotRun &&
          m_executed.contains(id))
        RecordViolation(Rule::kNotRunExecuted, id);
    }
    for (const auto& [attempt, answers] : m_call_answers)
      if (answers == 0)
        RecordViolation(Rule::kMissingOutcome, "call " + attempt);
    for (const std::string& attempt : m_calls_not_run)
      if (m_executed.contains(attempt))
        RecordViolation(Rule::kNotRunExecuted, "call " + attempt);
  }

 private:
  struct Request {
    std::string account;
    // Words of the prompt and of the answer so far.
    std::vector<std::string> words;
    int max_tokens = 0;
    std::vector<std::string> tokens;
    int outcomes = 0;
    Outcome outcome = Outcome::kRunning;
  };
  std::map<std::string, Request> m_requests;
  std::map<std::tuple<std::string, uint64_t, int>, int> m_next_positions;
  std::set<std::string> m_executed;
  std::map<std::string, int> m_service_runs;
  // Number of answers per call.
  std::map<std::string, int> m_call_answers;
  std::set<std::string> m_calls_not_run;
  std::map<std::string, int64_t> m_table_versions;
  std::map<uint64_t, int> m_servers_lost;
  std::map<std::string, BatchCounts> m_batch_counts;
  std::map<std::pair<std::string, int>, std::string> m_item_texts;
};

}  // namespace trefoilwick::matrix
