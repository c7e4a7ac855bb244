/// @file
/// Stream directories of several nodes in virtual time, with delayed messages and lists.

#ifndef SNIPEPLANK_SERVING_TESTS_DIRECTORY_FLEET_HPP
#define SNIPEPLANK_SERVING_TESTS_DIRECTORY_FLEET_HPP

#include <snipeplank/core/random.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../src/stream_binding.hpp"
#include "../src/stream_directory.hpp"

namespace snipeplank::serving::tests
{

inline const core::service_id lm{"lm"};

/// @brief One upstream of the service.
inline upstream make_upstream(const std::string& id, const std::string& version)
{
    upstream made;
    made.id = upstream_id{id};
    made.service = lm;
    made.software_version = version;
    return made;
}

inline policy::software_version_key lm_version(const std::string& version)
{
    return policy::software_version_of(lm, version);
}

/// @brief Runs the directories of a fleet.
class directory_fleet
{
  public:
    static constexpr core::milliseconds local_delay{4};
    static constexpr core::milliseconds remote_delay{80};
    /// How long a node that has started is not known to the others.
    static constexpr core::milliseconds member_delay{500};
    static constexpr core::milliseconds check_interval{250};

    /// @param regions region of each node
    explicit directory_fleet(const std::vector<std::string>& regions)
    {
        for (const std::string& region : regions)
        {
            auto made = std::make_unique<node>(*this);
            made->address = core::address{"10.0.0." + std::to_string(m_nodes.size() + 1) + ":1"};
            made->region = core::region_id{region};
            m_nodes.push_back(std::move(made));
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            start(i);
        }
        run_checks();
    }
    directory_fleet(const directory_fleet&) = delete;
    directory_fleet& operator=(const directory_fleet&) = delete;

    std::size_t size() const { return m_nodes.size(); }
    core::time_point now() const { return m_now; }
    bool is_up(std::size_t index) const { return m_nodes[index]->directory != nullptr; }
    stream_directory& at(std::size_t index) { return *m_nodes[index]->directory; }

    /// @brief The list as the node knows it.
    const upstream_map& list_at(std::size_t index) const { return m_nodes[index]->list; }

    /// @brief Messages that were sent.
    std::size_t messages() const { return m_messages; }

    /// @brief Does something later.
    void in(core::duration span, std::function<void()> action)
    {
        m_events.emplace(m_now + span, std::move(action));
    }

    /// @brief Lets time pass.
    void run_for(core::duration span)
    {
        const core::time_point end = m_now + span;
        while (!m_events.empty() && m_events.begin()->first <= end)
        {
            auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = end;
    }

    /// @brief Publishes a list of upstreams; each node learns it after its own delay.
    void publish(const upstream_map& list)
    {
        m_published = list;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            learn_list(i, m_nodes[i]->list_delay);
        }
    }

    void set_list_delay(std::size_t index, core::milliseconds delay)
    {
        m_nodes[index]->list_delay = delay;
    }

    /// @brief Cuts a node off from the published state, or ends that.
    void cut_from_state(std::size_t index, bool is_cut)
    {
        m_nodes[index]->is_cut = is_cut;
        if (!is_cut)
            learn_list(index, m_nodes[index]->list_delay);
    }

    /// @brief Cuts a node off so that it learns nothing of the published state any more, and takes
    /// its list for the newest one until it asks how old that is.
    void silence_state(std::size_t index) { m_nodes[index]->silent_since = m_now; }

    void kill(std::size_t index)
    {
        m_nodes[index]->directory.reset();
        m_nodes[index]->list.clear();
        ++m_nodes[index]->run;
        in(member_delay, [this] { update_members(); });
    }

    void start(std::size_t index)
    {
        node& started = *m_nodes[index];
        started.directory = std::make_unique<stream_directory>(
            started.region, started, [&started] { return started.list_age(); });
        learn_list(index, core::milliseconds{0});
        in(member_delay, [this] { update_members(); });
    }

    /// @brief Starts a node later, unless it runs by then.
    void start_in(core::duration span, std::size_t index)
    {
        in(span,
           [this, index]
           {
               if (!is_up(index))
                   start(index);
           });
    }

    /// @brief A node that runs and has a list of upstreams, drawn at random; nothing without one.
    std::optional<std::size_t> any_node(core::random_source& random) const
    {
        const std::size_t first = random.below(size());
        for (std::size_t i = 0; i < size(); ++i)
        {
            const std::size_t each = (first + i) % size();
            if (is_up(each) && !list_at(each).empty())
                return each;
        }
        return std::nullopt;
    }

