// Boost.Asio 1.74 uses std::exchange without its header.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <map>
#include <thread>
#include <vector>

#include "engine_client.h"
#include "trefoilwick/http_call.h"

namespace trefoilwick::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kCallTimeout{60};
constexpr uint64_t kMaxResponseBytes = 64ULL << 20;
// Idle connections kept per address; a chain has one or two steps in flight per
// stage.
constexpr size_t kMaxIdleConnections = 64;

http::request<http::string_body> MakeRequest(const HttpCall& call) {
  const http::verb verb = http::string_to_verb(call.method);
  http::request<http::string_body> request(verb, call.path, 11);
  request.set(http::field::host, call.address);
  if (verb != http::verb::get) {
    request.set(http::field::content_type, "application/json");
    request.body() = call.body;
  }
  if (!call.user.empty())
    request.set("X-Account", call.user);
  if (!call.request_id.empty())
    request.set("X-Request-Id", call.request_id);
  if (!call.idempotency_key.empty())
    request.set("Idempotency-Key", call.idempotency_key);
  if (!call.bearer_token.empty())
    request.set(http::field::authorization, "Bearer " + call.bearer_token);
  request.prepare_payload();
  return request;
}

// Splits host:port; the host may be a name.
std::pair<std::string, std::string> SplitAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return {address, "80"};
  return {address.substr(0, colon), address.substr(colon + 1)};
}

CallFailure ClassifyConnectError(error_code error) {
  return error == asio::error::timed_out || error == beast::error::timeout ||
                 error == asio::error::operation_aborted
             ? CallFailure::kNoReply
             : CallFailure::kCrashed;
}

}  // namespace

// Everything except Call runs on the thread of the io_context.
struct BackendHttpClient::Impl {
  struct Pool {
    // Connections of earlier generations are closed after their call.
    uint64_t generation = 0;
    std::vector<std::unique_ptr<beast::tcp_stream>> idle;
  };
  class Exchange;

  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_guard{
      io.get_executor()};
  tcp::resolver resolver{io};
  std::map<std::string, Pool> pools;
  std::thread thread;
};

