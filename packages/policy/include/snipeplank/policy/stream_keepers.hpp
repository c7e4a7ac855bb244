/// @file
/// Which nodes keep the origin of a stream besides the one that served its beginning. Pure.

#ifndef SNIPEPLANK_POLICY_STREAM_KEEPERS_HPP
#define SNIPEPLANK_POLICY_STREAM_KEEPERS_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/policy/stream_origins.hpp>

#include <map>
#include <vector>

namespace snipeplank::policy
{

/// @brief The other nodes that answer, as one node knows them.
struct other_nodes
{
    std::vector<core::address> local; ///< of its own region
    std::map<core::region_id, std::vector<core::address>> remote;

    friend bool operator==(const other_nodes&, const other_nodes&) = default;
};

/// Nodes that are told the origin of each stream, if there are as many.
constexpr std::size_t keepers = 3;
/// At most so many of them are in the own region.
constexpr std::size_t local_keepers = 2;
/// One more is asked, since the node that served the beginning is ranked among them.
constexpr std::size_t local_nodes_asked = local_keepers + 1;
/// Other regions of which one node each is asked.
constexpr std::size_t max_regions_asked = 4;

/// @brief The nodes that are told the origin of a stream: two of the own region, so that it
/// outlives two nodes, and one of another, so that it outlives the region. Nodes of further
/// regions, one of each, stand in for those that the own region lacks. O(nodes).
std::vector<core::address> keepers_to_tell(stream_key stream, const other_nodes& nodes);

/// @brief The nodes of the own region that may have been told it. O(nodes).
std::vector<core::address> local_keepers_to_ask(stream_key stream, const other_nodes& nodes);

/// @brief The nodes of other regions that may have been told it. O(nodes).
std::vector<core::address> remote_keepers_to_ask(stream_key stream, const other_nodes& nodes);

} // namespace snipeplank::policy

#endif
