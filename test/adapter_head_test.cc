// Tests of the gateway with servers that send heads which are not allowed by
// the protocol: the response is broken and no client gets it.
#include <cppunit/extensions/HelperMacros.h>

#include "broken_responses.h"
#include "gateway_fixtures.h"

namespace trefoilwick {
namespace {

constexpr char kSealedFields[] = "Attempt-Id: a1\r\nServer-Seal: s\r\n";

class AdapterHeadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdapterHeadTest);
  CPPUNIT_TEST(BadStatusIsNotForwarded);
  CPPUNIT_TEST(BadFieldNameIsNotForwarded);
  CPPUNIT_TEST(FoldedLineIsNotForwarded);
  CPPUNIT_TEST(BadTransferCodingIsNotForwarded);
  CPPUNIT_TEST(TrailerIsNotReadAsHead);
  CPPUNIT_TEST_SUITE_END();

  // Checks that a request that may be repeated is completed by another server,
  // that one that may not fails after one send, and that a client of a stream
  // gets nothing of it.
  static void CheckNotForwarded(const std::vector<BrokenResponse>& responses) {
    std::string forwarded;
    for (const BrokenResponse& broken : responses) {
      const Answer once = CallWithFirstAnswer("POST /post/x", broken.bytes);
      const Answer repeated = CallWithFirstAnswer("GET /get/x", broken.bytes);
      const Answer stream = CallWithFirstAnswer("POST /single/x", broken.bytes);
      if (!once.response.starts_with("HTTP/1.1 502") || once.sends != 1 ||
          Contains(once.response, "broken"))
        forwarded += broken.name + ": " + once.response + "\n";
      if (!repeated.response.ends_with("\r\n\r\ndone"))
        forwarded += broken.name + ": " + repeated.response + "\n";
      if (!stream.response.starts_with("HTTP/1.1 502") ||
          Contains(stream.response, "broken"))
        forwarded += broken.name + ": " + stream.response + "\n";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), forwarded);
  }

 public:
  // A server in trouble answered with status 000, which reached the client.
  void BadStatusIsNotForwarded() {
    CheckNotForwarded(ResponsesWithBadStatus(kSealedFields));
    CheckNotForwarded(ResponsesWithBadStatus("Attempt-Id: a1\r\n"));
  }

  // Guards against forwarding such a name, or a body whose length it hides.
  void BadFieldNameIsNotForwarded() {
    CheckNotForwarded(ResponsesWithBadFieldName(kSealedFields, kBadNameBytes));
  }

  // A field whose name began with a blank became part of the value before it.
  // A length in it was not read, so that the client got a body of another size.
  void FoldedLineIsNotForwarded() {
    CheckNotForwarded(ResponsesWithFoldedLine(kSealedFields));
  }

  // The client got the coded body, or the sizes of chunks within the body.
  void BadTransferCodingIsNotForwarded() {
    CheckNotForwarded(ResponsesWithBadTransferCoding(kSealedFields));
  }

  // A field behind the body took effect when it arrived together with the head:
  // a success counted as sealed, and the client of a request that a server had
  // run and failed was told that it had not run.
  void TrailerIsNotReadAsHead() {
    const auto respond = [](const std::string& status,
                            const std::string& trailer) {
      return "HTTP/1.1 " + status +
             "\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
             "6\r\nbroken\r\n0\r\n" +
             trailer + "\r\n";
    };
    const Answer unsealed = CallWithFirstAnswer(
        "POST /post/x", respond("200 OK", "Server-Seal: s\r\n"));
    CPPUNIT_ASSERT_MESSAGE(unsealed.response,
                           unsealed.response.starts_with("HTTP/1.1 502"));
    const Answer failed = CallWithFirstAnswer(
        "POST /post/x", respond("503 Full", "Not-Run: 1\r\n"));
    CPPUNIT_ASSERT_MESSAGE(failed.response,
                           !Contains(failed.response, "not_run"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterHeadTest);

}  // namespace
}  // namespace trefoilwick
