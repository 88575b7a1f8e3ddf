#include "bench_fleet.h"

#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "bench_client.h"

namespace trefoilwick::bench {

using nlohmann::json;

namespace {

// Indexes of /proc/PID/stat fields, counted from the one after the command.
constexpr int kUserTicksIndex = 11;
constexpr int kSystemTicksIndex = 12;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string FindOption(const std::vector<std::string>& command,
                       const std::string& name) {
  auto it = std::find(command.begin(), command.end(), name);
  return it == command.end() || it + 1 == command.end() ? "" : *(it + 1);
}

double FindNumberOption(const std::vector<std::string>& command,
                        const std::string& name) {
  const std::string text = FindOption(command, name);
  return text.empty() ? 0 : std::stod(text);
}

}  // namespace

Fleet::Fleet(const std::string& directory) {
  ReadEnv(directory + "/env");
  ReadProcesses(directory + "/pids.json");
  ReadInstances();
}

void Fleet::ReadEnv(const std::string& path) {
  std::istringstream lines(ReadFile(path));
  std::string line;
  while (std::getline(lines, line)) {
    const size_t equals = line.find('=');
    if (equals != std::string::npos)
      m_env[line.substr(0, equals)] = line.substr(equals + 1);
  }
  if (m_env["LIST_URL"].empty())
    throw std::runtime_error(
        path + ": LIST_URL is missing; start a fleet with scripts/fleet up");
}

void Fleet::ReadProcesses(const std::string& path) {
  const json records = json::parse(ReadFile(path), nullptr, false);
  if (!records.is_array())
    throw std::runtime_error(path + ": expected a JSON array of processes");
  for (const json& record : records) {
    Process process;
    process.id = record.at("id");
    process.pid = record.at("pid");
    const std::vector<std::string> command = record.at("command");
    process.role = FindOption(command, "--role");
    process.address = FindOption(command, "--listen");
    process.costs = {FindNumberOption(command, "--base-us"),
                     FindNumberOption(command, "--per-sequence-us"),
                     FindNumberOption(command, "--per-prefill-token-us")};
    m_processes.push_back(std::move(process));
  }
}

void Fleet::ReadInstances() {
  const Reply reply =
      Fetch({AddressOf(m_env["LIST_URL"]), "GET", "/instances", "", ""});
  const json list = json::parse(reply.body, nullptr, false);
  if (!list.is_object())
    throw std::runtime_error("the instance list does not answer");
  for (const json& instance : list.at("instances")) {
    for (Process& process : m_processes) {
      if (process.id != instance.at("id"))
        continue;
      process.role = instance.at("role");
      process.address = instance.at("address");
      process.data_center = instance.at("data_center");
      if (instance.contains("layers"))
        process.layers = instance["layers"].get<std::vector<int>>();
    }
  }
}

std::vector<Process> Fleet::ProcessesWithRole(const std::string& role) const {
  std::vector<Process> found;
  for (const Process& process : m_processes)
    if (process.role == role && !IsDead(process.id))
      found.push_back(process);
  return found;
}

const Process& Fleet::FindProcess(const std::string& id) const {
  for (const Process& process : m_processes)
    if (process.id == id)
      return process;
  throw std::runtime_error("unknown process " + id);
}

std::vector<ChainInfo> Fleet::Chains() const {
  std::vector<ChainInfo> chains;
  for (const Process& entry : ProcessesWithRole("entry")) {
    const Reply reply = Fetch({entry.address, "GET", "/v1/admin/status",
                               m_env.at("OPERATOR_KEY"), ""});
    const json status = json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !status.is_object())
      continue;
    for (const json& chain : status.at("chains"))
      chains.push_back({chain.at("id"), chain.at("data_center"),
                        chain.at("owner"),
                        chain.at("stages").get<std::vector<std::string>>()});
    break;
  }
  return chains;
}

std::vector<std::string> Fleet::AdvertisedEntryAddresses() const {
  std::vector<std::string> addresses;
  for (const Process& entry : ProcessesWithRole("entry")) {
    const Reply reply = Fetch({entry.address, "GET", "/v1/entries", "", ""});
    const json body = json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !body.is_object())
      continue;
    for (const json& offered : body.at("entries"))
      addresses.push_back(offered.at("address"));
    break;
  }
  return addresses;
}

double Fleet::SumCounter(const std::string& name) const {
  double sum = 0;
  for (const Process& entry : ProcessesWithRole("entry")) {
    std::istringstream lines(
        Fetch({entry.address, "GET", "/metrics", "", ""}).body);
    std::string line;
    while (std::getline(lines, line)) {
      const size_t end = line.find_first_of(" {");
      if (end == name.size() && line.compare(0, end, name) == 0)
        sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

double Fleet::EntryCpuSeconds() const {
  double sum = 0;
  for (const Process& entry : ProcessesWithRole("entry"))
    sum += ProcessCpuSeconds(entry.pid);
  return sum;
}

bool Fleet::SetFaults(const Process& process, const std::string& json) const {
  return Fetch({process.address, "POST", "/faults", "", json}).status == 200;
}

void Fleet::Kill(const Process& process) {
  if (m_dead.insert(process.id).second)
    kill(process.pid, SIGKILL);
}

void Fleet::RemoveFromInstanceList(const Process& process) const {
  Fetch({AddressOf(m_env.at("LIST_URL")), "DELETE", "/instances/" + process.id,
         "", ""});
}

double ProcessCpuSeconds(int pid) {
  const std::string stat = ReadFile("/proc/" + std::to_string(pid) + "/stat");
  const size_t end = stat.rfind(')');
  if (end == std::string::npos)
    return 0;
  std::istringstream fields(stat.substr(end + 2));
  std::string field;
  double ticks = 0;
  for (int i = 0; i <= kSystemTicksIndex && fields >> field; ++i)
    if (i >= kUserTicksIndex)
      ticks += std::stod(field);
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double OwnCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double LoadAverage() {
  std::istringstream text(ReadFile("/proc/loadavg"));
  double average = 0;
  text >> average;
  return average;
}

MachineCpu ReadMachineCpu() {
  std::istringstream text(ReadFile("/proc/stat"));
  std::string label;
  text >> label;
  MachineCpu cpu;
  double ticks = 0;
  // user, nice, system, idle, iowait, irq, softirq, steal
  for (int i = 0; i < 8 && text >> ticks; ++i) {
    cpu.total += ticks;
    if (i != 3 && i != 4)
      cpu.busy += ticks;
  }
  return cpu;
}

double BusyCores(const MachineCpu& before, const MachineCpu& after) {
  const double total = after.total - before.total;
  return total <= 0 ? 0
                    : (after.busy - before.busy) / total *
                          static_cast<double>(sysconf(_SC_NPROCESSORS_ONLN));
}

}  // namespace trefoilwick::bench
