/// Tests where requests run whose route or account has homes: by how old a configuration, and by
/// which version of it.

#include <snipeplank/serving/home_regions.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "call_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace snipeplank::serving::tests;
using namespace std::chrono_literals;

namespace
{

constexpr char gold_key[] = "key-of-gold-1";
const core::region_id other_region{"ennstal"};

route shop_route(const std::vector<core::region_id>& homes = {})
{
    route made;
    made.name = "shop";
    made.kind = request_kind::idempotent;
    made.max_attempts = 2;
    made.timeout = 3s;
    made.allowed_regions = homes;
    return made;
}

call_fixture::accounts_by_key gold_with(const std::vector<core::region_id>& homes)
{
    client_account gold;
    gold.name = core::account_id{"gold"};
    gold.allowed_regions = homes;
    return {{gold_key, gold}};
}

http::request_head request(const std::string& key = "")
{
    http::request_head head{"GET", "/a", {{"Host", "shop.example"}, {"Id", "a"}}};
    if (!key.empty())
        head.headers.emplace_back("Key", key);
    return head;
}

} // namespace

TEST_GROUP(homes){};

// Fails when the homes of a route or of an account are left out of those of a request.
TEST(homes, a_request_may_be_served_where_route_and_account_allow_it)
{
    const core::region_id a{"a"};
    const core::region_id b{"b"};
    struct row
    {
        const char* name;
        std::vector<core::region_id> of_route;
        std::vector<core::region_id> of_account;
        bool is_restricted;
        bool has_a;
        bool has_b;
    };
    const row rows[] = {
        {"none", {}, {}, false, true, true},
        {"of the route", {a}, {}, true, true, false},
        {"of the account", {}, {b}, true, false, true},
        {"both bind", {a, b}, {b}, true, false, true},
        {"nothing is left", {a}, {b}, true, false, false},
    };
    for (const row& each : rows)
    {
        client_account account;
        account.allowed_regions = each.of_account;
        const home_regions homes(shop_route(each.of_route), &account);
        CHECK_EQUAL_TEXT(each.is_restricted, homes.is_restricted(), each.name);
        CHECK_EQUAL_TEXT(each.has_a, homes.contains(a), each.name);
        CHECK_EQUAL_TEXT(each.has_b, homes.contains(b), each.name);
    }
}

// Fails when a node serves, or sends to another region, a request by homes that may have moved:
// those of a configuration that was confirmed too long ago, at a node that may be cut off (issue
// 70, HOME).
TEST(homes, a_node_that_may_be_cut_off_places_nothing_by_homes)
{
    enum class entry
    {
        client,
        other_node,
    };
    struct row
    {
        const char* name;
        std::vector<core::region_id> homes;
        bool has_accounts;
        entry from;
        std::optional<core::milliseconds> age;
        bool is_newest; ///< this node reaches most others, and none has a newer configuration
        bool is_served;
    };
    const row rows[] = {
        {"confirmed", {own_region}, false, entry::client, 4s, false, true},
        {"too old", {own_region}, false, entry::client, 5s, false, false},
        {"never confirmed", {own_region}, false, entry::client, std::nullopt, false, false},
        {"too old, store away for all", {own_region}, false, entry::client, 60s, true, true},
        {"too old, no homes", {}, false, entry::client, 60s, false, true},
        {"too old, public beside accounts", {own_region}, true, entry::client, 5s, false, false},
        {"too old, home elsewhere", {other_region}, false, entry::client, 5s, false, false},
        {"forwarded, confirmed", {own_region}, false, entry::other_node, 4s, false, true},
        {"forwarded, too old", {own_region}, false, entry::other_node, 5s, false, false},
        {"forwarded, too old, no homes", {}, false, entry::other_node, 60s, false, true},
        {"forwarded, store away for all", {own_region}, false, entry::other_node, 60s, true, true},
    };
    for (const row& each : rows)
    {
        call_fixture node({});
        scripted_upstream upstream(node.loop, {plain_answer(0ms)});
        route shop = shop_route(each.homes);
        shop.is_public = each.has_accounts;
        if (each.has_accounts)
            node.set_route(shop, {}, gold_with({}));
        else
            node.set_route(shop);
        node.publish("i-1", upstream.address());
        region_link nobody;
        node.add_region(other_region, nobody);
        node.evidence.age = each.age;
        node.evidence.is_newest = each.is_newest;
        std::optional<policy::refusal> refused;
        std::optional<forwarded_from> from;
        if (each.from == entry::other_node)
            from = forwarded_from{3s, [&](const policy::refusal& why) { refused = why; }};
        node.finish(node.start(request(), from));
        LONGS_EQUAL_TEXT(each.is_served, upstream.requests().size(), each.name);
        CHECK_TRUE_TEXT(node.regions().last_head.method.empty(), each.name);
        if (each.is_served)
            continue;
        const policy::refusal why = refused.value_or(node.last_refusal());
        CHECK_TRUE_TEXT(why.reason == policy::refusal_reason::configuration_unconfirmed, each.name);
        CHECK_TRUE_TEXT(why.executed == policy::execution::no && why.retry_after > 0ms, each.name);
    }
}

