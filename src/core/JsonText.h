#pragma once

#include <string>
#include <string_view>

namespace quay {

/**
 * Appends `text` to `json` as a JSON string, with quotes. For codecs on the path of every task start, where a
 * tree of JSON values would cost most of their time.
 *
 * Usage: `std::string json = "{\"id\":"; appendJsonText(json, id); json += '}';`
 */
void appendJsonText(std::string& json, std::string_view text);

} // namespace quay
