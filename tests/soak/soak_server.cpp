#include "soak_server.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace snipeplank::tests
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::chrono::milliseconds lease_time = 3s;
/// Least time from the start of a server to its first entry.
constexpr std::chrono::milliseconds min_report_delay = 1s;
constexpr std::chrono::milliseconds max_further_delay = 1s;
constexpr std::chrono::milliseconds min_down_time = 1s;
constexpr std::chrono::milliseconds max_down_time = 3s;
/// Between two times at which a server stands still, so that they do not add up.
constexpr std::chrono::milliseconds min_pause_gap = 1s;
constexpr std::chrono::milliseconds poll_interval = 10ms;
/// Time in which a stand-in that has reset its connections is gone, also on a busy machine.
constexpr std::chrono::milliseconds max_end_time = 2s;
/// Line of a stand-in that ends by itself, before what it has seen.
const std::string last_words = "crashed ";

soak_time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

soak_server::soak_server(machine_fleet& fleet, server_place place, const soak_shape& shape)
    : m_fleet(fleet), m_place(std::move(place)), m_shape(shape), m_id(m_place.name),
      m_version(m_place.version)
{
    start("127.0.0.1:0");
}

/// A server at the former address keeps its relay.
void soak_server::start(const std::string& address)
{
    const bool is_at_new_address = !m_program || address != m_program->address();
    const bool is_first = !m_program;
    std::vector<std::string> arguments{"--id",       m_id,
                                       "--address",  address,
                                       "--work_ms",  std::to_string(m_place.work_ms),
                                       "--events",   std::to_string(m_shape.events),
                                       "--event_ms", std::to_string(m_place.event_ms),
                                       "--software", m_version};
    if (!is_first)
        arguments.insert(arguments.end(), {"--cold_ms", std::to_string(m_shape.warmup.count())});
    m_program = std::make_unique<standin>("standin_server", arguments);
    m_started = now();
    m_born_ms = machine_fleet::seen(*m_program)["born"].get<long>();
    m_sequence = 0;
    if (is_at_new_address)
        m_path = std::make_unique<standin>(
            "standin_relay",
            std::vector<std::string>{"--target", m_program->address(),
                                     m_shape.kinds.with_newer ? "--ends_by_reset"
                                                              : "--noends_by_reset"});
    m_is_down = false;
    control("/standin/fatal_path", fatal_path);
    if (std::exchange(m_pause, std::nullopt))
        m_publishes_at =
            now() + min_report_delay + milliseconds{m_born_ms % max_further_delay.count()};
    else
        publish();
    if (m_is_close_ended)
        set_close_ended(true);
    if (!m_fatal_part.empty())
        set_fatal_part(m_fatal_part);
}

void soak_server::publish()
{
    m_publishes_at.reset();
    server_entry entry{m_id, m_place.service, m_place.region, m_path->address(),
                       m_is_leaving ? "draining" : "ready"};
    if (m_shape.kinds.with_releases)
    {
        constexpr std::chrono::milliseconds none{0};
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_started);
        const bool was_cold = m_incarnation > 1 || !m_ended.empty();
        entry.version = m_version;
        entry.born_ms = m_born_ms;
        entry.sequence = ++m_sequence;
        entry.cold_for = was_cold ? std::max(none, m_shape.warmup - age) : none;
    }
    m_fleet.publish_server(entry);
}

void soak_server::crash()
{
    if (m_is_down)
        return;
    control("/standin/crash", "");
}

void soak_server::restart(std::chrono::milliseconds pause)
{
    if (!m_is_down)
        m_pause = pause;
    crash();
}

void soak_server::replace(const std::string& version)
{
    // A run that is to follow under the same id keeps its software.
    if (m_pause)
        return;
    m_version = version;
    crash();
}

void soak_server::set_disturbed(bool is_disturbed)
{
    m_disturbances += is_disturbed ? 1 : -1;
    if (is_disturbed && m_disturbances == 1)
        m_disturbed.push_back({now(), soak_time::max()});
    if (!is_disturbed && m_disturbances == 0)
        m_disturbed.back().to = now();
}

void soak_server::set_leaving(bool is_leaving)
{
    m_is_leaving = is_leaving;
    if (!m_is_down)
        publish();
}

void soak_server::pause()
{
    m_program->process().pause();
    m_is_paused = true;
}

void soak_server::resume()
{
    m_program->process().resume();
    m_is_paused = false;
}

