#include <snipeplank/settings/detail/yaml_value.hpp>

#include <exception>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace snipeplank::settings::detail
{

namespace
{

/// Exception thrown by the callbacks, which have no other way to stop yaml-cpp's parser.
struct refused_document
{
    core::error cause;
};

/// Builds the tree from yaml-cpp's events. The events carry lines and quoting, which YAML::Node
/// drops or merges for duplicate keys.
class tree_builder final : public YAML::EventHandler
{
  public:
    explicit tree_builder(const std::string& file) : m_file(file) {}

    yaml_value take() { return std::move(m_root); }

    void OnDocumentStart(const YAML::Mark&) override {}
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        check_anchor(mark, anchor);
        add_leaf(mark, yaml_kind::null, "", false);
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
    {
        constexpr YAML::anchor_t any_anchor = 1;
        check_anchor(mark, any_anchor);
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  const std::string& value) override
    {
        check_anchor(mark, anchor);
        check_tag(mark, tag);
        add_leaf(mark, yaml_kind::scalar, value, tag == "!");
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override
    {
        open(mark, tag, anchor, yaml_kind::list);
    }
    void OnSequenceEnd() override { close(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value) override
    {
        open(mark, tag, anchor, yaml_kind::map);
    }
    void OnMapEnd() override { close(); }

  private:
    /// A list or map whose end event has not arrived yet.
    struct open_value
    {
        yaml_value value;
        std::set<std::string> keys;
        bool expects_value = false; ///< the last event in this map was a key
    };

    [[noreturn]] void throw_error(const YAML::Mark& mark, core::error_code code,
                                  const std::string& problem, std::string remedy)
    {
        throw refused_document{{code, m_file + ":" + std::to_string(mark.line + 1) + ": " + problem,
                                std::move(remedy)}};
    }

    void check_anchor(const YAML::Mark& mark, YAML::anchor_t anchor)
    {
        if (anchor != 0)
        {
            throw_error(mark, core::error_code::settings_syntax,
                        "anchors and aliases are not supported",
                        "write the value out at each place");
        }
    }

    /// yaml-cpp reports untagged plain values with the tag "?" or none, quoted ones with "!".
    void check_tag(const YAML::Mark& mark, const std::string& tag)
    {
        if (!tag.empty() && tag != "?" && tag != "!")
        {
            throw_error(mark, core::error_code::settings_syntax, "tags are not supported",
                        "remove the tag and write the plain value");
        }
    }

    void add_leaf(const YAML::Mark& mark, yaml_kind kind, const std::string& text, bool is_quoted)
    {
        if (expects_key())
        {
            add_key(mark, kind, text);
            return;
        }
        yaml_value value;
        value.kind = kind;
        value.line = mark.line + 1;
        value.text = text;
        value.is_quoted = is_quoted;
        attach(std::move(value));
    }

    bool expects_key() const
    {
        return !m_open.empty() && m_open.back().value.kind == yaml_kind::map &&
               !m_open.back().expects_value;
    }

    void add_key(const YAML::Mark& mark, yaml_kind kind, const std::string& key)
    {
        open_value& map = m_open.back();
        if (kind == yaml_kind::null || key.empty())
        {
            throw_error(mark, core::error_code::settings_syntax, "a key is empty",
                        "write `name: value` on each line");
        }
        if (!map.keys.insert(key).second)
        {
            throw_error(mark, core::error_code::settings_duplicate_key,
                        key + ": this key is given twice in the same group",
                        "remove one of the two lines");
        }
        map.value.entries.push_back({key, mark.line + 1, {}});
        map.expects_value = true;
    }

    void attach(yaml_value value)
    {
        if (m_open.empty())
        {
            m_root = std::move(value);
            return;
        }
        open_value& parent = m_open.back();
        if (parent.value.kind == yaml_kind::list)
        {
            parent.value.items.push_back(std::move(value));
            return;
        }
        parent.value.entries.back().value = std::move(value);
        parent.expects_value = false;
    }

    void open(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, yaml_kind kind)
    {
        check_anchor(mark, anchor);
        check_tag(mark, tag);
        if (expects_key())
        {
            throw_error(mark, core::error_code::settings_syntax, "a key is a list or a group",
                        "write `name: value` on each line");
        }
        open_value opened;
        opened.value.kind = kind;
        opened.value.line = mark.line + 1;
        m_open.push_back(std::move(opened));
    }

    void close()
    {
        yaml_value value = std::move(m_open.back().value);
        m_open.pop_back();
        attach(std::move(value));
    }

    const std::string& m_file;
    yaml_value m_root;
    std::vector<open_value> m_open;
};

constexpr const char* syntax_remedy =
    "correct the YAML there: spaces for indentation, one `key: value` a line";

} // namespace

core::result<yaml_value> parse_yaml(const std::string& text, const std::string& file)
{
    using core::error_code;
    try
    {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        tree_builder builder(file);
        if (!parser.HandleNextDocument(builder))
        {
            return core::fail(error_code::settings_syntax, file + ":1: the file is empty",
                              "write the settings, or generate them with `snipeplankctl "
                              "questionnaire`");
        }
        yaml_value root = builder.take();
        if (tree_builder rest(file); parser.HandleNextDocument(rest))
        {
            return core::fail(error_code::settings_syntax,
                              file + ":" + std::to_string(rest.take().line) +
                                  ": a second document starts here",
                              "keep one document in a file");
        }
        return root;
    }
    catch (const refused_document& refused)
    {
        const core::error& cause = refused.cause;
        return core::fail(cause.code, cause.message, cause.remedy);
    }
    catch (const YAML::Exception& failure)
    {
        return core::fail(error_code::settings_syntax,
                          file + ":" + std::to_string(failure.mark.line + 1) + ": " + failure.msg,
                          syntax_remedy);
    }
    catch (const std::exception& failure)
    {
        return core::fail(error_code::settings_syntax, file + ":1: " + failure.what(),
                          syntax_remedy);
    }
}

} // namespace snipeplank::settings::detail
