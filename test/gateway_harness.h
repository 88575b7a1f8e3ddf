// A gateway on loopback with an in-memory store and scripted servers.
#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "dialect.h"
#include "trefoilwick/gateway.h"

namespace trefoilwick {

namespace asio = boost::asio;
using asio::ip::tcp;

// Response of a scripted server to one request.
struct ScriptedResponse {
  std::string bytes;
  bool close = true;
  // Reset the connection instead of closing it.
  bool reset = false;
  // How long to wait for the other side to close first.
  std::chrono::milliseconds max_wait_for_close{0};
  // Bytes that are written again and again until the other side closes.
  std::string endless = {};
  // Time between two writes of `endless`.
  std::chrono::milliseconds endless_pause{0};
  // Written after `bytes`, each after a pause.
  std::vector<std::string> parts = {};
  std::chrono::milliseconds parts_pause{0};
  // Closes the port before the response; the connection stays open.
  bool stop_listening = false;
};

// Serves one connection at a time with the responses of a handler.
class ScriptedServer {
 public:
  using Handler = std::function<ScriptedResponse(const std::string& request)>;

  explicit ScriptedServer(Handler handler)
      : m_handler(std::move(handler)),
        m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_endpoint(m_acceptor.local_endpoint()),
        m_thread([this] { Run(); }) {}
  ~ScriptedServer() {
    m_stop = true;
    // Unblocks the accept call.
    tcp::socket socket(m_io);
    boost::system::error_code ignored;
    socket.connect(m_endpoint, ignored);
    socket.close(ignored);
    m_thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_endpoint.port());
  }
  std::vector<std::string> requests() const {
    std::lock_guard lock(m_mutex);
    return m_requests;
  }
  // Bytes written of endless responses.
  size_t endless_bytes() const { return m_endless_bytes; }
  // True when the client closed the connection while the server waited for it.
  bool peer_closed() const { return m_peer_closed; }

 private:
  void Run() {
    while (!m_stop && m_acceptor.is_open()) {
      boost::system::error_code error;
      tcp::socket socket(m_io);
      m_acceptor.accept(socket, error);
      if (!error && !m_stop)
        Serve(std::move(socket));
    }
  }

  void Serve(tcp::socket socket) {
    std::string buffer;
    boost::system::error_code error;
    while (!m_stop) {
      const size_t head = asio::read_until(socket, asio::dynamic_buffer(buffer),
                                           "\r\n\r\n", error);
      if (error)
        return;
      size_t length = 0;
      const size_t at = buffer.find("Content-Length: ");
      if (at < head)
        length = std::stoul(buffer.substr(at + 16));
      while (buffer.size() < head + length && !error)
        asio::read(socket, asio::dynamic_buffer(buffer),
                   asio::transfer_at_least(1), error);
      const std::string request = buffer.substr(0, head + length);
      buffer.erase(0, head + length);
      {
        std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
      }
      const ScriptedResponse script = m_handler(request);
      if (script.stop_listening)
        m_acceptor.close(error);
      asio::write(socket, asio::buffer(script.bytes), error);
      for (const std::string& part : script.parts) {
        std::this_thread::sleep_for(script.parts_pause);
        asio::write(socket, asio::buffer(part), error);
      }
      while (!script.endless.empty() && !error && !m_stop) {
        m_endless_bytes +=
            asio::write(socket, asio::buffer(script.endless), error);
        std::this_thread::sleep_for(script.endless_pause);
      }
      WaitForPeerClose(socket, script.max_wait_for_close);
      if (script.reset)
        socket.set_option(asio::socket_base::linger(true, 0), error);
      if (script.close || script.reset)
        return;
    }
  }

