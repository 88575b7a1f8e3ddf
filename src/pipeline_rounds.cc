#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "pipeline_impl.h"

namespace trefoilwick {
namespace {

// Max number of lineages that a request may lose at the stages without a new
// token before it fails.
constexpr int kMaxLostLineages = 8;
constexpr double kRoundTimeSmoothing = 0.1;
// A round is too slow above, and micro-batches may grow below, this fraction of
// the target for the time between tokens. The distance between the two avoids
// oscillation, since a change takes effect only after the rounds in flight.
constexpr double kSlowRoundTargetRatio = 0.92;
constexpr double kFastRoundTargetRatio = 0.8;
constexpr double kBatchLimitStep = 0.2;
// The limit does not grow until this long after the last urgent token.
constexpr std::chrono::seconds kBatchLimitHoldTime{2};

// The result of an item; the order of results is normally that of the items.
StepResultItem* FindResult(std::vector<StepResultItem>& results,
                           size_t expected_index,
                           const StepItem& item) {
  auto matches = [&](const StepResultItem& result) {
    return result.lineage == item.lineage && result.request == item.request;
  };
  if (expected_index < results.size() && matches(results[expected_index]))
    return &results[expected_index];
  auto found = std::find_if(results.begin(), results.end(), matches);
  return found == results.end() ? nullptr : &*found;
}

}  // namespace

// Sends pending steps and starts rounds of idle micro-batches.
void ChainScheduler::Impl::ScheduleSteps() {
  EnsureClaimed();
  if (!AllStagesClaimed())
    return;
  for (auto it = batches.rbegin(); it != batches.rend(); ++it) {
    Batch& batch = **it;
    if (batch.idle())
      StartRound(batch);
    if (!batch.idle() && !batch.in_flight)
      SendPendingStep(batch);
  }
}

void ChainScheduler::Impl::StartRound(Batch& batch) {
  if (batch.isolated)
    FillSuspectBatch(batch);
  else
    FillBatch(batch);
  if (batch.members.empty())
    return;
  BuildItems(batch);
  if (batch.items.empty())
    return;
  batch.stage = 0;
  batch.step_id = 0;
  batch.retried = false;
  batch.round_start = now;
}

void ChainScheduler::Impl::FillSuspectBatch(Batch& batch) {
  if (!batch.members.empty() || suspects.empty())
    return;
  Request& request = *suspects.front();
  suspects.pop_front();
  AddMember(batch, request);
}

// Fills a micro-batch up to an equal share of all requests.
void ChainScheduler::Impl::FillBatch(Batch& batch) {
  ShrinkToLimit(batch);
  if (rejoin_queue.empty() && queue.size() == 0)
    return;
  const size_t count = batches.size() - 1;
  const size_t equal_share =
      (BatchedCount() + queue.size() + count - 1) / count;
  const size_t target =
      std::min(equal_share, static_cast<size_t>(options.max_batch));
  while (batch.members.size() < target && !rejoin_queue.empty()) {
    Request& request = *rejoin_queue.front();
    rejoin_queue.pop_front();
    AddMember(batch, request);
  }
  while (batch.members.size() < target && BatchedCount() < Capacity()) {
    // The limit applies only to batch-rank work, which can wait.
    if (batch.members.size() >= BatchLimit() &&
        queue.size(Rank::kUrgent) + queue.size(Rank::kOrdinary) == 0)
      break;
    Request* request = PopQueue();
    if (!request)
      break;
    AddMember(batch, *request);
  }
  PreemptForUrgent(batch);
}

size_t ChainScheduler::Impl::BatchLimit() const {
  return static_cast<size_t>(std::clamp(std::lround(batch_limit), long{1},
                                        static_cast<long>(options.max_batch)));
}

// A round of any micro-batch waits for the steps of all others, so the time
// between tokens grows with the size of all micro-batches. While urgent
// requests run, batch-rank work joins only up to the size at which rounds meet
// their target, at the cost of throughput.
void ChainScheduler::Impl::AdjustBatchLimit(const Batch& batch,
                                            Duration round) {
  Duration target = Duration::max();
  bool has_prefill = false;
  for (const Request* member : batch.members) {
    if (member->submission.rank == Rank::kUrgent)
      target = std::min(target, member->submission.between_tokens_target);
    has_prefill = has_prefill || !member->is_decoding();
  }
  const double max_limit = options.max_batch;
  if (target == Duration::max()) {
    if (now - last_urgent_round_at > kBatchLimitHoldTime)
      batch_limit = std::min(max_limit, batch_limit + kBatchLimitStep);
    return;
  }
  last_urgent_round_at = now;
  // A prefill makes a round long but does not predict the length of the next
  // ones.
  if (has_prefill)
    return;
  if (round > target * kSlowRoundTargetRatio)
    batch_limit = std::max(1.0, batch_limit - kBatchLimitStep);
  else if (round < target * kFastRoundTargetRatio)
    batch_limit = std::min(max_limit, batch_limit + kBatchLimitStep / 4);
}

// Returns batch-rank members to the queue while the micro-batch exceeds its
// limit, so that urgent requests meet their targets.
void ChainScheduler::Impl::ShrinkToLimit(Batch& batch) {
  while (batch.members.size() > BatchLimit() && PreemptOne(batch)) {
  }
}

// Replaces batch-rank members by urgent requests when no slot is free.
void ChainScheduler::Impl::PreemptForUrgent(Batch& batch) {
  while (rejoin_queue.empty() && queue.size(Rank::kUrgent) > 0 &&
         BatchedCount() >= Capacity()) {
    if (!PreemptOne(batch))
      return;
    if (Request* next = PopQueue())
      AddMember(batch, *next);
  }
}

// Returns the most recently started batch-rank member to the queue. Members
// that were selected for a floor or were already preempted `max_preemptions`
// times stay.
bool ChainScheduler::Impl::PreemptOne(Batch& batch) {
  Request* victim = nullptr;
  for (Request* member : batch.members) {
    if (member->submission.rank != Rank::kBatch || member->selected_for_floor ||
        member->preemptions >= options.max_preemptions)
      continue;
    if (!victim || member->start_order > victim->start_order)
      victim = member;
  }
  if (!victim)
    return false;
  ReleaseKv(*victim);
  DetachRequest(*victim);
  victim->needs_new_lineage = true;
  victim->position = 0;
  victim->queued = true;
  queued_rounds[static_cast<size_t>(victim->submission.rank)] +=
      victim->tokens_left();
  victim->start_order = 0;
  ++victim->preemptions;
  const Submission& s = victim->submission;
  queue.PushFront({s.request, s.account, s.account_weight, s.kind,
                   s.kind_weight, s.kind_floor, s.rank, now,
                   victim->expected_cost});
  return true;
}

size_t ChainScheduler::Impl::PreemptibleCount() const {
  size_t count = 0;
  for (const auto& batch : batches) {
    if (batch->isolated)
      continue;
    for (const Request* member : batch->members)
      count += member->submission.rank == Rank::kBatch &&
                       !member->selected_for_floor &&
                       member->preemptions < options.max_preemptions
                   ? 1
                   : 0;
  }
  return count;
}

// Returns the next request for normal batching; requests to be isolated go to
// `suspects`.
ChainScheduler::Impl::Request* ChainScheduler::Impl::PopQueue() {
  while (auto entry = queue.Pop(now)) {
    Request& request = *requests.at(entry->id);
    request.queued = false;
    queued_rounds[static_cast<size_t>(entry->rank)] -= request.tokens_left();
    request.selected_for_floor = entry->selected_for_floor;
    IsolateIfSuspect(request);
    if (!request.isolated)
      return &request;
    suspects.push_back(&request);
  }
  return nullptr;
}

void ChainScheduler::Impl::AddMember(Batch& batch, Request& request) {
  if (request.needs_new_lineage)
    RenewLineage(request);
  if (request.start_order == 0)
    request.start_order = ++last_start_order;
  request.batch = &batch;
  auto& members = batch.members;
  auto insert_position =
      std::find_if(members.begin(), members.end(), [&](auto* member) {
        return member->submission.rank > request.submission.rank;
      });
  members.insert(insert_position, &request);
}

// Gives a request a new lineage and reports it to its entry.
void ChainScheduler::Impl::RenewLineage(Request& request) {
  request.replaces = request.lineage;
  request.lineage = static_cast<uint64_t>(id_prefix) << 32 | ++last_lineage;
  request.needs_new_lineage = false;
  request.position = 0;
  AddUpdate(request, UpdateState::kRunning);
}

// A stage lost the request's KV; the request restarts within its micro-batch.
void ChainScheduler::Impl::OnKvLost(Request& request) {
  if (++request.lost_lineages > kMaxLostLineages) {
    FailRequest(request, UpdateState::kFailed, "no_progress");
    return;
  }
  ReleaseKv(request);
  RenewLineage(request);
}

// Members are ordered by rank. Higher ranks use the prefill budget first, and
// members of one rank receive equal shares, so that a long prompt does not
// delay the others.
void ChainScheduler::Impl::BuildItems(Batch& batch) {
  batch.items.clear();
  batch.owners.clear();
  batch.fingerprints.clear();
  std::array<int, kRankCount> prefill_counts{};
  for (const Request* member : batch.members)
    if (!member->is_decoding())
      ++prefill_counts[static_cast<size_t>(member->submission.rank)];
  int budget = options.max_prefill_tokens;
  for (Request* member : batch.members) {
    int count = 1;
    if (!member->is_decoding()) {
      int& remaining_prefills =
          prefill_counts[static_cast<size_t>(member->submission.rank)];
      const int equal_share =
          (budget + remaining_prefills - 1) / remaining_prefills;
      --remaining_prefills;
      count = std::min(member->remaining(), equal_share);
      budget -= count;
    }
    if (count > 0)
      AddItem(batch, *member, count);
  }
}

void ChainScheduler::Impl::AddItem(Batch& batch, Request& member, int count) {
  StepItem item;
  item.request = member.submission.request;
  item.lineage = member.lineage;
  item.account = member.submission.account;
  item.position = member.position;
  item.count = count;
  for (int i = 0; i < count; ++i)
    item.input.push_back(member.TokenAt(member.position + i));
  item.sample = count == member.remaining();
  item.rank = member.submission.rank;
  member.may_hold_kv = true;
  batch.items.push_back(std::move(item));
  batch.owners.push_back(&member);
  batch.fingerprints.push_back(member.submission.fingerprint);
}

// A suspect shares no stage with another step, so that a crash can be
// attributed to it. A retried step is sent before a suspect, because the crash
// may have been caused by that step.
bool ChainScheduler::Impl::MaySend(const Batch& batch) const {
  const auto at = static_cast<size_t>(batch.stage);
  const Batch& suspect_batch = *batches.back();
  if (!batch.isolated) {
    if (suspect_batch.stage != batch.stage)
      return true;
    return !suspect_batch.in_flight && !suspect_batch.retried && batch.retried;
  }
  if (stages[at].in_flight > 0)
    return false;
  return std::none_of(batches.begin(), batches.end(), [&](const auto& other) {
    return !other->isolated && other->retried && other->waits_for_stage(at);
  });
}

void ChainScheduler::Impl::SendPendingStep(Batch& batch) {
  if (!MaySend(batch))
    return;
  auto& stage = stages[static_cast<size_t>(batch.stage)];
  ++stage.in_flight;
  batch.in_flight = true;
  // A step that was refused or got no reply keeps its id, so that the stage
  // runs it once.
  if (batch.step_id == 0)
    batch.step_id =
        static_cast<uint64_t>(id_prefix & 0x1fffff) << 32 | ++last_step_id;
  batch.step_epoch = epoch;
  actions.emplace_back(
      SendStep{batch.step_id, stage.server, epoch, batch.items, batch.retried});
}

ChainScheduler::Impl::Batch* ChainScheduler::Impl::FindStep(uint64_t step) {
  for (const auto& batch : batches)
    if (batch->in_flight && batch->step_id == step)
      return batch.get();
  return nullptr;
}

void ChainScheduler::Impl::EndStep(Batch& batch) {
  batch.in_flight = false;
  --stages[static_cast<size_t>(batch.stage)].in_flight;
  for (auto& key : batch.late_releases)
    pending_releases[std::move(key)] = now;
  batch.late_releases.clear();
}

void ChainScheduler::Impl::OnStepReply(Batch& batch,
                                       std::vector<StepResultItem> results) {
  EndStep(batch);
  const bool last = batch.stage + 1 == static_cast<int>(stages.size());
  size_t kept_count = 0;
  for (size_t i = 0; i < batch.items.size(); ++i) {
    Request* owner = batch.owners[i];
    if (!owner)
      continue;
    StepResultItem* result = FindResult(results, i, batch.items[i]);
    if (!result || !result->error.empty() ||
        (last && batch.items[i].sample && result->token.empty())) {
      OnKvLost(*owner);
      continue;
    }
    if (kept_count != i)
      batch.items[kept_count] = std::move(batch.items[i]);
    batch.items[kept_count].input.clear();
    batch.items[kept_count].activation =
        std::move(last ? result->token : result->activation);
    batch.owners[kept_count] = owner;
    batch.fingerprints[kept_count] = batch.fingerprints[i];
    ++kept_count;
  }
  batch.items.resize(kept_count);
  batch.owners.resize(kept_count);
  batch.fingerprints.resize(kept_count);
  batch.step_id = 0;
  batch.retried = false;
  if (last)
    FinishRound(batch);
  else
    batch.stage = kept_count > 0 ? batch.stage + 1 : -1;
}

// The round has passed all stages; `activation` holds the sampled tokens.
void ChainScheduler::Impl::FinishRound(Batch& batch) {
  batch.stage = -1;
  if (!batch.items.empty()) {
    const Duration round = now - batch.round_start;
    AdjustBatchLimit(batch, round);
    mean_round_us += kRoundTimeSmoothing *
                     (static_cast<double>(round.count()) - mean_round_us);
  }
  // Ending a request clears its owner entry, so each entry is read just before
  // it is used.
  for (size_t i = 0; i < batch.items.size(); ++i)
    if (Request* owner = batch.owners[i])
      FinishItem(*owner, batch.items[i], std::move(batch.items[i].activation));
  batch.items.clear();
  batch.owners.clear();
  batch.fingerprints.clear();
}

void ChainScheduler::Impl::FinishItem(Request& request,
                                      const StepItem& item,
                                      std::string token) {
  const bool decode = item.position > 0 && item.count == 1 && item.sample;
  request.position += item.count;
  const double prefill = decode ? 0 : options.prefill_cost * item.count;
  Charge(request, prefill + (item.sample ? 1 : 0));
  if (request.isolated && request.position >= request.isolation_end_position)
    ClearSuspect(request);
  if (!item.sample)
    return;
  request.lost_lineages = 0;
  request.submission.tokens.push_back(token);
  const bool complete = request.complete();
  AddUpdate(request, complete ? UpdateState::kFinished : UpdateState::kRunning,
            {std::move(token)});
  if (!complete)
    return;
  if (request.isolated)
    suspect_fingerprints.erase(request.submission.fingerprint);
  RemoveRequest(request);
}

void ChainScheduler::Impl::ClearSuspect(Request& request) {
  suspect_fingerprints.erase(request.submission.fingerprint);
  request.isolated = false;
  request.isolation_end_position = std::numeric_limits<int>::max();
  DetachRequest(request);
  rejoin_queue.push_front(&request);
}

void ChainScheduler::Impl::Charge(Request& request, double cost) {
  const Submission& s = request.submission;
  queue.Charge(now, s.kind, s.account, cost);
  request.expected_cost -= std::min(request.expected_cost, cost);
}

}  // namespace trefoilwick
