/// @file
/// The log of the process: all lines go through one writer, and no caller waits for their reader.

#ifndef SNIPEPLANK_LOG_PROCESS_LOG_HPP
#define SNIPEPLANK_LOG_PROCESS_LOG_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/log/line_writer.hpp>

#include <cstdint>
#include <string_view>

namespace snipeplank::log
{

/// @brief Writer of standard output. Never destroyed.
line_writer& standard_output();

/// @brief Leads the lines of spdlog's default logger to `standard_output`.
void take_default_logger();

/// @brief Logs a warning that may repeat. Thread-safe.
/// @param cause one of a fixed set of texts; each has its own limit, see `repeat_limit`
void warn(std::string_view cause, std::string_view text);

/// @brief As `warn`, for a line that is no warning.
void inform(std::string_view cause, std::string_view text);

/// @brief Number of lines that were left out because they repeat.
std::uint64_t left_out();

/// @brief Logs how many warnings were left out, and waits until all lines are written, for at most
/// `limit`. Called right before the process ends.
void finish(core::milliseconds limit);

/// @brief Writes a line to standard error for a process that ends right away; waits for its reader
/// for a moment.
void write_last_line(std::string_view line);

} // namespace snipeplank::log

#endif
