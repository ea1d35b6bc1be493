// Stand-ins for the cases of this review: the platform's store, engines, clients, and the part of the platform that
// starts the processes and watches their memory. They follow the users' pages PROTOCOL.md and DEPLOY.md.
// Only what the cases need is here. One thread serves one connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using headers = std::vector<std::pair<std::string, std::string>>;

inline clock_type::time_point& start_time()
{
    static auto value = clock_type::now();
    return value;
}

inline double now_s()
{
    return std::chrono::duration<double>(clock_type::now() - start_time()).count();
}

inline void sleep_ms(int value)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(value));
}

/// Waits until the condition holds; returns whether it did within the time.
inline bool eventually(const std::function<bool()>& condition, int most_ms)
{
    const auto end = clock_type::now() + std::chrono::milliseconds(most_ms);
    while (!condition()) {
        if (clock_type::now() > end) {
            return false;
        }
        sleep_ms(10);
    }
    return true;
}

/// record.txt of the case: what was sent, answered and run.
class record_file
{
public:
    static record_file& get()
    {
        static record_file value;
        return value;
    }

    void open(const std::string& path)
    {
        const std::lock_guard lock(mutex_);
        file_ = std::fopen(path.c_str(), "w");
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        if (file_ != nullptr) {
            std::fprintf(file_, "%8.3f s  %s\n", now_s(), text.c_str());
            std::fflush(file_);
        }
        std::printf("%8.3f s  %s\n", now_s(), text.c_str());
        std::fflush(stdout);
    }

    /// A line that only record.txt gets.
    void detail(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        if (file_ != nullptr) {
            std::fprintf(file_, "%8.3f s  %s\n", now_s(), text.c_str());
        }
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};

inline std::string text(const char* format, ...)
{
    char out[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(out, sizeof out, format, arguments);
    va_end(arguments);
    return out;
}

inline void record(const std::string& line)
{
    record_file::get().line(line);
}

inline void detail(const std::string& line)
{
    record_file::get().detail(line);
}

inline bool same_name(const std::string& a, const std::string& b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return std::tolower(x) == std::tolower(y); });
}

inline std::string find(const headers& list, const std::string& name)
{
    for (const auto& it : list) {
        if (same_name(it.first, name)) {
            return it.second;
        }
    }
    return {};
}

inline sockaddr_in socket_address(const std::string& address)
{
    sockaddr_in out = {};
    const auto colon = address.rfind(':');
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

/// Whether a TCP and a UDP socket can be bound to the address.
inline bool is_free(const std::string& address)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = ::socket(AF_INET, type, 0);
        const auto bound = socket_address(address);
        const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) == 0;
        ::close(fd);
        if (!free) {
            return false;
        }
    }
    return true;
}

/// One TCP connection with buffered reading.
class connection
{
public:
    explicit connection(int fd) : fd_(fd) {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool open() const { return fd_ >= 0; }
    int fd() const { return fd_; }

    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads more bytes; returns false at the end, on an error or after the time.
    bool fill(int timeout_ms)
    {
        pollfd waiting = {fd_, POLLIN, 0};
        if (::poll(&waiting, 1, timeout_ms) <= 0) {
            timed_out_ = true;
            return false;
        }
        char bytes[16 * 1024];
        const auto count = ::recv(fd_, bytes, std::min(sizeof bytes, most_), 0);
        if (count <= 0) {
            reset_ = count < 0;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// Whether the peer has closed the connection, as far as this end has heard.
    bool peer_closed() const
    {
        char byte = 0;
        const auto count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string& buffer() { return buffer_; }
    bool timed_out() const { return timed_out_; }
    bool was_reset() const { return reset_; }
    /// Most bytes of one read, for a peer that reads slowly.
    void read_at_most(std::size_t value) { most_ = value; }

    /// Reads until the blank line after a head; returns the head or nothing.
    bool read_head(std::string& out, int timeout_ms)
    {
        const auto end_time = clock_type::now() + std::chrono::milliseconds(timeout_ms);
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(end_time - clock_type::now()).count();
            if (left <= 0) {
                timed_out_ = true;
                return false;
            }
            if (!fill(static_cast<int>(left))) {
                return false;
            }
        }
        out = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        return true;
    }

private:
    int fd_;
    std::string buffer_;
    std::size_t most_ = 16 * 1024;
    bool timed_out_ = false;
    bool reset_ = false;
};

inline headers parse_headers(const std::string& head)
{
    headers out;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto begin = colon + 1;
        while (begin < line.size() && line[begin] == ' ') {
            ++begin;
        }
        out.emplace_back(line.substr(0, colon), line.substr(begin));
    }
    return out;
}

struct request
{
    std::string method;
    std::string target;
    headers fields;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }

    std::string query(const std::string& name) const
    {
        const auto mark = target.find('?');
        std::istringstream parts(mark == std::string::npos ? std::string() : target.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.substr(0, part.find('=')) == name && part.find('=') != std::string::npos) {
                return part.substr(part.find('=') + 1);
            }
        }
        return {};
    }

