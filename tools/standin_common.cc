#include <algorithm>
#include <cctype>
#include <cstdio>
#include <optional>

#include "standin.h"

namespace trefoilwick::standin {

Reply JsonReply(int status, const nlohmann::json& body) {
  Reply reply;
  reply.status = status;
  reply.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return reply;
}

Reply ErrorReply(int status, const std::string& error) {
  return JsonReply(status, {{"error", error}});
}

void AppendJsonText(std::string& out, const std::string& text) {
  const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
    return c >= ' ' && c < 0x7f && c != '"' && c != '\\';
  });
  if (plain)
    out.append(1, '"').append(text).append(1, '"');
  else
    out += nlohmann::json(text).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
}

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    const auto is_hex = [&](size_t at) {
      return at < text.size() &&
             std::isxdigit(static_cast<unsigned char>(text[at])) != 0;
    };
    if (text[i] == '%' && is_hex(i + 1) && is_hex(i + 2)) {
      decoded += static_cast<char>(
          std::stoi(text.substr(i + 1, 2), nullptr, /*base=*/16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::optional<std::string> DecodePathSuffix(const std::string& path,
                                            const std::string& prefix) {
  if (path.compare(0, prefix.size(), prefix) != 0)
    return std::nullopt;
  return PercentDecode(path.substr(prefix.size()));
}

Journal::~Journal() {
  if (m_file != nullptr)
    std::fclose(m_file);
}

absl::Status Journal::OpenFile(const std::string& path) {
  std::lock_guard lock(m_mutex);
  m_file = std::fopen(path.c_str(), "a");
  if (m_file == nullptr)
    return MakeStatus(absl::StatusCode::kNotFound, "cannot open " + path);
  return absl::OkStatus();
}

void Journal::AddEvent(const nlohmann::json& event) {
  AddLine(event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void Journal::AddLine(std::string line) {
  line += '\n';
  std::lock_guard lock(m_mutex);
  if (m_file != nullptr) {
    std::fwrite(line.data(), 1, line.size(), m_file);
    std::fflush(m_file);
  }
  m_lines.push_back(std::move(line));
  if (m_lines.size() > m_limit) {
    m_lines.pop_front();
    ++m_dropped;
  }
}

std::string Journal::Read(bool clear) {
  std::lock_guard lock(m_mutex);
  std::string text;
  for (const std::string& line : m_lines)
    text += line;
  if (clear)
    m_lines.clear();
  return text;
}

uint64_t Journal::dropped() const {
  std::lock_guard lock(m_mutex);
  return m_dropped;
}

}  // namespace trefoilwick::standin
