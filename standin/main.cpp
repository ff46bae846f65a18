#include "Executor.h"
#include "Platform.h"
#include "Worker.h"
#include "net/HttpClient.h"
#include "tableservice/ServerListCodec.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace options = boost::program_options;
using namespace quay;

namespace {

constexpr std::size_t maxRegistrationBytes = 64 * 1024;

struct BackendOptions {
    std::string domain;
    std::string platform;
    std::string prefix;
    unsigned workers = 0;
    unsigned executors = 0;
    unsigned workersPerRack = 6;
    unsigned slots = 8;
    std::int64_t cpuMilli = 32'000;
    std::int64_t memoryMb = 64 * 1024;
    unsigned acceleratorsOnOddWorkers = 0; // of every second worker; those with an even index have none
    int serviceTimeMs = 2;
};

// Writes a temporary file and renames it, so that a reader never sees a partly written file.
void writePortFile(const std::string& path, const std::string& text)
{
    if (path.empty())
        return;
    const auto partial = path + ".partial";
    std::ofstream(partial) << text;
    std::filesystem::rename(partial, path);
}

void registerServer(HttpClient& client, const std::string& platform, const ServerInfo& info)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/vms";
    request.body = encodeServer(info);
    client.send(platform, std::move(request), 10s, [id = info.id.text](HttpResult result) {
        if (!result.response || result.response->status != 200)
            std::cerr << "failed to register " << id << ": " << result.reason.explain() << "\n";
    });
}

ServerInfo workerInfo(const BackendOptions& backend, unsigned index)
{
    ServerInfo info;
    info.id = ServerId { backend.prefix + "w" + std::to_string(index) };
    info.kind = ServerKind::Worker;
    info.domain = DomainId { backend.domain };
    info.rack = backend.domain + "-r" + std::to_string(index / backend.workersPerRack);
    info.capacity = { backend.cpuMilli, backend.memoryMb, index % 2 ? backend.acceleratorsOnOddWorkers : 0 };
    return info;
}

ServerInfo executorInfo(const BackendOptions& backend, unsigned index)
{
    ServerInfo info;
    info.id = ServerId { backend.prefix + "x" + std::to_string(index) };
    info.kind = ServerKind::Executor;
    info.domain = DomainId { backend.domain };
    info.rack = backend.domain + "-r" + std::to_string(index / backend.workersPerRack);
    info.slots = backend.slots;
    return info;
}

int runUntilSignal(boost::asio::io_context& context)
{
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
    return 0;
}

int runPlatform(const std::string& listen, const std::string& portFile)
{
    boost::asio::io_context context(1);
    standin::Platform platform(context, listen);
    std::cout << "platform " << platform.address() << std::endl;
    writePortFile(portFile, platform.address() + "\n");
    return runUntilSignal(context);
}

int runBackend(const BackendOptions& backend, const std::string& portFile)
{
    boost::asio::io_context context(1);
    HttpClient client(context, 4, maxRegistrationBytes);
    std::vector<std::unique_ptr<standin::Worker>> workers;
    std::vector<std::unique_ptr<standin::Executor>> executors;
    std::string addresses;
    for (unsigned i = 0; i < backend.workers; ++i) {
        workers.push_back(std::make_unique<standin::Worker>(context, workerInfo(backend, i), "127.0.0.1:0"));
        const auto& info = workers.back()->info();
        registerServer(client, backend.platform, info);
        addresses += info.id.text + " " + info.address + "\n";
    }
    for (unsigned i = 0; i < backend.executors; ++i) {
        standin::ExecutorBehaviour behaviour;
        behaviour.serviceTimeMs = backend.serviceTimeMs;
        executors.push_back(
            std::make_unique<standin::Executor>(context, executorInfo(backend, i), "127.0.0.1:0", behaviour));
        const auto& info = executors.back()->info();
        registerServer(client, backend.platform, info);
        addresses += info.id.text + " " + info.address + "\n";
    }
    std::cout << addresses << std::flush;
    writePortFile(portFile, addresses);
    return runUntilSignal(context);
}

int run(int argc, char** argv)
{
    BackendOptions backend;
    std::string role;
    std::string listen;
    std::string portFile;
    options::options_description description(
        "quay-standin ROLE: simulated platform and backend servers for tests.\n"
        "Roles: platform (table service, object store, VM list), "
        "backend (workers and executors).\nOptions");
    auto add = description.add_options();
    add("help", "show this text");
    add("role", options::value(&role), "platform or backend");
    add("listen", options::value(&listen)->default_value("127.0.0.1:0"), "platform: IP:PORT");
    add("port-file", options::value(&portFile), "file to which the listening addresses are written");
    add("platform", options::value(&backend.platform), "backend: the platform's address");
    add("domain", options::value(&backend.domain)->default_value("d1"), "backend: failure domain");
    add("prefix", options::value(&backend.prefix), "backend: prefix of server names (default: DOMAIN-)");
    add("workers", options::value(&backend.workers)->default_value(4), "backend: number of workers");
    add("executors", options::value(&backend.executors)->default_value(2), "backend: number of executors");
    add("slots", options::value(&backend.slots)->default_value(8), "backend: slots of each executor");
    add("cpu-milli", options::value(&backend.cpuMilli)->default_value(backend.cpuMilli),
        "backend: CPU of each worker, in thousandths of a core");
    add("memory-mb", options::value(&backend.memoryMb)->default_value(backend.memoryMb),
        "backend: memory of each worker, in MB");
    add("accelerators", options::value(&backend.acceleratorsOnOddWorkers)->default_value(0),
        "backend: accelerators of every second worker; the others have none");
    add("service-ms", options::value(&backend.serviceTimeMs)->default_value(2),
        "backend: service time of the executors, in ms");
    options::positional_options_description positional;
    positional.add("role", 1);
    options::variables_map values;
    options::store(
        options::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
    options::notify(values);
    if (backend.prefix.empty())
        backend.prefix = backend.domain + "-";
    if (!values.count("help") && role == "platform")
        return runPlatform(listen, portFile);
    if (!values.count("help") && role == "backend")
        return runBackend(backend, portFile);
    std::cout << description;
    return values.count("help") ? 0 : 2;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "quay-standin: " << error.what() << "\n";
        return 2;
    }
}
