#include "standin_service.h"

#include <atomic>

#include "answer.h"

namespace trefoilwick::standin {
namespace {

class ServiceRole final : public Role {
 public:
  ServiceRole(ServiceOptions options, Journal& journal)
      : m_options(std::move(options)), m_journal(journal) {}

  Reply Handle(TimePoint now, const Request& request) override {
    if (request.method != "POST")
      return ErrorReply(405, "only POST runs a call");
    const std::string path = PercentDecode(request.path);
    const std::string hash = BodyHash(request.body);
    const uint64_t call = ++m_calls;
    m_journal.AddEvent({{"server", m_options.id},
                        {"path", path},
                        {"user", request.Header("x-account")},
                        {"request", request.Header("x-request-id")},
                        {"key", request.Header("idempotency-key")},
                        {"body_hash", hash},
                        {"time", now.time_since_epoch().count()}});
    Reply reply = JsonReply(200, {{"server", m_options.id},
                                  {"path", path},
                                  {"call", call},
                                  {"body_hash", hash}});
    reply.delay = m_options.call_time;
    return reply;
  }

 private:
  ServiceOptions m_options;
  Journal& m_journal;
  std::atomic<uint64_t> m_calls{0};
};

}  // namespace

std::unique_ptr<Role> MakeServiceRole(ServiceOptions options,
                                      Journal& journal) {
  return std::make_unique<ServiceRole>(std::move(options), journal);
}

}  // namespace trefoilwick::standin
