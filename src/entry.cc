#include "trefoilwick/entry.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace trefoilwick {

namespace {

std::string Hex(uint64_t value) {
  char buffer[17];
  auto [end, error] = std::to_chars(buffer, buffer + sizeof(buffer), value, 16);
  return error == std::errc() ? std::string(buffer, end) : std::string();
}

bool ParseHex(std::string_view text, uint64_t& value) {
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc() && end == text.data() + text.size() &&
         !text.empty();
}

}  // namespace

std::string FormatRequestId(const RequestId& id) {
  return id.entry + "-" + Hex(static_cast<uint64_t>(id.incarnation)) + "-" +
         Hex(id.sequence);
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  const size_t last = text.rfind('-');
  if (last == std::string_view::npos || last == 0)
    return std::nullopt;
  const size_t middle = text.rfind('-', last - 1);
  if (middle == std::string_view::npos || middle == 0)
    return std::nullopt;
  RequestId id;
  uint64_t incarnation = 0;
  if (!ParseHex(text.substr(middle + 1, last - middle - 1), incarnation) ||
      !ParseHex(text.substr(last + 1), id.sequence))
    return std::nullopt;
  id.entry = std::string(text.substr(0, middle));
  id.incarnation = static_cast<int64_t>(incarnation);
  return id;
}

EntryRequests::EntryRequests(std::string entry,
                             int64_t incarnation,
                             EntryOptions options,
                             Router router)
    : m_entry(std::move(entry)),
      m_incarnation(incarnation),
      m_options(options),
      m_router(std::move(router)),
      m_lineage_prefix(static_cast<uint32_t>(
          StableHash("entry/" + m_entry, static_cast<uint64_t>(incarnation)))) {
}

uint64_t EntryRequests::NextLineage() {
  return (uint64_t{m_lineage_prefix} << 32) | m_next_lineage++;
}

std::string EntryRequests::Accept(TimePoint now,
                                  Submission submission,
                                  std::string model) {
  std::string id = FormatRequestId({m_entry, m_incarnation, m_next_sequence++});
  submission.request = id;
  submission.entry = m_entry;
  TrackedRequest entry;
  entry.view.account = submission.account;
  entry.view.kind = submission.kind;
  entry.view.rank = submission.rank;
  entry.view.tokens = submission.tokens;
  entry.submission = std::move(submission);
  entry.model = std::move(model);
  entry.last_update_at = now;
  entry.route_deadline = now;
  ++m_active;
  TrackedRequest& stored =
      m_requests.emplace(id, std::move(entry)).first->second;
  TryRoute(now, id, stored);
  return id;
}

EntryRequests::TrackedRequest* EntryRequests::FindRunning(
    const std::string& request) {
  auto it = m_requests.find(request);
  if (it == m_requests.end() || it->second.view.outcome != Outcome::kRunning)
    return nullptr;
  return &it->second;
}

void EntryRequests::TryRoute(TimePoint now,
                             const std::string& id,
                             TrackedRequest& entry) {
  if (entry.view.attempts >= m_options.max_attempts) {
    FinishRequest(now, id, entry,
                  entry.may_have_run ? Outcome::kIncomplete : Outcome::kNotRun,
                  "attempts_exhausted");
    return;
  }
  const auto route = m_router({entry.model, PrefixHash(entry.submission.prompt),
                               entry.excluded_chains});
  if (!route) {
    // Another round may include chains that failed earlier.
    entry.excluded_chains.clear();
    if (now >= entry.route_deadline) {
      FinishRequest(
          now, id, entry,
          entry.may_have_run ? Outcome::kIncomplete : Outcome::kNotRun,
          entry.refusals > 0 ? "overloaded" : "no_chain");
      return;
    }
    entry.unrouted = true;
    entry.next_route_at = now + m_options.route_retry_interval;
    return;
  }
  entry.route = *route;
  entry.lineage = NextLineage();
  entry.unrouted = false;
  entry.accepted = false;
  entry.verifying = false;
  entry.last_update_at = now;
  ++entry.view.attempts;
  Submission submission = entry.submission;
  submission.lineage = entry.lineage;
  submission.tokens = entry.view.tokens;
  m_actions.push_back(SubmitRequest{*route, std::move(submission)});
}

