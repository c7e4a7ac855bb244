/// @file
/// Writing of YAML with comments. The placement of comments by yaml-cpp's emitter differs between
/// its versions.

#ifndef SNIPEPLANK_SETTINGS_DETAIL_YAML_WRITER_HPP
#define SNIPEPLANK_SETTINGS_DETAIL_YAML_WRITER_HPP

#include <string>
#include <vector>

namespace snipeplank::settings::detail
{

/// @brief Builds a document line by line.
class yaml_writer
{
  public:
    /// @brief A line `# text`.
    void comment(const std::string& text);

    /// @brief `key: value  # from source`; no comment when `source` is empty.
    void value(const std::string& key, const std::string& value, const std::string& source = {});

    /// @brief `key:`, and indents what follows.
    void open(const std::string& key, const std::string& source = {});

    /// @brief The first `key: value` of a list item; indents the keys that follow.
    void open_item(const std::string& key, const std::string& value,
                   const std::string& source = {});

    /// @brief A list item that is one value.
    void item(const std::string& value, const std::string& source = {});

    /// @brief Ends the innermost group or item.
    void close();

    /// @brief The document.
    const std::string& text() const { return m_text; }

  private:
    void line(const std::string& content, const std::string& source);

    std::string m_text;
    std::size_t m_indent = 0;
};

/// @brief A name as a YAML scalar; quoted where YAML would read it as null.
std::string yaml_word(const std::string& name);

/// @brief The shortest decimal that reads back as the same number.
std::string yaml_number(double number);

/// @brief `[a, b]`.
std::string yaml_list(const std::vector<std::string>& items);

/// @brief A list of strongly typed names.
template <typename Ids>
std::string yaml_list_of(const Ids& ids)
{
    std::vector<std::string> items;
    for (const auto& id : ids)
    {
        items.push_back(yaml_word(id.get()));
    }
    return yaml_list(items);
}

} // namespace snipeplank::settings::detail

#endif
