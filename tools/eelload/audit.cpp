#include "audit.hpp"

#include "eelgrasslever/base/json.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace eelload {

namespace {

constexpr std::int64_t still_running = INT64_MAX;

/// Follows the file of one endpoint process group.
class record_reader {
  public:
    explicit record_reader(endpoint_records& out) : m_out(out) {}

    void take(const nlohmann::json& line) {
        std::string endpoint = line.value("endpoint", "");
        std::string event = line.value("event", "");
        std::int64_t at = line.value("at_ms", std::int64_t{0});
        if (event == "alive") {
            on_alive(endpoint, line.value("boot", std::uint64_t{0}), at);
            return;
        }
        m_last_seen[endpoint] = std::max(m_last_seen[endpoint], at);
        if (event == "over_capacity") {
            m_out.over_capacity++;
            return;
        }
        std::string task = line.value("task", "");
        if (event == "end") {
            on_end(endpoint, task, line.value("state", ""), at);
            return;
        }
        if (event == "late_start") {
            m_out.late_starts++;
        }
        m_out.runs[task].push_back({endpoint, at, still_running, "running",
                                    line.value("repeatable", true)});
    }

    /// What still ran when a process was killed ended with it.
    void close_all() {
        for (auto& [task, runs] : m_out.runs) {
            for (task_run& run : runs) {
                if (run.until == still_running) {
                    run.until = m_last_seen[run.endpoint];
                    run.state = "killed";
                }
            }
        }
    }

  private:
    void on_alive(const std::string& endpoint, std::uint64_t boot,
                  std::int64_t at) {
        std::uint64_t& known = m_boot[endpoint];
        if (known != 0 && known != boot) {
            end_runs_of(endpoint);
        }
        known = boot;
        m_last_seen[endpoint] = at;
    }

    void end_runs_of(const std::string& endpoint) {
        for (auto& [task, runs] : m_out.runs) {
            for (task_run& run : runs) {
                if (run.endpoint == endpoint && run.until == still_running) {
                    run.until = m_last_seen[endpoint];
                    run.state = "killed";
                }
            }
        }
    }

    void on_end(const std::string& endpoint, const std::string& task,
                const std::string& state, std::int64_t at) {
        for (task_run& run : m_out.runs[task]) {
            if (run.endpoint == endpoint && run.until == still_running) {
                run.until = at;
                run.state = state;
                return;
            }
        }
    }

    endpoint_records& m_out;
    std::map<std::string, std::uint64_t> m_boot;
    std::map<std::string, std::int64_t> m_last_seen;
};

void check_overlaps(const std::string& task, std::vector<task_run> runs,
                    std::vector<std::string>& violations) {
    std::sort(runs.begin(), runs.end(),
              [](const auto& a, const auto& b) { return a.from < b.from; });
    for (std::size_t i = 1; i < runs.size(); ++i) {
        if (runs[i].from < runs[i - 1].until) {
            violations.push_back("two places at once: " + task + " at " +
                                 runs[i - 1].endpoint + " and " +
                                 runs[i].endpoint);
        }
    }
}

std::string request_of(const std::string& task) {
    return task.substr(0, task.find('/'));
}

void check_answer(const told& item, bool started, bool completed,
                  std::vector<std::string>& violations) {
    const base::answer& answer = item.answer;
    if (answer.result == base::outcome::not_run && started) {
        violations.push_back("told not_run but it ran: " + item.id);
    }
    if (answer.result != base::outcome::completed) {
        return;
    }
    if (!completed) {
        violations.push_back("told completed but it did not: " + item.id);
    }
    bool job = answer.detail.find("tasks ended") != std::string::npos;
    if (!job && !answer.body.starts_with("done:" + item.id + ":")) {
        violations.push_back("the answer is not this request's own: " +
                             item.id);
    }
}

} // namespace

base::result<endpoint_records> read_records(const std::string& folder) {
    endpoint_records out;
    record_reader reader(out);
    std::error_code problem;
    for (const auto& file :
         std::filesystem::directory_iterator(folder, problem)) {
        std::string name = file.path().filename().string();
        if (!name.starts_with("audit-")) {
            continue;
        }
        std::ifstream lines(file.path());
        for (std::string line; std::getline(lines, line);) {
            auto parsed = nlohmann::json::parse(line, nullptr, false);
            if (parsed.is_object()) {
                reader.take(parsed);
            }
        }
    }
    if (problem) {
        return base::fail(base::error_code::io, "audit.read", folder,
                          problem.message());
    }
    reader.close_all();
    return out;
}

audit_result check(const std::vector<told>& last_words,
                   const endpoint_records& records) {
    audit_result out;
    if (records.over_capacity > 0) {
        out.violations.push_back(std::to_string(records.over_capacity) +
                                 " starts beyond an endpoint's resources");
    }
    std::map<std::string, std::pair<bool, bool>> by_request;
    for (const auto& [task, runs] : records.runs) {
        check_overlaps(task, runs, out.violations);
        runs.size() == 1 ? out.ran_once++ : out.ran_again++;
        if (!runs.front().repeatable && runs.size() > 1) {
            out.violations.push_back("not repeatable and ran " +
                                     std::to_string(runs.size()) +
                                     " times: " + task);
        }
        auto& [started, completed] = by_request[request_of(task)];
        started = true;
        for (const task_run& run : runs) {
            completed = completed || run.state == "completed";
        }
    }
    std::map<std::string, std::size_t> answers;
    for (const told& item : last_words) {
        answers[item.id]++;
        auto found = by_request.find(item.id);
        bool started = found != by_request.end();
        bool completed = started && found->second.second;
        check_answer(item, started, completed, out.violations);
    }
    out.ids = answers.size();
    for (const auto& [id, count] : answers) {
        out.answered_once += count == 1 ? 1 : 0;
    }
    return out;
}

base::result<std::vector<told>> read_answers(const std::string& path) {
    std::ifstream lines(path);
    if (!lines) {
        return base::fail(base::error_code::io, "audit.read", path,
                          "can't be opened");
    }
    std::vector<told> out;
    for (std::string line; std::getline(lines, line);) {
        auto parsed = nlohmann::json::parse(line, nullptr, false);
        if (parsed.is_object() && parsed.contains("outcome")) {
            out.push_back({parsed.value("id", ""), parsed.get<base::answer>()});
        }
    }
    return out;
}

bool print(const audit_result& result) {
    std::cout << "audit: " << result.ids << " ids answered, "
              << result.answered_once << " of them once; tasks run once "
              << result.ran_once << ", more than once " << result.ran_again
              << "; violations " << result.violations.size() << "\n";
    for (const std::string& violation : result.violations) {
        std::cout << "  " << violation << "\n";
    }
    return result.violations.empty();
}

} // namespace eelload
