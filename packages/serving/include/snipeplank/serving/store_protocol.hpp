/// @file
/// Interfaces of the store that publishes the state; adapters implement them.

#ifndef SNIPEPLANK_SERVING_STORE_PROTOCOL_HPP
#define SNIPEPLANK_SERVING_STORE_PROTOCOL_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/http/message.hpp>
#include <snipeplank/http/request_target.hpp>
#include <snipeplank/serving/item_listing.hpp>
#include <snipeplank/serving/replica.hpp>
#include <snipeplank/serving/state_kind.hpp>
#include <snipeplank/serving/state_source.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace snipeplank::serving
{

/// @brief Answer of the store to a watch.
struct watched_changes
{
    std::vector<replica_event> events;
    std::uint64_t as_of = 0; ///< revision of the store
};

/// @brief Writes requests to the store and reads its answers.
class store_protocol
{
  public:
    virtual ~store_protocol() = default;

    /// @brief Prefix of the keys of a kind; no two kinds share a key.
    virtual std::string prefix(state_kind kind) const = 0;

    /// @brief Asks for the items of a kind, page by page.
    /// @param after last key of the page before; empty for the first page
    virtual http::request_target list(state_kind kind, const std::string& after) const = 0;

    /// @brief Asks for the changes of a kind.
    /// @param after revision from which on changes are wanted
    /// @param wait how long the store may wait for the first change
    virtual http::request_target watch(state_kind kind, std::uint64_t after,
                                       core::milliseconds wait) const = 0;

    /// @brief The era of the store by the head of an answer; 0 when it states none.
    virtual core::result<std::uint64_t> era_of(const http::response_head& answer) const = 0;

    virtual core::result<listing_page> read_page(const std::string& body,
                                                 std::uint64_t era) const = 0;
    virtual core::result<watched_changes> read_changes(const std::string& body) const = 0;

    /// @brief Version of a value by its own word; the lowest one when it has none.
    virtual value_version version_of(const std::string& key, const std::string& value) const = 0;
};

/// @brief Decodes the items of the store and tells the listener what has changed.
class state_decoder
{
  public:
    virtual ~state_decoder() = default;

    /// @param items all that are known of this kind. O(items)
    virtual void decode(state_kind kind, const replica_items& items, state_listener& listener) = 0;
};

} // namespace snipeplank::serving

#endif
