#include "trefoilwick/crash_suspects.h"

#include <algorithm>
#include <tuple>

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;

// Sound requests that a crash interrupted are often sent to the next server
// together with the one that caused it, and are interrupted there again, so two
// crashes in a row are not enough.
constexpr size_t kMinCrashes = 3;
// From this number of crashes on, several traits that explain them equally well
// are taken one after the other.
constexpr size_t kUndeniableCrashes = 5;
// Longer than two reports of an instance: its starts of suspects are known by
// then.
constexpr Duration kVerdictDelay = milliseconds(400);
// Servers that crash closer together may have one cause, such as the loss of a
// rack. Instances notice a crash within 25 ms of each other.
constexpr Duration kMinCrashInterval = milliseconds(40);
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxStarts = 4096;

constexpr uint64_t kContentSeed = 1;

// A request that had begun is suspected by its content alone. A crash
// interrupts many of these, nearly all of them sound.
bool IsContentOnly(const CrashReport& report) {
  return report.traits.size() == 1;
}

}  // namespace

TraitSet PromptTraits(std::string_view service,
                      const std::vector<std::string>& prompt_parts) {
  const uint64_t seed = StableHash(service);
  TraitSet out;
  for (const std::string& part : prompt_parts)
    out.push_back(StableHash(part, seed));
  SortUnique(out);
  return out;
}

Trait ContentTrait(std::string_view service,
                   std::string_view account,
                   std::string_view target,
                   std::string_view body) {
  const uint64_t seed = StableHash(service) + kContentSeed;
  return StableHash(body, StableHash(target, StableHash(account, seed)));
}

TraitSet RequestTraits(std::string_view service,
                       std::string_view account,
                       std::string_view target,
                       std::string_view body,
                       const std::vector<std::string>& prompt_parts) {
  TraitSet out = PromptTraits(service, prompt_parts);
  out.push_back(ContentTrait(service, account, target, body));
  SortUnique(out);
  return out;
}

void SortUnique(TraitSet& traits) {
  std::sort(traits.begin(), traits.end());
  traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
}

void CrashTracker::AddCrash(TimePoint now, const CrashReport& report) {
  m_crashes.try_emplace(report.id, KnownCrash{report, now});
  if (m_crashes.size() <= kMaxCrashes)
    return;
  // Interrupted requests must not displace the evidence against a part of
  // prompts, of which there is less.
  const auto value = [](const CrashReport& report) {
    return std::make_tuple(!IsContentOnly(report), report.crashed_at);
  };
  m_crashes.erase(std::min_element(
      m_crashes.begin(), m_crashes.end(), [&](const auto& a, const auto& b) {
        return value(a.second.report) < value(b.second.report);
      }));
}

void CrashTracker::AddStart(Trait trait, TimePoint sent_at) {
  const auto [last, is_new] = m_last_starts.try_emplace(trait, sent_at);
  last->second = std::max(last->second, sent_at);
  if (!is_new || m_last_starts.size() <= 2 * kMaxStarts)
    return;
  std::vector<TimePoint> times;
  times.reserve(m_last_starts.size());
  for (const auto& [other, at] : m_last_starts)
    times.push_back(at);
  const auto oldest_kept =
      times.end() - static_cast<std::ptrdiff_t>(kMaxStarts);
  std::nth_element(times.begin(), oldest_kept, times.end());
  std::erase_if(m_last_starts,
                [&](const auto& entry) { return entry.second < *oldest_kept; });
}

std::optional<TimePoint> CrashTracker::LastStart(Trait trait) const {
  const auto found = m_last_starts.find(trait);
  if (found == m_last_starts.end())
    return std::nullopt;
  return found->second;
}

CrashTracker::Crashes CrashTracker::SortedCrashes() const {
  Crashes out;
  out.reserve(m_crashes.size());
  for (const auto& [id, crash] : m_crashes)
    out.push_back(&crash);
  std::sort(out.begin(), out.end(),
            [](const KnownCrash* a, const KnownCrash* b) {
              return a->report.crashed_at < b->report.crashed_at;
            });
  return out;
}

std::map<Trait, CrashTracker::Crashes> CrashTracker::CrashesByTrait(
    const Crashes& crashes) const {
  std::map<Trait, Crashes> out;
  for (const KnownCrash* crash : crashes)
    for (const Trait trait : crash->report.traits)
      if (crash->report.crashed_at >
          LastStart(trait).value_or(TimePoint::min()))
        out[trait].push_back(crash);
  return out;
}

CrashTracker::Crashes CrashTracker::InSequence(const Crashes& crashes) {
  Crashes out;
  std::set<uint64_t> servers;
  for (const KnownCrash* crash : crashes) {
    const CrashReport& report = crash->report;
    if (servers.contains(report.server) ||
        (!out.empty() &&
         report.crashed_at - out.back()->report.crashed_at < kMinCrashInterval))
      continue;
    out.push_back(crash);
    servers.insert(report.server);
  }
  return out;
}

TraitSet CrashTracker::Suspects() const {
  TraitSet out;
  for (const auto& [trait, crashes] : CrashesByTrait(SortedCrashes()))
    if (InSequence(crashes).size() + 1 >= kMinCrashes)
      out.push_back(trait);
  return out;
}

