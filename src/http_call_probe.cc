// Probes of addresses by connecting to them.
#include <boost/asio/post.hpp>

#include "trefoilwick/http_call.h"

namespace trefoilwick {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Duration kLateResultGraceTime = std::chrono::milliseconds(5);

}  // namespace

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
