#include <snipeplank/core/rendezvous.hpp>
#include <snipeplank/fleet/roles.hpp>

#include <string>

namespace snipeplank::fleet
{

namespace
{

/// Number of candidates that score higher than `self` for `key`, at most `limit`.
std::size_t rank_of(const std::string& key, const role_candidate& self,
                    const std::vector<role_candidate>& live, std::size_t limit)
{
    const std::uint64_t seed = core::hash64(key);
    const std::uint64_t own = core::hash64(self.address.get(), seed);
    std::size_t better = 0;
    for (const role_candidate& other : live)
    {
        if (other.address == self.address)
            continue;
        const std::uint64_t score = core::hash64(other.address.get(), seed);
        if (score > own || (score == own && other.address > self.address))
            ++better;
        if (better >= limit)
            break;
    }
    return better;
}

bool has_role(const std::string& key, const role_candidate& self,
              const std::vector<role_candidate>& live, std::size_t holders)
{
    return rank_of(key, self, live, holders) < holders;
}

std::vector<role_candidate> in_zone(const std::vector<role_candidate>& live,
                                    const core::zone_id& zone)
{
    std::vector<role_candidate> found;
    for (const role_candidate& candidate : live)
    {
        if (candidate.zone == zone)
            found.push_back(candidate);
    }
    return found;
}

bool has_watcher_role(const role_candidate& self, const std::vector<role_candidate>& live)
{
    return has_role("watcher/" + self.zone.get(), self, in_zone(live, self.zone),
                    watchers_per_zone);
}

} // namespace

std::vector<core::address> watchers_among(const std::vector<role_candidate>& live)
{
    std::vector<core::address> watchers;
    for (const role_candidate& candidate : live)
    {
        if (has_watcher_role(candidate, live))
            watchers.push_back(candidate.address);
    }
    return watchers;
}

role_set assign_roles(const role_candidate& self, const std::vector<role_candidate>& live,
                      const std::vector<core::address>& upstreams)
{
    role_set roles;
    roles.watcher = has_watcher_role(self, live);
    const std::size_t rank = rank_of("relay", self, live, relays_per_region);
    roles.relay = rank < relays_per_region;
    roles.relay_rank = roles.relay ? static_cast<unsigned>(rank) : 0;
    for (const core::address& upstream : upstreams)
    {
        if (has_role("prober/" + upstream.get(), self, live, 1))
            roles.probes.push_back(upstream);
        if (has_role("order_issuer/" + upstream.get(), self, live, 1))
            roles.orders.push_back(upstream);
    }
    return roles;
}

} // namespace snipeplank::fleet
