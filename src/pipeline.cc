#include "trefoilwick/pipeline.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "pipeline_impl.h"

namespace trefoilwick {
namespace {

// A request submitted as isolated is assumed to have crashed a server at most
// this many tokens after those that its entry has received.
constexpr int kIsolatedMarginTokens = 8;
// Time constant of the rate at which requests are accepted.
constexpr Duration kArrivalWindow{1'000'000};
// Added to the expected wait while a stage is being replaced.
constexpr double kReplacementMicros = 1'000'000;

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;)
    words.push_back(std::move(word));
  // A sequence has at least one position to run.
  if (words.empty())
    words.emplace_back();
  return words;
}

template <typename T>
void EraseValue(T& list, detail::ChainRequest* request) {
  std::erase(list, request);
}

}  // namespace

namespace detail {

const std::string& ChainRequest::TokenAt(int index) const {
  const auto at = static_cast<size_t>(index);
  return at < prompt_words.size() ? prompt_words[at]
                                  : submission.tokens[at - prompt_words.size()];
}

}  // namespace detail

std::optional<SubmitRefusal> ChainScheduler::Impl::Submit(
    Submission submission) {
  if (!accepting)
    return SubmitRefusal{"stopping", Duration{0}};
  if (stages.empty())
    return SubmitRefusal{"no_chain", Duration{0}};
  auto quarantined = quarantined_fingerprints.find(submission.fingerprint);
  if (quarantined != quarantined_fingerprints.end() &&
      quarantined->second > now)
    return SubmitRefusal{"quarantined", Duration{0}};
  if (auto existing = requests.find(submission.request);
      existing != requests.end()) {
    const Request& old = *existing->second;
    if (old.lineage == submission.lineage ||
        old.submission.lineage == submission.lineage)
      return SubmitRefusal{"duplicate", Duration{0}};
    RemoveRequest(*existing->second);
  }
  if (auto refusal = CheckLoad(submission))
    return refusal;
  Enqueue(std::move(submission));
  return std::nullopt;
}

std::optional<SubmitRefusal> ChainScheduler::Impl::CheckLoad(
    const Submission& submission) const {
  const Rank rank = submission.rank;
  const size_t queued = queue.size(rank);
  if (queued >= options.max_queue) {
    const size_t own = queue.QueuedForAccount(rank, submission.account);
    const size_t accounts = queue.QueuedAccounts(rank) + (own == 0 ? 1 : 0);
    if (queued >= 2 * options.max_queue ||
        own >= options.max_queue / accounts) {
      const auto excess = static_cast<double>(queued - options.max_queue + 1);
      return SubmitRefusal{
          "overloaded", Duration{std::llround(std::max(
                            mean_round_us, excess * MicrosPerFreeSlot(rank)))}};
    }
  }
  if (rank == Rank::kBatch)
    return std::nullopt;
  const Duration wait = ExpectedWait(rank, submission.account, submission.kind,
                                     submission.kind_floor);
  const Duration limit{
      std::llround(options.max_wait_target_ratio *
                   static_cast<double>(submission.first_token_target.count()))};
  // A request that has to queue receives its first token one round later.
  const Duration round{std::llround(mean_round_us)};
  if (wait + (wait > round ? round : Duration{0}) <= limit)
    return std::nullopt;
  return SubmitRefusal{"overloaded", std::max(wait - limit, round)};
}

// Mean number of rounds that queued requests of this and higher ranks need.
double ChainScheduler::Impl::MeanRounds(Rank rank) const {
  double rounds = 0;
  double count = 0;
  for (size_t i = 0; i <= static_cast<size_t>(rank); ++i) {
    rounds += queued_rounds[i];
    count += static_cast<double>(queue.size(static_cast<Rank>(i)));
  }
  return count > 0 ? std::max(1.0, rounds / count) : 1.0;
}

