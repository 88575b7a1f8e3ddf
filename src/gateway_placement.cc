// The coordinator's orders to servers: which layers each is to hold.
#include <algorithm>
#include <cmath>

#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPlacementInterval = milliseconds(200);
// Time for the news that layers are to be given up to reach every instance: a
// tick of the coordinator and the way there.
constexpr Duration kGiveUpNotice = milliseconds(120);
// An order that does not show in the list after this long is given again.
constexpr Duration kOrderLife = seconds(4);
// Longer than the time between two entries of a server in the list.
constexpr Duration kListSettles = milliseconds(1500);
// A server must be lost this long before its layers go to others.
constexpr Duration kLostBeforePlacing = milliseconds(300);
// A server that should have carried out its order is asked this often.
constexpr Duration kAskInterval = milliseconds(150);
// A report may be this old: it does not show an order yet.
constexpr Duration kReportLag = milliseconds(600);
// A server that was listed just now often replaces one that leaves soon after:
// it stays empty for the layers of that one.
constexpr Duration kFreshServer = milliseconds(1200);

}  // namespace

bool GatewayCore::AnyLayersHeld() const {
  return std::any_of(servers().begin(), servers().end(), [](const auto& entry) {
    return entry.second.layers.has_value();
  });
}

std::set<std::string> GatewayCore::RecentlyListedServers(TimePoint now) {
  std::set<std::string> fresh;
  const ServerMap& listed = *m_coordination.listed_servers();
  std::erase_if(m_first_seen, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  for (const auto& [id, server] : listed)
    if (now - m_first_seen.try_emplace(id, now).first->second < kFreshServer)
      fresh.insert(id);
  return fresh;
}

void GatewayCore::PlaceLayers(TimePoint now) {
  if (now < m_next_placement || !m_coordination.is_coordinator() || !m_table ||
      !m_coordination.has_server_list())
    return;
  m_next_placement = now + kPlacementInterval;
  std::erase_if(m_orders, [&](const auto& entry) {
    return now - entry.second.send_at > kOrderLife;
  });
  // While nothing is placed the list still fills: a layout for some of the
  // servers would have to be changed for the rest.
  if (!AnyLayersHeld() && now - m_servers_changed_at < kListSettles)
    return;
  std::map<std::string, LayerRange> pending;
  for (const auto& [id, order] : m_orders)
    pending[id] = order.layers;
  const auto confirmed =
      m_coordination.ConfirmedLostServers(now, kLostBeforePlacing);
  // No order reaches these: they stay as they are.
  for (const std::string& id : m_coordination.LocallyUnreachableServers(now))
    if (const auto server = m_coordination.listed_servers()->find(id);
        server != m_coordination.listed_servers()->end() &&
        server->second.layers)
      pending.try_emplace(id, *server->second.layers);
  const std::set<std::string> fresh = RecentlyListedServers(now);
  for (const auto& [name, service] : m_table->services()) {
    if (!service.engine || service.engine->layers == 0)
      continue;
    std::set<std::string> lost = confirmed;
    // While the store is away no list names the servers that leave.
    if (m_coordination.ServerListAge(now) > kMaxServerListAge)
      lost.merge(FindUnlistedDrainingServers(
          *service.engine, *m_coordination.listed_servers(),
          m_coordination.Loads(now),
          m_coordination.PersistentlyRefusingServers(now)));
    LogLayout(*service.engine, name, lost);
    for (const PlacementOrder& order :
         PlanPlacement(*service.engine, *m_coordination.listed_servers(), name,
                       lost, pending, fresh))
      ScheduleOrder(now, order);
  }
  PublishOrders();
}

// Every instance hears of layers to be given up before their server does: that
// one refuses each request that still asks for them.
void GatewayCore::ScheduleOrder(TimePoint now, const PlacementOrder& order) {
  const auto server = m_coordination.listed_servers()->find(order.server);
  const bool gives_up = server->second.layers &&
                        (server->second.layers->from < order.layers.from ||
                         server->second.layers->to > order.layers.to);
  PendingOrder pending;
  pending.layers = order.layers;
  pending.send_at = gives_up ? now + kGiveUpNotice : now;
  m_orders[order.server] = pending;
}

void GatewayCore::SendDueOrders(TimePoint now) {
  for (auto& [id, order] : m_orders) {
    if (!order.sent && order.send_at <= now) {
      order.sent = true;
      order.next_poll_at = now + LayerLoadTime({id, order.layers});
      SendOrder({id, order.layers});
    } else if (order.sent && order.next_poll_at <= now) {
      order.next_poll_at = now + kAskInterval;
      PollOrderState(id, false);
    }
  }
}

// Time for the layers of an order to be loaded beside those of other orders.
Duration GatewayCore::LayerLoadTime(const PlacementOrder& order) const {
  const auto server = m_coordination.listed_servers()->find(order.server);
  const Service* service =
      server == m_coordination.listed_servers()->end() || !m_table
          ? nullptr
          : m_table->FindService(server->second.service);
  if (service == nullptr || !service->engine || service->engine->layers == 0)
    return kOrderLife;
  int fresh = 0;
  for (int layer = order.layers.from; layer < order.layers.to; ++layer)
    fresh +=
        server->second.layers && server->second.layers->Contains(layer) ? 0 : 1;
  const double ms =
      service->engine->model_load_ms * fresh / service->engine->layers;
  return Duration(static_cast<int64_t>(ms * 1000));
}

void GatewayCore::PublishOrders() {
  std::map<std::string, LayerRange> orders;
  for (const auto& [id, order] : m_orders)
    orders[id] = order.layers;
  m_coordination.SetPlacementOrders(Now(), std::move(orders));
}

// One line for each change of how well a data center holds a model.
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
  // The count of orders may differ from what this instance knows: ask.
  PollOrderState(order.server, result == OrderResult::kConflict);
}

void GatewayCore::PollOrderState(const std::string& server, bool resend) {
  const auto found = servers().find(server);
  if (found == servers().end()) {
    m_orders.erase(server);
    return;
  }
  m_server_client.Call(
      found->second.address, m_dialect->WriteReportRequest(), kOrderTimeout,
      [this, server, resend](const CallResult& answer) {
        OnOrderState(server, m_dialect->ReadReport(answer), resend);
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
  const bool differs = m_order_seq[server] != report->order_seq;
  m_order_seq[server] = report->order_seq;
  if (report->layers)
    m_coordination.OnLayersReported(now, server, *report->layers);
  const bool done = report->layers == order->second.layers;
  const bool given_up =
      !report->busy && now - order->second.send_at > kReportLag;
  if (!done && resend && differs && !report->busy) {
    SendOrder({server, order->second.layers});
  } else if (done || given_up) {
    m_orders.erase(order);
    PublishOrders();
  }
  RunActions();
}

}  // namespace trefoilwick::detail
