// HttpClient: calls with one connection each, kept for the next call.
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include "trefoilwick/http_call.h"

namespace trefoilwick {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// An idle connection that is older is not reused.
constexpr Duration kMaxIdleTime = std::chrono::seconds(3);
constexpr size_t kMaxIdleConnectionsPerAddress = 2;
// Bytes read ahead of the parser: a head, chunk header or trailer must fit.
constexpr size_t kMaxReadAheadBytes = size_t{256} * 1024;

}  // namespace

// One call, from connecting to the complete response.
class HttpClient::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(HttpClient& client,
           std::string address,
           HttpRequest request,
           const CallOptions& options,
           CallHandler handler)
      : m_client(client),
        m_address(std::move(address)),
        m_request(std::move(request)),
        m_timeouts(options.timeouts),
        m_handler(std::move(handler)),
        m_timer(client.m_io),
        m_connect_timer(client.m_io),
        m_parser({.max_body_bytes = options.max_response_bytes.value_or(
                      client.m_max_response_bytes)}) {}

  void Start() {
    const TimePoint now = BootClock().Now();
    m_ends_at = now + m_timeouts.total;
    m_silent_until = now + m_timeouts.response_start;
    ScheduleTimeout(now);
    if (TakeIdleConnection()) {
      m_is_reused = true;
      Send();
      return;
    }
    Connect();
  }

 private:
  void ScheduleTimeout(TimePoint now) {
    m_timer.expires_after(std::min(m_silent_until, m_ends_at) - now);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error && !self->m_done)
        self->OnTimer();
    });
  }

  // Bytes move the timeout without touching the timer, which finds this out.
  void OnTimer() {
    const TimePoint now = BootClock().Now();
    // Not read yet when the process itself was busy.
    if (HasUnreadBytes())
      OnBytesReceived(now);
    if (now >= std::min(m_silent_until, m_ends_at))
      return Fail(asio::error::timed_out);
    ScheduleTimeout(now);
  }

  bool HasUnreadBytes() const {
    error_code ignored;
    return m_socket && m_socket->available(ignored) > 0;
  }

  void OnBytesReceived(TimePoint now) {
    if (m_done)
      return;
    m_silent_until = now + m_timeouts.silence;
    SetMissingBytes(m_parser.missing_body_bytes());
  }

  // Of the response, as the client sums them.
  void SetMissingBytes(uint64_t bytes) {
    m_client.m_missing_bytes -= std::exchange(m_missing_bytes, bytes);
    m_client.m_missing_bytes += bytes;
  }

  bool TakeIdleConnection() {
    auto& idle = m_client.m_idle_connections[m_address];
    while (!idle.empty()) {
      IdleConnection last = std::move(idle.back());
      idle.pop_back();
      const bool is_recent = BootClock().Now() - last.idle_since < kMaxIdleTime;
      if (is_recent && IsReusableConnection(*last.socket)) {
        m_socket = std::move(last.socket);
        return true;
      }
    }
    return false;
  }

  void Connect() {
    const auto endpoint = ParseEndpoint(m_address);
    if (!endpoint) {
      asio::post(m_client.m_io, [self = shared_from_this()] {
        self->Fail(asio::error::invalid_argument);
      });
      return;
    }
    m_socket = std::make_unique<tcp::socket>(m_client.m_io);
    m_failure = ConnectionFailure();
    m_connect_timer.expires_after(m_client.m_connect_timeout);
    m_connect_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error && !self->m_connected)
        self->Fail(asio::error::timed_out);
    });
    m_socket->async_connect(
        *endpoint, [self = shared_from_this()](error_code error) {
          self->m_connect_timer.cancel();
          if (self->m_done)
            return;
          if (error)
            return self->Fail(error);
          self->m_connected = true;
          SetSocketOptions(*self->m_socket, std::chrono::seconds(2));
          self->Send();
        });
  }

  void Send() {
    m_sent = true;
    http::async_write(*m_socket, m_request,
                      [self = shared_from_this()](error_code error, size_t) {
                        if (self->m_done)
                          return;
                        // The response may have arrived all the same.
                        self->m_failure.Record(error);
                        self->m_written = !error;
                        self->Receive();
                      });
  }

  // The server may close an idle connection while a request is sent on it. One
  // that changes nothing is sent again on a new connection.
  void OnConnectionLost(error_code error) {
    const bool is_safe = m_request.method() == http::verb::get;
    const bool has_response = m_parser.got_some() || m_buffer.size() > 0;
    if (!std::exchange(m_is_reused, false) || !is_safe || has_response)
      return Fail(error);
    Connect();
  }

  void Receive() {
    AsyncReadResponse(
        *m_socket, m_buffer, m_parser, m_failure,
        [this] { OnBytesReceived(BootClock().Now()); },
        [self = shared_from_this()](error_code error) {
          if (self->m_done)
            return;
          if (error)
            return self->OnConnectionLost(error);
          self->Succeed();
        });
  }

  void Succeed() {
    m_done = true;
    SetMissingBytes(0);
    m_timer.cancel();
    CallResult result;
    result.response = m_parser.Release();
    if (result.response.keep_alive() && m_written && m_buffer.size() == 0) {
      auto& idle = m_client.m_idle_connections[m_address];
      if (idle.size() < kMaxIdleConnectionsPerAddress)
        idle.push_back({std::move(m_socket), BootClock().Now()});
    }
    m_handler(std::move(result));
  }

  void Fail(error_code reason) {
    if (m_done)
      return;
    m_done = true;
    SetMissingBytes(0);
    m_timer.cancel();
    m_connect_timer.cancel();
    if (m_socket) {
      error_code ignored;
      m_socket->close(ignored);
    }
    CallResult result;
    result.error = m_sent ? CallError::kUnknown : CallError::kNotSent;
    result.reason = reason;
    m_handler(std::move(result));
  }

  HttpClient& m_client;
  std::string m_address;
  HttpRequest m_request;
  CallTimeouts m_timeouts;
  CallHandler m_handler;
  // The call fails when no byte has arrived until then, or at its end.
  TimePoint m_silent_until;
  TimePoint m_ends_at;
  asio::steady_timer m_timer;
  asio::steady_timer m_connect_timer;
  std::unique_ptr<tcp::socket> m_socket;
  boost::beast::flat_buffer m_buffer{kMaxReadAheadBytes};
  ConnectionFailure m_failure;
  ResponseParser m_parser;
  uint64_t m_missing_bytes = 0;
  // The request was sent on a connection of an earlier call.
  bool m_is_reused = false;
  bool m_connected = false;
  bool m_sent = false;
  // All bytes of the request were sent.
  bool m_written = false;
  bool m_done = false;
};

void HttpClient::Call(const std::string& address,
                      HttpRequest request,
                      const CallOptions& options,
                      CallHandler handler) {
  request.set(http::field::host, address);
  request.prepare_payload();
  std::make_shared<Exchange>(*this, address, std::move(request), options,
                             std::move(handler))
      ->Start();
}

void HttpClient::Call(const std::string& address,
                      HttpRequest request,
                      Duration timeout,
                      CallHandler handler) {
  Call(address, std::move(request), CallOptions{{timeout, timeout, timeout}},
       std::move(handler));
}

}  // namespace trefoilwick
