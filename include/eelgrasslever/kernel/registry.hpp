/// @file
/// Plug-in registry. A plug-in registers itself through a static `registration`
/// object in its own source file and is looked up by name.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace eelgrasslever::kernel {

/// Maps names to the plug-ins that implement one interface.
template <typename Interface>
class registry {
  public:
    /// @return the singleton registry of this interface.
    static registry& instance() {
        static registry self;
        return self;
    }

    void add(const std::string& name, const Interface& plugin) {
        m_plugins[name] = &plugin;
    }

    /// @return the plug-in, or nullptr if @p name is not registered.
    [[nodiscard]] const Interface* find(const std::string& name) const {
        auto found = m_plugins.find(name);
        return found == m_plugins.end() ? nullptr : found->second;
    }

    [[nodiscard]] std::vector<std::string> names() const {
        std::vector<std::string> out;
        for (const auto& [name, plugin] : m_plugins) {
            out.push_back(name);
        }
        return out;
    }

  private:
    std::map<std::string, const Interface*> m_plugins;
};

/// Registers a plug-in during static initialization. @p plugin must have static
/// storage duration.
template <typename Interface>
struct registration {
    registration(const std::string& name, const Interface& plugin) {
        registry<Interface>::instance().add(name, plugin);
    }
};

} // namespace eelgrasslever::kernel
