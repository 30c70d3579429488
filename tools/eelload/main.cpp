// Load and experiment tool: open-loop load, figures, and the audit of answers
// against what the endpoints ran.
#include "audit.hpp"
#include "generator.hpp"
#include "report.hpp"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(servers, "127.0.0.1:7100", "entry VMs as IP:port,...");
DEFINE_string(audits, "", "folder with the endpoints' audit files");
DEFINE_string(answers, "", "audit: file with answers as JSON lines");
DEFINE_string(svg, "", "run: file for the plot");
DEFINE_string(id_prefix, "load-", "run: start of every request id");
DEFINE_uint64(seed, 0, "run: overrides the experiment's seed");

namespace {

constexpr int usage_error = 2;

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> out;
    std::stringstream all(text);
    for (std::string one; std::getline(all, one, ',');) {
        out.push_back(one);
    }
    return out;
}

int audit_against(const std::vector<eelload::told>& answers) {
    auto records = eelload::read_records(FLAGS_audits);
    if (!records) {
        std::cerr << records.error().message() << "\n";
        return usage_error;
    }
    return eelload::print(eelload::check(answers, *records)) ? 0 : 1;
}

int audit() {
    auto answers = eelload::read_answers(FLAGS_answers);
    if (!answers) {
        std::cerr << answers.error().message() << "\n";
        return usage_error;
    }
    return audit_against(*answers);
}

int run(const std::string& path) {
    auto plan = eelload::load_experiment(path);
    if (!plan) {
        for (const std::string& fault : plan.error()) {
            std::cerr << fault << "\n";
        }
        return usage_error;
    }
    if (FLAGS_seed != 0) {
        plan->seed = FLAGS_seed;
    }
    auto servers = split(FLAGS_servers);
    auto before = eelload::read_cost(servers);
    eelload::generator load(*plan, servers, FLAGS_id_prefix);
    auto endings = load.run();
    auto after = eelload::read_cost(servers);
    auto figures = eelload::summarize(endings);
    eelload::print_table(figures);
    eelload::print_cost(before, after, servers.size(), plan->duration);
    if (!FLAGS_svg.empty()) {
        auto written = eelload::write_svg(figures, FLAGS_svg);
        if (!written) {
            std::cerr << written.error().message() << "\n";
        }
    }
    if (FLAGS_audits.empty()) {
        return 0;
    }
    std::vector<eelload::told> answers;
    for (const eelload::ending& item : endings) {
        if (item.answered) {
            answers.push_back({item.id, item.answer});
        }
    }
    return audit_against(answers);
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
        return audit();
    }
    if (verb == "run" && argc > 2) {
        return run(argv[2]);
    }
    std::cerr << "say eelload run EXPERIMENT.toml or eelload audit; see "
                 "--help\n";
    return usage_error;
}
