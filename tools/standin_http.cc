#include "standin_http.h"

#include <cpprest/http_listener.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include "standin_silence.h"

namespace trefoilwick::standin {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

constexpr int kListenBacklog = 1024;
// Delay of a one-shot fault, so that the reply to POST /faults is sent first.
constexpr std::chrono::milliseconds kOneShotFaultDelay{50};
constexpr int kCrashExitCode = 3;

Request ToRequest(const http_request& request, std::string body) {
  Request converted;
  converted.method = request.method();
  converted.path = request.request_uri().path();
  for (const auto& [name, value] :
       web::uri::split_query(request.request_uri().query()))
    converted.query[PercentDecode(name)] = PercentDecode(value);
  for (const auto& [name, value] : request.headers()) {
    std::string key = name;
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    converted.headers[key] = value;
  }
  converted.body = std::move(body);
  return converted;
}

void Send(const http_request& request, const http_response& response) {
  // The task fails when the caller has disconnected.
  request.reply(response).then([](const pplx::task<void>& done) {
    try {
      done.get();
    } catch (const std::exception&) {
    }
  });
}

http_response ToResponse(const Reply& reply) {
  http_response response(static_cast<web::http::status_code>(reply.status));
  response.set_body(reply.body, reply.content_type);
  return response;
}

}  // namespace

TimerThread::TimerThread(const Clock& clock)
    : m_clock(clock), m_thread([this] { Loop(); }) {}

TimerThread::~TimerThread() {
  {
    std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  m_thread.join();
}

void TimerThread::ScheduleAt(TimePoint when, std::function<void()> run) {
  bool first = false;
  {
    std::lock_guard lock(m_mutex);
    const auto added = m_timers.emplace(when, std::move(run));
    first = added == m_timers.begin();
  }
  if (first)
    m_wake.notify_all();
}

void TimerThread::Loop() {
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    if (m_timers.empty()) {
      m_wake.wait(lock);
      continue;
    }
    const TimePoint when = m_timers.begin()->first;
    if (m_clock.Now() < when) {
      m_wake.wait_until(lock, when);
      continue;
    }
    const auto run = std::move(m_timers.begin()->second);
    m_timers.erase(m_timers.begin());
    lock.unlock();
    run();
    lock.lock();
  }
}

struct Server::Impl {
  Impl(const Clock& clock,
       ServerOptions options,
       Role& role,
       FaultInjector& faults,
       Journal& journal)
      : clock(clock),
        options(std::move(options)),
        role(role),
        faults(faults),
        journal(journal),
        timer(clock) {}

  void OnRequest(const http_request& request);
  void HandleControlRequest(const http_request& request,
                            const Request& converted);
  void PostFaults(const http_request& request, const std::string& body);
  void HandleRoleRequest(const http_request& request,
                         const std::shared_ptr<const Request>& converted);
  void SendAfter(Duration delay,
                 const http_request& request,
                 const Reply& reply);
  // Sends at `when`, or at the end of a freeze that is in effect then.
  void SendAt(TimePoint when,
              const http_request& request,
              const http_response& response);
  // Keeps the connection open without a response until the process ends.
  void HoldOpen(const http_request& request);

  const Clock& clock;
  ServerOptions options;
  Role& role;
  FaultInjector& faults;
  Journal& journal;
  TimerThread timer;
  std::unique_ptr<http_listener> listener;
  std::mutex held_requests_mutex;
  std::vector<http_request> held_requests;
};

void Server::Impl::OnRequest(const http_request& request) {
  request.extract_vector().then(
      [this, request](const pplx::task<std::vector<unsigned char>>& extracted) {
        try {
          const std::vector<unsigned char> bytes = extracted.get();
          auto converted = std::make_shared<Request>(
              ToRequest(request, std::string(bytes.begin(), bytes.end())));
          if (converted->path == "/faults" || converted->path == "/journal")
            HandleControlRequest(request, *converted);
          else
            HandleRoleRequest(request, converted);
        } catch (const std::exception&) {
          // The body did not arrive, or the URI is malformed.
          Send(request, http_response(web::http::status_codes::BadRequest));
        }
      });
}

