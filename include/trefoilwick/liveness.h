// Notices servers that were lost from the streams that pass through them.
// Without I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

// How long a stream has been without an event.
enum class Silence : uint8_t {
  kNone,
  // The next event is overdue: evidence beside that of another instance, or of
  // several other streams.
  kOverdue,
  // Suspicious when others on the same server are silent as well.
  kShort,
  // Suspicious by itself.
  kLong,
};

// `interval` is the mean time between the events of the stream.
Silence AssessSilence(Duration silent, Duration interval);

// One stream that has begun.
struct StreamProgress {
  const LayerPath* path = nullptr;
  Silence silence = Silence::kNone;
};

// Servers to ask whether they live: those on the path of a stream that is
// silent for long, and those all of whose streams fell silent together. Load
// pattern: a server that many paths share goes dark under traffic.
std::set<std::string> SuspectServers(
    const std::vector<StreamProgress>& streams);

// True when every stream on the server is at least overdue, and there is one.
// With the word of an instance that could not reach the server this is proof
// enough: a probe of one's own would make the pause of each stream longer.
bool StreamsCorroborateLoss(const std::string& server,
                            const std::vector<StreamProgress>& streams);

// What another instance last said of the servers that it cannot reach.
struct UnreachableReport {
  TimePoint received_at;
  const std::set<std::string>* unreachable = nullptr;
};

enum class LossVerdict : uint8_t {
  // The others may not have tried yet.
  kUndecided,
  kConfirmed,
  // Most others reach the server: only the way from here is cut.
  kContradicted,
};

// Whether a server that this instance cannot reach since `since` is lost, by
// majority of those that have had time to try. Load pattern: the way between
// some servers and some instances is cut, the coordinator among them.
LossVerdict AssessLoss(const std::string& server,
                       TimePoint since,
                       TimePoint now,
                       const std::vector<UnreachableReport>& others);

// Bounds the probes of an instance. A probe is a new connection, which costs
// its server about as much as a step of all its requests: probes of servers
// that are only slow would make them slower.
class ProbeLimiter {
 public:
  // True when the server may be probed now, which then counts. `instances`
  // share a budget for the whole deployment.
  bool TryAcquire(const std::string& server, TimePoint now, size_t instances);
  // The server accepted the connection: it is probed less often from now on.
  void OnAlive(const std::string& server, TimePoint now);

 private:
  struct Server {
    TimePoint next_probe_at;
    Duration interval{0};
  };
  std::map<std::string, Server> m_servers;
  double m_tokens = 0;
  TimePoint m_last_refill;
};

// Servers left out for a while because they refused a request. One that refuses
// again as soon as it is used again is left out for twice as long each time.
// Load pattern: servers that leave while the store cannot tell so refuse
// everything, and with nothing in progress look the most free.
class RefusalCooldowns {
 public:
  // True when the server was not left out already.
  bool RecordRefusal(const std::string& server, TimePoint now);
  std::set<std::string> Active(TimePoint now) const;
  // Servers that refused again as soon as they were used again.
  std::set<std::string> RepeatedlyRefusing(TimePoint now) const;
  // Forgets what is long past.
  void RemoveExpired(TimePoint now);

 private:
  struct Cooldown {
    TimePoint until;
    Duration duration{0};
  };
  std::map<std::string, Cooldown> m_cooldowns;
};

// Servers of `refusing` that refuse although most of their memory is free: they
// are leaving. Load pattern: servers leave while the store is away, so that no
// list says so and their layers are not placed anew.
std::set<std::string> FindUnlistedDrainingServers(
    const EngineModel& engine,
    const ServerMap& servers,
    const LoadMap& loads,
    const std::set<std::string>& refusing);

// How fast a stream runs.
struct StreamTiming {
  const LayerPath* path = nullptr;
  // Mean time between events, or the present silence when that is longer.
  Duration interval{0};
  // Time that a token takes through the path when nothing is slow.
  double token_ms = 0;
};

// Names servers that may run slower than they should, from the streams that
// pass through them. Load pattern: some servers take several times as long,
// their health is good, and prompts pile up in front of them.
class SlowdownDetector {
 public:
  // A stream ended on time with this mean time between its events.
  void AddBaselineSample(Duration interval, double token_ms);
  // Servers of slow streams that no stream at the usual pace passes through.
  // None before enough streams have ended.
  std::set<std::string> Suspects(
      const std::vector<StreamTiming>& streams) const;

 private:
  // Usual time between events over the time of a token.
  double m_baseline_ratio = 0;
  int m_sample_count = 0;
};

// Pace of servers that were found slow, for a while after it was read.
class ServerSlowdowns {
 public:
  // True when this says something new: the server was not known to be slow, or
  // its pace changed much. One at its usual pace is forgotten.
  bool Set(const std::string& server, double pace, TimePoint now);
  std::map<std::string, double> Active(TimePoint now) const;
  // Forgets what is long past.
  void RemoveExpired(TimePoint now);

 private:
  struct Entry {
    double slowdown = 1;
    TimePoint until;
  };
  std::map<std::string, Entry> m_entries;
};

// A server with a larger pace is slow.
inline constexpr double kSlowdownThreshold = 1.5;

}  // namespace trefoilwick
