#include <algorithm>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <set>

#include "batches_rows.h"
#include "trefoilwick/batches.h"

namespace trefoilwick {

using detail::BatchRow;

namespace {

constexpr Duration kLeaseDuration = std::chrono::seconds(30);
constexpr Duration kLeaseRenewInterval = std::chrono::seconds(10);
// At 350 instances this gives 70 scans per second.
constexpr Duration kScanInterval = std::chrono::seconds(5);
constexpr int kMaxScannedRows = 100;
// A group of results is written when it has this many items or its first result
// is this old.
constexpr size_t kMaxGroupItems = 100;
constexpr Duration kMaxGroupAge = std::chrono::seconds(2);
// No more items of a job are started while it has this many unwritten results.
constexpr size_t kMaxUnwrittenResults = 4 * kMaxGroupItems;
constexpr int kMaxFlushCommits = 4;

// Results that are being written. The content under a sequence number is fixed
// once it was sent, since an earlier write may still take effect.
struct ResultGroup {
  std::string name;
  std::vector<BatchItemResult> results;
  bool stored = false;
};

struct Job {
  BatchRow row;
  int64_t version = 0;
  // Monotonic time until which no other instance acquires the lease.
  TimePoint lease_expires_at{};
  TimePoint renewed_at{};
  bool loaded = false;
  bool data_loss_reported = false;
  std::vector<BatchItem> items;
  // One result per item; kWaiting when this holder knows no outcome.
  std::vector<BatchItemResult> results;
  std::deque<int> queued_indexes;
  std::set<int> running_indexes;
  std::vector<BatchItemResult> collected_results;
  TimePoint first_collected_at{};
  std::optional<ResultGroup> group;
  int64_t next_sequence = 1;

  size_t UnwrittenCount() const {
    return collected_results.size() + (group ? group->results.size() : 0);
  }
  bool HasNoOpenItems() const {
    return loaded && queued_indexes.empty() && running_indexes.empty() &&
           collected_results.empty();
  }
};

struct CompletedItem {
  std::string batch;
  BatchItemResult result;
  bool retry = false;
};

std::string MakeLeaseHolderName(const std::string& instance) {
  // A restarted instance may keep its name; it must not treat the lease of its
  // predecessor as its own.
  std::random_device random;
  return instance + "#" + std::to_string(random()) + std::to_string(random());
}

}  // namespace

struct BatchRunner::Impl {
  Impl(const Clock& clock,
       TableService& store,
       ObjectStore& objects,
       const std::string& instance)
      : m_clock(clock),
        m_store(store),
        m_objects(objects),
        m_lease_holder(MakeLeaseHolderName(instance)) {}

  std::vector<WorkItem> Poll(size_t limit) {
    ProcessInbox();
    // A later poll retries writes that failed.
    (void)MaintainAllJobs(false);
    if (QueuedItemCount() + m_outstanding.size() < limit)
      AcquireLeases(limit);
    return SelectItems(limit);
  }

  void OnItemDone(const std::string& batch,
                  BatchItemResult result,
                  bool retry) {
    std::lock_guard lock(m_inbox_mutex);
    m_inbox.push_back({batch, std::move(result), retry});
  }

  absl::Status Flush() {
    ProcessInbox();
    return MaintainAllJobs(true);
  }

  absl::Status Stop() {
    absl::Status status = Flush();
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
      absl::Status release_status = CommitJob(it->second, true);
      if (!release_status.ok())
        status = release_status;
      it = m_jobs.erase(it);
    }
    return status;
  }

 private:
  enum class LeaseState : uint8_t { kHeld, kNotHeld };

  void ProcessInbox() {
    std::deque<CompletedItem> inbox;
    {
      std::lock_guard lock(m_inbox_mutex);
      inbox.swap(m_inbox);
    }
    for (CompletedItem& done : inbox) {
      m_outstanding.erase({done.batch, done.result.index});
      auto it = m_jobs.find(done.batch);
      // A result of a job whose lease passed to another holder is dropped: that
      // holder runs the item itself.
      if (it != m_jobs.end())
        CollectResult(it->second, std::move(done));
    }
  }

