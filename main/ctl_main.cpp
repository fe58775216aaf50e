#include "processes/ctl_process.h"

int main(int argumentCount, char** arguments)
{
    return kumquat::runCtl(argumentCount, arguments);
}
