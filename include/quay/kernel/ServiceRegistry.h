#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <typeindex>

namespace quay {

/**
 * The registry through which services find each other by name.
 * The composition root registers every service, looks up what each one needs,
 * and passes it through the constructor; services never reach for the kernel later.
 *
 * Usage: `kernel.add("store", store); auto& store = kernel.find<StoreService>("store");`
 */
class ServiceRegistry {
public:
    /** Registers a service that outlives the kernel. Throws std::logic_error if the name is taken. */
    template <typename Service> void add(const std::string& name, Service& service)
    {
        if (!m_services.emplace(name, Entry { std::type_index(typeid(Service)), &service }).second)
            throw std::logic_error("service '" + name + "' is registered twice");
    }

    /** The service of that name. Throws std::logic_error if it is missing or of another type. */
    template <typename Service> Service& find(const std::string& name) const
    {
        auto it = m_services.find(name);
        if (it == m_services.end())
            throw std::logic_error("service '" + name + "' is not registered");
        if (it->second.type != std::type_index(typeid(Service)))
            throw std::logic_error("service '" + name + "' is of another type");
        return *static_cast<Service*>(it->second.service);
    }

private:
    struct Entry {
        std::type_index type;
        void* service;
    };

    std::map<std::string, Entry> m_services;
};

} // namespace quay
