// eelload: generates open-loop load, reports statistics and audits the answers
// against the task runs that the endpoints recorded.
#include "audit.hpp"
#include "generator.hpp"
#include "report.hpp"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(servers, "127.0.0.1:7100", "entry VMs as IP:port,...");
DEFINE_string(audits, "", "folder with the audit files of the endpoints");
DEFINE_string(answers, "", "audit: file with the answers as JSON lines");
DEFINE_string(svg, "", "run: output file for a plot of the waits");
DEFINE_string(id_prefix, "load-", "run: prefix of every request id");
DEFINE_uint64(seed, 0,
              "run: overrides the seed of the experiment; 0: does not");

namespace {

constexpr int usage_error = 2;

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> out;
    std::stringstream list(text);
    for (std::string part; std::getline(list, part, ',');) {
        out.push_back(part);
    }
    return out;
}

int audit_answers(const std::vector<eelload::reported_answer>& answers) {
    auto records = eelload::read_records(FLAGS_audits);
    if (!records) {
        std::cerr << records.error().message() << "\n";
        return usage_error;
    }
    return eelload::print_audit(eelload::check_answers(answers, *records)) ? 0
                                                                           : 1;
}

int run_audit() {
    auto answers = eelload::read_answers(FLAGS_answers);
    if (!answers) {
        std::cerr << answers.error().message() << "\n";
        return usage_error;
    }
    return audit_answers(*answers);
}

int run_experiment(const std::string& path) {
    auto experiment = eelload::load_experiment(path);
    if (!experiment) {
        for (const std::string& error : experiment.error()) {
            std::cerr << error << "\n";
        }
        return usage_error;
    }
    if (FLAGS_seed != 0) {
        experiment->seed = FLAGS_seed;
    }
    auto servers = split(FLAGS_servers);
    auto before = eelload::read_control_cost(servers);
    eelload::generator generator(*experiment, servers, FLAGS_id_prefix);
    auto results = generator.run();
    auto after = eelload::read_control_cost(servers);
    auto statistics = eelload::summarize(results);
    eelload::print_table(statistics);
    eelload::print_cost(before, after, servers.size(), experiment->duration);
    if (!FLAGS_svg.empty()) {
        auto written = eelload::write_svg(statistics, FLAGS_svg);
        if (!written) {
            std::cerr << written.error().message() << "\n";
        }
    }
    if (FLAGS_audits.empty()) {
        return 0;
    }
    std::vector<eelload::reported_answer> answers;
    for (const eelload::request_result& result : results) {
        if (result.answered) {
            answers.push_back({result.id, result.answer});
        }
    }
    return audit_answers(answers);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "eelload run EXPERIMENT.toml [--servers ...] [--audits DIR] [--svg F]\n"
        "eelload audit --answers FILE --audits DIR");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::string verb = argc > 1 ? argv[1] : "";
    if (verb == "audit") {
        return run_audit();
    }
    if (verb == "run" && argc > 2) {
        return run_experiment(argv[2]);
    }
    std::cerr << "usage: eelload run EXPERIMENT.toml or eelload audit; see "
                 "--help\n";
    return usage_error;
}
