/// @file
/// Stand-ins and helpers of the cases in review/6 to review/10: a client, servers, the platform's
/// store, nodes as separate processes, and the record of a run.

#ifndef SNIPEPLANK_REVIEW_HARNESS_2_HARNESS_HPP
#define SNIPEPLANK_REVIEW_HARNESS_2_HARNESS_HPP

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace snipeplank::review
{

using std::chrono::milliseconds;
using header_list = std::vector<std::pair<std::string, std::string>>;
using zone_map = std::map<std::string, std::string>; ///< the region of each zone

/// Bounds of `demands/lumbrera-render-grown.toml`.
constexpr char deployment_bounds[] =
    R"({"SeedLagS":3,"ReuseAfterS":2,"ContactMs":6000,"AckMs":10000,"CatchUpS":6,"DrainMs":5000,)"
    R"("GraceS":8,"LossSlackMs":200,"ConfigMs":5000,"DowngradeMs":250,"MaxSkewMs":10000,)"
    R"("StrictRevoke":true,"RevokeMs":5000,"RetryRatio":0.2,"RetryWindowS":10,"RetrySlack":180,)"
    R"("QuotaWindowS":8,"QuotaOvershoot":0.25,"QuotaSlack":140000,"WarmupOvershoot":1.5,)"
    R"("WarmupSlack":3,"EvacuateMs":5000,"RecoveryS":15,"PassMs":800,"ReuseWindowS":10,)"
    R"("ttl_max_s":5})";

/// @brief Exit status of a case.
enum class verdict
{
    held = 0,
    broken = 1,
    cannot_run = 2,
};

/// @brief Thrown when a case cannot run.
struct setup_error
{
    std::string what;
};

/// @brief Whether the run has its disruption; `TROUBLE=0` leaves it out.
bool has_trouble();

/// @brief Writes one line to the record, with the time since the start.
void record(const std::string& line);

void pause_for(milliseconds span);

/// @brief Waits until `is_true`, at most for `limit`.
bool wait_until(const std::function<bool()>& is_true, milliseconds limit);

/// @brief A request or an answer.
struct message
{
    std::string first_line;
    header_list headers;
    std::string body;
    bool is_whole = false; ///< the end of the body was read

    std::string header(const std::string& name) const;
    int status() const;         ///< of an answer; 0 when there is none
    std::string method() const; ///< of a request
    std::string target() const; ///< of a request
};

/// @brief An open socket.
class socket_handle
{
  public:
    explicit socket_handle(int descriptor = -1) : m_descriptor(descriptor) {}
    ~socket_handle();
    socket_handle(socket_handle&& other) noexcept;
    socket_handle& operator=(socket_handle&& other) noexcept;
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;

    int get() const { return m_descriptor; }
    void reset();

  private:
    int m_descriptor;
};

/// @param receive_buffer size in bytes of the receive buffer; 0: as the system has it
socket_handle connect_to(const std::string& address, int receive_buffer = 0);
bool write_all(int descriptor, const std::string& text);
/// @brief Reads one message; `buffer` holds what was read beyond it.
bool read_message(int descriptor, std::string& buffer, message& into);

/// @brief Sends one request on a new connection and reads its answer.
message call(const std::string& address, const std::string& method, const std::string& target,
             const header_list& headers, const std::string& body = "",
             milliseconds limit = milliseconds{10'000});

/// @brief Accepts connections on a free port, each served by a thread.
class listener
{
  public:
    using function = std::function<void(int descriptor)>;

    listener(const std::string& ip, function serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    const std::string& address() const { return m_address; }

  private:
    void accept_all();

    function m_serve;
    socket_handle m_socket;
    std::string m_address;
    std::thread m_thread;
};

/// @brief The platform's store. Each node reads it over a path of its own, which can be cut.
class store
{
  public:
    /// @brief The path of one node to the store.
    struct path
    {
        std::atomic<bool> is_cut{false}; ///< bytes are held up until it is whole again
        std::unique_ptr<listener> server;
    };

    path& add_path();
    /// @return the revision of the change
    std::uint64_t put(const std::string& key, const std::string& value);
    std::uint64_t remove(const std::string& key);
    /// @brief Takes the copy to which `restore` goes back.
    void copy();
    /// @brief Away: nothing is answered and nothing is written.
    void go_away();
    /// @brief Comes back from the copy, as one era later.
    void restore();

  private:
    struct change
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool is_removal = false;
    };

    void serve(path& over, int descriptor);
    std::string answer(const std::string& target);
    std::string read_range(const std::string& prefix);
    std::string watch(const std::string& prefix, std::uint64_t after, milliseconds wait);
    std::string to_answer(const std::string& status, const std::string& body) const;
    static std::string to_json(const change& one);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::uint64_t m_era = 1;
    std::atomic<bool> m_is_away{false};
    std::map<std::string, change> m_items;
    std::vector<change> m_history;
    std::uint64_t m_copied_revision = 0;
    std::map<std::string, change> m_copied_items;
    std::vector<std::unique_ptr<path>> m_paths;
};

/// @brief A server: counts the requests that it runs, by their id.
class server
{
  public:
    /// @brief Writes the answer to a request that runs; the default is a short whole one.
    using function = std::function<bool(int descriptor, const message& request)>;

    server(std::string id, std::string service, std::string zone);

    const std::string& address() const { return m_listener->address(); }
    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }

    void answer_with(function write) { m_write = std::move(write); }
    /// @brief Entry that it registers in the store.
    std::string entry(std::uint64_t sequence) const;
    unsigned runs_of(const std::string& attempt) const;
    std::map<std::string, unsigned> runs() const;

  private:
    void serve(int descriptor);
    bool answer(int descriptor, const message& request);

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::int64_t m_born_ms;
    function m_write;
    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
    std::unique_ptr<listener> m_listener;
};

/// @brief Keeps the entries of servers in the store, as their reports do.
class registry
{
  public:
    explicit registry(store& into) : m_store(into) {}
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    void add(const server& one);

  private:
    void report();

    store& m_store;
    std::mutex m_mutex;
    std::vector<const server*> m_servers;
    std::map<std::string, std::uint64_t> m_sequences;
    std::atomic<bool> m_is_ending{false};
    std::thread m_thread;
};

/// @brief Place and size of a machine.
struct machine
{
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
    int memory_mb = 260;
    std::string store_address;
};

/// @brief The machines of one fleet: one node each, started as the deploy file does.
class fleet
{
  public:
    explicit fleet(zone_map zones);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void start(const std::vector<machine>& machines);
    /// @brief Kills the node of a machine; the platform starts it again after a short delay.
    void kill_and_restart(const machine& one, milliseconds delay);
    std::string front(const std::string& ip) const { return ip + ":" + m_front; }
    std::string directory(const std::string& ip) const { return ip + ":" + m_directory; }
    bool is_ready(const std::string& ip) const;
    bool is_running(const std::string& ip) const;
    pid_t process(const std::string& ip) const { return m_processes.at(ip); }
    std::string log_of(const std::string& ip) const;

  private:
    void write_settings(const machine& one, const std::vector<machine>& all) const;
    void start_process(const machine& one);

    zone_map m_zones;
    std::string m_folder;
    std::string m_front;
    std::string m_readiness;
    std::string m_control;
    std::string m_directory;
    std::string m_between;
    std::map<std::string, pid_t> m_processes;
};

/// @brief Memory of a process in KiB, by the field of its status file (`VmRSS`, `VmHWM`).
std::size_t memory_kib(pid_t process, const std::string& field);

/// @brief Runs a case and writes its verdict to the record.
int run_case(const std::function<verdict()>& body);

} // namespace snipeplank::review

#endif
