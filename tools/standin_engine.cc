#include "standin_engine.h"

#include <algorithm>
#include <charconv>

#include "answer.h"

namespace trefoilwick::standin {
namespace {

constexpr std::chrono::seconds kLoadRetention{60};

bool HasCrashMarker(const std::vector<std::string>& input) {
  return std::any_of(input.begin(), input.end(), [](const std::string& word) {
    return word.find(kCrashMarker) != std::string::npos;
  });
}

// Distinguishes a repeated step from a different one with the same id.
uint64_t HashItems(const std::vector<EngineItem>& items) {
  uint64_t hash = 0;
  for (const EngineItem& item : items) {
    hash = StableHash(item.request, hash);
    hash = StableHash(item.lineage, hash);
    hash = StableHash(item.activation, hash + uint64_t(item.position));
    for (const std::string& token : item.input)
      hash = StableHash(token, hash);
  }
  return hash;
}

// Parses a number at the start of `text` and removes it and one separator.
template <typename T>
bool ParseNumberPrefix(std::string_view& text, T& value, int base) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc())
    return false;
  text.remove_prefix(static_cast<size_t>(end - text.data()));
  if (!text.empty() && text.front() == ':')
    text.remove_prefix(1);
  return true;
}

}  // namespace

std::string FormatActivation(const Activation& activation) {
  char text[48];
  std::snprintf(text, sizeof(text), "%d:%llx%s", activation.layers_done,
                static_cast<unsigned long long>(activation.hash),
                activation.has_crash_marker ? ":crash" : "");
  return text;
}

std::optional<Activation> ParseActivation(const std::string& text) {
  std::string_view remaining = text;
  Activation activation;
  if (!ParseNumberPrefix(remaining, activation.layers_done, 10) ||
      !ParseNumberPrefix(remaining, activation.hash, 16))
    return std::nullopt;
  activation.has_crash_marker = remaining == "crash";
  if (!remaining.empty() && !activation.has_crash_marker)
    return std::nullopt;
  return activation;
}

std::optional<uint64_t> Engine::Claim(uint64_t epoch,
                                      const std::string& owner) {
  if (checks_epochs()) {
    // The owner is unknown when a step carried the epoch before any claim.
    const bool is_owner = m_owner.empty() || owner == m_owner;
    if (epoch < m_epoch || (epoch == m_epoch && m_epoch > 0 && !is_owner))
      return m_epoch;
  }
  m_epoch = std::max(m_epoch, epoch);
  m_owner = owner;
  return std::nullopt;
}

std::optional<StepOutcome> Engine::CheckStep(const EngineStep& step) const {
  StepOutcome outcome;
  if (checks_epochs() && step.epoch < m_epoch) {
    outcome.status = StepOutcome::Status::kStaleEpoch;
    outcome.newest_epoch = m_epoch;
    return outcome;
  }
  outcome.status = StepOutcome::Status::kBadStep;
  if (step.first_layer != m_options.first_layer ||
      step.end_layer != m_options.end_layer) {
    outcome.error = "wrong_layers";
    return outcome;
  }
  auto it = m_steps.find(step.step);
  if (it == m_steps.end())
    return std::nullopt;
  if (it->second.items_hash != HashItems(step.items)) {
    outcome.error = "step_reused";
    return outcome;
  }
  outcome = it->second.outcome;
  outcome.repeated = true;
  return outcome;
}

bool Engine::ShouldCrash(const EngineStep& step) const {
  if (!m_options.crash_on_marker)
    return false;
  return std::any_of(step.items.begin(), step.items.end(),
                     [&](const EngineItem& item) {
                       const auto activation = ParseActivation(item.activation);
                       return HasCrashMarker(item.input) ||
                              (activation && activation->has_crash_marker);
                     });
}

Engine::Sequence* Engine::FindOrCreateSequence(const EngineItem& item,
                                               EngineResult& result) {
  const Key key{item.request, item.lineage};
  auto it = m_sequences_by_key.find(key);
  if (it == m_sequences_by_key.end()) {
    if (item.position != 0) {
      result.error = "no_kv";
      return nullptr;
    }
    m_sequences.push_front(
        {key, item.user, 0, StartAnswerHash(item.user), false});
    it = m_sequences_by_key.emplace(key, m_sequences.begin()).first;
  }
  Sequence& sequence = *it->second;
  if (sequence.next_position != item.position || sequence.user != item.user) {
    result.error = "no_kv";
    return nullptr;
  }
  m_sequences.splice(m_sequences.begin(), m_sequences, it->second);
  return &sequence;
}

