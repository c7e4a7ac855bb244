#include <snipeplank/core/hash.hpp>
#include <snipeplank/gateway/request_parser.hpp>
#include <snipeplank/policy/residency.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using policy::refusal;
using policy::refusal_reason;

constexpr core::milliseconds max_deadline{600'000};

/// Length of the prompt prefix that is hashed to route calls with a common prefix together.
constexpr std::size_t max_prefix_bytes = 1'024;

constexpr std::string_view own_header_prefix = "snipeplank-";

/// Headers that are consumed by the gateway and not forwarded to an upstream.
constexpr std::array<std::string_view, 13> consumed_headers{
    "host",           "connection", "keep-alive",       "transfer-encoding",
    "content-length", "expect",     "authorization",    "te",
    "trailer",        "upgrade",    "proxy-connection", "idempotency-key",
    "accept-encoding"};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

refusal refuse(refusal_reason reason, std::string remedy)
{
    return {reason, policy::execution::no, std::move(remedy), core::milliseconds{0}};
}

/// Headers that control the gateway.
struct control_headers
{
    std::optional<std::string> home;
    std::optional<std::string> residency;
    std::optional<std::string> deadline_ms;
    std::optional<std::string> priority;
    std::optional<std::string> authorization;
    std::string ticket;
};

/// Field for the value of a control header; null for an unknown header.
std::optional<std::string>* find_control_header(control_headers& control, const std::string& name)
{
    if (name == "snipeplank-home")
        return &control.home;
    if (name == "snipeplank-residency")
        return &control.residency;
    if (name == "snipeplank-deadline-ms")
        return &control.deadline_ms;
    if (name == "snipeplank-priority")
        return &control.priority;
    return nullptr;
}

std::optional<refusal> read_control_headers(const request_head& head, control_headers& control)
{
    for (const header_field& field : head.headers)
    {
        const std::string name = lower(field.name);
        if (name == "idempotency-key")
            control.ticket = field.value;
        if (name == "authorization")
            control.authorization = field.value;
        if (!name.starts_with(own_header_prefix))
            continue;
        std::optional<std::string>* slot = find_control_header(control, name);
        if (slot == nullptr)
            return refuse(refusal_reason::header_forbidden,
                          "remove the header " + name + ": it is not for callers");
        if (slot->has_value())
            return refuse(refusal_reason::bad_request, "send the header " + name + " once");
        *slot = field.value;
    }
    return std::nullopt;
}

std::vector<header_field> forwardable_headers(const std::vector<header_field>& headers)
{
    std::vector<header_field> kept;
    for (const header_field& field : headers)
    {
        const std::string name = lower(field.name);
        if (name.starts_with(own_header_prefix))
            continue;
        if (std::find(consumed_headers.begin(), consumed_headers.end(), name) !=
            consumed_headers.end())
            continue;
        if (name == "remote_addr" || name == "remote_port" || name == "local_addr" ||
            name == "local_port")
            continue; // added by the HTTP library, not by the caller
        kept.push_back(field);
    }
    return kept;
}

std::optional<refusal> read_deadline(const control_headers& control, call& parsed)
{
    if (!control.deadline_ms)
        return std::nullopt;
    long long value = 0;
    const std::string& text = *control.deadline_ms;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return refuse(refusal_reason::bad_request,
                      "give Snipeplank-Deadline-Ms as a whole number of milliseconds");
    if (value <= 0)
        return refuse(refusal_reason::deadline_passed,
                      "give a Snipeplank-Deadline-Ms above zero: the time from now");
    if (value > max_deadline.count())
        return refuse(refusal_reason::bad_request,
                      "give a Snipeplank-Deadline-Ms of at most 600000");
    parsed.deadline = parsed.received + core::milliseconds{value};
    return std::nullopt;
}

std::optional<refusal> read_account(const control_headers& control, call& parsed)
{
    if (!parsed.config->asks_for_keys)
        return std::nullopt;
    constexpr std::string_view scheme = "Bearer ";
    if (!control.authorization || !control.authorization->starts_with(scheme))
        return refuse(refusal_reason::unauthorized,
                      "send Authorization: Bearer with the account's key");
    const std::string key = control.authorization->substr(scheme.size());
    const auto found = parsed.config->accounts.find(core::sha256_hex(key));
    if (found == parsed.config->accounts.end())
        return refuse(refusal_reason::unknown_account,
                      "use a key of a configured account; a new key is in force within seconds");
    parsed.account = found->second.id;
    if (!found->second.home.get().empty())
        parsed.home = found->second.home;
    return std::nullopt;
}

std::optional<refusal> read_priority(const control_headers& control, call& parsed)
{
    if (!control.priority || *control.priority == "interactive")
        return std::nullopt;
    if (*control.priority != "batch")
        return refuse(refusal_reason::bad_request,
                      "give Snipeplank-Priority as interactive or batch");
    parsed.priority = policy::call_priority::batch;
    return std::nullopt;
}

std::optional<refusal> check_region(settings::residency residency, const core::region_id& here,
                                    const call& parsed)
{
    if (policy::may_be_served_in(residency, parsed.home, here))
        return std::nullopt;
    return refuse(refusal_reason::wrong_region,
                  "send the request to region " + parsed.home.get() +
                      "; GET /v1/entry-points?home=" + parsed.home.get() + " names its addresses");
}

/// Applies the configuration of the service: residency, deadline and idempotence.
std::optional<refusal> apply_service(const core::region_id& here, call& parsed)
{
    const settings::service_config* service = parsed.config->find_service(parsed.service);
    if (service == nullptr)
        return refuse(refusal_reason::unknown_service,
                      "use a configured service; its name is the first part of the path, or the "
                      "model of a completion");
    std::optional<std::string_view> header;
    if (parsed.residency_header)
        header = *parsed.residency_header;
    parsed.residency = policy::effective_residency(service->residency, header);
    if (parsed.deadline == core::time_point{})
        parsed.deadline = parsed.received + service->deadline;
    parsed.is_idempotent = !service->non_idempotent_methods.contains(parsed.method);
    return check_region(parsed.residency, here, parsed);
}

std::optional<refusal> check_ticket_rule(const call& parsed)
{
    if (parsed.is_idempotent || !parsed.ticket.empty())
        return std::nullopt;
    if (parsed.service_config().ticket == settings::ticket_rule::optional)
        return std::nullopt;
    return refuse(refusal_reason::ticket_required,
                  "get a ticket with POST /v1/tickets and send it as Idempotency-Key");
}

std::optional<refusal> parse_plain_path(const request_head& head, const core::region_id& here,
                                        call& parsed)
{
    const std::size_t end = head.path.find('/', 1);
    parsed.service =
        core::service_id{head.path.substr(1, end == std::string::npos ? end : end - 1)};
    const std::string rest = head.target.substr(1 + parsed.service.get().size());
    parsed.target = rest.empty() || rest.front() != '/' ? "/" + rest : rest;
    const settings::service_config* service = parsed.config->find_service(parsed.service);
    if (service != nullptr && service->kind == settings::service_kind::model)
        return refuse(refusal_reason::bad_request,
                      "call a model through POST /v1/chat/completions or /v1/completions");
    if (auto refused = apply_service(here, parsed))
        return refused;
    return check_ticket_rule(parsed);
}

/// Prefix of the prompt: of the messages of a chat, or of the prompt of a completion.
std::string prompt_prefix(const nlohmann::json& body)
{
    std::string prefix;
    if (const auto prompt = body.find("prompt"); prompt != body.end() && prompt->is_string())
        prefix = prompt->get<std::string>();
    const auto messages = body.find("messages");
    if (messages != body.end() && messages->is_array())
    {
        for (const nlohmann::json& message : *messages)
        {
            if (prefix.size() >= max_prefix_bytes || !message.is_object())
                break;
            const auto content = message.find("content");
            if (content != message.end() && content->is_string())
                prefix += content->get<std::string>();
        }
    }
    return prefix.substr(0, max_prefix_bytes);
}

} // namespace

