/// @file
/// The commands of eelctl, each under its own name. A command takes the
/// arguments that follow its name and returns the exit status.
#pragma once

#include "client.hpp"

namespace eelctl {

int keygen(const arguments& args);
int bundle(const arguments& args);
int submit(const arguments& args);
int get(const arguments& args);
int cancel(const arguments& args);
int explain(const arguments& args);
int trace(const arguments& args);
int show(const arguments& args);
int check(const arguments& args);
int why(const arguments& args);

} // namespace eelctl
