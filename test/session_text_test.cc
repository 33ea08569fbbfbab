#include <rapidcheck.h>

#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::test;

namespace {

constexpr int hosts = 3;

/// Texts without the pair that ends a line.
rc::Gen<std::string> any_text_of(const std::string& bytes) {
    const auto texts = rc::gen::container<std::string>(rc::gen::elementOf(bytes));
    return rc::gen::map(texts, [](std::string text) {
        for (auto end = text.find("\r\n"); end != std::string::npos; end = text.find("\r\n")) {
            text.erase(end, 1);
        }
        return text;
    });
}

/// Bytes that separate words, strings and escapes in one of the formats on the way, or that are no
/// UTF-8.
rc::Gen<std::string> any_text() {
    return any_text_of(std::string{"\r\n\0\t |\"\\{}aQ\x80\xc3\xff", 15});
}

rc::Gen<std::string> any_word() {
    return any_text_of(std::string{"\r\n\0\t|\"\\{}aQ\x80\xc3\xff", 14});
}

const std::string done_at_primary = "DONE signed-by-i-a|READY I -|";

}  // namespace

// Guards against a text whose rest runs as a statement that nobody sent, and a row that counts as
// several, on any hop: caller, host, gateway, endpoint and back (rule UNASKED).
TEST_CASE("texts with line feeds and other control bytes arrive unchanged, also through gateways") {
    fleet all{hosts, few_connections};
    wait_for_stable_routing();
    int number = 0;
    const bool holds = rc::check([&] {
        const auto host = static_cast<std::size_t>(number % hosts);
        const std::string item = "k" + std::to_string(++number) + *any_word();
        const std::string data = "v" + *any_text();
        const std::string shape = "s" + std::to_string(number) + *any_text();
        const std::string value = "c" + std::to_string(number) + *any_text();
        caller pay{all.port(host), "pay"};
        RC_ASSERT(pay.query("SET lang " + value) == "DONE -|READY I -|");
        RC_ASSERT(pay.query("WRITE " + item + " " + data) == done_at_primary);
        RC_ASSERT(pay.query("READ " + item) == "ROW " + data + "|" + done_at_primary);
        RC_ASSERT(pay.query("PREPARE p1 WRITE " + shape) == "DONE -|READY I -|");
        RC_ASSERT(pay.query("EXECUTE p1 " + item + "x " + data) == done_at_primary);
        RC_ASSERT(pay.query("READ " + item + "x") == "ROW " + data + "|" + done_at_primary);
        RC_ASSERT(all.runs(" SET lang " + value) >= 1);
        RC_ASSERT(all.runs(" WRITE " + item + " " + data) == 1);
        RC_ASSERT(all.runs(" WRITE " + shape) == 1);
        RC_ASSERT(all.runs(" " + item + "x " + data) == 1);
    });
    CHECK(holds);
}
