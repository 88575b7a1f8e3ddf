#include "trefoilwick/platform.h"

#include <algorithm>

namespace trefoilwick {

namespace {

absl::Status FaultStatus(StoreFault fault, bool read) {
  const std::string text =
      "injected fault: " + std::string(kStoreFaultNames.Name(fault));
  if (read || fault == StoreFault::kUnavailable)
    return MakeStatus(absl::StatusCode::kUnavailable, text);
  return MakeStatus(absl::StatusCode::kUnknown, text);
}

absl::Status NotFound(const std::string& what) {
  return MakeStatus(absl::StatusCode::kNotFound, what);
}

}  // namespace

void FakeStore::SetFaults(FaultFunction faults) {
  std::lock_guard lock(m_mutex);
  m_faults = std::move(faults);
}

uint64_t FakeStore::calls() const {
  std::lock_guard lock(m_mutex);
  return m_calls;
}

StoreFault FakeStore::NextFault(const std::string& call,
                                const std::string& key) {
  FaultFunction faults;
  {
    std::lock_guard lock(m_mutex);
    ++m_calls;
    faults = m_faults;
  }
  return faults ? faults(call, key) : StoreFault::kNone;
}

absl::StatusOr<StoreRow> FakeStore::Get(const std::string& table,
                                        const std::string& key) {
  const StoreFault fault = NextFault("get", key);
  if (fault != StoreFault::kNone)
    return FaultStatus(fault, true);
  std::lock_guard lock(m_mutex);
  auto it = m_rows.find({table, key});
  if (it == m_rows.end())
    return NotFound(table + "/" + key);
  return it->second;
}

absl::StatusOr<std::vector<int64_t>> FakeStore::Transact(
    const StoreTransaction& transaction) {
  std::string key;
  if (!transaction.puts.empty())
    key = transaction.puts.front().key;
  else if (!transaction.checks.empty())
    key = transaction.checks.front().key;
  const StoreFault fault = NextFault("transact", key);
  if (fault == StoreFault::kUnavailable || fault == StoreFault::kRequestLost)
    return FaultStatus(fault, false);
  absl::StatusOr<std::vector<int64_t>> result = Apply(transaction);
  if (fault == StoreFault::kAnswerLost)
    return FaultStatus(fault, false);
  return result;
}

absl::StatusOr<std::vector<int64_t>> FakeStore::Apply(
    const StoreTransaction& transaction) {
  std::lock_guard lock(m_mutex);
  for (const StoreCheck& check : transaction.checks) {
    auto it = m_rows.find({check.table, check.key});
    const int64_t version = it == m_rows.end() ? 0 : it->second.version;
    if (version != check.version) {
      return MakeStatus(absl::StatusCode::kFailedPrecondition,
                        check.table + "/" + check.key + " has version " +
                            std::to_string(version));
    }
  }
  std::vector<int64_t> versions;
  for (const StorePut& put : transaction.puts) {
    const std::pair<std::string, std::string> id{put.table, put.key};
    if (put.erase) {
      m_rows.erase(id);
      versions.push_back(0);
      continue;
    }
    // The counter outlives the row: a version seen before an erase must not
    // match a row inserted later.
    const int64_t version = ++m_versions[id];
    m_rows[id] = {put.key, put.value, version};
    versions.push_back(version);
  }
  return versions;
}

absl::StatusOr<std::vector<StoreRow>> FakeStore::Scan(const std::string& table,
                                                      const std::string& prefix,
                                                      const std::string& after,
                                                      int limit) {
  const StoreFault fault = NextFault("scan", prefix);
  if (fault != StoreFault::kNone)
    return FaultStatus(fault, true);
  std::lock_guard lock(m_mutex);
  std::vector<StoreRow> rows;
  for (auto it = m_rows.lower_bound({table, std::max(prefix, after)});
       it != m_rows.end() && it->first.first == table; ++it) {
    if (rows.size() >= static_cast<size_t>(std::max(limit, 0)))
      break;
    const std::string& key = it->first.second;
    if (key.compare(0, prefix.size(), prefix) != 0)
      break;
    if (key > after)
      rows.push_back(it->second);
  }
  return rows;
}

absl::StatusOr<std::string> FakeStore::GetObject(const std::string& name) {
  const StoreFault fault = NextFault("get_object", name);
  if (fault != StoreFault::kNone)
    return FaultStatus(fault, true);
  std::lock_guard lock(m_mutex);
  auto it = m_objects.find(name);
  if (it == m_objects.end())
    return NotFound(name);
  return it->second;
}

absl::Status FakeStore::PutObject(const std::string& name,
                                  const std::string& bytes,
                                  bool if_absent) {
  const StoreFault fault = NextFault("put_object", name);
  if (fault == StoreFault::kUnavailable || fault == StoreFault::kRequestLost)
    return FaultStatus(fault, false);
  bool refused = false;
  {
    std::lock_guard lock(m_mutex);
    refused = if_absent && m_objects.count(name) != 0;
    if (!refused)
      m_objects[name] = bytes;
  }
  if (fault == StoreFault::kAnswerLost)
    return FaultStatus(fault, false);
  if (refused)
    return MakeStatus(absl::StatusCode::kFailedPrecondition, name + " exists");
  return absl::OkStatus();
}

}  // namespace trefoilwick
