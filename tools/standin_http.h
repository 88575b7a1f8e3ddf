// HTTP side of the stand-ins: listener, delayed replies and faults.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "standin.h"
#include "standin_faults.h"

namespace trefoilwick::standin {

// Runs functions at given times on a separate thread, so that no thread of the
// HTTP library's pool has to wait.
class TimerThread {
 public:
  explicit TimerThread(const Clock& clock);
  ~TimerThread();
  TimerThread(const TimerThread&) = delete;
  TimerThread& operator=(const TimerThread&) = delete;
  // `run` must not block.
  void ScheduleAt(TimePoint when, std::function<void()> run);

 private:
  void Loop();

  const Clock& m_clock;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::multimap<TimePoint, std::function<void()>> m_timers;
  bool m_stop = false;
  std::thread m_thread;
};

struct ServerOptions {
  // IPv4 address and port.
  std::string host;
  uint16_t port = 0;
};

// Serves one role, /healthz, /faults and /journal. Faults do not apply to the
// last two.
class Server {
 public:
  Server(const Clock& clock,
         ServerOptions options,
         Role& role,
         FaultInjector& faults,
         Journal& journal);
  ~Server();
  // Throws when the address cannot be bound.
  void Listen();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace trefoilwick::standin
