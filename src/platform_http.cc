// HTTP/JSON adapters of the platform's services (docs/design.md, section 10).
#include <condition_variable>
#include <cstring>
#include <nlohmann/json.hpp>

#include "cpprest/http_client.h"
#include "cpprest/producerconsumerstream.h"
#include "trefoilwick/platform.h"

namespace trefoilwick {

namespace {

using Json = nlohmann::json;
namespace http = web::http;

// An answer larger than this is abandoned, so that a faulty server cannot
// exhaust the memory of an instance.
constexpr uint64_t kMaxAnswerBytes = uint64_t{64} << 20;

struct HttpAnswer {
  // 0: no complete answer arrived.
  int status = 0;
  std::string body;
  // No byte of the request was sent.
  bool not_sent = false;
  std::string error;
};

struct HttpQuery {
  http::method method;
  // Percent-encoded path and query.
  std::string path;
  std::string body{};
  std::string content_type{};
  bool if_absent = false;
};

// Result of a call, shared between the waiting thread and the library's
// continuations, which may outlive the wait.
class PendingAnswer {
 public:
  void SetStatus(int status) {
    std::lock_guard lock(m_mutex);
    m_status = status;
  }
  void Finish(std::string body) {
    std::lock_guard lock(m_mutex);
    if (m_done)
      return;
    m_done = true;
    m_answer.status = m_status;
    m_answer.body = std::move(body);
    m_changed.notify_all();
  }
  void Fail(const std::string& error, bool not_sent) {
    std::lock_guard lock(m_mutex);
    if (m_done)
      return;
    m_done = true;
    m_answer.error = error;
    m_answer.not_sent = not_sent;
    m_changed.notify_all();
  }
  HttpAnswer Wait(Duration deadline) {
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_for(lock, deadline, [this] { return m_done; })) {
      m_done = true;
      m_answer.error = "deadline exceeded";
    }
    return m_answer;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_done = false;
  int m_status = 0;
  HttpAnswer m_answer;
};

// cpprestsdk reports a refused connection and a failed write of the request
// headers with the same code; only the first is certain not to have been sent.
// An unexpected text falls back to the safe reading.
bool IsConnectFailure(const http::http_exception& error) {
  return std::strstr(error.what(), "Failed to connect to any resolved") !=
             nullptr &&
         error.error_code() ==
             std::make_error_condition(std::errc::host_unreachable);
}

class HttpChannel {
 public:
  HttpChannel(const std::string& base_url, Duration deadline)
      : m_client(base_url, MakeConfig(deadline)), m_deadline(deadline) {}

  HttpAnswer Call(const HttpQuery& query) {
    auto pending = std::make_shared<PendingAnswer>();
    pplx::cancellation_token_source cancel;
    try {
      Send(query, pending, cancel.get_token());
    } catch (const std::exception& error) {
      pending->Fail(error.what(), false);
    }
    HttpAnswer answer = pending->Wait(m_deadline);
    // Frees the connection of a call that has not ended, such as one whose
    // body is trickled; without effect on one that has.
    if (answer.status == 0)
      cancel.cancel();
    return answer;
  }

 private:
  static http::client::http_client_config MakeConfig(Duration deadline) {
    http::client::http_client_config config;
    config.set_timeout(deadline);
    return config;
  }

  void Send(const HttpQuery& query,
            const std::shared_ptr<PendingAnswer>& pending,
            const pplx::cancellation_token& token) {
    http::http_request request(query.method);
    request.set_request_uri(query.path);
    if (query.if_absent)
      request.headers().add("If-None-Match", "*");
    if (query.method != http::methods::GET)
      SetBody(request, query);
    request.set_progress_handler(
        [pending](http::message_direction::direction direction,
                  utility::size64_t bytes) {
          if (direction == http::message_direction::download &&
              bytes > kMaxAnswerBytes)
            pending->Fail("answer too large", false);
        });
    m_client.request(request, token)
        .then([pending](const http::http_response& response) {
          pending->SetStatus(response.status_code());
          return response.extract_vector();
        })
        .then([pending](const pplx::task<std::vector<unsigned char>>& task) {
          try {
            const std::vector<unsigned char> body = task.get();
            pending->Finish(std::string(body.begin(), body.end()));
          } catch (const http::http_exception& error) {
            pending->Fail(error.what(), IsConnectFailure(error));
          } catch (const std::exception& error) {
            pending->Fail(error.what(), false);
          }
        });
  }

