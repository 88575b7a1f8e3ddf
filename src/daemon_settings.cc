#include <toml++/toml.h>
#include <charconv>
#include <set>

#include "trefoilwick/daemon.h"

namespace trefoilwick {

namespace {

class SettingsReader {
 public:
  SettingsReader(const toml::table& table, std::string file, Findings& findings)
      : m_table(table), m_file(std::move(file)), m_findings(findings) {}

  void ReadString(const char* name, std::string& out, bool required) {
    const toml::node* node = FindSetting(name);
    if (!node) {
      if (required)
        m_findings.Add(m_file, 0, std::string(name) + ": is required");
      return;
    }
    if (auto value = node->value_exact<std::string>(); value && !value->empty())
      out = *value;
    else
      AddFinding(*node, name, "must be a string that is not empty");
  }

  void ReadAddress(const char* name, std::string& out) {
    ReadString(name, out, true);
    if (out.empty())
      return;
    const size_t colon = out.rfind(':');
    int port = 0;
    if (colon != std::string::npos)
      std::from_chars(out.data() + colon + 1, out.data() + out.size(), port);
    if (colon == std::string::npos || colon == 0 || port < 1 || port > 65535)
      AddFinding(*m_table.get(name), name, "must be host:port");
  }

  void ReadUrl(const char* name, std::string& out) {
    ReadString(name, out, true);
    if (!out.empty() && out.rfind("http://", 0) != 0)
      AddFinding(*m_table.get(name), name, "must start with http://");
  }

  template <typename Setter>
  void ReadInteger(const char* name,
                   int64_t min,
                   int64_t max,
                   Setter set_value) {
    const toml::node* node = FindSetting(name);
    if (!node)
      return;
    auto value = node->value_exact<int64_t>();
    if (value && *value >= min && *value <= max)
      set_value(*value);
    else
      AddFinding(*node, name,
                 "must be an integer from " + std::to_string(min) + " to " +
                     std::to_string(max));
  }

  void ReportUnknownSettings() {
    for (const auto& [key, node] : m_table) {
      const std::string name(key.str());
      if (m_known_settings.count(name) == 0)
        m_findings.Add(m_file, static_cast<int>(node.source().begin.line),
                       name + ": unknown setting");
    }
  }

 private:
  const toml::node* FindSetting(const char* name) {
    m_known_settings.insert(name);
    return m_table.get(name);
  }
  void AddFinding(const toml::node& node,
                  const char* name,
                  const std::string& text) {
    m_findings.Add(m_file, static_cast<int>(node.source().begin.line),
                   std::string(name) + ": " + text);
  }

  const toml::table& m_table;
  std::string m_file;
  Findings& m_findings;
  std::set<std::string> m_known_settings;
};

bool IsSha256(const std::string& text) {
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}  // namespace

absl::StatusOr<Settings> ParseSettings(const std::string& text,
                                       const std::string& file,
                                       Findings& findings) {
  Settings settings;
  toml::table table;
  try {
    table = toml::parse(text);
  } catch (const toml::parse_error& error) {
    findings.Add(file, static_cast<int>(error.source().begin.line),
                 std::string(error.description()));
    return findings.ToStatus();
  }
  SettingsReader reader(table, file, findings);
  reader.ReadString("id", settings.id, true);
  reader.ReadString("data_center", settings.data_center, true);
  reader.ReadAddress("address", settings.address);
  reader.ReadAddress("peer_address", settings.peer_address);
  reader.ReadUrl("table_url", settings.table_url);
  reader.ReadUrl("object_url", settings.object_url);
  reader.ReadUrl("list_url", settings.list_url);
  reader.ReadString("operator_key_sha256", settings.operator_key_sha256, true);
  if (!settings.operator_key_sha256.empty() &&
      !IsSha256(settings.operator_key_sha256))
    findings.Add(
        file,
        static_cast<int>(table.get("operator_key_sha256")->source().begin.line),
        "operator_key_sha256: must be 64 lower-case hex digits");
  reader.ReadString("log_level", settings.log_level, false);
  reader.ReadString("chain_policy", settings.chain_policy, false);
  reader.ReadInteger("drain_seconds", 1, 86400, [&](int64_t value) {
    settings.drain_timeout = std::chrono::seconds(value);
  });
  reader.ReadInteger("store_deadline_ms", 10, 60000, [&](int64_t value) {
    settings.store_deadline = std::chrono::milliseconds(value);
  });
  reader.ReadInteger("max_connections", 1, 1 << 20, [&](int64_t value) {
    settings.max_connections = static_cast<int>(value);
  });
  reader.ReadInteger("max_body_bytes", 1024, 64 << 20, [&](int64_t value) {
    settings.max_body_bytes = static_cast<size_t>(value);
  });
  reader.ReportUnknownSettings();
  if (!findings.empty())
    return findings.ToStatus();
  return settings;
}

}  // namespace trefoilwick
