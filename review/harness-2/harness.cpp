#include "harness.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace snipeplank::review
{

namespace
{

using std::chrono::steady_clock;

constexpr std::size_t read_size = 65'536;
constexpr milliseconds heartbeat{1'200};
constexpr milliseconds cut_check{10};

const steady_clock::time_point started = steady_clock::now();

bool is_same_name(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](unsigned char x, unsigned char y)
                                              { return std::tolower(x) == std::tolower(y); });
}

std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8U |
                    (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            text += i + j < bytes.size() + 1 ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

std::string decode_query(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

std::map<std::string, std::string> parameters(const std::string& target)
{
    std::map<std::string, std::string> found;
    const std::size_t mark = target.find('?');
    std::istringstream query(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string pair; std::getline(query, pair, '&');)
    {
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            found[pair.substr(0, equals)] = decode_query(pair.substr(equals + 1));
    }
    return found;
}

std::string answer_text(const std::string& status, const header_list& headers,
                        const std::string& body)
{
    std::string text = "HTTP/1.1 " + status + "\r\n";
    for (const auto& [name, value] : headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string port_of(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

sockaddr_in to_socket_address(const std::string& address)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(port_of(address))));
    ::inet_pton(AF_INET, address.substr(0, address.rfind(':')).c_str(), &to.sin_addr);
    return to;
}

/// A port that was free a moment ago.
std::string free_port()
{
    const socket_handle probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof local;
    if (::bind(probe.get(), reinterpret_cast<sockaddr*>(&local), size) != 0 ||
        ::getsockname(probe.get(), reinterpret_cast<sockaddr*>(&local), &size) != 0)
        throw setup_error{"no free port"};
    return std::to_string(ntohs(local.sin_port));
}

/// Reads until `buffer` has `size` bytes.
bool fill(int descriptor, std::string& buffer, std::size_t size)
{
    std::array<char, read_size> part; // NOLINT: filled by the read
    while (buffer.size() < size)
    {
        const ssize_t count = ::recv(descriptor, part.data(), part.size(), 0);
        if (count <= 0)
            return false;
        buffer.append(part.data(), static_cast<std::size_t>(count));
    }
    return true;
}

/// Reads up to and including `end`.
bool read_until(int descriptor, std::string& buffer, const std::string& end, std::string& into)
{
    std::size_t found = buffer.find(end);
    while (found == std::string::npos)
    {
        if (!fill(descriptor, buffer, buffer.size() + 1))
            return false;
        found = buffer.find(end);
    }
    into = buffer.substr(0, found + end.size());
    buffer.erase(0, found + end.size());
    return true;
}

bool read_chunks(int descriptor, std::string& buffer, std::string& body)
{
    for (;;)
    {
        std::string line;
        if (!read_until(descriptor, buffer, "\r\n", line))
            return false;
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (!fill(descriptor, buffer, size + 2))
        {
            body += buffer;
            return false;
        }
        body += buffer.substr(0, size);
        buffer.erase(0, size + 2);
        if (size == 0)
            return true;
    }
}

} // namespace

bool has_trouble()
{
    const char* set = std::getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

void record(const std::string& line)
{
    static std::mutex mutex;
    const char* path = std::getenv("REVIEW_RECORD");
    static std::ofstream file(path == nullptr ? "record.txt" : path);
    const std::lock_guard lock(mutex);
    const auto ms = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started).count();
    file << ms << " ms: " << line << std::endl;
}

void pause_for(milliseconds span)
{
    std::this_thread::sleep_for(span);
}

bool wait_until(const std::function<bool()>& is_true, milliseconds limit)
{
    const auto deadline = steady_clock::now() + limit;
    while (!is_true())
    {
        if (steady_clock::now() >= deadline)
            return false;
        pause_for(milliseconds{20});
    }
    return true;
}

std::string message::header(const std::string& name) const
{
    for (const auto& [known, value] : headers)
    {
        if (is_same_name(known, name))
            return value;
    }
    return {};
}

int message::status() const
{
    const std::size_t space = first_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(first_line.c_str() + space);
}

std::string message::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

std::string message::target() const
{
    const std::size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

socket_handle::~socket_handle()
{
    reset();
}

socket_handle::socket_handle(socket_handle&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

socket_handle& socket_handle::operator=(socket_handle&& other) noexcept
{
    if (this == &other)
        return *this;
    reset();
    m_descriptor = std::exchange(other.m_descriptor, -1);
    return *this;
}

void socket_handle::reset()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

socket_handle connect_to(const std::string& address, int receive_buffer)
{
    socket_handle made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receive_buffer > 0)
        ::setsockopt(made.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const int yes = 1;
    ::setsockopt(made.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    const sockaddr_in to = to_socket_address(address);
    if (::connect(made.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
        return socket_handle();
    return made;
}

bool write_all(int descriptor, const std::string& text)
{
    for (std::size_t sent = 0; sent < text.size();)
    {
        const ssize_t count =
            ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool read_message(int descriptor, std::string& buffer, message& into)
{
    into = {};
    std::string head;
    if (!read_until(descriptor, buffer, "\r\n\r\n", head))
        return false;
    std::istringstream lines(head);
    std::getline(lines, into.first_line);
    for (std::string line; std::getline(lines, line) && line != "\r";)
    {
        const std::size_t colon = line.find(':');
        std::size_t begin = colon + 1;
        while (begin < line.size() && line[begin] == ' ')
            ++begin;
        into.headers.emplace_back(line.substr(0, colon),
                                  line.substr(begin, line.find_last_not_of("\r\n") + 1 - begin));
    }
    if (into.header("Transfer-Encoding") == "chunked")
    {
        into.is_whole = read_chunks(descriptor, buffer, into.body);
        return true;
    }
    const std::size_t size = std::strtoul(into.header("Content-Length").c_str(), nullptr, 10);
    into.is_whole = fill(descriptor, buffer, size);
    into.body = buffer.substr(0, size);
    buffer.erase(0, std::min(size, buffer.size()));
    return true;
}

message call(const std::string& address, const std::string& method, const std::string& target,
             const header_list& headers, const std::string& body, milliseconds limit)
{
    message answer;
    const socket_handle connection = connect_to(address);
    if (connection.get() < 0)
        return answer;
    const timeval patience{limit.count() / 1'000, limit.count() % 1'000 * 1'000};
    ::setsockopt(connection.get(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (method == "POST" || !body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string buffer;
    if (write_all(connection.get(), text + "\r\n" + body))
        read_message(connection.get(), buffer, answer);
    return answer;
}

listener::listener(const std::string& ip, function serve)
    : m_serve(std::move(serve)), m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in where = to_socket_address(ip + ":0");
    socklen_t size = sizeof where;
    if (::bind(m_socket.get(), reinterpret_cast<sockaddr*>(&where), size) != 0 ||
        ::listen(m_socket.get(), SOMAXCONN) != 0 ||
        ::getsockname(m_socket.get(), reinterpret_cast<sockaddr*>(&where), &size) != 0)
        throw setup_error{"cannot listen on " + ip};
    m_address = ip + ":" + std::to_string(ntohs(where.sin_port));
    m_thread = std::thread([this] { accept_all(); });
}

listener::~listener()
{
    ::shutdown(m_socket.get(), SHUT_RDWR);
    m_thread.join();
}

/// The threads of the connections end with the process.
void listener::accept_all()
{
    for (;;)
    {
        const int accepted = ::accept4(m_socket.get(), nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        const int yes = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        std::thread(
            [this, accepted]
            {
                const socket_handle owned(accepted);
                m_serve(owned.get());
            })
            .detach();
    }
}

store::path& store::add_path()
{
    m_paths.push_back(std::make_unique<path>());
    path& made = *m_paths.back();
    made.server = std::make_unique<listener>("127.0.0.1", [this, &made](int descriptor)
                                             { serve(made, descriptor); });
    return made;
}

std::uint64_t store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_away)
        return 0;
    const auto known = m_items.find(key);
    change one{key, value, ++m_revision, m_revision, false};
    if (known != m_items.end())
        one.created = known->second.created;
    m_items[key] = one;
    m_history.push_back(one);
    m_changed.notify_all();
    return m_revision;
}

std::uint64_t store::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_away)
        return 0;
    m_items.erase(key);
    m_history.push_back({key, "", ++m_revision, 0, true});
    m_changed.notify_all();
    return m_revision;
}

void store::copy()
{
    const std::lock_guard lock(m_mutex);
    m_copied_revision = m_revision;
    m_copied_items = m_items;
}

void store::go_away()
{
    const std::lock_guard lock(m_mutex);
    m_is_away = true;
}

void store::restore()
{
    const std::lock_guard lock(m_mutex);
    m_items = m_copied_items;
    m_revision = m_copied_revision;
    ++m_era;
    std::erase_if(m_history, [this](const change& each) { return each.revision > m_revision; });
    m_is_away = false;
}

/// While the path is cut, neither a request nor an answer passes; both are there once it is whole.
void store::serve(path& over, int descriptor)
{
    std::string buffer;
    message request;
    while (read_message(descriptor, buffer, request))
    {
        const auto wait_for_path = [this, &over]
        {
            while (over.is_cut || m_is_away)
                pause_for(cut_check);
        };
        wait_for_path();
        const std::string text = answer(request.target());
        wait_for_path();
        if (!write_all(descriptor, text))
            return;
    }
}

std::string store::to_answer(const std::string& status, const std::string& body) const
{
    return answer_text(
        status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}}, body);
}

std::string store::answer(const std::string& target)
{
    auto given = parameters(target);
    if (target.starts_with("/api/kv-range"))
        return read_range(given["PathPrefix"]);
    return watch(given["PathPrefix"], std::strtoull(given["after"].c_str(), nullptr, 10),
                 milliseconds{std::atol(given["WaitMs"].c_str())});
}

std::string store::to_json(const change& one)
{
    std::string text = R"({"Key":")" + one.key + R"(","Revision":)" + std::to_string(one.revision);
    if (one.is_removal)
        return text + R"(,"Deleted":true})";
    return text + R"(,"Created":)" + std::to_string(one.created) + R"(,"Lease":0,"Value":")" +
           base64(one.value) + R"("})";
}

std::string store::read_range(const std::string& prefix)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    for (const auto& [key, one] : m_items)
    {
        if (key.starts_with(prefix))
            items += (items.empty() ? "" : ",") + to_json(one);
    }
    return to_answer("200 OK", R"({"items":[)" + items + R"(],"HasMore":false,"AsOf":)" +
                                   std::to_string(m_revision) + "}");
}

std::string store::watch(const std::string& prefix, std::uint64_t after, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    if (after > m_revision)
        return to_answer("410 Gone", "{}");
    std::string events;
    const auto collect = [&]
    {
        for (const change& one : m_history)
        {
            if (one.revision > after && one.key.starts_with(prefix))
                events += (events.empty() ? "" : ",") + to_json(one);
        }
        return !events.empty();
    };
    m_changed.wait_for(lock, wait, collect);
    return to_answer("200 OK",
                     R"({"events":[)" + events + R"(],"AsOf":)" + std::to_string(m_revision) + "}");
}

server::server(std::string id, std::string service, std::string zone)
    : m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)),
      m_born_ms(std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
      m_listener(
          std::make_unique<listener>("127.0.0.1", [this](int descriptor) { serve(descriptor); }))
{
}

std::string server::entry(std::uint64_t sequence) const
{
    return R"({"Service":")" + m_service + R"(","Address":")" + address() + R"(","Zone":")" +
           m_zone + R"(","Version":"v1","Slots":64,"State":"ready","WarmupLeftMs":0,"Sequence":)" +
           std::to_string(sequence) + R"(,"born":)" + std::to_string(m_born_ms) + "}";
}

