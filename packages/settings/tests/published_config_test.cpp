/// Guards against an invalid configuration that is accepted or a valid one that is misread.

#include <snipeplank/settings/published_config.hpp>

#include <string>

#include "documents.hpp"

using namespace snipeplank;
using namespace snipeplank::settings;
using namespace snipeplank::settings::tests;

namespace
{

const std::string hash_a(64, 'a');
const std::string hash_b(64, 'b');

const std::string valid_manifest = "version: 7\nsections:\n  - name: fleet\n    hash: " + hash_a +
                                   "\n  - name: services\n    hash: " + hash_b + "\n";

struct invalid_edit
{
    const char* from;
    const char* to;
    const char* expected;
};

} // namespace

TEST_GROUP(published_config){};

TEST(published_config, every_value_of_a_manifest_is_read)
{
    const auto parsed = parse_manifest(valid_manifest, "manifest.yaml");
    CHECK_TRUE_TEXT(parsed.has_value(), parsed ? "" : parsed.error().to_string().c_str());
    LONGS_EQUAL(7, parsed.value().version.get());
    LONGS_EQUAL(2, parsed.value().sections.size());
    CHECK_TRUE(parsed.value().sections[1] == (section_ref{"services", hash_b}));
}

TEST(published_config, a_manifest_may_be_written_as_json)
{
    const std::string text = R"({"version": 7, "sections": [{"name": "fleet", "hash": ")" + hash_a +
                             R"("}, {"name": "services", "hash": ")" + hash_b + "\"}]}";
    CHECK_TRUE(parse_manifest(text, "manifest").has_value());
}

TEST(published_config, each_fault_of_a_manifest_is_refused)
{
    const invalid_edit rows[] = {
        {"version: 7", "version: 0", "manifest.yaml:1: version: 0 is out of range"},
        {"version: 7", "version: 8796093022208", "is out of range"},
        {"version: 7", "version: seven", "is not a whole number"},
        {"version: 7\n", "", "version: the key is missing"},
        {"name: fleet", "name: fleets", "\"fleets\" is not a section"},
        {"name: fleet", "name: accounts-128", "is not a section"},
        {"name: fleet", "name: accounts-1", "is not a section"},
        {"name: fleet", "name: accounts-001", "section fleet is not listed"},
        {"name: services", "name: fleet", "section fleet is listed twice"},
        {"aaaa\n", "aaa\n", "sections[0].hash: not a hexadecimal string"},
    };
    for (const invalid_edit& each : rows)
    {
        const std::string text = replace_first(valid_manifest, each.from, each.to);
        check_refused(parse_manifest(text, "manifest.yaml"), each.expected, each.to);
    }
}

