// Responses of faulty servers that no reader may take for an answer.
#pragma once

#include <string>
#include <vector>

namespace trefoilwick {

struct BrokenResponse {
  std::string name;
  std::string bytes;
};

// The lines `fields` stand in each head.
inline std::vector<BrokenResponse> ResponsesWithBadStatus(
    const std::string& fields) {
  std::vector<BrokenResponse> out;
  for (const char* status : {"000", "001", "099", "101", "600", "999"})
    out.push_back({std::string("status ") + status,
                   std::string("HTTP/1.1 ") + status + " Status\r\n" + fields +
                       "Content-Length: 6\r\n\r\nbroken"});
  return out;
}

inline BrokenResponse ResponseWithLine(const std::string& name,
                                       const std::string& fields,
                                       const std::string& line) {
  return {name, "HTTP/1.1 200 OK\r\n" + fields + line +
                    "\r\nContent-Length: 6\r\n\r\nbroken"};
}

// Bytes for ResponsesWithBadFieldName.
inline const std::string kBadNameBytes("\0\t\x1f \x7f", 5);

// The name of a field is empty or holds one of `bytes`, which are blanks and
// control bytes. No blank begins a line.
inline std::vector<BrokenResponse> ResponsesWithBadFieldName(
    const std::string& fields,
    const std::string& bytes) {
  std::vector<BrokenResponse> out;
  for (const std::string line : {":", ": x", "X-F", "X-F\r: x", "X-F\n: x"})
    out.push_back(ResponseWithLine("line " + line, fields, line));
  for (const char byte : bytes) {
    const std::string bad(1, byte);
    const std::string name = "byte " + std::to_string(int{byte}) + " ";
    out.push_back(
        ResponseWithLine(name + "within", fields, "X" + bad + "F: x"));
    out.push_back(
        ResponseWithLine(name + "at end", fields, "X-F" + bad + ": x"));
    out.push_back({name + "in length", "HTTP/1.1 200 OK\r\n" + fields +
                                           "Content-Length" + bad +
                                           ": 3\r\n\r\nbroken"});
    if (byte != ' ' && byte != '\t')
      out.push_back(
          ResponseWithLine(name + "at begin", fields, bad + "X-F: x"));
  }
  return out;
}

// A line that begins with a blank continues the value of the line before.
inline std::vector<BrokenResponse> ResponsesWithFoldedLine(
    const std::string& fields) {
  std::vector<BrokenResponse> out;
  for (const std::string blank : {" ", "\t"}) {
    out.push_back(ResponseWithLine("first line", "", blank + "X-F: x"));
    out.push_back(ResponseWithLine("later line", fields + "X-E: e\r\n",
                                   blank + "X-F: x"));
    out.push_back(
        ResponseWithLine("only blanks", fields + "X-E: e\r\n", blank));
    out.push_back({"length", "HTTP/1.1 200 OK\r\n" + fields + "X-E: e\r\n" +
                                 blank + "Content-Length: 3\r\n\r\nbroken"});
  }
  return out;
}

// The body is coded in a way that no request asks for, so that its end or its
// bytes are not known.
inline std::vector<BrokenResponse> ResponsesWithBadTransferCoding(
    const std::string& fields) {
  const std::string chunks = "6\r\nbroken\r\n0\r\n\r\n";
  std::vector<BrokenResponse> out;
  for (const char* coding :
       {"", "identity", "gzip", "gzip, chunked", "chunked, gzip", "xchunked",
        "chunked, chunked", "\"chunked\"", "chunked;q=1"})
    out.push_back({std::string("coding ") + coding,
                   "HTTP/1.1 200 OK\r\n" + fields +
                       "Transfer-Encoding: " + coding + "\r\n\r\n" + chunks});
  out.push_back({"two codings", "HTTP/1.1 200 OK\r\n" + fields +
                                    "Transfer-Encoding: gzip\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n" +
                                    chunks});
  out.push_back({"chunks of HTTP/1.0",
                 "HTTP/1.0 200 OK\r\n" + fields +
                     "Transfer-Encoding: chunked\r\n\r\n" + chunks});
  return out;
}

// The status line, a value or the length of the body is malformed.
inline std::vector<BrokenResponse> MalformedResponses() {
  const std::string end = "Content-Length: 6\r\n\r\nbroken";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::vector<BrokenResponse> out;
  for (const std::string line :
       {"", "garbage", "HTTP/1.1", "HTTP/1.1 200", "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x01K", "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK", "http/1.1 200 OK", "200 OK"})
    out.push_back({"line " + line, line + "\r\n" + end});
  out.push_back(
      {"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 6\n\nbroken"});
  for (const char byte : {'\0', '\x01', '\n', '\r', '\x7f'})
    out.push_back(
        {"value with byte " + std::to_string(int{byte}),
         "HTTP/1.1 200 OK\r\nX-F: a" + std::string(1, byte) + "b\r\n" + end});
  for (const std::string length :
       {"", "x", "-6", "+6", "6.0", "0x6", "7", "18446744073709551622",
        "6\r\nContent-Length: 7", "6\r\nTransfer-Encoding: chunked"})
    out.push_back({"length " + length, "HTTP/1.1 200 OK\r\nContent-Length: " +
                                           length + "\r\n\r\nbroken"});
  for (const std::string chunks :
       {"", "6\r\nbroken\r\n", "6\r\nbroken\r\n0\r\n", "6\r\nbrokenXX0\r\n\r\n",
        "-6\r\nbroken\r\n0\r\n\r\n", "0x6\r\nbroken\r\n0\r\n\r\n",
        "6\nbroken\n0\n\n", "10000000000000006\r\nbroken\r\n0\r\n\r\n",
        "6\r\nbroken\r\n0\r\nX F: x\r\n\r\n"})
    out.push_back({"chunks " + chunks, chunked + chunks});
  return out;
}

}  // namespace trefoilwick