  // cpprestsdk sends a request again by itself when a pooled connection is
  // closed before the answer. A write may already have taken effect then, and
  // the answer to the second copy would be a failed check. A stream that can
  // be read once keeps the second copy from carrying a body.
  static void SetBody(http::http_request& request, const HttpQuery& query) {
    concurrency::streams::producer_consumer_buffer<uint8_t> buffer;
    buffer
        .putn_nocopy(reinterpret_cast<const uint8_t*>(query.body.data()),
                     query.body.size())
        .wait();
    buffer.close(std::ios_base::out).wait();
    request.set_body(buffer.create_istream(), query.body.size(),
                     query.content_type);
  }

  http::client::http_client m_client;
  Duration m_deadline;
};

std::string Encode(const std::string& text) {
  return web::uri::encode_data_string(text);
}

absl::Status ReadFailure(const HttpAnswer& answer) {
  if (answer.status == http::status_codes::NotFound)
    return MakeStatus(absl::StatusCode::kNotFound, "not found");
  return MakeStatus(absl::StatusCode::kUnavailable,
                    answer.error.empty()
                        ? "status " + std::to_string(answer.status)
                        : answer.error);
}

Json ParseJson(const std::string& text) {
  return Json::parse(text, nullptr, false);
}

// Status of a write that was not reported as done.
absl::Status WriteFailure(const HttpAnswer& answer) {
  const std::string text = answer.error.empty()
                               ? "status " + std::to_string(answer.status)
                               : answer.error;
  if (answer.not_sent)
    return MakeStatus(absl::StatusCode::kUnavailable, text);
  if (answer.status == http::status_codes::ServiceUnavailable) {
    const Json body = ParseJson(answer.body);
    if (body.is_object() && body.contains("applied") &&
        body["applied"] == Json(false))
      return MakeStatus(absl::StatusCode::kUnavailable, text);
  }
  return MakeStatus(absl::StatusCode::kUnknown, text);
}

// Parses `body` with `parse`; a body of another shape is an unusable answer.
template <typename T, typename Parse>
absl::StatusOr<T> ParseAnswer(const HttpAnswer& answer, Parse parse) {
  if (answer.status != http::status_codes::OK)
    return ReadFailure(answer);
  try {
    return parse(Json::parse(answer.body));
  } catch (const Json::exception& error) {
    return MakeStatus(absl::StatusCode::kUnavailable, error.what());
  }
}

StoreRow ParseRow(const Json& json, const std::string& key) {
  return {key, json.at("value").get<std::string>(),
          json.at("version").get<int64_t>()};
}

std::string EncodeTransaction(const StoreTransaction& transaction) {
  Json checks = Json::array();
  for (const StoreCheck& check : transaction.checks) {
    checks.push_back({{"table", check.table},
                      {"key", check.key},
                      {"version", check.version}});
  }
  Json puts = Json::array();
  for (const StorePut& put : transaction.puts) {
    Json json = {{"table", put.table}, {"key", put.key}};
    if (put.erase)
      json["erase"] = true;
    else
      json["value"] = put.value;
    puts.push_back(std::move(json));
  }
  return Json{{"checks", checks}, {"puts", puts}}.dump();
}

class HttpTableService final : public TableService {
 public:
  HttpTableService(const std::string& base_url, Duration deadline)
      : m_channel(base_url, deadline) {}

  absl::StatusOr<StoreRow> Get(const std::string& table,
                               const std::string& key) override {
    const HttpAnswer answer = m_channel.Call(
        {.method = http::methods::GET,
         .path = "/tables/" + Encode(table) + "/rows/" + Encode(key)});
    return ParseAnswer<StoreRow>(
        answer, [&](const Json& json) { return ParseRow(json, key); });
  }

  absl::StatusOr<std::vector<int64_t>> Transact(
      const StoreTransaction& transaction) override {
    HttpQuery query{.method = http::methods::POST,
                    .path = "/transact",
                    .content_type = "application/json"};
    try {
      query.body = EncodeTransaction(transaction);
    } catch (const Json::exception& error) {
      // Nothing was sent: a key or value is not UTF-8.
      return MakeStatus(absl::StatusCode::kInvalidArgument, error.what());
    }
    const HttpAnswer answer = m_channel.Call(query);
    const Json body = ParseJson(answer.body);
    if (answer.status == http::status_codes::Conflict && body.is_object() &&
        body.contains("failed"))
      return MakeStatus(absl::StatusCode::kFailedPrecondition, answer.body);
    if (answer.status != http::status_codes::OK)
      return WriteFailure(answer);
    try {
      auto versions = body.at("versions").get<std::vector<int64_t>>();
      if (versions.size() == transaction.puts.size())
        return versions;
    } catch (const Json::exception&) {
      // Reported below.
    }
    return MakeStatus(absl::StatusCode::kUnknown, "unusable answer");
  }

