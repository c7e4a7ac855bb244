/// Tests that reading a listing ends, whatever the store answers, and that only a whole one counts.

#include <snipeplank/serving/item_listing.hpp>

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <string>
#include <vector>

using namespace snipeplank;
using namespace snipeplank::serving;
using snipeplank::tests::check_property;

namespace
{

replica_event item(const std::string& key, const std::string& value = "v")
{
    return {key, value, 1};
}

/// A page of this era.
listing_page page(std::vector<replica_event> items, bool has_more, std::uint64_t era = 2)
{
    return {std::move(items), {era, 7}, has_more};
}

} // namespace

TEST_GROUP(item_listing){};

TEST(item_listing, pages_are_joined)
{
    item_listing listing(2);
    CHECK_TRUE(listing.add(page({item("a"), item("b")}, true)).has_value());
    CHECK_FALSE(listing.is_complete());
    STRCMP_EQUAL("b", listing.next_after().c_str());
    listing_page later = page({item("c", "w")}, false);
    later.as_of.revision = 9;
    CHECK_TRUE(listing.add(std::move(later)).has_value());
    CHECK_TRUE(listing.is_complete());
    CHECK_TRUE(listing.items() ==
               (replica_items{{"a", {"v", 1}}, {"b", {"v", 1}}, {"c", {"w", 1}}}));
    CHECK_TRUE(listing.as_of() == (store_revision{2, 7}));
}

// Fails when a page that does not go on from those before it is accepted: the listing would never
// end, or be taken for whole.
TEST(item_listing, pages_that_do_not_go_on_are_errors)
{
    struct row
    {
        const char* name;
        std::vector<listing_page> pages;
    };
    const row rows[] = {
        {"the same page again", {page({item("a")}, true), page({item("a")}, true)}},
        {"an earlier page",
         {page({item("a")}, true), page({item("b")}, true), page({item("a"), item("b")}, true)}},
        {"an empty page that is not the last", {page({}, true)}},
        {"removals only", {page({{"a", std::nullopt, 1}}, true)}},
        {"an earlier era than the known one", {page({}, false, 1)}},
        {"a later era in the middle", {page({item("a")}, true), page({item("b")}, false, 3)}},
        {"too many bytes", {page({item("a", std::string(item_listing::max_bytes, 'x'))}, false)}},
    };
    for (const row& each : rows)
    {
        item_listing listing(2);
        for (std::size_t i = 0; i + 1 < each.pages.size(); ++i)
        {
            CHECK_TRUE_TEXT(listing.add(each.pages[i]).has_value(), each.name);
        }
        const auto last = listing.add(each.pages.back());
        CHECK_FALSE_TEXT(last.has_value(), each.name);
        CHECK_TRUE_TEXT(last.error().code == core::error_code::listing_invalid, each.name);
    }
}

// Fails when a listing of ever new items has no end.
TEST(item_listing, pages_without_end_are_errors)
{
    item_listing listing(2);
    std::size_t pages = 0;
    while (listing.add(page({item("k" + std::to_string(pages))}, true)).has_value())
    {
        ++pages;
        CHECK_TRUE(pages <= item_listing::max_pages);
    }
    UNSIGNED_LONGS_EQUAL(item_listing::max_pages, pages);
}

// Fails when pages of some sizes, in whichever order the store has its keys, do not give all items.
TEST(item_listing, pages_of_any_size_give_all_items)
{
    check_property("pages give all items",
                   []
                   {
                       const auto keys = *rc::gen::unique<std::vector<std::string>>(
                           rc::gen::arbitrary<std::string>());
                       const auto size = *rc::gen::inRange<std::size_t>(1, 5);
                       item_listing listing(0);
                       replica_items all;
                       for (std::size_t begin = 0; !listing.is_complete(); begin += size)
                       {
                           std::vector<replica_event> items;
                           for (std::size_t i = begin; i < std::min(begin + size, keys.size()); ++i)
                           {
                               items.push_back(item(keys[i]));
                               all[keys[i]] = {"v", 1};
                           }
                           const bool has_more = begin + size < keys.size();
                           RC_ASSERT(listing.add(page(items, has_more)).has_value());
                       }
                       RC_ASSERT(listing.items() == all);
                       RC_ASSERT(all.size() == keys.size());
                   });
}
