#include "table_checks.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

namespace trefoilwick {
namespace detail {
namespace {

constexpr size_t kMaxNameBytes = 64;
// Rounding allowance for floors such as ten times 0.1.
constexpr double kFloorSumSlack = 1e-9;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRate = 1e9;
constexpr double kMaxConcurrent = 1e6;
constexpr double kMaxTargetMs = 86'400'000;

class Checker {
 public:
  explicit Checker(const KnownModelsAndServices& known) : m_known(known) {}
  void Kinds(const std::vector<WorkKind>& kinds);
  void Accounts(const std::vector<Account>& accounts);
  std::vector<RowIssue> Take() { return std::move(m_issues); }

 private:
  void Add(const char* field, std::string message) {
    m_issues.push_back({m_type, m_index, field, std::move(message)});
  }
  void Range(const char* field, double value, double low, double high);
  void Identifier(const char* field, const std::string& value);
  void UniqueName(const std::string& name);
  void Target(const WorkKind& kind);
  void Known(const char* field,
             const std::string& value,
             const std::vector<std::string>& known);
  void KeyHash(const std::string& hash);

  const KnownModelsAndServices& m_known;
  RowType m_type = RowType::kKind;
  size_t m_index = 0;
  std::set<std::string> m_names;
  std::set<std::string> m_hashes;
  std::vector<RowIssue> m_issues;
};

void Checker::Range(const char* field, double value, double low, double high) {
  if (value >= low && value <= high)
    return;
  Add(field, std::string(field) + " must be " + FormatNumber(low) + " to " +
                 FormatNumber(high) + ", is " + FormatNumber(value));
}

bool IsNameByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

void Checker::Identifier(const char* field, const std::string& value) {
  if (value.empty())
    Add(field, std::string(field) + " is missing");
  else if (value.size() > kMaxNameBytes ||
           !std::all_of(value.begin(), value.end(), IsNameByte))
    Add(field, std::string(field) + " must be 1 to 64 of a-z A-Z 0-9 . _ -");
}

void Checker::UniqueName(const std::string& name) {
  Identifier("name", name);
  if (!name.empty() && !m_names.insert(name).second)
    Add("name", "name \"" + name + "\" is used twice");
}

void Checker::Known(const char* field,
                    const std::string& value,
                    const std::vector<std::string>& known) {
  Identifier(field, value);
  if (!known.empty() &&
      std::find(known.begin(), known.end(), value) == known.end())
    Add(field, std::string("unknown ") + field + " \"" + value + "\"");
}

void Checker::Target(const WorkKind& kind) {
  if (kind.model.empty() == kind.service.empty())
    Add("", "exactly one of model and service must be set");
  if (!kind.model.empty())
    Known("model", kind.model, m_known.models);
  if (!kind.service.empty())
    Known("service", kind.service, m_known.services);
  if (!kind.idempotent && kind.service.empty())
    Add("idempotent", "only a kind with a service may be non-idempotent");
}

void Checker::Kinds(const std::vector<WorkKind>& kinds) {
  m_type = RowType::kKind;
  m_names.clear();
  double floors = 0;
  bool over = false;
  for (m_index = 0; m_index < kinds.size(); ++m_index) {
    const WorkKind& kind = kinds[m_index];
    UniqueName(kind.name);
    Range("weight", kind.weight, kMinWeight, kMaxWeight);
    Range("floor", kind.floor, 0, 1);
    Range("first_token_ms",
          static_cast<double>(kind.first_token_target.count()), 1,
          kMaxTargetMs);
    Range("between_tokens_ms",
          static_cast<double>(kind.between_tokens_target.count()), 1,
          kMaxTargetMs);
    Target(kind);
    if (kind.floor >= 0 && kind.floor <= 1)
      floors += kind.floor;
    if (floors > 1 + kFloorSumSlack && !over) {
      over = true;
      Add("floor", "the floors up to this row sum to " + FormatNumber(floors) +
                       ", over 1");
    }
  }
}

void Checker::KeyHash(const std::string& hash) {
  const bool hex = std::all_of(hash.begin(), hash.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  if (hash.empty())
    Add("key_sha256", "key_sha256 is missing");
  else if (hash.size() != 64 || !hex)
    Add("key_sha256", "key_sha256 must be 64 lower-case hex digits");
  else if (!m_hashes.insert(hash).second)
    Add("key_sha256", "key_sha256 is used by another account");
}

void Checker::Accounts(const std::vector<Account>& accounts) {
  m_type = RowType::kAccount;
  m_names.clear();
  for (m_index = 0; m_index < accounts.size(); ++m_index) {
    const Account& account = accounts[m_index];
    UniqueName(account.name);
    Range("weight", account.weight, kMinWeight, kMaxWeight);
    Range("requests_per_second", account.requests_per_second, 0, kMaxRate);
    Range("tokens_per_second", account.tokens_per_second, 0, kMaxRate);
    Range("concurrent", account.max_concurrent_requests, 0, kMaxConcurrent);
    KeyHash(account.key_sha256);
  }
}

}  // namespace

std::vector<RowIssue> CheckRows(const std::vector<WorkKind>& kinds,
                                const std::vector<Account>& accounts,
                                const KnownModelsAndServices& known) {
  Checker checker(known);
  checker.Kinds(kinds);
  checker.Accounts(accounts);
  return checker.Take();
}

std::string FormatNumber(double value) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, value).ptr;
  return {text, end};
}

}  // namespace detail

void CheckTable(const Table& table, const std::string& file, Findings& found) {
  std::vector<WorkKind> kinds;
  std::vector<Account> accounts;
  for (const auto& [name, kind] : table.kinds())
    kinds.push_back(kind);
  for (const auto& [name, account] : table.accounts())
    accounts.push_back(account);
  for (const auto& issue : detail::CheckRows(kinds, accounts, {})) {
    const bool is_kind = issue.type == detail::RowType::kKind;
    const std::string& name =
        is_kind ? kinds[issue.index].name : accounts[issue.index].name;
    found.Add(
        file, 0,
        (is_kind ? "kind \"" : "account \"") + name + "\": " + issue.message);
  }
}

}  // namespace trefoilwick
