#include "LocalFleet.h"

#include "net/HttpClient.h"
#include "quay/core/ConfigCompiler.h"

#include <boost/asio/io_context.hpp>
#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <thread>

namespace quay::test {

namespace json = boost::json;
namespace process = boost::process;

namespace {

constexpr auto pollPeriod = std::chrono::milliseconds(50);
constexpr auto killedExitTimeout = std::chrono::seconds(15);
constexpr std::size_t maxResponseBytes = 64UL * 1024 * 1024;

std::string readText(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Polls until the condition holds; returns false after the limit. Doesn't fail the test itself, so that it
// can be used where no exception may escape.
bool pollUntil(const std::function<bool()>& condition, Duration limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

struct TaskRun {
    std::string worker;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0; // 0: still running
};

bool overlaps(const TaskRun& a, const TaskRun& b)
{
    const auto endA = a.endUs ? a.endUs : INT64_MAX;
    const auto endB = b.endUs ? b.endUs : INT64_MAX;
    return a.startUs < endB && b.startUs < endA;
}

void addOverlapViolations(
    const std::map<std::string, std::vector<TaskRun>>& runsByTask, std::vector<std::string>& found)
{
    for (const auto& [task, runs] : runsByTask) {
        for (std::size_t i = 0; i < runs.size(); ++i) {
            for (std::size_t k = i + 1; k < runs.size(); ++k) {
                if (overlaps(runs[i], runs[k]))
                    found.push_back(
                        task + " ran on " + runs[i].worker + " and " + runs[k].worker + " at the same time");
            }
        }
    }
}

} // namespace

std::optional<HttpResponse> httpCall(const std::string& address, HttpRequest request, Duration timeout)
{
    boost::asio::io_context context(1);
    HttpClient client(context, 1, maxResponseBytes);
    std::optional<HttpResponse> response;
    client.send(address, std::move(request), timeout,
        [&](HttpResult result) { response = std::move(result.response); });
    context.run();
    return response;
}

HttpRequest httpGet(std::string target, const std::string& key)
{
    HttpRequest request;
    request.target = std::move(target);
    if (!key.empty())
        request.headers["Authorization"] = "Bearer " + key;
    return request;
}

HttpRequest httpPost(std::string target, std::string body, const std::string& key)
{
    auto request = httpGet(std::move(target), key);
    request.method = "POST";
    request.body = std::move(body);
    return request;
}

void waitFor(const std::string& description, const std::function<bool()>& condition, Duration limit)
{
    if (!pollUntil(condition, limit))
        FAIL("condition not met within " << toMilliseconds(limit) << " ms: " << description);
}

struct LocalFleet::ChildProcess {
    process::child handle;
};

LocalFleet::LocalFleet(FleetOptions options)
    : m_options(std::move(options))
{
    std::string name = (std::filesystem::temp_directory_path() / "quay-fleet-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()));
    m_directory = name;
    startPlatform();
    for (const auto& domain : m_options.domains) {
        startBackend(domain);
        for (unsigned i = 0; i < m_options.entriesPerDomain; ++i) {
            const auto vm = domain + "-entry" + std::to_string(i);
            m_entries.push_back({ vm, domain, m_directory + "/" + vm + ".toml", {}, {} });
        }
    }
    m_daemons.resize(m_entries.size());
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        startEntry(i);
    waitFor("the first configuration is accepted", [&] {
        const auto response = applyConfiguration(0, configurationText());
        return response && response->status == 200;
    });
    waitFor("every entry VM has the configuration and reports a leader for each domain", [&] {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            const auto view = fleetView(i);
            if (!view.is_object() || view.at("configuration_version").to_number<std::uint64_t>() < 1)
                return false;
            for (const auto& domain : m_options.domains) {
                if (!leaderOf(domain, i))
                    return false;
            }
        }
        return true;
    });
}

LocalFleet::~LocalFleet()
{
    for (auto* group : { &m_daemons, &m_standins }) {
        for (auto& child : *group) {
            if (!child)
                continue;
            std::error_code ec;
            ::kill(child->handle.id(), SIGKILL);
            child->handle.wait(ec);
        }
    }
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

std::unique_ptr<LocalFleet::ChildProcess> LocalFleet::spawn(const std::vector<std::string>& commandLine)
{
    auto child = std::make_unique<ChildProcess>();
    const std::vector<std::string> arguments(commandLine.begin() + 1, commandLine.end());
    child->handle = process::child(
        process::exe = commandLine.front(), process::args = arguments, process::std_out > process::null,
        process::extend::on_exec_setup = [](auto&) {
            // Child processes are killed when the test process crashes.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        });
    return child;
}

std::string LocalFleet::waitForFile(const std::string& path) const
{
    waitFor(path + " exists", [&] { return std::filesystem::exists(path); });
    return readText(path);
}

void LocalFleet::startPlatform()
{
    const auto ports = m_directory + "/platform.ports";
    m_standins.push_back(
        spawn({ QUAY_BINARY_DIR "/standin/quay-standin", "platform", "--port-file", ports }));
    std::istringstream(waitForFile(ports)) >> m_platformAddress;
}

void LocalFleet::startBackend(const std::string& domain)
{
    const auto ports = m_directory + "/" + domain + ".ports";
    const std::string program = QUAY_BINARY_DIR "/standin/quay-standin";
    m_standins.push_back(spawn({ program, "backend", "--domain", domain, "--platform", m_platformAddress,
        "--workers", std::to_string(m_options.workersPerDomain), "--executors",
        std::to_string(m_options.executorsPerDomain), "--slots", std::to_string(m_options.slotsPerExecutor),
        "--service-ms", std::to_string(m_options.serviceTimeMs), "--cpu-milli",
        std::to_string(m_options.workerCpuMilli), "--memory-mb", std::to_string(m_options.workerMemoryMb),
        "--port-file", ports }));
    std::istringstream lines(waitForFile(ports));
    BackendServer server;
    server.domain = domain;
    while (lines >> server.id >> server.address)
        m_servers.push_back(server);
}

void LocalFleet::startEntry(std::size_t entryIndex)
{
    auto& vm = m_entries[entryIndex];
    const auto ports = m_directory + "/" + vm.name + ".ports";
    std::filesystem::remove(ports);
    std::ofstream settings(vm.settingsFile);
    settings << "name = \"" << vm.name << "\"\ndomain = \"" << vm.domain << "\"\n"
             << "listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\nport_file = \"" << ports << "\"\n"
             << "[platform]\ntable = \"" << m_platformAddress << "\"\nvm_list = \"" << m_platformAddress
             << "\"\n"
             << m_options.extraSettings;
    settings.close();
    const std::string program = QUAY_BINARY_DIR "/daemons/quayd";
    m_daemons[entryIndex] = spawn({ program, "--settings", vm.settingsFile });
    std::istringstream lines(waitForFile(ports));
    std::string word;
    lines >> word >> vm.callerAddress >> word >> vm.peerAddress;
}

std::vector<BackendServer> LocalFleet::workers() const
{
    std::vector<BackendServer> found;
    for (const auto& server : m_servers) {
        if (server.id.find("-w") != std::string::npos)
            found.push_back(server);
    }
    return found;
}

std::vector<BackendServer> LocalFleet::executors() const
{
    std::vector<BackendServer> found;
    for (const auto& server : m_servers) {
        if (server.id.find("-x") != std::string::npos)
            found.push_back(server);
    }
    return found;
}

void LocalFleet::sendSignal(std::size_t entryIndex, int signalNumber)
{
    ::kill(m_daemons.at(entryIndex)->handle.id(), signalNumber);
}

int LocalFleet::waitForExit(std::size_t entryIndex, Duration limit)
{
    auto& handle = m_daemons.at(entryIndex)->handle;
    waitFor(
        m_entries[entryIndex].name + " has exited", [&] { return !handle.running(); }, limit);
    handle.wait();
    const int status = handle.native_exit_code();
    return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

void LocalFleet::restart(std::size_t entryIndex)
{
    if (isRunning(entryIndex)) {
        sendSignal(entryIndex, SIGKILL);
        waitForExit(entryIndex, killedExitTimeout);
    }
    startEntry(entryIndex);
}

bool LocalFleet::isRunning(std::size_t entryIndex) { return m_daemons.at(entryIndex)->handle.running(); }

json::value LocalFleet::fleetView(std::size_t entryIndex)
{
    const auto response = httpCall(entry(entryIndex).callerAddress, httpGet("/v1/fleet", operatorKey), 2s);
    if (!response || response->status != 200)
        return nullptr;
    return json::parse(response->body);
}

std::optional<std::size_t> LocalFleet::leaderOf(const std::string& domain, std::size_t viewer)
{
    const auto view = fleetView(viewer);
    if (!view.is_object())
        return std::nullopt;
    for (const auto& member : view.at("members").as_array()) {
        if (!member.at("leads").as_bool() || member.at("domain").as_string() != domain)
            continue;
        const std::string id(member.at("id").as_string());
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (id.substr(0, id.find('#')) == m_entries[i].name)
                return i;
        }
    }
    return std::nullopt;
}

std::string LocalFleet::configurationText() const
{
    if (!m_options.configuration.empty())
        return m_options.configuration;
    return readText(QUAY_SOURCE_DIR "/docs/examples/base.toml");
}

std::optional<HttpResponse> LocalFleet::applyConfiguration(std::size_t entryIndex, const std::string& toml)
{
    const auto compiled = compileConfiguration({ "test.toml", toml }, {});
    for (const auto& error : compiled.errors)
        MESSAGE(error.explain());
    REQUIRE(compiled.configuration);
    const auto& address = entry(entryIndex).callerAddress;
    auto current = httpCall(address, httpGet("/v1/config", operatorKey));
    if (!current || current->status != 200)
        return current;
    Reason reason;
    const auto inForce = parseConfiguration(current->body, reason);
    auto next = *compiled.configuration;
    next.version = inForce ? inForce->version : 0;
    return httpCall(address, httpPost("/v1/config", toJson(next), operatorKey), 30s);
}

std::string LocalFleet::submit(std::size_t entryIndex, const std::string& body, const std::string& key,
    const std::string& requestId, const std::string& domain)
{
    std::string job;
    waitFor("job " + requestId + " is accepted", [&] {
        auto request = httpPost("/v1/jobs" + (domain.empty() ? "" : "?domain=" + domain), body, key);
        request.headers["Request-Id"] = requestId;
        const auto response = httpCall(entry(entryIndex).callerAddress, std::move(request));
        if (!response || response->status != 202)
            return false;
        job = std::string(json::parse(response->body).at("id").as_string());
        return true;
    });
    return job;
}

std::string LocalFleet::jobState(std::size_t entryIndex, const std::string& job, const std::string& key)
{
    const auto response = httpCall(entry(entryIndex).callerAddress, httpGet("/v1/jobs/" + job, key));
    if (!response || response->status != 200)
        return {};
    return std::string(json::parse(response->body).at("state").as_string());
}

void LocalFleet::setPlatformFaults(const std::string& text)
{
    const auto response = httpCall(m_platformAddress, httpPost("/admin/faults", text));
    REQUIRE(response);
    REQUIRE(response->status == 200);
}

json::value LocalFleet::ledger(const BackendServer& server) const
{
    const auto response = httpCall(server.address, httpGet("/admin/ledger"));
    REQUIRE(response);
    return json::parse(response->body);
}

std::vector<std::string> LocalFleet::violations(
    const std::map<std::string, std::uint64_t>& maxRunsByRequest) const
{
    std::vector<std::string> found;
    std::map<std::string, std::vector<TaskRun>> runsByTask;
    for (const auto& worker : workers()) {
        const auto view = ledger(worker);
        if (view.at("capacity_violations").to_number<std::uint64_t>())
            found.push_back(worker.id + " was assigned tasks beyond its capacity");
        for (const auto& item : view.at("entries").as_array()) {
            const std::string task(item.at("task").as_string());
            runsByTask[task].push_back(
                { worker.id, item.at("start_us").as_int64(), item.at("end_us").as_int64() });
        }
    }
    addOverlapViolations(runsByTask, found);
    std::map<std::string, std::uint64_t> runsByRequest;
    for (const auto& executor : executors()) {
        const auto view = ledger(executor);
        if (view.at("slot_violations").to_number<std::uint64_t>())
            found.push_back(executor.id + " received more requests than it has slots");
        for (const auto& field : view.at("runs_by_request").as_object())
            runsByRequest[std::string(field.key())] += field.value().to_number<std::uint64_t>();
    }
    for (const auto& [request, limit] : maxRunsByRequest) {
        auto it = runsByRequest.find(request);
        if (it != runsByRequest.end() && it->second > limit)
            found.push_back("request " + request + " ran " + std::to_string(it->second) + " times");
    }
    return found;
}

} // namespace quay::test
