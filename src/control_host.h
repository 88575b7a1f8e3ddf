// Membership, instance list, table synchronization and gossip of this instance.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry_host.h"
#include "event_loop.h"
#include "peer.h"
#include "trefoilwick/config_store.h"
#include "trefoilwick/membership.h"
#include "trefoilwick/platform.h"
#include "trefoilwick/table.h"

namespace trefoilwick::detail {

struct Runtime;

// All members run on the control loop, except where noted.
class ControlHost {
 public:
  explicit ControlHost(Runtime& runtime);
  // Starts the periodic work. From any thread.
  void Start();
  std::string OnProbe(const std::string& gossip);
  PeerTableChanges OnFetchTableChanges(int64_t after);
  std::vector<UsageSum> OnUsageReport(const std::string& instance,
                                      const std::vector<AccountDemand>& report);
  void OnCommitted(const Table& table);
  void LeaveCluster();
  std::vector<Member> KnownMembers() const { return m_membership.View(); }
  bool CertainlyGone(const std::string& id, int64_t incarnation) const {
    return m_membership.CertainlyGone(id, incarnation);
  }
  int64_t newest_known_version() const {
    return m_config_sync.newest_known_version();
  }

 private:
  void OnTick();
  void PollInstanceList();
  void OnInstanceListing(const InstanceListing& listing);
  void PublishQuarantine();
  void ExchangeUsage();
  void ProcessActions();
  void ProcessMembershipActions();
  void ProcessConfigSyncActions();
  // Called on a thread of the peer pool.
  void OnProbeResponse(uint64_t probe,
                       const absl::StatusOr<std::string>& reply);
  void Probe(const SendProbe& probe);
  void ProbeVia(const SendIndirectProbe& probe);
  void OnMemberChanged(const Member& member);
  void OnGossipItem(const GossipItem& item);
  void PublishMembers();
  void FetchHeadVersion();
  void FetchChangesFromStore(int64_t after);
  void FetchTableSnapshot();
  void FetchChangesFromPeer(const FetchFromPeer& fetch);

  Runtime& m_runtime;
  Membership m_membership;
  ConfigSync m_config_sync;
  bool m_list_request_pending = false;
  UsageAggregator m_aggregator;
  UsageExchange m_usage;
  std::string m_last_published_quarantine;
};

}  // namespace trefoilwick::detail
