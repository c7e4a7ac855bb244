#include <snipeplank/fleet/detail/text_delta.hpp>

#include <string_view>
#include <unordered_map>

namespace snipeplank::fleet::detail
{

namespace
{

/// The token of `text` that starts at `from`.
std::string_view token_at(std::string_view text, std::size_t from)
{
    const std::size_t end = text.find_first_of("\n}", from);
    return text.substr(from, end == std::string_view::npos ? end : end - from + 1);
}

std::unordered_map<std::string_view, std::size_t> index_tokens(std::string_view base)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (std::size_t at = 0; at < base.size();)
    {
        const std::string_view token = token_at(base, at);
        offsets.emplace(token, at);
        at += token.size();
    }
    return offsets;
}

} // namespace

std::vector<delta_step> make_delta(const std::string& base, const std::string& target)
{
    const std::string_view base_view = base;
    const std::string_view target_view = target;
    const auto offsets = index_tokens(base_view);
    std::vector<delta_step> steps;
    delta_step current;
    for (std::size_t at = 0; at < target_view.size();)
    {
        const std::string_view token = token_at(target_view, at);
        at += token.size();
        const std::size_t next = current.copy_from + current.copy_count;
        const bool continues = current.append.empty() && current.copy_count > 0 &&
                               base_view.substr(next, token.size()) == token;
        if (continues)
        {
            current.copy_count += static_cast<std::uint32_t>(token.size());
            continue;
        }
        const auto known = offsets.find(token);
        if (known == offsets.end())
        {
            current.append += token;
            continue;
        }
        if (current.copy_count > 0 || !current.append.empty())
            steps.push_back(current);
        current = {static_cast<std::uint32_t>(known->second),
                   static_cast<std::uint32_t>(token.size()),
                   {}};
    }
    if (current.copy_count > 0 || !current.append.empty())
        steps.push_back(current);
    return steps;
}

std::optional<std::string> apply_delta(const std::string& base,
                                       const std::vector<delta_step>& steps)
{
    std::string text;
    for (const delta_step& step : steps)
    {
        const std::uint64_t end = std::uint64_t{step.copy_from} + step.copy_count;
        if (end > base.size())
            return std::nullopt;
        if (text.size() + step.copy_count + step.append.size() > max_text_bytes)
            return std::nullopt;
        text.append(base, step.copy_from, step.copy_count);
        text += step.append;
    }
    return text;
}

} // namespace snipeplank::fleet::detail
