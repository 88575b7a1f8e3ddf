#include "bench_scenario.h"

#include <openssl/sha.h>

#include <toml++/toml.h>
#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>
#include <stdexcept>

namespace trefoilwick::bench {
namespace {

constexpr int kVocabularyWords = 5000;
constexpr int kMeanSamples = 20'000;

std::string Sha256Hex(const std::string& text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest);
  std::string hex;
  for (const unsigned char byte : digest) {
    char pair[3];
    std::snprintf(pair, sizeof(pair), "%02x", byte);
    hex += pair;
  }
  return hex;
}

double NumberOr(const toml::table& table, const char* name, double fallback) {
  return table[name].value_or(fallback);
}

std::string RequiredString(const toml::table& table, const char* name) {
  const auto value = table[name].value<std::string>();
  if (!value) {
    std::ostringstream message;
    message << table.source() << ": " << name << ": a string is required";
    throw std::runtime_error(message.str());
  }
  return *value;
}

Rank ParseRank(const std::string& name) {
  const auto rank = kRankNames.Parse(name);
  if (!rank)
    throw std::runtime_error("unknown rank " + name);
  return *rank;
}

LengthDistribution ReadLength(const toml::table& table, const char* name) {
  const toml::table* row = table[name].as_table();
  if (row == nullptr)
    throw std::runtime_error(std::string(name) + ": a table is required");
  return {NumberOr(*row, "median", 1), NumberOr(*row, "sigma", 0),
          static_cast<int>(NumberOr(*row, "max", 1))};
}

Workload ReadWorkload(const toml::table& row) {
  Workload work;
  work.kind = RequiredString(row, "kind");
  work.rank = ParseRank(RequiredString(row, "rank"));
  work.weight = NumberOr(row, "weight", 1);
  work.floor = NumberOr(row, "floor", 0);
  work.first_token_ms = static_cast<int>(NumberOr(row, "first_token_ms", 1000));
  work.between_tokens_ms =
      static_cast<int>(NumberOr(row, "between_tokens_ms", 100));
  work.share = NumberOr(row, "share", 0);
  work.prompt_length = ReadLength(row, "prompt");
  work.answer_length = ReadLength(row, "answer");
  return work;
}

LoadAccount ReadAccount(const toml::table& row) {
  LoadAccount account;
  account.name = RequiredString(row, "name");
  account.weight = NumberOr(row, "weight", 1);
  account.rank_limit = ParseRank(RequiredString(row, "rank_limit"));
  account.share = NumberOr(row, "share", 0);
  account.tokens_per_second = NumberOr(row, "tokens_per_second", 0);
  return account;
}

template <typename T, typename Read>
std::vector<T> ReadRows(const toml::table& table, const char* name, Read read) {
  std::vector<T> rows;
  const toml::array* array = table[name].as_array();
  if (array == nullptr)
    throw std::runtime_error(std::string(name) +
                             ": an array of tables is required");
  for (const toml::node& node : *array)
    if (const toml::table* row = node.as_table())
      rows.push_back(read(*row));
  return rows;
}

int SampleLength(const LengthDistribution& length, std::mt19937_64& random) {
  std::lognormal_distribution<double> sizes(std::log(length.median),
                                            length.sigma);
  return std::clamp(static_cast<int>(std::lround(sizes(random))), 1,
                    length.max);
}

std::string MakeWords(int count, uint64_t unique_tag, std::mt19937_64& random) {
  std::string text;
  for (int i = 0; i < count; ++i)
    text += "t" + std::to_string(random() % kVocabularyWords) + " ";
  return text + "q" + std::to_string(unique_tag);
}

std::string MakePrompt(const Scenario& scenario,
                       const LengthDistribution& length,
                       uint64_t unique_tag,
                       std::mt19937_64& random) {
  const int words = SampleLength(length, random);
  const bool shared =
      std::uniform_real_distribution<>(0, 1)(random) < scenario.prefix_share;
  if (!shared || words <= scenario.prefix_words)
    return MakeWords(words, unique_tag, random);
  std::mt19937_64 prefix(
      random() % static_cast<uint64_t>(std::max(1, scenario.prefix_count)));
  return MakeWords(scenario.prefix_words, 0, prefix) + " " +
         MakeWords(words - scenario.prefix_words, unique_tag, random);
}

void AppendFlow(const Scenario& scenario,
                const Flow& flow,
                std::mt19937_64& random,
                std::vector<Job>& jobs) {
  std::vector<LoadAccount> accounts;
  std::vector<double> shares;
  for (const LoadAccount& account : flow.accounts) {
    if (account.rank_limit > flow.workload.rank)
      continue;
    accounts.push_back(account);
    shares.push_back(account.share);
  }
  const double rate =
      flow.tokens_per_second / MeanLength(flow.workload.answer_length);
  if (accounts.empty() || rate <= 0)
    return;
  std::exponential_distribution<double> interarrival_s(rate);
  std::discrete_distribution<size_t> account_index(shares.begin(),
                                                   shares.end());
  for (double at = flow.begin + interarrival_s(random); at < flow.end;
       at += interarrival_s(random)) {
    Job job;
    job.arrival_time = at;
    job.account = accounts[account_index(random)].name;
    job.kind = flow.workload.kind;
    job.rank = flow.workload.rank;
    job.prompt = MakePrompt(scenario, flow.workload.prompt_length,
                            jobs.size() + 1, random);
    job.tokens = SampleLength(flow.workload.answer_length, random);
    jobs.push_back(std::move(job));
  }
}

}  // namespace

