/// @file
/// The TOML library, set up to report each malformed file as an error.
#pragma once

#define TOML_EXCEPTIONS 0
// In builds without NDEBUG the parser's assertions abort the program on some
// malformed files, which it reports as errors otherwise.
#define TOML_ASSERT(expression) static_cast<void>(0)

#include <toml++/toml.h>
