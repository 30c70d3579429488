/// @file
/// The commands of eelctl. Each takes the words after its name and returns the
/// exit status.
#pragma once

#include "client.hpp"

namespace eelctl {

int keygen(const arguments& words);
int bundle(const arguments& words);
int submit(const arguments& words);
int get(const arguments& words);
int cancel(const arguments& words);
int explain(const arguments& words);
int trace(const arguments& words);
int show(const arguments& words);
int check(const arguments& words);
int why(const arguments& words);

} // namespace eelctl
