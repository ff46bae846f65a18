#pragma once

#include <span>
#include <string>
#include <string_view>

namespace quay::edge {

/** Description of one log event. Numbers are never reused. */
struct CataloguedEvent {
    unsigned number;
    std::string_view name;
    std::string_view meaning;
    std::string_view remedy;
};

/** All events that a node can log. */
std::span<const CataloguedEvent> eventCatalogue();

/** The number of an event as logged, such as "BQ-2104"; empty if the name is not in the catalogue. */
std::string eventNumber(std::string_view name);

/** The catalogue as Markdown, the content of docs/EDGE-EVENTS.md. */
std::string eventCataloguePage();

} // namespace quay::edge
