/// @file
/// Where configuration, upstreams and evacuations come from, as an interface.

#ifndef SNIPEPLANK_SERVING_STATE_SOURCE_HPP
#define SNIPEPLANK_SERVING_STATE_SOURCE_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/serving/routing_table.hpp>
#include <snipeplank/serving/upstream.hpp>

#include <functional>
#include <memory>
#include <string>

namespace snipeplank::serving
{

/// @brief Receives changes, on the event loop.
class state_listener
{
  public:
    virtual ~state_listener() = default;

    /// @brief A configuration with a higher version than any before.
    virtual void on_configuration(std::shared_ptr<const routing_table> table) = 0;
    virtual void on_upstreams(const upstream_map& upstreams) = 0;
    virtual void on_evacuations(const zone_set& zones) = 0;
};

/// @brief Reads the state that operators and upstreams publish. Lives on the event loop.
class state_source
{
  public:
    virtual ~state_source() = default;

    /// @brief Starts to read and to tell `listener`, which outlives the source.
    virtual void start(state_listener& listener) = 0;

    /// @brief Names the addresses from which a node that cannot read the source may copy it.
    virtual void set_peers(std::function<std::vector<core::address>()> peers) = 0;

    /// @brief A copy of what is known, for a peer that cannot read the source.
    virtual std::string snapshot() const = 0;

    /// @brief Whether the source has been read lately.
    virtual bool is_reachable(core::time_point now) const = 0;
};

} // namespace snipeplank::serving

#endif
