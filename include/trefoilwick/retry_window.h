// Retry budget of a service, which all instances of a deployment share: limits
// the sends to its backend servers beyond the first of each request over a
// sliding window. Each instance decides alone, from what it last received of
// the others. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// Sends to the servers of a service in the window of its retry budget.
struct SendCounts {
  // Requests, by their first send.
  int requests = 0;
  // Sends beyond the first of each request.
  int retries = 0;
  bool operator==(const SendCounts&) const = default;
};

using ServiceSends = std::map<std::string, SendCounts>;
// Retries whose service is not known count towards the budget of every service.
inline constexpr char kUnknownService[] = "";

// Sends to one service, with the retries to an unknown one.
SendCounts SendsTo(const ServiceSends& sends, const std::string& service);
// Sends to all services together.
SendCounts TotalSends(const ServiceSends& sends);
void AddSends(ServiceSends& sum, const ServiceSends& more);
// Raises each number of retries in `sends` to that in `other`.
void RaiseRetries(ServiceSends& sends, const ServiceSends& other);
// `sends` without `part`; counts do not fall below zero.
ServiceSends SubtractSends(ServiceSends sends, const ServiceSends& part);

// What an instance knows of the sends of the other instances to one service.
struct PeerSends {
  SendCounts counts;
  // `counts` contains the sends up to this time; null when nothing was received
  // since this instance started.
  std::optional<TimePoint> as_of;
  // Number of other instances that share the budget.
  size_t instances = 0;
  // Those of them that do not report to the coordinator; they may be cut off
  // and go on.
  size_t silent_instances = 0;
};

// Sliding window over the sends of this instance to one service, and the
// decision whether the budget allows one more retry. Load pattern: many servers
// fail at once and every request is retried.
class RetryWindow {
 public:
  // Allows `ratio` times the requests of the window, plus `slack`, as retries
  // of all instances together.
  RetryWindow(double ratio, double slack, Duration window)
      : m_ratio(ratio), m_slack(slack), m_window(window) {}
  void SetLimits(double ratio, double slack) {
    m_ratio = ratio;
    m_slack = slack;
  }
  void OnRequest(TimePoint now);
  // Sends of this instance in the window.
  SendCounts LocalCounts(TimePoint now) const;

  // What decides whether a retry is allowed, in retries.
  struct Assessment {
    double local = 0;
    double remote = 0;
    // Retries of other instances in touch that are not in `remote` yet, if each
    // retries as often as this instance, this retry included. Together the
    // instances then stay within what was left when they last heard of each
    // other, however long ago that was.
    double unreported = 0;
    // Largest sum of the above and this retry. Silent instances keep their
    // share of the budget.
    double usable_budget = 0;
    bool IsAllowed() const {
      return local + remote + unreported + 1 <= usable_budget;
    }
  };
  // The last part of the budget is for requests with `response_begun`: others
  // can still be refused as not run.
  Assessment Assess(TimePoint now,
                    const PeerSends& peers,
                    bool response_begun) const;
  // Takes one retry from the budget; false when it is spent.
  bool TryRetry(TimePoint now, const PeerSends& peers, bool response_begun);

 private:
  static constexpr int kSlicesPerWindow = 50;
  // The window begins within a slice, so it touches one slice more.
  static constexpr int kSlices = kSlicesPerWindow + 1;
  struct Slice {
    int64_t index = -1;
    SendCounts counts;
  };
  Slice& SliceAt(TimePoint now);
  int64_t IndexOf(TimePoint time) const;
  // Counts of the slices from `first` up to the present one.
  SendCounts CountsFrom(int64_t first, TimePoint now) const;

  double m_ratio;
  double m_slack;
  Duration m_window;
  Slice m_slices[kSlices];
};

// The retry windows of this instance, one for each service. Load pattern: the
// servers of one service fail while requests flood another.
class RetryWindows {
 public:
  // Arguments as of RetryWindow.
  RetryWindows(double ratio, double slack, Duration window)
      : m_new_window(ratio, slack, window) {}
  void SetLimits(double ratio, double slack);
  RetryWindow& Of(const std::string& service) {
    return m_windows.try_emplace(service, m_new_window).first->second;
  }
  // Sends of this instance in the window, without the services that it sent
  // nothing to. Their windows are dropped.
  ServiceSends LocalCounts(TimePoint now);

 private:
  RetryWindow m_new_window;
  std::map<std::string, RetryWindow> m_windows;
};

// Sums the sends that the instances report to the coordinator. Retries of an
// instance that ended, restarted or fell silent remain in the sum until they
// have left the window.
class SendLedger {
 public:
  // An instance that has not reported for `report_timeout` counts as silent.
  SendLedger(Duration window, Duration report_timeout)
      : m_window(window), m_report_timeout(report_timeout) {}
  // `counts` are the sends in the window of the process `incarnation` on the
  // instance `ip`, which started at `started_at`.
  void OnReport(TimePoint now,
                const std::string& ip,
                int64_t incarnation,
                TimePoint started_at,
                const ServiceSends& sends);
  // Adds the retries in `sends`, made up to `as_of`, of processes that will not
  // report them.
  void AddUnreported(TimePoint as_of, const ServiceSends& sends);
  ServiceSends Sum(TimePoint now) const;
  // Number of instances that report and whose process has run since then.
  size_t CountReportsSince(TimePoint since, TimePoint now) const;
  // Part of the sum that no instance reports any more: retries only.
  ServiceSends Unreported(TimePoint now) const;
  void Clear();

 private:
  struct Report {
    int64_t incarnation = 0;
    TimePoint started_at;
    ServiceSends sends;
    TimePoint at;
  };
  struct UnreportedRetries {
    ServiceSends sends;
    TimePoint until;
  };
  bool IsSilent(const Report& report, TimePoint now) const {
    return now - report.at > m_report_timeout;
  }
  void RemoveExpired(TimePoint now);

  Duration m_window;
  Duration m_report_timeout;
  // By ip.
  std::map<std::string, Report> m_reports;
  std::vector<UnreportedRetries> m_unreported;
};

}  // namespace trefoilwick
