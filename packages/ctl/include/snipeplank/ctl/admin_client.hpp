/// @file
/// HTTP client for the admin address of a node.

#ifndef SNIPEPLANK_CTL_ADMIN_CLIENT_HPP
#define SNIPEPLANK_CTL_ADMIN_CLIENT_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>

#include <functional>
#include <memory>
#include <string>

namespace snipeplank::ctl
{

/// @brief HTTP status and body that a node answered with.
struct admin_answer
{
    int status = 0;
    std::string body;
};

/// @brief Sends plain HTTP requests to one node. An interface, so that tests need no sockets.
class admin_client
{
  public:
    virtual ~admin_client() = default;

    /// @brief Sends a GET. Fails with `connection_failed` when no answer arrives.
    virtual core::result<admin_answer> get(const std::string& path) = 0;

    /// @brief Sends a POST without a body. Fails with `connection_failed` like `get`.
    virtual core::result<admin_answer> post(const std::string& path) = 0;
};

/// @brief Creates a client for an admin address.
using admin_connector = std::function<std::unique_ptr<admin_client>(const core::address&)>;

/// @brief Creates an HTTP client with a connect timeout of 2 s and a read timeout of 5 s.
std::unique_ptr<admin_client> connect_over_http(const core::address& admin);

} // namespace snipeplank::ctl

#endif
