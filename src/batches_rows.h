// Rows and objects of batch jobs. A job is the row "open/ID" while items are
// waiting and "done/ID" afterwards, so that a scan for work reads only open
// jobs. A result object is valid only once the row names it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trefoilwick/batches.h"

namespace trefoilwick::detail {

struct BatchRow {
  std::string id;
  std::string account;
  std::string kind;
  std::string model;
  // Digest of the items object.
  std::string digest;
  int64_t submitted_unix_ms = 0;
  int submitted = 0;
  int finished = 0;
  int not_finished = 0;
  // Empty when no instance holds the lease.
  std::string lease_holder;
  // Increases with every change of the lease holder.
  int64_t fencing_token = 0;
  int64_t lease_expiry_unix_ms = 0;
  // "FENCING_TOKEN-SEQUENCE" of each result object, in order.
  std::vector<std::string> result_groups;
  // Name of the report object; set when no item is waiting.
  std::string report_object;
  bool operator==(const BatchRow&) const = default;

  int waiting() const { return submitted - finished - not_finished; }
};

// A row and the version at which it was read.
struct VersionedBatch {
  BatchRow row;
  int64_t version = 0;
};

std::string OpenBatchKey(const std::string& id);
std::string DoneBatchKey(const std::string& id);
std::string ItemsObjectName(const std::string& id);
std::string ResultGroupObjectName(const std::string& id,
                                  const std::string& group);
std::string ReportObjectName(const std::string& id, int64_t fencing_token);

std::string EncodeBatchRow(const BatchRow& row);
absl::StatusOr<BatchRow> DecodeBatchRow(const std::string& bytes);
std::string EncodeItems(const std::vector<BatchItem>& items);
absl::StatusOr<std::vector<BatchItem>> DecodeItems(const std::string& bytes);
std::string EncodeResults(const std::vector<BatchItemResult>& results);
absl::StatusOr<std::vector<BatchItemResult>> DecodeResults(
    const std::string& bytes);
// `results` holds every item of the job.
std::string EncodeReport(const BatchRow& row,
                         const std::vector<BatchItemResult>& results);

// Reads the row of a job, open or done.
absl::StatusOr<VersionedBatch> ReadBatchRow(TableService& store,
                                            const std::string& id);
absl::StatusOr<std::vector<BatchItem>> ReadItems(ObjectStore& objects,
                                                 const std::string& id);
// Returns one result per submitted item; an item is kWaiting when no object
// named by the row has its result.
absl::StatusOr<std::vector<BatchItemResult>> ReadResults(ObjectStore& objects,
                                                         const BatchRow& row);

}  // namespace trefoilwick::detail
