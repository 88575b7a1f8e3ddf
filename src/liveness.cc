#include "trefoilwick/liveness.h"

#include <algorithm>
#include <map>

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;

// Bounds of the silence that is suspicious by itself, and lower bounds of those
// that are suspicious together with other evidence.
constexpr Duration kMinLongSilence = milliseconds(70);
constexpr Duration kMaxLongSilence = milliseconds(180);
constexpr Duration kMinShortSilence = milliseconds(35);
constexpr Duration kMinOverdueSilence = milliseconds(25);
// Number of streams that must be silent, or overdue, at the same time.
constexpr int kMinSilentStreams = 2;
constexpr int kMinOverdueStreams = 4;
// Time between two probes of a server by one instance. It doubles with each
// probe that finds the server alive, and is reset when there was no probe for a
// while.
constexpr Duration kProbeInterval = milliseconds(300);
constexpr Duration kMaxProbeInterval = std::chrono::seconds(5);
// Probe rate of all instances together, the smallest rate of each instance, and
// the burst size, which suffices for all servers of a long path.
constexpr double kProbesPerSecond = 120;
constexpr double kMinProbesPerSecondPerInstance = 3;
constexpr double kProbeBurst = 12;
// Other instances learn of a lost server and probe it within this time.
constexpr Duration kReportAndProbeTime = milliseconds(100);
// Without reports from half of the other instances, an instance decides alone
// after this time.
constexpr Duration kMaxVerdictDelay = milliseconds(1200);
// Entries that expire while the store is unavailable are back within two
// seconds.
constexpr Duration kEndedAfterUnlisted = milliseconds(2500);
constexpr Duration kUnlistedProbeInterval = milliseconds(500);
// Longer than a request may take.
constexpr Duration kEndedRetention = std::chrono::minutes(10);
constexpr Duration kRefusalCooldown = milliseconds(500);
constexpr Duration kMaxRefusalCooldown = std::chrono::seconds(4);
// A server that refuses within this time after its cool-down is taken to have
// refused all the time.
constexpr Duration kRepeatedRefusalWindow = milliseconds(1000);

// Memory utilization below which a server does not refuse for lack of free
// memory.
constexpr double kMaxDrainingUtilization = 0.5;

// Number of streams that the first baseline is computed from, and the weight of
// each later one.
constexpr int kMinBaselineSamples = 8;
constexpr double kBaselineWeight = 1.0 / 32;
// Largest factor over the baseline that a stream counts with.
constexpr double kMaxBaselineSampleRatio = 1.3;
// Factors over the baseline from which a stream is slow, and up to which it is
// not.
constexpr double kSlowStreamRatio = 1.5;
constexpr double kBaselineStreamRatio = 1.2;
// Longer than the time between two readings of a slow server.
constexpr Duration kSlowdownRetention = milliseconds(2500);
// Factor by which a slowdown must change to be reported to other instances.
constexpr double kReportedSlowdownChange = 1.5;

}  // namespace

Silence AssessSilence(Duration silent, Duration interval) {
  if (silent >= std::clamp(interval * 5 / 2, kMinLongSilence, kMaxLongSilence))
    return Silence::kLong;
  if (silent >= std::clamp(interval * 7 / 4, kMinShortSilence, kMaxLongSilence))
    return Silence::kShort;
  if (silent >= std::max(interval * 13 / 10, kMinOverdueSilence))
    return Silence::kOverdue;
  return Silence::kNone;
}

std::set<std::string> SuspectServers(
    const std::vector<StreamProgress>& streams) {
  struct StreamCounts {
    int all = 0;
    int overdue = 0;
    int silent = 0;
  };
  std::map<std::string, StreamCounts> counts_by_server;
  std::set<std::string> suspects;
  for (const StreamProgress& stream : streams) {
    for (const PathStage& stage : *stream.path) {
      StreamCounts& count = counts_by_server[stage.server];
      ++count.all;
      count.overdue += stream.silence >= Silence::kOverdue ? 1 : 0;
      count.silent += stream.silence >= Silence::kShort ? 1 : 0;
      if (stream.silence == Silence::kLong)
        suspects.insert(stage.server);
    }
  }
  for (const auto& [server, count] : counts_by_server)
    if ((count.silent == count.all && count.silent >= kMinSilentStreams) ||
        (count.overdue == count.all && count.overdue >= kMinOverdueStreams))
      suspects.insert(server);
  return suspects;
}

