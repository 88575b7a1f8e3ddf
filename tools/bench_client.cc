#include "bench_client.h"

#include <boost/beast.hpp>
#include <optional>
#include <utility>

namespace trefoilwick::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kFetchDeadline{5};
constexpr uint64_t kMaxBodyBytes = 1ULL << 40;

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  error_code error;
  const auto host = asio::ip::make_address(address.substr(0, colon), error);
  if (error)
    return std::nullopt;
  return asio::ip::tcp::endpoint(
      host, static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
}

http::request<http::string_body> MakeRequest(const Call& call) {
  http::request<http::string_body> request(http::string_to_verb(call.method),
                                           call.path, 11);
  request.set(http::field::host, call.address);
  if (!call.bearer_token.empty())
    request.set(http::field::authorization, "Bearer " + call.bearer_token);
  if (call.method != "GET")
    request.set(http::field::content_type, "application/json");
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

}  // namespace

class Client::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Client& client, Call call, CallHandlers handlers)
      : m_client(client),
        m_call(std::move(call)),
        m_handlers(std::move(handlers)),
        m_request(MakeRequest(m_call)),
        m_socket(client.m_io) {}

  void Start() {
    auto& idle = m_client.m_idle_connections[m_call.address];
    if (idle.empty()) {
      Connect();
      return;
    }
    m_socket = std::move(idle.back());
    idle.pop_back();
    m_reused = true;
    Write();
  }

  void Cancel() {
    m_ended = true;
    m_handlers = {};
    error_code ignored;
    m_socket.close(ignored);
  }

 private:
  void Connect() {
    m_socket = Socket(m_client.m_io);
    const auto endpoint = ParseEndpoint(m_call.address);
    if (!endpoint) {
      EndCall(CallEndReason::kNotConnected);
      return;
    }
    m_socket.async_connect(
        *endpoint, [self = shared_from_this()](error_code error) {
          if (error) {
            self->EndCall(CallEndReason::kNotConnected);
            return;
          }
          self->m_socket.set_option(asio::ip::tcp::no_delay(true), error);
          self->Write();
        });
  }

  void Write() {
    m_parser.emplace();
    m_parser->body_limit(kMaxBodyBytes);
    http::async_write(
        m_socket, m_request,
        [self = shared_from_this()](error_code error, size_t /*bytes*/) {
          if (error)
            self->OnConnectionError();
          else
            self->ReadHeader();
        });
  }

  void ReadHeader() {
    http::async_read_header(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, size_t /*bytes*/) {
          if (error) {
            self->OnConnectionError();
            return;
          }
          self->m_headers_received = true;
          const auto& response = self->m_parser->get();
          if (!self->m_ended && self->m_handlers.on_headers)
            self->m_handlers.on_headers(
                static_cast<int>(response.result_int()),
                std::string(response.base()["X-Request-Id"]));
          self->Read();
        });
  }

  void Read() {
    if (m_parser->is_done()) {
      OnResponseComplete();
      return;
    }
    http::async_read_some(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, size_t /*bytes*/) {
          self->DeliverData();
          if (error)
            self->OnConnectionError();
          else
            self->Read();
        });
  }

  void DeliverData() {
    std::string& body = m_parser->get().body();
    if (!body.empty() && !m_ended && m_handlers.on_data)
      m_handlers.on_data(body);
    body.clear();
  }

  void OnResponseComplete() {
    DeliverData();
    if (m_parser->get().keep_alive() && !m_ended)
      m_client.m_idle_connections[m_call.address].push_back(
          std::move(m_socket));
    EndCall(CallEndReason::kComplete);
  }

  // Retries once on a new connection when a reused one fails before the
  // response headers, since its peer may have closed it while it was idle.
  void OnConnectionError() {
    if (m_ended)
      return;
    if (std::exchange(m_reused, false) && !m_headers_received)
      Connect();
    else
      EndCall(CallEndReason::kConnectionLost);
  }

  void EndCall(CallEndReason end) {
    if (!std::exchange(m_ended, true) && m_handlers.on_end)
      m_handlers.on_end(end);
    m_handlers = {};
  }

  Client& m_client;
  Call m_call;
  CallHandlers m_handlers;
  http::request<http::string_body> m_request;
  Socket m_socket;
  beast::flat_buffer m_buffer;
  std::optional<http::response_parser<http::string_body>> m_parser;
  bool m_reused = false;
  bool m_headers_received = false;
  bool m_ended = false;
};

std::shared_ptr<Client::Exchange> Client::Send(Call call,
                                               CallHandlers handlers) {
  auto exchange =
      std::make_shared<Exchange>(*this, std::move(call), std::move(handlers));
  exchange->Start();
  return exchange;
}

void Client::Cancel(const std::shared_ptr<Exchange>& exchange) {
  if (exchange)
    exchange->Cancel();
}

Reply Fetch(const Call& call) {
  asio::io_context io;
  Client client(io);
  Reply reply;
  bool complete = false;
  CallHandlers handlers;
  handlers.on_headers = [&](int status, const std::string& /*id*/) {
    reply.status = status;
  };
  handlers.on_data = [&](std::string_view data) { reply.body += data; };
  handlers.on_end = [&](CallEndReason end) {
    complete = end == CallEndReason::kComplete;
  };
  const auto exchange = client.Send(call, std::move(handlers));
  io.run_for(kFetchDeadline);
  if (!complete)
    reply.status = 0;
  Client::Cancel(exchange);
  return reply;
}

std::string AddressOf(const std::string& url) {
  const std::string prefix = "http://";
  return url.rfind(prefix, 0) == 0 ? url.substr(prefix.size()) : url;
}

}  // namespace trefoilwick::bench
