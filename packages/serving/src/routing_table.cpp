#include <snipeplank/serving/routing_table.hpp>

#include <algorithm>

namespace snipeplank::serving
{

bool route::may_be_served_in(const core::region_id& region) const
{
    return allowed_regions.empty() || std::find(allowed_regions.begin(), allowed_regions.end(),
                                                region) != allowed_regions.end();
}

const route* routing_table::find(std::string_view host, std::string_view path) const
{
    const route* best = nullptr;
    for (const route& candidate : routes)
    {
        if (!http::same_name(candidate.host, host) || !path.starts_with(candidate.path_prefix))
            continue;
        if (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size())
            best = &candidate;
    }
    return best;
}

const service* routing_table::find_service(const core::service_id& name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

std::optional<queue_bound> routing_table::queue_bound_of(const core::service_id& name) const
{
    const auto found = queue_bounds.find(name);
    if (found == queue_bounds.end())
        return std::nullopt;
    return found->second;
}

void routing_table::bound_queues()
{
    queue_bounds.clear();
    if (!accounts)
        return;
    for (const route& each : routes)
    {
        for (const weighted_service& offered : each.services)
        {
            const service* known = find_service(offered.service);
            if (known == nullptr || !known->engine || each.kind != request_kind::streaming)
                continue;
            const auto [bound, is_new] =
                queue_bounds.try_emplace(offered.service, queue_bound{each.objective});
            bound->second.shortest_objective =
                std::min(bound->second.shortest_objective, each.objective);
        }
    }
}

const core::service_id& choose_service(const route& chosen, double draw)
{
    double total = 0;
    for (const weighted_service& each : chosen.services)
    {
        total += each.weight;
    }
    double left = draw * total;
    for (const weighted_service& each : chosen.services)
    {
        left -= each.weight;
        if (left < 0)
            return each.service;
    }
    return chosen.services.back().service;
}

} // namespace snipeplank::serving
