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
  // Owner of the request.
  std::string entry;
  uint64_t fingerprint = 0;
  // Run without neighbours, since an earlier batch with it crashed a server.
  bool isolated = false;
  Duration first_token_target{2'000'000};
  Duration between_tokens_target{100'000};
};

// One request's part of a step. `input` are the new token texts at positions
// [position, position + count); only the first stage reads them. Later stages
// read `activation`, which the stage before returned. The last stage returns a
// token when `sample` is set.
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
  // Not empty: the stage refused this item (no KV at that position).
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

// Actions of the scheduler, carried out by its adapter.
struct SendStep {
  uint64_t step_id = 0;
  BackendServer server;
  uint64_t epoch = 0;
  std::vector<StepItem> items;
  // Repeated on a fresh connection after a lost call.
  bool fresh_connection = false;
};
struct SendClaim {
  uint64_t claim_id = 0;
  BackendServer server;
  uint64_t epoch = 0;
};
struct SendRelease {
  BackendServer server;
  std::vector<std::pair<std::string, uint64_t>> requests;
};

enum class UpdateState : uint8_t { kRunning, kFinished, kFailed, kQuarantined };
inline constexpr auto kUpdateStateNames = MakeEnumTable<UpdateState>({
    {UpdateState::kRunning, "running"},
    {UpdateState::kFinished, "finished"},
    {UpdateState::kFailed, "failed"},
    {UpdateState::kQuarantined, "quarantined"},
});

// New tokens of one request, starting at `index`.
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
  // stages keep losing its state) or what ReleaseChain was given ("chain_lost",
  // "stopped").
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
// The adapter feeds this to its HealthTracker.
struct ReportFailure {
  std::string server;
  CallFailure failure = CallFailure::kNoReply;
};
// A request crashed a server while it ran alone.
struct ReportCrashingRequest {
  uint64_t fingerprint = 0;
  std::string server;
};
// The chain cannot go on with the stages it has; the adapter calls
// SetChain with a chain that replaces the named stage, or ReleaseChain.
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
  // Micro-batches in flight beyond one per stage; covers the time between the
  // end of a step at one stage and its start at the next.
  int extra_micro_batches = 1;
  // Queued requests of one rank. When they are reached, an account that has
  // less than an equal part of them may still queue, up to twice as many.
  size_t max_queue = 4096;
  // Times a batch-rank request may be put back for an urgent one.
  int max_preemptions = 2;
  // Bounds of the doubling wait before a refused claim is repeated.
  Duration claim_backoff_min{50'000};
  Duration claim_backoff_max{5'000'000};
  // Time a claim may take before it is repeated.
  Duration claim_timeout{1'000'000};
  // A request is refused at once when its expected wait is over this multiple
  // of its first-token target.
  double max_wait_target_ratio = 1.0;
  // Tokens of prompt that cost as much service as one generated token.
  double prefill_cost = 0.1;
};

// Scheduler of one chain; a state machine. Events return nothing; the adapter
// collects what is to be done with TakeActions(). Not thread-safe.
//
// Up to one micro-batch per stage and `extra_micro_batches` are in flight. A
// request joins a micro-batch between two of its rounds. A step failure first
// repeats the call on a fresh connection (steps are idempotent at a stage: the
// stage returns the stored result of the last step of a lineage), then asks for
// a replacement stage; all running requests restart with a new lineage that
// replays the prompt and the tokens already delivered. Requests of the failed
// step first run alone at each stage; one whose lone run fails a server again
// is quarantined.
//
// OnTick sends releases, batched per server, and repeats claims; it must be
// called at least every 200 ms.
class ChainScheduler {
 public:
  class Builder {
   public:
    // 16-bit id that makes epochs of different schedulers differ, and the
    // prefix of lineages this scheduler creates.
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

  // Queues a request, or says why not; nothing was run then. A submission with
  // a new lineage of a known request replaces the older one. `retry_after` is
  // the expected time until it would be accepted, without jitter.
  std::optional<SubmitRefusal> Submit(TimePoint now, Submission submission);
  // Ends a request without a further update.
  void Cancel(TimePoint now, const std::string& request);
  // Cancels what belongs to an entry that is gone.
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
  // Replaces stages; claims the new ones and restarts what ran on them.
  void SetChain(TimePoint now, Chain chain);
  // The chain is lost or has a new owner: everything queued and running is
  // reported as failed with `reason`, so that its entry may resubmit it.
  void ReleaseChain(TimePoint now, const std::string& reason);
  // Refuses new requests, finishes the others.
  void StopAccepting();

  std::vector<ChainAction> TakeActions();
  const Chain& chain() const;
  // Time a request of this rank and account would wait for its first step, and
  // for a kind with a floor, which bounds the wait behind higher ranks.
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
