// Requests that crash servers: what instances tell each other of crashes, and
// which requests all of them refuse.
#include <algorithm>

#include "cluster_codec.h"
#include "trefoilwick/coordination.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A crash is reported for this long after it, and everything that a new
// coordinator may not know for this long after it became known, in case reports
// are lost.
constexpr Duration kRepeatTime = seconds(2);
// A new coordinator knows the starts on all instances after this time.
constexpr Duration kMinCoordinatingTime = milliseconds(600);
// Older crashes are not reported to a new coordinator.
constexpr size_t kMaxOwnCrashes = 64;

}  // namespace

void Coordination::OnServerCrash(TimePoint now, const CrashReport& report) {
  m_own_crashes.push_back(report);
  if (m_own_crashes.size() > kMaxOwnCrashes)
    m_own_crashes.erase(m_own_crashes.begin());
  m_crash_tracker.AddCrash(now, report);
  m_next_report = now;
  if (report.was_trial && m_is_coordinator &&
      m_quarantine.OnTrialCrashed(now, report.traits, m_fencing_token))
    m_next_heartbeat = now;
}

bool Coordination::TryBeginTrial(TimePoint now, const TraitSet& traits) {
  return m_is_coordinator && m_quarantine.TryBeginTrial(now, traits);
}

void Coordination::OnTrialRan(TimePoint now, const TraitSet& traits) {
  if (m_is_coordinator && m_quarantine.OnTrialRan(now, traits, m_fencing_token))
    m_next_heartbeat = now;
}

void Coordination::OnRequestRan(const TraitSet& traits, TimePoint sent_at) {
  for (const Trait trait : traits)
    m_crash_tracker.AddStart(trait, sent_at);
}

void Coordination::AddCrashState(TimePoint now,
                                 detail::InstanceReport& report) const {
  const bool is_new_coordinator = now - m_coordinator_since < kRepeatTime;
  for (const CrashReport& crash : m_own_crashes)
    if (is_new_coordinator || now - crash.crashed_at < kRepeatTime)
      report.crashes.push_back(
          {crash.id, crash.server, crash.traits, now - crash.crashed_at});
  for (const Trait trait : m_suspects)
    if (const auto sent_at = m_crash_tracker.LastStart(trait))
      report.starts[trait] = now - *sent_at;
  if (is_new_coordinator)
    report.quarantine = m_quarantine.List(now);
}

void Coordination::HandleCrashes(TimePoint now,
                                 const detail::InstanceReport& report) {
  for (const detail::CrashMessage& crash : report.crashes)
    m_crash_tracker.AddCrash(
        now, {crash.id, crash.server, crash.traits, now - crash.age});
  for (const auto& [trait, age] : report.starts)
    m_crash_tracker.AddStart(trait, now - age);
  MergeQuarantine(now, report.quarantine);
}

void Coordination::MergeQuarantine(
    TimePoint now,
    const std::vector<QuarantineEntry>& entries) {
  for (const QuarantineEntry& entry : entries)
    m_quarantine.Merge(now, entry);
}

void Coordination::UpdateQuarantine(TimePoint now) {
  m_crash_tracker.RemoveExpired(now);
  m_quarantine.RemoveExpired(now);
  if (!m_is_coordinator)
    return;
  // Instances report the starts of new suspects at once.
  if (m_crash_tracker.Suspects() != m_suspects)
    m_next_heartbeat = now;
  if (now - m_coordinating_since < kMinCoordinatingTime)
    return;
  for (const CrashTracker::Culprit& culprit : m_crash_tracker.FindCulprits(now))
    if (m_quarantine.Add(now, culprit.traits, culprit.last_crash_at,
                         culprit.evidence, m_fencing_token))
      m_next_heartbeat = now;
}

}  // namespace trefoilwick
