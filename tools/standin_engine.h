// Engine stand-in that runs a range of layers of a model, without sockets.
#pragma once

#include <list>
#include <unordered_map>

#include "standin.h"

namespace trefoilwick::standin {

struct EngineOptions {
  // Layers [first_layer, end_layer) of model_layers.
  int first_layer = 0;
  int end_layer = 1;
  int model_layers = 1;
  // A step takes base + items * per_sequence + prefill * per_prefill_token,
  // so a full batch of 16 takes 6 ms.
  Duration base_step_time{2800};
  Duration per_sequence{200};
  Duration per_prefill_token{20};
  // KV tokens above which the least recently used sequence is evicted.
  size_t max_kv_tokens = 400'000;
  // Number of replies kept to answer repeated steps.
  size_t max_stored_steps = 1024;
  bool checks_epochs = true;
  // Whether a prompt with kCrashMarker ends the process.
  bool crash_on_marker = true;
};

inline constexpr char kCrashMarker[] = "CRASH-SERVER";

// What one stage returns to the next: the number of layers already run and the
// hash of the account and all tokens so far (answer.h).
struct Activation {
  int layers_done = 0;
  uint64_t hash = 0;
  // The prompt contains kCrashMarker.
  bool has_crash_marker = false;
  bool operator==(const Activation&) const = default;
};
std::string FormatActivation(const Activation& activation);
std::optional<Activation> ParseActivation(const std::string& text);

struct EngineItem {
  std::string request;
  std::string lineage;
  std::string user;
  int position = 0;
  int count = 0;
  std::vector<std::string> input;
  std::string activation;
  bool sample = true;
  bool operator==(const EngineItem&) const = default;
};

struct EngineStep {
  uint64_t epoch = 0;
  std::string step;
  int first_layer = 0;
  int end_layer = 0;
  std::vector<EngineItem> items;
  bool operator==(const EngineStep&) const = default;
};

struct EngineResult {
  std::string activation;
  std::string token;
  // "no_kv", "bad_input" or "bad_activation"; the item was not run.
  std::string error;
};

struct StepOutcome {
  enum class Status : uint8_t { kOk, kStaleEpoch, kBadStep, kCrash };
  Status status = Status::kOk;
  uint64_t newest_epoch = 0;
  // One per item when kOk.
  std::vector<EngineResult> results;
  TimePoint start{};
  TimePoint end{};
  // The reply is that of an earlier call with the same step id.
  bool repeated = false;
  std::string error;
};

struct EngineLoad {
  int running = 0;
  int queued = 0;
  size_t kv_tokens = 0;
  uint64_t epoch = 0;
};

// State machine of an engine. Steps run one after the other in virtual time.
// Not thread-safe.
class Engine {
 public:
  explicit Engine(EngineOptions options) : m_options(options) {}
  // Returns the newest epoch when the claim is refused, else nullopt.
  std::optional<uint64_t> Claim(uint64_t epoch, const std::string& owner);
  StepOutcome Step(TimePoint now, const EngineStep& step);
  void Release(const std::string& request, const std::string& lineage);
  // The load at time `at`; history is kept for 60 s.
  EngineLoad LoadAt(TimePoint at) const;
  void SetIgnoreEpochs(bool ignore) { m_ignore_epochs = ignore; }
  const EngineOptions& options() const { return m_options; }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Sequence {
    Key key;
    std::string user;
    int next_position = 0;
    // First stage only.
    uint64_t hash = 0;
    bool has_crash_marker = false;
  };
  struct StoredStep {
    uint64_t items_hash;
    StepOutcome outcome;
  };
  struct StepRecord {
    TimePoint start;
    TimePoint end;
    TimePoint arrival;
    int items;
    size_t kv_tokens;
  };

  bool checks_epochs() const {
    return m_options.checks_epochs && !m_ignore_epochs;
  }
  std::optional<StepOutcome> CheckStep(const EngineStep& step) const;
  bool ShouldCrash(const EngineStep& step) const;
  EngineResult RunItem(const EngineItem& item);
  // Null, with the error set, when the item cannot be run.
  Sequence* FindOrCreateSequence(const EngineItem& item, EngineResult& result);
  void EvictSequences();
  void StoreStep(TimePoint now, const EngineStep& step, StepOutcome outcome);

  EngineOptions m_options;
  bool m_ignore_epochs = false;
  uint64_t m_epoch = 0;
  std::string m_owner;
  TimePoint m_busy_until{};
  // Most recently used first.
  std::list<Sequence> m_sequences;
  std::map<Key, std::list<Sequence>::iterator> m_sequences_by_key;
  size_t m_kv_tokens = 0;
  std::unordered_map<std::string, StoredStep> m_steps;
  std::deque<std::string> m_step_order;
  std::deque<StepRecord> m_step_records;
};

// HTTP-free protocol of the engine: /v1/claim, /v1/step, /v1/release,
// /v1/load. Every item that ran is an event in `journal`.
std::unique_ptr<Role> MakeEngineRole(EngineOptions options, Journal& journal);

}  // namespace trefoilwick::standin