void soak_server::stand_still(std::chrono::milliseconds duration, bool stays_up)
{
    if (now() < m_still_until + min_pause_gap)
        return;
    m_still_until = now() + duration;
    if (stays_up)
        control("/standin/silence", std::to_string(duration.count()));
    else
        pause();
}

void soak_server::set_close_ended(bool is_close_ended)
{
    m_is_close_ended = is_close_ended;
    control("/standin/close_ended", is_close_ended ? "1" : "0");
}

void soak_server::set_fatal_part(const std::string& part)
{
    m_fatal_part = part;
    control("/standin/fatal_part", part);
}

/// A paused server cannot receive the request, so it is resumed for it. One that has crashed
/// receives none.
void soak_server::control(const std::string& path, const std::string& body)
{
    if (m_is_paused)
        m_program->process().resume();
    const http_answer answer = http_post(m_program->address(), path, body);
    constexpr int ok = 200;
    if (!answer.is(ok) && !has_ended())
        fail_test(m_id + " refused " + path + ": " + answer.describe());
    if (m_is_paused)
        m_program->process().pause();
}

/// Whether the server has ended by itself, or does so in a moment: its connections are reset before
/// its process is gone. `tend()` then checks its last words.
bool soak_server::has_ended()
{
    child_process& process = m_program->process();
    const soak_time limit = now() + max_end_time;
    while (process.is_running() && now() < limit)
    {
        std::this_thread::sleep_for(poll_interval);
    }
    return !process.is_running();
}

void soak_server::tend()
{
    if (!m_is_down && !m_program->process().is_running())
        on_ended();
    if (m_publishes_at && !m_is_down && now() >= *m_publishes_at)
        publish();
    if (m_is_down && m_pause && now() >= m_starts_at)
        start(m_program->address());
    if (m_is_down && now() >= m_starts_at)
    {
        ++m_incarnation;
        m_id = m_place.name + "-" + std::to_string(m_incarnation);
        // Every other incarnation gets a new address.
        start(m_incarnation % 2 == 0 ? m_program->address() : "127.0.0.1:0");
    }
    while (!m_expired.empty() && now() >= m_expired.front().at)
    {
        m_fleet.remove("servers/" + m_expired.front().id);
        m_expired.pop_front();
    }
}

void soak_server::on_ended()
{
    m_is_down = true;
    m_is_paused = false;
    const auto draw = std::hash<std::string>{}(m_id) %
                      static_cast<std::size_t>((max_down_time - min_down_time).count());
    m_starts_at = now() + min_down_time + std::chrono::milliseconds{static_cast<long>(draw)};
    if (m_pause)
        m_starts_at = now() + *m_pause;
    else
        m_expired.push_back({m_id, now() + lease_time});
    json seen;
    wait_until("the last words of " + m_id,
               [&]
               {
                   const std::string output = m_program->process().output();
                   const auto begin = output.find(last_words);
                   if (begin == std::string::npos || output.back() != '\n')
                       return false;
                   seen = json::parse(output.substr(begin + last_words.size()));
                   return true;
               });
    m_ended.push_back(record_of(seen));
    m_ended.back().ended = now();
}

server_record soak_server::record_of(const json& seen) const
{
    server_record made{m_id, m_place.region, seen["runs"], seen["ended_by"], soak_time::max()};
    made.service = m_place.service;
    made.version = m_shape.kinds.with_releases ? seen["version"].get<std::string>() : "";
    made.started = m_started;
    for (const auto& [id, ms] : seen["cancelled_ms"].items())
    {
        made.cancelled[id] = soak_time{std::chrono::milliseconds{ms.get<long>()}};
    }
    for (const long ms : seen["cold_arrivals_ms"])
    {
        made.cold_arrivals.emplace_back(std::chrono::milliseconds{ms});
    }
    return made;
}

void soak_server::restore()
{
    wait_until(m_place.name + " runs again",
               [&]
               {
                   tend();
                   return !m_is_down && m_expired.empty() && !m_publishes_at;
               });
    resume();
    set_fault("");
    set_close_ended(false);
    set_fatal_part("");
    m_path->set_faults(json::object());
    set_leaving(false);
}

std::vector<server_record> soak_server::records() const
{
    std::vector<server_record> all = m_ended;
    all.push_back(record_of(machine_fleet::seen(*m_program)));
    for (server_record& each : all)
    {
        each.disturbed = m_disturbed;
    }
    return all;
}

} // namespace snipeplank::tests
