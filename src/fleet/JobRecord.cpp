#include "quay/fleet/JobRecord.h"

#include "core/JsonText.h"

#include <boost/json.hpp>

namespace quay::fleet {

namespace json = boost::json;

namespace {

constexpr std::size_t taskFieldCount = 9;
constexpr std::size_t bytesPerTask = 80; // a little above the usual size

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

std::vector<int> decodeRanges(const json::array& ranges)
{
    std::vector<int> indexes;
    for (std::size_t i = 0; i + 1 < ranges.size(); i += 2) {
        const int last = ranges[i + 1].to_number<int>();
        for (int index = ranges[i].to_number<int>(); index <= last && last < maxTasksPerJob; ++index)
            indexes.push_back(index);
    }
    return indexes;
}

TaskRecord decodeTask(const json::array& fields)
{
    TaskRecord task;
    task.occurrence = fields.at(0).to_number<int>();
    task.step = fields.at(1).to_number<int>();
    task.index = fields.at(2).to_number<int>();
    task.run = fields.at(3).to_number<int>();
    task.failures = fields.at(4).to_number<int>();
    task.isAssigned = fields.at(5).to_number<int>() != 0;
    task.executor = std::string(fields.at(6).as_string());
    task.executorStartedUnixMs = fields.at(7).to_number<std::int64_t>();
    task.checkpoint = std::string(fields.at(taskFieldCount - 1).as_string());
    return task;
}

} // namespace

std::string encode(const JobRecord& record)
{
    std::string json = "{\"phase\":" + std::to_string(static_cast<int>(record.phase)) + ",\"tasks\":[";
    json.reserve(json.size() + record.tasks.size() * bytesPerTask);
    for (const auto& it : record.tasks) {
        json += &it == record.tasks.data() ? "[" : ",[";
        for (const int number :
            { it.occurrence, it.step, it.index, it.run, it.failures, it.isAssigned ? 1 : 0 })
            json.append(std::to_string(number)).append(1, ',');
        appendJsonText(json, it.executor);
        json.append(1, ',').append(std::to_string(it.executorStartedUnixMs)).append(1, ',');
        appendJsonText(json, it.checkpoint);
        json += ']';
    }
    json += "],\"done\":[";
    for (const auto& it : record.done) {
        json += (&it == record.done.data() ? "[" : ",[") + std::to_string(it.occurrence) + ','
            + std::to_string(it.step) + ',';
        appendRanges(json, it.indexes);
        json += ']';
    }
    return json + "]}";
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
        for (const auto& it : object.at("tasks").as_array())
            record.tasks.push_back(decodeTask(it.as_array()));
        for (const auto& it : object.at("done").as_array()) {
            const auto& fields = it.as_array();
            record.done.push_back(DoneRecord { fields.at(0).to_number<int>(), fields.at(1).to_number<int>(),
                decodeRanges(fields.at(2).as_array()) });
        }
        return record;
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string("job record: ") + error.what());
    }
}

} // namespace quay::fleet
