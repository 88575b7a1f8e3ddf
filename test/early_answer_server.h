// A stand-in of a backend server that answers a request before it has read the
// body, while the upload still waits for room.
#pragma once

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace trefoilwick {

namespace asio = boost::asio;

// What a server does with its connection once it has written its answer.
enum class AnswerEnd : uint8_t {
  // Resets the connection.
  kReset,
  // Closes it while bytes of the upload are unread, which resets it.
  kCloseUnread,
  // Ends its own side in order and reads the rest of the upload.
  kShutdown,
  // Ends its own side in order and resets the connection then.
  kShutdownThenReset,
};

struct EarlyAnswer {
  // Written as far as the other side takes it.
  std::string bytes;
  AnswerEnd end = AnswerEnd::kReset;
  // Requests on the same connection that are read to their end before it.
  int sound_requests = 0;
  // Called before the answer is written.
  std::function<void()> before = [] {};
};

// Time in which the upload fills all buffers, and after which a write that made
// no progress ends.
inline constexpr std::chrono::milliseconds kEarlyAnswerPause{100};

// Larger than what the buffers of a connection on loopback take.
inline constexpr size_t kLongUploadBytes = size_t{8} << 20;

// Serves one connection at a time. The first request of all servers that share
// `calls`, sound ones aside, gets the early answer; others are read to their
// end and get `later`.
class EarlyAnswerServer {
 public:
  EarlyAnswerServer(EarlyAnswer early,
                    std::string later,
                    std::shared_ptr<std::atomic<int>> calls)
      : m_early(std::move(early)),
        m_later(std::move(later)),
        m_calls(std::move(calls)),
        m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_endpoint(m_acceptor.local_endpoint()) {
    // Accepted connections inherit it.
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(8192));
    m_thread = std::thread([this] { Run(); });
  }
  ~EarlyAnswerServer() {
    m_stop = true;
    // Unblocks the accept call.
    tcp::socket socket(m_io);
    error_code ignored;
    socket.connect(m_endpoint, ignored);
    socket.close(ignored);
    m_thread.join();
  }
  EarlyAnswerServer(const EarlyAnswerServer&) = delete;
  EarlyAnswerServer& operator=(const EarlyAnswerServer&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_endpoint.port());
  }
  // Requests whose head arrived.
  size_t requests() const { return m_requests; }

 private:
  using error_code = boost::system::error_code;
  using tcp = asio::ip::tcp;

  void Run() {
    while (!m_stop) {
      tcp::socket socket(m_io);
      error_code error;
      m_acceptor.accept(socket, error);
      if (!error && !m_stop)
        Serve(socket);
    }
  }

  void Serve(tcp::socket& socket) {
    int sound_requests = m_early.sound_requests;
    do {
      std::string bytes;
      error_code error;
      const size_t head = asio::read_until(socket, asio::dynamic_buffer(bytes),
                                           "\r\n\r\n", error);
      if (error)
        return;
      ++m_requests;
      if (sound_requests == 0 && ++*m_calls == 1) {
        SendEarlyAnswer(socket);
        return;
      }
      Answer(socket, head, std::move(bytes));
    } while (sound_requests-- > 0);
  }

  // Reads the rest of a request, of which `bytes` with its head have arrived.
  void Answer(tcp::socket& socket, size_t head, std::string bytes) {
    error_code error;
    constexpr std::string_view kLength = "Content-Length: ";
    const size_t at = bytes.find(kLength);
    const size_t length =
        at < head ? std::stoul(bytes.substr(at + kLength.size())) : 0;
    const size_t due = head + length - std::min(head + length, bytes.size());
    asio::read(socket, asio::dynamic_buffer(bytes), asio::transfer_exactly(due),
               error);
    asio::write(socket, asio::buffer(m_later), error);
  }

  void SendEarlyAnswer(tcp::socket& socket) {
    m_early.before();
    WriteWhileTaken(socket, m_early.bytes);
    std::this_thread::sleep_for(kEarlyAnswerPause);
    error_code error;
    switch (m_early.end) {
      case AnswerEnd::kReset:
        Reset(socket);
        return;
      case AnswerEnd::kCloseUnread:
        socket.close(error);
        return;
      case AnswerEnd::kShutdown:
        socket.shutdown(tcp::socket::shutdown_send, error);
        Discard(socket);
        return;
      case AnswerEnd::kShutdownThenReset:
        socket.shutdown(tcp::socket::shutdown_send, error);
        std::this_thread::sleep_for(kEarlyAnswerPause);
        Reset(socket);
        return;
    }
  }

  // Writes until the other side takes nothing for kEarlyAnswerPause.
  static void WriteWhileTaken(tcp::socket& socket, const std::string& bytes) {
    constexpr std::chrono::milliseconds kRetryInterval{5};
    error_code error;
    std::chrono::milliseconds waited{0};
    socket.non_blocking(true, error);
    for (size_t at = 0; at < bytes.size() && waited < kEarlyAnswerPause;) {
      const size_t count = socket.write_some(asio::buffer(bytes) + at, error);
      at += count;
      if (count > 0) {
        waited = std::chrono::milliseconds(0);
        continue;
      }
      std::this_thread::sleep_for(kRetryInterval);
      waited += kRetryInterval;
    }
    socket.non_blocking(false, error);
  }

  static void Reset(tcp::socket& socket) {
    error_code error;
    socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }

  static void Discard(tcp::socket& socket) {
    std::vector<char> bytes(65536);
    error_code error;
    while (!error)
      socket.read_some(asio::buffer(bytes), error);
  }

  EarlyAnswer m_early;
  std::string m_later;
  std::shared_ptr<std::atomic<int>> m_calls;
  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_endpoint;
  std::atomic<bool> m_stop{false};
  std::atomic<size_t> m_requests{0};
  std::thread m_thread;
};

}  // namespace trefoilwick