unsigned server::runs_of(const std::string& attempt) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(attempt);
    return found == m_runs.end() ? 0 : found->second;
}

std::map<std::string, unsigned> server::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void server::serve(int descriptor)
{
    std::string buffer;
    message request;
    while (read_message(descriptor, buffer, request))
    {
        if (!answer(descriptor, request))
            return;
    }
}

bool server::answer(int descriptor, const message& request)
{
    const std::string attempt = request.header("Attempt-Id");
    const std::string expected = request.header("Expect-Instance");
    if (!expected.empty() && expected != m_id)
        return write_all(descriptor,
                         answer_text("421 Misdirected Request",
                                     {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}, ""));
    if (request.target() == "/healthz")
        return write_all(descriptor, answer_text("200 OK", {{"Instance-Id", m_id}}, ""));
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[attempt];
    }
    record("server " + m_id + " of service " + m_service + " runs " + request.method() + " " +
           request.target() + " " + attempt);
    if (m_write)
        return m_write(descriptor, request);
    return write_all(
        descriptor,
        answer_text("200 OK", {{"Attempt-Id", attempt}, {"Server-Signature", "3e1b.07." + attempt}},
                    "answer of " + m_id + " to " + attempt));
}

registry::~registry()
{
    m_is_ending = true;
    if (m_thread.joinable())
        m_thread.join();
}

