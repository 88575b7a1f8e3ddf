#include "gateway_upstream.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace trefoilwick::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

using std::chrono::milliseconds;

// How long a connection is kept when its server states no keep-alive time, and
// the margin before the time that it states.
constexpr Duration kDefaultIdleTime = std::chrono::seconds(3);
constexpr Duration kKeepAliveMargin = milliseconds(800);
constexpr size_t kMaxIdleConnectionsPerServer = 16;
// Longer than a round trip between data centers, shorter than the
// retransmission timeout of a lost SYN.
constexpr Duration kConnectTimeout = milliseconds(300);
constexpr Duration kMaxUnacknowledgedTime = std::chrono::seconds(3);
constexpr size_t kReadBufferBytes = 8192;
constexpr uint32_t kMaxResponseHeadBytes = 64 * 1024;
// Bytes of a response that may wait for the rest of a chunk header or trailer.
constexpr size_t kMaxUnparsedBytes = size_t{64} * 1024;
// The end of a chunk is parsed together with the header of the next one.
constexpr size_t kChunkEndBytes = 2;
// Bytes of late responses to other requests that are skipped before the
// response.
constexpr size_t kMaxDiscardedBytes = size_t{1} << 20;

}  // namespace

ConnectionPool::Socket ConnectionPool::Take(const std::string& server,
                                            TimePoint now) {
  const auto found = m_idle.find(server);
  if (found == m_idle.end())
    return nullptr;
  auto& idle = found->second;
  while (!idle.empty()) {
    IdleConnection last = std::move(idle.back());
    idle.pop_back();
    if (last.expires_at <= now)
      continue;
    if (IsReusableConnection(*last.socket))
      return std::move(last.socket);
  }
  return nullptr;
}

void ConnectionPool::Put(const std::string& server,
                         Socket socket,
                         TimePoint now,
                         std::optional<Duration> keep_alive) {
  auto& idle = m_idle[server];
  const Duration idle_time =
      keep_alive ? *keep_alive - kKeepAliveMargin : kDefaultIdleTime;
  if (idle.size() >= kMaxIdleConnectionsPerServer || idle_time <= Duration(0))
    return;
  idle.push_back({std::move(socket), now + idle_time});
}

void ConnectionPool::Sweep(TimePoint now) {
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    std::erase_if(it->second, [&](const IdleConnection& idle) {
      return idle.expires_at <= now;
    });
    it = it->second.empty() ? m_idle.erase(it) : std::next(it);
  }
}

UpstreamCall::UpstreamCall(asio::io_context& io,
                           const WireDialect& dialect,
                           ConnectionPool& pool,
                           UpstreamListener* listener)
    : m_io(io),
      m_dialect(dialect),
      m_pool(pool),
      m_listener(listener),
      m_connect_timer(io) {}

void UpstreamCall::Start(const BackendServer& server,
                         const std::string& attempt_id,
                         bool is_head,
                         std::string bytes,
                         bool reuse) {
  m_server = server.id;
  m_attempt_id = attempt_id;
  m_is_head = is_head;
  m_request_bytes = std::move(bytes);
  if (reuse)
    m_socket = m_pool.Take(m_server, BootClock().Now());
  if (m_socket) {
    m_connection_reused = true;
    Send();
    return;
  }
  const auto endpoint = ParseEndpoint(server.address);
  if (endpoint) {
    Connect(*endpoint);
    return;
  }
  asio::post(m_io, [self = shared_from_this()] {
    if (!std::exchange(self->m_finished, true))
      self->m_listener->OnUpstreamConnectFailed(false);
  });
}

template <typename Step>
void UpstreamCall::RunStep(Step step) {
  try {
    step();
  } catch (const std::exception& error) {
    Cancel();
    m_listener->OnUpstreamException(error.what());
  }
}

void UpstreamCall::Connect(const tcp::endpoint& endpoint) {
  m_socket = std::make_unique<tcp::socket>(m_io);
  m_connect_timer.expires_after(kConnectTimeout);
  m_connect_timer.async_wait([self = shared_from_this()](error_code error) {
    if (error || self->m_send_started || self->m_finished)
      return;
    self->m_finished = true;
    error_code ignored;
    self->m_socket->close(ignored);
    self->m_listener->OnUpstreamConnectFailed(false);
  });
  m_socket->async_connect(
      endpoint, [self = shared_from_this()](error_code error) {
        if (self->m_finished)
          return;
        self->m_connect_timer.cancel();
        if (!error) {
          SetSocketOptions(*self->m_socket, kMaxUnacknowledgedTime);
          self->RunStep([&] { self->Send(); });
          return;
        }
        self->m_finished = true;
        self->m_listener->OnUpstreamConnectFailed(
            error == asio::error::connection_refused ||
            error == asio::error::connection_reset);
      });
}

void UpstreamCall::Send() {
  // The listener may drop this call.
  const auto self = shared_from_this();
  m_send_started = true;
  m_listener->OnUpstreamSendStarted();
  if (m_finished)
    return;
  asio::async_write(*m_socket, asio::buffer(m_request_bytes),
                    [self = shared_from_this()](error_code error, size_t) {
                      if (self->m_finished)
                        return;
                      // The read may still find an early response.
                      self->m_request_written = !error;
                      self->m_failure.Record(error);
                      // A body may be large, and its response may take long.
                      std::string().swap(self->m_request_bytes);
                    });
  NewParser();
  Read();
}

