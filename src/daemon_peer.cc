#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TNonblockingServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TNonblockingServerSocket.h>
#include <thrift/transport/TSocket.h>

#include <atomic>
#include <future>
#include <thread>
#include <utility>

#include "Peer.h"
#include "peer.h"

namespace trefoilwick::detail {

namespace at = apache::thrift;

namespace {

constexpr size_t kServerThreads = 8;
constexpr size_t kMaxIdleConnections = 4;
constexpr int kMaxFrameBytes = 16 << 20;

struct HostPort {
  std::string host;
  int port = 0;
};

HostPort SplitAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return {address, 0};
  return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

int64_t ToSigned(uint64_t value) {
  return static_cast<int64_t>(value);
}

peer::Submission ToWire(const RemoteSubmission& from) {
  const Submission& s = from.submission;
  peer::Submission out;
  out.request = s.request;
  out.lineage = ToSigned(s.lineage);
  out.chain = from.chain;
  out.account = s.account;
  out.kind = s.kind;
  out.rank = static_cast<int32_t>(s.rank);
  out.prompt = s.prompt;
  out.max_tokens = s.max_tokens;
  out.seed = ToSigned(s.seed);
  out.tokens = s.tokens;
  out.entry = s.entry;
  out.entry_incarnation = from.entry_incarnation;
  out.isolated = s.isolated;
  out.fingerprint = ToSigned(s.fingerprint);
  out.first_token_us = s.first_token_target.count();
  out.between_tokens_us = s.between_tokens_target.count();
  return out;
}

RemoteSubmission FromWire(const peer::Submission& from) {
  RemoteSubmission out;
  Submission& s = out.submission;
  s.request = from.request;
  s.lineage = static_cast<uint64_t>(from.lineage);
  out.chain = from.chain;
  s.account = from.account;
  s.kind = from.kind;
  s.rank = static_cast<Rank>(from.rank);
  s.prompt = from.prompt;
  s.max_tokens = from.max_tokens;
  s.seed = static_cast<uint64_t>(from.seed);
  s.tokens = from.tokens;
  s.entry = from.entry;
  out.entry_incarnation = from.entry_incarnation;
  s.isolated = from.isolated;
  s.fingerprint = static_cast<uint64_t>(from.fingerprint);
  s.first_token_target = Duration(from.first_token_us);
  s.between_tokens_target = Duration(from.between_tokens_us);
  return out;
}

peer::DeliverMessage ToWire(const Delivery& from) {
  peer::DeliverMessage out;
  out.scheduler = from.scheduler;
  out.scheduler_incarnation = from.scheduler_incarnation;
  for (const TokenUpdate& update : from.updates) {
    peer::TokenUpdate u;
    u.request = update.request;
    u.lineage = ToSigned(update.lineage);
    u.index = update.index;
    u.tokens = update.tokens;
    u.state = static_cast<peer::UpdateState::type>(update.state);
    u.reason = update.reason;
    u.replaces = ToSigned(update.replaces);
    u.suspect = update.suspect;
    out.updates.push_back(std::move(u));
  }
  for (const ChainLoadReport& load : from.loads) {
    peer::ChainLoad l;
    l.chain = load.chain;
    l.expected_wait_us = load.expected_wait.count();
    l.queued = load.queued;
    l.running = load.running;
    out.loads.push_back(std::move(l));
  }
  return out;
}

Delivery FromWire(const peer::DeliverMessage& from) {
  Delivery out;
  out.scheduler = from.scheduler;
  out.scheduler_incarnation = from.scheduler_incarnation;
  for (const peer::TokenUpdate& update : from.updates) {
    TokenUpdate u;
    u.request = update.request;
    u.lineage = static_cast<uint64_t>(update.lineage);
    u.index = update.index;
    u.tokens = update.tokens;
    u.state = static_cast<UpdateState>(update.state);
    u.reason = update.reason;
    u.replaces = static_cast<uint64_t>(update.replaces);
    u.suspect = update.suspect;
    out.updates.push_back(std::move(u));
  }
  for (const peer::ChainLoad& load : from.loads) {
    out.loads.push_back({load.chain, Duration(load.expected_wait_us),
                         load.queued, load.running});
  }
  return out;
}

// Adapts the generated server interface to PeerHandler.
class ThriftHandler final : public peer::PeerIf {
 public:
  explicit ThriftHandler(PeerHandler& handler) : m_handler(handler) {}

