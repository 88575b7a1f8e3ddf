// Distribution of the server list and the configuration by the coordinator:
// changes between versions, lists in parts, and who is sent what when.
#include <algorithm>
#include <array>

#include "cluster_codec.h"
#include "trefoilwick/coordination.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Changes of a list for which instances with an older version need not get the
// whole list. The coordinator reads the list every 0.65 s, so that they cover
// the 1.5 s without a report after which an instance is forgotten several
// times.
constexpr size_t kKeptListSteps = 16;
// Bytes of the servers in one part before compression: a part stays below the
// size of a datagram even if it cannot be compressed.
constexpr size_t kMaxListPartBytes = 30'000;
// Of a server, without its texts.
constexpr size_t kServerOverheadBytes = 40;
// Base of an update that has no changes.
constexpr int64_t kAnyListVersion = -1;
constexpr int kMaxListParts = 4096;
// Updates are encoded again when they are older than this, because they name
// the age of the list.
constexpr Duration kMaxEncodedAge = milliseconds(200);
// Longer than the time from sending an update to the next report of its
// receiver.
constexpr Duration kResendInterval = milliseconds(700);
// An instance that still reports the same version after this many changes gets
// the whole list: its list of that version is another than this one's.
constexpr int kMaxChangesSent = 3;
// A coordinator on a link that carries the list to 300 instances within 3 s has
// sent it by then.
constexpr Duration kMaxListWait = seconds(3);

// An instance that had the coordinator's list at the last heartbeat reads it by
// itself only when it is older than this. One lost heartbeat made a tenth of
// 300 instances read the list at 5% loss.
constexpr Duration kMaxListAgeWithHeartbeats = milliseconds(1500);

size_t EstimateBytes(const BackendServer& server) {
  return kServerOverheadBytes + server.id.size() + server.service.size() +
         server.address.size() + server.data_center.size() + server.kind.size();
}

}  // namespace

const char* NameOf(PeerMessageType type) {
  static constexpr std::array kNames = {
      "report",   "heartbeat", "server_list",   "list_changes", "unreachable",
      "refusing", "slow",      "configuration", "invalid"};
  return kNames.at(static_cast<size_t>(type));
}

void Coordination::SetStoredServers(int64_t version, ServerMap servers) {
  if (m_list_version > 0) {
    ListStep step;
    step.from = m_list_version;
    step.to = std::max(m_list_version, m_list_confirmed_version);
    for (const auto& [id, server] : servers) {
      const auto previous = m_stored_servers->find(id);
      if (previous == m_stored_servers->end() || previous->second != server)
        step.changed.insert(id);
    }
    for (const auto& [id, server] : *m_stored_servers)
      if (!servers.contains(id))
        step.changed.insert(id);
    m_list_steps.push_back(std::move(step));
    if (m_list_steps.size() > kKeptListSteps)
      m_list_steps.pop_front();
  }
  m_list_version = version;
  m_list_confirmed_version = version;
  m_list_behind_since.reset();
  m_list_updates.clear();
  m_stored_servers = std::make_shared<const ServerMap>(std::move(servers));
  m_server_ids->Update(*m_stored_servers);
}

std::shared_ptr<const Coordination::ListUpdate>
Coordination::ListUpdateFrom(TimePoint now, int64_t version, bool whole) {
  if (now - m_list_encoded_at > kMaxEncodedAge) {
    m_list_updates.clear();
    m_list_encoded_at = now;
  }
  const auto first = std::find_if(
      m_list_steps.begin(), m_list_steps.end(), [&](const ListStep& step) {
        return !whole && step.from <= version && version <= step.to;
      });
  // An instance that read the list itself may have the same list under another
  // version. It is sent the digest alone at first.
  const bool digest_only = !whole && version > 0 && first == m_list_steps.end();
  const int64_t base = digest_only                   ? kAnyListVersion
                       : first == m_list_steps.end() ? 0
                                                     : first->from;
  auto& cached = m_list_updates[base];
  if (cached)
    return cached;
  detail::ListPartMessage part;
  part.fencing_token = m_fencing_token;
  part.version = m_list_version;
  // Still true when it is sent.
  part.age = ServerListAge(now) + kMaxEncodedAge;
  part.base = base;
  part.digest = detail::DigestOf(*m_stored_servers);
  std::set<std::string> ids;
  for (auto step = first; step != m_list_steps.end(); ++step)
    ids.insert(step->changed.begin(), step->changed.end());
  if (base == 0)
    for (const auto& [id, server] : *m_stored_servers)
      ids.insert(id);
  std::vector<detail::ListPartMessage> parts = {part};
  size_t bytes = 0;
  for (const std::string& id : ids) {
    const auto server = m_stored_servers->find(id);
    const size_t more = server == m_stored_servers->end()
                            ? id.size()
                            : EstimateBytes(server->second);
    if (bytes > 0 && bytes + more > kMaxListPartBytes) {
      parts.push_back(part);
      bytes = 0;
    }
    bytes += more;
    if (server == m_stored_servers->end())
      parts.back().removed.push_back(id);
    else
      parts.back().servers.insert(*server);
  }
  auto update = std::make_shared<ListUpdate>();
  update->version = m_list_version;
  update->base = base;
  update->type =
      base != 0 ? PeerMessageType::kListChanges : PeerMessageType::kServerList;
  for (size_t i = 0; i < parts.size(); ++i) {
    parts[i].index = static_cast<int>(i);
    parts[i].count = static_cast<int>(parts.size());
    update->datagrams.push_back(detail::EncodeListPart(parts[i]));
  }
  return cached = std::move(update);
}

