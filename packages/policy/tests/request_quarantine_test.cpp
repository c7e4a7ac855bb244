/// Whole requests under which upstreams crash.

#include <snipeplank/core/random.hpp>
#include <snipeplank/policy/crash_quarantine.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "prompt_histories.hpp"
#include "property.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using snipeplank::policy::tests::at_ms;

namespace
{

const request_part_key fatal{1'000};
const request_part_key sound{2'000};
const request_part_key shared{1};

/// @param upstream 0 for an answer
struct event
{
    std::uint64_t upstream;
    long sent_ms;
    long ms;
};

crash_report crash(request_part_key request, const event& one)
{
    return {request, upstream_run_key{one.upstream}, at_ms(one.sent_ms), at_ms(one.ms),
            whole_request_position};
}

void record(crash_quarantine& subject, request_part_key request, const event& one)
{
    if (one.upstream == 0)
        subject.add_to_known({request, at_ms(one.ms)}, at_ms(one.ms));
    else
        subject.add(crash(request, one), at_ms(one.ms));
}

long left_ms(const crash_quarantine& subject, const std::vector<request_part_key>& parts, long ms,
             std::size_t forgiven_crashes = 0)
{
    const auto left = subject.time_left(parts, at_ms(ms), forgiven_crashes);
    return left ? left->count() : 0;
}

} // namespace

TEST_GROUP(request_quarantine){};

// Fails when a request is held back for too short or too long after its crashes.
TEST(request_quarantine, each_successive_crash_holds_a_request_back_for_longer)
{
    struct row
    {
        const char* what;
        std::vector<event> events;
        long at_ms;
        std::size_t forgiven_crashes;
        long left_ms;
    };
    const std::vector<event> three{{1, 0, 100}, {2, 110, 200}, {3, 40'000, 40'100}};
    const row rows[] = {
        {"no crash", {}, 100, 0, 0},
        {"one crash", {{1, 0, 100}}, 200, 0, 900},
        {"one crash, later", {{1, 0, 100}}, 1'100, 0, 0},
        {"one crash, in the call that saw it", {{1, 0, 100}}, 110, 1, 0},
        {"two crashes", {{1, 0, 100}, {2, 110, 200}}, 300, 0, 29'900},
        {"two crashes, in the call that saw one", {{1, 0, 100}, {2, 110, 200}}, 300, 1, 29'900},
        {"two crashes, later", {{1, 0, 100}, {2, 110, 200}}, 30'200, 0, 0},
        {"two crashes at one moment", {{1, 0, 100}, {2, 10, 100}}, 300, 0, 800},
        {"two crashes at one moment and a later one",
         {{1, 0, 100}, {2, 10, 100}, {3, 1'200, 1'300}},
         1'400,
         0,
         599'900},
        {"two reports of one crash", {{1, 0, 100}, {1, 0, 150}}, 300, 0, 800},
        {"three crashes", three, 40'200, 0, 599'900},
        {"three crashes, in the call that saw one", three, 40'200, 1, 599'900},
        {"three crashes, too old", three, 640'100, 0, 0},
        {"an answer after one crash", {{1, 0, 100}, {0, 0, 150}}, 200, 0, 0},
        {"a crash after an answer", {{1, 0, 100}, {0, 0, 150}, {2, 160, 200}}, 300, 0, 900},
    };
    for (const row& each : rows)
    {
        crash_quarantine subject;
        for (const event& one : each.events)
        {
            record(subject, fatal, one);
        }
        LONGS_EQUAL_TEXT(each.left_ms, left_ms(subject, {fatal}, each.at_ms, each.forgiven_crashes),
                         each.what);
    }
}

// Fails when a request that ran beside a fatal one each time is held back for long before it is
// known which of them is fatal, or at all afterwards.
TEST(request_quarantine, a_request_that_was_lost_with_a_fatal_one_is_released)
{
    crash_quarantine subject;
    const std::vector<event> together{{1, 0, 100}, {2, 110, 200}};
    for (const event& one : together)
    {
        record(subject, fatal, one);
        record(subject, sound, one);
    }
    LONGS_EQUAL(900, left_ms(subject, {sound}, 300));
    LONGS_EQUAL(900, left_ms(subject, {fatal}, 300));
    LONGS_EQUAL(0, left_ms(subject, {sound}, 1'200));
    record(subject, fatal, {3, 5'000, 5'100});
    LONGS_EQUAL(0, left_ms(subject, {sound}, 5'200));
    LONGS_EQUAL(599'900, left_ms(subject, {fatal}, 5'200));
}

// Fails when a fatal request is sent to find out whether one that ran beside it is the fatal one.
TEST(request_quarantine, a_request_with_crashes_of_its_own_is_not_sent_as_a_test)
{
    crash_quarantine subject;
    for (std::uint64_t i = 1; i <= 4; ++i)
    {
        const long ms = static_cast<long>(i) * 2'000;
        record(subject, fatal, {i, ms - 50, ms});
        if (i < 4)
            record(subject, sound, {i, ms - 50, ms});
    }
    CHECK_TRUE(left_ms(subject, {fatal}, 8'100) > 0);
    LONGS_EQUAL(0, left_ms(subject, {sound}, 8'100));
}

// Fails when the crashes of a fatal part of a prompt are put down to the requests that had it, or
// the other way round.
TEST(request_quarantine, a_part_with_crashes_of_several_requests_is_suspected_before_them)
{
    crash_quarantine subject;
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        const long ms = static_cast<long>(i) * 2'000;
        subject.add({shared, upstream_run_key{i}, at_ms(ms - 50), at_ms(ms), 0}, at_ms(ms));
        record(subject, request_part_key{2'000 + i}, {i, ms - 50, ms});
    }
    CHECK_TRUE(left_ms(subject, {shared, request_part_key{3'000}}, 7'100) > 0);
    LONGS_EQUAL(0, left_ms(subject, {request_part_key{2'001}}, 7'100));

    crash_quarantine other;
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        const long ms = static_cast<long>(i) * 2'000;
        other.add({shared, upstream_run_key{i}, at_ms(ms - 50), at_ms(ms), 0}, at_ms(ms));
        record(other, fatal, {i, ms - 50, ms});
    }
    LONGS_EQUAL(0, left_ms(other, {shared, request_part_key{3'000}}, 7'100));
    CHECK_TRUE(left_ms(other, {shared, fatal}, 7'100) > 0);
}

// Fails when answers to requests that nobody suspects fill the memory.
TEST(request_quarantine, an_answer_to_an_unknown_request_is_not_kept)
{
    crash_quarantine subject;
    subject.add_to_known({sound, at_ms(100)}, at_ms(100));
    record(subject, sound, {1, 0, 50});
    CHECK_TRUE(left_ms(subject, {sound}, 120) > 0);
}

namespace
{

/// Nodes that send requests to a few servers, which are started again some time after a crash, and
/// tell each other of crashes in messages that arrive late.
class request_fleet
{
  public:
    explicit request_fleet(core::random_source& random)
        : m_random(random), m_max_delay_ms(between(5, 400)), m_max_run_ms(between(20, 150)),
          m_restart_ms(between(500, 4'000)), m_tables(static_cast<std::size_t>(between(1, 12))),
          m_started_ms(m_tables.size(), -in_touch_ms),
          m_up_from_ms(static_cast<std::size_t>(between(2, 6)), 0)
    {
        at(exchange_ms, [this] { exchange(); });
    }

    long between(long low, long high)
    {
        return low + static_cast<long>(m_random.below(static_cast<std::uint64_t>(high - low + 1)));
    }

    std::size_t any_node() { return static_cast<std::size_t>(m_random.below(m_tables.size())); }
    long now_ms() const { return m_now_ms; }
    const std::vector<long>& crashes() const { return m_crashes; }
    int sent_late() const { return m_sent_late; }

    void run_until(long ms)
    {
        while (!m_events.empty() && m_events.begin()->first <= ms)
        {
            const auto next = m_events.extract(m_events.begin());
            m_now_ms = next.key();
            next.mapped()();
        }
        m_now_ms = ms;
    }

    /// The node ends and starts again without any memory.
    void restart(std::size_t node)
    {
        m_tables[node] = crash_quarantine();
        m_started_ms[node] = m_now_ms;
    }

    /// Sends the fatal request, and once more when its server crashes, as a call with two attempts
    /// does; another node may see the crash, as for a call to another region.
    void call(std::size_t node, bool is_retry = false)
    {
        const std::size_t forgiven = is_retry ? 1 : 0;
        if (m_tables[node].time_left(std::vector{fatal}, at_ms(m_now_ms), forgiven))
            return;
        const auto server = static_cast<std::size_t>(m_random.below(m_up_from_ms.size()));
        if (m_up_from_ms[server] > m_now_ms)
            return;
        count_late(node);
        const bool may_retry =
            !is_retry && !m_tables[node].is_suspect(std::vector{fatal}, at_ms(m_now_ms));
        const std::size_t witness = between(0, 1) == 0 ? node : any_node();
        const long sent_ms = m_now_ms;
        at(between(1, m_max_run_ms), [=, this] { crash_server(server, witness, sent_ms); });
        if (may_retry)
            at(m_max_run_ms + 1, [=, this] { call(node, true); });
    }

  private:
    static constexpr long exchange_ms = 300;
    static constexpr long in_touch_ms = 6'000;

    void at(long delay_ms, std::function<void()> action)
    {
        m_events.emplace(m_now_ms + delay_ms, std::move(action));
    }

    void count_late(std::size_t node)
    {
        const bool is_in_touch = m_now_ms - m_started_ms[node] >= in_touch_ms;
        if (is_in_touch && m_crashes.size() >= 3 && m_now_ms > m_crashes[2] + in_touch_ms)
            ++m_sent_late;
    }

    /// A server that is down already has ended under another request.
    void crash_server(std::size_t server, std::size_t witness, long sent_ms)
    {
        if (m_up_from_ms[server] > m_now_ms)
            return;
        m_up_from_ms[server] = m_now_ms + m_restart_ms;
        m_crashes.push_back(m_now_ms);
        const std::uint64_t run = 100 + m_crashes.size();
        m_tables[witness].add(crash(fatal, {run, sent_ms, m_now_ms}), at_ms(m_now_ms));
        for (std::size_t to = 0; to < m_tables.size(); ++to)
        {
            tell(witness, to);
        }
    }

    void exchange()
    {
        constexpr int fanout = 3;
        for (std::size_t from = 0; from < m_tables.size(); ++from)
        {
            for (int i = 0; i < fanout; ++i)
            {
                tell(from, any_node());
            }
        }
        at(exchange_ms, [this] { exchange(); });
    }

    void tell(std::size_t from, std::size_t to)
    {
        constexpr std::size_t max_items = 20;
        const long delay_ms = between(1, m_max_delay_ms);
        crash_evidence known = m_tables[from].evidence(max_items, at_ms(m_now_ms));
        for (crash_report& each : known.crashes)
        {
            each.sent += core::milliseconds{delay_ms};
            each.at += core::milliseconds{delay_ms};
        }
        at(delay_ms, [=, this] { m_tables[to].merge(known, at_ms(m_now_ms)); });
    }

    core::random_source& m_random;
    long m_now_ms = 0;
    long m_max_delay_ms;
    long m_max_run_ms;
    long m_restart_ms;
    std::vector<crash_quarantine> m_tables;
    std::vector<long> m_started_ms;
    std::vector<long> m_up_from_ms; ///< of each server
    std::multimap<long, std::function<void()>> m_events;
    std::vector<long> m_crashes;
    int m_sent_late = 0;
};

} // namespace

// Fails when a request that comes again at any node, beside nodes that start without memory,
// reaches servers more than three times later than the contact time after its third crash (BUDGET).
TEST(request_quarantine, all_nodes_stop_a_fatal_request_in_time)
{
    snipeplank::tests::check_property(
        "at most 3 requests 6 s after the third crash",
        []
        {
            constexpr long run_ms = 100'000;
            constexpr int allowed_late = 3;
            core::seeded_random random(
                *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1'000'000'000)));
            request_fleet fleet(random);
            const long max_pause_ms = fleet.between(20, 2'000);
            const long restart_percent = fleet.between(0, 5);
            while (fleet.now_ms() < run_ms)
            {
                fleet.run_until(fleet.now_ms() + fleet.between(1, max_pause_ms));
                fleet.call(fleet.any_node());
                if (fleet.between(1, 100) <= restart_percent)
                    fleet.restart(fleet.any_node());
            }
            RC_ASSERT(fleet.sent_late() <= allowed_late);
        });
}
