// HTTP/JSON adapters of the platform's services (docs/design.md, section 10).
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cctype>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "trefoilwick/http_call.h"
#include "trefoilwick/platform.h"

namespace trefoilwick {

namespace {

using Json = nlohmann::json;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kServiceUnavailable = 503;
// Time to establish a connection, within the deadline of the call.
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// A call reports a timeout at its own deadline. The caller waits this much
// longer, so that it also returns when the channel's thread does not run.
constexpr Duration kWaitMargin = std::chrono::seconds(1);

struct ServiceResponse {
  // 0 when no complete response arrived.
  int status = 0;
  std::string body;
  // True when no byte of the request was sent.
  bool not_sent = false;
  std::string error;
};

struct ServiceRequest {
  http::verb method;
  // Percent-encoded path and query.
  std::string path;
  std::string body{};
  std::string content_type{};
  bool if_absent = false;
};

// "http://IP:PORT/" -> "IP:PORT".
std::string ParseAddress(std::string url) {
  constexpr std::string_view kScheme = "http://";
  if (url.starts_with(kScheme))
    url.erase(0, kScheme.size());
  return url.substr(0, url.find('/'));
}

ServiceResponse ToServiceResponse(CallResult result) {
  ServiceResponse service_response;
  if (result.error == CallError::kNone) {
    service_response.status = static_cast<int>(result.response.result_int());
    service_response.body = std::move(result.response.body());
    return service_response;
  }
  service_response.not_sent = result.error == CallError::kNotSent;
  service_response.error =
      service_response.not_sent ? "no connection" : "no complete response";
  return service_response;
}

// Blocking calls to one service. Safe for concurrent use: connections belong to
// the channel's own thread.
class HttpChannel {
 public:
  HttpChannel(const std::string& base_url, Duration deadline)
      : m_http_client(m_io, std::min(kConnectTimeout, deadline)),
        m_address(ParseAddress(base_url)),
        m_deadline(deadline),
        m_work_guard(m_io.get_executor()),
        m_thread([this] { m_io.run(); }) {}
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;
  ~HttpChannel() {
    m_io.stop();
    m_thread.join();
  }

  ServiceResponse Call(const ServiceRequest& service_request) {
    const auto response_promise =
        std::make_shared<std::promise<ServiceResponse>>();
    std::future<ServiceResponse> pending_response =
        response_promise->get_future();
    asio::post(m_io, [this, request = MakeRequest(service_request),
                      response_promise]() mutable {
      m_http_client.Call(
          m_address, std::move(request), m_deadline,
          [response_promise](CallResult result) {
            response_promise->set_value(ToServiceResponse(std::move(result)));
          });
    });
    if (pending_response.wait_for(m_deadline + kWaitMargin) ==
        std::future_status::ready)
      return pending_response.get();
    return ServiceResponse{0, "", false, "deadline exceeded"};
  }

 private:
  static HttpRequest MakeRequest(const ServiceRequest& service_request) {
    HttpRequest request{service_request.method, service_request.path, 11};
    if (service_request.if_absent)
      request.set(http::field::if_none_match, "*");
    if (!service_request.content_type.empty())
      request.set(http::field::content_type, service_request.content_type);
    request.body() = service_request.body;
    return request;
  }

