// Requests owned by an entry instance, from acceptance to their outcome.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "trefoilwick/kernel.h"
#include "trefoilwick/pipeline.h"

namespace trefoilwick {

// Identity of a request: the entry instance and incarnation that own it, and
// its number there.
struct RequestId {
  std::string entry;
  int64_t incarnation = 0;
  uint64_t sequence = 0;
  bool operator==(const RequestId&) const = default;
};
// "<entry>-<incarnation hex>-<sequence hex>".
std::string FormatRequestId(const RequestId& id);
std::optional<RequestId> ParseRequestId(std::string_view text);

// Destination of a request: a chain and the instance that schedules it.
struct ChainRoute {
  std::string chain;
  std::string scheduler;
};
struct RouteQuery {
  std::string model;
  uint64_t prefix_hash = 0;
  // Chains already tried.
  std::set<std::string> excluded_chains;
};

// Actions of EntryRequests.
struct SubmitRequest {
  ChainRoute route;
  Submission submission;
};
struct CancelRequest {
  std::string scheduler;
  std::string request;
};
// Asks a scheduler, over a new connection, whether it still has the requests.
struct VerifyRequests {
  std::string scheduler;
  std::vector<std::string> requests;
};
// Update for the caller of a request: accepted (no tokens, still running), new
// tokens, or the final outcome.
struct CallerUpdate {
  std::string request;
  int index = 0;
  std::vector<std::string> tokens;
  Outcome outcome = Outcome::kRunning;
  std::string reason;
  // Set with kNotRun: time after which the caller may try again.
  Duration retry_after{0};
};
using EntryAction =
    std::variant<SubmitRequest, CancelRequest, VerifyRequests, CallerUpdate>;

// State of a request; available for `outcome_retention` after its end.
struct RequestView {
  std::string account;
  std::string kind;
  Rank rank = Rank::kOrdinary;
  Outcome outcome = Outcome::kRunning;
  std::string reason;
  std::vector<std::string> tokens;
  int attempts = 0;
};

struct EntryOptions {
  // Max submissions of one request, including the first.
  int max_attempts = 6;
  // A running request without an update for this long is verified.
  Duration verify_after{1'000'000};
  // Max time for which an accepted request waits for a chain to become
  // available.
  Duration route_timeout{10'000'000};
  Duration route_retry_interval{100'000};
  // Time for which outcomes stay available after the end of a request.
  Duration outcome_retention{60'000'000};
};

// State machine of all requests that one entry instance owns. Only tokens of
// the current lineage are appended to the answer, in order and once. `not_run`
// is reported only when no submission can have started. Not thread-safe.
class EntryRequests {
 public:
  using Router = std::function<std::optional<ChainRoute>(const RouteQuery&)>;

  EntryRequests(std::string entry,
                int64_t incarnation,
                EntryOptions options,
                Router router);

  // Accepts a request and fills in the lineage, request id and entry of
  // `submission`. Returns the request id. A request that no chain can take ends
  // as kNotRun in the actions that follow.
  std::string Accept(TimePoint now, Submission submission, std::string model);
  void OnSubmitAccepted(TimePoint now,
                        const std::string& request,
                        uint64_t lineage);
  void OnSubmitRefused(TimePoint now,
                       const std::string& request,
                       uint64_t lineage,
                       const SubmitRefusal& refusal);
  // The submission got no reply. `certainly_not_sent` is true when no byte of
  // it was sent.
  void OnSubmitFailed(TimePoint now,
                      const std::string& request,
                      uint64_t lineage,
                      bool certainly_not_sent);
  // Returns the requests that the scheduler should cancel.
  std::vector<std::string> OnDeliver(TimePoint now,
                                     const std::string& scheduler,
                                     const std::vector<TokenUpdate>& updates);
  // Reply to VerifyRequests; the scheduler does not have the `missing`
  // requests.
  void OnVerified(TimePoint now,
                  const std::string& scheduler,
                  const std::vector<std::string>& missing);
  // The scheduler does not reply or is known to be lost.
  void OnSchedulerUnavailable(TimePoint now, const std::string& scheduler);
  void OnCallerGone(TimePoint now, const std::string& request);
  void OnTick(TimePoint now);
  // Ends all running requests: as not run when no submission can have started,
  // as incomplete otherwise. Called at the second SIGTERM.
  void AbortAll(TimePoint now);

  std::vector<EntryAction> TakeActions();
  const RequestView* Find(const std::string& request) const;
  // Requests without an outcome.
  size_t active() const { return m_active; }
  int64_t incarnation() const { return m_incarnation; }
  uint64_t dropped_updates() const { return m_dropped_updates; }

 private:
  struct TrackedRequest {
    RequestView view;
    Submission submission;
    std::string model;
    std::set<std::string> excluded_chains;
    ChainRoute route;
    uint64_t lineage = 0;
    // No submission is in flight and none is accepted.
    bool unrouted = true;
    bool accepted = false;
    // Some submission may have started to run.
    bool may_have_run = false;
    bool verifying = false;
    int refusals = 0;
    Duration retry_after{0};
    TimePoint last_update_at{};
    TimePoint next_route_at{};
    TimePoint route_deadline{};
    TimePoint ended{};
  };
  TrackedRequest* FindRunning(const std::string& request);
  void TryRoute(TimePoint now, const std::string& id, TrackedRequest& tracked);
  void Resubmit(TimePoint now,
                const std::string& id,
                TrackedRequest& tracked,
                bool exclude_chain);
  void FinishRequest(TimePoint now,
                     const std::string& id,
                     TrackedRequest& tracked,
                     Outcome outcome,
                     std::string reason);
  void ApplyUpdate(TimePoint now,
                   TrackedRequest& tracked,
                   const TokenUpdate& update);
  uint64_t NextLineage();

  std::string m_entry;
  int64_t m_incarnation;
  EntryOptions m_options;
  Router m_router;
  uint32_t m_lineage_prefix;
  uint32_t m_next_lineage = 1;
  uint64_t m_next_sequence = 1;
  size_t m_active = 0;
  uint64_t m_dropped_updates = 0;
  std::unordered_map<std::string, TrackedRequest> m_requests;
  std::vector<EntryAction> m_actions;
};

}  // namespace trefoilwick