void Coordination::RelayUpdates(TimePoint now) {
  if (!m_is_coordinator)
    return;
  const auto is_live = [&](const Peer& peer) {
    return now - peer.last_report_at <= detail::kMemberTimeout;
  };
  for (auto& [ip, peer] : m_peers)
    if (is_live(peer))
      SendConfiguration(now, ip, peer);
  for (auto& [ip, peer] : m_peers)
    if (is_live(peer))
      SendList(now, ip, peer);
}

void Coordination::SendConfiguration(TimePoint now,
                                     const std::string& ip,
                                     Peer& peer) {
  if (m_config_message.empty() || peer.config_version >= m_config_version ||
      (peer.sent_config_version == m_config_version &&
       now - peer.config_sent_at < kResendInterval) ||
      !TryConsumeLinkBudget(now, m_config_budget, m_config_message.size()))
    return;
  peer.sent_config_version = m_config_version;
  peer.config_sent_at = now;
  m_actions.emplace_back(
      SendDatagram{ip, m_config_message, PeerMessageType::kConfiguration});
}

bool Coordination::IsSendingConfiguration(TimePoint now) const {
  return !m_config_message.empty() &&
         std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
           const Peer& peer = entry.second;
           return now - peer.last_report_at <= detail::kMemberTimeout &&
                  peer.config_version < m_config_version &&
                  peer.sent_config_version != m_config_version;
         });
}

void Coordination::SendList(TimePoint now, const std::string& ip, Peer& peer) {
  if (!peer.list_update) {
    if (m_list_version == 0 || peer.list_version >= m_list_version ||
        (peer.sent_list_version == m_list_version &&
         now - peer.list_sent_at < kResendInterval))
      return;
    peer.list_update =
        ListUpdateFrom(now, peer.list_version,
                       (peer.list_version > 0 &&
                        peer.list_version == peer.unknown_list_version) ||
                           peer.list_updates_sent >= kMaxChangesSent);
    peer.unknown_list_version =
        peer.list_update->base == kAnyListVersion ? peer.list_version : 0;
    peer.next_list_part = 0;
  }
  const ListUpdate& update = *peer.list_update;
  while (peer.next_list_part < update.datagrams.size()) {
    const std::string& bytes = update.datagrams[peer.next_list_part];
    if (!TryConsumeLinkBudget(now, m_list_budget, bytes.size()))
      return;
    m_actions.emplace_back(SendDatagram{ip, bytes, update.type});
    ++peer.next_list_part;
  }
  peer.sent_list_version = update.version;
  peer.list_sent_at = now;
  ++peer.list_updates_sent;
  peer.list_update.reset();
}

// Changes from an older version contain all that changed since, with its last
// state, so that they apply to the versions in between as well.
void Coordination::HandleListPart(TimePoint now,
                                  const detail::ListPartMessage& part) {
  IncomingList& incoming = m_incoming_list;
  if (part.version <= m_list_version || part.fencing_token < m_fencing_token ||
      part.count < 1 || part.count > kMaxListParts || part.index < 0 ||
      part.index >= part.count || part.base > m_list_version)
    return;
  if (part.fencing_token != incoming.fencing_token ||
      part.version != incoming.version || part.base != incoming.base ||
      part.count != incoming.count)
    incoming = {
        part.fencing_token, part.version, part.base, part.count, {}, {}, {}};
  incoming.parts.insert(part.index);
  incoming.servers.insert(part.servers.begin(), part.servers.end());
  incoming.removed.insert(incoming.removed.end(), part.removed.begin(),
                          part.removed.end());
  if (static_cast<int>(incoming.parts.size()) < incoming.count)
    return;
  ServerMap servers = std::move(incoming.servers);
  if (incoming.base != 0) {
    for (const auto& [id, server] : *m_stored_servers)
      servers.insert({id, server});
    for (const std::string& id : incoming.removed)
      servers.erase(id);
  }
  incoming = {};
  if (detail::DigestOf(servers) != part.digest)
    return;
  m_list_fresh_at = std::max(m_list_fresh_at, now - part.age);
  SetStoredServers(part.version, std::move(servers));
  UpdateServers(now);
}

bool Coordination::AwaitsList(TimePoint now) const {
  if (!ReceivesCoordinatorHeartbeats(now))
    return false;
  return m_list_behind_since ? now - *m_list_behind_since < kMaxListWait
                             : ServerListAge(now) < kMaxListAgeWithHeartbeats;
}

}  // namespace trefoilwick