  absl::StatusOr<std::vector<StoreRow>> Scan(const std::string& table,
                                             const std::string& prefix,
                                             const std::string& after,
                                             int limit) override {
    const HttpAnswer answer = m_channel.Call(
        {.method = http::methods::GET,
         .path = "/tables/" + Encode(table) + "/rows?prefix=" + Encode(prefix) +
                 "&after=" + Encode(after) +
                 "&limit=" + std::to_string(limit)});
    return ParseAnswer<std::vector<StoreRow>>(answer, [](const Json& json) {
      std::vector<StoreRow> rows;
      for (const Json& row : json.at("rows"))
        rows.push_back(ParseRow(row, row.at("key").get<std::string>()));
      return rows;
    });
  }

 private:
  HttpChannel m_channel;
};

class HttpObjectStore final : public ObjectStore {
 public:
  HttpObjectStore(const std::string& base_url, Duration deadline)
      : m_channel(base_url, deadline) {}

  absl::StatusOr<std::string> GetObject(const std::string& name) override {
    HttpAnswer answer = m_channel.Call(
        {.method = http::methods::GET, .path = "/objects/" + Encode(name)});
    if (answer.status != http::status_codes::OK)
      return ReadFailure(answer);
    return std::move(answer.body);
  }

  absl::Status PutObject(const std::string& name,
                         const std::string& bytes,
                         bool if_absent) override {
    const HttpAnswer answer =
        m_channel.Call({.method = http::methods::PUT,
                        .path = "/objects/" + Encode(name),
                        .body = bytes,
                        .content_type = "application/octet-stream",
                        .if_absent = if_absent});
    if (answer.status >= 200 && answer.status < 300)
      return absl::OkStatus();
    if (if_absent && answer.status == http::status_codes::PreconditionFailed)
      return MakeStatus(absl::StatusCode::kFailedPrecondition, "exists");
    return WriteFailure(answer);
  }

 private:
  HttpChannel m_channel;
};

InstanceRecord ParseInstance(const Json& json) {
  InstanceRecord record;
  record.id = json.at("id").get<std::string>();
  record.role = json.at("role").get<std::string>();
  record.state =
      kInstanceStateNames
          .Parse(json.at("state").get<std::string>())
          // An unknown state is not proof that the instance takes new work.
          .value_or(InstanceState::kLeaving);
  record.address = json.at("address").get<std::string>();
  record.data_center = json.value("data_center", "");
  record.peer_address = json.value("peer_address", "");
  record.model = json.value("model", "");
  if (json.contains("layers")) {
    record.first_layer = json.at("layers").at(0).get<int>();
    record.end_layer = json.at("layers").at(1).get<int>();
  }
  record.model_layers = json.value("model_layers", 0);
  record.accelerator = json.value("accelerator", "");
  record.speed = json.value("speed", 0.0);
  record.checks_epochs = json.value("checks_epochs", true);
  record.service = json.value("service", "");
  return record;
}

class HttpInstanceList final : public InstanceList {
 public:
  HttpInstanceList(const std::string& base_url, Duration deadline)
      : m_channel(base_url, deadline) {}

  absl::StatusOr<InstanceListing> List() override {
    const HttpAnswer answer =
        m_channel.Call({.method = http::methods::GET, .path = "/instances"});
    if (answer.status == http::status_codes::NotFound)
      return MakeStatus(absl::StatusCode::kUnavailable, "no instance list");
    return ParseAnswer<InstanceListing>(answer, [](const Json& json) {
      InstanceListing listing;
      listing.version = json.at("version").get<int64_t>();
      for (const Json& instance : json.at("instances"))
        listing.instances.push_back(ParseInstance(instance));
      return listing;
    });
  }

 private:
  HttpChannel m_channel;
};

}  // namespace

std::unique_ptr<TableService> MakeHttpTableService(const std::string& base_url,
                                                   Duration deadline) {
  return std::make_unique<HttpTableService>(base_url, deadline);
}

std::unique_ptr<ObjectStore> MakeHttpObjectStore(const std::string& base_url,
                                                 Duration deadline) {
  return std::make_unique<HttpObjectStore>(base_url, deadline);
}

std::unique_ptr<InstanceList> MakeHttpInstanceList(const std::string& base_url,
                                                   Duration deadline) {
  return std::make_unique<HttpInstanceList>(base_url, deadline);
}

}  // namespace trefoilwick
