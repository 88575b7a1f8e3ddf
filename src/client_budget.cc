#include "trefoilwick/client_budget.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace trefoilwick {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

size_t ClientBudget::Connection::Held() const {
  return std::accumulate(held.begin(), held.end(), size_t{0});
}

size_t ClientBudget::Connection::Committed() const {
  return std::max(Held(), reserved);
}

template <typename Change>
void ClientBudget::Update(ConnectionId id, Change change) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end())
    return;
  Connection& connection = found->second;
  m_committed -= connection.Committed();
  m_large_connections -= connection.IsLarge() ? 1 : 0;
  change(connection);
  m_committed += connection.Committed();
  m_large_connections += connection.IsLarge() ? 1 : 0;
}

void ClientBudget::Add(TimePoint now, ConnectionId connection) {
  Connection& added = m_connections[connection];
  added.phase_since = now;
  added.last_progress = now;
}

void ClientBudget::Remove(ConnectionId connection) {
  Update(connection, [this](Connection& removed) {
    for (size_t use = 0; use < kBufferUses; ++use)
      m_held[use] -= removed.held[use];
    removed.held = {};
    removed.reserved = 0;
  });
  m_connections.erase(connection);
}

void ClientBudget::SetPhase(TimePoint now,
                            ConnectionId connection,
                            ConnectionPhase phase) {
  Update(connection, [&](Connection& changed) {
    changed.phase = phase;
    changed.phase_since = now;
    changed.last_progress = now;
    changed.paused_since.reset();
    // The whole body is charged from now on, or there is none.
    if (phase != ConnectionPhase::kReadingRequest)
      changed.reserved = 0;
  });
}

void ClientBudget::Charge(TimePoint now,
                          ConnectionId connection,
                          BufferUse use,
                          size_t bytes) {
  Update(connection, [&](Connection& charged) {
    charged.held[static_cast<size_t>(use)] += bytes;
    m_held[static_cast<size_t>(use)] += bytes;
    charged.last_progress = now;
  });
}

void ClientBudget::Release(TimePoint now,
                           ConnectionId connection,
                           BufferUse use,
                           size_t bytes) {
  Update(connection, [&](Connection& released) {
    size_t& held = released.held[static_cast<size_t>(use)];
    const size_t count = std::min(bytes, held);
    held -= count;
    m_held[static_cast<size_t>(use)] -= count;
    released.last_progress = now;
  });
}

bool ClientBudget::IsStalled(TimePoint now, const Connection& connection) {
  if (connection.phase != ConnectionPhase::kReadingRequest ||
      connection.paused_since)
    return false;
  if (now - connection.last_progress >= kStallTime)
    return true;
  const Duration reading = now - connection.reading_since;
  const auto body = static_cast<double>(
      connection.held[static_cast<size_t>(BufferUse::kBodyRead)]);
  return connection.reserved > 0 && reading >= kRateGraceTime &&
         body < kMinBytesPerSecond * Seconds(reading);
}

std::vector<ConnectionId> ClientBudget::ChooseStalled(TimePoint now,
                                                      size_t bytes) const {
  std::vector<std::tuple<double, ConnectionId, size_t>> stalled;
  for (const auto& [id, connection] : m_connections)
    if (IsStalled(now, connection) && connection.Committed() > 0)
      stalled.emplace_back(static_cast<double>(connection.Committed()) *
                               Seconds(now - connection.phase_since),
                           id, connection.Committed());
  std::sort(stalled.rbegin(), stalled.rend());
  std::vector<ConnectionId> chosen;
  size_t freed = 0;
  for (const auto& [score, id, committed] : stalled) {
    if (freed >= bytes)
      break;
    chosen.push_back(id);
    freed += committed;
  }
  return freed >= bytes ? chosen : std::vector<ConnectionId>();
}

ClientVerdict ClientBudget::MayReadBody(TimePoint now,
                                        ConnectionId connection,
                                        size_t body_bytes) {
  const auto found = m_connections.find(connection);
  if (m_max_bytes == 0 || found == m_connections.end())
    return Proceed();
  Connection& reader = found->second;
  if (reader.reserved > 0 || body_bytes <= kSmallBodyBytes)
    return Proceed();
  const size_t needed = body_bytes * kBodyCopies;
  const size_t others = m_committed - reader.Committed();
  // One large body is always read: a single request within the limits is served
  // whatever the budget.
  const bool is_only_large =
      m_large_connections == (reader.IsLarge() ? 1U : 0U);
  if (others + needed <= m_max_bytes || is_only_large) {
    Update(connection, [&](Connection& reserving) {
      reserving.reserved = needed;
      reserving.paused_since.reset();
      reserving.reading_since = now;
      reserving.last_progress = now;
    });
    return Proceed();
  }
  if (!reader.paused_since)
    reader.paused_since = now;
  if (auto stalled = ChooseStalled(now, others + needed - m_max_bytes);
      !stalled.empty())
    return CloseConnections{std::move(stalled)};
  if (now - *reader.paused_since >= kMaxPause)
    return RefuseRequest();
  return PauseReading();
}

ClientVerdict ClientBudget::MayAccept(TimePoint now) const {
  if (m_max_connections == 0 || m_connections.size() < m_max_connections)
    return Proceed();
  // Ending connections and those without a request first, then stalled ones,
  // then the longest idle: its client may be about to reuse it.
  std::optional<std::tuple<int, Duration, ConnectionId>> best;
  for (const auto& [id, connection] : m_connections) {
    int preference = 0;
    if (connection.phase == ConnectionPhase::kClosing)
      preference = 4;
    else if (connection.phase == ConnectionPhase::kNew)
      preference = 3;
    else if (IsStalled(now, connection))
      preference = 2;
    else if (connection.phase == ConnectionPhase::kIdle)
      preference = 1;
    else
      continue;
    best = std::max(best, {{preference, now - connection.phase_since, id}});
  }
  if (!best)
    return RefuseRequest();
  return CloseConnections{{std::get<ConnectionId>(*best)}};
}

std::vector<ConnectionId> ClientBudget::Paused() const {
  std::vector<std::pair<TimePoint, ConnectionId>> paused;
  for (const auto& [id, connection] : m_connections)
    if (connection.paused_since)
      paused.emplace_back(*connection.paused_since, id);
  std::sort(paused.begin(), paused.end());
  std::vector<ConnectionId> out;
  out.reserve(paused.size());
  for (const auto& [since, id] : paused)
    out.push_back(id);
  return out;
}

}  // namespace trefoilwick
