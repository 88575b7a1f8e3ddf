// Requests, responses and a configuration for tests of a gateway.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "gateway_harness.h"

namespace trefoilwick {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline std::string MakeResponse(const std::string& status,
                                const std::string& extra,
                                const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nAttempt-Id: a1\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string MakeSealedResponse(const std::string& body) {
  return MakeResponse("200 OK", "Server-Seal: s\r\n", body);
}

inline constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string MakeChunk(const std::string& bytes) {
  char size[16];
  snprintf(size, sizeof size, "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}

inline std::string MakeEvent(int id) {
  return "id: " + std::to_string(id) + "\ndata: " + std::string(20, 'x') +
         "\n\n";
}

// First digits of the ids of the events in a response, in order.
inline std::string EventIds(const std::string& response) {
  std::string ids;
  for (size_t at = response.find("id: "); at != std::string::npos;
       at = response.find("id: ", at + 1))
    ids += response[at + 4];
  return ids;
}

inline Route MakeRoute(const std::string& prefix,
                       RouteKind kind,
                       int attempts) {
  Route route;
  route.name = prefix;
  route.host = "a.example";
  route.prefix = prefix;
  route.kind = kind;
  route.max_attempts = attempts;
  route.timeout = seconds(2);
  route.latency_target = milliseconds(200);
  route.event_interval_target = milliseconds(200);
  route.resumable = kind == RouteKind::kStream;
  route.services = {{"desk", 1}};
  return route;
}

inline std::shared_ptr<const RouteTable> MakeTable(
    const std::vector<Route>& routes) {
  Service desk;
  desk.name = "desk";
  ClientAccount club;
  club.name = "club";
  club.keys = {"k1"};
  ClientLimits limits;
  limits.max_header_bytes = 4096;
  limits.max_body_bytes = 10'000;
  RouteTable::Builder builder(1);
  builder.AddService(desk).AddAccount(club).SetLimits(limits);
  for (const Route& route : routes)
    builder.AddRoute(route);
  return std::make_shared<const RouteTable>(builder.Build());
}

inline std::shared_ptr<const RouteTable> MakeTable() {
  return MakeTable({MakeRoute("/get/", RouteKind::kIdempotent, 2),
                    MakeRoute("/post/", RouteKind::kNonIdempotent, 1),
                    MakeRoute("/stream/", RouteKind::kStream, 2),
                    MakeRoute("/single/", RouteKind::kStream, 1)});
}

inline std::string Request(const std::string& line,
                           const std::string& extra = "",
                           const std::string& body = "",
                           milliseconds deadline = seconds(2)) {
  std::string out = line +
                    " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n"
                    "Credential: k1\r\nDeadline-Ms: " +
                    std::to_string(deadline.count()) + "\r\n" + extra;
  if (!body.empty())
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "Connection: close\r\n\r\n" + body;
}

inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A connection of a client that stays open between requests.
class ClientConnection {
 public:
  explicit ClientConnection(const std::string& address) : m_socket(m_io) {
    m_socket.connect(*ParseEndpoint(address));
  }

  void Send(const std::string& line,
            const std::string& attempt_id,
            const std::string& body = "") {
    asio::write(m_socket,
                asio::buffer(line +
                             " HTTP/1.1\r\nHost: a.example\r\n"
                             "Credential: k1\r\nDeadline-Ms: 2000\r\n"
                             "Attempt-Id: " +
                             attempt_id + "\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body));
  }

  void SendBytes(const std::string& bytes) {
    asio::write(m_socket, asio::buffer(bytes));
  }

  // Reads what arrives within `time`.
  std::string ReadFor(std::chrono::milliseconds time) {
    std::string out;
    asio::steady_timer timer(m_io, time);
    timer.async_wait(
        [&](const boost::system::error_code&) { m_socket.cancel(); });
    asio::async_read(
        m_socket, asio::dynamic_buffer(out),
        [&](const boost::system::error_code&, size_t) { timer.cancel(); });
    m_io.restart();
    m_io.run();
    return out;
  }

 private:
  asio::io_context m_io;
  tcp::socket m_socket;
};

// Response to any request, without an id.
inline std::string MakeAnonymousResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Starts a gateway that knows this configuration and these servers.
inline void StartGateway(
    GatewayHarness& harness,
    const std::vector<ScriptedServer*>& servers,
    const std::shared_ptr<const RouteTable>& table = MakeTable()) {
  harness.store().table = table;
  for (size_t i = 0; i < servers.size(); ++i)
    harness.AddServer("i-" + std::to_string(i), "desk", servers[i]->address());
  harness.Start();
}

// Sends `first` to the first request of all servers that have a copy of the
// handler, and "done" to others.
inline ScriptedServer::Handler AnswerFirstWith(const std::string& first) {
  const auto calls = std::make_shared<std::atomic<int>>(0);
  return [calls, first](const std::string&) {
    return ScriptedResponse{++*calls == 1 ? first : MakeSealedResponse("done")};
  };
}

// Response of a gateway with two servers; both send `first` to their first
// request and "done" to others.
struct Answer {
  std::string response;
  size_t sends = 0;
};

inline Answer CallWithFirstAnswer(const std::string& line,
                                  const std::string& first) {
  const ScriptedServer::Handler handler = AnswerFirstWith(first);
  ScriptedServer one(handler);
  ScriptedServer two(handler);
  GatewayHarness harness;
  StartGateway(harness, {&one, &two});
  Answer answer;
  answer.response = harness.CallAsClient(Request(line, "", "b"));
  answer.sends = one.requests().size() + two.requests().size();
  return answer;
}

}  // namespace trefoilwick
