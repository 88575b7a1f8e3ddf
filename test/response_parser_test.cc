// Tests of the parser of responses, with the bytes in pieces of every size.
#include "trefoilwick/response_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "broken_responses.h"

namespace trefoilwick {
namespace {

using boost::system::error_code;

// Result of a response whose bytes arrive in pieces of `piece_size` on a
// connection that closes behind them.
struct Parsed {
  error_code error;
  HttpResponse response;
  size_t bytes_left = 0;
};

Parsed ParseInPieces(const std::string& bytes, size_t piece_size) {
  ResponseParser parser({});
  boost::beast::flat_buffer buffer;
  Parsed out;
  for (size_t at = 0; at < bytes.size(); at += piece_size) {
    const std::string piece = bytes.substr(at, piece_size);
    buffer.commit(boost::asio::buffer_copy(buffer.prepare(piece.size()),
                                           boost::asio::buffer(piece)));
    out.error = parser.ParseBuffer(buffer);
    if (out.error != boost::beast::http::error::need_more)
      break;
  }
  if (out.error == boost::beast::http::error::need_more)
    parser.PutEof(out.error);
  out.bytes_left = buffer.size();
  if (!out.error)
    out.response = parser.Release();
  return out;
}

class ResponseParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseParserTest);
  CPPUNIT_TEST(PossibleResponsesAreAccepted);
  CPPUNIT_TEST(ImpossibleStatusIsRejected);
  CPPUNIT_TEST(BadFieldNameIsRejected);
  CPPUNIT_TEST(FoldedLineIsRejected);
  CPPUNIT_TEST(BadTransferCodingIsRejected);
  CPPUNIT_TEST(MalformedResponseIsRejected);
  CPPUNIT_TEST(TrailerIsDropped);
  CPPUNIT_TEST(BodyOverLimitIsRejected);
  CPPUNIT_TEST_SUITE_END();

  static void CheckRejected(const std::vector<BrokenResponse>& responses) {
    std::string accepted;
    for (const BrokenResponse& broken : responses)
      for (size_t size = 1; size <= broken.bytes.size(); ++size)
        if (!ParseInPieces(broken.bytes, size).error)
          accepted += broken.name + " in pieces of " + std::to_string(size) +
                      " bytes\n";
    CPPUNIT_ASSERT_EQUAL(std::string(), accepted);
  }

 public:
  // Guards against rejecting what sound servers send.
  void PossibleResponsesAreAccepted() {
    const std::pair<std::string, std::string> cases[] = {
        {"Content-Length: 5\r\n\r\nhello", "hello"},
        {"Content-Length: 0\r\n\r\n", ""},
        {"\r\n", ""},
        {"\r\nhello", "hello"},
        {"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello"},
        {"transfer-encoding:\t Chunked \r\n\r\n5\r\nhello\r\n0\r\n\r\n",
         "hello"},
        {"X-F: a b\tc \r\nContent-Length: 6\r\n\r\n hello", " hello"},
        {"X-F:\r\nContent-Length: 3\r\n\r\n\r\n ", "\r\n "},
        {"X-F: \xe2\x82\xac\r\nContent-Length: 1\r\n\r\n\t", "\t"},
    };
    for (const char* line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 \r\n",
                             "HTTP/1.1 404 No\r\n", "HTTP/1.1 599 Last\r\n"})
      for (const auto& [rest, body] : cases) {
        const std::string bytes = line + rest;
        for (size_t size = 1; size <= bytes.size(); ++size) {
          const Parsed parsed = ParseInPieces(bytes, size);
          CPPUNIT_ASSERT_MESSAGE(bytes + parsed.error.message(), !parsed.error);
          CPPUNIT_ASSERT_EQUAL(body, parsed.response.body());
          CPPUNIT_ASSERT_EQUAL(size_t{0}, parsed.bytes_left);
        }
      }
  }

  // Guards against a status that callers compare with a range of their own:
  // 000 counted as neither a success nor a failure.
  void ImpossibleStatusIsRejected() {
    CheckRejected(ResponsesWithBadStatus(""));
  }

  // Guards against a name that is not that of the field which it looks like.
  void BadFieldNameIsRejected() {
    std::string bytes("\x7f\x80\xff");
    for (char byte = 0; byte <= ' '; ++byte)
      bytes += byte;
    CheckRejected(ResponsesWithBadFieldName("X-F: x\r\n", bytes));
  }

  // Guards against a field that is taken for a part of the one before it.
  void FoldedLineIsRejected() {
    CheckRejected(ResponsesWithFoldedLine("X-F: x\r\n"));
  }

  // Guards against a body whose end is not where it seems to be.
  void BadTransferCodingIsRejected() {
    CheckRejected(ResponsesWithBadTransferCoding("X-F: x\r\n"));
  }

  // Guards against guessing what a server meant.
  void MalformedResponseIsRejected() { CheckRejected(MalformedResponses()); }

  // Guards against fields that are believed only when they arrive in one piece
  // with the head.
  void TrailerIsDropped() {
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nX-F: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n0\r\nX-F: y\r\nX-G: z\r\n\r\n";
    for (size_t size = 1; size <= bytes.size(); ++size) {
      const Parsed parsed = ParseInPieces(bytes, size);
      CPPUNIT_ASSERT(!parsed.error);
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), parsed.response.body());
      CPPUNIT_ASSERT_EQUAL(size_t{1}, parsed.response.count("X-F"));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, parsed.response.count("X-G"));
    }
  }

  // A body whose length was stated was read up to any size.
  void BodyOverLimitIsRejected() {
    const auto parse = [](const std::string& fields, const std::string& body) {
      ResponseParser parser({.max_body_bytes = 10});
      boost::beast::flat_buffer buffer;
      const std::string bytes = "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
      buffer.commit(boost::asio::buffer_copy(buffer.prepare(bytes.size()),
                                             boost::asio::buffer(bytes)));
      return parser.ParseBuffer(buffer);
    };
    const auto over_limit = boost::beast::http::error::body_limit;
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    CPPUNIT_ASSERT(!parse("Content-Length: 10\r\n", std::string(10, 'x')));
    CPPUNIT_ASSERT(!parse(chunked, "5\r\nhello\r\n5\r\nthere\r\n0\r\n\r\n"));
    // Before any byte of the body.
    CPPUNIT_ASSERT(parse("Content-Length: 11\r\n", "") == over_limit);
    CPPUNIT_ASSERT(parse(chunked, "5\r\nhello\r\n6\r\n") == over_limit);
    CPPUNIT_ASSERT(parse("", std::string(11, 'x')) == over_limit);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseParserTest);

}  // namespace
}  // namespace trefoilwick
