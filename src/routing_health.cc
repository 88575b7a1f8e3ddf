#include <algorithm>
#include <cmath>

#include "trefoilwick/routing.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMinEjectionTime = seconds(1);
constexpr Duration kMaxEjectionTime = seconds(60);
// 1 s doubled six times is over the longest ejection.
constexpr int kMaxEjectionDoublings = 6;
constexpr Duration kEjectionDecayPeriod = seconds(30);
constexpr Duration kSlowStartTime = seconds(10);
constexpr double kMinSlowStartWeight = 0.1;
// Weight of the newest call in the failure rate, which covers about the last 20
// calls.
constexpr double kFailureRateWeight = 0.05;
// A server that fails every other call never fails twice in a row, but half of
// its calls fail.
constexpr double kMaxFailureRate = 0.4;
constexpr Duration kMinCallTimeout = milliseconds(250);
constexpr Duration kDefaultCallTimeout = seconds(2);
// Fewer calls give no meaningful p99.
constexpr size_t kMinTimeoutSamples = 10;
constexpr double kSuspectWeight = 0.1;

}  // namespace

void HealthTracker::SetServers(const std::vector<ListedServer>& servers) {
  std::map<std::string, State> states;
  for (const ListedServer& server : servers) {
    State state;
    if (auto old = m_states.find(server.id); old != m_states.end())
      state = old->second;
    state.role = server.role;
    state.service =
        server.role == ServerRole::kService ? server.service : std::string();
    states.emplace(server.id, std::move(state));
  }
  m_states = std::move(states);
}

void HealthTracker::OnSuccess(TimePoint now,
                              const std::string& server,
                              Duration call_time) {
  auto it = m_states.find(server);
  if (it == m_states.end())
    return;
  State& state = it->second;
  state.recent_call_times[state.sample_count++ %
                          state.recent_call_times.size()] = call_time;
  state.failure_rate *= 1 - kFailureRateWeight;
  // A late response to a call that was sent before the ejection does not show
  // that the server is healthy.
  if (now < state.ejected_until)
    return;
  state.consecutive_failures = 0;
  if (!state.healthy_since)
    state.healthy_since = now;
  while (state.ejections > 0 &&
         now - *state.healthy_since >= kEjectionDecayPeriod) {
    --state.ejections;
    *state.healthy_since += kEjectionDecayPeriod;
  }
}

void HealthTracker::OnFailure(TimePoint now, const std::string& server) {
  auto it = m_states.find(server);
  if (it == m_states.end())
    return;
  State& state = it->second;
  state.healthy_since.reset();
  // Calls that were sent before the ejection and fail during it do not lengthen
  // it.
  if (now < state.ejected_until)
    return;
  ++state.consecutive_failures;
  state.failure_rate += kFailureRateWeight * (1 - state.failure_rate);
  if (state.consecutive_failures >= 2 || state.failure_rate > kMaxFailureRate)
    Eject(now, state);
}

void HealthTracker::OnCrash(TimePoint now, const std::string& server) {
  auto it = m_states.find(server);
  if (it == m_states.end())
    return;
  State& state = it->second;
  state.healthy_since.reset();
  if (now < state.ejected_until)
    return;
  ++state.consecutive_failures;
  Eject(now, state);
}

void HealthTracker::Eject(TimePoint now, State& state) {
  if (!MayEject(now, state))
    return;
  const int doublings = std::min(state.ejections, kMaxEjectionDoublings);
  const Duration ejection_time =
      std::min(kMaxEjectionTime, kMinEjectionTime * (1 << doublings));
  state.ejected_until = now + ejection_time;
  state.ejections = std::min(state.ejections + 1, kMaxEjectionDoublings);
  // One more failure after this ejection ejects the server again.
  state.consecutive_failures = 1;
  state.failure_rate = 0;
}

bool HealthTracker::MayEject(TimePoint now, const State& state) const {
  size_t role_servers = 0;
  size_t role_ejected = 0;
  size_t service_servers = 0;
  size_t service_ejected = 0;
  for (const auto& [id, other] : m_states) {
    if (other.role != state.role)
      continue;
    const bool ejected = now < other.ejected_until;
    ++role_servers;
    role_ejected += ejected;
    if (other.service != state.service)
      continue;
    ++service_servers;
    service_ejected += ejected;
  }
  return 3 * (role_ejected + 1) <= role_servers &&
         3 * (service_ejected + 1) <= service_servers;
}

