#include "trefoilwick/daemon.h"

#include <cppunit/extensions/HelperMacros.h>

namespace trefoilwick {
namespace {

constexpr char kValidSettings[] = R"(id = "entry-0"
data_center = "regina"
address = "127.0.0.1:8000"
peer_address = "127.0.0.1:8001"
table_url = "http://127.0.0.1:1"
object_url = "http://127.0.0.1:2"
list_url = "http://127.0.0.1:3"
operator_key_sha256 = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)";

struct InvalidSetting {
  const char* line;
  const char* finding;
};
constexpr InvalidSetting kInvalidSettings[] = {
    {"adress = \"a:1\"\n", "s.toml:9: adress: unknown setting"},
    {"drain_seconds = 0\n", "s.toml:9: drain_seconds: must be an integer"},
    {"drain_seconds = \"x\"\n", "s.toml:9: drain_seconds: must be an integer"},
    {"log_level = 3\n", "s.toml:9: log_level: must be a string"},
    {"max_body_bytes = 1\n", "s.toml:9: max_body_bytes: must be an integer"},
    {"id = \n", "s.toml:9: "},
};

class DaemonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonTest);
  CPPUNIT_TEST(ValidSettingsAreParsed);
  CPPUNIT_TEST(InvalidSettingIsReportedAtItsLine);
  CPPUNIT_TEST(AllFindingsAreReportedAtOnce);
  CPPUNIT_TEST(ExitCodesAreStable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ValidSettingsAreParsed() {
    Findings findings;
    const auto settings = ParseSettings(kValidSettings, "s.toml", findings);
    CPPUNIT_ASSERT_MESSAGE(findings.ToString(), settings.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8001"), settings->peer_address);
    CPPUNIT_ASSERT(settings->drain_timeout == std::chrono::seconds(600));
  }

  // Guards against misspelled or mistyped settings that silently get their
  // default.
  void InvalidSettingIsReportedAtItsLine() {
    for (const InvalidSetting& invalid : kInvalidSettings) {
      Findings findings;
      const auto settings = ParseSettings(
          std::string(kValidSettings) + invalid.line, "s.toml", findings);
      CPPUNIT_ASSERT_MESSAGE(invalid.line, !settings.ok());
      CPPUNIT_ASSERT_MESSAGE(
          findings.ToString(),
          findings.ToString().find(invalid.finding) != std::string::npos);
    }
  }

  // Guards against a check that reports only one mistake per run.
  void AllFindingsAreReportedAtOnce() {
    Findings findings;
    const auto settings = ParseSettings(
        "id = 1\naddress = \"nowhere\"\ntable_url = \"x\"\nfoo = 1\n", "s.toml",
        findings);
    CPPUNIT_ASSERT(!settings.ok());
    CPPUNIT_ASSERT_EQUAL(size_t{9}, findings.list().size());
  }

  // Guards against changed exit codes, on which scripts depend.
  void ExitCodesAreStable() {
    CPPUNIT_ASSERT_EQUAL(2, RunCommandLine({}));
    CPPUNIT_ASSERT_EQUAL(2, RunCommandLine({"no-such-command"}));
    CPPUNIT_ASSERT_EQUAL(0, RunCommandLine({"--help"}));
    CPPUNIT_ASSERT_EQUAL(2, RunCommandLine({"serve"}));
    CPPUNIT_ASSERT_EQUAL(1, RunCommandLine({"serve", "--config", "/no/file"}));
    CPPUNIT_ASSERT_EQUAL(1, RunCommandLine({"check", "/no/file"}));
    for (const char* command : {"serve", "check", "table", "status", "drain",
                                "outcome", "quarantine", "report"})
      CPPUNIT_ASSERT_EQUAL(0, RunCommandLine({command, "--help"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonTest);

}  // namespace
}  // namespace trefoilwick
