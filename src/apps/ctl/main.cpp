#include "apps/ctl/commands.h"

int main(int argc, char** argv)
{
    return anvillead::run_command(anvillead::parse_ctl_options({argv, argv + argc}));
}
