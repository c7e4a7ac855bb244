#include "routers.hpp"

#include <snipeplank/policy/baselines.hpp>

#include <algorithm>
#include <map>

namespace snipeplank::bench
{

namespace
{

using policy::attempt_id;

class dispatcher_router final : public router
{
  public:
    dispatcher_router(std::size_t region, std::size_t node, const fleet_topology& topology,
                      const settings::routing_weights& weights)
        : m_region(region), m_topology(topology),
          m_dispatcher({node_name(node), region_name(region), core::zone_id{"a"}}), m_random(node)
    {
        settings::published_config config;
        config.weights = weights;
        settings::service_config service;
        service.name = service_name;
        service.residency = settings::residency::free;
        config.services[service_name] = service;
        for (std::size_t a = 0; a < topology.regions; ++a)
        {
            for (std::size_t b = a + 1; b < topology.regions; ++b)
            {
                config.links.push_back({region_name(a), region_name(b), core::milliseconds{80},
                                        core::from_megabits(140), 0.25});
            }
        }
        m_dispatcher.set_config(config);
        std::vector<core::address> nodes;
        for (std::size_t i = 0; i < topology.nodes_per_region; ++i)
        {
            nodes.push_back(node_name(region * topology.nodes_per_region + i));
        }
        m_dispatcher.set_nodes(nodes);
    }

    routing_decision route(const policy::call_view& call, double now) override
    {
        const policy::decision made = m_dispatcher.route(call, to_time(now), m_random);
        routing_decision result;
        if (const auto* local = std::get_if<policy::use_upstream>(&made.action))
        {
            result.engine = engine_index(local->address);
            result.attempt = local->attempt;
        }
        else if (const auto* remote = std::get_if<policy::send_to_region>(&made.action))
        {
            result.region = region_index(remote->region);
            result.attempt = remote->attempt;
        }
        else
            result.refusal = to_string(std::get<policy::refusal>(made.action).reason);
        return result;
    }

    void on_first_byte(attempt_id attempt, double now) override
    {
        m_dispatcher.on_first_byte(attempt, to_time(now));
    }
    void on_finished(attempt_id attempt, policy::attempt_outcome outcome, double now) override
    {
        m_dispatcher.on_finished(attempt, outcome, to_time(now));
    }
    void on_abandoned(attempt_id attempt, double now) override
    {
        m_dispatcher.on_abandoned(attempt, to_time(now));
    }
    bool may_retry(const policy::call_view& call, policy::retry_reason reason, double now) override
    {
        return m_dispatcher.may_retry(call, reason, to_time(now));
    }
    std::optional<double> hedge_delay(const policy::call_view& call, double now) override
    {
        const auto delay = m_dispatcher.hedge_delay(call, to_time(now));
        if (!delay)
            return std::nullopt;
        return static_cast<double>(delay->count());
    }
    bool take_hedge(double now) override { return m_dispatcher.take_hedge(to_time(now)); }

    void set_engines(const std::vector<bool>& alive, double now) override
    {
        std::vector<policy::upstream_status> list;
        for (std::size_t i = 0; i < m_topology.engines_per_region; ++i)
        {
            const std::size_t engine = m_region * m_topology.engines_per_region + i;
            if (!alive[engine])
                continue;
            list.push_back(
                {engine_name(engine), region_name(m_region), core::zone_id{"a"}, false, 1, 0});
        }
        m_dispatcher.set_upstreams(service_name, list, to_time(now));
    }
    void on_load_report(std::size_t engine, unsigned running, unsigned waiting, double kv_use,
                        double now) override
    {
        m_dispatcher.on_load_report(engine_name(engine), running, waiting, kv_use, to_time(now));
    }
    void set_regions(const std::vector<policy::region_status>& regions, double now) override
    {
        m_dispatcher.set_regions(regions, to_time(now));
    }
    double free_calls(double now) const override
    {
        return m_dispatcher.free_calls(service_name, to_time(now));
    }
    double latency_ms() const override { return m_dispatcher.latency_ms(service_name); }

