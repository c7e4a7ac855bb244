/// @file
/// Binds the stream of one call to the software version that began it.

#ifndef SNIPEPLANK_SERVING_SRC_STREAM_BINDING_HPP
#define SNIPEPLANK_SERVING_SRC_STREAM_BINDING_HPP

#include <snipeplank/policy/software_version_key.hpp>
#include <snipeplank/serving/protocols.hpp>
#include <snipeplank/serving/routing_table.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

#include "stream_directory.hpp"

namespace snipeplank::serving
{

/// How long a take-up waits for what other nodes know of its stream: a round trip between regions.
constexpr core::milliseconds max_origin_wait{250};
/// The same while only the nodes of this region are asked.
constexpr core::milliseconds max_local_origin_wait{100};

/// @brief Id of the caller's attempt that brought the first event of its stream; that of the
/// request itself unless it takes a stream up.
const std::string& first_attempt_of(const caller_request& request);

/// @brief A software version as log lines name it.
std::string to_hex(policy::software_version_key version);

/// @brief The software version at which the stream of a call may go on. Used on the event loop
/// only.
///
/// A stream is bound when its first event is about to be sent to the caller, or before its first
/// attempt when the caller takes it up.
class stream_binding
{
  public:
    /// @param directory outlives the object
    explicit stream_binding(stream_directory& directory) : m_directory(directory) {}

    /// @brief Sets the request, before all else.
    void set_request(const caller_request& request, const route& chosen,
                     const core::service_id& service);

    /// @brief Finds the version that began the stream, if the caller takes one up.
    /// @return false if nobody knows it: the stream must not go on
    boost::asio::awaitable<bool> find(boost::asio::io_context& loop);

    /// @brief Binds the stream, unless it is bound or the version is 0.
    void bind(policy::software_version_key version);

    bool is_bound() const { return m_required != policy::software_version_key{}; }

    /// @brief The only version that may be used; 0: any.
    policy::software_version_key required() const { return m_required; }

    /// @brief Whether an answer of this version may be passed on.
    bool allows(policy::software_version_key version) const;

    /// @brief Sets the version of the upstream to which the request is about to be sent.
    /// @return whether it may be sent there
    bool set_attempt(policy::software_version_key version);
    policy::software_version_key attempt_version() const { return m_attempt; }

    /// @brief Records the origin of the stream for later take-ups.
    /// @param received when the request was received
    void record(core::time_point received) const;

    /// @brief The stream that is taken up, for the log; empty for a new one.
    std::string describe() const;

  private:
    stream_directory& m_directory;
    taken_up_stream m_taken_up;
    std::string m_first_attempt;
    core::milliseconds m_lifetime{0};
    bool m_is_take_up = false;
    found_origin m_found;
    policy::software_version_key m_required;
    policy::software_version_key m_attempt;
};

} // namespace snipeplank::serving

#endif
