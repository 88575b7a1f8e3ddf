#include <algorithm>
#include <limits>
#include <utility>

#include "http_front.h"
#include "trefoilwick/config_store.h"

namespace trefoilwick::detail {

using nlohmann::json;

namespace {

constexpr int64_t kEntriesMaxAgeMs = 5000;
constexpr std::chrono::seconds kRefuseDelayAfterDrainStart{kEntriesMaxAgeMs /
                                                           1000};
constexpr int kMaxHistoryRows = 100;
constexpr double kServiceLevelObjective = 0.99;

std::vector<std::string> KnownModels(const Runtime& runtime) {
  std::set<std::string> models;
  for (const auto& [id, chain] : runtime.fleet.Load()->chains)
    models.insert(chain.model);
  return {models.begin(), models.end()};
}

json MemberJson(const Member& member) {
  return {{"id", member.id},
          {"state", std::string(kMemberStateNames.Name(member.state))},
          {"data_center", member.data_center},
          {"address", member.address},
          {"incarnation", member.incarnation},
          {"table_version", member.table_version}};
}

}  // namespace

void StartDraining(Runtime& runtime) {
  if (runtime.draining.exchange(true))
    return;
  LogStateChange("daemon", "leaving");
  runtime.control_loop.Post([&runtime] { runtime.control->LeaveCluster(); });
  runtime.chain_loop.Post([&runtime] { runtime.chains->ReleaseAllChains(); });
  runtime.batches->StopTakingItems();
  runtime.entry_loop.PostAfter(kRefuseDelayAfterDrainStart, [&runtime] {
    runtime.refusing_new_work.store(true);
    LogStateChange("daemon", "refusing_new_work");
  });
}

void HttpFrontend::ShowEntries(const HttpExchange& exchange) const {
  const auto members = m_runtime.members.Load();
  std::vector<const Member*> local_members;
  std::vector<const Member*> remote_members;
  for (const auto& candidate : members->schedulers) {
    const Member* member = members->Find(candidate.id);
    if (!member)
      continue;
    if (member->data_center == m_runtime.settings.data_center)
      local_members.push_back(member);
    else
      remote_members.push_back(member);
  }
  // Each response has another order, so that callers spread over the instances.
  thread_local Random random(StableHash(
      m_runtime.settings.id, static_cast<uint64_t>(m_runtime.incarnation)));
  const auto shuffle = [&](std::vector<const Member*>& list) {
    for (size_t i = list.size(); i > 1; --i)
      std::swap(list[i - 1], list[random.UniformBelow(i)]);
  };
  shuffle(local_members);
  shuffle(remote_members);
  json entries = json::array();
  for (const Member* member : local_members)
    entries.push_back({{"address", member->address},
                       {"data_center", member->data_center},
                       {"weight", 1.0}});
  for (const Member* member : remote_members)
    entries.push_back({{"address", member->address},
                       {"data_center", member->data_center},
                       {"weight", 0.1}});
  exchange.Reply(200, {{"entries", entries}, {"max_age_ms", kEntriesMaxAgeMs}});
}

void HttpFrontend::ShowTable(const HttpExchange& exchange) {
  const auto table = m_runtime.table.Load();
  exchange.Reply(200, {{"version", table ? table->version() : 0},
                       {"toml", table ? FormatTable(*table) : ""}});
}

void HttpFrontend::ApplyTable(const HttpExchange& exchange) {
  const json body = json::parse(exchange.body(), nullptr, false);
  if (!body.is_object() || !body.contains("toml") ||
      !body["toml"].is_string() || !body.contains("base") ||
      !body["base"].is_number_integer() || !body.contains("attempt") ||
      !body["attempt"].is_string()) {
    exchange.ReplyProblem(NotRunProblem(400, "bad_request",
                                        "toml, base and attempt are required"));
    return;
  }
  const std::string file = body.value("file", "table.toml");
  Findings findings;
  const auto edited = ParseTable(body["toml"].get<std::string>(), file,
                                 KnownModels(m_runtime), findings);
  if (!edited.ok()) {
    json list = json::array();
    for (const Finding& finding : findings.list())
      list.push_back({{"file", finding.file},
                      {"line", finding.line},
                      {"message", finding.message}});
    exchange.Reply(422, {{"verdict", "refused"},
                         {"reason", "the table has findings"},
                         {"findings", list}});
    return;
  }
  const int64_t base_version = body["base"].get<int64_t>();
  const std::string attempt = body["attempt"].get<std::string>();
  const std::string author = body.value("author", "operator");
  PostToStorePool(exchange, [this, exchange, edited = *edited, base_version,
                             attempt, author] {
    auto base = LoadTable(*m_runtime.store, *m_runtime.objects);
    if (!base.ok()) {
      // This call wrote nothing, but an earlier call of the same attempt may
      // have.
      exchange.Reply(503, {{"verdict", "unknown"},
                           {"reason", "the table service does not answer"}});
      return;
    }
    Table based_on = *base;
    if (base->version() != base_version) {
      const auto current = m_runtime.table.Load();
      if (current && current->version() == base_version)
        based_on = *current;
      else
        based_on = Table(base_version, {}, {});
    }
    const CommitResult result =
        CommitTable(m_runtime.clock, *m_runtime.store, *m_runtime.objects,
                    based_on, edited, author, attempt);
    json reply{
        {"verdict", std::string(kCommitVerdictNames.Name(result.verdict))},
        {"version", result.version},
        {"reason", result.reason},
        {"difference", result.difference}};
    int status = 200;
    if (result.verdict == CommitVerdict::kRefused)
      status = 409;
    if (result.verdict == CommitVerdict::kUnknown)
      status = 503;
    if (result.verdict == CommitVerdict::kAccepted) {
      m_runtime.control_loop.Post([this, edited, version = result.version] {
        m_runtime.control->OnCommitted(
            Table(version, edited.kinds(), edited.accounts()));
      });
    }
    exchange.Reply(status, reply);
  });
}

void HttpFrontend::ShowVersions(const HttpExchange& exchange) {
  struct Collected {
    std::mutex mutex;
    json versions = json::object();
    size_t pending_count = 1;
  };
  auto collected = std::make_shared<Collected>();
  // Called once per member and once at the end; the last call sends the
  // response.
  const auto add = [exchange, collected](const std::string& id,
                                         int64_t version) {
    std::lock_guard lock(collected->mutex);
    if (!id.empty())
      collected->versions[id] = version;
    if (--collected->pending_count == 0)
      exchange.Reply(200, {{"versions", collected->versions}});
  };
  const auto members = m_runtime.members.Load();
  const auto table = m_runtime.table.Load();
  collected->pending_count += members->members.size();
  for (const auto& [id, member] : members->members) {
    if (id == m_runtime.settings.id) {
      add(id, table ? table->version() : 0);
      continue;
    }
    const PeerCallOptions call{member.peer_address,
                               std::chrono::milliseconds(500), false};
    const bool posted = m_runtime.peer_pool.TryPost([this, call, id = id, add] {
      const auto reply = m_runtime.peers.FetchTableChanges(
          call, std::numeric_limits<int64_t>::max());
      add(id, reply.ok() ? reply->head_version : -1);
    });
    if (!posted)
      add(id, -1);
  }
  add("", 0);
}

void HttpFrontend::ShowTableHistory(const HttpExchange& exchange) {
  PostToStorePool(exchange, [this, exchange] {
    const auto table = m_runtime.table.Load();
    const int64_t version = table ? table->version() : 0;
    const auto changes = ReadChanges(
        *m_runtime.store, std::max<int64_t>(0, version - kMaxHistoryRows),
        kMaxHistoryRows + 1);
    if (!changes.ok()) {
      exchange.ReplyProblem({503,
                             "store_unavailable",
                             "the history cannot be read now",
                             Outcome::kUnknown,
                             std::chrono::seconds(2),
                             {}});
      return;
    }
    json rows = json::array();
    for (const ConfigChange& change : *changes) {
      rows.push_back({{"version", change.delta.version},
                      {"author", change.author},
                      {"unix_ms", change.unix_ms},
                      {"kinds", change.delta.kinds.size()},
                      {"accounts", change.delta.accounts.size()},
                      {"removed", change.delta.removed_kinds.size() +
                                      change.delta.removed_accounts.size()}});
    }
    exchange.Reply(200, {{"changes", rows}});
  });
}

void HttpFrontend::ShowStatus(const HttpExchange& exchange) {
  m_runtime.control_loop.Post([this, exchange] {
    json members = json::array();
    for (const Member& member : m_runtime.control->KnownMembers())
      members.push_back(MemberJson(member));
    const int64_t newest = m_runtime.control->newest_known_version();
    m_runtime.chain_loop.Post([this, exchange, members, newest] {
      json loads = json::array();
      for (const ChainLoadReport& load : m_runtime.chains->LoadReports())
        loads.push_back(
            {{"chain", load.chain},
             {"queued", load.queued},
             {"running", load.running},
             {"expected_wait_ms", load.expected_wait.count() / 1000}});
      const auto fleet = m_runtime.fleet.Load();
      const auto table = m_runtime.table.Load();
      json chains = json::array();
      for (const auto& [id, chain] : fleet->chains) {
        json stages = json::array();
        for (const ListedServer& stage : chain.stages)
          stages.push_back(stage.id);
        chains.push_back(
            {{"id", id},
             {"model", chain.model},
             {"data_center", chain.data_center},
             {"tokens_per_second", chain.tokens_per_second},
             {"owner", ChainOwner(chain, m_runtime.members.Load()->schedulers)},
             {"stages", stages}});
      }
      exchange.Reply(200, {{"id", m_runtime.settings.id},
                           {"leaving", m_runtime.draining.load()},
                           {"table_version", table ? table->version() : 0},
                           {"newest_known_version", newest},
                           {"members", members},
                           {"owned_chains", loads},
                           {"chains", chains},
                           {"spares", fleet->spares.size()}});
    });
  });
}

void HttpFrontend::ShowBurnRates(const HttpExchange& exchange) {
  const std::string name = exchange.QueryParameter("format");
  std::string data;
  std::vector<BurnRateRow> rows;
  {
    std::lock_guard lock(m_runtime.burn_rate_mutex);
    data = m_runtime.burn_rate_history.ToJson();
    rows =
        ComputeBurnRates(m_runtime.burn_rate_history,
                         m_runtime.clock.UnixMillis(), kServiceLevelObjective);
  }
  // "raw" is the form that the command line merges across instances.
  if (name == "raw") {
    exchange.ReplyText(200, data, "application/json");
    return;
  }
  const auto format = kReportFormatNames.Parse(name.empty() ? "text" : name);
  if (!format) {
    exchange.ReplyProblem(
        NotRunProblem(400, "bad_format", "use text, json, svg or raw"));
    return;
  }
  constexpr std::array<const char*, 3> kTypes = {
      "text/plain", "application/json", "image/svg+xml"};
  exchange.ReplyText(200, RenderBurnRates(rows, *format),
                     kTypes[static_cast<size_t>(*format)]);
}

void HttpFrontend::HandleQuarantine(const HttpExchange& exchange) {
  std::lock_guard lock(m_runtime.quarantine_mutex);
  if (exchange.method() == "POST") {
    m_runtime.quarantine.Clear();
    exchange.Reply(200, {{"cleared", true}});
    return;
  }
  json list = json::array();
  for (const auto& [fingerprint, expires] :
       m_runtime.quarantine.List(m_runtime.clock.UnixMillis()))
    list.push_back({{"fingerprint", std::to_string(fingerprint)},
                    {"expires_unix_ms", expires}});
  exchange.Reply(200, {{"quarantine", list}});
}

}  // namespace trefoilwick::detail
