#include "trefoilwick/liveness.h"

#include <algorithm>
#include <map>

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;

// Bounds on the silence that is suspicious by itself, and the least that is
// suspicious together with others.
constexpr Duration kLeastSilence = milliseconds(70);
constexpr Duration kMostSilence = milliseconds(180);
constexpr Duration kLeastSharedSilence = milliseconds(35);
constexpr Duration kLeastOverdue = milliseconds(25);
// Streams that must be silent at the same time, and overdue.
constexpr int kSilentTogether = 2;
constexpr int kOverdueTogether = 4;
// Time between two probes of a server by one instance, doubled with each that
// finds it alive, and forgotten when there was none for a while.
constexpr Duration kProbeInterval = milliseconds(300);
constexpr Duration kMostProbeInterval = std::chrono::seconds(5);
// Probes a second of all instances together, the least of each of them, and how
// many may follow at once: a long path.
constexpr double kProbesPerSecond = 120;
constexpr double kLeastProbesPerSecond = 3;
constexpr double kProbeBurst = 12;
// Others hear of a lost server, and probe it, within this time.
constexpr Duration kTrialTime = milliseconds(100);
// Without word from half of the others an instance decides alone.
constexpr Duration kMostVerdictWait = milliseconds(1200);
constexpr Duration kRefusalLife = milliseconds(500);
constexpr Duration kMostRefusalLife = std::chrono::seconds(4);
// A server that refuses within this time after its mark ended has refused all
// along.
constexpr Duration kRefusesAgain = milliseconds(1000);

// Share of its memory in use below which a server does not refuse for want of
// room.
constexpr double kMostlyFree = 0.5;

// Streams to learn the usual pace from, and the weight of a later one.
constexpr int kLeastLearned = 8;
constexpr double kLearnRate = 1.0 / 32;
// A stream counts for what is usual by at most this factor.
constexpr double kMostLearned = 1.3;
// Paces, over the usual one, of a slow stream and of one that is not.
constexpr double kSlowStream = 1.5;
constexpr double kUsualStream = 1.2;
// A mark lasts longer than the time between two readings of a slow server.
constexpr Duration kSlowLife = milliseconds(2500);
// Change of a pace that is told to others.
constexpr double kPaceChange = 1.5;

}  // namespace

Silence AssessSilence(Duration silent, Duration interval) {
  if (silent >= std::clamp(interval * 5 / 2, kLeastSilence, kMostSilence))
    return Silence::kLong;
  if (silent >= std::clamp(interval * 7 / 4, kLeastSharedSilence, kMostSilence))
    return Silence::kShort;
  if (silent >= std::max(interval * 13 / 10, kLeastOverdue))
    return Silence::kOverdue;
  return Silence::kNone;
}

std::set<std::string> SuspectServers(
    const std::vector<StreamProgress>& streams) {
  struct Count {
    int all = 0;
    int overdue = 0;
    int silent = 0;
  };
  std::map<std::string, Count> by_server;
  std::set<std::string> suspects;
  for (const StreamProgress& stream : streams) {
    for (const PathStage& part : *stream.path) {
      Count& count = by_server[part.server];
      ++count.all;
      count.overdue += stream.silence >= Silence::kOverdue ? 1 : 0;
      count.silent += stream.silence >= Silence::kShort ? 1 : 0;
      if (stream.silence == Silence::kLong)
        suspects.insert(part.server);
    }
  }
  for (const auto& [server, count] : by_server)
    if ((count.silent == count.all && count.silent >= kSilentTogether) ||
        (count.overdue == count.all && count.overdue >= kOverdueTogether))
      suspects.insert(server);
  return suspects;
}

bool StreamsCorroborateLoss(const std::string& server,
                            const std::vector<StreamProgress>& streams) {
  bool any = false;
  for (const StreamProgress& stream : streams) {
    const bool uses = std::any_of(
        stream.path->begin(), stream.path->end(),
        [&](const PathStage& part) { return part.server == server; });
    if (uses && stream.silence == Silence::kNone)
      return false;
    any |= uses;
  }
  return any;
}

LossVerdict AssessLoss(const std::string& server,
                       TimePoint since,
                       TimePoint now,
                       const std::vector<UnreachableReport>& others) {
  size_t lost = 1;
  size_t asked = 1;
  for (const UnreachableReport& other : others) {
    const bool agrees = other.unreachable->contains(server);
    if (!agrees && other.received_at < since + kTrialTime)
      continue;
    ++asked;
    lost += agrees ? 1 : 0;
  }
  if (lost * 2 > others.size() + 1)
    return LossVerdict::kConfirmed;
  if (asked * 2 <= others.size() + 1 && now - since < kMostVerdictWait)
    return LossVerdict::kUndecided;
  return lost * 2 > asked ? LossVerdict::kConfirmed
                          : LossVerdict::kContradicted;
}

