/// Tests client accounts: keys, what the account decides of a request, and the lease on the
/// configuration under which keys are accepted.

#include <snipeplank/serving/client_accounts.hpp>
#include <snipeplank/serving/configuration_lease.hpp>

#include <string>
#include <vector>

#include "call_fixture.hpp"
#include "property.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace snipeplank::serving::tests;
using namespace std::chrono_literals;

namespace
{

constexpr char gold_key[] = "key-of-gold-1";

client_account account(const std::string& name)
{
    client_account made;
    made.name = core::account_id{name};
    return made;
}

route shop_route()
{
    route made;
    made.name = "shop";
    made.kind = request_kind::idempotent;
    made.priority = 4;
    made.max_attempts = 2;
    made.timeout = 3s;
    return made;
}

http::request_head request(const std::string& key)
{
    http::request_head head{
        "GET", "/a", {{"Host", "shop.example"}, {"Id", "a"}, {"Account", "forged"}}};
    if (!key.empty())
        head.headers.emplace_back("Key", key);
    return head;
}

bool has_line(const std::string& head, const std::string& line)
{
    return head.find("\r\n" + line + "\r\n") != std::string::npos;
}

} // namespace

TEST_GROUP(client_accounts){};

// Fails when a key is accepted that no account holds, or an invalid list of accounts is accepted.
TEST(client_accounts, each_key_belongs_to_one_account)
{
    account_table table;
    CHECK_TRUE(table.add(account("gold"), {"k1", "k2", "k1"}).has_value());
    CHECK_TRUE(table.add(account("silver"), {}).has_value());
    STRCMP_EQUAL("gold", table.find_by_key("k2")->name.get().c_str());
    for (const char* unknown : {"", "k", "k11", "K1", "k1 "})
    {
        POINTERS_EQUAL(nullptr, table.find_by_key(unknown));
    }
    const struct
    {
        const char* name;
        std::vector<std::string> keys;
    } invalid[] = {{"gold", {"k9"}}, {"bronze", {"secret", "k2"}}, {"bronze", {""}}, {"", {"k8"}}};
    for (const auto& row : invalid)
    {
        const auto added = table.add(account(row.name), row.keys);
        CHECK_FALSE_TEXT(added.has_value(), row.name);
        const std::string error = added.error().to_string();
        CHECK_FALSE_TEXT(error.find("k2") != std::string::npos ||
                             error.find("secret") != std::string::npos,
                         error.c_str());
    }
}

// Fails when a large list of keys takes more than a moment, or loses keys.
TEST(client_accounts, a_hundred_thousand_keys_are_accepted)
{
    constexpr int count = 100'000;
    std::vector<std::string> keys;
    for (int i = 0; i < count; ++i)
    {
        keys.push_back("key-" + std::to_string(i));
    }
    account_table table;
    CHECK_TRUE(table.add(account("gold"), keys).has_value());
    CHECK_TRUE(table.find_by_key("key-99999") != nullptr);
    POINTERS_EQUAL(nullptr, table.find_by_key("key-100000"));
}