    std::string id() const { return find(fields, "Request-Id"); }
};

/// Reads one request with a body of stated length, at most `bytes_per_s` bytes of the body a second; 0 for no limit.
inline bool read_request(connection& peer, request& out, std::size_t bytes_per_s = 0)
{
    std::string head;
    if (!peer.read_head(head, 60'000)) {
        return false;
    }
    std::istringstream line(head.substr(0, head.find("\r\n")));
    line >> out.method >> out.target;
    out.fields = parse_headers(head);
    const auto length = find(out.fields, "Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (peer.buffer().size() < size) {
        const auto before = peer.buffer().size();
        if (!peer.fill(60'000)) {
            return false;
        }
        if (bytes_per_s > 0) {
            sleep_ms(static_cast<int>((peer.buffer().size() - before) * 1000 / bytes_per_s));
        }
    }
    out.body = peer.buffer().substr(0, size);
    peer.buffer().erase(0, size);
    return true;
}

inline std::string response_head(int status, const headers& fields)
{
    std::string out = text("HTTP/1.1 %d %s\r\n", status, status == 200 ? "OK" : "Other");
    for (const auto& [name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    return out + "\r\n";
}

inline std::string response(int status, headers fields, const std::string& body)
{
    fields.emplace_back("Content-Length", std::to_string(body.size()));
    return response_head(status, fields) + body;
}

inline std::string chunk(const std::string& bytes)
{
    return text("%zx\r\n", bytes.size()) + bytes + "\r\n";
}

/// Listens on an address and runs the handler on a thread for each connection.
class server
{
public:
    using handler = std::function<void(connection&)>;

    server(const std::string& address, handler value) : address_(address), handler_(std::move(value))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int yes = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        auto bound = socket_address(address);
        const int buffer = 128 * 1024;
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&bound), sizeof bound) != 0 || ::listen(fd_, 512) != 0) {
            record("cannot listen on " + address + ": " + std::strerror(errno));
            std::_Exit(2);
        }
        socklen_t size = sizeof bound;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
        address_ = address.substr(0, address.rfind(':') + 1) + std::to_string(ntohs(bound.sin_port));
        std::thread([this] { accept_all(); }).detach();
    }

    const std::string& address() const { return address_; }

    /// Closes the port and ends all connections, as a crash of the process does.
    void crash()
    {
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        const std::lock_guard lock(mutex_);
        for (const int it : open_) {
            ::shutdown(it, SHUT_RDWR);
        }
    }

private:
    void accept_all()
    {
        while (true) {
            const int fd = ::accept(fd_, nullptr, nullptr);
            if (fd < 0) {
                return;
            }
            const int yes = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(fd);
            }
            std::thread([this, fd] {
                connection peer(fd);
                handler_(peer);
                const std::lock_guard lock(mutex_);
                open_.erase(fd);
            }).detach();
        }
    }

    std::string address_;
    handler handler_;
    int fd_ = -1;
    std::mutex mutex_;
    std::set<int> open_;
};

/// The platform's store: objects by kind and name, one revision counter, listings, watches, conditional writes.
class store
{
public:
    explicit store(const std::string& ip) : server_(ip + ":0", [this](connection& peer) { serve(peer); }) {}

    const std::string& address() const { return server_.address(); }

