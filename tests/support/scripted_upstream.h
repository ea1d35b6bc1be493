#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace testing {

/// An upstream whose answers a test states byte by byte, so that they may break the protocol.
class scripted_upstream
{
public:
    /// One connection, while a request on it is being answered.
    class connection
    {
    public:
        explicit connection(int socket) : socket_(socket) {}
        /// Returns false once the peer has closed the connection.
        bool send(const std::string& bytes);
        /// Lets the upstream read a further request on this connection instead of closing it.
        void keep_open() { open_ = true; }
        /// Ends this side of the connection, then reads until the peer ends its own.
        void end_sending_and_read_on();
        /// Lets the connection end with a reset.
        void reset();

    private:
        friend class scripted_upstream;

        int socket_;
        bool open_ = false;
    };

    /// Called for each request, with its head and body as received, on a thread of its connection.
    using handler = std::function<void(const std::string& request, connection& peer)>;

    struct options
    {
        /// Answers as soon as the head of a request has arrived; what has not arrived of the body is not read.
        bool answers_early = false;
        /// Size of each connection's receive buffer (SO_RCVBUF); 0 keeps the default of the system.
        int receive_buffer_bytes = 0;
    };

    explicit scripted_upstream(handler serve);
    scripted_upstream(handler serve, const options& value);
    /// Answers each request with the same bytes and closes the connection. After `answer`, sends `repeated` again and
    /// again until the peer closes, unless it is empty.
    explicit scripted_upstream(const std::string& answer, const std::string& repeated = "");
    ~scripted_upstream();
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;

    const std::string& address() const { return address_; }
    std::size_t connections() const { return connections_; }
    /// Connections that are still open.
    std::size_t open_connections() const { return open_connections_; }
    /// Refuses connections from now on, as when the process has ended.
    void stop_listening();
    /// The upstream is being destroyed, so handlers should return.
    bool stopped() const { return stopped_; }

private:
    void accept_connections();
    void serve_connection(int socket);
    /// Reads one request with a body that has a Content-Length; returns false when the connection has ended.
    bool read_request(int socket, std::string& received) const;

    handler serve_;
    options options_;
    std::string address_;
    int listener_ = -1;
    std::atomic<bool> stopped_{false};
    std::atomic<std::size_t> connections_{0};
    std::atomic<std::size_t> open_connections_{0};
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// Returns the value of a header of a request as `scripted_upstream` receives it; empty if there is none.
std::string header_of(const std::string& request, const std::string& name);

} // namespace testing
