#include "gateway_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

using std::chrono::seconds;

constexpr unsigned kHttp11 = 11;
constexpr size_t kReadBufferBytes = 4096;
// Bytes of later requests that are buffered while one is in progress.
constexpr size_t kMaxPipelinedBytes = size_t{64} * 1024;
constexpr Duration kBodyTimeout = seconds(10);
// Time for a client to read the last response before the connection is closed.
constexpr Duration kLingerTimeout = seconds(1);
constexpr Duration kMaxUnacknowledgedTime = seconds(10);
// Value of a Retry-After header: other instances take the request now.
constexpr char kRetryAtOnce[] = "0";
// A connection that has been quiet for this time is closed when the instance
// stops. A request that arrived before has been read by then.
constexpr Duration kQuietTime = std::chrono::milliseconds(200);

// Bytes of later requests that a connection may buffer: less when most of the
// memory for clients is in use.
size_t MaxBufferedBytes(GatewayCore& core) {
  const size_t memory = core.settings().client_memory_bytes;
  const bool is_scarce =
      memory > 0 && core.client_budget().committed_bytes() > memory / 4 * 3;
  return is_scarce ? kReadBufferBytes : kMaxPipelinedBytes;
}

}  // namespace

ClientSession::ClientSession(GatewayCore& core,
                             tcp::socket socket,
                             ConnectionId id)
    : m_core(core), m_socket(std::move(socket)), m_timer(core.io()), m_id(id) {}

void ClientSession::Start() {
  SetSocketOptions(m_socket, kMaxUnacknowledgedTime);
  m_quiet_since = m_core.Now();
  SetTimer(m_core.limits().idle_timeout);
  Read();
}

void ClientSession::BeginRequest() {
  // The limits in force now: the connection may be older than these.
  const ClientLimits& limits = m_core.limits();
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(static_cast<uint32_t>(limits.max_header_bytes));
  m_parser->body_limit(limits.max_body_bytes);
  m_request_started = true;
  m_head_checked = false;
  m_request_start_time = m_core.Now();
  m_core.client_budget().SetPhase(m_request_start_time, m_id,
                                  ConnectionPhase::kReadingRequest);
  SetTimer(limits.header_timeout);
}

void ClientSession::SetTimer(Duration after) {
  m_timer.expires_after(after);
  m_timer.async_wait([self = shared_from_this()](error_code error) {
    if (error || self->m_closed || self->m_exchange)
      return;
    if (self->m_timer.expiry() > asio::steady_timer::clock_type::now())
      return;
    if (self->m_request_started && !self->m_lingering)
      self->Reject(408, "the request was not complete in time");
    else
      self->Close();
  });
}

void ClientSession::Read() {
  if (m_reading || m_closed || IsReadingPaused() || m_closed ||
      m_buffer.size() >
          (m_exchange ? MaxBufferedBytes(m_core) : kMaxPipelinedBytes))
    return;
  m_reading = true;
  m_socket.async_read_some(
      m_buffer.prepare(kReadBufferBytes),
      [self = shared_from_this()](error_code error, size_t count) {
        self->m_reading = false;
        if (self->m_closed)
          return;
        if (error)
          return self->OnReadError();
        self->m_buffer.commit(count);
        if (self->m_lingering)
          self->m_buffer.consume(self->m_buffer.size());
        else if (!self->m_exchange && self->m_write_queue.empty())
          self->Parse();
        self->HoldBuffers();
        self->Read();
      });
}

bool ClientSession::IsReadingPaused() {
  if (!m_request_started || !m_head_checked || m_exchange || m_lingering ||
      !m_parser)
    return false;
  const auto length = m_parser->content_length();
  const size_t read = m_parser->get().body().size();
  // A chunked body may grow up to the limit as soon as it is not small.
  const size_t body_bytes =
      length ? static_cast<size_t>(*length)
      : read + kReadBufferBytes <= ClientBudget::kSmallBodyBytes
          ? read
          : m_core.limits().max_body_bytes;
  const bool was_paused = std::exchange(m_paused, true);
  const ClientVerdict verdict = m_core.MayReadBody(*this, body_bytes);
  if (std::holds_alternative<Proceed>(verdict)) {
    m_paused = false;
    // The client could not send during the pause.
    if (was_paused)
      SetTimer(kBodyTimeout);
    return false;
  }
  if (std::holds_alternative<RefuseRequest>(verdict)) {
    m_paused = false;
    m_core.CountClientRefusal("body_refused");
    Reject(503, "there is no memory for the body");
    // The rest of the request is read and discarded.
    return false;
  }
  return true;
}

void ClientSession::ResumeReading() {
  const auto self = shared_from_this();
  Read();
}

void ClientSession::GiveUpBody() {
  const auto self = shared_from_this();
  if (m_request_started && !m_exchange && !m_lingering)
    Reject(408, "the request was not complete in time");
  else
    Close();
}

