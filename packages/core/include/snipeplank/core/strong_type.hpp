/// @file
/// Strong types for identifiers.

#ifndef SNIPEPLANK_CORE_STRONG_TYPE_HPP
#define SNIPEPLANK_CORE_STRONG_TYPE_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace snipeplank::core
{

/// @brief Wraps a value so that different kinds of id do not convert to each other.
/// @tparam Value the stored type
/// @tparam Tag an incomplete type that makes the instantiation distinct
///
/// Comparison, copy and hash have the same cost as for `Value`.
/// @code
/// using region_id = strong_type<std::string, struct region_tag>;
/// region_id home{"salzkammer"};
/// @endcode
template <typename Value, typename Tag>
class strong_type
{
  public:
    using value_type = Value;

    strong_type() = default;
    explicit strong_type(Value value) : m_value(std::move(value)) {}

    /// @brief The wrapped value.
    const Value& get() const noexcept { return m_value; }

    friend auto operator<=>(const strong_type&, const strong_type&) = default;
    friend bool operator==(const strong_type&, const strong_type&) = default;

  private:
    Value m_value{};
};

} // namespace snipeplank::core

/// @brief Hashes the wrapped value.
template <typename Value, typename Tag>
struct std::hash<snipeplank::core::strong_type<Value, Tag>>
{
    std::size_t operator()(const snipeplank::core::strong_type<Value, Tag>& id) const
    {
        return std::hash<Value>{}(id.get());
    }
};

#endif
