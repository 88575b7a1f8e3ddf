// Runs a schedule of completions against the entries and records every caller's
// result. Latency is counted from the scheduled arrival, so that a slow system
// or load tool cannot hide waiting time.
#pragma once

// Boost.Asio 1.74 uses std::exchange without its header.
#include <utility>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bench_client.h"
#include "bench_scenario.h"

namespace trefoilwick::bench {

enum class CallerOutcome : uint8_t {
  kPending,
  kFinished,
  // The request was refused and nothing ran.
  kNotRun,
  kIncomplete,
  kUnknown,
  // Accepted (a response began), but no outcome was reported. This is a fault
  // unless the entry was killed.
  kNoOutcome,
  // No response began.
  kNoAnswer,
  // Still in progress at the end of the run and cancelled by the caller.
  kCancelled,
};
inline constexpr auto kCallerOutcomeNames = MakeEnumTable<CallerOutcome>({
    {CallerOutcome::kPending, "pending"},
    {CallerOutcome::kFinished, "finished"},
    {CallerOutcome::kNotRun, "not_run"},
    {CallerOutcome::kIncomplete, "incomplete"},
    {CallerOutcome::kUnknown, "unknown"},
    {CallerOutcome::kNoOutcome, "no_outcome"},
    {CallerOutcome::kNoAnswer, "no_answer"},
    {CallerOutcome::kCancelled, "cancelled"},
});

// All times are in seconds after the start of the run.
struct RequestRecord {
  Job job;
  double sent_at = 0;
  double ended_at = 0;
  // One per token.
  std::vector<double> token_times;
  CallerOutcome outcome = CallerOutcome::kPending;
  // A token differs from the one of answer.h, or the number of tokens from the
  // requested one.
  bool wrong_answer = false;
  std::string request_id;
  std::string address;
  std::string reason;
  int status = 0;
  // Entries that were tried and could not be reached.
  int unreachable_entries = 0;

  bool finished() const { return outcome == CallerOutcome::kFinished; }
  double time_to_first_token() const {
    return token_times.front() - job.arrival_time;
  }
  double total_latency() const { return token_times.back() - job.arrival_time; }
};

struct ScheduledEvent {
  double time = 0;
  std::function<void()> run;
};

struct RunOptions {
  // Time to wait for requests in progress after the last arrival; what is still
  // in progress then is cancelled.
  double drain_seconds = 5;
  // If not 0, arrival times are ignored and this many requests are kept in
  // progress for `seconds`.
  int concurrency = 0;
  double seconds = 0;
  // Run on a separate thread, since they may block.
  std::vector<ScheduledEvent> events;
};

class LoadRunner {
 public:
  LoadRunner(std::string model, std::vector<std::string> entries);
  ~LoadRunner();
  std::vector<RequestRecord> Run(std::vector<Job> jobs,
                                 const RunOptions& options);
  // Start of the run that is in progress.
  std::chrono::steady_clock::time_point start() const { return m_start; }

 private:
  class Stream;
  double Now() const;
  void SendDueRequests();
  void SendRequest(size_t index);
  void OnRequestEnd(size_t index);
  const std::string& PickEntry();
  void Finish();

  std::string m_model;
  std::vector<std::string> m_entries;
  std::set<std::string> m_unreachable;
  size_t m_next_entry = 0;
  boost::asio::io_context m_io;
  Client m_client;
  boost::asio::steady_timer m_arrival_timer;
  boost::asio::steady_timer m_end_timer;
  std::chrono::steady_clock::time_point m_start;
  std::vector<RequestRecord> m_records;
  std::map<size_t, std::shared_ptr<Stream>> m_streams;
  size_t m_next_request = 0;
  RunOptions m_options;
  bool m_finished = false;
};

}  // namespace trefoilwick::bench