  void WaitForPeerClose(tcp::socket& socket,
                        std::chrono::milliseconds max_wait) {
    socket.non_blocking(true);
    for (auto waited = std::chrono::milliseconds(0); waited < max_wait;
         waited += std::chrono::milliseconds(10)) {
      char byte;
      boost::system::error_code error;
      socket.receive(asio::buffer(&byte, 1), 0, error);
      if (error != asio::error::would_block) {
        m_peer_closed = true;
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    socket.non_blocking(false);
  }

  Handler m_handler;
  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_endpoint;
  std::atomic<bool> m_stop{false};
  std::atomic<bool> m_peer_closed{false};
  std::atomic<size_t> m_endless_bytes{0};
  mutable std::mutex m_mutex;
  std::vector<std::string> m_requests;
  std::thread m_thread;
};

// An in-memory store that responds at once.
class MemoryClusterStore final : public ClusterStore {
 public:
  explicit MemoryClusterStore(asio::io_context& io) : m_io(io), m_timer(io) {}

  std::shared_ptr<const RouteTable> table;
  ServerMap servers;
  int64_t list_version = 1;
  LeaseRow lease;
  std::atomic<uint64_t> missing_bytes{0};

  void ReadLease(
      std::function<void(std::optional<LeaseRow>)> handler) override {
    asio::post(m_io, [this, handler] { handler(lease); });
  }
  void WriteLease(
      const LeaseRow& row,
      StorePosition expected,
      std::function<void(LeaseWriteResult, LeaseRow)> handler) override {
    const bool version_matches = lease.position == expected;
    if (version_matches) {
      lease = row;
      ++lease.position.version;
    }
    asio::post(m_io, [this, version_matches, handler] {
      handler(version_matches ? LeaseWriteResult::kWritten
                              : LeaseWriteResult::kConflict,
              lease);
    });
  }
  void ReadServers(ServerListHandler handler) override {
    asio::post(m_io, [this, handler] {
      handler(StoredServerList{{0, list_version}, servers});
    });
  }
  void ReadConfiguration(ConfigurationHandler handler) override {
    asio::post(m_io, [this, handler] { handler(table); });
  }
  void WatchConfiguration(Duration,
                          ConfigurationWatchHandler handler) override {
    m_timer.expires_after(std::chrono::milliseconds(50));
    m_timer.async_wait([this, handler](const boost::system::error_code&) {
      handler(WatchedConfiguration{table});
    });
  }
  const std::string& ConfigurationRow() const override { return m_row; }
  std::shared_ptr<const RouteTable> ApplyConfigurationRow(
      const std::string&) override {
    return table;
  }
  void DropConnections() override {}
  uint64_t MissingBytes() const override { return missing_bytes; }

 private:
  asio::io_context& m_io;
  asio::steady_timer m_timer;
  std::string m_row;
};

// A range of ports that belongs to this process: its first port stays bound, so
// that test programs that run at the same time take other ranges. All lie below
// the ports that the system gives to outgoing connections.
class PortRange {
 public:
  static constexpr unsigned kPorts = 256;

  PortRange() {
    constexpr unsigned kFirstPort = 10'000;
    constexpr unsigned kRanges = 85;
    for (auto range = static_cast<unsigned>(getpid());; ++range) {
      m_first = kFirstPort + range % kRanges * kPorts;
      if (TryBind(m_guard, m_first))
        return;
    }
  }

  // Ports are taken in turn.
  uint16_t Take() {
    for (;;) {
      const unsigned port = m_first + 1 + m_next++ % (kPorts - 1);
      tcp::acceptor probe(m_io);
      if (TryBind(probe, port))
        return static_cast<uint16_t>(port);
    }
  }

 private:
  static bool TryBind(tcp::acceptor& acceptor, unsigned port) {
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.bind(
        {asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)}, error);
    if (error)
      acceptor.close();
    return !error;
  }

  asio::io_context m_io;
  tcp::acceptor m_guard{m_io};
  unsigned m_first = 0;
  unsigned m_next = 0;
};

// A port that nothing listens on.
inline uint16_t FreePort() {
  static PortRange range;
  return range.Take();
}

class GatewayHarness {
 public:
  GatewayHarness() : m_store(m_io), m_guard(asio::make_work_guard(m_io)) {
    m_settings.ip = "127.0.0.1";
    m_settings.data_center = "regina";
    m_settings.client_address = FreeAddress();
    m_settings.ready_address = FreeAddress();
    m_settings.directory_address = FreeAddress();
    m_settings.metrics_address = FreeAddress();
    m_settings.peer_port = FreePort();
    m_settings.termination_grace_period = std::chrono::seconds(4);
  }
  ~GatewayHarness() {
    m_guard.reset();
    m_io.stop();
    if (m_thread.joinable())
      m_thread.join();
  }

