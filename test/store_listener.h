// A minimal HTTP listener in front of a FakeStore, for contract tests. It
// implements the protocol of docs/design.md, section 10, and can inject faults.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "trefoilwick/platform.h"

namespace trefoilwick {

enum class ListenerFault : uint8_t {
  kNone,
  // Applies the request and closes the connection without a response.
  kCloseAfterApply,
  // Closes the connection without applying the request.
  kCloseBeforeApply,
  // Applies the request and does not respond.
  kHangAfterApply,
  // Neither applies the request nor responds.
  kHangBeforeApply,
  // Applies the request and responds with 200 and a body that is not JSON.
  kGarbageBody,
  // Applies the request and responds with bytes that are not HTTP.
  kGarbageBytes,
  // Applies the request and sends an endless body one byte at a time.
  kTrickle,
  // Applies the request and closes the connection within the body.
  kTruncate,
  // Applies the request and responds with 500.
  kError,
  // Applies the request and responds with 503 without stating whether it did.
  kStatus503WithoutOutcome,
  // Responds with 503 and {"applied": false}; does not apply the request.
  kRefused503,
  // Applies the request and responds with 409 without a reason.
  kStatus409WithoutReason,
};

class StoreListener {
 public:
  StoreListener()
      : m_acceptor(m_context,
                   {boost::asio::ip::make_address_v4("127.0.0.1"), 0}),
        m_url("http://127.0.0.1:" +
              std::to_string(m_acceptor.local_endpoint().port())) {
    m_accept_thread = std::thread([this] { Accept(); });
  }
  StoreListener(const StoreListener&) = delete;
  StoreListener& operator=(const StoreListener&) = delete;
  ~StoreListener() { Stop(); }

  FakeStore& store() { return m_store; }
  const std::string& url() const { return m_url; }
  int connections() const { return m_connections; }
  void SetFault(ListenerFault fault) { m_fault = fault; }
  void SetInstances(std::string json) { m_instances = std::move(json); }

  // Closes every connection and the port; later connections are refused.
  void Stop() {
    if (m_stopped.exchange(true))
      return;
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_accept_thread.join();
    m_acceptor.close();
    {
      std::lock_guard lock(m_mutex);
      for (Connection& connection : m_open_connections)
        ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
    }
    for (Connection& connection : m_open_connections)
      connection.thread.join();
  }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;
  using Json = nlohmann::json;

  struct Connection {
    Tcp::socket socket;
    std::thread thread;
  };

