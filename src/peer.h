// Messages between entry instances, without Thrift types.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "trefoilwick/admission.h"
#include "trefoilwick/kernel.h"
#include "trefoilwick/pipeline.h"

namespace trefoilwick::detail {

struct RemoteSubmission {
  std::string chain;
  int64_t entry_incarnation = 0;
  Submission submission;
};

struct SubmitResult {
  // Empty when accepted.
  std::optional<SubmitRefusal> refusal;
  Duration expected_wait{0};
  int64_t scheduler_incarnation = 0;
};

struct ChainLoadReport {
  std::string chain;
  Duration expected_wait{0};
  int queued = 0;
  int running = 0;
};

struct Delivery {
  std::string scheduler;
  int64_t scheduler_incarnation = 0;
  std::vector<TokenUpdate> updates;
  std::vector<ChainLoadReport> loads;
};

struct PeerTableChanges {
  int64_t head_version = 0;
  // Encoded TableDeltas, oldest first. Empty when the asking peer is too far
  // behind; `snapshot` then holds the encoded table.
  std::vector<std::string> changes;
  std::string snapshot;
};

struct PeerOutcome {
  // True when the instance knows the request.
  bool known = false;
  int64_t incarnation = 0;
  std::string outcome;
  std::string detail;
};

// Serves the calls of peers. Called on the server's own threads.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual SubmitResult OnSubmit(RemoteSubmission submission) = 0;
  virtual std::vector<std::string> OnDeliver(Delivery delivery) = 0;
  virtual void OnCancel(const std::vector<std::string>& requests) = 0;
  virtual std::vector<std::string> OnFindMissingRequests(
      const std::vector<std::string>& requests) = 0;
  virtual std::string OnProbe(const std::string& gossip) = 0;
  virtual absl::StatusOr<std::string> OnProbeVia(const std::string& target,
                                                 const std::string& gossip) = 0;
  virtual void OnQuarantine(uint64_t fingerprint, int64_t expires_unix_ms) = 0;
  virtual PeerTableChanges OnFetchTableChanges(int64_t after) = 0;
  virtual std::vector<UsageSum> OnUsageReport(
      const std::string& instance,
      const std::vector<AccountDemand>& report) = 0;
  virtual PeerOutcome OnGetOutcome(const std::string& request) = 0;
};

// Accepts connections of peers on "host:port".
class PeerServer {
 public:
  PeerServer(const std::string& address, PeerHandler& handler);
  ~PeerServer();
  // kUnavailable when the address cannot be bound.
  absl::Status Start();
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

// Options of one call to a peer.
struct PeerCallOptions {
  // host:port
  std::string address;
  Duration timeout{500'000};
  // Closes the pooled connections to the address and opens a new one, since
  // pooled ones may not respond any more.
  bool fresh_connection = false;
};

// Blocking calls to peers over pooled connections. Thread-safe. Errors:
// kUnavailable when the call certainly did not reach the peer, otherwise
// kUnknown.
class PeerClient {
 public:
  PeerClient();
  ~PeerClient();
  absl::StatusOr<SubmitResult> Submit(const PeerCallOptions& call,
                                      const RemoteSubmission& submission);
  absl::StatusOr<std::vector<std::string>> Deliver(const PeerCallOptions& call,
                                                   const Delivery& delivery);
  absl::Status Cancel(const PeerCallOptions& call,
                      const std::vector<std::string>& requests);
  absl::StatusOr<std::vector<std::string>> FindMissingRequests(
      const PeerCallOptions& call,
      const std::vector<std::string>& requests);
  absl::StatusOr<std::string> Probe(const PeerCallOptions& call,
                                    const std::string& gossip);
  absl::StatusOr<std::string> ProbeVia(const PeerCallOptions& call,
                                       const std::string& target,
                                       const std::string& gossip);
  absl::Status NotifyQuarantine(const PeerCallOptions& call,
                                uint64_t fingerprint,
                                int64_t expires_unix_ms);
  absl::StatusOr<PeerTableChanges> FetchTableChanges(
      const PeerCallOptions& call,
      int64_t after);
  absl::StatusOr<std::vector<UsageSum>> ReportUsage(
      const PeerCallOptions& call,
      const std::string& instance,
      const std::vector<AccountDemand>& report);
  absl::StatusOr<PeerOutcome> GetOutcome(const PeerCallOptions& call,
                                         const std::string& request);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace trefoilwick::detail
