/// @file
/// Cache of idle connections to upstreams.

#ifndef SNIPEPLANK_GATEWAY_SRC_CONNECTION_CACHE_HPP
#define SNIPEPLANK_GATEWAY_SRC_CONNECTION_CACHE_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/gateway/upstream_connection.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace snipeplank::gateway
{

/// @brief A reusable connection and its usage.
struct cached_connection
{
    std::unique_ptr<upstream_connection> client;
    std::chrono::steady_clock::time_point last_used;
    unsigned uses = 0;
};

/// @brief Idle connections by upstream. Thread-safe.
class connection_cache
{
  public:
    /// @brief Takes a recently used idle connection, or creates a new one.
    cached_connection take(const core::address& address);

    /// @brief Returns a connection to the cache. Its last answer must have been read to the end.
    void put_back(const core::address& address, cached_connection connection);

    /// @brief Creates a client with a new connection that is not cached.
    static std::unique_ptr<upstream_connection> make_client(const core::address& address);

  private:
    std::mutex m_mutex;
    std::unordered_map<core::address, std::vector<cached_connection>> m_idle;
};

} // namespace snipeplank::gateway

#endif
