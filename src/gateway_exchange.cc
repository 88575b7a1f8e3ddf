#include "gateway_exchange.h"

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <sstream>

#include "gateway_core.h"

namespace trefoilwick::detail {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using std::chrono::milliseconds;

// A request may wait for a server for its time limit divided by this number.
constexpr int kQueueTimeDivisor = 8;
// Time to wait for the configuration and the server list. A starting process
// has both after about 0.1 s; processes that start together on a slow link have
// them somewhat later.
constexpr Duration kStartQueueTime = milliseconds(600);
// Clients give up on a stream that does not begin within about two seconds.
constexpr Duration kMaxQueueTime = milliseconds(1300);
constexpr Duration kDefaultTimeout = std::chrono::seconds(20);
// Longest wait of a request when the servers are short of capacity: capacity
// that becomes free by then was about to, and a client that is refused this
// early loses nothing.
constexpr Duration kMaxShortageQueueTime = milliseconds(60);
// A server that refused or failed a request is not used for it again for this
// time.
constexpr Duration kServerExclusionTime = milliseconds(700);

std::string RetryAfterSeconds(Duration after) {
  char text[24];
  snprintf(text, sizeof text, "%.2f", static_cast<double>(after.count()) / 1e6);
  return text;
}

std::string RequestBytes(const HttpRequest& request) {
  std::ostringstream out;
  out << request.base();
  return out.str() + request.body();
}

}  // namespace

Exchange::Exchange(GatewayCore& core,
                   ClientSession& session,
                   TimePoint start_time)
    : m_core(core),
      m_session(session.shared_from_this()),
      m_start_time(start_time),
      m_timer(core.io()),
      m_events(EventStreamReader::Builder()
                   .SetExtraFields(core.settings().event_fields)
                   .Build()) {
  m_admission_draw = m_core.random().UniformDouble();
  m_core.AddExchange(this);
}

Exchange::~Exchange() {
  if (m_call)
    m_call->Cancel();
  ReleaseLoad();
  EndTrial();
  m_core.RemoveExchange(this);
}

void Exchange::Begin(http::request<http::string_body> request) {
  m_is_head_request = request.method() == http::verb::head;
  auto parsed = m_core.dialect().ReadRequest(request.base());
  if (!parsed.ok()) {
    SendLocalReply(400, "not_run",
                   std::string(parsed.status().message()).c_str());
    return;
  }
  m_request = std::move(*parsed);
  m_request.body = std::move(request.body());
  if (m_request.last_event_id >= 0)
    m_events.ContinueAfter(m_request.last_event_id);
  m_queue_deadline = m_start_time + kStartQueueTime;
  TryDispatch();
}

bool Exchange::ResolveRoute() {
  m_table = m_core.table();
  m_route = m_table->FindRoute(m_request.host, m_request.target);
  if (m_route == nullptr) {
    SendLocalReply(404, "not_run", "no route matches");
    return false;
  }
  if (!Authorize(*m_table)) {
    SendLocalReply(401, "not_run", "the key is unknown");
    return false;
  }
  m_forward = ForwardState::Builder().SetRoute(*m_route).Build();
  m_core.overload().CountDemand(m_core.Now(), DemandKey(), KvTokensToReserve());
  const Duration route_timeout =
      m_route->timeout > Duration(0) ? m_route->timeout : kDefaultTimeout;
  const Duration time_limit =
      std::min(route_timeout, m_request.client_timeout.value_or(route_timeout));
  m_deadline = m_start_time + time_limit;
  m_queue_deadline =
      m_start_time + std::min(time_limit / kQueueTimeDivisor, kMaxQueueTime);
  if (!m_core.coordination().has_server_list())
    m_queue_deadline =
        std::max(m_queue_deadline, m_start_time + kStartQueueTime);
  m_timer.expires_after(m_deadline - m_core.Now());
  m_timer.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self)
      RunStep(*self, [](Exchange& exchange) { exchange.OnDeadline(); });
  });
  return true;
}

bool Exchange::Authorize(const RouteTable& table) {
  m_rank = m_route->rank;
  if (!table.requires_account() || m_route->is_public)
    return true;
  const ClientAccount* account = table.FindAccount(m_request.api_key);
  if (account == nullptr)
    return false;
  m_account = account->name;
  m_rank = account->rank.value_or(m_route->rank);
  return true;
}

AccountDemandKey Exchange::DemandKey() const {
  return {HashAccount(m_account), m_rank};
}

