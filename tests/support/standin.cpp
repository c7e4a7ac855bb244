#include "standin.hpp"

#include "fail_test.hpp"

namespace snipeplank::tests
{

standin::standin(const std::string& program, const std::vector<std::string>& arguments)
    : m_program(program)
{
    restart(arguments);
}

void standin::restart(const std::vector<std::string>& arguments)
{
    m_process.reset();
    m_process = std::make_unique<child_process>(m_program, arguments);
    const std::vector<std::string> words = m_process->wait_ready_words();
    m_address = words.front();
    m_control = words.back();
}

void standin::set_faults(const nlohmann::json& faults) const
{
    constexpr int no_content = 204;
    const http_answer answer = http_post(m_control, "/standin/faults", faults.dump());
    if (!answer.is(no_content))
    {
        fail_test("faults " + faults.dump() + " refused: " + answer.describe());
    }
}

nlohmann::json standin::get_json(const std::string& path) const
{
    const http_answer answer = http_get(m_control, path);
    constexpr int ok = 200;
    if (!answer.is(ok))
    {
        fail_test(path + ": " + answer.describe());
    }
    return nlohmann::json::parse(answer.body);
}

} // namespace snipeplank::tests
