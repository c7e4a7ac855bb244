/// @file
/// Error codes and the result type. Every error carries a message and a remedy.

#ifndef SNIPEPLANK_CORE_ERROR_HPP
#define SNIPEPLANK_CORE_ERROR_HPP

#include <snipeplank/core/printable.hpp>

#include <boost/outcome/result.hpp>

#include <stdexcept>
#include <string>

namespace snipeplank::core
{

/// @brief Error codes. The hundreds digit identifies the package that reports the error.
enum class error_code
{
    invalid_address = 101,
    settings_unreadable = 201,
    settings_syntax = 202,
    settings_unknown_key = 203,
    settings_duplicate_key = 204,
    settings_missing_key = 205,
    settings_bad_value = 206,
    settings_out_of_range = 207,
    config_invalid = 210,
    listing_invalid = 211,
    answers_contradict = 220,
    ticket_malformed = 301,
    ticket_bad_signature = 302,
    frame_too_large = 401,
    frame_unverified = 402,
    frame_wrong_version = 403,
    frame_unknown_message = 404,
    peer_unauthenticated = 405,
    peer_silent = 406,
    connection_failed = 501,
    connection_closed = 502,
    upstream_timeout = 503,
    answer_truncated = 504,
    message_invalid = 505,
    answer_too_large = 506,
};

/// @brief An error: its code, what went wrong and how to resolve it.
struct error
{
    error_code code{};
    std::string message;
    std::string remedy;

    /// @brief One line: `[code] message; remedy`. The message may quote other programs.
    std::string to_string() const
    {
        return "[" + std::to_string(static_cast<int>(code)) + "] " +
               printable(message + "; " + remedy);
    }
};

/// @brief Exception thrown by `result::value()` when the result holds an error.
class error_exception : public std::runtime_error
{
  public:
    explicit error_exception(error cause)
        : std::runtime_error(cause.to_string()), m_cause(std::move(cause))
    {
    }

    /// @brief The error of the failed result.
    const error& cause() const noexcept { return m_cause; }

  private:
    error m_cause;
};

/// @brief Customization point of Boost.Outcome: called when `value()` is used on a failed result.
[[noreturn]] inline void outcome_throw_as_system_error_with_payload(error cause)
{
    throw error_exception(std::move(cause));
}

/// @brief A value or an error.
///
/// @code
/// core::result<settings::node_settings> loaded = settings::load_node_settings(path);
/// if (!loaded)
///     report(loaded.error().to_string());
/// @endcode
template <typename Value>
using result = boost::outcome_v2::basic_result<
    Value, error, boost::outcome_v2::policy::error_code_throw_as_system_error<Value, error, void>>;

/// @brief Makes a failed result.
inline auto fail(error_code code, std::string message, std::string remedy)
{
    return boost::outcome_v2::failure(error{code, std::move(message), std::move(remedy)});
}

} // namespace snipeplank::core

#endif
