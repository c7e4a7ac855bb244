/// Guards against invalid requests that are accepted, and against control headers that are
/// forwarded to an upstream.

#include <snipeplank/core/hash.hpp>
#include <snipeplank/gateway/request_parser.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace snipeplank;
using namespace snipeplank::gateway;
using policy::refusal_reason;

namespace
{

const core::region_id here{"salzkammer"};

enum class accounts
{
    not_configured,
    none_left,
    one,
};

config_ptr make_config(accounts listed)
{
    auto config = std::make_shared<settings::published_config>();
    config->version = core::config_version{1};
    config->regions = {{here, {}}, {core::region_id{"ennstal"}, {}}};
    settings::service_config drafting;
    drafting.name = core::service_id{"drafting"};
    drafting.kind = settings::service_kind::model;
    drafting.residency = settings::residency::free;
    config->services[drafting.name] = drafting;
    settings::service_config booking;
    booking.name = core::service_id{"booking"};
    booking.non_idempotent_methods = {"POST"};
    config->services[booking.name] = booking;
    config->asks_for_keys = listed != accounts::not_configured;
    if (listed == accounts::one)
    {
        settings::account_config account;
        account.id = core::account_id{"buyer"};
        account.key_sha256 = core::sha256_hex("secret");
        account.home = core::region_id{"ennstal"};
        config->accounts[account.key_sha256] = account;
    }
    return config;
}

struct row
{
    const char* what;
    const char* method;
    const char* path;
    std::vector<header_field> headers;
    std::string body;
    std::optional<refusal_reason> refused;
    bool with_accounts = false;
};

std::optional<policy::refusal> parse(const row& request, call& parsed)
{
    const request_head head{request.method, request.path, request.path, request.headers};
    const core::time_point now{core::seconds{100}};
    if (auto refused = parse_head(
            head, make_config(request.with_accounts ? accounts::one : accounts::not_configured),
            here, now, parsed))
        return refused;
    return parse_body(request.body, here, parsed);
}

const std::string chat = R"({"model":"drafting","messages":[{"role":"user","content":"x"}]})";
constexpr const char* chat_path = "/v1/chat/completions";

} // namespace

TEST_GROUP(request_parser){};

TEST(request_parser, requests_are_accepted_or_refused_with_the_expected_reason)
{
    const row rows[] = {
        {"model call", "POST", chat_path, {}, chat, std::nullopt},
        {"read of a plain service", "GET", "/booking/slots", {}, "", std::nullopt},
        {"unknown service", "GET", "/nothing/slots", {}, "", refusal_reason::unknown_service},
        {"unknown model",
         "POST",
         chat_path,
         {},
         R"({"model":"other"})",
         refusal_reason::unknown_service},
        {"no model", "POST", chat_path, {}, "{}", refusal_reason::bad_request},
        {"broken JSON", "POST", chat_path, {}, "{", refusal_reason::bad_request},
        {"plain service as a model",
         "POST",
         chat_path,
         {},
         R"({"model":"booking"})",
         refusal_reason::bad_request},
        {"model as a plain service", "POST", "/drafting/x", {}, "", refusal_reason::bad_request},
        {"booking without a ticket",
         "POST",
         "/booking/slots",
         {},
         "{}",
         refusal_reason::ticket_required},
        {"booking with a key",
         "POST",
         "/booking/slots",
         {{"idempotency-key", "k"}},
         "{}",
         std::nullopt},
        {"forged internal header",
         "GET",
         "/booking/slots",
         {{"Snipeplank-Path", "a/b/c"}},
         "",
         refusal_reason::header_forbidden},
        {"the same header twice",
         "GET",
         "/booking/slots",
         {{"Snipeplank-Home", "ennstal"}, {"snipeplank-home", "salzkammer"}},
         "",
         refusal_reason::bad_request},
        {"unknown home",
         "GET",
         "/booking/slots",
         {{"Snipeplank-Home", "moon"}},
         "",
         refusal_reason::bad_request},
        {"bound service of another home",
         "GET",
         "/booking/slots",
         {{"Snipeplank-Home", "ennstal"}},
         "",
         refusal_reason::wrong_region},
        {"a header does not free a bound service",
         "GET",
         "/booking/slots",
         {{"Snipeplank-Home", "ennstal"}, {"Snipeplank-Residency", "free"}},
         "",
         refusal_reason::wrong_region},
        {"model call of another home, nothing said",
         "POST",
         chat_path,
         {{"Snipeplank-Home", "ennstal"}},
         chat,
         refusal_reason::wrong_region},
        {"model call of another home, free",
         "POST",
         chat_path,
         {{"Snipeplank-Home", "ennstal"}, {"Snipeplank-Residency", "free"}},
         chat,
         std::nullopt},
        {"unknown residency is bound",
         "POST",
         chat_path,
         {{"Snipeplank-Home", "ennstal"}, {"Snipeplank-Residency", "open"}},
         chat,
         refusal_reason::wrong_region},
        {"deadline in the past",
         "GET",
         "/booking/slots",
         {{"Snipeplank-Deadline-Ms", "0"}},
         "",
         refusal_reason::deadline_passed},
        {"deadline that is no number",
         "GET",
         "/booking/slots",
         {{"Snipeplank-Deadline-Ms", "1s"}},
         "",
         refusal_reason::bad_request},
        {"deadline beyond the longest",
         "GET",
         "/booking/slots",
         {{"Snipeplank-Deadline-Ms", "600001"}},
         "",
         refusal_reason::bad_request},
        {"no key", "GET", "/booking/slots", {}, "", refusal_reason::unauthorized, true},
        {"unknown key",
         "GET",
         "/booking/slots",
         {{"Authorization", "Bearer wrong"}},
         "",
         refusal_reason::unknown_account,
         true},
        {"the account's home goes before the header's",
         "GET",
         "/booking/slots",
         {{"Authorization", "Bearer secret"}, {"Snipeplank-Home", "salzkammer"}},
         "",
         refusal_reason::wrong_region,
         true},
    };
    for (const row& request : rows)
    {
        call parsed;
        const std::optional<policy::refusal> refused = parse(request, parsed);
        CHECK_EQUAL_TEXT(request.refused.has_value(), refused.has_value(), request.what);
        if (!refused)
            continue;
        const std::string expected{policy::to_string(*request.refused)};
        const std::string seen{policy::to_string(refused->reason)};
        STRCMP_EQUAL_TEXT(expected.c_str(), seen.c_str(), request.what);
        CHECK_TRUE_TEXT(refused->executed == policy::execution::no, request.what);
        CHECK_FALSE_TEXT(refused->remedy.empty(), request.what);
    }
}