bool StreamsCorroborateLoss(const std::string& server,
                            const std::vector<StreamProgress>& streams) {
  bool has_streams = false;
  for (const StreamProgress& stream : streams) {
    const bool uses = std::any_of(
        stream.path->begin(), stream.path->end(),
        [&](const PathStage& stage) { return stage.server == server; });
    if (uses && stream.silence == Silence::kNone)
      return false;
    has_streams |= uses;
  }
  return has_streams;
}

LossVerdict AssessLoss(const std::string& server,
                       TimePoint since,
                       TimePoint now,
                       const std::vector<UnreachableReport>& others) {
  size_t unreachable_votes = 1;
  size_t vote_count = 1;
  for (const UnreachableReport& other : others) {
    const bool reports_unreachable = other.unreachable->contains(server);
    if (!reports_unreachable && other.received_at < since + kReportAndProbeTime)
      continue;
    ++vote_count;
    unreachable_votes += reports_unreachable ? 1 : 0;
  }
  if (unreachable_votes * 2 > others.size() + 1)
    return LossVerdict::kConfirmed;
  if (vote_count * 2 <= others.size() + 1 && now - since < kMaxVerdictDelay)
    return LossVerdict::kUndecided;
  return unreachable_votes * 2 > vote_count ? LossVerdict::kConfirmed
                                            : LossVerdict::kContradicted;
}

bool ProbeLimiter::TryAcquire(const std::string& server,
                              TimePoint now,
                              size_t instances) {
  const double rate = std::max(
      kMinProbesPerSecondPerInstance,
      kProbesPerSecond / static_cast<double>(std::max(size_t{1}, instances)));
  const double seconds =
      static_cast<double>((now - m_last_refill).count()) / 1e6;
  m_tokens = std::min(kProbeBurst, m_tokens + rate * seconds);
  m_last_refill = now;
  Server& probe_state = m_servers[server];
  if (now < probe_state.next_probe_at || m_tokens < 1)
    return false;
  m_tokens -= 1;
  if (now - probe_state.next_probe_at > kMaxProbeInterval)
    probe_state.interval = Duration(0);
  probe_state.interval = std::max(probe_state.interval, kProbeInterval);
  probe_state.next_probe_at = now + probe_state.interval;
  return true;
}

void ProbeLimiter::OnAlive(const std::string& server, TimePoint now) {
  Server& probe_state = m_servers[server];
  probe_state.interval = std::min(probe_state.interval * 2, kMaxProbeInterval);
  probe_state.next_probe_at =
      std::max(probe_state.next_probe_at, now + probe_state.interval);
}

bool RefusalCooldowns::RecordRefusal(const std::string& server, TimePoint now) {
  Cooldown& cooldown = m_cooldowns[server];
  // Requests that were sent before the cool-down do not lengthen it.
  if (now < cooldown.until)
    return false;
  const bool repeated = cooldown.duration > Duration(0) &&
                        now - cooldown.until <= kRepeatedRefusalWindow;
  cooldown.duration = repeated
                          ? std::min(cooldown.duration * 2, kMaxRefusalCooldown)
                          : kRefusalCooldown;
  cooldown.until = now + cooldown.duration;
  return true;
}

std::set<std::string> RefusalCooldowns::Active(TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, cooldown] : m_cooldowns)
    if (now < cooldown.until)
      out.insert(server);
  return out;
}

std::set<std::string> RefusalCooldowns::RepeatedlyRefusing(
    TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, cooldown] : m_cooldowns)
    if (cooldown.duration > kRefusalCooldown &&
        now - cooldown.until <= kRepeatedRefusalWindow)
      out.insert(server);
  return out;
}

void RefusalCooldowns::RemoveExpired(TimePoint now) {
  std::erase_if(m_cooldowns, [&](const auto& entry) {
    return now - entry.second.until > kRepeatedRefusalWindow;
  });
}

std::set<std::string> FindUnlistedDrainingServers(
    const EngineModel& engine,
    const ServerMap& servers,
    const LoadMap& loads,
    const std::set<std::string>& refusing) {
  std::set<std::string> out;
  for (const std::string& id : refusing) {
    const auto server = servers.find(id);
    if (server == servers.end() || !server->second.layers)
      continue;
    const auto load = loads.find(id);
    const double held_token_layers =
        load == loads.end() ? 0 : load->second.token_layers;
    if (held_token_layers <
        kMaxDrainingUtilization * KvCapacity(engine, server->second))
      out.insert(id);
  }
  return out;
}

void EndedServers::OnUnlisted(const BackendServer& server, TimePoint now) {
  RemoveExpired(now);
  m_unlisted.emplace(server.id, UnlistedServer{server.address, now,
                                               now + kEndedAfterUnlisted});
}

