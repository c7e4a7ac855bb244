/// @file
/// The events in the streamed answers of `standin_server`.

#ifndef SNIPEPLANK_TESTS_SUPPORT_EVENT_TEXT_HPP
#define SNIPEPLANK_TESTS_SUPPORT_EVENT_TEXT_HPP

#include <set>
#include <string>

#include "http_exchange.hpp"

namespace snipeplank::tests
{

/// @brief Events with these numbers. The version is that of the server's software; empty for none.
std::string event_text(int from, int to, const std::string& version = "");

/// @brief What a client has of a stream: a body up to the end of its last whole event.
std::string whole_events(const std::string& body);

/// @brief Number of the last whole event; 0 if there is none.
int last_event(const std::string& body);

/// @brief Software versions that the whole events name.
std::set<std::string> versions_in(const std::string& body);

/// @brief The request of a client that takes a stream up.
/// @param id of the new attempt
/// @param first id of the attempt that brought the first event
/// @param body events that it has
http_request taken_up(http_request request, const std::string& id, const std::string& first,
                      const std::string& body);

} // namespace snipeplank::tests

#endif
