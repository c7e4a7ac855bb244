/// @file
/// State source that reads and watches a store.

#ifndef SNIPEPLANK_SERVING_STATE_READER_HPP
#define SNIPEPLANK_SERVING_STATE_READER_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/serving/configuration_lease.hpp>
#include <snipeplank/serving/state_source.hpp>
#include <snipeplank/serving/store_protocol.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace snipeplank::serving
{

/// @brief Creates a state source that reads the store, follows another node of its region, or
/// copies any node: while the store fails, or when that node has named newer state.
/// @param loop outlives the source
/// @param revocation how soon a change of the configuration must be in force
/// @param protocol outlives the source
std::unique_ptr<state_source> make_state_reader(boost::asio::io_context& loop, core::address store,
                                                const lease_terms& revocation,
                                                const store_protocol& protocol,
                                                std::unique_ptr<state_decoder> decoder);

} // namespace snipeplank::serving

#endif
