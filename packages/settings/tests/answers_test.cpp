/// Guards against misread answers and against contradictory ones that are accepted.

#include <snipeplank/settings/detail/read_file.hpp>
#include <snipeplank/settings/generator.hpp>

#include <string>

#include "documents.hpp"

using namespace snipeplank;
using namespace snipeplank::settings;
using namespace snipeplank::settings::tests;

namespace
{

struct invalid_edit
{
    const char* from;
    const char* to;
    const char* expected;
};

std::string example(const std::string& user)
{
    const std::string path = std::string{EXAMPLES_DIR} + "/" + user + ".answers.yaml";
    return detail::read_file(path).value();
}

core::result<generated_files> generate(const std::string& text)
{
    const auto given = parse_answers(text, "answers.yaml");
    if (!given)
    {
        return given.as_failure();
    }
    return generate_files(given.value());
}

} // namespace

TEST_GROUP(answers){};

TEST(answers, each_example_answers_file_generates_a_configuration)
{
    for (const char* user : {"hallstein", "tamarack"})
    {
        const auto given = parse_answers(example(user), user);
        CHECK_TRUE_TEXT(given.has_value(), given ? "" : given.error().to_string().c_str());
        LONGS_EQUAL(6, given.value().entry_hosts.size());
        LONGS_EQUAL(3, given.value().regions.size());
        const auto files = generate_files(given.value());
        CHECK_TRUE_TEXT(files.has_value(), files ? "" : files.error().to_string().c_str());
    }
}

TEST(answers, derived_values_depend_on_the_answers)
{
    // Hallstein gives tail latency the largest weight, Tamarack cost and requests sent to another
    // region.
    const auto text_of = [](const char* user)
    {
        std::string all;
        const generated_files files = generate(example(user)).value();
        for (const auto& [path, text] : files)
        {
            all += text;
        }
        return all;
    };
    STRCMP_CONTAINS("latency: 1  # from tolerance.delay", text_of("hallstein").c_str());
    STRCMP_CONTAINS("cost: 0.2  # from tolerance.cost", text_of("hallstein").c_str());
    STRCMP_CONTAINS("burst: 80  # from calls_per_second", text_of("hallstein").c_str());
    STRCMP_CONTAINS("cost: 1  # from tolerance.cost", text_of("tamarack").c_str());
    STRCMP_CONTAINS("away: 1  # from tolerance.other_region", text_of("tamarack").c_str());
}

TEST(answers, each_wrong_answer_is_refused_with_file_line_question_and_remedy)
{
    const invalid_edit rows[] = {
        {"version: 1", "version: 0", "answers.yaml:3: version: 0 is out of range"},
        {"version: 1\n", "", "version: the key is missing"},
        {"version: 1", "version: 1\nregion: x", "region: unknown key"},
        {"murtal: [murtal-a]", "murtal: [ennstal-a]", "availability zone listed twice"},
        {"to_clients_ms: 3", "to_clients_s: 3", "unknown key; write to_clients_ms"},
        {"to_clients_ms: 3", "to_clients_ms: 3ms", "is not a number"},
        {"delay_ms: 80", "delay_ms: 80.5", "is not a whole number"},
        {"region: salzkammer", "region: duluth", "region \"duluth\" is not listed"},
        {"zone: ennstal-a, ip: 127.1.2.2", "zone: duluth-a, ip: 127.1.2.2",
         "entry_hosts.ennstal-2.zone: availability zone \"duluth-a\" is not listed"},
        {"ip: 127.1.2.2", "ip: 127.1.2.2:80", "is not an IP number"},
        {"ip: 127.1.2.2", "ip: localhost", "is not an IP number"},
        {"peer: 8081", "peer: 65536", "ports.peer: 65536 is out of range"},
        {"homes: [salzkammer, ennstal, murtal]", "homes: [salzkammer, salzkammer]",
         "services.scheduling.homes[1]: the region is listed twice"},
        {"homes: [salzkammer, ennstal, murtal]", "homes: []", "the list has 0 items"},
        {"  booking:", "  metrics:", "is a path of the node itself"},
        {"    calls_per_upstream: 32\n", "", "calls_per_upstream: the key is missing"},
        {"peak_calls_per_second: 40", "peak_calls_per_minute: 2400", "write peak_calls_per_second"},
        {"delay: low", "delay: tiny", "write one of: low, medium, high"},
        {"expected_spill: 0.3", "expected_spill: 30%", "is not a number"},
        {"home: murtal", "home: duluth", "accounts.buyers.home: region \"duluth\""},
        {"    calls_per_second: 20\n", "", "calls_per_second: the key is missing"},
    };
    for (const invalid_edit& each : rows)
    {
        check_refused(
            parse_answers(replace_first(example("hallstein"), each.from, each.to), "answers.yaml"),
            each.expected, each.to);
    }
}

