#include <snipeplank/policy/stream_keepers.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace snipeplank::policy
{

namespace
{

using ranked_node = std::pair<std::uint64_t, const core::address*>;

std::vector<ranked_node> ranked(stream_key stream, const std::vector<core::address>& nodes,
                                std::size_t count)
{
    std::vector<ranked_node> scored;
    scored.reserve(nodes.size());
    for (const core::address& each : nodes)
    {
        scored.emplace_back(core::hash64(each.get(), stream.get()), &each);
    }
    const std::size_t kept = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                      scored.end(), std::greater<>());
    scored.resize(kept);
    return scored;
}

std::vector<core::address> addresses_of(const std::vector<ranked_node>& nodes)
{
    std::vector<core::address> addresses;
    addresses.reserve(nodes.size());
    for (const auto& [score, address] : nodes)
    {
        addresses.push_back(*address);
    }
    return addresses;
}

/// The first node of each other region, the highest score first.
std::vector<ranked_node> first_of_regions(stream_key stream, const other_nodes& nodes)
{
    std::vector<ranked_node> first;
    for (const auto& [region, members] : nodes.remote)
    {
        const std::vector<ranked_node> best = ranked(stream, members, 1);
        first.insert(first.end(), best.begin(), best.end());
    }
    std::sort(first.begin(), first.end(), std::greater<>());
    return first;
}

} // namespace

std::vector<core::address> keepers_to_tell(stream_key stream, const other_nodes& nodes)
{
    std::vector<ranked_node> told = ranked(stream, nodes.local, local_keepers);
    std::vector<ranked_node> remote = first_of_regions(stream, nodes);
    remote.resize(std::min(remote.size(), keepers - told.size()));
    told.insert(told.end(), remote.begin(), remote.end());
    return addresses_of(told);
}

std::vector<core::address> local_keepers_to_ask(stream_key stream, const other_nodes& nodes)
{
    return addresses_of(ranked(stream, nodes.local, local_nodes_asked));
}

std::vector<core::address> remote_keepers_to_ask(stream_key stream, const other_nodes& nodes)
{
    std::vector<ranked_node> first = first_of_regions(stream, nodes);
    first.resize(std::min(first.size(), max_regions_asked));
    return addresses_of(first);
}

} // namespace snipeplank::policy
