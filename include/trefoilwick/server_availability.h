// Whether a request may be sent to a backend server now, as far as the servers
// themselves say: they announce their shutdown, ask for a pause, refuse
// requests or name a limit. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trefoilwick/layer_path.h"
#include "trefoilwick/liveness.h"
#include "trefoilwick/server_limits.h"

namespace trefoilwick {

// A shutdown that was announced in an answer.
struct LeavingNotice {
  ServerProcess process;
  // When the last answer arrived that announced it.
  TimePoint observed_at;
};

// Servers that announced their shutdown in an answer. What this instance was
// told itself holds until the process has ended, whatever older server lists
// say; what others were told is a hint with an expiry. Load pattern: servers
// leave while the store is down, so that every list shows them as ready.
class LeavingServers {
 public:
  // An answer to this instance announced the shutdown. True when it was not
  // known yet.
  bool OnAnswer(TimePoint now, const ServerProcess& process);
  // An answer to another instance did. True when it was not known yet.
  bool Merge(TimePoint now, const LeavingNotice& notice);
  bool Contains(TimePoint now, const ServerProcess& process) const;
  // Notices on processes that `listed` still shows as ready.
  std::vector<LeavingNotice> NoticesToShare(TimePoint now,
                                            const ServerMap& listed) const;
  // True when one was removed.
  bool RemoveExpired(TimePoint now, const ServerMap& listed);

 private:
  struct Entry {
    int64_t start_unix_ms = 0;
    TimePoint observed_at;
    bool by_own_answer = false;
  };
  static bool IsCurrent(TimePoint now, const Entry& entry);

  std::map<std::string, Entry> m_entries;
};

// Servers that want no requests from this instance for a while. Load pattern: a
// server that is short of capacity for seconds refuses each request that it
// gets, which takes time from those that it runs.
class ServerPauses {
 public:
  // Longer pauses are not obeyed: the server may be faulty.
  static constexpr Duration kMaxPause = std::chrono::seconds(120);

  // The server asked for a pause. The latest end of its pauses counts.
  void Set(TimePoint now, const std::string& server, Duration pause);
  // Zero when the server may be used.
  Duration Remaining(TimePoint now, const std::string& server) const;
  std::set<std::string> Active(TimePoint now) const;
  // True when the server may be probed. One probe is allowed in each pause, for
  // the sake of requests that are still running there.
  bool TryProbe(TimePoint now, const std::string& server);
  void RemoveExpired(TimePoint now);

 private:
  struct Pause {
    TimePoint until;
    bool probed = false;
  };
  std::map<std::string, Pause> m_pauses;
};

// Whether a request may be sent to a server, or the reason why not.
enum class SendVerdict : uint8_t {
  kAllowed,
  kLeaving,
  kPaused,
  // The server refused a request a moment ago.
  kRefusing,
  kRetryBudgetSpent,
  kLimitUsed,
  // No server of the route has the capacity.
  kNoCapacity,
  // The servers of the route are short of capacity, and other requests go
  // first.
  kShed,
};

inline constexpr auto kSendVerdictNames = MakeEnumTable<SendVerdict>({
    {SendVerdict::kAllowed, "allowed"},
    {SendVerdict::kLeaving, "leaving"},
    {SendVerdict::kPaused, "paused"},
    {SendVerdict::kRefusing, "refusing"},
    {SendVerdict::kRetryBudgetSpent, "retry_budget"},
    {SendVerdict::kLimitUsed, "limit"},
    {SendVerdict::kNoCapacity, "no_capacity"},
    {SendVerdict::kShed, "shed"},
});

// The one decision on a send to a server.
class ServerAvailability {
 public:
  LeavingServers& leaving() { return m_leaving; }
  const LeavingServers& leaving() const { return m_leaving; }
  ServerPauses& pauses() { return m_pauses; }
  const ServerPauses& pauses() const { return m_pauses; }
  RefusalCooldowns& cooldowns() { return m_cooldowns; }
  const RefusalCooldowns& cooldowns() const { return m_cooldowns; }
  ServerLimits& limits() { return m_limits; }
  const ServerLimits& limits() const { return m_limits; }

  // Charges nothing and ignores limits.
  SendVerdict Assess(TimePoint now, const BackendServer& server) const;
  // Decides on a send and charges it to the limit of the server if it is
  // allowed. `within_retry_budget` is true for first sends. `unit` is random in
  // [0, 1).
  SendVerdict TrySend(TimePoint now,
                      const BackendServer& server,
                      bool within_retry_budget,
                      double unit);
  // Servers that take no request now, other than those that are leaving.
  std::set<std::string> Unavailable(TimePoint now) const;
  // True when a leaving server was removed.
  bool RemoveExpired(TimePoint now, const ServerMap& listed);

 private:
  LeavingServers m_leaving;
  ServerPauses m_pauses;
  RefusalCooldowns m_cooldowns;
  ServerLimits m_limits;
};

}  // namespace trefoilwick
