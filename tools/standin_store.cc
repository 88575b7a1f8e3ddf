#include "standin_store.h"

#include <algorithm>

#include "answer.h"

namespace trefoilwick::standin {
namespace {

using nlohmann::json;

constexpr size_t kMaxScanRows = 1000;

json FormatRow(const TableRow& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

// Throws json::exception on a missing or mistyped field.
void ParseTransaction(const json& body,
                      std::vector<TableCheck>& checks,
                      std::vector<TablePut>& puts) {
  for (const json& check : body.value("checks", json::array()))
    checks.push_back({check.at("table").get<std::string>(),
                      check.at("key").get<std::string>(),
                      check.at("version").get<int64_t>()});
  for (const json& put : body.value("puts", json::array())) {
    const bool erase = put.value("erase", false);
    puts.push_back(
        {put.at("table").get<std::string>(), put.at("key").get<std::string>(),
         erase ? std::string() : put.at("value").get<std::string>(), erase});
  }
}

class TableRole final : public Role {
 public:
  TableRole(TableOptions options, Journal& journal)
      : m_journal(journal),
        m_writes(options.writes_per_second),
        m_reads(options.reads_per_second) {}

  Reply Handle(TimePoint now, const Request& request) override {
    std::lock_guard lock(m_mutex);
    Reply reply;
    if (request.method == "GET") {
      reply = Read(request);
      reply.delay = m_reads.Reserve(now);
    } else if (request.method == "POST" && request.path == "/transact") {
      try {
        reply = Transact(now, json::parse(request.body));
      } catch (const json::exception& error) {
        return ErrorReply(400, error.what());
      }
      reply.delay = m_writes.Reserve(now);
    } else {
      reply = ErrorReply(404, "no such path");
    }
    return reply;
  }

 private:
  Reply Read(const Request& request) {
    const std::string prefix = "/tables/";
    const size_t rows = request.path.find("/rows", prefix.size());
    if (request.path.compare(0, prefix.size(), prefix) != 0 ||
        rows == std::string::npos)
      return ErrorReply(404, "no such path");
    const std::string table =
        PercentDecode(request.path.substr(prefix.size(), rows - prefix.size()));
    const std::string path_suffix = request.path.substr(rows + 5);
    if (path_suffix.empty())
      return Scan(table, request);
    if (path_suffix.front() != '/')
      return ErrorReply(404, "no such path");
    const auto row = m_rows.Get(table, PercentDecode(path_suffix.substr(1)));
    if (!row)
      return ErrorReply(404, "no such row");
    return JsonReply(200, {{"value", row->value}, {"version", row->version}});
  }

  Reply Scan(const std::string& table, const Request& request) {
    const auto argument = [&](const std::string& name) {
      auto it = request.query.find(name);
      return it == request.query.end() ? std::string() : it->second;
    };
    size_t limit = kMaxScanRows;
    if (const std::string text = argument("limit"); !text.empty()) {
      if (text.size() > 9 ||
          text.find_first_not_of("0123456789") != std::string::npos)
        return ErrorReply(400, "limit is not a number");
      limit = std::min<size_t>(kMaxScanRows, std::stoul(text));
    }
    json rows = json::array();
    for (const TableRow& row :
         m_rows.Scan(table, argument("prefix"), argument("after"), limit))
      rows.push_back(FormatRow(row));
    return JsonReply(200, {{"rows", std::move(rows)}});
  }

  Reply Transact(TimePoint now, const json& body) {
    std::vector<TableCheck> checks;
    std::vector<TablePut> puts;
    ParseTransaction(body, checks, puts);
    const TransactResult result = m_rows.Transact(checks, puts);
    json event = {{"time", now.time_since_epoch().count()},
                  {"ok", result.failed.empty()},
                  {"puts", json::array()}};
    for (const TablePut& put : puts)
      event["puts"].push_back({{"table", put.table}, {"key", put.key}});
    m_journal.AddEvent(event);
    if (result.failed.empty())
      return JsonReply(200, {{"versions", result.versions}});
    json failed = json::array();
    for (const TableCheck& check : result.failed)
      failed.push_back({{"table", check.table},
                        {"key", check.key},
                        {"version", check.version}});
    return JsonReply(409, {{"failed", std::move(failed)}});
  }

  std::mutex m_mutex;
  Journal& m_journal;
  TableRows m_rows;
  RateLimiter m_writes;
  RateLimiter m_reads;
};

class ObjectRole final : public Role {
 public:
  explicit ObjectRole(Journal& journal) : m_journal(journal) {}

  Reply Handle(TimePoint now, const Request& request) override {
    const auto name = DecodePathSuffix(request.path, "/objects/");
    if (!name || name->empty())
      return ErrorReply(404, "no such path");
    std::lock_guard lock(m_mutex);
    auto it = m_objects.find(*name);
    if (request.method == "GET") {
      if (it == m_objects.end())
        return ErrorReply(404, "no such object");
      return {200, it->second, "application/octet-stream"};
    }
    if (request.method != "PUT")
      return ErrorReply(405, "only GET and PUT");
    if (request.Header("if-none-match") == "*" && it != m_objects.end())
      return ErrorReply(412, "the object exists");
    m_objects[*name] = request.body;
    m_journal.AddEvent({{"name", *name},
                        {"body_hash", BodyHash(request.body)},
                        {"time", now.time_since_epoch().count()}});
    return JsonReply(200, json::object());
  }

 private:
  std::mutex m_mutex;
  Journal& m_journal;
  std::map<std::string, std::string> m_objects;
};

}  // namespace

Duration RateLimiter::Reserve(TimePoint now) {
  if (m_per_second <= 0)
    return Duration(0);
  const TimePoint at = std::max(now, m_next);
  m_next = at + Duration(static_cast<int64_t>(1e6 / m_per_second));
  return at - now;
}

std::optional<TableRow> TableRows::Get(const std::string& table,
                                       const std::string& key) const {
  auto rows = m_tables.find(table);
  if (rows == m_tables.end())
    return std::nullopt;
  auto it = rows->second.find(key);
  if (it == rows->second.end() || it->second.erased)
    return std::nullopt;
  return TableRow{key, it->second.value, it->second.version};
}

int64_t TableRows::Version(const std::string& table,
                           const std::string& key) const {
  const auto row = Get(table, key);
  return row ? row->version : 0;
}

TransactResult TableRows::Transact(const std::vector<TableCheck>& checks,
                                   const std::vector<TablePut>& puts) {
  TransactResult result;
  for (const TableCheck& check : checks) {
    const int64_t version = Version(check.table, check.key);
    if (version != check.version)
      result.failed.push_back({check.table, check.key, version});
  }
  if (!result.failed.empty())
    return result;
  for (const TablePut& put : puts) {
    auto& rows = m_tables[put.table];
    if (put.erase) {
      if (auto it = rows.find(put.key); it != rows.end())
        it->second = {"", it->second.version, true};
      result.versions.push_back(0);
      continue;
    }
    Cell& cell = rows[put.key];
    cell = {put.value, cell.version + 1, false};
    result.versions.push_back(cell.version);
  }
  return result;
}

std::vector<TableRow> TableRows::Scan(const std::string& table,
                                      const std::string& prefix,
                                      const std::string& after,
                                      size_t limit) const {
  std::vector<TableRow> found;
  auto rows = m_tables.find(table);
  if (rows == m_tables.end())
    return found;
  auto it = after < prefix ? rows->second.lower_bound(prefix)
                           : rows->second.upper_bound(after);
  for (; it != rows->second.end() && found.size() < limit; ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0)
      break;
    if (!it->second.erased)
      found.push_back({it->first, it->second.value, it->second.version});
  }
  return found;
}

std::unique_ptr<Role> MakeTableRole(TableOptions options, Journal& journal) {
  return std::make_unique<TableRole>(options, journal);
}

std::unique_ptr<Role> MakeObjectRole(Journal& journal) {
  return std::make_unique<ObjectRole>(journal);
}

}  // namespace trefoilwick::standin
