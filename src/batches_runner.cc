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

constexpr Duration kLease = std::chrono::seconds(30);
constexpr Duration kRenewAfter = std::chrono::seconds(10);
// Time between two looks for jobs: 350 instances scan 70 times a second.
constexpr Duration kScanEvery = std::chrono::seconds(5);
constexpr int kScanRows = 100;
// Results are written when this many are collected or the first is this old.
constexpr size_t kGroupItems = 100;
constexpr Duration kGroupAge = std::chrono::seconds(2);
// Unwritten results of a job beyond which no more of its items are started.
constexpr size_t kMaxUnwritten = 4 * kGroupItems;
constexpr int kFlushRounds = 4;

// Results that are being written. The content of a sequence number is fixed
// once it was sent: an earlier copy may still take effect.
struct Group {
  std::string name;
  std::vector<BatchItemResult> results;
  bool stored = false;
};

struct Job {
  BatchRow row;
  int64_t version = 0;
  // Monotonic time until which no other instance takes the job.
  TimePoint lease_end{};
  TimePoint renewed{};
  bool loaded = false;
  bool reported_loss = false;
  std::vector<BatchItem> items;
  // Every item; waiting where no outcome is known to this holder.
  std::vector<BatchItemResult> results;
  std::deque<int> queue;
  std::set<int> running;
  std::vector<BatchItemResult> collected;
  TimePoint first_collected{};
  std::optional<Group> group;
  int64_t next_sequence = 1;

  size_t Unwritten() const {
    return collected.size() + (group ? group->results.size() : 0);
  }
  bool AllDone() const {
    return loaded && queue.empty() && running.empty() && collected.empty();
  }
};

struct Done {
  std::string batch;
  BatchItemResult result;
  bool retry = false;
};

