#include <algorithm>
#include <utility>

#include "entry_host.h"

namespace trefoilwick::detail {

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::milliseconds kSubmitTimeout{1000};
constexpr std::chrono::milliseconds kVerifyTimeout{300};
constexpr std::chrono::milliseconds kDeliverTimeout{1000};
constexpr std::chrono::milliseconds kDeliverRetryDelay{50};

void AppendDelivery(Delivery& to, Delivery&& from) {
  to.scheduler = std::move(from.scheduler);
  to.scheduler_incarnation = from.scheduler_incarnation;
  to.loads = std::move(from.loads);
  for (TokenUpdate& update : from.updates)
    to.updates.push_back(std::move(update));
}

}  // namespace

DeliverySender::DeliverySender(EventLoop& loop,
                               WorkerPool& pool,
                               PeerClient& peers,
                               const RcuCell<MembersView>& members,
                               OrphanedRequestsFunction on_orphaned_requests,
                               EntryGoneFunction on_entry_gone)
    : m_loop(loop),
      m_pool(pool),
      m_peers(peers),
      m_members(members),
      m_on_orphaned_requests(std::move(on_orphaned_requests)),
      m_on_entry_gone(std::move(on_entry_gone)) {}

void DeliverySender::Send(const std::string& entry, Delivery delivery) {
  AppendDelivery(m_outboxes[entry].pending, std::move(delivery));
  Flush(entry);
}

size_t DeliverySender::unacknowledged_updates() const {
  size_t total = 0;
  for (const auto& [entry, outbox] : m_outboxes)
    total += outbox.pending.updates.size() + (outbox.in_flight ? 1 : 0);
  return total;
}

void DeliverySender::Flush(const std::string& entry) {
  auto it = m_outboxes.find(entry);
  if (it == m_outboxes.end() || it->second.in_flight ||
      it->second.pending.updates.empty())
    return;
  Outbox& outbox = it->second;
  const auto members = m_members.Load();
  const Member* member = members ? members->Find(entry) : nullptr;
  if (!member) {
    m_outboxes.erase(it);
    m_on_entry_gone(entry);
    return;
  }
  auto delivery = std::make_shared<Delivery>(std::exchange(outbox.pending, {}));
  outbox.in_flight = true;
  const PeerCallOptions call{member->peer_address, kDeliverTimeout,
                             outbox.fresh_connection};
  const bool posted = m_pool.TryPost([this, entry, call, delivery] {
    auto result = m_peers.Deliver(call, *delivery);
    m_loop.Post([this, entry, delivery, result = std::move(result)] {
      OnSent(entry, std::move(*delivery), result);
    });
  });
  if (!posted) {
    m_loop.PostAfter(kDeliverRetryDelay, [this, entry, delivery] {
      OnSent(entry, std::move(*delivery),
             MakeStatus(absl::StatusCode::kUnavailable, "queue full"));
    });
  }
}

void DeliverySender::OnSent(
    const std::string& entry,
    Delivery delivery,
    const absl::StatusOr<std::vector<std::string>>& result) {
  auto it = m_outboxes.find(entry);
  if (it == m_outboxes.end())
    return;
  Outbox& outbox = it->second;
  outbox.in_flight = false;
  if (result.ok()) {
    outbox.fresh_connection = false;
    if (!result->empty())
      m_on_orphaned_requests(*result);
    Flush(entry);
    return;
  }
  // The entry applies updates idempotently, so the failed batch is sent again,
  // before later updates.
  Delivery later_updates = std::exchange(outbox.pending, {});
  outbox.pending = std::move(delivery);
  if (!later_updates.updates.empty())
    AppendDelivery(outbox.pending, std::move(later_updates));
  outbox.fresh_connection = true;
  m_loop.PostAfter(kDeliverRetryDelay, [this, entry] { Flush(entry); });
}

EntryHost::EntryHost(EntryHostConfig config,
                     EventLoop& loop,
                     EventLoop& chain_loop,
                     ChainHost& chains,
                     WorkerPool& pool,
                     PeerClient& peers,
                     Metrics& metrics,
                     const RcuCell<FleetView>& fleet,
                     const RcuCell<MembersView>& members)
    : m_config(std::move(config)),
      m_loop(loop),
      m_chain_loop(chain_loop),
      m_chains(chains),
      m_pool(pool),
      m_peers(peers),
      m_fleet(fleet),
      m_members(members),
      m_random(
          StableHash(m_config.id, static_cast<uint64_t>(m_config.incarnation))),
      m_policy(Registry<ChainPolicy>::Get().Create(m_config.chain_policy)),
      m_requests(
          m_config.id,
          m_config.incarnation,
          EntryOptions(),
          [this](const RouteQuery& query) { return ChooseRoute(query); }),
      m_submissions(metrics.GetCounter("trefoilwick_submissions_total")),
      m_resubmissions(metrics.GetCounter("trefoilwick_resubmissions_total")),
      m_tokens(metrics.GetCounter("trefoilwick_tokens_delivered_total")) {}

