/// @file
/// Base of the networks between nodes that tests use in place of sockets.

#ifndef SNIPEPLANK_SERVING_TESTS_UNCONNECTED_NETWORK_HPP
#define SNIPEPLANK_SERVING_TESTS_UNCONNECTED_NETWORK_HPP

#include <snipeplank/wire/peer_network.hpp>

#include <string>
#include <vector>

namespace snipeplank::serving::tests
{

/// @brief A network without connections. Answers go where other messages go.
class unconnected_network : public wire::peer_network
{
  public:
    core::result<core::node_id> start(wire::peer_settings settings, wire::peer_handler&) override
    {
        return settings.self;
    }

    bool reply(const core::node_id& to, const wire::message& msg) override
    {
        return send(to.address, msg);
    }

    bool answer(const wire::peer_identity& to, const wire::message& msg) override
    {
        return send(to.node.address, msg);
    }

    void set_fleet_keys(std::vector<std::string>) override {}
    std::vector<wire::peer_identity> connected() const override { return {}; }
    wire::peer_counters counters() const override { return {}; }
    void stop() override {}
};

} // namespace snipeplank::serving::tests

#endif
