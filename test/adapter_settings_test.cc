// Values of the settings file of the platform: each field with values of every
// kind.
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "settings.h"

namespace trefoilwick::platform {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A settings file with all fields that are read, one a line.
class File {
 public:
  File() {
    m_fields = {{"ip", "\"10.1.0.40\""},
                {"zone", "\"regina\""},
                {"portRange", "[7340,7355]"},
                {"listen.front", "\"10.1.0.40:8227\""},
                {"listen.ready", "\"10.1.0.40:8220\""},
                {"listen.directory", "\"10.1.0.40:8224\""},
                {"limits.cpuShare", "0.17"},
                {"limits.cores", "1"},
                {"limits.memoryMb", "182"},
                {"limits.maxFds", "2940"},
                {"limits.linkMbps", "700.0"},
                {"bounds.graceS", "8"},
                {"bounds.drainMs", "2000"},
                {"bounds.retryRatio", "0.2"},
                {"bounds.retryWindowS", "10"},
                {"bounds.retrySlack", "425"},
                {"platform.address", "\"10.200.1.7:8223\""}};
  }

  File& Set(const std::string& field, const std::string& value) {
    m_fields[field] = value;
    return *this;
  }
  File& Remove(const std::string& field) {
    m_fields.erase(field);
    return *this;
  }

  // Line of the field in the text.
  int LineOf(const std::string& field) const {
    return static_cast<int>(
        std::distance(m_fields.begin(), m_fields.find(field)) + 1);
  }

  absl::StatusOr<NodeSettings> Parse(Findings& errors) const {
    std::string text;
    for (const auto& [field, value] : m_fields)
      text.append(field).append(" = ").append(value).append("\n");
    return ParseNodeSettings(text, "local.toml", errors);
  }

  NodeSettings ParseUsable() const {
    Findings errors;
    const auto settings = Parse(errors);
    CPPUNIT_ASSERT_MESSAGE(errors.ToString(), settings.ok());
    return *settings;
  }

