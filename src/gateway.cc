#include "trefoilwick/gateway.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "gateway_core.h"
#include "gateway_exchange.h"
#include "gateway_session.h"

namespace trefoilwick {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace detail {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kListenBacklog = 512;
constexpr size_t kMaxAuxiliaryBodyBytes = 8192;
constexpr Duration kAuxiliaryTimeout = seconds(10);

}  // namespace

// A connection for the directory, readiness checks or metrics: short requests
// without a body that are answered at once.
class AuxiliarySession : public std::enable_shared_from_this<AuxiliarySession> {
 public:
  using Handler =
      std::function<std::string(const std::string&, int*, std::string*)>;
  AuxiliarySession(asio::io_context& io, tcp::socket socket, Handler handler)
      : m_socket(std::move(socket)),
        m_timer(io),
        m_handler(std::move(handler)) {}

  void Read() {
    m_parser.emplace();
    m_parser->body_limit(kMaxAuxiliaryBodyBytes);
    m_timer.expires_after(kAuxiliaryTimeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
      error_code ignored;
      if (!error)
        self->m_socket.close(ignored);
    });
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](error_code error, size_t) {
                       self->m_timer.cancel();
                       if (!error)
                         self->Write();
                     });
  }

  void Close() {
    error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
  }

 private:
  void Write() {
    int status = 200;
    std::string type = "application/json";
    m_response = {};
    m_response.body() =
        m_handler(std::string(m_parser->get().target()), &status, &type);
    m_response.result(static_cast<unsigned>(status));
    m_response.set(http::field::content_type, type);
    m_response.keep_alive(m_parser->get().keep_alive());
    m_response.prepare_payload();
    http::async_write(m_socket, m_response,
                      [self = shared_from_this()](error_code error, size_t) {
                        if (!error && self->m_response.keep_alive())
                          self->Read();
                      });
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  Handler m_handler;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  http::response<http::string_body> m_response;
};

namespace {

absl::Status ErrorStatus(const std::string& what, const error_code& error) {
  return MakeStatus(absl::StatusCode::kUnavailable,
                    what + ": " + error.message());
}

}  // namespace

absl::Status GatewayCore::Listen(const std::string& address,
                                 tcp::acceptor& acceptor) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint)
    return MakeStatus(absl::StatusCode::kInvalidArgument,
                      address + ": not an address");
  error_code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.bind(*endpoint, error);
  if (!error)
    acceptor.listen(kListenBacklog, error);
  return error ? ErrorStatus(address, error) : absl::OkStatus();
}

absl::Status GatewayCore::Start() {
  const std::pair<const std::string*, tcp::acceptor*> auxiliary[] = {
      {&m_settings.ready_address, &m_ready_acceptor},
      {&m_settings.directory_address, &m_directory_acceptor},
      {&m_settings.metrics_address, &m_metrics_acceptor}};
  for (const auto& [address, acceptor] : auxiliary) {
    if (address->empty())
      continue;
    if (absl::Status status = Listen(*address, *acceptor); !status.ok())
      return status;
    AcceptAuxiliaryConnections(*acceptor);
  }
  if (!m_settings.client_address.empty()) {
    if (absl::Status status =
            Listen(m_settings.client_address, m_client_acceptor);
        !status.ok())
      return status;
    AcceptClients();
  }
  error_code error;
  m_peer_socket.open(udp::v4(), error);
  const auto ip = asio::ip::make_address_v4(m_settings.ip, error);
  if (!error)
    m_peer_socket.bind(udp::endpoint(ip, m_settings.peer_port), error);
  if (error)
    return ErrorStatus("peer port", error);
  m_peer_socket.non_blocking(true, error);
  ReceiveDatagram();
  m_configuration_reader.Start();
  ScheduleTick();
  ScheduleStallCheck();
  Log("start",
      {{"ip", m_settings.ip}, {"data_center", m_settings.data_center}});
  return absl::OkStatus();
}

