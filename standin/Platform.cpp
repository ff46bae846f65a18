#include "Platform.h"

#include "tableservice/ServerListCodec.h"
#include "tableservice/TableCodec.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace quay::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t maxBodyBytes = 64UL * 1024 * 1024;

HttpLimits limits()
{
    HttpLimits limits;
    limits.maxBodyBytes = maxBodyBytes;
    return limits;
}

HttpResponse ok(std::string body = "{}")
{
    HttpResponse response;
    response.body = std::move(body);
    return response;
}

} // namespace

Platform::Platform(boost::asio::io_context& context, const std::string& listen)
    : m_context(context)
    , m_server(context, listen, limits(),
          [this](HttpRequest request, Respond respond) { handle(std::move(request), std::move(respond)); })
{
    m_server.start();
}

void Platform::handle(HttpRequest request, Respond respond)
{
    const bool isAdmin = request.path().starts_with("/admin/");
    if (m_faults.isDown && !isAdmin)
        return;
    const auto response = dispatch(request);
    if (isAdmin) {
        respond(response);
        return;
    }
    if (request.path() == "/v1/txn" && m_random() % 100 < m_faults.lostResponsePercent)
        return;
    respondAfterDelay(response, std::move(respond));
}

void Platform::respondAfterDelay(HttpResponse response, Respond respond)
{
    if (!m_faults.responseDelayMs) {
        respond(std::move(response));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_context, std::chrono::milliseconds(m_faults.responseDelayMs));
    timer->async_wait(
        [timer, response = std::move(response), respond = std::move(respond)](auto) { respond(response); });
}

HttpResponse Platform::dispatch(const HttpRequest& request)
{
    const auto path = request.path();
    if (path == "/v1/txn")
        return commit(request.body);
    if (path == "/v1/get")
        return get(request.body);
    if (path == "/v1/scan")
        return scan(request.body);
    if (path.starts_with("/v1/objects/"))
        return serveObject(request);
    if (path == "/v1/vms")
        return serveServerList(request);
    if (path == "/admin/faults")
        return setFaults(request.body);
    if (path == "/admin/stats")
        return stats();
    return errorResponse(Reason { ErrorKind::NotFound, path });
}

HttpResponse Platform::commit(const std::string& body)
{
    Reason reason;
    const auto transaction = decodeTransaction(body, reason);
    if (!transaction)
        return errorResponse(reason);
    ++m_transactionCount;
    for (const auto& check : transaction->checks) {
        auto it = m_rows.find(check.key);
        const auto version = it == m_rows.end() ? 0 : it->second.version;
        if (version != check.version)
            return ok(encodeOutcome({ TransactionStatus::Conflict, 0, check.key }));
    }
    ++m_lastVersion;
    for (const auto& put : transaction->puts)
        m_rows[put.key] = TableRow { put.key, put.value, m_lastVersion };
    for (const auto& key : transaction->deletes)
        m_rows.erase(key);
    m_rowsWritten += transaction->puts.size() + transaction->deletes.size();
    return ok(encodeOutcome({ TransactionStatus::Done, m_lastVersion, {} }));
}

HttpResponse Platform::get(const std::string& body)
{
    Reason reason;
    const auto keys = decodeKeys(body, reason);
    if (!keys)
        return errorResponse(reason);
    ++m_readCount;
    std::vector<TableRow> rows;
    for (const auto& key : *keys) {
        auto it = m_rows.find(key);
        rows.push_back(it == m_rows.end() ? TableRow { key, {}, 0 } : it->second);
    }
    return ok(encodeRows(rows));
}

HttpResponse Platform::scan(const std::string& body)
{
    Reason reason;
    const auto request = decodeScan(body, reason);
    if (!request)
        return errorResponse(reason);
    ++m_readCount;
    std::vector<TableRow> rows;
    auto it
        = request->after.empty() ? m_rows.lower_bound(request->prefix) : m_rows.upper_bound(request->after);
    while (it != m_rows.end() && it->first.starts_with(request->prefix) && rows.size() < request->limit) {
        rows.push_back(it->second);
        ++it;
    }
    return ok(encodeRows(rows));
}

HttpResponse Platform::serveObject(const HttpRequest& request)
{
    const auto name = request.path().substr(std::string("/v1/objects/").size());
    if (request.method == "PUT") {
        m_objects[name] = request.body;
        return ok();
    }
    auto it = m_objects.find(name);
    if (it == m_objects.end())
        return errorResponse(Reason { ErrorKind::NotFound, name });
    return ok(it->second);
}

HttpResponse Platform::serveServerList(const HttpRequest& request)
{
    if (request.method == "GET") {
        FleetList list;
        for (const auto& [id, server] : m_servers)
            list.servers.push_back(server);
        return ok(encodeServerList(list));
    }
    Reason reason;
    const auto server = decodeServer(request.body, reason);
    if (!server)
        return errorResponse(reason);
    if (request.method == "DELETE")
        m_servers.erase(server->id.text);
    else
        m_servers[server->id.text] = *server;
    return ok();
}

HttpResponse Platform::setFaults(const std::string& body)
{
    boost::system::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec || !value.is_object())
        return errorResponse(Reason { ErrorKind::MalformedRequest, ec.message() });
    const auto& object = value.get_object();
    PlatformFaults faults;
    if (const auto* down = object.if_contains("down"))
        faults.isDown = down->as_bool();
    if (const auto* percent = object.if_contains("lose_answer_percent"))
        faults.lostResponsePercent = percent->to_number<unsigned>();
    if (const auto* delay = object.if_contains("delay_ms"))
        faults.responseDelayMs = delay->to_number<int>();
    m_faults = faults;
    return ok();
}

HttpResponse Platform::stats() const
{
    return ok(json::serialize(
        json::object { { "transactions", m_transactionCount }, { "rows_written", m_rowsWritten },
            { "reads", m_readCount }, { "rows", m_rows.size() }, { "objects", m_objects.size() } }));
}

} // namespace quay::standin
