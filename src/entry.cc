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
  const size_t last_dash = text.rfind('-');
  if (last_dash == std::string_view::npos || last_dash == 0)
    return std::nullopt;
  const size_t middle_dash = text.rfind('-', last_dash - 1);
  if (middle_dash == std::string_view::npos || middle_dash == 0)
    return std::nullopt;
  RequestId id;
  uint64_t incarnation = 0;
  if (!ParseHex(text.substr(middle_dash + 1, last_dash - middle_dash - 1),
                incarnation) ||
      !ParseHex(text.substr(last_dash + 1), id.sequence))
    return std::nullopt;
  id.entry = std::string(text.substr(0, middle_dash));
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
  TrackedRequest tracked;
  tracked.view.account = submission.account;
  tracked.view.kind = submission.kind;
  tracked.view.rank = submission.rank;
  tracked.view.tokens = submission.tokens;
  tracked.submission = std::move(submission);
  tracked.model = std::move(model);
  tracked.last_update_at = now;
  tracked.route_deadline = now;
  ++m_active;
  TrackedRequest& stored =
      m_requests.emplace(id, std::move(tracked)).first->second;
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
                             TrackedRequest& tracked) {
  if (tracked.view.attempts >= m_options.max_attempts) {
    FinishRequest(
        now, id, tracked,
        tracked.may_have_run ? Outcome::kIncomplete : Outcome::kNotRun,
        "attempts_exhausted");
    return;
  }
  const auto route =
      m_router({tracked.model, PrefixHash(tracked.submission.prompt),
                tracked.excluded_chains});
  if (!route) {
    // The next attempt may include chains that failed earlier.
    tracked.excluded_chains.clear();
    if (now >= tracked.route_deadline) {
      FinishRequest(
          now, id, tracked,
          tracked.may_have_run ? Outcome::kIncomplete : Outcome::kNotRun,
          tracked.refusals > 0 ? "overloaded" : "no_chain");
      return;
    }
    tracked.unrouted = true;
    tracked.next_route_at = now + m_options.route_retry_interval;
    return;
  }
  tracked.route = *route;
  tracked.lineage = NextLineage();
  tracked.unrouted = false;
  tracked.accepted = false;
  tracked.verifying = false;
  tracked.last_update_at = now;
  ++tracked.view.attempts;
  Submission submission = tracked.submission;
  submission.lineage = tracked.lineage;
  submission.tokens = tracked.view.tokens;
  m_actions.push_back(SubmitRequest{*route, std::move(submission)});
}

void EntryRequests::Resubmit(TimePoint now,
                             const std::string& id,
                             TrackedRequest& tracked,
                             bool exclude_chain) {
  if (exclude_chain)
    tracked.excluded_chains.insert(tracked.route.chain);
  tracked.route_deadline = now + m_options.route_timeout;
  TryRoute(now, id, tracked);
}

void EntryRequests::OnSubmitAccepted(TimePoint now,
                                     const std::string& request,
                                     uint64_t lineage) {
  TrackedRequest* tracked = FindRunning(request);
  // A restart inside the scheduler may already have replaced the lineage.
  if (!tracked || tracked->unrouted ||
      (tracked->lineage != lineage && !tracked->accepted))
    return;
  const bool is_first_acceptance = !tracked->may_have_run;
  tracked->accepted = true;
  tracked->may_have_run = true;
  tracked->last_update_at = now;
  if (is_first_acceptance) {
    // Reports to the caller that the request was accepted, and its id.
    CallerUpdate update;
    update.request = request;
    m_actions.push_back(std::move(update));
  }
}

void EntryRequests::OnSubmitRefused(TimePoint now,
                                    const std::string& request,
                                    uint64_t lineage,
                                    const SubmitRefusal& refusal) {
  TrackedRequest* tracked = FindRunning(request);
  if (!tracked || tracked->lineage != lineage || tracked->accepted)
    return;
  if (refusal.reason == "overloaded") {
    ++tracked->refusals;
    tracked->retry_after = std::max(tracked->retry_after, refusal.retry_after);
    // Only one other chain is tried; more attempts would multiply the load of a
    // flood.
    if (tracked->refusals >= 2 && !tracked->may_have_run) {
      FinishRequest(now, request, *tracked, Outcome::kNotRun, "overloaded");
      return;
    }
  }
  tracked->excluded_chains.insert(tracked->route.chain);
  if (tracked->may_have_run) {
    // An accepted request is not refused; it waits for a chain until the
    // deadline.
    if (now >= tracked->route_deadline) {
      FinishRequest(now, request, *tracked, Outcome::kIncomplete,
                    refusal.reason);
      return;
    }
    tracked->unrouted = true;
    tracked->next_route_at = now + m_options.route_retry_interval;
    --tracked->view.attempts;
    return;
  }
  TryRoute(now, request, *tracked);
}

void EntryRequests::OnSubmitFailed(TimePoint now,
                                   const std::string& request,
                                   uint64_t lineage,
                                   bool certainly_not_sent) {
  TrackedRequest* tracked = FindRunning(request);
  if (!tracked || tracked->lineage != lineage || tracked->accepted)
    return;
  if (!certainly_not_sent) {
    tracked->may_have_run = true;
    m_actions.push_back(CancelRequest{tracked->route.scheduler, request});
  }
  Resubmit(now, request, *tracked, true);
}

