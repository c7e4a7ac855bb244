#include <snipeplank/gateway/upstream_connection.hpp>

#include "framed_stream.hpp"

namespace snipeplank::gateway
{

upstream_connection::upstream_connection(const std::string& host, int port)
    : httplib::ClientImpl(host, port)
{
}

bool upstream_connection::process_socket(const Socket& socket,
                                         std::function<bool(httplib::Stream&)> callback)
{
    m_framing.emplace(m_is_head_request, m_max_body);
    framed_stream stream(socket.sock,
                         {to_limit(read_timeout_sec_, read_timeout_usec_),
                          to_limit(write_timeout_sec_, write_timeout_usec_)},
                         [this](std::string_view bytes) { return m_framing->add(bytes); });
    return callback(stream);
}

} // namespace snipeplank::gateway
