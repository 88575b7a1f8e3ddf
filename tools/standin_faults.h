// Faults that a test enables in a running stand-in.
#pragma once

#include <mutex>
#include <string>

#include "standin.h"

namespace trefoilwick::standin {

struct Faults {
  // Delays the replies to this share of requests.
  int64_t delay_ms = 0;
  double delay_share = 1;
  // Answers 503 and runs nothing.
  bool refuse = false;
  // Accepts the request, runs nothing and never answers.
  bool drop = false;
  // Runs the call and never answers; applies to calls that change state.
  bool lose_answer = false;
  // Number of calls for which `lose_answer` applies; counts down.
  int64_t lose_answer_count = 0;
  // Answers 500 to this share of requests and runs nothing.
  double error_share = 0;
  // Table service: answers 503 to every request; delays every reply.
  bool down = false;
  int64_t slow_ms = 0;
  // Engine: accepts every epoch; load reports show the state this long ago.
  bool ignore_epochs = false;
  int64_t load_lag_ms = 0;
  // Instance list: answers with the state this long ago.
  int64_t lag_ms = 0;
};

// What to do with one request.
struct FaultDecision {
  enum class Action : uint8_t { kRun, kRefuse, kError, kDrop };
  Action action = Action::kRun;
  Duration delay{0};
  // Run the request and never answer.
  bool lose_answer = false;
  // Wait this long, then decide again.
  Duration freeze_remaining{0};
};

// Faults that happen once, when they are posted.
struct OneShotFaults {
  bool crash = false;
  bool silence_connections = false;
};

// Holds the faults in effect. Thread-safe.
class FaultInjector {
 public:
  explicit FaultInjector(uint64_t seed) : m_random(seed) {}
  // Merges a JSON object into the faults in effect; `{"reset": true}` clears
  // them first. An unknown field or a wrong type changes nothing.
  absl::StatusOr<OneShotFaults> Apply(TimePoint now, const std::string& text);
  FaultDecision Decide(TimePoint now, const Request& request);
  Faults faults() const;
  // Remaining time of the freeze; 0 when there is none.
  Duration FreezeRemaining(TimePoint now) const;
  // The faults in effect and how often each was applied.
  nlohmann::json ToJson(TimePoint now) const;

 private:
  mutable std::mutex m_mutex;
  Faults m_faults;
  TimePoint m_frozen_until{};
  Random m_random;
  uint64_t m_lost_answers = 0;
  uint64_t m_dropped = 0;
  uint64_t m_refused = 0;
  uint64_t m_errors = 0;
  uint64_t m_delayed = 0;
};

}  // namespace trefoilwick::standin
