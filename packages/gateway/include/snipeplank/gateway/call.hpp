/// @file
/// A caller's request once its headers have been checked.

#ifndef SNIPEPLANK_GATEWAY_CALL_HPP
#define SNIPEPLANK_GATEWAY_CALL_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/gateway/answer_stream.hpp>
#include <snipeplank/policy/call_path.hpp>
#include <snipeplank/policy/routing_policy.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeplank::gateway
{

using config_ptr = std::shared_ptr<const settings::published_config>;

/// @brief One call as this node processes it.
struct call
{
    std::string request_id;
    config_ptr config; ///< snapshot used for every decision about the call
    core::service_id service;
    core::account_id account;
    core::region_id home;
    settings::residency residency = settings::residency::bound;
    policy::call_priority priority = policy::call_priority::interactive;
    core::time_point received;
    core::time_point deadline;
    std::string method;
    std::string target; ///< path and query as sent to the upstream
    std::vector<header_field> headers;
    std::string body;
    std::string ticket;
    std::uint64_t prefix_hash = 0;
    bool is_idempotent = false;
    policy::call_path path; ///< previous nodes; empty at the entry node
    std::optional<std::string> residency_header;

    /// @brief Configuration of the service. The parser has checked that it exists.
    const settings::service_config& service_config() const
    {
        return *config->find_service(service);
    }

    /// @brief Home of the call's account in a configuration; empty when that knows none.
    core::region_id home_in(const settings::published_config& version) const
    {
        const settings::account_config* found = version.find_account(account);
        return found == nullptr ? core::region_id{} : found->home;
    }

    /// @brief Time left at `now`, at least zero.
    core::milliseconds remaining(core::time_point now) const
    {
        const auto left = std::chrono::duration_cast<core::milliseconds>(deadline - now);
        return std::max(left, core::milliseconds{0});
    }
};

} // namespace snipeplank::gateway

#endif
