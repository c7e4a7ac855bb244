/// @file
/// Kinds of published state.

#ifndef SNIPEPLANK_SERVING_STATE_KIND_HPP
#define SNIPEPLANK_SERVING_STATE_KIND_HPP

#include <array>
#include <cstddef>
#include <string_view>

namespace snipeplank::serving
{

/// @brief What operators and upstreams publish. Each kind is read by a path of its own, so that
/// none waits for another, and has an age of its own.
enum class state_kind
{
    configuration, ///< one document, which may be large
    evacuations,   ///< a few bytes, which must reach every node fast
    upstreams,     ///< one small item for each upstream; some change all the time
};

constexpr std::size_t state_kind_count = 3;
constexpr std::array<state_kind, state_kind_count> all_state_kinds{
    state_kind::configuration, state_kind::evacuations, state_kind::upstreams};

constexpr std::size_t index_of(state_kind kind)
{
    return static_cast<std::size_t>(kind);
}

/// @brief Whether an item of this kind may take long to transfer.
constexpr bool is_document(state_kind kind)
{
    return kind == state_kind::configuration;
}

std::string_view to_string(state_kind kind);

} // namespace snipeplank::serving

#endif