// Fails when a node that knows of newer state than its own goes on by its own (CONFIG, EVAC, issue
// 73), or when one that only hears of nothing new refuses.
TEST(homes, a_node_that_knows_that_it_is_behind_serves_nothing)
{
    struct row
    {
        const char* name;
        bool is_forwarded;
        bool has_newer_told;
        const char* path;
    };
    const row rows[] = {
        {"client, nothing told", false, false, "/a/"},
        {"client", false, true, "/a/"},
        {"forwarded, nothing told", true, false, "/a/"},
        {"forwarded", true, true, "/a/"},
        // A route that this node does not know may have been added.
        {"client, no such route", false, true, "/b/"},
        {"forwarded, no such route", true, true, "/b/"},
    };
    for (const row& each : rows)
    {
        call_fixture node({});
        scripted_upstream upstream(node.loop, {plain_answer(0ms)});
        node.set_route(shop_route());
        node.move_route("/a/");
        node.publish("i-1", upstream.address());
        node.evidence.age = 60s;
        node.evidence.has_newer_told = each.has_newer_told;
        std::optional<policy::refusal> refused;
        std::optional<forwarded_from> from;
        if (each.is_forwarded)
            from = forwarded_from{3s, [&](const policy::refusal& why) { refused = why; }};
        http::request_head head = request();
        head.target = each.path;
        node.finish(node.start(head, from));
        LONGS_EQUAL_TEXT(each.has_newer_told ? 0 : 1, upstream.requests().size(), each.name);
        if (!each.has_newer_told)
            continue;
        const policy::refusal why = refused.value_or(node.last_refusal());
        CHECK_TRUE_TEXT(why.reason == policy::refusal_reason::configuration_unconfirmed, each.name);
        CHECK_TRUE_TEXT(why.executed == policy::execution::no && why.retry_after > 0ms, each.name);
    }
}

