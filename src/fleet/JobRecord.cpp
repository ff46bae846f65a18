#include "quay/fleet/JobRecord.h"

#include "core/JsonText.h"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

namespace quay::fleet {

namespace json = boost::json;

namespace {

// Release 0.1 stored the executor's id and start in each task instead of an index into "executors".
constexpr std::size_t selfContainedTaskFields = 9;
constexpr std::size_t bytesPerTask = 40; // a little above the usual size

// Appends ascending indexes as ranges [first, last, first, last, ...], so a complete step of 40 tasks takes
// two numbers.
void appendRanges(std::string& json, const std::vector<int>& indexes)
{
    json += '[';
    for (std::size_t i = 0; i < indexes.size();) {
        std::size_t last = i;
        while (last + 1 < indexes.size() && indexes[last + 1] == indexes[last] + 1)
            ++last;
        json += (i > 0 ? "," : "") + std::to_string(indexes[i]) + ',' + std::to_string(indexes[last]);
        i = last + 1;
    }
    json += ']';
}

std::vector<int> decodeRanges(const json::array& ranges, int endValue)
{
    std::vector<int> indexes;
    for (std::size_t i = 0; i + 1 < ranges.size(); i += 2) {
        const int first = ranges[i].to_number<int>();
        const int last = ranges[i + 1].to_number<int>();
        if (first < 0)
            throw std::out_of_range("an index is below zero");
        for (int index = first; index <= last && last < endValue; ++index)
            indexes.push_back(index);
    }
    return indexes;
}

TaskRecord decodeTask(const json::array& fields, const json::array& executors)
{
    TaskRecord task;
    task.occurrence = fields.at(0).to_number<int>();
    task.step = fields.at(1).to_number<int>();
    task.index = fields.at(2).to_number<int>();
    task.run = fields.at(3).to_number<int>();
    task.failures = fields.at(4).to_number<int>();
    task.isAssigned = fields.at(5).to_number<int>() != 0;
    if (fields.size() == selfContainedTaskFields) {
        task.executor = std::string(fields.at(6).as_string());
        task.executorStartedUnixMs = fields.at(7).to_number<std::int64_t>();
        task.checkpoint = std::string(fields.at(8).as_string());
        return task;
    }
    const auto& executor = executors.at(fields.at(6).to_number<std::size_t>()).as_array();
    task.executor = std::string(executor.at(0).as_string());
    task.executorStartedUnixMs = executor.at(1).to_number<std::int64_t>();
    if (fields.size() > 7)
        task.checkpoint = std::string(fields.at(7).as_string());
    return task;
}

} // namespace

std::string encode(const JobRecord& record)
{
    std::vector<std::pair<std::string_view, std::int64_t>> executors;
    std::string tasks;
    tasks.reserve(record.tasks.size() * bytesPerTask);
    for (const auto& it : record.tasks) {
        const std::pair<std::string_view, std::int64_t> executor { it.executor, it.executorStartedUnixMs };
        const auto found = std::find(executors.begin(), executors.end(), executor);
        const auto index = found - executors.begin();
        if (found == executors.end())
            executors.push_back(executor);
        tasks += &it == record.tasks.data() ? "[" : ",[";
        for (const int number :
            { it.occurrence, it.step, it.index, it.run, it.failures, it.isAssigned ? 1 : 0 })
            tasks.append(std::to_string(number)).append(1, ',');
        tasks += std::to_string(index);
        if (!it.checkpoint.empty()) {
            tasks += ',';
            appendJsonText(tasks, it.checkpoint);
        }
        tasks += ']';
    }
    std::string json = "{\"phase\":" + std::to_string(static_cast<int>(record.phase)) + ",\"executors\":[";
    json.reserve(json.size() + executors.size() * bytesPerTask + tasks.size());
    for (const auto& it : executors) {
        json += &it == executors.data() ? "[" : ",[";
        appendJsonText(json, it.first);
        json.append(1, ',').append(std::to_string(it.second)).append(1, ']');
    }
    json.append("],\"tasks\":[").append(tasks);
    json += ']';
    // By the position in "tasks". A row of its own, because earlier releases take nine fields for another
    // form.
    std::string crashes;
    for (std::size_t i = 0; i < record.tasks.size(); ++i) {
        if (record.tasks[i].crashes > 0)
            crashes += (crashes.empty() ? "[" : ",[") + std::to_string(i) + ','
                + std::to_string(record.tasks[i].crashes) + ']';
    }
    if (!crashes.empty())
        json.append(",\"crashes\":[").append(crashes).append(1, ']');
    json += ",\"done\":[";
    for (const auto& it : record.done) {
        json += (&it == record.done.data() ? "[" : ",[") + std::to_string(it.occurrence) + ','
            + std::to_string(it.step) + ',';
        appendRanges(json, it.indexes);
        json += ']';
    }
    json += ']';
    if (!record.doneOccurrences.empty()) {
        json += ",\"occurrences\":";
        appendRanges(json, record.doneOccurrences);
    }
    return json + '}';
}

std::optional<JobRecord> decodeJobRecord(const std::string& bytes, Reason& reason)
{
    try {
        const auto value = json::parse(bytes);
        const auto& object = value.as_object();
        JobRecord record;
        const int phase = object.at("phase").to_number<int>();
        if (phase < 0 || phase > static_cast<int>(JobPhase::Cancelled))
            return fail(reason, ErrorKind::MalformedRequest, "job record: unknown phase");
        record.phase = static_cast<JobPhase>(phase);
        const auto* executors = object.if_contains("executors");
        for (const auto& it : object.at("tasks").as_array())
            record.tasks.push_back(
                decodeTask(it.as_array(), executors ? executors->as_array() : json::array()));
        if (const auto* crashes = object.if_contains("crashes")) {
            for (const auto& it : crashes->as_array()) {
                const auto& fields = it.as_array();
                record.tasks.at(fields.at(0).to_number<std::size_t>()).crashes
                    = fields.at(1).to_number<int>();
            }
        }
        for (const auto& it : object.at("done").as_array()) {
            const auto& fields = it.as_array();
            record.done.push_back(DoneRecord { fields.at(0).to_number<int>(), fields.at(1).to_number<int>(),
                decodeRanges(fields.at(2).as_array(), maxTasksPerJob) });
        }
        if (const auto* occurrences = object.if_contains("occurrences"))
            record.doneOccurrences = decodeRanges(occurrences->as_array(), maxOccurrencesPerJob);
        return record;
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string("job record: ") + error.what());
    }
}

} // namespace quay::fleet
