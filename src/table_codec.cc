#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

#include "trefoilwick/table.h"

namespace trefoilwick {
namespace {

using nlohmann::json;

template <typename T>
void PutUnlessDefault(json& row,
                      const char* field,
                      const T& value,
                      const T& default_value) {
  if (!(value == default_value))
    row[field] = value;
}

json ToJson(const WorkKind& kind) {
  static const WorkKind defaults;
  json row{{"n", kind.name}};
  PutUnlessDefault(row, "r", static_cast<int>(kind.rank),
                   static_cast<int>(defaults.rank));
  PutUnlessDefault(row, "w", kind.weight, defaults.weight);
  PutUnlessDefault(row, "f", kind.floor, defaults.floor);
  PutUnlessDefault(row, "m", kind.model, defaults.model);
  PutUnlessDefault(row, "s", kind.service, defaults.service);
  PutUnlessDefault(row, "i", kind.idempotent, defaults.idempotent);
  PutUnlessDefault(row, "ft", kind.first_token_target.count(),
                   defaults.first_token_target.count());
  PutUnlessDefault(row, "bt", kind.between_tokens_target.count(),
                   defaults.between_tokens_target.count());
  return row;
}

json ToJson(const Account& account) {
  static const Account defaults;
  json row{{"n", account.name}};
  PutUnlessDefault(row, "w", account.weight, defaults.weight);
  PutUnlessDefault(row, "l", static_cast<int>(account.rank_limit),
                   static_cast<int>(defaults.rank_limit));
  PutUnlessDefault(row, "rps", account.requests_per_second,
                   defaults.requests_per_second);
  PutUnlessDefault(row, "tps", account.tokens_per_second,
                   defaults.tokens_per_second);
  PutUnlessDefault(row, "c", account.max_concurrent_requests,
                   defaults.max_concurrent_requests);
  PutUnlessDefault(row, "k", account.key_sha256, defaults.key_sha256);
  return row;
}

// Reads typed fields of one JSON object and records whether any was malformed.
class RowReader {
 public:
  explicit RowReader(const json& row) : m_row(row), m_ok(row.is_object()) {}
  bool ok() const { return m_ok; }
  void String(const char* field, std::string& out) {
    if (const json* value = Find(field, &json::is_string))
      out = value->get<std::string>();
  }
  void Bool(const char* field, bool& out) {
    if (const json* value = Find(field, &json::is_boolean))
      out = value->get<bool>();
  }
  void Double(const char* field, double& out) {
    if (const json* value = Find(field, &json::is_number))
      out = value->get<double>();
    m_ok = m_ok && std::isfinite(out);
  }
  // Rejects values outside [0, max].
  template <typename T>
  void Integer(const char* field, T& out, int64_t max) {
    const json* value = Find(field, &json::is_number_integer);
    if (value == nullptr)
      return;
    const bool exceeds_int64 =
        value->is_number_unsigned() &&
        value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
    const int64_t number = exceeds_int64 ? -1 : value->get<int64_t>();
    if (number < 0 || number > max)
      m_ok = false;
    else
      out = static_cast<T>(number);
  }

 private:
  using TypeCheck = bool (json::*)() const noexcept;
  const json* Find(const char* field, TypeCheck is_type) {
    if (!m_ok)
      return nullptr;
    const auto it = m_row.find(field);
    if (it == m_row.end())
      return nullptr;
    m_ok = ((*it).*is_type)();
    return m_ok ? &*it : nullptr;
  }

