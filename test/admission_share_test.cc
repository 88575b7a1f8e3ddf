#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <tuple>

#include "trefoilwick/admission.h"

namespace trefoilwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr double kLimit = 4000;
constexpr int kTokens = 40;
constexpr double kFloor = 0.05;

// Demand and faults of instance `i` at second `t`.
struct Scenario {
  const char* name;
  // Number of all instances, and of those that receive requests of the account.
  int instances;
  int active;
  int duration_s;
  // Demand as a multiple of the limit.
  std::function<double(int i, double t)> demand;
  std::function<bool(int i, double t)> is_up = [](int, double) { return true; };
  std::function<bool(int i, double t)> is_cut_off = [](int, double) {
    return false;
  };
  // Reports arrive within the propagation delay multiplied by this.
  double delay_factor = 1;
  // Excess of the sum of shares over the bound in admission.h that faults may
  // cause.
  double allowed_excess = 0;
  // Second from which admitted tokens are measured.
  int measure_from_s = 20;
};

struct Result {
  // Admitted tokens relative to the limit: in the worst 10 s, and on average.
  double max_over_10_s = 0;
  double mean = 0;
  // Largest sum of the shares of the instances that received requests in the
  // last 10 s, and its largest excess over 1 + floor + (newly active instances)
  // / instances.
  double max_share_sum = 0;
  double max_excess = -1;
};

// Instances that exchange reports every second, in steps of 20 ms of virtual
// time. Requests arrive at random.
class Cluster {
 public:
  Cluster(const Scenario& scenario, uint64_t seed)
      : m_scenario(scenario),
        m_propagation_delay_s(1 + 0.5 * std::log2(scenario.instances)),
        m_random(seed),
        m_limiters(scenario.active),
        m_last_request_step(scenario.active, -1),
        m_active_since_step(scenario.active, -1) {
    m_account.name = "account";
    m_account.tokens_per_second = kLimit;
    for (AccountLimiter& limiter : m_limiters)
      limiter.SetLiveInstances(scenario.instances);
    for (int i = 0; i < scenario.active * scenario.active; ++i)
      m_delays.push_back(milliseconds(
          static_cast<int64_t>(m_propagation_delay_s * scenario.delay_factor *
                               (100 + 600 * m_random.UniformDouble()))));
  }

  Result Run() {
    const int steps = m_scenario.duration_s * kStepsPerSecond;
    std::vector<double> admitted(steps + 1);
    Result result;
    for (int step = 0; step < steps; ++step) {
      DeliverReports(step);
      double admitted_tokens = 0;
      Sum sum;
      for (int i = 0; i < m_scenario.active; ++i) {
        if (!IsUp(i, step))
          continue;
        SendReports(i, step);
        admitted_tokens += SendRequests(i, step);
        if (step % kStepsPerSecond == 0)
          AddShare(i, step, sum);
      }
      result.max_share_sum = std::max(result.max_share_sum, sum.shares);
      result.max_excess = std::max(result.max_excess, sum.shares - sum.bound);
      admitted[step + 1] = admitted[step] + admitted_tokens;
    }
    ComputeResult(admitted, result);
    return result;
  }

 private:
  static constexpr int kStepsPerSecond = 50;

  struct Message {
    int step;
    int from;
    int to;
    std::vector<AccountDemand> demand;
    bool operator<(const Message& other) const { return step > other.step; }
  };

  struct Sum {
    double shares = 0;
    double bound = 1 + kFloor;
  };

  void AddShare(int i, int step, Sum& sum) {
    const int active_time = 10 * kStepsPerSecond;
    if (m_last_request_step[i] < 0 ||
        step - m_last_request_step[i] > active_time)
      return;
    sum.shares += m_limiters[i].LocalShare(StepTime(step), m_account.name);
    // An instance's first reports take up to the propagation delay and one
    // interval to arrive. Those of the others take as long, and then count
    // after another propagation delay.
    if (StepSeconds(step - m_active_since_step[i]) <=
            m_propagation_delay_s + 1 + 1e-9 ||
        StepSeconds(step) <= 2 * m_propagation_delay_s + 1)
      sum.bound += 1.0 / LiveInstanceCount(step);
  }

