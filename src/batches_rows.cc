#include "batches_rows.h"

#include <nlohmann/json.hpp>

namespace trefoilwick::detail {

namespace {

using Json = nlohmann::json;

// Model output may end within a UTF-8 character, so invalid bytes are replaced.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// A row or object that cannot be parsed is reported as damaged, not as absent.
template <typename T, typename Parse>
absl::StatusOr<T> ParseJson(const std::string& bytes, Parse parse) {
  try {
    return parse(Json::parse(bytes));
  } catch (const Json::exception& error) {
    return MakeStatus(absl::StatusCode::kDataLoss, error.what());
  }
}

BatchItemResult ParseResult(const Json& json) {
  BatchItemResult result;
  result.index = json.at("index").get<int>();
  result.state = kItemStateNames.Parse(json.at("state").get<std::string>())
                     .value_or(ItemState::kNotFinished);
  result.text = json.at("text").get<std::string>();
  result.reason = json.at("reason").get<std::string>();
  return result;
}

// A row names an object only once the object is durable, so a missing object is
// data loss.
absl::StatusOr<std::string> ReadNamedObject(ObjectStore& objects,
                                            const std::string& name) {
  auto bytes = objects.GetObject(name);
  if (bytes.status().code() == absl::StatusCode::kNotFound)
    return MakeStatus(absl::StatusCode::kDataLoss, name + " is missing");
  return bytes;
}

}  // namespace

std::string OpenBatchKey(const std::string& id) {
  return "open/" + id;
}

std::string DoneBatchKey(const std::string& id) {
  return "done/" + id;
}

std::string ItemsObjectName(const std::string& id) {
  return "batches/" + id + "/items";
}

std::string ResultGroupObjectName(const std::string& id,
                                  const std::string& group) {
  return "batches/" + id + "/results/" + group;
}

std::string ReportObjectName(const std::string& id, int64_t fencing_token) {
  return "batches/" + id + "/report/" + std::to_string(fencing_token);
}

std::string EncodeBatchRow(const BatchRow& row) {
  return Dump({{"id", row.id},
               {"account", row.account},
               {"kind", row.kind},
               {"model", row.model},
               {"digest", row.digest},
               {"submitted_ms", row.submitted_unix_ms},
               {"submitted", row.submitted},
               {"finished", row.finished},
               {"not_finished", row.not_finished},
               {"holder", row.lease_holder},
               {"fence", row.fencing_token},
               {"lease_ms", row.lease_expiry_unix_ms},
               {"groups", row.result_groups},
               {"report", row.report_object}});
}

absl::StatusOr<BatchRow> DecodeBatchRow(const std::string& bytes) {
  return ParseJson<BatchRow>(bytes, [](const Json& json) {
    BatchRow row;
    row.id = json.at("id").get<std::string>();
    row.account = json.at("account").get<std::string>();
    row.kind = json.at("kind").get<std::string>();
    row.model = json.at("model").get<std::string>();
    row.digest = json.at("digest").get<std::string>();
    row.submitted_unix_ms = json.at("submitted_ms").get<int64_t>();
    row.submitted = json.at("submitted").get<int>();
    row.finished = json.at("finished").get<int>();
    row.not_finished = json.at("not_finished").get<int>();
    row.lease_holder = json.at("holder").get<std::string>();
    row.fencing_token = json.at("fence").get<int64_t>();
    row.lease_expiry_unix_ms = json.at("lease_ms").get<int64_t>();
    row.result_groups = json.at("groups").get<std::vector<std::string>>();
    row.report_object = json.at("report").get<std::string>();
    return row;
  });
}

std::string EncodeItems(const std::vector<BatchItem>& items) {
  Json json = Json::array();
  for (const BatchItem& item : items)
    json.push_back({{"prompt", item.prompt}, {"max_tokens", item.max_tokens}});
  return Dump(json);
}

absl::StatusOr<std::vector<BatchItem>> DecodeItems(const std::string& bytes) {
  return ParseJson<std::vector<BatchItem>>(bytes, [](const Json& json) {
    std::vector<BatchItem> items;
    for (const Json& item : json) {
      items.push_back({item.at("prompt").get<std::string>(),
                       item.at("max_tokens").get<int>()});
    }
    return items;
  });
}

std::string EncodeResults(const std::vector<BatchItemResult>& results) {
  Json json = Json::array();
  for (const BatchItemResult& result : results) {
    json.push_back({{"index", result.index},
                    {"state", kItemStateNames.Name(result.state)},
                    {"text", result.text},
                    {"reason", result.reason}});
  }
  return Dump(json);
}

absl::StatusOr<std::vector<BatchItemResult>> DecodeResults(
    const std::string& bytes) {
  return ParseJson<std::vector<BatchItemResult>>(bytes, [](const Json& json) {
    std::vector<BatchItemResult> results;
    for (const Json& result : json)
      results.push_back(ParseResult(result));
    return results;
  });
}

std::string EncodeReport(const BatchRow& row,
                         const std::vector<BatchItemResult>& results) {
  Json not_finished = Json::array();
  for (const BatchItemResult& result : results) {
    if (result.state == ItemState::kNotFinished)
      not_finished.push_back(
          {{"index", result.index}, {"reason", result.reason}});
  }
  return Dump({{"id", row.id},
               {"account", row.account},
               {"kind", row.kind},
               {"model", row.model},
               {"submitted", row.submitted},
               {"finished", row.finished},
               {"not_finished", row.not_finished},
               {"groups", row.result_groups},
               {"not_finished_items", not_finished}});
}

absl::StatusOr<VersionedBatch> ReadBatchRow(TableService& store,
                                            const std::string& id) {
  // A job moves from open to done and never back.
  auto row = store.Get(kBatchTable, OpenBatchKey(id));
  if (row.status().code() == absl::StatusCode::kNotFound)
    row = store.Get(kBatchTable, DoneBatchKey(id));
  if (!row.ok())
    return row.status();
  auto decoded = DecodeBatchRow(row->value);
  if (!decoded.ok())
    return decoded.status();
  return VersionedBatch{*std::move(decoded), row->version};
}

absl::StatusOr<std::vector<BatchItem>> ReadItems(ObjectStore& objects,
                                                 const std::string& id) {
  const auto bytes = ReadNamedObject(objects, ItemsObjectName(id));
  if (!bytes.ok())
    return bytes.status();
  return DecodeItems(*bytes);
}

absl::StatusOr<std::vector<BatchItemResult>> ReadResults(ObjectStore& objects,
                                                         const BatchRow& row) {
  std::vector<BatchItemResult> results(static_cast<size_t>(row.submitted));
  for (size_t i = 0; i < results.size(); ++i)
    results[i].index = static_cast<int>(i);
  for (const std::string& group : row.result_groups) {
    const auto bytes =
        ReadNamedObject(objects, ResultGroupObjectName(row.id, group));
    if (!bytes.ok())
      return bytes.status();
    auto decoded = DecodeResults(*bytes);
    if (!decoded.ok())
      return decoded.status();
    for (BatchItemResult& result : *decoded) {
      const auto index = static_cast<size_t>(result.index);
      if (index >= results.size())
        return MakeStatus(absl::StatusCode::kDataLoss, "index out of range");
      results[index] = std::move(result);
    }
  }
  return results;
}

}  // namespace trefoilwick::detail
