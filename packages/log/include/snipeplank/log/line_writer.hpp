/// @file
/// Writes lines to a file descriptor on a thread of its own.

#ifndef SNIPEPLANK_LOG_LINE_WRITER_HPP
#define SNIPEPLANK_LOG_LINE_WRITER_HPP

#include <snipeplank/core/units.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace snipeplank::log
{

/// @brief A bounded queue of lines and the thread that writes them. Thread-safe.
///
/// No caller waits for the reader of the descriptor, and neither does the destructor: a thread that
/// a reader holds up is left behind.
class line_writer
{
  public:
    /// Bytes of lines that wait for a reader that is slow or stands still.
    static constexpr std::size_t default_capacity = 1'048'576;
    /// Longer lines are dropped.
    static constexpr std::size_t max_line_bytes = 16'384;

    /// @param descriptor stays open as long as the process
    /// @param capacity bytes of lines that wait, beside the one that is being written
    explicit line_writer(int descriptor, std::size_t capacity = default_capacity);
    ~line_writer();
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    /// @brief Queues a line. A full queue drops its oldest lines.
    /// @param line without the newline
    void push(std::string line);

    /// @brief Waits until all queued lines are written, for at most `limit`.
    /// @return whether they are
    bool flush(core::milliseconds limit);

    /// @brief Number of lines that were dropped or could not be written.
    std::uint64_t dropped() const;

  private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace snipeplank::log

#endif
