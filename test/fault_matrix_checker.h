// Invariants that every cell of the fault matrix checks, fed by the journals of
// the fakes and by what callers see.
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
  kWithoutOutcome,
  kRunTwice,
  kNotRunRan,
  kLayerOrder,
  kCrossedAnswer,
  kRevert,
  kEditLost,
  kTwoOutcomes,
  kWorkWhileLeaving,
  kCutOff,
  kBatchCounts,
  kItemLost,
  kServersLost,
  kSlowRecovery,
};
inline constexpr auto kRuleNames = MakeEnumTable<Rule>({
    {Rule::kWithoutOutcome, "accepted without outcome"},
    {Rule::kRunTwice, "run twice"},
    {Rule::kNotRunRan, "not_run that ran"},
    {Rule::kLayerOrder, "layer order violations"},
    {Rule::kCrossedAnswer, "crossed answers"},
    {Rule::kRevert, "reverts"},
    {Rule::kEditLost, "accepted edits not in force"},
    {Rule::kTwoOutcomes, "two outcomes"},
    {Rule::kWorkWhileLeaving, "work given to a leaving instance"},
    {Rule::kCutOff, "cut off by leaving"},
    {Rule::kBatchCounts, "batch counts that do not add up"},
    {Rule::kItemLost, "finished items lost"},
    {Rule::kServersLost, "more than two servers lost to a request"},
    {Rule::kSlowRecovery, "slow recoveries"},
});
using Counts = std::array<int, kRuleNames.rows().size()>;

// Token that the stages compute after the given words.
inline std::string TokenAfter(const std::string& account,
                              const std::vector<std::string>& words,
                              int stages) {
  uint64_t hash = StableHash(account);
  for (const std::string& word : words)
    hash = StableHash(word, hash);
  for (int stage = 1; stage < stages; ++stage)
    hash = StableHash("stage", hash);
  return "t" + std::to_string(hash % 1'000'000'007);
}

inline std::vector<std::string> WordsOf(const std::string& text) {
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
  Counts counts{};
  // The first breaches, for the report.
  std::vector<std::string> details;

  void Violate(Rule rule, const std::string& detail) {
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
    m_requests[id] = {account, WordsOf(prompt), max_tokens, {}, 0, {}};
  }
  void OnTokens(const std::string& id,
                int index,
                const std::vector<std::string>& tokens,
                int stages) {
    Request& r = m_requests.at(id);
    if (index != static_cast<int>(r.tokens.size()))
      Violate(Rule::kCrossedAnswer, id + " has a gap or a repetition");
    for (const std::string& token : tokens) {
      if (token != TokenAfter(r.account, r.words, stages))
        Violate(Rule::kCrossedAnswer, id + " received a foreign token");
      r.words.push_back(token);
      r.tokens.push_back(token);
    }
  }
  void OnOutcome(const std::string& id, Outcome outcome) {
    Request& r = m_requests.at(id);
    if (++r.outcomes > 1)
      Violate(Rule::kTwoOutcomes, id);
    r.outcome = outcome;
    if (outcome == Outcome::kFinished &&
        static_cast<int>(r.tokens.size()) != r.max_tokens)
      Violate(Rule::kCrossedAnswer, id + " finished with a part missing");
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
    m_ran.insert(request);
    int& next = m_layers[{request, lineage, stage}];
    if (position != next)
      Violate(Rule::kLayerOrder, request + " stage " + std::to_string(stage));
    next = position + count;
    if (stage > 0 && m_layers[{request, lineage, stage - 1}] < next)
      Violate(Rule::kLayerOrder, request + " ran ahead of the stage before");
  }

  void OnServiceRun(const std::string& key, const std::string& attempt) {
    if (++m_service_runs[key] > 1)
      Violate(Rule::kRunTwice, key);
    m_ran.insert(attempt);
  }
  void OnCall(const std::string& attempt) { m_calls[attempt] = 0; }
  void OnCallAnswer(const std::string& key,
                    const std::string& attempt,
                    LedgerVerdict verdict,
                    const std::string& body) {
    if (++m_calls[attempt] > 1)
      Violate(Rule::kTwoOutcomes, attempt);
    if (verdict == LedgerVerdict::kNotRun)
      m_calls_not_run.insert(attempt);
    if (verdict == LedgerVerdict::kDone && body != "ran " + key)
      Violate(Rule::kCrossedAnswer, key + " got '" + body + "'");
  }
  // The entry that had the call is gone: its caller saw the connection break.
  void OnCallBroken(const std::string& attempt) { ++m_calls[attempt]; }

  void OnTable(const std::string& process, int64_t version) {
    int64_t& newest = m_tables[process];
    if (version < newest)
      Violate(Rule::kRevert, process);
    newest = version;
  }
  void OnServerLost(uint64_t fingerprint) {
    if (++m_servers_lost[fingerprint] == 3)
      Violate(Rule::kServersLost, std::to_string(fingerprint));
  }
  void OnBatchCounts(const std::string& batch, const BatchCounts& now) {
    BatchCounts& before = m_batches[batch];
    if (now.finished + now.not_finished + now.waiting != now.submitted)
      Violate(Rule::kBatchCounts, batch);
    if (now.finished < before.finished ||
        now.not_finished < before.not_finished)
      Violate(Rule::kItemLost, batch + " counts went back");
    before = now;
  }
  void OnBatchItems(const std::string& batch,
                    const std::vector<BatchItemResult>& items) {
    for (const BatchItemResult& item : items) {
      std::string& text = m_items[{batch, item.index}];
      if (!text.empty() &&
          (item.state != ItemState::kFinished || item.text != text))
        Violate(Rule::kItemLost, batch + " " + std::to_string(item.index));
      if (item.state == ItemState::kFinished)
        text = item.text;
    }
  }
  // Checks what must hold once everything has ended.
  void Finish() {
    for (const auto& [id, r] : m_requests) {
      if (r.outcomes == 0)
        Violate(Rule::kWithoutOutcome, id);
      if (r.outcomes > 0 && r.outcome == Outcome::kNotRun && m_ran.contains(id))
        Violate(Rule::kNotRunRan, id);
    }
    for (const auto& [attempt, answers] : m_calls)
      if (answers == 0)
        Violate(Rule::kWithoutOutcome, "call " + attempt);
    for (const std::string& attempt : m_calls_not_run)
      if (m_ran.contains(attempt))
        Violate(Rule::kNotRunRan, "call " + attempt);
  }

 private:
  struct Request {
    std::string account;
    // Prompt and answer so far.
    std::vector<std::string> words;
    int max_tokens = 0;
    std::vector<std::string> tokens;
    int outcomes = 0;
    Outcome outcome = Outcome::kRunning;
  };
  std::map<std::string, Request> m_requests;
  std::map<std::tuple<std::string, uint64_t, int>, int> m_layers;
  std::set<std::string> m_ran;
  std::map<std::string, int> m_service_runs;
  // Answers per call.
  std::map<std::string, int> m_calls;
  std::set<std::string> m_calls_not_run;
  std::map<std::string, int64_t> m_tables;
  std::map<uint64_t, int> m_servers_lost;
  std::map<std::string, BatchCounts> m_batches;
  std::map<std::pair<std::string, int>, std::string> m_items;
};

}  // namespace trefoilwick::matrix
