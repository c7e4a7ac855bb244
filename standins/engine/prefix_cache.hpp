/// @file
/// Prompt prefix cache of the stand-in engine.

#ifndef SNIPEPLANK_STANDINS_ENGINE_PREFIX_CACHE_HPP
#define SNIPEPLANK_STANDINS_ENGINE_PREFIX_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>

namespace snipeplank::standins
{

/// @brief Least-recently-used cache of prompt blocks, each named by the hash of all text up to
/// its end, as engines with prefix caching keep them.
class prefix_cache
{
  public:
    /// @param capacity number of blocks kept
    explicit prefix_cache(std::size_t capacity) : m_capacity(capacity) {}

    /// @brief Enters a prompt.
    /// @return number of its tokens that were not cached and need prefill
    std::size_t enter(const std::string& prompt);

    /// @brief Part of the capacity in use, 0 to 1.
    double usage() const;

  private:
    bool touch(std::uint64_t block);

    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::list<std::uint64_t> m_by_use;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace snipeplank::standins

#endif
