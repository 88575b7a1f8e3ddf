// Times of a planned stop of an instance. Does no I/O.
#pragma once

#include <algorithm>

#include "trefoilwick/kernel.h"

namespace trefoilwick::detail {

// An instance that is asked to stop first takes requests as before, while
// clients learn that it leaves. Then it refuses new ones and finishes those
// that it took. What is left is ended and reported before the process is
// killed.
class PlannedStop {
 public:
  // Longest time for which an instance that stops takes requests. Longer than
  // clients keep the answer of a directory, and shorter by a margin than the
  // three seconds from the signal in which they may expect to be served: the
  // signal is handled late on a busy instance.
  static constexpr Duration kMaxNoticeTime = std::chrono::milliseconds(2500);
  // Time for the last responses to reach their clients.
  static constexpr Duration kFinalWriteTime = std::chrono::milliseconds(100);

  // Begins the stop; the process is killed `grace_period` later.
  void Begin(TimePoint now, Duration grace_period) {
    m_began = true;
    m_takes_until = now + std::min(kMaxNoticeTime, grace_period / 3);
    m_ends_at =
        now + grace_period - std::min(kTerminationMargin, grace_period / 4);
  }

  bool has_begun() const { return m_began; }
  // True when a request that has arrived now may be sent to a server.
  bool TakesRequests(TimePoint now) const {
    return !m_began || now < m_takes_until;
  }
  // True when the requests in progress must be ended.
  bool MustEndRequests(TimePoint now) const {
    return m_began && now >= m_ends_at;
  }
  // True when the process must exit.
  bool MustExit(TimePoint now) const {
    return m_began && now >= m_ends_at + kFinalWriteTime;
  }

 private:
  // Time from the end of the requests to that of the grace period.
  static constexpr Duration kTerminationMargin = std::chrono::milliseconds(400);

  bool m_began = false;
  TimePoint m_takes_until;
  TimePoint m_ends_at;
};

}  // namespace trefoilwick::detail
