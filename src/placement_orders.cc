#include "trefoilwick/placement_orders.h"

#include <algorithm>
#include <utility>

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An order to a server that does not say that it loads is issued again after
// this time.
constexpr Duration kMinOrderTtl = seconds(4);
// Longest time that an order is waited for: a faulty server may report a load
// without end.
constexpr Duration kMaxOrderTtl = seconds(20);
// Loads of servers with other work take longer than the engine's load time.
constexpr int kOrderTtlLoadTimes = 2;
// Intervals of polling a server that should have carried out its order. The
// longest one keeps polls below a thousand calls a second at 1,000 overdue
// orders.
constexpr Duration kMinPollInterval = milliseconds(150);
constexpr Duration kMaxPollInterval = milliseconds(1200);
// A report may be this old and not show a recent order yet.
constexpr Duration kMaxReportAge = milliseconds(600);

}  // namespace

void PlacementOrders::Issue(IssuedOrder order) {
  Entry entry;
  entry.id = m_next_id++;
  entry.poll_interval = kMinPollInterval;
  entry.issued = std::move(order);
  ScheduleCall(entry, entry.issued.send_at);
  m_entries[entry.issued.order.server] = std::move(entry);
}

void PlacementOrders::ScheduleCall(const Entry& entry, TimePoint at) {
  m_due_calls.emplace(at, OrderCall{entry.issued.order.server, entry.id});
}

std::vector<PlacementCall> PlacementOrders::TakeDueCalls(TimePoint now) {
  std::vector<PlacementCall> calls;
  while (m_calls_in_progress < kMaxCallsInProgress && !m_due_calls.empty() &&
         m_due_calls.begin()->first <= now) {
    OrderCall call =
        std::move(m_due_calls.extract(m_due_calls.begin()).mapped());
    const auto found = m_entries.find(call.server);
    if (found == m_entries.end() || found->second.id != call.order_id)
      continue;
    Entry& entry = found->second;
    if (!entry.expires_at)
      entry.expires_at = now + kMinOrderTtl;
    ++m_calls_in_progress;
    // Each number is used once: after a result it must be read again.
    if (const auto order_seq = std::exchange(entry.order_seq, std::nullopt))
      calls.emplace_back(SendOrderCall{std::move(call),
                                       entry.issued.order.layers, *order_seq});
    else
      calls.emplace_back(RequestReportCall{std::move(call)});
  }
  return calls;
}

PlacementOrders::Entry* PlacementOrders::EndCall(const OrderCall& call) {
  --m_calls_in_progress;
  const auto found = m_entries.find(call.server);
  return found == m_entries.end() || found->second.id != call.order_id
             ? nullptr
             : &found->second;
}

void PlacementOrders::CallAgainLater(TimePoint now, Entry& entry) {
  ScheduleCall(entry, now + entry.poll_interval);
  entry.poll_interval = std::min(2 * entry.poll_interval, kMaxPollInterval);
}

void PlacementOrders::OnOrderResult(TimePoint now,
                                    const OrderCall& call,
                                    SentOrderResult result) {
  Entry* const entry = EndCall(call);
  if (entry == nullptr)
    return;
  if (result != SentOrderResult::kAccepted) {
    // The next report tells whether the order has arrived.
    CallAgainLater(now, *entry);
    return;
  }
  entry->state = State::kWaitingForLoad;
  entry->accepted_at = now;
  entry->poll_interval = kMinPollInterval;
  ScheduleCall(*entry,
               now + std::max(entry->issued.load_time, kMinPollInterval));
  const auto loading = static_cast<Duration::rep>(m_entries.size());
  const auto at_once = static_cast<Duration::rep>(
      std::max(1, entry->issued.max_concurrent_loads));
  const Duration load_time =
      entry->issued.load_time * std::max(loading, at_once) / at_once;
  entry->expires_at = now + std::clamp<Duration>(kOrderTtlLoadTimes * load_time,
                                                 kMinOrderTtl, kMaxOrderTtl);
}

bool PlacementOrders::OnReport(TimePoint now,
                               const OrderCall& call,
                               const std::optional<OrderReport>& report) {
  Entry* const entry = EndCall(call);
  if (entry == nullptr)
    return false;
  // A server that is busy before the order was sent carries out an earlier one,
  // which may change its layers.
  if (report && report->layers == entry->issued.order.layers &&
      (!report->busy || entry->state == State::kWaitingForLoad)) {
    m_entries.erase(call.server);
    return true;
  }
  if (!report || report->busy) {
    CallAgainLater(now, *entry);
    return false;
  }
  if (entry->state == State::kWaitingToSend) {
    entry->order_seq = report->order_seq;
    // Before the calls of orders whose number is not known, since the number
    // may change.
    ScheduleCall(*entry, entry->issued.send_at);
    return false;
  }
  if (now - entry->accepted_at <= kMaxReportAge) {
    CallAgainLater(now, *entry);
    return false;
  }
  // The server has dropped the order.
  m_entries.erase(call.server);
  return true;
}

void PlacementOrders::OnServerList(const ServerMap& listed) {
  std::erase_if(m_entries, [&](const auto& item) {
    const IssuedOrder& issued = item.second.issued;
    const auto server = listed.find(item.first);
    return server == listed.end() ||
           server->second.start_unix_ms != issued.start_unix_ms ||
           server->second.layers == issued.order.layers;
  });
}

void PlacementOrders::Expire(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& item) {
    return item.second.expires_at && now > *item.second.expires_at;
  });
}

void PlacementOrders::Clear() {
  m_entries.clear();
  m_due_calls.clear();
}

void PlacementOrders::Erase(const std::string& server) {
  m_entries.erase(server);
}

std::map<std::string, LayerRange> PlacementOrders::Layers() const {
  std::map<std::string, LayerRange> out;
  for (const auto& [server, entry] : m_entries)
    out[server] = entry.issued.order.layers;
  return out;
}

}  // namespace trefoilwick
