/// @file
/// Calls to a node's admin address.

#ifndef SNIPEPLANK_CTL_ADMIN_CLIENT_HPP
#define SNIPEPLANK_CTL_ADMIN_CLIENT_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/ids.hpp>

#include <functional>
#include <memory>
#include <string>

namespace snipeplank::ctl
{

/// @brief An answer of a node.
struct admin_answer
{
    int status = 0;
    std::string body;
};

/// @brief Plain HTTP to one node; an interface, so that tests need no sockets.
class admin_client
{
  public:
    virtual ~admin_client() = default;

    /// @brief Sends a GET. Fails with `connection_failed` when no answer arrives.
    virtual core::result<admin_answer> get(const std::string& path) = 0;

    /// @brief Sends a POST without a body. Fails with `connection_failed` like `get`.
    virtual core::result<admin_answer> post(const std::string& path) = 0;
};

/// @brief Makes a client for an admin address.
using admin_connector = std::function<std::unique_ptr<admin_client>(const core::address&)>;

/// @brief A client that connects within 2 s and waits at most 5 s for an answer.
std::unique_ptr<admin_client> connect_over_http(const core::address& admin);

} // namespace snipeplank::ctl

#endif
