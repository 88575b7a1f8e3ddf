#include "cluster_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cmath>

#include "cluster_types.h"

namespace trefoilwick::detail {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

std::string Encode(const wire::Message& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

std::vector<wire::Load> ToWire(const LoadMap& loads) {
  std::vector<wire::Load> out;
  for (const auto& [server, load] : loads) {
    if (load.sequences == 0 && load.token_layers < 1)
      continue;
    wire::Load& item = out.emplace_back();
    item.server = server;
    item.token_layers = std::llround(load.token_layers);
    item.sequences = load.sequences;
  }
  return out;
}

LoadMap FromWire(const std::vector<wire::Load>& loads) {
  LoadMap out;
  for (const wire::Load& item : loads)
    out[item.server] = {static_cast<double>(item.token_layers), item.sequences};
  return out;
}

int64_t Millis(Duration duration) {
  return duration.count() / 1000;
}

InstanceReport FromWire(const wire::Report& report) {
  return {{report.ip, report.data_center, report.accepting, report.cpu_milli},
          report.incarnation,
          report.config_version,
          report.list_version,
          FromWire(report.loads),
          {report.requests, report.retries}};
}

std::map<std::string, LayerRange> FromWire(
    const std::vector<wire::Order>& orders) {
  std::map<std::string, LayerRange> out;
  for (const wire::Order& order : orders)
    out[order.server] = {order.layer_from, order.layer_to};
  return out;
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

CoordinatorBeat FromWire(const wire::Beat& beat) {
  CoordinatorBeat out;
  out.fence = beat.fence;
  out.ip = beat.ip;
  out.config_version = beat.config_version;
  out.list_version = beat.list_version;
  out.list_age = std::chrono::milliseconds(beat.list_age_ms);
  for (const wire::Member& member : beat.members)
    out.members.push_back(
        {member.ip, member.data_center, member.accepting, member.cpu_milli});
  out.loads = FromWire(beat.loads);
  out.lost.insert(beat.down.begin(), beat.down.end());
  out.store_reachable = beat.store_reachable;
  out.orders = FromWire(beat.orders);
  out.held = FromWire(beat.held);
  out.sends = {beat.requests, beat.retries};
  return out;
}

ServerListMessage FromWire(const wire::ServerList& list) {
  ServerListMessage out;
  out.fence = list.fence;
  out.version = list.version;
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
    server.born = item.born;
  }
  return out;
}

}  // namespace

std::string EncodeReport(const InstanceReport& report) {
  wire::Message message;
  wire::Report& out = message.report;
  out.ip = report.member.ip;
  out.data_center = report.member.data_center;
  out.accepting = report.member.accepting;
  out.cpu_milli = report.member.cpu_milli;
  out.incarnation = report.incarnation;
  out.config_version = report.config_version;
  out.list_version = report.list_version;
  out.loads = ToWire(report.loads);
  out.requests = report.sends.requests;
  out.retries = report.sends.retries;
  message.__isset.report = true;
  return Encode(message);
}

std::string EncodeBeat(const CoordinatorBeat& beat) {
  wire::Message message;
  wire::Beat& out = message.beat;
  out.fence = beat.fence;
  out.ip = beat.ip;
  out.config_version = beat.config_version;
  out.list_version = beat.list_version;
  out.list_age_ms = static_cast<int32_t>(Millis(beat.list_age));
  for (const ClusterMember& member : beat.members) {
    wire::Member& item = out.members.emplace_back();
    item.ip = member.ip;
    item.data_center = member.data_center;
    item.accepting = member.accepting;
    item.cpu_milli = member.cpu_milli;
  }
  out.loads = ToWire(beat.loads);
  out.down.assign(beat.lost.begin(), beat.lost.end());
  out.store_reachable = beat.store_reachable;
  out.orders = ToWire(beat.orders);
  out.held = ToWire(beat.held);
  out.requests = beat.sends.requests;
  out.retries = beat.sends.retries;
  message.__isset.beat = true;
  return Encode(message);
}

std::string EncodeServerList(const ServerListMessage& list) {
  wire::Message message;
  wire::ServerList& out = message.servers;
  out.fence = list.fence;
  out.version = list.version;
  out.age_ms = static_cast<int32_t>(Millis(list.age));
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
    item.born = server.born;
  }
  message.__isset.servers = true;
  return Encode(message);
}

std::string EncodeLost(const std::vector<std::string>& servers) {
  wire::Message message;
  message.lost = servers;
  message.__isset.lost = true;
  return Encode(message);
}

std::string EncodeRefusing(const std::vector<std::string>& servers) {
  wire::Message message;
  message.refusing = servers;
  message.__isset.refusing = true;
  return Encode(message);
}

std::optional<ClusterMessage> DecodeClusterMessage(const std::string& bytes) {
  wire::Message message;
  try {
    std::string copy = bytes;
    auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t*>(copy.data()),
        static_cast<uint32_t>(copy.size()), TMemoryBuffer::OBSERVE);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.read(&protocol);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (message.__isset.report)
    return FromWire(message.report);
  if (message.__isset.beat)
    return FromWire(message.beat);
  if (message.__isset.servers)
    return FromWire(message.servers);
  if (message.__isset.lost)
    return LostServers{message.lost};
  if (message.__isset.refusing)
    return RefusingServers{message.refusing};
  return std::nullopt;
}

}  // namespace trefoilwick::detail
