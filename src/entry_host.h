// Drives EntryRequests: chooses routes, submits requests and returns tokens to
// callers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chain_host.h"
#include "event_loop.h"
#include "peer.h"
#include "trefoilwick/entry.h"
#include "trefoilwick/membership.h"
#include "trefoilwick/routing.h"

namespace trefoilwick::detail {

// Immutable snapshot of the members for the request path.
struct MembersView {
  std::map<std::string, Member> members;
  std::vector<SchedulerCandidate> schedulers;
  const Member* Find(const std::string& id) const {
    auto it = members.find(id);
    return it == members.end() ? nullptr : &it->second;
  }
};

// Receives the updates for one caller, on the entry loop.
using CallerSink = std::function<void(const CallerUpdate&)>;

// Sends deliveries to entries in order, one call at a time per entry, and
// retries a failed call until the entry is gone. Runs on the chain loop.
class DeliverySender {
 public:
  using OrphanedRequestsFunction =
      std::function<void(const std::vector<std::string>&)>;
  using EntryGoneFunction = std::function<void(const std::string& entry)>;
  DeliverySender(EventLoop& loop,
                 WorkerPool& pool,
                 PeerClient& peers,
                 const RcuCell<MembersView>& members,
                 OrphanedRequestsFunction on_orphaned_requests,
                 EntryGoneFunction on_entry_gone);
  void Send(const std::string& entry, Delivery delivery);
  // Updates that no entry has acknowledged yet; a call in flight counts as one.
  size_t unacknowledged_updates() const;

 private:
  struct Outbox {
    Delivery pending;
    bool in_flight = false;
    bool fresh_connection = false;
  };
  void Flush(const std::string& entry);
  void OnSent(const std::string& entry,
              Delivery delivery,
              const absl::StatusOr<std::vector<std::string>>& result);

  EventLoop& m_loop;
  WorkerPool& m_pool;
  PeerClient& m_peers;
  const RcuCell<MembersView>& m_members;
  OrphanedRequestsFunction m_on_orphaned_requests;
  EntryGoneFunction m_on_entry_gone;
  std::map<std::string, Outbox> m_outboxes;
};

struct EntryHostConfig {
  std::string id;
  int64_t incarnation = 0;
  std::string data_center;
  std::string chain_policy;
};

// All members run on the entry loop, except where noted.
class EntryHost {
 public:
  EntryHost(EntryHostConfig config,
            EventLoop& loop,
            EventLoop& chain_loop,
            ChainHost& chains,
            WorkerPool& pool,
            PeerClient& peers,
            Metrics& metrics,
            const RcuCell<FleetView>& fleet,
            const RcuCell<MembersView>& members);
  // Starts the periodic work. From any thread.
  void Start();

  struct AcceptedRequest {
    std::string request;
    uint64_t sink_id = 0;
  };
  AcceptedRequest Accept(Submission submission,
                         const std::string& model,
                         CallerSink sink);
  // Adds another receiver of the updates of a running request.
  uint64_t AddSink(const std::string& request, CallerSink sink);
  // Cancels the request when none of its callers is connected any more.
  void OnCallerGone(const std::string& request, uint64_t sink);
  std::vector<std::string> OnDeliver(const Delivery& delivery);
  void OnSchedulerLost(const std::string& scheduler);
  const RequestView* FindRequest(const std::string& request) const;
  size_t active_requests() const { return m_requests.active(); }
  void AbortRequests();

 private:
  std::optional<ChainRoute> ChooseRoute(const RouteQuery& query);
  void ProcessActions();
  void Submit(SubmitRequest submit);
  void OnSubmitResult(const std::string& request,
                      uint64_t lineage,
                      const std::string& chain,
                      const absl::StatusOr<SubmitResult>& result);
  void Cancel(const CancelRequest& cancel);
  void VerifyRequestsHeld(const VerifyRequests& verify);
  void RecordChainLoad(const ChainLoadReport& load);

  EntryHostConfig m_config;
  EventLoop& m_loop;
  EventLoop& m_chain_loop;
  ChainHost& m_chains;
  WorkerPool& m_pool;
  PeerClient& m_peers;
  const RcuCell<FleetView>& m_fleet;
  const RcuCell<MembersView>& m_members;
  SystemClock m_clock;
  Random m_random;
  std::unique_ptr<ChainPolicy> m_policy;
  EntryRequests m_requests;
  std::map<std::string, ChainLoadInfo> m_loads;
  PrefixIndex m_prefixes;
  struct SinkEntry {
    uint64_t id = 0;
    // False once the caller has disconnected. The sink still receives updates,
    // since it also does the accounting of the request.
    bool connected = true;
    CallerSink receive;
  };
  std::unordered_map<std::string, std::vector<SinkEntry>> m_sinks;
  uint64_t m_next_sink = 1;
  Counter& m_submissions;
  Counter& m_resubmissions;
  Counter& m_tokens;
};

}  // namespace trefoilwick::detail
