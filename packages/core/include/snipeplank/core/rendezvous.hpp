/// @file
/// Rendezvous (highest random weight) hashing: consistent choice of owners without shared state.

#ifndef SNIPEPLANK_CORE_RENDEZVOUS_HPP
#define SNIPEPLANK_CORE_RENDEZVOUS_HPP

#include <snipeplank/core/hash.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace snipeplank::core
{

/// @brief Score of `candidate` for `key`. The candidate with the highest score owns the key.
inline std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate)
{
    return hash64(candidate, hash64(key));
}

/// @brief Indices of `candidates` by descending score for `key`.
/// @param name_of callable that returns the name of a candidate as `std::string_view`
/// O(n log n).
template <typename Candidates, typename NameOf>
std::vector<std::size_t> rendezvous_order(std::string_view key, const Candidates& candidates,
                                          NameOf name_of)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> scored;
    scored.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        scored.emplace_back(rendezvous_score(key, name_of(candidates[i])), i);
    }
    std::sort(scored.rbegin(), scored.rend());
    std::vector<std::size_t> order;
    order.reserve(scored.size());
    for (const auto& [score, index] : scored)
    {
        order.push_back(index);
    }
    return order;
}

} // namespace snipeplank::core

#endif
