#include <future>
#include <utility>

#include "event_loop.h"

namespace trefoilwick::detail {

EventLoop::EventLoop() : m_thread([this] { Run(); }) {}

EventLoop::~EventLoop() {
  Stop();
}

void EventLoop::Post(Task task) {
  {
    std::lock_guard lock(m_mutex);
    if (m_stopping)
      return;
    m_tasks.push_back(std::move(task));
  }
  m_wake.notify_one();
}

void EventLoop::PostAfter(Duration delay, Task task) {
  {
    std::lock_guard lock(m_mutex);
    if (m_stopping)
      return;
    m_timers.emplace(m_clock.Now() + delay, std::move(task));
  }
  m_wake.notify_one();
}

void EventLoop::PostEvery(Duration interval, Task task) {
  PostAfter(interval, [this, interval, task = std::move(task)] {
    task();
    PostEvery(interval, task);
  });
}

void EventLoop::RunAndWait(Task task) {
  auto done = std::make_shared<std::promise<void>>();
  auto future = done->get_future();
  Post([task = std::move(task), done] {
    task();
    done->set_value();
  });
  // A loop that stops destroys the task and with it the promise, which ends the
  // wait.
  done.reset();
  try {
    future.get();
  } catch (const std::future_error&) {
    return;
  }
}

void EventLoop::Stop() {
  {
    std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_tasks.clear();
    m_timers.clear();
  }
  m_wake.notify_one();
  if (m_thread.joinable() && m_thread.get_id() != std::this_thread::get_id())
    m_thread.join();
}

void EventLoop::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    const TimePoint now = m_clock.Now();
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
      m_tasks.push_back(std::move(m_timers.begin()->second));
      m_timers.erase(m_timers.begin());
    }
    if (m_tasks.empty()) {
      if (m_timers.empty())
        m_wake.wait(lock);
      else
        m_wake.wait_until(lock, m_timers.begin()->first);
      continue;
    }
    std::deque<Task> batch;
    batch.swap(m_tasks);
    lock.unlock();
    for (Task& task : batch)
      task();
    batch.clear();
    lock.lock();
  }
}

WorkerPool::WorkerPool(size_t threads, size_t max_queue)
    : m_max_queue(max_queue) {
  for (size_t i = 0; i < threads; ++i)
    m_threads.emplace_back([this] { Run(); });
}

WorkerPool::~WorkerPool() {
  Stop();
}

bool WorkerPool::TryPost(std::function<void()> task) {
  {
    std::lock_guard lock(m_mutex);
    if (m_stopping || m_tasks.size() >= m_max_queue)
      return false;
    m_tasks.push_back(std::move(task));
  }
  m_wake.notify_one();
  return true;
}

void WorkerPool::Stop() {
  {
    std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  for (std::thread& thread : m_threads)
    if (thread.joinable())
      thread.join();
}

void WorkerPool::Run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_wake.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
    if (m_stopping)
      return;
    auto task = std::move(m_tasks.front());
    m_tasks.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

}  // namespace trefoilwick::detail
