// Operators' tables for tests.
#pragma once

#include <cstdio>
#include <map>
#include <string>
#include <utility>

#include "trefoilwick/table.h"

namespace trefoilwick {

inline std::string SampleKeyHash(uint64_t seed) {
  char text[65];
  std::snprintf(text, sizeof text, "%016llx%048llx",
                static_cast<unsigned long long>(StableHash("key", seed)),
                static_cast<unsigned long long>(seed));
  return text;
}

// Four kinds and `account_count` accounts, all fields set.
inline Table SampleTable(int account_count, int64_t version = 0) {
  std::map<std::string, WorkKind> kinds;
  for (int i = 0; i < 4; ++i) {
    WorkKind kind;
    kind.name = "kind-" + std::to_string(i);
    kind.rank = static_cast<Rank>(i % 3);
    kind.weight = 1 + i;
    kind.floor = 0.1;
    kind.model = i < 3 ? "debate-70b" : "";
    kind.service = i < 3 ? "" : "ballot";
    kind.idempotent = i < 3;
    kind.first_token_target = std::chrono::milliseconds(340);
    kind.between_tokens_target = std::chrono::milliseconds(31);
    kinds.emplace(kind.name, kind);
  }
  std::map<std::string, Account> accounts;
  for (int i = 0; i < account_count; ++i) {
    Account account;
    account.name = "account-" + std::to_string(i);
    account.weight = 1 + i % 7;
    account.rank_limit = Rank::kUrgent;
    account.requests_per_second = 5 + i % 11;
    account.tokens_per_second = 2000 + i % 13;
    account.max_concurrent_requests = 8 + i % 5;
    account.key_sha256 = SampleKeyHash(static_cast<uint64_t>(i));
    accounts.emplace(account.name, account);
  }
  return {version, std::move(kinds), std::move(accounts)};
}

// The same table with another weight for one account.
inline Table WithWeight(const Table& table,
                        const std::string& account,
                        double weight) {
  auto accounts = table.accounts();
  accounts.at(account).weight = weight;
  return {table.version(), table.kinds(), std::move(accounts)};
}

}  // namespace trefoilwick
