#include "batch_host.h"
#include "runtime.h"

namespace trefoilwick::detail {

namespace {

constexpr std::chrono::milliseconds kPollInterval{500};
// Maximum number of batch items that run at one instance.
constexpr size_t kMaxRunningItems = 32;
// Maximum number of attempts for an item that is refused or interrupted.
constexpr int kMaxAttempts = 10;
constexpr std::chrono::seconds kRetryDelay{1};

}  // namespace

BatchHost::BatchHost(Runtime& runtime)
    : m_runtime(runtime),
      m_runner(
          runtime.clock,
          *runtime.store,
          *runtime.objects,
          runtime.settings.id + "/" + std::to_string(runtime.incarnation)) {}

void BatchHost::Start() {
  m_runtime.control_loop.PostEvery(kPollInterval, [this] { PollForItems(); });
}

void BatchHost::StopTakingItems() {
  m_draining.store(true);
}

void BatchHost::PollForItems() {
  const auto table = m_runtime.table.Load();
  if (m_polling.exchange(true))
    return;
  const bool posted = m_runtime.store_pool.TryPost([this] {
    if (m_draining.load()) {
      if (m_running_items.load() == 0)
        m_idle.store(m_runner.Stop().ok());
    } else {
      const auto work_items = m_runner.PollForItems(kMaxRunningItems);
      m_running_items.fetch_add(static_cast<int>(work_items.size()));
      if (!work_items.empty())
        m_idle.store(false);
      for (const BatchRunner::WorkItem& work : work_items)
        m_runtime.entry_loop.Post([this, work] { RunItem(work); });
    }
    m_polling.store(false);
  });
  if (!posted)
    m_polling.store(false);
}

void BatchHost::RunItem(const BatchRunner::WorkItem& work) {
  const auto table = m_runtime.table.Load();
  const WorkKind* kind = table ? table->FindKind(work.kind) : nullptr;
  const Account* account = table ? table->FindAccount(work.account) : nullptr;
  if (!kind || !account) {
    m_attempts[{work.batch, work.index}] = kMaxAttempts;
    OnItemEnd(work, "", Outcome::kNotRun, "removed_from_table");
    return;
  }
  Submission submission;
  submission.account = account->name;
  submission.account_weight = account->weight;
  submission.kind = kind->name;
  submission.kind_weight = kind->weight;
  submission.kind_floor = kind->floor;
  submission.rank = kind->rank;
  submission.prompt = work.item.prompt;
  submission.max_tokens = work.item.max_tokens;
  submission.fingerprint = Fingerprint(work.model, work.item.prompt);
  submission.first_token_target = kind->first_token_target;
  submission.between_tokens_target = kind->between_tokens_target;
  auto text = std::make_shared<std::string>();
  m_runtime.entry->Accept(std::move(submission), work.model,
                          [this, work, text](const CallerUpdate& update) {
                            for (const std::string& token : update.tokens)
                              *text += (text->empty() ? "" : " ") + token;
                            if (update.outcome != Outcome::kRunning)
                              OnItemEnd(work, *text, update.outcome,
                                        update.reason);
                          });
}

void BatchHost::OnItemEnd(const BatchRunner::WorkItem& work,
                          const std::string& text,
                          Outcome outcome,
                          const std::string& reason) {
  int& attempts = m_attempts[{work.batch, work.index}];
  ++attempts;
  const bool finished = outcome == Outcome::kFinished;
  const bool retry =
      !finished && reason != "quarantined" && attempts < kMaxAttempts;
  BatchItemResult result;
  result.index = work.index;
  result.state = finished ? ItemState::kFinished : ItemState::kNotFinished;
  result.text = finished ? text : "";
  result.reason = finished ? "" : reason;
  if (!retry)
    m_attempts.erase({work.batch, work.index});
  const auto report = [this, batch = work.batch, result, retry] {
    m_runner.OnItemDone(batch, result, retry);
    m_running_items.fetch_sub(1);
  };
  // A refused item is retried after a delay, so that it does not add to an
  // overload.
  if (retry)
    m_runtime.entry_loop.PostAfter(kRetryDelay, report);
  else
    report();
}

}  // namespace trefoilwick::detail
