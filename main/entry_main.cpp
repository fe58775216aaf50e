#include "drivers/json/settings_codec.h"
#include "processes/entry_process.h"
#include "processes/server_main.h"

int main(int argumentCount, char** arguments)
{
    return kumquat::serverMain("kumquat-entry", "Accepts callers and routes their requests to upstreams.", argumentCount, arguments, kumquat::parseEntrySettings, kumquat::runEntry);
}
