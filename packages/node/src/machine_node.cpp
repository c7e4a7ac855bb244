#include "machine_node.hpp"

#include <snipeplank/gateway/log_format.hpp>
#include <snipeplank/log/process_log.hpp>
#include <snipeplank/platform/machine_settings.hpp>
#include <snipeplank/platform/protocols.hpp>
#include <snipeplank/platform/store_source.hpp>
#include <snipeplank/serving/node.hpp>
#include <snipeplank/serving/stop_schedule.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>

#include "exit_status.hpp"

namespace snipeplank
{

namespace asio = boost::asio;

namespace
{

/// The platform may change the settings file without sending SIGHUP.
constexpr std::chrono::seconds reload_interval{3};

/// Reloads the settings on SIGHUP and periodically; begins the shutdown on SIGTERM or SIGINT.
class process_events
{
  public:
    process_events(asio::io_context& loop, serving::node& node, std::string settings_path)
        : m_node(node), m_path(std::move(settings_path)), m_signals(loop, SIGTERM, SIGINT, SIGHUP),
          m_timer(loop)
    {
        wait_for_signal();
        schedule_reload();
    }

  private:
    void wait_for_signal()
    {
        m_signals.async_wait(
            [this](const boost::system::error_code& error, int signal)
            {
                if (error)
                    return;
                if (signal == SIGHUP)
                    reload();
                else
                    m_node.begin_stop();
                wait_for_signal();
            });
    }

    void schedule_reload()
    {
        m_timer.expires_after(reload_interval);
        m_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                    return;
                reload();
                schedule_reload();
            });
    }

    void reload()
    {
        const auto changed = platform::load_machine_settings(m_path);
        if (!changed)
        {
            log::warn("settings", "cannot reload the settings, the former ones stay in use: " +
                                      changed.error().to_string());
            return;
        }
        if (changed.value().node.seeds == m_seeds)
            return;
        m_seeds = changed.value().node.seeds;
        m_node.reload(changed.value().node);
    }

    serving::node& m_node;
    std::string m_path;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    std::vector<core::address> m_seeds;
};

} // namespace

int run_machine_node(const std::string& settings_path)
{
    const auto settings = platform::load_machine_settings(settings_path);
    if (!settings)
    {
        log::write_last_line(settings.error().to_string());
        return exit_bad_settings;
    }
    gateway::set_up_log({});
    std::signal(SIGPIPE, SIG_IGN);
    constexpr int concurrency_hint = 1;
    asio::io_context loop(concurrency_hint);
    const platform::client_protocol callers;
    const platform::server_protocol upstreams;
    const platform::entry_protocol control;
    const auto source =
        platform::make_store_source(loop, settings.value().store, settings.value().node.zones,
                                    settings.value().node.accounts.revocation);
    serving::node node(loop, settings.value().node, {*source, callers, upstreams, control});
    const process_events events(loop, node, settings_path);
    if (const auto started = node.start(); !started)
    {
        log::write_last_line(started.error().to_string());
        return exit_cannot_start;
    }
    loop.run();
    // The loop may hold suspended calls, which use the node: neither can be destroyed first.
    log::finish(serving::stop_schedule(settings.value().node.stop_time).flush_time());
    std::_Exit(0);
}

} // namespace snipeplank