  int LiveInstanceCount(int step) const {
    int up = m_scenario.instances - m_scenario.active;
    for (int j = 0; j < m_scenario.active; ++j)
      up += IsUp(j, step);
    return up;
  }

  static double StepSeconds(int step) { return step * (1.0 / kStepsPerSecond); }
  static TimePoint StepTime(int step) {
    return kStart + milliseconds(1000 / kStepsPerSecond) * step;
  }
  bool IsUp(int i, int step) const {
    return m_scenario.is_up(i, StepSeconds(step));
  }

  void SendReports(int i, int step) {
    if ((step + i * 7) % kStepsPerSecond != 0)
      return;
    m_limiters[i].SetLiveInstances(LiveInstanceCount(step));
    // Stands for any of the idle instances.
    if (!m_scenario.is_cut_off(i, StepSeconds(step)) &&
        m_scenario.instances > m_scenario.active)
      m_limiters[i].OnPeerDemand(StepTime(step), "idle", {});
    const auto demand = m_limiters[i].LocalDemand(StepTime(step), 100);
    for (int j = 0; j < m_scenario.active; ++j) {
      if (j == i || m_scenario.is_cut_off(i, StepSeconds(step)) ||
          m_scenario.is_cut_off(j, StepSeconds(step)))
        continue;
      const int delay_steps =
          static_cast<int>(m_delays[i * m_scenario.active + j] /
                           milliseconds(1000 / kStepsPerSecond));
      m_messages.push({step + delay_steps, i, j, demand});
    }
  }

  void DeliverReports(int step) {
    for (; !m_messages.empty() && m_messages.top().step <= step;
         m_messages.pop()) {
      const Message& message = m_messages.top();
      m_limiters[message.to].OnPeerDemand(
          StepTime(step), std::to_string(message.from), message.demand);
    }
  }

  double SendRequests(int i, int step) {
    const double requests = m_scenario.demand(i, StepSeconds(step)) * kLimit /
                            kTokens / kStepsPerSecond;
    double admitted_tokens = 0;
    const int count =
        static_cast<int>(requests) +
        (m_random.UniformDouble() < requests - static_cast<int>(requests));
    if (count > 0) {
      if (m_last_request_step[i] < 0 ||
          step - m_last_request_step[i] > 10 * kStepsPerSecond)
        m_active_since_step[i] = step;
      m_last_request_step[i] = step;
    }
    for (int n = 0; n < count; ++n) {
      if (!m_limiters[i].Admit(StepTime(step), m_account, kTokens)) {
        admitted_tokens += kTokens;
        m_limiters[i].Release(StepTime(step), m_account.name, kTokens, kTokens);
      }
    }
    return admitted_tokens;
  }

  void ComputeResult(const std::vector<double>& admitted,
                     Result& result) const {
    const int window = 10 * kStepsPerSecond;
    const int end = static_cast<int>(admitted.size()) - 1;
    const int first_step = m_scenario.measure_from_s * kStepsPerSecond;
    for (int step = first_step; step + window <= end; ++step)
      result.max_over_10_s =
          std::max(result.max_over_10_s,
                   (admitted[step + window] - admitted[step]) / (10 * kLimit));
    result.mean = (admitted[end] - admitted[first_step]) /
                  (StepSeconds(end - first_step) * kLimit);
  }

  const Scenario& m_scenario;
  double m_propagation_delay_s;
  Random m_random;
  Account m_account;
  std::vector<AccountLimiter> m_limiters;
  // -1: never.
  std::vector<int> m_last_request_step;
  std::vector<int> m_active_since_step;
  std::vector<milliseconds> m_delays;
  std::priority_queue<Message> m_messages;
};

class AdmissionShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionShareTest);
  CPPUNIT_TEST(TotalAdmittedStaysWithinLimit);
  CPPUNIT_TEST(ShareSumStaysWithinBound);
  CPPUNIT_TEST(ReportTrafficIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against instances that together admit more than the account's limit,
  // and against limits that admit much less than was requested. Prints the
  // table.
  void TotalAdmittedStaysWithinLimit() {
    const auto even = [](int n, double total) {
      return [=](int, double) { return total / n; };
    };
    // All demand is at one instance for `period` seconds, then at the next.
    const auto moving = [](int n, double period) {
      return [=](int i, double t) {
        return static_cast<int>(t / period) % n == i ? 3.0 : 0.0;
      };
    };
    const auto skewed = [](int i, double) { return 2.0 / (1 + i); };
    const auto first_is_cut_off = [](int i, double t) {
      return i == 0 && t >= 30 && t < 60;
    };
    std::vector<Scenario> table = {
        {.name = "13, even",
         .instances = 13,
         .active = 13,
         .duration_s = 60,
         .demand = even(13, 3)},
        {.name = "13, skewed",
         .instances = 13,
         .active = 13,
         .duration_s = 60,
         .demand = skewed},
        {.name = "13, half the limit",
         .instances = 13,
         .active = 13,
         .duration_s = 60,
         .demand = even(13, 0.5)},
        {.name = "350, even on 20",
         .instances = 350,
         .active = 20,
         .duration_s = 60,
         .demand = even(20, 3)},
        {.name = "350, even on all",
         .instances = 350,
         .active = 350,
         .duration_s = 35,
         .demand = even(350, 3)},
        {.name = "13, moves every 20 s",
         .instances = 13,
         .active = 13,
         .duration_s = 120,
         .demand = moving(13, 20),
         .measure_from_s = 0},
        {.name = "13, moves every 5 s",
         .instances = 13,
         .active = 13,
         .duration_s = 120,
         .demand = moving(13, 5),
         .measure_from_s = 0},
        {.name = "350, moves every 20 s",
         .instances = 350,
         .active = 20,
         .duration_s = 120,
         .demand = moving(20, 20),
         .measure_from_s = 0},
        {.name = "13, reports 2x late",
         .instances = 13,
         .active = 13,
         .duration_s = 120,
         .demand = moving(13, 20),
         .delay_factor = 3,
         .allowed_excess = 1,
         .measure_from_s = 0},
        {.name = "13, one cut off 30 s",
         .instances = 13,
         .active = 13,
         .duration_s = 90,
         .demand = even(13, 3),
         .is_cut_off = first_is_cut_off,
         .allowed_excess = 1.0 / 13},
        {.name = "350, one cut off 30 s",
         .instances = 350,
         .active = 20,
         .duration_s = 90,
         .demand = even(20, 3),
         .is_cut_off = first_is_cut_off,
         .allowed_excess = 1.0 / 20},
        {.name = "13, the only user cut off",
         .instances = 13,
         .active = 13,
         .duration_s = 90,
         .demand =
             [](int i, double t) {
               return i == 0 || (i == 1 && t >= 31) ? 3.0 : 0.0;
             },
         .is_cut_off = first_is_cut_off,
         .allowed_excess = 1},
        {.name = "13, 4 leave and join",
         .instances = 13,
         .active = 13,
         .duration_s = 90,
         .demand = even(13, 3),
         .is_up =
             [](int i, double t) {
               return i >= 4 || static_cast<int>(t / 15) % 2 == 0;
             },
         .allowed_excess = 4.0 / 9},
        {.name = "350, 5 of 20 leave and join",
         .instances = 350,
         .active = 20,
         .duration_s = 90,
         .demand = even(20, 3),
         .is_up =
             [](int i, double t) {
               return i >= 5 || static_cast<int>(t / 15) % 2 == 0;
             },
         .allowed_excess = 5.0 / 345},
    };
    std::printf(
        "\nadmitted / limit: largest 10 s, mean; sum of shares: "
        "largest, excess over the bound (allowed)\n");
    for (const Scenario& scenario : table) {
      const Result result = Cluster(scenario, 1).Run();
      std::printf("%-28s %5.3f %5.3f  %5.3f %6.3f (%.3f)\n", scenario.name,
                  result.max_over_10_s, result.mean, result.max_share_sum,
                  result.max_excess, scenario.allowed_excess);
      CPPUNIT_ASSERT(result.max_excess <= scenario.allowed_excess + 1e-9);
      const bool steady =
          scenario.measure_from_s > 0 && scenario.allowed_excess == 0;
      // A tenth more for full buckets of one second, and for newly active
      // instances.
      CPPUNIT_ASSERT(
          result.max_over_10_s <=
          (steady ? 1.1 : 1.1 * (2 + kFloor + scenario.allowed_excess)));
    }
  }

  // Property: with reports that arrive within the propagation delay, the shares
  // of the active instances stay within the bound of admission.h at any time.
  // Guards against shares that grow before those of other instances have
  // shrunk.
  void ShareSumStaysWithinBound() {
    for (uint64_t seed = 0; seed < 2000; ++seed) {
      Random random(seed);
      const int count = 2 + static_cast<int>(random.UniformBelow(5));
      std::vector<double> demand(count);
      const int change = 1 + static_cast<int>(random.UniformBelow(8));
      const Scenario scenario{
          .name = "random",
          .instances = count,
          .active = count,
          .duration_s = 24,
          .demand =
              [&](int i, double t) {
                if (i == 0 && std::fmod(t, change) < 0.01)
                  for (double& d : demand)
                    d = random.UniformBelow(2) ? 2 * random.UniformDouble() : 0;
                return demand[i];
              },
          .delay_factor = 1,
          .measure_from_s = 0};
      const Result result = Cluster(scenario, seed).Run();
      CPPUNIT_ASSERT(result.max_excess <= 1e-9);
    }
  }

  // 12,000 accounts, 2,000 of them active at 4 of 350 instances each. Prints
  // the bytes of the reports; guards against rows that change needlessly.
  void ReportTrafficIsBounded() {
    Random random(1);
    const int per_instance = 2000 * 4 / 350;
    AccountLimiter limiter;
    limiter.SetLiveInstances(350);
    for (int i = 0; i < 12'000; ++i) {
      Account account;
      account.name = "account-" + std::to_string(i);
      account.tokens_per_second = 1000;
      limiter.Admit(kStart, account, 0);
    }
    size_t rows = 0;
    size_t bytes = 0;
    size_t changed = 0;
    std::vector<AccountDemand> last;
    std::chrono::duration<double, std::milli> cpu{0};
    for (int ms = 20'000; ms < 80'000; ms += 10) {
      const TimePoint now = kStart + milliseconds(ms);
      // About 11 requests per second at this instance, 436 tokens each.
      if (random.UniformBelow(1000) < 110) {
        Account account;
        account.name =
            "account-" + std::to_string(random.UniformBelow(per_instance));
        account.tokens_per_second = 1000;
        limiter.Admit(now, account, 436);
      }
      if (ms % 1000 != 0)
        continue;
      const auto start = std::chrono::steady_clock::now();
      const auto demand = limiter.LocalDemand(now, 1000);
      // Every other instance sends a report of the same size.
      for (int peer = 1; peer < 350; ++peer)
        limiter.OnPeerDemand(now + Duration(peer * 2800), std::to_string(peer),
                             demand);
      cpu += std::chrono::steady_clock::now() - start;
      for (const AccountDemand& row : demand) {
        ++rows;
        // Length, name and a 4-byte number.
        bytes += 5 + row.account.size();
        changed += std::find(last.begin(), last.end(), row) == last.end();
      }
      last = demand;
    }
    const double per_second = static_cast<double>(bytes) / 60;
    std::printf(
        "\nreports of one instance: %.1f rows/s, %.0f B/s; changed rows %.1f/s"
        "\nreceived from 349 others: %.1f KB/s, changed rows only %.1f KB/s"
        "\nrows to one owner per account and its sums back: %.2f KB/s\n",
        static_cast<double>(rows) / 60, per_second,
        static_cast<double>(changed) / 60, per_second * 349 / 1000,
        per_second * 349 / 1000 * static_cast<double>(changed) /
            static_cast<double>(rows),
        per_second * 4 / 1000);
    std::printf("LocalDemand and 349 OnPeerDemand: %.1f ms a second\n",
                cpu.count() / 60);
    // The bound is loose because other processes and sanitizers slow the test
    // down.
    CPPUNIT_ASSERT(cpu.count() / 60 < 500);
    CPPUNIT_ASSERT(rows <= size_t{60} * per_instance);
    CPPUNIT_ASSERT(per_second < 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionShareTest);

}  // namespace
}  // namespace trefoilwick
