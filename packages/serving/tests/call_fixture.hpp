/// @file
/// Runs calls on one event loop, with scripted upstreams on loopback and a recorded exchange.

#ifndef SNIPEPLANK_SERVING_TESTS_CALL_FIXTURE_HPP
#define SNIPEPLANK_SERVING_TESTS_CALL_FIXTURE_HPP

#include <snipeplank/core/random.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "../src/call.hpp"

namespace snipeplank::serving::tests
{

namespace asio = boost::asio;

/// @brief Suspends the current coroutine.
inline asio::awaitable<void> pause_for(asio::io_context& loop, core::milliseconds span)
{
    asio::steady_timer timer(loop, span);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/// @brief Bytes that an upstream sends, after a pause.
struct answer_part
{
    core::milliseconds pause{0};
    std::string bytes;
};

/// @brief What an upstream does after the last part of an answer.
enum class answer_end
{
    keep,
    close,
    reset,
    crash,        ///< close, and accept no connection any more
    crash_slowly, ///< the same, but accept connections for a moment longer
    cut_off,      ///< reset, and leave connections without a reply, as behind a cut link
};

/// @brief The answer to one request.
struct scripted_answer
{
    std::vector<answer_part> parts;
    answer_end end = answer_end::keep;
};

/// @brief Answers requests without a body, each with the next scripted answer; the last one
/// repeats.
class scripted_upstream
{
  public:
    /// @param port to listen on; 0 takes a free one
    scripted_upstream(asio::io_context& loop, std::vector<scripted_answer> answers,
                      unsigned short port = 0)
        : m_loop(loop), m_answers(std::move(answers)),
          m_acceptor(loop, {asio::ip::make_address("127.0.0.1"), port}),
          m_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
    {
        asio::co_spawn(loop, accept_all(), asio::detached);
    }
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;

    const core::address& address() const { return m_address; }
    unsigned short port() const { return m_acceptor.local_endpoint().port(); }

    /// @brief Connections that were accepted.
    std::size_t connections() const { return m_sockets.size(); }

    /// @brief A later request on a connection finds it closed.
    unsigned requests_per_connection = std::numeric_limits<unsigned>::max();

    /// @brief The heads of the requests that were received.
    const std::vector<std::string>& requests() const { return m_requests; }

  private:
    using tcp = asio::ip::tcp;

    asio::awaitable<void> accept_all()
    {
        for (;;)
        {
            auto socket = std::make_shared<tcp::socket>(m_loop);
            boost::system::error_code error;
            co_await m_acceptor.async_accept(*socket,
                                             asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            m_sockets.push_back(socket);
            asio::co_spawn(m_loop, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string received;
        for (unsigned served = 0;; ++served)
        {
            boost::system::error_code error;
            const std::size_t size =
                co_await asio::async_read_until(*socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                                asio::redirect_error(asio::use_awaitable, error));
            if (error || served == requests_per_connection)
                co_return;
            m_requests.push_back(received.substr(0, size));
            received.erase(0, size);
            const std::size_t index = std::min(m_requests.size(), m_answers.size()) - 1;
            for (const answer_part& part : m_answers[index].parts)
            {
                co_await pause_for(m_loop, part.pause);
                co_await asio::async_write(*socket, asio::buffer(part.bytes),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
            if (m_answers[index].end == answer_end::cut_off)
                fill_backlog();
            if (m_answers[index].end == answer_end::reset ||
                m_answers[index].end == answer_end::cut_off)
                socket->set_option(asio::socket_base::linger(true, 0), error);
            if (m_answers[index].end == answer_end::keep)
                continue;
            if (m_answers[index].end == answer_end::crash)
                m_acceptor.close(error);
            // The destructor would close without a reset.
            socket->close(error);
            if (m_answers[index].end == answer_end::crash_slowly)
                co_await stop_accepting();
            co_return;
        }
    }

    /// Accepts nothing any more and fills the queue of waiting connections.
    void fill_backlog()
    {
        constexpr int waiting = 3;
        boost::system::error_code ignored;
        m_acceptor.cancel(ignored);
        m_acceptor.listen(0, ignored);
        for (int i = 0; i < waiting; ++i)
        {
            m_waiting.emplace_back(m_loop);
            m_waiting.back().async_connect(m_acceptor.local_endpoint(), asio::detached);
        }
    }

    /// Closes the listening socket and, as the end of a process does, the open connections.
    asio::awaitable<void> stop_accepting()
    {
        constexpr core::milliseconds accepts_longer{30};
        co_await pause_for(m_loop, accepts_longer);
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (const auto& each : m_sockets)
        {
            if (const auto open = each.lock())
                open->close(ignored);
        }
    }

    asio::io_context& m_loop;
    std::vector<std::weak_ptr<tcp::socket>> m_sockets;
    std::deque<tcp::socket> m_waiting;
    std::vector<scripted_answer> m_answers;
    tcp::acceptor m_acceptor;
    core::address m_address;
    std::vector<std::string> m_requests;
};

/// @brief A request of a client, and what the client receives.
class recorded_exchange final : public http::exchange
{
  public:
    recorded_exchange(asio::io_context& loop, http::request_head head)
        : m_loop(loop), m_head(std::move(head)), m_received(std::chrono::steady_clock::now())
    {
    }

    const http::request_head& head() const override { return m_head; }
    const std::string& body() const override { return m_body; }
    core::time_point received_at() const override { return m_received; }
    bool has_begun() const override { return status != 0; }

    asio::awaitable<bool> send(http::response answer) override
    {
        status = answer.head.status;
        written = std::move(answer.body);
        is_finished = true;
        co_return true;
    }

    asio::awaitable<bool> begin(http::response_head head) override
    {
        status = head.status;
        co_return true;
    }

    asio::awaitable<bool> write(std::string_view data) override
    {
        written += data;
        co_await pause_for(m_loop, std::exchange(next_write_takes, core::milliseconds{0}));
        co_return true;
    }

    asio::awaitable<bool> finish() override
    {
        is_finished = true;
        co_return true;
    }

    void abort() override {}
    void on_client_disconnected(std::function<void()>) override {}

    /// @brief Whether the client has a whole answer with this status and body.
    bool is(int wanted, std::string_view body) const
    {
        return is_finished && status == wanted && written == body;
    }

    /// @brief The received answer, for messages of failed checks.
    std::string describe() const
    {
        return "status " + std::to_string(status) + (is_finished ? ", whole: '" : ", cut: '") +
               written + "'";
    }

    int status = 0;
    std::string written;
    bool is_finished = false;               ///< the client sees a whole answer
    bool is_over = false;                   ///< the call has returned
    core::milliseconds next_write_takes{0}; ///< how long the client blocks the next write

  private:
    asio::io_context& m_loop;
    http::request_head m_head;
    std::string m_body;
    core::time_point m_received;
};

/// @brief Reads the headers `Id`, `Host`, `Prompt` (its parts, separated by spaces),
/// `Last-Event-Id` and `Resumes`; a refusal has status 503 if it proves "not run".
class plain_caller_protocol final : public caller_protocol
{
  public:
    core::result<caller_request> read(const http::request_head& head) const override
    {
        caller_request request;
        request.id = std::string(http::find_header(head.headers, "Id").value_or(""));
        request.host = std::string(http::find_header(head.headers, "Host").value_or(""));
        request.last_event_id =
            std::string(http::find_header(head.headers, "Last-Event-Id").value_or(""));
        request.resumes = std::string(http::find_header(head.headers, "Resumes").value_or(""));
        request.key = std::string(http::find_header(head.headers, "Key").value_or(""));
        std::istringstream prompt{
            std::string(http::find_header(head.headers, "Prompt").value_or(""))};
        for (std::string part; prompt >> part;)
        {
            request.prompt.push_back({part, 1});
        }
        return request;
    }

    http::response refuse(const caller_request&, const policy::refusal& why) const override
    {
        last_refusal = why;
        constexpr int unavailable = 503;
        constexpr int bad_gateway = 502;
        http::response answer;
        answer.head.status = why.executed == policy::execution::no ? unavailable : bad_gateway;
        answer.body = policy::to_string(why.reason);
        return answer;
    }

    http::response_head forward(const http::response_head& answer) const override
    {
        return {answer.status, {}};
    }

    mutable policy::refusal last_refusal;
};

/// @brief Passes requests on unchanged; status 503 proves "not run", 500 is a failure.
class plain_upstream_protocol final : public upstream_protocol
{
  public:
    http::request_head compose(const http::request_head& request, std::size_t,
                               const send_options& options) const override
    {
        http::request_head sent = resume(request, options.last_event_id);
        if (!options.account)
            return sent;
        sent = without_key(sent);
        sent.headers.emplace_back("Account", options.account->get());
        sent.headers.emplace_back("Priority", std::to_string(options.priority));
        return sent;
    }

    http::request_head resume(const http::request_head& request,
                              const std::string& last_event_id) const override
    {
        http::request_head resumed = request;
        if (last_event_id.empty())
            return resumed;
        std::erase_if(resumed.headers,
                      [](const auto& field) { return field.first == "Last-Event-Id"; });
        resumed.headers.emplace_back("Last-Event-Id", last_event_id);
        return resumed;
    }

    http::request_head without_key(const http::request_head& request) const override
    {
        http::request_head stripped = request;
        std::erase_if(stripped.headers, [](const auto& field) { return field.first == "Key"; });
        return stripped;
    }

    upstream_answer_head read(const http::response_head& answer,
                              std::string_view request_id) const override
    {
        constexpr int ok = 200;
        constexpr int unavailable = 503;
        constexpr core::milliseconds idle_time{10'000};
        upstream_answer_head read;
        read.idle_time = idle_time;
        read.names_request = http::find_header(answer.headers, "Id") == request_id;
        read.kind = answer.status == ok            ? answer_kind::success
                    : answer.status == unavailable ? answer_kind::not_run
                                                   : answer_kind::failure;
        return read;
    }

    http::request_head ask_process(const upstream& target, const std::string& path,
                                   core::milliseconds) const override
    {
        return {"GET", path, {{"Host", "shop.example"}, {"Process", target.id.get()}}};
    }

    process_answer read_process(const http::response_head& answer,
                                const upstream& target) const override
    {
        constexpr int ok = 200;
        constexpr core::milliseconds idle_time{10'000};
        process_answer read;
        read.is_mismatched = http::find_header(answer.headers, "Id").has_value();
        read.is_of_target = !read.is_mismatched && answer.status == ok &&
                            http::find_header(answer.headers, "Process") == target.id.get();
        const auto cold_ms = http::find_header(answer.headers, "Cold-Ms");
        read.cold_for = core::milliseconds{
            static_cast<long>(http::parse_number(cold_ms.value_or("")).value_or(0))};
        read.idle_time = idle_time;
        return read;
    }
};

/// @brief Passes calls of other regions on; without a target, none can be called.
class region_link final : public region_caller
{
  public:
    std::unique_ptr<attempt> call(const core::region_id& region, const http::request_head& request,
                                  const std::string& body,
                                  const forwarding_options& options) override
    {
        last_options = options;
        last_head = request;
        return target != nullptr ? target->call(region, request, body, options) : nullptr;
    }

    forwarding_options last_options; ///< of the last call
    http::request_head last_head;

    region_caller* target = nullptr;
};

/// @brief Delivers origins and questions to the directories of other nodes on the same loop; those
/// of a node without others are dropped.
class memory_origin_network final : public origin_network
{
  public:
    explicit memory_origin_network(asio::io_context& loop) : m_loop(loop) {}

    /// @brief Connects two nodes, of which this one has the address `self`.
    void connect(core::address self, stream_directory& own, const core::address& other,
                 stream_directory& theirs)
    {
        m_self = std::move(self);
        m_own = &own;
        m_others[other] = &theirs;
    }

    void send_origins(const core::address& to, std::vector<fleet::stream_origin> origins,
                      std::vector<fleet::stream_origin> wanted) override
    {
        const auto found = m_others.find(to);
        if (found == m_others.end())
            return;
        fleet::gossip body;
        body.sender.id.address = m_self;
        body.stream_origins = std::move(origins);
        body.wanted_origins = std::move(wanted);
        asio::post(m_loop, [target = found->second, body]
                   { target->on_received(body, std::chrono::steady_clock::now()); });
    }

    void wake_in(core::milliseconds span) override
    {
        auto timer = std::make_shared<asio::steady_timer>(m_loop, span);
        timer->async_wait(
            [this, timer](const boost::system::error_code&)
            {
                if (m_own != nullptr)
                    m_own->send_due(std::chrono::steady_clock::now());
            });
    }

  private:
    asio::io_context& m_loop;
    core::address m_self;
    stream_directory* m_own = nullptr;
    std::map<core::address, stream_directory*> m_others;
};

/// @brief Drops messages about quotas: the node has no others.
class no_quota_network final : public policy::quota_network
{
  public:
    void send(const core::address&, policy::quota_message) override {}
};

/// @brief What a node knows of the age of its configuration, as a test says.
class scripted_evidence final : public configuration_evidence
{
  public:
    std::optional<core::milliseconds> confirmed_age() const override { return age; }
    bool is_newest_in_fleet() const override { return is_newest; }
    bool is_behind() const override { return has_newer_told; }

    std::optional<core::milliseconds> age{0};
    bool is_newest = false;
    bool has_newer_told = false;
};

const core::region_id own_region{"salzkammer"};
const core::zone_id own_zone{"salzkammer-a"};
const core::service_id own_service{"shop"};

/// @brief One node's calls, without a node.
class call_fixture
{
  public:
    /// @param retries budget of retries
    explicit call_fixture(policy::retry_bound retries)
        : m_places(own_region, bounds_with(retries), m_random), m_log("test"),
          m_crash_guard(loop, m_pool, m_log),
          m_streams(own_region, m_origins, [] { return core::milliseconds{0}; }),
          m_accounts(account_terms{{true, core::seconds{5}}, {}}, evidence, 1, m_quota_network),
          m_homes({true, core::seconds{5}}, evidence),
          m_environment{loop,      m_pool,        m_places,  m_callers,  m_upstream_protocol,
                        m_regions, m_crash_guard, m_streams, m_accounts, m_homes,
                        m_log,     m_statistics,  nullptr}
    {
        const core::address self{"127.0.0.1:7"};
        sharing_nodes alone;
        alone.fleet = policy::node_share{1};
        alone.region = policy::node_share{1};
        alone.senders = {self};
        alone.self = self;
        m_places.set_sharing_nodes(std::move(alone), std::chrono::steady_clock::now());
        m_accounts.quotas().set_nodes(self, own_region, {});
        m_accounts.quotas().set_share(policy::node_share{1}, host_time());
    }

    /// @brief The refusal that was sent last to a caller.
    const policy::refusal& last_refusal() const { return m_callers.last_refusal; }

    /// @brief What the node counts of its calls, as text for operators.
    std::string metrics() const { return m_statistics.render(); }

    /// @brief Bounds what calls may hold of their answers together.
    void limit_answers(core::bytes limit)
    {
        m_environment.answers = std::make_shared<held_answers>(limit);
    }
    const held_answers& answers() const { return *m_environment.answers; }

    /// @brief Sets the clock that tells for how long the host has been suspended.
    void set_suspended_time(std::function<core::duration()> suspended_time)
    {
        m_environment.suspensions = std::make_shared<suspension_watch>(std::move(suspended_time));
    }

    using accounts_by_key = std::map<std::string, client_account>;

    /// @brief Puts a configuration with one route in force. Requests need no key.
    void set_route(route only, service offered = {})
    {
        set_table(std::move(only), std::move(offered), std::nullopt);
    }

    /// @brief Puts a configuration with one route in force. Requests need the key of an account.
    void set_route(route only, service offered, const accounts_by_key& accounts)
    {
        account_table table;
        for (const auto& [account_key, account] : accounts)
        {
            static_cast<void>(table.add(account, {account_key}));
        }
        set_table(std::move(only), std::move(offered), std::move(table));
    }

    /// @brief Puts a configuration with one route in force.
    void set_table(route only, service offered, std::optional<account_table> accounts)
    {
        only.host = "shop.example";
        only.path_prefix = "/";
        only.services = {{own_service, 1}};
        routing_table table;
        table.version = core::config_version{1};
        table.routes.push_back(std::move(only));
        offered.name = own_service;
        table.services[own_service] = offered;
        table.accounts = std::move(accounts);
        publish_table(std::move(table));
    }

    /// @brief Puts a configuration in force that has a further route of the same host and service.
    void add_route(const std::string& path_prefix, route added)
    {
        routing_table table = *m_environment.table;
        added.host = table.routes.front().host;
        added.path_prefix = path_prefix;
        added.services = table.routes.front().services;
        table.routes.push_back(std::move(added));
        publish_table(std::move(table));
    }

    /// @brief Puts a configuration in force in which the first route has another path prefix.
    void move_route(const std::string& path_prefix)
    {
        routing_table table = *m_environment.table;
        table.routes.front().path_prefix = path_prefix;
        publish_table(std::move(table));
    }

    /// @brief Publishes an upstream at an address, or changes its entry.
    void publish(const std::string& id, const core::address& address, bool is_leaving = false,
                 const std::string& software_version = "v1")
    {
        upstream entry;
        entry.id = upstream_id{id};
        entry.service = own_service;
        entry.address = address;
        entry.zone = own_zone;
        entry.region = own_region;
        entry.is_leaving = is_leaving;
        entry.software_version = software_version;
        m_published[entry.id] = entry;
        m_places.set_upstreams(m_published, std::chrono::steady_clock::now());
        m_streams.set_upstreams(m_published, std::chrono::steady_clock::now());
    }

    /// @brief Takes an upstream off the list.
    void withdraw(const std::string& id)
    {
        m_published.erase(upstream_id{id});
        m_places.set_upstreams(m_published, std::chrono::steady_clock::now());
        m_streams.set_upstreams(m_published, std::chrono::steady_clock::now());
    }

    /// @brief What the node knows of streams, to connect it with that of another node.
    stream_directory& streams() { return m_streams; }
    memory_origin_network& origins() { return m_origins; }

    /// @brief Reports what an upstream says of itself in an answer to another request.
    void hear(const std::string& id, const policy::upstream_statement& said)
    {
        m_places.on_statement(upstream_id{id}, said, std::chrono::steady_clock::now());
    }

    /// @brief Makes another region known, with one idle upstream.
    void add_region(const core::region_id& region, region_caller& caller,
                    const std::string& software_version = "v1")
    {
        upstream entry;
        entry.id = upstream_id{"i-" + region.get()};
        entry.service = own_service;
        entry.region = region;
        entry.software_version = software_version;
        m_published[entry.id] = entry;
        m_places.set_upstreams(m_published, std::chrono::steady_clock::now());
        m_streams.set_upstreams(m_published, std::chrono::steady_clock::now());
        m_regions.target = &caller;
        remote_region known;
        known.services[own_service] = {1, 0, 0};
        known.last_received = std::chrono::steady_clock::now();
        known.is_reachable = true;
        m_places.set_region(region, known);
    }

    /// @brief Starts a call; it runs while the loop runs.
    recorded_exchange& start(const std::string& id,
                             std::optional<forwarded_from> forwarded = std::nullopt,
                             const std::string& prompt = "")
    {
        return start(http::request_head{"GET",
                                        "/" + id,
                                        {{"Host", "shop.example"}, {"Id", id}, {"Prompt", prompt}}},
                     std::move(forwarded));
    }

    /// @brief Starts a call by which a client takes up a stream after an event.
    /// @param resumes id of the call that brought its first event; empty: not named
    recorded_exchange& take_up(const std::string& id, const std::string& resumes,
                               const std::string& last_event_id)
    {
        http::request_head head{
            "GET",
            "/" + id,
            {{"Host", "shop.example"}, {"Id", id}, {"Last-Event-Id", last_event_id}}};
        if (!resumes.empty())
            head.headers.emplace_back("Resumes", resumes);
        return start(std::move(head), std::nullopt);
    }

    /// @brief Starts a call with this head.
    recorded_exchange& start(http::request_head head, std::optional<forwarded_from> forwarded)
    {
        m_exchanges.push_back(std::make_unique<recorded_exchange>(loop, std::move(head)));
        recorded_exchange& started = *m_exchanges.back();
        asio::co_spawn(loop, serve(started, std::move(forwarded)), asio::detached);
        return started;
    }

    /// @brief Serves an exchange and destroys it.
    asio::awaitable<void> serve_owned(std::unique_ptr<http::exchange> request,
                                      std::optional<forwarded_from> forwarded)
    {
        call served(m_environment, *request, std::move(forwarded));
        co_await served.run();
    }

    /// @brief Tells the calls, those in flight too, when a stopping node gives its last answers.
    void stop_in(core::milliseconds span)
    {
        m_environment.end->set(std::chrono::steady_clock::now() + span);
    }

    /// @brief Runs the loop for a time.
    void run_for(core::milliseconds span)
    {
        loop.restart();
        loop.run_for(span);
    }

    /// @brief Runs the loop until the call has returned, for at most 20 s.
    void finish(const recorded_exchange& started)
    {
        constexpr int max_steps = 2'000;
        constexpr core::milliseconds step{10};
        for (int i = 0; i < max_steps && !started.is_over; ++i)
        {
            run_for(step);
        }
    }

    asio::io_context loop;

    /// How old the configuration is.
    scripted_evidence evidence;

    const region_link& regions() const { return m_regions; }

  private:
    void publish_table(routing_table next)
    {
        const auto table = std::make_shared<const routing_table>(std::move(next));
        m_accounts.set_table(*table);
        m_environment.table = table;
        m_places.set_table(table);
    }

    static placement_bounds bounds_with(policy::retry_bound retries)
    {
        placement_bounds bounds;
        bounds.retries = retries;
        return bounds;
    }

    asio::awaitable<void> serve(recorded_exchange& started, std::optional<forwarded_from> forwarded)
    {
        call served(m_environment, started, std::move(forwarded));
        co_await served.run();
        started.is_over = true;
    }

    core::seeded_random m_random{1};
    http::connection_pool m_pool{loop};
    placement m_places;
    plain_caller_protocol m_callers;
    plain_upstream_protocol m_upstream_protocol;
    region_link m_regions;
    call_log m_log;
    crash_guard m_crash_guard;
    memory_origin_network m_origins{loop};
    stream_directory m_streams;
    no_quota_network m_quota_network;
    account_admission m_accounts;
    state_admission m_homes;
    call_statistics m_statistics;
    call_environment m_environment;
    upstream_map m_published;
    std::vector<std::unique_ptr<recorded_exchange>> m_exchanges;
};

/// @brief The answer "ok", sent after a pause.
inline scripted_answer plain_answer(core::milliseconds pause)
{
    return {{{pause, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}}, answer_end::keep};
}

/// @brief The events `from` to `to` of a stream.
inline std::string events(int from, int to)
{
    std::string text;
    for (int i = from; i <= to; ++i)
    {
        text += "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + "\n\n";
    }
    return text;
}

/// @brief Bytes as one chunk of the chunked transfer coding.
inline std::string chunk(const std::string& bytes)
{
    std::array<char, 2 * sizeof(std::size_t) + 1> size{};
    std::snprintf(size.data(), size.size(), "%zx", bytes.size());
    return std::string(size.data()) + "\r\n" + bytes + "\r\n";
}

inline const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string last_chunk = "0\r\n\r\n";

} // namespace snipeplank::serving::tests

#endif
