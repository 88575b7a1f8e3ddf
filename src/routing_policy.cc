#include <algorithm>
#include <atomic>
#include <cmath>

#include "trefoilwick/routing.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

// Mean response length at the design load: 1.7 M tokens/s for 3,900 requests/s.
constexpr double kTokensPerRequest = 436;
// Time constant with which the weight of a reported wait decays. In
// routing_policy_test, values from 2 to 10 s differ by less than 2%.
constexpr Seconds kReportDecayTime{4};
// Additional wait that is accepted to reuse a cached prefix, and saved wait
// that justifies another data center: a third and a seventh of the first-token
// target of 340 ms.
constexpr Duration kMaxAffinityWait = milliseconds(110);
constexpr Duration kRemoteDataCenterPenalty = milliseconds(50);

using Chains = std::vector<const Chain*>;

// Chains of the model that were not tried yet.
Chains FindCandidates(const ChoiceContext& context) {
  Chains chains;
  for (const auto& [id, chain] : context.fleet.chains)
    if (chain.model == context.model && !context.excluded.contains(id))
      chains.push_back(&chain);
  return chains;
}

const ChainLoadInfo* FindLoad(const ChoiceContext& context,
                              const Chain& chain) {
  auto it = context.loads.find(chain.id);
  return it == context.loads.end() ? nullptr : &it->second;
}

// The instance list may omit the speed.
double SpeedOf(const Chain& chain) {
  return std::max(1.0, chain.tokens_per_second);
}

// Draws a chain with a probability proportional to its speed, because with
// equal probabilities slow chains get more requests than they can serve. Null
// when empty.
const Chain* DrawBySpeed(const Chains& chains,
                         const Chain* except,
                         Random& random) {
  double sum = 0;
  for (const Chain* chain : chains)
    sum += chain == except ? 0 : SpeedOf(*chain);
  double position = random.UniformDouble() * sum;
  const Chain* drawn = nullptr;
  for (const Chain* chain : chains) {
    if (chain == except)
      continue;
    drawn = chain;
    position -= SpeedOf(*chain);
    if (position < 0)
      break;
  }
  return drawn;
}

struct ChainEstimate {
  const Chain* chain = nullptr;
  Duration wait{0};
};

// Mean of the reported waits.
Duration TypicalWait(const ChoiceContext& context, const Chains& chains) {
  Duration sum{0};
  int count = 0;
  for (const Chain* chain : chains)
    if (const ChainLoadInfo* load = FindLoad(context, *chain)) {
      sum += load->expected_wait;
      ++count;
    }
  return count == 0 ? Duration(0) : sum / count;
}

ChainEstimate ShortestWait(const ChoiceContext& context, const Chains& chains) {
  const Duration typical_wait = TypicalWait(context, chains);
  ChainEstimate best;
  for (const Chain* chain : chains) {
    const Duration wait =
        EstimateWait(*chain, FindLoad(context, *chain), typical_wait,
                     context.entry_instance_count, context.now);
    // The first draw wins a tie, so that idle chains get requests in proportion
    // to their speed.
    if (!best.chain || wait < best.wait)
      best = {chain, wait};
  }
  return best;
}

// The chain with the shorter wait of two draws.
ChainEstimate BestOfTwoDraws(const ChoiceContext& context,
                             const Chains& chains,
                             Random& random) {
  const Chain* first = DrawBySpeed(chains, nullptr, random);
  const Chain* second = DrawBySpeed(chains, first, random);
  Chains drawn;
  for (const Chain* chain : {first, second})
    if (chain)
      drawn.push_back(chain);
  return ShortestWait(context, drawn);
}

class PowerOfTwo final : public ChainPolicy {
 public:
  std::string ChooseChain(const ChoiceContext& context,
                          Random& random) override {
    const Chains all = FindCandidates(context);
    if (all.empty())
      return {};
    Chains local;
    Chains remote;
    for (const Chain* chain : all)
      (chain->data_center == context.data_center ? local : remote)
          .push_back(chain);
    ChainEstimate best = BestOfTwoDraws(context, local, random);
    const ChainEstimate best_remote = BestOfTwoDraws(context, remote, random);
    if (!best.chain ||
        (best_remote.chain &&
         best_remote.wait + kRemoteDataCenterPenalty < best.wait))
      best = best_remote;
    const Chain* cached = FindCachedChain(context);
    if (cached &&
        ShortestWait(context, {cached}).wait <= best.wait + kMaxAffinityWait)
      return cached->id;
    return best.chain->id;
  }

