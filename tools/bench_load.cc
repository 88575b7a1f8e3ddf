#include "bench_load.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "answer.h"

namespace trefoilwick::bench {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kMaxUnreachableEntries = 8;

CallerOutcome ParseOutcome(const std::string& name) {
  if (name == "not_run")
    return CallerOutcome::kNotRun;
  if (name == "incomplete")
    return CallerOutcome::kIncomplete;
  return CallerOutcome::kUnknown;
}

std::string CompletionBody(const std::string& model, const Job& job) {
  return json{{"model", model},
              {"kind", job.kind},
              {"prompt", job.prompt},
              {"max_tokens", job.tokens},
              {"stream", true}}
      .dump();
}

Clock::duration Seconds(double seconds) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

// One streamed completion: reads its events and checks every token.
class LoadRunner::Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(LoadRunner& runner, size_t index)
      : m_runner(runner),
        m_index(index),
        m_answer_hash(StartAnswerHash(record().job.account)) {
    for (const std::string& word : SplitWords(record().job.prompt))
      m_answer_hash = ExtendAnswerHash(m_answer_hash, word);
  }

  void Start() {
    record().address = m_runner.PickEntry();
    record().sent_at = m_runner.Now();
    Call call;
    call.address = record().address;
    call.path = "/v1/completions";
    call.bearer_token = "key-" + record().job.account;
    call.body = CompletionBody(m_runner.m_model, record().job);
    CallHandlers handlers;
    handlers.on_headers = [self = shared_from_this()](int status,
                                                      const std::string& id) {
      self->record().status = status;
      self->record().request_id = id;
    };
    handlers.on_data = [self = shared_from_this()](std::string_view data) {
      self->OnData(data);
    };
    handlers.on_end = [self = shared_from_this()](CallEndReason end) {
      self->OnEnd(end);
    };
    m_exchange = m_runner.m_client.Send(std::move(call), std::move(handlers));
  }

  void Cancel() {
    Client::Cancel(m_exchange);
    record().outcome = CallerOutcome::kCancelled;
    record().ended_at = m_runner.Now();
  }

 private:
  RequestRecord& record() { return m_runner.m_records[m_index]; }

  void OnData(std::string_view data) {
    m_text += data;
    if (record().status != 200)
      return;
    size_t begin = 0;
    for (size_t end = 0;
         (end = m_text.find("\n\n", begin)) != std::string::npos;
         begin = end + 2)
      OnEvent(std::string_view(m_text).substr(begin, end - begin));
    m_text.erase(0, begin);
  }

  void OnEvent(std::string_view event) {
    // Comments keep a stream open that has no tokens yet.
    if (event.rfind(':', 0) == 0)
      return;
    if (event == "data: [DONE]") {
      record().outcome = CallerOutcome::kFinished;
      return;
    }
    if (event.rfind("event: error", 0) == 0) {
      OnProblem(std::string(event.substr(event.find("data: ") + 6)));
      return;
    }
    const json body = json::parse(event.substr(6), nullptr, false);
    if (!body.is_object() || !body.contains("choices")) {
      record().wrong_answer = true;
      return;
    }
    std::string token = body["choices"][0].value("text", "");
    if (!token.empty() && token.front() == ' ')
      token.erase(0, 1);
    CheckToken(token, body.value("token_index", -1));
  }

  void CheckToken(const std::string& token, int index) {
    RequestRecord& r = record();
    if (token != TokenOfHash(m_answer_hash) ||
        index != static_cast<int>(r.token_times.size()) || r.finished())
      r.wrong_answer = true;
    m_answer_hash = ExtendAnswerHash(m_answer_hash, token);
    r.token_times.push_back(m_runner.Now());
  }

  void OnProblem(const std::string& text) {
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
      return;
    record().outcome = ParseOutcome(body.value("outcome", ""));
    record().reason = body.value("type", "");
  }

  void OnEnd(CallEndReason end) {
    RequestRecord& r = record();
    if (end == CallEndReason::kNotConnected &&
        r.unreachable_entries < kMaxUnreachableEntries) {
      // The request was not sent, so the caller tries the next address.
      ++r.unreachable_entries;
      m_runner.m_unreachable.insert(r.address);
      Start();
      return;
    }
    if (r.status != 0 && r.status != 200)
      OnProblem(m_text);
    if (r.outcome == CallerOutcome::kPending)
      r.outcome =
          r.status == 0 ? CallerOutcome::kNoAnswer : CallerOutcome::kNoOutcome;
    if (r.finished() &&
        r.token_times.size() != static_cast<size_t>(r.job.tokens))
      r.wrong_answer = true;
    r.ended_at = m_runner.Now();
    m_runner.OnRequestEnd(m_index);
  }

