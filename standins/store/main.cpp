/// Stand-in for the key-value store of the users' platform: range reads in pages and watches over
/// items that a test sets.

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <standins/support/http_server.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

DEFINE_string(address, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");

namespace snipeplank::standins
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int gone = 410;
constexpr int no_content = 204;

/// Limits of a page.
constexpr std::size_t max_items_per_page = 500;
constexpr std::size_t max_bytes_per_page = 1'048'576;
/// Part of an answer in the chunked transfer coding.
constexpr std::size_t max_chunk_bytes = 7;

std::string encode_base64(const std::string& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                       reinterpret_cast<const unsigned char*>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

/// One write or removal of a key.
struct change
{
    std::string key;
    bool is_removal = false;
    std::string value;
    std::uint64_t revision = 0;
};

class store
{
  public:
    store()
    {
        m_server.Get("/api/kv-range",
                     [this](const request& in, response& out) { read_range(in, out); });
        m_server.Get("/api/kv-watch", [this](const request& in, response& out) { watch(in, out); });
        m_server.Put("/standin/item",
                     [this](const request& in, response& out) { write(in, out, false); });
        m_server.Delete("/standin/item",
                        [this](const request& in, response& out) { write(in, out, true); });
        m_server.Post("/standin/compact", [this](const request&, response&) { compact(); });
        m_server.Post("/standin/copy", [this](const request&, response&) { copy(); });
        m_server.Post("/standin/restore", [this](const request&, response&) { restore(); });
        m_server.Get("/standin/counts",
                     [this](const request&, response& out)
                     {
                         const std::lock_guard lock(m_mutex);
                         out.set_content(json{{"longest_wait_ms", m_longest_wait_ms},
                                              {"calls", m_calls.load()},
                                              {"range_reads", m_range_reads.load()}}
                                             .dump(),
                                         "application/json");
                     });
        m_server.Post("/standin/page_items",
                      [this](const request& in, response&) { m_page_items = std::stoul(in.body); });
        m_server.Post("/standin/chunked",
                      [this](const request& in, response&) { m_is_chunked = in.body == "yes"; });
        m_server.Post("/standin/repeat_page",
                      [this](const request& in, response&) { m_repeats_page = in.body == "yes"; });
        m_server.Post("/standin/range_status", [this](const request& in, response&)
                      { m_range_status = std::stoi(in.body); });
        m_server.Post("/standin/down",
                      [this](const request& in, response&) { m_is_down = in.body == "yes"; });
    }

    int run() { return m_server.run(FLAGS_address); }

  private:
    using request = httplib::Request;
    using response = httplib::Response;

    static json to_json(const change& each)
    {
        json item{{"Key", each.key}, {"Revision", each.revision}};
        if (each.is_removal)
            item["Deleted"] = true;
        else
            item.update(
                {{"Value", encode_base64(each.value)}, {"Created", each.revision}, {"Lease", 0}});
        return item;
    }

    bool refuse_when_down()
    {
        if (m_is_down)
            connection::current().cut();
        return m_is_down;
    }

    /// An answer of JSON, with a length or in small chunks.
    void answer(response& out, const json& document) const
    {
        std::string text = document.dump();
        if (!m_is_chunked)
        {
            out.set_content(text, "application/json");
            return;
        }
        out.set_chunked_content_provider(
            "application/json",
            [text = std::move(text)](std::size_t offset, httplib::DataSink& sink)
            {
                const std::string_view rest = std::string_view(text).substr(offset);
                const std::string_view part = rest.substr(0, max_chunk_bytes);
                sink.write(part.data(), part.size());
                if (part.size() == rest.size())
                    sink.done();
                return true;
            });
    }

    void read_range(const request& in, response& out)
    {
        ++m_calls;
        ++m_range_reads;
        if (refuse_when_down())
            return;
        const std::lock_guard lock(m_mutex);
        out.set_header("Store-Era", std::to_string(m_era));
        if (m_range_status != ok)
        {
            out.status = m_range_status;
            return;
        }
        const std::string after = m_repeats_page ? "" : in.get_param_value("after");
        answer(out, page_after(in.get_param_value("PathPrefix"), after));
    }

    /// The items below a prefix that follow a key, as many as fit in a page.
    json page_after(const std::string& prefix, const std::string& after) const
    {
        json items = json::array();
        std::size_t bytes = 0;
        const auto begin = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
        auto each = begin;
        for (; each != m_items.end() && each->first.starts_with(prefix); ++each)
        {
            const std::size_t size = each->first.size() + each->second.value.size();
            const bool is_full = items.size() >= m_page_items || bytes + size > max_bytes_per_page;
            if (is_full && !items.empty())
                break;
            bytes += size;
            items.push_back(to_json(each->second));
        }
        const bool has_more = each != m_items.end() && each->first.starts_with(prefix);
        return json{
            {"items", items}, {"HasMore", has_more || m_repeats_page}, {"AsOf", m_revision}};
    }

    void watch(const request& in, response& out)
    {
        ++m_calls;
        if (refuse_when_down())
            return;
        const std::string prefix = in.get_param_value("PathPrefix");
        const std::uint64_t after = std::stoull(in.get_param_value("after"));
        const long wait_ms = std::stol(in.get_param_value("WaitMs"));
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
        {
            const std::lock_guard lock(m_mutex);
            m_longest_wait_ms = std::max(m_longest_wait_ms, wait_ms);
        }
        while (!answer_watch(prefix, after, out) && std::chrono::steady_clock::now() < end)
        {
            constexpr auto poll_interval = 10ms;
            if (!m_server.wait_for(poll_interval) || refuse_when_down())
            {
                connection::current().cut();
                return;
            }
        }
    }

    /// Fills in the answer; returns whether it can be sent before the wait ends.
    bool answer_watch(const std::string& prefix, std::uint64_t after, response& out)
    {
        const std::lock_guard lock(m_mutex);
        if (!out.has_header("Store-Era"))
            out.set_header("Store-Era", std::to_string(m_era));
        if (after < m_compacted || after > m_revision)
        {
            out.status = gone;
            return true;
        }
        json events = json::array();
        for (const change& each : m_history)
        {
            if (each.revision > after && each.key.starts_with(prefix))
                events.push_back(to_json(each));
        }
        answer(out, json{{"events", events}, {"AsOf", m_revision}});
        return !events.empty();
    }

    void write(const request& in, response& out, bool is_removal)
    {
        const std::string key = in.get_param_value("Key");
        if (key.empty())
        {
            out.status = bad_request;
            return;
        }
        const std::lock_guard lock(m_mutex);
        const change made{key, is_removal, in.body, ++m_revision};
        m_history.push_back(made);
        if (is_removal)
            m_items.erase(key);
        else
            m_items[key] = made;
        out.status = no_content;
    }

    void compact()
    {
        const std::lock_guard lock(m_mutex);
        m_history.clear();
        m_compacted = ++m_revision;
    }

    /// Keeps the items for `restore`.
    void copy()
    {
        const std::lock_guard lock(m_mutex);
        m_copied_items = m_items;
        m_copied_revision = m_revision;
    }

    /// Goes back to the copy: what was written since is gone, its revisions are given out again.
    void restore()
    {
        const std::lock_guard lock(m_mutex);
        m_items = m_copied_items;
        m_revision = m_copied_revision;
        std::erase_if(m_history, [&](const change& each) { return each.revision > m_revision; });
        ++m_era;
    }

    http_server m_server;
    std::mutex m_mutex;
    std::map<std::string, change> m_items;
    std::map<std::string, change> m_copied_items;
    std::uint64_t m_copied_revision = 1;
    std::uint64_t m_era = 1; ///< one higher with each restored copy
    std::vector<change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compacted = 0;
    long m_longest_wait_ms = 0;
    std::atomic<long> m_calls{0}; ///< reads and watches
    std::atomic<long> m_range_reads{0};
    std::atomic<std::size_t> m_page_items{max_items_per_page};
    std::atomic<int> m_range_status{ok};
    std::atomic<bool> m_is_chunked{false};
    std::atomic<bool> m_repeats_page{false}; ///< answers the first page again, whatever is asked
    std::atomic<bool> m_is_down{false};
};

} // namespace
} // namespace snipeplank::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return snipeplank::standins::store().run();
}
