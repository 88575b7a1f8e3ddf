// Which requests are refused because such requests crash servers, and how those
// that are refused by mistake are let through again.
#include <algorithm>

#include "trefoilwick/crash_suspects.h"

namespace trefoilwick {

namespace {

// When clients may retry requests that are on trial.
constexpr Duration kTrialRetryTime = std::chrono::milliseconds(500);

bool IsIncluded(const TraitSet& entry, const TraitSet& traits) {
  return std::includes(traits.begin(), traits.end(), entry.begin(),
                       entry.end());
}

}  // namespace

bool HaveSameDecisions(const std::vector<QuarantineEntry>& a,
                       const std::vector<QuarantineEntry>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const QuarantineEntry& x, const QuarantineEntry& y) {
                      return x.traits == y.traits && x.state == y.state &&
                             x.decision == y.decision;
                    });
}

bool TraitQuarantine::Add(TimePoint now,
                          const TraitSet& traits,
                          TimePoint crashed_at,
                          CrashEvidence evidence,
                          int64_t fencing_token) {
  const auto found = m_records.find(traits);
  if (traits.empty() ||
      (found != m_records.end() && crashed_at <= found->second.until))
    return false;
  Record record;
  record.state = evidence == CrashEvidence::kNeverRan
                     ? QuarantineState::kRefused
                     : QuarantineState::kOnTrial;
  record.decision = NextDecision(fencing_token);
  record.until = now + kDuration;
  if (evidence == CrashEvidence::kNothingRan)
    record.next_trial = now + kUncertainTrialDelay;
  m_records[traits] = record;
  Trim();
  return true;
}

void TraitQuarantine::Merge(TimePoint now, const QuarantineEntry& entry) {
  // No traits would match every request.
  if (entry.traits.empty())
    return;
  const TimePoint until = now + entry.remaining;
  const auto [found, is_new] = m_records.try_emplace(entry.traits);
  Record& record = found->second;
  if (is_new || entry.decision > record.decision) {
    record = {entry.state, entry.decision, until, {}, false, 0};
    Trim();
    return;
  }
  if (entry.decision == record.decision &&
      record.state != QuarantineState::kLifted)
    record.until = std::max(record.until, until);
}

Duration TraitQuarantine::RemainingFor(TimePoint now,
                                       const TraitSet& traits) const {
  Duration remaining(0);
  for (const auto& [entry, record] : m_records) {
    if (!record.IsActive(now) || !IsIncluded(entry, traits))
      continue;
    const Duration time = record.until - now;
    remaining = std::max(remaining, record.state == QuarantineState::kOnTrial
                                        ? std::min(time, kTrialRetryTime)
                                        : time);
  }
  return remaining;
}

bool TraitQuarantine::HasActive(TimePoint now) const {
  return std::any_of(
      m_records.begin(), m_records.end(),
      [&](const auto& entry) { return entry.second.IsActive(now); });
}

bool TraitQuarantine::TryBeginTrial(TimePoint now, const TraitSet& traits) {
  std::vector<Record*> on_trial;
  for (auto& [entry, record] : m_records) {
    if (!record.IsActive(now) || !IsIncluded(entry, traits))
      continue;
    if (record.state != QuarantineState::kOnTrial || record.trial_in_progress ||
        now < record.next_trial)
      return false;
    on_trial.push_back(&record);
  }
  for (Record* record : on_trial)
    record->trial_in_progress = true;
  return !on_trial.empty();
}

void TraitQuarantine::EndTrial(TimePoint now,
                               const TraitSet& traits,
                               bool was_sent) {
  for (Record* record : FindOnTrial(now, traits)) {
    record->trial_in_progress = false;
    if (was_sent)
      record->next_trial = std::max(record->next_trial, now + kTrialInterval);
  }
}

bool TraitQuarantine::OnTrialRan(TimePoint now,
                                 const TraitSet& traits,
                                 int64_t fencing_token) {
  const std::vector<Record*> on_trial = FindOnTrial(now, traits);
  for (Record* record : on_trial) {
    record->state = QuarantineState::kLifted;
    record->decision = NextDecision(fencing_token);
    record->until = now;
    record->trial_in_progress = false;
  }
  return !on_trial.empty();
}

bool TraitQuarantine::OnTrialCrashed(TimePoint now,
                                     const TraitSet& traits,
                                     int64_t fencing_token) {
  const std::vector<Record*> on_trial = FindOnTrial(now, traits);
  for (Record* record : on_trial) {
    record->until = now + kDuration;
    record->next_trial = now + kTrialInterval;
    if (++record->crashed_trials >= kMaxCrashedTrials)
      record->state = QuarantineState::kRefused;
    record->decision = NextDecision(fencing_token);
  }
  return !on_trial.empty();
}

std::vector<QuarantineEntry> TraitQuarantine::List(TimePoint now) const {
  std::vector<QuarantineEntry> out;
  for (const auto& [traits, record] : m_records) {
    Duration remaining = record.until - now;
    if (record.state == QuarantineState::kLifted) {
      if (-remaining > kDuration)
        continue;
      remaining = Duration(0);
    } else if (remaining <= Duration(0)) {
      continue;
    }
    if (record.state == QuarantineState::kOnTrial)
      remaining = std::min(remaining, kTrialTtl);
    out.push_back({traits, remaining, record.state, record.decision});
  }
  return out;
}

void TraitQuarantine::RemoveExpired(TimePoint now) {
  std::erase_if(m_records, [&](const auto& entry) {
    return now - entry.second.until > kCrashMemory;
  });
}

std::vector<TraitQuarantine::Record*> TraitQuarantine::FindOnTrial(
    TimePoint now,
    const TraitSet& traits) {
  std::vector<Record*> out;
  for (auto& [entry, record] : m_records)
    if (record.state == QuarantineState::kOnTrial && record.IsActive(now) &&
        IsIncluded(entry, traits))
      out.push_back(&record);
  return out;
}

DecisionNumber TraitQuarantine::NextDecision(int64_t fencing_token) const {
  DecisionNumber last;
  for (const auto& [traits, record] : m_records)
    last = std::max(last, record.decision);
  return {std::max(fencing_token, last.fencing_token), last.number + 1};
}

void TraitQuarantine::Trim() {
  if (m_records.size() <= kMaxEntries)
    return;
  m_records.erase(std::min_element(m_records.begin(), m_records.end(),
                                   [](const auto& a, const auto& b) {
                                     return a.second.until < b.second.until;
                                   }));
}

}  // namespace trefoilwick
