/// @file
/// A connection to an upstream that checks the framing of its answers.

#ifndef SNIPEPLANK_GATEWAY_SRC_UPSTREAM_CONNECTION_HPP
#define SNIPEPLANK_GATEWAY_SRC_UPSTREAM_CONNECTION_HPP

#include <httplib.h>

#include <functional>
#include <optional>
#include <string>

#include "answer_framing.hpp"

namespace snipeplank::gateway
{

/// @brief A client of cpp-httplib whose answers are checked while they arrive.
class upstream_connection final : public httplib::ClientImpl
{
  public:
    upstream_connection(const std::string& host, int port);

    /// @brief Says whether the next request is a HEAD request, whose answer has no body.
    void set_head_request(bool is_head_request) { m_is_head_request = is_head_request; }

    /// @brief Framing of the latest answer; nothing before the first request was sent.
    const std::optional<answer_framing>& framing() const { return m_framing; }

  private:
    bool process_socket(const Socket& socket,
                        std::function<bool(httplib::Stream&)> callback) override;

    std::optional<answer_framing> m_framing;
    bool m_is_head_request = false;
};

} // namespace snipeplank::gateway

#endif
