#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <future>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "cli.h"
#include "engine_client.h"
#include "runtime.h"
#include "trefoilwick/daemon.h"
#include "trefoilwick/report.h"
#include "trefoilwick/table.h"

namespace trefoilwick::detail {

namespace po = boost::program_options;
using nlohmann::json;

namespace {

constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsageError = 2;
constexpr int kExitUnknownOutcome = 3;
constexpr std::chrono::seconds kCallTimeout{15};
// The client does not know the models of the fleet; the instance checks them.
const std::vector<std::string> kAnyModel;

std::string GetEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

// Options that every client command takes.
struct ClientOptions {
  po::options_description description;
  po::positional_options_description positional;
  po::variables_map values;

  explicit ClientOptions(const std::string& title) : description(title) {
    description.add_options()("help", "show this text")(
        "entry",
        po::value<std::string>()->default_value(
            GetEnvironment("TREFOILWICK_ENTRY")),
        "entry instances as host:port, separated by commas; the first that "
        "answers is used (default: TREFOILWICK_ENTRY)")(
        "key",
        po::value<std::string>()->default_value(
            GetEnvironment("TREFOILWICK_KEY")),
        "operators' key (default: TREFOILWICK_KEY)");
  }

  // Returns an exit code when the command ends here.
  std::optional<int> Parse(const std::vector<std::string>& args) {
    try {
      po::store(po::command_line_parser(args)
                    .options(description)
                    .positional(positional)
                    .run(),
                values);
      po::notify(values);
    } catch (const po::error& error) {
      std::cerr << error.what() << "\n" << description;
      return kExitUsageError;
    }
    if (values.count("help") > 0) {
      std::cout << description;
      return kExitDone;
    }
    return std::nullopt;
  }

  std::string Get(const char* name) const {
    return values.count(name) > 0 ? values[name].as<std::string>() : "";
  }

