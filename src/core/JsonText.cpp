#include "core/JsonText.h"

#include <algorithm>
#include <boost/json.hpp>

namespace quay {

void appendJsonText(std::string& json, std::string_view text)
{
    const bool isPlain = std::all_of(text.begin(), text.end(),
        [](unsigned char c) { return c >= 0x20 && c < 0x7f && c != '"' && c != '\\'; });
    if (isPlain)
        json.append(1, '"').append(text).append(1, '"');
    else
        json += boost::json::serialize(boost::json::value(text));
}

} // namespace quay
