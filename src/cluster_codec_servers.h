// Parts of the messages between instances that tell what backend servers did or
// said: crashes, limits and announced shutdowns.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cluster_codec.h"
#include "cluster_types.h"

namespace trefoilwick::detail {

int64_t ToMilliseconds(Duration duration);
// Milliseconds that fit the wire, at least 0.
int32_t ToWireMilliseconds(Duration duration);

std::vector<int64_t> ToWire(const TraitSet& traits);
// Sorted without duplicates, whatever the sender did.
TraitSet TraitsFromWire(const std::vector<int64_t>& traits);

std::vector<wire::Crash> ToWire(const std::vector<CrashMessage>& crashes);
std::vector<CrashMessage> FromWire(const std::vector<wire::Crash>& crashes);

std::vector<wire::TraitStart> ToWire(const std::map<Trait, Duration>& starts);
std::map<Trait, Duration> FromWire(const std::vector<wire::TraitStart>& starts);

std::vector<wire::QuarantineEntry> ToWire(
    const std::vector<QuarantineEntry>& entries);
std::vector<QuarantineEntry> FromWire(
    const std::vector<wire::QuarantineEntry>& entries);

std::vector<wire::ServerLimit> ToWire(const std::vector<LimitMessage>& limits);
std::vector<LimitMessage> FromWire(
    const std::vector<wire::ServerLimit>& limits);

std::vector<wire::LeavingServer> ToWire(
    const std::vector<LeavingMessage>& leaving);
std::vector<LeavingMessage> FromWire(
    const std::vector<wire::LeavingServer>& leaving);

}  // namespace trefoilwick::detail
