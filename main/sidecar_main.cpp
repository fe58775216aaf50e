#include "drivers/json/settings_codec.h"
#include "platform/server_main.h"
#include "platform/sidecar_process.h"

int main(int argumentCount, char** arguments)
{
    return kumquat::serverMain("kumquat-sidecar", "Decides what runs on the upstream beside it.", argumentCount, arguments, kumquat::parseSidecarSettings, kumquat::runSidecar);
}