const EngineModel* Exchange::EngineOf(const std::string& service) const {
  const Service* found = m_table->FindService(service);
  return found && found->engine && found->engine->layers > 0 ? &*found->engine
                                                             : nullptr;
}

double Exchange::KvTokensToReserve() const {
  const EngineModel* engine = Engine();
  return ReservedTokens({m_request.prompt_tokens, m_request.answer_hint,
                         m_request.max_answer_tokens,
                         engine ? engine->mean_answer_tokens : 0});
}

bool Exchange::TryDispatch() {
  if (m_ended || m_call)
    return true;
  const TimePoint now = m_core.Now();
  if (!m_core.table()) {
    m_refusal_reason = "no configuration is known yet";
    WaitOrRefuse();
    return true;
  }
  if (!m_table && !ResolveRoute())
    return true;
  if (now >= m_deadline) {
    OnDeadline();
    return true;
  }
  if (QuarantineTime() > Duration(0) && m_trial_traits.empty() &&
      !TryBeginTrial()) {
    EndIfQuarantined();
    return true;
  }
  m_refusal_reason = "no server has room";
  m_shed = false;
  DropEndedServers();
  if (!m_waiting && m_core.MustQueue(*this)) {
    WaitOrRefuse();
    return false;
  }
  const SendVerdict verdict = m_core.IsServerListUsable(now)
                                  ? ChooseServer()
                                  : SendVerdict::kNoCapacity;
  if (verdict == SendVerdict::kAllowed) {
    if (m_forward.sends() > 0)
      m_core.LogRetry(m_request.attempt_id, m_service, m_server,
                      m_response_committed, true);
    if (std::exchange(m_waiting, false))
      m_core.RemoveWaitingRequest(this);
    StartUpstreamCall();
    return true;
  }
  if (verdict == SendVerdict::kRetryBudgetSpent) {
    // A response in progress waits for the retry budget; any other request can
    // be refused at once with a true outcome.
    if (!m_waiting)
      m_core.LogRetry(m_request.attempt_id, m_service, m_server,
                      m_response_committed, false);
    if (!m_response_committed) {
      m_refusal_reason = "the retry budget is spent";
      m_queue_deadline = now;
    }
    WaitOrRefuse();
    return true;
  }
  if (verdict == SendVerdict::kShed) {
    m_shed = true;
    m_refusal_reason = "the servers are short of capacity";
    if (!m_response_committed)
      m_queue_deadline =
          std::min(m_queue_deadline, m_start_time + kMaxShortageQueueTime);
    WaitOrRefuse();
    // A more urgent request may begin where this one may not.
    return true;
  }
  WaitOrRefuse();
  // A request that reached its limit of servers does not block later ones.
  return m_forward.server_limit_reached();
}

WaitingRequest Exchange::MakeWaitingRequest() const {
  WaitingRequest out;
  if (m_route != nullptr) {
    if (!m_route->services.empty())
      out.service = m_route->services.front().service;
    out.latency_target = m_route->latency_target;
  }
  out.rank = m_rank;
  out.started_at = m_start_time;
  out.in_progress = m_response_committed;
  return out;
}

void Exchange::ExcludeServer(const std::string& server) {
  m_excluded_until[server] = m_core.Now() + kServerExclusionTime;
}

bool Exchange::IsExcluded(const std::string& server) const {
  const auto found = m_excluded_until.find(server);
  return found != m_excluded_until.end() && found->second > m_core.Now();
}

void Exchange::DropEndedServers() {
  if (!m_forward.server_limit_reached())
    return;
  const std::set<std::string> sent_to = m_forward.attempted_servers();
  for (const std::string& server : sent_to)
    if (m_core.HasServerEnded(server, m_closed_by_server.contains(server)))
      m_forward.OnServerEnded(server);
}

void Exchange::WaitOrRefuse() {
  // A request at a server must be neither refused nor sent to another one.
  if (m_ended || m_call)
    return;
  const TimePoint now = m_core.Now();
  // A response in progress may wait until its deadline; any other request is
  // refused while the client still has time to retry, and at once when the
  // servers take it only after that.
  const TimePoint until = m_response_committed ? m_deadline : m_queue_deadline;
  const Duration pause = m_response_committed ? Duration(0) : PauseTime();
  const bool outlasts_queue = pause > Duration(0) && now + pause >= until;
  if (outlasts_queue)
    m_refusal_reason = "the servers asked for a pause";
  if (now < until && !outlasts_queue) {
    if (!std::exchange(m_waiting, true))
      m_core.AddWaitingRequest(this);
    return;
  }
  if (std::exchange(m_waiting, false))
    m_core.RemoveWaitingRequest(this);
  ExecuteDecision(m_forward.OnNoServer());
}

