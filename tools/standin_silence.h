// Makes open connections of this process go silent, for fault tests.
#pragma once

#include <cstdint>
#include <string>

namespace trefoilwick::standin {

// Every connection accepted on local `host`:`port` that is open now stops
// reading and writing for good but stays open: neither data nor a close
// reaches the peer. Connections accepted later are not affected. Returns how
// many were silenced.
//
// The HTTP library gives a handler no access to its connection, so this works
// on descriptors: the real socket is kept open under another number, taken out
// of every epoll set, and its old number is given to an idle socket.
// Not thread-safe.
int SilenceConnections(const std::string& host, uint16_t port);

}  // namespace trefoilwick::standin
