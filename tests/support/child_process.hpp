/// @file
/// Starts, monitors and ends the programs that a test needs.

#ifndef SNIPEPLANK_TESTS_SUPPORT_CHILD_PROCESS_HPP
#define SNIPEPLANK_TESTS_SUPPORT_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <chrono>
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
    ///
    /// Fails the test when the process ends, or prints no such line within 30 s.
    /// @return the words after `ready`
    std::vector<std::string> wait_ready_words();

    /// @brief Waits for the line `ready <address> ...` and returns the address.
    std::string wait_ready() { return wait_ready_words().front(); }

    /// @brief Sends a signal; does nothing once the process has ended.
    void send_signal(int signal);

    /// @brief Pauses the process with SIGSTOP until `resume()`. Returns once it has stopped or
    /// ended.
    void pause();

    /// @brief Resumes a paused process with SIGCONT.
    void resume();

    /// @brief Kills the process with SIGKILL and waits for it to exit.
    void kill();

    /// @brief Sends SIGTERM and waits for the process to exit, without a timeout.
    /// @return the exit status, or minus the number of the signal that ended it
    int terminate();

    /// @brief Waits until the process exits by itself.
    int wait();

    /// @brief Whether the process has not exited yet.
    bool is_running();

    /// @brief Everything written to standard output and error so far.
    std::string output() const;

    /// @brief Fills the pipe of the output and reads it no longer, as a collector of logs that
    /// stands still does.
    void hold_output();

    /// @brief Goes on reading the output.
    void release_output();

    /// @brief Waits until the process exits by itself, for at most `limit`.
    /// @return the exit status, or nothing when it still runs
    std::optional<int> wait_for(std::chrono::milliseconds limit);

    /// @brief Process id.
    pid_t id() const { return m_id; }

  private:
    void read_output();
    std::optional<std::string> find_line(const std::string& prefix) const;

    std::string m_program;
    pid_t m_id = -1;
    std::optional<int> m_status;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_output;
    bool m_output_ended = false;
    bool m_is_held = false;
    int m_pipe = -1; ///< end from which the output is read
    std::thread m_reader;
};

/// @brief A loopback address `127.0.0.1:PORT` whose port was free when it was checked.
///
/// Another process may bind it before it is used, so pass port 0 to programs that support it.
std::string free_address();

} // namespace snipeplank::tests

#endif
