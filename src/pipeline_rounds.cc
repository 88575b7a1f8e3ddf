#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "pipeline_impl.h"

namespace trefoilwick {
namespace {

// Lineages a request may lose at the stages without a new token, before it is
// given up.
constexpr int kMaxLostLineages = 8;
constexpr double kRoundWeight = 0.1;
// Share of the target for the time between tokens above which rounds are too
// slow, and below which micro-batches may grow. The gap keeps the limit from
// swinging, since a change shows only after the rounds in flight.
constexpr double kSlowRound = 0.92;
constexpr double kFastRound = 0.8;
constexpr double kLimitStep = 0.2;
// The limit stays this long after the last urgent token.
constexpr std::chrono::seconds kUrgentMemory{2};

// The result of an item; the order of results is normally that of the items.
StepResultItem* FindResult(std::vector<StepResultItem>& results,
                           size_t hint,
                           const StepItem& item) {
  auto matches = [&](const StepResultItem& result) {
    return result.lineage == item.lineage && result.request == item.request;
  };
  if (hint < results.size() && matches(results[hint]))
    return &results[hint];
  auto found = std::find_if(results.begin(), results.end(), matches);
  return found == results.end() ? nullptr : &*found;
}

}  // namespace

// Sends what can be sent and starts rounds of idle micro-batches.
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

// Fills a micro-batch up to an equal part of all requests.
void ChainScheduler::Impl::FillBatch(Batch& batch) {
  ShrinkToLimit(batch);
  if (rejoin_queue.empty() && queue.size() == 0)
    return;
  const size_t count = batches.size() - 1;
  const size_t part = (BatchedCount() + queue.size() + count - 1) / count;
  const size_t target = std::min(part, static_cast<size_t>(options.max_batch));
  while (batch.members.size() < target && !rejoin_queue.empty()) {
    Request& request = *rejoin_queue.front();
    rejoin_queue.pop_front();
    AddMember(batch, request);
  }
  while (batch.members.size() < target && BatchedCount() < Capacity()) {
    // Only batch-rank work, which can wait, is kept to the limit.
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

// A round of any micro-batch waits for the steps of all the others, so the time
// between tokens grows with the size of all micro-batches. While urgent
// requests run, batch-rank work joins only up to the size at which rounds meet
// their target; throughput is what that costs.
void ChainScheduler::Impl::AdjustBatchLimit(const Batch& batch,
                                            Duration round) {
  Duration target = Duration::max();
  bool prefills = false;
  for (const Request* member : batch.members) {
    if (member->submission.rank == Rank::kUrgent)
      target = std::min(target, member->submission.between_tokens_target);
    prefills = prefills || !member->is_decoding();
  }
  const double most = options.max_batch;
  if (target == Duration::max()) {
    if (now - last_urgent_round_at > kUrgentMemory)
      batch_limit = std::min(most, batch_limit + kLimitStep);
    return;
  }
  last_urgent_round_at = now;
  // Prompts make a round long without saying anything about the next ones.
  if (prefills)
    return;
  if (round > target * kSlowRound)
    batch_limit = std::max(1.0, batch_limit - kLimitStep);
  else if (round < target * kFastRound)
    batch_limit = std::min(most, batch_limit + kLimitStep / 4);
}

// Puts batch-rank members back in the queue while the micro-batch is over its
// limit for the sake of urgent requests.
void ChainScheduler::Impl::ShrinkToLimit(Batch& batch) {
  while (batch.members.size() > BatchLimit() && PreemptOne(batch)) {
  }
}

// Replaces batch-rank members by urgent requests when no place is free.
void ChainScheduler::Impl::PreemptForUrgent(Batch& batch) {
  while (rejoin_queue.empty() && queue.size(Rank::kUrgent) > 0 &&
         BatchedCount() >= Capacity()) {
    if (!PreemptOne(batch))
      return;
    if (Request* next = PopQueue())
      AddMember(batch, *next);
  }
}

// Puts the most recently started batch-rank member back in the queue. Members
// that were chosen for a floor and those put back often enough stay.
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

// The next request for normal batching; requests to be isolated are put aside.
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
  auto lower = std::find_if(members.begin(), members.end(), [&](auto* member) {
    return member->submission.rank > request.submission.rank;
  });
  members.insert(lower, &request);
}

// Gives a request a new lineage and tells its entry.
void ChainScheduler::Impl::RenewLineage(Request& request) {
  request.replaces = request.lineage;
  request.lineage = static_cast<uint64_t>(id_prefix) << 32 | ++last_lineage;
  request.needs_new_lineage = false;
  request.position = 0;
  AddUpdate(request, UpdateState::kRunning);
}

// A stage lost the request's KV: it starts again within its micro-batch.
void ChainScheduler::Impl::OnKvLost(Request& request) {
  if (++request.lost_lineages > kMaxLostLineages) {
    FailRequest(request, UpdateState::kFailed, "no_progress");
    return;
  }
  ReleaseKv(request);
  RenewLineage(request);
}

// Members are ordered by rank. Higher ranks take from the prefill budget first,
// and those of one rank get equal parts, so that a long prompt does not keep
// others waiting.
void ChainScheduler::Impl::BuildItems(Batch& batch) {
  batch.items.clear();
  batch.owners.clear();
  batch.fingerprints.clear();
  std::array<int, kRankCount> prefills{};
  for (const Request* member : batch.members)
    if (!member->is_decoding())
      ++prefills[static_cast<size_t>(member->submission.rank)];
  int budget = options.max_prefill_tokens;
  for (Request* member : batch.members) {
    int count = 1;
    if (!member->is_decoding()) {
      int& sharers = prefills[static_cast<size_t>(member->submission.rank)];
      const int part = (budget + sharers - 1) / sharers;
      --sharers;
      count = std::min(member->remaining(), part);
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

// A suspect shares no stage with another step, so that a crash is its own. A
// repeated step goes before a suspect, whose crash it might be.
bool ChainScheduler::Impl::MaySend(const Batch& batch) const {
  const auto at = static_cast<size_t>(batch.stage);
  const Batch& lone = *batches.back();
  if (!batch.isolated) {
    if (lone.stage != batch.stage)
      return true;
    return !lone.in_flight && !lone.retried && batch.retried;
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
  // A step that was refused or lost keeps its number: the stage runs it once.
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
  size_t kept = 0;
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
    if (kept != i)
      batch.items[kept] = std::move(batch.items[i]);
    batch.items[kept].input.clear();
    batch.items[kept].activation =
        std::move(last ? result->token : result->activation);
    batch.owners[kept] = owner;
    batch.fingerprints[kept] = batch.fingerprints[i];
    ++kept;
  }
  batch.items.resize(kept);
  batch.owners.resize(kept);
  batch.fingerprints.resize(kept);
  batch.step_id = 0;
  batch.retried = false;
  if (last)
    FinishRound(batch);
  else
    batch.stage = kept > 0 ? batch.stage + 1 : -1;
}

// The round passed all stages; `activation` holds the sampled tokens.
void ChainScheduler::Impl::FinishRound(Batch& batch) {
  batch.stage = -1;
  if (!batch.items.empty()) {
    const Duration round = now - batch.round_start;
    AdjustBatchLimit(batch, round);
    mean_round_us +=
        kRoundWeight * (static_cast<double>(round.count()) - mean_round_us);
  }
  // Ending a request clears its owner entry, so each is read in its turn.
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
