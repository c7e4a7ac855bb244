/// @file
/// Parser of the framing of messages that keeps nothing but the status.

#ifndef SNIPEPLANK_GATEWAY_SRC_FRAMING_PARSER_HPP
#define SNIPEPLANK_GATEWAY_SRC_FRAMING_PARSER_HPP

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <cstdint>

namespace snipeplank::gateway
{

/// Largest head of a message that is read.
constexpr std::uint32_t max_head_bytes = 131'072;
/// Largest part of a message that is parsed as a unit: the head, a chunk header or the trailers.
constexpr std::size_t max_pending_bytes = max_head_bytes;

/// @brief Parses the framing of requests or answers.
template <bool is_request>
class framing_parser : public boost::beast::http::basic_parser<is_request>
{
    using text = boost::beast::string_view;
    using error_code = boost::system::error_code;

  public:
    /// @brief Status of an answer; 0 before its first line was read.
    int status() const { return m_status; }

    /// @brief What has arrived of the body, in bytes.
    std::uint64_t body_bytes() const { return m_body_bytes; }

  private:
    void on_request_impl(boost::beast::http::verb, text, text, int, error_code&) override {}

    void on_response_impl(int status, text, int, error_code&) override { m_status = status; }

    void on_field_impl(boost::beast::http::field name, text, text value, error_code& error) override
    {
        if (name == boost::beast::http::field::transfer_encoding &&
            !boost::beast::iequals(value, "chunked"))
            error = boost::beast::http::error::bad_transfer_encoding;
    }

    void on_header_impl(error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}

    std::size_t on_body_impl(text body, error_code&) override { return count(body); }

    void on_chunk_header_impl(std::uint64_t, text, error_code&) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, text body, error_code&) override
    {
        return count(body);
    }

    void on_finish_impl(error_code&) override {}

    std::size_t count(text body)
    {
        m_body_bytes += body.size();
        return body.size();
    }

    int m_status = 0;
    std::uint64_t m_body_bytes = 0;
};

} // namespace snipeplank::gateway

#endif