// Mean time between two slots becoming free for this rank.
double ChainScheduler::Impl::MicrosPerFreeSlot(Rank rank) const {
  const double slots = std::max(1.0, static_cast<double>(Capacity()));
  return MeanRounds(rank) * mean_round_us / slots;
}

// Rounds until the given number of slots have become free: slots of running
// requests, and then repeatedly those of the requests that follow them.
double ChainScheduler::Impl::RoundsUntilSlotsFree(Rank rank,
                                                  size_t slots) const {
  const double mean = MeanRounds(rank);
  std::vector<double> rounds;
  auto add = [&](const Request* request) {
    rounds.push_back(request->tokens_left());
  };
  for (const auto& batch : batches)
    if (!batch->isolated)
      std::for_each(batch->members.begin(), batch->members.end(), add);
  std::for_each(rejoin_queue.begin(), rejoin_queue.end(), add);
  // Slots that are free now go to queued requests that are served earlier.
  if (rounds.size() < Capacity())
    rounds.resize(Capacity(), mean);
  if (slots == 0 || rounds.empty())
    return 0;
  const auto wanted_slots = static_cast<double>(slots);
  auto slots_freed_by = [&](double time) {
    double freed_slots = 0;
    for (const double first : rounds)
      freed_slots += time < first ? 0 : 1 + std::floor((time - first) / mean);
    return freed_slots;
  };
  double low = 0;
  double high =
      *std::min_element(rounds.begin(), rounds.end()) + wanted_slots * mean;
  while (high - low > 0.5) {
    const double middle = (low + high) / 2;
    (slots_freed_by(middle) >= wanted_slots ? high : low) = middle;
  }
  return high;
}

Duration ChainScheduler::Impl::ExpectedWait(Rank rank,
                                            const std::string& account,
                                            const std::string& kind,
                                            double kind_floor) const {
  double wait_us = 0;
  if (backoff_until > now)
    wait_us += static_cast<double>((backoff_until - now).count());
  for (const auto& stage : stages)
    wait_us += stage.failed ? kReplacementMicros : 0;
  const size_t occupied_slots = BatchedCount();
  if (occupied_slots + queue.size() == 0)
    return Duration{std::llround(wait_us)};
  size_t free_slots = Capacity() - std::min(occupied_slots, Capacity());
  if (rank == Rank::kUrgent)
    free_slots += PreemptibleCount();
  size_t position = queue.QueuePosition(rank, account) + 1;
  wait_us += mean_round_us / 2;
  // Kinds of lower ranks receive their floors of the slots that become free.
  const double available_fraction =
      std::max(0.1, 1 - queue.LowerRankFloorSum(rank));
  double queue_wait_us = 0;
  if (position > free_slots) {
    queue_wait_us = RoundsUntilSlotsFree(rank, position - free_slots) *
                    mean_round_us / available_fraction;
    // Requests of other accounts that arrive in that time may be served
    // earlier.
    const auto newer_arrivals = static_cast<size_t>(
        arrivals[static_cast<size_t>(rank)] * queue_wait_us /
        static_cast<double>(kArrivalWindow.count()));
    position = std::min(position + newer_arrivals,
                        queue.QueuePosition(rank, account, true) + 1);
    queue_wait_us = RoundsUntilSlotsFree(rank, position - free_slots) *
                    mean_round_us / available_fraction;
  }
  // A kind receives its floor of the slots that become free.
  if (position > free_slots && kind_floor > 0) {
    const size_t own = queue.QueuePositionInKind(rank, account, kind) + 1;
    const double slots = std::ceil(static_cast<double>(own) / kind_floor);
    queue_wait_us = std::min(
        queue_wait_us,
        RoundsUntilSlotsFree(rank, static_cast<size_t>(slots)) * mean_round_us);
  }
  wait_us += queue_wait_us;
  return Duration{std::llround(wait_us)};
}

