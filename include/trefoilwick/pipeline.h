// Drives one chain of stages: batching, lineages, epochs, stage replacement.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "trefoilwick/admission.h"
#include "trefoilwick/kernel.h"
#include "trefoilwick/routing.h"

namespace trefoilwick {

// A request handed to the scheduler of a chain.
struct Submission {
  std::string request;
  // Unique per (re)start of the request; see docs/design.md, section 4.3.
  uint64_t lineage = 0;
  std::string account;
  double account_weight = 1;
  std::string kind;
  double kind_weight = 1;
  double kind_floor = 0;
  Rank rank = Rank::kOrdinary;
  std::string prompt;
  int max_tokens = 16;
  uint64_t seed = 0;
  // Tokens the entry already received in earlier lineages.
  std::vector<std::string> tokens;
  // Entry instance that owns the request.
  std::string entry;
  uint64_t fingerprint = 0;
  // Runs alone at each stage, because a server crashed during an earlier batch
  // that contained it.
  bool isolated = false;
  Duration first_token_target{2'000'000};
  Duration between_tokens_target{100'000};
};

// One request's part of a step. `input` holds the new token texts at positions
// [position, position + count); only the first stage reads them. Later stages
// read `activation`, which the previous stage returned. The last stage returns
// a token when `sample` is set.
struct StepItem {
  std::string request;
  uint64_t lineage = 0;
  std::string account;
  int position = 0;
  int count = 0;
  std::vector<std::string> input;
  std::string activation;
  bool sample = true;
  Rank rank = Rank::kOrdinary;
  bool operator==(const StepItem&) const = default;
};

struct StepResultItem {
  std::string request;
  uint64_t lineage = 0;
  std::string activation;
  std::string token;
  // Not empty when the stage refused this item because it has no KV at that
  // position.
  std::string error;
};

enum class CallFailure : uint8_t {
  // No answer within the deadline, or the connection broke.
  kNoReply,
  // Connection refused: the process has ended.
  kCrashed,
  // The server answered with an error.
  kError,
  // The server saw a newer epoch.
  kStaleEpoch,
};
inline constexpr auto kCallFailureNames = MakeEnumTable<CallFailure>({
    {CallFailure::kNoReply, "lost"},
    {CallFailure::kCrashed, "crashed"},
    {CallFailure::kError, "error"},
    {CallFailure::kStaleEpoch, "stale_epoch"},
});

// Actions of the scheduler, executed by its adapter.
struct SendStep {
  uint64_t step_id = 0;
  ListedServer server;
  uint64_t epoch = 0;
  std::vector<StepItem> items;
  // Set when the step is retried on a new connection after a failed call.
  bool fresh_connection = false;
};
struct SendClaim {
  uint64_t claim_id = 0;
  ListedServer server;
  uint64_t epoch = 0;
};
struct SendRelease {
  ListedServer server;
  std::vector<std::pair<std::string, uint64_t>> requests;
};

enum class UpdateState : uint8_t { kRunning, kFinished, kFailed, kQuarantined };
inline constexpr auto kUpdateStateNames = MakeEnumTable<UpdateState>({
    {UpdateState::kRunning, "running"},
    {UpdateState::kFinished, "finished"},
    {UpdateState::kFailed, "failed"},
    {UpdateState::kQuarantined, "quarantined"},
});

// New tokens of one request; the first has position `index` in the answer.
struct TokenUpdate {
  std::string request;
  uint64_t lineage = 0;
  // The lineage that `lineage` replaces, 0 for the submitted one. An entry
  // whose current lineage is `replaces` makes `lineage` the current one; an
  // update that matches neither is dropped.
  uint64_t replaces = 0;
  int index = 0;
  std::vector<std::string> tokens;
  UpdateState state = UpdateState::kRunning;
  // Machine-readable reason when failed: "quarantined", "no_progress" (the
  // stages lost its KV too often), "server_error", or the reason given to
  // ReleaseChain ("chain_lost", "stopped").
  std::string reason;
  // Set on failure when the request may have crashed a server: a new submission
  // must have `isolated` set.
  bool suspect = false;
};
// Tokens for one entry; one action per step and entry.
struct DeliverTokens {
  std::string entry;
  std::vector<TokenUpdate> updates;
};
// The adapter passes this to its HealthTracker.
struct ReportFailure {
  std::string server;
  CallFailure failure = CallFailure::kNoReply;
};
// A request crashed a server while it ran alone.
struct ReportCrashingRequest {
  uint64_t fingerprint = 0;
  std::string server;
};
// The chain cannot continue with its present stages; the adapter calls SetChain
// with a chain that replaces the failed server, or ReleaseChain.
struct RequestStageReplacement {
  std::string chain;
  std::string failed_server;
};
using ChainAction = std::variant<SendStep,
                                 SendClaim,
                                 SendRelease,
                                 DeliverTokens,
                                 ReportFailure,
                                 ReportCrashingRequest,
                                 RequestStageReplacement>;

struct SubmitRefusal {
  // "overloaded", "stopping", "duplicate", "no_chain", "quarantined".
  std::string reason;
  Duration retry_after{0};
};

struct ChainSchedulerOptions {
  // Requests in one micro-batch.
  int max_batch = 16;
  // Prompt tokens run in one step for one micro-batch.
  int max_prefill_tokens = 512;
  // Micro-batches in flight beyond one per stage. They cover the time between
  // the end of a step at one stage and its start at the next.
  int extra_micro_batches = 1;
  // Max queued requests of one rank. When it is reached, an account with less
  // than an equal share of the queue may still queue requests, up to twice this
  // number in total.
  size_t max_queue = 4096;
  // Number of times a batch-rank request may be preempted by an urgent one.
  int max_preemptions = 2;
  // Min and max of the exponential backoff before a refused claim is retried.
  Duration claim_backoff_min{50'000};
  Duration claim_backoff_max{5'000'000};
  // A claim without a reply is retried after this time.
  Duration claim_timeout{1'000'000};
  // A request is refused at once when its expected wait exceeds this multiple
  // of its first-token target.
  double max_wait_target_ratio = 1.0;
  // Service cost of one prompt token, relative to one generated token.
  double prefill_cost = 0.1;
};

// Scheduler of one chain; a state machine. Events return nothing; the adapter
// collects the resulting actions with TakeActions(). Not thread-safe.
//
// Up to one micro-batch per stage and `extra_micro_batches` are in flight. A
// request joins a micro-batch between two of its rounds. After a step failure
// the scheduler first retries the call on a new connection (steps are
// idempotent at a stage: the stage returns the stored result of the last step
// of a lineage), then asks for a replacement stage; all running requests
// restart with a new lineage that replays the prompt and the tokens already
// delivered. Requests of the failed step first run alone at each stage; a
// request that fails a server again while it runs alone is quarantined.
//
// OnTick sends releases, batched per server, and retries claims; it must be
// called at least every 200 ms.
class ChainScheduler {
 public:
  class Builder {
   public:
    // 16-bit id that makes the epochs of different schedulers differ. It also
    // determines the prefix of the lineages that this scheduler creates.
    Builder& SchedulerId(uint16_t id);
    Builder& Incarnation(uint32_t incarnation);
    Builder& Options(ChainSchedulerOptions options);
    Builder& InitialChain(Chain chain);
    absl::StatusOr<std::unique_ptr<ChainScheduler>> Build(TimePoint now);

