#include "trefoilwick/routing.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <xxhash.h>

namespace trefoilwick {

namespace {

constexpr int64_t kQuarantineMillis = 600'000;
constexpr size_t kMaxQuarantined = 4096;
constexpr int64_t kOneRetry = 1'000'000;
// Limit on saved retries beyond the reserve: with the default ratio, those of
// the last 100 attempts.
constexpr double kMaxSavedRetries = 10;

bool IsSpace(char c) {
  return c == ' ' || (c >= '\t' && c <= '\r');
}

}  // namespace

std::string ChainOwner(const Chain& chain,
                       const std::vector<SchedulerCandidate>& live) {
  const bool has_local = std::any_of(
      live.begin(), live.end(), [&](const SchedulerCandidate& candidate) {
        return candidate.data_center == chain.data_center;
      });
  const uint64_t chain_hash = StableHash(chain.id);
  const SchedulerCandidate* best = nullptr;
  uint64_t best_score = 0;
  for (const SchedulerCandidate& candidate : live) {
    if (has_local && candidate.data_center != chain.data_center)
      continue;
    const uint64_t score = StableHash(candidate.id, chain_hash);
    if (!best || score > best_score ||
        (score == best_score && candidate.id < best->id)) {
      best = &candidate;
      best_score = score;
    }
  }
  return best ? best->id : std::string();
}

void PrefixIndex::Record(uint64_t prefix, const std::string& chain) {
  if (prefix == 0 || m_capacity == 0)
    return;
  std::lock_guard lock(m_mutex);
  if (auto it = m_chains.find(prefix); it != m_chains.end()) {
    it->second->second = chain;
    m_lru_list.splice(m_lru_list.end(), m_lru_list, it->second);
    return;
  }
  if (m_chains.size() >= m_capacity) {
    m_chains.erase(m_lru_list.front().first);
    m_lru_list.pop_front();
  }
  m_lru_list.emplace_back(prefix, chain);
  m_chains.emplace(prefix, std::prev(m_lru_list.end()));
}

void PrefixIndex::RemoveChain(const std::string& chain) {
  std::lock_guard lock(m_mutex);
  for (auto it = m_lru_list.begin(); it != m_lru_list.end();) {
    if (it->second == chain) {
      m_chains.erase(it->first);
      it = m_lru_list.erase(it);
    } else {
      ++it;
    }
  }
}

std::optional<std::string> PrefixIndex::Find(uint64_t prefix) const {
  std::lock_guard lock(m_mutex);
  auto it = m_chains.find(prefix);
  if (it == m_chains.end())
    return std::nullopt;
  return it->second->second;
}

uint64_t PrefixHash(std::string_view prompt, int tokens) {
  std::string words;
  size_t position = 0;
  for (int count = 0; count < tokens; ++count) {
    while (position < prompt.size() && IsSpace(prompt[position]))
      ++position;
    const size_t start = position;
    while (position < prompt.size() && !IsSpace(prompt[position]))
      ++position;
    if (start == position)
      break;
    words.append(prompt.substr(start, position - start)).push_back(' ');
  }
  if (words.empty())
    return 0;
  // 0 means that the prefix is unknown.
  return std::max<uint64_t>(1, XXH3_64bits(words.data(), words.size()));
}

uint64_t Fingerprint(std::string_view model, std::string_view prompt) {
  const uint64_t model_hash = XXH3_64bits(model.data(), model.size());
  return XXH3_64bits_withSeed(prompt.data(), prompt.size(), model_hash);
}

RetryBudget::RetryBudget(double ratio, double reserve)
    : m_earned_per_attempt(std::llround(ratio * kOneRetry)),
      m_max_balance(std::llround((reserve + kMaxSavedRetries) * kOneRetry)),
      m_balance(std::llround(reserve * kOneRetry)) {}

void RetryBudget::OnAttempt() {
  int64_t balance = m_balance.load(std::memory_order_relaxed);
  int64_t next;
  do {
    next = std::min(m_max_balance, balance + m_earned_per_attempt);
  } while (!m_balance.compare_exchange_weak(balance, next,
                                            std::memory_order_relaxed));
}

bool RetryBudget::TryRetry() {
  int64_t balance = m_balance.load(std::memory_order_relaxed);
  do {
    if (balance < kOneRetry)
      return false;
  } while (!m_balance.compare_exchange_weak(balance, balance - kOneRetry,
                                            std::memory_order_relaxed));
  return true;
}

void Quarantine::Add(int64_t unix_millis, uint64_t fingerprint) {
  std::erase_if(m_expiry,
                [&](const auto& entry) { return entry.second <= unix_millis; });
  Merge(fingerprint, unix_millis + kQuarantineMillis);
}

void Quarantine::Merge(uint64_t fingerprint, int64_t expires_unix_millis) {
  int64_t& expiry = m_expiry[fingerprint];
  expiry = std::max(expiry, expires_unix_millis);
  if (m_expiry.size() <= kMaxQuarantined)
    return;
  m_expiry.erase(std::min_element(
      m_expiry.begin(), m_expiry.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

bool Quarantine::Contains(int64_t unix_millis, uint64_t fingerprint) const {
  auto it = m_expiry.find(fingerprint);
  return it != m_expiry.end() && it->second > unix_millis;
}

std::vector<std::pair<uint64_t, int64_t>> Quarantine::List(
    int64_t unix_millis) const {
  std::vector<std::pair<uint64_t, int64_t>> list;
  for (const auto& entry : m_expiry)
    if (entry.second > unix_millis)
      list.push_back(entry);
  return list;
}

void Quarantine::Clear() {
  m_expiry.clear();
}

}  // namespace trefoilwick