void EntryRequests::Resubmit(TimePoint now,
                             const std::string& id,
                             TrackedRequest& entry,
                             bool exclude_chain) {
  if (exclude_chain)
    entry.excluded_chains.insert(entry.route.chain);
  entry.route_deadline = now + m_options.route_timeout;
  TryRoute(now, id, entry);
}

void EntryRequests::OnSubmitAccepted(TimePoint now,
                                     const std::string& request,
                                     uint64_t lineage) {
  TrackedRequest* entry = FindRunning(request);
  // A restart inside the scheduler may already have replaced the lineage.
  if (!entry || entry->unrouted ||
      (entry->lineage != lineage && !entry->accepted))
    return;
  const bool first = !entry->may_have_run;
  entry->accepted = true;
  entry->may_have_run = true;
  entry->last_update_at = now;
  if (first) {
    // Tells the caller that its request was accepted, and its id.
    CallerUpdate update;
    update.request = request;
    m_actions.push_back(std::move(update));
  }
}

void EntryRequests::OnSubmitRefused(TimePoint now,
                                    const std::string& request,
                                    uint64_t lineage,
                                    const SubmitRefusal& refusal) {
  TrackedRequest* entry = FindRunning(request);
  if (!entry || entry->lineage != lineage || entry->accepted)
    return;
  if (refusal.reason == "overloaded") {
    ++entry->refusals;
    entry->retry_after = std::max(entry->retry_after, refusal.retry_after);
    // One second choice; more would multiply the load of a flood.
    if (entry->refusals >= 2 && !entry->may_have_run) {
      FinishRequest(now, request, *entry, Outcome::kNotRun, "overloaded");
      return;
    }
  }
  entry->excluded_chains.insert(entry->route.chain);
  if (entry->may_have_run) {
    // Accepted work is not refused: it waits for a chain until the deadline.
    if (now >= entry->route_deadline) {
      FinishRequest(now, request, *entry, Outcome::kIncomplete, refusal.reason);
      return;
    }
    entry->unrouted = true;
    entry->next_route_at = now + m_options.route_retry_interval;
    --entry->view.attempts;
    return;
  }
  TryRoute(now, request, *entry);
}

void EntryRequests::OnSubmitFailed(TimePoint now,
                                   const std::string& request,
                                   uint64_t lineage,
                                   bool certainly_not_sent) {
  TrackedRequest* entry = FindRunning(request);
  if (!entry || entry->lineage != lineage || entry->accepted)
    return;
  if (!certainly_not_sent) {
    entry->may_have_run = true;
    m_actions.push_back(CancelRequest{entry->route.scheduler, request});
  }
  Resubmit(now, request, *entry, true);
}

void EntryRequests::ApplyUpdate(TimePoint now,
                                TrackedRequest& entry,
                                const TokenUpdate& update) {
  const std::string& id = update.request;
  const int have = static_cast<int>(entry.view.tokens.size());
  const int end = update.index + static_cast<int>(update.tokens.size());
  if (update.index > have) {
    // A gap: an update was lost, so the rest of this lineage cannot be used.
    m_actions.push_back(CancelRequest{entry.route.scheduler, id});
    Resubmit(now, id, entry, false);
    return;
  }
  if (end > have) {
    CallerUpdate news;
    news.request = id;
    news.index = have;
    news.tokens.assign(update.tokens.begin() + (have - update.index),
                       update.tokens.end());
    entry.view.tokens.insert(entry.view.tokens.end(), news.tokens.begin(),
                             news.tokens.end());
    m_actions.push_back(std::move(news));
  }
  switch (update.state) {
    case UpdateState::kRunning:
      return;
    case UpdateState::kFinished:
      FinishRequest(now, id, entry, Outcome::kFinished, "");
      return;
    case UpdateState::kQuarantined:
      FinishRequest(now, id, entry, Outcome::kIncomplete, "quarantined");
      return;
    case UpdateState::kFailed:
      // It may have crashed a server, so it runs alone from now on.
      entry.submission.isolated |= update.suspect;
      Resubmit(now, id, entry, update.reason != "moved");
      return;
  }
}

