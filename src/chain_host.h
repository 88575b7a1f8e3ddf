// Runs the schedulers of the chains that this instance owns.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine_client.h"
#include "event_loop.h"
#include "peer.h"
#include "trefoilwick/kernel.h"
#include "trefoilwick/pipeline.h"
#include "trefoilwick/routing.h"
#include "trefoilwick/table.h"

namespace trefoilwick::detail {

struct ChainHostConfig {
  std::string id;
  int64_t incarnation = 0;
};

// All members run on the chain loop, except where noted. The health of backend
// servers is tracked here too, since only schedulers call engines.
class ChainHost {
 public:
  // Called on the chain loop with the updates for one entry.
  using DeliverFunction =
      std::function<void(const std::string& entry, Delivery delivery)>;
  // Notifies all instances of a request that crashes servers, then calls `done`
  // on the chain loop.
  using BroadcastQuarantineFunction =
      std::function<void(uint64_t fingerprint, std::function<void()> done)>;

  ChainHost(ChainHostConfig config,
            EventLoop& loop,
            BackendHttpClient& http_client,
            Metrics& metrics,
            const RcuCell<Table>& table,
            RcuCell<FleetView>& fleet);
  ~ChainHost();
  void SetCallbacks(DeliverFunction deliver,
                    BroadcastQuarantineFunction broadcast_quarantine);
  // Starts the periodic work. From any thread.
  void Start();

  void OnServerList(int64_t version, std::vector<ListedServer> servers);
  void OnSchedulerCandidates(std::vector<SchedulerCandidate> candidates);
  SubmitResult Submit(RemoteSubmission submission);
  void Cancel(const std::vector<std::string>& requests);
  std::vector<std::string> FindMissingRequests(
      const std::vector<std::string>& requests);
  void OnEntryGone(const std::string& entry);
  // Releases all chains; their requests are reported to the entries, which may
  // resubmit them.
  void ReleaseAllChains();
  size_t active_requests() const;
  std::vector<ChainLoadReport> LoadReports() const;

 private:
  struct OwnedChain {
    // Distinguishes successive schedulers of the same chain.
    uint64_t generation = 0;
    std::unique_ptr<ChainScheduler> scheduler;
  };

  void RebuildChains();
  void AssignChains();
  void AcquireChain(const Chain& chain);
  void ReleaseChain(const std::string& chain, const std::string& reason);
  void ProcessActions(const std::string& chain);
  void HandleAction(const std::string& chain,
                    OwnedChain& owned,
                    ChainAction action);
  void RunStep(const std::string& chain,
               const OwnedChain& owned,
               SendStep step);
  void RunClaim(const std::string& chain,
                const OwnedChain& owned,
                SendClaim claim);
  void OnStepResult(const std::string& chain,
                    uint64_t generation,
                    const SendStep& step,
                    TimePoint started,
                    const HttpResult& result);
  void OnClaimResult(const std::string& chain,
                     uint64_t generation,
                     const SendClaim& claim,
                     const HttpResult& result);
  bool HasRequest(const std::string& request) const;
  void OnCrashingRequest(const ReportCrashingRequest& report);
  // Delivers updates. Updates that end a quarantined request wait until every
  // instance was notified, so that the caller cannot resubmit it through
  // another one.
  void Deliver(const std::string& entry, Delivery delivery);
  void OnStageReplacementNeeded(const RequestStageReplacement& replacement);
  void OnTick();
  void ProbeEjectedServers();
  // Starts a call that fails with kNoReply when it has not ended after
  // `deadline`.
  void CallWithDeadline(const HttpCall& call,
                        Duration deadline,
                        std::function<void(HttpResult)> done);

  ChainHostConfig m_config;
  EventLoop& m_loop;
  BackendHttpClient& m_http_client;
  const RcuCell<Table>& m_table;
  RcuCell<FleetView>& m_fleet;
  SystemClock m_clock;
  DeliverFunction m_deliver;
  BroadcastQuarantineFunction m_broadcast_quarantine;

  int64_t m_list_version = 0;
  std::vector<ListedServer> m_servers;
  std::vector<SchedulerCandidate> m_scheduler_candidates;
  HealthTracker m_health;
  // Servers that are not used until a health check succeeds.
  std::set<std::string> m_awaiting_health_check;
  std::map<std::string, OwnedChain> m_owned_chains;
  std::unordered_map<std::string, std::string> m_request_chain;
  uint64_t m_next_generation = 1;
  uint16_t m_scheduler_id = 0;
  bool m_draining = false;
  int m_pending_quarantine_broadcasts = 0;
  std::vector<std::pair<std::string, Delivery>> m_deferred_deliveries;

  Counter& m_steps;
  Counter& m_step_items;
  Counter& m_failures;
  Counter& m_chains_acquired;
  Counter& m_refusals;
  LatencyHistogram& m_step_time;
};

}  // namespace trefoilwick::detail
