#pragma once

#include <span>
#include <string>
#include <string_view>

namespace quay::edge {

/** One event that a node logs. Numbers are never reused. */
struct CataloguedEvent {
    unsigned number;
    std::string_view name;
    std::string_view meaning;
    std::string_view remedy;
};

std::span<const CataloguedEvent> eventCatalogue();

/** The number of an event, "BQ-2104"; empty for a name that is not in the catalogue. */
std::string eventNumber(std::string_view name);

/** The catalogue as the Markdown text of docs/EDGE-EVENTS.md. */
std::string eventCataloguePage();

} // namespace quay::edge