bool is_model_path(const std::string& path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

std::optional<refusal> parse_head(const request_head& head, config_ptr config,
                                  const core::region_id& here, core::time_point now, call& parsed)
{
    parsed.config = std::move(config);
    parsed.received = now;
    parsed.method = head.method;
    parsed.headers = forwardable_headers(head.headers);
    control_headers control;
    if (auto refused = read_control_headers(head, control))
        return refused;
    parsed.ticket = control.ticket;
    parsed.residency_header = control.residency;
    parsed.home = control.home ? core::region_id{*control.home} : here;
    if (!parsed.config->regions.contains(parsed.home))
        return refuse(refusal_reason::bad_request,
                      "give Snipeplank-Home as one of the configured regions");
    if (auto refused = read_account(control, parsed))
        return refused;
    if (auto refused = read_deadline(control, parsed))
        return refused;
    if (auto refused = read_priority(control, parsed))
        return refused;
    if (!is_model_path(head.path))
        return parse_plain_path(head, here, parsed);
    parsed.target = head.target;
    const bool is_free = control.residency && *control.residency == "free";
    return check_region(is_free ? settings::residency::free : settings::residency::bound, here,
                        parsed);
}

std::optional<refusal> check_account(const request_head& head, config_ptr config)
{
    call checked;
    checked.config = std::move(config);
    control_headers control;
    if (auto refused = read_control_headers(head, control))
        return refused;
    return read_account(control, checked);
}

std::optional<refusal> parse_body(std::string body, const core::region_id& here, call& parsed)
{
    parsed.body = std::move(body);
    if (!parsed.service.get().empty())
        return std::nullopt;
    const nlohmann::json document = nlohmann::json::parse(parsed.body, nullptr, false);
    if (!document.is_object())
        return refuse(refusal_reason::bad_request, "send a JSON object as the body");
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string())
        return refuse(refusal_reason::bad_request,
                      "name the service in the body's \"model\" string");
    parsed.service = core::service_id{model->get<std::string>()};
    const settings::service_config* service = parsed.config->find_service(parsed.service);
    if (service != nullptr && service->kind != settings::service_kind::model)
        return refuse(refusal_reason::bad_request,
                      "call a plain service through /" + parsed.service.get() + "/...");
    if (auto refused = apply_service(here, parsed))
        return refused;
    parsed.prefix_hash = core::hash64(prompt_prefix(document));
    return check_ticket_rule(parsed);
}

} // namespace snipeplank::gateway
