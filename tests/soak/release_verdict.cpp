/// Checks of cold servers and of streams that are taken up beside servers of other software.

#include <algorithm>
#include <map>
#include <set>

#include "event_text.hpp"
#include "soak_verdict.hpp"

namespace snipeplank::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds bound_window = 1s;
/// Time after a disturbance of a path or a server in which what was held up arrives.
constexpr std::chrono::seconds catch_up_time = 1s;
/// Time in which all nodes know of a new server.
constexpr std::chrono::seconds discovery_time = 3s;
/// Fewer streams that were taken up prove nothing.
constexpr std::size_t min_taken_up = 12;

bool was_disturbed(const server_record& server, soak_time from, soak_time to)
{
    return std::any_of(server.disturbed.begin(), server.disturbed.end(),
                       [&](const disturbed_time& each)
                       { return each.from <= to && from < each.to + catch_up_time; });
}

/// What arrives behind a disturbance was sent over a longer time, so it is not counted.
std::string check_cold_server(const soak_record& record, const server_record& server)
{
    const std::vector<soak_time>& arrivals = server.cold_arrivals;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
    {
        const auto end = std::lower_bound(first, arrivals.end(), *first + bound_window);
        const auto count = static_cast<std::size_t>(end - first);
        if (count <= record.allowed_while_cold ||
            was_disturbed(server, *first, *first + bound_window))
            continue;
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(*first - server.started);
        return server.name + " got " + std::to_string(count) + " requests in the second from " +
               std::to_string(age.count()) + " ms after its start while it was cold, " +
               std::to_string(record.allowed_while_cold) + " allowed";
    }
    return {};
}

void add_versions(std::set<std::string>& versions, const call_record& call)
{
    if (call.kind == call_kind::stream && call.answer.status == 200)
        versions.merge(versions_in(call.answer.body));
}

std::vector<std::string> find_joined_streams(const soak_record& record)
{
    std::map<std::string, std::set<std::string>> versions;
    for (const call_record& each : record.calls)
    {
        if (!each.stream.empty())
            add_versions(versions[each.stream], each);
    }
    std::vector<std::string> joined;
    for (const auto& [stream, found] : versions)
    {
        if (found.size() < 2)
            continue;
        std::string text = "stream " + stream + " is joined:";
        for (const call_record& each : record.calls)
        {
            if (each.stream != stream)
                continue;
            std::set<std::string> own;
            add_versions(own, each);
            text += " " + each.id + " at node " + std::to_string(each.node + 1) + " after event " +
                    std::to_string(each.after);
            for (const std::string& version : own)
            {
                text += " of " + version;
            }
            text += ",";
        }
        joined.push_back(text);
    }
    return joined;
}

/// Whether the call's node is in touch: nothing disturbed it, or the state that it follows.
bool is_in_touch(const soak_record& record, const call_record& call)
{
    const auto is_recent = [&](soak_time at)
    { return at <= call.ended && call.sent - at < contact_time; };
    return !was_node_disturbed(record, call) &&
           std::none_of(record.store_disturbances.begin(), record.store_disturbances.end(),
                        is_recent);
}

bool serves(const soak_record& record, const server_record& server, const call_record& call)
{
    const bool is_excluded = std::any_of(record.exclusions.begin(), record.exclusions.end(),
                                         [&](const exclusion_period& each) {
                                             return each.server == server.name &&
                                                    each.from - catch_up_time <= call.ended;
                                         });
    return server.service == record.stream_service && !is_excluded &&
           server.started + discovery_time <= call.sent && call.ended < server.ended &&
           !was_disturbed(server, call.sent, call.ended);
}

/// Version that wrote the first events of a stream; empty if that is not known.
std::string version_of(const soak_record& record, const std::string& stream)
{
    std::set<std::string> versions;
    for (const call_record& each : record.calls)
    {
        if (each.id == stream)
            add_versions(versions, each);
    }
    return versions.size() == 1 ? *versions.begin() : std::string();
}

bool has_two_servers(const soak_record& record, const call_record& call)
{
    const std::string version = version_of(record, call.stream);
    const auto count =
        std::count_if(record.servers.begin(), record.servers.end(),
                      [&](const server_record& each)
                      { return each.version == version && serves(record, each, call); });
    return !version.empty() && count >= 2;
}

} // namespace

stream_counts count_streams(const soak_record& record)
{
    stream_counts counts;
    for (const call_record& call : record.calls)
    {
        if (call.kind != call_kind::stream || call.stream.empty() || !is_in_touch(record, call))
            continue;
        const std::size_t has_events =
            call.answer.status == 200 && last_event(call.answer.body) > call.after ? 1 : 0;
        if (call.after == 0)
        {
            ++counts.sent_new;
            counts.begun += has_events;
        }
        else if (has_two_servers(record, call))
        {
            ++counts.taken_up;
            counts.gone_on += has_events;
        }
    }
    return counts;
}

std::vector<std::string> find_release_violations(const soak_record& record)
{
    std::vector<std::string> violations = find_joined_streams(record);
    for (const server_record& each : record.servers)
    {
        if (const std::string what = check_cold_server(record, each); !what.empty())
            violations.push_back(what);
    }
    const stream_counts counts = count_streams(record);
    // Under half of the share of new streams that begin.
    if (counts.taken_up >= min_taken_up && counts.sent_new > 0 &&
        2 * counts.gone_on * counts.sent_new < counts.begun * counts.taken_up)
        violations.push_back(
            std::to_string(counts.gone_on) + " of " + std::to_string(counts.taken_up) +
            " streams that callers took up went on, and " + std::to_string(counts.begun) + " of " +
            std::to_string(counts.sent_new) + " new ones began");
    return violations;
}

} // namespace snipeplank::tests
