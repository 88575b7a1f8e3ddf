// Clients of the platform's services: transactional table service, object
// store and instance list; with in-memory fakes for tests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// A row of the table service. Versions start at 1 and increase with every
// write.
struct StoreRow {
  std::string key;
  std::string value;
  int64_t version = 0;
  bool operator==(const StoreRow&) const = default;
};

// Requires that a row has this version; 0 requires that the row is absent.
struct StoreCheck {
  std::string table;
  std::string key;
  int64_t version = 0;
};

// Writes a row, or deletes it when `erase` is set.
struct StorePut {
  std::string table;
  std::string key;
  std::string value;
  bool erase = false;
};

struct StoreTransaction {
  std::vector<StoreCheck> checks;
  std::vector<StorePut> puts;
};

// All calls block up to the client's deadline and return one of:
//   kOk
//   kNotFound            the row or object is absent
//   kFailedPrecondition  a check failed; nothing was written
//   kUnavailable         it is certain that nothing was written
//   kUnknown             the write may or may not have taken effect
// Reads never return kUnknown.
class TableService {
 public:
  virtual ~TableService() = default;
  virtual absl::StatusOr<StoreRow> Get(const std::string& table,
                                       const std::string& key) = 0;
  // Writes all puts when all checks hold, otherwise nothing. Returns the new
  // versions in the order of `puts` (0 for an erased row).
  virtual absl::StatusOr<std::vector<int64_t>> Transact(
      const StoreTransaction& transaction) = 0;
  // Returns at most `limit` rows whose key starts with `prefix` and is greater
  // than `after`, ordered by key.
  virtual absl::StatusOr<std::vector<StoreRow>> Scan(const std::string& table,
                                                     const std::string& prefix,
                                                     const std::string& after,
                                                     int limit) = 0;
};

class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  virtual absl::StatusOr<std::string> GetObject(const std::string& name) = 0;
  // Returns kFailedPrecondition when `if_absent` is set and the object exists.
  virtual absl::Status PutObject(const std::string& name,
                                 const std::string& bytes,
                                 bool if_absent) = 0;
};

enum class InstanceState : uint8_t { kLive, kLeaving };
inline constexpr auto kInstanceStateNames = MakeEnumTable<InstanceState>({
    {InstanceState::kLive, "live"},
    {InstanceState::kLeaving, "leaving"},
});

// One entry of the platform's instance list: an instance or a backend server.
struct InstanceRecord {
  std::string id;
  // "entry", "engine" or "service".
  std::string role;
  InstanceState state = InstanceState::kLive;
  std::string data_center;
  // host:port for HTTP.
  std::string address;
  // host:port for messages between entry instances; entries only.
  std::string peer_address;
  // Engines only.
  std::string model;
  int first_layer = 0;
  int end_layer = 0;
  int model_layers = 0;
  std::string accelerator;
  // Decoded tokens per second at full batch.
  double speed = 0;
  bool checks_epochs = true;
  // Service name; plain services only.
  std::string service;
  bool operator==(const InstanceRecord&) const = default;
};

struct InstanceListing {
  int64_t version = 0;
  std::vector<InstanceRecord> instances;
};

class InstanceList {
 public:
  virtual ~InstanceList() = default;
  virtual absl::StatusOr<InstanceListing> List() = 0;
};

// Adapters over HTTP/JSON (docs/design.md, section 10). `base_url` is
// "http://host:port". Thread-safe.
std::unique_ptr<TableService> MakeHttpTableService(const std::string& base_url,
                                                   Duration deadline);
std::unique_ptr<ObjectStore> MakeHttpObjectStore(const std::string& base_url,
                                                 Duration deadline);
std::unique_ptr<InstanceList> MakeHttpInstanceList(const std::string& base_url,
                                                   Duration deadline);

// Fault injected into one call of FakeStore, decided before the call.
enum class StoreFault : uint8_t {
  kNone,
  kUnavailable,
  // The write takes effect but its response is lost: the call returns kUnknown.
  kAnswerLost,
  // The write does not take effect and the call returns kUnknown.
  kRequestLost,
};
inline constexpr auto kStoreFaultNames = MakeEnumTable<StoreFault>({
    {StoreFault::kNone, "none"},
    {StoreFault::kUnavailable, "unavailable"},
    {StoreFault::kAnswerLost, "answer_lost"},
    {StoreFault::kRequestLost, "request_lost"},
});

// In-memory table service and object store with injected faults. A read with
// kAnswerLost or kRequestLost returns kUnavailable. Thread-safe.
class FakeStore final : public TableService, public ObjectStore {
 public:
  // Called once per call with the name of the call ("get", "transact", "scan",
  // "get_object", "put_object") and its first key.
  using FaultFunction = std::function<StoreFault(const std::string& call,
                                                 const std::string& key)>;
  void SetFaults(FaultFunction faults);
  absl::StatusOr<StoreRow> Get(const std::string& table,
                               const std::string& key) override;
  absl::StatusOr<std::vector<int64_t>> Transact(
      const StoreTransaction& transaction) override;
  absl::StatusOr<std::vector<StoreRow>> Scan(const std::string& table,
                                             const std::string& prefix,
                                             const std::string& after,
                                             int limit) override;
  absl::StatusOr<std::string> GetObject(const std::string& name) override;
  absl::Status PutObject(const std::string& name,
                         const std::string& bytes,
                         bool if_absent) override;
  // Number of calls so far, including those with a fault.
  uint64_t calls() const;

 private:
  StoreFault NextFault(const std::string& call, const std::string& key);
  absl::StatusOr<std::vector<int64_t>> Apply(
      const StoreTransaction& transaction);

  mutable std::mutex m_mutex;
  FaultFunction m_faults;
  std::map<std::pair<std::string, std::string>, StoreRow> m_rows;
  // Last version of every key ever written.
  std::map<std::pair<std::string, std::string>, int64_t> m_versions;
  std::map<std::string, std::string> m_objects;
  uint64_t m_calls = 0;
};

}  // namespace trefoilwick