void registry::add(const server& one)
{
    const std::lock_guard lock(m_mutex);
    m_servers.push_back(&one);
    m_store.put("servers/" + one.id(), one.entry(++m_sequences[one.id()]));
    if (!m_thread.joinable())
        m_thread = std::thread([this] { report(); });
}

void registry::report()
{
    auto next = steady_clock::now() + heartbeat;
    while (!m_is_ending)
    {
        pause_for(milliseconds{50});
        if (steady_clock::now() < next)
            continue;
        next += heartbeat;
        const std::lock_guard lock(m_mutex);
        for (const server* each : m_servers)
        {
            m_store.put("servers/" + each->id(), each->entry(++m_sequences[each->id()]));
        }
    }
}

fleet::fleet(zone_map zones)
    : m_zones(std::move(zones)), m_front(free_port()), m_readiness(free_port()),
      m_control(free_port()), m_directory(free_port()), m_between(free_port())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw setup_error{"no temporary folder"};
    m_folder = pattern;
}

fleet::~fleet()
{
    for (const auto& [ip, process] : m_processes)
    {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void fleet::start(const std::vector<machine>& machines)
{
    for (const machine& each : machines)
    {
        write_settings(each, machines);
        start_process(each);
    }
}

void fleet::kill_and_restart(const machine& one, milliseconds delay)
{
    const pid_t process = m_processes.at(one.ip);
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    pause_for(delay);
    start_process(one);
}

void fleet::write_settings(const machine& one, const std::vector<machine>& all) const
{
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, all.size()); ++i)
    {
        seeds += (i == 0 ? "\"" : ",\"") + all[i].ip + ":" + m_control + "\"";
    }
    std::string zones;
    for (const auto& [zone, region] : m_zones)
    {
        zones.append(zones.empty() ? "\"" : ",\"").append(zone).append(R"(":")");
        zones.append(region).append("\"");
    }
    const auto at = [&](const std::string& port) { return "\"" + one.ip + ":" + port + "\""; };
    std::ofstream(m_folder + "/" + one.ip + ".json")
        << R"({"Node":")" << one.name << R"(","Role":"entry","MachineClass":"front",)"
        << R"("Serves":["front","directory","control"],"Ip":")" << one.ip << R"(","Zone":")"
        << one.zone << R"(","Region":")" << one.region << R"(","Zones":{)" << zones
        << R"(},"Listen":{"Front":)" << at(m_front) << R"(,"Readiness":)" << at(m_readiness)
        << R"(,"Control":)" << at(m_control) << R"(,"Directory":)" << at(m_directory)
        << R"(},"PortRange":[)" << m_between << "," << m_between << R"(],"Seeds":[)" << seeds
        << R"(],"Bootstrap":true,"LossCounts":false,"Limits":{"CpuShare":0.25,"Cores":1,)"
        << R"("MemoryMb":)" << one.memory_mb
        << R"(,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0},"DataDir":null,)"
        << R"("Discovery":"platform","Entry":"directory","HeartbeatMs":1200,)"
        << R"("FaultTolerance":{"Machines":1,"Zones":1,"Regions":1},"Bounds":)" << deployment_bounds
        << R"(,"Provider":{"Address":")" << one.store_address
        << R"(","form":"read","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,)"
        << R"("ValueBytes":1048576,"TtlMinMs":1000}})";
}

