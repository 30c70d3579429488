#include "report.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace eelload {

base::milliseconds work_figures::wait_quantile(double share) const {
    if (waits.empty()) {
        return base::milliseconds(0);
    }
    auto at =
        static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1));
    return waits[at];
}

std::vector<work_figures> summarize(const std::vector<ending>& endings) {
    std::map<std::string, work_figures> by_name;
    for (const ending& item : endings) {
        work_figures& at = by_name[item.work];
        at.name = item.work;
        at.ended++;
        at.late += item.late ? 1 : 0;
        if (!item.answered) {
            at.unanswered++;
            continue;
        }
        switch (item.answer.result) {
        case base::outcome::completed:
            at.completed++;
            at.waits.push_back(std::max(base::milliseconds(0),
                                        item.latency - item.actual_run));
            break;
        case base::outcome::failed:
            at.failed++;
            break;
        case base::outcome::not_run:
            at.not_run++;
            break;
        case base::outcome::unknown:
            at.unknown++;
            break;
        }
    }
    std::vector<work_figures> out;
    for (auto& [name, figures] : by_name) {
        std::sort(figures.waits.begin(), figures.waits.end());
        out.push_back(std::move(figures));
    }
    return out;
}

control_cost read_cost(const std::vector<std::string>& servers) {
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

void print_table(const std::vector<work_figures>& all) {
    std::cout << std::left << std::setw(16) << "work" << std::right;
    for (const char* column :
         {"ended", "completed", "failed", "not_run", "unknown", "silent",
          "late", "p50_ms", "p90_ms", "p99_ms", "max_ms"}) {
        std::cout << std::setw(10) << column;
    }
    std::cout << "\n";
    for (const work_figures& at : all) {
        std::cout << std::left << std::setw(16) << at.name << std::right;
        for (std::size_t figure :
             {at.ended, at.completed, at.failed, at.not_run, at.unknown,
              at.unanswered, at.late}) {
            std::cout << std::setw(10) << figure;
        }
        for (double share : {0.5, 0.9, 0.99, 1.0}) {
            std::cout << std::setw(10) << at.wait_quantile(share).count();
        }
        std::cout << "\n";
    }
}

void print_cost(const control_cost& before, const control_cost& after,
                std::size_t servers, base::milliseconds time) {
    double starts = std::max(1.0, after.starts - before.starts);
    double seconds = static_cast<double>(time.count()) / 1000.0;
    double nodes = static_cast<double>(servers);
    double cpu = after.cpu_seconds - before.cpu_seconds;
    double bytes = after.bytes - before.bytes;
    std::cout << std::fixed << std::setprecision(3)
              << "control: starts=" << starts
              << " starts_per_s=" << starts / seconds
              << " cpu_ms_per_start=" << cpu * 1000.0 / starts
              << " core_share_per_node=" << cpu / seconds / nodes
              << " bytes_per_start=" << bytes / starts
              << " kB_per_s_per_node=" << bytes / 1000.0 / seconds / nodes
              << " largest_MB=" << after.resident_bytes / 1e6 << "\n";
}

base::result<void> write_svg(const std::vector<work_figures>& all,
                             const std::string& path) {
    constexpr double shares[] = {0.5, 0.9, 0.99, 1.0};
    constexpr const char* colours[] = {"#4878a8", "#6fa86f", "#d8a048",
                                       "#b85450"};
    constexpr int row_height = 70;
    constexpr int left = 150;
    constexpr int width = 760;
    constexpr double most_decades = 5.0; // 1 ms to 100 s, logarithmic
    std::ofstream out(path);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
        << "\" height=\"" << row_height * (all.size() + 1)
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<text x=\"10\" y=\"20\">waiting time, ms, logarithmic: p50, p90, "
           "p99, max</text>\n";
    for (std::size_t row = 0; row < all.size(); ++row) {
        auto top = static_cast<int>(row * row_height) + 40;
        out << "<text x=\"10\" y=\"" << top + 30 << "\">" << all[row].name
            << "</text>\n";
        for (int i = 0; i < 4; ++i) {
            auto wait =
                static_cast<double>(all[row].wait_quantile(shares[i]).count());
            double part = std::log10(std::max(1.0, wait)) / most_decades;
            int bar = std::max(1, static_cast<int>(part * (width - left - 80)));
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
                          "can't be written");
    }
    return {};
}

} // namespace eelload
