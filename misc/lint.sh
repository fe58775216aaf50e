#!/usr/bin/env bash
# Checks the format of every source file and runs clang-tidy on it. With --fix, rewrites the files with clang-format instead;
# with --changed, runs clang-tidy only on the files that differ from main.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
cmake --preset release >/dev/null
# A stamp file marks a source file that passed. clang-tidy runs on it again only when the file, a header of the project that it
# includes, .clang-tidy, a CMakeLists.txt or clang-tidy itself has changed. Like the compiler's cache, the stamps are shared by all
# clones on a machine.
stamps=${XDG_CACHE_HOME:-$HOME/.cache}/kumquatspring-lint
mkdir -p "$stamps"
shared_hash=$({ clang-tidy --version; git ls-files --cached --others --exclude-standard .clang-tidy '*CMakeLists.txt' CMakePresets.json | xargs cat; } | sha256sum | cut -c1-16)

# Prints each source file, a tab, and the hashes of the file and of all that it includes, directly or not.
print_content_hashes() {
    { sha256sum "${files[@]}"; grep -H '^#include "' "${files[@]}"; } | awk '
        match($0, /^[0-9a-f]+  /) { hash[substr($0, RLENGTH + 1)] = $1; next }
        { file = substr($0, 1, index($0, ":") - 1); split($0, quoted, "\""); includes[file] = includes[file] " " quoted[2] }
        function collect(file, names, count, index_) {
            if (file in seen || !(file in hash)) return ""
            seen[file] = 1
            count = split(includes[file], names, " ")
            collected = collected " " hash[file]
            for (index_ = 1; index_ <= count; ++index_) collect(names[index_])
        }
        END { for (file in hash) if (file ~ /\.cpp$/) { delete seen; collected = ""; collect(file); print file "\t" collected } }'
}
declare -A content_hashes
while IFS=$'\t' read -r file hashes; do content_hashes[$file]=$hashes; done < <(print_content_hashes)
pending=()
changed=$(git diff --name-only main --; git ls-files --others --exclude-standard)
for file in "${files[@]}"; do
    [[ $file = *.cpp ]] || continue
    if [ "${1:-}" = --changed ] && ! grep -qxF "$file" <<<"$changed"; then
        continue
    fi
    stamp="$stamps/$(sha256sum <<<"$file $shared_hash ${content_hashes[$file]}" | cut -c1-32)"
    [ -e "$stamp" ] || pending+=("$file" "$stamp")
done
if [ ${#pending[@]} -gt 0 ]; then
    printf '%s\n' "${pending[@]}" | xargs -n 2 -P "${LINT_JOBS:-$(nproc)}" bash -c 'clang-tidy --quiet -p build/release "$0" 2>/dev/null && touch "$1"'
fi
echo "lint: ${#files[@]} files clean"
