/// @file
/// Eligibility of an upstream or a region for one request.

#ifndef SNIPEPLANK_SERVING_SRC_STANDING_HPP
#define SNIPEPLANK_SERVING_SRC_STANDING_HPP

#include <array>
#include <string_view>

namespace snipeplank::serving
{

/// @brief State of an upstream or of another region as a candidate for a request.
enum class standing
{
    good,
    leaving,
    evacuated,
    unreachable,
    silent, ///< it has sent nothing for longer than the silence timeout
    cold,
    not_allowed, ///< the request may not leave this region, or not for that one
    tried,       ///< by an earlier attempt
    no_upstream, ///< the region has none for the service
};

constexpr std::size_t standing_count = static_cast<std::size_t>(standing::no_upstream) + 1;

constexpr std::string_view to_string(standing state)
{
    constexpr std::array<std::string_view, standing_count> names{
        "good", "leaving",     "evacuated", "unreachable", "silent",
        "cold", "not_allowed", "tried",     "no_upstream"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace snipeplank::serving

#endif
