#pragma once

namespace kumquat {

// The JSON Schemas in the folder schema/, compiled into the programs as text.
extern const char* const documentSchema;
extern const char* const entrySettingsSchema;
extern const char* const sidecarSettingsSchema;
extern const char* const loadExperimentSchema;
extern const char* const operatorSettingsSchema;

} // namespace kumquat
