/// The node program: reads its settings, serves until SIGTERM, then shuts down gracefully.

#include <snipeplank/gateway/log_format.hpp>
#include <snipeplank/gateway/node.hpp>
#include <snipeplank/log/process_log.hpp>
#include <snipeplank/platform/machine_settings.hpp>
#include <snipeplank/settings/node_settings.hpp>

#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <thread>

#include "exit_status.hpp"
#include "machine_node.hpp"

DEFINE_string(settings, "", "YAML file with the settings of this node (required)");
DEFINE_bool(check, false, "check the settings and exit without serving");

namespace
{

using snipeplank::exit_bad_settings;
using snipeplank::exit_cannot_start;

/// How long the reader of the log is waited for when the process ends.
constexpr snipeplank::core::milliseconds log_flush_limit{200};

/// Blocks SIGTERM and SIGINT in this thread and in every thread that it starts later; ignores
/// SIGPIPE.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// The first signal begins the graceful shutdown, the second one ends the process.
void wait_for_signals(const sigset_t& signals, snipeplank::gateway::node& node)
{
    int received = 0;
    sigwait(&signals, &received);
    node.begin_drain();
    sigwait(&signals, &received);
    spdlog::warn("second signal: exiting without waiting for requests in flight");
    snipeplank::log::finish(log_flush_limit);
    std::_Exit(exit_cannot_start);
}

int serve(const snipeplank::settings::node_settings& settings)
{
    const sigset_t signals = block_stop_signals();
    snipeplank::gateway::node node(settings);
    if (const auto started = node.start(); !started)
    {
        spdlog::error("{}", started.error().to_string());
        snipeplank::log::finish(log_flush_limit);
        return exit_cannot_start;
    }
    spdlog::info("serving callers on {}, peers on {}, operators on {}",
                 settings.caller_address.get(), settings.peer_address.get(),
                 settings.admin_address.get());
    std::thread([&] { wait_for_signals(signals, node); }).detach();
    node.wait_for_drain();
    node.stop();
    spdlog::info("stopped");
    snipeplank::log::finish(log_flush_limit);
    std::_Exit(0); // the signal thread still waits for a second signal
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("the snipeplank node: serves callers in front of upstreams\n\n"
                            "  snipeplank --settings node.yaml          serve until SIGTERM\n"
                            "  snipeplank --settings node.yaml --check  check the settings only\n\n"
                            "SIGTERM begins a graceful shutdown; a second one ends at once.\n"
                            "snipeplankctl questionnaire writes settings and configuration.");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string machine_settings = snipeplank::platform::machine_settings_path();
    if (FLAGS_settings.empty() && !machine_settings.empty())
        return snipeplank::run_machine_node(machine_settings);
    if (FLAGS_settings.empty())
    {
        snipeplank::log::write_last_line("no settings file is given; start with --settings FILE");
        return exit_bad_settings;
    }
    const auto settings = snipeplank::settings::load_node_settings(FLAGS_settings);
    if (!settings)
    {
        snipeplank::log::write_last_line(settings.error().to_string());
        return exit_bad_settings;
    }
    if (FLAGS_check)
        return 0;
    snipeplank::gateway::set_up_log(settings.value());
    return serve(settings.value());
}
