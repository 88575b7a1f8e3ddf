// The operators' table: one row per kind of work and one per client account.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// One kind of work. Exactly one of `model` and `service` is set.
struct WorkKind {
  std::string name;
  Rank rank = Rank::kOrdinary;
  double weight = 1;
  // Guaranteed share of capacity under load from other kinds, 0 to 1.
  double floor = 0;
  std::string model;
  std::string service;
  bool idempotent = true;
  std::chrono::milliseconds first_token_target{2000};
  std::chrono::milliseconds between_tokens_target{100};
  bool operator==(const WorkKind&) const = default;
};

// One client account. A limit of 0 means unlimited.
struct Account {
  std::string name;
  double weight = 1;
  // Most urgent rank that the account may request.
  Rank rank_limit = Rank::kOrdinary;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  int max_concurrent_requests = 0;
  // Lower-case hex SHA-256 of the bearer key.
  std::string key_sha256;
  bool operator==(const Account&) const = default;
};

// Rows changed between two versions.
struct TableDelta {
  int64_t version = 0;
  std::vector<WorkKind> kinds;
  std::vector<Account> accounts;
  std::vector<std::string> removed_kinds;
  std::vector<std::string> removed_accounts;
  bool empty() const {
    return kinds.empty() && accounts.empty() && removed_kinds.empty() &&
           removed_accounts.empty();
  }
  bool operator==(const TableDelta&) const = default;
};

// An immutable table. Copies share the rows and are cheap.
class Table {
 public:
  // No rows, version 0.
  Table();
  Table(int64_t version,
        std::map<std::string, WorkKind> kinds,
        std::map<std::string, Account> accounts);
  int64_t version() const { return m_version; }
  const std::map<std::string, WorkKind>& kinds() const { return m_rows->kinds; }
  const std::map<std::string, Account>& accounts() const {
    return m_rows->accounts;
  }
  // Each returns null when there is no such row.
  const WorkKind* FindKind(std::string_view name) const;
  const Account* FindAccount(std::string_view name) const;
  const Account* FindAccountByKeyHash(std::string_view key_sha256) const;
  // The least urgent kind that serves `model`, used for requests that name no
  // kind. Ties go to the first by name.
  const WorkKind* DefaultKindForModel(std::string_view model) const;
  // The same rows under another version.
  Table WithVersion(int64_t version) const;
  bool operator==(const Table& other) const;

 private:
  struct Rows {
    std::map<std::string, WorkKind> kinds;
    std::map<std::string, Account> accounts;
    // Refers to `accounts`; built once the maps no longer change.
    std::unordered_map<std::string_view, const Account*> account_by_key_hash;
  };
  int64_t m_version = 0;
  std::shared_ptr<const Rows> m_rows;
};

// Names that the rows of a table may refer to. An empty list: not checked.
struct KnownModelsAndServices {
  std::vector<std::string> models;
  std::vector<std::string> services;
};

// Parses and checks TOML. Every problem is added to `findings` with its line:
// syntax error, unknown field, wrong type, missing or out-of-range value,
// duplicate name or key hash, floors with a sum over 1, unknown model or
// service. The version of the table is the optional top-level field `version`,
// else 0. Returns kInvalidArgument with all findings as its message when there
// are any.
absl::StatusOr<Table> ParseTable(const std::string& text,
                                 const std::string& file,
                                 const KnownModelsAndServices& known,
                                 Findings& findings);
// As above with `known_models` only; services are not checked.
absl::StatusOr<Table> ParseTable(const std::string& text,
                                 const std::string& file,
                                 const std::vector<std::string>& known_models,
                                 Findings& findings);

// Applies the checks of ParseTable to a table that was not parsed from text.
// Findings have line 0 and name the row.
void CheckTable(const Table& table,
                const std::string& file,
                Findings& findings);

// TOML text that ParseTable reads back to an equal table.
std::string FormatTable(const Table& table);

// Returns the rows that turn `from` into `to`; the version is that of `to`.
TableDelta DiffTables(const Table& from, const Table& to);

// Returns kFailedPrecondition unless delta.version is table.version() + 1.
absl::StatusOr<Table> ApplyDelta(const Table& table, const TableDelta& delta);

// Applies several deltas with one copy of the rows. Returns kFailedPrecondition
// unless their versions are consecutive and start at table.version() + 1.
absl::StatusOr<Table> ApplyDeltas(const Table& table,
                                  std::span<const TableDelta> deltas);

// One line per changed row, starting with "+", "-" or "~"; "~" lines name the
// changed fields with their old and new values.
std::string FormatDelta(const Table& from, const TableDelta& delta);

// Serialised forms for the change log and for peers: JSON in UTF-8 with short
// field names; default values are omitted. Decoding skips unknown fields and
// checks types but not ranges, so that instances of an older version can read a
// table accepted under newer rules. Errors are kInvalidArgument.
std::string EncodeDelta(const TableDelta& delta);
absl::StatusOr<TableDelta> DecodeDelta(const std::string& bytes);
std::string EncodeTable(const Table& table);
absl::StatusOr<Table> DecodeTable(const std::string& bytes);

}  // namespace trefoilwick
