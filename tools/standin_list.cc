#include "standin_list.h"

#include "standin_faults.h"

namespace trefoilwick::standin {
namespace {

using nlohmann::json;

constexpr std::chrono::minutes kStateRetention{10};
constexpr size_t kMaxStates = 2000;

class ListRole final : public Role {
 public:
  explicit ListRole(Journal& journal) : m_journal(journal) {}

  Reply Handle(TimePoint now, const Request& request) override {
    std::lock_guard lock(m_mutex);
    if (request.path == "/instances" && request.method == "GET")
      return List(now);
    if (request.path == "/instances" && request.method == "POST")
      return Put(now, request.body);
    const auto id = DecodePathSuffix(request.path, "/instances/");
    if (id && request.method == "DELETE")
      return Remove(now, *id);
    return ErrorReply(404, "no such path");
  }

  void SetFaults(const Faults& faults) override {
    std::lock_guard lock(m_mutex);
    m_lag = std::chrono::milliseconds(faults.lag_ms);
  }

 private:
  Reply List(TimePoint now) const {
    const auto state = m_history.StateAt(now - m_lag);
    json instances = json::array();
    for (const auto& [id, instance] : state.instances)
      instances.push_back(*instance);
    return JsonReply(
        200, {{"version", state.version}, {"instances", std::move(instances)}});
  }

  Reply Put(TimePoint now, const std::string& body) {
    json instance = json::parse(body, nullptr, /*allow_exceptions=*/false);
    const std::string problem = CheckInstance(instance);
    if (!problem.empty())
      return ErrorReply(400, problem);
    if (!instance.contains("state"))
      instance["state"] = "live";
    m_history.Put(now, instance);
    return RecordChange(now, "put", instance["id"].get<std::string>());
  }

  Reply Remove(TimePoint now, const std::string& id) {
    if (!m_history.Remove(now, id))
      return ErrorReply(404, "no such instance");
    return RecordChange(now, "delete", id);
  }

  Reply RecordChange(TimePoint now, const char* change, const std::string& id) {
    const int64_t version = m_history.StateAt(now).version;
    m_journal.AddEvent({{"change", change},
                        {"id", id},
                        {"version", version},
                        {"time", now.time_since_epoch().count()}});
    return JsonReply(200, {{"version", version}});
  }

  std::mutex m_mutex;
  Journal& m_journal;
  InstanceHistory m_history;
  Duration m_lag{0};
};

}  // namespace

void InstanceHistory::Put(TimePoint now, const json& instance) {
  Instances instances = m_states.back().instances;
  instances[instance.at("id").get<std::string>()] =
      std::make_shared<const json>(instance);
  PushState(now, std::move(instances));
}

bool InstanceHistory::Remove(TimePoint now, const std::string& id) {
  Instances instances = m_states.back().instances;
  if (instances.erase(id) == 0)
    return false;
  PushState(now, std::move(instances));
  return true;
}

void InstanceHistory::PushState(TimePoint now, Instances instances) {
  m_states.push_back({now, m_states.back().version + 1, std::move(instances)});
  // The oldest state is needed until its successor exceeds the retention.
  while (m_states.size() > kMaxStates ||
         m_states[1].time + kStateRetention < now)
    m_states.pop_front();
}

InstanceHistory::State InstanceHistory::StateAt(TimePoint at) const {
  for (auto it = m_states.rbegin(); it != m_states.rend(); ++it)
    if (it->time <= at)
      return *it;
  return m_states.front();
}

std::string CheckInstance(const json& instance) {
  if (!instance.is_object())
    return "not a JSON object";
  for (const char* field : {"id", "role", "data_center", "address"})
    if (!instance.contains(field) || !instance[field].is_string() ||
        instance[field] == "")
      return std::string("missing or empty string field ") + field;
  const json& role = instance["role"];
  if (role != "entry" && role != "engine" && role != "service")
    return "role is not entry, engine or service";
  const json state = instance.value("state", json("live"));
  if (state != "live" && state != "leaving")
    return "state is not live or leaving";
  return "";
}

std::unique_ptr<Role> MakeInstanceListRole(Journal& journal) {
  return std::make_unique<ListRole>(journal);
}

}  // namespace trefoilwick::standin