TEST(published_config, every_value_of_valid_sections_is_read)
{
    const auto built = build({{"fleet", valid_fleet},
                              {"services", valid_services},
                              account_section("buyer-1", "ennstal")});
    CHECK_TRUE_TEXT(built.has_value(), built ? "" : built.error().to_string().c_str());
    const published_config& config = built.value();
    LONGS_EQUAL(7, config.version.get());
    LONGS_EQUAL(2, config.regions.at(core::region_id{"ennstal"}).size());
    LONGS_EQUAL(1, config.links.size());
    LONGS_EQUAL(80, config.links[0].one_way_delay.count());
    DOUBLES_EQUAL(250e6, config.links[0].rate.rate, 1);
    DOUBLES_EQUAL(0.25, config.links[0].spill_share, 1e-9);
    DOUBLES_EQUAL(50e6, config.weight_store_rate.rate, 1);
    STRCMP_EQUAL("salzkammer", config.weight_store_region.get().c_str());
    DOUBLES_EQUAL(0.2, config.weights.cost, 1e-9);
    CHECK_TRUE(config.routing == routing_kind::adaptive);

    const service_config* model = config.find_service(core::service_id{"kiln-model"});
    CHECK_TRUE(model != nullptr && model->kind == service_kind::model);
    CHECK_TRUE(model->residency == residency::free);
    LONGS_EQUAL(60'000, model->deadline.count());
    LONGS_EQUAL(16, model->calls_per_upstream);
    CHECK_TRUE(model->engine_checks_fencing);
    CHECK_FALSE(model->engine_resumes_streams);

    const service_config* plain = config.find_service(core::service_id{"booking"});
    CHECK_TRUE(plain != nullptr && plain->kind == service_kind::plain);
    CHECK_TRUE(plain->ticket == ticket_rule::optional);
    CHECK_TRUE(plain->non_idempotent_methods == std::set<std::string>{"POST"});
    CHECK_TRUE(plain->not_run_statuses == (std::set<int>{429, 503}));

    const account_config& account = config.accounts.at(account_key);
    STRCMP_EQUAL("buyer-1", account.id.get().c_str());
    STRCMP_EQUAL("ennstal", account.home.get().c_str());
    DOUBLES_EQUAL(5.5, account.calls_per_second, 1e-9);
    POINTERS_EQUAL(&account, config.find_account(account.id));
    POINTERS_EQUAL(nullptr, config.find_account(core::account_id{"buyer-2"}));
}

TEST(published_config, absent_keys_default_to_the_safe_value)
{
    const std::string services = "services:\n  booking:\n    kind: plain\n"
                                 "    non_idempotent_methods: [POST]\n";
    const auto built = build({{"fleet", valid_fleet}, {"services", services}});
    const service_config& service = built.value().services.at(core::service_id{"booking"});
    CHECK_TRUE(service.residency == residency::bound);
    CHECK_TRUE(service.ticket == ticket_rule::required);
}

TEST(published_config, each_fault_of_the_fleet_section_is_refused)
{
    const invalid_edit rows[] = {
        {"  ennstal: [ennstal-a, ennstal-b]", "  ennstal: []", "the list has 0 items"},
        {"ennstal-b", "salzkammer-a", "availability zone listed twice"},
        {"ennstal-b", "Ennstal B", "is not a name"},
        {"[salzkammer, ennstal]", "[salzkammer, murtal]", "region \"murtal\" is not listed"},
        {"[salzkammer, ennstal]", "[ennstal, ennstal]", "joins a region to itself"},
        {"[salzkammer, ennstal]", "[ennstal]", "the list has 1 items"},
        {"delay_ms: 80", "delay_s: 0.08", "links[0].delay_s: unknown key; write delay_ms"},
        {"delay_ms: 80", "delay_ms: 80ms", "is not a whole number"},
        {"delay_ms: 80", "delay_ms: 10001", "is out of range"},
        {"megabits_per_second: 2000", "megabytes_per_second: 250", "unknown key"},
        {"megabits_per_second: 2000", "megabits_per_second: 0", "is out of range"},
        {"megabits_per_second: 2000", "megabits_per_second: nan", "is not a number"},
        {"megabits_per_second: 2000", "megabits_per_second: inf", "is out of range"},
        {"spill_share: 0.25", "spill_share: 1.01", "is out of range"},
        {"spill_share: 0.25", "spill_share: 25%", "is not a number"},
        {"  region: salzkammer", "  region: murtal", "weight_store.region: region \"murtal\""},
        {"policy: adaptive", "policy: best", "write one of: adaptive, round_robin"},
        {"latency: 1", "latency: -1", "is out of range"},
        {"    away: 0.5\n", "", "routing.weights.away: the key is missing"},
        {"weight_store:\n",
         "  - {between: [ennstal, salzkammer], delay_ms: 1, megabits_per_second: 1,"
         " spill_share: 0}\nweight_store:\n",
         "listed twice"},
    };
    for (const invalid_edit& each : rows)
    {
        const std::string text = replace_first(valid_fleet, each.from, each.to);
        check_refused(build({{"fleet", text}, {"services", valid_services}}), each.expected,
                      each.to);
    }
}

TEST(published_config, each_fault_of_the_services_section_is_refused)
{
    const invalid_edit rows[] = {
        {"kiln-model:", "v1:", "\"v1\" is a path of the node itself"},
        {"kiln-model:", "Kiln Model:", "is not a name"},
        {"kiln-model:", "booking:", "given twice"},
        {"kind: model", "kind: engine", "write one of: plain, model"},
        {"residency: free", "residency: anywhere", "write one of: bound, free"},
        {"deadline_ms: 60000", "deadline_s: 60", "write deadline_ms"},
        {"deadline_ms: 60000", "deadline_ms: 600001", "is out of range"},
        {"deadline_ms: 60000", "deadline_ms: 60s", "is not a whole number"},
        {"calls_per_upstream: 16", "calls_per_upstream: 0", "is out of range"},
        {"checks_fencing: true", "checks_fencing: yes", "write one of: true, false"},
        {"      checks_fencing: true\n", "", "checks_fencing: the key is missing"},
        {"residency: free", "non_idempotent_methods: [POST]", "unknown key"},
        {"    non_idempotent_methods: [POST]\n", "", "non_idempotent_methods: the key is missing"},
        {"[POST]", "[post]", "write one of: POST"},
        {"[POST]", "[POST, POST]", "the method is listed twice"},
        {"[POST]", "[]", "ticket: the service has no non-idempotent method"},
        {"ticket: optional", "ticket: sometimes", "write one of: required, optional"},
        {"[429, 503]", "[200]", "is out of range"},
        {"[429, 503]", "[503, 503]", "the status is listed twice"},
    };
    for (const invalid_edit& each : rows)
    {
        const std::string text = replace_first(valid_services, each.from, each.to);
        check_refused(build({{"fleet", valid_fleet}, {"services", text}}), each.expected, each.to);
    }
    check_refused(build({{"fleet", valid_fleet}, {"services", "services: {}\n"}}), "no service",
                  "no service");
}

TEST(published_config, each_fault_of_an_account_section_is_refused)
{
    const auto [name, valid] = account_section("buyer-1", "ennstal");
    const invalid_edit rows[] = {
        {"buyer-1", "buyer-2", "the account belongs in section"},
        {"home: ennstal", "home: murtal", "region \"murtal\" is not listed"},
        {"calls_per_second: 5.5", "calls_per_minute: 5", "write calls_per_second"},
        {"calls_per_second: 5.5", "calls_per_second: 0", "is out of range"},
        {"burst: 9", "burst: 0.5", "is out of range"},
        {"key_sha256: a", "key_sha256: ", "not a hexadecimal string"},
    };
    for (const invalid_edit& each : rows)
    {
        const std::string text = replace_first(valid, each.from, each.to);
        check_refused(build({{"fleet", valid_fleet}, {"services", valid_services}, {name, text}}),
                      each.expected, each.to);
    }
    const std::string twice = valid + valid.substr(valid.find("  - id"));
    check_refused(build({{"fleet", valid_fleet}, {"services", valid_services}, {name, twice}}),
                  "the account is listed twice", "account listed twice");
}

TEST(published_config, a_key_shared_by_two_accounts_is_refused)
{
    // With a shared key, calls of one account would count against the limit of the other.
    check_refused(build({{"fleet", valid_fleet},
                         {"services", valid_services},
                         account_section("buyer-1", "ennstal"),
                         account_section("buyer-2", "ennstal")}),
                  "two accounts share one key", "shared key");
}

TEST(published_config, a_text_under_a_wrong_hash_is_refused)
{
    // A section that is truncated or from another version must not come in force.
    manifest index;
    index.version = core::config_version{1};
    const std::string fleet_hash = core::sha256_hex(valid_fleet);
    const std::string services_hash = core::sha256_hex(valid_services);
    index.sections = {{"fleet", fleet_hash}, {"services", services_hash}};
    check_refused(build_config(index, {{fleet_hash, valid_fleet}}), "the section has no text",
                  "absent section");
    check_refused(
        build_config(index, {{fleet_hash, valid_fleet + "#"}, {services_hash, valid_services}}),
        "does not have the hash", "wrong text");
    index.sections.pop_back();
    check_refused(build_config(index, {{fleet_hash, valid_fleet}}), "fleet or services",
                  "no services section");
}

TEST(published_config, a_section_too_large_for_the_configuration_service_is_refused)
{
    const std::string text = valid_services + std::string(1'000'000, '#');
    check_refused(build({{"fleet", valid_fleet}, {"services", text}}), "longer than 1,000,000",
                  "large section");
}
