/// Guards against a mistyped command line that runs another command or fails without a remedy.

#include <string>
#include <vector>

#include "run.hpp"

using namespace snipeplank::ctl;
using namespace snipeplank::ctl::tests;

TEST_GROUP(command_line){};

TEST(command_line, each_usage_error_has_status_2_and_a_remedy)
{
    struct row
    {
        std::vector<std::string> words;
        const char* expected;
    };
    const row rows[] = {
        {{}, "no command is given; run `snipeplankctl --help`"},
        {{"statsu"}, "unknown command statsu; run"},
        {{"status", "--nod", "127.0.0.1:1"}, "unknown flag --nod; run"},
        {{"status", "---node", "127.0.0.1:1"}, "unknown flag ---node; run"},
        {{"status", "--flagfile=x"}, "unknown flag --flagfile=x; run"},
        {{"status", "--node"}, "--node has no value; write --node VALUE"},
        {{"status", "--node="}, "--node has no value; write --node VALUE"},
        {{"status", "--json=maybe"}, "--json takes no value; write --json alone"},
        {{"status"}, "--node is not given; give the admin_address"},
        {{"status", "--node", "localhost:80"}, "is not IP:port; write IP:port"},
        {{"status", "127.0.0.1:80"}, "name the node with --node"},
        {{"status", "--node", "127.0.0.1:1", "--out", "d"}, "status takes no --out; run"},
        {{"drain"}, "--node is not given"},
        {{"drain", "--node", "127.0.0.1:1", "--json"}, "drain takes no --json; run"},
        {{"drain", "now", "--node", "127.0.0.1:1"}, "drain takes no argument now; name the node"},
        {{"explain"}, "explain takes one request id; copy"},
        {{"explain", "a", "b"}, "explain takes one request id; copy"},
        {{"explain", "abc"}, "\"abc\" is not a request id; copy"},
        {{"explain", "127.0.0.1:1-2-3", "--admin_port", "0"}, "is not IP:port"},
        {{"check"}, "no file to check; name"},
        {{"questionnaire"}, "takes --out"},
        {{"questionnaire", "--out", "d"}, "--answers is not given"},
        {{"questionnaire", "extra", "--out", "d"}, "no other argument; write"},
        {{"load"}, "no service is named; give --service NAME"},
        {{"load", "--service", "s", "--entry", "localhost:1"}, "is not IP:port"},
        {{"load", "--service", "s", "--entry", "127.0.0.1:1", "--callers", "0"}, "out of range"},
        {{"load", "--service", "s", "--entry", "127.0.0.1:1", "--seconds", "1s"}, "out of range"},
    };
    for (const row& each : rows)
    {
        const outcome result = run_ctl(each.words);
        LONGS_EQUAL_TEXT(exit_refused, result.status, each.expected);
        STRCMP_CONTAINS(each.expected, result.err.c_str());
        STRCMP_EQUAL("", result.out.c_str());
    }
}

TEST(command_line, help_names_every_command_and_the_first_steps)
{
    const outcome result = run_ctl({"--help"});
    LONGS_EQUAL(exit_ok, result.status);
    for (const char* word : {"questionnaire", "check", "status", "explain", "drain", "load",
                             "First steps", "Exit status", "Example"})
    {
        STRCMP_CONTAINS(word, result.out.c_str());
    }
}

TEST(command_line, help_of_one_command_has_an_example)
{
    for (const char* name : {"questionnaire", "check", "status", "explain", "drain"})
    {
        const outcome result = run_ctl({name, "--help"});
        LONGS_EQUAL(exit_ok, result.status);
        STRCMP_CONTAINS((std::string{"Example: snipeplankctl "} + name).c_str(),
                        result.out.c_str());
    }
}

TEST(command_line, flags_do_not_carry_over_to_the_next_command_line)
{
    fake_node node;
    node.answers["GET /v1/status"] = {200, R"({"ready": true})"};
    run_ctl({"status", "--node", "127.0.0.1:1", "--json"}, node.connector());
    LONGS_EQUAL(exit_refused, run_ctl({"status"}, node.connector()).status);
}
