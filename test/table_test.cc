#include "trefoilwick/table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <iostream>

#include "table_samples.h"
#include "test_args.h"

namespace trefoilwick {
namespace {

constexpr char kValidToml[] = R"([[kind]]
name = "brief-draft"
rank = "urgent"
weight = 4
floor = 0.10
model = "debate-70b"
first_token_ms = 340
between_tokens_ms = 31

[[kind]]
name = "ballot"
service = "records"
idempotent = false

[[account]]
name = "regina-club"
rank_limit = "urgent"
requests_per_second = 5
tokens_per_second = 2000.5
concurrent = 8
key_sha256 = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)";

struct FindingCase {
  const char* name;
  const char* toml;
  // Findings without the file name, ordered by line.
  const char* expected;
};

#define KEY_A "key_sha256 = \"" HEX_A HEX_A "\"\n"
#define HEX_A "00112233445566778899aabbccddeeff"

const FindingCase kFindingCases[] = {
    {"empty file is a table", "", ""},
    {"unknown fields of every level",
     "colour = 1\n[[kind]]\nname = 'k'\nmodel = 'm'\nwait = 2\n"
     "[[account]]\nname = 'a'\n" KEY_A "rank = 'urgent'\n",
     "1: unknown field \"colour\"\n5: unknown field \"wait\"\n"
     "9: unknown field \"rank\"\n"},
    {"wrong types, each reported once",
     "version = 'x'\n[[kind]]\nname = 7\nmodel = ['m']\nweight = '4'\n"
     "idempotent = 1\nfirst_token_ms = 1.5\nrank = 'high'\n",
     "1: version must be an integer of 0 or more\n"
     "3: name must be a string\n4: model must be a string\n"
     "5: weight must be a number\n6: idempotent must be true or false\n"
     "7: first_token_ms must be an integer\n"
     "8: rank must be \"urgent\", \"ordinary\" or \"batch\"\n"},
    {"rows that are not rows", "kind = 3\naccount = [1]\n",
     "1: kind must be given as [[kind]] rows\n"
     "2: account must be given as [[account]] rows\n"},
    {"a single table is not a row", "[kind]\nname = 'k'\n",
     "1: kind must be given as [[kind]] rows\n"},
    {"missing fields", "[[kind]]\n\n[[account]]\nname = 'a'\n",
     "1: name is missing\n1: exactly one of model and service must be set\n"
     "3: key_sha256 is missing\n"},
    {"ranges",
     "[[kind]]\nname = 'k k'\nmodel = 'm'\nweight = 0\nfloor = -0.1\n"
     "first_token_ms = 0\nbetween_tokens_ms = 9999999999\n",
     "2: name must be 1 to 64 of a-z A-Z 0-9 . _ -\n"
     "4: weight must be 0.001 to 1e+06, is 0\n"
     "5: floor must be 0 to 1, is -0.1\n"
     "6: first_token_ms must be 1 to 86400000, is 0\n"
     "7: between_tokens_ms is out of range\n"},
    {"numbers that are not finite",
     "[[kind]]\nname = 'k'\nmodel = 'm'\nweight = nan\nfloor = inf\n",
     "4: weight must be 0.001 to 1e+06, is nan\n"
     "5: floor must be 0 to 1, is inf\n"},
    {"account limits",
     "[[account]]\nname = 'a'\nrequests_per_second = -1\nconcurrent = -1\n"
     "key_sha256 = '" HEX_A "'\n",
     "3: requests_per_second must be 0 to 1e+09, is -1\n"
     "4: concurrent must be 0 to 1e+06, is -1\n"
     "5: key_sha256 must be 64 lower-case hex digits\n"},
    {"duplicates",
     "[[kind]]\nname = 'k'\nmodel = 'm'\n[[kind]]\nname = 'k'\n"
     "model = 'm'\n[[account]]\nname = 'a'\n" KEY_A
     "[[account]]\nname = 'a'\n" KEY_A,
     "5: name \"k\" is used twice\n11: name \"a\" is used twice\n"
     "12: key_sha256 is used by another account\n"},
    {"floors sum over 1 at the row that exceeds it",
     "[[kind]]\nname = 'a'\nmodel = 'm'\nfloor = 0.6\n"
     "[[kind]]\nname = 'b'\nmodel = 'm'\nfloor = 0.6\n",
     "8: the floors up to this row sum to 1.2, over 1\n"},
    {"floors may sum to 1",
     "[[kind]]\nname = 'a'\nmodel = 'm'\nfloor = 0.7\n[[kind]]\nname = 'b'\n"
     "model = 'm'\nfloor = 0.2\n[[kind]]\nname = 'c'\nmodel = 'm'\n"
     "floor = 0.1\n",
     ""},
    {"unknown model and service",
     "[[kind]]\nname = 'a'\nmodel = 'm9'\n[[kind]]\nname = 'b'\n"
     "service = 's9'\n",
     "3: unknown model \"m9\"\n6: unknown service \"s9\"\n"},
    {"model and service", "[[kind]]\nname='a'\nmodel='m'\nservice='s'\n",
     "1: exactly one of model and service must be set\n"},
    {"a model kind cannot be non-idempotent",
     "[[kind]]\nname = 'a'\nmodel = 'm'\nidempotent = false\n",
     "4: only a kind with a service may be non-idempotent\n"},
};

std::string FindingsOf(const std::string& toml) {
  Findings findings;
  const auto table =
      ParseTable(toml, "t", KnownModelsAndServices{{"m"}, {"s"}}, findings);
  CPPUNIT_ASSERT_EQUAL(findings.empty(), table.ok());
  std::string text = findings.ToString();
  for (size_t at = 0; (at = text.find("t:", at)) != std::string::npos;)
    if (at == 0 || text[at - 1] == '\n')
      text.erase(at, 2);
    else
      ++at;
  return text;
}

bool IsValid(const Table& table) {
  Findings findings;
  CheckTable(table, "", findings);
  return findings.empty();
}

Table Parse(const std::string& text) {
  Findings findings;
  auto table = ParseTable(text, "t.toml", KnownModelsAndServices{}, findings);
  CPPUNIT_ASSERT_MESSAGE(findings.ToString(), table.ok());
  return *std::move(table);
}

Table RandomTable(Random& random, int64_t version) {
  const Table all = SampleTable(20);
  std::map<std::string, WorkKind> kinds;
  std::map<std::string, Account> accounts;
  for (auto [name, kind] : all.kinds()) {
    kind.weight = 0.001 + random.UniformDouble() * 100;
    kind.floor = random.UniformDouble() / 4;
    if (random.UniformBelow(3) != 0)
      kinds.emplace(name, kind);
  }
  for (auto [name, account] : all.accounts()) {
    account.requests_per_second = random.UniformDouble() * 1e5;
    account.rank_limit = static_cast<Rank>(random.UniformBelow(kRankCount));
    if (random.UniformBelow(3) != 0)
      accounts.emplace(name, account);
  }
  return {version, std::move(kinds), std::move(accounts)};
}

// Replaces, inserts, deletes or repeats up to three pieces of `text`. Half of
// the edits change a digit or letter to another, so that values change too.
std::string EditAtRandom(Random& random, std::string text) {
  static constexpr std::string_view kBytes = "[]=\"'\n\\#.,{}0919-e \xffti";
  for (uint64_t i = 1 + random.UniformBelow(3); i > 0 && !text.empty(); --i) {
    const size_t at = random.UniformBelow(text.size());
    const char byte = random.UniformBelow(2) == 0
                          ? kBytes[random.UniformBelow(kBytes.size())]
                          : static_cast<char>(random.UniformBelow(256));
    switch (random.UniformBelow(8)) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.insert(at, 1, byte);
        break;
      case 2:
        text.erase(at, 1 + random.UniformBelow(20));
        break;
      case 3:
        text.insert(random.UniformBelow(text.size()), text.substr(at, 30));
        break;
      default:
        if (std::isalnum(static_cast<unsigned char>(text[at])) != 0)
          text[at] = "0123456789abcdfi"[random.UniformBelow(16)];
    }
  }
  return text;
}

double MillisSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

long PeakKib() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

// Prints the time of one call, the heap bytes that its result retains and the
// increase of the peak memory of the process.
template <typename Call>
auto Measure(const char* what, Call call) {
  const size_t before = HeapBytes();
  const long peak = PeakKib();
  const auto start = std::chrono::steady_clock::now();
  auto result = call();
  const double millis = MillisSince(start);
  std::cout << what << ": " << millis << " ms, "
            << (HeapBytes() - before) / 1024 << " KiB kept, peak +"
            << PeakKib() - peak << " KiB\n";
  return result;
}

class TableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableTest);
  CPPUNIT_TEST(ReadsEveryField);
  CPPUNIT_TEST(ReportsEveryProblemAtItsLine);
  CPPUNIT_TEST(ReportsSyntaxErrorsTogetherWithOthers);
  CPPUNIT_TEST(LooksUpRows);
  CPPUNIT_TEST(FormattedAndEncodedTablesRoundTrip);
  CPPUNIT_TEST(ApplyingDeltaGivesTargetTable);
  CPPUNIT_TEST(DeltaVersionsMustBeConsecutive);
  CPPUNIT_TEST(FormatsChangedFields);
  CPPUNIT_TEST(DecodingSkipsUnknownFields);
  CPPUNIT_TEST(CorruptTomlNeverGivesInvalidTable);
  CPPUNIT_TEST(CorruptBytesNeverCrashDecoding);
  CPPUNIT_TEST(MeasuresLargeTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields that are read into the wrong place or unit.
  void ReadsEveryField() {
    const Table table = Parse(kValidToml);
    const WorkKind draft{"brief-draft",
                         Rank::kUrgent,
                         4,
                         0.1,
                         "debate-70b",
                         "",
                         true,
                         std::chrono::milliseconds(340),
                         std::chrono::milliseconds(31)};
    CPPUNIT_ASSERT(draft == table.kinds().at("brief-draft"));
    WorkKind ballot;
    ballot.name = "ballot";
    ballot.service = "records";
    ballot.idempotent = false;
    CPPUNIT_ASSERT(ballot == table.kinds().at("ballot"));
    const Account club{"regina-club", 1, Rank::kUrgent, 5,
                       2000.5,        8, HEX_A HEX_A};
    CPPUNIT_ASSERT(club == table.accounts().at("regina-club"));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, table.version());
  }

  // Guards against reports of only the first problem, which cost an operator
  // one attempt per problem.
  void ReportsEveryProblemAtItsLine() {
    for (const FindingCase& test : kFindingCases)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string(test.expected),
                                   FindingsOf(test.toml));
  }

  // Guards against a parser that stops at the first syntax error, and against
  // line numbers counted from the start of a section.
  void ReportsSyntaxErrorsTogetherWithOthers() {
    Findings findings;
    const auto table = ParseTable(
        "[[kind]]\nname = \n\n[[kind]]\nname = 'k'\nmodel = 'm'\nfloor = 2\n"
        "[[account]]\nname = 'a\n",
        "t", KnownModelsAndServices{}, findings);
    CPPUNIT_ASSERT(!table.ok());
    std::vector<int> lines;
    for (const Finding& finding : findings.list())
      lines.push_back(finding.line);
    std::sort(lines.begin(), lines.end());
    CPPUNIT_ASSERT_MESSAGE(findings.ToString(),
                           (lines == std::vector<int>{2, 7, 9}));
    // Each section is correct here; only the whole file is not.
    CPPUNIT_ASSERT(!FindingsOf("version = 1\n[version]\n").empty());
  }

  // Guards against lookups that refer to the rows of a destroyed copy of the
  // table.
  void LooksUpRows() {
    Table table;
    {
      const Table sample = SampleTable(5, 3);
      table = sample;
    }
    CPPUNIT_ASSERT(table.FindKind("kind-1") == &table.kinds().at("kind-1"));
    CPPUNIT_ASSERT(table.FindAccount("nobody") == nullptr);
    CPPUNIT_ASSERT(table.FindAccountByKeyHash(SampleKeyHash(4)) ==
                   &table.accounts().at("account-4"));
    CPPUNIT_ASSERT(table.FindAccountByKeyHash("") == nullptr);
    CPPUNIT_ASSERT(table.DefaultKindForModel("debate-70b")->name == "kind-2");
    CPPUNIT_ASSERT(table.DefaultKindForModel("") == nullptr);
    CPPUNIT_ASSERT(Table().FindKind("kind-1") == nullptr);
  }

  // Guards against values that change in the TOML of `table get` or in the
  // encoding sent to peers.
  void FormattedAndEncodedTablesRoundTrip() {
    Random random(1);
    for (int i = 0; i < 200; ++i) {
      const Table table = RandomTable(random, i);
      CPPUNIT_ASSERT(table == Parse(FormatTable(table)));
      const auto decoded = DecodeTable(EncodeTable(table));
      CPPUNIT_ASSERT(decoded.ok() && table == *decoded);
    }
  }

  // Guards against rows missing from a delta, encoded or not.
  void ApplyingDeltaGivesTargetTable() {
    Random random(2);
    for (int i = 0; i < 200; ++i) {
      const Table from = RandomTable(random, i);
      const Table to = RandomTable(random, i + 1);
      const TableDelta delta = DiffTables(from, to);
      const auto decoded = DecodeDelta(EncodeDelta(delta));
      CPPUNIT_ASSERT(decoded.ok() && delta == *decoded);
      const auto applied = ApplyDelta(from, *decoded);
      CPPUNIT_ASSERT(applied.ok() && to == *applied);
      CPPUNIT_ASSERT(DiffTables(to, *applied).empty());
    }
  }

  // Guards against versions that are applied twice or skipped.
  void DeltaVersionsMustBeConsecutive() {
    const Table table = SampleTable(3, 7);
    for (const int64_t version : {6, 7, 9}) {
      TableDelta delta;
      delta.version = version;
      CPPUNIT_ASSERT(
          absl::IsFailedPrecondition(ApplyDelta(table, delta).status()));
    }
    std::vector<TableDelta> nonconsecutive(2);
    nonconsecutive[0].version = 8;
    nonconsecutive[1].version = 10;
    CPPUNIT_ASSERT(!ApplyDeltas(table, nonconsecutive).ok());
  }

  void FormatsChangedFields() {
    const Table from = SampleTable(2);
    auto accounts = from.accounts();
    accounts.at("account-0").weight = 2.5;
    accounts.at("account-0").max_concurrent_requests = 9;
    accounts.erase("account-1");
    accounts["new"].name = "new";
    const Table to(1, from.kinds(), accounts);
    CPPUNIT_ASSERT_EQUAL(
        std::string("- account account-1\n"
                    "~ account account-0 weight 1 -> 2.5, concurrent 8 -> 9\n"
                    "+ account new weight=1 rank_limit=ordinary "
                    "requests_per_second=0 tokens_per_second=0 concurrent=0\n"),
        FormatDelta(from, DiffTables(from, to)));
  }

  // Guards against instances that cannot read changes written by a newer
  // version of the program, and against values of the wrong type.
  void DecodingSkipsUnknownFields() {
    const auto delta =
        DecodeDelta(R"({"v":3,"later":[1],"a":[{"n":"a","later":{}}]})");
    CPPUNIT_ASSERT(delta.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), delta->accounts.at(0).name);
    for (const char* bad :
         {"", "null", "[]", "{}", R"({"v":"3"})", R"({"v":-1})",
          R"({"v":18446744073709551615})", R"({"v":1,"a":{}})",
          R"({"v":1,"a":[{}]})", R"({"v":1,"a":[{"n":"a","w":"1"}]})",
          R"({"v":1,"a":[{"n":"a","l":3}]})", R"({"v":1,"ra":[""]})",
          R"({"v":1,"a":[{"n":"a","w":1e999}]})"})
      CPPUNIT_ASSERT_MESSAGE(bad, !DecodeDelta(bad).ok());
    CPPUNIT_ASSERT(!DecodeTable(R"({"v":1,"a":[{"n":"a"},{"n":"a"}]})").ok());
  }

  // Guards against crashes on corrupt files, and against a corrupt file that is
  // accepted although it violates a check.
  void CorruptTomlNeverGivesInvalidTable() {
    Random random(3);
    const std::string valid =
        kValidToml + FormatTable(SampleTable(3)).substr(12);
    Parse(valid);
    int accepted = 0;
    for (int i = 0; i < 4000; ++i) {
      Findings findings;
      const std::string text = EditAtRandom(random, valid);
      const auto table =
          ParseTable(text, "t", KnownModelsAndServices{}, findings);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, table.ok(), findings.empty());
      if (!table.ok())
        continue;
      ++accepted;
      CPPUNIT_ASSERT_MESSAGE(text, IsValid(*table));
      CPPUNIT_ASSERT_MESSAGE(text, *table == Parse(FormatTable(*table)));
    }
    // The edits must give both valid and invalid files; otherwise one of the
    // two cases is not tested.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(accepted),
                           accepted > 100 && accepted < 3900);
  }

  void CorruptBytesNeverCrashDecoding() {
    Random random(4);
    const std::string valid = EncodeTable(SampleTable(3, 5));
    for (int i = 0; i < 20000; ++i) {
      const std::string bytes = EditAtRandom(random, valid);
      const auto delta = DecodeDelta(bytes);
      const auto table = DecodeTable(bytes);
      if (!table.ok())
        continue;
      CPPUNIT_ASSERT(delta.ok());
      const auto again = DecodeTable(EncodeTable(*table));
      CPPUNIT_ASSERT_MESSAGE(bytes, again.ok());
      for (const auto& [name, account] : table->accounts())
        CPPUNIT_ASSERT(!name.empty() && account.name == name);
    }
  }

  // Prints sizes and times with the argument "measure".
  void MeasuresLargeTable() {
    const auto& args = TestArgs();
    if (std::find(args.begin(), args.end(), "measure") == args.end())
      return;
    std::cout << "\n";
    const Table generated = SampleTable(12000, 1);
    const std::string toml =
        Measure("FormatTable", [&] { return FormatTable(generated); });
    const Table table = Measure("ParseTable", [&] { return Parse(toml); });
    const std::string bytes =
        Measure("EncodeTable", [&] { return EncodeTable(table); });
    const auto decoded =
        Measure("DecodeTable", [&] { return DecodeTable(bytes); });
    const Table edited = WithWeight(table, "account-77", 3).WithVersion(2);
    const TableDelta delta =
        Measure("DiffTables", [&] { return DiffTables(table, edited); });
    const auto applied =
        Measure("ApplyDelta", [&] { return ApplyDelta(table, delta); });
    const std::vector<TableDelta> delta_page = [&] {
      std::vector<TableDelta> deltas(256, delta);
      for (size_t i = 0; i < deltas.size(); ++i)
        deltas[i].version = static_cast<int64_t>(i) + 2;
      return deltas;
    }();
    const auto caught_up = Measure(
        "ApplyDeltas of 256", [&] { return ApplyDeltas(table, delta_page); });
    CPPUNIT_ASSERT(caught_up.ok());
    std::cout << "bytes: TOML " << toml.size() << ", table " << bytes.size()
              << ", one-row change " << EncodeDelta(delta).size() << "\n";
    CPPUNIT_ASSERT(decoded.ok() && *decoded == table && *applied == edited);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableTest);

}  // namespace
}  // namespace trefoilwick
