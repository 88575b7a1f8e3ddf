// Burn rates: how fast the error budget of each rank and account is consumed,
// over several windows.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

enum class ReportFormat : uint8_t { kText, kJson, kSvg };
inline constexpr auto kReportFormatNames = MakeEnumTable<ReportFormat>({
    {ReportFormat::kText, "text"},
    {ReportFormat::kJson, "json"},
    {ReportFormat::kSvg, "svg"},
});

// Requests of one minute, rank and account.
struct BurnRateCounts {
  uint64_t good = 0;
  // Slower than the kind's targets, or not finished.
  uint64_t bad = 0;
};

// Key of a series: rank name and account name.
struct BurnRateKey {
  std::string rank;
  std::string account;
  auto operator<=>(const BurnRateKey&) const = default;
};

// Per-minute counts of the last six hours. Histories of several instances can
// be merged. Not thread-safe.
class BurnRateHistory {
 public:
  void Record(int64_t unix_millis, const BurnRateKey& key, bool good);
  void Merge(const BurnRateHistory& other);
  // Sum over [now - window, now].
  BurnRateCounts Sum(int64_t unix_millis,
                     const BurnRateKey& key,
                     Duration window) const;
  std::vector<BurnRateKey> Keys() const;
  std::string ToJson() const;
  static absl::StatusOr<BurnRateHistory> FromJson(const std::string& text);

 private:
  std::map<BurnRateKey, std::map<int64_t, BurnRateCounts>> m_minutes;
};

struct BurnRateRow {
  BurnRateKey key;
  // Share of bad requests divided by the error budget (1 - objective), by
  // window name. At 1 the budget is consumed exactly at the end of the period.
  std::map<std::string, double> burn_rates;
  uint64_t requests = 0;
};

// Windows are 5 minutes, 1 hour and 6 hours. `objective` is the share of good
// requests to reach, e.g. 0.99. Rows with account "*" sum a rank.
std::vector<BurnRateRow> ComputeBurnRates(const BurnRateHistory& data,
                                          int64_t unix_millis,
                                          double objective);
std::string RenderBurnRates(const std::vector<BurnRateRow>& rows,
                            ReportFormat format);

}  // namespace trefoilwick
