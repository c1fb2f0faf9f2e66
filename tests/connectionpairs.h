// Test fixture: pairs of a state and the inputs that may arrive in it, and the far end of the connection under test.
#pragma once

#include "tests/nodefixture.h"

namespace galenafold
{

/// Something done to a harness: what brings about a state, or an input that may arrive in it.
template<typename Harness>
struct Step {
    const char *name;
    std::function<void(Harness &)> run;
};

/// Brings about each state and gives it each input; then the harness is destroyed, as it is.
template<typename Harness>
void runPairs(const std::vector<Step<Harness>> &states, const std::vector<Step<Harness>> &inputs)
{
    for (const Step<Harness> &state : states) {
        for (const Step<Harness> &first : inputs) {
            for (const Step<Harness> &second : inputs) {
                const std::string label = std::string(state.name) + ", " + first.name + ", " + second.name;
                Harness harness;
                state.run(harness);
                first.run(harness);
                second.run(harness);
                harness.poll();
                harness.check(label.c_str());
            }
        }
    }
}

constexpr std::size_t largeBytes = 6 << 20; // more than the kernel takes
inline const std::string getLine = "GET /x HTTP/1.1\r\nHost: h\r\n";
inline const std::string responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

/// A loop, and the far end of the connection under test.
struct Peer {
    void poll()
    {
        io.restart();
        while (io.poll() > 0) { }
    }
    void send(const std::string &bytes)
    {
        asio::error_code ignored; // the other side may have closed
        asio::write(far, asio::buffer(bytes), ignored);
        poll();
    }
    void finish()
    {
        asio::error_code ignored;
        far.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        poll();
    }
    void reset()
    {
        asio::error_code ignored;
        far.set_option(asio::socket_base::linger(true, 0), ignored);
        far.close(ignored);
        poll();
    }
    /// Lets timers of a few milliseconds expire.
    void wait()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        poll();
    }

    asio::io_context io;
    asio::ip::tcp::socket far{io};
};

} // namespace galenafold
