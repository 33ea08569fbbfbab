#pragma once

#include <optional>
#include <string>
#include <vector>

/// The command line of jasminelead-ctl.
namespace jasminelead::ctl {

struct arguments {
    std::vector<std::string> positional;  ///< Command, subcommand and their operands.
    std::string store;                    ///< IP address and port; empty when not given.
    std::string daemon;
    std::string operator_name;
    std::string session;
    std::string day;
    std::string group;
    std::string to;
    std::string base;  ///< CSV file that the imported file is a modification of.
    std::optional<std::string> expect;
    bool json = false;
    bool csv = false;
    bool help = false;
    bool version = false;
};

struct parsed_arguments {
    std::optional<arguments> values;
    std::string error;  ///< Set when the command line is invalid.
};

parsed_arguments parse_arguments(int argc, const char* const* argv);
std::string help_text();

}  // namespace jasminelead::ctl