   private:
    friend class ChainScheduler;
    uint16_t m_scheduler_id = 0;
    uint32_t m_incarnation = 0;
    ChainSchedulerOptions m_options;
    Chain m_chain;
  };
  ~ChainScheduler();

  // Queues a request, or returns the reason for refusing it; a refused request
  // was not run. A submission with a new lineage of a known request replaces
  // the older one. `retry_after` is the expected time until it would be
  // accepted, without jitter.
  std::optional<SubmitRefusal> Submit(TimePoint now, Submission submission);
  // Ends a request without a further update.
  void Cancel(TimePoint now, const std::string& request);
  // Cancels all requests of an entry instance that is lost.
  void CancelEntryRequests(TimePoint now, const std::string& entry);
  void OnStepReply(TimePoint now,
                   uint64_t step,
                   std::vector<StepResultItem> items);
  // `newest_epoch` is set for kStaleEpoch.
  void OnStepFailure(TimePoint now,
                     uint64_t step,
                     CallFailure failure,
                     uint64_t newest_epoch = 0);
  void OnClaimReply(TimePoint now, uint64_t claim);
  void OnClaimFailure(TimePoint now,
                      uint64_t claim,
                      CallFailure failure,
                      uint64_t newest_epoch = 0);
  void OnTick(TimePoint now);
  // Replaces stages: claims the new ones and restarts all running requests.
  void SetChain(TimePoint now, Chain chain);
  // Called when the chain is lost or has a new owner. Reports all queued and
  // running requests as failed with `reason`, so that their entries may
  // resubmit them.
  void ReleaseChain(TimePoint now, const std::string& reason);
  // Refuses new requests and lets the accepted ones finish.
  void StopAccepting();

  std::vector<ChainAction> TakeActions();
  const Chain& chain() const;
  // Expected time that a new request of this rank and account would wait for
  // its first step. The second form also uses the floor of the request's kind,
  // which bounds the wait behind higher ranks.
  Duration ExpectedWait(Rank rank, const std::string& account) const;
  Duration ExpectedWait(Rank rank,
                        const std::string& account,
                        const std::string& kind,
                        double kind_floor) const;
  size_t queued() const;
  size_t running() const;
  bool idle() const { return queued() + running() == 0; }
  // True while the request is queued or running here.
  bool HasRequest(const std::string& request) const;
  uint64_t epoch() const;

 private:
  struct Impl;
  explicit ChainScheduler(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace trefoilwick
