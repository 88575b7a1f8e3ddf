#include "trefoilwick/http_call.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <time.h>

#include <cctype>
#include <charconv>
#include <string_view>

namespace trefoilwick {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

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

bool IsClosedByPeer(tcp::socket& socket, ConnectionFailure& failure) {
  const error_code result = Peek(socket);
  failure.Record(result);
  return IsClosedByPeer(failure.Explain(result));
}

}  // namespace trefoilwick
