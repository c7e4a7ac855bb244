#include <snipeplank/policy/baselines.hpp>

#include <algorithm>
#include <atomic>

namespace snipeplank::policy
{

namespace
{

std::vector<std::size_t> usable(std::span<const upstream_view> upstreams)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < upstreams.size(); ++i)
    {
        if (upstreams[i].is_leaving)
            continue;
        indices.push_back(i);
    }
    return indices;
}

class round_robin final : public routing_policy
{
  public:
    std::vector<std::size_t> rank(const call_view&, std::span<const upstream_view> upstreams,
                                  core::random_source&) override
    {
        std::vector<std::size_t> order = usable(upstreams);
        if (order.empty())
            return order;
        const auto turn = m_next.fetch_add(1, std::memory_order_relaxed) % order.size();
        std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(turn), order.end());
        return order;
    }

  private:
    std::atomic<std::size_t> m_next{0};
};

class least_outstanding final : public routing_policy
{
  public:
    std::vector<std::size_t> rank(const call_view&, std::span<const upstream_view> upstreams,
                                  core::random_source&) override
    {
        std::vector<std::size_t> order = usable(upstreams);
        std::stable_sort(order.begin(), order.end(),
                         [&](std::size_t a, std::size_t b)
                         { return upstreams[a].in_flight < upstreams[b].in_flight; });
        return order;
    }
};

class random_of_two final : public routing_policy
{
  public:
    std::vector<std::size_t> rank(const call_view&, std::span<const upstream_view> upstreams,
                                  core::random_source& random) override
    {
        std::vector<std::size_t> order = usable(upstreams);
        for (std::size_t i = 0; i + 1 < order.size(); ++i)
        {
            std::swap(order[i], order[i + random.below(order.size() - i)]);
        }
        if (order.size() > 1 && upstreams[order[1]].in_flight < upstreams[order[0]].in_flight)
            std::swap(order[0], order[1]);
        return order;
    }
};

} // namespace

std::unique_ptr<routing_policy> make_round_robin()
{
    return std::make_unique<round_robin>();
}

std::unique_ptr<routing_policy> make_least_outstanding()
{
    return std::make_unique<least_outstanding>();
}

std::unique_ptr<routing_policy> make_random_of_two()
{
    return std::make_unique<random_of_two>();
}

} // namespace snipeplank::policy
