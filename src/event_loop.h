// Threads of the daemon: an event loop with timers, and a bounded pool for
// blocking calls.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick::detail {

// Runs posted functions one after the other on its own thread. State that only
// these functions access needs no lock.
class EventLoop {
 public:
  using Task = std::function<void()>;
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Post(Task task);
  void PostAfter(Duration delay, Task task);
  // Repeats until the loop stops.
  void PostEvery(Duration interval, Task task);
  // Runs the task and waits until it has ended. Must not be called on the
  // loop's own thread.
  void RunAndWait(Task task);
  // Drops queued tasks and timers, and joins the thread.
  void Stop();

 private:
  void Run();

  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<Task> m_tasks;
  std::multimap<TimePoint, Task> m_timers;
  bool m_stopping = false;
  SystemClock m_clock;
  std::thread m_thread;
};

// Fixed number of threads for blocking calls, with a bounded queue.
class WorkerPool {
 public:
  WorkerPool(size_t threads, size_t max_queue);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;
  // Returns false and drops the task when the queue is full or the pool has
  // stopped.
  [[nodiscard]] bool TryPost(std::function<void()> task);
  void Stop();

 private:
  void Run();

  size_t m_max_queue;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<std::function<void()>> m_tasks;
  bool m_stopping = false;
  std::vector<std::thread> m_threads;
};

}  // namespace trefoilwick::detail
