/// Tests that no partial or repeated event is returned, however the received bytes are split.

#include <snipeplank/http/event_stream.hpp>

#include <CppUTest/TestHarness.h>

#include <property.hpp>

#include <algorithm>
#include <string>

using snipeplank::http::event_splitter;
using snipeplank::tests::check_property;

namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

} // namespace

TEST_GROUP(event_stream){};

TEST(event_stream, pieces_of_any_size_give_whole_events_in_order)
{
    check_property("pieces give whole events",
                   []
                   {
                       const int events = *rc::gen::inRange(1, 8);
                       std::string sent;
                       for (int id = 1; id <= events; ++id)
                       {
                           sent += event(id);
                       }
                       const std::string partial = *rc::gen::element<std::string>("", "id: 9", "d");
                       const std::string bytes = sent + partial;
                       event_splitter splitter;
                       std::string received;
                       for (std::size_t at = 0; at < bytes.size();)
                       {
                           const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
                           const std::string whole = splitter.feed(std::string_view(bytes).substr(
                               at, std::min(size, bytes.size() - at)));
                           RC_ASSERT(whole.empty() || whole.ends_with("\n\n"));
                           received += whole;
                           at += size;
                       }
                       RC_ASSERT(received == sent);
                       RC_ASSERT(splitter.last_event_id() == std::to_string(events));
                       RC_ASSERT(splitter.pending_size() == partial.size());
                   });
}

// Fails when the buffered bytes are searched again from their start with each piece, so that an
// event without end takes quadratic time.
TEST(event_stream, an_event_that_exceeds_the_limit_is_reported_at_once)
{
    event_splitter splitter;
    const std::string piece(4'096, 'a');
    STRCMP_EQUAL("id: 1\n\n", splitter.feed("id: 1\n\nid: 2\ndata: ").c_str());
    while (splitter.pending_size() <= event_splitter::max_event_bytes)
    {
        CHECK_FALSE(splitter.is_too_large());
        STRCMP_EQUAL("", splitter.feed(piece).c_str());
    }
    CHECK_TRUE(splitter.is_too_large());
    STRCMP_EQUAL("1", splitter.last_event_id().c_str());
    splitter.begin_resume();
    CHECK_FALSE(splitter.is_too_large());
    STRCMP_EQUAL("id: 2\n\n", splitter.feed("id: 2\n\n").c_str());
}

TEST(event_stream, the_done_event_is_recognized)
{
    struct row
    {
        const char* bytes;
        bool is_done;
    };
    const row rows[] = {
        {"data: [DONE]\n\n", true},    {"data:[DONE]\r\n\r\n", true}, {"data: [DONE]", false},
        {"data: x [DONE]\n\n", false}, {"event: [DONE]\n\n", false},
    };
    for (const row& each : rows)
    {
        event_splitter splitter;
        splitter.feed(each.bytes);
        CHECK_EQUAL_TEXT(each.is_done, splitter.is_done(), each.bytes);
    }
}

TEST(event_stream, events_of_a_resumed_stream_that_starts_over_are_dropped)
{
    event_splitter splitter;
    splitter.feed(event(1) + event(2) + "id: 3");
    splitter.begin_resume();
    STRCMP_EQUAL("", splitter.feed(event(1) + event(2)).c_str());
    CHECK_TRUE(splitter.starts_over());
}

TEST(event_stream, a_resumed_stream_continues_without_the_partial_event)
{
    event_splitter splitter;
    splitter.feed(event(1) + "id: 2\nda");
    splitter.begin_resume();
    STRCMP_EQUAL(event(2).c_str(), splitter.feed(event(2)).c_str());
    CHECK_FALSE(splitter.starts_over());
}

// Fails when the id of an event takes in what follows a carriage return, which ends a line too.
TEST(event_stream, an_id_ends_with_its_line)
{
    for (const char* bytes : {"id: 5\ndata: x\n\n", "id: 5\r\ndata: x\r\n\r\n",
                              "id: 5\rdata: x\n\n", "data: x\rid: 5\rX: y\n\n", "id:5\n\n"})
    {
        event_splitter splitter;
        splitter.feed(bytes);
        STRCMP_EQUAL_TEXT("5", splitter.last_event_id().c_str(), bytes);
    }
}
