// Chooses servers of plain services by health and outstanding calls.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "trefoilwick/kernel.h"
#include "trefoilwick/routing.h"

namespace trefoilwick::detail {

enum class CallOutcome : uint8_t { kAnswered, kFailed, kConnectionRefused };

// Thread-safe.
class ServicePool {
 public:
  explicit ServicePool(uint64_t seed) : m_random(seed) {}
  // Replaces the servers by those of a new fleet view.
  void SetFleet(const std::shared_ptr<const FleetView>& fleet);
  // Returns a server and counts one outstanding call; nullopt when no usable
  // server is left. Each returned server needs one FinishCall.
  std::optional<ListedServer> PickServer(TimePoint now,
                                         const std::string& service,
                                         const std::set<std::string>& excluded);
  void FinishCall(TimePoint now,
                  const std::string& server,
                  CallOutcome outcome,
                  Duration took);

 private:
  std::mutex m_mutex;
  std::shared_ptr<const FleetView> m_fleet;
  HealthTracker m_health;
  std::map<std::string, int> m_outstanding;
  Random m_random;
};

}  // namespace trefoilwick::detail
