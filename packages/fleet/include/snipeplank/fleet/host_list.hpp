/// @file
/// The platform's list of live and leaving hosts, which lags behind the actual state.

#ifndef SNIPEPLANK_FLEET_HOST_LIST_HPP
#define SNIPEPLANK_FLEET_HOST_LIST_HPP

#include <snipeplank/core/ids.hpp>

#include <cstdint>
#include <vector>

namespace snipeplank::fleet
{

enum class host_kind
{
    entry,
    upstream,
};

enum class host_state
{
    live,
    leaving,
};

/// @brief One host of the list.
struct host_entry
{
    core::address address; ///< peer address of an entry host, service address of an upstream
    host_kind kind = host_kind::entry;
    core::service_id service; ///< of an upstream
    core::region_id region;
    core::zone_id zone;
    host_state state = host_state::live;
};

/// @brief A snapshot of the list.
struct host_list
{
    std::uint64_t index = 0;
    std::vector<host_entry> hosts;
};

} // namespace snipeplank::fleet

#endif
