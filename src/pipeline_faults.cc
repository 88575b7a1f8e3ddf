#include <algorithm>
#include <cmath>

#include "pipeline_impl.h"

namespace trefoilwick {
namespace {

// How long fingerprints of suspects and of quarantined requests are kept.
constexpr Duration kPrintLifetime = std::chrono::minutes(10);
// An epoch held this long ends a row of refused claims.
constexpr Duration kSettled = std::chrono::seconds(10);
constexpr int kMaxDoublings = 20;

bool SameServer(const BackendServer& a, const BackendServer& b) {
  return a.id == b.id && a.address == b.address && a.layers == b.layers;
}

bool Contains(const Chain& chain, const BackendServer& server) {
  return std::any_of(
      chain.stages.begin(), chain.stages.end(),
      [&](const auto& stage) { return SameServer(stage, server); });
}

}  // namespace

// Takes over the stages of `next`, keeping what is known of servers that stay.
void ChainScheduler::Impl::BuildStages(const Chain& next) {
  std::vector<detail::ChainStage> old = std::exchange(stages, {});
  for (const BackendServer& server : next.stages) {
    detail::ChainStage stage;
    stage.server = server;
    for (const auto& known : old)
      if (!known.failed && SameServer(known.server, server)) {
        stage = known;
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
// nothing, so it takes no chain from another one whose view is newer.
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
// higher one after a wait that doubles, so that two schedulers neither spin nor
// take the chain from each other at every step.
void ChainScheduler::Impl::OnStaleEpoch(uint64_t newest) {
  epoch_counter = std::max(epoch_counter, newest >> 16);
  epoch = 0;
  for (auto& stage : stages) {
    stage.claimed = false;
    stage.claim_id = 0;
    stage.claim_retried = false;
  }
  if (claimed_at != TimePoint{} && now - claimed_at > kSettled)
    refused_claims = 0;
  claimed_at = TimePoint{};
  const double doubled =
      std::ldexp(static_cast<double>(options.claim_backoff_min.count()),
                 std::min(refused_claims++, kMaxDoublings));
  const double longest = static_cast<double>(options.claim_backoff_max.count());
  backoff_until = now + Duration{std::llround(std::min(doubled, longest) *
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

// Every request loses its KV with a stage. Those of the steps that were at the
// stage may have caused it.
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
      suspect_fingerprints[batch.fingerprints[i]] = {now + kPrintLifetime, end};
    Request* owner = batch.owners[i];
    if (!owner)
      continue;
    if (batch.isolated) {
      // A server that answers with an error has not crashed: the content is
      // not held against other requests.
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
// the same content.
void ChainScheduler::Impl::QuarantineRequest(Request& request,
                                             const std::string& server) {
  const uint64_t print = request.submission.fingerprint;
  actions.emplace_back(ReportCrashingRequest{print, server});
  std::vector<Request*> same{&request};
  if (print != 0) {
    suspect_fingerprints.erase(print);
    quarantined_fingerprints[print] = now + kPrintLifetime;
    for (const auto& [name, other] : requests)
      if (other.get() != &request && other->submission.fingerprint == print)
        same.push_back(other.get());
  }
  for (Request* each : same)
    FailRequest(*each, UpdateState::kQuarantined, "quarantined");
}

// Isolates a request with the content of a suspect.
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

// Ends all rounds; what was running starts again once the stages are claimed,
// in the order in which it first started.
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
  const bool same =
      std::equal(stages.begin(), stages.end(), next.stages.begin(),
                 next.stages.end(), [](const auto& stage, const auto& server) {
                   return !stage.failed && SameServer(stage.server, server);
                 });
  if (same) {
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

// A server may be replaced because another scheduler saw it fail, before the
// repeat of a step that was lost there has been answered.
void ChainScheduler::Impl::MarkSuspectsOfLostSteps(const Chain& next) {
  for (const auto& batch : batches) {
    if (batch->idle() || !batch->retried)
      continue;
    const BackendServer server =
        stages[static_cast<size_t>(batch->stage)].server;
    if (!Contains(next, server))
      MarkSuspects(*batch, server.id, CallFailure::kNoReply);
  }
}

// Servers that leave the chain are sent all releases at once, and again when a
// step that was in flight has ended. Those that stay get them with a tick.
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
  Chain none = chain;
  none.stages.clear();
  ReleaseOnRemovedServers(none);
  pending_releases.clear();
  BuildStages(none);
  epoch = 0;
}

}  // namespace trefoilwick
