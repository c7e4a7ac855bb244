/// @file
/// Eligibility of an upstream or a region for one request.

#ifndef SNIPEPLANK_SERVING_SRC_CANDIDATE_STATE_HPP
#define SNIPEPLANK_SERVING_SRC_CANDIDATE_STATE_HPP

#include <array>
#include <string_view>

namespace snipeplank::serving
{

/// @brief State of an upstream or of another region as a candidate for a request.
enum class candidate_state
{
    good,
    leaving,
    evacuated,
    throttled, ///< it takes no request of this node now, by its own word
    unreachable,
    silent, ///< it has sent nothing for longer than the silence timeout
    cold,
    unverified,    ///< its process has not said a moment ago that it is warm
    not_allowed,   ///< the request may not leave this region, or not for that one
    tried,         ///< by an earlier attempt
    no_upstream,   ///< the region has none for the service
    other_version, ///< not the software version that began the stream
};

constexpr std::size_t candidate_state_count =
    static_cast<std::size_t>(candidate_state::other_version) + 1;

constexpr std::string_view to_string(candidate_state state)
{
    constexpr std::array<std::string_view, candidate_state_count> names{
        "good", "leaving",    "evacuated",   "throttled", "unreachable", "silent",
        "cold", "unverified", "not_allowed", "tried",     "no_upstream", "other_version"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace snipeplank::serving

#endif