    /// Writes as the operator or as an engine; `spec` is JSON text.
    std::uint64_t write(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock(mutex_);
        return set(kind, name, spec);
    }

    std::uint64_t remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(mutex_);
        return erase(kind, name);
    }

private:
    struct object
    {
        std::string spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct change
    {
        std::uint64_t revision;
        std::string kind;
        std::string name;
        std::string spec;
        bool deleted;
    };

    std::uint64_t set(const std::string& kind, const std::string& name, const std::string& spec)
    {
        auto& value = objects_[kind][name];
        if (value.revision != 0 && value.spec == spec) {
            return revision_;
        }
        value.spec = spec;
        value.revision = ++revision_;
        value.created = value.created == 0 ? revision_ : value.created;
        history_.push_back({revision_, kind, name, spec, false});
        changed_.notify_all();
        return revision_;
    }

    std::uint64_t erase(const std::string& kind, const std::string& name)
    {
        auto& objects = objects_[kind];
        const auto found = objects.find(name);
        if (found != objects.end()) {
            history_.push_back({++revision_, kind, name, found->second.spec, true});
            objects.erase(found);
            changed_.notify_all();
        }
        return revision_;
    }

    static std::string encode(const std::string& name, std::uint64_t revision, std::uint64_t created,
                              const std::string& spec)
    {
        return text("{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,\"created\":%llu,\"finalizers\":[],"
                    "\"deletion-pending\":false},\"spec\":",
                    name.c_str(), static_cast<unsigned long long>(revision), static_cast<unsigned long long>(created)) +
               spec + ",\"status\":null}";
    }

    std::string list(const std::string& kind)
    {
        std::string items;
        for (const auto& [name, value] : objects_[kind]) {
            items += (items.empty() ? "" : ",") + encode(name, value.revision, value.created, value.spec);
        }
        return "{\"items\":[" + items + "],\"has-more\":false,\"at\":" + std::to_string(revision_) + "}";
    }

    std::string watch(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t since, int wait_ms)
    {
        const auto events_of = [&] {
            std::string events;
            for (const auto& it : history_) {
                if (it.revision > since && it.kind == kind) {
                    events += (events.empty() ? "" : ",") + std::string("{\"deleted\":") +
                              (it.deleted ? "true" : "false") +
                              ",\"object\":" + encode(it.name, it.revision, it.revision, it.spec) + "}";
                }
            }
            return events;
        };
        std::string events;
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] { return !(events = events_of()).empty(); });
        return "{\"events\":[" + events + "],\"at\":" + std::to_string(revision_) + "}";
    }

    /// The value of "spec" in the body of a write; the system's own objects are small and flat.
    static std::string spec_of(const std::string& body)
    {
        const auto begin = body.find("\"spec\":");
        if (begin == std::string::npos) {
            return "null";
        }
        std::size_t end = begin + 7;
        int depth = 0;
        bool quoted = false;
        for (; end < body.size(); ++end) {
            const char it = body[end];
            if (quoted) {
                quoted = it != '"';
                continue;
            }
            quoted = it == '"';
            depth += it == '{' || it == '[' ? 1 : it == '}' || it == ']' ? -1 : 0;
            if (depth < 0 || (depth == 0 && it == ',')) {
                break;
            }
        }
        return body.substr(begin + 7, end - begin - 7);
    }

    std::string answer(const request& message)
    {
        static const std::string root = "/objects/";
        const headers type = {{"Content-Type", "application/json"}};
        const auto path = message.path();
        if (path.rfind(root, 0) != 0) {
            return response(404, type, "{}");
        }
        const auto rest = path.substr(root.size());
        const auto slash = rest.find('/');
        const auto kind = rest.substr(0, slash);
        auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
        std::unique_lock lock(mutex_);
        if (message.method == "GET" && name.empty()) {
            const auto since = message.query("watch");
            const auto wait = message.query("wait-ms");
            return response(200, type,
                            since.empty() ? list(kind)
                                          : watch(lock, kind, std::stoull(since), wait.empty() ? 0 : std::stoi(wait)));
        }
        auto& objects = objects_[kind];
        if (message.method == "POST") {
            const auto begin = message.body.find("\"name\":\"") + 8;
            name = message.body.substr(begin, message.body.find('"', begin) - begin);
            if (objects.count(name) != 0) {
                return response(409, type,
                                encode(name, objects[name].revision, objects[name].created, objects[name].spec));
            }
            set(kind, name, spec_of(message.body));
        } else if (objects.count(name) == 0) {
            return response(404, type, "{}");
        } else if (message.method == "PUT") {
            set(kind, name, spec_of(message.body));
        } else if (message.method == "DELETE") {
            erase(kind, name);
            return response(200, type, "{}");
        }
        const auto& value = objects[name];
        return response(200, type, encode(name, value.revision, value.created, value.spec));
    }

    void serve(connection& peer)
    {
        request message;
        while (read_request(peer, message)) {
            const auto bytes = answer(message);
            sleep_ms(4);
            if (!peer.write(bytes)) {
                return;
            }
            message = {};
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::vector<change> history_;
    std::uint64_t revision_ = 100;
    server server_;
};

/// An engine, or an instance of a plain service. Checks `Expect-Instance`, counts what it runs.
class engine
{
public:
    /// Answers a request that the engine runs. The request is complete.
    using run_hook = std::function<void(connection&, const request&)>;

    /// `place` is an IP address, or an address with a port.
    engine(std::string id, const std::string& place, run_hook run, long born_ms = 1'000'000)
        : id_(std::move(id)), run_(std::move(run)), born_ms_(born_ms),
          server_(place.find(':') == std::string::npos ? place + ":0" : place,
                  [this](connection& peer) { serve(peer); })
    {}

    const std::string& id() const { return id_; }
    const std::string& address() const { return server_.address(); }
    std::size_t runs() const { return runs_; }
    std::size_t running() const { return running_; }

    /// The entry that the engine writes to the store.
    std::string entry(const std::string& service, int capacity, const std::string& phase = "ready",
                      const std::string& zone = "colombo-a")
    {
        return text("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"capacity\":%d,"
                    "\"phase\":\"%s\",\"warmup-left-ms\":0,\"born\":%ld,\"sequence\":%d}",
                    service.c_str(), address().c_str(), zone.c_str(), capacity, phase.c_str(), born_ms_, 1);
    }

    /// Headers of an answer of this engine to this request.
    headers answer_headers(const request& message) const
    {
        return {{"Request-Id", message.id()},
                {"Response-Stamp", "3e1b." + message.id()},
                {"Instance-Id", id_},
                {"Instance-Load", text("%zu,0,24", running())}};
    }

    /// From now on the engine reads at most this many bytes of a request's body in a second.
    void read_slowly(std::size_t bytes_per_s) { bytes_per_s_ = bytes_per_s; }
    void crash() { server_.crash(); }
    /// Answers calls that concern the memory of runs.
    void on_control(run_hook value) { control_ = std::move(value); }

private:
    void serve(connection& peer)
    {
        request message;
        while (read_request(peer, message, bytes_per_s_)) {
            if (message.path() == "/report") {
                peer.write(response(200, {{"Content-Type", "application/json"}},
                                    "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                                    "\"busy\":false,\"sequence\":1,\"queued\":0,\"active\":1,\"kv-used\":0,"
                                    "\"kv-total\":34450,\"cache-handles\":0,\"phase\":\"ready\",\"born\":" +
                                        std::to_string(born_ms_) + "}"));
            } else if (message.path() == "/healthz") {
                peer.write(response(200, {{"Instance-Id", id_}}, "ok"));
            } else if (message.path() == "/kv-move" || message.path().rfind("/kv-handle/", 0) == 0) {
                if (control_) {
                    control_(peer, message);
                } else {
                    peer.write(response(404, {{"Content-Type", "application/json"}}, "{}"));
                }
            } else if (message.id().empty()) {
                peer.write(response(message.method == "POST" ? 404 : 400, {{"Not-Executed", "1"}}, ""));
            } else if (find(message.fields, "Expect-Instance") != id_) {
                peer.write(response(421, {{"Instance-Id", id_}}, ""));
            } else {
                ++runs_;
                ++running_;
                detail("engine " + id_ + " runs " + message.id());
                run_(peer, message);
                --running_;
            }
            if (!peer.open()) {
                return;
            }
            message = {};
        }
    }

    std::string id_;
    run_hook run_;
    run_hook control_;
    long born_ms_;
    std::atomic<std::size_t> bytes_per_s_{0};
    std::atomic<std::size_t> runs_{0};
    std::atomic<std::size_t> running_{0};
    server server_;
};

/// Sends a stream of `events` events, one each `gap_ms`, with a chunk for each. Stops when the caller closes.
inline void send_stream(connection& peer, headers fields, int events, int gap_ms, int first_id = 1, int id_step = 1)
{
    fields.emplace_back("Content-Type", "text/event-stream");
    fields.emplace_back("Transfer-Encoding", "chunked");
    if (!peer.write(response_head(200, fields))) {
        peer.close();
        return;
    }
    for (int i = 0; i < events; ++i) {
        if (peer.peer_closed() || !peer.write(chunk(text("id: %d\ndata: part %d\n\n", first_id + i * id_step, i)))) {
            peer.close();
            return;
        }
        sleep_ms(gap_ms);
    }
    peer.write("0\r\n\r\n");
}

/// What a client has seen of one request.
struct answer
{
    int status = 0;
    headers fields;
    std::string body;
    /// The answer has come to its end as its framing says.
    bool complete = false;
    /// The node has closed the connection before that.
    bool closed = false;
    bool connected = false;
    double sent_s = 0;
    double ended_s = 0;
    int events = 0;

    void count_events()
    {
        events = 0;
        for (auto at = body.find("data:"); at != std::string::npos; at = body.find("data:", at + 1)) {
            ++events;
        }
    }
};

/// A client with one kept connection.
class client
{
public:
    explicit client(std::string address) : address_(std::move(address)) {}

    bool connect()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int yes = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        if (receive_buffer_ > 0) {
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_, sizeof receive_buffer_);
        }
        const auto peer = socket_address(address_);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
            ::close(fd);
            return false;
        }
        connection_ = std::make_unique<connection>(fd);
        return true;
    }

    bool connected() const { return connection_ && connection_->open(); }
    connection& peer() { return *connection_; }
    void set_receive_buffer(int value) { receive_buffer_ = value; }

    /// Sends the request, on the kept connection if there is one.
    bool send(const std::string& method, const std::string& target, headers fields, const std::string& body)
    {
        if (!connected() && !connect()) {
            return false;
        }
        std::string bytes = method + " " + target + " HTTP/1.1\r\n";
        if (!body.empty() || method == "POST") {
            fields.emplace_back("Content-Length", std::to_string(body.size()));
        }
        for (const auto& [name, value] : fields) {
            bytes += name + ": " + value + "\r\n";
        }
        return connection_->write(bytes + "\r\n") && connection_->write(body);
    }

    /// Reads the answer until its end, the end of the connection or the time. `pause` is called before each read.
    answer receive(int timeout_ms, const std::function<void()>& pause = {})
    {
        answer out;
        out.connected = true;
        const auto end_time = clock_type::now() + std::chrono::milliseconds(timeout_ms);
        const auto left = [&] {
            return static_cast<int>(std::max<std::int64_t>(
                1, std::chrono::duration_cast<std::chrono::milliseconds>(end_time - clock_type::now()).count()));
        };
        const auto fill = [&] {
            if (pause) {
                pause();
            }
            return clock_type::now() < end_time && connection_->fill(left());
        };
        const auto broken = [&] {
            out.closed = !connection_->timed_out() && clock_type::now() < end_time;
            out.ended_s = now_s();
            out.count_events();
            connection_->close();
            return out;
        };
        std::string head;
        if (!connection_->read_head(head, timeout_ms)) {
            return broken();
        }
        out.status = std::atoi(head.substr(9, 3).c_str());
        out.fields = parse_headers(head);
        auto& buffer = connection_->buffer();
        if (const auto length = find(out.fields, "Content-Length"); !length.empty()) {
            const auto size = std::stoul(length);
            while (buffer.size() < size) {
                if (!fill()) {
                    out.body = buffer;
                    return broken();
                }
            }
            out.body = buffer.substr(0, size);
            buffer.erase(0, size);
        } else {
            while (true) {
                std::size_t line = 0;
                while ((line = buffer.find("\r\n")) == std::string::npos) {
                    if (!fill()) {
                        return broken();
                    }
                }
                const auto size = std::stoul(buffer.substr(0, line), nullptr, 16);
                while (buffer.size() < line + 2 + size + 2) {
                    if (!fill()) {
                        return broken();
                    }
                }
                out.body += buffer.substr(line + 2, size);
                buffer.erase(0, line + 2 + size + 2);
                if (size == 0) {
                    break;
                }
            }
        }
        out.count_events();
        out.complete = true;
        out.ended_s = now_s();
        if (same_name(find(out.fields, "Connection"), "close")) {
            connection_->close();
        }
        return out;
    }

    answer call(const std::string& method, const std::string& target, headers fields, const std::string& body = {},
                int timeout_ms = 10'000)
    {
        const double sent = now_s();
        if (!send(method, target, std::move(fields), body)) {
            answer out;
            out.connected = connected();
            out.closed = true;
            out.sent_s = sent;
            out.ended_s = now_s();
            if (connection_) {
                connection_->close();
            }
            return out;
        }
        auto out = receive(timeout_ms);
        out.sent_s = sent;
        return out;
    }

private:
    std::string address_;
    std::unique_ptr<connection> connection_;
    int receive_buffer_ = 0;
};

