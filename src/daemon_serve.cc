#include <openssl/sha.h>

#include <csignal>
#include <thread>
#include <utility>

// After <utility>: Boost.Asio uses std::exchange without including it.
#include <pplx/threadpool.h>

#include "http_front.h"
#include "serve.h"

namespace trefoilwick::detail {

namespace {

// Threads of the HTTP library, which serve connections; no task on them may
// block.
constexpr size_t kHttpThreads = 8;
constexpr std::chrono::milliseconds kSignalPollInterval{50};
constexpr std::chrono::milliseconds kQuarantineCallTimeout{300};

std::atomic<int> g_stop_signals{0};

void OnStopSignal(int) {
  g_stop_signals.fetch_add(1);
}

// Serves the calls of peers by running them on the event loops.
class PeerService final : public PeerHandler {
 public:
  explicit PeerService(Runtime& runtime) : m_runtime(runtime) {}

  SubmitResult OnSubmit(RemoteSubmission submission) override {
    SubmitResult result;
    result.refusal = SubmitRefusal{"stopping", std::chrono::milliseconds(100)};
    m_runtime.chain_loop.RunAndWait(
        [&] { result = m_runtime.chains->Submit(std::move(submission)); });
    return result;
  }
  std::vector<std::string> OnDeliver(Delivery delivery) override {
    std::vector<std::string> orphaned;
    m_runtime.entry_loop.RunAndWait(
        [&] { orphaned = m_runtime.entry->OnDeliver(delivery); });
    return orphaned;
  }
  void OnCancel(const std::vector<std::string>& requests) override {
    m_runtime.chain_loop.RunAndWait(
        [&] { m_runtime.chains->Cancel(requests); });
  }
  std::vector<std::string> OnFindMissingRequests(
      const std::vector<std::string>& requests) override {
    std::vector<std::string> missing = requests;
    m_runtime.chain_loop.RunAndWait(
        [&] { missing = m_runtime.chains->FindMissingRequests(requests); });
    return missing;
  }
  std::string OnProbe(const std::string& gossip) override {
    std::string reply;
    m_runtime.control_loop.RunAndWait(
        [&] { reply = m_runtime.control->OnProbe(gossip); });
    return reply;
  }
  absl::StatusOr<std::string> OnProbeVia(const std::string& target,
                                         const std::string& gossip) override {
    return m_runtime.peers.Probe({target, std::chrono::milliseconds(300), true},
                                 gossip);
  }
  void OnQuarantine(uint64_t fingerprint, int64_t expires_unix_ms) override {
    std::lock_guard lock(m_runtime.quarantine_mutex);
    m_runtime.quarantine.Merge(fingerprint, expires_unix_ms);
  }
  PeerTableChanges OnFetchTableChanges(int64_t after) override {
    PeerTableChanges changes;
    m_runtime.control_loop.RunAndWait(
        [&] { changes = m_runtime.control->OnFetchTableChanges(after); });
    return changes;
  }
  std::vector<UsageSum> OnUsageReport(
      const std::string& instance,
      const std::vector<AccountDemand>& report) override {
    std::vector<UsageSum> sums;
    m_runtime.control_loop.RunAndWait(
        [&] { sums = m_runtime.control->OnUsageReport(instance, report); });
    return sums;
  }
  PeerOutcome OnGetOutcome(const std::string& request) override {
    PeerOutcome outcome;
    outcome.incarnation = m_runtime.incarnation;
    outcome.outcome = "unknown";
    m_runtime.entry_loop.RunAndWait([&] {
      if (const RequestView* view = m_runtime.entry->FindRequest(request)) {
        outcome.known = true;
        outcome.outcome = std::string(kOutcomeNames.Name(view->outcome));
        outcome.detail = view->reason;
      }
    });
    return outcome;
  }

