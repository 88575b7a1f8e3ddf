#include "standin_faults.h"

#include <algorithm>
#include <type_traits>

namespace trefoilwick::standin {
namespace {

using nlohmann::json;

// Calls `visit(name, field)` for every field of `faults`.
template <typename F, typename V>
void ForEachField(F& faults, const V& visit) {
  visit("delay_ms", faults.delay_ms);
  visit("delay_share", faults.delay_share);
  visit("refuse", faults.refuse);
  visit("drop", faults.drop);
  visit("lose_answer", faults.lose_answer);
  visit("lose_answer_count", faults.lose_answer_count);
  visit("error_share", faults.error_share);
  visit("down", faults.down);
  visit("slow_ms", faults.slow_ms);
  visit("ignore_epochs", faults.ignore_epochs);
  visit("load_lag_ms", faults.load_lag_ms);
  visit("lag_ms", faults.lag_ms);
}

absl::Status FieldError(const std::string& name) {
  return MakeStatus(absl::StatusCode::kInvalidArgument,
                    "unknown fault or wrong type: " + name);
}

// Stores `value` in the field `name`; false when there is no such field or the
// type is wrong. Booleans may be given as integers.
bool SetField(Faults& faults, const std::string& name, const json& value) {
  bool found = false;
  ForEachField(faults, [&](const char* field, auto& target) {
    if (name != field)
      return;
    using T = std::remove_reference_t<decltype(target)>;
    if constexpr (std::is_same_v<T, bool>) {
      found = value.is_boolean() || value.is_number_integer();
      if (found)
        target = value.is_boolean() ? value.get<bool>() : value != 0;
    } else {
      found = value.is_number();
      if (found)
        target = value.get<T>();
    }
  });
  return found;
}

bool ChangesState(const Request& request) {
  return request.method != "GET" && request.path != "/v1/release";
}

}  // namespace

absl::StatusOr<OneShotFaults> FaultInjector::Apply(TimePoint now,
                                                   const std::string& text) {
  const json patch = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!patch.is_object())
    return FieldError("the body is not a JSON object");
  std::lock_guard lock(m_mutex);
  Faults changed = m_faults;
  TimePoint frozen_until = m_frozen_until;
  OneShotFaults one_shot;
  if (patch.value("reset", false)) {
    changed = Faults();
    frozen_until = {};
  }
  for (const auto& [name, value] : patch.items()) {
    if (name == "freeze_ms" && value.is_number_integer())
      frozen_until = now + std::chrono::milliseconds(value.get<int64_t>());
    else if (name == "crash" && value.is_boolean())
      one_shot.crash = value.get<bool>();
    else if (name == "silent_connections" && value.is_boolean())
      one_shot.silence_connections = value.get<bool>();
    else if (name != "reset" && !SetField(changed, name, value))
      return FieldError(name);
  }
  m_faults = changed;
  m_frozen_until = frozen_until;
  return one_shot;
}

FaultDecision FaultInjector::Decide(TimePoint now, const Request& request) {
  std::lock_guard lock(m_mutex);
  FaultDecision decision;
  if (now < m_frozen_until) {
    decision.freeze_remaining = m_frozen_until - now;
    return decision;
  }
  using Action = FaultDecision::Action;
  if (m_faults.drop) {
    ++m_dropped;
    decision.action = Action::kDrop;
  } else if (m_faults.refuse || m_faults.down) {
    ++m_refused;
    decision.action = Action::kRefuse;
  } else if (m_faults.error_share > 0 &&
             m_random.UniformDouble() < m_faults.error_share) {
    ++m_errors;
    decision.action = Action::kError;
  }
  decision.delay = std::chrono::milliseconds(m_faults.slow_ms);
  if (m_faults.delay_ms > 0 &&
      m_random.UniformDouble() < m_faults.delay_share) {
    ++m_delayed;
    decision.delay += std::chrono::milliseconds(m_faults.delay_ms);
  }
  if (decision.action == Action::kRun && ChangesState(request)) {
    decision.lose_answer =
        m_faults.lose_answer || m_faults.lose_answer_count > 0;
    if (m_faults.lose_answer_count > 0)
      --m_faults.lose_answer_count;
    if (decision.lose_answer)
      ++m_lost_answers;
  }
  return decision;
}

Duration FaultInjector::FreezeRemaining(TimePoint now) const {
  std::lock_guard lock(m_mutex);
  return std::max(Duration(0), m_frozen_until - now);
}

Faults FaultInjector::faults() const {
  std::lock_guard lock(m_mutex);
  return m_faults;
}

json FaultInjector::ToJson(TimePoint now) const {
  std::lock_guard lock(m_mutex);
  json result;
  ForEachField(m_faults, [&](const char* name, const auto& value) {
    result[name] = value;
  });
  const Duration left = std::max(Duration(0), m_frozen_until - now);
  result["freeze_ms"] = left.count() / 1000;
  result["lost_answers"] = m_lost_answers;
  result["dropped"] = m_dropped;
  result["refused"] = m_refused;
  result["errors"] = m_errors;
  result["delayed"] = m_delayed;
  return result;
}

}  // namespace trefoilwick::standin