/// A folder that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        char name[] = "/tmp/anvillead-review-XXXXXX";
        path_ = ::mkdtemp(name);
    }

    void remove()
    {
        for (const auto& it : files_) {
            ::unlink(it.c_str());
        }
        ::rmdir(path_.c_str());
    }

    std::string file(const std::string& name)
    {
        files_.insert(path_ + "/" + name);
        return path_ + "/" + name;
    }

private:
    std::string path_;
    std::set<std::string> files_;
};

/// Loopback addresses of this run: one for the platform and its engines, one for each entry host.
struct network
{
    std::string platform_ip;
    std::vector<std::string> host_ips;
    int port = 0;

    explicit network(int hosts)
    {
        std::srand(static_cast<unsigned>(::getpid()) * 7919U + static_cast<unsigned>(::time(nullptr)));
        for (int attempt = 0; attempt < 200; ++attempt) {
            const int net = 10 + std::rand() % 200;
            port = 21'000 + std::rand() % 9'000;
            platform_ip = text("127.%d.0.1", net);
            host_ips.clear();
            bool free = true;
            for (int i = 1; i <= hosts; ++i) {
                host_ips.push_back(text("127.%d.1.%d", net, i));
                for (const int it : {port, port + 1, port + 2, port + 3, port + 4, 9464}) {
                    free = free && is_free(host_ips.back() + ":" + std::to_string(it));
                }
            }
            if (free) {
                return;
            }
        }
        record("no free ports");
        std::_Exit(2);
    }

