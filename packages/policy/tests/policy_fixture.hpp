/// @file
/// A dispatcher of one node with a small configuration.

#ifndef SNIPEPLANK_POLICY_TESTS_POLICY_FIXTURE_HPP
#define SNIPEPLANK_POLICY_TESTS_POLICY_FIXTURE_HPP

#include <snipeplank/policy/dispatcher.hpp>

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <string>
#include <vector>

namespace snipeplank::policy::tests
{

inline const core::service_id model{"almanac"};

inline core::time_point at(long ms)
{
    return core::time_point{} + core::seconds{1'000} + core::milliseconds{ms};
}

inline core::address upstream_name(std::size_t index)
{
    return core::address{"10.0.0." + std::to_string(index + 1) + ":8000"};
}

inline core::region_id region_name(std::size_t index)
{
    return core::region_id{"r" + std::to_string(index)};
}

inline upstream_status upstream_in(const core::region_id& region, std::size_t index)
{
    return {upstream_name(index), region, core::zone_id{region.get() + "-a"}, false, 1, 0};
}

inline std::vector<upstream_status> upstream_list(std::size_t count)
{
    std::vector<upstream_status> list;
    for (std::size_t i = 0; i < count; ++i)
    {
        list.push_back(upstream_in(region_name(0), i));
    }
    return list;
}

/// Configuration with one service and a link between each pair of regions.
inline settings::published_config make_config(std::size_t regions = 3)
{
    settings::published_config config;
    settings::service_config service;
    service.name = model;
    service.kind = settings::service_kind::model;
    service.residency = settings::residency::free;
    config.services[model] = service;
    for (std::size_t a = 0; a < regions; ++a)
    {
        for (std::size_t b = a + 1; b < regions; ++b)
        {
            config.links.push_back({region_name(a), region_name(b), core::milliseconds{80},
                                    core::from_megabits(140), 0.25});
        }
    }
    return config;
}

inline region_status free_region(std::size_t index, double free_calls = 100)
{
    region_status status;
    status.region = region_name(index);
    status.zones = {core::zone_id{status.region.get() + "-a"}};
    status.one_way_delay_ms = 80;
    status.services[model] = {free_calls, 50, 1};
    return status;
}

inline dispatcher_self self_in(std::size_t region, const std::string& node = "127.0.0.1:1")
{
    const core::region_id name = region_name(region);
    return {core::address{node}, name, core::zone_id{name.get() + "-a"}};
}

inline call_view free_call(long remaining_ms = 10'000)
{
    call_view call;
    call.service = model;
    call.remaining = core::milliseconds{remaining_ms};
    call.residency = settings::residency::free;
    call.is_idempotent = true;
    return call;
}

inline call_view bound_call(const core::region_id& home)
{
    call_view call = free_call();
    call.residency = settings::residency::bound;
    call.home = home;
    return call;
}

inline const refusal* refused(const decision& made)
{
    return std::get_if<refusal>(&made.action);
}

inline const use_upstream* sent_to_upstream(const decision& made)
{
    return std::get_if<use_upstream>(&made.action);
}

inline const send_to_region* sent_to_remote(const decision& made)
{
    return std::get_if<send_to_region>(&made.action);
}

/// Dispatcher of a node in region r0 with `count` upstreams, past its slow start.
struct one_node
{
    explicit one_node(std::size_t count, const settings::published_config& config = make_config())
        : subject(self_in(0))
    {
        subject.set_config(config);
        subject.set_upstreams(model, upstream_list(count), at(-60'000));
    }

    decision route(const call_view& call, long ms) { return subject.route(call, at(ms), random); }

    /// Routes a call and answers it after `answer_ms`.
    bool serve(const call_view& call, long ms, long answer_ms)
    {
        const decision made = route(call, ms);
        const use_upstream* target = sent_to_upstream(made);
        if (target == nullptr)
            return false;
        subject.on_first_byte(target->attempt, at(ms + answer_ms));
        subject.on_finished(target->attempt, attempt_outcome::answered, at(ms + answer_ms));
        return true;
    }

    dispatcher subject;
    core::seeded_random random{1};
};

} // namespace snipeplank::policy::tests

#endif
