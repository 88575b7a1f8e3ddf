#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "engine_client.h"

namespace trefoilwick::detail {

namespace wh = web::http;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds kCallTimeout{60};

CallFailure ClassifyError(const std::error_code& code) {
  // The library reports every failure to connect as host_unreachable or as
  // the refused connection itself.
  if (code == std::errc::connection_refused ||
      code == std::errc::host_unreachable)
    return CallFailure::kCrashed;
  return CallFailure::kLost;
}

// When a pooled connection closes before the answer, the library sends the
// request again by itself. A body that can be read only once prevents that, so
// that a call that may not be repeated is sent at most once.
void SetBody(wh::http_request& request, const std::string& body) {
  concurrency::streams::producer_consumer_buffer<uint8_t> buffer;
  buffer.putn_nocopy(reinterpret_cast<const uint8_t*>(body.data()), body.size())
      .wait();
  buffer.close(std::ios_base::out).wait();
  request.set_body(buffer.create_istream(), body.size(), "application/json");
}

wh::http_request MakeRequest(const HttpCall& call) {
  wh::http_request request(call.method);
  request.set_request_uri(web::uri(call.path));
  if (call.method != "GET")
    SetBody(request, call.body);
  if (!call.user.empty())
    request.headers().add("X-Account", call.user);
  if (!call.request_id.empty())
    request.headers().add("X-Request-Id", call.request_id);
  if (!call.idempotency_key.empty())
    request.headers().add("Idempotency-Key", call.idempotency_key);
  if (!call.bearer_key.empty())
    request.headers().add("Authorization", "Bearer " + call.bearer_key);
  return request;
}

}  // namespace

struct HttpCaller::Impl {
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<wh::client::http_client>> clients;

  std::shared_ptr<wh::client::http_client> Client(const HttpCall& call) {
    std::lock_guard lock(mutex);
    auto& client = clients[call.address];
    if (!client || call.fresh_connection) {
      wh::client::http_client_config config;
      config.set_timeout(kCallTimeout);
      client = std::make_shared<wh::client::http_client>(
          "http://" + call.address, config);
    }
    return client;
  }
};

HttpCaller::HttpCaller() : m_impl(std::make_shared<Impl>()) {}
HttpCaller::~HttpCaller() = default;

CancelCall HttpCaller::Call(const HttpCall& call,
                            std::function<void(HttpResult)> done) {
  pplx::cancellation_token_source source;
  auto client = m_impl->Client(call);
  client->request(MakeRequest(call), source.get_token())
      .then([](const wh::http_response& response) {
        return response.extract_vector().then(
            [response](const std::vector<unsigned char>& body) {
              HttpResult result;
              result.status = response.status_code();
              result.body.assign(body.begin(), body.end());
              result.content_type = response.headers().content_type();
              return result;
            });
      })
      .then([done = std::move(done), client](pplx::task<HttpResult> task) {
        HttpResult result;
        try {
          result = task.get();
        } catch (const wh::http_exception& error) {
          result.failure = ClassifyError(error.error_code());
          result.certainly_not_sent = *result.failure == CallFailure::kCrashed;
        } catch (const std::exception&) {
          result.failure = CallFailure::kLost;
        }
        done(std::move(result));
      });
  return [source] { source.cancel(); };
}

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
