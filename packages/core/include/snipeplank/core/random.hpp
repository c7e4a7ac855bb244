/// @file
/// Random number source behind an interface, so that tests can use a fixed seed.

#ifndef SNIPEPLANK_CORE_RANDOM_HPP
#define SNIPEPLANK_CORE_RANDOM_HPP

#include <cstdint>
#include <random>

namespace snipeplank::core
{

/// @brief Uniform random numbers.
class random_source
{
  public:
    virtual ~random_source() = default;

    /// @brief A uniform 64-bit number.
    virtual std::uint64_t next() = 0;

    /// @brief A uniform number in [0, bound). Returns 0 when `bound` is 0.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }

    /// @brief A uniform number in [0, 1).
    double unit()
    {
        constexpr double two_to_the_53 = 9007199254740992.0;
        constexpr int discarded_bits = 11;
        return static_cast<double>(next() >> discarded_bits) / two_to_the_53;
    }
};

/// @brief Deterministic generator (MT19937-64) with a given seed. Not thread-safe.
class seeded_random final : public random_source
{
  public:
    explicit seeded_random(std::uint64_t seed) : m_engine(seed) {}

    std::uint64_t next() override { return m_engine(); }

  private:
    std::mt19937_64 m_engine;
};

/// @brief Random seed from the operating system's generator.
std::uint64_t system_seed();

} // namespace snipeplank::core

#endif
