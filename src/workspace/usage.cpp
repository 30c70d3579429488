#include "eelgrasslever/workspace/usage.hpp"

#include <algorithm>

namespace eelgrasslever::workspace {

namespace {

/// @param overage amount by which all tasks but one may pass the cap together.
/// @return whether @p count tasks of @p need may start together.
bool is_amount_within(std::int64_t cap, std::int64_t running, std::int64_t need,
                      std::int64_t count, std::int64_t overage = 0) {
    if (cap <= 0 || need <= 0) {
        return true;
    }
    // Divisions, as products may overflow.
    std::int64_t left = std::max<std::int64_t>(0, cap - running);
    if (need <= left / count) {
        return true;
    }
    bool never_fits = need > cap / count;
    bool is_half_free = running < cap - running;
    bool only_one_passes = count == 1 || need <= (left + overage) / (count - 1);
    return never_fits && is_half_free && only_one_passes;
}

/// @return how many of @p wanted tasks of @p need may start one by one.
int tasks_by_amount(std::int64_t cap, std::int64_t running, std::int64_t need,
                    int wanted) {
    if (cap <= 0 || need <= 0) {
        return wanted;
    }
    std::int64_t left = std::max<std::int64_t>(0, cap - running);
    std::int64_t fitting = std::min<std::int64_t>(wanted, left / need);
    bool passes =
        fitting == 0 && wanted > 0 && is_amount_within(cap, running, need, 1);
    return passes ? 1 : static_cast<int>(fitting);
}

int tasks_within(const base::resources& cap, const base::resources& running,
                 const base::resources& need, int wanted) {
    int result = tasks_by_amount(cap.cpu_milli, running.cpu_milli,
                                 need.cpu_milli, wanted);
    result = tasks_by_amount(cap.memory_mb, running.memory_mb, need.memory_mb,
                             result);
    return tasks_by_amount(cap.accelerators, running.accelerators,
                           need.accelerators, result);
}

} // namespace

bool usage::is_within(const base::resources& cap,
                      const base::resources& running,
                      const demand& asked) const {
    std::int64_t count = asked.at_once ? std::max(1, asked.count) : 1;
    base::resources overage = base::scaled(cap, m_overage);
    return is_amount_within(cap.cpu_milli, running.cpu_milli,
                            asked.need.cpu_milli, count, overage.cpu_milli) &&
           is_amount_within(cap.memory_mb, running.memory_mb,
                            asked.need.memory_mb, count, overage.memory_mb) &&
           is_amount_within(cap.accelerators, running.accelerators,
                            asked.need.accelerators, count,
                            overage.accelerators);
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

bool usage::admits(const std::string& workspace, const demand& asked) const {
    const base::resources* cap = cap_of(workspace);
    return cap == nullptr || is_within(*cap, running(workspace), asked);
}

bool usage::admits_placed(const std::string& workspace,
                          const demand& placed) const {
    const base::resources* cap = cap_of(workspace);
    if (cap == nullptr) {
        return true;
    }
    base::resources others = running(workspace);
    for (int i = 0; i < (placed.at_once ? placed.count : 1); ++i) {
        others -= placed.need;
    }
    return is_within(*cap, others, placed);
}

bool usage::is_admissible(const std::string& workspace,
                          const demand& asked) const {
    const base::resources* cap = cap_of(workspace);
    return cap == nullptr || is_within(*cap, {}, asked);
}

} // namespace eelgrasslever::workspace
