// Placement orders of the coordinator: which layers each server is to hold.
#include <algorithm>
#include <cmath>

#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPlacementInterval = milliseconds(200);
// Time for a notice of layers to be unloaded to reach every instance: a tick of
// the coordinator and the network delay.
constexpr Duration kUnloadNoticeTime = milliseconds(120);
// An order that the server list does not show after this time is issued again.
constexpr Duration kOrderTtl = seconds(4);
// Longer than the interval between two updates of a server's entry in the list.
constexpr Duration kServerListSettleTime = milliseconds(1500);
// A server must be lost for this long before its layers are placed on others.
constexpr Duration kMinLostTimeBeforePlacement = milliseconds(300);
// Interval of polling a server that should have carried out its order.
constexpr Duration kOrderPollInterval = milliseconds(150);
// A report may be this old and not show a recent order yet.
constexpr Duration kMaxReportAge = milliseconds(600);
// A server that was first listed within this time often replaces one that
// drains soon after; it stays empty to take the layers of that one.
constexpr Duration kRecentlyListedTime = milliseconds(1200);

}  // namespace

bool GatewayCore::AnyLayersHeld() const {
  return std::any_of(servers().begin(), servers().end(), [](const auto& entry) {
    return entry.second.layers.has_value();
  });
}

std::set<std::string> GatewayCore::RecentlyListedServers(TimePoint now) {
  std::set<std::string> recently_listed;
  const ServerMap& listed = *m_coordination.listed_servers();
  std::erase_if(m_first_seen, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  for (const auto& [id, server] : listed)
    if (now - m_first_seen.try_emplace(id, now).first->second <
        kRecentlyListedTime)
      recently_listed.insert(id);
  return recently_listed;
}

void GatewayCore::PlaceLayers(TimePoint now) {
  if (now < m_next_placement || !m_coordination.is_coordinator() || !m_table ||
      !m_coordination.has_server_list())
    return;
  m_next_placement = now + kPlacementInterval;
  std::erase_if(m_orders, [&](const auto& entry) {
    return now - entry.second.send_at > kOrderTtl;
  });
  // While no server holds layers, the list may still be growing: a layout for
  // some of the servers would have to be changed for the rest.
  if (!AnyLayersHeld() && now - m_servers_changed_at < kServerListSettleTime)
    return;
  std::map<std::string, LayerRange> pending;
  for (const auto& [id, order] : m_orders)
    pending[id] = order.layers;
  const auto confirmed_lost =
      m_coordination.ConfirmedLostServers(now, kMinLostTimeBeforePlacement);
  // Orders cannot reach these servers, so they keep their layers.
  for (const std::string& id : m_coordination.LocallyUnreachableServers(now))
    if (const auto server = m_coordination.listed_servers()->find(id);
        server != m_coordination.listed_servers()->end() &&
        server->second.layers)
      pending.try_emplace(id, *server->second.layers);
  const std::set<std::string> recently_listed = RecentlyListedServers(now);
  for (const auto& [name, service] : m_table->services()) {
    if (!service.engine || service.engine->layers == 0)
      continue;
    std::set<std::string> lost = confirmed_lost;
    // While the store is unavailable no list names the draining servers.
    if (m_coordination.ServerListAge(now) > kMaxServerListAge)
      lost.merge(FindUnlistedDrainingServers(
          *service.engine, *m_coordination.listed_servers(),
          m_coordination.Loads(now),
          m_coordination.PersistentlyRefusingServers(now)));
    LogLayout(*service.engine, name, lost);
    for (const PlacementOrder& order :
         PlanPlacement(*service.engine, *m_coordination.listed_servers(), name,
                       lost, pending, recently_listed))
      ScheduleOrder(now, order);
  }
  PublishOrders();
}

// Every instance is notified of layers to be unloaded before their server is:
// the server refuses each request that still asks for them.
void GatewayCore::ScheduleOrder(TimePoint now, const PlacementOrder& order) {
  const auto server = m_coordination.listed_servers()->find(order.server);
  const bool unloads = server->second.layers &&
                       (server->second.layers->from < order.layers.from ||
                        server->second.layers->to > order.layers.to);
  PendingOrder pending;
  pending.layers = order.layers;
  pending.send_at = unloads ? now + kUnloadNoticeTime : now;
  m_orders[order.server] = pending;
}

void GatewayCore::SendDueOrders(TimePoint now) {
  for (auto& [id, order] : m_orders) {
    if (!order.sent && order.send_at <= now) {
      order.sent = true;
      order.next_poll_at = now + LayerLoadTime({id, order.layers});
      SendOrder({id, order.layers});
    } else if (order.sent && order.next_poll_at <= now) {
      order.next_poll_at = now + kOrderPollInterval;
      PollOrderState(id, false);
    }
  }
}

// Time to load the layers of an order that the server does not hold yet, while
// other servers load theirs.
Duration GatewayCore::LayerLoadTime(const PlacementOrder& order) const {
  const auto server = m_coordination.listed_servers()->find(order.server);
  const Service* service =
      server == m_coordination.listed_servers()->end() || !m_table
          ? nullptr
          : m_table->FindService(server->second.service);
  if (service == nullptr || !service->engine || service->engine->layers == 0)
    return kOrderTtl;
  int missing_layers = 0;
  for (int layer = order.layers.from; layer < order.layers.to; ++layer)
    missing_layers +=
        server->second.layers && server->second.layers->Contains(layer) ? 0 : 1;
  const double ms =
      service->engine->model_load_ms * missing_layers / service->engine->layers;
  return Duration(static_cast<int64_t>(ms * 1000));
}

void GatewayCore::PublishOrders() {
  std::map<std::string, LayerRange> orders;
  for (const auto& [id, order] : m_orders)
    orders[id] = order.layers;
  m_coordination.SetPlacementOrders(Now(), std::move(orders));
}

// Logs a line when the coverage or the capacity of a model in a data center
// changes.
void GatewayCore::LogLayout(const EngineModel& engine,
                            const std::string& service,
                            const std::set<std::string>& lost) {
  std::string text;
  for (const auto& [data_center, health] :
       AssessLayout(engine, *m_coordination.listed_servers(), service, lost))
    text +=
        data_center + ":missing=" + std::to_string(health.uncovered_layers) +
        ",ktokens=" +
        std::to_string(std::lround(health.min_layer_capacity_tokens / 1000)) +
        ",servers=" + std::to_string(health.servers) +
        ",empty=" + std::to_string(health.empty_servers) + " ";
  if (std::exchange(m_layout_text, text) != text)
    Log("layout", {{"service", service}, {"state", text}});
}

void GatewayCore::SendOrder(const PlacementOrder& order) {
  const int64_t seq = m_order_seq[order.server];
  Log("place", {{"server", order.server},
                {"from", std::to_string(order.layers.from)},
                {"to", std::to_string(order.layers.to)},
                {"seq", std::to_string(seq)},
                {"fence", std::to_string(m_coordination.fencing_token())}});
  CallServer(
      order.server,
      m_dialect->WritePlacementOrder(order, m_coordination.fencing_token(),
                                     seq),
      [this, order](OrderResult result) { OnOrderResult(order, result); });
}

void GatewayCore::OnOrderResult(const PlacementOrder& order,
                                OrderResult result) {
  switch (result) {
    case OrderResult::kAccepted:
      ++m_order_seq[order.server];
      return;
    case OrderResult::kStaleFencingToken:
      m_orders.erase(order.server);
      m_coordination.OnFencingTokenRejected(Now());
      return;
    default:
      break;
  }
  // The server's order sequence number may differ from the one known here.
  PollOrderState(order.server, result == OrderResult::kConflict);
}

void GatewayCore::PollOrderState(const std::string& server, bool resend) {
  const auto found = servers().find(server);
  if (found == servers().end()) {
    m_orders.erase(server);
    return;
  }
  m_server_client.Call(
      found->second.address, m_dialect->WriteReportRequest(server),
      kOrderTimeout,
      [this, server, resend,
       process = found->second.process()](const CallResult& result) {
        OnControlAnswer(process, result);
        OnOrderState(server, m_dialect->ReadReport(result), resend);
      });
}

void GatewayCore::OnOrderState(const std::string& server,
                               const std::optional<ServerReport>& report,
                               bool resend) {
  Log("order_state", {{"server", server},
                      {"known", report ? "1" : "0"},
                      {"seq", std::to_string(report ? report->order_seq : 0)},
                      {"busy", report && report->busy ? "1" : "0"}});
  const auto order = m_orders.find(server);
  if (!report || order == m_orders.end() || !m_coordination.is_coordinator())
    return;
  const TimePoint now = Now();
  const bool seq_differs = m_order_seq[server] != report->order_seq;
  m_order_seq[server] = report->order_seq;
  if (report->layers)
    m_coordination.OnLayersReported(now, server, *report->layers);
  const bool done = report->layers == order->second.layers;
  const bool abandoned =
      !report->busy && now - order->second.send_at > kMaxReportAge;
  if (!done && resend && seq_differs && !report->busy) {
    SendOrder({server, order->second.layers});
  } else if (done || abandoned) {
    m_orders.erase(order);
    PublishOrders();
  }
  RunActions();
}

}  // namespace trefoilwick::detail
