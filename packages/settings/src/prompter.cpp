#include <snipeplank/settings/detail/prompter.hpp>

#include <string>

namespace snipeplank::settings::detail
{

namespace
{

constexpr const char* separators = ", \t\r";

yaml_value plain(const std::string& text)
{
    yaml_value value;
    value.kind = yaml_kind::scalar;
    value.text = text;
    return value;
}

std::string trimmed(const std::string& line)
{
    const std::size_t begin = line.find_first_not_of(" \t\r");
    const std::size_t end = line.find_last_not_of(" \t\r");
    return begin == std::string::npos ? "" : line.substr(begin, end - begin + 1);
}

} // namespace

std::optional<std::string> prompter::read_line(const question& asked)
{
    m_out << asked.text << "\n  for example " << asked.example;
    m_out << (asked.default_value.empty() ? "" : " [" + asked.default_value + "]") << ": "
          << std::flush;
    std::string line;
    if (!std::getline(m_in, line))
    {
        m_has_input_ended = true;
        return std::nullopt;
    }
    const std::string given = trimmed(line);
    return given.empty() ? asked.default_value : given;
}

yaml_value prompter::scalar(const std::string& line)
{
    return plain(line);
}

yaml_value prompter::list(const std::string& line)
{
    yaml_value value;
    value.kind = yaml_kind::list;
    std::size_t begin = line == "none" ? std::string::npos : line.find_first_not_of(separators);
    while (begin != std::string::npos)
    {
        const std::size_t end = line.find_first_of(separators, begin);
        value.items.push_back(plain(line.substr(begin, end - begin)));
        begin = line.find_first_not_of(separators, end);
    }
    return value;
}

} // namespace snipeplank::settings::detail