TEST(answers, each_contradiction_is_refused_with_the_question_to_change)
{
    const invalid_edit rows[] = {
        {"      - {zone: murtal-a, count: 1, addresses: [127.3.3.1:9100]}\n", "",
         "services.booking.upstreams: the service is bound but has no upstream in its home region "
         "murtal"},
        {"deadline_ms: 5000", "deadline_ms: 12",
         "services.booking.deadline_ms: 12 ms is not above"},
        {"deadline_ms: 30000", "deadline_ms: 166",
         "services.scheduling.deadline_ms: 166 ms is not above the longest round trip of 166 ms"},
        {"megabits_per_second: 2000", "megabits_per_second: 9",
         "tolerance.expected_spill: forwarded calls would need"},
        {"  murtal-1: {zone: murtal-a, ip: 127.1.3.1}\n"
         "  murtal-2: {zone: murtal-a, ip: 127.1.3.2}\n",
         "", "entry_hosts: region murtal has no entry host"},
        {"ip: 127.1.3.2", "ip: 127.1.3.1", "entry_hosts.murtal-2.ip: another entry host has"},
        {"count: 4", "count: 5", "in salzkammer-a the count is 5 but 4 addresses are listed"},
        {"127.2.1.2:9000", "127.2.1.1:9000", "127.2.1.1:9000 is used by services.scheduling"},
        {"127.3.3.1:9100", "127.1.3.1:8081", "127.1.3.1:8081 is used by entry_hosts.murtal-1"},
        {"admin: 8082", "admin: 8080", "ports: two of caller, peer and admin are the same"},
        {"links: # each way, for all traffic\n  every_pair:\n    delay_ms: 80\n"
         "    megabits_per_second: 2000\n",
         "", "links: the fleet has several regions but no link"},
    };
    for (const invalid_edit& each : rows)
    {
        const auto refused = generate(replace_first(example("hallstein"), each.from, each.to));
        check_refused(refused, each.expected, each.to);
        LONGS_EQUAL(static_cast<int>(core::error_code::answers_contradict),
                    static_cast<int>(refused.error().code));
    }
    const std::string shared =
        replace_first(example("hallstein"), core::sha256_hex("example-buyers"),
                      core::sha256_hex("example-kiln-masters"));
    check_refused(generate(shared), "has the same key", "shared key");
}

TEST(answers, values_just_inside_the_bounds_are_accepted)
{
    const invalid_edit rows[] = {
        // 2 * (3 ms to the callers + 3 ms between availability zones) is 12 ms.
        {"deadline_ms: 5000", "deadline_ms: 13", ""},
        // 2 * (3 ms to the callers + 80 ms between regions) is 166 ms.
        {"deadline_ms: 30000", "deadline_ms: 167", ""},
        // 40/s * 24 KB * 0.3 is 2.304 Mbit/s; a quarter of the link is for spill.
        {"megabits_per_second: 2000", "megabits_per_second: 9.217", ""},
    };
    for (const invalid_edit& each : rows)
    {
        const auto files = generate(replace_first(example("hallstein"), each.from, each.to));
        CHECK_TRUE_TEXT(files.has_value(), files ? "" : files.error().to_string().c_str());
    }
}

TEST(answers, a_link_exception_too_slow_for_the_spill_is_refused)
{
    const std::string text = replace_first(
        example("hallstein"), "    megabits_per_second: 2000\n",
        "    megabits_per_second: 2000\n  exceptions:\n    - between: [murtal, ennstal]\n"
        "      delay_ms: 90\n      megabits_per_second: 5\n");
    check_refused(generate(text), "on the link ennstal - murtal", "narrow exception");
}

TEST(answers, the_order_of_the_groups_does_not_change_the_generated_files)
{
    const std::string text = example("tamarack");
    const std::size_t services = text.find("services:");
    const std::size_t tolerance = text.find("tolerance:");
    const std::size_t accounts = text.find("# The bearer keys");
    const std::string reordered =
        text.substr(0, services) + text.substr(tolerance, accounts - tolerance) +
        text.substr(services, tolerance - services) + text.substr(accounts);
    CHECK_TRUE(generate(text).value() == generate(reordered).value());
}
