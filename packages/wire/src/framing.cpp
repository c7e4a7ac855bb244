#include <snipeplank/wire/framing.hpp>

namespace snipeplank::wire
{

void frame_reader::append(std::string_view bytes)
{
    m_buffer.erase(0, m_start);
    m_start = 0;
    m_buffer.append(bytes);
}

core::result<std::optional<std::string>> frame_reader::next()
{
    const std::size_t available = m_buffer.size() - m_start;
    if (available < length_bytes)
    {
        return std::optional<std::string>();
    }
    constexpr std::size_t byte_values = 256;
    std::size_t length = 0;
    for (std::size_t i = length_bytes; i > 0; --i)
    {
        length = length * byte_values + static_cast<unsigned char>(m_buffer[m_start + i - 1]);
    }
    if (length > m_limit)
    {
        return core::fail(core::error_code::frame_too_large,
                          "a frame of " + std::to_string(length) +
                              " bytes was announced, above the limit of " + std::to_string(m_limit),
                          "check that the peer runs snipeplank and that max_body is the same");
    }
    if (available < length_bytes + length)
    {
        return std::optional<std::string>();
    }
    std::optional<std::string> payload(m_buffer.substr(m_start + length_bytes, length));
    m_start += length_bytes + length;
    return payload;
}

} // namespace snipeplank::wire
