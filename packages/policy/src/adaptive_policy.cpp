#include <snipeplank/core/hash.hpp>
#include <snipeplank/policy/adaptive_policy.hpp>

#include <algorithm>

namespace snipeplank::policy
{

namespace
{

/// Factor on the mean load above which an upstream loses its prefixes to the next in order.
constexpr double load_bound = 1.25;
/// A cold call also delays the calls queued behind it, so a warm cache is worth more than the time
/// that it saves for its own call.
constexpr double warm_factor = 1.5;
/// Random part of the delay in a score. Without it, all nodes with the same delayed reports would
/// choose the same upstream.
constexpr double tie_band = 0.1;
constexpr double ms_per_second = 1'000;

double load_of(const upstream_view& upstream)
{
    return std::max<double>(upstream.in_flight, upstream.reported_load);
}

/// Mean load of the upstreams in this region that take new work.
double mean_load(std::span<const upstream_view> upstreams)
{
    double sum = 0;
    double count = 0;
    for (const upstream_view& upstream : upstreams)
    {
        if (upstream.is_remote || upstream.is_leaving)
            continue;
        sum += load_of(upstream);
        count += 1;
    }
    return count == 0 ? 0 : sum / count;
}

class adaptive final : public routing_policy
{
  public:
    explicit adaptive(const settings::routing_weights& weights) : m_weights(weights) {}

    std::vector<std::size_t> rank(const call_view& call, std::span<const upstream_view> upstreams,
                                  core::random_source& random) override
    {
        struct scored
        {
            double score;
            std::size_t index;
        };
        const std::size_t owner = owner_of(call.prefix_hash, upstreams);
        std::vector<scored> order;
        for (std::size_t i = 0; i < upstreams.size(); ++i)
        {
            if (upstreams[i].is_leaving)
                continue;
            double score = routing_score(m_weights, upstreams[i]);
            const double delay = m_weights.latency * upstreams[i].predicted_ms / ms_per_second;
            if (i == owner)
                score -=
                    warm_factor * m_weights.latency * upstreams[i].warm_saving_ms / ms_per_second;
            else
                score += tie_band * delay * random.unit();
            order.push_back({score, i});
        }
        std::sort(order.begin(), order.end(),
                  [](const scored& a, const scored& b) { return a.score < b.score; });
        std::vector<std::size_t> indices;
        indices.reserve(order.size());
        for (const scored& entry : order)
        {
            indices.push_back(entry.index);
        }
        return indices;
    }

  private:
    /// Index of the prefix's owner; the number of upstreams when there is none.
    static std::size_t owner_of(std::uint64_t prefix, std::span<const upstream_view> upstreams)
    {
        std::size_t owner = upstreams.size();
        if (prefix == 0)
            return owner;
        const double bound = load_bound * mean_load(upstreams) + 1;
        std::uint64_t best = 0;
        for (std::size_t i = 0; i < upstreams.size(); ++i)
        {
            const upstream_view& upstream = upstreams[i];
            if (upstream.is_remote || upstream.is_leaving || upstream.is_ejected)
                continue;
            if (load_of(upstream) > bound || upstream.in_flight >= upstream.limit)
                continue;
            const std::uint64_t score = prefix_score(prefix, upstream.address);
            if (owner != upstreams.size() && score <= best)
                continue;
            best = score;
            owner = i;
        }
        return owner;
    }

    settings::routing_weights m_weights;
};

} // namespace

std::uint64_t prefix_score(std::uint64_t prefix, const core::address& upstream)
{
    return core::hash64(upstream.get(), prefix);
}

double routing_score(const settings::routing_weights& weights, const upstream_view& upstream)
{
    const double remote_penalty = upstream.is_remote ? weights.away : 0;
    return weights.latency * upstream.predicted_ms / ms_per_second + weights.cost * upstream.cost +
           remote_penalty;
}

std::unique_ptr<routing_policy> make_adaptive(const settings::routing_weights& weights)
{
    return std::make_unique<adaptive>(weights);
}

} // namespace snipeplank::policy
