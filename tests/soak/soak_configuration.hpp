/// @file
/// The configuration that a soak publishes, and its changes.

#ifndef SNIPEPLANK_TESTS_SOAK_SOAK_CONFIGURATION_HPP
#define SNIPEPLANK_TESTS_SOAK_SOAK_CONFIGURATION_HPP

#include <atomic>
#include <vector>

#include "fault_plan.hpp"
#include "machine_fleet.hpp"
#include "soak_shape.hpp"
#include "soak_verdict.hpp"

namespace snipeplank::tests
{

/// @brief Publishes versions that rise, and records which limits were in force when.
class soak_configuration
{
  public:
    soak_configuration(machine_fleet& fleet, const soak_shape& shape);

    /// @brief Requests in one second that a cold server may get.
    std::size_t allowed_while_cold() const { return cold_bound(m_config); }

    /// @brief Begins a change of a kind that ends by itself or with `end`.
    void begin(const planned_fault& fault);
    void end(const planned_fault& fault);

    /// @brief Publishes the next version of a storm when it is due.
    void tend();

    /// @brief Publishes the configuration without any change.
    void restore();

    /// @brief Limit of the idle time of a client's connection; zero when none is published. May be
    /// read by any thread.
    std::chrono::milliseconds idle_limit() const { return m_idle_limit; }

    /// @brief Timeouts of the routes since the start.
    const std::vector<limit_change>& timeouts() const { return m_timeouts; }

    /// @brief Limits of the idle time since the start, as far as published.
    const std::vector<limit_change>& published_idle_limits() const { return m_idle_limits; }

  private:
    void publish();
    void change(fault_kind kind, std::uint64_t draw);

    machine_fleet& m_fleet;
    fleet_configuration m_config;
    std::vector<limit_change> m_timeouts;
    std::vector<limit_change> m_idle_limits;
    std::atomic<std::chrono::milliseconds> m_idle_limit{std::chrono::milliseconds{0}};
    soak_time m_storm_until{};
    soak_time m_next_version{};
    std::uint64_t m_storm_draw = 0;
};

} // namespace snipeplank::tests

#endif