const Workload& Scenario::FindWorkload(Rank rank) const {
  for (const Workload& work : workloads)
    if (work.rank == rank)
      return work;
  throw std::runtime_error("the scenario has no workload of this rank");
}

Scenario ReadScenario(const std::string& path) {
  const toml::table table = toml::parse_file(path);
  Scenario scenario;
  scenario.name = RequiredString(table, "name");
  scenario.model = RequiredString(table, "model");
  if (const toml::table* prefix = table["prefix"].as_table()) {
    scenario.prefix_share = NumberOr(*prefix, "share", 0);
    scenario.prefix_count = static_cast<int>(NumberOr(*prefix, "count", 1));
    scenario.prefix_words = static_cast<int>(NumberOr(*prefix, "words", 0));
  }
  scenario.workloads = ReadRows<Workload>(table, "work", ReadWorkload);
  scenario.accounts = ReadRows<LoadAccount>(table, "account", ReadAccount);
  return scenario;
}

std::string OperatorTableToml(const Scenario& scenario) {
  std::ostringstream out;
  for (const Workload& work : scenario.workloads) {
    out << "[[kind]]\nname = \"" << work.kind << "\"\nrank = \""
        << kRankNames.Name(work.rank) << "\"\nweight = " << work.weight
        << "\nfloor = " << work.floor << "\nmodel = \"" << scenario.model
        << "\"\nfirst_token_ms = " << work.first_token_ms
        << "\nbetween_tokens_ms = " << work.between_tokens_ms << "\n\n";
  }
  for (const LoadAccount& account : scenario.accounts) {
    out << "[[account]]\nname = \"" << account.name
        << "\"\nweight = " << account.weight << "\nrank_limit = \""
        << kRankNames.Name(account.rank_limit) << "\"\nkey_sha256 = \""
        << Sha256Hex("key-" + account.name) << "\"\n";
    if (account.tokens_per_second > 0)
      out << "tokens_per_second = " << account.tokens_per_second << "\n";
    out << "\n";
  }
  return out.str();
}

std::vector<Job> MakeJobs(const Scenario& scenario,
                          const std::vector<Flow>& flows,
                          uint64_t seed) {
  std::vector<Job> jobs;
  std::mt19937_64 random(seed);
  for (const Flow& flow : flows)
    AppendFlow(scenario, flow, random, jobs);
  std::stable_sort(jobs.begin(), jobs.end(), [](const Job& a, const Job& b) {
    return a.arrival_time < b.arrival_time;
  });
  return jobs;
}

std::vector<Flow> MixedFlows(const Scenario& scenario,
                             double tokens_per_second,
                             double seconds) {
  std::vector<Flow> flows;
  for (const Workload& work : scenario.workloads)
    flows.push_back(
        {work, tokens_per_second * work.share, 0, seconds, scenario.accounts});
  return flows;
}

double MeanLength(const LengthDistribution& length) {
  std::mt19937_64 random(1);
  double sum = 0;
  for (int i = 0; i < kMeanSamples; ++i)
    sum += SampleLength(length, random);
  return sum / kMeanSamples;
}

}  // namespace trefoilwick::bench
