#include <algorithm>
#include <atomic>
#include <cmath>

#include "trefoilwick/routing.h"

namespace trefoilwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

// Mean length of an answer at the design size: 1.7 M tokens/s of 3,900
// requests/s.
constexpr double kTokensPerRequest = 436;
// Time in which a reported queue length loses most of its meaning. In the
// experiment of routing_policy_test, 2 to 10 s differ by less than 2%.
constexpr Seconds kReportLife{4};
// Wait accepted to reuse a cached prefix, and wait saved that justifies another
// data center: a third and a seventh of the first-token target of 340 ms.
constexpr Duration kAffinityBound = milliseconds(110);
constexpr Duration kRemotePenalty = milliseconds(50);

using Chains = std::vector<const Chain*>;

// Chains of the model that were not tried yet.
Chains Candidates(const ChoiceContext& context) {
  Chains chains;
  for (const auto& [id, chain] : context.fleet.chains)
    if (chain.model == context.model && !context.excluded.contains(id))
      chains.push_back(&chain);
  return chains;
}

const ChainLoadInfo* LoadOf(const ChoiceContext& context, const Chain& chain) {
  auto it = context.loads.find(chain.id);
  return it == context.loads.end() ? nullptr : &it->second;
}

// The instance list may leave the speed out.
double SpeedOf(const Chain& chain) {
  return std::max(1.0, chain.tokens_per_second);
}

// Draws with probability proportional to speed, because with equal
// probabilities slow chains get more than they can serve. Null when empty.
const Chain* DrawBySpeed(const Chains& chains,
                         const Chain* except,
                         Random& random) {
  double sum = 0;
  for (const Chain* chain : chains)
    sum += chain == except ? 0 : SpeedOf(*chain);
  double at = random.UniformDouble() * sum;
  const Chain* last = nullptr;
  for (const Chain* chain : chains) {
    if (chain == except)
      continue;
    last = chain;
    at -= SpeedOf(*chain);
    if (at < 0)
      break;
  }
  return last;
}

struct Estimated {
  const Chain* chain = nullptr;
  Duration wait{0};
};

// Mean of the waits that are reported at all.
Duration TypicalWait(const ChoiceContext& context, const Chains& chains) {
  Duration sum{0};
  int count = 0;
  for (const Chain* chain : chains)
    if (const ChainLoadInfo* load = LoadOf(context, *chain)) {
      sum += load->expected_wait;
      ++count;
    }
  return count == 0 ? Duration(0) : sum / count;
}

Estimated Shorter(const ChoiceContext& context, const Chains& chains) {
  const Duration typical = TypicalWait(context, chains);
  Estimated best;
  for (const Chain* chain : chains) {
    const Duration wait =
        EstimateWait(*chain, LoadOf(context, *chain), typical,
                     context.entry_instance_count, context.now);
    // The first drawn wins a tie, so that idle chains share by speed.
    if (!best.chain || wait < best.wait)
      best = {chain, wait};
  }
  return best;
}

// The better of two draws.
Estimated TwoChoices(const ChoiceContext& context,
                     const Chains& chains,
                     Random& random) {
  const Chain* first = DrawBySpeed(chains, nullptr, random);
  const Chain* second = DrawBySpeed(chains, first, random);
  Chains drawn;
  for (const Chain* chain : {first, second})
    if (chain)
      drawn.push_back(chain);
  return Shorter(context, drawn);
}

class PowerOfTwo final : public ChainPolicy {
 public:
  std::string ChooseChain(const ChoiceContext& context,
                          Random& random) override {
    const Chains all = Candidates(context);
    if (all.empty())
      return {};
    Chains local;
    Chains remote;
    for (const Chain* chain : all)
      (chain->data_center == context.data_center ? local : remote)
          .push_back(chain);
    Estimated best = TwoChoices(context, local, random);
    const Estimated away = TwoChoices(context, remote, random);
    if (!best.chain || (away.chain && away.wait + kRemotePenalty < best.wait))
      best = away;
    const Chain* cached = Cached(context);
    if (cached && Shorter(context, {cached}).wait <= best.wait + kAffinityBound)
      return cached->id;
    return best.chain->id;
  }

 private:
  static const Chain* Cached(const ChoiceContext& context) {
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
    const Chains chains = Candidates(context);
    return chains.empty() ? std::string()
                          : chains[m_next++ % chains.size()]->id;
  }

 private:
  std::atomic<uint64_t> m_next{0};
};

// Trusts the reports as they are.
class LeastLoaded final : public ChainPolicy {
 public:
  std::string ChooseChain(const ChoiceContext& context,
                          Random& random) override {
    const Chain* best = nullptr;
    Duration best_wait{0};
    uint64_t ties = 0;
    for (const Chain* chain : Candidates(context)) {
      const ChainLoadInfo* load = LoadOf(context, *chain);
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
    const Chains chains = Candidates(context);
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
                      Duration typical,
                      int entries,
                      TimePoint now) {
  if (!load)
    return typical;
  const Seconds age = std::max(Duration(0), now - load->reported_at);
  const double trust = std::exp(-(age / kReportLife));
  double per_request = kTokensPerRequest / SpeedOf(chain);
  if (load->queued > 0)
    per_request = Seconds(load->expected_wait).count() / load->queued;
  // Own requests tell the work of all entries with the noise of a small sample.
  // Scaling by the square root of their number gave the shortest waits of the
  // exponents 0 to 1.
  const double wait =
      trust * Seconds(load->expected_wait).count() +
      (1 - trust) * Seconds(typical).count() +
      per_request * load->sent_since_report * std::sqrt(std::max(1, entries));
  return std::chrono::duration_cast<Duration>(Seconds(wait));
}

}  // namespace trefoilwick
