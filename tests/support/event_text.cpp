#include "event_text.hpp"

#include <cstdlib>

namespace snipeplank::tests
{

namespace
{

const std::string event_end = "\n\n";
const std::string id_field = "id: ";
const std::string version_mark = " of ";

} // namespace

std::string event_text(int from, int to, const std::string& version)
{
    std::string text;
    for (int i = from; i <= to; ++i)
    {
        const std::string number = std::to_string(i);
        text.append(id_field).append(number).append("\ndata: token ").append(number);
        if (!version.empty())
            text.append(version_mark).append(version);
        text.append(event_end);
    }
    return text;
}

std::string whole_events(const std::string& body)
{
    const std::size_t end = body.rfind(event_end);
    return end == std::string::npos ? std::string() : body.substr(0, end + event_end.size());
}

int last_event(const std::string& body)
{
    const std::string events = whole_events(body);
    const std::size_t last = events.rfind(id_field);
    return last == std::string::npos ? 0 : std::atoi(events.c_str() + last + id_field.size());
}

std::set<std::string> versions_in(const std::string& body)
{
    const std::string events = whole_events(body);
    std::set<std::string> versions;
    for (std::size_t at = events.find(version_mark); at != std::string::npos;
         at = events.find(version_mark, at + 1))
    {
        const std::size_t begin = at + version_mark.size();
        versions.insert(events.substr(begin, events.find('\n', begin) - begin));
    }
    return versions;
}

http_request taken_up(http_request request, const std::string& id, const std::string& first,
                      const std::string& body)
{
    request.headers["Attempt-Id"] = id;
    if (last_event(body) == 0)
        return request;
    request.headers["Last-Event-Id"] = std::to_string(last_event(body));
    request.headers["Resumes"] = first;
    return request;
}

} // namespace snipeplank::tests
