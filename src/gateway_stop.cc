// The planned stop of an instance.
#include "gateway_core.h"
#include "gateway_exchange.h"
#include "gateway_session.h"

namespace trefoilwick::detail {

using boost::asio::ip::tcp;
using boost::system::error_code;

void GatewayCore::StartDraining() {
  if (draining())
    return;
  m_planned_stop.Begin(Now(), m_settings.termination_grace_period);
  m_coordination.SetAccepting(false);
  Log("leave", {{"requests", std::to_string(m_exchanges.size())}});
}

void GatewayCore::ContinueDraining(TimePoint now) {
  if (m_planned_stop.TakesRequests(now))
    return;
  if (m_client_acceptor.is_open())
    StopAcceptingClients();
  for (const auto& [raw, session] : m_sessions)
    session->FinishForStop(now);
  if (m_planned_stop.MustEndRequests(now))
    ForEachRequest([](Exchange& request) {
      request.Cancel("the instance is shutting down");
    });
  if (m_sessions.empty() || m_planned_stop.MustExit(now)) {
    Log("stop", {{"connections", std::to_string(m_sessions.size())}});
    m_io.stop();
  }
}

// The clients of these connections may have sent a request already. They are
// told that it has not run, which a reset would not tell them.
void GatewayCore::StopAcceptingClients() {
  error_code error;
  m_client_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(m_io);
    m_client_acceptor.accept(socket, error);
    if (!error)
      AddClient(std::move(socket));
  }
  m_client_acceptor.close(error);
  Log("refusing", {{"connections", std::to_string(m_sessions.size())},
                   {"requests", std::to_string(m_exchanges.size())}});
}

}  // namespace trefoilwick::detail