void ClientSession::Hold(BufferUse use, size_t bytes) {
  size_t& held = m_held[static_cast<size_t>(use)];
  if (m_closed || bytes == held)
    return;
  if (bytes > held)
    m_core.client_budget().Charge(m_core.Now(), m_id, use, bytes - held);
  else
    m_core.client_budget().Release(m_core.Now(), m_id, use, held - bytes);
  held = bytes;
}

void ClientSession::HoldBuffers() {
  Hold(BufferUse::kReceived, m_buffer.size());
  Hold(BufferUse::kBodyRead,
       m_parser && m_request_started ? m_parser->get().body().size() : 0);
}

bool ClientSession::RejectByHead() {
  const auto table = m_core.table();
  if (!table)
    return false;
  const auto request = m_core.dialect().ReadRequest(m_parser->get().base());
  if (!request.ok() || m_parser->get().count(http::field::host) != 1)
    return false;
  m_is_head_request = m_parser->get().method() == http::verb::head;
  const Route* route = table->FindRoute(request->host, request->target);
  if (route == nullptr) {
    Reject(404, "no route matches", request->attempt_id);
    return true;
  }
  if (table->requires_account() && !route->is_public &&
      table->FindAccount(request->api_key) == nullptr) {
    Reject(401, "the key is unknown", request->attempt_id);
    return true;
  }
  return false;
}

void ClientSession::OnReadError() {
  if (m_exchange)
    std::exchange(m_exchange, nullptr)->OnClientDisconnected();
  Close();
}

