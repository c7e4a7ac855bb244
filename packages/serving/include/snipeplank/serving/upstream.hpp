/// @file
/// Upstreams as published in the fleet's state.

#ifndef SNIPEPLANK_SERVING_UPSTREAM_HPP
#define SNIPEPLANK_SERVING_UPSTREAM_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/strong_type.hpp>
#include <snipeplank/core/units.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace snipeplank::serving
{

/// Identifies one run of an upstream process; its address may later belong to another upstream.
using upstream_id = core::strong_type<std::string, struct upstream_id_tag>;

/// @brief Published description of one upstream.
struct upstream
{
    upstream_id id;
    core::service_id service;
    core::address address;
    core::zone_id zone;
    core::region_id region;
    bool is_leaving = false;         ///< takes no new requests
    core::milliseconds cold_for{0};  ///< remaining warm-up time, if it published one
    unsigned slots = 1;              ///< requests that it runs concurrently
    std::uint64_t started_ms = 0;    ///< Unix time of its start, if it published one
    std::uint64_t report_number = 0; ///< of this description; rises within one run
    std::string software_version;    ///< of its program; streams of two don't fit together

    friend bool operator==(const upstream&, const upstream&) = default;
};

/// Upstreams by id.
using upstream_map = std::map<upstream_id, upstream>;

/// Evacuated availability zones: their upstreams get no new requests.
using zone_set = std::set<core::zone_id>;

} // namespace snipeplank::serving

#endif
