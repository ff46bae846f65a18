#include "quay-bench/ProcessFleet.h"

#include "quay-bench/Http.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace quay::bench {

namespace json = boost::json;

namespace {

constexpr auto pollPeriod = std::chrono::milliseconds(50);
constexpr auto startTimeout = std::chrono::seconds(60);
constexpr double bytesPerMb = 1024.0 * 1024.0;

std::string readText(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool waitUntil(const std::function<bool()>& condition, Duration timeout = startTimeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

bool waitForFile(const std::string& path, Reason& reason)
{
    if (waitUntil([&] { return std::filesystem::exists(path); }))
        return true;
    reason = Reason { ErrorKind::NotFound, path + " was not written" };
    return false;
}

// Sums all samples of a metrics page whose names start with quay_peer_ and contain bytes; 0 if there are
// none.
double sumPeerBytes(const std::string& page)
{
    double sum = 0;
    std::istringstream lines(page);
    std::string line;
    while (std::getline(lines, line)) {
        const auto nameEnd = line.find_first_of("{ ");
        const auto name = line.substr(0, nameEnd);
        if (name.starts_with("quay_peer_") && name.find("bytes") != std::string::npos)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

void killProcess(pid_t pid)
{
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
}

} // namespace

// The second field of stat, the command name in brackets, may contain spaces, so parsing starts after the
// last bracket. User and system time are fields 14 and 15.
ProcessUsage readProcessUsage(pid_t pid)
{
    ProcessUsage usage;
    usage.pid = pid;
    const auto root = "/proc/" + std::to_string(pid);
    const auto stat = readText(root + "/stat");
    const auto bracket = stat.rfind(')');
    if (bracket == std::string::npos)
        return usage;
    std::istringstream fields(stat.substr(bracket + 1));
    std::string skippedField;
    for (int i = 3; i < 14; ++i)
        fields >> skippedField;
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    usage.cpuSeconds = (userTicks + systemTicks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::istringstream memory(readText(root + "/statm"));
    double totalPages = 0;
    double residentPages = 0;
    memory >> totalPages >> residentPages;
    usage.residentMb = residentPages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / bytesPerMb;
    return usage;
}

ProcessFleet::ProcessFleet(const FleetSpec& spec, std::string buildDirectory)
    : m_spec(spec)
    , m_buildDirectory(std::move(buildDirectory))
{
    auto name = (std::filesystem::temp_directory_path() / "quay-bench-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        throw std::runtime_error("can't create a directory from the template " + name);
    m_directory = name;
}

ProcessFleet::~ProcessFleet()
{
    for (const auto& entry : m_entries) {
        if (entry.pid)
            killProcess(entry.pid);
    }
    for (const auto pid : m_children)
        killProcess(pid);
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

pid_t ProcessFleet::spawn(const std::vector<std::string>& commandLine, const std::string& logName)
{
    std::vector<std::string> mutableArguments(commandLine);
    std::vector<char*> arguments;
    arguments.reserve(mutableArguments.size() + 1);
    for (auto& word : mutableArguments)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const auto log = m_directory + "/" + logName + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int error
        = ::posix_spawn(&pid, commandLine.front().c_str(), &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (error)
        throw std::system_error(error, std::generic_category(), commandLine.front());
    return pid;
}

bool ProcessFleet::startPlatform(Reason& reason)
{
    const auto ports = m_directory + "/platform.ports";
    m_children.push_back(
        spawn({ m_buildDirectory + "/standin/quay-standin", "platform", "--port-file", ports }, "platform"));
    if (!waitForFile(ports, reason))
        return false;
    std::istringstream(readText(ports)) >> m_platformAddress;
    return true;
}

bool ProcessFleet::startBackend(const std::string& domain, Reason& reason)
{
    const auto ports = m_directory + "/" + domain + ".ports";
    const auto number = [](auto value) { return std::to_string(value); };
    m_children.push_back(
        spawn({ m_buildDirectory + "/standin/quay-standin", "backend", "--domain", domain, "--platform",
                  m_platformAddress, "--workers", number(m_spec.workersPerDomain), "--executors",
                  number(m_spec.executorsPerDomain), "--slots", number(m_spec.slots), "--service-ms",
                  number(m_spec.serviceMs), "--cpu-milli", number(m_spec.worker.cpuMilli), "--memory-mb",
                  number(m_spec.worker.memoryMb), "--accelerators", number(m_spec.worker.accelerators),
                  "--port-file", ports },
            "backend-" + domain));
    if (!waitForFile(ports, reason))
        return false;
    std::istringstream lines(readText(ports));
    Server server;
    server.domain = domain;
    while (lines >> server.id >> server.address) {
        server.isExecutor = server.id.find("-x") != std::string::npos;
        m_servers.push_back(server);
    }
    return true;
}

bool ProcessFleet::startEntry(Entry& entry, Reason& reason)
{
    const auto base = m_directory + "/" + entry.name;
    std::filesystem::remove(base + ".ports");
    std::ofstream settings(base + ".toml");
    settings << "name = \"" << entry.name << "\"\ndomain = \"" << entry.domain
             << "\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\nport_file = \"" << base
             << ".ports\"\n[platform]\ntable = \"" << m_platformAddress << "\"\nvm_list = \""
             << m_platformAddress << "\"\n[log]\nlevel = \"warn\"\n";
    settings.close();
    const auto pid = spawn({ m_buildDirectory + "/daemons/quayd", "--settings", base + ".toml" }, entry.name);
    {
        const std::lock_guard lock(m_mutex);
        entry.pid = pid;
    }
    if (!waitForFile(base + ".ports", reason))
        return false;
    std::istringstream lines(readText(base + ".ports"));
    std::string word;
    const std::lock_guard lock(m_mutex);
    lines >> word >> entry.address;
    return true;
}

bool ProcessFleet::start(const Configuration& configuration, Reason& reason)
{
    if (!startPlatform(reason))
        return false;
    for (const auto& domain : domains()) {
        if (!startBackend(domain, reason))
            return false;
        for (unsigned i = 0; i < m_spec.entriesPerDomain; ++i)
            m_entries.push_back({ domain + "-entry" + std::to_string(i + 1), domain, {}, 0 });
    }
    for (auto& entry : m_entries) {
        if (!startEntry(entry, reason))
            return false;
    }
    if (!applyConfiguration(configuration, reason))
        return false;
    if (waitUntil([&] { return isReady(); }))
        return true;
    reason = Reason { ErrorKind::NoCapacity,
        "not every entry VM has the configuration and sees a leader in each domain" };
    return false;
}

bool ProcessFleet::applyConfiguration(const Configuration& configuration, Reason& reason)
{
    std::string last = "no answer";
    const bool done = waitUntil([&] {
        const auto response = sendRequest(m_entries.front().address,
            makeRequest("POST", "/v1/config", toJson(configuration), operatorKey()));
        if (response)
            last = response->body;
        return response && response->status == 200;
    });
    if (!done)
        reason = Reason { ErrorKind::InvalidConfiguration, last };
    return done;
}

bool ProcessFleet::isReady() const
{
    for (const auto& entry : m_entries) {
        const auto response
            = sendRequest(entry.address, makeRequest("GET", "/v1/fleet", {}, operatorKey()), 2s);
        if (!response || response->status != 200)
            return false;
        const auto view = json::parse(response->body);
        std::size_t leads = 0;
        for (const auto& member : view.at("members").as_array())
            leads += member.at("leads").as_bool() ? 1 : 0;
        if (view.at("configuration_version").to_number<std::uint64_t>() < 1 || leads != m_spec.domains)
            return false;
    }
    return true;
}

std::string ProcessFleet::entryAddress(std::size_t index) const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.at(index).address;
}

std::vector<std::string> ProcessFleet::domains() const
{
    std::vector<std::string> names;
    for (unsigned i = 1; i <= m_spec.domains; ++i)
        names.push_back("d" + std::to_string(i));
    return names;
}

std::string ProcessFleet::leadOf(const std::string& domain) const
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto response
            = sendRequest(entryAddress(i), makeRequest("GET", "/v1/fleet", {}, operatorKey()), 1s);
        if (!response || response->status != 200)
            continue;
        const auto view = json::parse(response->body);
        for (const auto& member : view.at("members").as_array()) {
            if (!member.at("leads").as_bool() || member.at("domain").as_string() != domain.c_str())
                continue;
            const std::string id(member.at("id").as_string());
            return id.substr(0, id.find('#'));
        }
    }
    return {};
}

// Without a name, returns the first VM that is not running, so that a killed leader can be restarted.
ProcessFleet::Entry* ProcessFleet::findEntry(const FaultSpec& fault)
{
    if (fault.entry.empty() && fault.leadOf.empty()) {
        const auto killedEntry
            = std::find_if(m_entries.begin(), m_entries.end(), [](const Entry& entry) { return !entry.pid; });
        return killedEntry == m_entries.end() ? nullptr : &*killedEntry;
    }
    const auto name = fault.leadOf.empty() ? fault.entry : leadOf(fault.leadOf);
    const auto it = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const Entry& entry) { return entry.name == name; });
    return it == m_entries.end() ? nullptr : &*it;
}

std::string ProcessFleet::signalEntry(const FaultSpec& fault, int signalNumber)
{
    auto* entry = findEntry(fault);
    if (!entry || !entry->pid)
        return "no such entry VM is running";
    ::kill(entry->pid, signalNumber);
    if (signalNumber == SIGKILL) {
        ::waitpid(entry->pid, nullptr, 0);
        const std::lock_guard lock(m_mutex);
        entry->pid = 0;
    }
    return entry->name;
}

std::string ProcessFleet::continueEntries()
{
    for (const auto& entry : m_entries) {
        if (entry.pid)
            ::kill(entry.pid, SIGCONT);
    }
    return "every stopped entry VM";
}

std::string ProcessFleet::restartEntry(const FaultSpec& fault)
{
    auto* entry = findEntry(fault);
    if (!entry)
        return "no such entry VM";
    if (entry->pid)
        signalEntry(fault, SIGKILL);
    Reason reason;
    return startEntry(*entry, reason) ? entry->name : reason.explain();
}

std::string ProcessFleet::setPlatformFaults(const std::string& body)
{
    const auto response = sendRequest(m_platformAddress, makeRequest("POST", "/admin/faults", body));
    return response && response->status == 200 ? body : "the platform did not answer";
}

std::string ProcessFleet::setExecutorFailure(const std::string& domain, bool fail)
{
    std::size_t changed = 0;
    const auto body = json::serialize(json::object { { "fail_all", fail } });
    for (const auto& server : m_servers) {
        if (!server.isExecutor || (!domain.empty() && server.domain != domain))
            continue;
        const auto response = sendRequest(server.address, makeRequest("POST", "/admin/behaviour", body));
        changed += response && response->status == 200 ? 1 : 0;
    }
    return std::to_string(changed) + " executors";
}

std::string ProcessFleet::apply(const FaultSpec& fault)
{
    switch (fault.kind) {
    case FaultKind::Kill:
        return signalEntry(fault, SIGKILL);
    case FaultKind::Stop:
        return signalEntry(fault, SIGSTOP);
    case FaultKind::Continue:
        return continueEntries();
    case FaultKind::Restart:
        return restartEntry(fault);
    case FaultKind::PlatformDown:
        return setPlatformFaults(R"({"down":true})");
    case FaultKind::PlatformUp:
        return setPlatformFaults("{}");
    case FaultKind::PlatformDelay:
        return setPlatformFaults(json::serialize(json::object { { "delay_ms", fault.delayMs } }));
    case FaultKind::LoseAnswers:
        return setPlatformFaults(json::serialize(json::object { { "lose_answer_percent", fault.percent } }));
    case FaultKind::ExecutorsFail:
        return setExecutorFailure(fault.domain, true);
    case FaultKind::ExecutorsHeal:
        return setExecutorFailure(fault.domain, false);
    }
    return {};
}

FleetUsage ProcessFleet::usage() const
{
    FleetUsage usage;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto& entry = m_entries[i];
        usage.entries[entry.name] = readProcessUsage(entry.pid);
        const auto page = sendRequest(entryAddress(i), makeRequest("GET", "/metrics"), 1s);
        if (page && page->status == 200)
            usage.peerBytes[entry.name] = sumPeerBytes(page->body);
    }
    const auto response = sendRequest(m_platformAddress, makeRequest("GET", "/admin/stats"));
    if (!response)
        return usage;
    const auto stats = json::parse(response->body);
    usage.storeTransactions = stats.at("transactions").to_number<std::uint64_t>();
    usage.storeReads = stats.at("reads").to_number<std::uint64_t>();
    return usage;
}

std::optional<Ledgers> ProcessFleet::ledgers(Reason& reason) const
{
    Ledgers ledgers;
    for (const auto& server : m_servers) {
        const auto response = sendRequest(server.address, makeRequest("GET", "/admin/ledger"), 30s);
        if (!response)
            return fail(reason, ErrorKind::BackendFailed, server.id + " did not return its ledger");
        const bool read = server.isExecutor ? addExecutorLedger(ledgers, response->body, reason)
                                            : addWorkerLedger(ledgers, response->body, reason);
        if (!read)
            return std::nullopt;
    }
    return ledgers;
}

} // namespace quay::bench
