// Requests that crash servers, as observed by this instance, and the end of
// those that the instances have agreed to refuse.
#include <algorithm>

#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

namespace {

std::string JoinParts(const std::vector<std::string>& parts) {
  std::string out;
  for (const std::string& part : parts)
    out += (out.empty() ? "" : ",") + part;
  return out;
}

std::string FormatTraits(const TraitSet& traits) {
  std::string out;
  for (const Trait trait : traits) {
    char text[17];
    snprintf(text, sizeof text, "%016llx",
             static_cast<unsigned long long>(trait));
    out += (out.empty() ? "" : ",") + std::string(text);
  }
  return out;
}

}  // namespace

void GatewayCore::OnClosedByServer(const std::string& server,
                                   const std::string& attempt_id,
                                   const std::vector<std::string>& prompt_parts,
                                   CrashReport report) {
  const auto found = servers().find(server);
  // A draining server may close connections when it exits.
  if (found == servers().end() || found->second.state == ServerState::kDraining)
    return;
  report.server =
      StableHash(server, static_cast<uint64_t>(found->second.start_unix_ms));
  const bool is_probing = std::any_of(
      m_unconfirmed_crashes.begin(), m_unconfirmed_crashes.end(),
      [&](const UnconfirmedCrash& crash) { return crash.server == server; });
  m_unconfirmed_crashes.push_back(
      {server, attempt_id, JoinParts(prompt_parts), std::move(report)});
  if (!is_probing)
    StartProbe(server, found->second.address);
}

void GatewayCore::SettleUnconfirmedCrashes(const std::string& server,
                                           bool crashed) {
  std::erase_if(m_unconfirmed_crashes, [&](const UnconfirmedCrash& crash) {
    if (crash.server != server)
      return false;
    if (crashed) {
      Log("server_crash", {{"id", crash.attempt_id},
                           {"server", crash.server},
                           {"parts", crash.prompt_parts},
                           {"traits", FormatTraits(crash.report.traits)}});
      m_coordination.OnServerCrash(Now(), crash.report);
    }
    return true;
  });
}

void GatewayCore::CountQuarantined(const std::string& route) {
  m_metrics.GetCounter("trefoilwick_quarantined_total", {{"route", route}})
      .Add();
}

void GatewayCore::ApplyQuarantine(TimePoint now) {
  std::map<TraitSet, QuarantineState> seen;
  bool has_new = false;
  for (const QuarantineEntry& entry : m_coordination.Quarantine(now)) {
    seen[entry.traits] = entry.state;
    const auto known = m_seen_quarantine.find(entry.traits);
    const bool is_known = known != m_seen_quarantine.end();
    if (is_known && known->second == entry.state)
      continue;
    has_new |= entry.state != QuarantineState::kLifted &&
               (!is_known || known->second == QuarantineState::kLifted);
    Log("quarantine",
        {{"traits", FormatTraits(entry.traits)},
         {"state", std::string(kQuarantineStateNames.Name(entry.state))},
         {"remaining_ms", std::to_string(entry.remaining.count() / 1000)},
         {"fence", std::to_string(m_coordination.fencing_token())}});
  }
  m_seen_quarantine = std::move(seen);
  if (!has_new)
    return;
  ForEachRequest([](Exchange& request) { request.EndIfQuarantined(); });
}

}  // namespace trefoilwick::detail
