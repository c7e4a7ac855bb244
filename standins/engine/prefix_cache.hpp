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

/// @brief LRU cache of prompt blocks. The key of a block is the hash of all text up to its end, as
/// in engines with prefix caching.
class prefix_cache
{
  public:
    /// @param capacity maximum number of blocks
    explicit prefix_cache(std::size_t capacity) : m_capacity(capacity) {}

    /// @brief Looks up the blocks of a prompt and adds the missing ones.
    /// @return number of its tokens that were not cached and need prefill
    std::size_t enter(const std::string& prompt);

    /// @brief Fraction of the capacity in use, 0 to 1.
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