bool ProbeLimiter::TryAcquire(const std::string& server,
                              TimePoint now,
                              size_t instances) {
  const double rate = std::max(
      kLeastProbesPerSecond,
      kProbesPerSecond / static_cast<double>(std::max(size_t{1}, instances)));
  const double seconds =
      static_cast<double>((now - m_last_refill).count()) / 1e6;
  m_tokens = std::min(kProbeBurst, m_tokens + rate * seconds);
  m_last_refill = now;
  Server& known = m_servers[server];
  if (now < known.next_probe_at || m_tokens < 1)
    return false;
  m_tokens -= 1;
  if (now - known.next_probe_at > kMostProbeInterval)
    known.interval = Duration(0);
  known.interval = std::max(known.interval, kProbeInterval);
  known.next_probe_at = now + known.interval;
  return true;
}

void ProbeLimiter::OnAlive(const std::string& server, TimePoint now) {
  Server& known = m_servers[server];
  known.interval = std::min(known.interval * 2, kMostProbeInterval);
  known.next_probe_at = std::max(known.next_probe_at, now + known.interval);
}

bool RefusalCooldowns::RecordRefusal(const std::string& server, TimePoint now) {
  Cooldown& mark = m_cooldowns[server];
  // Requests that were sent before the mark do not make it last longer.
  if (now < mark.until)
    return false;
  const bool again =
      mark.duration > Duration(0) && now - mark.until <= kRefusesAgain;
  mark.duration =
      again ? std::min(mark.duration * 2, kMostRefusalLife) : kRefusalLife;
  mark.until = now + mark.duration;
  return true;
}

std::set<std::string> RefusalCooldowns::Active(TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, mark] : m_cooldowns)
    if (now < mark.until)
      out.insert(server);
  return out;
}

std::set<std::string> RefusalCooldowns::RepeatedlyRefusing(
    TimePoint now) const {
  std::set<std::string> out;
  for (const auto& [server, mark] : m_cooldowns)
    if (mark.duration > kRefusalLife && now - mark.until <= kRefusesAgain)
      out.insert(server);
  return out;
}

void RefusalCooldowns::RemoveExpired(TimePoint now) {
  std::erase_if(m_cooldowns, [&](const auto& entry) {
    return now - entry.second.until > kRefusesAgain;
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
    const double held = load == loads.end() ? 0 : load->second.token_layers;
    if (held < kMostlyFree * KvCapacity(engine, server->second))
      out.insert(id);
  }
  return out;
}

void SlowdownDetector::AddBaselineSample(Duration interval, double token_ms) {
  if (token_ms <= 0)
    return;
  const double ratio = static_cast<double>(interval.count()) / 1000 / token_ms;
  ++m_sample_count;
  if (m_sample_count <= kLeastLearned)
    m_baseline_ratio += (ratio - m_baseline_ratio) / m_sample_count;
  else
    m_baseline_ratio +=
        (std::min(ratio, m_baseline_ratio * kMostLearned) - m_baseline_ratio) *
        kLearnRate;
}

std::set<std::string> SlowdownDetector::Suspects(
    const std::vector<StreamTiming>& streams) const {
  std::set<std::string> suspects;
  if (m_sample_count < kLeastLearned)
    return suspects;
  std::set<std::string> usual;
  for (const StreamTiming& stream : streams) {
    const double ratio = static_cast<double>(stream.interval.count()) / 1000 /
                         stream.token_ms / m_baseline_ratio;
    if (ratio > kUsualStream && ratio < kSlowStream)
      continue;
    for (const PathStage& part : *stream.path)
      (ratio >= kSlowStream ? suspects : usual).insert(part.server);
  }
  for (const std::string& server : usual)
    suspects.erase(server);
  return suspects;
}

bool ServerSlowdowns::Set(const std::string& server,
                          double pace,
                          TimePoint now) {
  const auto found = m_entries.find(server);
  const double before = found != m_entries.end() && now < found->second.until
                            ? found->second.slowdown
                            : 1;
  if (pace >= kSlowdownThreshold)
    m_entries[server] = {pace, now + kSlowLife};
  else if (found != m_entries.end())
    m_entries.erase(found);
  return pace > before * kPaceChange || pace * kPaceChange < before;
}

std::map<std::string, double> ServerSlowdowns::Active(TimePoint now) const {
  std::map<std::string, double> out;
  for (const auto& [server, mark] : m_entries)
    if (now < mark.until)
      out[server] = mark.slowdown;
  return out;
}

void ServerSlowdowns::RemoveExpired(TimePoint now) {
  std::erase_if(m_entries,
                [&](const auto& entry) { return entry.second.until <= now; });
}

}  // namespace trefoilwick