    std::string at(int host, int offset) const
    {
        return host_ips[static_cast<std::size_t>(host - 1)] + ":" + std::to_string(port + offset);
    }
    std::string frontend(int host) const { return at(host, 0); }
    std::string ready(int host) const { return at(host, 1); }
    std::string registry(int host) const { return at(host, 2); }
    std::string control(int host) const { return at(host, 3); }
};

/// Bytes of memory that a process uses, as /proc shows them; 0 if it has ended.
inline std::size_t resident_bytes(pid_t pid)
{
    std::ifstream file(text("/proc/%d/statm", static_cast<int>(pid)));
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// One entry host: the program with the command of the deploy file. As the platform does (DEPLOY.md), its memory is
/// watched, and a process that exceeds `memory-mb` is killed.
class entry_host
{
public:
    static constexpr std::size_t memory_mb = 110;

    entry_host(const network& net, int number, const std::string& store_address, temporary_folder& folder)
        : net_(net), number_(number), folder_(folder), log_(folder.file(text("host-%d.log", number))),
          settings_(folder.file(text("host-%d.json", number)))
    {
        write_settings(store_address);
    }

    ~entry_host() { stop(); }

    void start()
    {
        pid_ = ::fork();
        if (pid_ == 0) {
            // If the case itself is ended, its hosts end with it.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            for (int fd = 3; fd < 1024; ++fd) {
                ::close(fd);
            }
            const auto boot = "ANVILLEAD_BOOT=" + settings_;
            const char* environment[] = {boot.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr};
            const char* arguments[] = {"target/bin/anvillead-node", "--metrics-port", "9464", nullptr};
            ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            ::_exit(127);
        }
        running_ = true;
        watcher_ = std::thread([this] { watch(); });
        record(text("host %d starts, process %d", number_, static_cast<int>(pid_)));
    }

    bool wait_ready(int most_ms = 10'000)
    {
        return eventually(
            [this] {
                client probe(net_.ready(number_));
                return running_ && probe.call("GET", "/readyz", {{"Host", "x"}}, {}, 1000).status == 200;
            },
            most_ms);
    }

    void signal(int value)
    {
        if (running_) {
            ::kill(pid_, value);
        }
    }

    void stop()
    {
        stopping_ = true;
        if (running_) {
            ::kill(pid_, SIGKILL);
        }
        if (watcher_.joinable()) {
            watcher_.join();
        }
    }

    bool running() const { return running_; }
    double peak_mb() const { return static_cast<double>(peak_) / (1024.0 * 1024.0); }
    bool killed_for_memory() const { return killed_for_memory_; }
    /// When the process ended; 0 while it runs.
    double ended_s() const { return ended_s_; }

private:
    void write_settings(const std::string& store_address) const
    {
        const auto& ip = net_.host_ips[static_cast<std::size_t>(number_ - 1)];
        const int first = net_.port + 4;
        std::ofstream(settings_)
            << text(
                   "{\"node-name\":\"edge-%d\",\"role\":\"node\",\"machine-class\":\"edge\",\"serves\":[\"edge\","
                   "\"controller\","
                   "\"registry\"],\"ip\":\"%s\",\"zone\":\"colombo-a\",\"region\":\"lk-west\",\"zones\":{\"colombo-a\":"
                   "\"lk-west\"},\"listen-addrs\":{\"frontend\":\"%s\",\"ready\":\"%s\",\"control-plane\":\"%s\","
                   "\"registry\":\"%s\"},\"internal-ports\":[%d,%d],\"seed-nodes\":[\"%s\"],\"bootstrap\":true,"
                   "\"loss-counts\":false,\"limits\":{\"cpu-quota\":0.25,\"cpu-cores\":1,\"memory-mb\":%zu,\"max-fds\":"
                   "4100,"
                   "\"bandwidth-mbps\":1000.0,\"disk-mb\":0},\"data-dir\":null,\"discovery\":\"platform\","
                   "\"entrypoint\":"
                   "\"registry\",\"heartbeat-ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\","
                   "\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"],",
                   number_, ip.c_str(), net_.frontend(number_).c_str(), net_.ready(number_).c_str(),
                   net_.control(number_).c_str(), net_.registry(number_).c_str(), first, first, net_.control(1).c_str(),
                   memory_mb)
            << text("\"fault-tolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},\"bounds\":{"
                    "\"seed-lag-s\":3,\"reuse-after-s\":2,\"contact-ms\":3000,\"ack-ms\":4000,"
                    "\"catch-up-s\":4,\"drain-ms\":2000,\"grace-s\":8,\"loss-slack-ms\":200,"
                    "\"config-apply-ms\":2000,\"downgrade-slack-ms\":250,\"outer-ms\":5000,"
                    "\"strict-revocation\":false,\"revoke-ms\":5000,\"retry-budget-ratio\":0.2,"
                    "\"retry-window-s\":10,\"retry-slack\":54,\"recovery-s\":12,\"iteration-ms\":120,"
                    "\"reuse-window-s\":4.9,\"ttl_max_s\":5},\"platform\":{\"address\":\"%s\",\"form\":"
                    "\"objects\",\"writes-per-s\":400,\"reads-per-s\":2000,\"history-s\":20,"
                    "\"value-bytes\":1048576,\"ttl-min-ms\":1000}}",
                    store_address.c_str());
    }

    void watch()
    {
        while (true) {
            int status = 0;
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                ended_s_ = now_s();
                running_ = false;
                if (!stopping_) {
                    record(text("host %d: its process has ended (%s %d)", number_,
                                WIFSIGNALED(status) ? "signal" : "exit code",
                                WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status)));
                }
                return;
            }
            const auto bytes = resident_bytes(pid_);
            peak_ = std::max<std::size_t>(peak_, bytes);
            if (bytes > memory_mb * 1024 * 1024 && !killed_for_memory_) {
                killed_for_memory_ = true;
                record(text("host %d: its process uses %zu MB, over memory-mb = %zu: killed, as the platform does",
                            number_, bytes / 1024 / 1024, memory_mb));
                ::kill(pid_, SIGKILL);
            }
            sleep_ms(5);
        }
    }

    const network& net_;
    int number_;
    temporary_folder& folder_;
    std::string log_;
    std::string settings_;
    pid_t pid_ = 0;
    std::thread watcher_;
    std::atomic<bool> running_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> peak_{0};
    std::atomic<bool> killed_for_memory_{false};
    std::atomic<double> ended_s_{0};
};