 private:
  std::map<std::string, std::string> m_fields;
};

const std::vector<std::string> kRequired = {"ip",           "zone",
                                            "portRange",    "listen.front",
                                            "listen.ready", "platform.address"};
const std::vector<std::string> kNumbers = {
    "limits.cpuShare",  "limits.cores",      "limits.memoryMb",
    "limits.maxFds",    "limits.linkMbps",   "bounds.graceS",
    "bounds.drainMs",   "bounds.retryRatio", "bounds.retryWindowS",
    "bounds.retrySlack"};
const std::vector<std::string> kNoNumbers = {
    "true", "false", "\"8\"",    "\"\"", "[]",
    "[8]",  "{}",    "07:32:00", "nan",  "-nan"};

class AdapterSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterSettingsTest);
  CPPUNIT_TEST(FiguresMayBeWholeOrFractions);
  CPPUNIT_TEST(FractionsKeepTheirPrecision);
  CPPUNIT_TEST(UnusableNumberYieldsItsDefaultAndOneLine);
  CPPUNIT_TEST(HugeNumbersDoNotOverflow);
  CPPUNIT_TEST(RequiredFieldsEndTheStartWithOneLine);
  CPPUNIT_TEST(OptionalFieldsMayBeMissing);
  CPPUNIT_TEST(DirectoryIsNotServedAtABadAddress);
  CPPUNIT_TEST(SectionOfAnotherTypeIsReported);
  CPPUNIT_TEST_SUITE_END();

  static void CheckOneWarning(const NodeSettings& settings,
                              const File& file,
                              const std::string& field) {
    const auto& warnings = settings.warnings.list();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(settings.warnings.ToString(), size_t{1},
                                 warnings.size());
    CPPUNIT_ASSERT_EQUAL(file.LineOf(field), warnings[0].line);
    CPPUNIT_ASSERT_MESSAGE(warnings[0].message,
                           warnings[0].message.starts_with(field + " "));
    CPPUNIT_ASSERT(warnings[0].message.find('\n') == std::string::npos);
  }

 public:
  // A grace period of 7.5 s kept every process from starting (review/15).
  void FiguresMayBeWholeOrFractions() {
    for (const std::string& field : kNumbers)
      for (const char* value : {"7", "7.5", "7e0", "0x7", "7_0"}) {
        const NodeSettings settings = File().Set(field, value).ParseUsable();
        CPPUNIT_ASSERT_MESSAGE(settings.warnings.ToString(),
                               settings.warnings.empty());
      }
  }

  void FractionsKeepTheirPrecision() {
    const NodeSettings settings = File()
                                      .Set("bounds.graceS", "9.5")
                                      .Set("bounds.drainMs", "1500.25")
                                      .Set("bounds.retryWindowS", "7.125")
                                      .Set("bounds.retrySlack", "42.5")
                                      .ParseUsable();
    const GatewaySettings& gateway = settings.gateway;
    CPPUNIT_ASSERT(gateway.termination_grace_period == milliseconds(9500));
    CPPUNIT_ASSERT(gateway.server_drain_time == microseconds(1'500'250));
    CPPUNIT_ASSERT(gateway.retry_window == milliseconds(7125));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(42.5, gateway.retry_slack, 0);
  }

  // Guards against a value that a restart meets on all instances at once.
  void UnusableNumberYieldsItsDefaultAndOneLine() {
    for (const std::string& field : kNumbers) {
      std::vector<std::string> values = kNoNumbers;
      values.insert(values.end(), {"-1", "-0.5", "-1e300", "-inf"});
      for (const std::string& value : values) {
        const File file = File().Set(field, value);
        CheckOneWarning(file.ParseUsable(), file, field);
      }
    }
    const NodeSettings settings =
        File().Set("bounds.graceS", "true").ParseUsable();
    CPPUNIT_ASSERT(settings.gateway.termination_grace_period == seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::string("bounds.graceS is no number; 8 is used"),
                         settings.warnings.list()[0].message);
  }

  void HugeNumbersDoNotOverflow() {
    for (const std::string& field : kNumbers)
      for (const char* value : {"1e300", "inf", "9223372036854775807"}) {
        const File file = File().Set(field, value);
        const NodeSettings settings = file.ParseUsable();
        CheckOneWarning(settings, file, field);
        const GatewaySettings& gateway = settings.gateway;
        CPPUNIT_ASSERT(gateway.cpu_milli > 0);
        CPPUNIT_ASSERT(gateway.termination_grace_period > Duration(0));
        CPPUNIT_ASSERT(gateway.server_drain_time > Duration(0));
        CPPUNIT_ASSERT(gateway.retry_window > Duration(0));
        CPPUNIT_ASSERT(gateway.max_connections >= 64);
        CPPUNIT_ASSERT(gateway.client_memory_bytes > 0);
      }
  }

  void RequiredFieldsEndTheStartWithOneLine() {
    for (const std::string& field : kRequired)
      for (const char* value : {"4", "4.5", "true", "nan", "{}", "[]", ""}) {
        File file = File().Set(field, value);
        if (std::string(value).empty())
          file.Remove(field);
        Findings errors;
        CPPUNIT_ASSERT_MESSAGE(field + "=" + value, !file.Parse(errors).ok());
        CPPUNIT_ASSERT_MESSAGE(
            errors.ToString(),
            errors.ToString().find(field) != std::string::npos);
      }
    Findings errors;
    CPPUNIT_ASSERT(!File().Set("listen.ready", "\"x\"").Parse(errors).ok());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, errors.list().size());
  }

  void OptionalFieldsMayBeMissing() {
    File file;
    for (const std::string& field : kNumbers)
      file.Remove(field);
    const NodeSettings settings = file.Remove("listen.directory").ParseUsable();
    CPPUNIT_ASSERT(settings.warnings.empty());
    CPPUNIT_ASSERT(settings.gateway.termination_grace_period == seconds(8));
    CPPUNIT_ASSERT(settings.gateway.directory_address.empty());
  }

  void DirectoryIsNotServedAtABadAddress() {
    for (const char* value : {"4", "true", "\"nowhere\"", "[]"}) {
      const File file = File().Set("listen.directory", value);
      const NodeSettings settings = file.ParseUsable();
      CheckOneWarning(settings, file, "listen.directory");
      CPPUNIT_ASSERT(settings.gateway.directory_address.empty());
    }
  }

  void SectionOfAnotherTypeIsReported() {
    File file;
    for (const std::string& field : kNumbers)
      if (field.starts_with("bounds."))
        file.Remove(field);
    file.Set("bounds", "7");
    CheckOneWarning(file.ParseUsable(), file, "bounds");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterSettingsTest);

}  // namespace
}  // namespace trefoilwick::platform
