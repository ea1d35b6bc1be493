#include "transport/iudp_socket.h"

#include <array>

#include <fmt/format.h>

#include "transport/internal/worker_pool_implementation.h"

namespace anvillead {

namespace {

constexpr std::size_t max_datagram_bytes = 16 * 1024;

class udp_socket : public iudp_socket
{
public:
    udp_socket(worker_pool& pool, const std::string& address, std::shared_ptr<isequence> sequence,
               std::function<void(std::string, std::string)> on_receive)
        : sequence_(std::static_pointer_cast<asio_sequence>(sequence)), socket_(pool.internals().context),
          on_receive_(std::move(on_receive))
    {
        const auto endpoint = parse_endpoint(address);
        socket_.open(net::ip::udp::v4());
        boost::system::error_code ec;
        socket_.bind({endpoint.address(), endpoint.port()}, ec);
        check_listening(ec, address);
        socket_.non_blocking(true);
        receive();
    }

    std::string address() const override
    {
        const auto endpoint = socket_.local_endpoint();
        return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
    }

    void send(const std::string& address, std::string payload) override
    {
        const auto endpoint = parse_endpoint(address);
        boost::system::error_code ec;
        socket_.send_to(net::buffer(payload), {endpoint.address(), endpoint.port()}, 0, ec);
    }

private:
    void receive()
    {
        socket_.async_receive_from(
            net::buffer(buffer_), sender_,
            net::bind_executor(sequence_->strand, [this](const boost::system::error_code& ec, std::size_t n) {
                if (ec == net::error::operation_aborted) {
                    return;
                }
                if (!ec) {
                    on_receive_(fmt::format("{}:{}", sender_.address().to_string(), sender_.port()),
                                std::string(buffer_.data(), n));
                }
                receive();
            }));
    }

    std::shared_ptr<asio_sequence> sequence_;
    net::ip::udp::socket socket_;
    std::function<void(std::string, std::string)> on_receive_;
    std::array<char, max_datagram_bytes> buffer_ = {};
    net::ip::udp::endpoint sender_;
};

} // namespace

std::unique_ptr<iudp_socket> make_udp_socket(worker_pool& pool, const std::string& address,
                                             std::shared_ptr<isequence> sequence,
                                             std::function<void(std::string from, std::string payload)> on_receive)
{
    return std::make_unique<udp_socket>(pool, address, std::move(sequence), std::move(on_receive));
}

} // namespace anvillead