// Fails when a request is served without a valid key, when its key or a forged name reaches an
// upstream, or when the account's priority does not count.
TEST(client_accounts, a_request_needs_a_key_and_the_upstream_gets_the_name)
{
    struct row
    {
        const char* name;
        std::string key;
        bool is_public;
        std::optional<core::milliseconds> confirmed_age;
        int status;
        const char* account; ///< that the upstream is told; null: it gets nothing
    };
    const row rows[] = {
        {"a known key", gold_key, false, 0ms, 200, "gold"},
        {"no key", "", false, 0ms, 503, nullptr},
        {"an unknown key", "other", false, 0ms, 503, nullptr},
        {"a public route without a key", "", true, 0ms, 200, ""},
        {"a public route with a key", gold_key, true, 0ms, 200, "gold"},
        {"the lease holds still", gold_key, false, 4'900ms, 200, "gold"},
        {"the lease has ended", gold_key, false, 4'901ms, 503, nullptr},
        {"the lease never began", gold_key, false, std::nullopt, 503, nullptr},
        {"a public route needs no lease", "", true, std::nullopt, 200, ""},
        {"a public route with an unknown key", "other", true, 0ms, 200, ""},
        // The key may have been added since, by an account with regions.
        {"a public route with an unknown key, without a lease", "other", true, 4'901ms, 503,
         nullptr},
        {"a public route with a known key, without a lease", gold_key, true, 4'901ms, 200, "gold"},
    };
    for (const row& each : rows)
    {
        call_fixture node({});
        scripted_upstream upstream(node.loop, {plain_answer(0ms)});
        client_account gold = account("gold");
        gold.priority = 1;
        route shop = shop_route();
        shop.is_public = each.is_public;
        node.set_route(shop, {}, {{gold_key, gold}});
        node.publish("i-1", upstream.address());
        node.evidence.age = each.confirmed_age;
        const recorded_exchange& answered = node.start(request(each.key), std::nullopt);
        node.finish(answered);
        LONGS_EQUAL_TEXT(each.status, answered.status, each.name);
        LONGS_EQUAL_TEXT(each.account != nullptr, upstream.requests().size(), each.name);
        if (each.account == nullptr)
            continue;
        const std::string& head = upstream.requests().front();
        CHECK_TRUE_TEXT(head.find(gold_key) == std::string::npos, each.name);
        CHECK_TRUE_TEXT(has_line(head, "Account: " + std::string(each.account)), head.c_str());
        const bool is_gold = std::string(each.account) == "gold";
        CHECK_TRUE_TEXT(has_line(head, is_gold ? "Priority: 1" : "Priority: 4"), head.c_str());
    }
}

// Fails when requests need no key any more once the last account was removed, or when upstreams get
// the key and the name that the client made up (review/7, CONFIG, ROUTE, UNASKED).
TEST(client_accounts, without_any_account_left_no_key_is_accepted)
{
    struct row
    {
        const char* name;
        std::string key;
        bool is_public;
        bool is_served;
    };
    const row rows[] = {
        {"the removed key", gold_key, false, false},
        {"a key that was never held", "other", false, false},
        {"no key", "", false, false},
        {"the removed key on a public route", gold_key, true, true},
        {"a public route", "", true, true},
    };
    for (const row& each : rows)
    {
        call_fixture node({});
        scripted_upstream upstream(node.loop, {plain_answer(0ms)});
        route shop = shop_route();
        shop.is_public = each.is_public;
        node.set_route(shop, {}, {});
        node.publish("i-1", upstream.address());
        node.finish(node.start(request(each.key), std::nullopt));
        LONGS_EQUAL_TEXT(each.is_served, upstream.requests().size(), each.name);
        if (!each.is_served)
        {
            CHECK_TRUE(node.last_refusal().reason == policy::refusal_reason::unauthorized);
            continue;
        }
        const std::string& head = upstream.requests().front();
        CHECK_TRUE_TEXT(head.find(gold_key) == std::string::npos, each.name);
        CHECK_TRUE_TEXT(has_line(head, "Account: "), head.c_str());
    }
}

// Fails when a refusal for a key does not say why.
TEST(client_accounts, refusals_name_their_reason)
{
    call_fixture node({});
    node.set_route(shop_route(), {}, {{gold_key, account("gold")}});
    node.finish(node.start(request("other"), std::nullopt));
    CHECK_TRUE(node.last_refusal().reason == policy::refusal_reason::unauthorized);
    node.evidence.age = 6s;
    node.finish(node.start(request(gold_key), std::nullopt));
    CHECK_TRUE(node.last_refusal().reason == policy::refusal_reason::configuration_unconfirmed);
    CHECK_TRUE(node.last_refusal().retry_after > 0ms);
}

// Fails when a request is served where its account may not be, or when its key goes to another
// node.
TEST(client_accounts, the_regions_of_the_account_bind)
{
    call_fixture node({});
    scripted_upstream upstream(node.loop, {plain_answer(0ms)});
    client_account gold = account("gold");
    gold.allowed_regions = {core::region_id{"ennstal"}};
    node.set_route(shop_route(), {}, {{gold_key, gold}});
    node.publish("i-1", upstream.address());
    node.finish(node.start(request(gold_key), std::nullopt));
    UNSIGNED_LONGS_EQUAL(0, upstream.requests().size());
    region_link nobody;
    node.add_region(core::region_id{"ennstal"}, nobody);
    node.finish(node.start(request(gold_key), std::nullopt));
    UNSIGNED_LONGS_EQUAL(0, upstream.requests().size());
    STRCMP_EQUAL("gold", node.regions().last_options.account.get().c_str());
    for (const auto& [name, value] : node.regions().last_head.headers)
    {
        CHECK_FALSE_TEXT(value == gold_key, name.c_str());
    }
}

// Fails when a forwarded call is judged by the key that it does not have, or is told no account.
TEST(client_accounts, a_forwarded_call_has_the_account_of_its_entry_node)
{
    call_fixture node({});
    scripted_upstream upstream(node.loop, {plain_answer(0ms)});
    node.set_route(shop_route(), {}, {{gold_key, account("gold")}});
    node.publish("i-1", upstream.address());
    node.evidence.age = std::nullopt;
    forwarded_from from{3s, [](const policy::refusal&) {}};
    from.account = core::account_id{"gold"};
    node.finish(node.start(request(""), from));
    UNSIGNED_LONGS_EQUAL(1, upstream.requests().size());
    CHECK_TRUE(has_line(upstream.requests().front(), "Account: gold"));
}

// Fails when a forwarded call goes on without the regions, the priority and the quota of its
// account because this node's configuration does not hold it, or knows of no accounts (review/7).
TEST(client_accounts, a_forwarded_call_of_an_account_that_is_not_known_here_is_refused)
{
    enum class known_accounts
    {
        not_configured,
        none_left,
        others,
    };
    struct row
    {
        const char* name;
        known_accounts known;
        const char* account; ///< that the entry node has found; empty: none
        std::string key;     ///< that the entry node passes on
        bool is_public;
        bool is_served;
    };
    const row rows[] = {
        {"nobody asks for keys", known_accounts::not_configured, "", "", false, true},
        {"no accounts here yet", known_accounts::not_configured, "gold", "", false, false},
        {"no accounts here yet, public", known_accounts::not_configured, "gold", "", true, false},
        {"removed here", known_accounts::none_left, "gold", "", false, false},
        {"not added here yet", known_accounts::others, "gold", "", false, false},
        {"not added here yet, public", known_accounts::others, "gold", "", true, false},
        {"no accounts there yet", known_accounts::others, "", "", false, false},
        {"no accounts there yet, with a key", known_accounts::others, "", gold_key, true, false},
        {"none left, and no accounts there yet", known_accounts::none_left, "", "", false, false},
        {"public without a key", known_accounts::others, "", "", true, true},
    };
    for (const row& each : rows)
    {
        call_fixture node({});
        scripted_upstream upstream(node.loop, {plain_answer(0ms)});
        route shop = shop_route();
        shop.is_public = each.is_public;
        call_fixture::accounts_by_key accounts;
        if (each.known == known_accounts::others)
            accounts["key-of-silver"] = account("silver");
        if (each.known == known_accounts::not_configured)
            node.set_route(shop);
        else
            node.set_route(shop, {}, accounts);
        node.publish("i-1", upstream.address());
        std::optional<policy::refusal> refused;
        forwarded_from from{3s, [&](const policy::refusal& why) { refused = why; }};
        from.account = core::account_id{each.account};
        node.finish(node.start(request(each.key), from));
        LONGS_EQUAL_TEXT(each.is_served, upstream.requests().size(), each.name);
        if (each.is_served)
            continue;
        CHECK_TRUE_TEXT(refused.has_value(), each.name);
        CHECK_TRUE(refused->reason == policy::refusal_reason::configuration_unconfirmed);
        CHECK_TRUE(refused->executed == policy::execution::no && !refused->has_reached_upstream);
    }
}

// Fails when a request over the quota is sent, is not told when to come back, or when a request
// that did not run uses up the quota.
TEST(client_accounts, a_request_over_the_quota_is_refused_and_one_that_has_not_run_is_not_counted)
{
    call_fixture node({});
    scripted_upstream upstream(
        node.loop, {{{{0ms, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"}}, answer_end::keep}});
    client_account gold = account("gold");
    gold.quota = {policy::quota_unit::request, 2, 0, 0};
    route shop = shop_route();
    shop.max_attempts = 1;
    node.set_route(shop, {}, {{gold_key, gold}});
    node.publish("i-1", upstream.address());
    node.run_for(1'200ms);
    for (int i = 0; i < 5; ++i)
    {
        node.finish(node.start(request(gold_key), std::nullopt));
        CHECK_FALSE(node.last_refusal().reason == policy::refusal_reason::account_limit);
    }

    scripted_upstream sound(node.loop, {plain_answer(0ms)});
    node.withdraw("i-1");
    node.publish("i-2", sound.address());
    for (int i = 0; i < 10; ++i)
    {
        node.finish(node.start(request(gold_key), std::nullopt));
    }
    CHECK_TRUE(node.last_refusal().reason == policy::refusal_reason::account_limit);
    CHECK_TRUE(node.last_refusal().executed == policy::execution::no);
    CHECK_TRUE(node.last_refusal().retry_after > 0ms);
    CHECK_TRUE(!sound.requests().empty() && sound.requests().size() <= 9);
}

TEST_GROUP(configuration_lease){};

// Fails when a confirmation counts from the answer instead of the question, or another node's
// counts for longer than its age allows.
TEST(configuration_lease, a_confirmation_counts_from_the_question)
{
    const core::time_point begin = core::time_point{} + 1h;
    state_confirmation subject;
    CHECK_FALSE(subject.age(begin).has_value());
    subject.on_read(begin);
    LONGS_EQUAL(1'500, subject.age(begin + 1'500ms)->count());
    subject.on_copied(begin + 1s, 400ms);
    LONGS_EQUAL(900, subject.age(begin + 1'500ms)->count());
    subject.on_copied(begin + 2s, std::nullopt);
    subject.on_copied(begin + 2s, 5s);
    subject.on_read(begin + 100ms);
    LONGS_EQUAL(1'400, subject.age(begin + 2s)->count());
}
