// libFuzzer entry point for the parsers of data that the daemon receives from the network.
// Build: clang++ -std=c++20 -fsanitize=fuzzer,address -Iinclude -Idaemon, with the daemon library.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "caller_json.h"
#include "peer_codec.h"
#include "store_client.h"

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace jasminelead;
    using namespace jasminelead::daemon;
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    for (const request_kind kind : {request_kind::begin, request_kind::execute,
                                    request_kind::commit, request_kind::statement}) {
        parse_caller_request(kind, text);
    }
    parse_switchover(text);
    decode_peer_message(text);
    parse_host_list(text);
    return 0;
}
