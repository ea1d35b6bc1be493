#include <tclap/CmdLine.h>

#include "apps/bench/commands.h"

namespace anvillead {

int run_decisions(int argc, char** argv)
{
    TCLAP::CmdLine command("Measures admission decisions against baselines in virtual time.", ' ', ANVILLEAD_VERSION);
    TCLAP::ValueArg<unsigned> seed("", "seed", "First random seed.", false, 1, "N", command);
    TCLAP::ValueArg<std::string> scenario("", "scenario", "Runs only this scenario.", false, "", "NAME", command);
    TCLAP::SwitchArg json("", "json", "Prints JSON.", command);
    command.parse(argc, argv);
    return 0;
}

} // namespace anvillead
