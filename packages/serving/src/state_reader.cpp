#include <snipeplank/core/random.hpp>
#include <snipeplank/http/client.hpp>
#include <snipeplank/http/fetch.hpp>
#include <snipeplank/log/process_log.hpp>
#include <snipeplank/serving/host_time.hpp>
#include <snipeplank/serving/item_listing.hpp>
#include <snipeplank/serving/replica.hpp>
#include <snipeplank/serving/state_feed.hpp>
#include <snipeplank/serving/state_reader.hpp>
#include <snipeplank/serving/state_timing.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>

#include "clock.hpp"
#include "read_timer.hpp"

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

using namespace state_timing;

constexpr int ok = 200;
constexpr int gone = 410;
/// Largest answer of the store. A page has about 1 MB of items; more events than fit are read as a
/// listing.
constexpr std::size_t max_answer_bytes = 8'388'608;
/// Largest copy of a node's state: a whole listing.
constexpr std::size_t max_copy_bytes = item_listing::max_bytes;
/// A read of the upstreams, which change all the time, is reported from this duration on.
constexpr core::milliseconds slow_read{500};

/// This node's copy of one kind of state.
struct published_copy
{
    state_kind kind = state_kind::configuration;
    std::string prefix;
    replica items;
    core::milliseconds wait = watch_wait; ///< how long a watch is held open
    std::unique_ptr<http::client_connection> connection;
    core::time_point watch_started_at{};
    core::time_point failing_since{};
    core::time_point read_at{}; ///< when the store last answered, here or at another node
    state_confirmation confirmation;
    core::milliseconds applied{0};     ///< how long the latest change took to apply
    std::size_t transfers = 0;         ///< answers with this kind that have begun
    core::time_point transfer_began{}; ///< of the first of these
    bool needs_listing = true;         ///< the changes since are not to be asked for
};

/// An answer that has begun and is still arriving.
class transfer
{
  public:
    explicit transfer(published_copy& copy) : m_copy(copy)
    {
        if (m_copy.transfers++ == 0)
            m_copy.transfer_began = now();
    }
    ~transfer() { --m_copy.transfers; }
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

  private:
    published_copy& m_copy;
};

/// What another node has named.
struct told_change
{
    store_revision change;
    core::address node;
    bool is_followed = false; ///< this node follows that one, and has no other path to the change
};

/// What is copied from other nodes together.
struct copy_group
{
    std::vector<state_kind> kinds;
    asio::steady_timer wake; ///< ends the pause before the next copy
    std::map<state_kind, told_change> told;
};

/// A complete answer of the store.
struct store_answer
{
    int status = 0;
    std::string body;
    std::uint64_t era = 0; ///< of the store; 0 when it does not say
};

/// What a read of the store has come to.
struct read_result
{
    int status = ok;
    bool has_changed = false; ///< the state
};

class state_reader final : public state_source
{
  public:
    state_reader(asio::io_context& loop, core::address store, const lease_terms& revocation,
                 const store_protocol& protocol, std::unique_ptr<state_decoder> decoder)
        : m_loop(loop), m_store(std::move(store)), m_revocation(revocation), m_protocol(protocol),
          m_decoder(std::move(decoder)),
          m_timer(loop), m_small{{state_kind::evacuations, state_kind::upstreams},
                                 asio::steady_timer(loop),
                                 {}},
          m_documents{{state_kind::configuration}, asio::steady_timer(loop), {}}
    {
        for (const state_kind kind : all_state_kinds)
        {
            published_copy& copy = copy_of(kind);
            copy.kind = kind;
            copy.prefix = protocol.prefix(kind);
            copy.items = replica([&protocol](const std::string& key, const std::string& value)
                                 { return protocol.version_of(key, value); });
        }
        copy_of(state_kind::configuration).wait = operator_watch_wait(revocation);
    }

    void start(state_listener& listener) override
    {
        m_listener = &listener;
        for (published_copy& each : m_copies)
        {
            asio::co_spawn(m_loop, read_continuously(each), asio::detached);
        }
        for (copy_group* each : {&m_small, &m_documents})
        {
            asio::co_spawn(m_loop, copy_continuously(*each), asio::detached);
        }
        asio::co_spawn(m_loop, follow_continuously(), asio::detached);
        tick();
    }

    void set_peers(state_peers peers) override
    {
        m_peers = std::move(peers);
        m_follower.emplace(m_peers.self, prefixes_of(m_small), prefixes_of(m_documents));
    }

