// Runs the items of batch jobs as completions of this instance.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "trefoilwick/batches.h"

namespace trefoilwick::detail {

struct Runtime;

class BatchHost {
 public:
  explicit BatchHost(Runtime& runtime);
  // Starts the periodic work.
  void Start();
  // Starts no new items; releases the leases once the running items have ended.
  void StopTakingItems();
  // False from the first item on, until the instance drains and all results are
  // written and all leases released.
  bool idle() const { return m_idle.load(); }

 private:
  void PollForItems();
  void RunItem(const BatchRunner::WorkItem& work);
  void OnItemEnd(const BatchRunner::WorkItem& work,
                 const std::string& text,
                 Outcome outcome,
                 const std::string& reason);

  Runtime& m_runtime;
  BatchRunner m_runner;
  std::atomic<bool> m_polling{false};
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_idle{true};
  std::atomic<int> m_running_items{0};
  // Attempts so far, by batch id and item index; entry loop only.
  std::map<std::pair<std::string, int>, int> m_attempts;
};

}  // namespace trefoilwick::detail
