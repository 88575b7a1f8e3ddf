// HTTP gateway between clients and backend servers: accepts requests, chooses
// where they run, forwards the responses and logs the reason of each decision.
// Runs on one Asio thread. A WireDialect defines the headers and calls of a
// deployment.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilwick/coordination.h"
#include "trefoilwick/forwarding.h"
#include "trefoilwick/http_call.h"
#include "trefoilwick/layer_path.h"
#include "trefoilwick/route_table.h"

namespace trefoilwick {

using HeaderFields = boost::beast::http::fields;

// A request as the client sent it.
struct ClientRequest {
  std::string method;
  // Path and query, unchanged.
  std::string target;
  std::string host;
  // Headers to forward unchanged, without hop-by-hop headers and those that the
  // dialect sets itself.
  HeaderFields forwarded_headers;
  // Chosen by the client, unique for each of its attempts.
  std::string attempt_id;
  // Identifies the client account; empty when absent.
  std::string api_key;
  // How long the client waits; null when it did not state it.
  std::optional<Duration> client_timeout;
  // 0 when unknown.
  double prompt_tokens = 0;
  double max_answer_tokens = 0;
  // The client's estimate of the answer's length in tokens; 0 when absent.
  double answer_hint = 0;
  // Ids of the parts of the prompt that other requests may have as well.
  std::vector<std::string> shared_prompt_parts;
  // Id of the last event that the client already has; -1 when none.
  int64_t last_event_id = -1;
  std::string body;
};

// Routing data that a request is sent with.
struct SendPlan {
  // Server that receives the request.
  const BackendServer* server = nullptr;
  // Empty for a server that needs no path.
  LayerPath path;
  Duration time_left{0};
  // Empty when the route is public.
  std::string account;
  // 0 is the most urgent.
  int rank = 0;
  // Id of the event after which the stream continues; -1 to start it.
  int64_t resume_after_event_id = -1;
};

// Contents of the head of a server's response.
struct ResponseHead {
  int status = 0;
  // Empty when the server did not echo it.
  std::string attempt_id;
  // The server states that it did not run the request.
  bool not_run = false;
  // The response is marked as made by the server itself.
  bool authentic = false;
  bool has_content_encoding = false;
  bool is_event_stream = false;
  // How long the server keeps an idle connection; null when it does not state
  // it.
  std::optional<Duration> keep_alive;
  // Requests that the server takes from all instances; null when any number.
  std::optional<double> requests_per_second;
  // The server is shutting down and takes no new requests.
  bool is_leaving = false;
  // How long the server takes no requests from this instance; null when it asks
  // for no pause.
  std::optional<Duration> pause;
  // Names of the headers whose values are no numbers, negative or too large.
  std::vector<std::string> invalid_headers;
  // Address of the server on the path that is at fault; may be empty.
  std::string faulty_server_address;
  // Headers to forward, without framing and hop-by-hop headers.
  HeaderFields forwarded_headers;
};

enum class OrderResult : uint8_t {
  // The order was begun or done, or the server was already in that state.
  kAccepted,
  // The order does not fit the state of the server.
  kConflict,
  // The server has seen a higher fencing token.
  kStaleFencingToken,
  // The server does not know the request of a repath.
  kNoSuchRequest,
  kRefused,
  kUnknown,
};

// State of a server as reported by itself.
struct ServerReport {
  // Number of orders that the server has begun since its start.
  int64_t order_seq = 0;
  // An order is in progress.
  bool busy = false;
  // Ratio of the time that its work takes to the expected time.
  double slowdown = 1;
  // Layers that it holds, if any.
  std::optional<LayerRange> layers;
  // For requests whose first server this is: address of the server that the
  // request waits for, by attempt id.
  std::map<std::string, std::string> blocking_servers;
};

// Translates between the product's types and a deployment's HTTP headers and
// calls. Makes no decisions.
class WireDialect {
 public:
  virtual ~WireDialect() = default;
  // Reads everything but the body.
  virtual absl::StatusOr<ClientRequest> ReadRequest(
      const boost::beast::http::request_header<>& head) const = 0;
  virtual HttpRequest WriteRequest(const ClientRequest& request,
                                   const SendPlan& plan,
                                   const ServerMap& servers) const = 0;
  virtual ResponseHead ReadResponse(
      const boost::beast::http::response_header<>& head) const = 0;
  // Adds the headers of a local reply.
  virtual void AddLocalReplyHeaders(const std::string& attempt_id,
                                    HeaderFields& headers) const = 0;
  // Orders and report requests name the server that they are for: another one
  // may have its address by now.
  virtual HttpRequest WritePlacementOrder(const PlacementOrder& order,
                                          int64_t fencing_token,
                                          int64_t order_seq) const = 0;
  // For the first server of the path.
  virtual HttpRequest WriteRepathOrder(const std::string& attempt_id,
                                       const LayerPath& path,
                                       int64_t fencing_token,
                                       const ServerMap& servers) const = 0;
  virtual OrderResult ReadOrderResult(const CallResult& result) const = 0;
  // Requests the state of a server.
  virtual HttpRequest WriteReportRequest(const std::string& server) const = 0;
  // Null when the response is no report.
  virtual std::optional<ServerReport> ReadReport(
      const CallResult& result) const = 0;
  // Data center of the caller of the directory; null when `target` is no
  // directory call.
  virtual std::optional<std::string> ReadDirectoryCall(
      const std::string& target) const = 0;
  virtual std::string WriteDirectoryResponse(
      const std::vector<std::string>& addresses,
      Duration time_to_live) const = 0;
};

// The server list as of one position in the store.
struct StoredServerList {
  StorePosition position;
  ServerMap servers;
};

// How a watch of the configuration ended.
struct StoreUnavailable {};
struct WatchedConfiguration {
  // The newest configuration; null when there is none.
  std::shared_ptr<const RouteTable> table;
};
// The configuration must be read.
struct MustReadConfiguration {
  // It has changed, by more than a watch returns: a response may hold every
  // version since the last one. Otherwise the store cannot tell whether it has.
  bool has_changed = false;
};
using ConfigurationWatchResult =
    std::variant<StoreUnavailable, WatchedConfiguration, MustReadConfiguration>;

// The platform's store as the gateway uses it.
class ClusterStore {
 public:
  virtual ~ClusterStore() = default;
  // Null when the store did not respond.
  virtual void ReadLease(
      std::function<void(std::optional<LeaseRow>)> handler) = 0;
  // The result is unknown when the store answers in another era than that of
  // `expected`, whose version may name another row by now.
  virtual void WriteLease(
      const LeaseRow& row,
      StorePosition expected,
      std::function<void(LeaseWriteResult, LeaseRow)> handler) = 0;
  // Null when the store did not respond.
  using ServerListHandler =
      std::function<void(std::optional<StoredServerList>)>;
  virtual void ReadServers(ServerListHandler handler) = 0;
  // The newest configuration, a null pointer when there is none; nullopt when
  // the store did not respond.
  using ConfigurationHandler =
      std::function<void(std::optional<std::shared_ptr<const RouteTable>>)>;
  virtual void ReadConfiguration(ConfigurationHandler handler) = 0;
  // Waits up to `wait` for a configuration newer than the last one read.
  // `handler` is called once, never from within the call.
  using ConfigurationWatchHandler =
      std::function<void(const ConfigurationWatchResult&)>;
  virtual void WatchConfiguration(Duration wait,
                                  ConfigurationWatchHandler handler) = 0;
  // The newest configuration as the store holds it.
  virtual const std::string& ConfigurationRow() const = 0;
  // Applies a configuration that another instance read; null when it cannot be
  // decoded.
  virtual std::shared_ptr<const RouteTable> ApplyConfigurationRow(
      const std::string& row) = 0;
  // Closes idle connections; their peers may be gone without a reset.
  virtual void DropConnections() = 0;
  // Bytes of the responses that are being received, as far as they state their
  // length.
  virtual uint64_t MissingBytes() const = 0;
};

// Settings of one instance.
struct GatewaySettings {
  std::string ip;
  std::string data_center;
  int cpu_milli = 1000;
  // Rate of the instance's link, Mbit/s; 0 when it is not known.
  double link_mbps = 0;
  // IP:PORT; empty when the instance does not serve it.
  std::string client_address;
  std::string ready_address;
  std::string directory_address;
  std::string metrics_address;
  // UDP port for messages between instances.
  uint16_t peer_port = 0;
  size_t max_connections = 1000;
  // Connections for the directory, readiness and metrics together.
  size_t max_auxiliary_connections = 250;
  // Memory for the bytes of clients; 0 for no limit.
  size_t client_memory_bytes = 0;
  // Time from SIGTERM to SIGKILL.
  Duration termination_grace_period = std::chrono::seconds(8);
  // How long a server keeps serving after it announced that it drains.
  Duration server_drain_time = std::chrono::seconds(2);
  double retry_ratio = 0.2;
  double retry_slack = 100;
  Duration retry_window = std::chrono::seconds(10);
  Duration directory_ttl = std::chrono::seconds(2);
  // Number of the first event of a stream, until servers show another one.
  int64_t first_event_id = 0;
  // Fields of events beside `id`, `data` and `event`.
  std::vector<std::string> event_fields;
};

namespace detail {
class GatewayCore;
}

class Gateway {
 public:
  class Builder;
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  // Opens the listeners and starts coordination with other instances.
  absl::Status Start();
  // Applies changed limits and bounds; addresses stay as they were at the
  // start.
  void Reload(const GatewaySettings& settings);
  // Stops accepting work, and stops the io_context when the requests in
  // progress have ended.
  void StartDraining();

 private:
  friend class Builder;
  explicit Gateway(std::unique_ptr<detail::GatewayCore> core);
  std::unique_ptr<detail::GatewayCore> m_core;
};

class Gateway::Builder {
 public:
  explicit Builder(boost::asio::io_context& io) : m_io(io) {}
  Builder& SetSettings(GatewaySettings settings);
  Builder& SetDialect(const WireDialect* dialect);
  Builder& SetStore(ClusterStore* store);
  Gateway Build() const;

 private:
  boost::asio::io_context& m_io;
  GatewaySettings m_settings;
  const WireDialect* m_dialect = nullptr;
  ClusterStore* m_store = nullptr;
};

}  // namespace trefoilwick
