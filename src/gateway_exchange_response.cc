// Response of a server: what of it is forwarded to the client, and how the
// request goes on when it is refused or broken.
#include "gateway_core.h"
#include "gateway_exchange.h"

namespace trefoilwick::detail {

namespace {

using std::chrono::milliseconds;

// Responses up to this size are buffered until they are complete, so that the
// request can be sent again when one breaks off. Of larger ones only successes
// are forwarded: a faulty server may send without end.
constexpr size_t kMaxBufferedResponseBytes = size_t{256} * 1024;
// Longer than a retransmission timeout.
constexpr Duration kMaxOptionalBodyTime = milliseconds(300);
// Reading from the server pauses while more bytes wait for the client.
constexpr size_t kMaxPendingClientBytes = size_t{128} * 1024;
// Events of a run after which the parts of its prompt count as sound.
constexpr int64_t kMinEventsOfBegun = 3;
// Number of events after which the interval between them is known.
constexpr int64_t kMinEventsForBaseline = 16;

}  // namespace

void Exchange::OnUpstreamConnectFailed(bool refused) {
  const auto self = shared_from_this();
  m_call = nullptr;
  ExcludeServer(m_server);
  if (refused)
    m_core.ReportUnreachable(m_server);
  else
    m_core.Probe(m_server);
  m_core.Log("connect_failed", {{"id", m_request.attempt_id},
                                {"server", m_server},
                                {"refused", refused ? "1" : "0"}});
  ExecuteDecision(m_forward.OnServerEvent(ServerEvent::kConnectFailed));
}

void Exchange::OnUpstreamSendStarted() {
  // The server may have announced its shutdown or asked for a pause while the
  // connection was opened.
  if (!m_core.MayStillSend(m_server_process, m_path)) {
    const auto self = shared_from_this();
    m_call->Cancel();
    SendAgain();
    return;
  }
  m_forward.OnSend(m_server);
}

void Exchange::OnUpstreamHead(const ResponseHead& head) {
  m_head = head;
  const bool success = head.status / 100 == 2;
  const BodyUse use =
      m_forward.AssessHead({head.status, head.not_run, head.authentic,
                            head.is_event_stream, head.has_content_encoding});
  // What a faulty server made up says nothing about the server. A failure that
  // cannot continue a stream is still the server's own.
  if (!success || use != BodyUse::kInvalid)
    m_core.OnServerAnswer(m_server_process, head, m_send_started_at);
  m_last_progress = m_core.Now();
  m_streaming = m_route->kind == RouteKind::kStream && success;
  switch (use) {
    case BodyUse::kForwarded:
      return;
    case BodyUse::kOptional:
      m_optional_body_since = m_last_progress;
      return;
    case BodyUse::kInvalid:
      OnUpstreamBroken(false);
      return;
  }
}

void Exchange::SkipOptionalBody(TimePoint now) {
  if (m_optional_body_since &&
      now - *m_optional_body_since > kMaxOptionalBodyTime)
    OnUpstreamBroken(false);
}

void Exchange::OnUpstreamBody(std::string bytes) {
  const auto self = shared_from_this();
  const TimePoint now = m_core.Now();
  if (m_events.has_events() &&
      now - m_last_event > m_route->event_interval_target)
    m_core.Log("late_event",
               {{"id", m_request.attempt_id},
                {"server", m_server},
                {"after_event", std::to_string(m_events.last_id())},
                {"gap_ms", std::to_string((now - m_last_event).count() / 1000)},
                {"repaths", std::to_string(m_repaths)},
                {"sends", std::to_string(m_forward.sends())}});
  if (m_events.has_events())
    m_event_interval = m_event_interval == Duration(0)
                           ? now - m_last_event
                           : (m_event_interval * 7 + (now - m_last_event)) / 8;
  m_last_progress = now;
  m_last_event = now;
  if (m_streaming) {
    ForwardEvents(bytes, now);
    return;
  }
  if (m_passthrough) {
    m_session->SendBodyPart(bytes);
    if (m_session->PendingBytes() > kMaxPendingClientBytes && m_call)
      m_call->Pause();
    return;
  }
  m_body += bytes;
  if (m_body.size() > kMaxBufferedResponseBytes && m_head.status / 100 == 2 &&
      m_head.authentic) {
    m_passthrough = true;
    CommitResponse();
    m_session->SendBodyPart(std::exchange(m_body, {}));
  }
  if (m_body.size() > kMaxBufferedResponseBytes)
    OnUpstreamBroken(false);
}

void Exchange::CommitResponse() {
  if (std::exchange(m_response_committed, true))
    return;
  m_forward.OnServerEvent(ServerEvent::kAnswerBegun);
  m_first_event_at = m_core.Now();
  m_session->BeginResponse(m_head.status, m_head.forwarded_headers);
}

void Exchange::ForwardEvents(std::string_view bytes, TimePoint now) {
  const bool had_begun = m_events.first_seen_id().has_value();
  const std::string events = m_events.Feed(bytes, now);
  if (!had_begun && m_events.first_seen_id() && m_last_event_before_send < 0)
    m_core.OnStreamBegan(m_service, m_server, *m_events.first_seen_id());
  if (!events.empty()) {
    CommitResponse();
    m_session->SendBodyPart(events);
  }
  if (m_events.last_id() - m_last_event_before_send >= kMinEventsOfBegun)
    RecordBegun();
  if (m_events.fault() != StreamFault::kNone) {
    RecordStreamFault(m_events.fault());
    OnUpstreamBroken(false);
    return;
  }
  if (m_session->PendingBytes() > kMaxPendingClientBytes && m_call)
    m_call->Pause();
}

void Exchange::RecordStreamFault(StreamFault fault) {
  const std::string reason(kStreamFaultNames.Name(fault));
  m_core.metrics()
      .GetCounter("trefoilwick_broken_streams_total", {{"reason", reason}})
      .Add();
  m_core.Log("events_out_of_order",
             {{"id", m_request.attempt_id},
              {"server", m_server},
              {"reason", reason},
              {"due", std::to_string(m_events.due_id())},
              {"seen", std::to_string(m_events.last_seen_id().value_or(-1))},
              {"last_event", std::to_string(m_events.last_id())}});
}

void Exchange::OnClientWritesFlushed() {
  if (m_call)
    m_call->Unpause();
}

void Exchange::OnUpstreamComplete(bool ended_by_close) {
  const auto self = shared_from_this();
  const StreamFault fault = m_streaming ? m_events.End() : StreamFault::kNone;
  if (fault != StreamFault::kNone) {
    RecordStreamFault(fault);
    OnUpstreamBroken(ended_by_close);
    return;
  }
  m_call = nullptr;
  if (!m_head.not_run)
    RecordCompleted();
  if (m_streaming || m_passthrough) {
    CommitResponse();
    m_forward.OnServerEvent(ServerEvent::kAnswered);
    if (m_event_interval <= m_route->event_interval_target && m_repaths == 0 &&
        m_events.last_id() >= kMinEventsForBaseline)
      m_core.RecordStreamBaseline(m_event_interval, m_token_ms);
    Finish("finished", m_head.status);
    m_session->EndResponse();
    return;
  }
  if (m_head.not_run) {
    RecordRefusal();
    m_core.Log("refused_by_server", {{"id", m_request.attempt_id},
                                     {"server", m_server},
                                     {"status", std::to_string(m_head.status)},
                                     {"at", m_head.faulty_server_address}});
    ExecuteDecision(m_forward.OnServerEvent(ServerEvent::kRefused));
    return;
  }
  const bool failed = m_head.status / 100 == 5;
  if (failed)
    m_failed_servers.insert(m_server);
  // Without a retry the server's own answer tells the client most.
  const bool may_retry =
      failed && m_core.MayRetry(m_service, m_response_committed);
  ExecuteDecision(m_forward.OnServerEvent(may_retry ? ServerEvent::kServerFailed
                                                    : ServerEvent::kAnswered));
}

// Excludes the server that refused: the faulty one on the path when the
// response names it, else the one that the request was sent to.
void Exchange::RecordRefusal() {
  const auto first = m_core.servers().find(m_server);
  const bool names_other =
      !m_head.faulty_server_address.empty() &&
      first != m_core.servers().end() &&
      m_head.faulty_server_address != first->second.address;
  if (!names_other) {
    // A pause takes the place of the exclusion: it ends when the server says.
    if (!m_head.pause)
      ExcludeServer(m_server);
    return;
  }
  m_core.MarkRefusing(m_head.faulty_server_address);
  for (const PathStage& stage : m_path) {
    const auto server = m_core.servers().find(stage.server);
    if (server != m_core.servers().end() &&
        server->second.address == m_head.faulty_server_address) {
      ExcludeServer(stage.server);
      m_core.Probe(stage.server);
    }
  }
}

void Exchange::OnUpstreamBroken(bool closed_by_server) {
  const auto self = shared_from_this();
  if (closed_by_server)
    m_closed_by_server.insert(m_server);
  // The server has probably closed the connection because it was idle.
  const bool was_idle_close = closed_by_server && m_call &&
                              m_call->is_connection_reused() &&
                              m_head.status == 0;
  const boost::system::error_code error =
      m_call ? m_call->error() : boost::system::error_code();
  if (m_call)
    m_call->Cancel();
  m_call = nullptr;
  m_core.Log("answer_broken",
             {{"id", m_request.attempt_id},
              {"server", m_server},
              {"closed", closed_by_server ? "1" : "0"},
              {"reason", error ? error.message() : "-"},
              {"last_event", std::to_string(m_events.last_id())}});
  if (m_head.not_run) {
    RecordRefusal();
    ExecuteDecision(m_forward.OnServerEvent(ServerEvent::kRefused));
    return;
  }
  const bool may_send_again = !closed_by_server || RecordClosedByServer();
  if (was_idle_close)
    m_failed_servers.insert(m_server);
  else
    ExcludeServer(m_server);
  m_core.Probe(m_server);
  if (!may_send_again) {
    ExecuteDecision(m_forward.OnCancelled());
    return;
  }
  m_recovery_multiplier = m_core.RecoveryMultiplier(m_server, m_core.Now());
  ExecuteDecision(m_forward.OnServerEvent(ServerEvent::kAnswerIncomplete));
}

void Exchange::RelayFullResponse() {
  FullResponse response;
  response.status = m_head.status;
  response.headers = m_head.forwarded_headers;
  response.body = std::move(m_body);
  if (Finish("answered", response.status))
    m_session->SendFullResponse(response);
}

}  // namespace trefoilwick::detail