void EntryRequests::ApplyUpdate(TimePoint now,
                                TrackedRequest& tracked,
                                const TokenUpdate& update) {
  const std::string& id = update.request;
  const int received_count = static_cast<int>(tracked.view.tokens.size());
  const int update_end = update.index + static_cast<int>(update.tokens.size());
  if (update.index > received_count) {
    // An update is missing, so the rest of this lineage cannot be used.
    m_actions.push_back(CancelRequest{tracked.route.scheduler, id});
    Resubmit(now, id, tracked, false);
    return;
  }
  if (update_end > received_count) {
    CallerUpdate caller_update;
    caller_update.request = id;
    caller_update.index = received_count;
    caller_update.tokens.assign(
        update.tokens.begin() + (received_count - update.index),
        update.tokens.end());
    tracked.view.tokens.insert(tracked.view.tokens.end(),
                               caller_update.tokens.begin(),
                               caller_update.tokens.end());
    m_actions.push_back(std::move(caller_update));
  }
  switch (update.state) {
    case UpdateState::kRunning:
      return;
    case UpdateState::kFinished:
      FinishRequest(now, id, tracked, Outcome::kFinished, "");
      return;
    case UpdateState::kQuarantined:
      FinishRequest(now, id, tracked, Outcome::kIncomplete, "quarantined");
      return;
    case UpdateState::kFailed:
      // It may have crashed a server, so it runs alone from now on.
      tracked.submission.isolated |= update.suspect;
      Resubmit(now, id, tracked, update.reason != "moved");
      return;
  }
}

std::vector<std::string> EntryRequests::OnDeliver(
    TimePoint now,
    const std::string& scheduler,
    const std::vector<TokenUpdate>& updates) {
  std::vector<std::string> disowned;
  for (const TokenUpdate& update : updates) {
    TrackedRequest* tracked = FindRunning(update.request);
    if (!tracked || tracked->unrouted ||
        tracked->route.scheduler != scheduler) {
      ++m_dropped_updates;
      disowned.push_back(update.request);
      continue;
    }
    if (update.lineage != tracked->lineage) {
      if (update.replaces == 0 || update.replaces != tracked->lineage) {
        ++m_dropped_updates;
        continue;
      }
      tracked->lineage = update.lineage;
    }
    tracked->accepted = true;
    tracked->may_have_run = true;
    tracked->verifying = false;
    tracked->last_update_at = now;
    ApplyUpdate(now, *tracked, update);
  }
  return disowned;
}

void EntryRequests::OnVerified(TimePoint now,
                               const std::string& scheduler,
                               const std::vector<std::string>& missing) {
  for (auto& [id, tracked] : m_requests) {
    if (!tracked.verifying || tracked.route.scheduler != scheduler)
      continue;
    tracked.verifying = false;
    tracked.last_update_at = now;
  }
  for (const std::string& id : missing) {
    TrackedRequest* tracked = FindRunning(id);
    if (tracked && !tracked->unrouted && tracked->route.scheduler == scheduler)
      Resubmit(now, id, *tracked, false);
  }
}

void EntryRequests::OnSchedulerUnavailable(TimePoint now,
                                           const std::string& scheduler) {
  for (auto& [id, tracked] : m_requests) {
    if (tracked.view.outcome != Outcome::kRunning || tracked.unrouted ||
        tracked.route.scheduler != scheduler)
      continue;
    tracked.may_have_run = true;
    m_actions.push_back(CancelRequest{scheduler, id});
    Resubmit(now, id, tracked, true);
  }
}

void EntryRequests::OnCallerGone(TimePoint now, const std::string& request) {
  TrackedRequest* tracked = FindRunning(request);
  if (!tracked)
    return;
  if (!tracked->unrouted)
    m_actions.push_back(CancelRequest{tracked->route.scheduler, request});
  FinishRequest(now, request, *tracked, Outcome::kIncomplete, "caller_gone");
}

void EntryRequests::OnTick(TimePoint now) {
  std::map<std::string, std::vector<std::string>> to_verify;
  for (auto it = m_requests.begin(); it != m_requests.end();) {
    TrackedRequest& tracked = it->second;
    if (tracked.view.outcome != Outcome::kRunning) {
      if (now - tracked.ended >= m_options.outcome_retention)
        it = m_requests.erase(it);
      else
        ++it;
      continue;
    }
    if (tracked.unrouted) {
      if (now >= tracked.next_route_at)
        TryRoute(now, it->first, tracked);
    } else if (tracked.accepted && !tracked.verifying &&
               now - tracked.last_update_at >= m_options.verify_after) {
      tracked.verifying = true;
      to_verify[tracked.route.scheduler].push_back(it->first);
    }
    ++it;
  }
  for (auto& [scheduler, requests] : to_verify)
    m_actions.push_back(VerifyRequests{scheduler, std::move(requests)});
}

void EntryRequests::FinishRequest(TimePoint now,
                                  const std::string& id,
                                  TrackedRequest& tracked,
                                  Outcome outcome,
                                  std::string reason) {
  tracked.view.outcome = outcome;
  tracked.view.reason = reason;
  tracked.ended = now;
  --m_active;
  CallerUpdate update;
  update.request = id;
  update.index = static_cast<int>(tracked.view.tokens.size());
  update.outcome = outcome;
  update.reason = std::move(reason);
  if (outcome == Outcome::kNotRun)
    update.retry_after =
        std::max(tracked.retry_after, m_options.route_retry_interval);
  m_actions.push_back(std::move(update));
}

void EntryRequests::AbortAll(TimePoint now) {
  for (auto& [id, tracked] : m_requests) {
    if (tracked.view.outcome != Outcome::kRunning)
      continue;
    if (!tracked.unrouted)
      m_actions.push_back(CancelRequest{tracked.route.scheduler, id});
    FinishRequest(now, id, tracked,
                  tracked.may_have_run || !tracked.unrouted
                      ? Outcome::kIncomplete
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