  asio::io_context m_io{1};
  HttpClient m_http_client;
  std::string m_address;
  Duration m_deadline;
  asio::executor_work_guard<asio::io_context::executor_type> m_work_guard;
  std::thread m_thread;
};

absl::Status ReadFailure(const ServiceResponse& service_response) {
  if (service_response.status == kNotFound)
    return MakeStatus(absl::StatusCode::kNotFound, "not found");
  return MakeStatus(absl::StatusCode::kUnavailable,
                    service_response.error.empty()
                        ? "status " + std::to_string(service_response.status)
                        : service_response.error);
}

Json ParseJson(const std::string& text) {
  return Json::parse(text, nullptr, false);
}

// Returns the status of a write that was not confirmed.
absl::Status WriteFailure(const ServiceResponse& service_response) {
  const std::string text =
      service_response.error.empty()
          ? "status " + std::to_string(service_response.status)
          : service_response.error;
  if (service_response.not_sent)
    return MakeStatus(absl::StatusCode::kUnavailable, text);
  if (service_response.status == kServiceUnavailable) {
    const Json body = ParseJson(service_response.body);
    if (body.is_object() && body.contains("applied") &&
        body["applied"] == Json(false))
      return MakeStatus(absl::StatusCode::kUnavailable, text);
  }
  return MakeStatus(absl::StatusCode::kUnknown, text);
}

// Parses the body with `parse`; a body of another shape gives kUnavailable.
template <typename T, typename Parse>
absl::StatusOr<T> ParseResponse(const ServiceResponse& service_response,
                                Parse parse) {
  if (service_response.status != kOk)
    return ReadFailure(service_response);
  try {
    return parse(Json::parse(service_response.body));
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
    const ServiceResponse service_response =
        m_channel.Call({.method = http::verb::get,
                        .path = "/tables/" + PercentEncode(table) + "/rows/" +
                                PercentEncode(key)});
    return ParseResponse<StoreRow>(service_response, [&](const Json& json) {
      return ParseRow(json, key);
    });
  }

  absl::StatusOr<std::vector<int64_t>> Transact(
      const StoreTransaction& transaction) override {
    ServiceRequest service_request{.method = http::verb::post,
                                   .path = "/transact",
                                   .content_type = "application/json"};
    try {
      service_request.body = EncodeTransaction(transaction);
    } catch (const Json::exception& error) {
      // Nothing was sent: a key or value is not UTF-8.
      return MakeStatus(absl::StatusCode::kInvalidArgument, error.what());
    }
    const ServiceResponse service_response = m_channel.Call(service_request);
    const Json body = ParseJson(service_response.body);
    if (service_response.status == kConflict && body.is_object() &&
        body.contains("failed"))
      return MakeStatus(absl::StatusCode::kFailedPrecondition,
                        service_response.body);
    if (service_response.status != kOk)
      return WriteFailure(service_response);
    try {
      auto versions = body.at("versions").get<std::vector<int64_t>>();
      if (versions.size() == transaction.puts.size())
        return versions;
    } catch (const Json::exception&) {
      // Reported below.
    }
    return MakeStatus(absl::StatusCode::kUnknown, "unusable response");
  }

  absl::StatusOr<std::vector<StoreRow>> Scan(const std::string& table,
                                             const std::string& prefix,
                                             const std::string& after,
                                             int limit) override {
    const ServiceResponse service_response =
        m_channel.Call({.method = http::verb::get,
                        .path = "/tables/" + PercentEncode(table) +
                                "/rows?prefix=" + PercentEncode(prefix) +
                                "&after=" + PercentEncode(after) +
                                "&limit=" + std::to_string(limit)});
    return ParseResponse<std::vector<StoreRow>>(
        service_response, [](const Json& json) {
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
    ServiceResponse service_response = m_channel.Call(
        {.method = http::verb::get, .path = "/objects/" + PercentEncode(name)});
    if (service_response.status != kOk)
      return ReadFailure(service_response);
    return std::move(service_response.body);
  }

  absl::Status PutObject(const std::string& name,
                         const std::string& bytes,
                         bool if_absent) override {
    const ServiceResponse service_response =
        m_channel.Call({.method = http::verb::put,
                        .path = "/objects/" + PercentEncode(name),
                        .body = bytes,
                        .content_type = "application/octet-stream",
                        .if_absent = if_absent});
    if (service_response.status >= 200 && service_response.status < 300)
      return absl::OkStatus();
    if (if_absent && service_response.status == kPreconditionFailed)
      return MakeStatus(absl::StatusCode::kFailedPrecondition, "exists");
    return WriteFailure(service_response);
  }

 private:
  HttpChannel m_channel;
};

InstanceRecord ParseInstance(const Json& json) {
  InstanceRecord record;
  record.id = json.at("id").get<std::string>();
  record.role = json.at("role").get<std::string>();
  record.state = kInstanceStateNames
                     .Parse(json.at("state").get<std::string>())
                     // An instance in an unknown state may not accept new work.
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
    const ServiceResponse service_response =
        m_channel.Call({.method = http::verb::get, .path = "/instances"});
    if (service_response.status == kNotFound)
      return MakeStatus(absl::StatusCode::kUnavailable, "no instance list");
    return ParseResponse<InstanceListing>(
        service_response, [](const Json& json) {
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