  void submit(peer::SubmitReply& reply,
              const peer::Submission& submission) override {
    const SubmitResult result = m_handler.OnSubmit(FromWire(submission));
    reply.accepted = !result.refusal.has_value();
    if (result.refusal) {
      reply.reason = result.refusal->reason;
      reply.retry_after_ms = result.refusal->retry_after.count() / 1000;
    }
    reply.expected_wait_us = result.expected_wait.count();
    reply.scheduler_incarnation = result.scheduler_incarnation;
  }
  void deliver(std::vector<std::string>& orphaned,
               const peer::DeliverMessage& message) override {
    orphaned = m_handler.OnDeliver(FromWire(message));
  }
  void cancel(const std::vector<std::string>& requests) override {
    m_handler.OnCancel(requests);
  }
  void missing(std::vector<std::string>& result,
               const std::vector<std::string>& requests) override {
    result = m_handler.OnFindMissingRequests(requests);
  }
  void probe(peer::Gossip& reply, const peer::Gossip& message) override {
    reply.payload = m_handler.OnProbe(message.payload);
  }
  void probe_via(peer::Gossip& reply,
                 const std::string& target,
                 const peer::Gossip& message) override {
    auto probe_reply = m_handler.OnProbeVia(target, message.payload);
    if (!probe_reply.ok())
      throw at::TApplicationException(at::TApplicationException::INTERNAL_ERROR,
                                      "target does not answer");
    reply.payload = *probe_reply;
  }
  void changes(peer::TableChanges& reply, const int64_t after) override {
    PeerTableChanges changes = m_handler.OnFetchTableChanges(after);
    reply.head = changes.head_version;
    reply.changes = std::move(changes.changes);
    reply.snapshot = std::move(changes.snapshot);
  }
  void quarantine(const int64_t fingerprint,
                  const int64_t expires_unix_ms) override {
    m_handler.OnQuarantine(static_cast<uint64_t>(fingerprint), expires_unix_ms);
  }
  void usage(std::vector<peer::UsageSum>& result,
             const std::string& instance,
             const std::vector<peer::AccountDemand>& report) override {
    std::vector<AccountDemand> rows;
    rows.reserve(report.size());
    for (const peer::AccountDemand& row : report)
      rows.push_back({row.account, row.tokens_per_second});
    for (const UsageSum& sum : m_handler.OnUsageReport(instance, rows)) {
      peer::UsageSum out;
      out.account = sum.account;
      out.others = sum.others;
      out.settled = sum.settled;
      result.push_back(std::move(out));
    }
  }
  void outcome(peer::OutcomeReply& reply, const std::string& request) override {
    PeerOutcome outcome = m_handler.OnGetOutcome(request);
    reply.known = outcome.known;
    reply.incarnation = outcome.incarnation;
    reply.outcome = std::move(outcome.outcome);
    reply.detail = std::move(outcome.detail);
  }

 private:
  PeerHandler& m_handler;
};

// Reports to the starting thread that the server listens, or why it does not.
struct StartSignal final : at::server::TServerEventHandler {
  void preServe() override { Set(absl::OkStatus()); }
  void Set(absl::Status result) {
    if (!done.exchange(true))
      status.set_value(std::move(result));
  }
  std::promise<absl::Status> status;
  std::atomic<bool> done{false};
};

std::shared_ptr<at::TConfiguration> MakeConfiguration() {
  return std::make_shared<at::TConfiguration>(kMaxFrameBytes, kMaxFrameBytes);
}

struct Connection {
  std::shared_ptr<at::transport::TSocket> socket;
  std::unique_ptr<peer::PeerClient> client;
};

}  // namespace

struct PeerServer::Impl {
  std::string address;
  std::shared_ptr<ThriftHandler> handler;
  std::shared_ptr<at::concurrency::ThreadManager> workers;
  std::unique_ptr<at::server::TNonblockingServer> server;
  std::thread thread;
};

PeerServer::PeerServer(const std::string& address, PeerHandler& handler)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->address = address;
  m_impl->handler = std::make_shared<ThriftHandler>(handler);
}

PeerServer::~PeerServer() {
  Stop();
}

