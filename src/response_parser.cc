#include "trefoilwick/response_parser.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <limits>

namespace trefoilwick {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kHttp11 = 11;
// A faulty server may send them without end.
constexpr int kMaxInterimResponses = 32;

// RFC 9110, section 15: a status is from 100 to 599. No request asks for
// another protocol, so that none can be switched to.
bool IsPossibleStatus(unsigned status) {
  return status >= 100 && status <= 599 && status != kSwitchingProtocols;
}

bool IsInterimStatus(unsigned status) {
  return status / 100 == 1;
}

// Chunks are the only coding that requests allow, and HTTP/1.0 has none. The
// parser would take any other coding for a part of the body.
bool HasBadTransferCoding(const http::response_header<>& head) {
  const size_t fields = head.count(http::field::transfer_encoding);
  if (fields == 0)
    return false;
  return fields > 1 || head.version() < kHttp11 ||
         !boost::beast::iequals(head[http::field::transfer_encoding],
                                "chunked");
}

}  // namespace

ResponseParser::ResponseParser(const ResponseOptions& options)
    : m_options(options) {
  Reset();
}

void ResponseParser::Reset() {
  m_parser.emplace();
  m_parser->header_limit(m_options.max_head_bytes);
  // The parser takes no limit for a limit of nothing.
  m_parser->body_limit(
      m_options.max_body_bytes.value_or(std::numeric_limits<uint64_t>::max()));
  m_parser->skip(!m_options.has_body);
  m_scanned_bytes = 0;
  m_scanned_line_is_empty = true;
  m_head_scanned = false;
  m_head_accepted = false;
}

uint64_t ResponseParser::missing_body_bytes() const {
  if (!m_head_accepted || m_parser->is_done())
    return 0;
  return m_parser->content_length_remaining().value_or(0);
}

size_t ResponseParser::Put(boost::asio::const_buffer bytes, error_code& error) {
  if (FindFoldedLine({static_cast<const char*>(bytes.data()), bytes.size()})) {
    error = http::error::bad_field;
    return 0;
  }
  const size_t used = m_parser->put(bytes, error);
  m_scanned_bytes -= std::min(m_scanned_bytes, used);
  // The parser has an error of its own for a body that is too long.
  if (!error && m_parser->is_header_done() && !m_head_accepted)
    error = JudgeHead();
  return used;
}

error_code ResponseParser::JudgeHead() {
  if (const error_code error = CheckHead())
    return error;
  if (IsInterimStatus(m_parser->get().result_int())) {
    if (++m_interim_responses > kMaxInterimResponses)
      return http::error::header_limit;
    Reset();
    return {};
  }
  m_head_accepted = true;
  m_head = std::move(m_parser->get().base());
  // Until now the parser stopped behind the head.
  m_parser->eager(true);
  return {};
}

HttpResponse ResponseParser::Release() {
  HttpResponse response = m_parser->release();
  response.base() = std::move(m_head);
  return response;
}

error_code ResponseParser::ParseBuffer(boost::beast::flat_buffer& buffer) {
  while (buffer.size() > 0 && !is_done()) {
    error_code error;
    const size_t used = Put(buffer.data(), error);
    buffer.consume(used);
    if (error)
      return error;
    if (used == 0)
      return http::error::need_more;
  }
  return is_done() ? error_code() : http::error::need_more;
}

void ResponseParser::PutEof(error_code& error) {
  if (m_head_accepted)
    m_parser->put_eof(error);
  else
    error = http::error::partial_message;
}

// The parser takes a line that begins with a blank for the rest of the value
// before it, so that a field in it is not seen (RFC 9112, section 5.2).
bool ResponseParser::FindFoldedLine(std::string_view bytes) {
  while (!m_head_scanned && m_scanned_bytes < bytes.size()) {
    const char byte = bytes[m_scanned_bytes++];
    if (byte == '\n') {
      m_head_scanned = std::exchange(m_scanned_line_is_empty, true);
    } else if (byte != '\r') {
      const bool begins_line = std::exchange(m_scanned_line_is_empty, false);
      if (begins_line && (byte == ' ' || byte == '\t'))
        return true;
    }
  }
  return false;
}

error_code ResponseParser::CheckHead() const {
  const http::response_header<>& head = m_parser->get().base();
  if (!IsPossibleStatus(head.result_int()))
    return http::error::bad_status;
  if (HasBadTransferCoding(head))
    return http::error::bad_transfer_encoding;
  return {};
}

void ConnectionFailure::Record(error_code result) {
  // After an orderly end a peek reports it, and writes find a broken pipe.
  // Neither that nor an operation which can go on or was cancelled is a failure
  // of the connection.
  const bool is_failure = result && result != asio::error::eof &&
                          result != asio::error::broken_pipe &&
                          result != asio::error::would_block &&
                          result != asio::error::operation_aborted;
  if (is_failure && !m_failure)
    m_failure = result;
}

error_code ConnectionFailure::Explain(error_code read_error) const {
  return read_error == asio::error::eof && m_failure ? m_failure : read_error;
}

}  // namespace trefoilwick
