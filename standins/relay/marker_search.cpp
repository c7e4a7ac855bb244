#include <standins/relay/marker_search.hpp>

#include <algorithm>

namespace snipeplank::standins
{

void marker_counts::set(const std::vector<std::string>& markers)
{
    const std::lock_guard lock(m_mutex);
    m_hits.clear();
    for (const auto& marker : markers)
    {
        m_hits[marker] = 0;
    }
}

void marker_counts::search(std::string& tail, std::string_view chunk)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t tail_size = tail.size();
    const std::string text = tail.append(chunk);
    std::size_t tail_size_limit = 0;
    for (auto& [marker, hits] : m_hits)
    {
        tail_size_limit = std::max(tail_size_limit, marker.size());
        for (auto found = text.find(marker); found != std::string::npos;
             found = text.find(marker, found + 1))
        {
            // A marker that ends within the tail was counted by an earlier call.
            hits += found + marker.size() > tail_size ? 1 : 0;
        }
    }
    tail = text.substr(text.size() - std::min(text.size(), tail_size_limit));
}

std::map<std::string, std::uint64_t> marker_counts::hits() const
{
    const std::lock_guard lock(m_mutex);
    return m_hits;
}

} // namespace snipeplank::standins