absl::Status PeerServer::Start() {
  const HostPort listen_address = SplitAddress(m_impl->address);
  // By default Thrift logs every closed connection to standard error.
  at::GlobalOutput.setOutputFunction([](const char*) {});
  m_impl->workers =
      at::concurrency::ThreadManager::newSimpleThreadManager(kServerThreads);
  m_impl->workers->threadFactory(
      std::make_shared<at::concurrency::ThreadFactory>());
  m_impl->workers->start();
  auto socket = std::make_shared<at::transport::TNonblockingServerSocket>(
      listen_address.host, listen_address.port);
  m_impl->server = std::make_unique<at::server::TNonblockingServer>(
      std::make_shared<peer::PeerProcessor>(m_impl->handler),
      std::make_shared<at::protocol::TCompactProtocolFactory>(), socket,
      m_impl->workers);
  m_impl->server->setMaxFrameSize(kMaxFrameBytes);
  auto started = std::make_shared<StartSignal>();
  m_impl->server->setServerEventHandler(started);
  std::future<absl::Status> status = started->status.get_future();
  m_impl->thread = std::thread([this, started] {
    try {
      m_impl->server->serve();
    } catch (const at::TException& error) {
      started->Set(MakeStatus(
          absl::StatusCode::kUnavailable,
          "cannot listen on " + m_impl->address + ": " + error.what()));
    }
  });
  return status.get();
}

void PeerServer::Stop() {
  if (m_impl->server && m_impl->thread.joinable()) {
    m_impl->server->stop();
    m_impl->thread.join();
  }
  if (m_impl->workers)
    m_impl->workers->stop();
}

struct PeerClient::Impl {
  std::mutex mutex;
  std::map<std::string, std::vector<Connection>> idle;

  absl::StatusOr<Connection> AcquireConnection(const PeerCallOptions& call) {
    if (!call.fresh_connection) {
      std::lock_guard lock(mutex);
      auto& list = idle[call.address];
      if (!list.empty()) {
        Connection connection = std::move(list.back());
        list.pop_back();
        return connection;
      }
    } else {
      // Other pooled connections may have failed like the one that is being
      // replaced.
      std::lock_guard lock(mutex);
      idle.erase(call.address);
    }
    return OpenConnection(call);
  }

  static absl::StatusOr<Connection> OpenConnection(
      const PeerCallOptions& call) {
    const HostPort address = SplitAddress(call.address);
    Connection connection;
    connection.socket = std::make_shared<at::transport::TSocket>(
        address.host, address.port, MakeConfiguration());
    const int timeout_ms = static_cast<int>(call.timeout.count() / 1000);
    connection.socket->setConnTimeout(timeout_ms);
    connection.socket->setNoDelay(true);
    auto framed =
        std::make_shared<at::transport::TFramedTransport>(connection.socket);
    connection.client = std::make_unique<peer::PeerClient>(
        std::make_shared<at::protocol::TCompactProtocol>(framed));
    try {
      framed->open();
    } catch (const at::TException& error) {
      return MakeStatus(absl::StatusCode::kUnavailable, error.what());
    }
    return connection;
  }

  void ReleaseConnection(const std::string& address, Connection connection) {
    std::lock_guard lock(mutex);
    auto& list = idle[address];
    if (list.size() < kMaxIdleConnections)
      list.push_back(std::move(connection));
  }

  template <typename Call>
  absl::Status RunCall(const PeerCallOptions& call, Call&& body) {
    auto connection = AcquireConnection(call);
    if (!connection.ok())
      return connection.status();
    const int timeout_ms = static_cast<int>(call.timeout.count() / 1000);
    connection->socket->setRecvTimeout(timeout_ms);
    connection->socket->setSendTimeout(timeout_ms);
    try {
      body(*connection->client);
    } catch (const at::TException& error) {
      return MakeStatus(absl::StatusCode::kUnknown, error.what());
    }
    ReleaseConnection(call.address, std::move(*connection));
    return absl::OkStatus();
  }
};

PeerClient::PeerClient() : m_impl(std::make_unique<Impl>()) {}
PeerClient::~PeerClient() = default;

absl::StatusOr<SubmitResult> PeerClient::Submit(
    const PeerCallOptions& call,
    const RemoteSubmission& submission) {
  peer::SubmitReply reply;
  const peer::Submission wire = ToWire(submission);
  absl::Status status = m_impl->RunCall(
      call, [&](peer::PeerClient& client) { client.submit(reply, wire); });
  if (!status.ok())
    return status;
  SubmitResult result;
  if (!reply.accepted) {
    result.refusal = SubmitRefusal{
        reply.reason, std::chrono::milliseconds(reply.retry_after_ms)};
  }
  result.expected_wait = Duration(reply.expected_wait_us);
  result.scheduler_incarnation = reply.scheduler_incarnation;
  return result;
}

