#include "trefoilwick/route_table.h"

#include <algorithm>
#include <cctype>

namespace trefoilwick {

namespace {

// Lower-case host name without its port.
std::string NormalizeHost(std::string_view host) {
  const size_t colon = host.rfind(':');
  if (colon != std::string_view::npos)
    host = host.substr(0, colon);
  std::string normalized(host);
  std::transform(
      normalized.begin(), normalized.end(), normalized.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return normalized;
}

}  // namespace

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const auto by_prefix = m_routes_by_host.find(NormalizeHost(host));
  if (by_prefix == m_routes_by_host.end())
    return nullptr;
  path = path.substr(0, path.find_first_of("?#"));
  // Every prefix ends with a slash, so only these positions can match.
  for (size_t end = path.rfind('/'); end != std::string_view::npos;) {
    const auto found =
        by_prefix->second.find(std::string(path.substr(0, end + 1)));
    if (found != by_prefix->second.end())
      return &m_routes[found->second];
    if (end == 0)
      break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const ClientAccount* RouteTable::FindAccount(const std::string& key) const {
  const auto found = m_accounts_by_key.find(key);
  return found == m_accounts_by_key.end() ? nullptr
                                          : &m_accounts[found->second];
}

std::map<std::string, std::set<int>> RouteTable::RanksByService() const {
  std::set<int> account_ranks;
  for (const ClientAccount& account : m_accounts)
    if (account.rank)
      account_ranks.insert(*account.rank);
  std::map<std::string, std::set<int>> out;
  for (const Route& route : m_routes) {
    for (const WeightedService& service : route.services) {
      std::set<int>& ranks = out[service.service];
      ranks.insert(route.rank);
      if (m_requires_account && !route.is_public)
        ranks.insert(account_ranks.begin(), account_ranks.end());
    }
  }
  return out;
}

const Service* RouteTable::FindService(const std::string& name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : &found->second;
}

RouteTable::Builder& RouteTable::Builder::SetLimits(
    const ClientLimits& limits) {
  m_table.m_limits = limits;
  return *this;
}

RouteTable::Builder& RouteTable::Builder::AddRoute(Route route) {
  m_table.m_routes.push_back(std::move(route));
  return *this;
}

RouteTable::Builder& RouteTable::Builder::AddService(Service service) {
  const std::string name = service.name;
  m_table.m_services.insert_or_assign(name, std::move(service));
  return *this;
}

RouteTable::Builder& RouteTable::Builder::RequireAccount() {
  m_table.m_requires_account = true;
  return *this;
}

RouteTable::Builder& RouteTable::Builder::AddAccount(ClientAccount account) {
  RequireAccount();
  m_table.m_accounts.push_back(std::move(account));
  return *this;
}

RouteTable RouteTable::Builder::Build() {
  for (size_t i = 0; i < m_table.m_routes.size(); ++i) {
    const Route& route = m_table.m_routes[i];
    m_table.m_routes_by_host[NormalizeHost(route.host)][route.prefix] = i;
  }
  for (size_t i = 0; i < m_table.m_accounts.size(); ++i)
    for (const std::string& key : m_table.m_accounts[i].keys)
      // A request without a key has an empty one.
      if (!key.empty())
        m_table.m_accounts_by_key[key] = i;
  return std::move(m_table);
}

}  // namespace trefoilwick
