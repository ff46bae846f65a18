#include "fuzz/Fuzz.h"
#include "peer.pb.h"
#include "quay/core/Job.h"
#include "quay/telemetry/Trace.h"

using namespace quay;

namespace {

// Parses the payload fields as the message handlers do. The sender may run any version.
void readPayload(const wire::Envelope& envelope)
{
    Reason reason;
    if (envelope.has_job_forward() && parseJobRecord(envelope.job_forward().record(), reason))
        fuzz::require(reason.kind == ErrorKind::None, "a record that parses leaves the reason empty");
    if (envelope.has_ask_forward())
        parseTraceparent(envelope.ask_forward().traceparent());
    if (envelope.has_ask_answer())
        fuzz::require(!describe(static_cast<ErrorKind>(envelope.ask_answer().kind())).name.empty(),
            "every error number has a table entry, including numbers of a newer peer");
}

} // namespace

int fuzzPeerEnvelope(const std::uint8_t* data, std::size_t size)
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(data, static_cast<int>(size)))
        return 0;
    readPayload(envelope);
    wire::Envelope reparsed;
    fuzz::require(reparsed.ParseFromString(envelope.SerializeAsString()),
        "a parsed envelope can be serialized and parsed again");
    fuzz::require(
        reparsed.SerializeAsString() == envelope.SerializeAsString(), "parse(print(envelope)) == envelope");
    return 1;
}
