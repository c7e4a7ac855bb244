/// @file
/// Decides by the age of what this node knows whether a request may be served now.

#ifndef SNIPEPLANK_SERVING_SRC_STATE_ADMISSION_HPP
#define SNIPEPLANK_SERVING_SRC_STATE_ADMISSION_HPP

#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/serving/configuration_lease.hpp>
#include <snipeplank/serving/home_regions.hpp>

#include <optional>

namespace snipeplank::serving
{

/// @brief The refusal of a request that needs a confirmed configuration; it has not run.
policy::refusal unconfirmed_refusal();

/// @brief What a node knows of the age of its configuration.
class configuration_evidence
{
  public:
    virtual ~configuration_evidence() = default;

    /// @brief Time since the configuration in force was confirmed; nothing: it never was.
    virtual std::optional<core::milliseconds> confirmed_age() const = 0;

    /// @brief Whether this node reaches most nodes of the fleet and has heard of no newer
    /// configuration from any.
    virtual bool is_newest_in_fleet() const = 0;

    /// @brief Whether this node's configuration, or its evacuations, were confirmed longer ago than
    /// they may be, while a live node has named newer ones.
    virtual bool is_behind() const = 0;
};

/// @brief Whether a node's state is new enough for its requests. Used on the event loop only.
///
/// A node that knows that it is behind serves nothing: another one can. One that merely hears of
/// nothing new goes on, so that an isolated region serves its own, but for requests with homes.
/// Homes move with a configuration, and a node that is cut off does not hear of it. Data that ran
/// in a wrong region can't be taken back, so such a node refuses what only some regions may serve.
/// While the store can't be read by anyone, the nodes that reach most others go on: one of these
/// that could read it would tell them.
class state_admission
{
  public:
    /// @param evidence outlives the object
    state_admission(lease_terms terms, const configuration_evidence& evidence)
        : m_terms(terms), m_evidence(evidence)
    {
    }

    /// @brief Time since the configuration in force was confirmed; nothing: it never was.
    std::optional<core::milliseconds> confirmed_age() const { return m_evidence.confirmed_age(); }

    /// @brief Whether the homes of the configuration in force may be relied on now.
    bool are_current() const;

    /// @brief Whether a request may be served now, and in one of these homes.
    /// @return why it is refused, or nothing
    std::optional<policy::refusal> find_refusal(const home_regions& homes) const;

  private:
    lease_terms m_terms;
    const configuration_evidence& m_evidence;
};

} // namespace snipeplank::serving

#endif
