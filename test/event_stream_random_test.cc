// Random tests of the reader of event streams: whatever bytes servers send, a
// client gets whole events with the numbers that are due.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "test_args.h"
#include "trefoilwick/event_stream.h"

namespace trefoilwick {
namespace {

constexpr int kDefaultCases = 100'000;
constexpr uint64_t kDefaultSeed = 1;

// An event as a client of the event stream format reads it.
struct ClientEvent {
  std::vector<std::string> ids;
  std::vector<std::string> fields;
};

// Reads a stream as the format says, apart from the reader under test: a line
// ends at CR LF, LF or CR, and an empty line ends an event.
struct ClientView {
  std::vector<ClientEvent> events;
  // Bytes are left behind the last event.
  bool has_rest = false;
};

ClientView ReadAsClient(const std::string& bytes) {
  ClientView view;
  ClientEvent event;
  std::string line;
  const auto end_line = [&] {
    if (line.empty()) {
      if (!event.fields.empty())
        view.events.push_back(event);
      event = ClientEvent();
      return;
    }
    const size_t colon = line.find(':');
    if (line.substr(0, colon) == "id") {
      std::string value = colon == std::string::npos ? "" : line.substr(colon);
      value.erase(0, value.starts_with(": ") ? 2 : 1);
      event.ids.push_back(value);
    }
    if (colon != 0)
      event.fields.push_back(line.substr(0, colon));
    line.clear();
  };
  for (size_t at = 0; at < bytes.size(); ++at) {
    if (bytes[at] == '\n' && at > 0 && bytes[at - 1] == '\r')
      continue;
    if (bytes[at] == '\n' || bytes[at] == '\r')
      end_line();
    else
      line += bytes[at];
  }
  view.has_rest = !line.empty() || !event.fields.empty();
  return view;
}

struct RightStream {
  int64_t first_id = 0;
  // Bytes of the events, in order.
  std::vector<std::string> events;

