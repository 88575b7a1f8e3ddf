// Plain service stand-in: every POST runs a call, without deduplication.
#pragma once

#include "standin.h"

namespace trefoilwick::standin {

struct ServiceOptions {
  std::string id;
  // Duration of a call; calls run concurrently.
  Duration call_time{2000};
};

// Every call that ran is an event in `journal`. The account and the request id
// come from the headers X-Account and X-Request-Id, if present.
std::unique_ptr<Role> MakeServiceRole(ServiceOptions options, Journal& journal);

}  // namespace trefoilwick::standin
