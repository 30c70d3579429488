#include "eelgrasslever/workspace/usage.hpp"

#include <algorithm>

namespace eelgrasslever::workspace {

namespace {

int tasks_by_amount(std::int64_t cap, std::int64_t running, std::int64_t need,
                    int wanted) {
    if (cap <= 0 || need <= 0) {
        return wanted;
    }
    std::int64_t left = std::max<std::int64_t>(0, cap - running);
    return static_cast<int>(std::min<std::int64_t>(wanted, left / need));
}

bool is_above(std::int64_t cap, std::int64_t running) {
    return cap > 0 && running > cap;
}

} // namespace

int tasks_within(const base::resources& cap, const base::resources& running,
                 const base::resources& need, int wanted) {
    int result = tasks_by_amount(cap.cpu_milli, running.cpu_milli,
                                 need.cpu_milli, wanted);
    result = tasks_by_amount(cap.memory_mb, running.memory_mb, need.memory_mb,
                             result);
    return tasks_by_amount(cap.accelerators, running.accelerators,
                           need.accelerators, result);
}

void usage::add(const std::string& workspace, const base::resources& amount) {
    if (!workspace.empty()) {
        m_running[workspace] += amount;
    }
}

void usage::remove(const std::string& workspace,
                   const base::resources& amount) {
    auto found = m_running.find(workspace);
    if (found != m_running.end()) {
        found->second -= amount;
    }
}

base::resources usage::running(const std::string& workspace) const {
    auto found = m_running.find(workspace);
    return found == m_running.end() ? base::resources{} : found->second;
}

const base::resources* usage::cap_of(const std::string& workspace) const {
    if (workspace.empty() || !m_limits) {
        return nullptr;
    }
    const policy* found = m_limits->find(workspace);
    bool has_cap = found != nullptr &&
                   (found->cap.cpu_milli > 0 || found->cap.memory_mb > 0 ||
                    found->cap.accelerators > 0);
    return has_cap ? &found->cap : nullptr;
}

int usage::tasks_allowed(const std::string& workspace,
                         const base::resources& need, int wanted) const {
    const base::resources* cap = cap_of(workspace);
    return cap == nullptr
               ? wanted
               : tasks_within(*cap, running(workspace), need, wanted);
}

bool usage::exceeds_limit(const std::string& workspace) const {
    const base::resources* cap = cap_of(workspace);
    if (cap == nullptr) {
        return false;
    }
    base::resources used = running(workspace);
    return is_above(cap->cpu_milli, used.cpu_milli) ||
           is_above(cap->memory_mb, used.memory_mb) ||
           is_above(cap->accelerators, used.accelerators);
}

} // namespace eelgrasslever::workspace
