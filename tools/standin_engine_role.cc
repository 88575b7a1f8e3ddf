#include "standin_engine.h"
#include "standin_faults.h"

namespace trefoilwick::standin {
namespace {

using nlohmann::json;

// A step id or lineage may be a string or a number.
std::string IdText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Throws json::exception on a missing or mistyped field.
EngineItem ParseItem(const json& value) {
  EngineItem item;
  item.request = value.at("request").get<std::string>();
  item.lineage = IdText(value.at("lineage"));
  item.user = value.at("user").get<std::string>();
  item.position = value.at("position").get<int>();
  item.count = value.at("count").get<int>();
  item.input = value.value("input", std::vector<std::string>());
  item.activation = value.value("activation", std::string());
  item.sample = value.value("sample", true);
  return item;
}

EngineStep ParseStep(const json& value) {
  EngineStep step;
  step.epoch = value.at("epoch").get<uint64_t>();
  step.step = IdText(value.at("step"));
  step.first_layer = value.at("layers").at(0).get<int>();
  step.end_layer = value.at("layers").at(1).get<int>();
  for (const json& item : value.at("items"))
    step.items.push_back(ParseItem(item));
  return step;
}

json FormatResults(const EngineStep& step, const StepOutcome& outcome) {
  json items = json::array();
  for (size_t i = 0; i < step.items.size(); ++i) {
    const EngineResult& result = outcome.results[i];
    items.push_back({{"request", step.items[i].request},
                     {"lineage", step.items[i].lineage},
                     {"activation", result.activation},
                     {"token", result.token},
                     {"error", result.error}});
  }
  return {{"items", std::move(items)}};
}

class EngineRole final : public Role {
 public:
  EngineRole(EngineOptions options, Journal& journal)
      : m_engine(options), m_journal(journal) {}

  Reply Handle(TimePoint now, const Request& request) override {
    std::lock_guard lock(m_mutex);
    if (request.method == "GET" && request.path == "/v1/load")
      return Load(now);
    if (request.method != "POST")
      return ErrorReply(404, "no such path");
    try {
      const json body = json::parse(request.body);
      if (request.path == "/v1/step")
        return Step(now, ParseStep(body));
      if (request.path == "/v1/claim")
        return Claim(body);
      if (request.path == "/v1/release")
        return Release(body);
    } catch (const json::exception& error) {
      return ErrorReply(400, error.what());
    }
    return ErrorReply(404, "no such path");
  }

  void SetFaults(const Faults& faults) override {
    std::lock_guard lock(m_mutex);
    m_engine.IgnoreEpochs(faults.ignore_epochs);
    m_load_lag = std::chrono::milliseconds(faults.load_lag_ms);
  }

 private:
  Reply Claim(const json& body) {
    const auto newest = m_engine.Claim(body.at("epoch").get<uint64_t>(),
                                       body.at("owner").get<std::string>());
    if (newest)
      return JsonReply(409, {{"newest_epoch", *newest}});
    return JsonReply(200, json::object());
  }

  Reply Step(TimePoint now, const EngineStep& step) {
    using Status = StepOutcome::Status;
    const StepOutcome outcome = m_engine.Step(now, step);
    if (outcome.status == Status::kStaleEpoch)
      return JsonReply(409, {{"newest_epoch", outcome.newest_epoch}});
    if (outcome.status == Status::kBadStep)
      return ErrorReply(400, outcome.error);
    if (outcome.status == Status::kCrash) {
      Reply reply;
      reply.crash = true;
      return reply;
    }
    if (!outcome.repeated)
      Record(step, outcome);
    Reply reply = JsonReply(200, FormatResults(step, outcome));
    reply.delay = std::max(Duration(0), outcome.end - now);
    return reply;
  }

  Reply Release(const json& body) {
    for (const json& item : body.at("items"))
      m_engine.Release(item.at("request").get<std::string>(),
                       IdText(item.at("lineage")));
    return JsonReply(200, json::object());
  }

  Reply Load(TimePoint now) const {
    const EngineLoad load = m_engine.Load(now - m_load_lag);
    return JsonReply(200, {{"running", load.running},
                           {"queued", load.queued},
                           {"kv_tokens", load.kv_tokens},
                           {"epoch", load.epoch}});
  }

  void Record(const EngineStep& step, const StepOutcome& outcome) {
    for (size_t i = 0; i < step.items.size(); ++i) {
      const EngineItem& item = step.items[i];
      if (!outcome.results[i].error.empty())
        continue;
      m_journal.Add({{"request", item.request},
                     {"lineage", item.lineage},
                     {"user", item.user},
                     {"position", item.position},
                     {"count", item.count},
                     {"layers", {step.first_layer, step.end_layer}},
                     {"step", step.step},
                     {"epoch", step.epoch},
                     {"time", outcome.end.time_since_epoch().count()}});
    }
  }

  std::mutex m_mutex;
  Engine m_engine;
  Journal& m_journal;
  Duration m_load_lag{0};
};

}  // namespace

std::unique_ptr<Role> MakeEngineRole(EngineOptions options, Journal& journal) {
  return std::make_unique<EngineRole>(options, journal);
}

}  // namespace trefoilwick::standin