    /// @brief Records that a stream began at a node.
    void begin(std::size_t index, const std::string& attempt, policy::software_version_key version,
               core::milliseconds left = core::milliseconds{9'000})
    {
        at(index).on_begun({policy::stream_key_of(attempt), lm}, version, left, m_now);
    }

    /// @brief A client takes a stream up; calls `on_found` unless the node is killed meanwhile.
    void take_up(std::size_t index, const std::string& attempt,
                 std::function<void(found_origin)> on_found)
    {
        const taken_up_stream wanted{
            attempt.empty() ? policy::stream_key{} : policy::stream_key_of(attempt), lm};
        const found_origin own = at(index).find(wanted, m_now);
        if (own.source != origin_source::unknown)
        {
            on_found(own);
            return;
        }
        auto question = at(index).ask(wanted, m_now);
        auto is_done = std::make_shared<bool>(false);
        const auto conclude = [this, index, question, is_done, run = m_nodes[index]->run,
                               on_found = std::move(on_found)]
        {
            if (std::exchange(*is_done, true) || run != m_nodes[index]->run)
                return;
            on_found(at(index).conclude(*question, m_now));
        };
        in(question->asks_far() ? max_origin_wait : max_local_origin_wait, conclude);
        if (question->is_settled())
            in({}, conclude);
        else
            question->on_settled([this, conclude] { in({}, conclude); });
    }

    /// @brief What a take-up finds, after the time that it takes.
    found_origin find(std::size_t index, const std::string& attempt)
    {
        found_origin found;
        take_up(index, attempt, [&](const found_origin& origin) { found = origin; });
        run_for(max_origin_wait + core::milliseconds{1});
        return found;
    }

  private:
    struct node final : origin_network
    {
        explicit node(directory_fleet& owner) : fleet(owner) {}

        void send_origins(const core::address& to, std::vector<fleet::stream_origin> origins,
                          std::vector<fleet::stream_origin> wanted) override
        {
            fleet.deliver(*this, to, std::move(origins), std::move(wanted));
        }

        void wake_in(core::milliseconds span) override
        {
            fleet.in(span,
                     [this, expected = run]
                     {
                         if (expected == run && directory)
                             directory->send_due(fleet.m_now);
                     });
        }

        /// How old the list is: the node learns each change so much later.
        std::optional<core::milliseconds> list_age() const
        {
            if (is_cut)
                return std::nullopt;
            const core::duration silent =
                silent_since ? fleet.m_now - *silent_since : core::duration{};
            return list_delay + std::chrono::ceil<core::milliseconds>(silent);
        }

        directory_fleet& fleet;
        core::address address;
        core::region_id region;
        std::unique_ptr<stream_directory> directory; ///< null while the process does not run
        upstream_map list;
        core::milliseconds list_delay{0};
        bool is_cut = false;
        std::optional<core::time_point> silent_since;
        unsigned run = 0;
    };

    void deliver(const node& from, const core::address& to,
                 std::vector<fleet::stream_origin> origins,
                 std::vector<fleet::stream_origin> wanted)
    {
        ++m_messages;
        const auto found = std::find_if(m_nodes.begin(), m_nodes.end(),
                                        [&](const auto& each) { return each->address == to; });
        if (found == m_nodes.end())
            return;
        fleet::gossip body;
        body.sender.id.address = from.address;
        body.stream_origins = std::move(origins);
        body.wanted_origins = std::move(wanted);
        node& target = **found;
        in(from.region == target.region ? local_delay : remote_delay,
           [this, &target, body = std::move(body), run = target.run]
           {
               if (target.directory && run == target.run)
                   target.directory->on_received(body, m_now);
           });
    }

    void learn_list(std::size_t index, core::milliseconds delay)
    {
        in(delay,
           [this, index, list = m_published]
           {
               node& known = *m_nodes[index];
               if (!known.directory || known.is_cut || known.silent_since)
                   return;
               known.list = list;
               known.directory->set_upstreams(list, m_now);
           });
    }

    void update_members()
    {
        for (const auto& each : m_nodes)
        {
            std::vector<live_node> others;
            for (const auto& other : m_nodes)
            {
                if (other->directory && other != each)
                    others.push_back({other->address, other->address, {}, other->region});
            }
            if (each->directory)
                each->directory->set_nodes(others, m_now);
        }
    }

    void run_checks()
    {
        for (const auto& each : m_nodes)
        {
            if (each->directory)
                each->directory->check_versions(m_now);
        }
        in(check_interval, [this] { run_checks(); });
    }

    core::time_point m_now{std::chrono::hours{1'000}};
    std::vector<std::unique_ptr<node>> m_nodes;
    std::multimap<core::time_point, std::function<void()>> m_events;
    upstream_map m_published;
    std::size_t m_messages = 0;
};

} // namespace snipeplank::serving::tests

#endif
