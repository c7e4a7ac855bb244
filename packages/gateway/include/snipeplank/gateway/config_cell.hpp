/// @file
/// Access of request threads to the configuration in force.

#ifndef SNIPEPLANK_GATEWAY_CONFIG_CELL_HPP
#define SNIPEPLANK_GATEWAY_CONFIG_CELL_HPP

#include <snipeplank/core/rcu_cell.hpp>
#include <snipeplank/gateway/call.hpp>

#include <memory>
#include <utility>

namespace snipeplank::gateway
{

/// @brief Published configuration; request threads copy the pointer without a lock.
class config_cell
{
  public:
    config_cell()
        : m_cell(std::make_unique<const config_ptr>(
              std::make_shared<const settings::published_config>()))
    {
    }

    /// @brief The configuration in force; version 0 before there is one.
    config_ptr get() const
    {
        return m_cell.read([](const config_ptr& config) { return config; });
    }

    /// @brief Puts a configuration in force.
    void set(config_ptr config)
    {
        m_cell.replace(std::make_unique<const config_ptr>(std::move(config)));
    }

  private:
    core::rcu_cell<config_ptr> m_cell;
};

} // namespace snipeplank::gateway

#endif
