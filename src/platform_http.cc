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
// Beyond its deadline a call reports the failure itself; the wait for it must
// still end when the thread of the channel does not run.
constexpr Duration kWaitMargin = std::chrono::seconds(1);

struct HttpAnswer {
  // 0: no complete answer arrived.
  int status = 0;
  std::string body;
  // No byte of the request was sent.
  bool not_sent = false;
  std::string error;
};

struct HttpQuery {
  http::verb method;
  // Percent-encoded path and query.
  std::string path;
  std::string body{};
  std::string content_type{};
  bool if_absent = false;
};

// "http://IP:PORT/" -> "IP:PORT".
std::string AddressOf(std::string url) {
  constexpr std::string_view kScheme = "http://";
  if (url.starts_with(kScheme))
    url.erase(0, kScheme.size());
  return url.substr(0, url.find('/'));
}

HttpAnswer ReadAnswer(CallResult result) {
  HttpAnswer answer;
  if (result.error == CallError::kNone) {
    answer.status = static_cast<int>(result.response.result_int());
    answer.body = std::move(result.response.body());
    return answer;
  }
  answer.not_sent = result.error == CallError::kNotSent;
  answer.error = answer.not_sent ? "no connection" : "no complete answer";
  return answer;
}

// Blocking calls to one service. Safe for concurrent use: connections belong to
// the channel's own thread.
class HttpChannel {
 public:
  HttpChannel(const std::string& base_url, Duration deadline)
      : m_caller(m_io, std::min(kConnectTimeout, deadline)),
        m_address(AddressOf(base_url)),
        m_deadline(deadline),
        m_work(m_io.get_executor()),
        m_thread([this] { m_io.run(); }) {}
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;
  ~HttpChannel() {
    m_io.stop();
    m_thread.join();
  }

  HttpAnswer Call(const HttpQuery& query) {
    const auto answered = std::make_shared<std::promise<HttpAnswer>>();
    std::future<HttpAnswer> answer = answered->get_future();
    asio::post(m_io, [this, request = MakeRequest(query), answered]() mutable {
      m_caller.Call(m_address, std::move(request), m_deadline,
                    [answered](CallResult result) {
                      answered->set_value(ReadAnswer(std::move(result)));
                    });
    });
    if (answer.wait_for(m_deadline + kWaitMargin) == std::future_status::ready)
      return answer.get();
    return HttpAnswer{0, "", false, "deadline exceeded"};
  }

 private:
  static HttpRequest MakeRequest(const HttpQuery& query) {
    HttpRequest request{query.method, query.path, 11};
    if (query.if_absent)
      request.set(http::field::if_none_match, "*");
    if (!query.content_type.empty())
      request.set(http::field::content_type, query.content_type);
    request.body() = query.body;
    return request;
  }

  asio::io_context m_io{1};
  HttpClient m_caller;
  std::string m_address;
  Duration m_deadline;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

// Percent-encodes everything but unreserved characters (RFC 3986).
std::string Encode(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  constexpr std::string_view kPlain = "-._~";
  std::string out;
  for (const unsigned char byte : text) {
    if (std::isalnum(byte) ||
        kPlain.find(static_cast<char>(byte)) != std::string_view::npos) {
      out += static_cast<char>(byte);
      continue;
    }
    out += '%';
    out += kHex[byte >> 4];
    out += kHex[byte & 15];
  }
  return out;
}

absl::Status ReadFailure(const HttpAnswer& answer) {
  if (answer.status == kNotFound)
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
  if (answer.status == kServiceUnavailable) {
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
  if (answer.status != kOk)
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
        {.method = http::verb::get,
         .path = "/tables/" + Encode(table) + "/rows/" + Encode(key)});
    return ParseAnswer<StoreRow>(
        answer, [&](const Json& json) { return ParseRow(json, key); });
  }

  absl::StatusOr<std::vector<int64_t>> Transact(
      const StoreTransaction& transaction) override {
    HttpQuery query{.method = http::verb::post,
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
    if (answer.status == kConflict && body.is_object() &&
        body.contains("failed"))
      return MakeStatus(absl::StatusCode::kFailedPrecondition, answer.body);
    if (answer.status != kOk)
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
        {.method = http::verb::get,
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
        {.method = http::verb::get, .path = "/objects/" + Encode(name)});
    if (answer.status != kOk)
      return ReadFailure(answer);
    return std::move(answer.body);
  }

  absl::Status PutObject(const std::string& name,
                         const std::string& bytes,
                         bool if_absent) override {
    const HttpAnswer answer =
        m_channel.Call({.method = http::verb::put,
                        .path = "/objects/" + Encode(name),
                        .body = bytes,
                        .content_type = "application/octet-stream",
                        .if_absent = if_absent});
    if (answer.status >= 200 && answer.status < 300)
      return absl::OkStatus();
    if (if_absent && answer.status == kPreconditionFailed)
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
        m_channel.Call({.method = http::verb::get, .path = "/instances"});
    if (answer.status == kNotFound)
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
