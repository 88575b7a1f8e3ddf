// A client connection: reads requests, writes responses and detects when the
// client disconnects.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "trefoilwick/client_budget.h"
#include "trefoilwick/gateway.h"

namespace trefoilwick::detail {

class GatewayCore;
class Exchange;

// A response that is complete from the start.
struct FullResponse {
  int status = 503;
  HeaderFields headers;
  std::string body;
};

class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(GatewayCore& core,
                boost::asio::ip::tcp::socket socket,
                ConnectionId id);
  ConnectionId id() const { return m_id; }
  void Start();
  void SendFullResponse(const FullResponse& response);
  // Begins a response whose body follows in parts: in chunks, or up to the end
  // of the connection for a client that knows no chunks.
  void BeginResponse(int status, const HeaderFields& headers);
  void SendBodyPart(const std::string& bytes);
  void EndResponse();
  // Closes the connection within a response, which shows the client that it is
  // incomplete.
  void Abort();
  // Bytes that wait to be sent to the client.
  size_t PendingBytes() const { return m_pending_bytes; }
  bool idle() const { return !m_exchange && m_write_queue.empty(); }
  // Called every tick while the instance takes no requests: refuses a request
  // whose body is being read, and closes the connection when it is quiet.
  void FinishForStop(TimePoint now);
  void Close();
  // Reads on after a pause, when the budget for clients allows it.
  void ResumeReading();
  // Ends a request that is being read, whose memory is needed for others.
  void GiveUpBody();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  // Value of a Retry-After header, in seconds: stalled bodies are given up
  // within this time.
  static constexpr char kDefaultRetryAfter[] = "1";
  // Prepares to read the next request.
  void BeginRequest();
  void Read();
  void OnReadError();
  void Parse();
  void OnRequest();
  void Reject(int status,
              const char* reason,
              const std::string& attempt_id = "",
              const char* retry_after = kDefaultRetryAfter);
  // Releases the body of the request whose response is complete.
  void ReleaseBody();
  void Write(std::string bytes);
  void WriteNext();
  void OnResponseWritten();
  void StartLingeringClose();
  // True when a body is being read, and reading must pause now or has ended.
  bool IsReadingPaused();
  // Answers a request that its head alone decides; false when there is none.
  bool RejectByHead();
  // Refuses the request being read, whose head is known, because the instance
  // stops.
  void RefuseForStop();
  // Sets what a buffer holds in the budget for clients.
  void Hold(BufferUse use, size_t bytes);
  void HoldBuffers();
  void SetTimer(Duration after);
  // `length` is that of the body, null when its parts follow.
  std::string HeadBytes(int status,
                        HeaderFields headers,
                        std::optional<size_t> length) const;
  // Chooses whether the connection is reset or ended in order when it is
  // closed, also by the end of the process.
  void ResetOnClose(bool reset);

  GatewayCore& m_core;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  std::shared_ptr<Exchange> m_exchange;
  TimePoint m_request_start_time;
  // When the connection was opened, or the last response was written.
  TimePoint m_quiet_since;
  std::deque<std::string> m_write_queue;
  size_t m_pending_bytes = 0;
  ConnectionId m_id;
  std::array<size_t, kBufferUses> m_held{};
  bool m_paused = false;
  bool m_reading = false;
  bool m_request_started = false;
  bool m_head_checked = false;
  bool m_keep_alive = true;
  bool m_response_ended = false;
  bool m_lingering = false;
  bool m_closed = false;
  bool m_is_head_request = false;
  // False for HTTP/1.0.
  bool m_client_knows_chunks = true;
};

}  // namespace trefoilwick::detail
