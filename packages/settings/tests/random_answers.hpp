/// @file
/// Generator of random answers without contradictions.

#ifndef SNIPEPLANK_SETTINGS_TESTS_RANDOM_ANSWERS_HPP
#define SNIPEPLANK_SETTINGS_TESTS_RANDOM_ANSWERS_HPP

#include <snipeplank/core/hash.hpp>
#include <snipeplank/settings/answers.hpp>

#include <property.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace snipeplank::settings::tests
{

/// @brief Builds random answers in which each address is used once.
class answers_builder
{
  public:
    answers build()
    {
        m_given.version = core::config_version{*rc::gen::inRange<std::uint64_t>(1, 1'000'000)};
        draw_network();
        draw_hosts();
        const int services = random_int(1, 3);
        for (int i = 0; i < services; ++i)
        {
            draw_service("service-" + std::to_string(i));
        }
        draw_tolerance();
        draw_accounts();
        return m_given;
    }

  private:
    static int random_int(int minimum, int maximum)
    {
        return *rc::gen::inRange(minimum, maximum + 1);
    }
    static double random_tenths(int minimum, int maximum)
    {
        return random_int(minimum * 10, maximum * 10) / 10.0;
    }

    template <typename Value>
    static Value random_element(std::vector<Value> values)
    {
        return values[static_cast<std::size_t>(random_int(0, static_cast<int>(values.size()) - 1))];
    }

    core::address next_address()
    {
        ++m_addresses;
        return core::address{"10.0." + std::to_string(m_addresses / 250) + "." +
                             std::to_string(m_addresses % 250 + 1) + ":9000"};
    }

    std::vector<core::region_id> region_names() const
    {
        std::vector<core::region_id> names;
        for (const auto& [region, zones] : m_given.regions)
        {
            names.push_back(region);
        }
        return names;
    }

    void draw_network()
    {
        const int regions = random_int(1, 4);
        for (int i = 0; i < regions; ++i)
        {
            const std::string region = "region-" + std::to_string(i);
            const int zones = random_int(1, 2);
            for (int zone = 0; zone < zones; ++zone)
            {
                m_given.regions[core::region_id{region}].emplace_back(region + "-z" +
                                                                      std::to_string(zone));
            }
        }
        m_given.between_zones_ms = random_tenths(0, 10);
        m_given.to_clients_ms = random_tenths(0, 20);
        if (regions > 1)
        {
            m_given.every_link = draw_link();
        }
        if (regions > 1 && random_int(0, 1) == 1)
        {
            m_given.link_exceptions[{core::region_id{"region-0"}, core::region_id{"region-1"}}] =
                draw_link();
        }
        m_given.weight_store_region = random_element(region_names());
        m_given.weight_store_megabits = random_tenths(1, 2'000);
    }

    /// Fast enough for the largest spill that the other answers can require.
    link_answer draw_link()
    {
        return {core::milliseconds{random_int(0, 200)}, random_tenths(1'000, 10'000)};
    }

    void draw_hosts()
    {
        m_given.config_service = {next_address(), next_address()};
        m_given.host_list = next_address();
        m_given.fleet_keys = {core::sha256_hex(std::to_string(random_int(0, 1'000)))};
        for (const auto& [region, zones] : m_given.regions)
        {
            const int hosts = random_int(1, 2);
            for (int i = 0; i < hosts; ++i)
            {
                const std::string address = next_address().get();
                m_given.entry_hosts[region.get() + "-" + std::to_string(i)] = {
                    random_element(zones), address.substr(0, address.find(':'))};
            }
        }
        if (random_int(0, 1) == 1)
        {
            m_given.max_body = core::bytes{*rc::gen::inRange<std::uint64_t>(1, 1'048'577)};
            m_given.format = random_element<log_format>({log_format::text, log_format::json});
        }
    }

    void draw_service(const std::string& name)
    {
        service_answer service;
        service_config& config = service.config;
        config.name = core::service_id{name};
        config.residency = random_element<residency>({residency::bound, residency::free});
        // Above the longest round trip: 2 * (20 + 200) ms.
        config.deadline = core::milliseconds{random_int(441, 600'000)};
        config.calls_per_upstream = static_cast<unsigned>(random_int(1, 100));
        if (random_int(0, 1) == 1)
        {
            config.kind = service_kind::model;
            config.engine_checks_fencing = random_int(0, 1) == 1;
            config.engine_resumes_streams = random_int(0, 1) == 1;
        }
        else
        {
            config.non_idempotent_methods =
                random_element<std::set<std::string>>({{}, {"POST"}, {"DELETE", "POST", "PUT"}});
        }
        if (!config.non_idempotent_methods.empty())
        {
            config.ticket =
                random_element<ticket_rule>({ticket_rule::required, ticket_rule::optional});
            config.not_run_statuses = random_element<std::set<int>>({{}, {503}, {429, 503}});
        }
        service.homes = region_names();
        service.peak_calls_per_second = random_tenths(0, 50);
        service.kilobytes_per_call = random_tenths(0, 64);
        draw_upstreams(service);
        m_given.services[config.name] = service;
    }

    void draw_upstreams(service_answer& service)
    {
        for (const auto& [region, zones] : m_given.regions)
        {
            const bool is_needed =
                service.config.residency == residency::bound || service.upstreams.empty();
            if (!is_needed && random_int(0, 1) == 0)
            {
                continue;
            }
            upstream_answer group;
            group.zone = random_element(zones);
            group.count = static_cast<unsigned>(random_int(1, 3));
            for (unsigned i = 0; i < group.count; ++i)
            {
                group.addresses.push_back(next_address());
            }
            service.upstreams.push_back(group);
        }
    }

    void draw_tolerance()
    {
        const std::vector<tolerance_level> levels{tolerance_level::low, tolerance_level::medium,
                                                  tolerance_level::high};
        m_given.tolerance = {random_element(levels), random_element(levels), random_element(levels),
                             random_int(0, 100) / 100.0};
    }

    void draw_accounts()
    {
        const int accounts = random_int(0, 4);
        for (int i = 0; i < accounts; ++i)
        {
            account_config account;
            account.id = core::account_id{"account-" + std::to_string(i)};
            account.key_sha256 = core::sha256_hex(account.id.get());
            account.home = random_element(region_names());
            account.calls_per_second = random_tenths(1, 500);
            account.burst = random_tenths(1, 500);
            m_given.accounts[account.id] = account;
        }
        // Half of the answers without an account have the group.
        m_given.lists_accounts = accounts > 0 || m_given.services.size() % 2 == 0;
    }

    answers m_given;
    int m_addresses = 0;
};

/// @brief Generator of valid answers, without shrinking.
inline rc::Gen<answers> valid_answers()
{
    return rc::gen::noShrink(rc::gen::exec([] { return answers_builder{}.build(); }));
}

} // namespace snipeplank::settings::tests

#endif