// Fails when a forwarded call is judged by an older version than the one of its entry node: it runs
// at the service that the route had before, or is refused as unknown (CONFIG, issue 73).
TEST(homes, a_node_behind_the_entry_node_keeps_to_its_choice)
{
    struct row
    {
        const char* name;
        std::uint64_t entry_version; ///< this node has version 1
        const char* chosen;          ///< by the entry node; this node's route has "shop"
        const char* path;
        bool is_served;
        policy::refusal_reason reason = policy::refusal_reason::configuration_unconfirmed;
    };
    constexpr auto unknown = policy::refusal_reason::unknown_service;
    const row rows[] = {
        {"same version", 1, "shop", "/a/", true},
        {"not told", 0, "", "/a/", true},
        {"newer, same service", 2, "shop", "/a/", true},
        {"newer, another service", 2, "stall", "/a/", false},
        {"older, another service", 0, "stall", "/a/", true},
        {"newer, route is added", 2, "stall", "/b/", false},
        {"same version, no such route", 1, "stall", "/b/", false, unknown},
    };
    for (const row& each : rows)
    {
        call_fixture node({});
        scripted_upstream upstream(node.loop, {plain_answer(0ms)});
        node.set_route(shop_route());
        node.move_route("/a/");
        node.publish("i-1", upstream.address());
        std::optional<policy::refusal> refused;
        forwarded_from from{3s, [&](const policy::refusal& why) { refused = why; }};
        from.config_version = core::config_version{each.entry_version};
        from.service = core::service_id{each.chosen};
        http::request_head head = request();
        head.target = each.path;
        node.finish(node.start(head, from));
        LONGS_EQUAL_TEXT(each.is_served, upstream.requests().size(), each.name);
        if (each.is_served)
            continue;
        CHECK_TRUE_TEXT(refused && refused->reason == each.reason, each.name);
        CHECK_TRUE_TEXT(refused->executed == policy::execution::no, each.name);
    }
}

// Fails when the homes of an account bind for longer than its configuration counts, although keys
// are accepted from it (issue 70, HOME).
TEST(homes, homes_of_an_account_need_a_confirmed_configuration_also_on_public_routes)
{
    for (const bool is_public : {false, true})
    {
        call_fixture node({});
        scripted_upstream upstream(node.loop, {plain_answer(0ms)});
        route shop = shop_route();
        shop.is_public = is_public;
        node.set_route(shop, {}, gold_with({own_region}));
        node.publish("i-1", upstream.address());
        node.finish(node.start(request(gold_key), std::nullopt));
        UNSIGNED_LONGS_EQUAL(1, upstream.requests().size());
        node.evidence.age = 6s;
        node.finish(node.start(request(gold_key), std::nullopt));
        UNSIGNED_LONGS_EQUAL(1, upstream.requests().size());
    }
}

