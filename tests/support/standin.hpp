/// @file
/// Runs a stand-in program in a test.

#ifndef SNIPEPLANK_TESTS_SUPPORT_STANDIN_HPP
#define SNIPEPLANK_TESTS_SUPPORT_STANDIN_HPP

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "fail_test.hpp"
#include "http_exchange.hpp"

namespace snipeplank::tests
{

/// @brief A running stand-in that is ready for connections.
///
/// @code
/// standin engine("standin_engine", {"--name", "alpha"});
/// engine.set_faults({{"silent_after_bytes", 100}, {"calls", 1}});
/// @endcode
class standin
{
  public:
    /// @brief Starts the program on a free port and waits until it listens.
    explicit standin(const std::string& program, const std::vector<std::string>& arguments = {});

    /// @brief Address that it serves.
    const std::string& address() const { return m_address; }

    /// @brief Address of the HTTP interface that sets faults; differs for the relay only.
    const std::string& control() const { return m_control; }

    /// @brief Replaces all faults.
    ///
    /// Fails the test when the stand-in refuses them.
    void set_faults(const nlohmann::json& faults) const;

    /// @brief `GET /standin/counts`.
    nlohmann::json counts() const { return get_json("/standin/counts"); }

    /// @brief The JSON document at `path`.
    nlohmann::json get_json(const std::string& path) const;

    child_process& process() { return *m_process; }

    /// @brief Starts the program again after its process has ended.
    void restart(const std::vector<std::string>& arguments);

  private:
    std::string m_program;
    std::unique_ptr<child_process> m_process;
    std::string m_address;
    std::string m_control;
};

/// @brief Evaluates `condition` every 20 ms until it is true, for at most 30 s.
/// @return whether it became true
template <typename Condition>
bool holds_soon(Condition condition)
{
    constexpr int attempts = 1'500;
    constexpr std::chrono::milliseconds pause{20};
    for (int attempt = 0; attempt < attempts; ++attempt)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

/// @brief Like `holds_soon`, but fails the test with `what` when the condition stays false.
template <typename Condition>
void wait_until(const std::string& what, Condition condition)
{
    if (!holds_soon(condition))
    {
        fail_test("not within 30 s: " + what);
    }
}

} // namespace snipeplank::tests

#endif