void Exchange::StartUpstreamCall() {
  const TimePoint now = m_core.Now();
  const auto found = m_core.servers().find(m_server);
  if (!std::exchange(m_counted_in_budget, true))
    m_core.CountRequest(m_service);
  SendPlan plan;
  plan.server = &found->second;
  m_server_process = found->second.process();
  plan.path = m_path;
  plan.time_left = m_deadline - now;
  plan.account = m_account;
  plan.rank = m_rank;
  plan.resume_after_event_id = m_events.has_events() ? m_events.last_id() : -1;
  const HttpRequest request =
      m_core.dialect().WriteRequest(m_request, plan, m_core.servers());
  ReserveLoad();
  RecordPrefill(m_path, {});
  m_head = ResponseHead();
  m_optional_body_since.reset();
  m_body.clear();
  m_events.BeginRun(m_core.FirstEventId(m_service));
  m_streaming = false;
  m_repathing = false;
  m_migration_plan.Clear();
  m_last_event_before_send =
      std::max(m_events.last_id(), m_request.last_event_id);
  m_last_progress = now;
  m_send_started_at = now;
  m_call = std::make_shared<UpstreamCall>(m_core.io(), m_core.dialect(),
                                          m_core.pool(), this);
  // The server may close an idle connection while a request is sent on it,
  // which leaves the outcome unknown: only requests that may run again use one.
  // A late copy of the answer to an earlier send would have the same id.
  const bool is_first_send = m_servers_sent_to.insert(m_server).second;
  m_call->Start(found->second, m_request.attempt_id, m_is_head_request,
                RequestBytes(request),
                m_route->AllowsReexecution() && is_first_send);
}

void Exchange::RecordPrefill(const LayerPath& path,
                             const std::set<std::string>& kept) {
  const EngineModel* engine = Engine();
  if (engine == nullptr)
    return;
  m_core.prefill_backlog().AddPrefill(m_core.Now(), *engine, m_core.servers(),
                                      path, kept, TokensSoFar(),
                                      std::exchange(m_recovery_multiplier, 1));
}

double Exchange::TokensSoFar() const {
  return m_request.prompt_tokens + static_cast<double>(m_events.last_id() + 1);
}

void Exchange::ReserveLoad() {
  ReleaseLoad();
  m_load_reserved = true;
  if (m_path.empty())
    m_core.AddLoad(m_server, 1);
  else
    m_core.AddLoad(m_path, KvTokensToReserve(), 1);
}

void Exchange::ReleaseLoad() {
  if (!std::exchange(m_load_reserved, false))
    return;
  if (m_path.empty())
    m_core.AddLoad(m_server, -1);
  else
    m_core.AddLoad(m_path, KvTokensToReserve(), -1);
}

bool Exchange::UsesServer(const std::string& server) const {
  if (!m_call)
    return false;
  if (server == m_server)
    return true;
  return std::any_of(m_path.begin(), m_path.end(), [&](const PathStage& stage) {
    return stage.server == server;
  });
}

void Exchange::ExecuteDecision(const ForwardDecision& decision) {
  std::visit(Overloaded{
                 [&](const SendToServer&) { SendAgain(); },
                 [&](const RefuseNotRun&) { SendRefusal(); },
                 [&](const FailWithUnknownOutcome& fail) {
                   SendLocalReply(fail.timed_out ? 504 : 502, "unknown",
                                  "the answer of the server was lost");
                 },
                 [&](const RelayAnswer&) { RelayFullResponse(); },
                 [&](const AbortAnswer&) {
                   if (Finish("broken_off", 0))
                     m_session->Abort();
                 },
                 [](const KeepWaiting&) {},
             },
             decision);
}

void Exchange::SendAgain() {
  m_call = nullptr;
  ReleaseLoad();
  m_queue_deadline =
      std::max(m_queue_deadline, m_core.Now() + milliseconds(300));
  TryDispatch();
}

void Exchange::Cancel(const char* reason) {
  const auto self = shared_from_this();
  if (m_call)
    m_call->Cancel();
  m_call = nullptr;
  m_refusal_reason = reason;
  ExecuteDecision(m_forward.OnCancelled());
}

