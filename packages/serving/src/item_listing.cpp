#include <snipeplank/serving/item_listing.hpp>

#include <utility>

namespace snipeplank::serving
{

namespace
{

auto invalid(const std::string& what)
{
    return core::fail(core::error_code::listing_invalid, "the listing of the store " + what,
                      "check the store");
}

} // namespace

core::result<void> item_listing::check_era(store_revision as_of) const
{
    const bool is_of_this_listing = m_pages == 0 || as_of.era == m_as_of.era;
    if (as_of.era >= m_min_era && is_of_this_listing)
        return boost::outcome_v2::success();
    return invalid("has a page of era " + std::to_string(as_of.era) + " beside another one");
}

core::result<void> item_listing::check_size() const
{
    if (m_pages > max_pages)
        return invalid("has more than " + std::to_string(max_pages) + " pages");
    if (m_bytes > max_bytes)
        return invalid("has more than " + std::to_string(max_bytes) + " bytes");
    return boost::outcome_v2::success();
}

/// @return whether one of the items was not listed before
bool item_listing::take_items(std::vector<replica_event> items)
{
    bool has_new = false;
    for (replica_event& each : items)
    {
        m_next_after = each.key;
        if (!each.value)
            continue;
        m_bytes += each.key.size() + each.value->size() + bytes_per_item;
        replica_item item{std::move(*each.value), each.revision};
        has_new = m_items.insert_or_assign(std::move(each.key), std::move(item)).second || has_new;
    }
    return has_new;
}

core::result<void> item_listing::add(listing_page page)
{
    if (const auto checked = check_era(page.as_of); !checked)
        return boost::outcome_v2::failure(checked.error());
    if (m_pages == 0)
        m_as_of = page.as_of;
    ++m_pages;
    m_is_complete = !page.has_more;
    const bool has_new = take_items(std::move(page.items));
    if (page.has_more && !has_new)
        return invalid("does not go on after " + std::to_string(m_items.size()) +
                       " items, but says that it has more");
    return check_size();
}

} // namespace snipeplank::serving
