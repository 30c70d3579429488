// Plays a case against the system's own programs.
#include "cases.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

int main(int argc, char** argv) {
    using namespace review::cell;
    constexpr int not_run = static_cast<int>(verdict::not_run);
    if (argc != 3) {
        std::cerr << "cell-3 CASE FOLDER\n";
        return not_run;
    }
    course_of_case play = find_case(argv[1]);
    if (play == nullptr) {
        std::cerr << "no case " << argv[1] << "\n";
        return not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* setting = std::getenv("TROUBLE");
    bool trouble = setting == nullptr || std::string(setting) != "0";
    // The threads of servers and workers go on until the process ends.
    auto* cell = new deployment(argv[2]);
    verdict found = play(*cell, trouble);
    cell->notes.note("verdict", found == verdict::broken ? "the rule is broken"
                                : found == verdict::held ? "the rule held"
                                                         : "could not run");
    cell->end_processes();
    _exit(static_cast<int>(found));
}
