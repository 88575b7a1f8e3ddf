#include <algorithm>
#include <cmath>

#include "pipeline_impl.h"

namespace trefoilwick {
namespace {

// Retention of the fingerprints of suspects and of quarantined requests.
constexpr Duration kFingerprintRetention = std::chrono::minutes(10);
// Holding an epoch for this long resets the backoff of refused claims.
constexpr Duration kClaimStableTime = std::chrono::seconds(10);
constexpr int kMaxBackoffDoublings = 20;

bool SameServer(const ListedServer& a, const ListedServer& b) {
  return a.id == b.id && a.address == b.address && a.layers == b.layers;
}

bool Contains(const Chain& chain, const ListedServer& server) {
  return std::any_of(
      chain.stages.begin(), chain.stages.end(),
      [&](const auto& stage) { return SameServer(stage, server); });
}

}  // namespace

// Adopts the stages of `next`, keeping the state of servers that stay.
void ChainScheduler::Impl::BuildStages(const Chain& next) {
  std::vector<detail::ChainStage> old = std::exchange(stages, {});
  for (const ListedServer& server : next.stages) {
    detail::ChainStage stage;
    stage.server = server;
    for (const auto& previous : old)
      if (!previous.failed && SameServer(previous.server, server)) {
        stage = previous;
        stage.server = server;
      }
    stage.in_flight = 0;
    stages.push_back(std::move(stage));
  }
  chain = next;
  batches.clear();
  const size_t count =
      stages.empty() ? 0
                     : stages.size() +
                           static_cast<size_t>(options.extra_micro_batches) + 1;
  for (size_t i = 0; i < count; ++i)
    batches.push_back(std::make_unique<Batch>());
  if (!batches.empty())
    batches.back()->isolated = true;
}

bool ChainScheduler::Impl::AllStagesClaimed() const {
  return !stages.empty() &&
         std::all_of(stages.begin(), stages.end(), [](const auto& stage) {
           return stage.claimed && !stage.failed;
         });
}

// Claims the stages once there is work. A scheduler without work claims
// nothing, so that it does not take the chain from a scheduler with a newer
// view.
void ChainScheduler::Impl::EnsureClaimed() {
  if (!HasWork() || now < backoff_until)
    return;
  if (epoch == 0)
    epoch = ++epoch_counter << 16 | scheduler_id;
  for (auto& stage : stages)
    if (!stage.claimed && !stage.failed && stage.claim_id == 0)
      SendClaimTo(stage);
}

void ChainScheduler::Impl::SendClaimTo(detail::ChainStage& stage) {
  stage.claim_id = ++last_claim_id;
  stage.claim_sent = now;
  actions.emplace_back(SendClaim{stage.claim_id, stage.server, epoch});
}

detail::ChainStage* ChainScheduler::Impl::FindClaim(uint64_t claim) {
  for (auto& stage : stages)
    if (claim != 0 && stage.claim_id == claim)
      return &stage;
  return nullptr;
}

void ChainScheduler::Impl::OnClaimed(detail::ChainStage& stage) {
  stage.claim_id = 0;
  stage.claim_retried = false;
  stage.claimed = true;
  if (AllStagesClaimed())
    claimed_at = now;
}

void ChainScheduler::Impl::OnClaimFailed(detail::ChainStage& stage,
                                         CallFailure failure) {
  stage.claim_id = 0;
  if (failure != CallFailure::kCrashed && !stage.claim_retried) {
    stage.claim_retried = true;
    SendClaimTo(stage);
    return;
  }
  stage.claim_retried = false;
  FailStage(static_cast<size_t>(&stage - stages.data()), failure);
}

// Another scheduler holds a newer epoch. All stages are claimed again with a
// higher epoch after an exponential backoff, so that two schedulers neither
// retry in a tight loop nor take the chain from each other at every step.
void ChainScheduler::Impl::OnStaleEpoch(uint64_t newest) {
  epoch_counter = std::max(epoch_counter, newest >> 16);
  epoch = 0;
  for (auto& stage : stages) {
    stage.claimed = false;
    stage.claim_id = 0;
    stage.claim_retried = false;
  }
  if (claimed_at != TimePoint{} && now - claimed_at > kClaimStableTime)
    refused_claims = 0;
  claimed_at = TimePoint{};
  const double backoff =
      std::ldexp(static_cast<double>(options.claim_backoff_min.count()),
                 std::min(refused_claims++, kMaxBackoffDoublings));
  const double max_backoff =
      static_cast<double>(options.claim_backoff_max.count());
  backoff_until = now + Duration{std::llround(std::min(backoff, max_backoff) *
                                              (0.5 + random.UniformDouble()))};
}

void ChainScheduler::Impl::OnStepFailure(Batch& batch,
                                         CallFailure failure,
                                         uint64_t newest) {
  const auto at = static_cast<size_t>(batch.stage);
  if (failure == CallFailure::kStaleEpoch) {
    EndStep(batch);
    // The step was not run and is sent again under the next epoch.
    if (batch.step_epoch == epoch)
      OnStaleEpoch(newest);
    else
      epoch_counter = std::max(epoch_counter, newest >> 16);
    return;
  }
  if (failure != CallFailure::kCrashed && !batch.retried) {
    EndStep(batch);
    batch.retried = true;
    return;
  }
  FailStage(at, failure);
}

// Every request loses its KV when a stage fails. Requests of the steps that
// were at the stage may have caused the failure.
void ChainScheduler::Impl::FailStage(size_t at, CallFailure failure) {
  auto& stage = stages[at];
  stage.failed = true;
  stage.claimed = false;
  stage.claim_id = 0;
  const std::string server = stage.server.id;
  actions.emplace_back(ReportFailure{server, failure});
  actions.emplace_back(RequestStageReplacement{chain.id, server});
  for (const auto& batch : batches)
    if (batch->stage == static_cast<int>(at) &&
        (batch->in_flight || batch->retried))
      MarkSuspects(*batch, server, failure);
  AbortRounds();
}

void ChainScheduler::Impl::MarkSuspects(Batch& batch,
                                        const std::string& server,
                                        CallFailure failure) {
  for (size_t i = 0; i < batch.items.size(); ++i) {
    const int end = batch.items[i].position + batch.items[i].count;
    if (batch.fingerprints[i] != 0)
      suspect_fingerprints[batch.fingerprints[i]] = {
          now + kFingerprintRetention, end};
    Request* owner = batch.owners[i];
    if (!owner)
      continue;
    if (batch.isolated) {
      // A server that replies with an error has not crashed, so the fingerprint
      // is not quarantined for other requests.
      if (failure == CallFailure::kError)
        FailRequest(*owner, UpdateState::kFailed, "server_error");
      else
        QuarantineRequest(*owner, server);
      return;
    }
    owner->isolated = true;
    owner->isolation_end_position = end;
  }
}

// Ends a request that failed a server while it ran alone, and all requests with
// the same fingerprint.
void ChainScheduler::Impl::QuarantineRequest(Request& request,
                                             const std::string& server) {
  const uint64_t fingerprint = request.submission.fingerprint;
  actions.emplace_back(ReportCrashingRequest{fingerprint, server});
  std::vector<Request*> affected{&request};
  if (fingerprint != 0) {
    suspect_fingerprints.erase(fingerprint);
    quarantined_fingerprints[fingerprint] = now + kFingerprintRetention;
    for (const auto& [name, other] : requests)
      if (other.get() != &request &&
          other->submission.fingerprint == fingerprint)
        affected.push_back(other.get());
  }
  for (Request* other : affected)
    FailRequest(*other, UpdateState::kQuarantined, "quarantined");
}

// Isolates a request that has the fingerprint of a suspect.
void ChainScheduler::Impl::IsolateIfSuspect(Request& request) {
  if (request.isolated)
    return;
  auto found = suspect_fingerprints.find(request.submission.fingerprint);
  if (found == suspect_fingerprints.end())
    return;
  request.isolated = true;
  request.isolation_end_position = found->second.isolation_end_position;
}

void ChainScheduler::Impl::ExpireFingerprints() {
  std::erase_if(suspect_fingerprints,
                [&](const auto& item) { return item.second.expires <= now; });
  std::erase_if(quarantined_fingerprints,
                [&](const auto& item) { return item.second <= now; });
}

// Ends all rounds. Running requests restart once the stages are claimed, in the
// order in which they first started.
void ChainScheduler::Impl::AbortRounds() {
  std::deque<Request*> running = std::exchange(rejoin_queue, {});
  for (const auto& batch : batches)
    running.insert(running.end(), batch->members.begin(), batch->members.end());
  for (Request* request : running)
    RestartRequest(*request);
  for (const auto& batch : batches) {
    const bool isolated = batch->isolated;
    *batch = Batch{};
    batch->isolated = isolated;
  }
  for (auto& stage : stages)
    stage.in_flight = 0;
  std::sort(running.begin(), running.end(), [](const auto* a, const auto* b) {
    return a->start_order < b->start_order;
  });
  for (Request* request : running)
    (request->isolated ? suspects : rejoin_queue).push_back(request);
}

void ChainScheduler::Impl::RestartRequest(Request& request) {
  ReleaseKv(request);
  request.batch = nullptr;
  request.position = 0;
  request.needs_new_lineage = true;
  IsolateIfSuspect(request);
}

void ChainScheduler::Impl::SetChain(Chain next) {
  const bool unchanged =
      std::equal(stages.begin(), stages.end(), next.stages.begin(),
                 next.stages.end(), [](const auto& stage, const auto& server) {
                   return !stage.failed && SameServer(stage.server, server);
                 });
  if (unchanged) {
    for (size_t i = 0; i < stages.size(); ++i)
      stages[i].server = next.stages[i];
    chain = std::move(next);
    return;
  }
  if (next.stages.empty()) {
    ReleaseChain("chain_lost");
    return;
  }
  MarkSuspectsOfLostSteps(next);
  AbortRounds();
  ReleaseOnRemovedServers(next);
  BuildStages(next);
}

// Another scheduler may see a server fail and have it replaced before this one
// receives the reply to a retried step. The requests of that step are suspects
// too.
void ChainScheduler::Impl::MarkSuspectsOfLostSteps(const Chain& next) {
  for (const auto& batch : batches) {
    if (batch->idle() || !batch->retried)
      continue;
    const ListedServer server =
        stages[static_cast<size_t>(batch->stage)].server;
    if (!Contains(next, server))
      MarkSuspects(*batch, server.id, CallFailure::kNoReply);
  }
}

// Servers removed from the chain receive all releases at once, and again after
// a step that may have been in flight has ended. Servers that stay receive them
// at the next tick.
void ChainScheduler::Impl::ReleaseOnRemovedServers(const Chain& next) {
  SendRelease release;
  for (const auto& [key, due] : pending_releases)
    release.requests.push_back(key);
  if (release.requests.empty())
    return;
  for (const auto& stage : stages) {
    if (Contains(next, stage.server) || stage.failed)
      continue;
    release.server = stage.server;
    actions.emplace_back(release);
    removed_server_releases.emplace_back(now + detail::kReleaseDelay, release);
  }
}

void ChainScheduler::Impl::ReleaseChain(const std::string& reason) {
  std::vector<Request*> all;
  for (const auto& [name, request] : requests)
    all.push_back(request.get());
  for (Request* request : all)
    FailRequest(*request, UpdateState::kFailed, reason);
  Chain empty_chain = chain;
  empty_chain.stages.clear();
  ReleaseOnRemovedServers(empty_chain);
  pending_releases.clear();
  BuildStages(empty_chain);
  epoch = 0;
}

}  // namespace trefoilwick