std::pair<size_t, size_t> CrashTracker::StrengthOf(const Crashes& crashes) {
  return {InSequence(crashes).size(), ServersOf(crashes).size()};
}

std::set<uint64_t> CrashTracker::ServersOf(const Crashes& crashes) {
  std::set<uint64_t> out;
  for (const KnownCrash* crash : crashes)
    out.insert(crash->report.server);
  return out;
}

CrashTracker::Explanation CrashTracker::Narrow(
    const Crashes& crashes,
    const std::map<Trait, Crashes>& by_trait) {
  Explanation out{{}, crashes};
  const std::set<uint64_t> servers = ServersOf(crashes);
  for (const auto& [trait, others] : by_trait) {
    Crashes with_trait;
    for (const KnownCrash* crash : out.crashes)
      if (std::find(others.begin(), others.end(), crash) != others.end())
        with_trait.push_back(crash);
    if (ServersOf(with_trait) != servers)
      continue;
    out.traits.push_back(trait);
    out.crashes = std::move(with_trait);
  }
  return out;
}

bool CrashTracker::IsAmbiguous(const Explanation& explanation,
                               const std::map<Trait, Crashes>& by_trait) {
  const std::set<uint64_t> servers = ServersOf(explanation.crashes);
  const auto strength = StrengthOf(explanation.crashes);
  return std::any_of(by_trait.begin(), by_trait.end(), [&](const auto& entry) {
    const auto& [trait, others] = entry;
    return !std::binary_search(explanation.traits.begin(),
                               explanation.traits.end(), trait) &&
           StrengthOf(others) >= strength &&
           std::any_of(others.begin(), others.end(),
                       [&](const KnownCrash* crash) {
                         return servers.contains(crash->report.server);
                       });
  });
}

// A run of crashes says little of traits that most requests have: each server
// has some of these requests when it crashes, for whatever reason. Their
// earlier runs show that they are such, or that they did no harm so far.
CrashEvidence CrashTracker::EvidenceAgainst(const TraitSet& traits) const {
  if (m_last_starts.empty())
    return CrashEvidence::kNothingRan;
  const bool all_ran = std::all_of(
      traits.begin(), traits.end(),
      [&](const Trait trait) { return LastStart(trait).has_value(); });
  return all_ran ? CrashEvidence::kRanBefore : CrashEvidence::kNeverRan;
}

const CrashTracker::Crashes* CrashTracker::StrongestEvidence(
    const std::map<Trait, Crashes>& by_trait) {
  const Crashes* out = nullptr;
  for (const auto& [trait, crashes] : by_trait)
    // Fewer crashes are no evidence, and most traits have but one.
    if (crashes.size() >= kMinCrashes &&
        (out == nullptr || StrengthOf(crashes) > StrengthOf(*out)))
      out = &crashes;
  return out;
}

// Takes the trait that explains most crashes in a row, then the one that
// explains most of the others. Contents of requests that had begun are judged
// among themselves, by the crashes that no other trait explains: with the
// others they would make every verdict ambiguous.
std::vector<CrashTracker::Culprit> CrashTracker::FindCulprits(
    TimePoint now) const {
  std::vector<Culprit> out;
  if (m_crashes.size() < kMinCrashes)
    return out;
  std::set<uint64_t> explained_servers;
  const auto is_explained = [&](const KnownCrash* crash) {
    return explained_servers.contains(crash->report.server);
  };
  const auto judge = [&](Crashes unexplained) {
    for (;;) {
      std::erase_if(unexplained, is_explained);
      const std::map<Trait, Crashes> by_trait = CrashesByTrait(unexplained);
      const Crashes* crashes = StrongestEvidence(by_trait);
      if (crashes == nullptr)
        return;
      const Explanation explanation = Narrow(*crashes, by_trait);
      const Crashes sequence = InSequence(explanation.crashes);
      if (sequence.size() < kMinCrashes)
        return;
      const bool starts_known =
          now - sequence[kMinCrashes - 1]->known_at >= kVerdictDelay;
      if (starts_known && (sequence.size() >= kUndeniableCrashes ||
                           !IsAmbiguous(explanation, by_trait)))
        out.push_back({explanation.traits,
                       explanation.crashes.back()->report.crashed_at,
                       EvidenceAgainst(explanation.traits)});
      explained_servers.merge(ServersOf(explanation.crashes));
    }
  };
  Crashes by_parts = SortedCrashes();
  const auto first_content = std::stable_partition(
      by_parts.begin(), by_parts.end(),
      [](const KnownCrash* crash) { return !IsContentOnly(crash->report); });
  const Crashes by_content(first_content, by_parts.end());
  by_parts.erase(first_content, by_parts.end());
  judge(by_parts);
  judge(by_content);
  return out;
}

void CrashTracker::RemoveExpired(TimePoint now) {
  std::erase_if(m_crashes, [&](const auto& entry) {
    return now - entry.second.report.crashed_at > kCrashMemory;
  });
}

}  // namespace trefoilwick