std::vector<std::string> EntryRequests::OnDeliver(
    TimePoint now,
    const std::string& scheduler,
    const std::vector<TokenUpdate>& updates) {
  std::vector<std::string> disowned;
  for (const TokenUpdate& update : updates) {
    TrackedRequest* entry = FindRunning(update.request);
    if (!entry || entry->unrouted || entry->route.scheduler != scheduler) {
      ++m_dropped_updates;
      disowned.push_back(update.request);
      continue;
    }
    if (update.lineage != entry->lineage) {
      if (update.replaces == 0 || update.replaces != entry->lineage) {
        ++m_dropped_updates;
        continue;
      }
      entry->lineage = update.lineage;
    }
    entry->accepted = true;
    entry->may_have_run = true;
    entry->verifying = false;
    entry->last_update_at = now;
    ApplyUpdate(now, *entry, update);
  }
  return disowned;
}

void EntryRequests::OnVerified(TimePoint now,
                               const std::string& scheduler,
                               const std::vector<std::string>& missing) {
  for (auto& [id, entry] : m_requests) {
    if (!entry.verifying || entry.route.scheduler != scheduler)
      continue;
    entry.verifying = false;
    entry.last_update_at = now;
  }
  for (const std::string& id : missing) {
    TrackedRequest* entry = FindRunning(id);
    if (entry && !entry->unrouted && entry->route.scheduler == scheduler)
      Resubmit(now, id, *entry, false);
  }
}

void EntryRequests::OnSchedulerUnavailable(TimePoint now,
                                           const std::string& scheduler) {
  for (auto& [id, entry] : m_requests) {
    if (entry.view.outcome != Outcome::kRunning || entry.unrouted ||
        entry.route.scheduler != scheduler)
      continue;
    entry.may_have_run = true;
    m_actions.push_back(CancelRequest{scheduler, id});
    Resubmit(now, id, entry, true);
  }
}

void EntryRequests::OnCallerGone(TimePoint now, const std::string& request) {
  TrackedRequest* entry = FindRunning(request);
  if (!entry)
    return;
  if (!entry->unrouted)
    m_actions.push_back(CancelRequest{entry->route.scheduler, request});
  FinishRequest(now, request, *entry, Outcome::kIncomplete, "caller_gone");
}

void EntryRequests::OnTick(TimePoint now) {
  std::map<std::string, std::vector<std::string>> to_verify;
  for (auto it = m_requests.begin(); it != m_requests.end();) {
    TrackedRequest& entry = it->second;
    if (entry.view.outcome != Outcome::kRunning) {
      if (now - entry.ended >= m_options.outcome_retention)
        it = m_requests.erase(it);
      else
        ++it;
      continue;
    }
    if (entry.unrouted) {
      if (now >= entry.next_route_at)
        TryRoute(now, it->first, entry);
    } else if (entry.accepted && !entry.verifying &&
               now - entry.last_update_at >= m_options.verify_after) {
      entry.verifying = true;
      to_verify[entry.route.scheduler].push_back(it->first);
    }
    ++it;
  }
  for (auto& [scheduler, requests] : to_verify)
    m_actions.push_back(VerifyRequests{scheduler, std::move(requests)});
}

void EntryRequests::FinishRequest(TimePoint now,
                                  const std::string& id,
                                  TrackedRequest& entry,
                                  Outcome outcome,
                                  std::string reason) {
  entry.view.outcome = outcome;
  entry.view.reason = reason;
  entry.ended = now;
  --m_active;
  CallerUpdate update;
  update.request = id;
  update.index = static_cast<int>(entry.view.tokens.size());
  update.outcome = outcome;
  update.reason = std::move(reason);
  if (outcome == Outcome::kNotRun)
    update.retry_after =
        std::max(entry.retry_after, m_options.route_retry_interval);
  m_actions.push_back(std::move(update));
}

void EntryRequests::AbortAll(TimePoint now) {
  for (auto& [id, entry] : m_requests) {
    if (entry.view.outcome != Outcome::kRunning)
      continue;
    if (!entry.unrouted)
      m_actions.push_back(CancelRequest{entry.route.scheduler, id});
    FinishRequest(now, id, entry,
                  entry.may_have_run || !entry.unrouted ? Outcome::kIncomplete
                                                        : Outcome::kNotRun,
                  "stopped");
  }
}

std::vector<EntryAction> EntryRequests::TakeActions() {
  return std::exchange(m_actions, {});
}

const RequestView* EntryRequests::Find(const std::string& request) const {
  auto it = m_requests.find(request);
  return it == m_requests.end() ? nullptr : &it->second.view;
}

}  // namespace trefoilwick