TEST(request_parser, control_headers_and_keys_are_not_forwarded)
{
    call parsed;
    const row request{"",
                      "POST",
                      chat_path,
                      {{"Authorization", "Bearer secret"},
                       {"Snipeplank-Deadline-Ms", "500"},
                       {"Idempotency-Key", "k"},
                       {"Connection", "close"},
                       {"X-Trace", "1"}},
                      chat,
                      std::nullopt};
    CHECK_FALSE(parse(request, parsed).has_value());
    LONGS_EQUAL(1, parsed.headers.size());
    STRCMP_EQUAL("X-Trace", parsed.headers.front().name.c_str());
    CHECK_TRUE(parsed.deadline - parsed.received == core::milliseconds{500});
}

TEST(request_parser, prompts_with_a_common_prefix_have_one_prefix_hash)
{
    const std::string beginning(2'000, 'p');
    const auto hash_of = [](const std::string& text)
    {
        call parsed;
        const row request{"",
                          "POST",
                          "/v1/completions",
                          {},
                          R"({"model":"drafting","prompt":")" + text + R"("})",
                          std::nullopt};
        CHECK_FALSE(parse(request, parsed).has_value());
        return parsed.prefix_hash;
    };
    CHECK_TRUE(hash_of(beginning + "one") == hash_of(beginning + "two"));
    CHECK_FALSE(hash_of("one") == hash_of("two"));
}

// Without this check, a caller without an account could fill the ticket table of every node.
TEST(request_parser, tickets_need_an_account_where_accounts_are_configured)
{
    const request_head anonymous{"POST", "/v1/tickets", "/v1/tickets", {}};
    const request_head client{
        "POST", "/v1/tickets", "/v1/tickets", {{"Authorization", "Bearer secret"}}};
    CHECK_TRUE(check_account(anonymous, make_config(accounts::one)).has_value());
    CHECK_FALSE(check_account(client, make_config(accounts::one)).has_value());
    CHECK_FALSE(check_account(anonymous, make_config(accounts::not_configured)).has_value());
}

// Fails when a request needs no key any more once the last account was removed (review/7).
TEST(request_parser, without_any_account_left_no_key_is_accepted)
{
    const std::vector<header_field> rows[] = {{}, {{"Authorization", "Bearer secret"}}};
    for (const std::vector<header_field>& headers : rows)
    {
        const request_head head{"POST", chat_path, chat_path, headers};
        call parsed;
        CHECK_TRUE(parse_head(head, make_config(accounts::none_left), here,
                              core::time_point{core::seconds{100}}, parsed)
                       .has_value());
        CHECK_TRUE(check_account(head, make_config(accounts::none_left)).has_value());
    }
}
