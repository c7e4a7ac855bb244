/// @file
/// Targets of requests that this program composes.

#ifndef SNIPEPLANK_HTTP_REQUEST_TARGET_HPP
#define SNIPEPLANK_HTTP_REQUEST_TARGET_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace snipeplank::http
{

/// @brief Path and query of a request that this program composes.
///
/// Names and values may hold any bytes, for example a key that another program wrote: everything
/// but unreserved characters (RFC 3986, 2.3) is percent-encoded here, so a value can neither end
/// its parameter nor the request line.
/// @code
/// const auto target = request_target("/items").add("after", last_key);
/// @endcode
class request_target
{
  public:
    /// @param path begins with a slash; its slashes are kept, other reserved characters are encoded
    explicit request_target(std::string_view path);

    /// @brief Adds a parameter to the query.
    request_target& add(std::string_view name, std::string_view value);
    request_target& add(std::string_view name, std::uint64_t value);

    /// @brief The target as it stands in the request line.
    const std::string& text() const { return m_text; }

  private:
    std::string m_text;
    bool m_has_query = false;
};

} // namespace snipeplank::http

#endif
