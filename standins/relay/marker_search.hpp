/// @file
/// Counts given byte strings (markers) in a stream.

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

/// @brief The markers to search for and the number of occurrences of each.
class marker_counts
{
  public:
    /// @brief Replaces the markers; their counts start at 0.
    void set(const std::vector<std::string>& markers);

    /// @brief Counts the occurrences that end in `chunk`.
    /// @param tail last bytes of the stream before `chunk`; updated for the next call
    void search(std::string& tail, std::string_view chunk);

    /// @brief Number of occurrences of each marker.
    std::map<std::string, std::uint64_t> hits() const;

  private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_hits;
};

} // namespace snipeplank::standins

#endif