  std::string From(int64_t id) const {
    std::string out;
    for (size_t i = static_cast<size_t>(id - first_id); i < events.size(); ++i)
      out += events[i];
    return out;
  }
};

RightStream MakeStream(Random& random) {
  RightStream stream;
  stream.first_id = static_cast<int64_t>(random.UniformBelow(2));
  const std::string end = random.UniformBelow(4) == 0 ? "\r\n" : "\n";
  const auto count = static_cast<int64_t>(2 + random.UniformBelow(12));
  for (int64_t i = 0; i < count; ++i) {
    std::string event;
    if (random.UniformBelow(8) == 0)
      event += "weight-versions: 2" + end;
    for (const std::string& line :
         {"id: " + std::to_string(stream.first_id + i),
          "data: t" + std::to_string(i), std::string()})
      event.append(line).append(end);
    stream.events.push_back(event);
  }
  return stream;
}

// Offsets at which a line begins.
std::vector<size_t> LineBegins(const std::string& bytes) {
  std::vector<size_t> begins = {0};
  for (size_t at = 0; at < bytes.size(); ++at)
    if (bytes[at] == '\n')
      begins.push_back(at + 1);
  return begins;
}

// Offsets at which an event begins, and the end.
std::vector<size_t> EventBegins(const std::string& bytes) {
  std::vector<size_t> begins = {0};
  for (const size_t at : LineBegins(bytes))
    if (at >= 2 &&
        (bytes[at - 2] == '\n' || bytes.substr(0, at).ends_with("\n\r\n")))
      begins.push_back(at);
  return begins;
}

template <typename T>
T PickOne(Random& random, const std::vector<T>& from) {
  return from[random.UniformBelow(from.size())];
}

// Garbage without lines of data: a reader that does not know the data cannot
// tell these from those of the event.
std::string MakeGarbage(Random& random) {
  static const std::vector<std::string> pieces = {
      "garbage",    "\n",       "\r",          "\r\n",
      "\n\n",       "\r\n\r\n", "\n\r\n",      "\r\r",
      "id",         "id:",      "id: 3\n",     "id: 4\n\n",
      "id: 05\n",   "id: -1\n", "id: x\n\n",   "HTTP/1.1 200 OK\r\n\r\n",
      "5\r\n",      ":\n",      "\xff\xfe\n",  std::string("\0\n", 2),
      "retry: 9\n", "x: y\n",   "\xef\xbb\xbf"};
  std::string out;
  for (uint64_t i = 0, count = 1 + random.UniformBelow(3); i < count; ++i)
    out += PickOne(random, pieces);
  return out;
}

// A run of a server that repeats or leaves out events, breaks off, or sends
// garbage between lines.
std::string Spoil(Random& random, std::string run) {
  const std::vector<size_t> begins = EventBegins(run);
  const size_t at = PickOne(random, begins);
  const size_t other = PickOne(random, begins);
  const size_t from = std::min(at, other);
  const size_t size = std::max(at, other) - from;
  switch (random.UniformBelow(6)) {
    case 0:
      run.insert(at, run.substr(from, size));
      break;
    case 1:
      run.erase(from, size);
      break;
    default:
      break;
  }
  if (random.UniformBelow(4) == 0)
    run.resize(random.UniformBelow(run.size() + 1));
  for (uint64_t i = 0, count = random.UniformBelow(3); i < count; ++i)
    run.insert(PickOne(random, LineBegins(run)), MakeGarbage(random));
  return run;
}

// Arbitrary bytes in arbitrary places.
std::string SpoilAnywhere(Random& random, std::string run) {
  for (uint64_t i = 0, count = random.UniformBelow(4); i < count; ++i) {
    const size_t at = random.UniformBelow(run.size() + 1);
    if (random.UniformBelow(2) == 0)
      run.insert(at, MakeGarbage(random));
    else if (at < run.size())
      run[at] = static_cast<char>(random.UniformBelow(256));
  }
  return run;
}

std::string FeedInParts(Random& random,
                        EventStreamReader& reader,
                        const std::string& run) {
  std::string out;
  for (size_t at = 0; at < run.size();) {
    const size_t size = 1 + random.UniformBelow(run.size());
    out += reader.Feed(run.substr(at, size), TimePoint{});
    at += size;
  }
  return out;
}

struct Outcome {
  RightStream stream;
  // Number of the first event that the client waits for.
  int64_t due_id = 0;
  std::string bytes;
  // The last run looked complete, and what its server sent.
  bool complete = false;
  std::string last_run;
};

// Runs a stream on servers until one ends without a fault, at most four times.
template <typename SpoilRun>
Outcome PlayStream(Random& random, const SpoilRun& spoil) {
  Outcome outcome;
  outcome.stream = MakeStream(random);
  outcome.due_id = outcome.stream.first_id;
  EventStreamReader reader =
      EventStreamReader::Builder().SetExtraFields({"weight-versions"}).Build();
  if (random.UniformBelow(3) == 0) {
    outcome.due_id +=
        static_cast<int64_t>(random.UniformBelow(outcome.stream.events.size()));
    reader.ContinueAfter(outcome.due_id - 1);
  }
  for (int run = 0; run < 4 && !outcome.complete; ++run) {
    reader.BeginRun(outcome.stream.first_id);
    // A server may go on after the last event or begin again.
    const int64_t from =
        random.UniformBelow(3) == 0 ? outcome.stream.first_id : reader.due_id();
    const std::string sound_run = outcome.stream.From(from);
    outcome.last_run = spoil(random, sound_run);
    outcome.bytes += FeedInParts(random, reader, outcome.last_run);
    // A sound server must be able to end the stream.
    if (outcome.last_run == sound_run)
      CPPUNIT_ASSERT_EQUAL(
          ReadAsClient(outcome.stream.From(outcome.due_id)).events.size(),
          ReadAsClient(outcome.bytes).events.size());
    outcome.complete = reader.End() == StreamFault::kNone;
  }
  return outcome;
}

std::string Printable(const std::string& bytes) {
  std::string out;
  for (const char c : bytes)
    out += c == '\n' ? "\\n" : c == '\r' ? "\\r" : std::string(1, c);
  return out;
}

// A client sees nothing but events with one id each, in the order due.
bool HasOnlyEventsDue(const Outcome& outcome) {
  const ClientView view = ReadAsClient(outcome.bytes);
  int64_t due = outcome.due_id;
  for (const ClientEvent& event : view.events)
    if (event.ids != std::vector<std::string>{std::to_string(due++)})
      return false;
  return !view.has_rest;
}

// Clients ignore lines that begin with a colon.
std::string WithoutComments(const std::string& bytes) {
  std::string out;
  for (size_t at = 0; at < bytes.size();) {
    const size_t end = std::min(bytes.find('\n', at), bytes.size() - 1) + 1;
    if (bytes[at] != ':')
      out += bytes.substr(at, end - at);
    at = end;
  }
  return out;
}

uint64_t NumberArg(const std::string& name, uint64_t otherwise) {
  const auto& args = TestArgs();
  for (size_t i = 0; i + 1 < args.size(); ++i)
    if (args[i] == name)
      return std::stoull(args[i + 1]);
  return otherwise;
}

class EventStreamRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventStreamRandomTest);
  CPPUNIT_TEST(AnyBytesGiveOnlyEventsDue);
  CPPUNIT_TEST(SpoiledRunsGivePrefixOfRightStream);
  CPPUNIT_TEST(EverySplitGivesTheSameEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Bytes that are no numbered event, for some reader of the format, reached
  // the client.
  void AnyBytesGiveOnlyEventsDue() {
    ForEachCase([](Random& random) {
      const Outcome outcome = PlayStream(random, SpoilAnywhere);
      CPPUNIT_ASSERT_MESSAGE(Printable(outcome.bytes),
                             HasOnlyEventsDue(outcome));
    });
  }

  // Pieces of runs were joined, repeated or left out, or a stream that was cut
  // off looked complete.
  void SpoiledRunsGivePrefixOfRightStream() {
    int complete = 0;
    ForEachCase([&](Random& random) {
      const Outcome outcome = PlayStream(random, Spoil);
      CPPUNIT_ASSERT_MESSAGE(Printable(outcome.bytes),
                             HasOnlyEventsDue(outcome));
      const std::string right = outcome.stream.From(outcome.due_id);
      CPPUNIT_ASSERT_MESSAGE(Printable(outcome.bytes),
                             right.starts_with(WithoutComments(outcome.bytes)));
      CPPUNIT_ASSERT_MESSAGE(
          Printable(outcome.last_run),
          !outcome.complete || !ReadAsClient(outcome.last_run).has_rest);
      complete += outcome.complete ? 1 : 0;
    });
    // Most cases must get to their end, or they would show nothing.
    CPPUNIT_ASSERT(complete > static_cast<int>(NumberOfCases()) / 2);
  }

  void EverySplitGivesTheSameEvents() {
    const std::string bytes =
        ": c\n\nid: 0\r\ndata: a\r\n\r\nid: 1\ndata: b\n\n:\n\nid: 3\ndata: "
        "d\n\n";
    for (size_t first = 0; first <= bytes.size(); ++first)
      for (size_t second = first; second <= bytes.size(); ++second) {
        EventStreamReader reader;
        reader.BeginRun(0);
        std::string out = reader.Feed(bytes.substr(0, first), TimePoint{});
        out += reader.Feed(bytes.substr(first, second - first), TimePoint{});
        out += reader.Feed(bytes.substr(second), TimePoint{});
        CPPUNIT_ASSERT_EQUAL(
            std::string("id: 0\r\ndata: a\r\n\r\nid: 1\ndata: b\n\n"), out);
        CPPUNIT_ASSERT(reader.fault() == StreamFault::kUnexpectedEvent);
      }
  }

 private:
  static uint64_t NumberOfCases() {
    return NumberArg("--cases", kDefaultCases) / 2;
  }

  template <typename Case>
  void ForEachCase(Case run) {
    const uint64_t seed = NumberArg("--seed", kDefaultSeed);
    for (uint64_t i = 0; i < NumberOfCases(); ++i) {
      Random random(seed * 1'000'003 + i);
      run(random);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamRandomTest);

}  // namespace
}  // namespace trefoilwick
