// Silences open connections of this process, for fault tests.
#pragma once

#include <cstdint>
#include <string>

namespace trefoilwick::standin {

// Every open connection accepted on local `host`:`port` permanently stops
// reading and writing but stays open: neither data nor a close reaches the
// peer. Connections accepted later are not affected. Returns the number of
// silenced connections.
//
// The HTTP library gives a handler no access to its connection, so this works
// on descriptors: the socket is kept open under another descriptor and removed
// from every epoll set, and an idle socket takes over the old descriptor.
// Not thread-safe.
int SilenceConnections(const std::string& host, uint16_t port);

}  // namespace trefoilwick::standin
