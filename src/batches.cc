#include "trefoilwick/batches.h"

#include <algorithm>
#include <cctype>

#include "batches_rows.h"

namespace trefoilwick {

using detail::BatchRow;

namespace {

// Attempts to determine the outcome of a submission whose response was lost.
constexpr int kMaxSubmitAttempts = 3;

absl::Status CheckId(const std::string& id) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
  };
  if (id.empty() || !std::all_of(id.begin(), id.end(), allowed))
    return MakeStatus(absl::StatusCode::kInvalidArgument, "bad batch id");
  return absl::OkStatus();
}

// Two seeds make a hash collision between different jobs negligible.
std::string ComputeDigest(const BatchSpec& spec, const std::string& items) {
  const std::string text =
      spec.account + '\n' + spec.kind + '\n' + spec.model + '\n' + items;
  return std::to_string(StableHash(text, 1)) + "-" +
         std::to_string(StableHash(text, 2));
}

// Items without a row are never run, so a failed write means that the job was
// not accepted. An object that exists may belong to an earlier submission of
// the same job, which may have been accepted.
absl::Status StoreItems(ObjectStore& objects,
                        const std::string& id,
                        const std::string& bytes) {
  const std::string name = detail::ItemsObjectName(id);
  absl::Status put = objects.PutObject(name, bytes, true);
  if (put.code() == absl::StatusCode::kFailedPrecondition) {
    const auto stored = objects.GetObject(name);
    if (stored.ok() && *stored != bytes)
      return put;
    if (!stored.ok())
      return MakeStatus(absl::StatusCode::kUnknown, "submitted before");
    return absl::OkStatus();
  }
  if (put.code() == absl::StatusCode::kUnknown)
    return MakeStatus(absl::StatusCode::kUnavailable, "items not stored");
  return put;
}

absl::Status InsertRow(TableService& store, const BatchRow& row) {
  const std::string open = detail::OpenBatchKey(row.id);
  const StoreTransaction insert{
      {{kBatchTable, open, 0}, {kBatchTable, detail::DoneBatchKey(row.id), 0}},
      {{kBatchTable, open, detail::EncodeBatchRow(row), false}}};
  bool outcome_unknown = false;
  for (int i = 0; i < kMaxSubmitAttempts; ++i) {
    absl::Status status = store.Transact(insert).status();
    if (status.ok())
      return status;
    const bool exists = status.code() == absl::StatusCode::kFailedPrecondition;
    if (!exists && status.code() != absl::StatusCode::kUnknown)
      return outcome_unknown
                 ? MakeStatus(absl::StatusCode::kUnknown, "response lost")
                 : status;
    outcome_unknown = true;
    const auto stored = detail::ReadBatchRow(store, row.id);
    if (stored.ok())
      return stored->row.digest == row.digest
                 ? absl::OkStatus()
                 : MakeStatus(absl::StatusCode::kFailedPrecondition,
                              "the id belongs to another job");
  }
  return MakeStatus(absl::StatusCode::kUnknown, "response lost");
}

}  // namespace

absl::Status SubmitBatch(const Clock& clock,
                         TableService& store,
                         ObjectStore& objects,
                         const BatchSpec& spec) {
  if (absl::Status status = CheckId(spec.id); !status.ok())
    return status;
  const std::string items = detail::EncodeItems(spec.items);
  if (absl::Status status = StoreItems(objects, spec.id, items); !status.ok())
    return status;
  BatchRow row;
  row.id = spec.id;
  row.account = spec.account;
  row.kind = spec.kind;
  row.model = spec.model;
  row.digest = ComputeDigest(spec, items);
  row.submitted_unix_ms = clock.UnixMillis();
  row.submitted = static_cast<int>(spec.items.size());
  return InsertRow(store, row);
}

absl::StatusOr<BatchSpec> GetBatch(TableService& store,
                                   ObjectStore& objects,
                                   const std::string& id) {
  const auto batch = detail::ReadBatchRow(store, id);
  if (!batch.ok())
    return batch.status();
  auto items = detail::ReadItems(objects, id);
  if (!items.ok())
    return items.status();
  return BatchSpec{id, batch->row.account, batch->row.kind, batch->row.model,
                   *std::move(items)};
}

absl::StatusOr<BatchCounts> GetBatchCounts(TableService& store,
                                           const std::string& id) {
  const auto batch = detail::ReadBatchRow(store, id);
  if (!batch.ok())
    return batch.status();
  const BatchRow& row = batch->row;
  return BatchCounts{row.submitted, row.finished, row.not_finished,
                     row.waiting()};
}

absl::StatusOr<std::vector<BatchItemResult>> ListBatchItems(
    TableService& store,
    ObjectStore& objects,
    const std::string& id) {
  const auto batch = detail::ReadBatchRow(store, id);
  if (!batch.ok())
    return batch.status();
  return detail::ReadResults(objects, batch->row);
}

absl::StatusOr<std::string> GetBatchReport(TableService& store,
                                           ObjectStore& objects,
                                           const std::string& id) {
  const auto batch = detail::ReadBatchRow(store, id);
  if (!batch.ok())
    return batch.status();
  if (batch->row.report_object.empty())
    return MakeStatus(absl::StatusCode::kNotFound, "items are waiting");
  return objects.GetObject(batch->row.report_object);
}

}  // namespace trefoilwick