absl::StatusOr<std::vector<std::string>> PeerClient::Deliver(
    const PeerCallOptions& call,
    const Delivery& delivery) {
  std::vector<std::string> orphaned;
  const peer::DeliverMessage wire = ToWire(delivery);
  absl::Status status = m_impl->RunCall(
      call, [&](peer::PeerClient& client) { client.deliver(orphaned, wire); });
  if (!status.ok())
    return status;
  return orphaned;
}

absl::Status PeerClient::Cancel(const PeerCallOptions& call,
                                const std::vector<std::string>& requests) {
  return m_impl->RunCall(
      call, [&](peer::PeerClient& client) { client.cancel(requests); });
}

absl::StatusOr<std::vector<std::string>> PeerClient::FindMissingRequests(
    const PeerCallOptions& call,
    const std::vector<std::string>& requests) {
  std::vector<std::string> result;
  absl::Status status = m_impl->RunCall(call, [&](peer::PeerClient& client) {
    client.missing(result, requests);
  });
  if (!status.ok())
    return status;
  return result;
}

absl::StatusOr<std::string> PeerClient::Probe(const PeerCallOptions& call,
                                              const std::string& gossip) {
  peer::Gossip message;
  peer::Gossip reply;
  message.payload = gossip;
  absl::Status status = m_impl->RunCall(
      call, [&](peer::PeerClient& client) { client.probe(reply, message); });
  if (!status.ok())
    return status;
  return reply.payload;
}

absl::StatusOr<std::string> PeerClient::ProbeVia(const PeerCallOptions& call,
                                                 const std::string& target,
                                                 const std::string& gossip) {
  peer::Gossip message;
  peer::Gossip reply;
  message.payload = gossip;
  absl::Status status = m_impl->RunCall(call, [&](peer::PeerClient& client) {
    client.probe_via(reply, target, message);
  });
  if (!status.ok())
    return status;
  return reply.payload;
}

absl::StatusOr<PeerTableChanges> PeerClient::FetchTableChanges(
    const PeerCallOptions& call,
    int64_t after) {
  peer::TableChanges reply;
  absl::Status status = m_impl->RunCall(
      call, [&](peer::PeerClient& client) { client.changes(reply, after); });
  if (!status.ok())
    return status;
  return PeerTableChanges{reply.head, std::move(reply.changes),
                          std::move(reply.snapshot)};
}

absl::Status PeerClient::NotifyQuarantine(const PeerCallOptions& call,
                                          uint64_t fingerprint,
                                          int64_t expires_unix_ms) {
  return m_impl->RunCall(call, [&](peer::PeerClient& client) {
    client.quarantine(ToSigned(fingerprint), expires_unix_ms);
  });
}

absl::StatusOr<std::vector<UsageSum>> PeerClient::ReportUsage(
    const PeerCallOptions& call,
    const std::string& instance,
    const std::vector<AccountDemand>& report) {
  std::vector<peer::AccountDemand> rows;
  for (const AccountDemand& row : report) {
    peer::AccountDemand out;
    out.account = row.account;
    out.tokens_per_second = row.tokens_per_second;
    rows.push_back(std::move(out));
  }
  std::vector<peer::UsageSum> reply;
  absl::Status status = m_impl->RunCall(call, [&](peer::PeerClient& client) {
    client.usage(reply, instance, rows);
  });
  if (!status.ok())
    return status;
  std::vector<UsageSum> sums;
  sums.reserve(reply.size());
  for (const peer::UsageSum& sum : reply)
    sums.push_back({sum.account, sum.others, sum.settled});
  return sums;
}

absl::StatusOr<PeerOutcome> PeerClient::GetOutcome(const PeerCallOptions& call,
                                                   const std::string& request) {
  peer::OutcomeReply reply;
  absl::Status status = m_impl->RunCall(
      call, [&](peer::PeerClient& client) { client.outcome(reply, request); });
  if (!status.ok())
    return status;
  return PeerOutcome{reply.known, reply.incarnation, reply.outcome,
                     reply.detail};
}

}  // namespace trefoilwick::detail