// Fails when a request is sent once more by homes that have become too old meanwhile (issue
// 70, HOME).
TEST(homes, a_request_that_is_repeated_needs_a_confirmed_configuration_again)
{
    call_fixture node({10, 100, 10s});
    scripted_upstream upstream(
        node.loop, {{{{300ms, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"}}, answer_end::keep},
                    plain_answer(0ms)});
    node.set_route(shop_route({own_region}));
    node.publish("i-1", upstream.address());
    recorded_exchange& started = node.start(request(), std::nullopt);
    node.run_for(100ms);
    node.evidence.age = 6s;
    node.finish(started);
    UNSIGNED_LONGS_EQUAL(1, upstream.requests().size());
    // The upstream's own answer is not given up for a repeat that is refused.
    LONGS_EQUAL_TEXT(500, started.status, started.describe().c_str());
}

// Fails when a request that is sent once more, at the node of its client or at one of another
// region, is placed by the homes of the version with which it began although they have moved (issue
// 70, HOME).
TEST(homes, a_request_that_is_repeated_is_bound_by_the_newest_version_too)
{
    enum class moved
    {
        nothing,
        route,
        account,
        longer_prefix, ///< a route that matches better is added
        removed,       ///< the route is gone: what it allowed stands
    };
    struct row
    {
        const char* name;
        moved what;
        bool is_forwarded;
        std::size_t sends;
    };
    const row rows[] = {
        {"nothing", moved::nothing, false, 2},
        {"the route", moved::route, false, 1},
        {"the account", moved::account, false, 1},
        {"a longer prefix", moved::longer_prefix, false, 1},
        {"the route is removed", moved::removed, false, 2},
        {"forwarded, nothing", moved::nothing, true, 2},
        {"forwarded, the route", moved::route, true, 1},
        {"forwarded, the account", moved::account, true, 1},
    };
    const std::string not_run = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
    for (const row& each : rows)
    {
        call_fixture node({10, 100, 10s});
        const std::vector<scripted_answer> refuses{{{{300ms, not_run}}, answer_end::keep}};
        scripted_upstream first(node.loop, refuses);
        scripted_upstream second(node.loop, refuses);
        node.set_route(shop_route({own_region}), {}, gold_with({}));
        node.publish("i-1", first.address());
        node.publish("i-2", second.address());
        std::optional<forwarded_from> from;
        if (each.is_forwarded)
        {
            from = forwarded_from{3s, [](const policy::refusal&) {}};
            from->account = core::account_id{"gold"};
        }
        recorded_exchange& started = node.start(request(each.is_forwarded ? "" : gold_key), from);
        node.run_for(100ms);
        const std::vector<core::region_id> elsewhere{other_region};
        switch (each.what)
        {
        case moved::nothing:
            break;
        case moved::route:
            node.set_route(shop_route(elsewhere), {}, gold_with({}));
            break;
        case moved::account:
            node.set_route(shop_route({own_region}), {}, gold_with(elsewhere));
            break;
        case moved::longer_prefix:
            node.add_route("/a", shop_route(elsewhere));
            break;
        case moved::removed:
            node.move_route("/elsewhere/");
            break;
        }
        node.finish(started);
        UNSIGNED_LONGS_EQUAL_TEXT(each.sends, first.requests().size() + second.requests().size(),
                                  each.name);
    }
}

// Fails when a request is sent on a connection that took its time to open, although its homes have
// moved or may have moved since its upstream was chosen (issue 70, HOME).
TEST(homes, homes_are_looked_at_again_on_the_open_connection)
{
    enum class change
    {
        none,
        too_old,
        moved,
    };
    struct row
    {
        const char* name;
        change what;
        std::size_t received; ///< the question which process it is, and the request
    };
    const row rows[] = {
        {"none", change::none, 2},
        {"too old", change::too_old, 1},
        {"moved", change::moved, 1},
    };
    service warming;
    warming.health_path = "/health";
    warming.warmup = 1s;
    warming.warmup_rate = 0.5;
    const std::string process = "HTTP/1.1 200 OK\r\nProcess: i-1\r\nContent-Length: 2\r\n\r\nup";
    for (const row& each : rows)
    {
        call_fixture node({});
        scripted_upstream upstream(node.loop,
                                   {{{{300ms, process}}, answer_end::keep}, plain_answer(0ms)});
        node.set_route(shop_route({own_region}), warming);
        node.publish("i-1", upstream.address());
        recorded_exchange& started = node.start(request(), std::nullopt);
        node.run_for(100ms);
        if (each.what == change::too_old)
            node.evidence.age = 6s;
        if (each.what == change::moved)
            node.set_route(shop_route({other_region}), warming);
        node.finish(started);
        UNSIGNED_LONGS_EQUAL_TEXT(each.received, upstream.requests().size(), each.name);
    }
}

// Fails when a request is given up at an upstream that sends nothing for a while, for a repeat that
// its homes then forbid (issue 70, HOME).
TEST(homes, a_silent_upstream_is_waited_for_when_homes_forbid_a_repeat)
{
    call_fixture node({0, 100, 10s});
    scripted_upstream silent(node.loop, {plain_answer(4s)});
    scripted_upstream other(node.loop, {plain_answer(0ms)});
    route shop = shop_route({own_region});
    shop.timeout = 10s;
    node.set_route(shop);
    node.publish("i-1", silent.address());
    recorded_exchange& started = node.start(request(), std::nullopt);
    node.run_for(100ms);
    node.publish("i-2", other.address());
    node.evidence.age = 6s;
    node.finish(started);
    CHECK_TRUE_TEXT(started.is(200, "ok"), started.describe().c_str());
    UNSIGNED_LONGS_EQUAL(0, other.requests().size());
}
