// Instance list stand-in, without sockets.
#pragma once

#include "standin.h"

namespace trefoilwick::standin {

// Instances by id, with the states of the last 10 minutes. Not thread-safe.
class InstanceHistory {
 public:
  using Instances =
      std::map<std::string, std::shared_ptr<const nlohmann::json>>;
  struct State {
    TimePoint time{};
    int64_t version = 0;
    Instances instances;
  };
  // `instance` has an "id".
  void Put(TimePoint now, const nlohmann::json& instance);
  // False when there is no such instance.
  bool Remove(TimePoint now, const std::string& id);
  // The list at time `at`.
  State StateAt(TimePoint at) const;

 private:
  void PushState(TimePoint now, Instances instances);
  std::deque<State> m_states{State{}};
};

// Why `instance` is refused; empty when it is valid.
std::string CheckInstance(const nlohmann::json& instance);

std::unique_ptr<Role> MakeInstanceListRole(Journal& journal);

}  // namespace trefoilwick::standin
