/// @file
/// A connection to an upstream that checks the framing of its answers.

#ifndef SNIPEPLANK_GATEWAY_UPSTREAM_CONNECTION_HPP
#define SNIPEPLANK_GATEWAY_UPSTREAM_CONNECTION_HPP

#include <snipeplank/gateway/answer_framing.hpp>

#include <httplib.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace snipeplank::gateway
{

/// @brief A client of cpp-httplib whose answers are checked while they arrive.
class upstream_connection final : public httplib::ClientImpl
{
  public:
    upstream_connection(const std::string& host, int port);

    /// @brief Says whether the next request is a HEAD request, whose answer has no body.
    void set_head_request(bool is_head_request) { m_is_head_request = is_head_request; }

    /// @brief Limits the bodies of answers; without it they have any size, as a stream may.
    /// @param bytes largest body that is read
    void set_max_body(std::uint64_t bytes) { m_max_body = bytes; }

    /// @brief Framing of the latest answer; nothing before the first request was sent.
    const std::optional<answer_framing>& framing() const { return m_framing; }

  private:
    bool process_socket(const Socket& socket,
                        std::function<bool(httplib::Stream&)> callback) override;

    std::optional<answer_framing> m_framing;
    bool m_is_head_request = false;
    std::uint64_t m_max_body = answer_framing::any_size;
};

} // namespace snipeplank::gateway

#endif
