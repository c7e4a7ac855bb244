#include <snipeplank/settings/detail/yaml_writer.hpp>

#include <array>
#include <charconv>

namespace snipeplank::settings::detail
{

namespace
{

constexpr std::size_t indent_step = 2;

} // namespace

void yaml_writer::line(const std::string& content, const std::string& source)
{
    m_text += std::string(m_indent, ' ') + content;
    m_text += source.empty() ? "\n" : "  # " + source + "\n";
}

void yaml_writer::comment(const std::string& text)
{
    line("# " + text, {});
}

void yaml_writer::value(const std::string& key, const std::string& value, const std::string& source)
{
    line(key + ": " + value, source);
}

void yaml_writer::open(const std::string& key, const std::string& source)
{
    line(key + ":", source);
    m_indent += indent_step;
}

void yaml_writer::open_item(const std::string& key, const std::string& value,
                            const std::string& source)
{
    line("- " + key + ": " + value, source);
    m_indent += indent_step;
}

void yaml_writer::item(const std::string& value, const std::string& source)
{
    line("- " + value, source);
}

void yaml_writer::close()
{
    m_indent -= indent_step;
}

std::string yaml_word(const std::string& name)
{
    // The only name accepted by the reader that YAML reads as null.
    return name == "null" ? "\"null\"" : name;
}

std::string yaml_number(double number)
{
    constexpr std::size_t max_double_length = 32;
    std::array<char, max_double_length> text{};
    const auto [end, status] = std::to_chars(text.data(), text.data() + text.size(), number);
    return status == std::errc{} ? std::string(text.data(), end) : std::string{"0"};
}

std::string yaml_list(const std::vector<std::string>& items)
{
    std::string text;
    for (const std::string& item : items)
    {
        text += (text.empty() ? "" : ", ") + item;
    }
    return "[" + text + "]";
}

} // namespace snipeplank::settings::detail
