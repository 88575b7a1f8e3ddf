// Shared code of the stand-ins for outside systems: requests and replies
// independent of HTTP, the journal, and the entry point of the program.
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

// A request as passed to a role. `path` is still percent-encoded, the query is
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
  // Time to wait before the reply is sent.
  Duration delay{0};
  // If set, the process exits instead of replying.
  bool crash = false;
};

Reply JsonReply(int status, const nlohmann::json& body);
Reply ErrorReply(int status, const std::string& error);

// Appends `text` as a JSON string; bytes that are not UTF-8 are replaced.
void AppendJsonText(std::string& out, const std::string& text);

// Decodes %XX; an invalid escape is kept unchanged.
std::string PercentDecode(const std::string& text);
// The decoded part of `path` after `prefix`; nullopt when `path` does not start
// with `prefix`.
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
  void AddEvent(const nlohmann::json& event);
  // Adds an event that is already serialised, without the line end.
  void AddLine(std::string line);
  // Returns the kept events and optionally removes them.
  std::string Read(bool clear);
  // Number of events dropped because of the limit since the start.
  uint64_t dropped() const;

 private:
  mutable std::mutex m_mutex;
  size_t m_limit;
  std::deque<std::string> m_lines;
  uint64_t m_dropped = 0;
  std::FILE* m_file = nullptr;
};

// The behaviour of one outside system, without sockets and threads.
// Thread-safe.
class Role {
 public:
  virtual ~Role() = default;
  virtual Reply Handle(TimePoint now, const Request& request) = 0;
  // Applies the faults that are specific to this role.
  virtual void SetFaults(const Faults& /*faults*/) {}
};

// Parses the options, serves until SIGTERM or SIGINT; returns the exit code.
int RunStandin(int argc, char** argv);

}  // namespace trefoilwick::standin