 private:
  static const Chain* FindCachedChain(const ChoiceContext& context) {
    if (!context.prefixes || context.prefix == 0)
      return nullptr;
    const auto id = context.prefixes->Find(context.prefix);
    if (!id || context.excluded.contains(*id))
      return nullptr;
    auto it = context.fleet.chains.find(*id);
    return it != context.fleet.chains.end() && it->second.model == context.model
               ? &it->second
               : nullptr;
  }
};

class RoundRobin final : public ChainPolicy {
 public:
  std::string ChooseChain(const ChoiceContext& context,
                          Random& /*random*/) override {
    const Chains chains = FindCandidates(context);
    return chains.empty() ? std::string()
                          : chains[m_next++ % chains.size()]->id;
  }

 private:
  std::atomic<uint64_t> m_next{0};
};

// Uses the reported waits uncorrected.
class LeastLoaded final : public ChainPolicy {
 public:
  std::string ChooseChain(const ChoiceContext& context,
                          Random& random) override {
    const Chain* best = nullptr;
    Duration best_wait{0};
    uint64_t ties = 0;
    for (const Chain* chain : FindCandidates(context)) {
      const ChainLoadInfo* load = FindLoad(context, *chain);
      const Duration wait = load ? load->expected_wait : Duration(0);
      if (best && wait > best_wait)
        continue;
      ties = best && wait == best_wait ? ties + 1 : 0;
      if (random.UniformBelow(ties + 1) == 0)
        best = chain;
      best_wait = wait;
    }
    return best ? best->id : std::string();
  }
};

class RandomChain final : public ChainPolicy {
 public:
  std::string ChooseChain(const ChoiceContext& context,
                          Random& random) override {
    const Chains chains = FindCandidates(context);
    return chains.empty() ? std::string()
                          : chains[random.UniformBelow(chains.size())]->id;
  }
};

template <typename Policy>
bool Register(const char* name) {
  return Registry<ChainPolicy>::Get().Add(
      name, [] { return std::make_unique<Policy>(); });
}

const bool kPowerOfTwoRegistered = Register<PowerOfTwo>("power_of_two");
const bool kRoundRobinRegistered = Register<RoundRobin>("round_robin");
const bool kLeastLoadedRegistered = Register<LeastLoaded>("least_loaded");
const bool kRandomRegistered = Register<RandomChain>("random");

}  // namespace

void RegisterChainPolicies() {
  Register<PowerOfTwo>("power_of_two");
  Register<RoundRobin>("round_robin");
  Register<LeastLoaded>("least_loaded");
  Register<RandomChain>("random");
}

Duration EstimateWait(const Chain& chain,
                      const ChainLoadInfo* load,
                      Duration typical_wait,
                      int entry_instances,
                      TimePoint now) {
  if (!load)
    return typical_wait;
  const Seconds age = std::max(Duration(0), now - load->reported_at);
  const double report_weight = std::exp(-(age / kReportDecayTime));
  double seconds_per_request = kTokensPerRequest / SpeedOf(chain);
  if (load->queued > 0)
    seconds_per_request = Seconds(load->expected_wait).count() / load->queued;
  // The own requests are a small, noisy sample of those of all entry instances.
  // Scaling them by the square root of the number of instances gave the
  // shortest waits among the exponents 0 to 1.
  const double wait = report_weight * Seconds(load->expected_wait).count() +
                      (1 - report_weight) * Seconds(typical_wait).count() +
                      seconds_per_request * load->sent_since_report *
                          std::sqrt(std::max(1, entry_instances));
  return std::chrono::duration_cast<Duration>(Seconds(wait));
}

}  // namespace trefoilwick
