/// Guards against commands that ask the wrong node or misreport its answer.

#include <httplib.h>

#include <string>
#include <thread>

#include "run.hpp"

using namespace snipeplank;
using namespace snipeplank::ctl;
using namespace snipeplank::ctl::tests;

namespace
{

const std::string status_body =
    R"({"ready":true,"config":{"version":7},"members":[{"address":"127.0.0.1:1","state":"live"}],)"
    R"("text":"a\u001b[2Jb","empty":[],"none":null})";

} // namespace

TEST_GROUP(node_commands){};

TEST(node_commands, status_prints_each_value_on_a_line)
{
    fake_node node;
    node.answers["GET /v1/status"] = {200, status_body};
    const outcome result = run_ctl({"status", "--node", "127.0.0.1:9"}, node.connector());
    LONGS_EQUAL(exit_ok, result.status);
    STRCMP_EQUAL("127.0.0.1:9 GET /v1/status", node.received.at(0).c_str());
    STRCMP_EQUAL("ready: true\nconfig:\n  version: 7\nmembers:\n  -\n    address: 127.0.0.1:1\n"
                 "    state: live\ntext: \"a\\u001b[2Jb\"\nempty: []\nnone: null\n",
                 result.out.c_str());
}

TEST(node_commands, status_with_json_prints_the_body_unchanged)
{
    fake_node node;
    node.answers["GET /v1/status"] = {200, status_body};
    const outcome result = run_ctl({"status", "--node=127.0.0.1:9", "--json"}, node.connector());
    LONGS_EQUAL(exit_ok, result.status);
    STRCMP_EQUAL((status_body + "\n").c_str(), result.out.c_str());
}

TEST(node_commands, an_invalid_answer_is_reported_with_a_remedy)
{
    const admin_answer rows[] = {
        {200, ""},          {200, "<html>"},    {200, "[1]"}, {200, R"({"a":)"},
        {404, "not found"}, {500, status_body}, {301, ""},    {200, "\"\xff\""},
    };
    for (const admin_answer& each : rows)
    {
        fake_node node;
        node.answers["GET /v1/status"] = each;
        const outcome result = run_ctl({"status", "--node", "127.0.0.1:9"}, node.connector());
        LONGS_EQUAL_TEXT(exit_failed, result.status, each.body.c_str());
        STRCMP_CONTAINS("check that --node names the admin_address", result.err.c_str());
    }
}

TEST(node_commands, deep_json_does_not_overflow_the_stack)
{
    fake_node node;
    constexpr int depth = 200'000;
    std::string body = "{}";
    std::string opening;
    for (int i = 0; i < depth; ++i)
    {
        opening += "{\"a\":";
    }
    node.answers["GET /v1/status"] = {200, opening + body + std::string(depth, '}')};
    const outcome result = run_ctl({"status", "--node", "127.0.0.1:9"}, node.connector());
    LONGS_EQUAL(exit_failed, result.status);
    STRCMP_CONTAINS("is not a JSON object", result.err.c_str());
}

TEST(node_commands, explain_asks_the_node_in_the_request_id_unless_overridden)
{
    struct row
    {
        std::vector<std::string> words;
        const char* received;
    };
    const row rows[] = {
        {{"explain", "127.0.0.1:9-18446744073709551615-3"},
         "127.0.0.1:9 GET /v1/explain/127.0.0.1:9-18446744073709551615-3"},
        {{"explain", "127.0.0.1:9-00ff-3", "--admin_port", "10"},
         "127.0.0.1:10 GET /v1/explain/127.0.0.1:9-00ff-3"},
        {{"explain", "--node", "127.0.0.2:7", "127.0.0.1:9-2-3"},
         "127.0.0.2:7 GET /v1/explain/127.0.0.1:9-2-3"},
        {{"explain", "[::1]:9-2-3", "--admin_port=8"}, "[::1]:8 GET /v1/explain/%5B::1%5D:9-2-3"},
    };
    for (const row& each : rows)
    {
        fake_node node;
        const outcome result = run_ctl(each.words, node.connector());
        LONGS_EQUAL(exit_failed, result.status);
        STRCMP_EQUAL(each.received, node.received.at(0).c_str());
    }
}

TEST(node_commands, malformed_request_ids_are_refused_before_any_call)
{
    // The id is inserted into a URL, so malformed input could alter the request.
    for (const char* id : {"127.0.0.1:9", "127.0.0.1:9-1", "127.0.0.1:9--1", "127.0.0.1:9-1-",
                           "-1-2", "127.0.0.1:9-1-2/../x", "127.0.0.1:9-1-2 HTTP/1.1", "host:9-1-2",
                           "127.0.0.1:9-1-2\r\nX: y", "127.0.0.1:9-G-2", "--"})
    {
        fake_node node;
        const outcome result = run_ctl({"explain", "--", id}, node.connector());
        LONGS_EQUAL_TEXT(exit_refused, result.status, id);
        LONGS_EQUAL(0, node.received.size());
    }
}

TEST(node_commands, explain_reports_a_missing_record)
{
    fake_node node;
    node.answers["GET /v1/explain/127.0.0.1:9-1-2"] = {404, "{}"};
    const outcome result = run_ctl({"explain", "127.0.0.1:9-1-2"}, node.connector());
    LONGS_EQUAL(exit_failed, result.status);
    STRCMP_CONTAINS("has no record of this request", result.err.c_str());
}

TEST(node_commands, drain_sends_one_post)
{
    fake_node node;
    node.answers["POST /v1/drain"] = {202, ""};
    const outcome result = run_ctl({"drain", "--node", "127.0.0.1:9"}, node.connector());
    LONGS_EQUAL(exit_ok, result.status);
    LONGS_EQUAL(1, node.received.size());
    STRCMP_CONTAINS("is draining", result.out.c_str());
}

TEST(node_commands, drain_does_not_claim_success_without_an_answer)
{
    fake_node node;
    const outcome result = run_ctl({"drain", "--node", "127.0.0.1:9"}, node.connector());
    LONGS_EQUAL(exit_failed, result.status);
    STRCMP_EQUAL("", result.out.c_str());
}

TEST(node_commands, commands_work_over_a_real_connection)
{
    httplib::Server server;
    int drains = 0;
    server.Get("/v1/status", [](const httplib::Request&, httplib::Response& answer)
               { answer.set_content(R"({"ready":true})", "application/json"); });
    server.Get(R"(/v1/explain/(.+))",
               [](const httplib::Request& request, httplib::Response& answer) {
                   answer.set_content("{\"id\":\"" + request.matches[1].str() + "\"}", "text/json");
               });
    server.Post("/v1/drain",
                [&drains](const httplib::Request&, httplib::Response& answer)
                {
                    ++drains;
                    answer.status = 202;
                });
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread listener([&server] { server.listen_after_bind(); });
    const std::string node = "127.0.0.1:" + std::to_string(port);

    const outcome status = run_ctl({"status", "--node", node}, connect_over_http);
    const outcome explain = run_ctl({"explain", "[::1]:9-1-2", "--node", node}, connect_over_http);
    const outcome drain = run_ctl({"drain", "--node", node}, connect_over_http);
    server.stop();
    listener.join();
    const outcome stopped = run_ctl({"status", "--node", node}, connect_over_http);

    STRCMP_EQUAL("ready: true\n", status.out.c_str());
    STRCMP_EQUAL("id: [::1]:9-1-2\n", explain.out.c_str());
    LONGS_EQUAL(exit_ok, drain.status);
    LONGS_EQUAL(1, drains);
    LONGS_EQUAL(exit_failed, stopped.status);
    STRCMP_CONTAINS("check that the node runs", stopped.err.c_str());
}