void ChainScheduler::Impl::Enqueue(Submission submission) {
  auto new_request = std::make_unique<Request>();
  Request& request = *new_request;
  request.prompt_words = SplitWords(submission.prompt);
  submission.prompt.clear();
  request.submission = std::move(submission);
  const Submission& s = request.submission;
  request.lineage = s.lineage;
  request.isolated = s.isolated;
  request.isolation_end_position = request.length() + kIsolatedMarginTokens;
  requests[s.request] = std::move(new_request);
  if (request.complete()) {
    AddUpdate(request, UpdateState::kFinished);
    requests.erase(std::string(s.request));
    return;
  }
  const int remaining_tokens = request.tokens_left();
  request.expected_cost =
      remaining_tokens + options.prefill_cost * request.length();
  queued_rounds[static_cast<size_t>(s.rank)] += remaining_tokens;
  CountArrival(s.rank);
  queue.Push({s.request, s.account, s.account_weight, s.kind, s.kind_weight,
              s.kind_floor, s.rank, now, request.expected_cost});
}

void ChainScheduler::Impl::CountArrival(Rank rank) {
  const double elapsed =
      static_cast<double>((now - arrivals_updated_at).count());
  const double decay =
      std::exp(-elapsed / static_cast<double>(kArrivalWindow.count()));
  arrivals_updated_at = now;
  for (double& count : arrivals)
    count *= decay;
  arrivals[static_cast<size_t>(rank)] += 1;
}

// Removes a request from its micro-batch and the queue, and releases its KV.
void ChainScheduler::Impl::RemoveRequest(Request& request) {
  ReleaseKv(request);
  DetachRequest(request);
  const Submission& s = request.submission;
  if (request.queued) {
    queue.Erase(s.request);
    queued_rounds[static_cast<size_t>(s.rank)] -= request.tokens_left();
  } else {
    queue.FinishEntry(s.kind, s.account, request.expected_cost);
  }
  requests.erase(std::string(s.request));
}

void ChainScheduler::Impl::DetachRequest(Request& request) {
  if (Batch* batch = request.batch) {
    EraseValue(batch->members, &request);
    std::replace(batch->owners.begin(), batch->owners.end(), &request,
                 static_cast<Request*>(nullptr));
    request.batch = nullptr;
    return;
  }
  EraseValue(rejoin_queue, &request);
  EraseValue(suspects, &request);
}

void ChainScheduler::Impl::FailRequest(Request& request,
                                       UpdateState state,
                                       const std::string& reason) {
  AddUpdate(request, state, {}, reason);
  RemoveRequest(request);
}

void ChainScheduler::Impl::AddUpdate(const Request& request,
                                     UpdateState state,
                                     std::vector<std::string> tokens,
                                     const std::string& reason) {
  const Submission& s = request.submission;
  TokenUpdate update;
  update.request = s.request;
  update.lineage = request.lineage;
  update.replaces = request.replaces;
  update.index = static_cast<int>(s.tokens.size() - tokens.size());
  update.tokens = std::move(tokens);
  update.state = state;
  update.reason = reason;
  update.suspect = state == UpdateState::kFailed && request.isolated;
  auto found =
      std::find_if(outgoing.begin(), outgoing.end(),
                   [&](const auto& group) { return group.entry == s.entry; });
  if (found == outgoing.end())
    found = outgoing.insert(outgoing.end(), DeliverTokens{s.entry, {}});
  found->updates.push_back(std::move(update));
}

void ChainScheduler::Impl::FlushUpdates() {
  for (auto& group : outgoing)
    actions.emplace_back(std::move(group));
  outgoing.clear();
}

