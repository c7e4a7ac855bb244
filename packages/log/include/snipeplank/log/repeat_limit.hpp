/// @file
/// Limit on lines that repeat.

#ifndef SNIPEPLANK_LOG_REPEAT_LIMIT_HPP
#define SNIPEPLANK_LOG_REPEAT_LIMIT_HPP

#include <snipeplank/core/units.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace snipeplank::log
{

/// @brief Limits the lines of each cause, and counts those that are left out. Pure.
class repeat_limit
{
  public:
    static constexpr std::uint64_t max_lines = 5; ///< of a cause in each `interval`
    static constexpr core::milliseconds interval{10'000};

    /// @param cause one of a fixed set of texts
    /// @return how many lines of the cause were left out since the last one that was admitted, or
    /// nothing when this one is left out
    std::optional<std::uint64_t> admit(std::string_view cause, core::time_point now);

    /// @brief Calls `tell` with each cause of which lines were left out since the last one that was
    /// admitted, and their number; begins to count them anew.
    void report(const std::function<void(const std::string&, std::uint64_t)>& tell);

    /// @brief Number of all lines that were left out.
    std::uint64_t left_out() const { return m_left_out; }

  private:
    struct usage
    {
        core::time_point begin{};
        std::uint64_t lines = 0; ///< since `begin`
        std::uint64_t left_out = 0;
    };

    std::map<std::string, usage, std::less<>> m_causes;
    std::uint64_t m_left_out = 0;
};

} // namespace snipeplank::log

#endif
