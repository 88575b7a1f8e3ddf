// Commands of the operators' client.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick::detail {

using ClientCommand = std::function<int(const std::vector<std::string>& args)>;
// Returns null when there is no such command.
const ClientCommand* FindClientCommand(const std::string& name);

absl::StatusOr<std::string> ReadFile(const std::string& path);

}  // namespace trefoilwick::detail
