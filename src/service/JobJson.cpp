#include "service/JobJson.h"

#include "peer.pb.h"

#include <boost/json.hpp>

namespace quay {

namespace json = boost::json;

int jobForwardCase() { return wire::Envelope::kJobForward; }

std::string jobPrefix(const DomainId& domain) { return "job/" + domain.text + "/"; }

std::string jobKey(const JobRecord& record) { return jobPrefix(record.domain) + record.id.text; }

std::string trimKey(const DomainId& domain)
{
    return jobPrefix(domain) + "~trim"; // job ids never begin with '~'
}

std::string eventPageJson(const JobEventPage& page)
{
    json::array events;
    for (const auto& event : page.events) {
        events.push_back(json::object { { "cursor", event.cursor }, { "job", event.job.text },
            { "queue", event.queue.text }, { "state", text(event.state) },
            { "finished_tasks", event.finishedTasks } });
    }
    return json::serialize(json::object { { "cursor", page.cursor }, { "events", events } });
}

JobReply refusal(const Reason& reason, int retryAfterMs)
{
    const auto response = errorResponse(reason, retryAfterMs);
    return JobReply { response.status, response.body, retryAfterMs };
}

HttpResponse toHttpResponse(JobReply reply)
{
    HttpResponse response;
    response.status = reply.status;
    response.body = std::move(reply.body);
    if (reply.retryAfterMs > 0)
        setRetryAfter(response, reply.retryAfterMs);
    return response;
}

std::string jobViewJson(const JobRecord& record)
{
    json::array tasks;
    for (std::uint32_t i = 0; i < record.tasks.size(); ++i) {
        const auto& task = record.tasks[i];
        tasks.push_back(json::object { { "task", taskId(record.id, i).text }, { "state", text(task.state) },
            { "attempt", task.attempt }, { "worker", task.worker.text }, { "result", task.result } });
    }
    return json::serialize(json::object { { "id", record.id.text }, { "domain", record.domain.text },
        { "kind", text(record.spec.kind) }, { "team", record.spec.team.text },
        { "queue", record.spec.queue.text }, { "state", text(record.state) },
        { "cancel_requested", record.cancelRequested }, { "note", record.note },
        { "submitted_at_ms", record.submittedAtMs }, { "ended_at_ms", record.endedAtMs },
        { "tasks", tasks } });
}

std::string jobListJson(const std::vector<const JobRecord*>& records, const std::string& next)
{
    json::array jobs;
    for (const auto* record : records) {
        jobs.push_back(json::object { { "id", record->id.text }, { "kind", text(record->spec.kind) },
            { "team", record->spec.team.text }, { "queue", record->spec.queue.text },
            { "state", text(record->state) }, { "tasks", record->spec.taskCount } });
    }
    return json::serialize(json::object { { "jobs", jobs }, { "next", next } });
}

std::string explanationJson(const JobId& job, const std::deque<std::string>& lines)
{
    json::array items;
    for (const auto& line : lines)
        items.emplace_back(line);
    return json::serialize(json::object { { "id", job.text }, { "explanation", items } });
}

} // namespace quay
