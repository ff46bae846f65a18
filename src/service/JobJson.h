#pragma once

#include "net/HttpMessage.h"
#include "service/JobService.h"

#include <deque>
#include <string>

namespace quay {

/** The payload case of the peer envelope that carries forwarded job calls. */
int jobForwardCase();

/** The key prefix of the job rows of a failure domain. */
std::string jobPrefix(const DomainId& domain);

/** The key of a job's row. */
std::string jobKey(const JobRecord& record);

/** The key of the row that records up to which version the rows of ended jobs were removed. */
std::string trimKey(const DomainId& domain);

/** A page of watch events. */
std::string eventPageJson(const JobEventPage& page);

/** The reply for a refusal. A positive `retryAfterMs` is also part of its JSON body. */
JobReply refusal(const Reason& reason, int retryAfterMs = 0);
/** The HTTP response for a reply, with a Retry-After header if the reply says when to come back. */
HttpResponse toHttpResponse(JobReply reply);

/** The status of a job as shown to callers. */
std::string jobViewJson(const JobRecord& record);

/** A page of the job list. `next` is the last job of the page, empty if there are no more. */
std::string jobListJson(const std::vector<const JobRecord*>& records, const std::string& next);

/** The explanation of a job, oldest line first. */
std::string explanationJson(const JobId& job, const std::deque<std::string>& lines);

} // namespace quay