  std::vector<std::string> EntryAddresses() const {
    std::vector<std::string> entries;
    std::string list = Get("entry");
    size_t start = 0;
    while (start <= list.size()) {
      const size_t comma = std::min(list.find(',', start), list.size());
      std::string entry = list.substr(start, comma - start);
      if (entry.rfind("http://", 0) == 0)
        entry = entry.substr(7);
      if (!entry.empty())
        entries.push_back(entry);
      start = comma + 1;
    }
    return entries;
  }
};

HttpResult CallEntry(const std::string& address,
                     const ClientOptions& options,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body) {
  static BackendHttpClient http_client;
  HttpCall call;
  call.address = address;
  call.method = method;
  call.path = path;
  call.body = body;
  call.bearer_token = options.Get("key");
  auto promise = std::make_shared<std::promise<HttpResult>>();
  auto future = promise->get_future();
  CancelCall cancel = http_client.Call(call, [promise](HttpResult result) {
    promise->set_value(std::move(result));
  });
  if (future.wait_for(kCallTimeout) == std::future_status::ready)
    return future.get();
  cancel();
  HttpResult no_reply;
  no_reply.failure = CallFailure::kNoReply;
  return no_reply;
}

// Calls the entries in order until one responds. A call other than GET goes to
// the next entry only when it was certainly not sent.
HttpResult CallFirstReachable(const ClientOptions& options,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body = "") {
  HttpResult result;
  result.failure = CallFailure::kCrashed;
  result.certainly_not_sent = true;
  for (const std::string& entry : options.EntryAddresses()) {
    result = CallEntry(entry, options, method, path, body);
    if (!result.failure || (method != "GET" && !result.certainly_not_sent))
      return result;
  }
  return result;
}

int ReportUnreachable(const HttpResult& result) {
  std::cerr << "no entry instance answered\n";
  return result.certainly_not_sent ? kExitRefused : kExitUnknownOutcome;
}

// Prints a problem response; returns the exit code.
int PrintProblem(const HttpResult& result) {
  const json body = json::parse(result.body, nullptr, false);
  if (body.is_object()) {
    std::cerr << body.value("title", "error") << ": "
              << body.value("detail", "") << "\n";
    if (body.value("outcome", "") == "unknown")
      return kExitUnknownOutcome;
  } else {
    std::cerr << "HTTP status " << result.status << "\n";
  }
  return kExitRefused;
}

int CheckFile(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text.ok()) {
    std::cerr << text.status().message() << "\n";
    return kExitRefused;
  }
  Findings findings;
  // A table has rows of kinds or accounts; settings have neither.
  const bool is_table = text->find("[[kind]]") != std::string::npos ||
                        text->find("[[account]]") != std::string::npos;
  const bool ok = is_table ? ParseTable(*text, path, kAnyModel, findings).ok()
                           : ParseSettings(*text, path, findings).ok();
  if (!ok) {
    std::cerr << findings.ToString();
    return kExitRefused;
  }
  std::cout << path << ": " << (is_table ? "table" : "settings") << " ok\n";
  return kExitDone;
}

int CheckCommand(const std::vector<std::string>& args) {
  ClientOptions options("trefoilwick check FILE");
  options.description.add_options()("file", po::value<std::string>(),
                                    "settings file or table (TOML)");
  options.positional.add("file", 1);
  if (auto code = options.Parse(args))
    return *code;
  if (options.Get("file").empty()) {
    std::cerr << options.description;
    return kExitUsageError;
  }
  return CheckFile(options.Get("file"));
}

std::string NewAttemptId() {
  std::random_device device;
  std::string attempt;
  for (int i = 0; i < 4; ++i)
    attempt += std::to_string(device()) + (i < 3 ? "." : "");
  return attempt;
}

int TableGet(const ClientOptions& options) {
  const HttpResult result =
      CallFirstReachable(options, "GET", "/v1/admin/table");
  if (result.failure)
    return ReportUnreachable(result);
  if (result.status != 200)
    return PrintProblem(result);
  const json body = json::parse(result.body);
  std::cout << "# version " << body["version"].get<int64_t>() << "\n"
            << body["toml"].get<std::string>();
  return kExitDone;
}

int TableDiff(const ClientOptions& options) {
  const std::string path = options.Get("file");
  const auto text = ReadFile(path);
  if (!text.ok()) {
    std::cerr << text.status().message() << "\n";
    return kExitRefused;
  }
  Findings findings;
  const auto edited = ParseTable(*text, path, kAnyModel, findings);
  if (!edited.ok()) {
    std::cerr << findings.ToString();
    return kExitRefused;
  }
  const HttpResult result =
      CallFirstReachable(options, "GET", "/v1/admin/table");
  if (result.failure)
    return ReportUnreachable(result);
  if (result.status != 200)
    return PrintProblem(result);
  const json body = json::parse(result.body);
  Findings ignored_findings;
  const auto current = ParseTable(body["toml"].get<std::string>(), "current",
                                  kAnyModel, ignored_findings);
  const Table from = current.ok() ? *current : Table();
  std::cout << FormatDelta(from, DiffTables(from, *edited));
  return kExitDone;
}

// Returns the version in the first line of a file written by `table get`; -1
// when there is none.
int64_t BaseVersion(const std::string& text) {
  constexpr std::string_view kPrefix = "# version ";
  if (text.rfind(kPrefix, 0) != 0)
    return -1;
  return std::atoll(text.c_str() + kPrefix.size());
}

int WaitUntilInForce(const ClientOptions& options, int64_t version) {
  const auto deadline =
      std::chrono::steady_clock::now() +
      std::chrono::seconds(options.values["wait-seconds"].as<int>());
  std::string members_behind;
  while (std::chrono::steady_clock::now() < deadline) {
    const HttpResult result =
        CallFirstReachable(options, "GET", "/v1/admin/versions");
    if (!result.failure && result.status == 200) {
      members_behind.clear();
      const json body = json::parse(result.body);
      for (const auto& [id, in_force] : body["versions"].items())
        if (in_force.get<int64_t>() < version)
          members_behind += " " + id;
      if (members_behind.empty()) {
        std::cout << "version " << version << " is in force on all members\n";
        return kExitDone;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::cout << "version " << version
            << " is accepted and not yet in force on:" << members_behind
            << "\n";
  return kExitUnknownOutcome;
}

int PrintVerdict(const json& body) {
  const std::string verdict = body.value("verdict", "unknown");
  std::cout << verdict;
  if (verdict == "accepted")
    std::cout << ": version " << body.value("version", int64_t{0});
  if (!body.value("reason", "").empty())
    std::cout << ": " << body.value("reason", "");
  std::cout << "\n" << body.value("difference", "");
  if (body.contains("findings"))
    for (const json& finding : body["findings"])
      std::cout << finding.value("file", "") << ":" << finding.value("line", 0)
                << ": " << finding.value("message", "") << "\n";
  if (verdict == "accepted")
    return kExitDone;
  return verdict == "refused" ? kExitRefused : kExitUnknownOutcome;
}

int TableApply(const ClientOptions& options) {
  const std::string path = options.Get("file");
  const auto text = ReadFile(path);
  if (!text.ok()) {
    std::cerr << text.status().message() << "\n";
    return kExitRefused;
  }
  int64_t base = options.values.count("base") > 0
                     ? options.values["base"].as<int64_t>()
                     : BaseVersion(*text);
  if (base < 0) {
    std::cerr << "the file does not start with '# version N' (as written by "
                 "'table get'); name the version it edits with --base\n";
    return kExitUsageError;
  }
  const std::string attempt =
      options.Get("attempt").empty() ? NewAttemptId() : options.Get("attempt");
  const json request{{"toml", *text},
                     {"base", base},
                     {"attempt", attempt},
                     {"file", path},
                     {"author", options.Get("author")}};
  const HttpResult result =
      CallFirstReachable(options, "POST", "/v1/admin/table", request.dump());
  if (result.failure) {
    std::cerr << "unknown: no answer; repeat with --attempt " << attempt
              << " to learn the outcome\n";
    return ReportUnreachable(result);
  }
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object() || !body.contains("verdict"))
    return PrintProblem(result);
  const int code = PrintVerdict(body);
  if (code == kExitUnknownOutcome)
    std::cout << "repeat with --attempt " << attempt
              << " to learn the outcome\n";
  if (code != kExitDone || options.values.count("wait") == 0)
    return code;
  return WaitUntilInForce(options, body["version"].get<int64_t>());
}

int TableHistoryCommand(const ClientOptions& options) {
  const HttpResult result =
      CallFirstReachable(options, "GET", "/v1/admin/history");
  if (result.failure)
    return ReportUnreachable(result);
  if (result.status != 200)
    return PrintProblem(result);
  const json body = json::parse(result.body);
  for (const json& change : body["changes"])
    std::cout << "version " << change["version"] << "  unix_ms "
              << change["unix_ms"] << "  author "
              << change["author"].get<std::string>() << "  kinds "
              << change["kinds"] << "  accounts " << change["accounts"]
              << "  removed " << change["removed"] << "\n";
  return kExitDone;
}

int TableCommand(const std::vector<std::string>& args) {
  ClientOptions options(
      "trefoilwick table get|check|apply|diff|history [FILE]");
  options.description.add_options()("action", po::value<std::string>(),
                                    "what to do")(
      "file", po::value<std::string>(), "table (TOML)")(
      "base", po::value<int64_t>(), "version the file edits (apply)")(
      "attempt", po::value<std::string>(),
      "id of an earlier try with an unknown outcome (apply)")(
      "author", po::value<std::string>()->default_value("operator"),
      "name kept in the history (apply)")(
      "wait", "wait until the version is in force on all members (apply)")(
      "wait-seconds", po::value<int>()->default_value(30),
      "longest wait for --wait");
  options.positional.add("action", 1).add("file", 1);
  if (auto code = options.Parse(args))
    return *code;
  const std::string action = options.Get("action");
  const bool needs_file =
      action == "check" || action == "apply" || action == "diff";
  if (needs_file && options.Get("file").empty()) {
    std::cerr << "a FILE is required\n" << options.description;
    return kExitUsageError;
  }
  if (action == "get")
    return TableGet(options);
  if (action == "check")
    return CheckFile(options.Get("file"));
  if (action == "apply")
    return TableApply(options);
  if (action == "diff")
    return TableDiff(options);
  if (action == "history")
    return TableHistoryCommand(options);
  std::cerr << options.description;
  return kExitUsageError;
}

int StatusCommand(const std::vector<std::string>& args) {
  ClientOptions options("trefoilwick status");
  options.description.add_options()("json", "print the answer as JSON");
  if (auto code = options.Parse(args))
    return *code;
  const HttpResult result =
      CallFirstReachable(options, "GET", "/v1/admin/status");
  if (result.failure)
    return ReportUnreachable(result);
  if (result.status != 200)
    return PrintProblem(result);
  const json body = json::parse(result.body);
  if (options.values.count("json") > 0) {
    std::cout << body.dump(2) << "\n";
    return kExitDone;
  }
  std::cout << "seen by " << body["id"].get<std::string>() << "  table version "
            << body["table_version"] << "  spares " << body["spares"] << "\n";
  std::cout << "members:\n";
  for (const json& member : body["members"])
    std::cout << "  " << member["id"].get<std::string>() << "  "
              << member["state"].get<std::string>() << "  "
              << member["data_center"].get<std::string>() << "  "
              << member["address"].get<std::string>() << "  table "
              << member["table_version"] << "\n";
  std::cout << "chains:\n";
  for (const json& chain : body["chains"]) {
    std::cout << "  " << chain["id"].get<std::string>() << "  "
              << chain["model"].get<std::string>() << "  "
              << chain["data_center"].get<std::string>() << "  scheduler "
              << chain["owner"].get<std::string>() << "  stages";
    for (const json& stage : chain["stages"])
      std::cout << " " << stage.get<std::string>();
    std::cout << "\n";
  }
  return kExitDone;
}

int DrainCommand(const std::vector<std::string>& args) {
  ClientOptions options("trefoilwick drain --entry HOST:PORT");
  if (auto code = options.Parse(args))
    return *code;
  if (options.EntryAddresses().size() != 1) {
    std::cerr << "name exactly one instance with --entry\n";
    return kExitUsageError;
  }
  const HttpResult result =
      CallFirstReachable(options, "POST", "/v1/admin/drain", "{}");
  if (result.failure)
    return ReportUnreachable(result);
  if (result.status != 200)
    return PrintProblem(result);
  std::cout << "leaving\n";
  return kExitDone;
}

int OutcomeCommand(const std::vector<std::string>& args) {
  ClientOptions options("trefoilwick outcome ID");
  options.description.add_options()("id", po::value<std::string>(),
                                    "request id (X-Request-Id)");
  options.positional.add("id", 1);
  if (auto code = options.Parse(args))
    return *code;
  if (options.Get("id").empty()) {
    std::cerr << options.description;
    return kExitUsageError;
  }
  const HttpResult result =
      CallFirstReachable(options, "GET", "/v1/requests/" + options.Get("id"));
  if (result.failure)
    return ReportUnreachable(result);
  if (result.status != 200)
    return PrintProblem(result);
  const json body = json::parse(result.body);
  const std::string outcome = body["outcome"].get<std::string>();
  std::cout << outcome << "\n";
  return outcome == "unknown" ? kExitUnknownOutcome : kExitDone;
}

int QuarantineCommandLine(const std::vector<std::string>& args) {
  ClientOptions options("trefoilwick quarantine list|clear");
  options.description.add_options()("action", po::value<std::string>(),
                                    "list or clear");
  options.positional.add("action", 1);
  if (auto code = options.Parse(args))
    return *code;
  const std::string action = options.Get("action");
  if (action != "list" && action != "clear") {
    std::cerr << options.description;
    return kExitUsageError;
  }
  const bool clear = action == "clear";
  const std::vector<std::string> entries = options.EntryAddresses();
  int code = kExitDone;
  // All entries are cleared, since an entry that keeps its list would gossip it
  // to the others again.
  for (const std::string& entry : entries) {
    const HttpResult result =
        CallEntry(entry, options, clear ? "POST" : "GET",
                  "/v1/admin/quarantine", clear ? "{}" : "");
    if (result.failure || result.status != 200) {
      std::cerr << entry << ": no answer\n";
      code = kExitRefused;
      continue;
    }
    if (clear)
      continue;
    const json body = json::parse(result.body);
    for (const json& row : body["quarantine"])
      std::cout << row["fingerprint"].get<std::string>() << "  expires_unix_ms "
                << row["expires_unix_ms"] << "\n";
    break;
  }
  return code;
}

int ReportCommand(const std::vector<std::string>& args) {
  ClientOptions options("trefoilwick report burn [--format text|json|svg]");
  options.description.add_options()("what", po::value<std::string>(), "burn")(
      "format", po::value<std::string>()->default_value("text"),
      "text, json or svg");
  options.positional.add("what", 1);
  if (auto code = options.Parse(args))
    return *code;
  const auto format = kReportFormatNames.Parse(options.Get("format"));
  if (options.Get("what") != "burn" || !format) {
    std::cerr << options.description;
    return kExitUsageError;
  }
  BurnRateHistory merged;
  int answered = 0;
  for (const std::string& entry : options.EntryAddresses()) {
    const HttpResult result =
        CallEntry(entry, options, "GET", "/v1/admin/burn?format=raw", "");
    if (result.failure || result.status != 200) {
      std::cerr << entry << ": no answer; the report leaves it out\n";
      continue;
    }
    const auto data = BurnRateHistory::FromJson(result.body);
    if (data.ok()) {
      merged.Merge(*data);
      ++answered;
    }
  }
  if (answered == 0)
    return kExitRefused;
  constexpr double kServiceLevelObjective = 0.99;
  std::cout << RenderBurnRates(
      ComputeBurnRates(merged, SystemClock().UnixMillis(),
                       kServiceLevelObjective),
      *format);
  return kExitDone;
}

}  // namespace

const ClientCommand* FindClientCommand(const std::string& name) {
  static const std::map<std::string, ClientCommand> commands = {
      {"check", CheckCommand},     {"table", TableCommand},
      {"status", StatusCommand},   {"drain", DrainCommand},
      {"outcome", OutcomeCommand}, {"quarantine", QuarantineCommandLine},
      {"report", ReportCommand},
  };
  auto it = commands.find(name);
  return it == commands.end() ? nullptr : &it->second;
}

}  // namespace trefoilwick::detail