  LoadRunner& m_runner;
  size_t m_index;
  uint64_t m_answer_hash;
  std::string m_text;
  std::shared_ptr<Client::Exchange> m_exchange;
};

LoadRunner::LoadRunner(std::string model, std::vector<std::string> entries)
    : m_model(std::move(model)),
      m_entries(std::move(entries)),
      m_client(m_io),
      m_arrival_timer(m_io),
      m_end_timer(m_io) {}

LoadRunner::~LoadRunner() = default;

double LoadRunner::Now() const {
  return std::chrono::duration<double>(Clock::now() - m_start).count();
}

const std::string& LoadRunner::PickEntry() {
  for (size_t i = 0; i < m_entries.size(); ++i) {
    const std::string& entry = m_entries[m_next_entry++ % m_entries.size()];
    if (m_unreachable.count(entry) == 0)
      return entry;
  }
  return m_entries[m_next_entry++ % m_entries.size()];
}

void LoadRunner::SendRequest(size_t index) {
  auto stream = std::make_shared<Stream>(*this, index);
  m_streams[index] = stream;
  stream->Start();
}

// Sends all requests that are due and waits for the next arrival.
void LoadRunner::SendDueRequests() {
  const double now = Now();
  while (m_next_request < m_records.size() &&
         m_records[m_next_request].job.arrival_time <= now)
    SendRequest(m_next_request++);
  if (m_next_request == m_records.size()) {
    m_end_timer.expires_after(Seconds(m_options.drain_seconds));
    m_end_timer.async_wait([this](boost::system::error_code error) {
      if (!error)
        Finish();
    });
    if (m_streams.empty())
      Finish();
    return;
  }
  m_arrival_timer.expires_at(
      m_start + Seconds(m_records[m_next_request].job.arrival_time));
  m_arrival_timer.async_wait([this](boost::system::error_code error) {
    if (!error)
      SendDueRequests();
  });
}

void LoadRunner::OnRequestEnd(size_t index) {
  // Posted, since the stream is still running one of its handlers.
  boost::asio::post(m_io, [this, index] {
    m_streams.erase(index);
    if (m_finished)
      return;
    if (m_options.concurrency > 0 && m_next_request < m_records.size()) {
      m_records[m_next_request].job.arrival_time = Now();
      SendRequest(m_next_request++);
    } else if (m_next_request == m_records.size() && m_streams.empty()) {
      Finish();
    }
  });
}

void LoadRunner::Finish() {
  m_finished = true;
  for (auto& [index, stream] : m_streams)
    stream->Cancel();
  m_end_timer.cancel();
  m_arrival_timer.cancel();
  m_io.stop();
}

std::vector<RequestRecord> LoadRunner::Run(std::vector<Job> jobs,
                                           const RunOptions& options) {
  m_options = options;
  m_finished = false;
  m_next_request = 0;
  m_unreachable.clear();
  m_records.clear();
  m_records.reserve(jobs.size());
  for (Job& job : jobs) {
    m_records.emplace_back();
    m_records.back().job = std::move(job);
  }
  m_start = Clock::now();
  std::thread events([this] {
    for (const ScheduledEvent& event : m_options.events) {
      std::this_thread::sleep_until(m_start + Seconds(event.time));
      event.run();
    }
  });
  m_io.restart();
  if (options.concurrency > 0) {
    for (int i = 0; i < options.concurrency; ++i) {
      m_records[m_next_request].job.arrival_time = Now();
      SendRequest(m_next_request++);
    }
    m_end_timer.expires_after(Seconds(options.seconds));
    m_end_timer.async_wait([this](boost::system::error_code error) {
      if (!error)
        Finish();
    });
  } else {
    boost::asio::post(m_io, [this] { SendDueRequests(); });
  }
  m_io.run();
  events.join();
  m_streams.clear();
  std::vector<RequestRecord> records = std::move(m_records);
  // Drops the records of requests that were never sent.
  records.resize(m_next_request);
  return records;
}

}  // namespace trefoilwick::bench
