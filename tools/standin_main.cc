#include <signal.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <utility>

// Needs <utility> before it: Boost.Asio uses std::exchange.
#include <pplx/threadpool.h>

#include "standin_engine.h"
#include "standin_http.h"
#include "standin_list.h"
#include "standin_service.h"
#include "standin_store.h"

namespace trefoilwick::standin {
namespace {

namespace po = boost::program_options;

// The library's default of 40 threads is too many for about sixty processes.
constexpr size_t kPoolThreads = 4;
constexpr int kUsageExitCode = 2;

struct ProgramOptions {
  std::string role;
  std::string listen;
  size_t journal_events = 200'000;
  std::string journal_file;
  int lifetime_seconds = 0;
  uint64_t seed = 1;
  EngineOptions engine;
  std::vector<int> layers;
  int64_t base_us = 0;
  int64_t per_sequence_us = 0;
  int64_t per_prefill_token_us = 0;
  int64_t call_us = 0;
  ServiceOptions service;
  TableOptions table;
};

po::options_description CommonOptions(ProgramOptions& options) {
  po::options_description description("Options");
  auto add = description.add_options();
  add("help", "show this text");
  add("role", po::value(&options.role)->required(),
      "engine, service, table, object or list");
  add("listen", po::value(&options.listen)->required(),
      "IPv4 address and port, for example 127.11.0.1:20000");
  add("id", po::value(&options.service.id)->default_value("standin"),
      "instance id, shown in replies and journals");
  add("journal-events",
      po::value(&options.journal_events)->default_value(200'000),
      "events kept for GET /journal");
  add("journal-file", po::value(&options.journal_file),
      "also append events to this file");
  add("lifetime-seconds", po::value(&options.lifetime_seconds),
      "end after this time; 0 means never");
  add("seed", po::value(&options.seed), "seed of random faults");
  return description;
}

po::options_description RoleOptions(ProgramOptions& options) {
  po::options_description description("Options of one role");
  auto add = description.add_options();
  const EngineOptions engine;
  add("layers", po::value(&options.layers)->multitoken(),
      "engine: first layer, end layer, layers of the model");
  add("base-us",
      po::value(&options.base_us)->default_value(engine.base_step_time.count()),
      "engine: time of a step, plus");
  add("per-sequence-us",
      po::value(&options.per_sequence_us)
          ->default_value(engine.per_sequence.count()),
      "engine: time per item, plus");
  add("per-prefill-token-us",
      po::value(&options.per_prefill_token_us)
          ->default_value(engine.per_prefill_token.count()),
      "engine: time per token of items with several tokens");
  add("kv-tokens",
      po::value(&options.engine.max_kv_tokens)
          ->default_value(engine.max_kv_tokens),
      "engine: tokens of KV before eviction");
  add("checks-epochs",
      po::value(&options.engine.checks_epochs)->default_value(true),
      "engine: refuse old epochs");
  add("crash-on-marker",
      po::value(&options.engine.crash_on_marker)->default_value(true),
      "engine: end the process on a prompt with CRASH-SERVER");
  add("call-us", po::value(&options.call_us)->default_value(2000),
      "service: time of a call");
  add("writes-per-second", po::value(&options.table.writes_per_second),
      "table: limit that delays; 0 means none");
  add("reads-per-second", po::value(&options.table.reads_per_second),
      "table: limit that delays; 0 means none");
  return description;
}

// Splits host:port; false when it is not of that form.
bool ParseListen(const std::string& text, ServerOptions& server) {
  const size_t colon = text.find(':');
  if (colon == std::string::npos || colon == 0)
    return false;
  const std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos)
    return false;
  const int number = std::stoi(port);
  server = {text.substr(0, colon), static_cast<uint16_t>(number)};
  return number > 0 && number < 65536;
}

// Fills in the options of the role; returns an error text, empty when valid.
std::string FillEngineOptions(ProgramOptions& options) {
  options.engine.base_step_time = Duration(options.base_us);
  options.engine.per_sequence = Duration(options.per_sequence_us);
  options.engine.per_prefill_token = Duration(options.per_prefill_token_us);
  options.service.call_time = Duration(options.call_us);
  if (options.role != "engine")
    return "";
  if (options.layers.size() != 3)
    return "--layers needs three numbers";
  options.engine.first_layer = options.layers[0];
  options.engine.end_layer = options.layers[1];
  options.engine.model_layers = options.layers[2];
  if (options.layers[0] < 0 || options.layers[0] >= options.layers[1] ||
      options.layers[1] > options.layers[2])
    return "--layers is not a valid layer range of the model";
  return "";
}

std::unique_ptr<Role> MakeRole(const ProgramOptions& options,
                               Journal& journal) {
  if (options.role == "engine")
    return MakeEngineRole(options.engine, journal);
  if (options.role == "service")
    return MakeServiceRole(options.service, journal);
  if (options.role == "table")
    return MakeTableRole(options.table, journal);
  if (options.role == "object")
    return MakeObjectRole(journal);
  if (options.role == "list")
    return MakeInstanceListRole(journal);
  return nullptr;
}

// Returns on SIGTERM or SIGINT, or when the lifetime has elapsed.
void WaitForEnd(const sigset_t& signals, int lifetime_seconds) {
  if (lifetime_seconds <= 0) {
    int signal = 0;
    sigwait(&signals, &signal);
    return;
  }
  const timespec timeout{lifetime_seconds, 0};
  sigtimedwait(&signals, nullptr, &timeout);
}

int Serve(const ProgramOptions& options, const ServerOptions& address) {
  // Threads inherit the mask, so that only WaitForEnd receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  crossplat::threadpool::initialize_with_threads(kPoolThreads);
  InitLogging("standin", "INFO");
  Journal journal(options.journal_events);
  if (!options.journal_file.empty())
    if (const auto status = journal.OpenFile(options.journal_file);
        !status.ok()) {
      std::cerr << status.message() << "\n";
      return 1;
    }
  const std::unique_ptr<Role> role = MakeRole(options, journal);
  if (role == nullptr) {
    std::cerr << "unknown role " << options.role << "\n";
    return kUsageExitCode;
  }
  const SystemClock clock;
  FaultInjector faults(options.seed);
  Server server(clock, address, *role, faults, journal);
  try {
    server.Listen();
  } catch (const std::exception& error) {
    std::cerr << "cannot listen on " << options.listen << ": " << error.what()
              << "\n";
    return 1;
  }
  LogStateChange("standin", "listening",
                 {{"role", options.role}, {"address", options.listen}});
  WaitForEnd(signals, options.lifetime_seconds);
  // Requests that are held open without a response would block an orderly
  // shutdown.
  std::_Exit(0);
}

}  // namespace

int RunStandin(int argc, char** argv) {
  ProgramOptions options;
  po::options_description description = CommonOptions(options);
  description.add(RoleOptions(options));
  ServerOptions address;
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") > 0) {
      std::cout << "trefoilwick_standin --role ROLE --listen HOST:PORT\n"
                << description;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return kUsageExitCode;
  }
  std::string problem = FillEngineOptions(options);
  if (!ParseListen(options.listen, address))
    problem = "--listen is not HOST:PORT";
  if (!problem.empty()) {
    std::cerr << problem << "\n";
    return kUsageExitCode;
  }
  return Serve(options, address);
}

}  // namespace trefoilwick::standin
