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

// Invariant: finished + not_finished + waiting == submitted.
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

// Stores the items of a job as an object, then its row. Returns kOk only once
// both are durable; kUnavailable when the job was not accepted and will never
// run; kUnknown when only GetBatch can tell whether it was accepted;
// kFailedPrecondition when the id belongs to another job; kInvalidArgument when
// the id is empty or has characters other than letters, digits, '.', '_' and
// '-'. Submitting the same job again has no effect.
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
// Returns the report of a job whose items all have an outcome, as JSON:
// `submitted`, `finished`, `not_finished` and `not_finished_items` (`index`,
// `reason`). Returns kNotFound while items are waiting.
absl::StatusOr<std::string> GetBatchReport(TableService& store,
                                           ObjectStore& objects,
                                           const std::string& id);

// Runs the jobs whose leases this instance holds. A lease is acquired by a
// conditional write of the row of the job (lease holder, fencing token, lease
// expiry). Results are written in groups under that fencing token, so that a
// holder whose lease passed to another instance cannot change the job. Items
// may run again after the lease changes its holder (the kind must be
// idempotent), but an item with a recorded outcome never does. OnItemDone may
// be called from any thread, the others from one thread at a time.
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
  // Renews leases, acquires free or expired ones and returns items to run, such
  // that at most `limit` are outstanding in all. Blocks on the store.
  std::vector<WorkItem> PollForItems(size_t limit);
  // Records the result of an item, which a later PollForItems or Flush writes
  // together with other items of its job. With `retry` the item stays waiting
  // and may run again. Does not wait for the store.
  void OnItemDone(const std::string& batch, BatchItemResult result, bool retry);
  // Writes the results of all items that are done.
  absl::Status Flush();
  // Writes outstanding results and releases all leases.
  absl::Status Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace trefoilwick
