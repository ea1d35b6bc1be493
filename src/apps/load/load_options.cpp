#include "apps/load/load_options.h"

#include <cstdlib>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "apps/common/daemon.h"

namespace anvillead {

namespace {

[[noreturn]] void exit_with_usage_error(const std::string& problem)
{
    fmt::print(stderr, "anvillead-load: {}\n", problem);
    std::exit(exit_usage);
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> out;
    std::size_t start = 0;
    for (std::size_t at = text.find(separator); at != std::string::npos; at = text.find(separator, start)) {
        out.push_back(text.substr(start, at - start));
        start = at + 1;
    }
    out.push_back(text.substr(start));
    return out;
}

double parse_positive(const std::string& text, const std::string& flag)
{
    char* end = nullptr;
    const double out = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !(out > 0)) {
        exit_with_usage_error(fmt::format("{}: expected a positive number instead of \"{}\"", flag, text));
    }
    return out;
}

milliseconds to_milliseconds(double value_s)
{
    return milliseconds(static_cast<std::int64_t>(value_s * 1000));
}

/// "NAME:WEIGHT:MEAN_TOKENS" or "NAME:WEIGHT:MEAN_TOKENS:keyed"
load_workload parse_workload(const std::string& text)
{
    const auto parts = split(text, ':');
    if (parts.size() < 3 || parts.size() > 4 || (parts.size() == 4 && parts[3] != "keyed")) {
        exit_with_usage_error(
            fmt::format("--workload: expected NAME:WEIGHT:MEAN_TOKENS[:keyed] instead of \"{}\"", text));
    }
    return {parts[0], parse_positive(parts[1], "--workload"),
            static_cast<std::int64_t>(parse_positive(parts[2], "--workload")), parts.size() == 4};
}

/// "BEARER_KEY:WEIGHT"
load_organisation parse_organisation(const std::string& text)
{
    const auto parts = split(text, ':');
    if (parts.size() != 2) {
        exit_with_usage_error("--organisation: expected BEARER_KEY:WEIGHT");
    }
    return {parts[0], parse_positive(parts[1], "--organisation")};
}

} // namespace

load_options parse_load_options(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Sends requests at times fixed before the run and reports the results seen by callers.",
                            ' ', ANVILLEAD_VERSION);
        line.setExceptionHandling(false);
        TCLAP::MultiArg<std::string> gateways("g", "gateway", "Gateway that is first asked for endpoints", true,
                                              "ADDRESS", line);
        TCLAP::MultiArg<std::string> workloads("w", "workload", "Workload of the request mix", true,
                                               "NAME:WEIGHT:MEAN_TOKENS[:keyed]", line);
        TCLAP::MultiArg<std::string> organisations("o", "organisation", "Caller", true, "BEARER_KEY:WEIGHT", line);
        TCLAP::ValueArg<std::string> model("m", "model", "Model", false, "roster-large", "NAME", line);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the arrival times and requests", false, 1, "N", line);
        TCLAP::ValueArg<std::string> rate("r", "rate", "Requests per second", false, "10", "N", line);
        TCLAP::ValueArg<std::string> length("", "seconds", "Time during which requests arrive", false, "10", "S", line);
        std::vector<std::string> modes = {"none", "retry-after", "at-once"};
        TCLAP::ValuesConstraint<std::string> allowed(modes);
        TCLAP::ValueArg<std::string> retry("", "retry", "Reaction to a retryable refusal", false, "retry-after",
                                           &allowed, line);
        TCLAP::ValueArg<int> attempts("", "attempts", "Maximum number of attempts per request", false, 5, "N", line);
        TCLAP::ValueArg<std::string> max_request_time("", "patience", "Maximum time to the end of a request", false,
                                                      "60", "S", line);
        TCLAP::ValueArg<std::string> timeout(
            "", "attempt-timeout",
            "Time to the first token after which a caller starts another attempt; 0 for no limit", false, "0", "S",
            line);
        TCLAP::SwitchArg records("", "records", "Include every request in the JSON report", line);
        TCLAP::SwitchArg json("", "json", "Print JSON", line);
        line.parse(argc, argv);
        load_options out;
        out.gateways = gateways.getValue();
        out.model = model.getValue();
        out.seed = seed.getValue();
        out.requests_per_second = parse_positive(rate.getValue(), "--rate");
        out.length = seconds(static_cast<std::int64_t>(parse_positive(length.getValue(), "--seconds")));
        for (const auto& it : workloads.getValue()) {
            out.workloads.push_back(parse_workload(it));
        }
        for (const auto& it : organisations.getValue()) {
            out.organisations.push_back(parse_organisation(it));
        }
        out.retry = retry.getValue() == "none"      ? retry_mode::none
                    : retry.getValue() == "at-once" ? retry_mode::at_once
                                                    : retry_mode::honour_retry_after;
        out.attempts = attempts.getValue();
        out.max_request_time = to_milliseconds(parse_positive(max_request_time.getValue(), "--patience"));
        if (timeout.getValue() != "0") {
            out.attempt_timeout = to_milliseconds(parse_positive(timeout.getValue(), "--attempt-timeout"));
        }
        out.records = records.getValue();
        out.json = json.getValue();
        return out;
    } catch (const TCLAP::ArgException& ex) {
        exit_with_usage_error(ex.argId() + ": " + ex.error());
    } catch (const TCLAP::ExitException& ex) {
        std::exit(ex.getExitStatus());
    }
}

} // namespace anvillead
