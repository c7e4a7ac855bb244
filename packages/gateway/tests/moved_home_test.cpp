/// Guards HOME at calls that begin before the home of their account moves.

#include <snipeplank/gateway/call_service.hpp>
#include <snipeplank/gateway/ticket_runner.hpp>

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <utility>

using namespace snipeplank;
using namespace snipeplank::gateway;
using namespace std::chrono_literals;

namespace
{

const core::region_id here{"salzkammer"};
const core::region_id other{"ennstal"};
const core::zone_id zone{"salzkammer-a"};
const core::service_id booking{"booking"};
const core::account_id buyer{"buyer-1"};

config_ptr config_with_home(const core::region_id& home, const std::string& key)
{
    auto config = std::make_shared<settings::published_config>();
    settings::service_config service;
    service.name = booking;
    service.residency = settings::residency::bound;
    config->services[booking] = service;
    settings::account_config account;
    account.id = buyer;
    account.key_sha256 = key;
    account.home = home;
    config->add_account(account);
    return config;
}

config_ptr config_without_account()
{
    auto config = std::make_shared<settings::published_config>(*config_with_home(here, "a"));
    config->accounts.clear();
    config->account_keys.clear();
    return config;
}

/// No upstream can be connected to. During the first attempt a configuration comes into force.
class unreachable_upstreams final : public upstream_client
{
  public:
    unreachable_upstreams(config_cell& config, config_ptr next)
        : m_config(config), m_next(std::move(next))
    {
    }

    void run(const upstream_request&, answer_sink& answer) override
    {
        ++m_sent;
        m_config.set(m_next);
        answer.fail({{core::error_code::connection_closed, "not connected", "retry"}, false, {}});
    }

    int sent() const { return m_sent; }

  private:
    config_cell& m_config;
    config_ptr m_next;
    std::atomic<int> m_sent = 0;
};

class no_regions final : public region_client
{
  public:
    void start(const call&, const core::region_id&, const std::vector<core::zone_id>&,
               std::shared_ptr<answer_stream> answer) override
    {
        answer->fail({{core::error_code::connection_closed, "not connected", "retry"}, false, {}});
    }
};

call make_call(config_ptr config)
{
    call request;
    request.config = std::move(config);
    request.service = booking;
    request.account = buyer;
    request.home = here;
    request.received = std::chrono::steady_clock::now();
    request.deadline = request.received + 20s;
    request.is_idempotent = true;
    return request;
}

} // namespace

TEST_GROUP(moved_home){};

// Fails when an attempt is placed by the home with which its call began (issue 70, HOME).
TEST(moved_home, no_attempt_is_made_where_the_account_lives_no_more)
{
    struct row
    {
        const char* name;
        config_ptr before_first; ///< in force at the first attempt
        config_ptr before_retry; ///< in force from the first attempt on
        int sent;
    };
    const config_ptr began = config_with_home(here, "a");
    const config_ptr moved = config_with_home(other, "a");
    const row rows[] = {
        {"lives here all along", began, began, 2},
        {"moves before the retry", began, moved, 1},
        {"moves before the retry, with a new key", began, config_with_home(other, "b"), 1},
        {"a new key only", began, config_with_home(here, "b"), 2},
        {"account taken away", began, config_without_account(), 2},
        {"moves before the first attempt", moved, moved, 0},
    };
    for (const row& test : rows)
    {
        for (const bool is_ticketed : {false, true})
        {
            config_cell config;
            config.set(test.before_first);
            dispatch_guard dispatch{{core::address{"10.0.0.1:1"}, here, zone}};
            dispatch.with(
                [&](policy::dispatcher& d, auto&)
                {
                    d.set_config(*began);
                    d.set_upstreams(booking,
                                    {{core::address{"10.0.1.1:1"}, here, zone},
                                     {core::address{"10.0.1.2:1"}, here, zone}},
                                    std::chrono::steady_clock::now());
                });
            metrics counters;
            worker_pool workers{2};
            unreachable_upstreams upstreams{config, test.before_retry};
            no_regions regions;
            call_record record;
            const call request = make_call(began);
            if (is_ticketed)
            {
                ticket_runner runner{config, dispatch, upstreams, counters};
                runner.run(request, record, [] { return true; });
            }
            else
            {
                call_service calls{{config, dispatch, upstreams, regions, workers, counters}};
                calls.start(request, record);
            }
            workers.shutdown();
            LONGS_EQUAL_TEXT(test.sent, upstreams.sent(), test.name);
        }
    }
}
