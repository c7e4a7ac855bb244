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

void marker_counts::search(std::string& tail, std::string_view piece)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t tail_size = tail.size();
    const std::string text = tail.append(piece);
    std::size_t kept = 0;
    for (auto& [marker, hits] : m_hits)
    {
        kept = std::max(kept, marker.size());
        for (auto found = text.find(marker); found != std::string::npos;
             found = text.find(marker, found + 1))
        {
            // A marker that ends in the tail was counted with the piece before.
            hits += found + marker.size() > tail_size ? 1 : 0;
        }
    }
    tail = text.substr(text.size() - std::min(text.size(), kept));
}

std::map<std::string, std::uint64_t> marker_counts::hits() const
{
    const std::lock_guard lock(m_mutex);
    return m_hits;
}

} // namespace snipeplank::standins
