/// @file
/// Closing a listener without a reset of connections that the kernel has opened already.

#ifndef SNIPEPLANK_HTTP_LISTENER_HPP
#define SNIPEPLANK_HTTP_LISTENER_HPP

#include <snipeplank/core/units.hpp>

namespace snipeplank::http
{

/// Time for handshakes that had begun when further ones were stopped.
constexpr core::milliseconds handshake_time{50};

/// @brief Makes the kernel open no further connection to a listening TCP socket.
///
/// The socket drops the first packet of each handshake (SYN). Handshakes that have begun end, and
/// connections that wait can be accepted. A client that begins one meanwhile sends the packet again
/// a second later, and is refused if the socket is closed by then.
/// @param listener file descriptor of a listening socket
/// @return whether the kernel has taken the filter
bool stop_handshakes(int listener);

} // namespace snipeplank::http

#endif
