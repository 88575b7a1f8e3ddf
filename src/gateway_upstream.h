// One request to one backend server: sends it and delivers the response as it
// arrives.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trefoilwick/event_stream.h"
#include "trefoilwick/gateway.h"

namespace trefoilwick::detail {

// Idle connections to servers, by server id.
class ConnectionPool {
 public:
  using Socket = std::unique_ptr<boost::asio::ip::tcp::socket>;
  // An idle connection that is open and has nothing to read, or null.
  Socket Take(const std::string& server, TimePoint now);
  void Put(const std::string& server,
           Socket socket,
           TimePoint now,
           std::optional<Duration> keep_alive);
  void Drop(const std::string& server) { m_idle.erase(server); }
  void Clear() { m_idle.clear(); }
  // Closes connections that have expired.
  void Sweep(TimePoint now);

 private:
  struct IdleConnection {
    Socket socket;
    TimePoint expires_at;
  };
  std::map<std::string, std::vector<IdleConnection>> m_idle;
};

// Receives the events of an UpstreamCall. Nothing is called after the terminal
// ones: connect failed, complete, broken, exception.
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;
  virtual void OnUpstreamConnectFailed(bool refused) = 0;
  // The connection is open and the first byte is about to be sent, unless the
  // call is cancelled now.
  virtual void OnUpstreamSendStarted() = 0;
  // The head of the response; the body follows. Not called for responses that
  // belong to another request.
  virtual void OnUpstreamHead(const ResponseHead& head) = 0;
  virtual void OnUpstreamBody(std::string bytes) = 0;
  // `ended_by_close` is true for a response that has neither a length nor
  // chunks and ended with its connection.
  virtual void OnUpstreamComplete(bool ended_by_close) = 0;
  // `closed_by_server` is true when the server closed the connection.
  virtual void OnUpstreamBroken(bool closed_by_server) = 0;
  // The listener, or the parser of the response, threw.
  virtual void OnUpstreamException(const std::string& what) = 0;
};

class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
 public:
  UpstreamCall(boost::asio::io_context& io,
               const WireDialect& dialect,
               ConnectionPool& pool,
               UpstreamListener* listener);
  // `reuse` allows an idle connection. `bytes` is the whole request.
  void Start(const BackendServer& server,
             const std::string& attempt_id,
             bool is_head,
             std::string bytes,
             bool reuse);
  // True when the server closed the connection, of which the listener was not
  // told yet.
  bool IsClosedByServer();
  // Closes the connection; the listener is not called any more.
  void Cancel();
  // Pauses and resumes reading, for a client that is slower than the server.
  void Pause() { m_paused = true; }
  void Unpause();
  // True when bytes were sent, or may have been.
  bool send_started() const { return m_send_started; }
  // True when the request was sent on a connection of an earlier one.
  bool is_connection_reused() const { return m_connection_reused; }
  // What broke the response: an error of the parser or of the connection. None
  // when the listener or a limit did.
  boost::system::error_code error() const { return m_error; }

 private:
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  void Send();
  void Read();
  void OnBytes(size_t count);
  // Feeds the parser; false when the call is over.
  bool Parse();
  // False when the call was broken off because the server sent too much.
  bool IsWithinLimits();
  // True when bytes of a head, chunk header or trailer wait for the rest of it.
  bool IsElementPending() const;
  void DeliverBody();
  void OnHeadParsed();
  void OnReadError(boost::system::error_code read_error);
  void Complete();
  void ReportBroken(bool closed_by_server = false);
  void NewParser();
  // Runs a step of the call. An exception ends the call and no other.
  template <typename Step>
  void RunStep(Step step);

  boost::asio::io_context& m_io;
  const WireDialect& m_dialect;
  ConnectionPool& m_pool;
  UpstreamListener* m_listener;
  std::string m_server;
  std::string m_attempt_id;
  std::string m_request_bytes;
  bool m_is_head = false;
  bool m_send_started = false;
  bool m_connection_reused = false;
  bool m_finished = false;
  bool m_paused = false;
  bool m_reading = false;
  bool m_head_received = false;
  bool m_request_written = false;
  // The response being read belongs to an earlier request.
  bool m_discarding_response = false;
  size_t m_discarded_bytes = 0;
  boost::system::error_code m_error;
  ConnectionFailure m_failure;
  EndlessElementDetector m_endless_element;
  std::optional<Duration> m_keep_alive;
  bool m_server_is_leaving = false;
  std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
  boost::asio::steady_timer m_connect_timer;
  boost::beast::flat_buffer m_buffer;
  std::optional<ResponseParser> m_parser;
};

}  // namespace trefoilwick::detail
