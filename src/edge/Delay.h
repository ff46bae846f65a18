#pragma once

#include "quay/core/Time.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace quay::edge {

/** Calls `action` on the context's thread after `delay`; never if the context stops first. */
void callLater(boost::asio::io_context& context, Duration delay, std::function<void()> action);

} // namespace quay::edge
