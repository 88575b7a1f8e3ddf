// The running fleet, from the files of scripts/fleet: addresses, processes,
// engine options, CPU times and counters.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace trefoilwick::bench {

struct EngineCosts {
  double base_us = 0;
  double per_sequence_us = 0;
  double per_prefill_token_us = 0;
};

struct Process {
  std::string id;
  std::string role;
  std::string data_center;
  std::string address;
  int pid = 0;
  std::vector<int> layers;
  EngineCosts costs;
};

struct ChainInfo {
  std::string id;
  std::string data_center;
  std::string owner;
  std::vector<std::string> stages;
};

class Fleet {
 public:
  // Reads the directory that scripts/fleet wrote. Throws std::runtime_error.
  explicit Fleet(const std::string& directory);

  const std::vector<Process>& processes() const { return m_processes; }
  std::vector<Process> ProcessesWithRole(const std::string& role) const;
  const Process& FindProcess(const std::string& id) const;
  // The chains known to the first entry that answers.
  std::vector<ChainInfo> Chains() const;
  // Addresses from /v1/entries; empty when no entry answers.
  std::vector<std::string> AdvertisedEntryAddresses() const;
  // Sum of a /metrics counter over the live entries.
  double SumCounter(const std::string& name) const;
  // User and system time of all entry processes.
  double EntryCpuSeconds() const;
  bool SetFaults(const Process& process, const std::string& json) const;
  // Sends SIGKILL; the process no longer counts as live.
  void Kill(const Process& process);
  // Removes the process from the instance list, as the platform does.
  void RemoveFromInstanceList(const Process& process) const;
  bool IsDead(const std::string& id) const { return m_dead.count(id) > 0; }

 private:
  void ReadEnv(const std::string& path);
  void ReadProcesses(const std::string& path);
  void ReadInstances();

  std::map<std::string, std::string> m_env;
  std::vector<Process> m_processes;
  std::set<std::string> m_dead;
};

// User and system time of a process in seconds; 0 when it has ended.
double ProcessCpuSeconds(int pid);
double OwnCpuSeconds();
// One-minute load average of the machine.
double LoadAverage();
// CPU ticks of the whole machine since its start.
struct MachineCpu {
  double busy = 0;
  double total = 0;
};
MachineCpu ReadMachineCpu();
// Average number of busy cores between two readings.
double BusyCores(const MachineCpu& before, const MachineCpu& after);

}  // namespace trefoilwick::bench