void EndedServers::OnListed(const ServerMap& servers) {
  std::erase_if(m_unlisted, [&](const auto& entry) {
    return servers.contains(entry.first);
  });
  // An address is used again only after its server has ended.
  std::set<std::string> addresses;
  if (!m_unlisted.empty())
    for (const auto& [id, server] : servers)
      addresses.insert(server.address);
  for (auto& [id, unlisted] : m_unlisted)
    if (addresses.contains(unlisted.address))
      unlisted.has_ended = true;
}

std::optional<std::string> EndedServers::TakeAddressToProbe(
    const std::string& server,
    TimePoint now) {
  const auto found = m_unlisted.find(server);
  if (found == m_unlisted.end() || found->second.has_ended ||
      now < found->second.next_probe_at)
    return std::nullopt;
  found->second.next_probe_at = now + kUnlistedProbeInterval;
  return found->second.address;
}

void EndedServers::OnUnlistedProbed(const std::string& server,
                                    bool accepts_connections) {
  const auto found = m_unlisted.find(server);
  if (found != m_unlisted.end() && !accepts_connections)
    found->second.has_ended = true;
}

void EndedServers::OnPortClosed(const std::string& server, TimePoint now) {
  RemoveExpired(now);
  m_port_closed_at[server] = now;
}

void EndedServers::OnPortOpen(const std::string& server) {
  m_port_closed_at.erase(server);
}

bool EndedServers::HasEnded(const std::string& server,
                            bool has_closed_connection,
                            TimePoint now) const {
  if (has_closed_connection && m_port_closed_at.contains(server))
    return true;
  const auto unlisted = m_unlisted.find(server);
  return unlisted != m_unlisted.end() && unlisted->second.has_ended &&
         now - unlisted->second.since >= kEndedAfterUnlisted;
}

void EndedServers::RemoveExpired(TimePoint now) {
  std::erase_if(m_unlisted, [now](const auto& entry) {
    return now - entry.second.since > kEndedRetention;
  });
  std::erase_if(m_port_closed_at, [now](const auto& entry) {
    return now - entry.second > kEndedRetention;
  });
}

void SlowdownDetector::AddBaselineSample(Duration interval, double token_ms) {
  if (token_ms <= 0)
    return;
  const double ratio = static_cast<double>(interval.count()) / 1000 / token_ms;
  ++m_sample_count;
  if (m_sample_count <= kMinBaselineSamples)
    m_baseline_ratio += (ratio - m_baseline_ratio) / m_sample_count;
  else
    m_baseline_ratio +=
        (std::min(ratio, m_baseline_ratio * kMaxBaselineSampleRatio) -
         m_baseline_ratio) *
        kBaselineWeight;
}

std::set<std::string> SlowdownDetector::Suspects(
    const std::vector<StreamTiming>& streams) const {
  std::set<std::string> suspects;
  if (m_sample_count < kMinBaselineSamples)
    return suspects;
  std::set<std::string> unsuspected;
  for (const StreamTiming& stream : streams) {
    if (stream.token_ms <= 0)
      continue;
    const double ratio = static_cast<double>(stream.interval.count()) / 1000 /
                         stream.token_ms / m_baseline_ratio;
    if (ratio > kBaselineStreamRatio && ratio < kSlowStreamRatio)
      continue;
    for (const PathStage& stage : *stream.path)
      (ratio >= kSlowStreamRatio ? suspects : unsuspected).insert(stage.server);
  }
  for (const std::string& server : unsuspected)
    suspects.erase(server);
  return suspects;
}

bool ServerSlowdowns::Set(const std::string& server,
                          double slowdown,
                          TimePoint now) {
  const auto found = m_entries.find(server);
  const double previous_slowdown =
      found != m_entries.end() && now < found->second.until
          ? found->second.slowdown
          : 1;
  if (slowdown >= kSlowdownThreshold)
    m_entries[server] = {slowdown, now + kSlowdownRetention};
  else if (found != m_entries.end())
    m_entries.erase(found);
  return slowdown > previous_slowdown * kReportedSlowdownChange ||
         slowdown * kReportedSlowdownChange < previous_slowdown;
}

std::map<std::string, double> ServerSlowdowns::Active(TimePoint now) const {
  std::map<std::string, double> out;
  for (const auto& [server, entry] : m_entries)
    if (now < entry.until)
      out[server] = entry.slowdown;
  return out;
}

void ServerSlowdowns::RemoveExpired(TimePoint now) {
  std::erase_if(m_entries,
                [&](const auto& entry) { return entry.second.until <= now; });
}

}  // namespace trefoilwick
