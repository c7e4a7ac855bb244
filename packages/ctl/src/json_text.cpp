#include <snipeplank/core/json_text.hpp>
#include <snipeplank/ctl/json_text.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace snipeplank::ctl
{

namespace
{

using json = nlohmann::ordered_json;

/// Limits the recursion, so that a deeply nested answer cannot overflow the stack. Nodes never
/// nest deeper.
constexpr int max_nesting = 64;

/// Renders a scalar; strings without escapes lose their quotes. Control characters stay escaped, so
/// that a value cannot inject terminal control sequences.
std::string scalar_text(const json& value)
{
    std::string dumped = core::json_text(value);
    const bool is_plain = value.is_string() && dumped.find('\\') == std::string::npos;
    return is_plain ? dumped.substr(1, dumped.size() - 2) : dumped;
}

bool is_nonempty_container(const json& value)
{
    return value.is_structured() && !value.empty();
}

void append(std::string& text, const json& value, int depth);

void append_entry(std::string& text, const std::string& label, const json& value, int depth)
{
    text += std::string(static_cast<std::size_t>(depth) * 2, ' ') + label;
    if (!is_nonempty_container(value))
    {
        text += " " + scalar_text(value) + "\n";
        return;
    }
    text += "\n";
    append(text, value, depth + 1);
}

void append(std::string& text, const json& value, int depth)
{
    for (const auto& [key, child] : value.items())
    {
        // items() yields the index as the key of an array element.
        const std::string label = value.is_array() ? "-" : scalar_text(json(key)) + ":";
        append_entry(text, label, child, depth);
    }
}

} // namespace

core::result<std::string> render_json(const std::string& text)
{
    constexpr bool allow_exceptions = false;
    bool is_too_deep = false;
    const auto check_depth = [&is_too_deep](int depth, json::parse_event_t, json&)
    {
        is_too_deep = is_too_deep || depth > max_nesting;
        return !is_too_deep;
    };
    const json value = json::parse(text, check_depth, allow_exceptions);
    if (is_too_deep || !value.is_object())
    {
        return core::fail(core::error_code::connection_failed, "the answer is not a JSON object",
                          "check that --node names the admin_address of a snipeplank node");
    }
    std::string lines;
    append(lines, value, 0);
    return lines;
}

} // namespace snipeplank::ctl
