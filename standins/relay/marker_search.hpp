/// @file
/// Search for given markers in a stream of bytes.

#ifndef SNIPEPLANK_STANDINS_RELAY_MARKER_SEARCH_HPP
#define SNIPEPLANK_STANDINS_RELAY_MARKER_SEARCH_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace snipeplank::standins
{

/// @brief Markers to look for and how often each was seen.
class marker_counts
{
  public:
    /// @brief Replaces the markers; their counts start at 0.
    void set(const std::vector<std::string>& markers);

    /// @brief Counts the hits that end in `piece`.
    /// @param tail end of the bytes before `piece`; updated for the next call
    void search(std::string& tail, std::string_view piece);

    /// @brief Hits of each marker.
    std::map<std::string, std::uint64_t> hits() const;

  private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_hits;
};

} // namespace snipeplank::standins

#endif