    std::string feed(std::string_view query) const override
    {
        const feed_position asked = decode_position(query);
        state_feed feed;
        feed.instance = m_instance;
        feed.is_source_reachable = is_reachable();
        core::time_point oldest_read = now();
        for (const published_copy& each : m_copies)
        {
            if (!each.items.is_known())
                continue;
            feed.confirmed_age_of(each.kind) = confirmed_age(each.kind);
            if (!asked.wants(each.prefix, each.items.changed()))
            {
                feed.left_out[each.prefix] = {each.items.changed(), to_ms(now() - each.read_at)};
                continue;
            }
            const auto since = asked.prefixes.find(each.prefix);
            const bool follows = asked.instance == m_instance && since != asked.prefixes.end();
            feed.prefixes[each.prefix] =
                each.items.changes_since(follows ? since->second : 0, now());
            oldest_read = std::min(oldest_read, each.read_at);
        }
        feed.age = to_ms(now() - oldest_read);
        return m_encoder.encode(feed);
    }

    std::optional<core::milliseconds> confirmed_age(state_kind kind) const override
    {
        return copy_of(kind).confirmation.age(host_time());
    }

    store_revision changed(state_kind kind) const override { return copy_of(kind).items.changed(); }

    bool is_newer(state_kind kind, store_revision change) const override
    {
        return change > copy_of(kind).items.revision();
    }

    void on_told(state_kind kind, store_revision change, const core::address& node) override
    {
        on_told(kind, told_change{change, node});
    }

    bool is_reachable(state_kind kind) const override { return copy_of(kind).items.is_reachable(); }

  private:
    bool is_reachable() const
    {
        return std::all_of(m_copies.begin(), m_copies.end(),
                           [](const published_copy& each) { return each.items.is_reachable(); });
    }

    static core::milliseconds to_ms(core::duration span)
    {
        return std::chrono::duration_cast<core::milliseconds>(span);
    }

    published_copy& copy_of(state_kind kind) { return m_copies.at(index_of(kind)); }
    const published_copy& copy_of(state_kind kind) const { return m_copies.at(index_of(kind)); }

    copy_group& group_of(state_kind kind) { return is_document(kind) ? m_documents : m_small; }

    std::vector<std::string> prefixes_of(const copy_group& group) const
    {
        std::vector<std::string> prefixes;
        for (const state_kind each : group.kinds)
        {
            prefixes.push_back(copy_of(each).prefix);
        }
        return prefixes;
    }

