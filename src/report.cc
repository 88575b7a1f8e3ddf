#include "trefoilwick/report.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>

namespace trefoilwick {

using nlohmann::json;

namespace {

constexpr int64_t kMinuteMillis = 60'000;
constexpr int64_t kRetentionMinutes = 360;

struct Window {
  const char* name;
  Duration length;
};
constexpr Window kWindows[] = {
    {"5m", std::chrono::minutes(5)},
    {"1h", std::chrono::hours(1)},
    {"6h", std::chrono::hours(6)},
};

std::string RenderText(const std::vector<BurnRateRow>& rows) {
  std::string out =
      "rank      account               requests     5m     1h     6h\n";
  for (const BurnRateRow& row : rows) {
    char line[160];
    std::snprintf(line, sizeof(line), "%-9s %-20s %9llu %6.2f %6.2f %6.2f\n",
                  row.key.rank.c_str(), row.key.account.c_str(),
                  static_cast<unsigned long long>(row.requests),
                  row.burn_rates.at("5m"), row.burn_rates.at("1h"),
                  row.burn_rates.at("6h"));
    out += line;
  }
  return out;
}

std::string RenderJson(const std::vector<BurnRateRow>& rows) {
  json list = json::array();
  for (const BurnRateRow& row : rows)
    list.push_back({{"rank", row.key.rank},
                    {"account", row.key.account},
                    {"requests", row.requests},
                    {"burn", row.burn_rates}});
  return list.dump(2) + "\n";
}

std::string EscapeXml(const std::string& text) {
  std::string out;
  for (char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else if (c == '&')
      out += "&amp;";
    else
      out += c;
  }
  return out;
}

// One bar per row and window; the vertical line marks a burn rate of 1.
std::string RenderSvg(const std::vector<BurnRateRow>& rows) {
  constexpr int kRowHeightPx = 48;
  constexpr int kChartLeftPx = 220;
  constexpr int kPixelsPerUnit = 60;
  constexpr double kMaxShownRate = 8;
  constexpr const char* kColors[] = {"#1f77b4", "#ff7f0e", "#2ca02c"};
  const int height = kRowHeightPx * static_cast<int>(rows.size()) + 50;
  std::string out =
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"" +
      std::to_string(height) +
      "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      "<text x=\"10\" y=\"18\">Error budget burn (5m, 1h, 6h); line: "
      "1</text>\n";
  int y = 34;
  for (const BurnRateRow& row : rows) {
    out += "<text x=\"10\" y=\"" + std::to_string(y + 20) + "\">" +
           EscapeXml(row.key.rank + " / " + row.key.account) + "</text>\n";
    for (size_t i = 0; i < std::size(kWindows); ++i) {
      const double burn_rate =
          std::min(kMaxShownRate, row.burn_rates.at(kWindows[i].name));
      out += "<rect x=\"" + std::to_string(kChartLeftPx) + "\" y=\"" +
             std::to_string(y + static_cast<int>(i) * 12) + "\" width=\"" +
             std::to_string(static_cast<int>(burn_rate * kPixelsPerUnit) + 1) +
             "\" height=\"10\" fill=\"" + kColors[i] + "\"/>\n";
    }
    y += kRowHeightPx;
  }
  out += "<line x1=\"" + std::to_string(kChartLeftPx + kPixelsPerUnit) +
         "\" y1=\"26\" x2=\"" + std::to_string(kChartLeftPx + kPixelsPerUnit) +
         "\" y2=\"" + std::to_string(y) + "\" stroke=\"#d62728\"/>\n</svg>\n";
  return out;
}

}  // namespace

void BurnRateHistory::Record(int64_t unix_millis,
                             const BurnRateKey& key,
                             bool good) {
  const int64_t minute = unix_millis / kMinuteMillis;
  auto& minutes = m_minutes[key];
  BurnRateCounts& cell = minutes[minute];
  ++(good ? cell.good : cell.bad);
  while (minutes.begin()->first <= minute - kRetentionMinutes)
    minutes.erase(minutes.begin());
}

void BurnRateHistory::Merge(const BurnRateHistory& other) {
  for (const auto& [key, minutes] : other.m_minutes) {
    for (const auto& [minute, cell] : minutes) {
      BurnRateCounts& merged = m_minutes[key][minute];
      merged.good += cell.good;
      merged.bad += cell.bad;
    }
  }
}

BurnRateCounts BurnRateHistory::Sum(int64_t unix_millis,
                                    const BurnRateKey& key,
                                    Duration window) const {
  BurnRateCounts sum;
  auto it = m_minutes.find(key);
  if (it == m_minutes.end())
    return sum;
  const int64_t first =
      (unix_millis - window.count() / 1000) / kMinuteMillis + 1;
  for (auto cell = it->second.lower_bound(first); cell != it->second.end();
       ++cell) {
    sum.good += cell->second.good;
    sum.bad += cell->second.bad;
  }
  return sum;
}

std::vector<BurnRateKey> BurnRateHistory::Keys() const {
  std::vector<BurnRateKey> keys;
  for (const auto& [key, minutes] : m_minutes)
    keys.push_back(key);
  return keys;
}

std::string BurnRateHistory::ToJson() const {
  json out = json::array();
  for (const auto& [key, minutes] : m_minutes) {
    json cells = json::array();
    for (const auto& [minute, cell] : minutes)
      cells.push_back({minute, cell.good, cell.bad});
    out.push_back(
        {{"rank", key.rank}, {"account", key.account}, {"minutes", cells}});
  }
  return out.dump();
}

absl::StatusOr<BurnRateHistory> BurnRateHistory::FromJson(
    const std::string& text) {
  BurnRateHistory data;
  try {
    for (const json& series : json::parse(text)) {
      const BurnRateKey key{series.at("rank").get<std::string>(),
                            series.at("account").get<std::string>()};
      for (const json& cell : series.at("minutes"))
        data.m_minutes[key][cell.at(0).get<int64_t>()] = {
            cell.at(1).get<uint64_t>(), cell.at(2).get<uint64_t>()};
    }
  } catch (const std::exception& error) {
    return MakeStatus(absl::StatusCode::kInvalidArgument, error.what());
  }
  return data;
}

std::vector<BurnRateRow> ComputeBurnRates(const BurnRateHistory& data,
                                          int64_t unix_millis,
                                          double objective) {
  const double budget = std::max(1e-9, 1 - objective);
  const std::vector<BurnRateKey> keys = data.Keys();
  std::map<BurnRateKey, std::map<std::string, BurnRateCounts>> sums;
  for (const BurnRateKey& key : keys) {
    for (const Window& window : kWindows) {
      const BurnRateCounts cell = data.Sum(unix_millis, key, window.length);
      for (const BurnRateKey& target : {key, BurnRateKey{key.rank, "*"}}) {
        BurnRateCounts& sum = sums[target][window.name];
        sum.good += cell.good;
        sum.bad += cell.bad;
      }
    }
  }
  std::vector<BurnRateRow> rows;
  for (const auto& [key, windows] : sums) {
    BurnRateRow row;
    row.key = key;
    for (const auto& [name, cell] : windows) {
      const uint64_t total = cell.good + cell.bad;
      row.burn_rates[name] = total == 0
                                 ? 0
                                 : static_cast<double>(cell.bad) /
                                       static_cast<double>(total) / budget;
      row.requests = std::max(row.requests, total);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string RenderBurnRates(const std::vector<BurnRateRow>& rows,
                            ReportFormat format) {
  switch (format) {
    case ReportFormat::kText:
      return RenderText(rows);
    case ReportFormat::kJson:
      return RenderJson(rows);
    case ReportFormat::kSvg:
      return RenderSvg(rows);
  }
  return "";
}

}  // namespace trefoilwick
