#include "bench_direct.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "answer.h"

namespace trefoilwick::bench {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

// Runs jobs one after the other on one chain.
class ChainDriver {
 public:
  ChainDriver(Client& client,
              std::vector<Process> stages,
              const std::vector<Job>& jobs)
      : m_client(client), m_stages(std::move(stages)) {
    for (const Job& job : jobs) {
      m_records.emplace_back();
      m_records.back().job = job;
    }
    m_id_prefix = std::to_string(Clock::now().time_since_epoch().count()) +
                  "-" + m_stages.front().id + "-";
  }

  void Start() {
    m_start = Clock::now();
    StartNextJob();
  }
  std::vector<RequestRecord> TakeRecords() { return std::move(m_records); }

 private:
  RequestRecord& record() { return m_records[m_job]; }
  double Now() const {
    return std::chrono::duration<double>(Clock::now() - m_start).count();
  }

  void StartNextJob() {
    if (m_job == m_records.size())
      return;
    record().job.arrival_time = record().sent_at = Now();
    m_input = SplitWords(record().job.prompt);
    m_expected = ExpectedAnswer(record().job.account, record().job.prompt,
                                static_cast<size_t>(record().job.tokens));
    m_position = 0;
    m_stage = 0;
    m_activation.clear();
    SendStep();
  }

  std::string StepBody() const {
    const Process& stage = m_stages[m_stage];
    const RequestRecord& r = m_records[m_job];
    const bool first = m_stage == 0;
    return json{{"epoch", 1},
                {"step", m_id_prefix + std::to_string(m_step_count)},
                {"layers", stage.layers},
                {"items",
                 {{{"request", m_id_prefix + std::to_string(m_job)},
                   {"lineage", "1"},
                   {"user", r.job.account},
                   {"position", m_position},
                   {"count", m_input.size()},
                   {"input", first ? m_input : std::vector<std::string>()},
                   {"activation", m_activation},
                   {"sample", true},
                   {"priority", static_cast<int>(r.job.rank)}}}}}
        .dump();
  }

  void SendStep() {
    ++m_step_count;
    m_reply.clear();
    Call call;
    call.address = m_stages[m_stage].address;
    call.path = "/v1/step";
    call.body = StepBody();
    CallHandlers handlers;
    handlers.on_data = [this](std::string_view data) { m_reply += data; };
    handlers.on_end = [this](CallEndReason end) { OnReply(end); };
    m_client.Send(std::move(call), std::move(handlers));
  }

  void OnReply(CallEndReason end) {
    const json reply = json::parse(m_reply, nullptr, false);
    if (end != CallEndReason::kComplete || !reply.is_object() ||
        !reply.contains("items")) {
      EndJob(CallerOutcome::kIncomplete);
      return;
    }
    const json& item = reply["items"][0];
    m_activation = item.value("activation", "");
    if (++m_stage < m_stages.size())
      SendStep();
    else
      OnToken(item.value("token", ""));
  }

  void OnToken(const std::string& token) {
    RequestRecord& r = record();
    r.wrong_answer =
        r.wrong_answer || token != m_expected[r.token_times.size()];
    r.token_times.push_back(Now());
    if (r.token_times.size() == m_expected.size()) {
      EndJob(CallerOutcome::kFinished);
      return;
    }
    m_position += static_cast<int>(m_input.size());
    m_input = {token};
    m_stage = 0;
    m_activation.clear();
    SendStep();
  }

  void EndJob(CallerOutcome outcome) {
    record().outcome = outcome;
    record().ended_at = Now();
    for (const Process& stage : m_stages)
      m_client.Send({stage.address, "POST", "/v1/release", "",
                     json{{"items",
                           {{{"request", m_id_prefix + std::to_string(m_job)},
                             {"lineage", "1"}}}}}
                         .dump()},
                    {});
    ++m_job;
    StartNextJob();
  }

  Client& m_client;
  std::vector<Process> m_stages;
  std::vector<RequestRecord> m_records;
  std::string m_id_prefix;
  Clock::time_point m_start;
  size_t m_job = 0;
  size_t m_stage = 0;
  uint64_t m_step_count = 0;
  int m_position = 0;
  std::vector<std::string> m_input;
  std::vector<std::string> m_expected;
  std::string m_activation;
  std::string m_reply;
};

void SetIgnoreEpochs(const Fleet& fleet,
                     const std::vector<ChainInfo>& chains,
                     bool ignore) {
  for (const ChainInfo& chain : chains)
    for (const std::string& stage : chain.stages)
      fleet.SetFaults(
          fleet.FindProcess(stage),
          ignore ? R"({"ignore_epochs":true})" : R"({"reset":true})");
}

}  // namespace

std::vector<std::vector<RequestRecord>> RunDirectBaseline(
    const Fleet& fleet,
    const std::vector<ChainInfo>& chains,
    const std::vector<Job>& jobs) {
  SetIgnoreEpochs(fleet, chains, true);
  boost::asio::io_context io;
  Client client(io);
  std::vector<std::unique_ptr<ChainDriver>> drivers;
  for (const ChainInfo& chain : chains) {
    std::vector<Process> stages;
    for (const std::string& stage : chain.stages)
      stages.push_back(fleet.FindProcess(stage));
    drivers.push_back(
        std::make_unique<ChainDriver>(client, std::move(stages), jobs));
    drivers.back()->Start();
  }
  io.run();
  SetIgnoreEpochs(fleet, chains, false);
  std::vector<std::vector<RequestRecord>> records;
  records.reserve(drivers.size());
  for (const auto& driver : drivers)
    records.push_back(driver->TakeRecords());
  return records;
}

}  // namespace trefoilwick::bench
