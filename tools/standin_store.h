// Table service and object store stand-ins, without sockets.
#pragma once

#include "standin.h"

namespace trefoilwick::standin {

// Delays operations so that at most `per_second` run in a second. Not
// thread-safe.
class RateLimiter {
 public:
  // 0: no limit.
  explicit RateLimiter(double per_second) : m_per_second(per_second) {}
  // Time to wait before an operation that arrives at `now`.
  Duration Reserve(TimePoint now);

 private:
  double m_per_second;
  TimePoint m_next{};
};

struct TableRow {
  std::string key;
  std::string value;
  int64_t version = 0;
  bool operator==(const TableRow&) const = default;
};

struct TableCheck {
  std::string table;
  std::string key;
  // 0: the row must be absent.
  int64_t version = 0;
};

struct TablePut {
  std::string table;
  std::string key;
  std::string value;
  bool erase = false;
};

struct TransactResult {
  // Failed checks with the versions found; if any, nothing was written.
  std::vector<TableCheck> failed;
  // New versions in the order of the puts, 0 for an erased row.
  std::vector<int64_t> versions;
};

// Rows of a transactional store. The first version of a row is 1. A row that is
// inserted again after it was erased continues its version numbers, so that a
// check on an old version cannot succeed by accident. Not thread-safe.
class TableRows {
 public:
  std::optional<TableRow> Get(const std::string& table,
                              const std::string& key) const;
  TransactResult Transact(const std::vector<TableCheck>& checks,
                          const std::vector<TablePut>& puts);
  // Rows with `prefix` and key greater than `after`, ordered by key.
  std::vector<TableRow> Scan(const std::string& table,
                             const std::string& prefix,
                             const std::string& after,
                             size_t limit) const;

 private:
  struct Cell {
    std::string value;
    int64_t version = 0;
    bool erased = false;
  };
  int64_t Version(const std::string& table, const std::string& key) const;
  std::map<std::string, std::map<std::string, Cell>> m_tables;
};

struct TableOptions {
  // Limits that delay replies; 0 means unlimited.
  double writes_per_second = 0;
  double reads_per_second = 0;
};

std::unique_ptr<Role> MakeTableRole(TableOptions options, Journal& journal);
std::unique_ptr<Role> MakeObjectRole(Journal& journal);

}  // namespace trefoilwick::standin