void Exchange::OnException(const std::string& what) {
  const auto self = shared_from_this();
  m_core.Log("request_exception",
             {{"id", m_request.attempt_id}, {"what", what}});
  Cancel("the request could not be handled");
  // The response may have been decided on, but not written.
  if (Finish("exception", 0))
    m_session->Abort();
}

void Exchange::OnDeadline() {
  const auto self = shared_from_this();
  if (m_ended)
    return;
  const ForwardDecision decision = m_forward.OnDeadline();
  if (m_call)
    m_call->Cancel();
  m_call = nullptr;
  ExecuteDecision(decision);
}

void Exchange::OnClientDisconnected() {
  if (m_call)
    m_call->Cancel();
  m_call = nullptr;
  Finish("client_left", 0);
}

void Exchange::SendRefusal() {
  // Retries are spread in time; more urgent requests may retry earlier.
  const Duration retry_delay =
      milliseconds(200 + 200 * std::min(m_rank, 4)) +
      Duration(static_cast<int64_t>(m_core.random().UniformDouble() * 300'000));
  if (m_shed)
    m_core.metrics()
        .GetCounter("trefoilwick_shed_total",
                    {{"service", m_service}, {"rank", std::to_string(m_rank)}})
        .Add();
  const TimePoint now = m_core.Now();
  const Duration shortage_delay =
      m_shed ? m_core.overload().RetryAfter(now, m_deadline - now,
                                            m_core.random().UniformDouble())
             : Duration(0);
  const Duration retry_after =
      std::max({retry_delay + PauseTime(), shortage_delay,
                m_route != nullptr ? QuarantineTime() : Duration(0)});
  FullResponse response;
  response.status = 503;
  m_core.dialect().AddLocalReplyHeaders(m_request.attempt_id, response.headers);
  response.headers.set(http::field::content_type, "application/problem+json");
  response.headers.set(http::field::retry_after,
                       RetryAfterSeconds(retry_after));
  response.body = std::string(R"({"outcome":"not_run","detail":")") +
                  m_refusal_reason + "\"}";
  if (Finish(m_refusal_reason, 503))
    m_session->SendFullResponse(response);
}

void Exchange::SendLocalReply(int status,
                              const char* outcome,
                              const char* detail) {
  FullResponse response;
  response.status = status;
  m_core.dialect().AddLocalReplyHeaders(m_request.attempt_id, response.headers);
  response.headers.set(http::field::content_type, "application/problem+json");
  response.body = std::string(R"({"outcome":")") + outcome + R"(","detail":")" +
                  detail + "\"}";
  if (Finish(detail, status))
    m_session->SendFullResponse(response);
}

bool Exchange::Finish(const char* outcome, int status) {
  if (std::exchange(m_ended, true))
    return false;
  m_timer.cancel();
  if (m_waiting)
    m_core.RemoveWaitingRequest(this);
  m_waiting = false;
  ReleaseLoad();
  EndTrial();
  ReportHeldCrash();
  if (m_events.has_events() && !m_path.empty() &&
      m_send_started_at != TimePoint{})
    m_core.RecordServiceTime(m_core.Now() - m_send_started_at);
  const auto ms = [&](TimePoint at) {
    return at == TimePoint{}
               ? std::string("-")
               : std::to_string((at - m_start_time).count() / 1000);
  };
  m_core.metrics()
      .GetCounter("trefoilwick_requests_total",
                  {{"status", std::to_string(status)}})
      .Add();
  if (m_first_event_at != TimePoint{})
    m_core.metrics()
        .GetHistogram("trefoilwick_first_event_seconds")
        .Record(m_first_event_at - m_start_time);
  m_core.Log("request", {{"id", m_request.attempt_id},
                         {"route", m_route ? m_route->name : ""},
                         {"account", m_account},
                         {"rank", std::to_string(m_rank)},
                         {"status", std::to_string(status)},
                         {"outcome", outcome},
                         {"server", m_server},
                         {"parts", std::to_string(m_path.size())},
                         {"sends", std::to_string(m_forward.sends())},
                         {"events", std::to_string(m_events.first_id()) + ":" +
                                        std::to_string(m_events.last_id())},
                         {"offered_ms", ms(m_send_started_at)},
                         {"first_ms", ms(m_first_event_at)},
                         {"total_ms", ms(m_core.Now())}});
  m_core.ScheduleDispatch();
  return true;
}

}  // namespace trefoilwick::detail
