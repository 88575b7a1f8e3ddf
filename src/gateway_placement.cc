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
// Load time that is assumed while the engine is not known.
constexpr Duration kDefaultLoadTime = seconds(4);
// Interval of passing reported layers on. Each time copies the server list and
// causes a heartbeat.
constexpr Duration kReportedLayersInterval = milliseconds(100);
// Longer than the interval between two updates of a server's entry in the list.
constexpr Duration kServerListSettleTime = milliseconds(1500);
// A server must be lost for this long before its layers are placed on others.
constexpr Duration kMinLostTimeBeforePlacement = milliseconds(300);
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
  m_orders.Expire(now);
  // While no server holds layers, the list may still be growing: a layout for
  // some of the servers would have to be changed for the rest.
  if (!AnyLayersHeld() && now - m_servers_changed_at < kServerListSettleTime)
    return;
  std::map<std::string, LayerRange> pending = m_orders.Layers();
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
  const Service* service = m_table->FindService(server->second.service);
  m_orders.Issue({order, server->second.start_unix_ms,
                  unloads ? now + kUnloadNoticeTime : now, LayerLoadTime(order),
                  service != nullptr && service->engine
                      ? service->engine->max_concurrent_loads
                      : 1});
}

void GatewayCore::SendDueOrders(TimePoint now) {
  PassOnReportedLayers(now);
  for (const PlacementCall& call : m_orders.TakeDueCalls(now)) {
    if (const auto* order = std::get_if<SendOrderCall>(&call))
      SendOrder(*order);
    else
      RequestOrderReport(std::get<RequestReportCall>(call).call);
  }
}

void GatewayCore::PassOnReportedLayers(TimePoint now) {
  if (m_reported_layers.empty() || now < m_next_reported_layers)
    return;
  m_next_reported_layers = now + kReportedLayersInterval;
  m_coordination.OnLayersReported(now, std::exchange(m_reported_layers, {}));
  RunActions();
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
    return kDefaultLoadTime;
  int missing_layers = 0;
  for (int layer = order.layers.from; layer < order.layers.to; ++layer)
    missing_layers +=
        server->second.layers && server->second.layers->Contains(layer) ? 0 : 1;
  const double ms =
      service->engine->model_load_ms * missing_layers / service->engine->layers;
  return Duration(static_cast<int64_t>(ms * 1000));
}

void GatewayCore::PublishOrders() {
  m_coordination.SetPlacementOrders(Now(), m_orders.Layers());
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

void GatewayCore::SendOrder(const SendOrderCall& order) {
  const std::string& server = order.call.server;
  Log("place", {{"server", server},
                {"from", std::to_string(order.layers.from)},
                {"to", std::to_string(order.layers.to)},
                {"seq", std::to_string(order.order_seq)},
                {"fence", std::to_string(m_coordination.fencing_token())}});
  CallServer(server,
             m_dialect->WritePlacementOrder({server, order.layers},
                                            m_coordination.fencing_token(),
                                            order.order_seq),
             [this, call = order.call](OrderResult result) {
               OnOrderResult(call, result);
             });
}

void GatewayCore::OnOrderResult(const OrderCall& call, OrderResult result) {
  const TimePoint now = Now();
  const auto sent_result = [&] {
    switch (result) {
      case OrderResult::kAccepted:
        return SentOrderResult::kAccepted;
      case OrderResult::kUnknown:
        return SentOrderResult::kUnanswered;
      default:
        return SentOrderResult::kRefused;
    }
  }();
  m_orders.OnOrderResult(now, call, sent_result);
  if (result == OrderResult::kStaleFencingToken) {
    m_orders.Erase(call.server);
    m_coordination.OnFencingTokenRejected(now);
  }
  if (m_coordination.is_coordinator())
    SendDueOrders(now);
}

void GatewayCore::RequestOrderReport(const OrderCall& call) {
  const auto found = servers().find(call.server);
  if (found == servers().end()) {
    boost::asio::post(m_io,
                      [this, call] { OnOrderReport(call, std::nullopt); });
    return;
  }
  m_server_client.Call(
      found->second.address, m_dialect->WriteReportRequest(call.server),
      kOrderTimeout,
      [this, call,
       process = found->second.process()](const CallResult& result) {
        OnControlAnswer(process, result);
        OnOrderReport(call, m_dialect->ReadReport(result));
      });
}

void GatewayCore::OnOrderReport(const OrderCall& call,
                                const std::optional<ServerReport>& report) {
  Log("order_state", {{"server", call.server},
                      {"known", report ? "1" : "0"},
                      {"seq", std::to_string(report ? report->order_seq : 0)},
                      {"busy", report && report->busy ? "1" : "0"}});
  const TimePoint now = Now();
  std::optional<OrderReport> order_report;
  if (report)
    order_report = {report->order_seq, report->busy, report->layers};
  m_orders.OnReport(now, call, order_report);
  if (!m_coordination.is_coordinator())
    return;
  if (report && report->layers)
    m_reported_layers[call.server] = *report->layers;
  SendDueOrders(now);
}

}  // namespace trefoilwick::detail
