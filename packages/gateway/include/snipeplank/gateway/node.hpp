/// @file
/// One gateway node: construction, start and graceful shutdown.

#ifndef SNIPEPLANK_GATEWAY_NODE_HPP
#define SNIPEPLANK_GATEWAY_NODE_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/settings/node_settings.hpp>

#include <memory>

namespace snipeplank::gateway
{

/// @brief A running node.
///
/// @code
/// node running(settings);
/// if (auto started = running.start(); !started)
///     return report(started.error());
/// running.wait_for_drain();
/// @endcode
class node
{
  public:
    explicit node(const settings::node_settings& settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// @brief Binds all addresses and starts to serve.
    core::result<void> start();

    /// @brief Begins the graceful shutdown. Thread-safe and idempotent.
    void begin_drain();

    /// @brief Blocks until a drain has begun and nothing is in flight, then hands ticket outcomes
    /// over to a successor.
    void wait_for_drain();

    /// @brief Stops all threads.
    void stop();

  private:
    struct parts;

    std::unique_ptr<parts> m_parts;
};

} // namespace snipeplank::gateway

#endif