void UpstreamCall::NewParser() {
  m_parser.emplace(ResponseOptions{.max_head_bytes = kMaxResponseHeadBytes,
                                   .has_body = !m_is_head});
  m_head_received = false;
  m_discarding_response = false;
}

void UpstreamCall::Read() {
  if (m_reading || m_finished || m_paused)
    return;
  m_reading = true;
  m_socket->async_read_some(
      m_buffer.prepare(kReadBufferBytes),
      [self = shared_from_this()](error_code error, size_t count) {
        self->m_reading = false;
        if (self->m_finished)
          return;
        self->RunStep([&] {
          if (error)
            self->OnReadError(error);
          else
            self->OnBytes(count);
        });
      });
}

void UpstreamCall::OnBytes(size_t count) {
  m_buffer.commit(count);
  const size_t bytes_to_parse = m_buffer.size();
  if (!Parse())
    return;
  const bool completed =
      m_parser->is_header_done() && m_buffer.size() < bytes_to_parse;
  if (m_endless_element.OnBytes(completed, IsElementPending(),
                                BootClock().Now()))
    Read();
  else
    ReportBroken();
}

bool UpstreamCall::IsElementPending() const {
  if (!m_parser->is_header_done())
    return m_parser->got_some() || m_buffer.size() > 0;
  return m_buffer.size() > kChunkEndBytes;
}

bool UpstreamCall::Parse() {
  while (!m_finished && m_buffer.size() > 0) {
    error_code error;
    const size_t used = m_parser->Put(m_buffer.data(), error);
    m_buffer.consume(used);
    if (m_parser->is_header_done() && !m_head_received)
      OnHeadParsed();
    if (m_finished)
      return false;
    if (m_discarding_response)
      m_discarded_bytes += used;
    DeliverBody();
    if (m_finished)
      return false;
    if (m_parser->is_done()) {
      Complete();
      if (m_finished)
        return false;
      continue;
    }
    if (error == http::error::need_more)
      return IsWithinLimits();
    if (error) {
      m_error = error;
      ReportBroken();
      return false;
    }
    if (used == 0)
      return IsWithinLimits();
  }
  return !m_finished && IsWithinLimits();
}

// A faulty server may send without end.
bool UpstreamCall::IsWithinLimits() {
  if (m_buffer.size() <= kMaxUnparsedBytes &&
      m_discarded_bytes <= kMaxDiscardedBytes)
    return true;
  ReportBroken();
  return false;
}

void UpstreamCall::OnHeadParsed() {
  m_head_received = true;
  const ResponseHead head = m_dialect.ReadResponse(m_parser->head());
  m_discarding_response =
      !head.attempt_id.empty() && head.attempt_id != m_attempt_id;
  if (m_discarding_response)
    return;
  // Servers echo the id. Without it this may be a late copy of the answer to an
  // earlier request on this connection.
  if (m_connection_reused && head.attempt_id != m_attempt_id) {
    ReportBroken();
    return;
  }
  m_keep_alive = head.keep_alive;
  m_server_is_leaving = head.is_leaving;
  m_listener->OnUpstreamHead(head);
}

void UpstreamCall::DeliverBody() {
  std::string& body = m_parser->body();
  if (body.empty())
    return;
  if (m_discarding_response || !m_head_received) {
    body.clear();
    return;
  }
  m_listener->OnUpstreamBody(std::exchange(body, {}));
}

// A write that failed before the read has been handled before it: handlers run
// in the order in which their operations ended.
void UpstreamCall::OnReadError(error_code read_error) {
  const error_code error = m_failure.Explain(read_error);
  if (error == asio::error::eof && m_head_received && !m_discarding_response) {
    // A response without a length ends with its connection.
    error_code end_error;
    m_parser->PutEof(end_error);
    if (!end_error && m_parser->is_done()) {
      DeliverBody();
      if (!m_finished)
        Complete();
      return;
    }
  }
  m_error = error;
  ReportBroken(IsClosedByPeer(error));
}

void UpstreamCall::Complete() {
  if (m_discarding_response) {
    if (!m_parser->keep_alive()) {
      ReportBroken();
      return;
    }
    NewParser();
    return;
  }
  m_finished = true;
  const bool keep = m_parser->keep_alive() && m_request_written &&
                    !m_server_is_leaving && m_buffer.size() == 0;
  if (keep)
    m_pool.Put(m_server, std::move(m_socket), BootClock().Now(), m_keep_alive);
  m_listener->OnUpstreamComplete(m_parser->need_eof());
}

void UpstreamCall::ReportBroken(bool closed_by_server) {
  m_finished = true;
  error_code ignored;
  m_socket->close(ignored);
  m_listener->OnUpstreamBroken(closed_by_server);
}

bool UpstreamCall::IsClosedByServer() {
  return m_socket && IsClosedByPeer(*m_socket, m_failure);
}

void UpstreamCall::Cancel() {
  if (m_finished)
    return;
  m_finished = true;
  m_connect_timer.cancel();
  if (m_socket) {
    error_code ignored;
    m_socket->close(ignored);
  }
}

void UpstreamCall::Unpause() {
  if (!std::exchange(m_paused, false))
    return;
  Read();
}

}  // namespace trefoilwick::detail
