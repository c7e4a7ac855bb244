/// @file
/// Starts, watches and ends the programs that a test needs.

#ifndef SNIPEPLANK_TESTS_SUPPORT_CHILD_PROCESS_HPP
#define SNIPEPLANK_TESTS_SUPPORT_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace snipeplank::tests
{

/// @brief Path of a program of this build, or of another one that SNIPEPLANK_BIN_DIR names.
std::string program_path(const std::string& name);

/// @brief One process that the test started. The destructor kills it by its id.
///
/// Start processes from the test's main thread: they are killed when that thread ends.
/// @code
/// child_process engine("standin_engine", {"--name", "alpha"});
/// const std::string address = engine.wait_ready();
/// @endcode
class child_process
{
  public:
    /// @brief Starts `program` of this build.
    child_process(const std::string& program, const std::vector<std::string>& arguments);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// @brief Waits for the line `ready ...`.
    /// @return its words after `ready`
    /// Fails the test when the process ends or stays silent for too long
    std::vector<std::string> wait_ready_words();

    /// @brief Waits for the line `ready <address> ...` and returns the address.
    std::string wait_ready() { return wait_ready_words().front(); }

    /// @brief Sends a signal; does nothing once the process has ended.
    void send_signal(int signal);

    /// @brief Stops the process until `resume()`.
    void freeze();

    /// @brief Lets a stopped process go on.
    void resume();

    /// @brief Ends the process at once and waits for its end.
    void kill();

    /// @brief Asks the process to end and waits for it, without a bound of its own.
    /// @return the exit status, or minus the number of the signal that ended it
    int terminate();

    /// @brief Waits until the process ends by itself.
    int wait();

    /// @brief Whether the process has not ended yet.
    bool is_running();

    /// @brief Everything written to standard output and error so far.
    std::string output() const;

    /// @brief Process id.
    pid_t id() const { return m_id; }

  private:
    void read_output(int pipe);
    std::optional<std::string> find_line(const std::string& prefix) const;

    std::string m_program;
    pid_t m_id = -1;
    std::optional<int> m_status;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_output;
    bool m_output_ended = false;
    std::thread m_reader;
};

/// @brief A loopback address `127.0.0.1:PORT` whose port was free just now.
///
/// Another process may take it before it is used; programs that can should be given port 0.
std::string free_address();

} // namespace snipeplank::tests

#endif
