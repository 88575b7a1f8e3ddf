#include "trefoilwick/server_availability.h"

#include <algorithm>

namespace trefoilwick {

namespace {

// Longer than most servers serve on after the announcement, short enough that
// an instance in error does not keep a server out of use.
constexpr Duration kHintTtl = std::chrono::seconds(30);
// A process that is missing from the list is remembered for this long: an
// older list may still name it.
constexpr Duration kUnlistedRetention = std::chrono::minutes(10);

}  // namespace

bool LeavingServers::IsCurrent(TimePoint now, const Entry& entry) {
  return entry.by_own_answer || now - entry.observed_at < kHintTtl;
}

bool LeavingServers::OnAnswer(TimePoint now, const ServerProcess& process) {
  const auto [found, is_new] = m_entries.try_emplace(process.id);
  Entry& entry = found->second;
  if (!is_new && process.start_unix_ms < entry.start_unix_ms)
    return false;
  const bool was_known = !is_new &&
                         process.start_unix_ms == entry.start_unix_ms &&
                         entry.by_own_answer;
  entry = {process.start_unix_ms, now, true};
  return !was_known;
}

bool LeavingServers::Merge(TimePoint now, const LeavingNotice& notice) {
  // A time in the future would keep the hint beyond its expiry.
  const TimePoint observed_at = std::min(notice.observed_at, now);
  if (now - observed_at >= kHintTtl)
    return false;
  const ServerProcess& process = notice.process;
  const auto [found, is_new] = m_entries.try_emplace(process.id);
  Entry& entry = found->second;
  if (!is_new && process.start_unix_ms < entry.start_unix_ms)
    return false;
  if (!is_new && process.start_unix_ms == entry.start_unix_ms) {
    const bool was_current = IsCurrent(now, entry);
    entry.observed_at = std::max(entry.observed_at, observed_at);
    return !was_current;
  }
  entry = {process.start_unix_ms, observed_at, false};
  return true;
}

bool LeavingServers::Contains(TimePoint now,
                              const ServerProcess& process) const {
  const auto found = m_entries.find(process.id);
  return found != m_entries.end() &&
         process.start_unix_ms <= found->second.start_unix_ms &&
         IsCurrent(now, found->second);
}

std::vector<LeavingNotice> LeavingServers::NoticesToShare(
    TimePoint now,
    const ServerMap& listed) const {
  std::vector<LeavingNotice> out;
  for (const auto& [id, entry] : m_entries) {
    const auto server = listed.find(id);
    if (server != listed.end() && server->second.state == ServerState::kReady &&
        server->second.start_unix_ms <= entry.start_unix_ms &&
        now - entry.observed_at < kHintTtl)
      out.push_back({{id, entry.start_unix_ms}, entry.observed_at});
  }
  return out;
}

bool LeavingServers::RemoveExpired(TimePoint now, const ServerMap& listed) {
  return std::erase_if(m_entries, [&](const auto& item) {
           const auto& [id, entry] = item;
           if (!IsCurrent(now, entry))
             return true;
           const auto server = listed.find(id);
           if (server != listed.end())
             return server->second.start_unix_ms > entry.start_unix_ms;
           return now - entry.observed_at >= kUnlistedRetention;
         }) > 0;
}

void ServerPauses::Set(TimePoint now,
                       const std::string& server,
                       Duration pause) {
  if (pause <= Duration(0))
    return;
  const TimePoint until = now + std::min(pause, kMaxPause);
  Pause& known = m_pauses[server];
  if (known.until <= now)
    known.probed = false;
  known.until = std::max(known.until, until);
}

Duration ServerPauses::Remaining(TimePoint now,
                                 const std::string& server) const {
  const auto found = m_pauses.find(server);
  return found == m_pauses.end()
             ? Duration(0)
             : std::max(Duration(0), found->second.until - now);
}

std::set<std::string> ServerPauses::Active(TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, pause] : m_pauses)
    if (now < pause.until)
      out.insert(server);
  return out;
}

bool ServerPauses::TryProbe(TimePoint now, const std::string& server) {
  const auto found = m_pauses.find(server);
  if (found == m_pauses.end() || now >= found->second.until)
    return true;
  return !std::exchange(found->second.probed, true);
}

void ServerPauses::RemoveExpired(TimePoint now) {
  std::erase_if(m_pauses,
                [&](const auto& entry) { return entry.second.until <= now; });
}

SendVerdict ServerAvailability::Assess(TimePoint now,
                                       const BackendServer& server) const {
  if (m_leaving.Contains(now, server.process()))
    return SendVerdict::kLeaving;
  if (m_pauses.Remaining(now, server.id) > Duration(0))
    return SendVerdict::kPaused;
  if (m_cooldowns.Active(now).contains(server.id))
    return SendVerdict::kRefusing;
  return SendVerdict::kAllowed;
}

SendVerdict ServerAvailability::TrySend(TimePoint now,
                                        const BackendServer& server,
                                        bool within_retry_budget,
                                        double unit) {
  const SendVerdict verdict = Assess(now, server);
  if (verdict != SendVerdict::kAllowed)
    return verdict;
  if (!within_retry_budget)
    return SendVerdict::kRetryBudgetSpent;
  // Last, because it charges the limit.
  return m_limits.TryTake(now, server.id, unit) ? SendVerdict::kAllowed
                                                : SendVerdict::kLimitUsed;
}

std::set<std::string> ServerAvailability::Unavailable(TimePoint now) const {
  std::set<std::string> out = m_cooldowns.Active(now);
  out.merge(m_pauses.Active(now));
  return out;
}

bool ServerAvailability::RemoveExpired(TimePoint now, const ServerMap& listed) {
  m_pauses.RemoveExpired(now);
  m_cooldowns.RemoveExpired(now);
  m_limits.RemoveExpired(now);
  return m_leaving.RemoveExpired(now, listed);
}

}  // namespace trefoilwick
