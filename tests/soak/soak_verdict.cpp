#include "soak_verdict.hpp"

#include <algorithm>
#include <array>

namespace snipeplank::tests
{

namespace
{

/// Number of events in a complete streamed answer of `standin_server`.
constexpr int events = 5;
/// Statuses that guarantee that the request has not run and will not run.
constexpr std::array not_run_statuses{408, 421, 429, 503};

std::string whole_stream()
{
    std::string text;
    for (int i = 1; i <= events; ++i)
    {
        const std::string number = std::to_string(i);
        text.append("id: ").append(number).append("\ndata: token ").append(number).append("\n\n");
    }
    return text;
}

int runs_of(const soak_record& record, const std::string& id)
{
    int sum = 0;
    for (const server_record& each : record.servers)
    {
        const auto found = each.runs.find(id);
        sum += found == each.runs.end() ? 0 : found->second;
    }
    return sum;
}

/// Whether a complete successful answer was given by a server to this request.
bool is_own_answer(const call_record& call)
{
    const auto signature = call.answer.headers.find("server-signature");
    if (signature == call.answer.headers.end() || signature->second != "3e1b.07." + call.id)
        return false;
    if (call.kind == call_kind::stream)
        return call.answer.body == whole_stream();
    return call.answer.body.find(" " + path_of(call.kind, call.id) + " ") != std::string::npos;
}

std::string check_call(const soak_record& record, const call_record& call)
{
    const int runs = runs_of(record, call.id);
    const http_answer& answer = call.answer;
    const bool says_not_run = std::find(not_run_statuses.begin(), not_run_statuses.end(),
                                        answer.status) != not_run_statuses.end();
    if (call.kind == call_kind::book && runs > 1)
        return "ran " + std::to_string(runs) + " times";
    if (call.kind == call_kind::book && says_not_run && runs > 0)
        return "was answered as not run, but ran";
    if (answer.is(200) && !is_own_answer(call))
        return "got a success that is not its server's whole answer";
    if (answer.is(200) && runs == 0)
        return "got a success, but no server ran it";
    if (call.kind == call_kind::stream && answer.status == 200 &&
        whole_stream().rfind(answer.body, 0) != 0)
        return "got events that are missing, repeated or joined";
    if (answer.end == answer_end::silent)
        return "got no end of its answer";
    const bool was_cut = answer.end == answer_end::truncated;
    if (record.is_planned && was_cut && runs > 0)
        return "was cut off by planned work after a server had run it";
    return {};
}

std::string check_home_region(const soak_record& record, const call_record& call)
{
    for (const server_record& each : record.servers)
    {
        if (call.kind == call_kind::read && each.region != record.home &&
            each.runs.contains(call.id))
            return "ran at " + each.name + ", outside its home";
    }
    return {};
}

std::string check_exclusions(const soak_record& record, const call_record& call)
{
    for (const exclusion_period& period : record.exclusions)
    {
        const auto server =
            std::find_if(record.servers.begin(), record.servers.end(),
                         [&](const auto& each) { return each.name == period.server; });
        if (call.sent > period.from && call.sent < period.to && server->runs.contains(call.id))
            return "ran at " + period.server + ", which was leaving or evacuated";
    }
    return {};
}

} // namespace

std::string path_of(call_kind kind, const std::string& id)
{
    static constexpr std::array prefixes{"/book/", "/read/", "/stream/"};
    return prefixes.at(static_cast<std::size_t>(kind)) + id;
}

std::vector<std::string> find_violations(const soak_record& record)
{
    std::vector<std::string> violations;
    for (const call_record& call : record.calls)
    {
        for (const auto check : {check_call, check_home_region, check_exclusions})
        {
            const std::string what = check(record, call);
            if (!what.empty())
                violations.push_back(path_of(call.kind, call.id) + " " + what + "; " +
                                     call.answer.describe());
        }
    }
    return violations;
}

} // namespace snipeplank::tests
