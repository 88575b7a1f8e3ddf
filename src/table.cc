#include "trefoilwick/table.h"

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "table_checks.h"

namespace trefoilwick {
namespace {

using detail::RowType;

// Line numbers of a row and of its fields. A field that cannot be parsed is
// recorded as unreadable, so that its default value is not reported as a second
// problem.
struct RowLocation {
  int line = 0;
  std::unordered_map<std::string, int> fields;
  std::unordered_map<std::string, bool> unreadable;
};

// Reads rows out of parsed TOML and collects findings with their lines.
class TableReader {
 public:
  TableReader(std::string file, Findings& findings)
      : m_file(std::move(file)), m_findings(findings) {}
  void Read(const std::string& text);
  void Check(const KnownModelsAndServices& known);
  Table Build() const;

 private:
  bool ReadText(std::string_view text, int first_line, bool report);
  void ReadSections(const std::string& text);
  void ReadDocument(const toml::table& document);
  template <typename Row>
  void ReadRows(const toml::node& node, const char* type, RowType row_type);
  void ReadField(const toml::key& key, const toml::node& node, WorkKind& kind);
  void ReadField(const toml::key& key, const toml::node& node, Account& row);
  template <typename T, typename Out>
  void ReadValue(const toml::key& key, const toml::node& node, Out& out);
  void ReadInteger(const toml::key& key, const toml::node& node, int64_t& out);
  void ReadRank(const toml::key& key, const toml::node& node, Rank& out);
  int LineNumber(const toml::source_region& region) const {
    return static_cast<int>(region.begin.line) + m_first_line - 1;
  }
  void AddFinding(int line, std::string message) {
    m_findings.Add(m_file, line, std::move(message));
  }
  void ReportUnreadable(const toml::key& key,
                        const toml::node& node,
                        const std::string& message);
  std::vector<WorkKind>& Rows(const WorkKind&) { return m_kinds; }
  std::vector<Account>& Rows(const Account&) { return m_accounts; }