  private:
    std::size_t m_region;
    fleet_topology m_topology;
    policy::dispatcher m_dispatcher;
    core::seeded_random m_random;
};

/// Ranks engines by this node's calls in flight, admits every call and retries each failure once at
/// another engine.
class baseline_router final : public router
{
  public:
    baseline_router(std::unique_ptr<policy::routing_policy> policy, bool spans_regions,
                    std::size_t region, std::size_t node, const fleet_topology& topology)
        : m_policy(std::move(policy)), m_spans_regions(spans_regions), m_region(region),
          m_topology(topology), m_random(node),
          m_in_flight(topology.regions * topology.engines_per_region, 0)
    {
    }

    routing_decision route(const policy::call_view& call, double) override
    {
        std::vector<policy::upstream_view> views;
        for (std::size_t engine = 0; engine < m_in_flight.size(); ++engine)
        {
            const std::size_t region = engine / m_topology.engines_per_region;
            const bool is_remote = region != m_region;
            if (!m_alive[engine] || (is_remote && !m_spans_regions))
                continue;
            if (is_remote && call.residency != settings::residency::free)
                continue;
            const core::address name = engine_name(engine);
            if (std::find(call.tried.begin(), call.tried.end(), name) != call.tried.end())
                continue;
            policy::upstream_view view;
            view.address = name;
            view.is_remote = is_remote;
            view.in_flight = m_in_flight[engine];
            views.push_back(view);
        }
        const std::vector<std::size_t> order = m_policy->rank(call, views, m_random);
        routing_decision result;
        if (order.empty())
        {
            result.refusal = "no_upstream";
            return result;
        }
        result.engine = engine_index(views[order.front()].address);
        result.attempt = attempt_id{m_next++};
        ++m_in_flight[*result.engine];
        m_open[result.attempt.get()] = *result.engine;
        return result;
    }

    void on_finished(attempt_id attempt, policy::attempt_outcome, double now) override
    {
        on_abandoned(attempt, now);
    }
    void on_abandoned(attempt_id attempt, double) override
    {
        const auto found = m_open.find(attempt.get());
        if (found == m_open.end())
            return;
        --m_in_flight[found->second];
        m_open.erase(found);
    }
    bool may_retry(const policy::call_view& call, policy::retry_reason, double) override
    {
        return call.tried.size() < 2;
    }
    void set_engines(const std::vector<bool>& alive, double) override { m_alive = alive; }

  private:
    std::unique_ptr<policy::routing_policy> m_policy;
    bool m_spans_regions;
    std::size_t m_region;
    fleet_topology m_topology;
    core::seeded_random m_random;
    std::vector<unsigned> m_in_flight;
    std::vector<bool> m_alive;
    std::map<std::uint64_t, std::size_t> m_open;
    std::uint64_t m_next = 1;
};

std::size_t parse_index(const std::string& text, std::size_t prefix)
{
    return std::stoul(text.substr(prefix));
}

} // namespace

core::time_point to_time(double ms)
{
    constexpr core::seconds start{1'000};
    return core::time_point{} + start + std::chrono::microseconds(static_cast<long>(ms * 1'000));
}

core::region_id region_name(std::size_t region)
{
    return core::region_id{"r" + std::to_string(region)};
}

core::address engine_name(std::size_t engine)
{
    return core::address{"e" + std::to_string(engine)};
}

core::address node_name(std::size_t node)
{
    return core::address{"n" + std::to_string(node)};
}

std::size_t engine_index(const core::address& name)
{
    return parse_index(name.get(), 1);
}

std::size_t region_index(const core::region_id& name)
{
    return parse_index(name.get(), 1);
}

std::unique_ptr<router> make_router(const std::string& kind, std::size_t region, std::size_t node,
                                    const fleet_topology& topology,
                                    const settings::routing_weights& weights)
{
    const auto baseline = [&](std::unique_ptr<policy::routing_policy> policy, bool spans_regions)
    {
        return std::make_unique<baseline_router>(std::move(policy), spans_regions, region, node,
                                                 topology);
    };
    if (kind == "round_robin")
        return baseline(policy::make_round_robin(), false);
    if (kind == "least_outstanding")
        return baseline(policy::make_least_outstanding(), false);
    if (kind == "random_of_two")
        return baseline(policy::make_random_of_two(), false);
    if (kind == "least_outstanding_across")
        return baseline(policy::make_least_outstanding(), true);
    return std::make_unique<dispatcher_router>(region, node, topology, weights);
}

} // namespace snipeplank::bench
