#include "standin_silence.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <set>
#include <vector>

namespace trefoilwick::standin {
namespace {

struct Descriptors {
  std::vector<int> epolls;
  std::vector<int> sockets;
};

// The open descriptors of this process.
Descriptors OpenDescriptors() {
  Descriptors found;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", error)) {
    const std::string target =
        std::filesystem::read_symlink(entry.path(), error).string();
    const int fd = std::atoi(entry.path().filename().c_str());
    if (target == "anon_inode:[eventpoll]")
      found.epolls.push_back(fd);
    else if (target.compare(0, 7, "socket:") == 0)
      found.sockets.push_back(fd);
  }
  return found;
}

// Whether `fd` is a connection accepted on that local address.
bool IsAccepted(int fd, const in_addr& host, uint16_t port) {
  sockaddr_in local{};
  sockaddr_in peer{};
  socklen_t local_size = sizeof(local);
  socklen_t peer_size = sizeof(peer);
  return getsockname(fd, reinterpret_cast<sockaddr*>(&local), &local_size) ==
             0 &&
         local.sin_family == AF_INET && ntohs(local.sin_port) == port &&
         local.sin_addr.s_addr == host.s_addr &&
         getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peer_size) == 0;
}

// Descriptors that keep silenced connections open. Later calls skip them.
std::set<int>& KeptDescriptors() {
  static std::set<int> kept;
  return kept;
}

bool Silence(int fd, const std::vector<int>& epolls) {
  int pair[2];
  // Both ends stay open: the peer of the idle socket must not signal a close.
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0,
                 pair) != 0)
    return false;
  const int kept = fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (kept < 0)
    return false;
  KeptDescriptors().insert(kept);
  for (int epoll : epolls)
    epoll_ctl(epoll, EPOLL_CTL_DEL, fd, nullptr);
  const bool replaced = dup3(pair[0], fd, O_CLOEXEC) == fd;
  close(pair[0]);
  return replaced;
}

}  // namespace

int SilenceConnections(const std::string& host, uint16_t port) {
  in_addr address{};
  if (inet_pton(AF_INET, host.c_str(), &address) != 1)
    return 0;
  const Descriptors open = OpenDescriptors();
  int silenced = 0;
  for (int fd : open.sockets)
    if (KeptDescriptors().count(fd) == 0 && IsAccepted(fd, address, port) &&
        Silence(fd, open.epolls))
      ++silenced;
  return silenced;
}

}  // namespace trefoilwick::standin
