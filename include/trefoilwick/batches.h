// Durable batch jobs with one outcome per item.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "trefoilwick/kernel.h"
#include "trefoilwick/platform.h"

namespace trefoilwick {

inline constexpr char kBatchTable[] = "batches";

struct BatchItem {
  std::string prompt;
  int max_tokens = 64;
};

enum class ItemState : uint8_t { kWaiting, kFinished, kNotFinished };
inline constexpr auto kItemStateNames = MakeEnumTable<ItemState>({
    {ItemState::kWaiting, "waiting"},
    {ItemState::kFinished, "finished"},
    {ItemState::kNotFinished, "not_finished"},
});

struct BatchItemResult {
  int index = 0;
  ItemState state = ItemState::kWaiting;
  std::string text;
  std::string reason;
};

// finished + not_finished + waiting == submitted, always.
struct BatchCounts {
  int submitted = 0;
  int finished = 0;
  int not_finished = 0;
  int waiting = 0;
};

struct BatchSpec {
  std::string id;
  std::string account;
  std::string kind;
  std::string model;
  std::vector<BatchItem> items;
};

// Stores a job: items as an object, then its row. kOk only once both are
// durable; kUnavailable: not accepted and never run; kUnknown: ask GetBatch;
// kFailedPrecondition: the id belongs to another job; kInvalidArgument: the id
// is empty or has characters other than letters, digits, '.', '_' and '-'.
// Submitting the same job again is harmless.
absl::Status SubmitBatch(const Clock& clock,
                         TableService& store,
                         ObjectStore& objects,
                         const BatchSpec& spec);
absl::StatusOr<BatchSpec> GetBatch(TableService& store,
                                   ObjectStore& objects,
                                   const std::string& id);
absl::StatusOr<BatchCounts> GetBatchCounts(TableService& store,
                                           const std::string& id);
absl::StatusOr<std::vector<BatchItemResult>> ListBatchItems(
    TableService& store,
    ObjectStore& objects,
    const std::string& id);
// The report of a job whose items all have an outcome, as JSON: `submitted`,
// `finished`, `not_finished` and `not_finished_items` (`index`, `reason`).
// kNotFound while items are waiting.
absl::StatusOr<std::string> GetBatchReport(TableService& store,
                                           ObjectStore& objects,
                                           const std::string& id);

// Runs the jobs this instance has taken. A job is taken by a conditional write
// of its row (owner, fencing number, lease expiry); results are written in
// groups under that fencing number, so that a holder whose lease passed to
// another cannot change the job. Items may run again after a takeover (the kind
// must be idempotent) but an item that has a recorded outcome never does.
// OnItemDone may be called from any thread, the others from one at a time.
class BatchRunner {
 public:
  BatchRunner(const Clock& clock,
              TableService& store,
              ObjectStore& objects,
              const std::string& instance);
  ~BatchRunner();
  struct WorkItem {
    std::string batch;
    std::string account;
    std::string kind;
    std::string model;
    int index = 0;
    BatchItem item;
  };
  // Renews leases, takes free or expired jobs and returns items to run, at
  // most `limit` outstanding in all. Blocking on the store.
  std::vector<WorkItem> PollForItems(size_t limit);
  // Records a finished or not finished item; written by a later PollForItems,
  // with other items of its job, or by Flush. `retry`: the item may be tried
  // again, its state stays waiting. Does not wait for the store.
  void OnItemDone(const std::string& batch, BatchItemResult result, bool retry);
  // Writes the results of all items done so far.
  absl::Status Flush();
  // Writes outstanding results and gives up all leases.
  absl::Status Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace trefoilwick
