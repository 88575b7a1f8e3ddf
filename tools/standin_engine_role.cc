#include "standin_engine.h"
#include "standin_faults.h"

namespace trefoilwick::standin {
namespace {

using nlohmann::json;

// Formats a step id or lineage, which may be a string or a number.
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

void AppendField(std::string& out, const char* name, const std::string& value) {
  out.append(out.back() == '{' ? "\"" : ",\"").append(name).append("\":");
  AppendJsonText(out, value);
}

void AppendField(std::string& out, const char* name, int64_t value) {
  out.append(out.back() == '{' ? "\"" : ",\"").append(name).append("\":");
  out += std::to_string(value);
}

// Replies and journal lines are written without a JSON tree: with trees, a
// step of 16 items took 755 us of CPU instead of 450 us.
std::string FormatResults(const EngineStep& step, const StepOutcome& outcome) {
  std::string out = "{\"items\":[";
  for (size_t i = 0; i < step.items.size(); ++i) {
    const EngineResult& result = outcome.results[i];
    out += i == 0 ? "{" : ",{";
    AppendField(out, "request", step.items[i].request);
    AppendField(out, "lineage", step.items[i].lineage);
    AppendField(out, "activation", result.activation);
    AppendField(out, "token", result.token);
    AppendField(out, "error", result.error);
    out += '}';
  }
  return out + "]}";
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
    m_engine.SetIgnoreEpochs(faults.ignore_epochs);
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
      AppendToJournal(step, outcome);
    Reply reply;
    reply.body = FormatResults(step, outcome);
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
    const EngineLoad load = m_engine.LoadAt(now - m_load_lag);
    return JsonReply(200, {{"running", load.running},
                           {"queued", load.queued},
                           {"kv_tokens", load.kv_tokens},
                           {"epoch", load.epoch}});
  }

  void AppendToJournal(const EngineStep& step, const StepOutcome& outcome) {
    for (size_t i = 0; i < step.items.size(); ++i) {
      const EngineItem& item = step.items[i];
      if (!outcome.results[i].error.empty())
        continue;
      std::string line = "{";
      AppendField(line, "request", item.request);
      AppendField(line, "lineage", item.lineage);
      AppendField(line, "user", item.user);
      AppendField(line, "position", item.position);
      AppendField(line, "count", item.count);
      line.append(",\"layers\":[")
          .append(std::to_string(step.first_layer))
          .append(",")
          .append(std::to_string(step.end_layer))
          .append("]");
      AppendField(line, "step", step.step);
      AppendField(line, "epoch", int64_t(step.epoch));
      AppendField(line, "time", outcome.end.time_since_epoch().count());
      m_journal.AddLine(line + "}");
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