    asio::awaitable<void> wait_for(core::milliseconds span)
    {
        asio::steady_timer timer(m_loop, span);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    bool is_following() const { return m_follower && m_follower->is_following(now()); }

    asio::awaitable<void> read_continuously(published_copy& copy)
    {
        for (;;)
        {
            if (is_following())
            {
                copy.connection.reset();
                co_await wait_for(tick_interval);
                continue;
            }
            const bool lists = copy.needs_listing || has_long_history(copy);
            core::result<read_result> read = read_result{};
            if (lists)
                read = co_await read_all_pages(copy);
            else
                read = co_await watch_rate_limited(copy);
            // A store that answers a listing like a forgotten history is not asked again at once.
            const bool is_usable =
                read && (read.value().status == ok || (read.value().status == gone && !lists));
            if (!is_usable)
            {
                on_failure(copy, read ? "status " + std::to_string(read.value().status)
                                      : read.error().message);
                copy.connection.reset();
                copy.needs_listing = true;
                co_await wait_for(retry_delay_after(read));
                continue;
            }
            // Until a listing shows nothing new: a watch would bring each version in between.
            const bool is_moving = read.value().has_changed && is_document(copy.kind);
            copy.needs_listing = read.value().status == gone || is_moving;
            if (is_moving)
                co_await wait_for(pause_after(copy));
        }
    }

    /// A store that can't be reached may be back at once; one that answers of no use is asked less
    /// often.
    static core::milliseconds retry_delay_after(const core::result<read_result>& read)
    {
        const bool has_answered =
            read || (read.error().code != core::error_code::connection_closed &&
                     read.error().code != core::error_code::upstream_timeout);
        return has_answered ? refused_retry_delay : retry_delay;
    }

    /// Whether the changes since the store last answered may be more than the state itself.
    static bool has_long_history(const published_copy& copy)
    {
        return now() - copy.read_at > max_history_age;
    }

    /// Leaves most of the node's time to its calls while documents come one after the other.
    static core::milliseconds pause_after(const published_copy& copy)
    {
        return std::clamp(copy.applied * (document_time_part - 1), min_watch_interval,
                          max_watch_interval);
    }

    asio::awaitable<core::result<void>> connect(published_copy& copy)
    {
        if (copy.connection && !copy.connection->is_stale())
            co_return boost::outcome_v2::success();
        copy.connection = std::make_unique<http::client_connection>(m_loop, m_store);
        co_return co_await copy.connection->connect(connect_timeout);
    }

    /// @param limit for the head of the answer
    asio::awaitable<core::result<store_answer>> get(published_copy& copy,
                                                    const http::request_target& target,
                                                    core::milliseconds limit, read_timer& timer)
    {
        if (const auto connected = co_await connect(copy); !connected)
            co_return boost::outcome_v2::failure(connected.error());
        const auto head = co_await http::fetch_head(*copy.connection, target, limit);
        if (!head)
            co_return boost::outcome_v2::failure(head.error());
        timer.on_head();
        const auto era = m_protocol.era_of(head.value());
        if (!era)
            co_return boost::outcome_v2::failure(era.error());
        const transfer arriving(copy);
        auto body = co_await http::fetch_body(
            *copy.connection, {progress_timeout, transfer_timeout, max_answer_bytes});
        if (!body)
            co_return boost::outcome_v2::failure(body.error());
        timer.on_body(body.value().size());
        if (!copy.connection->is_reusable())
            copy.connection.reset();
        co_return store_answer{head.value().status, std::move(body.value()), era.value()};
    }

    /// Reads every page. The pages are not a consistent snapshot, so the watch starts at the
    /// revision of the first page.
    asio::awaitable<core::result<read_result>> read_all_pages(published_copy& copy)
    {
        const core::time_point asked_at = host_time();
        read_timer timer(copy.kind, read_path::listing);
        item_listing listing(copy.items.revision().era);
        while (!listing.is_complete())
        {
            const http::request_target target = m_protocol.list(copy.kind, listing.next_after());
            const auto answer = co_await get(copy, target, read_timeout, timer);
            if (!answer)
                co_return boost::outcome_v2::failure(answer.error());
            if (answer.value().status != ok)
                co_return read_result{answer.value().status, false};
            auto page = m_protocol.read_page(answer.value().body, answer.value().era);
            if (!page)
                co_return boost::outcome_v2::failure(page.error());
            if (const auto added = listing.add(std::move(page.value())); !added)
                co_return boost::outcome_v2::failure(added.error());
        }
        const store_revision as_of = listing.as_of();
        // This copy may have gone on to a later era meanwhile.
        if (as_of.era < copy.items.revision().era)
            co_return unusable_era(as_of.era);
        on_success(copy, now());
        const bool has_changed =
            copy.items.on_snapshot(listing.items(), as_of.revision, now(), as_of.era);
        if (has_changed)
            publish(copy, timer);
        copy.confirmation.on_read(asked_at);
        co_return read_result{ok, has_changed};
    }

    static core::result<read_result> unusable_era(std::uint64_t era)
    {
        return core::fail(core::error_code::config_invalid,
                          "an answer of era " + std::to_string(era) + " beside a later one",
                          "check the store");
    }

    /// Upstreams renew their items all the time, so that each watch of them is answered at once.
    core::milliseconds watch_interval(state_kind kind) const
    {
        if (kind != state_kind::upstreams)
            return min_watch_interval;
        const std::size_t nodes = m_peers.all ? m_peers.all().size() + 1 : 1;
        return watch_interval_for(nodes);
    }

    /// Starts one watch, at the earliest `watch_interval` after the start of the previous one.
    asio::awaitable<core::result<read_result>> watch_rate_limited(published_copy& copy)
    {
        const core::duration remaining = copy.watch_started_at + watch_interval(copy.kind) - now();
        if (remaining.count() > 0)
            co_await wait_for(to_ms(remaining));
        copy.watch_started_at = now();
        co_return co_await watch(copy);
    }

    asio::awaitable<core::result<read_result>> watch(published_copy& copy)
    {
        const store_revision asked = copy.items.revision();
        const http::request_target target = m_protocol.watch(copy.kind, asked.revision, copy.wait);
        const core::time_point asked_at = host_time();
        read_timer timer(copy.kind, read_path::watch);
        const auto answer = co_await get(copy, target, copy.wait + watch_response_margin, timer);
        // Events have no pages: what is too large for one answer is read as a listing.
        if (!answer && answer.error().code == core::error_code::answer_too_large)
            co_return read_result{gone, false};
        if (!answer)
            co_return boost::outcome_v2::failure(answer.error());
        if (answer.value().status != ok)
            co_return read_result{answer.value().status, false};
        if (answer.value().era < copy.items.revision().era)
            co_return unusable_era(answer.value().era);
        // The changes go on from another era than the one that was asked about.
        if (answer.value().era > asked.era || copy.items.revision().era != asked.era)
            co_return read_result{gone, false};
        const core::result<watched_changes> changes = m_protocol.read_changes(answer.value().body);
        if (!changes)
            co_return boost::outcome_v2::failure(changes.error());
        on_success(copy, now());
        const bool has_changed =
            copy.items.on_events(changes.value().events, changes.value().as_of, now());
        if (has_changed)
            publish(copy, timer);
        copy.confirmation.on_read(asked_at);
        co_return read_result{ok, has_changed};
    }

    void on_failure(published_copy& copy, const std::string& cause)
    {
        if (copy.failing_since == core::time_point{})
        {
            copy.failing_since = now();
            log::warn(
                "no answer of the store",
                fmt::format("the store does not answer for {}: {}; the known state stays in use",
                            copy.prefix, cause));
        }
        copy.items.on_unreachable(now());
    }

    void on_success(published_copy& copy, core::time_point read_at)
    {
        copy.read_at = std::max(copy.read_at, read_at);
        if (copy.failing_since != core::time_point{})
            log::inform("store answers again",
                        fmt::format("the store answers again for {}", copy.prefix));
        copy.failing_since = {};
        copy.items.on_reachable(now());
    }

    void tick()
    {
        for (published_copy& each : m_copies)
        {
            if (each.items.on_tick(now()))
                publish(each);
        }
        m_timer.expires_after(tick_interval);
        m_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                    tick();
            });
    }

    void publish(published_copy& copy, read_timer& timer)
    {
        publish(copy);
        const state_read read = timer.finish();
        copy.applied = read.applied;
        if (copy.kind != state_kind::upstreams || read.total() >= slow_read)
            m_listener->on_state_read(read);
    }

    void publish(const published_copy& copy)
    {
        m_decoder->decode(copy.kind, copy.items.items(), *m_listener);
    }

    bool is_known() const
    {
        return std::all_of(m_copies.begin(), m_copies.end(),
                           [](const published_copy& each) { return each.items.is_known(); });
    }

    void on_told(state_kind kind, const told_change& told)
    {
        if (!is_newer(kind, told.change))
            return;
        copy_group& group = group_of(kind);
        told_change& known = group.told[kind];
        const bool is_other = known.change < told.change || !is_newer(kind, known.change);
        if (is_other || (known.change == told.change && told.is_followed))
            known = told;
        if (!is_document(kind) || told.is_followed)
            group.wake.cancel();
    }

    /// Whether another node has named a change of this kind that is to be copied from there.
    bool is_told(const copy_group& group, const published_copy& copy) const
    {
        const auto told = group.told.find(copy.kind);
        if (told == group.told.end() || !is_newer(copy.kind, told->second.change))
            return false;
        const auto age = confirmed_age(copy.kind);
        return !is_document(copy.kind) || told->second.is_followed || !age ||
               *age > late_document_age;
    }

    bool needs_copy(const copy_group& group, const published_copy& copy) const
    {
        // A second transfer of a document would slow down the first, unless that is slow anyway:
        // other nodes send it compressed.
        if (is_document(copy.kind) && copy.transfers > 0 &&
            now() - copy.transfer_began < slow_transfer)
            return false;
        const bool fails = copy.failing_since != core::time_point{} &&
                           now() - copy.failing_since > peer_copy_delay;
        return !copy.items.is_known() || fails || is_told(group, copy);
    }

    /// The node to copy: the one that has named a change, or the next one in turn.
    std::optional<core::address> node_to_copy(const copy_group& group, std::size_t turn) const
    {
        for (const auto& [kind, told] : group.told)
        {
            if (is_told(group, copy_of(kind)))
                return told.node;
        }
        const std::vector<core::address> peers =
            m_peers.all ? m_peers.all() : std::vector<core::address>{};
        if (peers.empty())
            return std::nullopt;
        return peers[turn % peers.size()];
    }

    asio::awaitable<void> wait_for_copy(copy_group& group)
    {
        co_await wait_for(min_copy_interval);
        if (has_due_copy(group))
            co_return;
        const core::milliseconds interval =
            copy_interval(m_revocation, confirmed_age(state_kind::configuration));
        group.wake.expires_after(is_known() ? interval : initial_copy_interval);
        boost::system::error_code ignored;
        co_await group.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    bool has_due_copy(const copy_group& group) const
    {
        return std::any_of(group.kinds.begin(), group.kinds.end(),
                           [&](state_kind kind) { return is_told(group, copy_of(kind)); });
    }

    asio::awaitable<void> copy_continuously(copy_group& group)
    {
        for (std::size_t turn = 0;; ++turn)
        {
            co_await wait_for_copy(group);
            std::vector<state_kind> kinds;
            for (const state_kind each : group.kinds)
            {
                if (needs_copy(group, copy_of(each)))
                    kinds.push_back(each);
            }
            const auto node = node_to_copy(group, turn);
            if (kinds.empty() || !node)
                continue;
            const bool is_copied = co_await copy_node(*node, kinds);
            forget_told(group, *node, is_copied);
        }
    }

    /// A node that has been asked is not asked again before it names a change again: it did not
    /// answer, has sent the change, or has it no longer.
    void forget_told(copy_group& group, const core::address& node, bool has_answered)
    {
        std::erase_if(group.told,
                      [&](const auto& each)
                      {
                          if (each.second.node != node)
                              return false;
                          if (!has_answered && each.second.is_followed && m_follower)
                              m_follower->on_failed(node, now());
                          return true;
                      });
    }

    /// @return whether the node answered with usable state
    asio::awaitable<bool> copy_node(core::address node, std::vector<state_kind> kinds)
    {
        http::client_connection connection(m_loop, node);
        if (!co_await connection.connect(connect_timeout))
            co_return false;
        feed_position position;
        for (const state_kind each : kinds)
        {
            const published_copy& copy = copy_of(each);
            position.wanted.insert(copy.prefix);
            // Removals that are pending are told with the changes only: a document has none.
            if (is_document(each) && copy.items.is_known())
                position.known[copy.prefix] = copy.items.revision();
        }
        const core::time_point asked_at = host_time();
        read_timer timer(kinds.front(), read_path::copy);
        const auto text = co_await fetch_feed(connection, encode_position(position), read_timeout,
                                              timer, copy_of(kinds.front()));
        co_return text&& apply_copy(text.value(), kinds, asked_at, timer);
    }

    /// @param limit for the head of the answer
    /// @param copy of which the answer brings a transfer
    asio::awaitable<core::result<std::string>> fetch_feed(http::client_connection& connection,
                                                          http::request_target target,
                                                          core::milliseconds limit,
                                                          read_timer& timer, published_copy& copy)
    {
        const auto head = co_await http::fetch_head(connection, target, limit);
        if (!head)
            co_return boost::outcome_v2::failure(head.error());
        timer.on_head();
        const transfer arriving(copy);
        auto body = co_await http::fetch_body(connection,
                                              {progress_timeout, transfer_timeout, max_copy_bytes});
        if (body && head.value().status != ok)
            co_return core::fail(core::error_code::connection_closed,
                                 "status " + std::to_string(head.value().status),
                                 "see the log of that node");
        if (body)
            timer.on_body(body.value().size());
        co_return body;
    }

    bool apply_copy(const std::string& text, const std::vector<state_kind>& kinds,
                    core::time_point asked_at, read_timer& timer)
    {
        const auto feed = decode_feed(text);
        if (!feed)
        {
            log::warn("ignored copies of the state",
                      "ignored a copy of the state: " + feed.error().to_string());
            return false;
        }
        for (const state_kind kind : kinds)
        {
            published_copy& copy = copy_of(kind);
            const auto found = feed.value().prefixes.find(copy.prefix);
            if (found == feed.value().prefixes.end())
            {
                confirm_unchanged(copy, feed.value(), asked_at);
                continue;
            }
            copy.items.on_answered_elsewhere(now() - feed.value().age);
            timer.set_kind(kind);
            if (copy.items.on_changes(found->second, now()))
                publish(copy, timer);
            on_copied(copy, found->second.era, feed.value(), asked_at);
        }
        return true;
    }

    /// Called once another node's state has been applied, or left as older than this node's. The
    /// state of another era may have been left although it is newer.
    void on_copied(published_copy& copy, std::uint64_t era, const state_feed& feed,
                   core::time_point asked_at)
    {
        if (era == copy.items.revision().era)
            copy.confirmation.on_copied(asked_at, feed.confirmed_age_of(copy.kind));
    }

    /// Called for a kind of which another node has nothing that is newer than this node's copy.
    void confirm_unchanged(published_copy& copy, const state_feed& feed, core::time_point asked_at)
    {
        const auto summary = feed.left_out.find(copy.prefix);
        if (summary == feed.left_out.end() || is_newer(copy.kind, summary->second.changed))
            return;
        copy.read_at = std::max(copy.read_at, now() - summary->second.age);
        on_copied(copy, summary->second.changed.era, feed, asked_at);
    }

    /// Asks the node that this one follows for changes, if it follows one.
    asio::awaitable<void> follow_continuously()
    {
        for (;;)
        {
            co_await wait_for(follow_interval);
            if (!is_known() || !m_follower)
                continue;
            const auto followed = m_follower->choose(m_peers.in_region(), now());
            if (!followed)
                m_feed_connection.reset();
            else if (!co_await follow(*followed))
                m_follower->on_failed(*followed, now());
        }
    }

    /// @return whether the node answered with usable state
    asio::awaitable<bool> follow(core::address followed)
    {
        if (!m_feed_connection || m_feed_connection->server() != followed ||
            m_feed_connection->is_stale())
        {
            m_feed_connection = std::make_unique<http::client_connection>(m_loop, followed);
            if (!co_await m_feed_connection->connect(connect_timeout))
            {
                m_feed_connection.reset();
                co_return false;
            }
        }
        std::map<std::string, store_revision> own;
        for (const state_kind each : m_small.kinds)
        {
            own[copy_of(each).prefix] = copy_of(each).items.revision();
        }
        feed_position position = m_follower->position(own);
        for (const auto& [prefix, revision] : own)
        {
            position.wanted.insert(prefix);
        }
        const core::time_point asked_at = host_time();
        read_timer timer(state_kind::evacuations, read_path::followed);
        const auto text =
            co_await fetch_feed(*m_feed_connection, encode_position(position), follow_timeout,
                                timer, copy_of(state_kind::evacuations));
        if (!m_feed_connection->is_reusable())
            m_feed_connection.reset();
        co_return text&& apply_feed(followed, text.value(), asked_at, timer);
    }

    bool apply_feed(const core::address& followed, const std::string& text,
                    core::time_point asked_at, read_timer& timer)
    {
        const auto feed = decode_feed(text);
        if (!feed)
        {
            log::warn("ignored changes of the state",
                      "ignored changes of the state: " + feed.error().to_string());
            return false;
        }
        if (!m_follower->on_feed(followed, feed.value(), now()))
            return false;
        for (const state_kind kind : m_small.kinds)
        {
            published_copy& copy = copy_of(kind);
            const replica_changes& changes = feed.value().prefixes.at(copy.prefix);
            on_success(copy, now() - feed.value().age);
            timer.set_kind(kind);
            if (copy.items.on_changes(changes, now()))
                publish(copy, timer);
            on_copied(copy, changes.era, feed.value(), asked_at);
        }
        for (const state_kind kind : m_documents.kinds)
        {
            published_copy& copy = copy_of(kind);
            const feed_summary& summary = feed.value().left_out.at(copy.prefix);
            on_success(copy, now() - summary.age);
            confirm_unchanged(copy, feed.value(), asked_at);
            on_told(kind, told_change{summary.changed, followed, true});
        }
        return true;
    }

    asio::io_context& m_loop;
    core::address m_store;
    lease_terms m_revocation;
    const store_protocol& m_protocol;
    std::unique_ptr<state_decoder> m_decoder;
    asio::steady_timer m_timer;
    state_listener* m_listener = nullptr;
    state_peers m_peers;
    /// Identifies this process to its followers; not 0.
    const std::uint64_t m_instance = core::system_seed() | 1U;
    std::optional<feed_follower> m_follower;
    std::unique_ptr<http::client_connection> m_feed_connection;
    std::array<published_copy, state_kind_count> m_copies;
    copy_group m_small;
    copy_group m_documents;
    mutable feed_encoder m_encoder; ///< keeps what it has compressed
};

} // namespace

std::unique_ptr<state_source> make_state_reader(asio::io_context& loop, core::address store,
                                                const lease_terms& revocation,
                                                const store_protocol& protocol,
                                                std::unique_ptr<state_decoder> decoder)
{
    return std::make_unique<state_reader>(loop, std::move(store), revocation, protocol,
                                          std::move(decoder));
}

} // namespace snipeplank::serving
