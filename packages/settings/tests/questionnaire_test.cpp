/// Guards against a session that accepts an invalid answer or ends without an error.

#include <snipeplank/settings/generator.hpp>
#include <snipeplank/settings/questionnaire.hpp>

#include <CppUTest/TestHarness.h>

#include <sstream>
#include <string>

using namespace snipeplank;
using namespace snipeplank::settings;

namespace
{

/// Answers for two regions and two services, one a line; empty lines take the default.
const std::string session_input = "\n"                     // version
                                  "east, west\n"           // regions
                                  "\n\n"                   // availability zones
                                  "2\n1\n"                 // delays
                                  "40\n500\n"              // links
                                  "west\n\n"               // weight store
                                  "127.0.0.1:8500\n"       // configuration service
                                  "127.0.0.1:8600\n"       // host list
                                  "127.1.1.1\n127.1.2.1\n" // entry hosts
                                  "\n\n\n"                 // ports
                                  "chat orders\n"          // services
                                  "model\nfree\n\n\n\n\n"  // chat
                                  "\n\n\n"                 // engine, homes
                                  "127.2.1.1:1 127.2.1.2:1\nnone\n"
                                  "plain\nbound\n\n\n\n\n" // orders
                                  "\n\n\n"                 // methods, ticket, homes
                                  "127.3.1.1:1\n127.3.2.1:1\n"
                                  "low\n\n\n\n"     // tolerance
                                  "shop\neast\n\n"; // accounts

std::string fixed_secret()
{
    return std::string(64, 'c');
}

core::result<answers> answer(const std::string& text, std::string& output)
{
    std::istringstream in(text);
    std::ostringstream out;
    auto given = ask_answers(in, out, fixed_secret);
    output = out.str();
    return given;
}

} // namespace

TEST_GROUP(questionnaire){};

TEST(questionnaire, a_complete_session_gives_answers_that_generate_files)
{
    std::string output;
    const auto given = answer(session_input, output);
    CHECK_TRUE_TEXT(given.has_value(), given ? "" : given.error().to_string().c_str());
    const answers& all = given.value();
    LONGS_EQUAL(2, all.regions.size());
    LONGS_EQUAL(2, all.entry_hosts.size());
    LONGS_EQUAL(2, all.services.size());
    LONGS_EQUAL(1, all.accounts.size());
    const service_answer& chat = all.services.at(core::service_id{"chat"});
    LONGS_EQUAL(2, chat.upstreams.front().count);
    CHECK_TRUE(chat.config.kind == service_kind::model);
    CHECK_TRUE(all.services.at(core::service_id{"orders"}).config.ticket == ticket_rule::required);
    STRCMP_CONTAINS("shown only now", output.c_str());
    const auto files = generate_files(all);
    CHECK_TRUE_TEXT(files.has_value(), files ? "" : files.error().to_string().c_str());
    CHECK_TRUE(parse_answers(render_answers(all), "a").has_value());
}

TEST(questionnaire, an_invalid_answer_is_refused_with_a_remedy_and_asked_again)
{
    struct row
    {
        const char* wrong; ///< answer before the valid first one
        const char* expected;
    };
    const row rows[] = {
        {"0", "version: 0 is out of range"},
        {"one", "is not a whole number"},
        {"1 2", "is not a whole number"},
    };
    for (const row& each : rows)
    {
        std::string output;
        const auto given = answer(std::string{each.wrong} + "\n" + session_input, output);
        CHECK_TRUE_TEXT(given.has_value(), each.wrong);
        STRCMP_CONTAINS("not accepted", output.c_str());
        STRCMP_CONTAINS(each.expected, output.c_str());
    }
}

TEST(questionnaire, a_question_without_default_is_asked_again_after_an_empty_line)
{
    std::string output;
    const auto given = answer("\n\n" + session_input.substr(1), output);
    CHECK_TRUE(given.has_value());
    STRCMP_CONTAINS("the list has 0 items", output.c_str());
}

TEST(questionnaire, every_question_shows_an_example)
{
    std::string output;
    CHECK_TRUE(answer(session_input, output).has_value());
    std::istringstream lines(output);
    std::string line;
    while (std::getline(lines, line))
    {
        const bool is_question = !line.empty() && line.back() == '?';
        const bool has_example = static_cast<bool>(std::getline(lines, line)) &&
                                 line.find("for example ") != std::string::npos;
        CHECK_TRUE_TEXT(!is_question || has_example, line.c_str());
    }
}

TEST(questionnaire, an_input_that_ends_before_any_question_is_refused)
{
    // A question that does not detect the end of the input would be asked for ever.
    for (std::size_t length = 0; length < session_input.size(); ++length)
    {
        if (length > 0 && session_input[length - 1] != '\n')
        {
            continue;
        }
        std::string output;
        const auto given = answer(session_input.substr(0, length), output);
        CHECK_FALSE(given.has_value());
        STRCMP_CONTAINS("--answers", given.error().remedy.c_str());
    }
}
