/// @file
/// Shares one dispatcher between request threads and the fleet driver.

#ifndef SNIPEPLANK_GATEWAY_DISPATCH_GUARD_HPP
#define SNIPEPLANK_GATEWAY_DISPATCH_GUARD_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/policy/dispatcher.hpp>

#include <mutex>
#include <utility>

namespace snipeplank::gateway
{

/// @brief A dispatcher and its random source, guarded by one mutex.
///
/// Every function of the dispatcher is O(upstreams of a service), so the lock is held for
/// microseconds; nothing that blocks runs under it.
/// @code
/// guard.with([&](policy::dispatcher& d, core::random_source& r) { return d.route(call, now, r);
/// });
/// @endcode
class dispatch_guard
{
  public:
    explicit dispatch_guard(policy::dispatcher_self self)
        : m_dispatcher(std::move(self)), m_random(core::system_seed())
    {
    }

    /// @brief Calls `action(dispatcher, random)` under the lock and returns its result by value.
    template <typename Action>
    auto with(Action&& action)
    {
        const std::lock_guard lock(m_mutex);
        return std::forward<Action>(action)(m_dispatcher, m_random);
    }

  private:
    std::mutex m_mutex;
    policy::dispatcher m_dispatcher;
    core::seeded_random m_random;
};

} // namespace snipeplank::gateway

#endif
