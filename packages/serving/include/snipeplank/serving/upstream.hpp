/// @file
/// Upstreams as the source of the fleet's state describes them.

#ifndef SNIPEPLANK_SERVING_UPSTREAM_HPP
#define SNIPEPLANK_SERVING_UPSTREAM_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/strong_type.hpp>
#include <snipeplank/core/units.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace snipeplank::serving
{

/// Name of one life of an upstream; its address may later belong to another one.
using upstream_id = core::strong_type<std::string, struct upstream_id_tag>;

/// @brief One upstream.
struct upstream
{
    upstream_id id;
    core::service_id service;
    core::address address;
    core::zone_id zone;
    core::region_id region;
    bool is_leaving = false;        ///< takes no new requests
    core::milliseconds cold_for{0}; ///< how much longer it is cold, when it said so
    unsigned slots = 1;             ///< requests that it runs at once

    friend bool operator==(const upstream&, const upstream&) = default;
};

/// Upstreams by their names.
using upstream_map = std::map<upstream_id, upstream>;

/// Availability zones to whose upstreams nothing more may be sent.
using zone_set = std::set<core::zone_id>;

} // namespace snipeplank::serving

#endif
