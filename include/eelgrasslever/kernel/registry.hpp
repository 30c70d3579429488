/// @file
/// Registry of plug-ins. A plug-in defines a static `registration` in its own
/// source file and is then found by name.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace eelgrasslever::kernel {

/// Holds the plug-ins of one interface by name.
template <typename Interface>
class registry {
  public:
    /// @return the one registry of this interface.
    static registry& instance() {
        static registry self;
        return self;
    }

    void add(const std::string& name, const Interface& plugin) {
        m_plugins[name] = &plugin;
    }

    /// @return the plug-in, or nullptr where none has that name.
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

/// A static object of this type registers a plug-in before main starts.
template <typename Interface>
struct registration {
    registration(const std::string& name, const Interface& plugin) {
        registry<Interface>::instance().add(name, plugin);
    }
};

} // namespace eelgrasslever::kernel