void EntryHost::Start() {
  m_loop.PostEvery(kTickInterval, [this] {
    m_requests.OnTick(m_clock.Now());
    ProcessActions();
  });
}

EntryHost::AcceptedRequest EntryHost::Accept(Submission submission,
                                             const std::string& model,
                                             CallerSink sink) {
  AcceptedRequest accepted;
  accepted.request =
      m_requests.Accept(m_clock.Now(), std::move(submission), model);
  accepted.sink_id = AddSink(accepted.request, std::move(sink));
  // Posted, so that the caller learns the id before the first update.
  m_loop.Post([this] { ProcessActions(); });
  return accepted;
}

uint64_t EntryHost::AddSink(const std::string& request, CallerSink sink) {
  const uint64_t id = m_next_sink++;
  m_sinks[request].push_back({id, true, std::move(sink)});
  return id;
}

void EntryHost::OnCallerGone(const std::string& request, uint64_t sink) {
  auto it = m_sinks.find(request);
  if (it == m_sinks.end())
    return;
  bool connected = false;
  for (SinkEntry& entry : it->second) {
    if (entry.id == sink)
      entry.connected = false;
    connected = connected || entry.connected;
  }
  if (connected)
    return;
  m_requests.OnCallerGone(m_clock.Now(), request);
  ProcessActions();
}

std::vector<std::string> EntryHost::OnDeliver(const Delivery& delivery) {
  for (const ChainLoadReport& load : delivery.loads)
    RecordChainLoad(load);
  auto orphaned =
      m_requests.OnDeliver(m_clock.Now(), delivery.scheduler, delivery.updates);
  ProcessActions();
  return orphaned;
}

void EntryHost::OnSchedulerLost(const std::string& scheduler) {
  m_requests.OnSchedulerUnavailable(m_clock.Now(), scheduler);
  ProcessActions();
}

const RequestView* EntryHost::FindRequest(const std::string& request) const {
  return m_requests.Find(request);
}

void EntryHost::AbortRequests() {
  m_requests.AbortAll(m_clock.Now());
  ProcessActions();
}

std::optional<ChainRoute> EntryHost::ChooseRoute(const RouteQuery& query) {
  const auto fleet = m_fleet.Load();
  const auto members = m_members.Load();
  if (!fleet || !members || !m_policy)
    return std::nullopt;
  const std::string id = m_policy->ChooseChain(
      {*fleet, m_loads, query.model, m_config.data_center, query.prefix_hash,
       m_clock.Now(), query.excluded_chains, &m_prefixes,
       std::max(1, static_cast<int>(members->schedulers.size()))},
      m_random);
  auto it = fleet->chains.find(id);
  if (it == fleet->chains.end())
    return std::nullopt;
  ChainRoute route{id, ChainOwner(it->second, members->schedulers)};
  if (route.scheduler.empty())
    return std::nullopt;
  ++m_loads[id].sent_since_report;
  m_prefixes.Record(query.prefix_hash, id);
  return route;
}

void EntryHost::RecordChainLoad(const ChainLoadReport& load) {
  ChainLoadInfo& info = m_loads[load.chain];
  info.expected_wait = load.expected_wait;
  info.queued = load.queued;
  info.running = load.running;
  info.sent_since_report = 0;
  info.reported_at = m_clock.Now();
}

void EntryHost::ProcessActions() {
  for (EntryAction& action : m_requests.TakeActions()) {
    std::visit(Overloaded{
                   [&](SubmitRequest& submit) { Submit(std::move(submit)); },
                   [&](CancelRequest& cancel) { Cancel(cancel); },
                   [&](VerifyRequests& verify) { VerifyRequestsHeld(verify); },
                   [&](CallerUpdate& update) {
                     m_tokens.Add(update.tokens.size());
                     auto it = m_sinks.find(update.request);
                     if (it == m_sinks.end())
                       return;
                     for (const SinkEntry& sink : it->second)
                       sink.receive(update);
                     if (update.outcome != Outcome::kRunning)
                       m_sinks.erase(it);
                   },
               },
               action);
  }
}

