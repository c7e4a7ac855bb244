/// @file
/// Kept connections to upstreams.

#ifndef SNIPEPLANK_GATEWAY_SRC_CONNECTION_CACHE_HPP
#define SNIPEPLANK_GATEWAY_SRC_CONNECTION_CACHE_HPP

#include <snipeplank/core/ids.hpp>

#include <httplib.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace snipeplank::gateway
{

/// @brief One connection and when it was last used.
struct kept_connection
{
    std::unique_ptr<httplib::Client> client;
    std::chrono::steady_clock::time_point last_used;
    unsigned uses = 0;
};

/// @brief Idle connections by upstream. Thread-safe.
class connection_cache
{
  public:
    /// @brief Takes a connection that was used a moment ago, or makes a new one.
    kept_connection take(const core::address& address);

    /// @brief Keeps a connection whose last answer was read to its end.
    void give_back(const core::address& address, kept_connection connection);

    /// @brief A connection that has never been used and is not kept.
    static std::unique_ptr<httplib::Client> fresh(const core::address& address);

  private:
    std::mutex m_mutex;
    std::unordered_map<core::address, std::vector<kept_connection>> m_idle;
};

} // namespace snipeplank::gateway

#endif