void Server::Impl::HandleControlRequest(const http_request& request,
                                        const Request& converted) {
  if (converted.path == "/faults" && converted.method == "POST") {
    PostFaults(request, converted.body);
  } else if (converted.method != "GET") {
    Send(request, ToResponse(ErrorReply(405, "wrong method")));
  } else if (converted.path == "/faults") {
    Send(request, ToResponse(JsonReply(200, faults.ToJson(clock.Now()))));
  } else {
    auto clear = converted.query.find("clear");
    Reply reply;
    reply.content_type = "application/x-ndjson";
    reply.body =
        journal.Read(clear != converted.query.end() && clear->second == "1");
    http_response response = ToResponse(reply);
    response.headers().add("X-Journal-Dropped",
                           std::to_string(journal.dropped()));
    Send(request, response);
  }
}

void Server::Impl::PostFaults(const http_request& request,
                              const std::string& body) {
  const TimePoint now = clock.Now();
  const auto one_shot = faults.Apply(now, body);
  if (!one_shot.ok()) {
    Send(request,
         ToResponse(ErrorReply(400, std::string(one_shot.status().message()))));
    return;
  }
  role.SetFaults(faults.faults());
  Send(request, ToResponse(JsonReply(200, faults.ToJson(now))));
  LogStateChange("standin", "faults", {{"posted", body}});
  if (one_shot->crash)
    timer.ScheduleAt(now + kOneShotFaultDelay,
                     [] { std::_Exit(kCrashExitCode); });
  if (one_shot->silence_connections)
    timer.ScheduleAt(now + kOneShotFaultDelay, [this] {
      const int count = SilenceConnections(options.host, options.port);
      LogStateChange("standin", "connections_silenced",
                     {{"count", std::to_string(count)}});
    });
}

void Server::Impl::HandleRoleRequest(
    const http_request& request,
    const std::shared_ptr<const Request>& converted) {
  using Action = FaultDecision::Action;
  const TimePoint now = clock.Now();
  const FaultDecision decision = faults.Decide(now, *converted);
  if (decision.freeze_remaining.count() > 0) {
    timer.ScheduleAt(
        now + decision.freeze_remaining,
        [this, request, converted] { HandleRoleRequest(request, converted); });
    return;
  }
  if (decision.action == Action::kDrop) {
    HoldOpen(request);
  } else if (decision.action == Action::kRefuse) {
    SendAfter(decision.delay, request, ErrorReply(503, "unavailable"));
  } else if (decision.action == Action::kError) {
    SendAfter(decision.delay, request, ErrorReply(500, "injected error"));
  } else {
    const bool is_health_check =
        converted->method == "GET" && converted->path == "/healthz";
    const Reply reply =
        is_health_check ? Reply() : role.Handle(now, *converted);
    if (reply.crash)
      std::_Exit(kCrashExitCode);
    if (decision.lose_answer)
      HoldOpen(request);
    else
      SendAfter(reply.delay + decision.delay, request, reply);
  }
}

void Server::Impl::SendAfter(Duration delay,
                             const http_request& request,
                             const Reply& reply) {
  if (delay.count() <= 0) {
    Send(request, ToResponse(reply));
    return;
  }
  SendAt(clock.Now() + delay, request, ToResponse(reply));
}

void Server::Impl::SendAt(TimePoint when,
                          const http_request& request,
                          const http_response& response) {
  timer.ScheduleAt(when, [this, request, response] {
    const TimePoint now = clock.Now();
    const Duration frozen = faults.FreezeRemaining(now);
    if (frozen.count() > 0)
      SendAt(now + frozen, request, response);
    else
      Send(request, response);
  });
}

void Server::Impl::HoldOpen(const http_request& request) {
  std::lock_guard lock(held_requests_mutex);
  held_requests.push_back(request);
}

Server::Server(const Clock& clock,
               ServerOptions options,
               Role& role,
               FaultInjector& faults,
               Journal& journal)
    : m_impl(std::make_unique<Impl>(clock,
                                    std::move(options),
                                    role,
                                    faults,
                                    journal)) {}

Server::~Server() = default;

void Server::Listen() {
  http_listener_config config;
  config.set_backlog(kListenBacklog);
  m_impl->listener = std::make_unique<http_listener>(
      "http://" + m_impl->options.host + ":" +
          std::to_string(m_impl->options.port) + "/",
      config);
  m_impl->listener->support([impl = m_impl.get()](const http_request& request) {
    impl->OnRequest(request);
  });
  m_impl->listener->open().get();
}

}  // namespace trefoilwick::standin
