#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "transport/ihttp_server.h"

namespace standin {

/// Command line of a stand-in: where it listens and its first control settings.
struct standin_options
{
    std::string listen = "127.0.0.1:0";
    /// The same JSON object that `POST /control` takes.
    nlohmann::json control = nlohmann::json::object();
};

standin_options parse_options(int argc, char** argv, const std::string& summary);
/// Prints "listening ADDRESS" on standard output, so that a test can find the port.
void announce(const std::string& address);
/// Prints "ran RECORD" on standard output. Unlike the answer to `GET /ran`, it outlives the process.
void announce_ran(const nlohmann::json& record);
void reply_json(anvillead::ihttp_exchange& exchange, int status, const nlohmann::json& body);

} // namespace standin
