#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <typeindex>

namespace quay {

/**
 * A registry of services by name, for the composition root. Services get their dependencies through their
 * constructors and don't use the registry themselves. Not thread-safe while services are added.
 *
 * Usage: `registry.add("store", store); auto& store = registry.find<StoreService>("store");`
 */
class ServiceRegistry {
public:
    /**
     * Registers a service. The registry keeps only a pointer, so the service must not be looked up after its
     * destruction. Throws std::logic_error if the name is taken.
     */
    template <typename Service> void add(const std::string& name, Service& service)
    {
        if (!m_services.emplace(name, Entry { std::type_index(typeid(Service)), &service }).second)
            throw std::logic_error("service '" + name + "' is registered twice");
    }

    /** The service of that name. Throws std::logic_error if it is not registered or has another type. */
    template <typename Service> Service& find(const std::string& name) const
    {
        auto it = m_services.find(name);
        if (it == m_services.end())
            throw std::logic_error("service '" + name + "' is not registered");
        if (it->second.type != std::type_index(typeid(Service)))
            throw std::logic_error("service '" + name + "' has another type");
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
