#include "drivers/json/settings_codec.h"
#include "processes/server_main.h"
#include "processes/sidecar_process.h"

int main(int argumentCount, char** arguments)
{
    return kumquat::serverMain("kumquat-sidecar", "Decides what runs on the upstream beside it.", argumentCount, arguments, kumquat::parseSidecarSettings, kumquat::runSidecar);
}
