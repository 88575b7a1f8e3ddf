// Checks shared by the TOML parser and CheckTable.
#pragma once

#include <string>
#include <vector>

#include "trefoilwick/table.h"

namespace trefoilwick::detail {

enum class RowType : uint8_t { kKind, kAccount };

// A problem of one row. `field` is empty when it concerns the whole row.
struct RowIssue {
  RowType type;
  // Index into the rows of that type.
  size_t index;
  std::string field;
  std::string message;
};

std::vector<RowIssue> CheckRows(const std::vector<WorkKind>& kinds,
                                const std::vector<Account>& accounts,
                                const KnownModelsAndServices& known);

// Shortest decimal text that parses back to the same value.
std::string FormatNumber(double value);

}  // namespace trefoilwick::detail
