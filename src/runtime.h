// State shared by the components of one daemon.
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

// Threads for blocking calls. Each thread waits for one peer or store call at a
// time; the bounded queue refuses calls when a store is slow.
inline constexpr size_t kPeerThreads = 16;
inline constexpr size_t kPeerQueueSize = 8192;
inline constexpr size_t kStoreThreads = 16;
inline constexpr size_t kStoreQueueSize = 64;
// Service calls have their own threads. Calls that must not be repeated wait
// for the store; they must delay neither other service calls nor the
// synchronization of the table.
inline constexpr size_t kServiceThreads = 16;
inline constexpr size_t kServiceQueueSize = 256;

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
  std::mutex burn_rate_mutex;
  BurnRateHistory burn_rate_history;

  std::atomic<bool> draining{false};
  // Set some seconds after `draining`, so that callers have time to learn of
  // it.
  std::atomic<bool> refusing_new_work{false};
  // HTTP requests whose headers arrived and that have no complete response yet.
  std::atomic<int> open_requests{0};
  // Open requests whose body arrived too; a graceful stop waits for them.
  std::atomic<int> unanswered_requests{0};
  // Ledger rows that still have to be written.
  std::atomic<int> pending_ledger_writes{0};
  std::atomic<uint64_t> next_request_number{1};

  std::unique_ptr<TableService> store;
  std::unique_ptr<ObjectStore> objects;
  std::unique_ptr<InstanceList> instance_list;
  BackendHttpClient http_client;
  PeerClient peers;

  // Declared after the members that their tasks use, so that they stop first.
  EventLoop entry_loop;
  EventLoop chain_loop;
  EventLoop control_loop;
  WorkerPool peer_pool{kPeerThreads, kPeerQueueSize};
  WorkerPool store_pool{kStoreThreads, kStoreQueueSize};
  WorkerPool service_pool{kServiceThreads, kServiceQueueSize};
  WorkerPool ledger_pool{kServiceThreads, kStoreQueueSize};

  std::unique_ptr<ChainHost> chains;
  std::unique_ptr<EntryHost> entry;
  std::unique_ptr<ControlHost> control;
  std::unique_ptr<BatchHost> batches;
};

// Lower-case hex SHA-256.
std::string Sha256Hex(const std::string& bytes);

}  // namespace trefoilwick::detail
