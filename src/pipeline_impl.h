// State of ChainScheduler; shared by src/pipeline*.cc.
#pragma once

#include <array>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilwick/pipeline.h"

namespace trefoilwick {
namespace detail {

struct MicroBatch;

// A step in flight may store KV of a request that has already ended. The
// release waits for the step's reply, but at most this long.
inline constexpr Duration kReleaseDelay{500'000};

// A request that has not ended. Its sequence consists of the words of the
// prompt and then the tokens; every stage holds KV for the first `position` of
// them.
struct ChainRequest {
  Submission submission;
  std::vector<std::string> prompt_words;
  uint64_t lineage = 0;
  uint64_t replaces = 0;
  // Whether a stage may hold KV of `lineage`.
  bool may_hold_kv = false;
  // Whether the next start needs a new lineage.
  bool needs_new_lineage = false;
  int position = 0;
  // Runs alone at each stage until `position` reaches `isolation_end_position`.
  bool isolated = false;
  int isolation_end_position = std::numeric_limits<int>::max();
  bool queued = true;
  bool selected_for_floor = false;
  int preemptions = 0;
  // Lineages lost since the last token.
  int lost_lineages = 0;
  uint64_t start_order = 0;
  // The part of the expected cost that has not been charged yet.
  double expected_cost = 0;
  MicroBatch* batch = nullptr;

  int length() const {
    return static_cast<int>(prompt_words.size() + submission.tokens.size());
  }
  int remaining() const { return length() - position; }
  bool is_decoding() const { return position > 0 && remaining() == 1; }
  const std::string& TokenAt(int index) const;
  int tokens_left() const {
    return submission.max_tokens - static_cast<int>(submission.tokens.size());
  }
  bool complete() const { return tokens_left() <= 0; }
};

using ReleaseKey = std::pair<std::string, uint64_t>;

// A group of requests that go through the stages together. A round takes the
// items through all stages; `owners` and `fingerprints` run parallel to
// `items`, and an owner is null once its request has ended.
struct MicroBatch {
  bool isolated = false;
  std::vector<ChainRequest*> members;
  std::vector<StepItem> items;
  std::vector<ChainRequest*> owners;
  std::vector<uint64_t> fingerprints;
  // -1 between rounds.
  int stage = -1;
  bool in_flight = false;
  // The step failed once and is retried on a new connection.
  bool retried = false;
  uint64_t step_id = 0;
  uint64_t step_epoch = 0;
  TimePoint round_start{};
  // Lineages that ended during the step in flight.
  std::vector<ReleaseKey> late_releases;

  bool idle() const { return stage < 0; }
  bool waits_for_stage(size_t at) const {
    return stage == static_cast<int>(at) && !in_flight;
  }
};

// Requests with this fingerprint may crash a server before they reach position
// `isolation_end_position`.
struct SuspectFingerprint {
  TimePoint expires;
  int isolation_end_position = 0;
};

struct ChainStage {
  ListedServer server;
  bool claimed = false;
  bool failed = false;
  // Id of the claim in flight; 0 when there is none.
  uint64_t claim_id = 0;
  bool claim_retried = false;
  TimePoint claim_sent{};
  int in_flight = 0;
};

}  // namespace detail

struct ChainScheduler::Impl {
  using Request = detail::ChainRequest;
  using Batch = detail::MicroBatch;

  uint16_t scheduler_id = 0;
  // High half of the lineages and step ids that this scheduler creates.
  uint32_t id_prefix = 0;
  ChainSchedulerOptions options;
  Chain chain;
  Random random{0};
  TimePoint now{};
  bool accepting = true;

  FairQueue queue;
  std::unordered_map<std::string, std::unique_ptr<Request>> requests;
  std::vector<detail::ChainStage> stages;
  // The last one runs suspects, one at a time.
  std::vector<std::unique_ptr<Batch>> batches;
  // Running requests that wait for a free slot in a micro-batch.
  std::deque<Request*> rejoin_queue;
  std::deque<Request*> suspects;
  // KV to be released, with the earliest time of the release.
  std::map<detail::ReleaseKey, TimePoint> pending_releases;
  // Releases for servers that were removed from the chain, with the time to
  // send them.
  std::deque<std::pair<TimePoint, SendRelease>> removed_server_releases;
  // Fingerprints of suspects and of quarantined requests.
  std::map<uint64_t, detail::SuspectFingerprint> suspect_fingerprints;
  std::map<uint64_t, TimePoint> quarantined_fingerprints;
  std::vector<DeliverTokens> outgoing;
  std::vector<ChainAction> actions;

