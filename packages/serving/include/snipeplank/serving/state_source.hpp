/// @file
/// Interface of the source of configuration, upstreams and evacuations.

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

/// @brief Receives state changes, on the event loop.
class state_listener
{
  public:
    virtual ~state_listener() = default;

    /// @brief Called with a configuration whose version is higher than any before.
    virtual void on_configuration(std::shared_ptr<const routing_table> table) = 0;
    virtual void on_upstreams(const upstream_map& upstreams) = 0;
    virtual void on_evacuations(const zone_set& zones) = 0;
};

/// @brief Reads the state that operators and upstreams publish. Used on the event loop only.
class state_source
{
  public:
    virtual ~state_source() = default;

    /// @brief Starts to read and to notify `listener`, which outlives the source.
    virtual void start(state_listener& listener) = 0;

    /// @brief Sets the function that returns the peers from which this node may copy the state
    /// while it cannot read the source.
    virtual void set_peers(std::function<std::vector<core::address>()> peers) = 0;

    /// @brief Serialized copy of the known state, for a peer that cannot read the source.
    virtual std::string snapshot() const = 0;

    /// @brief Whether the source was read successfully in the recent past.
    virtual bool is_reachable(core::time_point now) const = 0;
};

} // namespace snipeplank::serving

#endif
