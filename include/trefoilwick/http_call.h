// HTTP/1.1 calls on one Asio thread: short calls with a deadline, and
// connections that are kept for the next call to the same address.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trefoilwick/kernel.h"
#include "trefoilwick/response_parser.h"

namespace trefoilwick {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// Monotonic time that also counts while the machine is suspended.
class BootClock final : public Clock {
 public:
  TimePoint Now() const override;
  int64_t UnixMillis() const override;
};

// Parses "IP:PORT"; null when the text is no such address.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

// Percent-encodes everything but unreserved characters (RFC 3986).
std::string PercentEncode(const std::string& text);

// Sets TCP_NODELAY, and timeouts that end a connection whose peer does not
// acknowledge anything for `max_unacknowledged`.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      Duration max_unacknowledged);

// True when an idle connection can be reused. A readable one was closed, or
// holds bytes that belong to no request.
bool IsReusableConnection(boost::asio::ip::tcp::socket& socket);

// True when an error of a socket says that the peer closed the connection.
bool IsClosedByPeer(boost::system::error_code error);

// True when the peer closed the connection and all its bytes were read. Records
// in `failure` what the system reports once.
bool IsClosedByPeer(boost::asio::ip::tcp::socket& socket,
                    ConnectionFailure& failure);

enum class CallError : uint8_t {
  kNone,
  // No byte of the request was sent.
  kNotSent,
  // The request may have been carried out.
  kUnknown,
};

struct CallResult {
  CallError error = CallError::kNone;
  // An error of the connection, or of the parser for a broken response; not set
  // without an error.
  boost::system::error_code reason;
  // Valid without an error.
  HttpResponse response;
};
using CallHandler = std::function<void(CallResult)>;

// How long a call waits for its server. A slow link delays a long response, but
// only a lost peer is silent.
struct CallTimeouts {
  // From the start of the call to the first byte of the response.
  Duration response_start;
  // Between two arrivals of bytes of the response.
  Duration silence;
  // From the start of the call to the end of the response.
  Duration total;
};

struct CallOptions {
  CallTimeouts timeouts;
  // A call whose response has a longer body fails as soon as that is known,
  // with boost::beast::http::error::body_limit. Null for the client's limit.
  std::optional<uint64_t> max_response_bytes = std::nullopt;
};

// HTTP client. Concurrent calls use a connection each, and each call may go to
// another address. A GET request is sent again when the server closes the
// reused connection of an earlier call without a response.
class HttpClient {
 public:
  // A call fails when the body of its response is longer than
  // `max_response_bytes`.
  HttpClient(boost::asio::io_context& io,
             Duration connect_timeout,
             uint64_t max_response_bytes = kDefaultMaxResponseBytes)
      : m_io(io),
        m_connect_timeout(connect_timeout),
        m_max_response_bytes(max_response_bytes) {}
  // `handler` is called once, never from within Call().
  void Call(const std::string& address,
            HttpRequest request,
            const CallOptions& options,
            CallHandler handler);
  // A call whose whole response must have arrived within `timeout`.
  void Call(const std::string& address,
            HttpRequest request,
            Duration timeout,
            CallHandler handler);
  // Bytes of the responses that are being received, as far as their heads state
  // it.
  uint64_t MissingBytes() const { return m_missing_bytes; }
  // Closes idle connections; their peers may be gone without a reset.
  void CloseIdleConnections() { m_idle_connections.clear(); }

 private:
  // Above any response of the platform's store.
  static constexpr uint64_t kDefaultMaxResponseBytes = uint64_t{64} << 20;

  class Exchange;
  struct IdleConnection {
    std::unique_ptr<boost::asio::ip::tcp::socket> socket;
    TimePoint idle_since;
  };

  boost::asio::io_context& m_io;
  Duration m_connect_timeout;
  uint64_t m_max_response_bytes;
  uint64_t m_missing_bytes = 0;
  std::map<std::string, std::vector<IdleConnection>> m_idle_connections;
};

enum class ConnectResult : uint8_t {
  kAccepted,
  // The port is closed.
  kRefused,
  kTimedOut,
  // Any other error, which may be local.
  kFailed,
};
ConnectResult ToConnectResult(boost::system::error_code error);
// Connects to `address` and closes at once. A second attempt begins when the
// first has no result after `second_after`, since a SYN may be lost.
void TryConnect(boost::asio::io_context& io,
                const std::string& address,
                Duration timeout,
                Duration second_after,
                const std::function<void(ConnectResult)>& handler);

}  // namespace trefoilwick
