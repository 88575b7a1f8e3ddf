// Common parts of the stand-ins for outside systems: requests and replies
// without HTTP, the journal, and the program's entry point.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"
#include "trefoilwick/kernel.h"

namespace trefoilwick::standin {

struct Faults;

// A request as a role sees it. `path` is still percent-encoded, the query is
// decoded and header names are in lower case.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
  // Empty when the header is absent.
  std::string Header(const std::string& name) const {
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
};

struct Reply {
  int status = 200;
  std::string body = "{}";
  std::string content_type = "application/json";
  // The reply leaves after this time.
  Duration delay{0};
  // The process ends instead of answering.
  bool crash = false;
};

Reply JsonReply(int status, const nlohmann::json& body);
Reply ErrorReply(int status, const std::string& error);

// Appends `text` as a JSON string; bytes that are not UTF-8 are replaced.
void AppendJsonText(std::string& out, const std::string& text);

// Decodes %XX; a broken escape is kept as it is.
std::string PercentDecode(const std::string& text);
// The decoded rest of `path` after `prefix`; nothing when it differs.
std::optional<std::string> DecodePathSuffix(const std::string& path,
                                            const std::string& prefix);

// Events of one stand-in, one JSON object per line, the newest `limit` kept.
// Thread-safe.
class Journal {
 public:
  explicit Journal(size_t limit = 200'000) : m_limit(limit) {}
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;
  // Every event is also appended to this file, so that it survives a crash.
  absl::Status OpenFile(const std::string& path);
  void Add(const nlohmann::json& event);
  // Adds an event that is already serialised, without the line end.
  void AddLine(std::string line);
  // Returns the kept events and optionally forgets them.
  std::string Read(bool clear);
  // Events lost to the limit since the start.
  uint64_t dropped() const;

 private:
  mutable std::mutex m_mutex;
  size_t m_limit;
  std::deque<std::string> m_lines;
  uint64_t m_dropped = 0;
  std::FILE* m_file = nullptr;
};

// The behaviour of one outside system, free of sockets and threads.
// Thread-safe.
class Role {
 public:
  virtual ~Role() = default;
  virtual Reply Handle(TimePoint now, const Request& request) = 0;
  // Faults that only this role knows.
  virtual void SetFaults(const Faults& /*faults*/) {}
};

// Parses the options, serves until SIGTERM or SIGINT; returns the exit code.
int RunStandin(int argc, char** argv);

}  // namespace trefoilwick::standin
