// Detects lost and slow servers by the progress of the streams that run on
// them. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "trefoilwick/layer_path.h"

namespace trefoilwick {

// How long a stream has had no event.
enum class Silence : uint8_t {
  kNone,
  // The next event is overdue: evidence only together with that of another
  // instance or of several other streams.
  kOverdue,
  // Suspicious when others on the same server are silent as well.
  kShort,
  // Suspicious by itself.
  kLong,
};

// Assesses a stream whose last event was `silent` ago. `interval` is the mean
// time between its events.
Silence AssessSilence(Duration silent, Duration interval);

// A stream that has begun.
struct StreamProgress {
  const LayerPath* path = nullptr;
  Silence silence = Silence::kNone;
};

// Servers to probe: those on the path of a stream that is silent for long, and
// those whose streams are all silent at the same time. Load pattern: a server
// that many paths share is lost under traffic.
std::set<std::string> SuspectServers(
    const std::vector<StreamProgress>& streams);

// True when there are streams on the server and all of them are at least
// overdue. Together with the report of an instance that could not reach the
// server this is sufficient evidence: another probe would lengthen the pause of
// each stream.
bool StreamsCorroborateLoss(const std::string& server,
                            const std::vector<StreamProgress>& streams);

// Last report of another instance on the servers that are unreachable from it.
struct UnreachableReport {
  TimePoint received_at;
  const std::set<std::string>* unreachable = nullptr;
};

enum class LossVerdict : uint8_t {
  // Other instances may not have probed the server yet.
  kUndecided,
  kConfirmed,
  // Most other instances reach the server: it is unreachable only from this
  // one.
  kContradicted,
};

// Judges whether a server that is unreachable from this instance since `since`
// is lost, by the majority of the instances that had time to probe it. Load
// pattern: the network between some servers and some instances, the coordinator
// among them, is partitioned.
LossVerdict AssessLoss(const std::string& server,
                       TimePoint since,
                       TimePoint now,
                       const std::vector<UnreachableReport>& others);

// Limits the rate of probes of an instance. A probe is a new connection, which
// costs its server about as much as one step of all its requests: probes of
// servers that are only slow would make them slower.
class ProbeLimiter {
 public:
  // True when the server may be probed now; the probe is then charged.
  // `instances` share one budget for the whole deployment.
  bool TryAcquire(const std::string& server, TimePoint now, size_t instances);
  // Records that the server accepted the connection; it is probed less often
  // afterwards.
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

// Cool-down of servers that refused a request: they are not used for a while.
// The cool-down doubles each time a server refuses again as soon as it is used
// again. Load pattern: servers that drain while the store is down, so that the
// server list does not say so, refuse every request; with none in progress they
// look like those with the largest free capacity.
class RefusalCooldowns {
 public:
  // True when the server was not in a cool-down already.
  bool RecordRefusal(const std::string& server, TimePoint now);
  std::set<std::string> Active(TimePoint now) const;
  // Servers that refused again as soon as they were used again.
  std::set<std::string> RepeatedlyRefusing(TimePoint now) const;
  // Removes cool-downs that ended long ago.
  void RemoveExpired(TimePoint now);

 private:
  struct Cooldown {
    TimePoint until;
    Duration duration{0};
  };
  std::map<std::string, Cooldown> m_cooldowns;
};

// Servers of `refusing` that refuse although most of their memory is free,
// which means that they are draining. Load pattern: servers drain while the
// store is down, so that no server list says so and their layers are not placed
// elsewhere.
std::set<std::string> FindUnlistedDrainingServers(
    const EngineModel& engine,
    const ServerMap& servers,
    const LoadMap& loads,
    const std::set<std::string>& refusing);

// Servers that have ended, which do not count as attempts of the requests that
// they ran. Load pattern: servers leave while the store is away, so that the
// list does not tell which of them still run requests.
class EndedServers {
 public:
  void OnUnlisted(const BackendServer& server, TimePoint now);
  // Servers on the list, some of which may have been missing for a while.
  void OnListed(const ServerMap& servers);
  // Address of a server that is missing from the list for longer than an outage
  // of the store explains, when a probe has to tell whether it serves on. Then
  // null for a while.
  std::optional<std::string> TakeAddressToProbe(const std::string& server,
                                                TimePoint now);
  // Result of that probe.
  void OnUnlistedProbed(const std::string& server, bool accepts_connections);
  // Results of probes.
  void OnPortClosed(const std::string& server, TimePoint now);
  void OnPortOpen(const std::string& server);
  // True when the server is missing from the list for longer than an outage of
  // the store explains and accepts no connections, or when its port is closed
  // and it has also closed the connection of the request. A server may leave
  // the list, or close its port, while it still runs the request.
  bool HasEnded(const std::string& server,
                bool has_closed_connection,
                TimePoint now) const;

 private:
  void RemoveExpired(TimePoint now);

  struct UnlistedServer {
    std::string address;
    TimePoint since;
    TimePoint next_probe_at;
    bool has_ended = false;
  };

  std::map<std::string, UnlistedServer> m_unlisted;
  std::map<std::string, TimePoint> m_port_closed_at;
};

// Speed of a stream.
struct StreamTiming {
  const LayerPath* path = nullptr;
  // Mean time between events, or the time since the last one when that is
  // longer.
  Duration interval{0};
  // Time to decode a token over the path when no server is slow.
  double token_ms = 0;
};

// Finds servers that may be slower than expected by the streams that run on
// them. Load pattern: some servers take several times as long while their
// health checks pass, and prompts queue up at them.
class SlowdownDetector {
 public:
  // Records a stream that ended on time with this mean time between its events.
  void AddBaselineSample(Duration interval, double token_ms);
  // Servers of slow streams that run no stream of baseline speed. None before
  // enough streams have ended.
  std::set<std::string> Suspects(
      const std::vector<StreamTiming>& streams) const;

 private:
  // Baseline of the time between events, divided by the time to decode a token.
  double m_baseline_ratio = 0;
  int m_sample_count = 0;
};

// Slowdown factors of slow servers, kept for a while after they were read.
class ServerSlowdowns {
 public:
  // True when the state of the server changed: it was not known to be slow, or
  // its slowdown changed much. A server that is not slow is removed.
  bool Set(const std::string& server, double slowdown, TimePoint now);
  std::map<std::string, double> Active(TimePoint now) const;
  void RemoveExpired(TimePoint now);

 private:
  struct Entry {
    double slowdown = 1;
    TimePoint until;
  };
  std::map<std::string, Entry> m_entries;
};

// A server with at least this slowdown is slow.
inline constexpr double kSlowdownThreshold = 1.5;

}  // namespace trefoilwick
