// Requests that may crash the servers that run them: what an exchange reports,
// and how it ends when such requests are quarantined.
#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

namespace {

// A request that crashes each server that begins to run it must not reach more
// of them, although servers that have ended do not count towards the limit of
// its route.
constexpr int kMaxClosedBeforeBegin = 2;

}  // namespace

Duration Exchange::QuarantineTime() const {
  const TimePoint now = m_core.Now();
  if (!m_core.coordination().HasQuarantine(now))
    return Duration(0);
  Duration shortest = Duration::max();
  for (const WeightedService& service : m_route->services)
    shortest = std::min(shortest, m_core.coordination().QuarantineTime(
                                      now, SuspectTraits(service.service)));
  return m_route->services.empty() ? Duration(0) : shortest;
}

TraitSet Exchange::SuspectTraits(const std::string& service) const {
  if (m_begun)
    return {ContentTrait(service, m_account, m_request.target, m_request.body)};
  return RequestTraits(service, m_account, m_request.target, m_request.body,
                       m_request.shared_prompt_parts);
}

bool Exchange::TryBeginTrial() {
  const TimePoint now = m_core.Now();
  for (const WeightedService& service : m_route->services) {
    const TraitSet traits = SuspectTraits(service.service);
    if (!m_core.coordination().TryBeginTrial(now, traits))
      continue;
    m_trial_traits = traits;
    m_core.Log("trial",
               {{"id", m_request.attempt_id}, {"service", service.service}});
    return true;
  }
  return false;
}

void Exchange::EndTrial() {
  if (!m_trial_traits.empty())
    m_core.coordination().EndTrial(
        m_core.Now(), std::exchange(m_trial_traits, {}), m_forward.sends() > 0);
}

void Exchange::EndIfQuarantined() {
  if (m_ended || m_route == nullptr || !m_trial_traits.empty() ||
      QuarantineTime() == Duration(0))
    return;
  m_core.CountQuarantined(m_route->name);
  Cancel("such requests crash servers");
}

void Exchange::RecordBegun() {
  if (std::exchange(m_begun, true))
    return;
  const TraitSet traits =
      PromptTraits(m_service, m_request.shared_prompt_parts);
  m_core.coordination().OnRequestRan(traits, m_send_started_at);
  if (!m_trial_traits.empty())
    m_core.coordination().OnTrialRan(m_core.Now(), traits);
}

void Exchange::RecordCompleted() {
  RecordBegun();
  m_held_crash.reset();
  // A request that crashes its servers never ends well, so its end clears its
  // content of all crashes so far, also of those since it was sent.
  m_core.coordination().OnRequestRan(SuspectTraits(m_service), m_core.Now());
  if (!m_trial_traits.empty())
    m_core.coordination().OnTrialRan(
        m_core.Now(),
        RequestTraits(m_service, m_account, m_request.target, m_request.body,
                      m_request.shared_prompt_parts));
}

bool Exchange::RecordClosedByServer() {
  SuspectedCrash crash;
  crash.server = m_server;
  crash.report.id = StableHash(m_request.attempt_id + m_server,
                               static_cast<uint64_t>(m_forward.sends()));
  crash.report.traits = SuspectTraits(m_service);
  crash.report.crashed_at = m_core.Now();
  crash.report.was_trial = !m_trial_traits.empty();
  EndTrial();
  if (!m_begun) {
    ReportClosed(crash);
    return ++m_closed_before_begin < kMaxClosedBeforeBegin;
  }
  if (!std::exchange(m_interrupted, true)) {
    m_held_crash = std::move(crash);
    return true;
  }
  ReportHeldCrash();
  ReportClosed(crash);
  return true;
}

void Exchange::ReportClosed(const SuspectedCrash& crash) {
  m_core.OnClosedByServer(crash.server, m_request.attempt_id,
                          m_request.shared_prompt_parts, crash.report);
}

void Exchange::ReportHeldCrash() {
  if (m_held_crash)
    ReportClosed(*m_held_crash);
  m_held_crash.reset();
}

}  // namespace trefoilwick::detail
