#include "cluster_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <cmath>

#include "cluster_codec_servers.h"
#include "cluster_types.h"

namespace trefoilwick::detail {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
// The overloads below would hide these.
using detail::FromWire;
using detail::ToWire;

// Larger than any row of the store or server list.
constexpr size_t kMaxInflatedBytes = size_t{1} << 20;

// Instances receive a new list within a second, in which it may change a few
// more times.
constexpr size_t kMaxRememberedLists = 6;

// Slowdowns are sent in hundredths, and limited to this factor.
constexpr double kHundredthsPerUnit = 100;
constexpr double kMaxSlowdown = 1000;
// Tokens a second.
constexpr double kMaxDemandRate = 1e9;

std::string Encode(const wire::Message& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

std::optional<wire::Message> Decode(std::string bytes) {
  wire::Message message;
  try {
    auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t*>(bytes.data()),
        static_cast<uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.read(&protocol);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return message;
}

std::vector<wire::Load> ToWire(const LoadMap& loads,
                               const ServerIdDictionary::List& list) {
  std::vector<wire::Load> out;
  for (const auto& [server, load] : loads) {
    const auto position =
        std::lower_bound(list.ids.begin(), list.ids.end(), server);
    if (position == list.ids.end() || *position != server ||
        (load.sequences == 0 && load.token_layers < 1))
      continue;
    wire::Load& item = out.emplace_back();
    item.server = static_cast<int32_t>(position - list.ids.begin());
    item.token_layers = std::llround(load.token_layers);
    item.sequences = load.sequences;
  }
  return out;
}

std::optional<LoadMap> FromWire(const std::vector<wire::Load>& loads,
                                int64_t names_key,
                                const ServerIdDictionary& dictionary) {
  const ServerIdDictionary::List* list = dictionary.Find(names_key);
  if (list == nullptr)
    return std::nullopt;
  LoadMap out;
  for (const wire::Load& item : loads) {
    if (item.server < 0 || static_cast<size_t>(item.server) >= list->ids.size())
      return std::nullopt;
    out[list->ids[static_cast<size_t>(item.server)]] = {
        static_cast<double>(item.token_layers), item.sequences};
  }
  return out;
}

std::vector<wire::Demand> ToWire(const DemandRates& demand) {
  std::vector<wire::Demand> out;
  for (const auto& [key, rate] : demand) {
    wire::Demand& item = out.emplace_back();
    item.account = static_cast<int64_t>(key.account);
    item.rank = key.rank;
    item.tokens_per_second =
        static_cast<int32_t>(std::clamp(rate, 0.0, kMaxDemandRate));
  }
  return out;
}

DemandRates FromWire(const std::vector<wire::Demand>& demand) {
  DemandRates out;
  for (const wire::Demand& item : demand)
    if (item.tokens_per_second > 0)
      out[{static_cast<AccountHash>(item.account), item.rank}] =
          item.tokens_per_second;
  return out;
}

int32_t IpToNumber(const std::string& ip) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(ip, error);
  return error ? 0 : static_cast<int32_t>(address.to_uint());
}

std::string NumberToIp(int32_t number) {
  return boost::asio::ip::address_v4(static_cast<uint32_t>(number)).to_string();
}

std::vector<wire::DataCenterMembers> ToWire(
    const std::vector<ClusterMember>& members) {
  std::map<std::string, wire::DataCenterMembers> groups;
  for (const ClusterMember& member : members) {
    wire::DataCenterMembers& group = groups[member.data_center];
    group.data_center = member.data_center;
    wire::Member& item = group.members.emplace_back();
    item.ip = IpToNumber(member.ip);
    item.accepting = member.accepting;
    item.cpu_milli = member.cpu_milli;
  }
  std::vector<wire::DataCenterMembers> out;
  out.reserve(groups.size());
  for (auto& [data_center, group] : groups)
    out.push_back(std::move(group));
  return out;
}

std::vector<wire::ServiceSends> ToWire(const ServiceSends& sends,
                                       const ServiceSends& unreported) {
  std::vector<wire::ServiceSends> out;
  for (const auto& [service, counts] : sends) {
    wire::ServiceSends& item = out.emplace_back();
    item.service_name = service;
    item.requests = counts.requests;
    item.retries = counts.retries;
    const auto found = unreported.find(service);
    if (found != unreported.end())
      item.unreported_retries = found->second.retries;
  }
  return out;
}

ServiceSends ReadSends(const std::vector<wire::ServiceSends>& sends) {
  ServiceSends out;
  for (const wire::ServiceSends& item : sends)
    out[item.service_name] = {item.requests, item.retries};
  return out;
}

// Sends in a report or a heartbeat. A sender that does not tell them by service
// gives only their sum.
template <typename Message>
ServiceSends ReadMessageSends(const Message& message) {
  ServiceSends out = ReadSends(message.sends);
  if (!message.__isset.sends && message.retries > 0)
    out[kUnknownService].retries = message.retries;
  return out;
}

ServiceSends ReadUnreportedSends(const std::vector<wire::ServiceSends>& sends) {
  ServiceSends out;
  for (const wire::ServiceSends& item : sends)
    if (item.unreported_retries > 0)
      out[item.service_name].retries = item.unreported_retries;
  return out;
}

ServiceSends ReadUnreportedSends(const wire::Beat& heartbeat) {
  ServiceSends out = ReadUnreportedSends(heartbeat.sends);
  if (!heartbeat.__isset.sends && heartbeat.unreported_retries > 0)
    out[kUnknownService].retries = heartbeat.unreported_retries;
  return out;
}

std::optional<EarlierSends> ReadEarlierSends(const wire::Report& report) {
  if (!report.__isset.earlier_sends)
    return std::nullopt;
  return EarlierSends{ReadSends(report.earlier_sends),
                      ReadUnreportedSends(report.earlier_sends),
                      std::chrono::milliseconds(report.earlier_sends_age_ms)};
}

InstanceReport FromWire(const wire::Report& report,
                        const ServerIdDictionary& dictionary) {
  return {{report.ip, report.data_center, report.accepting, report.cpu_milli},
          report.incarnation,
          report.config_version,
          {report.list_era, report.list_version},
          FromWire(report.loads, report.names_key, dictionary),
          ReadMessageSends(report),
          ReadEarlierSends(report),
          report.__isset.age_ms ? std::optional<Duration>(
                                      std::chrono::milliseconds(report.age_ms))
                                : std::nullopt,
          {report.down.begin(), report.down.end()},
          FromWire(report.crashes),
          FromWire(report.starts),
          FromWire(report.quarantine),
          FromWire(report.limits),
          FromWire(report.leaving),
          FromWire(report.demand)};
}

std::map<std::string, LayerRange> FromWire(
    const std::vector<wire::Order>& orders) {
  std::map<std::string, LayerRange> out;
  for (const wire::Order& order : orders)
    out[order.server] = {order.layer_from, order.layer_to};
  return out;
}

std::string Deflate(const std::string& bytes) {
  namespace zlib = boost::beast::zlib;
  zlib::deflate_stream stream;
  std::string out(stream.upper_bound(bytes.size()), '\0');
  zlib::z_params z;
  z.next_in = bytes.data();
  z.avail_in = bytes.size();
  z.next_out = out.data();
  z.avail_out = out.size();
  boost::system::error_code ignored;
  stream.write(z, zlib::Flush::finish, ignored);
  out.resize(z.total_out);
  return out;
}

// Null when the bytes are not valid deflate data or inflate to more than any
// message.
std::optional<std::string> Inflate(const std::string& bytes) {
  namespace zlib = boost::beast::zlib;
  zlib::inflate_stream stream;
  // Without a byte behind it, the stream may miss the end of its data.
  const std::string padded = bytes + '\0';
  zlib::z_params z;
  z.next_in = padded.data();
  z.avail_in = padded.size();
  std::string out;
  std::array<char, 4096> block;
  boost::system::error_code error;
  while (!error && out.size() <= kMaxInflatedBytes) {
    z.next_out = block.data();
    z.avail_out = block.size();
    stream.write(z, zlib::Flush::sync, error);
    out.append(block.data(), block.size() - z.avail_out);
  }
  if (error != zlib::error::end_of_stream)
    return std::nullopt;
  return out;
}

std::string EncodeCompressed(const wire::Message& message) {
  wire::Message compressed;
  compressed.packed = Deflate(Encode(message));
  compressed.__isset.packed = true;
  return Encode(compressed);
}

std::vector<wire::Order> ToWire(
    const std::map<std::string, LayerRange>& ranges) {
  std::vector<wire::Order> out;
  for (const auto& [server, layers] : ranges) {
    wire::Order& item = out.emplace_back();
    item.server = server;
    item.layer_from = layers.from;
    item.layer_to = layers.to;
  }
  return out;
}

CoordinatorHeartbeat FromWire(const wire::Beat& heartbeat,
                              const ServerIdDictionary& dictionary) {
  CoordinatorHeartbeat out;
  out.fencing_token = heartbeat.fence;
  out.ip = heartbeat.ip;
  out.config_version = heartbeat.config_version;
  out.config_change = heartbeat.config_change;
  out.list_position = {heartbeat.list_era, heartbeat.list_version};
  out.list_age = std::chrono::milliseconds(heartbeat.list_age_ms);
  for (const wire::DataCenterMembers& group : heartbeat.members)
    for (const wire::Member& member : group.members)
      out.members.push_back({NumberToIp(member.ip), group.data_center,
                             member.accepting, member.cpu_milli});
  out.loads = FromWire(heartbeat.loads, heartbeat.names_key, dictionary);
  out.unreachable_servers.insert(heartbeat.down.begin(), heartbeat.down.end());
  out.store_reachable = heartbeat.store_reachable;
  out.placement_orders = FromWire(heartbeat.orders);
  out.reported_layers = FromWire(heartbeat.held);
  out.sends = ReadMessageSends(heartbeat);
  out.unreported_sends = ReadUnreportedSends(heartbeat);
  out.instances = heartbeat.instances;
  out.sums_incomplete = heartbeat.sums_incomplete;
  out.earlier_sends_unknown = heartbeat.earlier_sends_unknown;
  out.suspects = TraitsFromWire(heartbeat.suspects);
  out.quarantine = FromWire(heartbeat.quarantine);
  out.limits = FromWire(heartbeat.limits);
  out.leaving = FromWire(heartbeat.leaving);
  out.demand = FromWire(heartbeat.demand);
  return out;
}

ServerListMessage FromWire(const wire::ServerList& list) {
  ServerListMessage out;
  out.fencing_token = list.fence;
  out.position = {list.era, list.version};
  out.age = std::chrono::milliseconds(list.age_ms);
  for (const wire::Server& item : list.servers) {
    BackendServer& server = out.servers[item.id];
    server.id = item.id;
    server.service = item.service_name;
    server.address = item.address;
    server.data_center = item.data_center;
    server.state = item.draining ? ServerState::kDraining : ServerState::kReady;
    server.kind = item.kind;
    if (item.layer_to > item.layer_from)
      server.layers = LayerRange{item.layer_from, item.layer_to};
    server.start_unix_ms = item.born;
  }
  return out;
}

}  // namespace

void ServerIdDictionary::Update(const ServerMap& servers) {
  List list;
  uint64_t hash = 0;
  for (const auto& [id, server] : servers) {
    list.ids.push_back(id);
    hash = StableHash(id, hash);
  }
  list.key = static_cast<int64_t>(hash);
  if (list.key == newest().key)
    return;
  m_lists.push_front(std::move(list));
  if (m_lists.size() > kMaxRememberedLists)
    m_lists.pop_back();
}

const ServerIdDictionary::List* ServerIdDictionary::Find(int64_t key) const {
  for (const List& list : m_lists)
    if (list.key == key)
      return &list;
  return nullptr;
}

std::string EncodeReport(const InstanceReport& report,
                         const ServerIdDictionary& dictionary) {
  wire::Message message;
  wire::Report& out = message.report;
  out.ip = report.member.ip;
  out.data_center = report.member.data_center;
  out.accepting = report.member.accepting;
  out.cpu_milli = report.member.cpu_milli;
  out.incarnation = report.incarnation;
  out.config_version = report.config_version;
  out.list_era = report.list_position.era;
  out.list_version = report.list_position.version;
  if (report.loads)
    out.loads = ToWire(*report.loads, dictionary.newest());
  out.names_key = dictionary.newest().key;
  out.down.assign(report.unreachable_servers.begin(),
                  report.unreachable_servers.end());
  const SendCounts total = TotalSends(report.sends);
  out.requests = total.requests;
  out.retries = total.retries;
  out.__set_sends(ToWire(report.sends, {}));
  if (const auto& earlier = report.earlier_sends) {
    out.__set_earlier_sends(ToWire(earlier->sends, earlier->unreported_sends));
    out.__set_earlier_sends_age_ms(ToWireMilliseconds(earlier->age));
  }
  if (report.process_age)
    out.__set_age_ms(ToWireMilliseconds(*report.process_age));
  out.crashes = ToWire(report.crashes);
  out.starts = ToWire(report.starts);
  out.quarantine = ToWire(report.quarantine);
  out.limits = ToWire(report.limits);
  out.leaving = ToWire(report.leaving);
  out.demand = ToWire(report.demand);
  message.__isset.report = true;
  return Encode(message);
}

std::string EncodeHeartbeat(const CoordinatorHeartbeat& heartbeat,
                            const ServerIdDictionary& dictionary) {
  wire::Message message;
  wire::Beat& out = message.beat;
  out.fence = heartbeat.fencing_token;
  out.ip = heartbeat.ip;
  out.config_version = heartbeat.config_version;
  out.config_change = heartbeat.config_change;
  out.list_era = heartbeat.list_position.era;
  out.list_version = heartbeat.list_position.version;
  out.list_age_ms = static_cast<int32_t>(ToMilliseconds(heartbeat.list_age));
  out.members = ToWire(heartbeat.members);
  if (heartbeat.loads)
    out.loads = ToWire(*heartbeat.loads, dictionary.newest());
  out.names_key = dictionary.newest().key;
  out.down.assign(heartbeat.unreachable_servers.begin(),
                  heartbeat.unreachable_servers.end());
  out.store_reachable = heartbeat.store_reachable;
  out.orders = ToWire(heartbeat.placement_orders);
  out.held = ToWire(heartbeat.reported_layers);
  const SendCounts total = TotalSends(heartbeat.sends);
  out.requests = total.requests;
  out.retries = total.retries;
  out.unreported_retries = TotalSends(heartbeat.unreported_sends).retries;
  out.__set_sends(ToWire(heartbeat.sends, heartbeat.unreported_sends));
  out.instances = heartbeat.instances;
  out.sums_incomplete = heartbeat.sums_incomplete;
  out.earlier_sends_unknown = heartbeat.earlier_sends_unknown;
  out.suspects = ToWire(heartbeat.suspects);
  out.quarantine = ToWire(heartbeat.quarantine);
  out.limits = ToWire(heartbeat.limits);
  out.leaving = ToWire(heartbeat.leaving);
  out.demand = ToWire(heartbeat.demand);
  message.__isset.beat = true;
  return Encode(message);
}

std::string EncodeServerList(const ServerListMessage& list) {
  wire::Message message;
  wire::ServerList& out = message.servers;
  out.fence = list.fencing_token;
  out.era = list.position.era;
  out.version = list.position.version;
  out.age_ms = static_cast<int32_t>(ToMilliseconds(list.age));
  for (const auto& [id, server] : list.servers) {
    wire::Server& item = out.servers.emplace_back();
    item.id = id;
    item.service_name = server.service;
    item.address = server.address;
    item.data_center = server.data_center;
    item.draining = server.state == ServerState::kDraining;
    item.kind = server.kind;
    item.layer_from = server.layers ? server.layers->from : 0;
    item.layer_to = server.layers ? server.layers->to : 0;
    item.born = server.start_unix_ms;
  }
  message.__isset.servers = true;
  return EncodeCompressed(message);
}

std::string EncodeUnreachableServers(const std::vector<std::string>& servers) {
  wire::Message message;
  message.lost = servers;
  message.__isset.lost = true;
  return Encode(message);
}

std::string EncodeRefusingServers(const std::vector<std::string>& servers) {
  wire::Message message;
  message.refusing = servers;
  message.__isset.refusing = true;
  return Encode(message);
}

std::string EncodeSlowServers(const std::map<std::string, double>& slowdowns) {
  wire::Message message;
  for (const auto& [server, slowdown] : slowdowns) {
    wire::SlowServer& item = message.slow.emplace_back();
    item.server = server;
    item.pace_percent = static_cast<int32_t>(std::lround(
        std::clamp(slowdown, 0.0, kMaxSlowdown) * kHundredthsPerUnit));
  }
  message.__isset.slow = true;
  return Encode(message);
}

std::string EncodeConfiguration(const ConfigurationMessage& configuration) {
  wire::Message message;
  message.configuration.version = configuration.version;
  message.configuration.row = configuration.row;
  message.__isset.configuration = true;
  return EncodeCompressed(message);
}

std::optional<ClusterMessage> DecodeClusterMessage(
    const std::string& bytes,
    const ServerIdDictionary& dictionary) {
  std::optional<wire::Message> decoded = Decode(bytes);
  if (decoded && decoded->__isset.packed) {
    const auto inner = Inflate(decoded->packed);
    decoded = inner ? Decode(*inner) : std::nullopt;
  }
  if (!decoded)
    return std::nullopt;
  const wire::Message& message = *decoded;
  if (message.__isset.report)
    return FromWire(message.report, dictionary);
  if (message.__isset.beat)
    return FromWire(message.beat, dictionary);
  if (message.__isset.servers)
    return FromWire(message.servers);
  if (message.__isset.lost)
    return UnreachableServersMessage{message.lost};
  if (message.__isset.refusing)
    return RefusingServersMessage{message.refusing};
  if (message.__isset.slow) {
    SlowServersMessage slow;
    for (const wire::SlowServer& item : message.slow)
      slow.slowdowns[item.server] = item.pace_percent / kHundredthsPerUnit;
    return slow;
  }
  if (message.__isset.configuration)
    return ConfigurationMessage{message.configuration.version,
                                message.configuration.row};
  return std::nullopt;
}

}  // namespace trefoilwick::detail
