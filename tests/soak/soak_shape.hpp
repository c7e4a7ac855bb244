/// @file
/// Size of a soak and what its processes do, by its seed.

#ifndef SNIPEPLANK_TESTS_SOAK_SOAK_SHAPE_HPP
#define SNIPEPLANK_TESTS_SOAK_SOAK_SHAPE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "fault_plan.hpp"
#include "machine_fleet.hpp"

namespace snipeplank::tests
{

inline const std::string home_region = "salzkammer";

/// @brief One server of a soak.
struct server_place
{
    std::string name; ///< id of its first incarnation
    std::string service;
    std::string region;
    int work_ms = 60; ///< long enough that faults hit requests in flight
    int event_ms = 5;
    std::string version{}; ///< of its software; empty if events name none
};

/// @brief Half of the servers, each with servers of all services, by the index of a server.
constexpr std::size_t half_of(std::size_t server)
{
    return server / 2 % 2;
}

/// @brief Everything about a soak that its seed decides, besides its plan.
struct soak_shape
{
    plan_kinds kinds;
    std::vector<std::string> regions; ///< one node for each entry
    std::vector<server_place> servers;
    std::size_t callers = 0;
    int events = 5; ///< of a streamed answer
    int max_attempts = 2;
    retry_settings retries;
    std::chrono::milliseconds warmup{0}; ///< time for which a server is cold after its start
    double warmup_rate = 0;              ///< requests/s that a cold server tolerates
};

/// @brief Shape of a soak. Seeds below 5000 keep the shape and the kinds of earlier failures; from
/// 90000 on servers become cold and come back with other software.
/// @param may_be_large every fifth of the newer seeds then has as many processes as the machine
///        bears
soak_shape make_soak_shape(std::uint64_t seed, bool may_be_large);

} // namespace snipeplank::tests

#endif