/// Routes of a small deployment, like those of the roster desk: /sheet/ (stream) at `engines`, /notice/ (unsafe) and
/// /lookup/ (safe) at `app`.
inline std::string configuration(int version, const std::string& keys = "\"key-galle\"")
{
    const auto route = [](const char* name, const char* kind, const char* service, int timeout, int target,
                          int attempts) {
        return text("{\"name\":\"%s\",\"hostname\":\"roster.example\",\"path-prefix\":\"/%s/\",\"route-type\":\"%s\","
                    "\"timeout-ms\":%d,\"target-latency-ms\":%d,\"priority-class\":1,\"service\":\"%s\","
                    "\"max-attempts\":%d,\"public\":false,\"target-gap-ms\":180}",
                    name, name, kind, timeout, target, service, attempts);
    };
    return text("{\"version\":%d,\"routes\":[", version) + route("sheet", "stream", "engines", 39'000, 1800, 1) + "," +
           route("notice", "unsafe", "app", 0, 300, 1) + "," + route("lookup", "safe", "app", 0, 300, 2) +
           "],\"services\":[{\"name\":\"engines\",\"health-path\":\"/healthz\",\"max-connections\":272,\"protocol\":"
           "\"h1\",\"tls-enabled\":false,\"engine\":{\"capacity\":24,\"kv-capacity\":34450,\"kv-bytes\":18432,"
           "\"bandwidth-mbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin-ms\":4000.0,"
           "\"hold-ms\":2000.0,\"handle-ttl-s\":5.0,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"app\",\"health-path\":"
           "\"/healthz\",\"max-connections\":100,\"protocol\":\"h1\",\"tls-enabled\":false}],\"limits\":{"
           "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}"
           ","
           "\"tenants\":[{\"name\":\"galle\",\"api-keys\":[" +
           keys + "],\"priority-class\":1}]}";
}

/// Headers of a plain request.
inline headers plain_headers(const std::string& id, int deadline_ms)
{
    return {{"Host", "roster.example"},
            {"Request-Id", id},
            {"Deadline-Ms", std::to_string(deadline_ms)},
            {"Authorization", "Token key-galle"}};
}

/// Headers of a generation.
inline headers stream_headers(const std::string& id, int deadline_ms, int tokens_in = 200, int tokens_out = 300)
{
    auto out = plain_headers(id, deadline_ms);
    out.emplace_back("Model", "m");
    out.emplace_back("Token-Usage", text("%d,%d", tokens_in, tokens_out));
    out.emplace_back("Prefix-Hash", "5c1e07a2:40," + id.substr(0, 1) + "a:" + std::to_string(tokens_in - 40));
    return out;
}

/// Ends the case. Threads of the stand-ins may still wait, so nothing is destroyed.
[[noreturn]] inline void end_case(int code, const std::vector<entry_host*>& hosts, temporary_folder& folder)
{
    for (auto* it : hosts) {
        it->stop();
    }
    folder.remove();
    record(text("exit code %d", code));
    std::_Exit(code);
}

/// Whether the disruption takes place: yes unless TROUBLE is 0.
inline bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