ServerHealth HealthTracker::Health(TimePoint now,
                                   const std::string& server) const {
  auto it = m_states.find(server);
  if (it == m_states.end())
    return ServerHealth::kHealthy;
  if (now < it->second.ejected_until)
    return ServerHealth::kEjected;
  return it->second.consecutive_failures > 0 ? ServerHealth::kSuspect
                                             : ServerHealth::kHealthy;
}

std::set<std::string> HealthTracker::Ejected(TimePoint now) const {
  std::set<std::string> ejected;
  for (const auto& [id, state] : m_states)
    if (now < state.ejected_until)
      ejected.insert(id);
  return ejected;
}

Duration HealthTracker::CallTimeout(const std::string& server) const {
  auto it = m_states.find(server);
  if (it == m_states.end() || it->second.sample_count < kMinTimeoutSamples)
    return kDefaultCallTimeout;
  auto recent = it->second.recent_call_times;
  const size_t count = std::min(it->second.sample_count, recent.size());
  const size_t rank = (count * 99 + 99) / 100 - 1;
  std::nth_element(recent.begin(), recent.begin() + rank,
                   recent.begin() + count);
  return std::max(kMinCallTimeout, 3 * recent[rank]);
}

double HealthTracker::SlowStartWeight(TimePoint now,
                                      const std::string& server) const {
  auto it = m_states.find(server);
  if (it == m_states.end() || it->second.ejected_until == TimePoint{})
    return 1;
  if (now < it->second.ejected_until)
    return 0;
  const double elapsed_share =
      std::chrono::duration<double>(now - it->second.ejected_until) /
      std::chrono::duration<double>(kSlowStartTime);
  return std::min(
      1.0, kMinSlowStartWeight + (1 - kMinSlowStartWeight) * elapsed_share);
}

namespace {

struct WeightedServer {
  const ListedServer* server;
  double weight;
  int outstanding;
};

std::vector<WeightedServer> UsableServers(
    TimePoint now,
    const std::vector<ListedServer>& servers,
    const HealthTracker& health,
    const std::map<std::string, int>& outstanding,
    const std::set<std::string>& excluded) {
  std::vector<WeightedServer> usable;
  for (const ListedServer& server : servers) {
    const ServerHealth state = health.Health(now, server.id);
    if (server.leaving || state == ServerHealth::kEjected ||
        excluded.contains(server.id)) {
      continue;
    }
    double weight = health.SlowStartWeight(now, server.id);
    if (state == ServerHealth::kSuspect)
      weight = std::min(weight, kSuspectWeight);
    auto it = outstanding.find(server.id);
    usable.push_back(
        {&server, weight, it == outstanding.end() ? 0 : it->second});
  }
  return usable;
}

// The fewest outstanding calls per weight; ties are broken at random.
const WeightedServer* LeastLoaded(const std::vector<WeightedServer>& servers,
                                  double min_weight,
                                  Random& random) {
  const WeightedServer* best = nullptr;
  uint64_t ties = 0;
  for (const WeightedServer& server : servers) {
    if (server.weight < min_weight)
      continue;
    const double difference = best ? (server.outstanding + 1) / server.weight -
                                         (best->outstanding + 1) / best->weight
                                   : -1;
    if (difference < 0)
      ties = 0;
    if (difference < 0 ||
        (difference == 0 && random.UniformBelow(ties + 1) == 0))
      best = &server;
    ties += difference <= 0;
  }
  return best;
}

const WeightedServer* DrawByWeight(const std::vector<WeightedServer>& servers,
                                   Random& random) {
  double sum = 0;
  for (const WeightedServer& server : servers)
    sum += server.weight;
  double position = random.UniformDouble() * sum;
  for (const WeightedServer& server : servers) {
    position -= server.weight;
    if (position < 0)
      return &server;
  }
  return &servers.back();
}

}  // namespace

std::string PickServiceServer(TimePoint now,
                              const std::vector<ListedServer>& servers,
                              const HealthTracker& health,
                              const std::map<std::string, int>& outstanding,
                              const std::set<std::string>& excluded,
                              Random& random) {
  const std::vector<WeightedServer> usable =
      UsableServers(now, servers, health, outstanding, excluded);
  if (usable.empty())
    return {};
  // Least outstanding alone would give a returning server either no call or
  // all of them, so its share is drawn at random.
  const WeightedServer* drawn = DrawByWeight(usable, random);
  const WeightedServer* least = LeastLoaded(usable, 1.0, random);
  if (!least)
    least = LeastLoaded(usable, 0, random);
  if (drawn->weight < 1 && drawn->outstanding <= least->outstanding)
    return drawn->server->id;
  return least->server->id;
}

}  // namespace trefoilwick
