#include <nlohmann/json.hpp>
#include <utility>

#include "engine_client.h"

namespace trefoilwick::detail {

using nlohmann::json;

std::string EncodeStep(const SendStep& step, const std::string& step_id) {
  json items = json::array();
  for (const StepItem& item : step.items) {
    items.push_back({{"request", item.request},
                     {"lineage", std::to_string(item.lineage)},
                     {"user", item.account},
                     {"position", item.position},
                     {"count", item.count},
                     {"input", item.input},
                     {"activation", item.activation},
                     {"sample", item.sample},
                     {"priority", static_cast<int>(item.rank)}});
  }
  return json{{"epoch", step.epoch},
              {"step", step_id},
              {"layers", {step.server.layers.first, step.server.layers.end}},
              {"items", std::move(items)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EncodeClaim(uint64_t epoch, const std::string& owner) {
  return json{{"epoch", epoch}, {"owner", owner}}.dump();
}

std::string EncodeRelease(
    const std::vector<std::pair<std::string, uint64_t>>& requests) {
  json items = json::array();
  for (const auto& [request, lineage] : requests)
    items.push_back(
        {{"request", request}, {"lineage", std::to_string(lineage)}});
  return json{{"items", std::move(items)}}.dump();
}

absl::StatusOr<std::vector<StepResultItem>> DecodeStepReply(
    const std::string& body) {
  try {
    std::vector<StepResultItem> items;
    const json reply = json::parse(body);
    for (const json& item : reply.at("items")) {
      StepResultItem result;
      result.request = item.at("request").get<std::string>();
      result.lineage = std::stoull(item.at("lineage").get<std::string>());
      result.activation = item.value("activation", "");
      result.token = item.value("token", "");
      result.error = item.value("error", "");
      items.push_back(std::move(result));
    }
    return items;
  } catch (const std::exception& error) {
    return MakeStatus(absl::StatusCode::kInvalidArgument, error.what());
  }
}

uint64_t DecodeNewestEpoch(const std::string& body) {
  const json reply = json::parse(body, nullptr, false);
  if (!reply.is_object())
    return 0;
  auto it = reply.find("newest_epoch");
  return it != reply.end() && it->is_number_unsigned() ? it->get<uint64_t>()
                                                       : 0;
}

}  // namespace trefoilwick::detail
