#include "report.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace eelload {

base::milliseconds work_statistics::wait_quantile(double share) const {
    if (waits.empty()) {
        return base::milliseconds(0);
    }
    auto index =
        static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1));
    return waits[index];
}

std::vector<work_statistics>
summarize(const std::vector<request_result>& results) {
    std::map<std::string, work_statistics> by_name;
    for (const request_result& result : results) {
        work_statistics& stats = by_name[result.work];
        stats.name = result.work;
        stats.ended++;
        stats.late += result.late ? 1 : 0;
        if (!result.answered) {
            stats.unanswered++;
            continue;
        }
        switch (result.answer.result) {
        case base::outcome::completed:
            stats.completed++;
            stats.waits.push_back(std::max(base::milliseconds(0),
                                           result.latency - result.actual_run));
            break;
        case base::outcome::failed:
            stats.failed++;
            break;
        case base::outcome::not_run:
            stats.not_run++;
            break;
        case base::outcome::unknown:
            stats.unknown++;
            break;
        }
    }
    std::vector<work_statistics> out;
    for (auto& [name, stats] : by_name) {
        std::sort(stats.waits.begin(), stats.waits.end());
        out.push_back(std::move(stats));
    }
    return out;
}

control_cost read_control_cost(const std::vector<std::string>& servers) {
    control_cost out;
    for (const std::string& server : servers) {
        http::call request;
        request.url = "http://" + server + "/metrics";
        http::reply reply = http::send_blocking(request);
        std::istringstream lines(reply.body);
        for (std::string line; std::getline(lines, line);) {
            auto space = line.rfind(' ');
            if (space == std::string::npos || line[0] == '#') {
                continue;
            }
            double value = std::atof(line.c_str() + space);
            std::string name = line.substr(0, space);
            if (name == "eelgrasslever_process_cpu_seconds") {
                out.cpu_seconds += value;
            } else if (name.starts_with("eelgrasslever_bytes{")) {
                out.bytes += value;
            } else if (name == "eelgrasslever_task_starts_total") {
                out.starts += value;
            } else if (name == "eelgrasslever_process_resident_bytes") {
                out.resident_bytes = std::max(out.resident_bytes, value);
            }
        }
    }
    return out;
}

void print_table(const std::vector<work_statistics>& statistics) {
    std::cout << std::left << std::setw(16) << "work" << std::right;
    for (const char* column :
         {"ended", "completed", "failed", "not_run", "unknown", "silent",
          "late", "p50_ms", "p90_ms", "p99_ms", "max_ms"}) {
        std::cout << std::setw(10) << column;
    }
    std::cout << "\n";
    for (const work_statistics& stats : statistics) {
        std::cout << std::left << std::setw(16) << stats.name << std::right;
        for (std::size_t count :
             {stats.ended, stats.completed, stats.failed, stats.not_run,
              stats.unknown, stats.unanswered, stats.late}) {
            std::cout << std::setw(10) << count;
        }
        for (double share : {0.5, 0.9, 0.99, 1.0}) {
            std::cout << std::setw(10) << stats.wait_quantile(share).count();
        }
        std::cout << "\n";
    }
}

void print_cost(const control_cost& before, const control_cost& after,
                std::size_t servers, base::milliseconds duration) {
    double starts = std::max(1.0, after.starts - before.starts);
    double seconds = static_cast<double>(duration.count()) / 1000.0;
    double server_count = static_cast<double>(servers);
    double cpu = after.cpu_seconds - before.cpu_seconds;
    double bytes = after.bytes - before.bytes;
    std::cout << std::fixed << std::setprecision(3)
              << "control: starts=" << starts
              << " starts_per_s=" << starts / seconds
              << " cpu_ms_per_start=" << cpu * 1000.0 / starts
              << " core_share_per_node=" << cpu / seconds / server_count
              << " bytes_per_start=" << bytes / starts << " kB_per_s_per_node="
              << bytes / 1000.0 / seconds / server_count
              << " largest_MB=" << after.resident_bytes / 1e6 << "\n";
}

base::result<void> write_svg(const std::vector<work_statistics>& statistics,
                             const std::string& path) {
    constexpr double quantiles[] = {0.5, 0.9, 0.99, 1.0};
    constexpr const char* colours[] = {"#4878a8", "#6fa86f", "#d8a048",
                                       "#b85450"};
    constexpr int row_height = 70;
    constexpr int left = 150;
    constexpr int width = 760;
    constexpr double axis_decades = 5.0; // logarithmic axis, 1 ms to 100 s
    std::ofstream out(path);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
        << "\" height=\"" << row_height * (statistics.size() + 1)
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<text x=\"10\" y=\"20\">waiting time, ms, logarithmic: p50, p90, "
           "p99, max</text>\n";
    for (std::size_t row = 0; row < statistics.size(); ++row) {
        auto top = static_cast<int>(row * row_height) + 40;
        out << "<text x=\"10\" y=\"" << top + 30 << "\">"
            << statistics[row].name << "</text>\n";
        for (int i = 0; i < 4; ++i) {
            auto wait = static_cast<double>(
                statistics[row].wait_quantile(quantiles[i]).count());
            double fraction = std::log10(std::max(1.0, wait)) / axis_decades;
            int bar =
                std::max(1, static_cast<int>(fraction * (width - left - 80)));
            int y = top + i * 14;
            out << "<rect x=\"" << left << "\" y=\"" << y << "\" width=\""
                << bar << "\" height=\"12\" fill=\"" << colours[i]
                << "\"/><text x=\"" << left + bar + 4 << "\" y=\"" << y + 11
                << "\">" << wait << "</text>\n";
        }
    }
    out << "</svg>\n";
    if (!out.flush()) {
        return base::fail(base::error_code::io, "report.write", path,
                          "cannot be written");
    }
    return {};
}

} // namespace eelload
