/// @file
/// Collects the items that a store answers in pages. Pure.
///
/// The store decides how many pages there are. A listing therefore accepts a page only if it goes
/// on from the pages before it, and only a bounded number of pages and bytes, so that reading it
/// ends whatever the store answers.

#ifndef SNIPEPLANK_SERVING_ITEM_LISTING_HPP
#define SNIPEPLANK_SERVING_ITEM_LISTING_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/serving/replica.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace snipeplank::serving
{

/// @brief One page of a listing.
struct listing_page
{
    std::vector<replica_event> items; ///< in the order of the page; removals are not listed
    store_revision as_of;             ///< of the store when it answered
    bool has_more = false;            ///< further pages follow
};

/// @brief A listing that grows page by page. Not thread-safe.
/// @code
/// item_listing listing(known_era);
/// while (!listing.is_complete())
/// {
///     const auto added = listing.add(read_page(listing.next_after()));
///     if (!added)
///         return added.error();
/// }
/// @endcode
class item_listing
{
  public:
    /// Pages of one item each, at the largest number of items that is expected.
    static constexpr std::size_t max_pages = 10'000;
    /// Keys and values of a listing, with `bytes_per_item` for each. A quarter of the memory of a
    /// small machine: a listing is held beside the one that it replaces.
    static constexpr std::size_t max_bytes = 67'108'864;
    static constexpr std::size_t bytes_per_item = 64;

    /// @param min_era a store that is in an earlier one has nothing to add
    explicit item_listing(std::uint64_t min_era) : m_min_era(min_era) {}

    /// @brief Adds the page that begins after `next_after()`.
    /// @return `listing_invalid` if the page cannot belong to this listing; the listing is to be
    /// given up then
    core::result<void> add(listing_page page);

    /// @brief Whether the last page was added.
    bool is_complete() const { return m_is_complete; }

    /// @brief The key after which the next page begins; empty for the first page.
    const std::string& next_after() const { return m_next_after; }

    /// @brief Revision of the first page: the pages are not a snapshot, and changes are to be read
    /// from here.
    store_revision as_of() const { return m_as_of; }

    const replica_items& items() const { return m_items; }

  private:
    core::result<void> check_era(store_revision as_of) const;
    core::result<void> check_size() const;
    bool take_items(std::vector<replica_event> items);

    std::uint64_t m_min_era;
    replica_items m_items;
    std::string m_next_after;
    store_revision m_as_of;
    std::size_t m_pages = 0;
    std::size_t m_bytes = 0;
    bool m_is_complete = false;
};

} // namespace snipeplank::serving

#endif