  MemoryClusterStore& store() { return m_store; }
  GatewaySettings& settings() { return m_settings; }
  const std::string& client_address() const {
    return m_settings.client_address;
  }
  // Takes the place of the platform's dialect.
  void SetDialect(const WireDialect* dialect) { m_dialect = dialect; }

  void AddServer(const std::string& id,
                 const std::string& service,
                 const std::string& address) {
    BackendServer& server = m_store.servers[id];
    server.id = id;
    server.service = service;
    server.address = address;
    server.data_center = "regina";
  }

  // Starts the gateway and waits until it reports that it is ready.
  void Start() {
    m_gateway = std::make_unique<Gateway>(Gateway::Builder(m_io)
                                              .SetSettings(m_settings)
                                              .SetDialect(m_dialect)
                                              .SetStore(&m_store)
                                              .Build());
    CPPUNIT_ASSERT(m_gateway->Start().ok());
    m_thread = std::thread([this] { m_io.run(); });
    if (!m_store.table)
      return;
    for (int i = 0; i < 300; ++i) {
      const std::string response = Call(m_settings.ready_address,
                                        "GET /ready HTTP/1.1\r\nHost: x\r\n"
                                        "Connection: close\r\n\r\n");
      if (response.starts_with("HTTP/1.1 200"))
        return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_FAIL("the gateway did not become ready");
  }

  void SetTable(const std::shared_ptr<const RouteTable>& table) {
    asio::post(m_io, [this, table] { m_store.table = table; });
  }

  // Lists a server while the gateway runs.
  void ListServer(const std::string& id,
                  const std::string& service,
                  const std::string& address) {
    asio::post(m_io, [this, id, service, address] {
      AddServer(id, service, address);
      ++m_store.list_version;
    });
  }

  void RemoveServer(const std::string& id) {
    asio::post(m_io, [this, id] {
      m_store.servers.erase(id);
      ++m_store.list_version;
    });
  }

  void StartDraining() {
    asio::post(m_io, [this] { m_gateway->StartDraining(); });
  }

  // Keeps the gateway from handling anything for `time`, as a busy instance.
  void BlockFor(std::chrono::milliseconds time) {
    asio::post(m_io, [time] { std::this_thread::sleep_for(time); });
  }

  // Sends bytes on a new connection and reads until the other side closes.
  static std::string Call(const std::string& address,
                          const std::string& request) {
    asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(*ParseEndpoint(address), error);
    if (error)
      return "no connection";
    asio::write(socket, asio::buffer(request), error);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), asio::transfer_all(),
               error);
    return error == asio::error::eof ? response : response + "<reset>";
  }

  std::string CallAsClient(const std::string& request) const {
    return Call(m_settings.client_address, request);
  }

 private:
  static std::string FreeAddress() {
    return "127.0.0.1:" + std::to_string(FreePort());
  }

  asio::io_context m_io;
  platform::PlatformDialect m_platform_dialect;
  const WireDialect* m_dialect = &m_platform_dialect;
  MemoryClusterStore m_store;
  GatewaySettings m_settings;
  std::unique_ptr<Gateway> m_gateway;
  asio::executor_work_guard<asio::io_context::executor_type> m_guard;
  std::thread m_thread;
};

}  // namespace trefoilwick
