/// Guards requirement 7: a leaving upstream gets no new work, whatever later reports contain.

#include "policy_fixture.hpp"

using namespace snipeplank;
using namespace snipeplank::policy;
using namespace snipeplank::policy::tests;

TEST_GROUP(leaving){};

// Fails when a stale or reordered host list ends the mark of a leaving upstream early.
TEST(leaving, reports_in_any_order_do_not_end_a_mark_within_60_s)
{
    snipeplank::tests::check_property(
        "no decision names an upstream within 60 s of any source calling it leaving",
        []
        {
            one_node node(3);
            std::vector<long> left(3, -1'000'000);
            long now = 0;
            const int steps = *rc::gen::inRange(1, 60);
            for (int i = 0; i < steps; ++i)
            {
                now += *rc::gen::inRange(0, 20'000);
                const auto which = *rc::gen::inRange<std::size_t>(0, 3);
                const int event = *rc::gen::inRange(0, 4);
                if (event == 0)
                {
                    node.subject.on_leaving(upstream_name(which), at(now));
                    left[which] = now;
                }
                if (event == 1)
                {
                    std::vector<upstream_status> list = upstream_list(3);
                    list[which].is_leaving = true;
                    node.subject.set_upstreams(model, list, at(now));
                    left[which] = now;
                }
                if (event == 2)
                    node.subject.set_upstreams(model, upstream_list(3), at(now));
                if (event == 3)
                {
                    std::vector<upstream_status> list = upstream_list(3);
                    list.erase(list.begin() + static_cast<std::ptrdiff_t>(which));
                    node.subject.set_upstreams(model, list, at(now));
                }
                const decision made = node.route(free_call(), now);
                const use_upstream* target = sent_to_upstream(made);
                if (target == nullptr)
                    continue;
                for (std::size_t u = 0; u < left.size(); ++u)
                {
                    if (target->address == upstream_name(u))
                        RC_ASSERT(now - left[u] >= 60'000);
                }
                node.subject.on_finished(target->attempt, attempt_outcome::answered, at(now));
            }
        });
}

// Fails when an upstream gets work after 60 s although the latest list still has it as leaving.
TEST(leaving, an_upstream_listed_as_leaving_stays_out_until_a_list_says_live)
{
    one_node node(1);
    std::vector<upstream_status> list = upstream_list(1);
    list[0].is_leaving = true;
    node.subject.set_upstreams(model, list, at(0));
    const decision late = node.route(free_call(), 300'000);
    CHECK_TRUE(refused(late) != nullptr);
    CHECK_TRUE(refused(late)->reason == refusal_reason::no_upstream);
    node.subject.set_upstreams(model, upstream_list(1), at(300'000));
    CHECK_TRUE(sent_to_upstream(node.route(free_call(), 300'001)) != nullptr);
}

// Fails when an upstream cannot be marked before it is listed.
TEST(leaving, a_mark_set_before_the_upstream_is_listed_holds)
{
    one_node node(1);
    node.subject.on_leaving(upstream_name(1), at(0));
    node.subject.set_upstreams(model, upstream_list(2), at(10));
    for (int i = 0; i < 6; ++i)
    {
        const decision made = node.route(free_call(), 20 + i);
        CHECK_TRUE(sent_to_upstream(made) != nullptr);
        CHECK_TRUE(sent_to_upstream(made)->address == upstream_name(0));
    }
}
