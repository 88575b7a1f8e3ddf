// Load and experiment tool; scripts/bench starts the fleet and calls it.
#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "bench_experiment.h"

namespace trefoilwick::bench {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

json MeasureJson(const Measure& measure) {
  return {{"name", measure.name},
          {"figure", measure.value},
          {"unit", measure.unit},
          {"target", measure.target},
          {"bound", measure.target_is_max ? "at most" : "at least"},
          {"passes", measure.passes()},
          {"note", measure.note}};
}

void PrintReport(const Report& report, const Usage& usage) {
  for (const Measure& m : report.measures)
    std::printf("%-64s %10.3f %-3s %s %-7g %s\n", m.name.c_str(), m.value,
                m.unit.c_str(), m.target_is_max ? "<=" : ">=", m.target,
                m.passes() ? "pass" : "falls short");
  std::printf("  load average %.1f, machine %.1f cores busy, load tool %.2f\n",
              usage.load_average, usage.machine_busy_cores, usage.bench_cores);
}

json RunExperiment(const Experiment& experiment, Context& context) {
  using Clock = std::chrono::steady_clock;
  const auto start = Clock::now();
  const MachineCpu machine_before = ReadMachineCpu();
  const double own_cpu_before = OwnCpuSeconds();
  context.report = Report();
  context.report.experiment = experiment.name;
  experiment.run(context);
  const double wall_seconds =
      std::chrono::duration<double>(Clock::now() - start).count();
  const Usage usage{LoadAverage(), BusyCores(machine_before, ReadMachineCpu()),
                    (OwnCpuSeconds() - own_cpu_before) / wall_seconds};
  std::printf("%s (%s), scenario %s, seed %llu, %.1f s\n", experiment.name,
              experiment.description, context.scenario.name.c_str(),
              static_cast<unsigned long long>(context.seed), wall_seconds);
  PrintReport(context.report, usage);
  std::fflush(stdout);
  json measures = json::array();
  for (const Measure& measure : context.report.measures)
    measures.push_back(MeasureJson(measure));
  return {{"experiment", experiment.name},
          {"description", experiment.description},
          {"scenario", context.scenario.name},
          {"seed", context.seed},
          {"seconds", wall_seconds},
          {"load_average", usage.load_average},
          {"machine_busy_cores", usage.machine_busy_cores},
          {"bench_cores", usage.bench_cores},
          {"measures", measures},
          {"details", context.report.details},
          {"tokens_per_100ms", context.report.timeline}};
}

po::options_description Options() {
  po::options_description options("trefoilwick_bench options");
  options.add_options()("help", "show this text")(
      "fleet", po::value<std::string>()->default_value("build/fleet"),
      "directory that scripts/fleet wrote")(
      "scenario",
      po::value<std::string>()->default_value("scenarios/bluestem.toml"),
      "load description")("print-table",
                          "print the operators' table of the scenario")(
      "experiment", po::value<std::vector<std::string>>()->multitoken(),
      "experiments to run, in this order; all by default")(
      "seed", po::value<uint64_t>()->default_value(1), "seed of the load")(
      "seconds", po::value<double>()->default_value(6),
      "length of a load phase")("direct-jobs",
                                po::value<int>()->default_value(20),
                                "requests driven one at a time")(
      "out", po::value<std::string>(), "JSON file to write");
  return options;
}

const Experiment& FindExperiment(const std::string& name) {
  for (const Experiment& experiment : Experiments())
    if (experiment.name == name)
      return experiment;
  throw std::runtime_error("unknown experiment " + name);
}

int Run(const po::variables_map& values) {
  const Scenario scenario = ReadScenario(values["scenario"].as<std::string>());
  if (values.count("print-table") > 0) {
    std::cout << OperatorTableToml(scenario);
    return 0;
  }
  Fleet fleet(values["fleet"].as<std::string>());
  Context context{fleet,
                  scenario,
                  values["seed"].as<uint64_t>(),
                  values["seconds"].as<double>(),
                  values["direct-jobs"].as<int>(),
                  {}};
  std::vector<std::string> names;
  if (values.count("experiment") > 0)
    names = values["experiment"].as<std::vector<std::string>>();
  else
    for (const Experiment& experiment : Experiments())
      names.emplace_back(experiment.name);
  json results = json::array();
  for (const std::string& name : names) {
    results.push_back(RunExperiment(FindExperiment(name), context));
    if (values.count("out") > 0)
      std::ofstream(values["out"].as<std::string>()) << results.dump(1) << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace trefoilwick::bench

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  const auto options = trefoilwick::bench::Options();
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << options;
      return 0;
    }
    return trefoilwick::bench::Run(values);
  } catch (const po::error& error) {
    std::cerr << "trefoilwick_bench: " << error.what() << "\n" << options;
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "trefoilwick_bench: " << error.what() << "\n";
    return 1;
  }
}
