#include "trefoilwick/http_call.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <time.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <charconv>
#include <string_view>

namespace trefoilwick {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// An idle connection that is older is not reused.
constexpr Duration kMaxIdleTime = std::chrono::seconds(3);
constexpr size_t kMaxIdleConnectionsPerAddress = 2;
constexpr Duration kLateResultGraceTime = std::chrono::milliseconds(5);
// Bytes read ahead of the parser: a head, chunk header or trailer must fit.
constexpr size_t kMaxReadAheadBytes = size_t{256} * 1024;

}  // namespace

TimePoint BootClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   Duration(now.tv_nsec / 1000));
}

int64_t BootClock::UnixMillis() const {
  return SystemClock().UnixMillis();
}

std::optional<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  error_code error;
  const auto ip = asio::ip::make_address_v4(address.substr(0, colon), error);
  uint16_t port = 0;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto [stop, number_error] = std::from_chars(begin, end, port);
  if (error || number_error != std::errc() || stop != end || port == 0)
    return std::nullopt;
  return tcp::endpoint(ip, port);
}

std::string PercentEncode(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  constexpr std::string_view kUnreservedMarks = "-._~";
  std::string out;
  for (const unsigned char byte : text) {
    if (std::isalnum(byte) || kUnreservedMarks.find(static_cast<char>(byte)) !=
                                  std::string_view::npos) {
      out += static_cast<char>(byte);
      continue;
    }
    out += '%';
    out += kHex[byte >> 4];
    out += kHex[byte & 15];
  }
  return out;
}

void SetSocketOptions(tcp::socket& socket, Duration max_unacknowledged) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const int fd = socket.native_handle();
  const int on = 1;
  const int seconds = std::max<int>(
      1, static_cast<int>(max_unacknowledged.count() / 1'000'000 / 2));
  const int probes = 2;
  const unsigned int max_unacknowledged_ms =
      static_cast<unsigned int>(max_unacknowledged.count() / 1000);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &max_unacknowledged_ms,
             sizeof max_unacknowledged_ms);
}

namespace {

// Result of a read of one byte that is left in the socket.
error_code Peek(tcp::socket& socket) {
  error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error;
}

}  // namespace

bool IsReusableConnection(tcp::socket& socket) {
  return Peek(socket) == asio::error::would_block;
}

bool IsClosedByPeer(error_code error) {
  return error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::broken_pipe;
}

bool IsClosedByPeer(tcp::socket& socket) {
  return IsClosedByPeer(Peek(socket));
}

// One call, from connecting to the complete response.
class HttpClient::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(HttpClient& client,
           std::string address,
           HttpRequest request,
           Duration timeout,
           CallHandler handler)
      : m_client(client),
        m_address(std::move(address)),
        m_request(std::move(request)),
        m_timeout(timeout),
        m_handler(std::move(handler)),
        m_timer(client.m_io),
        m_connect_timer(client.m_io),
        m_parser({.max_body_bytes = client.m_max_response_bytes}) {}

  void Start() {
    m_timer.expires_after(m_timeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error)
        self->Fail();
    });
    if (TakeIdleConnection()) {
      m_is_reused = true;
      Send();
      return;
    }
    Connect();
  }

 private:
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
      asio::post(m_client.m_io, [self = shared_from_this()] { self->Fail(); });
      return;
    }
    m_socket = std::make_unique<tcp::socket>(m_client.m_io);
    m_connect_timer.expires_after(m_client.m_connect_timeout);
    m_connect_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error && !self->m_connected)
        self->Fail();
    });
    m_socket->async_connect(
        *endpoint, [self = shared_from_this()](error_code error) {
          self->m_connect_timer.cancel();
          if (self->m_done)
            return;
          if (error)
            return self->Fail();
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
                        if (error)
                          return self->OnConnectionLost();
                        self->Receive();
                      });
  }

  // The server may close an idle connection while a request is sent on it. One
  // that changes nothing is sent again on a new connection.
  void OnConnectionLost() {
    const bool is_safe = m_request.method() == http::verb::get;
    const bool has_response = m_parser.got_some() || m_buffer.size() > 0;
    if (!std::exchange(m_is_reused, false) || !is_safe || has_response)
      return Fail();
    Connect();
  }

  void Receive() {
    AsyncReadResponse(*m_socket, m_buffer, m_parser,
                      [self = shared_from_this()](error_code error) {
                        if (self->m_done)
                          return;
                        if (error)
                          return self->OnConnectionLost();
                        self->Succeed();
                      });
  }

  void Succeed() {
    m_done = true;
    m_timer.cancel();
    CallResult result;
    result.response = m_parser.Release();
    if (result.response.keep_alive() && m_buffer.size() == 0) {
      auto& idle = m_client.m_idle_connections[m_address];
      if (idle.size() < kMaxIdleConnectionsPerAddress)
        idle.push_back({std::move(m_socket), BootClock().Now()});
    }
    m_handler(std::move(result));
  }

  void Fail() {
    if (m_done)
      return;
    m_done = true;
    m_timer.cancel();
    m_connect_timer.cancel();
    if (m_socket) {
      error_code ignored;
      m_socket->close(ignored);
    }
    CallResult result;
    result.error = m_sent ? CallError::kUnknown : CallError::kNotSent;
    m_handler(std::move(result));
  }

  HttpClient& m_client;
  std::string m_address;
  HttpRequest m_request;
  Duration m_timeout;
  CallHandler m_handler;
  asio::steady_timer m_timer;
  asio::steady_timer m_connect_timer;
  std::unique_ptr<tcp::socket> m_socket;
  boost::beast::flat_buffer m_buffer{kMaxReadAheadBytes};
  ResponseParser m_parser;
  // The request was sent on a connection of an earlier call.
  bool m_is_reused = false;
  bool m_connected = false;
  bool m_sent = false;
  bool m_done = false;
};