void ClientSession::Parse() {
  if (m_buffer.size() == 0 || m_closed || m_lingering)
    return;
  if (!m_request_started)
    BeginRequest();
  error_code error;
  while (m_buffer.size() > 0 && !m_parser->is_done()) {
    const size_t used = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(used);
    if (error && error != http::error::need_more)
      break;
    if (m_parser->is_header_done() && !m_head_checked) {
      m_head_checked = true;
      SetTimer(kBodyTimeout);
      if (!m_parser->is_done() && !m_core.TakesRequests())
        return RefuseForStop();
      if (!m_parser->is_done() && RejectByHead())
        return;
      if (m_parser->get()[http::field::expect] == "100-continue" &&
          !m_parser->is_done())
        Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (error == http::error::need_more || used == 0)
      return;
  }
  if (error == http::error::header_limit)
    return Reject(431, "the headers are too large");
  if (error == http::error::body_limit)
    return Reject(413, "the body is too large");
  if (error)
    return Reject(400, "the request is malformed");
  if (m_parser->is_done())
    OnRequest();
}

void ClientSession::OnRequest() {
  m_timer.cancel();
  m_paused = false;
  if (!m_core.TakesRequests())
    return RefuseForStop();
  auto request = m_parser->release();
  m_parser.reset();
  m_core.client_budget().SetPhase(m_core.Now(), m_id,
                                  ConnectionPhase::kInProgress);
  Hold(BufferUse::kBodyRead, 0);
  Hold(BufferUse::kBodyHeld, request.body().size() * ClientBudget::kBodyCopies);
  m_keep_alive = request.keep_alive();
  m_is_head_request = request.method() == http::verb::head;
  m_client_knows_chunks = request.version() >= kHttp11;
  m_response_ended = false;
  m_request_started = false;
  if (request.count(http::field::host) != 1)
    return Reject(400, "one Host header is needed");
  m_exchange = std::make_shared<Exchange>(m_core, *this, m_request_start_time);
  // Keeps the exchange alive when it responds within Begin().
  const auto exchange = m_exchange;
  RunStep(*exchange, [&](Exchange& begun) { begun.Begin(std::move(request)); });
}

void ClientSession::RefuseForStop() {
  const auto request = m_core.dialect().ReadRequest(m_parser->get().base());
  const std::string id = request.ok() ? request->attempt_id : "";
  m_is_head_request = m_parser->get().method() == http::verb::head;
  m_core.Log("refused_at_stop",
             {{"id", id}, {"whole", m_parser->is_done() ? "1" : "0"}});
  Reject(503, "the instance is shutting down", id, kRetryAtOnce);
}

void ClientSession::Reject(int status,
                           const char* reason,
                           const std::string& attempt_id,
                           const char* retry_after) {
  m_keep_alive = false;
  m_core.CountRejected(status);
  m_parser.reset();
  m_request_started = false;
  m_core.client_budget().SetPhase(m_core.Now(), m_id,
                                  ConnectionPhase::kInProgress);
  FullResponse response;
  if (status == 503)
    response.headers.set(http::field::retry_after, retry_after);
  if (!attempt_id.empty())
    m_core.dialect().AddLocalReplyHeaders(attempt_id, response.headers);
  response.status = status;
  response.headers.set(http::field::content_type, "application/problem+json");
  response.body =
      std::string(R"({"outcome":"not_run","detail":")") + reason + "\"}";
  SendFullResponse(response);
}

std::string ClientSession::HeadBytes(int status,
                                     HeaderFields headers,
                                     std::optional<size_t> length) const {
  http::response_header<> head(std::move(headers));
  head.version(kHttp11);
  head.result(static_cast<unsigned>(status));
  if (length)
    head.set(http::field::content_length, std::to_string(*length));
  else if (m_client_knows_chunks)
    head.set(http::field::transfer_encoding, "chunked");
  if (!m_keep_alive)
    head.set(http::field::connection, "close");
  std::ostringstream out;
  out << head;
  return out.str();
}

void ClientSession::SendFullResponse(const FullResponse& response) {
  if (m_core.draining())
    m_keep_alive = false;
  std::string bytes =
      HeadBytes(response.status, response.headers, response.body.size());
  if (!m_is_head_request)
    bytes += response.body;
  m_exchange = nullptr;
  m_response_ended = true;
  ReleaseBody();
  Write(std::move(bytes));
}

void ClientSession::ResetOnClose(bool reset) {
  error_code ignored;
  m_socket.set_option(asio::socket_base::linger(reset, 0), ignored);
}

void ClientSession::BeginResponse(int status, const HeaderFields& headers) {
  if (m_core.draining() || !m_client_knows_chunks)
    m_keep_alive = false;
  // The client takes an orderly end for that of the response.
  if (!m_client_knows_chunks)
    ResetOnClose(true);
  Write(HeadBytes(status, headers, std::nullopt));
}

void ClientSession::SendBodyPart(const std::string& bytes) {
  if (bytes.empty())
    return;
  if (!m_client_knows_chunks) {
    Write(bytes);
    return;
  }
  char size[24];
  const int length = snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  std::string chunk;
  chunk.reserve(bytes.size() + 24);
  chunk.append(size, static_cast<size_t>(length)).append(bytes).append("\r\n");
  Write(std::move(chunk));
}

void ClientSession::ReleaseBody() {
  HoldBuffers();
  Hold(BufferUse::kBodyHeld, 0);
  m_core.OnClientMemoryReleased();
}

void ClientSession::EndResponse() {
  ReleaseBody();
  m_exchange = nullptr;
  m_response_ended = true;
  Write(m_client_knows_chunks ? "0\r\n\r\n" : "");
}

void ClientSession::Write(std::string bytes) {
  if (m_closed)
    return;
  m_pending_bytes += bytes.size();
  Hold(BufferUse::kResponse, m_pending_bytes);
  m_write_queue.push_back(std::move(bytes));
  if (m_write_queue.size() == 1)
    WriteNext();
}

void ClientSession::WriteNext() {
  asio::async_write(
      m_socket, asio::buffer(m_write_queue.front()),
      [self = shared_from_this()](error_code error, size_t) {
        if (self->m_closed)
          return;
        if (error)
          return self->OnReadError();
        self->m_pending_bytes -= self->m_write_queue.front().size();
        self->m_write_queue.pop_front();
        self->Hold(BufferUse::kResponse, self->m_pending_bytes);
        if (!self->m_write_queue.empty())
          return self->WriteNext();
        if (self->m_exchange)
          RunStep(*self->m_exchange,
                  [](Exchange& exchange) { exchange.OnClientWritesFlushed(); });
        else if (self->m_response_ended)
          self->OnResponseWritten();
      });
}

void ClientSession::OnResponseWritten() {
  m_response_ended = false;
  if (!m_keep_alive) {
    StartLingeringClose();
    return;
  }
  m_quiet_since = m_core.Now();
  m_core.client_budget().SetPhase(m_core.Now(), m_id, ConnectionPhase::kIdle);
  SetTimer(m_core.limits().idle_timeout);
  Parse();
  HoldBuffers();
  Read();
}

void ClientSession::FinishForStop(TimePoint now) {
  if (m_closed || m_lingering || !idle())
    return;
  if (m_request_started) {
    if (m_head_checked)
      RefuseForStop();
    return;
  }
  error_code error;
  const bool has_unread_bytes = m_socket.available(error) > 0 && !error;
  if (now - m_quiet_since >= kQuietTime && !has_unread_bytes)
    StartLingeringClose();
}

void ClientSession::StartLingeringClose() {
  m_lingering = true;
  m_core.client_budget().SetPhase(m_core.Now(), m_id,
                                  ConnectionPhase::kClosing);
  if (!m_client_knows_chunks)
    ResetOnClose(false);
  error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  m_buffer.consume(m_buffer.size());
  SetTimer(kLingerTimeout);
  Read();
}

void ClientSession::Abort() {
  m_exchange = nullptr;
  Close();
}

void ClientSession::Close() {
  if (std::exchange(m_closed, true))
    return;
  m_timer.cancel();
  error_code ignored;
  m_socket.close(ignored);
  m_core.OnSessionClosed(this);
}

}  // namespace trefoilwick::detail
