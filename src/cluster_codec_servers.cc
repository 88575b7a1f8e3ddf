#include "cluster_codec_servers.h"

#include <algorithm>
#include <cmath>

namespace trefoilwick::detail {

namespace {

// Limits and demand are sent in thousandths of a request a second.
constexpr double kThousandthsPerUnit = 1000;

}  // namespace

int64_t ToMilliseconds(Duration duration) {
  return duration.count() / 1000;
}

int32_t ToWireMilliseconds(Duration duration) {
  return static_cast<int32_t>(
      std::clamp<int64_t>(ToMilliseconds(duration), 0, INT32_MAX));
}

std::vector<int64_t> ToWire(const TraitSet& traits) {
  return {traits.begin(), traits.end()};
}

TraitSet TraitsFromWire(const std::vector<int64_t>& traits) {
  TraitSet out(traits.begin(), traits.end());
  SortUnique(out);
  return out;
}

std::vector<wire::Crash> ToWire(const std::vector<CrashMessage>& crashes) {
  std::vector<wire::Crash> out;
  for (const CrashMessage& crash : crashes) {
    wire::Crash& item = out.emplace_back();
    item.id = static_cast<int64_t>(crash.id);
    item.server = static_cast<int64_t>(crash.server);
    item.traits = ToWire(crash.traits);
    item.age_ms = ToWireMilliseconds(crash.age);
  }
  return out;
}

std::vector<CrashMessage> FromWire(const std::vector<wire::Crash>& crashes) {
  std::vector<CrashMessage> out;
  out.reserve(crashes.size());
  for (const wire::Crash& item : crashes)
    out.push_back(
        {static_cast<uint64_t>(item.id), static_cast<uint64_t>(item.server),
         TraitsFromWire(item.traits), std::chrono::milliseconds(item.age_ms)});
  return out;
}

std::vector<wire::TraitStart> ToWire(const std::map<Trait, Duration>& starts) {
  std::vector<wire::TraitStart> out;
  for (const auto& [trait, age] : starts) {
    wire::TraitStart& item = out.emplace_back();
    item.trait = static_cast<int64_t>(trait);
    item.age_ms = ToWireMilliseconds(age);
  }
  return out;
}

std::map<Trait, Duration> FromWire(
    const std::vector<wire::TraitStart>& starts) {
  std::map<Trait, Duration> out;
  for (const wire::TraitStart& item : starts)
    out[static_cast<Trait>(item.trait)] =
        std::chrono::milliseconds(item.age_ms);
  return out;
}

std::vector<wire::QuarantineEntry> ToWire(
    const std::vector<QuarantineEntry>& entries) {
  std::vector<wire::QuarantineEntry> out;
  for (const QuarantineEntry& entry : entries) {
    wire::QuarantineEntry& item = out.emplace_back();
    item.traits = ToWire(entry.traits);
    item.remaining_ms = ToWireMilliseconds(entry.remaining);
    item.on_trial = entry.state == QuarantineState::kOnTrial;
    item.lifted = entry.state == QuarantineState::kLifted;
    item.fencing_token = entry.decision.fencing_token;
    item.decision = entry.decision.number;
  }
  return out;
}

std::vector<QuarantineEntry> FromWire(
    const std::vector<wire::QuarantineEntry>& entries) {
  std::vector<QuarantineEntry> out;
  out.reserve(entries.size());
  for (const wire::QuarantineEntry& item : entries)
    out.push_back({TraitsFromWire(item.traits),
                   std::chrono::milliseconds(item.remaining_ms),
                   item.lifted     ? QuarantineState::kLifted
                   : item.on_trial ? QuarantineState::kOnTrial
                                   : QuarantineState::kRefused,
                   {item.fencing_token, item.decision}});
  return out;
}

namespace {

int32_t ToThousandths(double value) {
  return static_cast<int32_t>(std::llround(
      std::clamp(value * kThousandthsPerUnit, 0.0, double{INT32_MAX})));
}

}  // namespace

std::vector<wire::ServerLimit> ToWire(const std::vector<LimitMessage>& limits) {
  std::vector<wire::ServerLimit> out;
  out.reserve(limits.size());
  for (const LimitMessage& limit : limits) {
    wire::ServerLimit& item = out.emplace_back();
    item.server = limit.server;
    item.per_second_milli = limit.requests_per_second
                                ? ToThousandths(*limit.requests_per_second)
                                : -1;
    item.age_ms = ToWireMilliseconds(limit.age);
    item.demand_milli = ToThousandths(limit.demand);
  }
  return out;
}

std::vector<LimitMessage> FromWire(
    const std::vector<wire::ServerLimit>& limits) {
  std::vector<LimitMessage> out;
  out.reserve(limits.size());
  for (const wire::ServerLimit& item : limits) {
    LimitMessage& limit = out.emplace_back();
    limit.server = item.server;
    if (item.per_second_milli >= 0)
      limit.requests_per_second =
          static_cast<double>(item.per_second_milli) / kThousandthsPerUnit;
    limit.age = std::chrono::milliseconds(item.age_ms);
    limit.demand = item.demand_milli / kThousandthsPerUnit;
  }
  return out;
}

std::vector<wire::LeavingServer> ToWire(
    const std::vector<LeavingMessage>& leaving) {
  std::vector<wire::LeavingServer> out;
  out.reserve(leaving.size());
  for (const LeavingMessage& notice : leaving) {
    wire::LeavingServer& item = out.emplace_back();
    item.server = notice.process.id;
    item.born = notice.process.start_unix_ms;
    item.age_ms = ToWireMilliseconds(notice.age);
  }
  return out;
}

std::vector<LeavingMessage> FromWire(
    const std::vector<wire::LeavingServer>& leaving) {
  std::vector<LeavingMessage> out;
  out.reserve(leaving.size());
  for (const wire::LeavingServer& item : leaving)
    out.push_back(
        {{item.server, item.born}, std::chrono::milliseconds(item.age_ms)});
  return out;
}

}  // namespace trefoilwick::detail
