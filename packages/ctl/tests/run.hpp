/// @file
/// Runs snipeplankctl commands in the test process and captures their output.

#ifndef SNIPEPLANK_CTL_TESTS_RUN_HPP
#define SNIPEPLANK_CTL_TESTS_RUN_HPP

#include <snipeplank/ctl/command.hpp>

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <filesystem>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace snipeplank::ctl::tests
{

/// @brief Exit status and output of a run.
struct outcome
{
    int status = 0;
    std::string out;
    std::string err;
};

/// @brief Fake node that answers from a table and records each request.
class fake_node
{
  public:
    std::map<std::string, admin_answer> answers; ///< by "METHOD path"
    std::vector<std::string> received;           ///< "address METHOD path" of each request

    /// @brief Connector that reaches this node under every address.
    admin_connector connector();
};

/// @brief Client that passes each request to a fake node.
class fake_admin_client final : public admin_client
{
  public:
    fake_admin_client(fake_node& node, core::address address)
        : m_node(node), m_address(std::move(address))
    {
    }

    core::result<admin_answer> get(const std::string& path) override { return find("GET " + path); }
    core::result<admin_answer> post(const std::string& path) override
    {
        return find("POST " + path);
    }

  private:
    core::result<admin_answer> find(const std::string& request)
    {
        m_node.received.push_back(m_address.get() + " " + request);
        const auto found = m_node.answers.find(request);
        if (found == m_node.answers.end())
        {
            return core::fail(core::error_code::connection_failed, "no answer", "start the node");
        }
        return found->second;
    }

    fake_node& m_node;
    core::address m_address;
};

inline admin_connector fake_node::connector()
{
    return [this](const core::address& address)
    { return std::make_unique<fake_admin_client>(*this, address); };
}

/// @brief Runs `snipeplankctl WORDS...` with the given connector; `typed` is its standard input.
inline outcome run_ctl(const std::vector<std::string>& words, const admin_connector& connect,
                       const std::string& typed = {}, bool is_terminal = false)
{
    std::istringstream in(typed);
    std::ostringstream out;
    std::ostringstream err;
    const command_io io{in, out, err, is_terminal};
    std::vector<std::string> all{"snipeplankctl"};
    all.insert(all.end(), words.begin(), words.end());
    std::vector<char*> argv;
    for (std::string& word : all)
    {
        argv.push_back(word.data());
    }
    const auto line = parse_command_line(static_cast<int>(argv.size()), argv.data());
    const int status = line ? run_command(make_commands(connect), line.value(), io)
                            : report_usage_error(io, line.error().message, line.error().remedy);
    return {status, out.str(), err.str()};
}

/// @brief Runs with a fake node that answers no request.
inline outcome run_ctl(const std::vector<std::string>& words)
{
    fake_node unreachable_node;
    return run_ctl(words, unreachable_node.connector());
}

/// @brief A directory that is removed at the end of the test.
class scratch_directory
{
  public:
    scratch_directory()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "snipeplankctl-XXXXXX").string();
        CHECK_TRUE(mkdtemp(pattern.data()) != nullptr);
        m_path = pattern;
    }
    ~scratch_directory()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    scratch_directory(const scratch_directory&) = delete;
    scratch_directory& operator=(const scratch_directory&) = delete;

    /// @brief A path below the directory.
    std::string operator/(const std::string& name) const { return m_path + "/" + name; }

  private:
    std::string m_path;
};

/// @brief Path of the example answers of a user, `hallstein` or `tamarack`.
inline std::string example(const std::string& user)
{
    return std::string{EXAMPLES_DIR} + "/" + user + ".answers.yaml";
}

} // namespace snipeplank::ctl::tests

#endif
