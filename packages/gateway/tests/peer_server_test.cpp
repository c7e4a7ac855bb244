/// Tests that a node which is about to end takes no further call of another region.

#include <snipeplank/gateway/peer_client.hpp>
#include <snipeplank/gateway/peer_server.hpp>
#include <snipeplank/gateway/upstream_client.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "../../serving/tests/unconnected_network.hpp"

using namespace snipeplank;
using namespace snipeplank::gateway;
using namespace std::chrono_literals;

namespace
{

const core::node_id near_id{core::address{"10.0.0.1:1"}, core::incarnation{1}};
const core::node_id far_id{core::address{"10.0.0.2:1"}, core::incarnation{1}};
const core::region_id near_region{"salzkammer"};
const core::region_id far_region{"ennstal"};
const wire::peer_identity far_peer{far_id, far_region, core::zone_id{"ennstal-a"}};

/// Records refusals; a worker that sends one waits until it may.
class recording_network final : public serving::tests::unconnected_network
{
  public:
    bool send(const core::address&, const wire::message& msg) override
    {
        m_may_send.wait();
        const std::lock_guard lock(m_mutex);
        if (const auto* refused = std::get_if<wire::call_refused>(&msg))
            m_refused.push_back(refused->why);
        return true;
    }

    void allow_sending() { m_allow.set_value(); }

    std::vector<policy::refusal> refused() const
    {
        const std::lock_guard lock(m_mutex);
        return m_refused;
    }

  private:
    std::promise<void> m_allow;
    std::shared_future<void> m_may_send = m_allow.get_future().share();
    mutable std::mutex m_mutex;
    std::vector<policy::refusal> m_refused;
};

} // namespace

TEST_GROUP(peer_server)
{
    const node_location self{near_id, near_region, core::zone_id{"salzkammer-a"}};
    recording_network network;
    metrics counters;
    decision_log log;
    config_cell config;
    fleet_view_cell view;
    call_number_generator numbers;
    dispatch_guard dispatch{{near_id.address, near_region, self.zone}};
    worker_pool workers{2};
    std::unique_ptr<upstream_client> upstreams = make_http_upstream_client(counters);
    peer_client regions{self, network, view, numbers};
    call_service calls{{config, dispatch, *upstreams, regions, workers, counters}};
    peer_server subject{{self, network, config, calls, workers, log, counters}};

    void teardown() override
    {
        workers.shutdown();
    }

    void receive(std::uint64_t number)
    {
        wire::call received;
        received.number = core::call_number{number};
        received.request.remaining = 5s;
        subject.on_call(far_peer, received);
    }

    void wait_until_idle() const
    {
        while (subject.in_flight() > 0)
        {
            std::this_thread::sleep_for(1ms);
        }
    }
};

// Fails when a call that arrives behind the last one of a stop is taken: its answer is lost when
// the process ends.
TEST(peer_server, calls_behind_the_last_one_of_a_stop_are_refused_as_not_run)
{
    receive(1);
    CHECK_FALSE(subject.close_if_idle());
    network.allow_sending();
    wait_until_idle();
    CHECK_TRUE(subject.close_if_idle());
    receive(2);
    wait_until_idle();
    const std::vector<policy::refusal> refused = network.refused();
    LONGS_EQUAL(2, refused.size());
    CHECK_TRUE(refused[0].reason != policy::refusal_reason::draining);
    CHECK_TRUE(refused[1].reason == policy::refusal_reason::draining);
    CHECK_TRUE(refused[1].executed == policy::execution::no);
}
