/// @file
/// A caller of a soak: one thread that sends requests on a connection that it keeps open.

#ifndef SNIPEPLANK_TESTS_SOAK_SOAK_CALLER_HPP
#define SNIPEPLANK_TESTS_SOAK_SOAK_CALLER_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "http_exchange.hpp"
#include "soak_verdict.hpp"

namespace snipeplank::tests
{

/// @brief What all callers of a soak know.
struct caller_view
{
    bool sends_long_requests = false;
    bool takes_streams_up = false;
    std::vector<std::string> nodes{};                      ///< where streams may be taken up
    std::function<std::chrono::milliseconds()> idle_limit; ///< of an open connection; 0 for none
    std::atomic<bool> sends_fatal_part{false};
    std::atomic<bool> sends_fatal_path{false};
    std::atomic<bool> is_stopped{false};
};

/// @brief Part of a prompt that ends a server while `crash_servers` is active.
inline const std::string fatal_part = "fatal";

/// @brief Sends one request after the other to one node and records the answers.
class soak_caller
{
  public:
    /// @param seed of its random numbers
    soak_caller(std::size_t number, std::uint64_t seed, std::size_t node, std::string address,
                const caller_view& view);

    /// @brief Waits for the last answer. The view must say that the soak is stopped.
    std::vector<call_record> finish();

  private:
    void run();
    call_record send(const std::string& id, std::uint64_t draw);
    bool leaves(std::uint64_t draw) const;
    void take_up(call_record made);
    call_record send_again(const call_record& before, const std::string& events, int number);
    std::chrono::milliseconds deadline_of(call_kind kind, std::uint64_t draw) const;
    bool is_drawn(std::size_t callers, std::uint64_t draw) const;
    std::chrono::milliseconds pause_after(const call_record& made);

    std::size_t m_number;
    std::size_t m_node;
    std::string m_address;
    const caller_view& m_view;
    std::mt19937_64 m_random;
    std::unique_ptr<http_exchange> m_open;
    soak_time m_last_answer{};
    std::vector<call_record> m_calls;
    std::thread m_thread;
};

} // namespace snipeplank::tests

#endif
