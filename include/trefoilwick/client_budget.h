// Memory and connections that clients may take up in one process: which bodies
// are read, which wait, and which connections are closed when there is not
// enough of either. Does no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

using ConnectionId = uint64_t;

// What a buffer of a connection holds.
enum class BufferUse : uint8_t {
  // Bytes that were received and not parsed yet, heads among them.
  kReceived,
  // The part of a body that was read so far.
  kBodyRead,
  // A whole body, while its request waits or runs.
  kBodyHeld,
  // Bytes of responses that the client has not read.
  kResponse,
};
inline constexpr size_t kBufferUses = 4;

enum class ConnectionPhase : uint8_t {
  // No request was ever received.
  kNew,
  // Between two requests.
  kIdle,
  kReadingRequest,
  // The request runs or waits, or its response is being sent.
  kInProgress,
  // The last response was sent, and the client is given time to read it.
  kClosing,
};

struct Proceed {};
// Do not read from the connection until MayReadBody() is asked again.
struct PauseReading {};
// Answer 503: the request has not run.
struct RefuseRequest {};
struct CloseConnections {
  std::vector<ConnectionId> ids;
};
using ClientVerdict =
    std::variant<Proceed, PauseReading, RefuseRequest, CloseConnections>;

class ClientBudget {
 public:
  // Bodies up to this size are read without a reservation, so that ordinary
  // small requests pass while large bodies wait.
  static constexpr size_t kSmallBodyBytes = size_t{16} * 1024;
  // A body whose client sends nothing for this time may be given up when others
  // need its memory. Above the retransmission time of a lost packet.
  static constexpr Duration kStallTime = std::chrono::seconds(1);
  // Time that a body waits for memory before its request is refused. Below the
  // time in which a request must be complete.
  static constexpr Duration kMaxPause = std::chrono::seconds(3);
  // A body that arrives at a lower mean rate counts as stalled after
  // `kRateGraceTime`. A link of 14 Mbit/s gives each of 60 clients 29 KB/s.
  static constexpr double kMinBytesPerSecond = 8192;
  static constexpr Duration kRateGraceTime = std::chrono::seconds(2);
  // Copies of a body in memory: as received, as the request to the server, and
  // as the bytes that are sent.
  static constexpr size_t kBodyCopies = 3;

  // Zero means no limit.
  void SetMaxBytes(size_t max_bytes) { m_max_bytes = max_bytes; }
  void SetMaxConnections(size_t max) { m_max_connections = max; }

  void Add(TimePoint now, ConnectionId connection);
  // Releases all that the connection holds.
  void Remove(ConnectionId connection);
  void SetPhase(TimePoint now, ConnectionId connection, ConnectionPhase phase);
  void Charge(TimePoint now,
              ConnectionId connection,
              BufferUse use,
              size_t bytes);
  // Not more than was charged is released.
  void Release(TimePoint now,
               ConnectionId connection,
               BufferUse use,
               size_t bytes);

  // Whether the connection may read on a body of at most `body_bytes`.
  // Reserves the memory for it when it may. After CloseConnections the caller
  // closes these connections and asks again.
  ClientVerdict MayReadBody(TimePoint now,
                            ConnectionId connection,
                            size_t body_bytes);
  // Whether a new connection may be added. RefuseRequest when no other
  // connection can be closed for it.
  ClientVerdict MayAccept(TimePoint now) const;

  // Connections whose reading is paused, the longest paused first.
  std::vector<ConnectionId> Paused() const;
  size_t held_bytes(BufferUse use) const {
    return m_held[static_cast<size_t>(use)];
  }
  // Bytes held or reserved.
  size_t committed_bytes() const { return m_committed; }
  size_t connections() const { return m_connections.size(); }

 private:
  struct Connection {
    ConnectionPhase phase = ConnectionPhase::kNew;
    std::array<size_t, kBufferUses> held{};
    size_t reserved = 0;
    TimePoint phase_since;
    TimePoint last_progress;
    std::optional<TimePoint> paused_since;
    // When the connection began to read the body with its reservation.
    TimePoint reading_since;
    size_t Held() const;
    size_t Committed() const;
    bool IsLarge() const { return Committed() > kSmallBodyBytes; }
  };
  template <typename Change>
  void Update(ConnectionId id, Change change);
  static bool IsStalled(TimePoint now, const Connection& connection);
  // The stalled connections that hold the most for the longest, as many as are
  // needed to free `bytes`; empty when these do not hold as much.
  std::vector<ConnectionId> ChooseStalled(TimePoint now, size_t bytes) const;

  size_t m_max_bytes = 0;
  size_t m_max_connections = 0;
  size_t m_committed = 0;
  // Connections that hold or reserve more than `kSmallBodyBytes`.
  size_t m_large_connections = 0;
  std::array<size_t, kBufferUses> m_held{};
  std::map<ConnectionId, Connection> m_connections;
};

}  // namespace trefoilwick
