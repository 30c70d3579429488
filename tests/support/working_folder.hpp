/// @file
/// A folder that holds the system's program where the stand-ins of `review/`
/// look for it.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace eelgrasslever::test {

/// A temporary folder, the working directory for as long as it exists.
class working_folder {
  public:
    working_folder() {
        const char* other = std::getenv("EEL_PLATFORM_PROGRAM");
        std::filesystem::create_directories(m_folder + "/target");
        std::filesystem::create_symlink(
            other == nullptr ? EEL_PLATFORM_PROGRAM : other,
            m_folder + "/target/eelgrasslever-platformd");
        std::filesystem::current_path(m_folder);
    }
    ~working_folder() {
        std::filesystem::current_path(m_former);
        std::filesystem::remove_all(m_folder);
    }
    working_folder(const working_folder&) = delete;
    working_folder& operator=(const working_folder&) = delete;

  private:
    static std::string make_folder() {
        std::string name =
            std::filesystem::temp_directory_path() / "eelgrassleverXXXXXX";
        return mkdtemp(name.data());
    }
    std::string m_folder{make_folder()};
    std::filesystem::path m_former{std::filesystem::current_path()};
};

} // namespace eelgrasslever::test