  const json& m_row;
  bool m_ok;
};

bool FromJson(const json& row, WorkKind& kind) {
  RowReader reader(row);
  reader.String("n", kind.name);
  reader.Integer("r", kind.rank, kRankCount - 1);
  reader.Double("w", kind.weight);
  reader.Double("f", kind.floor);
  reader.String("m", kind.model);
  reader.String("s", kind.service);
  reader.Bool("i", kind.idempotent);
  int64_t first_token_ms = kind.first_token_target.count();
  int64_t between_tokens_ms = kind.between_tokens_target.count();
  reader.Integer("ft", first_token_ms, INT32_MAX);
  reader.Integer("bt", between_tokens_ms, INT32_MAX);
  kind.first_token_target = std::chrono::milliseconds(first_token_ms);
  kind.between_tokens_target = std::chrono::milliseconds(between_tokens_ms);
  return reader.ok() && !kind.name.empty();
}

bool FromJson(const json& row, Account& account) {
  RowReader reader(row);
  reader.String("n", account.name);
  reader.Double("w", account.weight);
  reader.Integer("l", account.rank_limit, kRankCount - 1);
  reader.Double("rps", account.requests_per_second);
  reader.Double("tps", account.tokens_per_second);
  reader.Integer("c", account.max_concurrent_requests, INT32_MAX);
  reader.String("k", account.key_sha256);
  return reader.ok() && !account.name.empty();
}

bool FromJson(const json& value, std::string& name) {
  if (!value.is_string())
    return false;
  name = value.get<std::string>();
  return !name.empty();
}

template <typename Row>
json ListToJson(const std::vector<Row>& rows) {
  json list = json::array();
  for (const Row& row : rows)
    list.push_back(ToJson(row));
  return list;
}

template <typename Row>
bool ListFromJson(const json& document,
                  const char* field,
                  std::vector<Row>& rows) {
  const auto it = document.find(field);
  if (it == document.end())
    return true;
  if (!it->is_array())
    return false;
  rows.resize(it->size());
  for (size_t i = 0; i < rows.size(); ++i)
    if (!FromJson((*it)[i], rows[i]))
      return false;
  return true;
}

// Names are not checked here, so invalid UTF-8 is replaced; dump() would throw
// on it otherwise.
std::string Dump(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status MalformedError(const char* what) {
  return MakeStatus(absl::StatusCode::kInvalidArgument,
                    std::string("malformed ") + what);
}

template <typename Row>
bool ToMap(std::vector<Row> rows, std::map<std::string, Row>& map) {
  for (Row& row : rows) {
    std::string name = row.name;
    if (!map.emplace(std::move(name), std::move(row)).second)
      return false;
  }
  return true;
}

bool VersionFromJson(const json& document, int64_t& version) {
  if (!document.is_object() || !document.contains("v"))
    return false;
  RowReader reader(document);
  reader.Integer("v", version, INT64_MAX);
  return reader.ok();
}

}  // namespace

std::string EncodeDelta(const TableDelta& delta) {
  json document{{"v", delta.version}};
  if (!delta.kinds.empty())
    document["k"] = ListToJson(delta.kinds);
  if (!delta.accounts.empty())
    document["a"] = ListToJson(delta.accounts);
  if (!delta.removed_kinds.empty())
    document["rk"] = delta.removed_kinds;
  if (!delta.removed_accounts.empty())
    document["ra"] = delta.removed_accounts;
  return Dump(document);
}

absl::StatusOr<TableDelta> DecodeDelta(const std::string& bytes) {
  const json document = json::parse(bytes, nullptr, false);
  TableDelta delta;
  if (!VersionFromJson(document, delta.version) ||
      !ListFromJson(document, "k", delta.kinds) ||
      !ListFromJson(document, "a", delta.accounts) ||
      !ListFromJson(document, "rk", delta.removed_kinds) ||
      !ListFromJson(document, "ra", delta.removed_accounts))
    return MalformedError("change");
  return delta;
}

std::string EncodeTable(const Table& table) {
  TableDelta full_delta = DiffTables(Table(), table);
  return EncodeDelta(full_delta);
}

absl::StatusOr<Table> DecodeTable(const std::string& bytes) {
  absl::StatusOr<TableDelta> full_delta = DecodeDelta(bytes);
  if (!full_delta.ok())
    return MalformedError("table");
  std::map<std::string, WorkKind> kinds;
  std::map<std::string, Account> accounts;
  if (!ToMap(std::move(full_delta->kinds), kinds) ||
      !ToMap(std::move(full_delta->accounts), accounts))
    return MalformedError("table");
  return Table(full_delta->version, std::move(kinds), std::move(accounts));
}

}  // namespace trefoilwick
