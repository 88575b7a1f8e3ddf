#include "table_checks.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

namespace trefoilwick {
namespace detail {
namespace {

constexpr size_t kMaxNameBytes = 64;
// Rounding tolerance, for sums such as ten times 0.1.
constexpr double kFloorSumTolerance = 1e-9;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRatePerSecond = 1e9;
constexpr double kMaxConcurrentRequests = 1e6;
constexpr double kMaxTargetMs = 86'400'000;

class RowChecker {
 public:
  explicit RowChecker(const KnownModelsAndServices& known) : m_known(known) {}
  void CheckKinds(const std::vector<WorkKind>& kinds);
  void CheckAccounts(const std::vector<Account>& accounts);
  std::vector<RowIssue> TakeIssues() { return std::move(m_issues); }

 private:
  void AddIssue(const char* field, std::string message) {
    m_issues.push_back({m_type, m_index, field, std::move(message)});
  }
  void CheckRange(const char* field, double value, double min, double max);
  void CheckIdentifier(const char* field, const std::string& value);
  void CheckUniqueName(const std::string& name);
  void CheckTarget(const WorkKind& kind);
  void CheckKnown(const char* field,
                  const std::string& value,
                  const std::vector<std::string>& known);
  void CheckKeyHash(const std::string& hash);

  const KnownModelsAndServices& m_known;
  RowType m_type = RowType::kKind;
  size_t m_index = 0;
  std::set<std::string> m_names;
  std::set<std::string> m_hashes;
  std::vector<RowIssue> m_issues;
};

void RowChecker::CheckRange(const char* field,
                            double value,
                            double min,
                            double max) {
  if (value >= min && value <= max)
    return;
  AddIssue(field, std::string(field) + " must be " + FormatNumber(min) +
                      " to " + FormatNumber(max) + ", is " +
                      FormatNumber(value));
}

bool IsNameByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

void RowChecker::CheckIdentifier(const char* field, const std::string& value) {
  if (value.empty())
    AddIssue(field, std::string(field) + " is missing");
  else if (value.size() > kMaxNameBytes ||
           !std::all_of(value.begin(), value.end(), IsNameByte))
    AddIssue(field,
             std::string(field) + " must be 1 to 64 of a-z A-Z 0-9 . _ -");
}

void RowChecker::CheckUniqueName(const std::string& name) {
  CheckIdentifier("name", name);
  if (!name.empty() && !m_names.insert(name).second)
    AddIssue("name", "name \"" + name + "\" is used twice");
}

void RowChecker::CheckKnown(const char* field,
                            const std::string& value,
                            const std::vector<std::string>& known) {
  CheckIdentifier(field, value);
  if (!known.empty() &&
      std::find(known.begin(), known.end(), value) == known.end())
    AddIssue(field, std::string("unknown ") + field + " \"" + value + "\"");
}

void RowChecker::CheckTarget(const WorkKind& kind) {
  if (kind.model.empty() == kind.service.empty())
    AddIssue("", "exactly one of model and service must be set");
  if (!kind.model.empty())
    CheckKnown("model", kind.model, m_known.models);
  if (!kind.service.empty())
    CheckKnown("service", kind.service, m_known.services);
  if (!kind.idempotent && kind.service.empty())
    AddIssue("idempotent", "only a kind with a service may be non-idempotent");
}

void RowChecker::CheckKinds(const std::vector<WorkKind>& kinds) {
  m_type = RowType::kKind;
  m_names.clear();
  double floor_sum = 0;
  bool sum_reported = false;
  for (m_index = 0; m_index < kinds.size(); ++m_index) {
    const WorkKind& kind = kinds[m_index];
    CheckUniqueName(kind.name);
    CheckRange("weight", kind.weight, kMinWeight, kMaxWeight);
    CheckRange("floor", kind.floor, 0, 1);
    CheckRange("first_token_ms",
               static_cast<double>(kind.first_token_target.count()), 1,
               kMaxTargetMs);
    CheckRange("between_tokens_ms",
               static_cast<double>(kind.between_tokens_target.count()), 1,
               kMaxTargetMs);
    CheckTarget(kind);
    if (kind.floor >= 0 && kind.floor <= 1)
      floor_sum += kind.floor;
    if (floor_sum > 1 + kFloorSumTolerance && !sum_reported) {
      sum_reported = true;
      AddIssue("floor", "the floors up to this row sum to " +
                            FormatNumber(floor_sum) + ", over 1");
    }
  }
}

void RowChecker::CheckKeyHash(const std::string& hash) {
  const bool hex = std::all_of(hash.begin(), hash.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  if (hash.empty())
    AddIssue("key_sha256", "key_sha256 is missing");
  else if (hash.size() != 64 || !hex)
    AddIssue("key_sha256", "key_sha256 must be 64 lower-case hex digits");
  else if (!m_hashes.insert(hash).second)
    AddIssue("key_sha256", "key_sha256 is used by another account");
}

void RowChecker::CheckAccounts(const std::vector<Account>& accounts) {
  m_type = RowType::kAccount;
  m_names.clear();
  for (m_index = 0; m_index < accounts.size(); ++m_index) {
    const Account& account = accounts[m_index];
    CheckUniqueName(account.name);
    CheckRange("weight", account.weight, kMinWeight, kMaxWeight);
    CheckRange("requests_per_second", account.requests_per_second, 0,
               kMaxRatePerSecond);
    CheckRange("tokens_per_second", account.tokens_per_second, 0,
               kMaxRatePerSecond);
    CheckRange("concurrent", account.max_concurrent_requests, 0,
               kMaxConcurrentRequests);
    CheckKeyHash(account.key_sha256);
  }
}

}  // namespace

std::vector<RowIssue> CheckRows(const std::vector<WorkKind>& kinds,
                                const std::vector<Account>& accounts,
                                const KnownModelsAndServices& known) {
  RowChecker checker(known);
  checker.CheckKinds(kinds);
  checker.CheckAccounts(accounts);
  return checker.TakeIssues();
}

std::string FormatNumber(double value) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, value).ptr;
  return {text, end};
}

}  // namespace detail

void CheckTable(const Table& table,
                const std::string& file,
                Findings& findings) {
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
    findings.Add(
        file, 0,
        (is_kind ? "kind \"" : "account \"") + name + "\": " + issue.message);
  }
}

}  // namespace trefoilwick
