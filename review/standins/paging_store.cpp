/// Stand-in for the platform's store that reads ranges in pages, as the platform's pages describe:
/// at most 500 items or 1 MB in an answer, and the next page begins after the key that is named.

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <standins/support/http_server.hpp>

#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

DEFINE_string(address, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");

namespace snipeplank::standins
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_items_per_page = 500;
constexpr std::size_t max_bytes_per_page = 1'048'576;

std::string encode_base64(const std::string& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                       reinterpret_cast<const unsigned char*>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

/// One write of a key.
struct item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

json to_json(const item& each)
{
    return json{{"Key", each.key},
                {"Value", encode_base64(each.value)},
                {"Revision", each.revision},
                {"Created", each.revision},
                {"Lease", 0}};
}

class paging_store
{
  public:
    paging_store()
    {
        m_server.Get("/api/kv-range",
                     [this](const request& in, response& out) { read_range(in, out); });
        m_server.Get("/api/kv-watch", [this](const request& in, response& out) { watch(in, out); });
        m_server.Put("/standin/item", [this](const request& in, response& out) { write(in, out); });
        m_server.Get("/standin/pages",
                     [this](const request&, response& out)
                     {
                         const std::lock_guard lock(m_mutex);
                         out.set_content(std::to_string(m_pages) + " pages read\n", "text/plain");
                     });
        // An answer to a request line that is no HTTP, such as one with a space in its target.
        m_server.set_error_handler([](const request& in, response& out)
                                   { std::cout << out.status << " " << in.target << std::endl; });
    }

    int run() { return m_server.run(FLAGS_address); }

  private:
    using request = httplib::Request;
    using response = httplib::Response;

    void read_range(const request& in, response& out)
    {
        const std::string prefix = in.get_param_value("PathPrefix");
        const std::string after = in.get_param_value("after");
        const std::lock_guard lock(m_mutex);
        ++m_pages;
        json items = json::array();
        std::size_t bytes = 0;
        bool has_more = false;
        for (auto each = m_items.upper_bound(std::max(prefix, after));
             each != m_items.end() && each->first.starts_with(prefix); ++each)
        {
            const std::size_t size = each->first.size() + each->second.value.size();
            if (items.size() == max_items_per_page ||
                (!items.empty() && bytes + size > max_bytes_per_page))
            {
                has_more = true;
                break;
            }
            bytes += size;
            items.push_back(to_json(each->second));
        }
        out.set_content(json{{"items", items}, {"HasMore", has_more}, {"AsOf", m_revision}}.dump(),
                        "application/json");
    }

    void watch(const request& in, response& out)
    {
        const std::string prefix = in.get_param_value("PathPrefix");
        const std::uint64_t after = std::stoull(in.get_param_value("after"));
        const std::chrono::milliseconds wait{std::stol(in.get_param_value("WaitMs"))};
        const auto end = std::chrono::steady_clock::now() + wait;
        constexpr std::chrono::milliseconds poll_interval{10};
        while (!answer_watch(prefix, after, out) && std::chrono::steady_clock::now() < end)
        {
            if (!m_server.wait_for(poll_interval))
                return;
        }
    }

    /// Fills in the answer; returns whether there are events.
    bool answer_watch(const std::string& prefix, std::uint64_t after, response& out)
    {
        const std::lock_guard lock(m_mutex);
        json events = json::array();
        for (const item& each : m_history)
        {
            if (each.revision > after && each.key.starts_with(prefix))
                events.push_back(to_json(each));
        }
        out.set_content(json{{"events", events}, {"AsOf", m_revision}}.dump(), "application/json");
        return !events.empty();
    }

    void write(const request& in, response& out)
    {
        constexpr int no_content = 204;
        const std::lock_guard lock(m_mutex);
        const item made{in.get_param_value("Key"), in.body, ++m_revision};
        m_history.push_back(made);
        m_items[made.key] = made;
        out.status = no_content;
    }

    http_server m_server;
    std::mutex m_mutex;
    std::map<std::string, item> m_items;
    std::vector<item> m_history;
    std::uint64_t m_revision = 1;
    std::size_t m_pages = 0;
};

} // namespace
} // namespace snipeplank::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return snipeplank::standins::paging_store().run();
}
