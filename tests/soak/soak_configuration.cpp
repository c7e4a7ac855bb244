#include "soak_configuration.hpp"

#include <array>

namespace snipeplank::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds storm_interval = 250ms;
constexpr std::array<std::chrono::milliseconds, 5> route_timeouts{1'200ms, 2s, 4s, 8s, 12s};
constexpr std::array<std::chrono::milliseconds, 5> idle_limits{100ms, 250ms, 700ms, 2s, 30s};

soak_time now()
{
    return std::chrono::steady_clock::now();
}

bool is_set(std::uint64_t draw, unsigned bit)
{
    return (draw >> bit & 1) != 0;
}

} // namespace

soak_configuration::soak_configuration(machine_fleet& fleet, const soak_shape& shape)
    : m_fleet(fleet)
{
    m_config.max_attempts = shape.max_attempts;
    m_config.bound_region = home_region;
    m_config.warmup = shape.warmup;
    m_config.warmup_rate = shape.warmup_rate;
    if (shape.kinds.with_releases)
        m_config.health_path = "/healthz";
    publish();
}

void soak_configuration::publish()
{
    m_timeouts.push_back({now(), m_config.route_timeout});
    m_idle_limits.push_back({now(), m_config.idle_timeout});
    m_idle_limit = m_config.idle_timeout;
    m_fleet.publish_configuration(m_config);
    ++m_config.version;
}

void soak_configuration::change(fault_kind kind, std::uint64_t draw)
{
    switch (kind)
    {
    case fault_kind::change_timeouts:
        m_config.route_timeout = route_timeouts[draw / 7 % route_timeouts.size()];
        break;
    case fault_kind::change_idle_limit:
        m_config.idle_timeout = idle_limits[draw / 7 % idle_limits.size()];
        break;
    case fault_kind::move_routes:
        m_config.stream_service = is_set(draw, 10) ? "stall" : "model";
        m_config.book_service = is_set(draw, 11) ? "stall" : "shop";
        m_config.read_service = is_set(draw, 12) ? "stall" : "shop";
        break;
    default:
        break;
    }
    publish();
}

void soak_configuration::begin(const planned_fault& fault)
{
    if (fault.kind != fault_kind::version_storm)
    {
        change(fault.kind, fault.draw);
        return;
    }
    m_storm_until = now() + fault.duration;
    m_storm_draw = fault.draw;
}

void soak_configuration::end(const planned_fault& fault)
{
    const fleet_configuration usual;
    switch (fault.kind)
    {
    case fault_kind::change_timeouts:
        m_config.route_timeout = usual.route_timeout;
        break;
    case fault_kind::change_idle_limit:
        m_config.idle_timeout = usual.idle_timeout;
        break;
    case fault_kind::move_routes:
        change(fault_kind::move_routes, 0);
        return;
    default:
        return;
    }
    publish();
}

void soak_configuration::tend()
{
    if (now() >= m_storm_until || now() < m_next_version)
        return;
    m_next_version = now() + storm_interval;
    static constexpr std::array kinds{fault_kind::change_timeouts, fault_kind::move_routes,
                                      fault_kind::change_idle_limit, fault_kind::new_configuration};
    constexpr std::uint64_t multiplier = 6364136223846793005;
    m_storm_draw = m_storm_draw * multiplier + 1;
    change(kinds[m_storm_draw / 64 % kinds.size()], m_storm_draw >> 16);
}

void soak_configuration::restore()
{
    const fleet_configuration usual;
    m_config.route_timeout = usual.route_timeout;
    m_config.idle_timeout = usual.idle_timeout;
    m_config.stream_service = usual.stream_service;
    m_config.book_service = usual.book_service;
    m_config.read_service = usual.read_service;
    publish();
}

} // namespace snipeplank::tests