class BackendHttpClient::Impl::Exchange
    : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Impl& impl, HttpCall call, std::function<void(HttpResult)> done)
      : m_impl(impl),
        m_call(std::move(call)),
        m_done(std::move(done)),
        m_request(MakeRequest(m_call)) {}

  void Start() {
    if (m_completed)
      return;
    Pool& pool = m_impl.pools[m_call.address];
    if (m_call.fresh_connection) {
      ++pool.generation;
      pool.idle.clear();
    }
    m_generation = pool.generation;
    // A call that may run only once must not use a connection that its server
    // has closed, since nothing would tell whether the call arrived.
    m_reused = m_call.idempotency_key.empty() && TakeIdleConnection(pool);
    if (m_reused)
      Write();
    else
      Connect();
  }

  void Cancel() {
    HttpResult result;
    result.failure = CallFailure::kNoReply;
    result.certainly_not_sent = !m_sent;
    Complete(std::move(result));
    if (m_stream)
      m_stream->close();
  }

 private:
  // Drops connections with bytes to read: these belong to an earlier call, and
  // would be read as the response to this one.
  bool TakeIdleConnection(Pool& pool) {
    while (!pool.idle.empty()) {
      m_stream = std::move(pool.idle.back());
      pool.idle.pop_back();
      if (IsReusableConnection(m_stream->socket()))
        return true;
    }
    return false;
  }

  void Connect() {
    m_stream = std::make_unique<beast::tcp_stream>(m_impl.io);
    m_failure = ConnectionFailure();
    const auto [host, port] = SplitAddress(m_call.address);
    error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (!error) {
      m_stream->expires_after(kCallTimeout);
      m_stream->async_connect(
          tcp::endpoint(address,
                        static_cast<uint16_t>(std::atoi(port.c_str()))),
          [self = shared_from_this()](error_code failed) {
            self->OnConnected(failed);
          });
      return;
    }
    m_impl.resolver.async_resolve(
        host, port,
        [self = shared_from_this()](error_code failed,
                                    const tcp::resolver::results_type& found) {
          self->OnResolved(failed, found);
        });
  }

  void OnResolved(error_code error, const tcp::resolver::results_type& found) {
    if (error || m_completed) {
      OnConnected(error ? error : asio::error::operation_aborted);
      return;
    }
    m_stream->expires_after(kCallTimeout);
    m_stream->async_connect(
        found, [self = shared_from_this()](error_code failed,
                                           const tcp::endpoint& /*endpoint*/) {
          self->OnConnected(failed);
        });
  }

  void OnConnected(error_code error) {
    if (m_completed)
      return;
    if (error) {
      HttpResult result;
      result.failure = ClassifyConnectError(error);
      result.certainly_not_sent = true;
      Complete(std::move(result));
      return;
    }
    m_stream->socket().set_option(tcp::no_delay(true), error);
    Write();
  }

  void Write() {
    m_sent = true;
    m_parser.emplace(ResponseOptions{.max_body_bytes = kMaxResponseBytes});
    m_stream->expires_after(kCallTimeout);
    http::async_write(
        *m_stream, m_request,
        [self = shared_from_this()](error_code error, size_t /*bytes*/) {
          // The response may have arrived all the same.
          self->m_failure.Record(error);
          self->m_written = !error;
          self->Read();
        });
  }

  void Read() {
    if (m_completed)
      return;
    AsyncReadResponse(
        *m_stream, m_buffer, *m_parser, m_failure, [] {},
        [self = shared_from_this()](error_code error) {
          if (error)
            self->OnConnectionError();
          else
            self->OnResponse();
        });
  }

  // The server may have closed a pooled connection while it was idle. Calls on
  // pooled connections are safe to retry (see Start).
  void OnConnectionError() {
    if (m_completed)
      return;
    if (std::exchange(m_reused, false) && m_buffer.size() == 0 &&
        !m_parser->got_some()) {
      Connect();
      return;
    }
    HttpResult result;
    result.failure = CallFailure::kNoReply;
    Complete(std::move(result));
  }

  void OnResponse() {
    if (m_completed)
      return;
    HttpResponse response = m_parser->Release();
    HttpResult result;
    result.status = static_cast<int>(response.result_int());
    result.content_type = std::string(response[http::field::content_type]);
    result.body = std::move(response.body());
    Pool& pool = m_impl.pools[m_call.address];
    if (response.keep_alive() && m_written && m_buffer.size() == 0 &&
        m_generation == pool.generation &&
        pool.idle.size() < kMaxIdleConnections) {
      m_stream->expires_never();
      pool.idle.push_back(std::move(m_stream));
    }
    Complete(std::move(result));
  }

  void Complete(HttpResult result) {
    if (std::exchange(m_completed, true))
      return;
    std::exchange(m_done, nullptr)(std::move(result));
  }

  Impl& m_impl;
  HttpCall m_call;
  std::function<void(HttpResult)> m_done;
  http::request<http::string_body> m_request;
  std::unique_ptr<beast::tcp_stream> m_stream;
  beast::flat_buffer m_buffer;
  ConnectionFailure m_failure;
  std::optional<ResponseParser> m_parser;
  uint64_t m_generation = 0;
  bool m_reused = false;
  bool m_sent = false;
  // All bytes of the request were sent.
  bool m_written = false;
  bool m_completed = false;
};

BackendHttpClient::BackendHttpClient() : m_impl(std::make_shared<Impl>()) {
  m_impl->thread = std::thread([impl = m_impl.get()] { impl->io.run(); });
}

BackendHttpClient::~BackendHttpClient() {
  m_impl->io.stop();
  m_impl->thread.join();
}

CancelCall BackendHttpClient::Call(const HttpCall& call,
                                   std::function<void(HttpResult)> done) {
  auto exchange =
      std::make_shared<Impl::Exchange>(*m_impl, call, std::move(done));
  asio::post(m_impl->io, [exchange] { exchange->Start(); });
  // Weak: a connection must not outlive the io_context.
  return [weak = std::weak_ptr<Impl::Exchange>(exchange),
          impl = std::weak_ptr<Impl>(m_impl)] {
    const auto alive = impl.lock();
    if (!alive || weak.expired())
      return;
    asio::post(alive->io, [weak] {
      if (auto exchange = weak.lock())
        exchange->Cancel();
    });
  };
}

}  // namespace trefoilwick::detail
