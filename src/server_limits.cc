#include "trefoilwick/server_limits.h"

#include <algorithm>
#include <cmath>

namespace trefoilwick {

namespace {

using std::chrono::seconds;

// Time over which demand is averaged: an instance with few requests still has a
// steady share, and one that gets the others' requests has it soon.
constexpr Duration kDemandTime = seconds(3);
// Part of a limit that is divided evenly, for instances whose demand is not
// known yet.
constexpr double kEvenPart = 0.1;
// Unused room is kept for this long. Most instances of a large deployment
// choose a server less than once a second.
constexpr Duration kMaxBurst = seconds(2);
// Time over which the share is averaged that unused room depends on. The share
// of an instance with few requests falls between two of them.
constexpr Duration kMeanShareTime = seconds(10);
// A server that takes nothing is still asked now and then: only its answers
// say when its limit ends.
constexpr double kMinRequestsPerSecond = 0.2;
// Servers that nobody heard of for this long are forgotten, and limits that
// ended after the time in which older observations may arrive.
constexpr Duration kLimitMemory = seconds(60);
constexpr Duration kEndedLimitMemory = seconds(5);

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace

void DemandRate::Count(TimePoint now) {
  m_rate = At(now) + 1 / ToSeconds(kDemandTime);
  m_updated_at = now;
}

double DemandRate::At(TimePoint now) const {
  return m_rate *
         std::exp(-ToSeconds(now - m_updated_at) / ToSeconds(kDemandTime));
}

void ServerLimits::Refill(TimePoint now, State& state) {
  const double limit = std::max(
      kMinRequestsPerSecond, state.observation.requests_per_second.value_or(0));
  const Duration elapsed = now - state.refilled_at;
  state.mean_share +=
      (state.share - state.mean_share) *
      (1 - std::exp(-ToSeconds(elapsed) / ToSeconds(kMeanShareTime)));
  state.tokens =
      std::min(limit * state.mean_share * ToSeconds(kMaxBurst),
               state.tokens + limit * state.share * ToSeconds(elapsed));
  state.refilled_at = now;
}

bool ServerLimits::OnAnswer(TimePoint now,
                            const std::string& server,
                            std::optional<double> requests_per_second,
                            TimePoint sent_at) {
  const auto known = m_states.find(server);
  if (!requests_per_second) {
    // An answer to a request that was sent before the last one that named a
    // limit may have been made before it as well.
    if (known == m_states.end() ||
        !known->second.observation.requests_per_second ||
        sent_at <= known->second.observation.observed_at)
      return false;
  }
  const bool changed =
      known == m_states.end() ||
      known->second.observation.requests_per_second != requests_per_second;
  Merge(now, server, {requests_per_second, now});
  return changed;
}

void ServerLimits::Merge(TimePoint now,
                         const std::string& server,
                         const LimitObservation& observation) {
  // No later observation would count after one from the future.
  const TimePoint observed_at = std::min(observation.observed_at, now);
  const auto [found, is_new] = m_states.try_emplace(server);
  State& state = found->second;
  if (is_new) {
    state.share = 1.0 / static_cast<double>(m_instances);
    state.mean_share = state.share;
    state.refilled_at = now;
  } else if (observed_at <= state.observation.observed_at) {
    return;
  }
  Refill(now, state);
  state.observation = {observation.requests_per_second, observed_at};
  if (auto& limit = state.observation.requests_per_second)
    limit = std::clamp(*limit, 0.0, kMaxLimitPerSecond);
}

void ServerLimits::SetClusterDemand(TimePoint now,
                                    const std::string& server,
                                    double cluster_demand,
                                    double own_demand) {
  const auto found = m_states.find(server);
  if (found == m_states.end())
    return;
  State& state = found->second;
  Refill(now, state);
  const double even = 1.0 / static_cast<double>(m_instances);
  state.share =
      cluster_demand <= 0
          ? even
          : kEvenPart * even +
                (1 - kEvenPart) * std::min(1.0, own_demand / cluster_demand);
}

void ServerLimits::CountDemand(TimePoint now, const std::string& server) {
  const auto found = m_states.find(server);
  if (found != m_states.end())
    found->second.demand.Count(now);
}

bool ServerLimits::TryTake(TimePoint now,
                           const std::string& server,
                           double unit) {
  const auto found = m_states.find(server);
  if (found == m_states.end() || !found->second.observation.requests_per_second)
    return true;
  State& state = found->second;
  Refill(now, state);
  // A fraction is used up whether or not the request is sent, so that the mean
  // number of requests is that of the tokens.
  const bool taken = unit < state.tokens;
  state.tokens = std::max(0.0, state.tokens - 1);
  return taken;
}

std::optional<double> ServerLimits::LimitOf(const std::string& server) const {
  const auto found = m_states.find(server);
  return found == m_states.end()
             ? std::nullopt
             : found->second.observation.requests_per_second;
}

double ServerLimits::ShareOf(const std::string& server) const {
  const auto found = m_states.find(server);
  return found == m_states.end()
             ? 0
             : found->second.share *
                   found->second.observation.requests_per_second.value_or(0);
}

double ServerLimits::DemandFor(TimePoint now, const std::string& server) const {
  const auto found = m_states.find(server);
  return found == m_states.end() ? 0 : found->second.demand.At(now);
}

std::map<std::string, LimitObservation> ServerLimits::Observations() const {
  std::map<std::string, LimitObservation> out;
  for (const auto& [server, state] : m_states)
    out[server] = state.observation;
  return out;
}

void ServerLimits::RemoveExpired(TimePoint now) {
  std::erase_if(m_states, [&](const auto& entry) {
    const LimitObservation& observation = entry.second.observation;
    return now - observation.observed_at >
           (observation.requests_per_second ? kLimitMemory : kEndedLimitMemory);
  });
}

}  // namespace trefoilwick
