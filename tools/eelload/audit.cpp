#include "audit.hpp"

#include "eelgrasslever/base/json.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace eelload {

namespace {

constexpr std::int64_t still_running = INT64_MAX;

/// Builds the records from the audit lines, in the order written.
class record_reader {
  public:
    explicit record_reader(endpoint_records& records) : m_records(records) {}

    void add_line(const nlohmann::json& line) {
        std::string endpoint = line.value("endpoint", "");
        std::string event = line.value("event", "");
        std::int64_t at_ms = line.value("at_ms", std::int64_t{0});
        if (event == "alive") {
            on_alive(endpoint, line.value("boot", std::uint64_t{0}), at_ms);
            return;
        }
        m_last_line_ms[endpoint] = std::max(m_last_line_ms[endpoint], at_ms);
        if (event == "over_capacity") {
            m_records.over_capacity++;
            return;
        }
        std::string task = line.value("task", "");
        if (event == "end") {
            on_end(endpoint, task, line.value("state", ""), at_ms);
            return;
        }
        if (event == "late_start") {
            m_records.late_starts++;
        }
        m_records.runs[task].push_back({endpoint, at_ms, still_running,
                                        "running",
                                        line.value("repeatable", true)});
    }

    /// Ends the tasks without an end line at the last line of their endpoint,
    /// because they stopped when its process was killed.
    void end_open_runs() {
        for (auto& [task, runs] : m_records.runs) {
            for (task_run& run : runs) {
                if (run.end_ms == still_running) {
                    run.end_ms = m_last_line_ms[run.endpoint];
                    run.state = "killed";
                }
            }
        }
    }

  private:
    void on_alive(const std::string& endpoint, std::uint64_t boot,
                  std::int64_t at_ms) {
        std::uint64_t& last_boot = m_boot_by_endpoint[endpoint];
        if (last_boot != 0 && last_boot != boot) {
            end_runs_of(endpoint);
        }
        last_boot = boot;
        m_last_line_ms[endpoint] = at_ms;
    }

    void end_runs_of(const std::string& endpoint) {
        for (auto& [task, runs] : m_records.runs) {
            for (task_run& run : runs) {
                if (run.endpoint == endpoint && run.end_ms == still_running) {
                    run.end_ms = m_last_line_ms[endpoint];
                    run.state = "killed";
                }
            }
        }
    }

    void on_end(const std::string& endpoint, const std::string& task,
                const std::string& state, std::int64_t at_ms) {
        for (task_run& run : m_records.runs[task]) {
            if (run.endpoint == endpoint && run.end_ms == still_running) {
                run.end_ms = at_ms;
                run.state = state;
                return;
            }
        }
    }

    endpoint_records& m_records;
    std::map<std::string, std::uint64_t> m_boot_by_endpoint;
    std::map<std::string, std::int64_t> m_last_line_ms;
};

void check_overlaps(const std::string& task, std::vector<task_run> runs,
                    std::vector<std::string>& violations) {
    std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
        return a.start_ms < b.start_ms;
    });
    for (std::size_t i = 1; i < runs.size(); ++i) {
        if (runs[i].start_ms < runs[i - 1].end_ms) {
            violations.push_back("ran at two endpoints at once: " + task +
                                 " at " + runs[i - 1].endpoint + " and " +
                                 runs[i].endpoint);
        }
    }
}

std::string request_id_of(const std::string& task) {
    return task.substr(0, task.find('/'));
}

void check_answer(const reported_answer& reported, bool was_started,
                  bool was_completed, std::vector<std::string>& violations) {
    const base::answer& answer = reported.answer;
    if (answer.result == base::outcome::not_run && was_started) {
        violations.push_back("answered not_run but the task ran: " +
                             reported.id);
    }
    if (answer.result != base::outcome::completed) {
        return;
    }
    if (!was_completed) {
        violations.push_back("answered completed but no run completed: " +
                             reported.id);
    }
    bool is_job = answer.detail.find("tasks ended") != std::string::npos;
    if (!is_job && !answer.body.starts_with("done:" + reported.id + ":")) {
        violations.push_back("answered with the result of another request: " +
                             reported.id);
    }
}

} // namespace

base::result<endpoint_records> read_records(const std::string& folder) {
    endpoint_records out;
    record_reader reader(out);
    std::error_code error;
    for (const auto& file :
         std::filesystem::directory_iterator(folder, error)) {
        std::string name = file.path().filename().string();
        if (!name.starts_with("audit-")) {
            continue;
        }
        std::ifstream lines(file.path());
        for (std::string line; std::getline(lines, line);) {
            auto parsed = nlohmann::json::parse(line, nullptr, false);
            if (parsed.is_object()) {
                reader.add_line(parsed);
            }
        }
    }
    if (error) {
        return base::fail(base::error_code::io, "audit.read", folder,
                          error.message());
    }
    reader.end_open_runs();
    return out;
}

audit_result check_answers(const std::vector<reported_answer>& last_answers,
                           const endpoint_records& records) {
    audit_result out;
    if (records.over_capacity > 0) {
        out.violations.push_back(
            std::to_string(records.over_capacity) +
            " starts ordered beyond the capacity of an endpoint");
    }
    std::map<std::string, std::pair<bool, bool>> by_request;
    for (const auto& [task, runs] : records.runs) {
        check_overlaps(task, runs, out.violations);
        runs.size() == 1 ? out.ran_once++ : out.ran_repeatedly++;
        if (!runs.front().repeatable && runs.size() > 1) {
            out.violations.push_back("non-repeatable task ran " +
                                     std::to_string(runs.size()) +
                                     " times: " + task);
        }
        auto& [started, completed] = by_request[request_id_of(task)];
        started = true;
        for (const task_run& run : runs) {
            completed = completed || run.state == "completed";
        }
    }
    std::map<std::string, std::size_t> answers;
    for (const reported_answer& reported : last_answers) {
        answers[reported.id]++;
        auto found = by_request.find(reported.id);
        bool started = found != by_request.end();
        bool completed = started && found->second.second;
        check_answer(reported, started, completed, out.violations);
    }
    out.ids = answers.size();
    for (const auto& [id, count] : answers) {
        out.answered_once += count == 1 ? 1 : 0;
    }
    return out;
}

base::result<std::vector<reported_answer>>
read_answers(const std::string& path) {
    std::ifstream lines(path);
    if (!lines) {
        return base::fail(base::error_code::io, "audit.read", path,
                          "cannot be opened for reading");
    }
    std::vector<reported_answer> out;
    for (std::string line; std::getline(lines, line);) {
        auto parsed = nlohmann::json::parse(line, nullptr, false);
        if (parsed.is_object() && parsed.contains("outcome")) {
            out.push_back({parsed.value("id", ""), parsed.get<base::answer>()});
        }
    }
    return out;
}

bool print_audit(const audit_result& result) {
    std::cout << "audit: " << result.ids << " ids answered, "
              << result.answered_once << " of them once; tasks run once "
              << result.ran_once << ", more than once " << result.ran_repeatedly
              << "; violations " << result.violations.size() << "\n";
    for (const std::string& violation : result.violations) {
        std::cout << "  " << violation << "\n";
    }
    return result.violations.empty();
}

} // namespace eelload