void EntryHost::Submit(SubmitRequest submit) {
  m_submissions.Add();
  if (!submit.submission.tokens.empty())
    m_resubmissions.Add();
  const std::string request = submit.submission.request;
  const uint64_t lineage = submit.submission.lineage;
  const std::string chain = submit.route.chain;
  auto remote = std::make_shared<RemoteSubmission>(RemoteSubmission{
      chain, m_config.incarnation, std::move(submit.submission)});
  const auto report = [this, request, lineage,
                       chain](absl::StatusOr<SubmitResult> result) {
    m_loop.Post([this, request, lineage, chain, result = std::move(result)] {
      OnSubmitResult(request, lineage, chain, result);
    });
  };
  if (submit.route.scheduler == m_config.id) {
    m_chain_loop.Post([this, remote, report] {
      report(m_chains.Submit(std::move(*remote)));
    });
    return;
  }
  const auto members = m_members.Load();
  const Member* member = members->Find(submit.route.scheduler);
  if (!member) {
    report(MakeStatus(absl::StatusCode::kUnavailable, "scheduler is gone"));
    return;
  }
  const PeerCallOptions call{member->peer_address, kSubmitTimeout, false};
  const bool posted = m_pool.TryPost(
      [this, call, remote, report] { report(m_peers.Submit(call, *remote)); });
  if (!posted)
    report(MakeStatus(absl::StatusCode::kUnavailable, "queue full"));
}

void EntryHost::OnSubmitResult(const std::string& request,
                               uint64_t lineage,
                               const std::string& chain,
                               const absl::StatusOr<SubmitResult>& result) {
  const TimePoint now = m_clock.Now();
  if (!result.ok()) {
    m_requests.OnSubmitFailed(
        now, request, lineage,
        result.status().code() == absl::StatusCode::kUnavailable);
  } else if (result->refusal) {
    ChainLoadInfo& info = m_loads[chain];
    info.expected_wait = std::max(result->expected_wait, info.expected_wait);
    info.reported_at = now;
    m_requests.OnSubmitRefused(now, request, lineage, *result->refusal);
  } else {
    m_loads[chain].expected_wait = result->expected_wait;
    m_loads[chain].reported_at = now;
    m_requests.OnSubmitAccepted(now, request, lineage);
  }
  ProcessActions();
}

void EntryHost::Cancel(const CancelRequest& cancel) {
  if (cancel.scheduler == m_config.id) {
    m_chain_loop.Post(
        [this, request = cancel.request] { m_chains.Cancel({request}); });
    return;
  }
  const auto members = m_members.Load();
  const Member* member = members->Find(cancel.scheduler);
  if (!member)
    return;
  const PeerCallOptions call{member->peer_address, kSubmitTimeout, false};
  // If the cancel is lost, the entry reports the request as orphaned in its
  // response to the scheduler's next delivery, and the scheduler cancels it
  // then.
  [[maybe_unused]] const bool posted =
      m_pool.TryPost([this, call, request = cancel.request] {
        if (!m_peers.Cancel(call, {request}).ok()) {
          PeerCallOptions retry_call = call;
          retry_call.fresh_connection = true;
          m_peers.Cancel(retry_call, {request}).IgnoreError();
        }
      });
}

void EntryHost::VerifyRequestsHeld(const VerifyRequests& verify) {
  const std::string scheduler = verify.scheduler;
  if (scheduler == m_config.id) {
    m_chain_loop.Post([this, verify] {
      auto missing = m_chains.FindMissingRequests(verify.requests);
      m_loop.Post([this, verify, missing = std::move(missing)] {
        m_requests.OnVerified(m_clock.Now(), verify.scheduler, missing);
        ProcessActions();
      });
    });
    return;
  }
  const auto members = m_members.Load();
  const Member* member = members->Find(scheduler);
  if (!member) {
    OnSchedulerLost(scheduler);
    return;
  }
  const PeerCallOptions call{member->peer_address, kVerifyTimeout, true};
  [[maybe_unused]] const bool posted = m_pool.TryPost([this, call, verify] {
    auto missing = m_peers.FindMissingRequests(call, verify.requests);
    if (!missing.ok())
      missing = m_peers.FindMissingRequests(call, verify.requests);
    m_loop.Post([this, verify, missing = std::move(missing)] {
      if (missing.ok())
        m_requests.OnVerified(m_clock.Now(), verify.scheduler, *missing);
      else
        m_requests.OnSchedulerUnavailable(m_clock.Now(), verify.scheduler);
      ProcessActions();
    });
  });
}

}  // namespace trefoilwick::detail
