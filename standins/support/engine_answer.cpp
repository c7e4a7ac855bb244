#include <snipeplank/core/hash.hpp>

#include <nlohmann/json.hpp>
#include <standins/support/engine_answer.hpp>

#include <array>
#include <utility>

namespace snipeplank::standins
{
namespace
{

using json = nlohmann::ordered_json;

std::string prompt_of(const nlohmann::json& document)
{
    if (document.contains("prompt") && document["prompt"].is_string())
    {
        return document["prompt"].get<std::string>();
    }
    std::string text;
    for (const auto& message : document.value("messages", nlohmann::json::array()))
    {
        text += message.value("role", "") + ":" + message.value("content", "") + "\n";
    }
    return text;
}

} // namespace

engine_answer::engine_answer(std::string name, const std::string& body, bool chat)
    : m_name(std::move(name)), m_seed(core::hash64(body, core::hash64(m_name))), m_chat(chat)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        return;
    }
    m_model = document.value("model", "");
    m_prompt = prompt_of(document);
    m_token_count = document.value("max_tokens", m_token_count);
    m_token_count = document.value("max_completion_tokens", m_token_count);
    m_streamed = document.value("stream", false);
    m_priority = document.value("priority", 0);
}

std::string engine_answer::token(std::size_t number) const
{
    static constexpr std::array syllables = {"lime",  "kiln", "moon", "tide",
                                             "barge", "quay", "ash",  "noon"};
    const std::uint64_t drawn = core::hash64(std::to_string(number), m_seed);
    return std::string(syllables[drawn % syllables.size()]) + std::to_string(drawn % 10'000) + " ";
}

std::string engine_answer::id() const
{
    return (m_chat ? "chatcmpl-" : "cmpl-") + std::to_string(m_seed);
}

std::string engine_answer::event(std::size_t number) const
{
    json choice = {{"index", 0}};
    if (m_chat)
    {
        choice["delta"] = {{"content", token(number)}};
    }
    else
    {
        choice["text"] = token(number);
    }
    choice["finish_reason"] = number >= m_token_count ? json("stop") : json(nullptr);
    const json document = {{"id", id()},
                           {"object", m_chat ? "chat.completion.chunk" : "text_completion"},
                           {"model", m_model},
                           {"system_fingerprint", m_name},
                           {"choices", json::array({choice})}};
    return "id: " + std::to_string(number) + "\ndata: " + document.dump() + "\n\n";
}

std::string engine_answer::done_event()
{
    return "data: [DONE]\n\n";
}

std::string engine_answer::stream(std::size_t last_received) const
{
    std::string bytes;
    for (std::size_t number = last_received + 1; number <= m_token_count; ++number)
    {
        bytes += event(number);
    }
    return bytes + done_event();
}

std::string engine_answer::whole() const
{
    std::string text;
    for (std::size_t number = 1; number <= m_token_count; ++number)
    {
        text += token(number);
    }
    json choice = {{"index", 0}, {"finish_reason", "stop"}};
    if (m_chat)
    {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    const json document = {{"id", id()},
                           {"object", m_chat ? "chat.completion" : "text_completion"},
                           {"model", m_model},
                           {"system_fingerprint", m_name},
                           {"choices", json::array({choice})},
                           {"usage", {{"completion_tokens", m_token_count}}}};
    return document.dump();
}

} // namespace snipeplank::standins
