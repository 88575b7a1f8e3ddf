// Placement orders that a coordinator has issued: which calls to servers are
// due now, and when an order has ended. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

// A placement order together with what is known when it is issued.
struct IssuedOrder {
  PlacementOrder order;
  // Start of the process that it is for, in Unix milliseconds.
  int64_t start_unix_ms = 0;
  TimePoint send_at;
  // Time that the load takes while few other servers load.
  Duration load_time{0};
  // Loads at once beyond which each of them takes longer.
  int max_concurrent_loads = 1;
};

// Identifies one call in progress, so that a late result of an order that has
// ended is not taken for that of its successor.
struct OrderCall {
  std::string server;
  uint64_t order_id = 0;
};

// A call to be made now. Each one must be followed by exactly one result.
struct SendOrderCall {
  OrderCall call;
  LayerRange layers;
  // Order sequence number that the server must have.
  int64_t order_seq = 0;
};
struct RequestReportCall {
  OrderCall call;
};
using PlacementCall = std::variant<SendOrderCall, RequestReportCall>;

enum class SentOrderResult : uint8_t {
  kAccepted,
  // The server has another order sequence number or cannot take the order now.
  kRefused,
  // The order may have arrived.
  kUnanswered,
};

// What a report says of the orders to a server.
struct OrderReport {
  int64_t order_seq = 0;
  bool busy = false;
  std::optional<LayerRange> layers;
};

// Sends each order with the order sequence number that the server reports: it
// cannot be known otherwise, since earlier coordinators issued orders and an
// order that a server has carried out already does not count. While a server
// carries out an order it is not sent another one. The number of calls in
// progress is bounded. Load pattern: thousands of servers start empty at the
// same time, or a new coordinator takes over.
class PlacementOrders {
 public:
  // More calls at once time out at a coordinator with half a core, since their
  // answers wait for each other.
  static constexpr size_t kMaxCallsInProgress = 64;

  void Issue(IssuedOrder order);
  // Calls to be made now.
  std::vector<PlacementCall> TakeDueCalls(TimePoint now);
  void OnOrderResult(TimePoint now,
                     const OrderCall& call,
                     SentOrderResult result);
  // `report` is null when the server did not answer. True when the order has
  // ended: it is carried out, or the server has dropped it.
  bool OnReport(TimePoint now,
                const OrderCall& call,
                const std::optional<OrderReport>& report);
  // Drops orders that the list shows as carried out and those to processes that
  // are no longer listed.
  void OnServerList(const ServerMap& listed);
  // Drops orders that have not been carried out in several times their load
  // time.
  void Expire(TimePoint now);
  // The instance is no longer coordinator.
  void Clear();
  void Erase(const std::string& server);

  // Layers of the orders that are not carried out yet, by server.
  std::map<std::string, LayerRange> Layers() const;
  size_t calls_in_progress() const { return m_calls_in_progress; }

 private:
  enum class State : uint8_t {
    // The order sequence number is to be read.
    kWaitingToSend,
    kWaitingForLoad,
  };
  struct Entry {
    IssuedOrder issued;
    uint64_t id = 0;
    State state = State::kWaitingToSend;
    // Known from the last report, until the order is sent.
    std::optional<int64_t> order_seq;
    Duration poll_interval{0};
    TimePoint accepted_at;
    // Null until the first call.
    std::optional<TimePoint> expires_at;
  };

  // Ends a call; null when its order has ended.
  Entry* EndCall(const OrderCall& call);
  void ScheduleCall(const Entry& entry, TimePoint at);
  // The interval doubles each time.
  void CallAgainLater(TimePoint now, Entry& entry);

  std::map<std::string, Entry> m_entries;
  uint64_t m_next_id = 1;
  size_t m_calls_in_progress = 0;
  // Next call of each order without a call in progress, by due time. Those of
  // orders that have ended are skipped when they are due.
  std::multimap<TimePoint, OrderCall> m_due_calls;
};

}  // namespace trefoilwick