  std::string m_file;
  Findings& m_findings;
  int m_first_line = 1;
  int64_t m_version = 0;
  std::vector<WorkKind> m_kinds;
  std::vector<Account> m_accounts;
  std::vector<RowLocation> m_row_locations[2];
  RowLocation* m_current_row = nullptr;
};

void TableReader::Read(const std::string& text) {
  if (!ReadText(text, 1, false))
    ReadSections(text);
}

bool TableReader::ReadText(std::string_view text, int first_line, bool report) {
  m_first_line = first_line;
  try {
    ReadDocument(toml::parse(text));
    return true;
  } catch (const toml::parse_error& error) {
    if (report)
      AddFinding(LineNumber(error.source()), std::string(error.description()));
    return false;
  }
}

// The parser stops at the first syntax error. To report the others too, each
// section (from a line that starts with '[' to the next one) is parsed
// separately.
void TableReader::ReadSections(const std::string& text) {
  const size_t findings_before = m_findings.list().size();
  size_t start = 0;
  int start_line = 1;
  int line = 1;
  for (size_t end = 0; end <= text.size(); ++end) {
    const bool at_line_start = end > 0 && text[end - 1] == '\n';
    line += at_line_start ? 1 : 0;
    if (end < text.size() && !(at_line_start && text[end] == '['))
      continue;
    ReadText(std::string_view(text).substr(start, end - start), start_line,
             true);
    start = end;
    start_line = line;
  }
  // Some errors involve two sections, such as a table that is defined twice.
  if (m_findings.list().size() > findings_before)
    return;
  ReadText(text, 1, true);
}

void TableReader::ReadDocument(const toml::table& document) {
  for (const auto& [key, node] : document) {
    if (key.str() == "kind") {
      ReadRows<WorkKind>(node, "kind", RowType::kKind);
    } else if (key.str() == "account") {
      ReadRows<Account>(node, "account", RowType::kAccount);
    } else if (key.str() == "version") {
      m_version = node.value_exact<int64_t>().value_or(-1);
      if (m_version < 0)
        AddFinding(LineNumber(key.source()),
                   "version must be an integer of 0 or more");
    } else {
      AddFinding(LineNumber(key.source()),
                 "unknown field \"" + std::string(key.str()) + "\"");
    }
  }
}

template <typename Row>
void TableReader::ReadRows(const toml::node& node,
                           const char* type,
                           RowType row_type) {
  const toml::array* rows = node.as_array();
  const std::string expected =
      std::string(type) + " must be given as [[" + type + "]] rows";
  if (rows == nullptr) {
    AddFinding(LineNumber(node.source()), expected);
    return;
  }
  for (const toml::node& element : *rows) {
    const toml::table* fields = element.as_table();
    if (fields == nullptr) {
      AddFinding(LineNumber(element.source()), expected);
      continue;
    }
    Row row;
    RowLocation location;
    location.line = LineNumber(element.source());
    m_current_row = &location;
    for (const auto& [key, value] : *fields) {
      location.fields[std::string(key.str())] = LineNumber(key.source());
      ReadField(key, value, row);
    }
    Rows(row).push_back(std::move(row));
    m_row_locations[static_cast<size_t>(row_type)].push_back(
        std::move(location));
  }
}

void TableReader::ReadField(const toml::key& key,
                            const toml::node& node,
                            WorkKind& kind) {
  const std::string_view name = key.str();
  if (name == "name")
    ReadValue<std::string>(key, node, kind.name);
  else if (name == "rank")
    ReadRank(key, node, kind.rank);
  else if (name == "weight")
    ReadValue<double>(key, node, kind.weight);
  else if (name == "floor")
    ReadValue<double>(key, node, kind.floor);
  else if (name == "model")
    ReadValue<std::string>(key, node, kind.model);
  else if (name == "service")
    ReadValue<std::string>(key, node, kind.service);
  else if (name == "idempotent")
    ReadValue<bool>(key, node, kind.idempotent);
  else if (name == "first_token_ms" || name == "between_tokens_ms") {
    auto& target = name == "first_token_ms" ? kind.first_token_target
                                            : kind.between_tokens_target;
    int64_t milliseconds = target.count();
    ReadInteger(key, node, milliseconds);
    target = std::chrono::milliseconds(milliseconds);
  } else {
    AddFinding(LineNumber(key.source()),
               "unknown field \"" + std::string(name) + "\"");
  }
}

void TableReader::ReadField(const toml::key& key,
                            const toml::node& node,
                            Account& account) {
  const std::string_view name = key.str();
  if (name == "name")
    ReadValue<std::string>(key, node, account.name);
  else if (name == "weight")
    ReadValue<double>(key, node, account.weight);
  else if (name == "rank_limit")
    ReadRank(key, node, account.rank_limit);
  else if (name == "requests_per_second")
    ReadValue<double>(key, node, account.requests_per_second);
  else if (name == "tokens_per_second")
    ReadValue<double>(key, node, account.tokens_per_second);
  else if (name == "concurrent") {
    int64_t concurrent = account.max_concurrent_requests;
    ReadInteger(key, node, concurrent);
    account.max_concurrent_requests = static_cast<int>(concurrent);
  } else if (name == "key_sha256") {
    ReadValue<std::string>(key, node, account.key_sha256);
  } else {
    AddFinding(LineNumber(key.source()),
               "unknown field \"" + std::string(name) + "\"");
  }
}

void TableReader::ReportUnreadable(const toml::key& key,
                                   const toml::node& node,
                                   const std::string& message) {
  m_current_row->unreadable[std::string(key.str())] = true;
  AddFinding(LineNumber(node.source()), std::string(key.str()) + " " + message);
}

// Reads a string, a boolean or a number; an integer is a valid number.
template <typename T, typename Out>
void TableReader::ReadValue(const toml::key& key,
                            const toml::node& node,
                            Out& out) {
  constexpr const char* kExpected = std::is_same_v<T, bool> ? "true or false"
                                    : std::is_same_v<T, double> ? "a number"
                                                                : "a string";
  const auto value = node.value<T>();
  const bool type_ok =
      std::is_same_v<T, double> ? node.is_number() : node.is<T>();
  if (!value || !type_ok)
    ReportUnreadable(key, node, std::string("must be ") + kExpected);
  else
    out = *value;
}

// Rejects values that do not fit an int; CheckRows applies the narrower ranges.
void TableReader::ReadInteger(const toml::key& key,
                              const toml::node& node,
                              int64_t& out) {
  const auto value = node.value_exact<int64_t>();
  if (!value)
    ReportUnreadable(key, node, "must be an integer");
  else if (*value < INT32_MIN || *value > INT32_MAX)
    ReportUnreadable(key, node, "is out of range");
  else
    out = *value;
}

void TableReader::ReadRank(const toml::key& key,
                           const toml::node& node,
                           Rank& out) {
  const auto name = node.value_exact<std::string>();
  const auto rank = name ? kRankNames.Parse(*name) : std::nullopt;
  if (!rank)
    ReportUnreadable(key, node,
                     "must be \"urgent\", \"ordinary\" or \"batch\"");
  else
    out = *rank;
}

void TableReader::Check(const KnownModelsAndServices& known) {
  for (auto& issue : detail::CheckRows(m_kinds, m_accounts, known)) {
    const RowLocation& location =
        m_row_locations[static_cast<size_t>(issue.type)][issue.index];
    if (location.unreadable.contains(issue.field))
      continue;
    const bool target_unreadable = location.unreadable.contains("model") ||
                                   location.unreadable.contains("service");
    if (issue.field.empty() && target_unreadable)
      continue;
    const auto it = location.fields.find(issue.field);
    AddFinding(it == location.fields.end() ? location.line : it->second,
               std::move(issue.message));
  }
}

Table TableReader::Build() const {
  std::map<std::string, WorkKind> kinds;
  std::map<std::string, Account> accounts;
  for (const WorkKind& kind : m_kinds)
    kinds.emplace(kind.name, kind);
  for (const Account& account : m_accounts)
    accounts.emplace(account.name, account);
  return {m_version, std::move(kinds), std::move(accounts)};
}

// Writes fields that differ from their default.
class TomlWriter {
 public:
  void WriteRowHeader(const char* type, const std::string& name) {
    m_text.append("\n[[").append(type).append("]]\n");
    WriteString("name", name, "");
  }
  void WriteString(const char* field,
                   std::string_view value,
                   std::string_view initial) {
    if (value != initial)
      WriteLine(field, QuoteToml(value));
  }
  void WriteNumber(const char* field, double value, double initial) {
    if (value != initial)
      WriteLine(field, detail::FormatNumber(value));
  }
  void WriteLine(const char* field, const std::string& value) {
    m_text.append(field).append(" = ").append(value).append("\n");
  }
  std::string TakeText() { return std::move(m_text); }

