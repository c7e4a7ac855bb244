#include "soak_verdict.hpp"

#include <algorithm>
#include <array>
#include <iterator>

#include "event_text.hpp"

namespace snipeplank::tests
{

namespace
{

using namespace std::chrono_literals;

/// The answer to a request that is out of time comes this much earlier, so that it is in time.
constexpr std::chrono::milliseconds deadline_margin = 50ms;
/// A node may still follow a version that was replaced this long ago.
constexpr std::chrono::milliseconds max_configuration_age = 3s;
/// From the stop signal until the platform may kill a node.
constexpr std::chrono::milliseconds stop_grace = 8s;
/// A node's idle timer and the caller's clock start and fire this close to each other.
constexpr std::chrono::milliseconds idle_margin = 20ms;
/// Longest time between a node's last look at an idle connection and its close.
constexpr std::chrono::milliseconds max_crossing = 20ms;
/// Servers that end under a request before the nodes refuse it, and runs that they may miss later.
constexpr std::size_t learning_ends = 3;
constexpr int allowed_later_runs = 3;
/// Statuses that guarantee that the request has not run and will not run.
constexpr std::array not_run_statuses{408, 421, 429, 503};

long to_ms(soak_time::duration span)
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

/// Whether the body has the events that follow those of the caller, written by one version.
/// @param is_whole all of them; otherwise those up to any byte
bool has_own_events(const soak_record& record, const call_record& call, bool is_whole)
{
    return std::any_of(
        record.servers.begin(), record.servers.end(),
        [&](const server_record& each)
        {
            const std::string text = event_text(call.after + 1, record.events, each.version);
            return is_whole ? call.answer.body == text : text.starts_with(call.answer.body);
        });
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
bool is_own_answer(const soak_record& record, const call_record& call)
{
    const auto signature = call.answer.headers.find("server-signature");
    if (signature == call.answer.headers.end() || signature->second != "3e1b.07." + call.id)
        return false;
    if (call.kind == call_kind::stream)
        return has_own_events(record, call, true);
    return call.answer.body.find(" " + path_of(call) + " ") != std::string::npos;
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
    if (answer.is(200) && !is_own_answer(record, call))
        return "got a success that is not its server's whole answer";
    if (answer.is(200) && runs == 0)
        return "got a success, but no server ran it";
    if (call.kind == call_kind::stream && answer.status == 200 &&
        !has_own_events(record, call, false))
        return "got events that are missing, repeated or joined";
    if (answer.end == answer_end::silent)
        return "got no end of its answer";
    return {};
}

/// Limits that a node may have applied in this period.
std::vector<std::chrono::milliseconds> limits_in_force(const std::vector<limit_change>& changes,
                                                       soak_time from, soak_time to)
{
    std::vector<std::chrono::milliseconds> limits;
    for (auto each = changes.begin(); each != changes.end(); ++each)
    {
        const auto next = std::next(each);
        const bool was_replaced =
            next != changes.end() && next->published + max_configuration_age < from;
        if (!was_replaced && each->published < to)
            limits.push_back(each->limit);
    }
    return limits;
}

/// Shortest route timeout that a node may have applied to the call.
std::chrono::milliseconds shortest_timeout(const soak_record& record, const call_record& call)
{
    auto shortest = std::chrono::milliseconds::max();
    for (const auto limit : limits_in_force(record.timeouts, call.sent, call.ended))
    {
        shortest = std::min(shortest, limit);
    }
    return shortest;
}

/// Whether the request arrived between the node's last look at an idle connection and its close, so
/// that it was never read. The rules do not count a request that crosses the close.
bool crosses_idle_close(const soak_record& record, const call_record& call)
{
    if (call.answer.close != connection_close::reset || call.answer.status != 0 || !call.idle ||
        call.ended - call.sent > max_crossing || runs_of(record, call.id) > 0)
        return false;
    const auto limits = limits_in_force(record.idle_limits, call.sent - *call.idle, call.ended);
    return std::any_of(limits.begin(), limits.end(),
                       [&](std::chrono::milliseconds limit) {
                           return limit.count() > 0 &&
                                  std::chrono::abs(*call.idle - limit) <= idle_margin;
                       });
}

/// A request whose deadline, or the shortest route timeout in force, has passed may be given up.
bool is_past_limit(const soak_record& record, const call_record& call)
{
    const auto limit = std::min(call.deadline, shortest_timeout(record, call));
    return call.ended - call.sent >= limit - deadline_margin;
}

/// A node that stops may be killed after its grace.
bool is_past_grace(const soak_record& record, const call_record& call)
{
    return std::any_of(record.stops.begin(), record.stops.end(),
                       [&](const node_stop& stop) {
                           return stop.node == call.node && stop.gone >= call.sent &&
                                  stop.at + stop_grace <= call.ended;
                       });
}

/// Whether the server was still at work in the last sixth of the grace, on a request that was sent
/// up to three seconds after the stop signal. The rules do not count these.
bool is_late_work(const soak_record& record, const call_record& call)
{
    constexpr std::chrono::seconds latest_sent = 3s;
    constexpr std::chrono::milliseconds last_sixth = stop_grace - stop_grace / 6;
    return std::any_of(record.stops.begin(), record.stops.end(),
                       [&](const node_stop& stop)
                       {
                           if (stop.node != call.node || call.sent < stop.at ||
                               call.sent > stop.at + latest_sent)
                               return false;
                           return std::any_of(record.servers.begin(), record.servers.end(),
                                              [&](const server_record& each)
                                              {
                                                  const auto found = each.cancelled.find(call.id);
                                                  return found != each.cancelled.end() &&
                                                         found->second >= stop.at + last_sixth;
                                              });
                       });
}

std::string describe_end_of_work(const soak_record& record, const call_record& call, soak_time from)
{
    std::string text;
    for (const server_record& each : record.servers)
    {
        const auto found = each.cancelled.find(call.id);
        if (found != each.cancelled.end())
            text += ", " + each.name + " stopped work on it after " +
                    std::to_string(to_ms(found->second - from)) + " ms";
    }
    return text;
}

std::string describe_stop(const soak_record& record, const call_record& call)
{
    std::string text;
    for (const node_stop& stop : record.stops)
    {
        if (stop.node == call.node && stop.at < call.ended && stop.gone >= call.sent)
            text = " (sent " + std::to_string(to_ms(call.sent - stop.at)) + " and lost " +
                   std::to_string(to_ms(call.ended - stop.at)) +
                   " ms after its node was told to stop" +
                   describe_end_of_work(record, call, stop.at) + ")";
    }
    return text;
}

std::string check_planned_cut(const soak_record& record, const call_record& call)
{
    // The node had closed the connection before the request arrived, so it never accepted it.
    const bool was_accepted =
        call.answer.close != connection_close::before_request || runs_of(record, call.id) > 0;
    if (!was_accepted || crosses_idle_close(record, call) || is_past_limit(record, call) ||
        is_past_grace(record, call) || is_late_work(record, call))
        return {};
    const std::string where = call.answer.status == 0 ? "got neither an answer nor a refusal"
                                                      : "was cut off inside its answer";
    return where + " beside planned work" + describe_stop(record, call);
}

/// With planned work alone a sound server is there for each request: it ends with a complete answer
/// of a server, or with a refusal that says when to come back.
std::string check_planned(const soak_record& record, const call_record& call)
{
    const http_answer& answer = call.answer;
    // A node that is down accepts no connection, so it has accepted no request.
    if (!record.is_planned || call.is_left || answer.end == answer_end::no_connection ||
        answer.is(200))
        return {};
    if (answer.end == answer_end::truncated)
        return check_planned_cut(record, call);
    constexpr std::array refusals{429, 503};
    constexpr std::array failures{502, 504};
    if (std::find(refusals.begin(), refusals.end(), answer.status) != refusals.end())
        return answer.headers.contains("retry-after") ? std::string()
                                                      : "was refused without Retry-After";
    if (std::find(failures.begin(), failures.end(), answer.status) == failures.end())
        return "got an unexpected status beside planned work";
    return is_past_limit(record, call) ? std::string() : "was given up beside planned work";
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
        if (!record.is_planned)
            break;
        const bool has_run =
            std::any_of(record.servers.begin(), record.servers.end(),
                        [&](const auto& each)
                        { return each.name == period.server && each.runs.contains(call.id); });
        if (call.sent > period.from && call.sent < period.to && has_run)
            return "ran at " + period.server + ", which was leaving or evacuated";
    }
    return {};
}

std::string describe_times(const call_record& call)
{
    const std::string connection =
        call.idle ? "a connection that was idle for " + std::to_string(call.idle->count()) + " ms"
                  : "a new connection";
    return "after " + std::to_string(to_ms(call.ended - call.sent)) + " of " +
           std::to_string(call.deadline.count()) + " ms on " + connection + ", ";
}

/// When the last of the servers had ended from which the nodes learn that a request is fatal.
std::optional<soak_time> time_of_learning(const soak_record& record)
{
    std::vector<soak_time> ends;
    for (const server_record& each : record.servers)
    {
        if (each.ended_by == fatal_path)
            ends.push_back(each.ended);
    }
    if (ends.size() < learning_ends)
        return std::nullopt;
    std::sort(ends.begin(), ends.end());
    return ends[learning_ends - 1];
}

std::string check_fatal_requests(const soak_record& record)
{
    const std::optional<soak_time> learned = time_of_learning(record);
    if (!learned)
        return {};
    int runs = 0;
    std::string ids;
    for (const call_record& call : record.calls)
    {
        const bool is_judged = call.is_fatal && call.sent - *learned > contact_time;
        if (!is_judged || was_node_disturbed(record, call) || runs_of(record, call.id) == 0)
            continue;
        runs += runs_of(record, call.id);
        ids += " " + call.id + " at node " + std::to_string(call.node + 1) + " after " +
               std::to_string(to_ms(call.sent - *learned)) + " ms,";
    }
    if (runs <= allowed_later_runs)
        return {};
    return fatal_path + " ran " + std::to_string(runs) +
           " times after servers had ended under it:" + ids;
}

} // namespace

/// A node that stood still or was started lately may not know what the others know.
bool was_node_disturbed(const soak_record& record, const call_record& call)
{
    return std::any_of(record.disturbances.begin(), record.disturbances.end(),
                       [&](const node_disturbance& each) {
                           return each.node == call.node && each.at <= call.sent &&
                                  call.sent - each.at < contact_time;
                       });
}

std::string path_of(const call_record& call)
{
    // A stream that is taken up has the path of its first attempt.
    const std::string& id = call.stream.empty() ? call.id : call.stream;
    return call.is_fatal ? fatal_path : path_of(call.kind, id);
}

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
        for (const auto check : {check_call, check_planned, check_home_region, check_exclusions})
        {
            const std::string what = check(record, call);
            if (!what.empty())
                violations.push_back(path_of(call) + " at node " + std::to_string(call.node + 1) +
                                     " " + what + "; " + describe_times(call) +
                                     call.answer.describe());
        }
    }
    if (const std::string what = check_fatal_requests(record); !what.empty())
        violations.push_back(what);
    for (const std::string& each : find_release_violations(record))
    {
        violations.push_back(each);
    }
    return violations;
}

} // namespace snipeplank::tests
