/// @file
/// One entry VM of the system's own program, with a store and an endpoint of
/// `review/stand_ins`, in a folder of its own.
#pragma once

#include "cell.hpp"

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>

namespace eelgrasslever::test {

class entry_vm {
  public:
    /// @param options without the program, which the environment's
    /// `EEL_PLATFORM_PROGRAM` replaces.
    /// @param key with which all requests are sent.
    explicit entry_vm(review::cell_options options = {},
                      const std::string& key = "") {
        const char* other = std::getenv("EEL_PLATFORM_PROGRAM");
        options.program = other == nullptr ? EEL_PLATFORM_PROGRAM : other;
        cell = std::make_unique<review::cell>(folder, record, options);
        cell->configure(nlohmann::json::object());
        cell->add_worker("i-a1", "a", "r-1");
        cell->add_node("escazu");
        cell->use_key(key);
        cell->wait_until_serving();
    }
    ~entry_vm() {
        cell.reset();
        std::filesystem::remove_all(folder);
    }
    entry_vm(const entry_vm&) = delete;
    entry_vm& operator=(const entry_vm&) = delete;

    std::string folder{make_folder()};
    review::record_file record{folder + "/record.txt"};
    std::unique_ptr<review::cell> cell;

  private:
    static std::string make_folder() {
        std::string name =
            std::filesystem::temp_directory_path() / "doorXXXXXX";
        return mkdtemp(name.data());
    }
};

} // namespace eelgrasslever::test
