// Everything that the parts of one daemon share.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "batch_host.h"
#include "chain_host.h"
#include "control_host.h"
#include "engine_client.h"
#include "entry_host.h"
#include "event_loop.h"
#include "peer.h"
#include "service_pool.h"
#include "trefoilwick/admission.h"
#include "trefoilwick/daemon.h"
#include "trefoilwick/platform.h"
#include "trefoilwick/report.h"
#include "trefoilwick/routing.h"
#include "trefoilwick/table.h"

namespace trefoilwick::detail {

// Threads for blocking calls. Each thread waits for one peer or store call at
// a time; the bound of the queue turns a slow store into refusals.
inline constexpr size_t kPeerThreads = 16;
inline constexpr size_t kPeerQueue = 8192;
inline constexpr size_t kStoreThreads = 16;
inline constexpr size_t kStoreQueue = 64;
// Service calls have threads of their own: calls that may not be repeated wait
// for the store, and must hold up neither the others nor the table's spread.
inline constexpr size_t kServiceThreads = 16;
inline constexpr size_t kServiceQueue = 256;

struct Runtime {
  explicit Runtime(Settings with_settings);

  Settings settings;
  SystemClock clock;
  // Start time of this process, microseconds since the Unix epoch.
  int64_t incarnation;
  Metrics metrics;

  RcuCell<Table> table;
  RcuCell<FleetView> fleet;
  RcuCell<MembersView> members;
  AccountLimiter limiter;
  RetryBudget retry_budget;
  ServicePool services;

  std::mutex quarantine_mutex;
  Quarantine quarantine;
  std::mutex burn_mutex;
  BurnData burn;

  std::atomic<bool> leaving{false};
  // Set some seconds after `leaving`, when callers had time to learn of it.
  std::atomic<bool> refusing{false};
  // HTTP requests whose headers arrived and that have no complete answer yet.
  std::atomic<int> open_requests{0};
  // Those of them whose body arrived too; a graceful stop waits for these.
  std::atomic<int> unanswered{0};
  // Ledger rows that still have to be written.
  std::atomic<int> pending_records{0};
  std::atomic<uint64_t> next_request{1};

  std::unique_ptr<TableService> store;
  std::unique_ptr<ObjectStore> objects;
  std::unique_ptr<InstanceList> list;
  HttpCaller http;
  PeerClient peers;

  // Declared after what their tasks use, so that they stop first.
  EventLoop entry_loop;
  EventLoop chain_loop;
  EventLoop control_loop;
  WorkerPool peer_pool{kPeerThreads, kPeerQueue};
  WorkerPool store_pool{kStoreThreads, kStoreQueue};
  WorkerPool service_pool{kServiceThreads, kServiceQueue};
  WorkerPool ledger_pool{kServiceThreads, kStoreQueue};

  std::unique_ptr<ChainHost> chains;
  std::unique_ptr<EntryHost> entry;
  std::unique_ptr<ControlHost> control;
  std::unique_ptr<BatchHost> batches;
};

// Lower-case hex SHA-256.
std::string Sha256Hex(const std::string& bytes);

}  // namespace trefoilwick::detail