  void Accept() {
    while (true) {
      boost::system::error_code error;
      Tcp::socket socket(m_context);
      m_acceptor.accept(socket, error);
      if (error)
        return;
      ++m_connections;
      std::lock_guard lock(m_mutex);
      m_open_connections.push_back({std::move(socket), {}});
      Connection& connection = m_open_connections.back();
      connection.thread =
          std::thread([this, &connection] { Serve(connection.socket); });
    }
  }

  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!error) {
      Request request;
      boost::beast::http::read(socket, buffer, request, error);
      if (error || !Respond(socket, request))
        break;
    }
    ::shutdown(socket.native_handle(), SHUT_RDWR);
  }

  // Returns false when the connection is to be closed.
  bool Respond(Tcp::socket& socket, const Request& request) {
    const ListenerFault fault = m_fault;
    if (fault == ListenerFault::kCloseBeforeApply)
      return false;
    if (fault == ListenerFault::kHangBeforeApply) {
      WaitForStop();
      return false;
    }
    if (fault == ListenerFault::kRefused503)
      return Write(socket, MakeResponse(503, R"({"applied": false})"));
    const Response response = Handle(request);
    switch (fault) {
      case ListenerFault::kCloseAfterApply:
        return false;
      case ListenerFault::kHangAfterApply:
        WaitForStop();
        return false;
      case ListenerFault::kGarbageBody:
        return Write(socket, MakeResponse(200, "<html>"));
      case ListenerFault::kGarbageBytes:
        WriteBytes(socket, "%%% not HTTP %%%\r\n\r\n");
        return false;
      case ListenerFault::kTrickle:
        return Trickle(socket);
      case ListenerFault::kTruncate:
        WriteBytes(socket,
                   "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"ver");
        return false;
      case ListenerFault::kError:
        return Write(socket, MakeResponse(500, "internal error"));
      case ListenerFault::kStatus503WithoutOutcome:
        return Write(socket, MakeResponse(503, "try later"));
      case ListenerFault::kStatus409WithoutReason:
        return Write(socket, MakeResponse(409, "{}"));
      default:
        return Write(socket, response);
    }
  }

  static Response MakeResponse(int status, const std::string& body) {
    Response response;
    response.result(static_cast<unsigned>(status));
    response.body() = body;
    response.prepare_payload();
    return response;
  }

  static bool Write(Tcp::socket& socket, const Response& response) {
    boost::system::error_code error;
    boost::beast::http::write(socket, response, error);
    return !error;
  }

  static bool WriteBytes(Tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    return !error;
  }

  bool Trickle(Tcp::socket& socket) {
    bool open = WriteBytes(
        socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    while (open && !m_stopped) {
      open = WriteBytes(socket, " ");
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  void WaitForStop() const {
    while (!m_stopped)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  static std::string PercentDecode(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%') {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  static std::string QueryValue(const std::string& query,
                                const std::string& name) {
    const size_t start = ("&" + query).find("&" + name + "=");
    if (start == std::string::npos)
      return "";
    const size_t value = start + name.size() + 1;
    return PercentDecode(query.substr(value, query.find('&', value) - value));
  }

  static Response MakeErrorResponse(const absl::Status& status) {
    switch (status.code()) {
      case absl::StatusCode::kNotFound:
        return MakeResponse(404, "{}");
      case absl::StatusCode::kFailedPrecondition:
        return MakeResponse(409, R"({"failed": ["check"]})");
      default:
        return MakeResponse(500, "{}");
    }
  }

  Response Handle(const Request& request) {
    const std::string target(request.target());
    const size_t question = target.find('?');
    const std::string path = target.substr(0, question);
    if (path == "/transact")
      return Transact(Json::parse(request.body()));
    if (path == "/instances")
      return MakeResponse(200, m_instances);
    if (path.rfind("/objects/", 0) == 0)
      return HandleObject(request, PercentDecode(path.substr(9)));
    const size_t rows = path.find("/rows");
    const std::string table = PercentDecode(path.substr(8, rows - 8));
    if (question != std::string::npos)
      return Scan(table, target.substr(question + 1));
    const auto row = m_store.Get(table, PercentDecode(path.substr(rows + 6)));
    if (!row.ok())
      return MakeErrorResponse(row.status());
    return MakeResponse(
        200, Json{{"value", row->value}, {"version", row->version}}.dump());
  }

  Response Transact(const Json& json) {
    StoreTransaction transaction;
    for (const Json& check : json.at("checks")) {
      transaction.checks.push_back(
          {check.at("table"), check.at("key"), check.at("version")});
    }
    for (const Json& put : json.at("puts")) {
      transaction.puts.push_back({put.at("table"), put.at("key"),
                                  put.value("value", ""),
                                  put.value("erase", false)});
    }
    const auto versions = m_store.Transact(transaction);
    if (!versions.ok())
      return MakeErrorResponse(versions.status());
    return MakeResponse(200, Json{{"versions", *versions}}.dump());
  }

  Response Scan(const std::string& table, const std::string& query) {
    const auto rows = m_store.Scan(table, QueryValue(query, "prefix"),
                                   QueryValue(query, "after"),
                                   std::stoi(QueryValue(query, "limit")));
    Json json = Json::array();
    for (const StoreRow& row : *rows) {
      json.push_back(
          {{"key", row.key}, {"value", row.value}, {"version", row.version}});
    }
    return MakeResponse(200, Json{{"rows", json}}.dump());
  }

  Response HandleObject(const Request& request, const std::string& name) {
    if (request.method() == boost::beast::http::verb::get) {
      const auto bytes = m_store.GetObject(name);
      return bytes.ok() ? MakeResponse(200, *bytes)
                        : MakeErrorResponse(bytes.status());
    }
    const bool if_absent = request.count("If-None-Match") != 0;
    const absl::Status status =
        m_store.PutObject(name, request.body(), if_absent);
    return MakeResponse(status.ok() ? 201 : 412, "");
  }

  FakeStore m_store;
  boost::asio::io_context m_context;
  Tcp::acceptor m_acceptor;
  std::string m_url;
  std::string m_instances = R"({"version": 0, "instances": []})";
  std::atomic<ListenerFault> m_fault{ListenerFault::kNone};
  std::atomic<bool> m_stopped{false};
  std::atomic<int> m_connections{0};
  std::mutex m_mutex;
  std::list<Connection> m_open_connections;
  std::thread m_accept_thread;
};

}  // namespace trefoilwick
