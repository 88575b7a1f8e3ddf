// The operators' table: one row per kind of work and one per client account.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// One kind of work. Exactly one of `model` and `service` is set.
struct Kind {
  std::string name;
  Rank rank = Rank::kOrdinary;
  double weight = 1;
  // Share of capacity kept while other kinds flood, 0 to 1.
  double floor = 0;
  std::string model;
  std::string service;
  bool idempotent = true;
  std::chrono::milliseconds first_token{2000};
  std::chrono::milliseconds between_tokens{100};
  bool operator==(const Kind&) const = default;
};

// One client account. A limit of 0 means unlimited.
struct Account {
  std::string name;
  double weight = 1;
  // Highest rank the account may ask for.
  Rank rank_limit = Rank::kOrdinary;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  int concurrent = 0;
  // Lower-case hex SHA-256 of the bearer key.
  std::string key_sha256;
  bool operator==(const Account&) const = default;
};

// Rows changed between two versions.
struct TableDelta {
  int64_t version = 0;
  std::vector<Kind> kinds;
  std::vector<Account> accounts;
  std::vector<std::string> removed_kinds;
  std::vector<std::string> removed_accounts;
  bool empty() const {
    return kinds.empty() && accounts.empty() && removed_kinds.empty() &&
           removed_accounts.empty();
  }
  bool operator==(const TableDelta&) const = default;
};

// An immutable, checked table. Copies are explicit via ApplyDelta.
class Table {
 public:
  Table() = default;
  Table(int64_t version,
        std::map<std::string, Kind> kinds,
        std::map<std::string, Account> accounts);
  int64_t version() const { return m_version; }
  const std::map<std::string, Kind>& kinds() const { return m_kinds; }
  const std::map<std::string, Account>& accounts() const { return m_accounts; }
  // Each returns null when there is no such row.
  const Kind* FindKind(std::string_view name) const;
  const Account* FindAccount(std::string_view name) const;
  const Account* FindAccountByKeyHash(std::string_view key_sha256) const;
  // The kind with the lowest rank among those that serve `model`: what a
  // request that names no kind gets. Ties go to the first by name.
  const Kind* DefaultKindForModel(std::string_view model) const;

 private:
  int64_t m_version = 0;
  std::map<std::string, Kind> m_kinds;
  std::map<std::string, Account> m_accounts;
  // Points into m_accounts by name.
  std::unordered_map<std::string, std::string> m_account_by_key_hash;
};

// Parses and checks TOML. Every problem is added to `findings` with its line:
// unknown field, wrong type, missing or out-of-range value, duplicate name or
// key hash, floors that sum over 1, unknown model or service. `known_models`
// empty: models are not checked. Returns kInvalidArgument with all findings as
// message when there is any.
absl::StatusOr<Table> ParseTable(const std::string& text,
                                 const std::string& file,
                                 const std::vector<std::string>& known_models,
                                 Findings& findings);

// TOML text that ParseTable reads back to an equal table.
std::string FormatTable(const Table& table);

// Rows to change to get from `from` to `to`; version is that of `to`.
TableDelta DiffTables(const Table& from, const Table& to);

// Returns kFailedPrecondition unless delta.version is table.version() + 1.
absl::StatusOr<Table> ApplyDelta(const Table& table, const TableDelta& delta);

// One line per changed row, "+", "-" or "~" first; "~" lines name the changed
// fields with old and new value.
std::string FormatDelta(const Table& from, const TableDelta& delta);

// Compact serialised forms for the change log and for peers.
std::string EncodeDelta(const TableDelta& delta);
absl::StatusOr<TableDelta> DecodeDelta(const std::string& bytes);
std::string EncodeTable(const Table& table);
absl::StatusOr<Table> DecodeTable(const std::string& bytes);

}  // namespace trefoilwick
