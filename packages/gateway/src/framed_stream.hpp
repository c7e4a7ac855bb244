/// @file
/// A socket as a stream of cpp-httplib, with time limits and a check of the bytes that arrive.

#ifndef SNIPEPLANK_GATEWAY_SRC_FRAMED_STREAM_HPP
#define SNIPEPLANK_GATEWAY_SRC_FRAMED_STREAM_HPP

#include <httplib.h>

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace snipeplank::gateway
{

/// @brief Time limits of one operation on a socket.
struct stream_limits
{
    std::chrono::milliseconds read{0};
    std::chrono::milliseconds write{0};
};

/// @brief Reads and writes a socket within time limits, and shows the bytes that it reads to a
/// check. Does not own the socket.
class framed_stream final : public httplib::Stream
{
  public:
    /// Takes the bytes in the order in which they arrive; false: nothing more may be read.
    using byte_check = std::function<bool(std::string_view)>;

    framed_stream(int socket, stream_limits limits, byte_check check);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* data, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return m_socket; }

    /// @brief Waits for bytes to read, at most so long.
    bool waits_for_bytes(std::chrono::milliseconds limit) const;

  private:
    static constexpr std::size_t buffer_size = 4'096;

    ssize_t receive();
    bool waits_for(short event, std::chrono::milliseconds limit) const;

    int m_socket;
    stream_limits m_limits;
    byte_check m_check;
    std::array<char, buffer_size> m_buffer{};
    std::string_view m_unread; ///< part of the buffer
};

/// @brief A time limit in the parts in which the library keeps it.
std::chrono::milliseconds to_limit(time_t seconds, time_t microseconds);

} // namespace snipeplank::gateway

#endif
