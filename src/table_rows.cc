// Rows, lookups and differences of tables.
#include <set>
#include <string>
#include <utility>

#include "table_checks.h"
#include "trefoilwick/table.h"

namespace trefoilwick {
namespace {

using FieldTexts = std::vector<std::pair<std::string, std::string>>;

FieldTexts FormatFields(const WorkKind& kind) {
  using detail::FormatNumber;
  return {{"rank", std::string(kRankNames.Name(kind.rank))},
          {"weight", FormatNumber(kind.weight)},
          {"floor", FormatNumber(kind.floor)},
          {"model", kind.model},
          {"service", kind.service},
          {"idempotent", kind.idempotent ? "true" : "false"},
          {"first_token_ms", std::to_string(kind.first_token_target.count())},
          {"between_tokens_ms",
           std::to_string(kind.between_tokens_target.count())}};
}

FieldTexts FormatFields(const Account& account) {
  using detail::FormatNumber;
  return {{"weight", FormatNumber(account.weight)},
          {"rank_limit", std::string(kRankNames.Name(account.rank_limit))},
          {"requests_per_second", FormatNumber(account.requests_per_second)},
          {"tokens_per_second", FormatNumber(account.tokens_per_second)},
          {"concurrent", std::to_string(account.max_concurrent_requests)},
          {"key_sha256", account.key_sha256}};
}

template <typename Row>
std::string FormatAddedRow(const char* type, const Row& row) {
  std::string line = std::string("+ ") + type + " " + row.name;
  for (const auto& [field, value] : FormatFields(row))
    if (!value.empty())
      line.append(" ").append(field).append("=").append(value);
  return line + "\n";
}

template <typename Row>
std::string FormatChangedRow(const char* type, const Row& from, const Row& to) {
  const auto old_fields = FormatFields(from);
  const auto new_fields = FormatFields(to);
  std::string changes;
  for (size_t i = 0; i < old_fields.size(); ++i) {
    if (old_fields[i].second == new_fields[i].second)
      continue;
    changes += changes.empty() ? " " : ", ";
    changes += old_fields[i].first + " " + old_fields[i].second + " -> " +
               new_fields[i].second;
  }
  return std::string("~ ") + type + " " + to.name + changes + "\n";
}

template <typename Row>
std::string FormatChangedRows(const char* type,
                              const std::map<std::string, Row>& from,
                              const std::vector<Row>& upserted,
                              const std::vector<std::string>& removed) {
  std::string text;
  for (const std::string& name : removed)
    text.append("- ").append(type).append(" ").append(name).append("\n");
  for (const Row& row : upserted) {
    const auto it = from.find(row.name);
    if (it == from.end())
      text += FormatAddedRow(type, row);
    else if (!(it->second == row))
      text += FormatChangedRow(type, it->second, row);
  }
  return text;
}

template <typename Row>
void DiffRows(const std::map<std::string, Row>& from,
              const std::map<std::string, Row>& to,
              std::vector<Row>& upserted,
              std::vector<std::string>& removed) {
  for (const auto& [name, row] : to) {
    const auto it = from.find(name);
    if (it == from.end() || !(it->second == row))
      upserted.push_back(row);
  }
  for (const auto& [name, row] : from)
    if (!to.contains(name))
      removed.push_back(name);
}

template <typename Row>
void ApplyRows(std::map<std::string, Row>& rows,
               const std::vector<Row>& upserted,
               const std::vector<std::string>& removed) {
  for (const std::string& name : removed)
    rows.erase(name);
  for (const Row& row : upserted)
    rows.insert_or_assign(row.name, row);
}

template <typename Map>
const typename Map::mapped_type* FindRow(const Map& rows,
                                         std::string_view name) {
  const auto it = rows.find(std::string(name));
  return it == rows.end() ? nullptr : &it->second;
}

}  // namespace

Table::Table() {
  static const auto empty_rows = std::make_shared<const Rows>();
  m_rows = empty_rows;
}

Table::Table(int64_t version,
             std::map<std::string, WorkKind> kinds,
             std::map<std::string, Account> accounts)
    : m_version(version) {
  auto rows = std::make_shared<Rows>();
  rows->kinds = std::move(kinds);
  rows->accounts = std::move(accounts);
  rows->account_by_key_hash.reserve(rows->accounts.size());
  for (const auto& [name, account] : rows->accounts)
    if (!account.key_sha256.empty())
      rows->account_by_key_hash.emplace(account.key_sha256, &account);
  m_rows = std::move(rows);
}

const WorkKind* Table::FindKind(std::string_view name) const {
  return FindRow(kinds(), name);
}

const Account* Table::FindAccount(std::string_view name) const {
  return FindRow(accounts(), name);
}

const Account* Table::FindAccountByKeyHash(std::string_view key_sha256) const {
  const auto it = m_rows->account_by_key_hash.find(key_sha256);
  return it == m_rows->account_by_key_hash.end() ? nullptr : it->second;
}

const WorkKind* Table::DefaultKindForModel(std::string_view model) const {
  const WorkKind* chosen = nullptr;
  for (const auto& [name, kind] : kinds())
    if (kind.model == model && !model.empty() &&
        (chosen == nullptr || kind.rank > chosen->rank))
      chosen = &kind;
  return chosen;
}

Table Table::WithVersion(int64_t version) const {
  Table table(*this);
  table.m_version = version;
  return table;
}

bool Table::operator==(const Table& other) const {
  return m_version == other.m_version &&
         (m_rows == other.m_rows ||
          (kinds() == other.kinds() && accounts() == other.accounts()));
}

TableDelta DiffTables(const Table& from, const Table& to) {
  TableDelta delta;
  delta.version = to.version();
  DiffRows(from.kinds(), to.kinds(), delta.kinds, delta.removed_kinds);
  DiffRows(from.accounts(), to.accounts(), delta.accounts,
           delta.removed_accounts);
  return delta;
}

absl::StatusOr<Table> ApplyDelta(const Table& table, const TableDelta& delta) {
  return ApplyDeltas(table, {&delta, 1});
}

absl::StatusOr<Table> ApplyDeltas(const Table& table,
                                  std::span<const TableDelta> deltas) {
  int64_t version = table.version();
  for (const TableDelta& delta : deltas) {
    if (delta.version != version + 1) {
      return MakeStatus(absl::StatusCode::kFailedPrecondition,
                        "change " + std::to_string(delta.version) +
                            " does not follow version " +
                            std::to_string(version));
    }
    ++version;
  }
  auto kinds = table.kinds();
  auto accounts = table.accounts();
  for (const TableDelta& delta : deltas) {
    ApplyRows(kinds, delta.kinds, delta.removed_kinds);
    ApplyRows(accounts, delta.accounts, delta.removed_accounts);
  }
  return Table(version, std::move(kinds), std::move(accounts));
}

std::string FormatDelta(const Table& from, const TableDelta& delta) {
  return FormatChangedRows("kind", from.kinds(), delta.kinds,
                           delta.removed_kinds) +
         FormatChangedRows("account", from.accounts(), delta.accounts,
                           delta.removed_accounts);
}

}  // namespace trefoilwick
