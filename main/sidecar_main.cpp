#include "drivers/json/settings_codec.h"
#include "processes/server_main.h"
#include "processes/sidecar_process.h"

int main(int argumentCount, char** arguments)
{
    return kumquat::serverMain("kumquat-sidecar", "Schedules the requests that run on the upstream beside it.", argumentCount, arguments, kumquat::parseSidecarSettings, kumquat::runSidecar);
}
