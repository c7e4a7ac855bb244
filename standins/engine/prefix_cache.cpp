#include <snipeplank/core/hash.hpp>

#include <standins/engine/prefix_cache.hpp>

#include <algorithm>

namespace snipeplank::standins
{
namespace
{

constexpr std::size_t characters_per_token = 4;
constexpr std::size_t tokens_per_block = 16;
constexpr std::size_t block_size = characters_per_token * tokens_per_block;

} // namespace

std::size_t prefix_cache::enter(const std::string& prompt)
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t block = 0;
    std::size_t cached = 0;
    bool prefix_is_cached = true;
    for (std::size_t start = 0; start + block_size <= prompt.size(); start += block_size)
    {
        block = core::hash64(std::string_view(prompt).substr(start, block_size), block);
        // A block after the first missing one is unusable, because its state depends on all
        // blocks before it.
        prefix_is_cached = touch(block) && prefix_is_cached;
        cached += prefix_is_cached ? tokens_per_block : 0;
    }
    const std::size_t tokens = (prompt.size() + characters_per_token - 1) / characters_per_token;
    return tokens - std::min(tokens, cached);
}

double prefix_cache::usage() const
{
    const std::lock_guard lock(m_mutex);
    return m_capacity == 0 ? 0.0
                           : static_cast<double>(m_by_use.size()) / static_cast<double>(m_capacity);
}

bool prefix_cache::touch(std::uint64_t block)
{
    const auto found = m_blocks.find(block);
    if (found != m_blocks.end())
    {
        m_by_use.splice(m_by_use.begin(), m_by_use, found->second);
        return true;
    }
    if (m_capacity == 0)
    {
        return false;
    }
    if (m_by_use.size() == m_capacity)
    {
        m_blocks.erase(m_by_use.back());
        m_by_use.pop_back();
    }
    m_by_use.push_front(block);
    m_blocks[block] = m_by_use.begin();
    return false;
}

} // namespace snipeplank::standins
