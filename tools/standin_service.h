// Plain service stand-in: every POST runs a call; nothing is deduplicated.
#pragma once

#include "standin.h"

namespace trefoilwick::standin {

struct ServiceOptions {
  std::string id;
  // Time a call takes; calls run side by side.
  Duration call_time{2000};
};

// Every call that ran is an event in `journal`. The account and the request
// are taken from the headers X-Account and X-Request-Id, if given.
std::unique_ptr<Role> MakeServiceRole(ServiceOptions options, Journal& journal);

}  // namespace trefoilwick::standin
