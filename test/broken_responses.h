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

}  // namespace trefoilwick
