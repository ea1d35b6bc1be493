#include "standins/common/standin_options.h"

#include <cstdio>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

namespace standin {

standin_options parse_options(int argc, char** argv, const std::string& summary)
{
    try {
        TCLAP::CmdLine line(summary, ' ', ANVILLEAD_VERSION_TEXT);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> listen("l", "listen", "address:port", false, "127.0.0.1:0", "ADDRESS", line);
        TCLAP::ValueArg<std::string> control("c", "control", "JSON control settings", false, "{}", "JSON", line);
        line.parse(argc, argv);
        standin_options out{listen.getValue(), nlohmann::json::parse(control.getValue(), nullptr, false)};
        if (!out.control.is_object()) {
            fmt::print(stderr, "--control: expected a JSON object\n");
            std::exit(2);
        }
        return out;
    } catch (const TCLAP::ArgException& ex) {
        fmt::print(stderr, "{}: {}\n", ex.argId(), ex.error());
        std::exit(2);
    } catch (const TCLAP::ExitException& ex) {
        std::exit(ex.getExitStatus());
    }
}

void announce(const std::string& address)
{
    fmt::print("listening {}\n", address);
    std::fflush(stdout);
}

void announce_ran(const nlohmann::json& record)
{
    fmt::print("ran {}\n", record.dump());
    std::fflush(stdout);
}

void reply_json(anvillead::ihttp_exchange& exchange, int status, const nlohmann::json& body)
{
    exchange.reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace standin
