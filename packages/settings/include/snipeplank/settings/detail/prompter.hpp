/// @file
/// Asks single questions on a terminal.

#ifndef SNIPEPLANK_SETTINGS_DETAIL_PROMPTER_HPP
#define SNIPEPLANK_SETTINGS_DETAIL_PROMPTER_HPP

#include <snipeplank/settings/detail/yaml_reader.hpp>

#include <istream>
#include <ostream>
#include <string>

namespace snipeplank::settings::detail
{

/// @brief A question as it is shown on the terminal.
struct question
{
    std::string key;           ///< key of the answer in the answers file
    std::string text;          ///< the question itself
    std::string example;       ///< an example of a valid answer
    std::string default_value; ///< taken on an empty line; empty when there is no default
};

/// @brief Asks questions and checks each answer with the readers that also check answers files.
class prompter
{
  public:
    prompter(std::istream& in, std::ostream& out) : m_in(in), m_out(out) {}

    /// @brief Asks for one value until `read` accepts it. Returns a value-initialized result when
    /// the input has ended.
    template <typename Read>
    auto ask(const question& asked, Read read)
    {
        return ask_with(asked, &prompter::scalar, read);
    }

    /// @brief Asks for several values, separated by commas or spaces; `none` is an empty list.
    template <typename Read>
    auto ask_list(const question& asked, Read read)
    {
        return ask_with(asked, &prompter::list, read);
    }

    /// @brief Prints one line of text.
    void print_line(const std::string& text) { m_out << text << '\n'; }

    /// @brief Whether the input ended before a question was answered.
    bool has_input_ended() const { return m_has_input_ended; }

  private:
    using to_value = yaml_value (*)(const std::string&);

    template <typename Read>
    auto ask_with(const question& asked, to_value convert, Read read)
    {
        using answer = decltype(read(std::declval<const yaml_field&>()));
        while (const std::optional<std::string> line = read_line(asked))
        {
            yaml_report report("answer");
            const yaml_value value = convert(*line);
            const answer given = read(yaml_field{report, &value, asked.key, 1});
            if (report.is_clean())
            {
                return given;
            }
            m_out << "  not accepted: " << report.first().message << "; " << report.first().remedy
                  << '\n';
        }
        return answer{};
    }

    std::optional<std::string> read_line(const question& asked);
    static yaml_value scalar(const std::string& line);
    static yaml_value list(const std::string& line);

    std::istream& m_in;
    std::ostream& m_out;
    bool m_has_input_ended = false;
};

} // namespace snipeplank::settings::detail

#endif
