// Parser of HTTP/1.1 responses that accepts only what the protocol allows,
// since a faulty server may send anything, a reader of whole responses, and the
// reason for which a connection ended.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace trefoilwick {

using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// What is known of a response before its first byte.
struct ResponseOptions {
  uint32_t max_head_bytes = 8 * 1024;
  // Null: any number.
  std::optional<uint64_t> max_body_bytes = std::nullopt;
  // False for the response to a HEAD request.
  bool has_body = true;
};

// Parses one response from the bytes of a connection, and skips the interim
// responses before it. All errors are those of
// boost::beast::http::error; after one other than need_more the connection
// cannot be used any more.
class ResponseParser {
 public:
  explicit ResponseParser(const ResponseOptions& options);

  // Parses the front of `bytes` and returns the number of bytes parsed. The
  // rest is passed again, together with more bytes when `error` is need_more.
  size_t Put(boost::asio::const_buffer bytes, boost::system::error_code& error);
  // Parses the bytes of `buffer` and removes them from it. The error is
  // need_more while the response is not complete.
  boost::system::error_code ParseBuffer(boost::beast::flat_buffer& buffer);
  // The server closed the connection. Completes a response that has neither a
  // length nor chunks; any other error is partial_message.
  void PutEof(boost::system::error_code& error);

  // A byte of the response was parsed, or of an interim one that is not whole.
  bool got_some() const { return m_parser->got_some(); }
  // The whole head was parsed and accepted.
  bool is_header_done() const { return m_head_accepted; }
  bool is_done() const { return m_head_accepted && m_parser->is_done(); }
  // Bytes of the body that were not parsed yet; 0 when the head does not state
  // the length.
  uint64_t missing_body_bytes() const;
  // True when the end of the connection ends the response.
  bool need_eof() const { return m_parser->need_eof(); }
  // True when the connection can be used again after the response.
  bool keep_alive() const { return m_parser->keep_alive(); }
  // Valid once is_header_done() is true. Holds no fields of a trailer, which
  // would count only when they arrive early enough.
  const HttpResponse::header_type& head() const { return m_head; }
  // Bytes of the body that the caller did not take out yet.
  std::string& body() { return m_parser->get().body(); }
  // The response, once is_done() is true.
  HttpResponse Release();

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  // Scans the bytes of the head that were not scanned yet. True when one of its
  // lines begins with a blank.
  bool FindFoldedLine(std::string_view bytes);
  // The error of a head that cannot be that of a response to a request.
  boost::system::error_code CheckHead() const;
  // Accepts the head, or starts over behind that of an interim response.
  boost::system::error_code JudgeHead();
  void Reset();

  ResponseOptions m_options;
  int m_interim_responses = 0;
  // Its message has the body; the head is moved to `m_head`.
  std::optional<Parser> m_parser;
  HttpResponse::header_type m_head;
  // Number of bytes of the head that were scanned, but not parsed.
  size_t m_scanned_bytes = 0;
  bool m_scanned_line_is_empty = true;
  bool m_head_scanned = false;
  bool m_head_accepted = false;
};

// Tells a failed connection from one that its peer ended in order. The system
// reports the failure of a connection, such as a reset, to one operation only:
// once a write or a peek has got it, reads report the end of the stream, as
// they do after an orderly end.
class ConnectionFailure {
 public:
  // Records the result of any operation on the socket but a read.
  void Record(boost::system::error_code result);
  // Returns `read_error`, or the recorded failure when that is what the end of
  // the stream stands for.
  boost::system::error_code Explain(boost::system::error_code read_error) const;

 private:
  boost::system::error_code m_failure;
};

// Reads one response into `parser`. Bytes that follow it stay in `buffer`.
// `failure` has the results of the other operations on the connection. Calls
// `on_bytes` each time bytes have arrived, and `handler` once with the error,
// neither from within the call. All arguments by reference must live until
// then.
template <typename Stream, typename OnBytes, typename Handler>
void AsyncReadResponse(Stream& stream,
                       boost::beast::flat_buffer& buffer,
                       ResponseParser& parser,
                       const ConnectionFailure& failure,
                       OnBytes on_bytes,
                       Handler handler) {
  using boost::system::error_code;
  constexpr size_t kMaxReadBytes = size_t{64} * 1024;
  const size_t size = boost::beast::read_size(buffer, kMaxReadBytes);
  stream.async_read_some(
      buffer.prepare(size),
      [&stream, &buffer, &parser, &failure, on_bytes = std::move(on_bytes),
       handler = std::move(handler)](error_code error, size_t count) mutable {
        buffer.commit(count);
        if (count > 0)
          on_bytes();
        error = failure.Explain(error);
        if (!error)
          error = parser.ParseBuffer(buffer);
        else if (error == boost::asio::error::eof && parser.is_header_done())
          parser.PutEof(error);
        if (error != boost::beast::http::error::need_more)
          return handler(error);
        if (buffer.size() == buffer.max_size())
          return handler(boost::beast::http::error::buffer_overflow);
        AsyncReadResponse(stream, buffer, parser, failure, std::move(on_bytes),
                          std::move(handler));
      });
}

}  // namespace trefoilwick