// Schedules the release of the current lineage's KV.
void ChainScheduler::Impl::ReleaseKv(Request& request) {
  if (!request.may_hold_kv)
    return;
  request.may_hold_kv = false;
  detail::ReleaseKey key{request.submission.request, request.lineage};
  Batch* batch = request.batch;
  const bool has_step_in_flight =
      batch && batch->in_flight &&
      std::find(batch->owners.begin(), batch->owners.end(), &request) !=
          batch->owners.end();
  pending_releases[key] =
      has_step_in_flight ? now + detail::kReleaseDelay : now;
  if (has_step_in_flight)
    batch->late_releases.push_back(std::move(key));
}

void ChainScheduler::Impl::FlushReleases() {
  SendRelease release;
  for (auto it = pending_releases.begin(); it != pending_releases.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    release.requests.push_back(it->first);
    it = pending_releases.erase(it);
  }
  if (release.requests.empty())
    return;
  for (const auto& stage : stages) {
    if (stage.failed)
      continue;
    release.server = stage.server;
    actions.emplace_back(release);
  }
}

void ChainScheduler::Impl::FlushRemovedServerReleases() {
  while (!removed_server_releases.empty() &&
         removed_server_releases.front().first <= now) {
    actions.emplace_back(std::move(removed_server_releases.front().second));
    removed_server_releases.pop_front();
  }
}

size_t ChainScheduler::Impl::BatchedCount() const {
  size_t count = rejoin_queue.size();
  for (const auto& batch : batches)
    count += batch->isolated ? 0 : batch->members.size();
  return count;
}

size_t ChainScheduler::Impl::Capacity() const {
  return batches.empty()
             ? 0
             : (batches.size() - 1) * static_cast<size_t>(options.max_batch);
}

ChainScheduler::Builder& ChainScheduler::Builder::SchedulerId(uint16_t id) {
  m_scheduler_id = id;
  return *this;
}

ChainScheduler::Builder& ChainScheduler::Builder::Incarnation(
    uint32_t incarnation) {
  m_incarnation = incarnation;
  return *this;
}

ChainScheduler::Builder& ChainScheduler::Builder::Options(
    ChainSchedulerOptions options) {
  m_options = options;
  return *this;
}

ChainScheduler::Builder& ChainScheduler::Builder::InitialChain(Chain chain) {
  m_chain = std::move(chain);
  return *this;
}

absl::StatusOr<std::unique_ptr<ChainScheduler>> ChainScheduler::Builder::Build(
    TimePoint now) {
  const ChainSchedulerOptions& o = m_options;
  if (o.max_batch < 1 || o.max_prefill_tokens < 1 ||
      o.extra_micro_batches < 0 || o.claim_backoff_min.count() < 1)
    return MakeStatus(absl::StatusCode::kInvalidArgument,
                      "scheduler options out of range");
  auto impl = std::make_unique<Impl>();
  impl->scheduler_id = m_scheduler_id;
  // Different chains of one process must not use the same lineages.
  impl->id_prefix = m_incarnation ^ static_cast<uint32_t>(
                                        StableHash(m_chain.id, m_scheduler_id));
  impl->options = o;
  impl->batch_limit = o.max_batch;
  impl->random = Random(StableHash(m_chain.id, impl->id_prefix));
  impl->now = now;
  impl->BuildStages(m_chain);
  return std::unique_ptr<ChainScheduler>(new ChainScheduler(std::move(impl)));
}

ChainScheduler::ChainScheduler(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}
ChainScheduler::~ChainScheduler() = default;

std::optional<SubmitRefusal> ChainScheduler::Submit(TimePoint now,
                                                    Submission submission) {
  m_impl->now = now;
  auto refusal = m_impl->Submit(std::move(submission));
  m_impl->ScheduleSteps();
  return refusal;
}

void ChainScheduler::Cancel(TimePoint now, const std::string& request) {
  m_impl->now = now;
  if (auto it = m_impl->requests.find(request); it != m_impl->requests.end())
    m_impl->RemoveRequest(*it->second);
  m_impl->ScheduleSteps();
}

