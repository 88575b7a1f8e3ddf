// In-memory table service and object store with injected faults.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "trefoilwick/platform.h"

namespace trefoilwick {

// As FakeStore, with a log of the calls and a hook that runs before a call
// takes effect. Not thread-safe.
class MemoryStore final : public TableService, public ObjectStore {
 public:
  // Returns the fault of a call, given its name and its number, counted from 0.
  using FaultFunction =
      std::function<StoreFault(const std::string& call, int number)>;
  FaultFunction fault_function;
  // Runs before the effect of each call; it may call Write.
  std::function<void(const std::string& call, int number)> before_call;
  std::vector<std::string> calls;
  std::map<std::string, StoreRow> rows;
  std::map<std::string, std::string> objects;

  absl::StatusOr<StoreRow> Get(const std::string& /*table*/,
                               const std::string& key) override {
    if (BeginCall("get") != StoreFault::kNone)
      return Unavailable();
    const auto it = rows.find(key);
    if (it == rows.end())
      return MakeStatus(absl::StatusCode::kNotFound, key);
    return it->second;
  }

  absl::StatusOr<std::vector<int64_t>> Transact(
      const StoreTransaction& transaction) override {
    const StoreFault fault = BeginCall("transact");
    if (fault == StoreFault::kUnavailable)
      return Unavailable();
    if (fault == StoreFault::kRequestLost)
      return Unknown();
    auto written = Write(transaction);
    if (fault == StoreFault::kAnswerLost)
      return Unknown();
    return written;
  }

  absl::StatusOr<std::vector<StoreRow>> Scan(const std::string& /*table*/,
                                             const std::string& prefix,
                                             const std::string& after,
                                             int limit) override {
    if (BeginCall("scan") != StoreFault::kNone)
      return Unavailable();
    std::vector<StoreRow> found;
    for (auto it = rows.upper_bound(after);
         it != rows.end() && static_cast<int>(found.size()) < limit; ++it)
      if (it->first.starts_with(prefix))
        found.push_back(it->second);
    return found;
  }

  absl::StatusOr<std::string> GetObject(const std::string& name) override {
    if (BeginCall("get_object") != StoreFault::kNone)
      return Unavailable();
    const auto it = objects.find(name);
    if (it == objects.end())
      return MakeStatus(absl::StatusCode::kNotFound, name);
    return it->second;
  }

  absl::Status PutObject(const std::string& name,
                         const std::string& bytes,
                         bool if_absent) override {
    const StoreFault fault = BeginCall("put_object");
    if (fault == StoreFault::kUnavailable)
      return Unavailable();
    if (fault == StoreFault::kRequestLost)
      return Unknown();
    if (if_absent && objects.contains(name))
      return MakeStatus(absl::StatusCode::kFailedPrecondition, name);
    objects[name] = bytes;
    return fault == StoreFault::kAnswerLost ? Unknown() : absl::OkStatus();
  }

  // Writes without faults and without logging the call.
  absl::StatusOr<std::vector<int64_t>> Write(
      const StoreTransaction& transaction) {
    for (const StoreCheck& check : transaction.checks) {
      const auto it = rows.find(check.key);
      if ((it == rows.end() ? 0 : it->second.version) != check.version)
        return MakeStatus(absl::StatusCode::kFailedPrecondition, check.key);
    }
    std::vector<int64_t> versions;
    for (const StorePut& put : transaction.puts) {
      StoreRow& row = rows[put.key];
      row = {put.key, put.value, row.version + 1};
      versions.push_back(row.version);
    }
    return versions;
  }

 private:
  static absl::Status Unavailable() {
    return MakeStatus(absl::StatusCode::kUnavailable, "store unavailable");
  }
  static absl::Status Unknown() {
    return MakeStatus(absl::StatusCode::kUnknown, "answer lost");
  }
  StoreFault BeginCall(const std::string& call) {
    const int number = static_cast<int>(calls.size());
    calls.push_back(call);
    if (before_call)
      before_call(call, number);
    return fault_function ? fault_function(call, number) : StoreFault::kNone;
  }
};

}  // namespace trefoilwick
