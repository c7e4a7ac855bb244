/// @file
/// Identifier types of the gateway.

#ifndef SNIPEPLANK_CORE_IDS_HPP
#define SNIPEPLANK_CORE_IDS_HPP

#include <snipeplank/core/strong_type.hpp>

#include <cstdint>
#include <string>

namespace snipeplank::core
{

using region_id = strong_type<std::string, struct region_id_tag>;
using zone_id = strong_type<std::string, struct zone_id_tag>;
using service_id = strong_type<std::string, struct service_id_tag>;
using account_id = strong_type<std::string, struct account_id_tag>;

/// `IP:port`; never a host name.
using address = strong_type<std::string, struct address_tag>;

/// Random number drawn once at process start; distinguishes successive processes at one address.
using incarnation = strong_type<std::uint64_t, struct incarnation_tag>;

/// Number of a call, unique within one incarnation.
using call_number = strong_type<std::uint64_t, struct call_number_tag>;

/// Version of the published configuration.
using config_version = strong_type<std::uint64_t, struct config_version_tag>;

/// @brief Identifies one run of a node process: its address and incarnation.
struct node_id
{
    core::address address;
    core::incarnation incarnation;

    friend auto operator<=>(const node_id&, const node_id&) = default;
    friend bool operator==(const node_id&, const node_id&) = default;
};

} // namespace snipeplank::core

#endif