void ChainScheduler::CancelEntryRequests(TimePoint now,
                                         const std::string& entry) {
  m_impl->now = now;
  std::vector<Impl::Request*> owned_requests;
  for (const auto& [name, request] : m_impl->requests)
    if (request->submission.entry == entry)
      owned_requests.push_back(request.get());
  for (Impl::Request* request : owned_requests)
    m_impl->RemoveRequest(*request);
  m_impl->ScheduleSteps();
}

void ChainScheduler::OnStepReply(TimePoint now,
                                 uint64_t step,
                                 std::vector<StepResultItem> items) {
  m_impl->now = now;
  if (Impl::Batch* batch = m_impl->FindStep(step))
    m_impl->OnStepReply(*batch, std::move(items));
  m_impl->ScheduleSteps();
}

void ChainScheduler::OnStepFailure(TimePoint now,
                                   uint64_t step,
                                   CallFailure failure,
                                   uint64_t newest_epoch) {
  m_impl->now = now;
  if (Impl::Batch* batch = m_impl->FindStep(step))
    m_impl->OnStepFailure(*batch, failure, newest_epoch);
  m_impl->ScheduleSteps();
}

void ChainScheduler::OnClaimReply(TimePoint now, uint64_t claim) {
  m_impl->now = now;
  if (detail::ChainStage* stage = m_impl->FindClaim(claim))
    m_impl->OnClaimed(*stage);
  m_impl->ScheduleSteps();
}

void ChainScheduler::OnClaimFailure(TimePoint now,
                                    uint64_t claim,
                                    CallFailure failure,
                                    uint64_t newest_epoch) {
  m_impl->now = now;
  if (detail::ChainStage* stage = m_impl->FindClaim(claim)) {
    if (failure == CallFailure::kStaleEpoch)
      m_impl->OnStaleEpoch(newest_epoch);
    else
      m_impl->OnClaimFailed(*stage, failure);
  }
  m_impl->ScheduleSteps();
}

void ChainScheduler::OnTick(TimePoint now) {
  m_impl->now = now;
  for (auto& stage : m_impl->stages)
    if (stage.claim_id != 0 &&
        now - stage.claim_sent >= m_impl->options.claim_timeout)
      m_impl->OnClaimFailed(stage, CallFailure::kNoReply);
  m_impl->FlushReleases();
  m_impl->FlushRemovedServerReleases();
  m_impl->ExpireFingerprints();
  m_impl->ScheduleSteps();
}

void ChainScheduler::SetChain(TimePoint now, Chain chain) {
  m_impl->now = now;
  m_impl->SetChain(std::move(chain));
  m_impl->ScheduleSteps();
}

void ChainScheduler::ReleaseChain(TimePoint now, const std::string& reason) {
  m_impl->now = now;
  m_impl->ReleaseChain(reason);
}

void ChainScheduler::StopAccepting() {
  m_impl->accepting = false;
}

std::vector<ChainAction> ChainScheduler::TakeActions() {
  m_impl->FlushUpdates();
  return std::exchange(m_impl->actions, {});
}

const Chain& ChainScheduler::chain() const {
  return m_impl->chain;
}

Duration ChainScheduler::ExpectedWait(Rank rank,
                                      const std::string& account) const {
  return m_impl->ExpectedWait(rank, account, {}, 0);
}

Duration ChainScheduler::ExpectedWait(Rank rank,
                                      const std::string& account,
                                      const std::string& kind,
                                      double kind_floor) const {
  return m_impl->ExpectedWait(rank, account, kind, kind_floor);
}

bool ChainScheduler::HasRequest(const std::string& request) const {
  return m_impl->requests.contains(request);
}

size_t ChainScheduler::queued() const {
  return m_impl->queue.size();
}

size_t ChainScheduler::running() const {
  return m_impl->requests.size() - m_impl->queue.size();
}

uint64_t ChainScheduler::epoch() const {
  return m_impl->epoch;
}

}  // namespace trefoilwick