  void CollectResult(Job& job, CompletedItem done) {
    if (job.running_indexes.erase(done.result.index) == 0)
      return;
    if (done.retry) {
      job.queued_indexes.push_back(done.result.index);
      return;
    }
    if (done.result.state == ItemState::kWaiting)
      done.result.state = ItemState::kNotFinished;
    if (job.collected_results.empty())
      job.first_collected_at = m_clock.Now();
    job.results[static_cast<size_t>(done.result.index)] = done.result;
    job.collected_results.push_back(std::move(done.result));
  }

  absl::Status MaintainAllJobs(bool flush) {
    absl::Status status;
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
      LeaseState lease_state = LeaseState::kHeld;
      const absl::Status job_status =
          MaintainJob(it->second, flush, lease_state);
      if (!job_status.ok())
        status = job_status;
      it = lease_state == LeaseState::kHeld ? std::next(it) : m_jobs.erase(it);
    }
    return status;
  }

  absl::Status MaintainJob(Job& job, bool flush, LeaseState& lease_state) {
    const TimePoint now = m_clock.Now();
    absl::Status status;
    if (!job.loaded)
      status = LoadJob(job);
    const bool group_due =
        job.group || job.collected_results.size() >= kMaxGroupItems ||
        (!job.collected_results.empty() &&
         (flush || now - job.first_collected_at >= kMaxGroupAge)) ||
        (job.loaded && job.queued_indexes.empty() &&
         job.running_indexes.empty());
    if (group_due || now - job.renewed_at >= kLeaseRenewInterval)
      status = CommitJob(job, false);
    // The first commit may have written a group left by an earlier failure, so
    // the collected results may need another one.
    for (int i = 0; flush && status.ok() && i < kMaxFlushCommits; ++i) {
      if (job.UnwrittenCount() != 0 && HoldsLease(job))
        status = CommitJob(job, false);
    }
    if (!HoldsLease(job))
      lease_state = LeaseState::kNotHeld;
    return status;
  }

  bool HoldsLease(const Job& job) const {
    return job.row.lease_holder == m_lease_holder &&
           job.row.report_object.empty();
  }

  absl::Status LoadJob(Job& job) {
    absl::Status status = ReadObjects(job);
    if (status.code() == absl::StatusCode::kDataLoss &&
        !job.data_loss_reported) {
      job.data_loss_reported = true;
      LogStateChange("batches", "objects_damaged",
                     {{"batch", job.row.id}, {"error", status.ToString()}});
    }
    return status;
  }

  absl::Status ReadObjects(Job& job) {
    auto items = detail::ReadItems(m_objects, job.row.id);
    if (!items.ok())
      return items.status();
    auto results = detail::ReadResults(m_objects, job.row);
    if (!results.ok())
      return results.status();
    if (items->size() != results->size())
      return MakeStatus(absl::StatusCode::kDataLoss, "items do not match row");
    job.items = *std::move(items);
    job.results = *std::move(results);
    for (const BatchItemResult& result : job.results)
      if (result.state == ItemState::kWaiting)
        job.queued_indexes.push_back(result.index);
    job.loaded = true;
    return absl::OkStatus();
  }

  // Writes the next group, if any, and renews or releases the lease; moves the
  // job to "done" when no item is left. The next call retries what failed.
  absl::Status CommitJob(Job& job, bool release) {
    if (!job.group && !job.collected_results.empty())
      BuildGroup(job);
    if (absl::Status status = StoreGroup(job); !status.ok())
      return status;
    BatchRow next = job.row;
    if (job.group)
      AddGroup(next, *job.group);
    const TimePoint now = m_clock.Now();
    next.lease_expiry_unix_ms = LeaseExpiryUnixMs(m_clock.UnixMillis());
    if (next.waiting() == 0 && job.HasNoOpenItems()) {
      if (absl::Status status = StoreReport(job, next); !status.ok())
        return status;
    } else if (release) {
      next.lease_holder.clear();
      next.lease_expiry_unix_ms = 0;
    }
    return WriteRow(job, next, now);
  }

  static int64_t LeaseExpiryUnixMs(int64_t unix_ms) {
    return unix_ms +
           std::chrono::duration_cast<std::chrono::milliseconds>(kLeaseDuration)
               .count();
  }

  static void BuildGroup(Job& job) {
    job.group = ResultGroup{std::to_string(job.row.fencing_token) + "-" +
                                std::to_string(job.next_sequence++),
                            std::move(job.collected_results)};
    job.collected_results.clear();
  }

  // The name contains the fencing token, which belongs to one holder: an object
  // that exists is an earlier copy of the same content.
  absl::Status PutObjectOnce(const std::string& name,
                             const std::string& bytes) {
    absl::Status status = m_objects.PutObject(name, bytes, true);
    if (status.code() == absl::StatusCode::kFailedPrecondition)
      return absl::OkStatus();
    return status;
  }

  absl::Status StoreGroup(Job& job) {
    if (!job.group || job.group->stored)
      return absl::OkStatus();
    absl::Status status = PutObjectOnce(
        detail::ResultGroupObjectName(job.row.id, job.group->name),
        detail::EncodeResults(job.group->results));
    job.group->stored = status.ok();
    return status;
  }

  static void AddGroup(BatchRow& row, const ResultGroup& group) {
    row.result_groups.push_back(group.name);
    for (const BatchItemResult& result : group.results)
      ++(result.state == ItemState::kFinished ? row.finished
                                              : row.not_finished);
  }

  absl::Status StoreReport(const Job& job, BatchRow& next) {
    next.lease_holder.clear();
    next.lease_expiry_unix_ms = 0;
    next.report_object = detail::ReportObjectName(next.id, next.fencing_token);
    return PutObjectOnce(next.report_object,
                         detail::EncodeReport(next, job.results));
  }

  absl::Status WriteRow(Job& job, const BatchRow& next, TimePoint now) {
    const std::string open = detail::OpenBatchKey(next.id);
    const std::string value = detail::EncodeBatchRow(next);
    StoreTransaction write{{{kBatchTable, open, job.version}},
                           {{kBatchTable, open, value, false}}};
    if (!next.report_object.empty()) {
      write.puts.front().erase = true;
      write.puts.push_back(
          {kBatchTable, detail::DoneBatchKey(next.id), value, false});
    }
    const auto versions = m_store.Transact(write);
    if (versions.ok()) {
      ApplyWrittenRow(job, next, versions->front(), now);
      return absl::OkStatus();
    }
    if (versions.status().code() == absl::StatusCode::kUnavailable)
      return versions.status();
    return ResolveWrite(job);
  }

  // Applies a row that is known to be stored, written under a lease that began
  // at `start`.
  static void ApplyWrittenRow(Job& job,
                              const BatchRow& row,
                              int64_t version,
                              TimePoint start) {
    job.row = row;
    job.version = version;
    job.lease_expires_at = start + kLeaseDuration;
    job.renewed_at = start;
    if (job.group && !row.result_groups.empty() &&
        row.result_groups.back() == job.group->name)
      job.group.reset();
  }

  // Reads the row to determine the outcome of a write whose response was lost
  // or whose check failed.
  absl::Status ResolveWrite(Job& job) {
    const auto batch = detail::ReadBatchRow(m_store, job.row.id);
    if (!batch.ok())
      return batch.status();
    const bool written = batch->version != job.version;
    if (batch->row.lease_holder == m_lease_holder &&
        batch->row.fencing_token == job.row.fencing_token) {
      // The lease counts from the last confirmed renewal; the next commit
      // renews it.
      if (written)
        ApplyWrittenRow(job, batch->row, batch->version, job.renewed_at);
      return written ? absl::OkStatus()
                     : MakeStatus(absl::StatusCode::kUnavailable,
                                  "not written yet");
    }
    const bool same_token = batch->row.fencing_token == job.row.fencing_token;
    job.row = batch->row;
    if (same_token)
      return absl::OkStatus();
    LogStateChange("batches", "lease_lost", {{"batch", job.row.id}});
    return MakeStatus(absl::StatusCode::kFailedPrecondition, "lease lost");
  }

  size_t QueuedItemCount() const {
    size_t item_count = 0;
    for (const auto& [id, job] : m_jobs)
      item_count += job.queued_indexes.size();
    return item_count;
  }

  void AcquireLeases(size_t limit) {
    const TimePoint now = m_clock.Now();
    if (m_next_scan && now < *m_next_scan)
      return;
    m_next_scan = now + kScanInterval;
    const std::string prefix = detail::OpenBatchKey("");
    auto rows =
        m_store.Scan(kBatchTable, prefix, m_scan_after_key, kMaxScannedRows);
    if (!rows.ok())
      return;
    // The next scan continues after the last row, or at the start when all rows
    // were read.
    m_scan_after_key = rows->size() < kMaxScannedRows ? "" : rows->back().key;
    std::sort(rows->begin(), rows->end(),
              [&](const StoreRow& a, const StoreRow& b) {
                return ScanOrder(a.key) < ScanOrder(b.key);
              });
    for (const StoreRow& row : *rows) {
      if (QueuedItemCount() + m_outstanding.size() >= limit)
        return;
      AcquireLease(row);
    }
  }

  // Each instance has its own order of jobs, so that instances rarely compete
  // for a lease.
  uint64_t ScanOrder(const std::string& key) const {
    return StableHash(key + m_lease_holder);
  }

  void AcquireLease(const StoreRow& stored) {
    auto row = detail::DecodeBatchRow(stored.value);
    if (!row.ok() || m_jobs.count(row->id) != 0)
      return;
    const TimePoint now = m_clock.Now();
    const int64_t unix_ms = m_clock.UnixMillis();
    // A row that names this holder comes from an acquisition whose response was
    // lost; the lease is acquired again under a new fencing token.
    if (!row->lease_holder.empty() && row->lease_holder != m_lease_holder &&
        unix_ms < row->lease_expiry_unix_ms)
      return;
    row->lease_holder = m_lease_holder;
    ++row->fencing_token;
    row->lease_expiry_unix_ms = LeaseExpiryUnixMs(unix_ms);
    const auto versions = m_store.Transact(
        {{{kBatchTable, stored.key, stored.version}},
         {{kBatchTable, stored.key, detail::EncodeBatchRow(*row), false}}});
    if (!versions.ok())
      return;
    Job& job = m_jobs[row->id];
    ApplyWrittenRow(job, *row, versions->front(), now);
    (void)LoadJob(job);
  }

  std::vector<WorkItem> SelectItems(size_t limit) {
    std::vector<WorkItem> work;
    for (auto& [id, job] : m_jobs) {
      while (m_outstanding.size() < limit && !job.queued_indexes.empty() &&
             job.UnwrittenCount() + job.running_indexes.size() <
                 kMaxUnwrittenResults &&
             m_clock.Now() < job.lease_expires_at) {
        const int index = job.queued_indexes.front();
        job.queued_indexes.pop_front();
        job.running_indexes.insert(index);
        m_outstanding.insert({id, index});
        work.push_back({id, job.row.account, job.row.kind, job.row.model, index,
                        job.items[static_cast<size_t>(index)]});
      }
    }
    return work;
  }

  const Clock& m_clock;
  TableService& m_store;
  ObjectStore& m_objects;
  const std::string m_lease_holder;
  std::map<std::string, Job> m_jobs;
  // Items that are being run, including those of jobs whose lease was lost
  // since.
  std::set<std::pair<std::string, int>> m_outstanding;
  std::optional<TimePoint> m_next_scan;
  std::string m_scan_after_key;
  std::mutex m_inbox_mutex;
  std::deque<CompletedItem> m_inbox;
};

BatchRunner::BatchRunner(const Clock& clock,
                         TableService& store,
                         ObjectStore& objects,
                         const std::string& instance)
    : m_impl(std::make_unique<Impl>(clock, store, objects, instance)) {}

BatchRunner::~BatchRunner() = default;

std::vector<BatchRunner::WorkItem> BatchRunner::PollForItems(size_t limit) {
  return m_impl->Poll(limit);
}

void BatchRunner::OnItemDone(const std::string& batch,
                             BatchItemResult result,
                             bool retry) {
  m_impl->OnItemDone(batch, std::move(result), retry);
}

absl::Status BatchRunner::Flush() {
  return m_impl->Flush();
}

absl::Status BatchRunner::Stop() {
  return m_impl->Stop();
}

}  // namespace trefoilwick
