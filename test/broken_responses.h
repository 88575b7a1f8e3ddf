// Responses of faulty servers that no reader may take for an answer. The lines
// `fields` stand in each head.
#pragma once

#include <absl/strings/str_cat.h>

#include <string>
#include <vector>

namespace trefoilwick {

struct BrokenResponse {
  std::string name;
  std::string bytes;
};

// Ends a head, and a response with the right length.
inline constexpr char kBrokenEnd[] = "Content-Length: 6\r\n\r\nbroken";

inline std::vector<BrokenResponse> ResponsesWithBadStatus(
    const std::string& fields) {
  std::vector<BrokenResponse> out;
  for (const char* status : {"000", "001", "099", "101", "600", "999"})
    out.push_back(
        {absl::StrCat("status ", status),
         absl::StrCat("HTTP/1.1 ", status, " Status\r\n", fields, kBrokenEnd)});
  return out;
}

inline BrokenResponse ResponseWithLine(const std::string& name,
                                       const std::string& fields,
                                       const std::string& line) {
  return {name, absl::StrCat("HTTP/1.1 200 OK\r\n", fields, line, "\r\n",
                             kBrokenEnd)};
}

// Bytes for ResponsesWithBadFieldName.
inline const std::string kBadNameBytes("\0\t\x1f \x7f", 5);

// The name of a field is empty or holds one of `bytes`, which are blanks and
// control bytes. No blank begins a line.
inline std::vector<BrokenResponse> ResponsesWithBadFieldName(
    const std::string& fields,
    const std::string& bytes) {
  std::vector<BrokenResponse> out;
  for (const char* line : {":", ": x", "X-F", "X-F\r: x", "X-F\n: x"})
    out.push_back(ResponseWithLine(absl::StrCat("line ", line), fields, line));
  for (const char byte : bytes) {
    const std::string bad(1, byte);
    const std::string name = absl::StrCat("byte ", int{byte}, " ");
    out.push_back(ResponseWithLine(name + "within", fields,
                                   absl::StrCat("X", bad, "F: x")));
    out.push_back(ResponseWithLine(name + "at end", fields,
                                   absl::StrCat("X-F", bad, ": x")));
    out.push_back({name + "in length",
                   absl::StrCat("HTTP/1.1 200 OK\r\n", fields, "Content-Length",
                                bad, ": 3\r\n\r\nbroken")});
    if (byte != ' ' && byte != '\t')
      out.push_back(
          ResponseWithLine(name + "at begin", fields, bad + "X-F: x"));
  }
  return out;
}

// A line that begins with a blank continues the value of the line before.
inline std::vector<BrokenResponse> ResponsesWithFoldedLine(
    const std::string& fields) {
  const std::string before = fields + "X-E: e\r\n";
  std::vector<BrokenResponse> out;
  for (const std::string blank : {" ", "\t"}) {
    out.push_back(ResponseWithLine("first line", "", blank + "X-F: x"));
    out.push_back(ResponseWithLine("later line", before, blank + "X-F: x"));
    out.push_back(ResponseWithLine("only blanks", before, blank));
    out.push_back({"length", absl::StrCat("HTTP/1.1 200 OK\r\n", before, blank,
                                          "Content-Length: 3\r\n\r\nbroken")});
  }
  return out;
}

// The body is coded in a way that no request asks for, so that its end or its
// bytes are not known.
inline std::vector<BrokenResponse> ResponsesWithBadTransferCoding(
    const std::string& fields) {
  const std::string end = "\r\n\r\n6\r\nbroken\r\n0\r\n\r\n";
  const std::string head =
      absl::StrCat("HTTP/1.1 200 OK\r\n", fields, "Transfer-Encoding: ");
  std::vector<BrokenResponse> out;
  for (const char* coding :
       {"", "identity", "gzip", "gzip, chunked", "chunked, gzip", "xchunked",
        "chunked, chunked", "\"chunked\"", "chunked;q=1",
        "gzip\r\nTransfer-Encoding: chunked"})
    out.push_back(
        {absl::StrCat("coding ", coding), absl::StrCat(head, coding, end)});
  out.push_back(
      {"chunks of HTTP/1.0", absl::StrCat("HTTP/1.0 200 OK\r\n", fields,
                                          "Transfer-Encoding: chunked", end)});
  return out;
}

// The status line, a value or the length of the body is malformed.
inline std::vector<BrokenResponse> MalformedResponses() {
  std::vector<BrokenResponse> out;
  for (const char* line :
       {"", "garbage", "HTTP/1.1", "HTTP/1.1 200", "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x01K", "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK", "http/1.1 200 OK", "200 OK"})
    out.push_back(
        {absl::StrCat("line ", line), absl::StrCat(line, "\r\n", kBrokenEnd)});
  out.push_back(
      {"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 6\n\nbroken"});
  for (const char byte : {'\0', '\x01', '\n', '\r', '\x7f'})
    out.push_back(
        ResponseWithLine(absl::StrCat("value with byte ", int{byte}), "",
                         absl::StrCat("X-F: a", std::string(1, byte), "b")));
  for (const char* length :
       {"", "x", "-6", "+6", "6.0", "0x6", "7", "18446744073709551622",
        "6\r\nContent-Length: 7", "6\r\nTransfer-Encoding: chunked"})
    out.push_back({absl::StrCat("length ", length),
                   absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", length,
                                "\r\n\r\nbroken")});
  for (const char* chunks :
       {"", "6\r\nbroken\r\n", "6\r\nbroken\r\n0\r\n", "6\r\nbrokenXX0\r\n\r\n",
        "-6\r\nbroken\r\n0\r\n\r\n", "0x6\r\nbroken\r\n0\r\n\r\n",
        "6\nbroken\n0\n\n", "10000000000000006\r\nbroken\r\n0\r\n\r\n",
        "6\r\nbroken\r\n0\r\nX F: x\r\n\r\n"})
    out.push_back({absl::StrCat("chunks ", chunks),
                   absl::StrCat("HTTP/1.1 200 OK\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n",
                                chunks)});
  return out;
}

}  // namespace trefoilwick
