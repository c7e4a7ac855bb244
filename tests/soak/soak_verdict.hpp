/// @file
/// Judges a soak from what its callers and servers saw.

#ifndef SNIPEPLANK_TESTS_SOAK_SOAK_VERDICT_HPP
#define SNIPEPLANK_TESTS_SOAK_SOAK_VERDICT_HPP

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "http_exchange.hpp"

namespace snipeplank::tests
{

using soak_time = std::chrono::steady_clock::time_point;

/// @brief Kinds of request that the soak sends, by their route.
enum class call_kind
{
    book,   ///< runs once at most
    read,   ///< bound to the home region
    stream, ///< may be resumed
};

/// @brief One request as its caller saw it.
struct call_record
{
    std::string id;
    call_kind kind = call_kind::book;
    soak_time sent{};
    http_answer answer;
};

/// @brief One server and what it says it ran.
struct server_record
{
    std::string name;
    std::string region;
    std::map<std::string, int> runs; ///< by request id
};

/// @brief A span in which a server must not get requests that callers sent.
struct closed_span
{
    std::string server; ///< its name
    soak_time from{};
    soak_time to{};
};

/// @brief All that was seen in one soak.
struct soak_record
{
    std::vector<call_record> calls;
    std::vector<server_record> servers;
    std::string home;        ///< region of the bound route
    bool is_planned = false; ///< nothing but planned work happened
    std::vector<closed_span> closed;
};

/// @brief Broken promises, one line each; empty when all were kept.
std::vector<std::string> find_broken_promises(const soak_record& seen);

/// @brief Path of a request of this kind.
std::string path_of(call_kind kind, const std::string& id);

} // namespace snipeplank::tests

#endif
