/// @file
/// Strong types for ids and quantities.

#ifndef SNIPEPLANK_CORE_STRONG_TYPE_HPP
#define SNIPEPLANK_CORE_STRONG_TYPE_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace snipeplank::core
{

/// @brief Wraps a value so that two kinds of id or unit cannot be mixed up.
/// @tparam Value the stored type
/// @tparam Tag an empty type that tells one kind from another
///
/// Comparison, copy and hash cost what they cost for `Value`.
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

/// @brief Hash of a strong type is the hash of its value.
template <typename Value, typename Tag>
struct std::hash<snipeplank::core::strong_type<Value, Tag>>
{
    std::size_t operator()(const snipeplank::core::strong_type<Value, Tag>& id) const
    {
        return std::hash<Value>{}(id.get());
    }
};

#endif
