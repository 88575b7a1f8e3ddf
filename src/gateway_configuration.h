// Reads of the configuration by one instance: at most one at a time, and a
// watch while no coordinator tells the instance of changes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "trefoilwick/gateway.h"

namespace trefoilwick::detail {

// The newest configuration, a null pointer when there is none; nullopt when the
// store did not respond.
using ConfigurationResponse = std::optional<std::shared_ptr<const RouteTable>>;

// The instance that a configuration is read for.
class ConfigurationOwner {
 public:
  virtual ~ConfigurationOwner() = default;
  virtual bool IsCoordinator() const = 0;
  // True when a coordinator tells this instance of each change.
  virtual bool IsToldOfChanges() const = 0;
  // Version in force; 0 when there is none.
  virtual int64_t ConfigurationVersion() const = 0;
  // A change was noticed and is about to be read.
  virtual void OnConfigurationChanging() = 0;
  // A read or a watch has ended.
  virtual void OnConfigurationResponse(
      const ConfigurationResponse& response) = 0;
};

class ConfigurationReader {
 public:
  ConfigurationReader(boost::asio::io_context& io,
                      ClusterStore* store,
                      ConfigurationOwner* owner);
  // Begins to watch. To be called once.
  void Start() { Watch(); }
  // Reads the configuration because `version` was announced, or any newer one
  // if that is 0. While a read is in progress no other one is started, since
  // both would take as long together on a slow link; another one follows it
  // when it does not yield the version.
  void Read(int64_t version);

 private:
  void StartRead();
  void OnRead(const ConfigurationResponse& response);
  void Watch();
  void WatchAfter(Duration wait);
  void OnWatched(const ConfigurationWatchResult& result);
  void ContinueWatch(bool succeeded);

  ClusterStore* m_store;
  ConfigurationOwner* m_owner;
  boost::asio::steady_timer m_watch_timer;
  int m_watch_failures = 0;
  bool m_is_reading = false;
  // The watch goes on after the read that is in progress.
  bool m_watch_awaits_read = false;
  // Version that was announced while a read was in progress; 0 for any.
  std::optional<int64_t> m_next_version;
};

}  // namespace trefoilwick::detail
