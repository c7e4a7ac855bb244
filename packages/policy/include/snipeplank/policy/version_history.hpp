/// @file
/// Which software versions of each service were in service lately, as one node saw it. Pure.

#ifndef SNIPEPLANK_POLICY_VERSION_HISTORY_HPP
#define SNIPEPLANK_POLICY_VERSION_HISTORY_HPP

#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/software_version_key.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace snipeplank::policy
{

/// Hash of a service, as `fleet::service_key`.
using service_key = core::strong_type<std::uint32_t, struct service_key_tag>;

/// @brief Versions that are in service at one moment, with the earliest start of their upstreams in
/// Unix ms; 0: not known.
using listed_versions = std::map<service_key, std::map<software_version_key, std::uint64_t>>;

/// @brief Remembers which software versions were listed, and since when the node has watched.
class version_history
{
  public:
    /// How much later than another node this one may learn that a version came or went, and how
    /// long an upstream may serve on when it is listed no more.
    static constexpr core::milliseconds list_lag{10'000};
    /// Longest time for which a version that is gone is remembered.
    static constexpr core::milliseconds max_memory{310'000};

    /// @brief Records the versions that are listed from now on. O(versions).
    void observe(const listed_versions& listed, core::time_point now);

    /// @brief Records that versions may have come and gone unseen until now. The first list that
    /// follows may still be an old one.
    void interrupt(core::time_point now)
    {
        if (m_began)
            m_began = now;
    }

    /// @brief The only version at which a stream of the service can have begun; nothing if there
    /// may be several, or if the node hasn't watched for long enough to know.
    /// @param lifetime longest time for which a stream may be taken up
    std::optional<software_version_key>
    only_version(service_key service, core::milliseconds lifetime, core::time_point now) const;

    /// @brief Whether this node saw several versions of the service in that time.
    bool has_several(service_key service, core::milliseconds lifetime, core::time_point now) const;

    /// @brief Whether this node saw another version of the service in that time.
    bool has_other(service_key service, software_version_key than, core::milliseconds lifetime,
                   core::time_point now) const;

    /// @brief Whether this node has known of the version for that long. Of the versions that it met
    /// first, the one that started first counts as known for long, also at a node that has just
    /// started: a node that knows one version only knows that one.
    /// @return true for a version that was never listed
    bool is_known_for(service_key service, software_version_key version, core::milliseconds span,
                      core::time_point now) const;

  private:
    struct sighting
    {
        bool is_listed = false;
        std::optional<core::time_point> first; ///< when it was listed; nothing: known for long
        core::time_point last{};               ///< when it was taken off the list
    };

    static bool is_recent(const sighting& seen, core::milliseconds lifetime, core::time_point now);

    std::optional<core::time_point> m_began;
    std::map<service_key, std::map<software_version_key, sighting>> m_seen;
};

} // namespace snipeplank::policy

#endif
