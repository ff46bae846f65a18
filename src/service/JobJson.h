#pragma once

#include "service/JobService.h"

#include <deque>
#include <string>

namespace quay {

/** The payload case of forwarded job calls. */
int jobForwardCase();

/** The key of a domain's job rows without the job's id. */
std::string jobPrefix(const DomainId& domain);

/** The key of a job's row. */
std::string jobKey(const JobRecord& record);

/** The key of the row that says up to which version rows of ended jobs were removed. */
std::string trimKey(const DomainId& domain);

/** One page of a watch. */
std::string eventPageJson(const JobEventPage& page);

/** A refusal as a reply. */
JobReply refusal(const Reason& reason, int retryAfterMs = 0);

/** What a caller sees of a job. */
std::string jobViewJson(const JobRecord& record);

/** One line a job, for lists. */
std::string jobListJson(const std::vector<const JobRecord*>& records, const std::string& next);

/** The lines of a job's explanation. */
std::string explanationJson(const JobId& job, const std::deque<std::string>& lines);

} // namespace quay