 private:
  static std::string QuoteToml(std::string_view value) {
    static constexpr char kHex[] = "0123456789abcdef";
    std::string quoted = "\"";
    for (const char c : value) {
      const auto byte = static_cast<unsigned char>(c);
      if (byte < 0x20 || byte == 0x7f)
        quoted.append("\\u00").append({kHex[byte >> 4], kHex[byte & 15]});
      else if (c == '"' || c == '\\')
        quoted.append({'\\', c});
      else
        quoted.push_back(c);
    }
    return quoted + "\"";
  }

  std::string m_text;
};

void WriteKind(TomlWriter& writer, const WorkKind& kind) {
  static const WorkKind initial;
  writer.WriteRowHeader("kind", kind.name);
  writer.WriteLine("rank",
                   "\"" + std::string(kRankNames.Name(kind.rank)) + "\"");
  writer.WriteNumber("weight", kind.weight, initial.weight);
  writer.WriteNumber("floor", kind.floor, initial.floor);
  writer.WriteString("model", kind.model, "");
  writer.WriteString("service", kind.service, "");
  if (!kind.idempotent)
    writer.WriteLine("idempotent", "false");
  writer.WriteLine("first_token_ms",
                   std::to_string(kind.first_token_target.count()));
  writer.WriteLine("between_tokens_ms",
                   std::to_string(kind.between_tokens_target.count()));
}

void WriteAccount(TomlWriter& writer, const Account& account) {
  static const Account initial;
  writer.WriteRowHeader("account", account.name);
  writer.WriteNumber("weight", account.weight, initial.weight);
  writer.WriteLine(
      "rank_limit",
      "\"" + std::string(kRankNames.Name(account.rank_limit)) + "\"");
  writer.WriteNumber("requests_per_second", account.requests_per_second, 0);
  writer.WriteNumber("tokens_per_second", account.tokens_per_second, 0);
  writer.WriteNumber("concurrent", account.max_concurrent_requests, 0);
  writer.WriteString("key_sha256", account.key_sha256, "");
}

}  // namespace

absl::StatusOr<Table> ParseTable(const std::string& text,
                                 const std::string& file,
                                 const KnownModelsAndServices& known,
                                 Findings& findings) {
  Findings new_findings;
  TableReader reader(file, new_findings);
  reader.Read(text);
  reader.Check(known);
  for (const Finding& finding : new_findings.list())
    findings.Add(finding.file, finding.line, finding.message);
  if (!new_findings.empty())
    return new_findings.ToStatus();
  return reader.Build();
}

absl::StatusOr<Table> ParseTable(const std::string& text,
                                 const std::string& file,
                                 const std::vector<std::string>& known_models,
                                 Findings& findings) {
  return ParseTable(text, file, KnownModelsAndServices{known_models, {}},
                    findings);
}

std::string FormatTable(const Table& table) {
  TomlWriter writer;
  writer.WriteLine("version", std::to_string(table.version()));
  for (const auto& [name, kind] : table.kinds())
    WriteKind(writer, kind);
  for (const auto& [name, account] : table.accounts())
    WriteAccount(writer, account);
  return writer.TakeText();
}

}  // namespace trefoilwick
