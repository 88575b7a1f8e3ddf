#include "gateway_configuration.h"

#include <algorithm>

namespace trefoilwick::detail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLongPollWait = seconds(1);
constexpr Duration kWatchRecheckInterval = milliseconds(250);
constexpr Duration kRetryDelay = milliseconds(500);
// Other instances receive changes from the coordinator, so they retry less
// often.
constexpr int kMaxBackoffFactor = 6;

}  // namespace

ConfigurationReader::ConfigurationReader(boost::asio::io_context& io,
                                         ClusterStore* store,
                                         ConfigurationOwner* owner)
    : m_store(store), m_owner(owner), m_watch_timer(io) {}

void ConfigurationReader::Read(int64_t version) {
  if (!m_is_reading)
    return StartRead();
  const bool any = version == 0 || m_next_version == 0;
  m_next_version = any ? 0 : std::max(version, m_next_version.value_or(0));
}

void ConfigurationReader::StartRead() {
  m_is_reading = true;
  m_store->ReadConfiguration(
      [this](const ConfigurationResponse& response) { OnRead(response); });
}

void ConfigurationReader::OnRead(const ConfigurationResponse& response) {
  m_is_reading = false;
  const auto next_version = std::exchange(m_next_version, std::nullopt);
  m_owner->OnConfigurationResponse(response);
  const bool must_read_again =
      response && next_version &&
      (next_version == 0 || m_owner->ConfigurationVersion() < *next_version);
  if (must_read_again)
    Read(*next_version);
  // The watch would find the change that is being read.
  if (!m_is_reading && std::exchange(m_watch_awaits_read, false))
    ContinueWatch(response.has_value());
}

// The coordinator watches the configuration and tells the other instances; an
// instance that does not receive its heartbeats watches by itself.
void ConfigurationReader::Watch() {
  if (m_owner->IsToldOfChanges())
    return WatchAfter(kWatchRecheckInterval);
  // After a failure a short read shows sooner than a long poll that the store
  // is back.
  if (m_watch_failures > 0) {
    m_watch_awaits_read = true;
    if (!m_is_reading)
      StartRead();
    return;
  }
  m_store->WatchConfiguration(
      kLongPollWait,
      [this](const ConfigurationWatchResult& result) { OnWatched(result); });
}

void ConfigurationReader::WatchAfter(Duration wait) {
  m_watch_timer.expires_after(wait);
  m_watch_timer.async_wait([this](boost::system::error_code error) {
    if (!error)
      Watch();
  });
}

void ConfigurationReader::OnWatched(const ConfigurationWatchResult& result) {
  std::visit(Overloaded{
                 [&](const StoreUnavailable&) {
                   m_owner->OnConfigurationResponse(std::nullopt);
                   ContinueWatch(false);
                 },
                 [&](const WatchedConfiguration& watched) {
                   m_owner->OnConfigurationResponse(watched.table);
                   ContinueWatch(true);
                 },
                 [&](const MustReadConfiguration& must_read) {
                   if (must_read.has_changed)
                     m_owner->OnConfigurationChanging();
                   m_watch_awaits_read = true;
                   Read(0);
                 },
             },
             result);
}

void ConfigurationReader::ContinueWatch(bool succeeded) {
  if (succeeded) {
    m_watch_failures = 0;
    return Watch();
  }
  const int max_factor = m_owner->IsCoordinator() ? 1 : kMaxBackoffFactor;
  m_watch_failures = std::min(m_watch_failures + 1, max_factor);
  WatchAfter(kRetryDelay * m_watch_failures);
}

}  // namespace trefoilwick::detail