EngineResult Engine::RunItem(const EngineItem& item) {
  EngineResult result;
  const bool first = m_options.first_layer == 0;
  Activation activation;
  if (first) {
    if (item.count <= 0 || item.input.size() != size_t(item.count))
      result.error = "bad_input";
  } else {
    const auto parsed = ParseActivation(item.activation);
    if (item.count <= 0)
      result.error = "bad_input";
    else if (!parsed || parsed->layers_done != m_options.first_layer)
      result.error = "bad_activation";
    else
      activation = *parsed;
  }
  Sequence* sequence =
      result.error.empty() ? FindOrCreateSequence(item, result) : nullptr;
  if (sequence == nullptr)
    return result;
  if (first) {
    for (const std::string& token : item.input)
      sequence->hash = ExtendAnswerHash(sequence->hash, token);
    sequence->has_crash_marker =
        sequence->has_crash_marker || HasCrashMarker(item.input);
    activation.hash = sequence->hash;
    activation.has_crash_marker = sequence->has_crash_marker;
  }
  sequence->next_position += item.count;
  m_kv_tokens += size_t(item.count);
  activation.layers_done = m_options.end_layer;
  result.activation = FormatActivation(activation);
  if (m_options.end_layer == m_options.model_layers && item.sample)
    result.token = TokenOfHash(activation.hash);
  return result;
}

StepOutcome Engine::Step(TimePoint now, const EngineStep& step) {
  if (auto refusal = CheckStep(step))
    return *refusal;
  StepOutcome outcome;
  if (step.epoch > m_epoch) {
    m_epoch = step.epoch;
    m_owner.clear();
  }
  if (ShouldCrash(step)) {
    outcome.status = StepOutcome::Status::kCrash;
    return outcome;
  }
  Duration duration{0};
  int items_run = 0;
  for (const EngineItem& item : step.items) {
    outcome.results.push_back(RunItem(item));
    if (!outcome.results.back().error.empty())
      continue;
    ++items_run;
    duration += m_options.per_sequence;
    if (item.count > 1)
      duration += m_options.per_prefill_token * item.count;
  }
  if (items_run > 0)
    duration += m_options.base_step_time;
  EvictSequences();
  outcome.start = std::max(now, m_busy_until);
  outcome.end = outcome.start + duration;
  m_busy_until = outcome.end;
  m_step_records.push_back(
      {outcome.start, outcome.end, now, items_run, m_kv_tokens});
  StoreStep(now, step, outcome);
  return outcome;
}

void Engine::EvictSequences() {
  while (m_kv_tokens > m_options.max_kv_tokens && m_sequences.size() > 1) {
    const Sequence& oldest = m_sequences.back();
    m_kv_tokens -= size_t(oldest.next_position);
    m_sequences_by_key.erase(oldest.key);
    m_sequences.pop_back();
  }
}

void Engine::StoreStep(TimePoint now,
                       const EngineStep& step,
                       StepOutcome outcome) {
  m_steps[step.step] = {HashItems(step.items), std::move(outcome)};
  m_step_order.push_back(step.step);
  if (m_step_order.size() > m_options.max_stored_steps) {
    m_steps.erase(m_step_order.front());
    m_step_order.pop_front();
  }
  while (m_step_records.front().end + kLoadRetention < now)
    m_step_records.pop_front();
}

void Engine::Release(const std::string& request, const std::string& lineage) {
  auto it = m_sequences_by_key.find({request, lineage});
  if (it == m_sequences_by_key.end())
    return;
  m_kv_tokens -= size_t(it->second->next_position);
  m_sequences.erase(it->second);
  m_sequences_by_key.erase(it);
}

EngineLoad Engine::LoadAt(TimePoint at) const {
  EngineLoad load;
  load.epoch = m_epoch;
  load.kv_tokens = m_kv_tokens;
  for (const StepRecord& run : m_step_records) {
    if (run.arrival > at || run.end <= at)
      continue;
    (run.start <= at ? load.running : load.queued) += run.items;
  }
  // The KV tokens at that time are those after the last step that had arrived.
  auto later =
      std::find_if(m_step_records.begin(), m_step_records.end(),
                   [&](const StepRecord& run) { return run.arrival > at; });
  if (later != m_step_records.end())
    load.kv_tokens =
        later == m_step_records.begin() ? 0 : std::prev(later)->kv_tokens;
  return load;
}

}  // namespace trefoilwick::standin
