// Positions in the platform's store, and the server list across a roll-back of
// the store: when it comes back from a copy, a new era begins and versions are
// given out again. Does no I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "trefoilwick/kernel.h"
#include "trefoilwick/layer_path.h"

namespace trefoilwick {

// A position in the platform's store. Versions count within one era only, so
// that positions of different eras compare by their eras.
struct StorePosition {
  // 0 when the store does not name its era.
  int64_t era = 0;
  // 0 when there is none.
  int64_t version = 0;
  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

// Decides which servers are used after each read of the server list. At the
// start of an era the store's list is older than the one before it: rows of
// running servers are missing until these write them again, and rows of servers
// that have ended are back.
class ServerListHistory {
 public:
  // Time for which a server may be missing from the lists of a new era.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(2500);
  // Time for which rows of ended servers may be back in a new era: the platform
  // drops a row that is not written any more.
  static constexpr Duration kRevivalTime = std::chrono::seconds(8);
  // A copy of the store is younger than this.
  static constexpr Duration kMaxCopyAge = std::chrono::seconds(30);

  // `listed` was read in `era`, which is not before that of an earlier call.
  // Returns the servers to be used.
  ServerMap Update(TimePoint now, int64_t era, ServerMap listed);
  // For an instance that gets no list unless it changes: the servers to be used
  // of the last list, when one of the times above has passed since the last
  // call.
  std::optional<ServerMap> UpdateIfDue(TimePoint now);

 private:
  void BeginEra(TimePoint now);
  // The next time at which the last list yields other servers.
  std::optional<TimePoint> NextChange(TimePoint now) const;
  // Adds the servers whose rows are not back, and keeps what is known better
  // than the copy shows.
  void RestoreServers(ServerMap& listed);
  void DropEndedServers(TimePoint now, ServerMap& listed) const;
  void RecordEndedServers(TimePoint now, const ServerMap& servers);

  bool m_has_list = false;
  int64_t m_era = 0;
  TimePoint m_era_began;
  std::optional<TimePoint> m_next_change;
  // The last list, as it was read; kept until the last change.
  ServerMap m_listed;
  // Servers used after the last call.
  ServerMap m_servers;
  // Those of the era before that a row of this era does not replace yet.
  ServerMap m_servers_before;
  struct EndedServer {
    int64_t start_unix_ms = 0;
    TimePoint ended_at;
  };
  // Processes that have left the list, by server id.
  std::map<std::string, EndedServer> m_ended;
};

}  // namespace trefoilwick
