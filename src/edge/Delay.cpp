#include "edge/Delay.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace quay::edge {

void callLater(boost::asio::io_context& context, Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code ec) {
        if (!ec)
            action();
    });
}

} // namespace quay::edge