 private:
  Runtime& m_runtime;
};

// Quarantines a request on this instance and on every member. `done` is called
// on the chain loop once each member has responded or its call has failed.
void BroadcastQuarantine(Runtime& runtime,
                         uint64_t fingerprint,
                         std::function<void()> done) {
  const int64_t now = runtime.clock.UnixMillis();
  int64_t expires = now;
  {
    std::lock_guard lock(runtime.quarantine_mutex);
    runtime.quarantine.Add(now, fingerprint);
    for (const auto& [listed_fingerprint, expiry] :
         runtime.quarantine.List(now))
      if (listed_fingerprint == fingerprint)
        expires = expiry;
  }
  const auto members = runtime.members.Load();
  auto pending_count = std::make_shared<std::atomic<size_t>>(1);
  const auto on_member_done = [&runtime, pending_count,
                               done = std::move(done)] {
    if (pending_count->fetch_sub(1) == 1)
      runtime.chain_loop.Post(done);
  };
  for (const auto& [id, member] : members->members) {
    if (id == runtime.settings.id)
      continue;
    pending_count->fetch_add(1);
    const PeerCallOptions call{member.peer_address, kQuarantineCallTimeout,
                               false};
    const bool posted = runtime.peer_pool.TryPost([&runtime, call, fingerprint,
                                                   expires, on_member_done] {
      runtime.peers.NotifyQuarantine(call, fingerprint, expires).IgnoreError();
      on_member_done();
    });
    if (!posted)
      on_member_done();
  }
  on_member_done();
}

void ConnectChainCallbacks(Runtime& runtime,
                           std::shared_ptr<DeliverySender>& sender) {
  sender = std::make_shared<DeliverySender>(
      runtime.chain_loop, runtime.peer_pool, runtime.peers, runtime.members,
      [&runtime](const std::vector<std::string>& orphaned) {
        runtime.chains->Cancel(orphaned);
      },
      [&runtime](const std::string& entry) {
        runtime.chains->OnEntryGone(entry);
      });
  const auto deliver = [&runtime, &sender](const std::string& entry,
                                           Delivery delivery) {
    if (entry != runtime.settings.id) {
      sender->Send(entry, std::move(delivery));
      return;
    }
    runtime.entry_loop.Post([&runtime, delivery = std::move(delivery)] {
      auto orphaned = runtime.entry->OnDeliver(delivery);
      if (!orphaned.empty())
        runtime.chain_loop.Post([&runtime, orphaned = std::move(orphaned)] {
          runtime.chains->Cancel(orphaned);
        });
    });
  };
  runtime.chains->SetCallbacks(
      deliver, [&runtime](uint64_t fingerprint, std::function<void()> done) {
        BroadcastQuarantine(runtime, fingerprint, std::move(done));
      });
}

// True when a stop would interrupt no request, delivery, ledger write or batch
// item.
bool IsDrained(Runtime& runtime, const DeliverySender& sender) {
  size_t remaining =
      static_cast<size_t>(std::max(0, runtime.unanswered_requests.load())) +
      static_cast<size_t>(runtime.pending_ledger_writes.load());
  runtime.entry_loop.RunAndWait(
      [&] { remaining += runtime.entry->active_requests(); });
  runtime.chain_loop.RunAndWait([&] {
    remaining +=
        runtime.chains->active_requests() + sender.unacknowledged_updates();
  });
  return remaining == 0 && runtime.batches->idle();
}

// Waits for SIGTERM or the drain command, then until the instance has drained,
// the drain timeout has passed or a second signal arrives.
void WaitUntilDrained(Runtime& runtime, const DeliverySender& sender) {
  while (g_stop_signals.load() == 0 && !runtime.draining.load())
    std::this_thread::sleep_for(kSignalPollInterval);
  // After a drain command the first SIGTERM does not stop the process at once;
  // the second one does.
  const int signals_before_drain =
      runtime.draining.load() ? g_stop_signals.load() : 0;
  StartDraining(runtime);
  const TimePoint drain_deadline =
      runtime.clock.Now() + runtime.settings.drain_timeout;
  while (runtime.clock.Now() < drain_deadline &&
         g_stop_signals.load() < signals_before_drain + 2) {
    std::this_thread::sleep_for(kSignalPollInterval);
    // Callers may still use this address until `refusing_new_work` is set.
    if (runtime.refusing_new_work.load() && IsDrained(runtime, sender)) {
      LogStateChange("daemon", "drained");
      return;
    }
  }
  LogStateChange("daemon", "stopping_with_open_requests");
  runtime.entry_loop.RunAndWait([&] { runtime.entry->AbortRequests(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
}

}  // namespace

std::string Sha256Hex(const std::string& bytes) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest);
  constexpr char kHex[] = "0123456789abcdef";
  std::string out;
  for (unsigned char byte : digest) {
    out += kHex[byte >> 4];
    out += kHex[byte & 15];
  }
  return out;
}

Runtime::Runtime(Settings with_settings)
    : settings(std::move(with_settings)),
      incarnation(clock.UnixMillis() * 1000),
      services(StableHash(settings.id, static_cast<uint64_t>(incarnation))) {
  store = MakeHttpTableService(settings.table_url, settings.store_deadline);
  objects = MakeHttpObjectStore(settings.object_url, settings.store_deadline);
  instance_list =
      MakeHttpInstanceList(settings.list_url, settings.store_deadline);
  chains = std::make_unique<ChainHost>(
      ChainHostConfig{settings.id, incarnation}, chain_loop, http_client,
      metrics, table, fleet);
  entry = std::make_unique<EntryHost>(
      EntryHostConfig{settings.id, incarnation, settings.data_center,
                      settings.chain_policy},
      entry_loop, chain_loop, *chains, peer_pool, peers, metrics, fleet,
      members);
  control = std::make_unique<ControlHost>(*this);
  batches = std::make_unique<BatchHost>(*this);
}

int Serve(const Settings& settings) {
  InitLogging(settings.id, settings.log_level);
  crossplat::threadpool::initialize_with_threads(kHttpThreads);
  RegisterChainPolicies();
  if (!Registry<ChainPolicy>::Get().Create(settings.chain_policy)) {
    LogStateChange("daemon", "unknown_chain_policy",
                   {{"policy", settings.chain_policy}});
    return 1;
  }
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  std::signal(SIGPIPE, SIG_IGN);

  auto runtime = std::make_unique<Runtime>(settings);
  std::shared_ptr<DeliverySender> sender;
  ConnectChainCallbacks(*runtime, sender);
  PeerService peer_service(*runtime);
  PeerServer peer_server(settings.peer_address, peer_service);
  HttpFrontend front(*runtime);
  for (const absl::Status& status : {peer_server.Start(), front.Start()}) {
    if (!status.ok()) {
      LogStateChange("daemon", "start_failed",
                     {{"reason", std::string(status.message())}});
      std::_Exit(1);
    }
  }
  runtime->chains->Start();
  runtime->entry->Start();
  runtime->control->Start();
  runtime->batches->Start();
  LogStateChange("daemon", "started",
                 {{"address", settings.address},
                  {"peer_address", settings.peer_address},
                  {"data_center", settings.data_center}});
  WaitUntilDrained(*runtime, *sender);
  front.Stop();
  peer_server.Stop();
  runtime->control_loop.Stop();
  runtime->entry_loop.Stop();
  runtime->chain_loop.Stop();
  runtime->peer_pool.Stop();
  runtime->store_pool.Stop();
  runtime->service_pool.Stop();
  runtime->ledger_pool.Stop();
  LogStateChange("daemon", "stopped");
  // Callbacks of the HTTP library may still run on its threads, which it never
  // joins; exiting here keeps them from using destroyed objects.
  std::_Exit(0);
}

}  // namespace trefoilwick::detail