void GatewayCore::AcceptAuxiliaryConnections(tcp::acceptor& acceptor) {
  acceptor.async_accept([this, &acceptor](error_code error,
                                          tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (!error) {
      SetSocketOptions(socket, kAuxiliaryTimeout);
      std::erase_if(m_auxiliary_sessions,
                    [](const auto& session) { return session.expired(); });
      // The oldest one gives way: its client has had the time for a request.
      while (m_auxiliary_sessions.size() >=
             m_settings.max_auxiliary_connections) {
        if (const auto oldest = m_auxiliary_sessions.front().lock()) {
          CountClientRefusal("auxiliary_closed");
          oldest->Close();
        }
        m_auxiliary_sessions.pop_front();
      }
      const auto session = std::make_shared<AuxiliarySession>(
          m_io, std::move(socket),
          [this](const std::string& target, int* status, std::string* type) {
            return HandleAuxiliaryRequest(target, status, type);
          });
      m_auxiliary_sessions.push_back(session);
      session->Read();
    }
    AcceptAuxiliaryConnections(acceptor);
  });
}

std::string GatewayCore::HandleAuxiliaryRequest(const std::string& target,
                                                int* status,
                                                std::string* type) {
  if (const auto data_center = m_dialect->ReadDirectoryCall(target))
    return DirectoryResponse(*data_center);
  if (target == "/ready") {
    *status = IsReady() ? 200 : 503;
    return IsReady() ? R"({"ready":true})" : R"({"ready":false})";
  }
  if (target == "/metrics") {
    *type = "text/plain; version=0.0.4";
    return m_metrics.RenderPrometheus();
  }
  *status = 404;
  return "{}";
}

std::string GatewayCore::DirectoryResponse(const std::string& data_center) {
  constexpr size_t kMaxAddresses = 64;
  std::vector<std::string> same_data_center;
  std::vector<std::string> other_data_centers;
  const std::string port =
      m_settings.client_address.substr(m_settings.client_address.rfind(':'));
  for (const ClusterMember& member : m_coordination.Members(Now())) {
    if (!member.accepting)
      continue;
    (member.data_center == data_center ? same_data_center : other_data_centers)
        .push_back(member.ip + port);
  }
  std::vector<std::string>& chosen =
      same_data_center.empty() ? other_data_centers : same_data_center;
  if (chosen.size() > kMaxAddresses)
    chosen.resize(kMaxAddresses);
  return m_dialect->WriteDirectoryResponse(chosen, m_settings.directory_ttl);
}

void GatewayCore::ReceiveDatagram() {
  m_peer_socket.async_receive_from(
      asio::buffer(m_peer_buffer), m_peer_sender,
      [this](error_code error, size_t count) {
        if (error == asio::error::operation_aborted)
          return;
        // Also when this step throws.
        const absl::Cleanup schedule_next = [this] { ReceiveDatagram(); };
        if (!error) {
          m_coordination.OnDatagram(Now(),
                                    std::string(m_peer_buffer.data(), count));
          if (m_seen_servers != m_coordination.usable_servers())
            OnServersChanged();
          NotifyRequestsOfLostServers();
          RunActions();
        }
      });
}

void GatewayCore::Reload(const GatewaySettings& settings) {
  m_settings.max_connections = settings.max_connections;
  m_settings.max_auxiliary_connections = settings.max_auxiliary_connections;
  m_settings.client_memory_bytes = settings.client_memory_bytes;
  m_client_budget.SetMaxBytes(settings.client_memory_bytes);
  m_client_budget.SetMaxConnections(settings.max_connections);
  m_settings.termination_grace_period = settings.termination_grace_period;
  m_settings.directory_ttl = settings.directory_ttl;
  m_retries.SetLimits(settings.retry_ratio, settings.retry_slack);
}

}  // namespace detail

Gateway::Gateway(std::unique_ptr<detail::GatewayCore> core)
    : m_core(std::move(core)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;

absl::Status Gateway::Start() {
  return m_core->Start();
}

void Gateway::Reload(const GatewaySettings& settings) {
  m_core->Reload(settings);
}

void Gateway::StartDraining() {
  m_core->StartDraining();
}

Gateway::Builder& Gateway::Builder::SetSettings(GatewaySettings settings) {
  m_settings = std::move(settings);
  return *this;
}

Gateway::Builder& Gateway::Builder::SetDialect(const WireDialect* dialect) {
  m_dialect = dialect;
  return *this;
}

Gateway::Builder& Gateway::Builder::SetStore(ClusterStore* store) {
  m_store = store;
  return *this;
}

Gateway Gateway::Builder::Build() const {
  return Gateway(std::make_unique<detail::GatewayCore>(m_io, m_settings,
                                                       m_dialect, m_store));
}

}  // namespace trefoilwick