void fleet::start_process(const machine& one)
{
    const std::string settings = "SNIPEPLANK_SETTINGS=" + m_folder + "/" + one.ip + ".json";
    const std::string log = m_folder + "/" + one.ip + ".log";
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child < 0)
        throw setup_error{"cannot start a process"};
    if (child > 0)
    {
        m_processes[one.ip] = child;
        return;
    }
    // Ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(127);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::string program = "target/bin/snipeplank";
    std::string path = "PATH=/usr/bin:/bin";
    std::string setting = settings;
    std::array<char*, 2> arguments{program.data(), nullptr};
    std::array<char*, 3> environment{setting.data(), path.data(), nullptr};
    ::execve(program.c_str(), arguments.data(), environment.data());
    ::_exit(127);
}

bool fleet::is_ready(const std::string& ip) const
{
    return call(ip + ":" + m_readiness, "GET", "/api/readyz", {{"Host", ip}}, "",
                milliseconds{1'000})
               .status() == 200;
}

bool fleet::is_running(const std::string& ip) const
{
    return ::waitpid(m_processes.at(ip), nullptr, WNOHANG | WNOWAIT) == 0;
}

std::string fleet::log_of(const std::string& ip) const
{
    std::ostringstream text;
    text << std::ifstream(m_folder + "/" + ip + ".log").rdbuf();
    return text.str();
}

std::size_t memory_kib(pid_t process, const std::string& field)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with(field + ":"))
            return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

int run_case(const std::function<verdict()>& body)
{
    ::signal(SIGPIPE, SIG_IGN);
    verdict found = verdict::cannot_run;
    record(has_trouble() ? "with the disruption" : "without the disruption");
    try
    {
        found = body();
    }
    catch (const setup_error& error)
    {
        record("cannot run: " + error.what);
    }
    catch (const std::exception& error)
    {
        record(std::string("cannot run: ") + error.what());
    }
    record(found == verdict::held     ? "the rule held"
           : found == verdict::broken ? "the rule was broken"
                                      : "the case did not run");
    // The threads of the stand-ins may still serve connections.
    ::_exit(static_cast<int>(found));
}

} // namespace snipeplank::review
