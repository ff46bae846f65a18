#pragma once

#include "quay-faults/Route.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <vector>

namespace quay::faults {

/** One connection through a route: a socket to the caller, a socket to the target, a pump each way. */
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Route> route, boost::asio::ip::tcp::socket caller);

    /** Connects to the target and begins to pump. */
    void start();
    /** Closes both sides with a TCP reset. */
    void reset();
    /** Looks again at what may be delivered; called when a fault has changed. */
    void resume();

private:
    struct Chunk {
        Instant due;
        std::vector<char> bytes; // empty: the sender has closed its side
    };

    struct Channel {
        Direction direction;
        boost::asio::ip::tcp::socket& source;
        boost::asio::ip::tcp::socket& sink;
        boost::asio::steady_timer timer;
        std::vector<char> buffer;
        std::deque<Chunk> chunks;
        std::size_t bufferedBytes = 0;
        Instant lastDue {};
        bool isReading = false;
        bool isWriting = false;
        bool hasSourceEnded = false;
        bool hasSinkEnded = false;
    };

    void read(Channel& channel);
    void onRead(Channel& channel, std::size_t size);
    void enqueue(Channel& channel, std::vector<char> bytes);
    void deliver(Channel& channel);
    void write(Channel& channel);
    void closeSink(Channel& channel);
    bool shouldDiscard(std::size_t size);

    std::shared_ptr<Route> m_route;
    boost::asio::ip::tcp::socket m_caller;
    boost::asio::ip::tcp::socket m_server;
    Channel m_requestChannel;
    Channel m_responseChannel;
    bool m_isClosed = false;
    bool m_hasAnswerBegun = false; // bytes of the answer to the latest request have come
    bool m_isLosingAnswer = false;
};

} // namespace quay::faults