  uint32_t last_lineage = 0;
  uint32_t last_step_id = 0;
  uint64_t last_claim_id = 0;
  uint64_t last_start_order = 0;
  // 0 while no epoch is held or being claimed.
  uint64_t epoch = 0;
  uint64_t epoch_counter = 0;
  int refused_claims = 0;
  TimePoint backoff_until{};
  TimePoint claimed_at{};
  // Moving average of the duration of a round; see ExpectedWait.
  double mean_round_us = 50'000;
  // Current max number of requests in one micro-batch; below max_batch while
  // rounds are too slow for the targets of urgent requests.
  double batch_limit = 0;
  // When an urgent request last finished a round.
  TimePoint last_urgent_round_at{};
  // Sum of the tokens that the queued requests of each rank still need.
  std::array<double, kRankCount> queued_rounds{};
  // Requests accepted, as exponentially decayed counts.
  std::array<double, kRankCount> arrivals{};
  TimePoint arrivals_updated_at{};

  // pipeline.cc
  std::optional<SubmitRefusal> Submit(Submission submission);
  std::optional<SubmitRefusal> CheckLoad(const Submission& submission) const;
  Duration ExpectedWait(Rank rank,
                        const std::string& account,
                        const std::string& kind,
                        double kind_floor) const;
  double MeanRounds(Rank rank) const;
  double MicrosPerFreeSlot(Rank rank) const;
  double RoundsUntilSlotsFree(Rank rank, size_t slots) const;
  void Enqueue(Submission submission);
  void CountArrival(Rank rank);
  void RemoveRequest(Request& request);
  void DetachRequest(Request& request);
  void FailRequest(Request& request,
                   UpdateState state,
                   const std::string& reason);
  void AddUpdate(const Request& request,
                 UpdateState state,
                 std::vector<std::string> tokens = {},
                 const std::string& reason = {});
  void FlushUpdates();
  void ReleaseKv(Request& request);
  void FlushReleases();
  void FlushRemovedServerReleases();
  size_t BatchedCount() const;
  size_t Capacity() const;
  size_t BatchLimit() const;
  void AdjustBatchLimit(const Batch& batch, Duration round);
  void ShrinkToLimit(Batch& batch);
  size_t PreemptibleCount() const;
  bool HasWork() const { return !requests.empty(); }

  // pipeline_rounds.cc
  void ScheduleSteps();
  void StartRound(Batch& batch);
  void FillBatch(Batch& batch);
  void FillSuspectBatch(Batch& batch);
  void PreemptForUrgent(Batch& batch);
  bool PreemptOne(Batch& batch);
  Request* PopQueue();
  void AddMember(Batch& batch, Request& request);
  void BuildItems(Batch& batch);
  void AddItem(Batch& batch, Request& member, int count);
  bool MaySend(const Batch& batch) const;
  void SendPendingStep(Batch& batch);
  Batch* FindStep(uint64_t step);
  void EndStep(Batch& batch);
  void OnStepReply(Batch& batch, std::vector<StepResultItem> results);
  void FinishRound(Batch& batch);
  void FinishItem(Request& request, const StepItem& item, std::string token);
  void ClearSuspect(Request& request);
  void RenewLineage(Request& request);
  void OnKvLost(Request& request);
  void Charge(Request& request, double cost);

  // pipeline_faults.cc
  void BuildStages(const Chain& next);
  bool AllStagesClaimed() const;
  void EnsureClaimed();
  void SendClaimTo(detail::ChainStage& stage);
  detail::ChainStage* FindClaim(uint64_t claim);
  void OnClaimed(detail::ChainStage& stage);
  void OnClaimFailed(detail::ChainStage& stage, CallFailure failure);
  void OnStaleEpoch(uint64_t newest);
  void OnStepFailure(Batch& batch, CallFailure failure, uint64_t newest);
  void FailStage(size_t at, CallFailure failure);
  void MarkSuspects(Batch& batch,
                    const std::string& server,
                    CallFailure failure);
  void QuarantineRequest(Request& request, const std::string& server);
  void IsolateIfSuspect(Request& request);
  void ExpireFingerprints();
  void AbortRounds();
  void RestartRequest(Request& request);
  void ReleaseOnRemovedServers(const Chain& next);
  void MarkSuspectsOfLostSteps(const Chain& next);
  void SetChain(Chain next);
  void ReleaseChain(const std::string& reason);
};

}  // namespace trefoilwick
