/// @file
/// Interface of the source of configuration, upstreams and evacuations.

#ifndef SNIPEPLANK_SERVING_STATE_SOURCE_HPP
#define SNIPEPLANK_SERVING_STATE_SOURCE_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/serving/replica.hpp>
#include <snipeplank/serving/routing_table.hpp>
#include <snipeplank/serving/state_kind.hpp>
#include <snipeplank/serving/upstream.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeplank::serving
{

/// @brief By which path a read of the state came.
enum class read_path
{
    listing,  ///< all items, from the source
    watch,    ///< changes, from the source
    followed, ///< changes, from the node that this one follows
    copy,     ///< all items, from any node
};

std::string_view to_string(read_path by);

/// @brief One read of the state that brought changes, by stage.
struct state_read
{
    state_kind kind = state_kind::configuration;
    read_path by = read_path::watch;
    core::bytes bytes{0};           ///< of the answer
    core::milliseconds waited{0};   ///< from the question to the head of the answer
    core::milliseconds received{0}; ///< from there to its last byte
    core::milliseconds applied{0};  ///< from there until the changes are in force

    core::milliseconds total() const { return waited + received + applied; }
};

/// @brief Receives state changes, on the event loop.
class state_listener
{
  public:
    virtual ~state_listener() = default;

    /// @brief Called with a configuration whose version is higher than any before.
    virtual void on_configuration(std::shared_ptr<const routing_table> table) = 0;
    virtual void on_upstreams(const upstream_map& upstreams) = 0;
    virtual void on_evacuations(const zone_set& zones) = 0;

    /// @brief Called after the changes of a read are in force.
    virtual void on_state_read(const state_read& read) = 0;
};

/// @brief Other nodes from which a node may copy the state.
struct state_peers
{
    core::address self; ///< how the other nodes address this one
    std::function<std::vector<core::address>()> all;
    std::function<std::vector<core::address>()> in_region;
};

/// @brief Reads the state that operators and upstreams publish. Used on the event loop only.
class state_source
{
  public:
    virtual ~state_source() = default;

    /// @brief Starts to read and to notify `listener`, which outlives the source.
    virtual void start(state_listener& listener) = 0;

    /// @brief Sets the nodes that this one follows, or copies while it cannot read the source.
    virtual void set_peers(state_peers peers) = 0;

    /// @brief Serialized state for a peer, see `encode_feed`.
    /// @param query the peer's position, see `encode_position`; empty for everything
    virtual std::string feed(std::string_view query) const = 0;

    /// @brief Time since the state of a kind was confirmed to be the newest one; nothing if it
    /// never was. See `state_confirmation`.
    virtual std::optional<core::milliseconds> confirmed_age(state_kind kind) const = 0;

    /// @brief The newest change of a kind that this node knows, to be told to other nodes.
    virtual store_revision changed(state_kind kind) const = 0;

    /// @brief Whether a change of a kind is newer than all that this node has read.
    virtual bool is_newer(state_kind kind, store_revision change) const = 0;

    /// @brief Another node has named a change that is newer than all that this node has read: it is
    /// asked for its state.
    /// @param node admin address of that node
    virtual void on_told(state_kind kind, store_revision change, const core::address& node) = 0;

    /// @brief Whether the latest read of a kind from the source, here or at the followed node,
    /// succeeded.
    virtual bool is_reachable(state_kind kind) const = 0;
};

} // namespace snipeplank::serving

#endif
