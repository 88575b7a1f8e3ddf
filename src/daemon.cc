#include "trefoilwick/daemon.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cli.h"
#include "serve.h"

namespace trefoilwick {

namespace po = boost::program_options;

namespace detail {

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return MakeStatus(absl::StatusCode::kNotFound, path + ": cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace detail

namespace {

constexpr char kUsage[] =
    "usage: trefoilwick COMMAND [OPTIONS]\n"
    "  serve --config FILE       run the daemon of an entry instance\n"
    "  check FILE                check a settings file or a table\n"
    "  table get|check|apply|diff|history\n"
    "  status                    show the fleet as one instance sees it\n"
    "  drain                     make an instance leave gracefully\n"
    "  outcome ID                look up the outcome of a request\n"
    "  quarantine list|clear     requests that crashed backend servers\n"
    "  report burn [--format text|json|svg]\n"
    "Every command takes --help.\n";

int ServeCommand(const std::vector<std::string>& args) {
  po::options_description options("trefoilwick serve");
  options.add_options()("help", "show this text")(
      "config", po::value<std::string>(), "settings file (TOML)");
  po::variables_map values;
  try {
    po::store(po::command_line_parser(args).options(options).run(), values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << options;
    return 2;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  if (values.count("config") == 0) {
    std::cerr << "--config is required\n" << options;
    return 2;
  }
  const std::string path = values["config"].as<std::string>();
  const auto text = detail::ReadFile(path);
  if (!text.ok()) {
    std::cerr << text.status().message() << "\n";
    return 1;
  }
  Findings findings;
  const auto settings = ParseSettings(*text, path, findings);
  if (!settings.ok()) {
    std::cerr << findings.ToString();
    return 1;
  }
  return detail::Serve(*settings);
}

}  // namespace

int RunCommandLine(const std::vector<std::string>& args) {
  if (args.empty()) {
    std::cerr << kUsage;
    return 2;
  }
  const std::string& command = args[0];
  if (command == "--help" || command == "help") {
    std::cout << kUsage;
    return 0;
  }
  const std::vector<std::string> rest(args.begin() + 1, args.end());
  if (command == "serve")
    return ServeCommand(rest);
  if (const auto* run = detail::FindClientCommand(command))
    return (*run)(rest);
  std::cerr << "unknown command: " << command << "\n" << kUsage;
  return 2;
}

}  // namespace trefoilwick
