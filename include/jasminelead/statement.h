#pragma once

#include <cstdint>
#include <string>
#include <variant>

/// Statements that a caller sends within a session.
namespace jasminelead {

enum class access { read, write };

struct begin_statement {
    bool read_only = false;
};
struct commit_statement {};
struct rollback_statement {};
/// A read or write of one item, forwarded unchanged.
struct item_statement {
    access kind = access::read;
};
struct set_statement {
    std::string name;
    std::string value;
};
struct prepare_statement {
    std::string name;
    access kind = access::read;
    std::string shape;
};
struct execute_statement {
    std::string name;
    std::string arguments;
};
struct deallocate_statement {
    std::string name;
};
/// Text that is not a known statement.
struct unknown_statement {};

using caller_statement = std::variant<begin_statement, commit_statement, rollback_statement,
                                      item_statement, set_statement, prepare_statement,
                                      execute_statement, deallocate_statement, unknown_statement>;

/// State of a session's transaction as the caller sees it.
enum class transaction_state { idle, open, failed };

}  // namespace jasminelead
