#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "transport/ihttp_server.h"

namespace standin {

/// Command-line options of a stand-in: listen address and initial control settings.
struct standin_options
{
    std::string listen = "127.0.0.1:0";
    /// The same JSON object that `POST /control` takes.
    nlohmann::json control = nlohmann::json::object();
};

standin_options parse_options(int argc, char** argv, const std::string& summary);
/// Prints "listening ADDRESS" on standard output, so that a test can find the port.
void announce(const std::string& address);
/// Prints "ran RECORD" on standard output. Unlike the response to `GET /ran`, the output remains after the process
/// ends.
void announce_ran(const nlohmann::json& record);
void reply_json(anvillead::ihttp_exchange& exchange, int status, const nlohmann::json& body);

} // namespace standin