std::string MakeHolderName(const std::string& instance) {
  // A restarted instance may keep its name; it must not take the lease of its
  // predecessor for its own.
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
        m_holder(MakeHolderName(instance)) {}

  std::vector<WorkItem> Poll(size_t limit) {
    TakeInbox();
    // What the store did not accept is written by a later poll.
    (void)MaintainAll(false);
    if (Queued() + m_outstanding.size() < limit)
      TakeJobs(limit);
    return HandOut(limit);
  }

  void OnItemDone(const std::string& batch,
                  BatchItemResult result,
                  bool retry) {
    std::lock_guard lock(m_inbox_mutex);
    m_inbox.push_back({batch, std::move(result), retry});
  }

  absl::Status Flush() {
    TakeInbox();
    return MaintainAll(true);
  }

  absl::Status Stop() {
    absl::Status status = Flush();
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
      absl::Status given_up = Commit(it->second, true);
      if (!given_up.ok())
        status = given_up;
      it = m_jobs.erase(it);
    }
    return status;
  }

 private:
  enum class Held : uint8_t { kYes, kNo };

  void TakeInbox() {
    std::deque<Done> inbox;
    {
      std::lock_guard lock(m_inbox_mutex);
      inbox.swap(m_inbox);
    }
    for (Done& done : inbox) {
      m_outstanding.erase({done.batch, done.result.index});
      auto it = m_jobs.find(done.batch);
      // A result for a job that passed to another holder is dropped: that
      // holder runs the item itself.
      if (it != m_jobs.end())
        Collect(it->second, std::move(done));
    }
  }

  void Collect(Job& job, Done done) {
    if (job.running.erase(done.result.index) == 0)
      return;
    if (done.retry) {
      job.queue.push_back(done.result.index);
      return;
    }
    if (done.result.state == ItemState::kWaiting)
      done.result.state = ItemState::kNotFinished;
    if (job.collected.empty())
      job.first_collected = m_clock.Now();
    job.results[static_cast<size_t>(done.result.index)] = done.result;
    job.collected.push_back(std::move(done.result));
  }

  absl::Status MaintainAll(bool flush) {
    absl::Status status;
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
      Held held = Held::kYes;
      const absl::Status done = Maintain(it->second, flush, held);
      if (!done.ok())
        status = done;
      it = held == Held::kYes ? std::next(it) : m_jobs.erase(it);
    }
    return status;
  }

  absl::Status Maintain(Job& job, bool flush, Held& held) {
    const TimePoint now = m_clock.Now();
    absl::Status status;
    if (!job.loaded)
      status = Load(job);
    const bool group_due =
        job.group || job.collected.size() >= kGroupItems ||
        (!job.collected.empty() &&
         (flush || now - job.first_collected >= kGroupAge)) ||
        (job.loaded && job.queue.empty() && job.running.empty());
    if (group_due || now - job.renewed >= kRenewAfter)
      status = Commit(job, false);
    // A group left by an earlier failure may have gone first.
    for (int i = 0; flush && status.ok() && i < kFlushRounds; ++i) {
      if (job.Unwritten() != 0 && IsHeld(job))
        status = Commit(job, false);
    }
    if (!IsHeld(job))
      held = Held::kNo;
    return status;
  }

  bool IsHeld(const Job& job) const {
    return job.row.lease_holder == m_holder && job.row.report_object.empty();
  }

  absl::Status Load(Job& job) {
    absl::Status status = ReadObjects(job);
    if (status.code() == absl::StatusCode::kDataLoss && !job.reported_loss) {
      job.reported_loss = true;
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
        job.queue.push_back(result.index);
    job.loaded = true;
    return absl::OkStatus();
  }

  // Writes the next group, if any, and renews or gives up the lease; moves the
  // job to done when no item is left. What fails is tried again by the next
  // call.
  absl::Status Commit(Job& job, bool release) {
    if (!job.group && !job.collected.empty())
      MakeGroup(job);
    if (absl::Status status = StoreGroup(job); !status.ok())
      return status;
    BatchRow next = job.row;
    if (job.group)
      AddGroup(next, *job.group);
    const TimePoint now = m_clock.Now();
    next.lease_expiry_unix_ms = LeaseEnd(m_clock.UnixMillis());
    if (next.waiting() == 0 && job.AllDone()) {
      if (absl::Status status = StoreReport(job, next); !status.ok())
        return status;
    } else if (release) {
      next.lease_holder.clear();
      next.lease_expiry_unix_ms = 0;
    }
    return WriteRow(job, next, now);
  }

  static int64_t LeaseEnd(int64_t unix_ms) {
    return unix_ms +
           std::chrono::duration_cast<std::chrono::milliseconds>(kLease)
               .count();
  }

  static void MakeGroup(Job& job) {
    job.group = Group{std::to_string(job.row.fencing_token) + "-" +
                          std::to_string(job.next_sequence++),
                      std::move(job.collected)};
    job.collected.clear();
  }

  // The name holds the fencing number, which belongs to one holder: an object
  // that exists is an earlier copy of the same content.
  absl::Status PutOnce(const std::string& name, const std::string& bytes) {
    absl::Status status = m_objects.PutObject(name, bytes, true);
    if (status.code() == absl::StatusCode::kFailedPrecondition)
      return absl::OkStatus();
    return status;
  }

  absl::Status StoreGroup(Job& job) {
    if (!job.group || job.group->stored)
      return absl::OkStatus();
    absl::Status status =
        PutOnce(detail::ResultGroupObjectName(job.row.id, job.group->name),
                detail::EncodeResults(job.group->results));
    job.group->stored = status.ok();
    return status;
  }

  static void AddGroup(BatchRow& row, const Group& group) {
    row.result_groups.push_back(group.name);
    for (const BatchItemResult& result : group.results)
      ++(result.state == ItemState::kFinished ? row.finished
                                              : row.not_finished);
  }

  absl::Status StoreReport(const Job& job, BatchRow& next) {
    next.lease_holder.clear();
    next.lease_expiry_unix_ms = 0;
    next.report_object = detail::ReportObjectName(next.id, next.fencing_token);
    return PutOnce(next.report_object, detail::EncodeReport(next, job.results));
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
      Adopt(job, next, versions->front(), now);
      return absl::OkStatus();
    }
    if (versions.status().code() == absl::StatusCode::kUnavailable)
      return versions.status();
    return Reread(job);
  }

  // The row is known to be `row`, written under a lease that began at `start`.
  static void Adopt(Job& job,
                    const BatchRow& row,
                    int64_t version,
                    TimePoint start) {
    job.row = row;
    job.version = version;
    job.lease_end = start + kLease;
    job.renewed = start;
    if (job.group && !row.result_groups.empty() &&
        row.result_groups.back() == job.group->name)
      job.group.reset();
  }

  // Finds out what became of a write whose answer was lost or whose check
  // failed.
  absl::Status Reread(Job& job) {
    const auto batch = detail::ReadBatchRow(m_store, job.row.id);
    if (!batch.ok())
      return batch.status();
    const bool written = batch->version != job.version;
    if (batch->row.lease_holder == m_holder &&
        batch->row.fencing_token == job.row.fencing_token) {
      // Counts the lease from the last certain renewal; the next commit
      // renews it.
      if (written)
        Adopt(job, batch->row, batch->version, job.renewed);
      return written ? absl::OkStatus()
                     : MakeStatus(absl::StatusCode::kUnavailable,
                                  "not written yet");
    }
    const bool ours = batch->row.fencing_token == job.row.fencing_token;
    job.row = batch->row;
    if (ours)
      return absl::OkStatus();
    LogStateChange("batches", "lease_lost", {{"batch", job.row.id}});
    return MakeStatus(absl::StatusCode::kFailedPrecondition, "lease lost");
  }

  size_t Queued() const {
    size_t queued = 0;
    for (const auto& [id, job] : m_jobs)
      queued += job.queue.size();
    return queued;
  }

  void TakeJobs(size_t limit) {
    const TimePoint now = m_clock.Now();
    if (m_next_scan && now < *m_next_scan)
      return;
    m_next_scan = now + kScanEvery;
    const std::string prefix = detail::OpenBatchKey("");
    auto rows = m_store.Scan(kBatchTable, prefix, m_scan_after, kScanRows);
    if (!rows.ok())
      return;
    // Continues behind the last row next time, then from the start.
    m_scan_after = rows->size() < kScanRows ? "" : rows->back().key;
    std::sort(rows->begin(), rows->end(),
              [&](const StoreRow& a, const StoreRow& b) {
                return Order(a.key) < Order(b.key);
              });
    for (const StoreRow& row : *rows) {
      if (Queued() + m_outstanding.size() >= limit)
        return;
      Take(row);
    }
  }

  // Instances look at jobs in different orders, so that they rarely compete.
  uint64_t Order(const std::string& key) const {
    return StableHash(key + m_holder);
  }

  void Take(const StoreRow& stored) {
    auto row = detail::DecodeBatchRow(stored.value);
    if (!row.ok() || m_jobs.count(row->id) != 0)
      return;
    const TimePoint now = m_clock.Now();
    const int64_t unix_ms = m_clock.UnixMillis();
    // A row that names this holder is a taking whose answer was lost; it is
    // taken again under a new fencing number.
    if (!row->lease_holder.empty() && row->lease_holder != m_holder &&
        unix_ms < row->lease_expiry_unix_ms)
      return;
    row->lease_holder = m_holder;
    ++row->fencing_token;
    row->lease_expiry_unix_ms = LeaseEnd(unix_ms);
    const auto versions = m_store.Transact(
        {{{kBatchTable, stored.key, stored.version}},
         {{kBatchTable, stored.key, detail::EncodeBatchRow(*row), false}}});
    if (!versions.ok())
      return;
    Job& job = m_jobs[row->id];
    Adopt(job, *row, versions->front(), now);
    (void)Load(job);
  }

  std::vector<WorkItem> HandOut(size_t limit) {
    std::vector<WorkItem> work;
    for (auto& [id, job] : m_jobs) {
      while (m_outstanding.size() < limit && !job.queue.empty() &&
             job.Unwritten() + job.running.size() < kMaxUnwritten &&
             m_clock.Now() < job.lease_end) {
        const int index = job.queue.front();
        job.queue.pop_front();
        job.running.insert(index);
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
  const std::string m_holder;
  std::map<std::string, Job> m_jobs;
  // Items handed out, those of jobs lost since included.
  std::set<std::pair<std::string, int>> m_outstanding;
  std::optional<TimePoint> m_next_scan;
  std::string m_scan_after;
  std::mutex m_inbox_mutex;
  std::deque<Done> m_inbox;
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