void HttpClient::Call(const std::string& address,
                      HttpRequest request,
                      Duration timeout,
                      CallHandler handler) {
  request.set(http::field::host, address);
  request.prepare_payload();
  std::make_shared<Exchange>(*this, address, std::move(request), timeout,
                             std::move(handler))
      ->Start();
}

ConnectResult ToConnectResult(error_code error) {
  if (!error)
    return ConnectResult::kAccepted;
  return error == asio::error::connection_refused ? ConnectResult::kRefused
                                                  : ConnectResult::kFailed;
}

// A probe of an address by up to two connections.
class ConnectProbe : public std::enable_shared_from_this<ConnectProbe> {
 public:
  ConnectProbe(asio::io_context& io,
               tcp::endpoint endpoint,
               std::function<void(ConnectResult)> handler)
      : m_endpoint(std::move(endpoint)),
        m_handler(std::move(handler)),
        m_sockets{tcp::socket(io), tcp::socket(io)},
        m_second_timer(io),
        m_timer(io) {}

  void Start(Duration timeout, Duration second_after) {
    Connect(0);
    m_second_timer.expires_after(second_after);
    m_second_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error && !self->m_done)
        self->Connect(1);
    });
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error && !self->m_done)
        self->AllowLateResult();
    });
  }

 private:
  void Connect(int index) {
    m_sockets[index].async_connect(
        m_endpoint, [self = shared_from_this()](error_code error) {
          self->Finish(ToConnectResult(error));
        });
  }

  // After a suspension of the process both the result and the timer are due:
  // the result gets time to arrive first.
  void AllowLateResult() {
    m_timer.expires_after(kLateResultGraceTime);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error)
        self->Finish(ConnectResult::kTimedOut);
    });
  }

  void Finish(ConnectResult result) {
    if (std::exchange(m_done, true))
      return;
    m_second_timer.cancel();
    m_timer.cancel();
    error_code ignored;
    for (tcp::socket& socket : m_sockets)
      socket.close(ignored);
    m_handler(result);
  }

  tcp::endpoint m_endpoint;
  std::function<void(ConnectResult)> m_handler;
  tcp::socket m_sockets[2];
  asio::steady_timer m_second_timer;
  asio::steady_timer m_timer;
  bool m_done = false;
};

void TryConnect(asio::io_context& io,
                const std::string& address,
                Duration timeout,
                Duration second_after,
                const std::function<void(ConnectResult)>& handler) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    asio::post(io, [handler] { handler(ConnectResult::kFailed); });
    return;
  }
  std::make_shared<ConnectProbe>(io, *endpoint, handler)
      ->Start(timeout, second_after);
}

}  // namespace trefoilwick
