// Connections of clients: which are accepted, and the memory that all of them
// may hold.
#include "gateway_core.h"
#include "gateway_session.h"

namespace trefoilwick::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

void GatewayCore::AcceptClients() {
  m_client_acceptor.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (!error)
      AddClient(std::move(socket));
    // The port may have been closed since the connection was accepted.
    if (m_client_acceptor.is_open())
      AcceptClients();
  });
}

void GatewayCore::AddClient(tcp::socket socket) {
  if (!MakeRoomForConnection())
    return;
  auto session = std::make_shared<ClientSession>(*this, std::move(socket),
                                                 ++m_last_connection_id);
  m_client_budget.Add(Now(), session->id());
  m_sessions_by_id[session->id()] = session.get();
  m_sessions[session.get()] = session;
  session->Start();
}

bool GatewayCore::MakeRoomForConnection() {
  const ClientVerdict verdict = m_client_budget.MayAccept(Now());
  if (std::holds_alternative<Proceed>(verdict))
    return true;
  const auto* close = std::get_if<CloseConnections>(&verdict);
  if (close == nullptr) {
    CountClientRefusal("connection_refused");
    return false;
  }
  for (const ConnectionId id : close->ids)
    if (const auto found = m_sessions_by_id.find(id);
        found != m_sessions_by_id.end()) {
      CountClientRefusal("connection_closed");
      found->second->Close();
    }
  return true;
}

void GatewayCore::CountClientRefusal(const char* reason) {
  m_metrics.GetCounter("trefoilwick_client_limit_total", {{"reason", reason}})
      .Add();
  Log("client_limit",
      {{"reason", reason},
       {"connections", std::to_string(m_client_budget.connections())},
       {"bytes", std::to_string(m_client_budget.committed_bytes())}});
}

ClientVerdict GatewayCore::MayReadBody(ClientSession& session,
                                       size_t body_bytes) {
  ClientVerdict verdict =
      m_client_budget.MayReadBody(Now(), session.id(), body_bytes);
  if (const auto* close = std::get_if<CloseConnections>(&verdict)) {
    for (const ConnectionId id : close->ids) {
      const auto found = m_sessions_by_id.find(id);
      if (found == m_sessions_by_id.end())
        continue;
      CountClientRefusal("stalled_body");
      found->second->GiveUpBody();
    }
    verdict = m_client_budget.MayReadBody(Now(), session.id(), body_bytes);
  }
  if (!std::holds_alternative<Proceed>(verdict))
    m_has_paused_sessions = true;
  return verdict;
}

void GatewayCore::PublishClientBudget() {
  constexpr std::pair<BufferUse, const char*> kUses[] = {
      {BufferUse::kReceived, "received"},
      {BufferUse::kBodyRead, "body_read"},
      {BufferUse::kBodyHeld, "body_held"},
      {BufferUse::kResponse, "response"}};
  for (const auto& [use, name] : kUses)
    m_metrics.GetGauge("trefoilwick_client_bytes", {{"use", name}})
        .Set(static_cast<double>(m_client_budget.held_bytes(use)));
  m_metrics.GetGauge("trefoilwick_client_committed_bytes")
      .Set(static_cast<double>(m_client_budget.committed_bytes()));
  m_metrics.GetGauge("trefoilwick_client_connections")
      .Set(static_cast<double>(m_client_budget.connections()));
}

void GatewayCore::OnClientMemoryReleased() {
  if (!m_has_paused_sessions || std::exchange(m_resume_scheduled, true))
    return;
  // The session that released memory may be on the stack.
  asio::post(m_io, [this] { ResumePausedSessions(); });
}

void GatewayCore::ResumePausedSessions() {
  m_resume_scheduled = false;
  if (!std::exchange(m_has_paused_sessions, false))
    return;
  for (const ConnectionId id : m_client_budget.Paused())
    if (const auto found = m_sessions_by_id.find(id);
        found != m_sessions_by_id.end())
      found->second->ResumeReading();
}

void GatewayCore::OnSessionClosed(ClientSession* session) {
  m_client_budget.Remove(session->id());
  m_sessions_by_id.erase(session->id());
  OnClientMemoryReleased();
  // The session may be on the stack.
  asio::post(m_io, [this, session] { m_sessions.erase(session); });
}

}  // namespace trefoilwick::detail
