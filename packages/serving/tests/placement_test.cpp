/// Tests the choice of a target under the load patterns that placement handles.

#include <snipeplank/core/hash.hpp>
#include <snipeplank/serving/placement.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>
#include <set>

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace std::chrono_literals;

namespace
{

const core::time_point begin = core::time_point{} + 1h;
const core::region_id here{"salzkammer"};
const core::region_id there{"ennstal"};
const core::service_id model{"model"};
const core::service_id booking{"booking"};

upstream make_upstream(const std::string& name, const core::service_id& service)
{
    upstream made;
    made.id = upstream_id{name};
    made.service = service;
    made.address = core::address{"10.0.0.1:" + std::to_string(core::hash64(name) % 60'000)};
    made.zone = core::zone_id{"salzkammer-a"};
    made.region = here;
    made.slots = 6;
    return made;
}

upstream_map make_upstreams(std::size_t count, const core::service_id& service)
{
    upstream_map all;
    for (std::size_t i = 0; i < count; ++i)
    {
        const upstream made = make_upstream("i-" + std::to_string(i), service);
        all[made.id] = made;
    }
    return all;
}

std::shared_ptr<const routing_table> make_table()
{
    auto table = std::make_shared<routing_table>();
    service engine;
    engine.name = model;
    engine.warmup = 3s;
    engine.warmup_rate = 4.7;
    engine.engine = engine_size{64, 444'000};
    table->services[model] = engine;
    service plain;
    plain.name = booking;
    table->services[booking] = plain;
    return table;
}

} // namespace

TEST_GROUP(placement)
{
    core::seeded_random random{1};
    std::unique_ptr<placement> subject;
    route chosen;
    caller_request caller;

    void setup() override
    {
        subject =
            std::make_unique<placement>(here, placement_bounds{{0.2, 50, 10s}, 1.5, 3}, random);
        subject->set_table(make_table());
        subject->set_upstreams(make_upstreams(4, model), begin);
        share_among(1, 1, 1);
        chosen.kind = request_kind::streaming;
        caller.prompt_tokens = 1'000;
        caller.max_output_tokens = 100;
    }

    void teardown() override
    {
        subject.reset();
    }

    void share_among(std::size_t in_region, std::size_t in_fleet, std::size_t known_in_region)
    {
        sharing_nodes nodes;
        nodes.region = policy::node_share{in_region};
        nodes.fleet = policy::node_share{in_fleet};
        nodes.known_in_region = known_in_region;
        nodes.self = core::address{"10.0.1.1:7"};
        nodes.senders = {nodes.self};
        subject->set_sharing_nodes(nodes, begin);
    }

    placement_request ask(const core::service_id& service = model) const
    {
        placement_request request;
        request.chosen = &chosen;
        request.service = service;
        request.caller = &caller;
        request.remaining = 8s;
        request.homes = home_regions(chosen, nullptr);
        return request;
    }

    upstream_id decide_upstream(core::time_point now = begin)
    {
        const placement_decision decided = subject->decide(ask(), now);
        const auto* local = std::get_if<to_upstream>(&decided);
        return local == nullptr ? upstream_id{} : local->target.id;
    }

    /// Asks for a connection that is open for longer than any warm-up takes.
    admission admit(const upstream_id& target, core::time_point now)
    {
        policy::connection_record over{begin - 1min, std::nullopt};
        return subject->admit(target, over, now);
    }

    void load_region(double running, double waiting, bool reachable = true)
    {
        remote_region known;
        known.services[model] = {4, running, waiting};
        known.last_received = begin;
        known.is_reachable = reachable;
        subject->set_region(there, known);
    }

    void fill(int requests)
    {
        for (int i = 0; i < requests; ++i)
        {
            subject->on_sent(ask(), decide_upstream(), begin);
        }
    }
};

// Fails when an upstream that takes no new requests is given one.
TEST(placement, leaving_and_evacuated_upstreams_get_nothing)
{
    upstream_map upstreams = make_upstreams(2, model);
    upstreams[upstream_id{"i-0"}].is_leaving = true;
    subject->set_upstreams(upstreams, begin);
    for (int i = 0; i < 20; ++i)
    {
        CHECK_TRUE(upstream_id{"i-1"} == decide_upstream());
    }
    CHECK_TRUE(admission::out_of_service == admit(upstream_id{"i-0"}, begin));
    subject->set_evacuations({core::zone_id{"salzkammer-a"}}, begin);
    CHECK_TRUE(std::holds_alternative<policy::refusal>(subject->decide(ask(), begin)));
    CHECK_TRUE(admission::out_of_service == admit(upstream_id{"i-1"}, begin));
}

// Fails when an upstream gets what it does not take by its own word: from decisions that were made
// before it said so, or after its entry is published anew.
TEST(placement, what_an_upstream_says_binds_until_its_next_run)
{
    const upstream_id limited{"i-0"};
    const upstream_id leaving{"i-1"};
    const upstream_id quiet{"i-2"};
    const upstream_map published = make_upstreams(4, model);
    for (const auto& [id, info] : published)
    {
        CHECK_TRUE(admission::granted == admit(id, begin));
    }
    subject->on_statement(limited, {false, std::nullopt, 1}, begin);
    subject->on_statement(leaving, {true, std::nullopt, std::nullopt}, begin);
    subject->on_statement(quiet, {false, 3s, std::nullopt}, begin);
    subject->set_upstreams({}, begin);
    subject->set_upstreams(published, begin + 1s);
    for (int i = 0; i < 20; ++i)
    {
        CHECK_TRUE(upstream_id{"i-3"} == decide_upstream(begin + 1s));
    }
    CHECK_TRUE(admission::throttled == admit(limited, begin + 1s));
    CHECK_TRUE(admission::granted == admit(limited, begin + 2s));
    CHECK_TRUE(admission::throttled == admit(limited, begin + 2s));
    CHECK_TRUE(admission::throttled == admit(quiet, begin + 2s));
    CHECK_TRUE(admission::granted == admit(quiet, begin + 3s));
    CHECK_TRUE(admission::out_of_service == admit(leaving, begin + 60s));
    upstream_map restarted = published;
    restarted[leaving].started_ms = 1;
    subject->set_upstreams(restarted, begin + 60s);
    CHECK_TRUE(admission::granted == admit(leaving, begin + 60s));
}

// Fails when a request that no upstream takes now is not refused at once, with a time at which one
// does.
TEST(placement, a_throttled_service_refuses_with_the_time_of_its_next_request)
{
    const upstream_map published = make_upstreams(2, model);
    subject->set_upstreams(published, begin);
    for (const auto& [id, info] : published)
    {
        subject->on_statement(id, {false, 2s, std::nullopt}, begin);
    }
    const placement_decision decided = subject->decide(ask(), begin);
    const auto* refused = std::get_if<policy::refusal>(&decided);
    CHECK_TRUE(refused != nullptr);
    CHECK_TRUE(policy::refusal_reason::upstream_throttled == refused->reason);
    // Callers wait for a third of their time at most, and do not come back all at once.
    CHECK_TRUE(refused->retry_after >= 1'300ms && refused->retry_after <= 2'700ms);
    CHECK_TRUE(subject->describe(ask(), begin).find("throttled=2 ") != std::string::npos);
    load_region(0, 0);
    CHECK_TRUE(std::holds_alternative<to_region>(subject->decide(ask(), begin)));
}

// Fails when the log line of a refusal does not show why no upstream or region was chosen.
TEST(placement, a_refusal_can_be_explained)
{
    upstream_map upstreams = make_upstreams(4, model);
    upstreams[upstream_id{"i-0"}].is_leaving = true;
    upstreams[upstream_id{"i-1"}].cold_for = core::milliseconds{9'000};
    subject->set_upstreams(upstreams, begin);
    load_region(0, 0);
    const std::string text = subject->describe(ask(), begin);
    for (const char* part : {"good=2 ", "leaving=1 ", "cold=1 ", "=good "})
    {
        CHECK_TRUE_TEXT(text.find(part) != std::string::npos, text.c_str());
    }
    subject->set_evacuations({core::zone_id{"salzkammer-a"}}, begin);
    CHECK_TRUE(subject->describe(ask(), begin).find("evacuated=3 ") != std::string::npos);
}

// Fails when an upstream that was removed, and whose address may belong to another one by now,
// passes the check before sending.
TEST(placement, a_removed_upstream_gets_no_request)
{
    CHECK_TRUE(admission::granted == admit(upstream_id{"i-0"}, begin));
    subject->set_upstreams({}, begin);
    CHECK_TRUE(admission::out_of_service == admit(upstream_id{"i-0"}, begin));
}

// Fails when a burst queues in its region while another region is idle.
TEST(placement, a_burst_spills_to_an_idle_region)
{
    load_region(0, 0);
    CHECK_TRUE(std::holds_alternative<to_upstream>(subject->decide(ask(), begin)));
    fill(600);
    CHECK_TRUE(std::holds_alternative<to_region>(subject->decide(ask(), begin)));
}

// Fails when bound data, or a call that was already forwarded, leaves the region.
TEST(placement, bound_and_forwarded_calls_stay_in_the_region)
{
    load_region(0, 0);
    fill(600);
    placement_request forwarded = ask();
    forwarded.may_leave_region = false;
    CHECK_FALSE(std::holds_alternative<to_region>(subject->decide(forwarded, begin)));
    chosen.allowed_regions = {here};
    CHECK_FALSE(std::holds_alternative<to_region>(subject->decide(ask(), begin)));
}

// Fails when data bound to another region is served here.
TEST(placement, a_call_bound_to_a_remote_region_is_sent_there)
{
    load_region(0, 0);
    chosen.allowed_regions = {there};
    CHECK_TRUE(std::holds_alternative<to_region>(subject->decide(ask(), begin)));
    load_region(0, 0, false);
    CHECK_TRUE(std::holds_alternative<policy::refusal>(subject->decide(ask(), begin)));
}

// Fails when a request that cannot meet its deadline is queued instead of refused.
TEST(placement, overload_is_refused_at_once_with_a_bounded_retry_after)
{
    fill(3'000);
    placement_request late = ask();
    late.remaining = 600ms;
    const placement_decision decided = subject->decide(late, begin);
    const auto* refused = std::get_if<policy::refusal>(&decided);
    CHECK_TRUE(refused != nullptr);
    CHECK_TRUE(policy::execution::no == refused->executed);
    CHECK_TRUE(refused->retry_after >= 100ms);
    CHECK_TRUE(refused->retry_after <= 200ms);
}

// Fails when the nodes together may send a cold upstream more than its warm-up rate.
TEST(placement, a_cold_upstream_gets_a_share_of_its_warmup_rate)
{
    upstream_map upstreams = make_upstreams(1, model);
    upstreams.begin()->second.cold_for = 3s;
    subject->set_upstreams(upstreams, begin);
    share_among(4, 7, 3);
    int sent = 0;
    while (!decide_upstream().get().empty())
    {
        const upstream_id target = decide_upstream();
        subject->on_sent(ask(), target, begin);
        CHECK_TRUE(admission::granted == admit(target, begin));
        ++sent;
    }
    LONGS_EQUAL(2, sent);
    CHECK_FALSE(decide_upstream(begin + 1200ms).get().empty());
}

// Fails when upstreams are treated as warm right after the evacuation of their zone ends.
TEST(placement, upstreams_are_cold_after_an_evacuation)
{
    share_among(11, 20, 2);
    subject->set_evacuations({core::zone_id{"salzkammer-a"}}, begin);
    subject->set_evacuations({}, begin + 1s);
    CHECK_TRUE(decide_upstream(begin + 2s).get().empty());
    CHECK_TRUE(decide_upstream(begin + 4s).get().empty());
    CHECK_FALSE(decide_upstream(begin + 5s).get().empty());
    // An entry that appears only after the end of the evacuation says nothing of it.
    subject->set_upstreams({}, begin + 5s);
    subject->set_evacuations({core::zone_id{"salzkammer-a"}}, begin + 6s);
    subject->set_evacuations({}, begin + 7s);
    subject->set_upstreams(make_upstreams(1, model), begin + 8s);
    CHECK_TRUE(decide_upstream(begin + 10s).get().empty());
    CHECK_FALSE(decide_upstream(begin + 11s).get().empty());
}

// Fails when requests that were chosen while an upstream was warm reach it after the node knows
// that it is cold (incident FAILBACK): their connections took a moment to open.
TEST(placement, a_request_chosen_while_warm_is_counted_when_it_is_sent)
{
    upstream_map upstreams = make_upstreams(1, model);
    subject->set_upstreams(upstreams, begin);
    share_among(4, 7, 3);
    const upstream_id target = decide_upstream();
    fill(20);
    upstreams.begin()->second.cold_for = 3s;
    upstreams.begin()->second.report_number = 2;
    subject->set_upstreams(upstreams, begin + 150ms);
    int sent = 0;
    for (int i = 0; i < 20; ++i)
    {
        sent += admit(target, begin + 400ms) == admission::granted ? 1 : 0;
    }
    LONGS_EQUAL(2, sent);
}

// Fails when an upstream that becomes cold again counts as warm because its report names the same
// time as an earlier one (incident FAILBACK), or when a report that is told twice counts twice.
TEST(placement, each_report_of_a_warm_up_counts_once)
{
    struct row
    {
        const char* name;
        std::uint64_t report;
        std::uint64_t started_ms;
        bool is_cold;
    };
    for (const row& each :
         {row{"the same report", 1, 1'000, false}, row{"a later report", 2, 1'000, true},
          row{"the first report of another run", 1, 2'000, true}})
    {
        setup();
        upstream_map upstreams = make_upstreams(1, model);
        upstream& only = upstreams.begin()->second;
        only.cold_for = 3s;
        only.report_number = 1;
        only.started_ms = 1'000;
        subject->set_upstreams(upstreams, begin);
        share_among(20, 40, 3);
        CHECK_TRUE(decide_upstream(begin + 3s).get().empty());
        CHECK_FALSE(decide_upstream(begin + 4s).get().empty());
        only.report_number = each.report;
        only.started_ms = each.started_ms;
        subject->set_upstreams(upstreams, begin + 10s);
        CHECK_EQUAL_TEXT(each.is_cold, decide_upstream(begin + 11s).get().empty(), each.name);
    }
}

// Fails when an upstream says in an answer that it is cold and is used as if it were warm, or when
// a time that no upstream of its service can need keeps it out of use.
TEST(placement, an_upstream_that_says_it_is_cold_is_treated_so)
{
    subject->set_upstreams(make_upstreams(1, model), begin);
    share_among(20, 40, 3);
    policy::upstream_statement said;
    said.cold_for = 86'400s;
    subject->on_statement(upstream_id{"i-0"}, said, begin);
    CHECK_TRUE(admission::cold == admit(upstream_id{"i-0"}, begin + 3s));
    CHECK_TRUE(admission::granted == admit(upstream_id{"i-0"}, begin + 4s));
}

// Fails when an upstream that was found closed, or has crashed, is used as if it were warm once it
// accepts connections again, although its entry says nothing yet (incident FAILBACK).
TEST(placement, an_upstream_that_comes_back_is_cold_until_it_is_warm)
{
    const upstream_id only{"i-0"};
    for (const bool has_crashed : {false, true})
    {
        setup();
        upstream_map upstreams = make_upstreams(1, model);
        subject->set_upstreams(upstreams, begin);
        share_among(20, 40, 3);
        const std::uint64_t attempt = subject->on_sent(ask(), only, begin);
        subject->on_ended(attempt, has_crashed ? attempt_end::failed : attempt_end::closed, begin);
        if (has_crashed)
            subject->on_crashed(only);
        CHECK_TRUE(admission::cold == admit(only, begin + 5s));
        CHECK_TRUE(decide_upstream(begin + 8s).get().empty());
        CHECK_TRUE(admission::granted == admit(only, begin + 9s));
        upstreams.begin()->second.started_ms = 2'000;
        subject->on_crashed(only);
        subject->set_upstreams(upstreams, begin + 10s);
        CHECK_TRUE(admission::granted == admit(only, begin + 10s));
    }
}

// Fails when a node that is slow itself, or cut off from upstreams, takes them for restarted ones
// and leaves them idle: its connections are not answered in time.
TEST(placement, an_upstream_that_was_out_of_reach_is_not_taken_for_cold)
{
    const upstream_id only{"i-0"};
    subject->set_upstreams(make_upstreams(1, model), begin);
    share_among(20, 40, 3);
    const std::uint64_t attempt = subject->on_sent(ask(), only, begin);
    subject->on_ended(attempt, attempt_end::unreachable, begin);
    CHECK_TRUE(admission::granted == admit(only, begin + 5s));
}

// Fails when a request goes to a process that nothing proves to be warm beyond this node's share of
// what a cold one takes, or when a question to it does not make it usable (incident FAILBACK).
TEST(placement, an_unproven_process_gets_a_share_or_is_asked)
{
    const upstream_id only{"i-0"};
    subject->set_upstreams(make_upstreams(1, model), begin);
    share_among(4, 7, 3);
    policy::connection_record over{begin, std::nullopt};
    for (int i = 0; i < 2; ++i)
    {
        CHECK_TRUE(admission::granted == subject->admit(only, over, begin));
    }
    CHECK_TRUE(admission::unverified == subject->admit(only, over, begin));
    CHECK_TRUE(policy::verification_turn::own == subject->begin_verification(only, begin));
    subject->on_verified(only, 0ms, begin, over, begin + 10ms);
    CHECK_TRUE(admission::granted == subject->admit(only, over, begin + 10ms));
    policy::connection_record other{begin + 20ms, std::nullopt};
    CHECK_TRUE(admission::granted == subject->admit(only, other, begin + 20ms));
    policy::connection_record late{begin + 600ms, std::nullopt};
    CHECK_TRUE(admission::unverified == subject->admit(only, late, begin + 600ms));
}

// Fails when an upstream that is asked in vain keeps getting requests, cannot be told from others
// in the log, or is left out for good.
TEST(placement, an_upstream_that_was_asked_in_vain_is_left_out_for_a_moment)
{
    const upstream_id only{"i-0"};
    subject->set_upstreams(make_upstreams(1, model), begin);
    share_among(20, 40, 3);
    CHECK_TRUE(policy::verification_turn::own == subject->begin_verification(only, begin));
    subject->on_unverified(only, false, begin);
    CHECK_TRUE(decide_upstream(begin + 100ms).get().empty());
    CHECK_TRUE(subject->describe(ask(), begin + 100ms).find("unverified=1 ") != std::string::npos);
    UNSIGNED_LONGS_EQUAL(1, subject->unverified_upstreams(begin + 100ms));
    CHECK_FALSE(decide_upstream(begin + 250ms).get().empty());
    share_among(1, 1, 1);
    subject->on_unverified(only, false, begin + 300ms);
    CHECK_FALSE(decide_upstream(begin + 310ms).get().empty());
}

// Fails when a process that says that it is cold gets more than its share, or when what a process
// said counts after the node stood still (incident FAILBACK).
TEST(placement, what_a_process_says_of_itself_counts_until_a_pause)
{
    const upstream_id only{"i-0"};
    for (const bool is_cold : {true, false})
    {
        setup();
        subject->set_upstreams(make_upstreams(1, model), begin);
        share_among(20, 40, 3);
        subject->on_tick(begin);
        policy::connection_record over{begin, std::nullopt};
        CHECK_TRUE(admission::unverified == subject->admit(only, over, begin));
        CHECK_TRUE(policy::verification_turn::own == subject->begin_verification(only, begin));
        subject->on_verified(only, is_cold ? 2s : 0s, begin, over, begin + 10ms);
        CHECK_TRUE((is_cold ? admission::cold : admission::granted) ==
                   subject->admit(only, over, begin + 20ms));
        subject->on_tick(begin + 100ms);
        CHECK_TRUE((is_cold ? admission::cold : admission::unverified) ==
                   subject->admit(only, over, begin + 500ms));
    }
}

// Fails when a request that is under way does not prove the process to others, or when one does
// that went out on an unproven connection, or before the upstream refused one (incident FAILBACK).
TEST(placement, an_answer_on_a_proven_connection_proves_the_process)
{
    const upstream_id only{"i-0"};
    for (const bool is_proven : {true, false})
    {
        setup();
        subject->set_upstreams(make_upstreams(1, model), begin);
        share_among(is_proven ? 20 : 10, 40, 3);
        policy::connection_record over{is_proven ? begin - 1min : begin, std::nullopt};
        CHECK_TRUE(admission::granted == subject->admit(only, over, begin));
        CHECK_EQUAL(is_proven, over.proven_at.has_value());
        if (over.proven_at)
            subject->on_received(only, over, begin + 450ms, begin + 500ms);
        policy::connection_record other{begin + 900ms, std::nullopt};
        CHECK_TRUE((is_proven ? admission::granted : admission::unverified) ==
                   subject->admit(only, other, begin + 900ms));
        subject->on_ended(subject->on_sent(ask(), only, begin), attempt_end::closed, begin + 900ms);
        policy::connection_record next{begin + 910ms, std::nullopt};
        CHECK_TRUE(admission::cold == subject->admit(only, next, begin + 910ms));
    }
}

// Fails when bytes that a process sent before it ended, and that were read late, prove its
// successor (incident FAILBACK).
TEST(placement, bytes_prove_a_process_only_as_of_their_arrival)
{
    const upstream_id only{"i-0"};
    struct row
    {
        core::milliseconds arrived_after;
        core::milliseconds next_opened_at;
        admission next;
    };
    const row rows[] = {
        {1'500ms, 2'200ms, admission::granted},
        {1'500ms, 2'201ms, admission::unverified},
        {1'900ms, 2'400ms, admission::granted},
        {1'900ms, 2'401ms, admission::unverified},
    };
    for (const row& each : rows)
    {
        setup();
        subject->set_upstreams(make_upstreams(1, model), begin);
        share_among(20, 40, 3);
        policy::connection_record over{begin - 1min, std::nullopt};
        CHECK_TRUE(admission::granted == subject->admit(only, over, begin));
        subject->on_received(only, over, begin + each.arrived_after, begin + 2s);
        const core::time_point opened_at = begin + each.next_opened_at;
        policy::connection_record next{opened_at, std::nullopt};
        CHECK_TRUE(each.next == subject->admit(only, next, opened_at));
    }
}

// Fails when an upstream that stands still counts as one that sends because it is asked in vain,
// and requests wait for it until their deadline.
TEST(placement, an_upstream_that_is_asked_in_vain_is_silent)
{
    const upstream_id only{"i-0"};
    subject->set_upstreams(make_upstreams(1, model), begin);
    share_among(20, 40, 3);
    subject->on_sent(ask(), only, begin);
    const std::uint64_t asking = subject->on_sent(ask(), only, begin + 1s);
    subject->on_unverified(only, false, begin + 1'400ms);
    subject->on_ended(asking, attempt_end::abandoned, begin + 1'400ms);
    CHECK_TRUE(subject->is_silent(only, begin, begin + 1'500ms));
}

// Fails when prompts with a common prefix are spread, so that each upstream prefills it again.
TEST(placement, prompts_that_share_a_prefix_go_to_one_upstream)
{
    caller.prompt_tokens = 6'000;
    std::set<upstream_id> owners;
    for (int group = 0; group < 16; ++group)
    {
        caller.prompt = {{"system", 500}, {"group" + std::to_string(group), 5'000}, {"own", 500}};
        const upstream_id owner = decide_upstream();
        owners.insert(owner);
        for (int i = 0; i < 3; ++i)
        {
            caller.prompt.back().id = "own" + std::to_string(i);
            CHECK_TRUE(owner == decide_upstream());
        }
    }
    CHECK_TRUE(owners.size() > 1);
}

// Fails when a popular prefix overloads one upstream while the others are idle.
TEST(placement, a_popular_prefix_is_spread_under_load)
{
    caller.prompt_tokens = 6'000;
    caller.prompt = {{"system", 500}, {"popular", 5'000}, {"own", 500}};
    std::map<upstream_id, int> sent;
    for (int i = 0; i < 200; ++i)
    {
        const upstream_id target = decide_upstream();
        ++sent[target];
        subject->on_sent(ask(), target, begin);
    }
    CHECK_TRUE(sent.size() > 1);
}

// Fails when a failed attempt is retried at the same upstream while another region could serve it.
TEST(placement, a_retry_prefers_another_region)
{
    subject->set_upstreams(make_upstreams(1, model), begin);
    load_region(0, 0);
    placement_request again = ask();
    again.tried = {upstream_id{"i-0"}};
    CHECK_TRUE(std::holds_alternative<to_region>(subject->decide(again, begin)));
    again.tried_regions = {there};
    CHECK_TRUE(std::holds_alternative<to_upstream>(subject->decide(again, begin)));
}

// Fails when an upstream that refused a connection is tried again at once although others are good.
TEST(placement, an_unreachable_upstream_is_avoided_for_a_while)
{
    const upstream_id first = decide_upstream();
    const std::uint64_t attempt = subject->on_sent(ask(), first, begin);
    subject->on_ended(attempt, attempt_end::unreachable, begin);
    for (int i = 0; i < 50; ++i)
    {
        CHECK_FALSE(first == decide_upstream(begin + 100ms));
    }
}

// Fails when cold upstreams, which this region may hardly use itself, are reported as available.
TEST(placement, cold_upstreams_are_not_offered_to_other_regions)
{
    upstream_map upstreams = make_upstreams(2, model);
    upstreams.begin()->second.cold_for = 3s;
    subject->set_upstreams(upstreams, begin);
    UNSIGNED_LONGS_EQUAL(1, subject->region_loads(begin + 1s).at(model).upstreams);
    UNSIGNED_LONGS_EQUAL(2, subject->region_loads(begin + 5s).at(model).upstreams);
}

// Fails when an upstream that sends nothing for its open requests gets more requests.
TEST(placement, a_silent_upstream_is_detected_before_any_deadline)
{
    const upstream_id silent = decide_upstream();
    subject->on_sent(ask(), silent, begin);
    CHECK_FALSE(subject->is_silent(silent, begin, begin + 500ms));
    CHECK_TRUE(subject->is_silent(silent, begin, begin + 2s));
    CHECK_FALSE(subject->is_silent(silent, begin + 1s, begin + 2s));
    for (int i = 0; i < 50; ++i)
    {
        CHECK_FALSE(silent == decide_upstream(begin + 1s));
    }
    UNSIGNED_LONGS_EQUAL(3, subject->region_loads(begin + 2s).at(model).upstreams);
}

// Fails when an upstream that sends events of one stream counts as silent because of another.
TEST(placement, an_upstream_that_sends_data_is_not_silent)
{
    const upstream_id busy = decide_upstream();
    subject->on_sent(ask(), busy, begin);
    const std::uint64_t stream = subject->on_sent(ask(), busy, begin);
    subject->on_first_byte(stream, begin + 1s);
    subject->on_pause(stream, 900, begin + 1900ms);
    CHECK_FALSE(subject->is_silent(busy, begin, begin + 2500ms));
}

// Fails when new streams are sent to an upstream whose events have become slow.
TEST(placement, slow_events_divert_new_streams)
{
    upstream_id slow;
    std::map<upstream_id, std::uint64_t> streams;
    while (streams.size() < 4)
    {
        const upstream_id target = decide_upstream();
        streams[target] = subject->on_sent(ask(), target, begin);
        subject->on_first_byte(streams[target], begin);
    }
    slow = streams.begin()->first;
    for (int i = 0; i < 40; ++i)
    {
        for (const auto& [target, stream] : streams)
        {
            subject->on_pause(stream, target == slow ? 400 : 40, begin + 100ms);
        }
    }
    for (int i = 0; i < 50; ++i)
    {
        CHECK_FALSE(slow == decide_upstream(begin + 200ms));
    }
}

// Fails when prompts that take long to prefill are spread over all upstreams and delay all streams.
TEST(placement, long_prompts_go_to_one_upstream_that_streams_avoid)
{
    caller.prompt_tokens = 300;
    std::set<upstream_id> with_streams;
    for (int i = 0; i < 30; ++i)
    {
        const upstream_id target = decide_upstream();
        with_streams.insert(target);
        subject->on_first_byte(subject->on_sent(ask(), target, begin), begin + 60ms);
    }
    UNSIGNED_LONGS_EQUAL(3, with_streams.size());
    caller.prompt_tokens = 40'000;
    for (int i = 0; i < 20; ++i)
    {
        CHECK_FALSE(with_streams.contains(decide_upstream()));
    }
}

// Fails when a region with slow streams keeps requests that an idle region would serve better,
// because its times to the first event are still short.
TEST(placement, slow_streams_cause_spill_before_first_events_are_late)
{
    load_region(0, 0);
    for (int i = 0; i < 200; ++i)
    {
        const upstream_id target{"i-" + std::to_string(i % 4)};
        const std::uint64_t stream = subject->on_sent(ask(), target, begin);
        subject->on_first_byte(stream, begin + 60ms);
        subject->on_pause(stream, i < 8 ? 40 : 400, begin + 200ms);
    }
    const placement_decision decided = subject->decide(ask(), begin + 200ms);
    CHECK_TRUE(std::holds_alternative<to_region>(decided));
}

// Fails when a node that has just started refuses requests at idle upstreams, because it divides
// the connection limit by the upper bound of the node count instead of the known nodes.
TEST(placement, a_started_node_uses_its_share_of_the_known_nodes)
{
    auto table = std::make_shared<routing_table>(*make_table());
    table->services[model].max_connections = 100;
    subject->set_table(table);
    subject->set_upstreams(make_upstreams(1, model), begin);
    share_among(10, 10, 2);
    int sent = 0;
    while (!decide_upstream().get().empty())
    {
        subject->on_sent(ask(), decide_upstream(), begin);
        ++sent;
    }
    LONGS_EQUAL(40, sent);
}

// Fails when the room that accounts share is filled up to the deadlines, when a route with more
// time fills the queue that another needs, when a request that has begun is refused for others, or
// when anything changes without accounts.
TEST(placement, room_that_accounts_share_is_not_filled_up_to_the_deadlines)
{
    struct row
    {
        const char* name;
        bool has_accounts;
        core::milliseconds objective;
        bool is_retry;
        bool is_sent;
    };
    // Every upstream has requests before it that take 600 ms.
    const row rows[] = {
        {"no accounts", false, 2'500ms, false, true},
        {"a route with the shortest objective", true, 1'000ms, false, true},
        {"a route with more time", true, 2'500ms, false, false},
        {"a request that has begun", true, 2'500ms, true, true},
    };
    for (const row& each : rows)
    {
        auto table = std::make_shared<routing_table>(*make_table());
        for (const core::milliseconds objective : {1'000ms, 2'500ms})
        {
            route streamed;
            streamed.kind = request_kind::streaming;
            streamed.objective = objective;
            streamed.services = {{model, 1}};
            table->routes.push_back(streamed);
        }
        client_account gold;
        gold.name = core::account_id{"gold"};
        if (each.has_accounts)
            CHECK_TRUE(table->accounts.emplace().add(gold, {"key"}).has_value());
        table->bound_queues();
        subject->set_table(table);
        std::map<std::uint64_t, peer_load> loads;
        const double slots = table->services.at(model).engine->slots;
        for (const auto& [id, info] : make_upstreams(4, model))
        {
            loads[core::hash64(info.address.get())] = {3 * slots, 0};
        }
        subject->set_peer_loads(1, loads, begin);
        chosen.objective = each.objective;
        placement_request request = ask();
        request.account = &gold;
        request.is_retry = each.is_retry;
        const placement_decision decided = subject->decide(request, begin);
        const auto* refused = std::get_if<policy::refusal>(&decided);
        CHECK_EQUAL_TEXT(each.is_sent, refused == nullptr, each.name);
        if (refused != nullptr)
            CHECK_TRUE(refused->reason == policy::refusal_reason::overloaded &&
                       refused->executed == policy::execution::no && refused->retry_after > 0ms);
    }
}
